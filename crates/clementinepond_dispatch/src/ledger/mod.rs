//! Load of endpoints: what this VM sent, what its peers say they sent.

mod endpoint_key;
mod load_ledger;
mod load_share;
mod read_queue;

pub use endpoint_key::EndpointKey;
pub use load_ledger::LoadLedger;
pub use load_share::LoadShare;
pub use read_queue::{READ_TOKENS_PER_MS, ReadQueue};
