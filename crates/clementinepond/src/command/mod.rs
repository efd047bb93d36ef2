//! Commands, one per file.

#[cfg(feature = "suite")]
mod assignment;
#[cfg(feature = "suite")]
mod check;
mod command_line;
#[cfg(feature = "suite")]
mod demo;
#[cfg(feature = "suite")]
mod digest;
mod entry;
#[cfg(feature = "suite")]
mod entry_log_event;
mod error;
#[cfg(feature = "suite")]
mod load;
#[cfg(feature = "suite")]
mod log_event;
#[cfg(feature = "suite")]
mod measure;
#[cfg(feature = "suite")]
mod model;
#[cfg(feature = "suite")]
mod reference;
mod run;
#[cfg(feature = "suite")]
mod serve;
#[cfg(feature = "suite")]
mod soak;
#[cfg(feature = "suite")]
mod stand_in;
#[cfg(feature = "suite")]
mod status;

pub(crate) use command_line::CommandLine;
pub(crate) use error::CommandError;
pub(crate) use run::run;
