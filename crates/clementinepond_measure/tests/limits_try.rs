//! Trial.
use clementinepond_measure::experiment::limits;
#[test]
fn try_run() {
    let report = limits::run(std::env::var("SEED").map_or(1, |s| s.parse().unwrap()));
    println!("{}", serde_json::to_string_pretty(&report).unwrap());
}
