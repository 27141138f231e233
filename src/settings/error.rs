//! Errors in the settings. Each message contains the key or line at fault.

/// The reason why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A line is not of the form `path=value`.
    #[error("line {line} of the settings has no '='")]
    NoEqualsSign {
        /// Number of the line, from 1.
        line: usize,
    },
    /// A required setting is missing.
    #[error("setting {key} is missing")]
    Missing {
        /// Path of the setting.
        key: String,
    },
    /// A value is not a finite, non-negative number.
    #[error("setting {key} is not a finite, non-negative number: {value}")]
    NotANumber {
        /// Path of the setting.
        key: String,
        /// Text of the invalid value.
        value: String,
    },
    /// A value is not an integer in its range.
    #[error("setting {key} is not an integer from 0 to {max}: {value}")]
    NotAnInteger {
        /// Path of the setting.
        key: String,
        /// Maximum of the setting.
        max: u64,
        /// Text of the invalid value.
        value: String,
    },
    /// A value is neither `true` nor `false`.
    #[error("setting {key} is neither true nor false: {value}")]
    NotABoolean {
        /// Path of the setting.
        key: String,
        /// Text of the invalid value.
        value: String,
    },
    /// A list has an item with an index beyond its count.
    #[error("setting {list}.count is {count}, but {key} is set")]
    BeyondCount {
        /// Path of the list.
        list: String,
        /// Value of the list's `count`.
        count: u64,
        /// Path of a setting beyond the count.
        key: String,
    },
    /// A value is not one of those defined for its setting.
    #[error("setting {key} has an unknown value: {value}")]
    UnknownValue {
        /// Path of the setting.
        key: String,
        /// Text of the invalid value.
        value: String,
    },
}

impl SettingsError {
    /// Creates the error for a value that is not defined for its setting.
    pub(super) fn unknown_value(key: &str, value: &str) -> SettingsError {
        SettingsError::UnknownValue { key: key.to_string(), value: value.to_string() }
    }
}
