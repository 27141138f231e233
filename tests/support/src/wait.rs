//! Polling for a condition with a timeout.

use std::thread;
use std::time::{Duration, Instant};

/// Maximum time for which a test waits for a condition.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Polls a condition until it is true. `what` describes the condition in the panic message.
///
/// # Panics
///
/// Panics if the condition is not true within [`WAIT_LIMIT`].
pub fn wait_until(what: &str, mut ready: impl FnMut() -> bool) {
    let start = Instant::now();
    while !ready() {
        assert!(start.elapsed() < WAIT_LIMIT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
