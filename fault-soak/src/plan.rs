//! What goes wrong in a run, drawn from its seed before it begins: the same seed gives the same plan.

use fault_plan::{ClockStep, FaultPlan, ScheduledFault, SystemCallFault};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// An hour, by which clocks are stepped, in milliseconds.
const HOUR_MS: i64 = 3_600_000;
/// When the first trouble begins: clients have got answers by then.
const FIRST_TROUBLE_MS: u64 = 1500;
/// How long before the end the last trouble ends: what it has left behind is still to be seen.
const QUIET_END_MS: u64 = 1500;

/// A kind of trouble.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, clap::ValueEnum,
)]
#[serde(rename_all = "snake_case")]
#[value(rename_all = "snake_case")]
pub enum TroubleKind {
    /// Reads of an ingress are short.
    ShortReads,
    /// Writes of an ingress are short.
    ShortWrites,
    /// Reads, writes and waits of an ingress are interrupted.
    Interruptions,
    /// Accepting fails at an ingress.
    FailedAccepts,
    /// Sockets and connections cannot be made by an ingress.
    FailedConnects,
    /// Sockets cannot be registered with epoll.
    FailedRegistrations,
    /// Writes find no buffer.
    NoBuffers,
    /// The log of an ingress cannot be written.
    FailedLog,
    /// The wall clock of all machines is set back by an hour.
    ClockBack,
    /// The wall clock of all machines is set forward by an hour.
    ClockForward,
    /// An ingress is told to end, and started again.
    Terminate,
    /// An ingress is killed, and started again.
    Kill,
    /// An ingress is told to read its configuration again, which is half written at first.
    Reload,
    /// An ingress stands still for up to 0.15 s, again and again.
    Pauses,
    /// A backend takes long.
    SlowBackend,
    /// A backend answers with errors.
    FailingBackend,
    /// A backend rejects.
    RejectingBackend,
    /// A backend resets connections in the middle of its replies.
    ResettingBackend,
    /// A backend resets connections as soon as the first bytes of a command come: it never runs.
    CuttingBackend,
    /// A backend sends its replies a few bytes at a time.
    TricklingBackend,
    /// A backend sends its replies twice, the second time some milliseconds later.
    DoublingBackend,
    /// A backend takes commands and answers nothing.
    HangingBackend,
    /// A backend's machine is cut off: it neither reads nor writes, and resets its connections once it is back.
    SilentBackend,
    /// A backend closes its idle connections.
    ClosingBackend,
    /// A backend is listed as draining, and later as up.
    DrainingBackend,
    /// A backend starts anew, and is cold.
    RestartedBackend,
    /// Discovery answers nothing.
    SilentDiscovery,
    /// Discovery closes every connection.
    BrokenDiscovery,
    /// Discovery sends its answers a few bytes at a time, and cuts every other one in the middle.
    CuttingDiscovery,
    /// Clients leave before their answer.
    LeavingClients,
    /// Clients stop in the middle of a command, and stay.
    StoppingClients,
    /// Clients send their commands a few bytes at a time.
    TricklingClients,
    /// Clients send several commands at once.
    PipeliningClients,
    /// Clients send what is no command.
    RudeClients,
}

impl TroubleKind {
    /// All kinds.
    pub const ALL: [TroubleKind; 34] = [
        TroubleKind::ShortReads,
        TroubleKind::ShortWrites,
        TroubleKind::Interruptions,
        TroubleKind::FailedAccepts,
        TroubleKind::FailedConnects,
        TroubleKind::FailedRegistrations,
        TroubleKind::NoBuffers,
        TroubleKind::FailedLog,
        TroubleKind::ClockBack,
        TroubleKind::ClockForward,
        TroubleKind::Terminate,
        TroubleKind::Kill,
        TroubleKind::Reload,
        TroubleKind::Pauses,
        TroubleKind::SlowBackend,
        TroubleKind::FailingBackend,
        TroubleKind::RejectingBackend,
        TroubleKind::ResettingBackend,
        TroubleKind::CuttingBackend,
        TroubleKind::TricklingBackend,
        TroubleKind::DoublingBackend,
        TroubleKind::HangingBackend,
        TroubleKind::SilentBackend,
        TroubleKind::ClosingBackend,
        TroubleKind::DrainingBackend,
        TroubleKind::RestartedBackend,
        TroubleKind::SilentDiscovery,
        TroubleKind::BrokenDiscovery,
        TroubleKind::CuttingDiscovery,
        TroubleKind::LeavingClients,
        TroubleKind::StoppingClients,
        TroubleKind::TricklingClients,
        TroubleKind::PipeliningClients,
        TroubleKind::RudeClients,
    ];

    /// The faults of system calls that it consists of, each with its probability.
    fn system_call_faults(self) -> &'static [(SystemCallFault, f64)] {
        match self {
            TroubleKind::ShortReads => &[(SystemCallFault::ShortRead, 0.1)],
            TroubleKind::ShortWrites => &[(SystemCallFault::ShortWrite, 0.1)],
            TroubleKind::Interruptions => &[
                (SystemCallFault::InterruptedRead, 0.05),
                (SystemCallFault::InterruptedWrite, 0.05),
                (SystemCallFault::InterruptedWait, 0.05),
            ],
            TroubleKind::FailedAccepts => &[(SystemCallFault::FailedAccept, 0.3)],
            TroubleKind::FailedConnects => {
                &[(SystemCallFault::FailedSocket, 0.05), (SystemCallFault::FailedConnect, 0.05)]
            }
            TroubleKind::FailedRegistrations => &[(SystemCallFault::FailedRegistration, 0.1)],
            TroubleKind::NoBuffers => &[(SystemCallFault::NoBufferForWrite, 0.03)],
            TroubleKind::FailedLog => &[(SystemCallFault::FailedLog, 0.5)],
            _ => &[],
        }
    }
}

