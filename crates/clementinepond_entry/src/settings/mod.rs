//! Settings of an entry VM, written in JSON with comments.

mod entry_settings;
mod read;
mod reference;

pub use entry_settings::EntrySettings;
pub(crate) use entry_settings::{CapacitySettings, ListenSettings};
pub use read::SettingsError;
pub use reference::entry_reference_page;
