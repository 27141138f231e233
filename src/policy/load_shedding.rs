//! Load shedding: which customers are rejected under overload, in stages of rising severity.

use super::pressure::{Pressure, LOW_PRESSURE};
use crate::state::{unit_draw, Salt};
use crate::{CustomerId, Duration, Instant, Plan};
use std::fmt;

/// Share of the customers on ordinary plans that is admitted, by stage: as for amber traffic in table I of
/// Demir and Ghose, "Maintaining Useful Server Throughput under Load Attacks Using Active NIC Portals".
const ADMITTED_SHARES: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
/// The stage at which only customers on the dearest plan are admitted. Where all prices are equal it sheds as
/// the stage before.
const LAST_STAGE: usize = ADMITTED_SHARES.len();
/// The stage from which customers that were not seen of late are shed like others.
const FIRST_STAGE_FOR_INACTIVE: usize = 2;
/// The least time on a stage before a higher one: the effect of a stage has to show first.
pub(super) const MIN_STAGE_TIME_UP: Duration = Duration::from_millis(1500);
/// The least time on a stage before a lower one.
const MIN_STAGE_TIME_DOWN: Duration = Duration::from_secs(2);
/// How long the same customers are shed: longer than their clients retry.
const SHEDDING_EPOCH: Duration = Duration::from_secs(10);
/// Mixes the number of the epoch into a customer's draw.
const EPOCH_SALT: Salt = Salt::from_bit(33);
/// Share of requests rejected as `Saturated` that raises an alert while the pressure is not low.
const HIGH_SATURATION_RATE: f64 = 0.05;
/// Weight of one request in the saturation rate.
const SATURATION_WEIGHT: f64 = 0.05;

/// Whether a customer was seen of late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CustomerActivity {
    /// It sent a request a short time ago.
    Active,
    /// It sent none for long, or never one.
    Inactive,
}

/// What decides whether a customer's request is shed.
#[derive(Clone, Copy)]
pub(crate) struct SheddingContext<'a> {
    /// The time.
    pub now: Instant,
    /// Whose request it is.
    pub customer: CustomerId,
    /// Whether the customer was seen of late.
    pub activity: CustomerActivity,
    /// The customer's plan.
    pub plan: &'a Plan,
    /// All plans.
    pub plans: &'a [Plan],
}

/// A change of the stage, as the log shows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StageChange {
    /// The stage before.
    pub from: usize,
    /// The stage from now on.
    pub to: usize,
    /// The pressure that led to it.
    pub pressure: f64,
    /// Attempts that the gateway may have in flight.
    pub concurrency_limit: f64,
    /// Attempts that it has in flight.
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
    /// 0 sheds nobody; each higher one sheds more.
    stage: usize,
    /// When the stage last changed.
    stage_changed_at: Instant,
    /// Recent share of requests inside their quota that were rejected as `Saturated`.
    saturation_rate: f64,
}

impl LoadShedder {
    /// Whether nobody is shed.
    pub(crate) fn is_idle(&self) -> bool {
        self.stage == 0
    }

    /// Whether a customer's request is admitted at the present stage. The customers that are shed stay the
    /// same for an epoch, at all gateways: if each request were drawn for, the retries of shed clients would
    /// be admitted, too late to be of use, and cause the next overload.
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

    /// Records that a request inside its quota was admitted.
    pub(crate) fn record_admission(&mut self) {
        self.saturation_rate -= SATURATION_WEIGHT * self.saturation_rate;
    }

    /// Records that a request inside its quota was rejected as `Saturated`.
    pub(crate) fn record_saturation(&mut self) {
        self.saturation_rate += SATURATION_WEIGHT * (1.0 - self.saturation_rate);
    }

    /// Moves by at most one stage, and returns the stage before if it moved.
    pub(crate) fn update_stage(&mut self, now: Instant, pressure: &Pressure) -> Option<usize> {
        let stage = self.next_stage(now, pressure);
        if stage == self.stage {
            return None;
        }
        self.stage_changed_at = now;
        Some(std::mem::replace(&mut self.stage, stage))
    }

    /// The present stage; 0 sheds nobody.
    pub(crate) fn stage(&self) -> usize {
        self.stage
    }

    /// The stage from now on, one up or down at most.
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

    /// Whether more has to be shed. Rejections alone raise no alert: shedding causes them, and backends may
    /// be idle meanwhile.
    fn is_overloaded(&self, pressure: &Pressure) -> bool {
        let is_rejecting = pressure.level() > LOW_PRESSURE && self.saturation_rate > HIGH_SATURATION_RATE;
        pressure.is_high() || is_rejecting
    }
}

/// A number from 0 to 1, the same for a customer at all gateways for an epoch.
pub(crate) fn epoch_draw(now: Instant, customer: CustomerId) -> f64 {
    let epoch = now.period_index(SHEDDING_EPOCH);
    unit_draw(customer.0 ^ EPOCH_SALT.of(epoch))
}

#[cfg(test)]
mod tests;
