//! Schedules for polls of discovery and their retries.
//!
//! There are two schedules, for two kinds of host. The ingress program watches discovery by long polls and
//! follows [`PollSchedule`]: exponential backoff with jitter, bounded by the delivery rule. A host that polls
//! when the gateway requests it, such as the simulator, follows `PeriodicPoll`. There is no I/O and no clock;
//! the caller passes the time.
//!
//! The delivery rule: a change counts as delivered a fixed time after discovery had it and could be reached.
//! From then on a request to a removed backend is a fault of the ingress, even if it has not received the
//! change.

use crate::{Duration, Instant};
use std::ops::RangeInclusive;

/// Maximum time for which discovery holds a poll.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time by which each ingress extends the interval over which first polls are spread.
const SPREAD_PER_INGRESS: Duration = Duration::from_millis(20);
/// Maximum length of the interval over which first polls are spread. The endpoint list counts as delivered
/// to a new process 6 s after its start; the rest of that time is left for the response.
const MAX_SPREAD: Duration = Duration::from_secs(4);
/// Range from which the maximum time until the next poll is drawn, measured from the time since which
/// changes may have been missed. Such a change counts as delivered 6 s after discovery had it and could be
/// reached; the rest is left for the response.
const POLL_GAP: RangeInclusive<Duration> = Duration::from_millis(4500)..=Duration::from_secs(5);

/// Additional time to wait for a response after the poll's timeout. Changes in a lost response count as
/// delivered 2 s after the timeout, and the ingress must not use a removed backend from then on, so the next
/// poll has to be answered earlier.
const RESPONSE_GRACE: Duration = Duration::from_millis(750);
/// Maximum time in the queue of discovery that the next poll allows for. A longer one delays changes beyond
/// their delivery in any case, and was more likely an outage.
const MAX_EXPECTED_QUEUE_TIME: Duration = Duration::from_secs(6);

/// Periodic polls per interval within which one is required: two, so that one may fail.
const POLLS_PER_INTERVAL: u64 = 2;
/// A failed periodic poll is repeated after the interval divided by this number.
const RETRIES_PER_INTERVAL: u64 = 8;

/// Delays before a retry; jitter changes each of them by up to 50% in either direction.
#[derive(Clone, Copy, Debug)]
struct RetryDelays {
    /// Delay before the first retry; it doubles with each further one.
    initial: Duration,
    /// Maximum delay.
    max: Duration,
}

/// Time limits of polls, delays of their retries, and the interval over which first polls are spread.
#[derive(Clone, Copy, Debug)]
pub struct PollTimings {
    /// Time that a poll waits for a change.
    pub poll_timeout: Duration,
    /// Maximum time to establish a connection, and to receive the response to a poll that does not wait.
    /// After it the connection counts as dead.
    pub response_timeout: Duration,
    /// Delays after a failure.
    retry_delays: RetryDelays,
    /// Interval over which first polls are spread when many ingresses start, or lose their watches, at the
    /// same time.
    spread: Duration,
}

impl PollTimings {
    /// Polls of an agent on the same host, which receives every change itself. Their timeout is short, since
    /// a dead connection is detected only after it. Changes that the agent has received count as delivered
    /// whether or not a poll is pending, so every delay must be shorter than the grace period of a change
    /// ([`Rules::drain_grace`](crate::Rules::drain_grace)).
    pub const LOCAL_AGENT: PollTimings = PollTimings {
        poll_timeout: Duration::from_secs(2),
        response_timeout: Duration::from_secs(1),
        retry_delays: RetryDelays { initial: Duration::from_millis(50), max: Duration::from_millis(100) },
        spread: Duration::ZERO,
    };

    /// Returns the timings for a service that all ingresses share and that queues their polls. The service
    /// also processes polls whose clients have given up, so a queue that is full after a mass restart only
    /// empties if rejected ingresses wait as long as the delivery rule allows. `max_poll_interval` is the
    /// setting for the interval within which discovery must be polled. A waiting poll may last longer than
    /// that: it is answered at each change, and more frequent polls would only add load.
    pub fn shared_service(max_poll_interval: Duration, ingress_count: u64) -> PollTimings {
        PollTimings {
            poll_timeout: (max_poll_interval * 2).clamp(Self::LOCAL_AGENT.poll_timeout, MAX_POLL_TIMEOUT),
            response_timeout: Duration::from_secs(3),
            retry_delays: RetryDelays { initial: Duration::from_secs(1), max: Duration::from_secs(8) },
            spread: (SPREAD_PER_INGRESS * ingress_count).min(MAX_SPREAD),
        }
    }
}

/// A poll that failed while it was pending.
#[derive(Clone, Copy, Debug)]
pub struct FailedPoll {
    /// Time at which the poll began; establishing the connection is part of the poll.
    pub started_at: Instant,
    /// Whether the request was completely written.
    pub request_sent: bool,
}

/// The poll that follows a failure.
#[derive(Clone, Copy, Debug)]
pub struct NextPoll {
    /// Time at which the poll is due.
    pub at: Instant,
    /// Whether this is the first failure since the last success, or since the start.
    pub is_first_failure: bool,
}

