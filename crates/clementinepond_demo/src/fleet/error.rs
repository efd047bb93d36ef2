//! Reasons for which a deployment cannot run.

use clementinepond_daemon::DaemonError;
use clementinepond_settings::FaultList;
use clementinepond_settings::vm::SettingsError;
use clementinepond_standin::StandinError;
use derive_more::{Display, Error, From};

/// Reason for which a deployment cannot run.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// A stand-in does not start.
    #[display("stand-in: {_0}")]
    Standin(StandinError),
    /// A VM does not start.
    #[display("VM: {_0}")]
    Daemon(DaemonError),
    /// The settings of a VM are wrong.
    #[display("settings: {_0}")]
    Settings(SettingsError),
    /// The configuration is wrong.
    #[display("configuration: {_0}")]
    Configuration(FaultList),
    /// A value cannot be written as JSON.
    #[display("{_0}; report this as a fault")]
    Json(serde_json::Error),
    /// Something was not ready in time.
    #[display("{what} was not ready in time; look for errors in the log")]
    #[from(skip)]
    NotReady {
        /// What was waited for.
        what: Box<str>,
    },
    /// A call failed.
    #[display("{problem}; check that the VM still runs")]
    #[from(skip)]
    Call {
        /// What went wrong.
        problem: Box<str>,
    },
}
