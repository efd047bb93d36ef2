//! Global options and the list of commands.

#[cfg(feature = "suite")]
use super::check::CheckOptions;
#[cfg(feature = "suite")]
use super::demo::DemoCommand;
#[cfg(feature = "suite")]
use super::digest::DigestOptions;
use super::entry::EntryOptions;
#[cfg(feature = "suite")]
use super::load::LoadCommand;
#[cfg(feature = "suite")]
use super::measure::MeasureOptions;
#[cfg(feature = "suite")]
use super::model::ModelOptions;
#[cfg(feature = "suite")]
use super::reference::ReferenceOptions;
#[cfg(feature = "suite")]
use super::serve::ServeOptions;
#[cfg(feature = "suite")]
use super::soak::SoakCommand;
#[cfg(feature = "suite")]
use super::stand_in::StandInOptions;
#[cfg(feature = "suite")]
use super::status::StatusOptions;
use gumdrop::Options;

/// Serves many models from fewer accelerators.
#[derive(Debug, Options)]
pub(crate) struct CommandLine {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Whether to print the version.
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    /// Command to run; without one the program prints its usage and fails.
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// Command with its options.
#[derive(Debug, Options)]
pub(crate) enum Command {
    /// Runs an entry VM.
    #[options(help = "run an entry VM in front of a hosted fleet")]
    Entry(EntryOptions),
    /// Runs a VM of the full system.
    #[cfg(feature = "suite")]
    #[options(help = "run a VM of the full system")]
    Serve(ServeOptions),
    /// Checks a settings file.
    #[cfg(feature = "suite")]
    #[options(help = "check a settings file and report its errors")]
    Check(CheckOptions),
    /// Runs a complete deployment.
    #[cfg(feature = "suite")]
    #[options(help = "run a complete deployment with simulated callers in this process")]
    Demo(DemoCommand),
    /// Runs a stand-in for an external system.
    #[cfg(feature = "suite")]
    #[options(
        name = "stand-in",
        help = "run a stand-in for a platform, engine or service"
    )]
    StandIn(StandInOptions),
    /// Runs fault-injection tests.
    #[cfg(feature = "suite")]
    #[options(
        help = "inject seeded faults into a deployment of entry VMs and check the answers to callers"
    )]
    Soak(SoakCommand),
    /// Generates load.
    #[cfg(feature = "suite")]
    #[options(help = "send requests at a fixed rate, without waiting for answers")]
    Load(LoadCommand),
    /// Model-checks the core protocols.
    #[cfg(feature = "suite")]
    #[options(help = "model-check the specifications of the core protocols exhaustively")]
    Model(ModelOptions),
    /// Runs a simulated experiment.
    #[cfg(feature = "suite")]
    #[options(help = "run an experiment in simulated time; 'measure list' lists them")]
    Measure(MeasureOptions),
    /// Shows the status of a VM.
    #[cfg(feature = "suite")]
    #[options(help = "show a VM's status and its view of the fleet")]
    Status(StatusOptions),
    /// Writes the reference pages.
    #[cfg(feature = "suite")]
    #[options(help = "write the reference pages of settings, commands and log events")]
    Reference(ReferenceOptions),
    /// Prints the digest of a credential.
    #[cfg(feature = "suite")]
    #[options(help = "print the digest of a credential read from standard input")]
    Digest(DigestOptions),
}
