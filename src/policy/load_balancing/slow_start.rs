//! Slow start: a backend that came up a short time ago bears a part of its capacity only, and falls over when
//! sent more.

use crate::state::{unit_draw, Backend, DecayingRate, Salt, MICROS_PER_SECOND};
use crate::{Duration, Instant, Settings};
use std::collections::VecDeque;

/// Time constant of the rate of sends by which the fair share of a backend is computed.
const SEND_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// The part of the overload rule's budget that is spent. The rest covers that under overload more is sent
/// than backends can bear, and that gateways send at the same moment by chance.
const BUDGET_SHARE: f64 = 0.35;
/// For how many overload windows a draw holds. The window slides, so that a draw for each window would let
/// two gateways send within one.
const DRAW_WINDOWS: u64 = 4;
/// Mixes the number of the draw into its seed.
const DRAW_NUMBER_SALT: Salt = Salt::from_bit(48);
/// Mixes the gateway into the seed of a draw.
const GATEWAY_SALT: Salt = Salt::from_bit(32);

/// Limits what this gateway sends to backends in slow start.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// The share of its capacity that a backend has at its start, from 0 to 1.
    floor: f64,
    /// How long it takes until a backend has all its capacity.
    duration: Duration,
    /// A backend falls over when sent more than this multiple of its capacity ...
    overload_factor: f64,
    /// ... within this time.
    overload_window: Duration,
    /// The gateway whose sends are limited.
    own_id: u64,
    /// Gateways that send to the same backends.
    fleet_size: u64,
    /// Attempts that this gateway sends to all backends together.
    send_rate: DecayingRate,
}

impl SlowStart {
    /// The limits of a gateway that has sent nothing yet.
    pub(super) fn new(settings: &Settings, fleet_size: u64) -> SlowStart {
        let rules = &settings.rules;
        SlowStart {
            floor: rules.slow_start_floor,
            duration: rules.slow_start_duration,
            overload_factor: rules.overload_factor,
            overload_window: rules.overload_window,
            own_id: settings.own_id.0.into(),
            fleet_size,
            send_rate: DecayingRate::default(),
        }
    }

    /// Records that this gateway sends an attempt, to whichever backend.
    pub(super) fn record_send(&mut self, now: Instant) {
        self.send_rate.record(now, SEND_RATE_TIME_CONSTANT);
    }

    /// The share of its capacity that a backend has for certain, from the floor to 1.
    pub(super) fn capacity_share(&self, backend: &Backend, now: Instant) -> f64 {
        let Some(age) = self.age_in_slow_start(backend, now) else { return 1.0 };
        self.floor + (1.0 - self.floor) * age.as_micros_f64() / self.duration.as_micros_f64()
    }

    /// Whether a backend may be sent an attempt, where the ready backends have a capacity of `ready_capacity`
    /// together.
    pub(super) fn allows(&self, backend: &Backend, ready_capacity: f64, now: Instant) -> bool {
        if self.age_in_slow_start(backend, now).is_none() {
            return true;
        }
        let recent_sends = backend.recent_sends.count(now, self.window());
        recent_sends as f64 + self.draw(backend, now) < self.budget(backend, ready_capacity, now)
    }

    /// How long a backend has been up; none if it is not in slow start.
    fn age_in_slow_start(&self, backend: &Backend, now: Instant) -> Option<Duration> {
        let age = now.duration_since(backend.endpoint.started_at?);
        (age < self.duration).then_some(age)
    }

    /// Attempts that this gateway may send a backend within the overload window: its part of what the backend
    /// can bear, by its fair share of what this gateway sends. It may be less than 1.
    fn budget(&self, backend: &Backend, ready_capacity: f64, now: Instant) -> f64 {
        let sends_per_second = self.send_rate.at(now, SEND_RATE_TIME_CONSTANT);
        let fair_rate = sends_per_second * backend.size / ready_capacity.max(backend.size);
        let fair_sends = fair_rate * self.window().as_micros_f64() / MICROS_PER_SECOND;
        let capacity_share = self.capacity_share(backend, now);
        let budget = self.overload_factor * capacity_share * fair_sends * BUDGET_SHARE;
        budget.max(1.0 / self.fleet_size as f64)
    }

    /// A number from 0 to 1 that is added to the sends. It decides which gateways may send where the budget
    /// of each is less than 1: if every gateway sent one attempt, those of a large fleet would overload the
    /// backend. Each gateway draws at times of its own.
    fn draw(&self, backend: &Backend, now: Instant) -> f64 {
        let period = self.window() * DRAW_WINDOWS;
        let offset = period.mul_f64(unit_draw(self.own_id));
        let number = (now + offset).period_index(period);
        let seed = backend.endpoint.backend.0;
        unit_draw(seed ^ DRAW_NUMBER_SALT.of(number) ^ GATEWAY_SALT.of(self.own_id))
    }

    /// The overload window, never zero.
    fn window(&self) -> Duration {
        self.overload_window.max(Duration::MICROSECOND)
    }
}

/// When this gateway lately sent attempts to a backend.
#[derive(Default)]
pub(crate) struct RecentSends(VecDeque<Instant>);

impl RecentSends {
    /// Records a send; those older than `window` are forgotten.
    pub(crate) fn record(&mut self, now: Instant, window: Duration) {
        self.0.retain(|sent_at| *sent_at + window > now);
        self.0.push_back(now);
    }

    /// Attempts sent within the last `window`.
    fn count(&self, now: Instant, window: Duration) -> usize {
        self.0.iter().filter(|sent_at| **sent_at + window > now).count()
    }
}

#[cfg(test)]
mod tests;
