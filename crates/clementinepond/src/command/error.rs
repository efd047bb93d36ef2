//! Errors of the commands.

use crate::output::{EXIT_FAILURE, EXIT_USAGE};
#[cfg(feature = "suite")]
use clementinepond_daemon::DaemonError;
use clementinepond_entry::EntryError;
#[cfg(feature = "suite")]
use clementinepond_settings::vm::SettingsError;
use derive_more::{Display, Error, From};

/// Error that ends a command.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// The command line is invalid.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] Box<str>),
    /// The entry VM has invalid settings or failed.
    #[display("{_0}")]
    Entry(EntryError),
    /// The settings file cannot be read or is invalid.
    #[cfg(feature = "suite")]
    #[display("{_0}")]
    Settings(SettingsError),
    /// The VM cannot start.
    #[cfg(feature = "suite")]
    #[display("{_0}")]
    Daemon(DaemonError),
    /// A call to the operating system failed.
    #[cfg(feature = "suite")]
    #[display("{_0}; check permissions, addresses and free disk space")]
    System(std::io::Error),
    /// The run failed.
    #[cfg(feature = "suite")]
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] Box<str>),
}

impl CommandError {
    /// Creates an error for an invalid command line.
    pub(crate) fn usage(message: &str) -> Self {
        Self::Usage(message.into())
    }

    /// Creates an error for a failed run.
    #[cfg(feature = "suite")]
    pub(crate) fn failed(message: &str) -> Self {
        Self::Failed(message.into())
    }

    /// Returns the exit code of the process.
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
