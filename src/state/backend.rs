//! What a gateway knows of a backend.

use super::DecayingAverage;
use crate::{Duration, Endpoint, Instant, Rules};
use std::collections::VecDeque;

/// How a backend does with one class of requests: it may be an outlier for that one alone.
#[derive(Clone, Default)]
pub struct Health {
    /// Share of recent answers that were failures.
    pub failures: DecayingAverage,
    /// When it last answered, with whatever outcome.
    pub last_heard_at: Instant,
    /// Until then it is chosen last.
    pub ejected_until: Instant,
    /// Ejections since the last good answer.
    pub consecutive_ejections: u32,
}

/// A backend that is ready, or that attempts are still in flight at.
#[derive(Default)]
pub struct Backend {
    /// Its latest entry of the endpoint list.
    pub endpoint: Endpoint,
    /// Its capacity relative to others, 1 where the list does not say.
    pub size: f64,
    /// It is listed as taking work.
    pub ready: bool,
    /// Attempts of this gateway in flight there.
    pub in_flight: u32,
    /// Mean latency over what the class usually takes; 1 is normal.
    pub relative_latency: f64,
    /// By class.
    pub health: Vec<Health>,
    /// Requests waiting there as last reported.
    pub reported_queue_depth: f64,
    /// When that was reported.
    pub reported_at: Instant,
    /// When attempts were sent there, within the overload window.
    recent_sends: VecDeque<Instant>,
}

impl Backend {
    /// Whether it came up so lately that it has a part of its capacity only.
    pub fn in_slow_start(&self, now: Instant, rules: &Rules) -> bool {
        self.age(now).is_some_and(|age| age < rules.slow_start_duration)
    }

    /// The part of its capacity that it has for sure.
    pub fn slow_start_share(&self, now: Instant, rules: &Rules) -> f64 {
        let Some(age) = self.age(now).filter(|age| *age < rules.slow_start_duration) else { return 1.0 };
        let floor = rules.slow_start_floor;
        floor + (1.0 - floor) * age.as_micros_f64() / rules.slow_start_duration.as_micros_f64()
    }

    /// The time since its process started; none for long ago.
    fn age(&self, now: Instant) -> Option<Duration> {
        self.endpoint.started_at.map(|started_at| now.duration_since(started_at))
    }

    /// Notes that an attempt is sent there; sends older than `window` are forgotten.
    pub fn begin_attempt(&mut self, now: Instant, window: Duration) {
        self.in_flight += 1;
        self.recent_sends.retain(|sent_at| *sent_at + window > now);
        self.recent_sends.push_back(now);
    }

    /// Notes that an attempt there has ended.
    pub fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Attempts sent there in the last `window`.
    pub fn recent_sends(&self, now: Instant, window: Duration) -> usize {
        self.recent_sends.iter().filter(|sent_at| **sent_at + window > now).count()
    }
}
