//! The plan of a run: the faults to inject, their times and their targets. A seed determines its plan.

use crate::scenario::FaultScenario;
use fault_plan::{ClockStep, FaultPlan, ScheduledFault};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Size of a step of the wall clocks, in milliseconds: one hour.
const CLOCK_STEP_MS: i64 = 3_600_000;
/// Earliest start of a fault, in milliseconds. Clients have received answers by then.
const FIRST_FAULT_MS: u64 = 1500;
/// Time without faults at the end of a run, in milliseconds, in which their consequences are still observed.
const RECOVERY_PERIOD_MS: u64 = 1500;
/// Minimum time between the earliest start and the latest end of a fault, in milliseconds.
const MIN_FAULT_SPAN_MS: u64 = 1000;
const MILLIS_PER_SECOND: u64 = 1000;
/// Number of groups of overlapping faults in a plan.
const GROUP_COUNT: RangeInclusive<usize> = 1..=2;
/// Number of faults in a group. All of them are active at the middle of the group.
const GROUP_SIZE: RangeInclusive<usize> = 2..=3;
/// Minimum time from the earliest start of a fault to the middle of a group, in milliseconds.
const MIN_LEAD_MS: u64 = 500;
/// Minimum time from the start of a fault to the middle of its group, in milliseconds.
const MIN_TIME_BEFORE_MS: u64 = 100;
/// Time from the middle of a group to the end of a fault, in milliseconds.
const TIME_AFTER_MS: RangeInclusive<u64> = 200..=2500;
/// Exclusive upper bound of drawn targets. A target is taken modulo the number of members that a scenario
/// can affect: ingresses, backends or groups of clients.
const TARGET_COUNT: usize = 1000;

/// A fault of a run: a scenario with its interval and target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InjectedFault {
    /// Component that the fault affects and the way in which it fails.
    pub kind: FaultScenario,
    /// Start of the interval, in milliseconds since the start of the load.
    pub from_ms: u64,
    /// End of the interval, exclusive, in milliseconds since the start of the load.
    pub until_ms: u64,
    /// Number that selects the affected ingress, backend or group of clients, modulo the number of these
    /// members. Scenarios that affect all members ignore it.
    pub target: usize,
}

impl InjectedFault {
    /// Returns whether the fault is active `at_ms` after the start of the load.
    pub fn is_active(&self, at_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }

    /// Returns whether both faults are active at some time.
    pub fn overlaps(&self, other: &InjectedFault) -> bool {
        self.from_ms < other.until_ms && other.from_ms < self.until_ms
    }

    /// Draws a fault that is active at `middle_ms`, the middle of its group, and ends no later than
    /// `last_ms`.
    fn draw(random: &mut StdRng, scenarios: &[FaultScenario], middle_ms: u64, last_ms: u64) -> InjectedFault {
        let max_time_before = (middle_ms - FIRST_FAULT_MS).max(MIN_TIME_BEFORE_MS + 1);
        let before = random.random_range(MIN_TIME_BEFORE_MS..=max_time_before);
        let after = random.random_range(TIME_AFTER_MS);
        InjectedFault {
            kind: *scenarios.choose(random).unwrap_or(&FaultScenario::ShortReads),
            from_ms: middle_ms - before.min(middle_ms),
            until_ms: (middle_ms + after).min(last_ms),
            target: random.random_range(0..TARGET_COUNT),
        }
    }
}

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of ingress processes under test.
    pub ingresses: usize,
    /// Number of stand-in backends.
    pub backends: usize,
    /// Number of stand-in clients.
    pub clients: usize,
    /// Time for which clients send requests, in seconds.
    pub seconds: u64,
}

impl Shape {
    /// Returns the time for which clients send requests, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.seconds * MILLIS_PER_SECOND
    }
}

/// Everything that is decided before a run starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SoakPlan {
    /// Seed that the plan is drawn from.
    pub seed: u64,
    /// Size and duration of the run.
    pub shape: Shape,
    /// Whether the settings allow hedged requests.
    pub hedging: bool,
    /// Whether the settings allow attempts to be cancelled.
    pub cancellation: bool,
    /// Faults to inject, in the order in which they were drawn.
    #[serde(alias = "troubles")]
    pub faults: Vec<InjectedFault>,
}

