//! Slow start: a backend that started recently has only part of its capacity, and breaks down under more
//! load.

use crate::state::{unit_draw, Backend, DecayingRate, Salt, MICROS_PER_SECOND};
use crate::{Duration, Instant, Settings};
use std::collections::VecDeque;

/// Time constant of the send rate from which the fair share of a backend is computed.
const SEND_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Share of the attempts permitted by [`SlowStart::overload_factor`] that is used. The rest is a margin for
/// overload, when more attempts are sent than the backends can process, and for gateways that send at the
/// same time by chance.
const BUDGET_SHARE: f64 = 0.35;
/// Overload windows per draw. The window slides, so a new draw for each window would let two gateways send
/// within the same window.
const WINDOWS_PER_DRAW: u64 = 4;
/// Salt of the number of a draw in its seed.
const DRAW_NUMBER_SALT: Salt = Salt::from_bit(48);
/// Salt of the gateway's id in the seed of a draw.
const GATEWAY_SALT: Salt = Salt::from_bit(32);

/// Limits the attempts that this gateway sends to backends in slow start.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Share of its capacity that a backend has when it starts, from 0 to 1.
    floor: f64,
    /// Time until a backend reaches its full capacity.
    duration: Duration,
    /// A backend breaks down if it receives more than this multiple of its capacity within
    /// `overload_window`.
    overload_factor: f64,
    overload_window: Duration,
    /// Id of this gateway.
    own_id: u64,
    /// Number of gateways that send to the same backends.
    fleet_size: u64,
    /// Rate of the attempts that this gateway sends to all backends.
    send_rate: DecayingRate,
}

impl SlowStart {
    /// Creates the limits of a gateway that has sent nothing yet.
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

    /// Records that this gateway sends an attempt, to any backend.
    pub(super) fn record_send(&mut self, now: Instant) {
        self.send_rate.record(now, SEND_RATE_TIME_CONSTANT);
    }

    /// Returns the minimum share of its full capacity that a backend has at its age, from the floor to 1.
    pub(super) fn capacity_share(&self, backend: &Backend, now: Instant) -> f64 {
        let Some(age) = self.age_in_slow_start(backend, now) else { return 1.0 };
        self.floor + (1.0 - self.floor) * age.as_micros_f64() / self.duration.as_micros_f64()
    }

    /// Returns whether a backend may be sent an attempt. `ready_capacity` is the total capacity of the
    /// ready backends.
    pub(super) fn allows(&self, backend: &Backend, ready_capacity: f64, now: Instant) -> bool {
        if self.age_in_slow_start(backend, now).is_none() {
            return true;
        }
        let recent_sends = backend.recent_sends.count(now, self.window());
        recent_sends as f64 + self.draw(backend, now) < self.budget(backend, ready_capacity, now)
    }

    /// Returns the time since a backend started, or `None` if it is not in slow start.
    fn age_in_slow_start(&self, backend: &Backend, now: Instant) -> Option<Duration> {
        let age = now.duration_since(backend.endpoint.started_at?);
        (age < self.duration).then_some(age)
    }

    /// Returns the number of attempts that this gateway may send to a backend within the overload window,
    /// from the backend's fair share of this gateway's send rate, its current capacity and the overload
    /// factor. The result may be less than 1.
    fn budget(&self, backend: &Backend, ready_capacity: f64, now: Instant) -> f64 {
        let sends_per_second = self.send_rate.at(now, SEND_RATE_TIME_CONSTANT);
        let fair_rate = sends_per_second * backend.size / ready_capacity.max(backend.size);
        let fair_sends = fair_rate * self.window().as_micros_f64() / MICROS_PER_SECOND;
        let capacity_share = self.capacity_share(backend, now);
        let budget = self.overload_factor * capacity_share * fair_sends * BUDGET_SHARE;
        budget.max(1.0 / self.fleet_size as f64)
    }

    /// Returns a random number from 0 to 1 that is added to the recent sends. It decides which gateways may
    /// send when the budget of each is less than 1: one attempt from every gateway of a large fleet would
    /// overload the backend. Each gateway draws at different times.
    fn draw(&self, backend: &Backend, now: Instant) -> f64 {
        let period = self.window() * WINDOWS_PER_DRAW;
        let offset = period.mul_f64(unit_draw(self.own_id));
        let number = (now + offset).period_index(period);
        let seed = backend.endpoint.backend.0;
        unit_draw(seed ^ DRAW_NUMBER_SALT.of(number) ^ GATEWAY_SALT.of(self.own_id))
    }

    /// Returns the overload window, at least 1 µs.
    fn window(&self) -> Duration {
        self.overload_window.max(Duration::MICROSECOND)
    }
}

/// Times of the recent attempts that this gateway sent to a backend.
#[derive(Default)]
pub(crate) struct RecentSends(VecDeque<Instant>);

impl RecentSends {
    /// Records a send and discards those older than `window`.
    pub(crate) fn record(&mut self, now: Instant, window: Duration) {
        self.0.retain(|sent_at| *sent_at + window > now);
        self.0.push_back(now);
    }

    /// Returns the number of attempts sent within the last `window`.
    fn count(&self, now: Instant, window: Duration) -> usize {
        self.0.iter().filter(|sent_at| **sent_at + window > now).count()
    }
}

#[cfg(test)]
mod tests;
