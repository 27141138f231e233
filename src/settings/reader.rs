//! Reads the settings, as pairs of a path and a value, into [`Settings`]. Both hosts of the module read theirs
//! here: the simulator's adapter from lines of text, the real ingress from nested JSON that it flattens to the
//! same paths. Unknown keys are skipped, missing or bad ones named.

use crate::{
    Class, Discovery, Duration, GatewayId, Idempotency, IdempotencyScope, Limits, Plan, Rules, Settings,
    SizeMeaning,
};
use std::collections::HashMap;

/// The most classes, plans or gateways that the settings may name.
const MAX_COUNT: u64 = 65_535;
/// The longest time span, so that sums of some of them stay in range.
const MAX_MICROS: u64 = u64::MAX >> 12;

/// Why settings were not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A line is not of the form `path=value`.
    #[error("line {line} of the settings has no '='")]
    NoEqualsSign {
        /// The line's number, from 1.
        line: usize,
    },
    /// A setting that must be there is not.
    #[error("setting {key} is missing")]
    Missing {
        /// The path of the setting.
        key: String,
    },
    /// A value is not a finite number from 0 up.
    #[error("setting {key} is not a number from 0 up: {value}")]
    NotANumber {
        /// The path of the setting.
        key: String,
        /// What stands there.
        value: String,
    },
    /// A value is not a whole number in its range.
    #[error("setting {key} is not a whole number up to {max}: {value}")]
    NotAWholeNumber {
        /// The path of the setting.
        key: String,
        /// The greatest number allowed.
        max: u64,
        /// What stands there.
        value: String,
    },
    /// A value is neither `true` nor `false`.
    #[error("setting {key} is neither true nor false: {value}")]
    NotABoolean {
        /// The path of the setting.
        key: String,
        /// What stands there.
        value: String,
    },
    /// A list has items beyond its count.
    #[error("setting {list}.count is {count}, but there is {key}")]
    BeyondCount {
        /// The path of the list.
        list: String,
        /// Its count.
        count: u64,
        /// A path beyond it.
        key: String,
    },
    /// A value is none of the known words.
    #[error("setting {key} is unknown: {value}")]
    UnknownValue {
        /// The path of the setting.
        key: String,
        /// What stands there.
        value: String,
    },
}

impl SettingsError {
    /// A word at a path that is none of those known there.
    fn unknown_value(key: &str, value: &str) -> SettingsError {
        SettingsError::UnknownValue { key: key.to_string(), value: value.to_string() }
    }
}

/// The settings as they came: values by path, such as `grades.0.worth`.
pub struct SettingsReader(HashMap<String, String>);

impl SettingsReader {
    /// Takes pairs of a path and a value.
    pub fn new(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        SettingsReader(pairs.into_iter().collect())
    }

