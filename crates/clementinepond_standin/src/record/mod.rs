//! Record of the calls that a stand-in received, kept for tests.

mod call_record;

pub use call_record::{CallRecord, RecordedCall};
