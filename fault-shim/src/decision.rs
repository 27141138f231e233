//! Decides by the plan whether a call fails, and how.

use crate::real;
use fault_plan::{FaultPlan, SystemCallFault, PLAN_VARIABLE};
use libc::{c_int, timespec};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1000;
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: u64 = 1_000_000;
/// The increment of the generator's state (`SplitMix64`).
const STATE_INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;
/// The multipliers that mix the state into a number (`SplitMix64`).
const MIXERS: [u64; 2] = [0xBF58_476D_1CE4_E5B9, 0x94D0_49BB_1331_11EB];
/// Bits of a number that a probability is compared with.
const PROBABILITY_BITS: u32 = 53;

/// The plan of this process, and when it was read.
struct Context {
    /// The plan.
    plan: FaultPlan,
    /// When the plan was read, by the monotonic clock.
    started_ms: u64,
    /// The state of the generator, which all threads share.
    random: AtomicU64,
}

/// The time of the monotonic clock, which no plan steps, in milliseconds.
fn monotonic_ms() -> u64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the time is a local that outlives the call.
    unsafe { real::clock_gettime()(libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec as u64 * MILLIS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MILLI
}

/// Reads the plan; none if there is none, or it cannot be parsed.
fn read_context() -> Option<Context> {
    let plan = FaultPlan::from_json(&std::env::var(PLAN_VARIABLE).ok()?).ok()?;
    let random = AtomicU64::new(plan.seed);
    Some(Context { plan, started_ms: monotonic_ms(), random })
}

/// The plan of this process; none if it has none. It is read at the first call.
fn context() -> Option<&'static Context> {
    static CONTEXT: OnceLock<Option<Context>> = OnceLock::new();
    CONTEXT.get_or_init(read_context).as_ref()
}

impl Context {
    /// The time since the plan was read, in milliseconds.
    fn elapsed_ms(&self) -> u64 {
        monotonic_ms() - self.started_ms
    }

    /// The next number of the generator (`SplitMix64`).
    fn draw(&self) -> u64 {
        let state = self.random.fetch_add(STATE_INCREMENT, Ordering::Relaxed).wrapping_add(STATE_INCREMENT);
        let mixed = (state ^ state >> 30).wrapping_mul(MIXERS[0]);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(MIXERS[1]);
        mixed ^ mixed >> 31
    }
}

/// Whether a call is to fail in this way.
pub fn should_inject(kind: SystemCallFault) -> bool {
    let Some(context) = context() else { return false };
    if context.plan.faults.iter().all(|fault| fault.kind != kind) {
        return false;
    }
    let probability = context.plan.probability(kind, context.elapsed_ms());
    let drawn = (context.draw() >> (u64::BITS - PROBABILITY_BITS)) as f64;
    drawn < probability * (1_u64 << PROBABILITY_BITS) as f64
}

/// A length from 1 to `max`.
pub fn draw_length(max: usize) -> usize {
    context().map_or(max, |context| 1 + (context.draw() % max as u64) as usize)
}

/// One of some error numbers.
pub fn draw_errno(errors: &[c_int]) -> c_int {
    let drawn = context().map_or(0, Context::draw) as usize;
    errors[drawn % errors.len()]
}

/// By how much the wall clock is off now.
pub fn wall_clock_offset_ms() -> i64 {
    match context() {
        Some(context) if !context.plan.clock_steps.is_empty() => {
            context.plan.clock_offset_ms(context.elapsed_ms())
        }
        _ => 0,
    }
}
