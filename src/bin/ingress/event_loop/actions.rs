//! Executes the gateway's actions.

use super::client_events::{Answer, FAILED_REPLY};
use super::timer_queue::Timer;
use super::EventLoop;
use crate::backends::{AttemptId, BackendCloseReason};
use crate::clients::BUSY_REPLY;
use crate::logging;
use ingress::{Action, Duration, Outcome, RequestId};
use std::io::Write;

/// Maximum length of a rejection with its `Retry-After` time, in bytes.
const MAX_BUSY_REPLY_BYTES: usize = 40;

impl EventLoop {
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, backend, expires_at } => self.send(id, backend, expires_at),
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail(id) => self.reply(id, FAILED_REPLY, Answer::Failed),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId { request: id, number: attempt };
                self.cancel_attempt(attempt, BackendCloseReason::Cancelled, |_| Outcome::Cancelled);
            }
            Action::SetTimer { delay, token } => {
                self.timers.schedule(self.now + delay, Timer::Gateway(token));
            }
            Action::SendToPeer { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            // The watch polls continuously.
            Action::PollDiscovery => {}
            Action::Log(line) => tracing::info!(target: logging::NO_TARGET, "{line}"),
        }
    }

    /// Rejects a request. A `retry_after` of zero is left out of the reply.
    fn reject(&mut self, id: RequestId, retry_after: Duration) {
        if retry_after.is_zero() {
            return self.reply(id, BUSY_REPLY, Answer::Rejected);
        }
        let mut text = [0; MAX_BUSY_REPLY_BYTES];
        let mut unused = &mut text[..];
        let _ = write!(unused, "-BUSY {}\r\n", retry_after.as_millis_ceil());
        let length = MAX_BUSY_REPLY_BYTES - unused.len();
        self.reply(id, &text[..length], Answer::Rejected);
    }
}
