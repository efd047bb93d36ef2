//! Faults and their random schedule.

use clementinepond_platform_standin::LinkFault;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time for which an endpoint states a limit; longer than it takes until the limit must be
/// kept.
const LIMIT_LENGTH: Duration = Duration::from_secs(8);

/// Fault that a run injects; numbers are indices of VMs or endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// The connections from a VM to the store are faulty.
    StoreLink(usize, LinkFault),
    /// The connections from all VMs to an endpoint are faulty.
    EndpointLink(usize, LinkFault),
    /// The connections from a VM to all endpoints are faulty.
    EndpointsCut(usize, LinkFault),
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
    /// An endpoint states how many requests a second it takes.
    EndpointLimits(usize),
    /// An endpoint falls over if it rejects too many requests in a second.
    EndpointBrittle(usize),
    /// This many new configurations are written in quick succession.
    Configurations(u64),
}

impl SoakFault {
    /// Returns the endpoint whose own faults this one sets; the end of any of them ends all.
    pub(crate) const fn endpoint(self) -> Option<usize> {
        match self {
            Self::EndpointBreaks(endpoint)
            | Self::EndpointLoses(endpoint)
            | Self::EndpointCrosses(endpoint)
            | Self::EndpointSilent(endpoint)
            | Self::EndpointLimits(endpoint)
            | Self::EndpointBrittle(endpoint) => Some(endpoint),
            _ => None,
        }
    }

    /// Returns whether the fault excuses VMs that exceed the limit of an endpoint: it stops
    /// a VM or holds back what is on the way.
    pub(crate) const fn excuses_limits(self) -> bool {
        matches!(
            self,
            Self::EndpointLink(..)
                | Self::EndpointsCut(..)
                | Self::Kill(_)
                | Self::Terminate(_)
                | Self::Pause(_)
        )
    }
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
        .map(|_| {
            let at = Duration::from_millis(random.random_range(0..fault_window.as_millis() as u64));
            let length = Duration::from_millis(random.random_range(200..2_500));
            let fault = draw_fault(random, vms, endpoints);
            let is_limit = matches!(fault, SoakFault::EndpointLimits(_));
            PlannedFault {
                at,
                length: if is_limit { LIMIT_LENGTH } else { length },
                fault,
            }
        })
        .collect();
    schedule.sort_by_key(|planned| planned.at);
    schedule
}

fn draw_fault(random: &mut ChaCha8Rng, vms: usize, endpoints: usize) -> SoakFault {
    let vm = random.random_range(0..vms);
    let endpoint = random.random_range(0..endpoints);
    match random.random_range(0..17) {
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
        12 | 13 => SoakFault::EndpointsCut(vm, draw_cut(random)),
        14 => SoakFault::EndpointLimits(endpoint),
        15 => SoakFault::EndpointBrittle(endpoint),
        _ => SoakFault::Configurations(random.random_range(2..8)),
    }
}

fn draw_cut(random: &mut ChaCha8Rng) -> LinkFault {
    match random.random_range(0..3) {
        0 => LinkFault::CutHanging,
        1 => LinkFault::CutReset,
        _ => LinkFault::CutRefused,
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
