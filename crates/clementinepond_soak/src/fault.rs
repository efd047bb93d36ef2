//! Schedules of faults.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// What a proxy does to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Bytes take longer.
    Delay(Duration),
    /// Open connections are reset, new ones refused.
    Reset,
    /// Answers are lost, requests still arrive.
    OneWay,
    /// Nothing passes, nothing is closed.
    Silence,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// A VM's path to the store.
    StoreLink(usize, LinkFault),
    /// All VMs' path to an endpoint.
    EndpointLink(usize, LinkFault),
    /// A VM is killed and started again.
    Kill(usize),
    /// A VM gets SIGTERM and is started again.
    Terminate(usize),
    /// A VM stands still.
    Pause(usize),
    /// The store refuses all calls.
    StoreDown,
    /// The store does some writes without an answer.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreForgets,
    /// An endpoint breaks streams off.
    EndpointBreaks(usize),
    /// An endpoint loses its answers.
    EndpointLoses(usize),
    /// An endpoint answers with another request's identity.
    EndpointCrosses(usize),
    /// An endpoint gives no answers.
    EndpointSilent(usize),
    /// Configurations come in quick succession.
    Configurations(u64),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: SoakFault,
}

/// Draws a schedule of overlapping faults over a span.
pub(crate) fn draw_schedule(
    random: &mut ChaCha8Rng,
    vms: usize,
    endpoints: usize,
    span: Duration,
) -> Vec<PlannedFault> {
    let count = random.random_range(4..10);
    let mut schedule: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            at: Duration::from_millis(random.random_range(0..span.as_millis() as u64)),
            length: Duration::from_millis(random.random_range(200..2_500)),
            fault: draw_fault(random, vms, endpoints),
        })
        .collect();
    schedule.sort_by_key(|planned| planned.at);
    schedule
}

fn draw_fault(random: &mut ChaCha8Rng, vms: usize, endpoints: usize) -> SoakFault {
    let vm = random.random_range(0..vms);
    let endpoint = random.random_range(0..endpoints);
    match random.random_range(0..13) {
        0 => SoakFault::StoreLink(vm, draw_link(random)),
        1 => SoakFault::EndpointLink(endpoint, draw_link(random)),
        2 => SoakFault::Kill(vm),
        3 => SoakFault::Terminate(vm),
        4 => SoakFault::Pause(vm),
        5 => SoakFault::StoreDown,
        6 => SoakFault::StoreLosesAnswers,
        7 => SoakFault::StoreForgets,
        8 => SoakFault::EndpointBreaks(endpoint),
        9 => SoakFault::EndpointLoses(endpoint),
        10 => SoakFault::EndpointCrosses(endpoint),
        11 => SoakFault::EndpointSilent(endpoint),
        _ => SoakFault::Configurations(random.random_range(2..8)),
    }
}

fn draw_link(random: &mut ChaCha8Rng) -> LinkFault {
    match random.random_range(0..4) {
        0 => LinkFault::Delay(Duration::from_millis(random.random_range(20..200))),
        1 => LinkFault::Reset,
        2 => LinkFault::OneWay,
        _ => LinkFault::Silence,
    }
}
