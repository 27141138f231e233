//! The plan of a run: which faults are injected, when and where. The same seed draws the same plan.

use crate::scenario::FaultScenario;
use fault_plan::{ClockStep, FaultPlan, ScheduledFault};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// An hour, by which clocks are stepped, in milliseconds.
const HOUR_MS: i64 = 3_600_000;
/// When the first fault begins, in milliseconds: clients have had answers by then.
const FIRST_FAULT_MS: u64 = 1500;
/// The time without faults at the end, in milliseconds, in which their consequences are still observed.
const RECOVERY_PERIOD_MS: u64 = 1500;
/// The least time between the first begin and the last end of a fault, in milliseconds.
const MIN_FAULT_SPAN_MS: u64 = 1000;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1000;
/// How many groups of faults a plan has.
const GROUP_COUNT: RangeInclusive<usize> = 1..=2;
/// How many faults overlap in a group.
const GROUP_SIZE: RangeInclusive<usize> = 2..=3;
/// The least time from the first fault to the middle of a group, in milliseconds.
const MIN_LEAD_MS: u64 = 500;
/// The least time for which a fault is active before the middle of its group, in milliseconds.
const MIN_TIME_BEFORE_MS: u64 = 100;
/// How long a fault stays active after the middle of its group, in milliseconds.
const TIME_AFTER_MS: RangeInclusive<u64> = 200..=2500;
/// Targets are drawn below this number, and taken modulo the number of members.
const TARGET_COUNT: usize = 1000;

/// A fault of a run: a scenario, when it is active, and what it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InjectedFault {
    /// What goes wrong.
    pub kind: FaultScenario,
    /// When it begins, in milliseconds since the start of the load.
    pub from_ms: u64,
    /// When it ends, in milliseconds since the start of the load.
    pub until_ms: u64,
    /// The ingress, backend or client that it affects, modulo how many there are.
    pub target: usize,
}

impl InjectedFault {
    /// Whether it is active at a time.
    pub fn is_active(&self, at_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }

    /// Whether both faults are active at some time.
    pub fn overlaps(&self, other: &InjectedFault) -> bool {
        self.from_ms < other.until_ms && other.from_ms < self.until_ms
    }

    /// Draws a fault that is active at `middle_ms`, and ends at `last_ms` at the latest.
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
    /// Ingresses.
    pub ingresses: usize,
    /// Backends.
    pub backends: usize,
    /// Clients.
    pub clients: usize,
    /// How long clients send requests, in seconds.
    pub seconds: u64,
}

impl Shape {
    /// How long clients send requests, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.seconds * MILLIS_PER_SECOND
    }
}

/// All that is fixed before a run begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SoakPlan {
    /// The seed that it is drawn from.
    pub seed: u64,
    /// The size of the run.
    pub shape: Shape,
    /// Whether the settings allow hedged requests.
    pub hedging: bool,
    /// Whether the settings allow attempts to be cancelled.
    pub cancellation: bool,
    /// The faults to inject.
    #[serde(alias = "troubles")]
    pub faults: Vec<InjectedFault>,
}

impl SoakPlan {
    /// Draws a plan with faults of the given scenarios: groups of two or three that overlap in time.
    ///
    /// The order of the draws decides what a seed stands for, and stays as it is.
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

    /// Whether a scenario affects the member with this number, out of `count`, at a time.
    pub fn affects(&self, scenario: FaultScenario, member: usize, count: usize, at_ms: u64) -> bool {
        let affects = |fault: &InjectedFault| fault.is_active(at_ms) && fault.target % count == member;
        self.faults_of(scenario).any(affects)
    }

    /// Whether a scenario that affects all members is active at a time.
    pub fn is_active(&self, scenario: FaultScenario, at_ms: u64) -> bool {
        self.faults_of(scenario).any(|fault| fault.is_active(at_ms))
    }

    /// Whether a scenario is part of the plan.
    pub fn includes(&self, scenario: FaultScenario) -> bool {
        self.faults_of(scenario).next().is_some()
    }

    /// The faults of a scenario.
    fn faults_of(&self, scenario: FaultScenario) -> impl Iterator<Item = &InjectedFault> {
        self.faults.iter().filter(move |fault| fault.kind == scenario)
    }

    /// By how many milliseconds wall clocks are off at a time.
    pub fn clock_offset_ms(&self, at_ms: u64) -> i64 {
        self.clock_steps().filter(|step| step.at_ms <= at_ms).map(|step| step.by_ms).sum()
    }

    /// The steps of the wall clocks.
    fn clock_steps(&self) -> impl Iterator<Item = ClockStep> + '_ {
        self.faults.iter().filter_map(|fault| {
            let by_ms = match fault.kind {
                FaultScenario::ClockBack => -HOUR_MS,
                FaultScenario::ClockForward => HOUR_MS,
                _ => return None,
            };
            Some(ClockStep { at_ms: fault.from_ms, by_ms })
        })
    }

    /// The system call faults of an ingress whose process starts at `started_ms`, with times since that
    /// start.
    pub fn shim_plan(&self, ingress: usize, started_ms: u64) -> FaultPlan {
        let own_faults = self.faults.iter().filter(|fault| fault.target % self.shape.ingresses == ingress);
        let faults = own_faults.flat_map(|fault| {
            let from_ms = fault.from_ms.saturating_sub(started_ms);
            let until_ms = fault.until_ms.saturating_sub(started_ms);
            let parts = fault.kind.system_call_faults().iter();
            parts.map(move |&(kind, probability)| ScheduledFault { kind, probability, from_ms, until_ms })
        });
        let clock_steps =
            self.clock_steps().map(|step| ClockStep { at_ms: step.at_ms.saturating_sub(started_ms), ..step });
        FaultPlan {
            seed: self.seed + ingress as u64,
            faults: faults.collect(),
            clock_steps: clock_steps.collect(),
        }
    }

    /// The pairs of scenarios that overlap in time, each in the order of declaration.
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

    /// The plan without one of its faults.
    #[must_use]
    pub fn without_fault(&self, index: usize) -> SoakPlan {
        let mut plan = self.clone();
        plan.faults.remove(index);
        plan
    }
}
