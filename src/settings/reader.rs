//! Reader of the settings: converts pairs of a path and a value into [`Settings`].
//!
//! Both hosts use it: the simulator's adapter with lines of text, the ingress with nested JSON that it
//! flattens to the same paths. Unknown keys are ignored; a missing or invalid value is an error. Keys are
//! defined in this module alone. Those that differ from the terms in the code:
//!
//! | key | term in the code |
//! | --- | --- |
//! | `grades[]` | request classes, [`Class`] |
//! | `grades[].effect`: `repeatable`, `by_key`, `once` | [`Idempotency`]: idempotent, keyed, non-idempotent |
//! | `grades[].group`: `all`, `zone`, `cell` | [`IdempotencyScope`]: fleet, zone, cell |
//! | `grades[].objective_us`, `aim_stretch` | `latency_objective`, `latency_objective_stretch` |
//! | `grades[].give_up_us` | `deadline` |
//! | `grades[].worth`, `late_worth` | the priority weight, which is not used; `late_weight` |
//! | `contracts[]` | plans, [`Plan`] |
//! | `contracts[].quota_rate`, `max_out` | `rate`, `concurrency_quota` |
//! | `contracts[].never_over_rate`, `ceiling_burst` | `hard_limit_rate`, `hard_limit_burst` |
//! | `contracts[].worth_factor`, `beyond_costs` | `price`, `over_quota_cost` |
//! | `limits.most_tries`, `second_copies`, `cancelling` | `max_attempts`, `hedging`, `cancellation` |
//! | `limits.peers`, `family_info.peer_in_per_s` | `peer_messages`, `peer_messages_per_second` |
//! | `limits.max_open` | `max_open_requests` |
//! | `rules.cold_from`, `cold_us` | `slow_start_floor`, `slow_start_duration` |
//! | `rules.fall_us`, `must_ask_in_us` | `overload_window`, `max_poll_interval` |
//! | `membership_mode`: `push`, `ask` | [`Discovery`]: local agent, shared service |
//! | `weights`: `none`, `nominal` or `rough`, `live` | [`SizeMeaning`]: none, capacity, live |
//! | `n_instances`, `slot_no` | `gateway_count`, `own_id` |
//! | `skus` | machine types |
//! | `family_info.most_units`, `post_paid` | `max_request_units`, `postpaid` |
//! | `reporting.fields[]`: `depth` | [`LoadReportField::QueueDepth`] |

use super::values::{Values, MAX_COUNT};
use super::{Limits, Rules, Settings, SettingsError, SizeMeaning};
use crate::{Class, Discovery, Duration, GatewayId, Idempotency, IdempotencyScope, Plan};

/// Path of the list of request classes.
const CLASSES: &str = "grades";
/// Path of the list of plans.
const PLANS: &str = "contracts";
/// Maximum of the settings that are stored in 32 bits.
const MAX_U32: u64 = u32::MAX as u64;
/// Highest zone number.
const MAX_ZONE: u64 = u8::MAX as u64;

/// Type of a value that is checked but not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ValueKind {
    /// A finite, non-negative number.
    Number,
    /// An integer in microseconds.
    Duration,
    /// `true` or `false`.
    Flag,
}

/// Key of a class's priority weight, which is not used. A configuration in which it is missing or invalid is
/// rejected nevertheless.
const UNUSED_CLASS_KEY: (&str, ValueKind) = ("worth", ValueKind::Number);
/// Keys of a plan whose values are checked but not used.
const UNUSED_PLAN_KEYS: [(&str, ValueKind); 2] =
    [("ceiling_slack", ValueKind::Number), ("over_worth", ValueKind::Number)];
/// Paths outside the lists whose values are checked but not used.
const UNUSED_KEYS: [(&str, ValueKind); 4] = [
    ("limits.may_probe", ValueKind::Flag),
    ("family_info.has_counter", ValueKind::Flag),
    ("rules.answer_slack_us", ValueKind::Duration),
    ("family_info.meter_period_us", ValueKind::Duration),
];

/// A value in a backend's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Number of requests queued at the backend.
    QueueDepth,
    /// Any other value; ignored.
    Unused,
}

impl LoadReportField {
    /// Returns the field of this name, as used in the settings and in the load reports of backends.
    pub fn from_name(name: &str) -> LoadReportField {
        match name {
            "depth" | "queue" => LoadReportField::QueueDepth,
            _ => LoadReportField::Unused,
        }
    }
}

/// Reads settings from their values by path.
pub struct SettingsReader(Values);

