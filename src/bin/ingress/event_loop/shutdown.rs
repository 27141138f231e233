//! The phases of the graceful shutdown and the times that they keep to.

use crate::clients::{AcceptOutcome, Clients};
use ingress::{Duration, Instant};

/// How long connections are accepted at least after the signal: new ones come for up to 0.4 s, and for longer from
/// clients that have not heard of the shutdown.
pub const MIN_ACCEPTING_TIME: Duration = Duration::from_millis(500);
/// After that, accepting ends once no connection has come for so long.
const ACCEPTING_QUIET_TIME: Duration = Duration::from_millis(300);
/// How often that is checked.
pub const ACCEPTING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long, while draining, a client is waited for that owes the rest of a command.
const DRAINING_IDLE_CLIENT_TIME: Duration = Duration::from_secs(1);
/// How long, while draining, clients may take in all to read their replies.
pub const MAX_DRAINING_TIME: Duration = Duration::from_secs(2);
/// The longest deadline of a request that is waited for.
const MAX_REPLY_DEADLINE: Duration = Duration::from_secs(3);
/// How long after that deadline the last requests are failed: SIGKILL may come 0.7 s after it.
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// How long after the reply deadline the process ends, whoever still sends: SIGKILL may come 0.3 s after it.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No signal to stop has come.
    Running,
    /// The signal has come. Connections are still accepted, and requests served.
    Accepting {
        /// When requests are no longer served, and the open ones are failed.
        reply_deadline: Instant,
    },
    /// The listener is closed. Requests are still served; connections are closed as soon as they are idle.
    Draining {
        /// As in the phase before.
        reply_deadline: Instant,
        /// When the listener was closed.
        since: Instant,
    },
}

/// The graceful shutdown.
pub struct Shutdown {
    /// How far it has come.
    pub(super) phase: Phase,
    /// How long requests are served after the signal.
    reply_time: Duration,
}

impl Shutdown {
    /// No shutdown yet; `longest_deadline` is that of the request class with the longest one.
    pub fn new(longest_deadline: Duration) -> Self {
        let reply_time = longest_deadline.min(MAX_REPLY_DEADLINE) + REPLY_MARGIN;
        Shutdown { phase: Phase::Running, reply_time }
    }

    /// Begins the shutdown and gives the reply deadline; none if it has begun before.
    pub fn begin(&mut self, now: Instant) -> Option<Instant> {
        if self.has_begun() {
            return None;
        }
        let reply_deadline = now + self.reply_time;
        self.phase = Phase::Accepting { reply_deadline };
        Some(reply_deadline)
    }

    /// Whether the signal has come.
    pub fn has_begun(&self) -> bool {
        self.phase != Phase::Running
    }

    /// Whether the listener is closed.
    pub fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. })
    }

    /// When requests are no longer served; never, while running.
    fn reply_deadline(&self) -> Instant {
        match self.phase {
            Phase::Running => Instant::FAR_FUTURE,
            Phase::Accepting { reply_deadline } | Phase::Draining { reply_deadline, .. } => reply_deadline,
        }
    }

    /// Whether requests are no longer served.
    pub fn is_past_reply_deadline(&self, now: Instant) -> bool {
        now >= self.reply_deadline()
    }

    /// Whether the process has to end, whatever is still under way.
    pub fn must_exit(&self, now: Instant) -> bool {
        now >= self.reply_deadline() + EXIT_MARGIN
    }

    /// Whether connections are to be accepted for longer, by when the latest came and whether more may wait.
    pub fn keeps_accepting(&self, now: Instant, accepted: AcceptOutcome, last_accepted_at: Instant) -> bool {
        let arriving = accepted != AcceptOutcome::Drained || now < last_accepted_at + ACCEPTING_QUIET_TIME;
        arriving && now + MIN_ACCEPTING_TIME < self.reply_deadline()
    }

    /// Notes that the listener is closed.
    pub fn start_draining(&mut self, now: Instant) {
        self.phase = Phase::Draining { reply_deadline: self.reply_deadline(), since: now };
    }

    /// While draining, whether no client is left that is worth waiting for.
    pub fn is_drained(&self, now: Instant, clients: &Clients) -> bool {
        let Phase::Draining { since, .. } = self.phase else { return false };
        let waited = now.duration_since(since);
        // Half a command, or replies that nobody reads, must not keep the process until it is killed.
        clients.len() == 0
            || (waited > DRAINING_IDLE_CLIENT_TIME && clients.busy_count() == 0)
            || waited > MAX_DRAINING_TIME
            || self.is_past_reply_deadline(now)
    }
}

#[cfg(test)]
mod tests;
