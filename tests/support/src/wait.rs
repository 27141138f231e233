//! Waiting for a condition.

use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for anything.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
///
/// # Panics
///
/// If the condition does not hold within [`WAIT_LIMIT`].
pub fn wait_until(what: &str, mut ready: impl FnMut() -> bool) {
    let start = Instant::now();
    while !ready() {
        assert!(start.elapsed() < WAIT_LIMIT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
