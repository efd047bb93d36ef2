//! Load of endpoints: what this VM sent, what its peers say they sent.

mod endpoint_load;
mod load_table;
mod name_hash;
mod prefill_queue;

pub use endpoint_load::EndpointLoad;
pub use load_table::LoadTable;
pub use name_hash::NameHash;
pub use prefill_queue::{PREFILL_TOKENS_PER_MS, PrefillQueue};
