//! Settings of an entry VM, in JSON with comments.

mod entry_settings;
mod read;

pub use entry_settings::EntrySettings;
pub use read::SettingsError;