    /// Reads lines of the form `path=value`.
    pub fn from_lines(text: &str) -> Result<Self, SettingsError> {
        let mut map = HashMap::new();
        for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
            let (key, value) = line.split_once('=').ok_or(SettingsError::NoEqualsSign { line: at + 1 })?;
            map.insert(key.to_string(), value.to_string());
        }
        Ok(SettingsReader(map))
    }

    /// The value at a path as it came.
    fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.0.get(key).map(String::as_str).ok_or_else(|| SettingsError::Missing { key: key.to_string() })
    }

    /// The number at a path, finite and from 0 up.
    fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let text = self.text(key)?;
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(SettingsError::NotANumber { key: key.to_string(), value: text.to_string() }),
        }
    }

    /// The number at a path, or another one where there is none.
    pub fn number_or(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        if self.0.contains_key(key) {
            self.number(key)
        } else {
            Ok(absent)
        }
    }

    /// The whole number at a path, `max` at most.
    fn whole_number(&self, key: &str, max: u64) -> Result<u64, SettingsError> {
        let text = self.text(key)?;
        match text.parse::<u64>() {
            Ok(number) if number <= max => Ok(number),
            _ => Err(SettingsError::NotAWholeNumber { key: key.to_string(), max, value: text.to_string() }),
        }
    }

    /// The time span at a path, in whole microseconds.
    pub fn duration(&self, key: &str) -> Result<Duration, SettingsError> {
        self.whole_number(key, MAX_MICROS).map(Duration::from_micros)
    }

    /// The truth value at a path.
    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(SettingsError::NotABoolean { key: key.to_string(), value: other.to_string() }),
        }
    }

    /// The length of a list of objects; one item more or fewer than told is an error.
    fn count(&self, list: &str) -> Result<u64, SettingsError> {
        let count = self.whole_number(&format!("{list}.count"), MAX_COUNT)?;
        let prefix = format!("{list}.");
        for key in self.0.keys() {
            let index = key.strip_prefix(&prefix).and_then(|rest| rest.split('.').next());
            let index = index.and_then(|index| index.parse::<u64>().ok());
            if index.is_some_and(|index| index >= count) {
                return Err(SettingsError::BeyondCount { list: list.to_string(), count, key: key.clone() });
            }
        }
        Ok(count)
    }

    /// The request class at an index.
    fn class(&self, index: u64) -> Result<Class, SettingsError> {
        let key = |name: &str| format!("grades.{index}.{name}");
        let idempotency = match self.text(&key("effect"))? {
            "repeatable" => Idempotency::Idempotent,
            "once" => Idempotency::NonIdempotent,
            "by_key" => Idempotency::Keyed {
                scope: match self.text(&key("group"))? {
                    "all" => IdempotencyScope::Fleet,
                    "zone" => IdempotencyScope::Zone,
                    "cell" => IdempotencyScope::Cell,
                    other => return Err(SettingsError::unknown_value(&key("group"), other)),
                },
                window: self.duration(&key("window_us"))?,
            },
            other => return Err(SettingsError::unknown_value(&key("effect"), other)),
        };
        Ok(Class {
            latency_objective: self.duration(&key("objective_us"))?,
            latency_objective_stretch: self.number_or(&key("aim_stretch"), 0.0)?,
            deadline: self.duration(&key("give_up_us"))?,
            priority_weight: self.number(&key("worth"))?,
            late_weight: self.number(&key("late_worth"))?,
            idempotency,
            streaming: self.flag(&key("stream"))?,
        })
    }

    /// The plan at an index.
    fn plan(&self, index: u64) -> Result<Plan, SettingsError> {
        let key = |name: &str| format!("contracts.{index}.{name}");
        Ok(Plan {
            rate: self.number(&key("quota_rate"))?,
            burst: self.number(&key("burst"))?,
            concurrency_quota: self.whole_number(&key("max_out"), u64::from(u32::MAX))? as u32,
            hard_limit_rate: self.number(&key("never_over_rate"))?,
            hard_limit_burst: self.number(&key("ceiling_burst"))?,
            hard_limit_slack: self.number(&key("ceiling_slack"))?,
            price: self.number(&key("worth_factor"))?,
            over_quota_weight: self.number(&key("over_worth"))?,
            over_quota_cost: self.number(&key("beyond_costs"))?,
        })
    }

    /// What the deployment permits.
    fn limits(&self) -> Result<Limits, SettingsError> {
        Ok(Limits {
            max_attempts: self.whole_number("limits.most_tries", u64::from(u32::MAX))? as u32,
            hedging: self.flag("limits.second_copies")?,
            cancellation: self.flag("limits.cancelling")?,
            health_checks: self.flag("limits.may_probe")?,
            peer_messages: self.flag("limits.peers")?,
            peer_messages_per_second: self.number("family_info.peer_in_per_s")?,
            retry_after: self.flag("limits.retry_after")?,
            max_retry_after: self.duration("limits.max_retry_after_us")?,
            shared_counter: self.flag("family_info.has_counter")?,
            max_open_requests: self.whole_number("limits.max_open", u64::from(u32::MAX))? as u32,
            connect_timeout: self.duration("limits.connect_timeout_us")?,
        })
    }

    /// The figures of the rules.
    fn rules(&self) -> Result<Rules, SettingsError> {
        Ok(Rules {
            answer_slack: self.duration("rules.answer_slack_us")?,
            drain_grace: self.duration("rules.drain_grace_us")?,
            slow_start_floor: self.number("rules.cold_from")?,
            slow_start_duration: self.duration("rules.cold_us")?,
            overload_factor: self.number("rules.overload_factor")?,
            overload_window: self.duration("rules.fall_us")?,
            max_poll_interval: self.duration("rules.must_ask_in_us")?,
        })
    }

    /// How the endpoint list comes.
    fn discovery(&self) -> Result<Discovery, SettingsError> {
        match self.text("membership_mode")? {
            "ask" => Ok(Discovery::Poll),
            "push" => Ok(Discovery::Push),
            other => Err(SettingsError::unknown_value("membership_mode", other)),
        }
    }

    /// What the weights of endpoints mean.
    fn size_meaning(&self) -> Result<SizeMeaning, SettingsError> {
        match self.text("weights")? {
            "none" => Ok(SizeMeaning::None),
            "live" => Ok(SizeMeaning::Live),
            "nominal" | "rough" => Ok(SizeMeaning::Capacity),
            other => Err(SettingsError::unknown_value("weights", other)),
        }
    }

    /// What the module is told at its start.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let classes =
            (0..self.count("grades")?).map(|index| self.class(index)).collect::<Result<Vec<_>, _>>()?;
        let plans =
            (0..self.count("contracts")?).map(|index| self.plan(index)).collect::<Result<Vec<_>, _>>()?;
        Ok(Settings {
            gateway_count: self.whole_number("n_instances", MAX_COUNT)? as u16,
            own_id: GatewayId(self.whole_number("slot_no", MAX_COUNT)? as u16),
            zone: self.whole_number("zone", 255)? as u8,
            tick: self.duration("tick_us")?,
            classes,
            plans,
            limits: self.limits()?,
            rules: self.rules()?,
            discovery: self.discovery()?,
            size_meaning: self.size_meaning()?,
            meter_period: self.duration("family_info.meter_period_us")?,
            postpaid: self.flag("family_info.post_paid")?,
        })
    }

    /// The names of the values in a load report, in their order.
    pub fn report_fields(&self) -> Result<Vec<String>, SettingsError> {
        match self.text("reporting.how")? {
            "none" => Ok(Vec::new()),
            _ => self.list("reporting.fields"),
        }
    }

    /// A list of plain values.
    pub fn list(&self, key: &str) -> Result<Vec<String>, SettingsError> {
        Ok(self.text(key)?.split(',').filter(|value| !value.is_empty()).map(String::from).collect())
    }

    /// The names of the objects in a list, such as the classes in `grades`.
    pub fn names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let name = |index| self.text(&format!("{list}.{index}.name")).map(String::from);
        (0..self.count(list)?).map(name).collect()
    }
}

#[cfg(test)]
mod tests;
