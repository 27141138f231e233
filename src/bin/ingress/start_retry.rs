//! Starting though system calls fail for a moment: a process that ends at its start serves nobody.

use crate::socket_error::is_local_shortage;
use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

/// How long calls are tried again in all: a process that is restarted has to be ready within 10 s.
const PATIENCE: Duration = Duration::from_secs(8);
/// The delay before a call is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Linux's number for an I/O error, which has no kind of its own.
const EIO: i32 = 5;

/// Whether a call that failed like this may succeed a moment later.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::NetworkDown | ErrorKind::NetworkUnreachable)
        || is_local_shortage(error)
        || error.raw_os_error() == Some(EIO)
}

/// Until when failed calls are tried again.
#[derive(Clone, Copy, Debug)]
pub struct StartRetry {
    /// From then on a failure is final.
    gives_up_at: Instant,
}

impl StartRetry {
    /// For a process that starts now.
    pub fn new() -> StartRetry {
        StartRetry { gives_up_at: Instant::now() + PATIENCE }
    }

    /// Makes calls until they succeed, fail for good, or the time is over.
    pub fn run<T>(self, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        loop {
            match call() {
                Err(error) if is_transient(&error) && Instant::now() < self.gives_up_at => {
                    thread::sleep(RETRY_DELAY);
                }
                result => return result,
            }
        }
    }
}
