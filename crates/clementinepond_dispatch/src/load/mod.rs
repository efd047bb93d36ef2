//! Load of endpoints, from this VM's requests and from those that its peers report.

mod endpoint_load;
mod load_table;
mod name_hash;
mod prefill_queue;

pub use endpoint_load::EndpointLoad;
pub use load_table::LoadTable;
pub use name_hash::NameHash;
pub use prefill_queue::{PREFILL_TOKENS_PER_MS, PrefillQueue};
