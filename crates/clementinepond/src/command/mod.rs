//! The commands, one a file.

mod assignment;
mod check;
mod command_line;
mod demo;
mod digest;
mod error;
mod load;
mod log_event;
mod measure;
mod model;
mod reference;
mod run;
mod serve;
mod stand_in;
mod status;

pub(crate) use command_line::CommandLine;
pub(crate) use error::CommandError;
pub(crate) use run::run;
