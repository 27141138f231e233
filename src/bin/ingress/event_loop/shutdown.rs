//! The phases of the graceful shutdown and their timing.

use crate::clients::{AcceptOutcome, Clients};
use ingress::{Duration, Instant};

/// Maximum time after SIGTERM in which clients open new connections, by the protocol for planned restarts, in
/// milliseconds.
const CONNECTING_MS: u64 = 400;
/// Minimum time between the longest request deadline, counted from SIGTERM, and SIGKILL, by the protocol for
/// planned restarts, in milliseconds.
const KILL_DELAY_MS: u64 = 700;
/// The part of [`KILL_DELAY_MS`] in which requests are still served after the longest deadline, in
/// milliseconds.
const REPLY_MARGIN_MS: u64 = 400;

/// Minimum time for which connections are accepted after the signal: 100 ms longer than clients open them,
/// since some clients detect the shutdown late.
pub const MIN_ACCEPTING_TIME: Duration = Duration::from_millis(CONNECTING_MS + 100);
/// After [`MIN_ACCEPTING_TIME`], the listener is closed when no connection was accepted for this time.
const ACCEPT_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the idle time of the listener is checked.
pub const ACCEPTING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval, while draining, at which the exit is checked without an event.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the reply deadline from which the listener is closed even if clients are still connecting: a
/// request on a later connection would rarely be served in time.
const ACCEPTING_END_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time, while draining, for the rest of an incomplete command to arrive.
const INCOMPLETE_COMMAND_TIME: Duration = Duration::from_secs(1);
/// Maximum time, while draining, for clients to read their replies.
pub const MAX_DRAINING_TIME: Duration = Duration::from_secs(2);
/// Maximum deadline of a request that the shutdown waits for. By the protocol, SIGKILL does not wait for a
/// longer one.
const MAX_REPLY_DEADLINE: Duration = Duration::from_secs(3);
/// Time between the longest deadline of a request and the reply deadline, at which open requests are failed.
const REPLY_MARGIN: Duration = Duration::from_millis(REPLY_MARGIN_MS);
/// Time between the reply deadline and the exit, even if clients are still sending: half of the time that
/// remains until SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis((KILL_DELAY_MS - REPLY_MARGIN_MS) / 2);

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No signal to shut down was received.
    Running,
    /// The signal was received. Connections are still accepted and requests served.
    Accepting {
        /// The time from which requests are not served; open ones are failed.
        reply_deadline: Instant,
    },
    /// The listener is closed. Requests are still served, and connections are closed when they become idle.
    Draining {
        /// As in [`Phase::Accepting`].
        reply_deadline: Instant,
        /// The time at which the listener was closed.
        since: Instant,
    },
}

/// The state of the graceful shutdown.
pub struct Shutdown {
    pub(super) phase: Phase,
    /// Time after the signal in which requests are served.
    reply_time: Duration,
}

impl Shutdown {
    /// Creates the state of a running process. `longest_deadline` is the maximum deadline over all request
    /// classes.
    pub fn new(longest_deadline: Duration) -> Self {
        let reply_time = longest_deadline.min(MAX_REPLY_DEADLINE) + REPLY_MARGIN;
        Shutdown { phase: Phase::Running, reply_time }
    }

    /// Begins the shutdown and returns the reply deadline, or `None` if it has already begun.
    pub fn begin(&mut self, now: Instant) -> Option<Instant> {
        if self.has_begun() {
            return None;
        }
        let reply_deadline = now + self.reply_time;
        self.phase = Phase::Accepting { reply_deadline };
        Some(reply_deadline)
    }

    /// Returns whether the signal was received.
    pub fn has_begun(&self) -> bool {
        self.phase != Phase::Running
    }

    /// Returns whether the listener is closed.
    pub fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. })
    }

    /// Returns the time from which requests are not served: [`Instant::FAR_FUTURE`] while running.
    fn reply_deadline(&self) -> Instant {
        match self.phase {
            Phase::Running => Instant::FAR_FUTURE,
            Phase::Accepting { reply_deadline } | Phase::Draining { reply_deadline, .. } => reply_deadline,
        }
    }

    /// Returns the time of the next check whether the process can exit, since no event reports that clients had
    /// the time to receive their replies: [`Instant::FAR_FUTURE`] before the listener is closed.
    pub fn next_exit_check_at(&self, now: Instant) -> Instant {
        if self.is_draining() {
            now + EXIT_CHECK_INTERVAL
        } else {
            Instant::FAR_FUTURE
        }
    }

    /// Returns whether requests are no longer served.
    pub fn is_past_reply_deadline(&self, now: Instant) -> bool {
        now >= self.reply_deadline()
    }

    /// Returns whether the process has to exit, even with open requests or connections.
    pub fn must_exit(&self, now: Instant) -> bool {
        now >= self.reply_deadline() + EXIT_MARGIN
    }

    /// Returns whether to continue accepting connections: time is left, and connections are waiting or the
    /// latest one was accepted recently.
    pub fn should_keep_accepting(
        &self,
        now: Instant,
        accepted: AcceptOutcome,
        last_accepted_at: Instant,
    ) -> bool {
        let arriving = accepted != AcceptOutcome::QueueEmpty || now < last_accepted_at + ACCEPT_IDLE_TIMEOUT;
        arriving && now + ACCEPTING_END_MARGIN < self.reply_deadline()
    }

    /// Enters [`Phase::Draining`]; the caller closes the listener.
    pub fn start_draining(&mut self, now: Instant) {
        self.phase = Phase::Draining { reply_deadline: self.reply_deadline(), since: now };
    }

    /// Returns whether no client is left that the process waits for.
    pub fn can_exit(&self, now: Instant, clients: &Clients) -> bool {
        let Phase::Draining { since, .. } = self.phase else { return false };
        let waited = now.duration_since(since);
        // Without these limits, an incomplete command or unread replies would delay the exit until SIGKILL.
        clients.len() == 0
            || (waited > INCOMPLETE_COMMAND_TIME && clients.busy_count() == 0)
            || waited > MAX_DRAINING_TIME
            || self.is_past_reply_deadline(now)
    }
}

#[cfg(test)]
mod tests;
