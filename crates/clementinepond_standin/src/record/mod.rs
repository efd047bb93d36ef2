//! What a stand-in saw, kept for tests.

mod call_record;

pub use call_record::{CallRecord, RecordedCall};
