//! What the stand-ins and the processes of a run share.

use crate::plan::SoakPlan;
use crate::record::Recorder;
use crate::scenario::FaultScenario;
use std::sync::atomic::{AtomicBool, Ordering};

/// The plan of a run, its observations, and how far it is.
pub struct RunContext {
    /// The plan.
    pub plan: SoakPlan,
    /// The observations, with the clock of the run.
    pub recorder: Recorder,
    /// Clients send no more requests.
    load_ended: AtomicBool,
    /// Stand-ins close their connections.
    run_ended: AtomicBool,
}

impl RunContext {
    /// The context of a run that begins now.
    pub fn new(plan: SoakPlan) -> RunContext {
        RunContext {
            plan,
            recorder: Recorder::default(),
            load_ended: AtomicBool::new(false),
            run_ended: AtomicBool::new(false),
        }
    }

    /// Has clients send no more requests.
    pub fn end_load(&self) {
        self.load_ended.store(true, Ordering::SeqCst);
    }

    /// Whether clients are to send no more requests.
    pub fn has_load_ended(&self) -> bool {
        self.load_ended.load(Ordering::SeqCst)
    }

    /// Has stand-ins close their connections.
    pub fn end_run(&self) {
        self.run_ended.store(true, Ordering::SeqCst);
    }

    /// Whether stand-ins are to close their connections.
    pub fn has_run_ended(&self) -> bool {
        self.run_ended.load(Ordering::SeqCst)
    }

    /// Whether a scenario affects the member with this number, out of `count`, now.
    pub fn affects(&self, scenario: FaultScenario, member: usize, count: usize) -> bool {
        self.plan.affects(scenario, member, count, self.recorder.now_ms())
    }

    /// Whether a scenario that affects all members is active now.
    pub fn is_active(&self, scenario: FaultScenario) -> bool {
        self.plan.is_active(scenario, self.recorder.now_ms())
    }
}