/// Something that goes wrong for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trouble {
    /// What goes wrong.
    pub kind: TroubleKind,
    /// When it begins, in milliseconds since the start of the load.
    pub from_ms: u64,
    /// When it ends.
    pub until_ms: u64,
    /// The number of the ingress, backend or client that it affects, where it affects one.
    pub target: usize,
}

impl Trouble {
    /// Whether it is there at a time.
    pub fn is_active(&self, at_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }

    /// Whether it is there at a time at which another one is.
    pub fn overlaps(&self, other: &Trouble) -> bool {
        self.from_ms < other.until_ms && other.from_ms < self.until_ms
    }
}

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Ingresses.
    pub ingresses: usize,
    /// Backends.
    pub backends: usize,
    /// Clients.
    pub clients: usize,
    /// How long clients send, in seconds.
    pub seconds: u64,
}

/// All that is fixed before a run begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SoakPlan {
    /// The seed that it is drawn from.
    pub seed: u64,
    /// Its size.
    pub shape: Shape,
    /// Whether the settings allow two attempts in flight together.
    pub hedging: bool,
    /// Whether the settings allow attempts to be cancelled.
    pub cancellation: bool,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
}

impl SoakPlan {
    /// Draws a plan with troubles of the given kinds: groups of two or three that overlap in time.
    pub fn draw(seed: u64, shape: Shape, kinds: &[TroubleKind]) -> SoakPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let last_ms = (shape.seconds * 1000).saturating_sub(QUIET_END_MS).max(FIRST_TROUBLE_MS + 1000);
        let (hedging, cancellation) = (random.random_bool(0.5), random.random_bool(0.7));
        let groups = random.random_range(1..=2);
        let mut troubles = Vec::new();
        for _ in 0..groups {
            let middle = random.random_range(FIRST_TROUBLE_MS + 500..last_ms);
            for _ in 0..random.random_range(2..=3) {
                let before = random.random_range(100..=(middle - FIRST_TROUBLE_MS).max(101));
                let after = random.random_range(200..=2500);
                troubles.push(Trouble {
                    kind: *kinds.choose(&mut random).unwrap_or(&TroubleKind::ShortReads),
                    from_ms: middle - before.min(middle),
                    until_ms: (middle + after).min(last_ms),
                    target: random.random_range(0..1000),
                });
            }
        }
        troubles.retain(|trouble| trouble.from_ms < trouble.until_ms);
        SoakPlan { seed, shape, hedging, cancellation, troubles }
    }

    /// The troubles of a kind that affect the member with this number of so many, at a time.
    pub fn active(&self, kind: TroubleKind, member: usize, count: usize, at_ms: u64) -> bool {
        self.troubles.iter().any(|trouble| {
            trouble.kind == kind && trouble.is_active(at_ms) && trouble.target % count == member
        })
    }

    /// Whether a trouble that affects all is there at a time.
    pub fn is_anywhere(&self, kind: TroubleKind, at_ms: u64) -> bool {
        self.troubles.iter().any(|trouble| trouble.kind == kind && trouble.is_active(at_ms))
    }

    /// By how much wall clocks are off at a time, in milliseconds.
    pub fn clock_offset_ms(&self, at_ms: u64) -> i64 {
        self.clock_steps().iter().filter(|step| step.at_ms <= at_ms).map(|step| step.by_ms).sum()
    }

    /// The steps of the wall clocks.
    fn clock_steps(&self) -> Vec<ClockStep> {
        let step = |trouble: &Trouble| {
            let by_ms = match trouble.kind {
                TroubleKind::ClockBack => -HOUR_MS,
                TroubleKind::ClockForward => HOUR_MS,
                _ => return None,
            };
            Some(ClockStep { at_ms: trouble.from_ms, by_ms })
        };
        self.troubles.iter().filter_map(step).collect()
    }

    /// What the shim does in an ingress that starts at a time of the run.
    pub fn shim_plan(&self, ingress: usize, started_ms: u64) -> FaultPlan {
        let own_troubles =
            self.troubles.iter().filter(|trouble| trouble.target % self.shape.ingresses == ingress);
        let faults = own_troubles.flat_map(|trouble| {
            let times =
                (trouble.from_ms.saturating_sub(started_ms), trouble.until_ms.saturating_sub(started_ms));
            trouble.kind.system_call_faults().iter().map(move |(kind, probability)| ScheduledFault {
                kind: *kind,
                probability: *probability,
                from_ms: times.0,
                until_ms: times.1,
            })
        });
        let clock_steps = self
            .clock_steps()
            .into_iter()
            .map(|step| ClockStep { at_ms: step.at_ms.saturating_sub(started_ms), ..step });
        FaultPlan {
            seed: self.seed + ingress as u64,
            faults: faults.collect(),
            clock_steps: clock_steps.collect(),
        }
    }

    /// The pairs of kinds that overlap in time.
    pub fn overlapping_pairs(&self) -> BTreeSet<(TroubleKind, TroubleKind)> {
        let mut pairs = BTreeSet::new();
        for (index, first) in self.troubles.iter().enumerate() {
            for second in &self.troubles[index + 1..] {
                if first.overlaps(second) {
                    pairs.insert((first.kind.min(second.kind), first.kind.max(second.kind)));
                }
            }
        }
        pairs
    }

    /// The plan without one of its troubles.
    pub fn without(&self, index: usize) -> SoakPlan {
        let mut plan = self.clone();
        plan.troubles.remove(index);
        plan
    }
}
