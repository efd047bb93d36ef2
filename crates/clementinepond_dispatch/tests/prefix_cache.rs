//! Estimate of the prompt blocks that endpoints have cached.

use clementinepond_dispatch::fleet::PromptBlock;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::select::PrefixCacheIndex;
use clementinepond_types::LocalTime;

const CAPACITY: u64 = 1_000;

fn block(id: u64, tokens: u64) -> PromptBlock {
    PromptBlock { id, tokens }
}

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

#[test]
fn block_whose_length_callers_state_differently_does_not_upset_the_index() {
    let mut index = PrefixCacheIndex::default();
    let (endpoint, weights) = (NameHash::of("engine"), NameHash::of("model"));
    let mut record = |blocks: &[PromptBlock], millis| {
        index.record_prefill(endpoint, weights, blocks, CAPACITY, at(millis));
        index.cached_tokens(endpoint, weights, blocks)
    };
    record(&[block(1, 10)], 1);
    record(&[block(1, 900)], 2);
    record(&[block(2, 10)], 3);
    record(&[block(2, 600)], 4);
    // The older block was evicted, and the newer one is kept.
    assert_eq!(record(&[block(3, 10)], 5), 10);
    assert_eq!(record(&[block(3, u64::MAX), block(4, u64::MAX)], 6), 0);
    assert_eq!(record(&[block(5, 300)], 7), 300);
    assert_eq!(record(&[block(6, 100), block(5, 300)], 8), 400);
}
