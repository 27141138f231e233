//! Unparsed settings by path, with typed and checked access.

use super::SettingsError;
use crate::Duration;
use std::collections::HashMap;

/// Maximum number of classes, plans or gateways.
pub const MAX_COUNT: u64 = 65_535;
/// Maximum of a duration, so that sums of several durations do not overflow.
const MAX_MICROS: u64 = u64::MAX >> 12;

/// Unparsed values by path, such as `limits.max_open`.
pub struct Values(HashMap<String, String>);

impl Values {
    /// Creates the settings from pairs of a path and a value.
    pub fn new(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        Values(pairs.into_iter().collect())
    }

    /// Parses lines of the form `path=value`.
    pub fn from_lines(text: &str) -> Result<Self, SettingsError> {
        let mut map = HashMap::new();
        for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
            let (key, value) = line.split_once('=').ok_or(SettingsError::NoEqualsSign { line: at + 1 })?;
            map.insert(key.to_string(), value.to_string());
        }
        Ok(Values(map))
    }

    /// Returns whether a path has a value.
    pub fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Returns the unparsed value at a path.
    pub fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.0.get(key).map(String::as_str).ok_or_else(|| SettingsError::Missing { key: key.to_string() })
    }

    /// Returns the finite, non-negative number at a path.
    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let text = self.text(key)?;
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(SettingsError::NotANumber { key: key.to_string(), value: text.to_string() }),
        }
    }

    /// Returns the number at a path, or `default` if the path has no value.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        if self.contains(key) {
            self.number(key)
        } else {
            Ok(default)
        }
    }

    /// Returns the integer at a path, at most `max`.
    pub fn integer(&self, key: &str, max: u64) -> Result<u64, SettingsError> {
        let text = self.text(key)?;
        match text.parse::<u64>() {
            Ok(number) if number <= max => Ok(number),
            _ => Err(SettingsError::NotAnInteger { key: key.to_string(), max, value: text.to_string() }),
        }
    }

    /// Returns the duration at a path, an integer in microseconds.
    pub fn duration(&self, key: &str) -> Result<Duration, SettingsError> {
        self.integer(key, MAX_MICROS).map(Duration::from_micros)
    }

    /// Returns the value `true` or `false` at a path.
    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(SettingsError::NotABoolean { key: key.to_string(), value: other.to_string() }),
        }
    }

    /// Returns the comma-separated values at a path.
    pub fn list(&self, key: &str) -> Result<Vec<String>, SettingsError> {
        Ok(self.text(key)?.split(',').filter(|value| !value.is_empty()).map(String::from).collect())
    }

    /// Returns the length of a list of objects.
    ///
    /// # Errors
    ///
    /// Returns an error if the count is missing or invalid, or an item has an index beyond it.
    pub fn count(&self, list: &str) -> Result<u64, SettingsError> {
        let count = self.integer(&format!("{list}.count"), MAX_COUNT)?;
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

    /// Returns the names of the objects in a list.
    pub fn names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let name = |index| self.text(&format!("{list}.{index}.name")).map(String::from);
        (0..self.count(list)?).map(name).collect()
    }
}
