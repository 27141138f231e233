//! Retries system calls that fail during startup, so that a transient shortage does not end the process.

use crate::socket_error::is_local_shortage;
use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

/// Total time for which calls are retried: a restarted process has to be ready within 10 s.
const MAX_RETRY_TIME: Duration = Duration::from_secs(8);
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Linux's error number for an I/O error, which has no `ErrorKind`.
const EIO: i32 = 5;

/// Returns whether a call that failed with this error may succeed when it is retried.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::NetworkDown | ErrorKind::NetworkUnreachable)
        || is_local_shortage(error)
        || error.raw_os_error() == Some(EIO)
}

/// Retries failed calls until a deadline that all calls share.
#[derive(Clone, Copy, Debug)]
pub struct StartRetry {
    /// The time from which a failure is final.
    deadline: Instant,
}

impl StartRetry {
    /// Creates a retry whose time begins now.
    pub fn new() -> StartRetry {
        StartRetry { deadline: Instant::now() + MAX_RETRY_TIME }
    }

    /// Repeats `call` until it succeeds, fails with an error that is not transient, or the time is over.
    pub fn run<T>(self, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            match call() {
                Err(error) if is_transient(&error) && Instant::now() < self.deadline => {
                    thread::sleep(RETRY_DELAY);
                }
                result => return result,
            }
        }
    }
}
