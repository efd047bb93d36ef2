//! Settings of an entry VM, in JSON with comments.

mod entry_settings;
mod read;

pub use entry_settings::EntrySettings;
pub(crate) use entry_settings::{CapacitySettings, ListenSettings};
pub use read::SettingsError;
