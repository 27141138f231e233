//! Load shedding: under overload the requests of some customers are rejected, in stages of increasing
//! severity.

use super::pressure::{Pressure, LOW_PRESSURE};
use crate::state::{unit_draw, Salt};
use crate::{CustomerId, Duration, Instant, Plan};
use std::fmt;

/// Share of the customers on ordinary plans, those below the highest price, that is admitted, by stage. The
/// shares are those of amber traffic in table I of Demir and Ghose, "Maintaining Useful Server Throughput
/// under Load Attacks Using Active NIC Portals".
const ADMITTED_SHARES: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
/// Stage at which only customers on the highest-priced plan are admitted. Where all prices are equal it
/// sheds as many customers as the stage below.
const LAST_STAGE: usize = ADMITTED_SHARES.len();
/// Lowest stage at which inactive customers are shed like others.
const FIRST_STAGE_FOR_INACTIVE: usize = 2;
/// Minimum time in a stage before the next higher one, so that the effect of the stage can show first.
pub(super) const MIN_STAGE_TIME_UP: Duration = Duration::from_millis(1500);
/// Minimum time in a stage before the next lower one.
const MIN_STAGE_TIME_DOWN: Duration = Duration::from_secs(2);
/// Time for which the same customers are shed. It is longer than the time for which their clients retry.
const SHEDDING_EPOCH: Duration = Duration::from_secs(10);
/// Salt of the number of the epoch in a customer's draw.
const EPOCH_SALT: Salt = Salt::from_bit(33);
/// Share of requests rejected as `Saturated` above which the stage rises, unless the pressure is low.
const HIGH_SATURATION_RATE: f64 = 0.05;
/// Weight of one request in the saturation rate.
const SATURATION_WEIGHT: f64 = 0.05;

/// Activity of a customer, by its requests to this gateway and by usage reports of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CustomerActivity {
    /// A request or usage report of the customer was received recently.
    Active,
    /// No request or usage report of the customer was received recently.
    Inactive,
}

/// Input of the decision to shed a request.
#[derive(Clone, Copy)]
pub(crate) struct SheddingContext<'a> {
    pub now: Instant,
    pub customer: CustomerId,
    pub activity: CustomerActivity,
    pub plan: &'a Plan,
    /// All plans, to find the highest price.
    pub plans: &'a [Plan],
}

/// A change of the shedding stage, as written to the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StageChange {
    pub from: usize,
    pub to: usize,
    pub pressure: f64,
    /// Maximum number of attempts that the gateway may have in flight.
    pub concurrency_limit: f64,
    /// Number of attempts of the gateway in flight.
    pub in_flight: u32,
}

impl fmt::Display for StageChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StageChange { from, to, pressure, concurrency_limit, in_flight } = self;
        write!(
            formatter,
            "load_shedding: stage changed, from={from}, to={to}, pressure={pressure:.2}, \
             concurrency_limit={concurrency_limit:.0}, in_flight={in_flight}"
        )
    }
}

/// Decides which customers are shed.
///
/// The stage rises by one while the pressure is high or many requests are rejected as `Saturated`, and
/// falls by one while the pressure is low.
#[derive(Default)]
pub(crate) struct LoadShedder {
    /// At 0 no customer is shed; each higher stage sheds more.
    stage: usize,
    stage_changed_at: Instant,
    /// Recent share of the requests within their quota that were rejected as `Saturated`.
    saturation_rate: f64,
}

impl LoadShedder {
    /// Returns whether no customer is shed.
    pub(crate) fn is_idle(&self) -> bool {
        self.stage == 0
    }

    /// Returns whether a customer's request is admitted at the current stage. All gateways shed the same
    /// customers for a whole epoch: if each request were drawn separately, the retries of rejected clients
    /// would be admitted, too late to be of use, and cause the next overload.
    pub(crate) fn admits(&self, context: &SheddingContext<'_>) -> bool {
        let is_exempt =
            context.activity == CustomerActivity::Inactive && self.stage < FIRST_STAGE_FOR_INACTIVE;
        if self.stage == 0 || is_exempt {
            return true;
        }
        let top_price = context.plans.iter().map(|plan| plan.price).fold(f64::MIN, f64::max);
        let prices_differ = context.plans.iter().any(|plan| plan.price < top_price);
        if prices_differ && context.plan.price >= top_price {
            return true;
        }
        if prices_differ && self.stage == LAST_STAGE {
            return false;
        }
        let admitted_share = ADMITTED_SHARES[self.stage.min(LAST_STAGE - 1)];
        epoch_draw(context.now, context.customer) < admitted_share
    }

    /// Records that a request within its quota was admitted.
    pub(crate) fn record_admission(&mut self) {
        self.saturation_rate -= SATURATION_WEIGHT * self.saturation_rate;
    }

    /// Records that a request within its quota was rejected as `Saturated`.
    pub(crate) fn record_saturation(&mut self) {
        self.saturation_rate += SATURATION_WEIGHT * (1.0 - self.saturation_rate);
    }

    /// Moves the stage up or down by at most one. Returns the previous stage if it changed.
    pub(crate) fn update_stage(&mut self, now: Instant, pressure: &Pressure) -> Option<usize> {
        let stage = self.next_stage(now, pressure);
        if stage == self.stage {
            return None;
        }
        self.stage_changed_at = now;
        Some(std::mem::replace(&mut self.stage, stage))
    }

    /// Returns the current stage; at 0 no customer is shed.
    pub(crate) fn stage(&self) -> usize {
        self.stage
    }

    /// Returns the stage that follows from the pressure, at most one above or below the current one.
    fn next_stage(&self, now: Instant, pressure: &Pressure) -> usize {
        let time_in_stage = now.duration_since(self.stage_changed_at);
        let is_low = pressure.level() < LOW_PRESSURE;
        if self.is_overloaded(pressure) && time_in_stage > MIN_STAGE_TIME_UP && self.stage < LAST_STAGE {
            self.stage + 1
        } else if is_low && time_in_stage > MIN_STAGE_TIME_DOWN && self.stage > 0 {
            self.stage - 1
        } else {
            self.stage
        }
    }

    /// Returns whether the stage has to rise. Rejections at low pressure don't raise it: shedding itself
    /// causes them, while the backends may be idle.
    fn is_overloaded(&self, pressure: &Pressure) -> bool {
        let is_rejecting = pressure.level() > LOW_PRESSURE && self.saturation_rate > HIGH_SATURATION_RATE;
        pressure.is_high() || is_rejecting
    }
}

/// Returns a number from 0 to 1 that is the same for a customer at all gateways during an epoch.
pub(crate) fn epoch_draw(now: Instant, customer: CustomerId) -> f64 {
    let epoch = now.period_index(SHEDDING_EPOCH);
    unit_draw(customer.0 ^ EPOCH_SALT.of(epoch))
}

#[cfg(test)]
mod tests;
