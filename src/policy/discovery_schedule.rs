//! When discovery is polled, and polled again after a failure.
//!
//! There are two schedules, for two kinds of host. The ingress itself watches discovery by long polls and
//! follows [`PollSchedule`]: exponential backoff with jitter, bounded by the rule that a change counts as
//! delivered a fixed time after discovery could be reached. A host that polls when the gateway asks it to, as
//! the simulator does, follows `PeriodicPoll`. No I/O and no clock; the caller passes the time.

use crate::{Duration, Instant};
use std::ops::RangeInclusive;

/// The longest time for which discovery holds a poll.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(60);
/// The part of one ingress in the time over which first polls are spread.
const SPREAD_PER_INGRESS: Duration = Duration::from_millis(20);
/// The most of that time: a process that starts counts as informed after 6 s like any other, and the response
/// takes its time.
const MAX_SPREAD: Duration = Duration::from_secs(4);
/// The longest time from a failed poll to the next one is drawn from this range: a change counts as delivered
/// 6 s after discovery had it and could be reached, which may be the moment after the poll, and the rest is
/// for the response.
const POLL_GAP: RangeInclusive<Duration> = Duration::from_millis(4500)..=Duration::from_secs(5);

/// Periodic polls in the time within which one is due: two, so that one may fail.
const POLLS_PER_INTERVAL: u64 = 2;
/// The part of that time after which a failed periodic poll is repeated.
const RETRIES_PER_INTERVAL: u64 = 8;

/// The delays before a retry, each drawn between half of it and half as much again.
#[derive(Clone, Copy, Debug)]
struct RetryDelays {
    /// Before the first retry; each further one doubles it.
    initial: Duration,
    /// Before any retry.
    max: Duration,
}

/// How long polls wait, when those that failed are retried, and over how long first polls are spread.
#[derive(Clone, Copy, Debug)]
pub struct PollTimings {
    /// How long one poll waits for a change.
    pub poll_timeout: Duration,
    /// How long a connection may take to be established, and the response to a poll that does not wait, until
    /// the connection counts as dead.
    pub response_timeout: Duration,
    /// The delays after a failure.
    retry_delays: RetryDelays,
    /// Over how long the first polls of ingresses that start, or lose their watches, at one moment are
    /// spread.
    spread: Duration,
}

impl PollTimings {
    /// Polls of an agent on the same host, which knows every change already. They wait for a short time,
    /// since a silent connection can only be detected once this is over. What the agent has counts as
    /// delivered whether or not a poll is pending, so no delay may last as long as the grace period of a
    /// change.
    pub const LOCAL_AGENT: PollTimings = PollTimings {
        poll_timeout: Duration::from_secs(2),
        response_timeout: Duration::from_secs(1),
        retry_delays: RetryDelays { initial: Duration::from_millis(50), max: Duration::from_millis(100) },
        spread: Duration::ZERO,
    };

    /// Polls of a service that all ingresses share, with a queue in front of it. It also works on polls that
    /// have been given up, so a queue that is full after a mass restart empties only if rejected ingresses
    /// stay away as long as the rule lets them. `max_poll_interval` is the time of the settings within which
    /// discovery must be polled. A poll that waits may last longer than that: while it is pending it is
    /// answered with each change, and an ingress that polled more often would only add to the load.
    pub fn shared_service(max_poll_interval: Duration, ingress_count: u64) -> PollTimings {
        PollTimings {
            poll_timeout: (max_poll_interval * 2).clamp(Self::LOCAL_AGENT.poll_timeout, MAX_POLL_TIMEOUT),
            response_timeout: Duration::from_secs(3),
            retry_delays: RetryDelays { initial: Duration::from_secs(1), max: Duration::from_secs(8) },
            spread: (SPREAD_PER_INGRESS * ingress_count).min(MAX_SPREAD),
        }
    }
}

/// A poll that was pending when it failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedPoll {
    /// When it was started.
    pub started_at: Instant,
    /// Whether its request had been written to the last byte.
    pub request_sent: bool,
}

/// When to poll again after a failure.
#[derive(Clone, Copy, Debug)]
pub struct NextPoll {
    /// When the next poll is due.
    pub at: Instant,
    /// Whether this is the first failure since a success, or since the start.
    pub is_first_failure: bool,
}