impl SettingsReader {
    /// Creates a reader of pairs of a path and a value.
    pub fn new(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        SettingsReader(Values::new(pairs))
    }

    /// Creates a reader of lines of the form `path=value`.
    ///
    /// # Errors
    ///
    /// Returns an error if a line has no `=`.
    pub fn from_lines(text: &str) -> Result<Self, SettingsError> {
        Values::from_lines(text).map(SettingsReader)
    }

    /// Returns the settings of a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is missing, malformed or out of range, or if a list has items beyond its
    /// count. Settings that are not used are checked too.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let SettingsReader(values) = self;
        let class_indices = 0..values.count(CLASSES)?;
        let classes = class_indices.map(|index| self.class(index)).collect::<Result<Vec<_>, _>>()?;
        let plan_indices = 0..values.count(PLANS)?;
        let plans = plan_indices.map(|index| self.plan(index)).collect::<Result<Vec<_>, _>>()?;
        let settings = Settings {
            gateway_count: values.integer("n_instances", MAX_COUNT)? as u16,
            own_id: GatewayId(values.integer("slot_no", MAX_COUNT)? as u16),
            zone: values.integer("zone", MAX_ZONE)? as u8,
            tick: values.duration("tick_us")?,
            classes,
            plans,
            limits: self.limits()?,
            rules: self.rules()?,
            discovery: self.discovery()?,
            size_meaning: self.size_meaning()?,
            postpaid: values.flag("family_info.post_paid")?,
        };
        UNUSED_KEYS.iter().try_for_each(|(key, kind)| self.check(key, *kind))?;
        Ok(settings)
    }

    /// Returns the names of the request classes in order of their indices.
    ///
    /// # Errors
    ///
    /// Returns an error if the count of the classes is missing or invalid, a class has no name, or an index
    /// is beyond the count.
    pub fn class_names(&self) -> Result<Vec<String>, SettingsError> {
        self.0.names(CLASSES)
    }

    /// Returns the names of the plans in order of their indices.
    ///
    /// # Errors
    ///
    /// Returns an error if the count of the plans is missing or invalid, a plan has no name, or an index is
    /// beyond the count.
    pub fn plan_names(&self) -> Result<Vec<String>, SettingsError> {
        self.0.names(PLANS)
    }

    /// Returns the names of the zones in order of their numbers.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is missing.
    pub fn zone_names(&self) -> Result<Vec<String>, SettingsError> {
        self.0.list("zones")
    }

    /// Returns the names of the machine types in order of their numbers.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is missing.
    pub fn machine_type_names(&self) -> Result<Vec<String>, SettingsError> {
        self.0.list("skus")
    }

    /// Returns the maximum units of a request, or [`f64::MAX`] if the settings have no limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is present but not a finite, non-negative number.
    pub fn max_request_units(&self) -> Result<f64, SettingsError> {
        self.0.number_or("family_info.most_units", f64::MAX)
    }

    /// Returns the time for which a backend keeps an idle connection open.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing or not an integer.
    pub fn keepalive_timeout(&self) -> Result<Duration, SettingsError> {
        self.0.duration("limits.keepalive_us")
    }

    /// Returns the fields of a load report in order.
    ///
    /// # Errors
    ///
    /// Returns an error if `reporting.how` is missing, or if there are load reports and `reporting.fields` is
    /// missing.
    pub fn load_report_fields(&self) -> Result<Vec<LoadReportField>, SettingsError> {
        if self.0.text("reporting.how")? == "none" {
            return Ok(Vec::new());
        }
        let names = self.0.list("reporting.fields")?;
        Ok(names.iter().map(|name| LoadReportField::from_name(name)).collect())
    }

    /// Reads the request class at an index.
    fn class(&self, index: u64) -> Result<Class, SettingsError> {
        let SettingsReader(values) = self;
        let key = |name: &str| format!("{CLASSES}.{index}.{name}");
        let idempotency = self.idempotency(index)?;
        let latency_objective = values.duration(&key("objective_us"))?;
        let latency_objective_stretch = values.number_or(&key("aim_stretch"), 0.0)?;
        let deadline = values.duration(&key("give_up_us"))?;
        let (unused_key, kind) = UNUSED_CLASS_KEY;
        self.check(&key(unused_key), kind)?;
        Ok(Class {
            idempotency,
            latency_objective,
            latency_objective_stretch,
            deadline,
            late_weight: values.number(&key("late_worth"))?,
            streaming: values.flag(&key("stream"))?,
        })
    }

    /// Reads the idempotency of the class at an index.
    fn idempotency(&self, index: u64) -> Result<Idempotency, SettingsError> {
        let SettingsReader(values) = self;
        let key = |name: &str| format!("{CLASSES}.{index}.{name}");
        match values.text(&key("effect"))? {
            "repeatable" => Ok(Idempotency::Idempotent),
            "once" => Ok(Idempotency::NonIdempotent),
            "by_key" => Ok(Idempotency::Keyed {
                scope: self.idempotency_scope(&key("group"))?,
                window: values.duration(&key("window_us"))?,
            }),
            other => Err(SettingsError::unknown_value(&key("effect"), other)),
        }
    }

    /// Reads the scope of idempotency keys at a path.
    fn idempotency_scope(&self, key: &str) -> Result<IdempotencyScope, SettingsError> {
        match self.0.text(key)? {
            "all" => Ok(IdempotencyScope::Fleet),
            "zone" => Ok(IdempotencyScope::Zone),
            "cell" => Ok(IdempotencyScope::Cell),
            other => Err(SettingsError::unknown_value(key, other)),
        }
    }

    /// Reads the plan at an index.
    fn plan(&self, index: u64) -> Result<Plan, SettingsError> {
        let SettingsReader(values) = self;
        let key = |name: &str| format!("{PLANS}.{index}.{name}");
        let plan = Plan {
            rate: values.number(&key("quota_rate"))?,
            burst: values.number(&key("burst"))?,
            concurrency_quota: values.integer(&key("max_out"), MAX_U32)? as u32,
            hard_limit_rate: values.number(&key("never_over_rate"))?,
            hard_limit_burst: values.number(&key("ceiling_burst"))?,
            price: values.number(&key("worth_factor"))?,
            over_quota_cost: values.number(&key("beyond_costs"))?,
        };
        UNUSED_PLAN_KEYS.iter().try_for_each(|(name, kind)| self.check(&key(name), *kind))?;
        Ok(plan)
    }

    fn limits(&self) -> Result<Limits, SettingsError> {
        let SettingsReader(values) = self;
        Ok(Limits {
            max_attempts: values.integer("limits.most_tries", MAX_U32)? as u32,
            hedging: values.flag("limits.second_copies")?,
            cancellation: values.flag("limits.cancelling")?,
            peer_messages: values.flag("limits.peers")?,
            peer_messages_per_second: values.number("family_info.peer_in_per_s")?,
            retry_after: values.flag("limits.retry_after")?,
            max_retry_after: values.duration("limits.max_retry_after_us")?,
            max_open_requests: values.integer("limits.max_open", MAX_U32)? as u32,
            connect_timeout: values.duration("limits.connect_timeout_us")?,
        })
    }

    fn rules(&self) -> Result<Rules, SettingsError> {
        let SettingsReader(values) = self;
        Ok(Rules {
            drain_grace: values.duration("rules.drain_grace_us")?,
            slow_start_floor: values.number("rules.cold_from")?,
            slow_start_duration: values.duration("rules.cold_us")?,
            overload_factor: values.number("rules.overload_factor")?,
            overload_window: values.duration("rules.fall_us")?,
            max_poll_interval: values.duration("rules.must_ask_in_us")?,
        })
    }

    /// Reads the source of the endpoint list.
    fn discovery(&self) -> Result<Discovery, SettingsError> {
        let key = "membership_mode";
        match self.0.text(key)? {
            "ask" => Ok(Discovery::SharedService),
            "push" => Ok(Discovery::LocalAgent),
            other => Err(SettingsError::unknown_value(key, other)),
        }
    }

    /// Reads the meaning of the sizes in the endpoint list.
    fn size_meaning(&self) -> Result<SizeMeaning, SettingsError> {
        let key = "weights";
        match self.0.text(key)? {
            "none" => Ok(SizeMeaning::None),
            "live" => Ok(SizeMeaning::Live),
            "nominal" | "rough" => Ok(SizeMeaning::Capacity),
            other => Err(SettingsError::unknown_value(key, other)),
        }
    }

    /// Checks the type of a value that is not used.
    fn check(&self, key: &str, kind: ValueKind) -> Result<(), SettingsError> {
        match kind {
            ValueKind::Number => self.0.number(key).map(drop),
            ValueKind::Duration => self.0.duration(key).map(drop),
            ValueKind::Flag => self.0.flag(key).map(drop),
        }
    }
}

#[cfg(test)]
mod tests;
