//! Executes a run: starts the stand-ins and the ingresses, injects the faults of the plan and returns the
//! observations.

use crate::context::RunContext;
use crate::counters;
use crate::ingress::{Ingress, Programs};
use crate::plan::SoakPlan;
use crate::record::{Observations, ProcessEvent};
use crate::testbed::Testbed;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval at which the supervisor checks for faults to start or end.
const TICK: Duration = Duration::from_millis(5);
/// Time for ingresses to log their counters at the end.
const COUNTER_LOG_DELAY: Duration = Duration::from_millis(50);
/// Maximum time for clients to finish after the end of the load.
const CLIENT_END_TIMEOUT: Duration = Duration::from_secs(10);

/// Executes a plan and returns the observations.
///
/// # Errors
///
/// Returns an error if the folder of the run cannot be created, or a stand-in or an ingress cannot be
/// started.
pub fn run(plan: &SoakPlan, programs: &Programs) -> anyhow::Result<Observations> {
    std::fs::create_dir_all(&programs.folder)?;
    remove_logs(plan, programs);
    let context = Arc::new(RunContext::new(plan.clone()));
    let testbed = Testbed::build(&context, programs)?;
    testbed.start_ingresses()?;
    let watchdog = start_stall_watchdog(&context);
    let clients = testbed.start_clients();
    inject_faults(&context, &testbed, &programs.interrupted);
    context.end_load();
    wait_for_clients(&clients);
    testbed.log_counters();
    thread::sleep(COUNTER_LOG_DELAY);
    context.end_run();
    let _ = watchdog.join();
    testbed.terminate_ingresses();
    let mut observations = std::mem::take(&mut *context.recorder.observations());
    read_counters(&mut observations, programs, plan.shape.ingresses);
    Ok(observations)
}

/// Removes the logs of previous runs.
fn remove_logs(plan: &SoakPlan, programs: &Programs) {
    for number in 0..plan.shape.ingresses {
        let _ = std::fs::remove_file(Ingress::log_file(&programs.folder, number));
    }
}

/// Starts a thread that measures the longest stall until the run ends.
///
/// A stall is the time by which a sleep and the following wait for the recorder's lock exceed the duration of
/// the sleep. The wait counts because the holder of the lock may be stalled.
fn start_stall_watchdog(context: &Arc<RunContext>) -> JoinHandle<()> {
    let context = context.clone();
    thread::spawn(move || {
        while !context.has_run_ended() {
            let before = context.recorder.now();
            thread::sleep(TICK);
            let mut observations = context.recorder.observations();
            let stall = (context.recorder.now() - before).saturating_sub(TICK.as_micros() as u64);
            observations.longest_stall = observations.longest_stall.max(stall);
        }
    })
}

/// The progress of a fault during a run.
#[derive(Clone, Copy, Default)]
struct Progress {
    begun: bool,
    ended: bool,
}

/// Injects the faults of the plan until the end of the load or an interrupt.
fn inject_faults(context: &RunContext, testbed: &Testbed, interrupted: &AtomicBool) {
    let plan = &context.plan;
    let mut progress = vec![Progress::default(); plan.faults.len()];
    let mut threads = Vec::new();
    let end_ms = plan.shape.duration_ms();
    while context.recorder.now_ms() < end_ms && !interrupted.load(Ordering::SeqCst) {
        for (fault, progress) in plan.faults.iter().zip(&mut progress) {
            let now = context.recorder.now_ms();
            if now >= fault.from_ms && !std::mem::replace(&mut progress.begun, true) {
                tracing::debug!(?fault, "fault injection started");
                threads.extend(testbed.begin(fault));
            }
            if now >= fault.until_ms && !std::mem::replace(&mut progress.ended, true) {
                testbed.end(fault);
            }
        }
        testbed.record_unexpected_exits();
        thread::sleep(TICK);
    }
    for thread in threads {
        _ = thread.join();
    }
}

/// Waits until all clients have finished, for at most [`CLIENT_END_TIMEOUT`].
fn wait_for_clients(clients: &[JoinHandle<()>]) {
    let deadline = Instant::now() + CLIENT_END_TIMEOUT;
    while clients.iter().any(|client| !client.is_finished()) && Instant::now() < deadline {
        thread::sleep(TICK);
    }
}

/// Reads the counters of the ingresses that were started only once. A restart resets the counters.
fn read_counters(observations: &mut Observations, programs: &Programs, ingresses: usize) {
    for number in 0..ingresses {
        let events = observations.processes.iter().filter(|record| record.ingress == number);
        let starts = events.filter(|record| record.event == ProcessEvent::Started).count();
        let log = std::fs::read_to_string(Ingress::log_file(&programs.folder, number)).unwrap_or_default();
        observations.counters.extend(counters::parse(number, &log).filter(|_| starts == 1));
    }
}
