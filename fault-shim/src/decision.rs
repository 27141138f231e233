//! Decides according to the plan whether a call fails, and how.

use crate::real;
use fault_plan::{FaultPlan, SystemCallFault, PLAN_VARIABLE};
use libc::{c_int, timespec};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Conversion factor from seconds to milliseconds.
const MILLIS_PER_SECOND: u64 = 1000;
/// Conversion factor from milliseconds to nanoseconds.
const NANOS_PER_MILLI: u64 = 1_000_000;
/// Increment of the random number generator's state (`SplitMix64`).
const STATE_INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;
/// Multipliers that mix the generator's state into a number (`SplitMix64`).
const MIX_MULTIPLIERS: [u64; 2] = [0xBF58_476D_1CE4_E5B9, 0x94D0_49BB_1331_11EB];
/// Number of random bits that are compared with a probability: the size of an `f64` mantissa.
const PROBABILITY_BITS: u32 = 53;

/// The state of the fault injection in this process.
struct Context {
    /// The faults to inject, parsed from the environment.
    plan: FaultPlan,
    /// Time of the monotonic clock at which the plan was read, in milliseconds. The plan is read at the first
    /// call that it can affect, so this approximates the start of the process.
    started_ms: u64,
    /// State of the random number generator, shared by all threads.
    random: AtomicU64,
}

/// Returns the time of the monotonic clock, in milliseconds, which plans do not step.
fn monotonic_ms() -> u64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a local variable that outlives the call.
    unsafe { real::clock_gettime()(libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec as u64 * MILLIS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MILLI
}

/// Reads the plan from the environment. Returns `None` if there is no plan, or it cannot be parsed.
fn read_context() -> Option<Context> {
    let plan = FaultPlan::from_json(&std::env::var(PLAN_VARIABLE).ok()?).ok()?;
    let random = AtomicU64::new(plan.seed);
    Some(Context { plan, started_ms: monotonic_ms(), random })
}

/// Returns the state of the fault injection, which the first call initializes; `None` without a plan.
fn context() -> Option<&'static Context> {
    static CONTEXT: OnceLock<Option<Context>> = OnceLock::new();
    CONTEXT.get_or_init(read_context).as_ref()
}

impl Context {
    /// Returns the milliseconds since the plan was read.
    fn elapsed_ms(&self) -> u64 {
        monotonic_ms() - self.started_ms
    }

    /// Returns the generator's next random number (`SplitMix64`).
    fn draw(&self) -> u64 {
        let state = self.random.fetch_add(STATE_INCREMENT, Ordering::Relaxed).wrapping_add(STATE_INCREMENT);
        let mixed = (state ^ state >> 30).wrapping_mul(MIX_MULTIPLIERS[0]);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(MIX_MULTIPLIERS[1]);
        mixed ^ mixed >> 31
    }
}

/// Draws whether a fault is injected into the current call.
pub fn should_inject(kind: SystemCallFault) -> bool {
    let Some(context) = context() else { return false };
    if context.plan.faults.iter().all(|fault| fault.kind != kind) {
        return false;
    }
    let probability = context.plan.probability(kind, context.elapsed_ms());
    let drawn = (context.draw() >> (u64::BITS - PROBABILITY_BITS)) as f64;
    drawn < probability * (1_u64 << PROBABILITY_BITS) as f64
}

/// Draws a length from 1 to `max`; returns `max` without a plan.
pub fn draw_length(max: usize) -> usize {
    context().map_or(max, |context| 1 + (context.draw() % max as u64) as usize)
}

/// Draws one of `errors`; returns the first without a plan.
pub fn draw_errno(errors: &[c_int]) -> c_int {
    let drawn = context().map_or(0, Context::draw) as usize;
    errors[drawn % errors.len()]
}

/// Returns the current offset of the wall clock, in milliseconds.
pub fn wall_clock_offset_ms() -> i64 {
    match context() {
        Some(context) if !context.plan.clock_steps.is_empty() => {
            context.plan.clock_offset_ms(context.elapsed_ms())
        }
        _ => 0,
    }
}
