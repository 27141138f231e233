//! The phases of the graceful shutdown and their times.

use crate::clients::{AcceptOutcome, Clients};
use ingress::{Duration, Instant};

/// By the protocol (planned restarts), clients open new connections for at most this long after SIGTERM, in
/// milliseconds.
const CONNECTING_MILLIS: u64 = 400;
/// By the protocol, SIGKILL comes no sooner than this after the longest deadline of a request has passed
/// since SIGTERM, in milliseconds.
const KILL_DELAY_MILLIS: u64 = 700;
/// The part of [`KILL_DELAY_MILLIS`] for which requests are served after the longest deadline, in
/// milliseconds.
const REPLY_MARGIN_MILLIS: u64 = 400;

/// How long connections are accepted at least after the signal: 100 ms longer than clients open them, since
/// some notice the shutdown late.
pub const MIN_ACCEPTING_TIME: Duration = Duration::from_millis(CONNECTING_MILLIS + 100);
/// After that, accepting ends once no connection was opened for this long.
const ACCEPT_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval of that check.
pub const ACCEPTING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long before the reply deadline accepting ends at the latest: a later connection's request could hardly
/// be served.
const ACCEPTING_END_MARGIN: Duration = Duration::from_millis(500);
/// How long, while draining, the rest of an incomplete command is waited for.
const INCOMPLETE_COMMAND_TIME: Duration = Duration::from_secs(1);
/// How long, while draining, clients may take to read their replies.
pub const MAX_DRAINING_TIME: Duration = Duration::from_secs(2);
/// The longest deadline of a request that the shutdown waits for. By the protocol, SIGKILL does not wait for
/// a longer one.
const MAX_REPLY_DEADLINE: Duration = Duration::from_secs(3);
/// How long after that deadline the last requests are failed.
const REPLY_MARGIN: Duration = Duration::from_millis(REPLY_MARGIN_MILLIS);
/// How long after the reply deadline the process ends, even if clients still send: half of the time that is
/// left until SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis((KILL_DELAY_MILLIS - REPLY_MARGIN_MILLIS) / 2);

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No signal to stop was received.
    Running,
    /// The signal was received. Connections are still accepted, and requests served.
    Accepting {
        /// When requests are no longer served, and the open ones are failed.
        reply_deadline: Instant,
    },
    /// The listener is closed. Requests are still served; connections are closed as soon as they are idle.
    Draining {
        /// As in [`Phase::Accepting`].
        reply_deadline: Instant,
        /// When the listener was closed.
        since: Instant,
    },
}

/// The state of the graceful shutdown.
pub struct Shutdown {
    /// The current phase.
    pub(super) phase: Phase,
    /// How long requests are served after the signal.
    reply_time: Duration,
}

impl Shutdown {
    /// Before the shutdown; `longest_deadline` is the longest of all request classes.
    pub fn new(longest_deadline: Duration) -> Self {
        let reply_time = longest_deadline.min(MAX_REPLY_DEADLINE) + REPLY_MARGIN;
        Shutdown { phase: Phase::Running, reply_time }
    }

    /// Begins the shutdown and returns the reply deadline; none if it has begun before.
    pub fn begin(&mut self, now: Instant) -> Option<Instant> {
        if self.has_begun() {
            return None;
        }
        let reply_deadline = now + self.reply_time;
        self.phase = Phase::Accepting { reply_deadline };
        Some(reply_deadline)
    }

    /// Whether the signal was received.
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

    /// Whether the process has to end, even with requests or connections open.
    pub fn must_exit(&self, now: Instant) -> bool {
        now >= self.reply_deadline() + EXIT_MARGIN
    }

    /// Whether to go on accepting connections: more are waiting, or the latest one was opened a short while
    /// ago.
    pub fn should_keep_accepting(
        &self,
        now: Instant,
        accepted: AcceptOutcome,
        last_accepted_at: Instant,
    ) -> bool {
        let arriving = accepted != AcceptOutcome::QueueEmpty || now < last_accepted_at + ACCEPT_IDLE_TIMEOUT;
        arriving && now + ACCEPTING_END_MARGIN < self.reply_deadline()
    }

    /// Begins to drain: the listener is closed.
    pub fn start_draining(&mut self, now: Instant) {
        self.phase = Phase::Draining { reply_deadline: self.reply_deadline(), since: now };
    }

    /// Whether no client is left, or none that is waited for any longer.
    pub fn can_exit(&self, now: Instant, clients: &Clients) -> bool {
        let Phase::Draining { since, .. } = self.phase else { return false };
        let waited = now.duration_since(since);
        // An incomplete command, or replies that are not read, would otherwise delay the process until it is
        // killed.
        clients.len() == 0
            || (waited > INCOMPLETE_COMMAND_TIME && clients.busy_count() == 0)
            || waited > MAX_DRAINING_TIME
            || self.is_past_reply_deadline(now)
    }
}

#[cfg(test)]
mod tests;
