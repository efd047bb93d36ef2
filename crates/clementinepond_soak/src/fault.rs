//! Faults and their random schedule.

use clementinepond_platform_standin::LinkFault;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Fault that a run injects; numbers are indices of VMs or endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// The connections from a VM to the store are faulty.
    StoreLink(usize, LinkFault),
    /// The connections from all VMs to an endpoint are faulty.
    EndpointLink(usize, LinkFault),
    /// A VM gets SIGKILL and is started again.
    Kill(usize),
    /// A VM gets SIGTERM and is started again.
    Terminate(usize),
    /// A VM gets SIGSTOP, and SIGCONT at the end.
    Pause(usize),
    /// The store answers all calls with an error.
    StoreDown,
    /// The store applies every second write without answering it.
    StoreLosesAnswers,
    /// The store clears its change history.
    StoreForgets,
    /// An endpoint cuts streams off.
    EndpointBreaks(usize),
    /// An endpoint runs requests without answering them, and closes the connections.
    EndpointLoses(usize),
    /// An endpoint answers with the attempt ID of another request.
    EndpointCrosses(usize),
    /// An endpoint runs requests without answering them, and keeps the connections
    /// open.
    EndpointSilent(usize),
    /// This many new configurations are written in quick succession.
    Configurations(u64),
}

/// Fault with its start, relative to the start of the schedule, and its duration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: SoakFault,
}

/// Draws a schedule of possibly overlapping faults that start within
/// `fault_window`, in the order of their starts.
pub(crate) fn draw_schedule(
    random: &mut ChaCha8Rng,
    vms: usize,
    endpoints: usize,
    fault_window: Duration,
) -> Vec<PlannedFault> {
    let count = random.random_range(4..10);
    let mut schedule: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            at: Duration::from_millis(random.random_range(0..fault_window.as_millis() as u64)),
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
        0 => SoakFault::StoreLink(vm, draw_link_fault(random)),
        1 => SoakFault::EndpointLink(endpoint, draw_link_fault(random)),
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

fn draw_link_fault(random: &mut ChaCha8Rng) -> LinkFault {
    match random.random_range(0..4) {
        0 => LinkFault::Delay(Duration::from_millis(random.random_range(20..200))),
        1 => LinkFault::Reset,
        2 => LinkFault::OneWay,
        _ => LinkFault::Silence,
    }
}
