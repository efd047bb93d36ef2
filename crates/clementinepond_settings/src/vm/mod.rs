//! Settings of a VM.

mod check;
mod read;
mod reference;
mod section;
mod vm_settings;

pub use read::SettingsError;
pub use reference::{SETTING_ENTRIES, SettingEntry, reference_page};
pub use section::{
    AdminSettings, CallerSettings, EndpointSettings, LimitSettings, MembershipSettings, PeerSeed,
    PeerSettings, PlatformSettings, RequestSettings, TelemetrySettings, TlsSettings,
};
pub use vm_settings::VmSettings;