/// Schedule of the long polls of one ingress.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// Time limits and delays of the polls.
    pub timings: PollTimings,
    /// Delay after the next failure, before jitter.
    next_delay: Duration,
    /// Source of the jitter.
    random: fastrand::Rng,
    /// Whether a poll failed and none has succeeded since.
    is_failing: bool,
    /// Time of the last response.
    responded_at: Instant,
    /// Time for which the last poll waited in the queue of discovery, as far as its response showed.
    queue_time: Duration,
}

impl PollSchedule {
    /// Creates the schedule of a process that starts. `seed` determines the jitter.
    pub fn new(timings: PollTimings, seed: u64) -> PollSchedule {
        PollSchedule {
            timings,
            next_delay: timings.retry_delays.initial,
            random: fastrand::Rng::with_seed(seed),
            is_failing: false,
            responded_at: Instant::ZERO,
            queue_time: Duration::ZERO,
        }
    }

    /// Returns the time of the first poll of a process that starts at `now`.
    pub fn first_poll_at(&mut self, now: Instant) -> Instant {
        now + self.spread()
    }

    /// Returns the time that the next poll waits for a change.
    pub fn next_poll_timeout(&mut self) -> Duration {
        self.jittered(self.timings.poll_timeout).min(MAX_POLL_TIMEOUT)
    }

    /// Returns the time after which a long poll that waits `poll_timeout` for a change counts as late. Its
    /// successor has to be answered before changes that a dead connection missed count as delivered, so it
    /// begins earlier by the time that it is expected to wait in the queue of discovery.
    pub fn long_poll_response_timeout(&self, poll_timeout: Duration) -> Duration {
        (poll_timeout + RESPONSE_GRACE - self.queue_time).max(self.timings.response_timeout)
    }

    /// Returns whether a response arrived after this time.
    pub fn has_response_since(&self, time: Instant) -> bool {
        self.responded_at > time
    }

    /// Records a failure at `now`, of the `pending` poll if there was one, and schedules the next poll.
    pub fn on_failure(&mut self, now: Instant, pending: Option<FailedPoll>) -> NextPoll {
        let unobserved_since = self.unobserved_since(now, pending);
        let latest = unobserved_since + self.draw(POLL_GAP);
        let is_first_failure = !std::mem::replace(&mut self.is_failing, true);
        let spread = if is_first_failure { self.spread() } else { Duration::ZERO };
        let at = (now + self.jittered(self.next_delay) + spread).min(latest).max(now);
        self.next_delay = (self.next_delay * 2).min(self.timings.retry_delays.max);
        NextPoll { at, is_first_failure }
    }

    /// Returns the time from which changes may have been missed. An established watch received every change
    /// until now; a poll that failed before it became a watch may have missed changes since its start, or
    /// since the response to an earlier poll, if that arrived later.
    fn unobserved_since(&self, now: Instant, pending: Option<FailedPoll>) -> Instant {
        let Some(poll) = pending else { return now };
        let failed_early = now <= poll.started_at + self.timings.response_timeout;
        if self.is_failing || !poll.request_sent || failed_early {
            poll.started_at.max(self.responded_at)
        } else {
            now
        }
    }

    /// Records a response at `now`, which a discovery without a queue would have sent by `expected_at`.
    /// Returns whether polls had failed before.
    pub fn on_success(&mut self, now: Instant, expected_at: Instant) -> bool {
        self.responded_at = now;
        // A long poll that is answered before its timeout does not show how long it waited in the queue.
        if now >= expected_at {
            self.queue_time = now.duration_since(expected_at).min(MAX_EXPECTED_QUEUE_TIME);
        }
        self.next_delay = self.timings.retry_delays.initial;
        std::mem::take(&mut self.is_failing)
    }

    /// Resets the retry delay to its initial value.
    pub fn reset(&mut self) {
        self.next_delay = self.timings.retry_delays.initial;
    }

    /// Draws a time between half of `middle` and one and a half times `middle`. Many ingresses start, fail,
    /// or reach the end of a poll at the same time; without jitter they would also retry, and fail again,
    /// at the same time.
    fn jittered(&mut self, middle: Duration) -> Duration {
        let shortest = middle / 2;
        let longest = middle * 3 / 2;
        self.draw(shortest..=longest)
    }

    fn draw(&mut self, range: RangeInclusive<Duration>) -> Duration {
        Duration::from_micros(self.random.u64(range.start().as_micros()..=range.end().as_micros()))
    }

    /// Draws the delay of this ingress within the interval over which first polls are spread.
    fn spread(&mut self) -> Duration {
        self.draw(Duration::ZERO..=self.timings.spread)
    }
}

/// Schedule of the polls that a gateway requests from a host without a watch on the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeriodicPoll {
    /// Time of the next poll.
    due_at: Instant,
}

impl PeriodicPoll {
    /// Returns whether a poll is due, and if so schedules the next one. `max_interval` is the setting for
    /// the interval within which discovery must be polled.
    pub(crate) fn take_due(&mut self, now: Instant, max_interval: Duration) -> bool {
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = now + (max_interval / POLLS_PER_INTERVAL).max(Duration::MICROSECOND);
        }
        is_due
    }

    /// Schedules the next poll earlier, after a failed one.
    pub(crate) fn on_failure(&mut self, now: Instant, max_interval: Duration) {
        let retry_at = now + (max_interval / RETRIES_PER_INTERVAL).max(Duration::MICROSECOND);
        self.due_at = self.due_at.min(retry_at);
    }
}

#[cfg(test)]
mod tests;
