//! The command line as a whole.

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
    /// Run one entry VM.
    #[options(help = "run one entry VM in front of a hosted fleet")]
    Entry(EntryOptions),
    /// Run one VM.
    #[cfg(feature = "suite")]
    #[options(help = "run one VM")]
    Serve(ServeOptions),
    /// Check a settings file.
    #[cfg(feature = "suite")]
    #[options(help = "check a settings file and report every fault")]
    Check(CheckOptions),
    /// Run a deployment.
    #[cfg(feature = "suite")]
    #[options(help = "run a whole deployment in this process, with callers")]
    Demo(DemoCommand),
    /// Run a stand-in.
    #[cfg(feature = "suite")]
    #[options(
        name = "stand-in",
        help = "run a stand-in: platform, engine or service"
    )]
    StandIn(StandInOptions),
    /// Play faults.
    #[cfg(feature = "suite")]
    #[options(help = "play seeded faults against entry VMs and check what callers get")]
    Soak(SoakCommand),
    /// Send caller traffic.
    #[cfg(feature = "suite")]
    #[options(help = "send caller traffic, open loop")]
    Load(LoadCommand),
    /// Explore the specification.
    #[cfg(feature = "suite")]
    #[options(help = "explore the specification of the core protocol exhaustively")]
    Model(ModelOptions),
    /// Run an experiment.
    #[cfg(feature = "suite")]
    #[options(help = "run one experiment in virtual time; 'measure list' names them")]
    Measure(MeasureOptions),
    /// Show a VM's view.
    #[cfg(feature = "suite")]
    #[options(help = "show a VM's view of the fleet")]
    Status(StatusOptions),
    /// Write the reference pages.
    #[cfg(feature = "suite")]
    #[options(help = "write the reference pages of settings, commands and log events")]
    Reference(ReferenceOptions),
    /// Print a digest.
    #[cfg(feature = "suite")]
    #[options(help = "print the digest of a credential read from standard input")]
    Digest(DigestOptions),
}
