//! Why settings are rejected. Each text names the key at fault.

/// Why settings are rejected.
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
        /// The value.
        value: String,
    },
    /// A value is not a whole number in its range.
    #[error("setting {key} is not a whole number up to {max}: {value}")]
    NotAWholeNumber {
        /// The path of the setting.
        key: String,
        /// The greatest number allowed.
        max: u64,
        /// The value.
        value: String,
    },
    /// A value is neither `true` nor `false`.
    #[error("setting {key} is neither true nor false: {value}")]
    NotABoolean {
        /// The path of the setting.
        key: String,
        /// The value.
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
    /// A value is none of the allowed ones.
    #[error("setting {key} is unknown: {value}")]
    UnknownValue {
        /// The path of the setting.
        key: String,
        /// The value.
        value: String,
    },
}

impl SettingsError {
    /// A value that is none of those allowed at its path.
    pub(super) fn unknown_value(key: &str, value: &str) -> SettingsError {
        SettingsError::UnknownValue { key: key.to_string(), value: value.to_string() }
    }
}
