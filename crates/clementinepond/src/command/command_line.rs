//! The command line as a whole.

use super::check::CheckOptions;
use super::demo::DemoCommand;
use super::digest::DigestOptions;
use super::load::LoadCommand;
use super::measure::MeasureOptions;
use super::model::ModelOptions;
use super::reference::ReferenceOptions;
use super::serve::ServeOptions;
use super::stand_in::StandInOptions;
use super::status::StatusOptions;
use gumdrop::Options;

/// Serves many models from few accelerators.
#[derive(Debug, Options)]
pub(crate) struct CommandLine {
    /// Print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Print the version.
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    /// The command.
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// One command with its options.
#[derive(Debug, Options)]
pub(crate) enum Command {
    /// Run one VM.
    #[options(help = "run one VM")]
    Serve(ServeOptions),
    /// Check a settings file.
    #[options(help = "check a settings file and report every fault")]
    Check(CheckOptions),
    /// Run a deployment.
    #[options(help = "run a whole deployment in this process, with callers")]
    Demo(DemoCommand),
    /// Run a stand-in.
    #[options(
        name = "stand-in",
        help = "run a stand-in: platform, engine or service"
    )]
    StandIn(StandInOptions),
    /// Send caller traffic.
    #[options(help = "send caller traffic, open loop")]
    Load(LoadCommand),
    /// Explore the specification.
    #[options(help = "explore the specification of the core protocol exhaustively")]
    Model(ModelOptions),
    /// Run an experiment.
    #[options(help = "run one experiment in virtual time; 'measure list' names them")]
    Measure(MeasureOptions),
    /// Show a VM's view.
    #[options(help = "show a VM's view of the fleet")]
    Status(StatusOptions),
    /// Write the reference pages.
    #[options(help = "write the reference pages of settings, commands and log events")]
    Reference(ReferenceOptions),
    /// Print a digest.
    #[options(help = "print the digest of a credential read from standard input")]
    Digest(DigestOptions),
}