/// When one ingress polls discovery.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// How polls are made.
    pub timings: PollTimings,
    /// The middle of the delay after the next failure.
    next_delay: Duration,
    /// Draws the jitter.
    random: fastrand::Rng,
    /// A poll failed, and none has succeeded since.
    is_failing: bool,
}

impl PollSchedule {
    /// The schedule of a process that starts.
    pub fn new(timings: PollTimings, seed: u64) -> PollSchedule {
        PollSchedule {
            timings,
            next_delay: timings.retry_delays.initial,
            random: fastrand::Rng::with_seed(seed),
            is_failing: false,
        }
    }

    /// When a process that starts now makes its first poll.
    pub fn first_poll_at(&mut self, now: Instant) -> Instant {
        now + self.spread()
    }

    /// How long the next poll waits for a change.
    pub fn next_poll_timeout(&mut self) -> Duration {
        self.jittered(self.timings.poll_timeout).min(MAX_POLL_TIMEOUT)
    }

    /// Records a failure now, of the poll that was pending, if one was, and schedules the next poll.
    pub fn on_failure(&mut self, now: Instant, pending: Option<FailedPoll>) -> NextPoll {
        let unobserved_since = self.unobserved_since(now, pending);
        let latest = unobserved_since + self.draw(POLL_GAP);
        let is_first_failure = !std::mem::replace(&mut self.is_failing, true);
        let spread = if is_first_failure { self.spread() } else { Duration::ZERO };
        let at = (now + self.jittered(self.next_delay) + spread).min(latest).max(now);
        self.next_delay = (self.next_delay * 2).min(self.timings.retry_delays.max);
        NextPoll { at, is_first_failure }
    }

    /// Since when changes may have been missed. An established watch received every change until now; a poll
    /// that failed before it was one may have missed them from its start.
    fn unobserved_since(&self, now: Instant, pending: Option<FailedPoll>) -> Instant {
        let Some(poll) = pending else { return now };
        let failed_early = now <= poll.started_at + self.timings.response_timeout;
        if self.is_failing || !poll.request_sent || failed_early {
            poll.started_at
        } else {
            now
        }
    }

    /// Records a successful poll. Returns whether polls had failed before.
    pub fn on_success(&mut self) -> bool {
        self.next_delay = self.timings.retry_delays.initial;
        std::mem::take(&mut self.is_failing)
    }

    /// Starts the delays from the first one again.
    pub fn reset(&mut self) {
        self.next_delay = self.timings.retry_delays.initial;
    }

    /// A time drawn between half of `middle` and half as much again: many ingresses start, fail and reach the
    /// end of a poll at one moment, and would otherwise retry, and fail again, at one moment.
    fn jittered(&mut self, middle: Duration) -> Duration {
        let shortest = middle / 2;
        let longest = middle * 3 / 2;
        self.draw(shortest..=longest)
    }

    /// A time drawn from a range.
    fn draw(&mut self, range: RangeInclusive<Duration>) -> Duration {
        Duration::from_micros(self.random.u64(range.start().as_micros()..=range.end().as_micros()))
    }

    /// The part of one ingress in the time over which polls at one moment are spread.
    fn spread(&mut self) -> Duration {
        self.draw(Duration::ZERO..=self.timings.spread)
    }
}

/// When a gateway asks its host to poll discovery, where the endpoint list does not come by itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeriodicPoll {
    /// When the next poll is due.
    due_at: Instant,
}

impl PeriodicPoll {
    /// Whether a poll is due; if so, the next one is scheduled. `max_interval` is the time of the settings
    /// within which discovery must be polled.
    pub(crate) fn take_due(&mut self, now: Instant, max_interval: Duration) -> bool {
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = now + (max_interval / POLLS_PER_INTERVAL).max(Duration::MICROSECOND);
        }
        is_due
    }

    /// Has the next poll come sooner, since the last one failed.
    pub(crate) fn on_failure(&mut self, now: Instant, max_interval: Duration) {
        let retry_at = now + (max_interval / RETRIES_PER_INTERVAL).max(Duration::MICROSECOND);
        self.due_at = self.due_at.min(retry_at);
    }
}

#[cfg(test)]
mod tests;
