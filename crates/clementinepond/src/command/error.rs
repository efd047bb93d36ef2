//! Reasons for which a command fails.

use crate::output::{EXIT_FAILURE, EXIT_USAGE};
#[cfg(feature = "suite")]
use clementinepond_daemon::DaemonError;
use clementinepond_entry::EntryError;
#[cfg(feature = "suite")]
use clementinepond_settings::vm::SettingsError;
use derive_more::{Display, Error, From};

/// Reason for which a command fails.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// The command line is wrong.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] Box<str>),
    /// The entry VM cannot run.
    #[display("{_0}")]
    Entry(EntryError),
    /// The settings are wrong.
    #[cfg(feature = "suite")]
    #[display("{_0}")]
    Settings(SettingsError),
    /// The VM cannot start.
    #[cfg(feature = "suite")]
    #[display("{_0}")]
    Daemon(DaemonError),
    /// The operating system refuses something.
    #[cfg(feature = "suite")]
    #[display("{_0}; check permissions, addresses and space")]
    System(std::io::Error),
    /// A run failed.
    #[cfg(feature = "suite")]
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] Box<str>),
}

impl CommandError {
    /// Describes a wrong command line.
    pub(crate) fn usage(message: &str) -> Self {
        Self::Usage(message.into())
    }

    /// Describes a failed run.
    #[cfg(feature = "suite")]
    pub(crate) fn failed(message: &str) -> Self {
        Self::Failed(message.into())
    }

    /// Returns the exit code.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Entry(EntryError::Settings(_)) => EXIT_USAGE,
            Self::Entry(EntryError::System(_)) => EXIT_FAILURE,
            #[cfg(feature = "suite")]
            Self::Settings(_) => EXIT_USAGE,
            #[cfg(feature = "suite")]
            Self::Daemon(_) | Self::System(_) | Self::Failed(_) => EXIT_FAILURE,
        }
    }
}
