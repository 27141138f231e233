//! Retries system calls that fail during the start, so that a shortage that passes does not end the process.

use crate::socket_error::is_local_shortage;
use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

/// How long calls are retried in all: a restarted process has to be ready within 10 s.
const MAX_RETRY_TIME: Duration = Duration::from_secs(8);
/// The delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Linux's number for an I/O error, which has no kind of its own.
const EIO: i32 = 5;

/// Whether a call with this error may succeed when it is retried.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::NetworkDown | ErrorKind::NetworkUnreachable)
        || is_local_shortage(error)
        || error.raw_os_error() == Some(EIO)
}

/// The time until which failed calls are retried.
#[derive(Clone, Copy, Debug)]
pub struct StartRetry {
    /// From then on a failure is final.
    deadline: Instant,
}

impl StartRetry {
    /// Retries from now on.
    pub fn new() -> StartRetry {
        StartRetry { deadline: Instant::now() + MAX_RETRY_TIME }
    }

    /// Calls until the call succeeds, fails with an error that is not transient, or the time is over.
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
