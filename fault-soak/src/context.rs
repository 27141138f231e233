//! State that the stand-ins and the ingress processes of a run share.

use crate::plan::SoakPlan;
use crate::record::Recorder;
use crate::scenario::FaultScenario;
use std::sync::atomic::{AtomicBool, Ordering};

/// The plan of a run, its observations and its progress.
pub struct RunContext {
    /// The faults and settings of the run.
    pub plan: SoakPlan,
    /// The observations so far, and the clock of the run.
    pub recorder: Recorder,
    /// Whether the load has ended, after which clients send no more requests.
    load_ended: AtomicBool,
    /// Whether the run has ended, after which stand-ins close their connections.
    run_ended: AtomicBool,
}

impl RunContext {
    /// Creates the context of a run that starts now.
    pub fn new(plan: SoakPlan) -> RunContext {
        RunContext {
            plan,
            recorder: Recorder::default(),
            load_ended: AtomicBool::new(false),
            run_ended: AtomicBool::new(false),
        }
    }

    /// Signals clients to send no more requests.
    pub fn end_load(&self) {
        self.load_ended.store(true, Ordering::SeqCst);
    }

    /// Returns whether clients are to send no more requests.
    pub fn has_load_ended(&self) -> bool {
        self.load_ended.load(Ordering::SeqCst)
    }

    /// Signals stand-ins to close their connections.
    pub fn end_run(&self) {
        self.run_ended.store(true, Ordering::SeqCst);
    }

    /// Returns whether stand-ins are to close their connections.
    pub fn has_run_ended(&self) -> bool {
        self.run_ended.load(Ordering::SeqCst)
    }

    /// Returns whether a scenario currently affects the member with this number, out of `count` members.
    pub fn affects(&self, scenario: FaultScenario, member: usize, count: usize) -> bool {
        self.plan.affects(scenario, member, count, self.recorder.now_ms())
    }

    /// Returns whether a scenario that affects all members is currently active.
    pub fn is_active(&self, scenario: FaultScenario) -> bool {
        self.plan.is_active(scenario, self.recorder.now_ms())
    }
}