impl SoakPlan {
    /// Draws a plan with groups of two or three overlapping faults of the given scenarios.
    ///
    /// The order of the draws determines the plan of a seed. It must not change, because recorded seeds could
    /// no longer be replayed.
    pub fn draw(seed: u64, shape: Shape, scenarios: &[FaultScenario]) -> SoakPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let last_ms =
            shape.duration_ms().saturating_sub(RECOVERY_PERIOD_MS).max(FIRST_FAULT_MS + MIN_FAULT_SPAN_MS);
        let hedging = random.random_bool(0.5);
        let cancellation = random.random_bool(0.7);
        let groups = random.random_range(GROUP_COUNT);
        let mut faults = Vec::new();
        for _ in 0..groups {
            let middle_ms = random.random_range(FIRST_FAULT_MS + MIN_LEAD_MS..last_ms);
            for _ in 0..random.random_range(GROUP_SIZE) {
                faults.push(InjectedFault::draw(&mut random, scenarios, middle_ms, last_ms));
            }
        }
        faults.retain(|fault| fault.from_ms < fault.until_ms);
        SoakPlan { seed, shape, hedging, cancellation, faults }
    }

    /// Returns whether a scenario affects the member with this number, out of `count`, at `at_ms`.
    pub fn affects(&self, scenario: FaultScenario, member: usize, count: usize, at_ms: u64) -> bool {
        let affects = |fault: &InjectedFault| fault.is_active(at_ms) && fault.target % count == member;
        self.faults_of(scenario).any(affects)
    }

    /// Returns whether a scenario that affects all members is active at `at_ms`.
    pub fn is_active(&self, scenario: FaultScenario, at_ms: u64) -> bool {
        self.faults_of(scenario).any(|fault| fault.is_active(at_ms))
    }

    /// Returns whether a scenario is injected at any time of the run.
    pub fn includes(&self, scenario: FaultScenario) -> bool {
        self.faults_of(scenario).next().is_some()
    }

    fn faults_of(&self, scenario: FaultScenario) -> impl Iterator<Item = &InjectedFault> {
        self.faults.iter().filter(move |fault| fault.kind == scenario)
    }

    /// Returns the offset of the wall clocks at `at_ms`, in milliseconds.
    pub fn clock_offset_ms(&self, at_ms: u64) -> i64 {
        self.clock_steps().filter(|step| step.at_ms <= at_ms).map(|step| step.by_ms).sum()
    }

    /// Returns the steps of the wall clocks, in the order of the faults.
    fn clock_steps(&self) -> impl Iterator<Item = ClockStep> + '_ {
        self.faults.iter().filter_map(|fault| {
            let by_ms = match fault.kind {
                FaultScenario::ClockBack => -CLOCK_STEP_MS,
                FaultScenario::ClockForward => CLOCK_STEP_MS,
                _ => return None,
            };
            Some(ClockStep { at_ms: fault.from_ms, by_ms })
        })
    }

    /// Returns the system call faults and clock steps of an ingress whose process starts at `started_ms`,
    /// with times relative to that start. Clock steps apply to all ingresses.
    pub fn shim_plan(&self, ingress: usize, started_ms: u64) -> FaultPlan {
        let own_faults = self.faults.iter().filter(|fault| fault.target % self.shape.ingresses == ingress);
        let faults = own_faults.flat_map(|fault| {
            let from_ms = fault.from_ms.saturating_sub(started_ms);
            let until_ms = fault.until_ms.saturating_sub(started_ms);
            let system_calls = fault.kind.system_call_faults().iter();
            system_calls.map(move |&(kind, probability)| ScheduledFault {
                kind,
                probability,
                from_ms,
                until_ms,
            })
        });
        let clock_steps =
            self.clock_steps().map(|step| ClockStep { at_ms: step.at_ms.saturating_sub(started_ms), ..step });
        FaultPlan {
            seed: self.seed + ingress as u64,
            faults: faults.collect(),
            clock_steps: clock_steps.collect(),
        }
    }

    /// Returns the pairs of scenarios that overlap in time, each in the order of declaration.
    pub fn overlapping_pairs(&self) -> BTreeSet<(FaultScenario, FaultScenario)> {
        let mut pairs = BTreeSet::new();
        for (index, first) in self.faults.iter().enumerate() {
            for second in &self.faults[index + 1..] {
                if first.overlaps(second) {
                    pairs.insert((first.kind.min(second.kind), first.kind.max(second.kind)));
                }
            }
        }
        pairs
    }

    /// Returns a copy of the plan that lacks the fault at `index`.
    #[must_use]
    pub fn without_fault(&self, index: usize) -> SoakPlan {
        let mut plan = self.clone();
        plan.faults.remove(index);
        plan
    }
}
