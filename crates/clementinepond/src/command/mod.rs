//! The commands, one a file.

mod check;
mod command_line;
mod digest;
mod error;
mod measure;
mod reference;
mod run;
mod serve;
mod status;

pub(crate) use command_line::CommandLine;
pub(crate) use error::CommandError;
pub(crate) use run::run;
