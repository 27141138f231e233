//! Errors of the configuration. Each text names the invalid key, and does not repeat that of its source.

use crate::discovery::EndpointListError;
use ingress::SettingsError;
use std::io;
use thiserror::Error;

/// Reason for rejecting a configuration file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("LB_CONFIG: cannot read {path}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The error of the read.
        source: io::Error,
    },
    /// The content of the file is not a valid configuration.
    #[error("{path}")]
    Invalid {
        /// The file's path.
        path: String,
        /// The error in the content.
        source: ConfigError,
    },
}

/// Reason for rejecting the content of a configuration file.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The content cannot be parsed as JSON.
    #[error("invalid JSON")]
    NotJson(#[source] serde_json::Error),
    /// A required key is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The value of a key is missing or not an array.
    #[error("{0} is missing or not a list")]
    NotAList(&'static str),
    /// The value of a key is missing or not a string.
    #[error("{0} is missing or not a string")]
    NotAString(&'static str),
    /// The value of a key is missing or not a positive integer.
    #[error("{object}.{key} is missing or not a positive integer")]
    NotPositive {
        /// The key of the object that contains the value.
        object: &'static str,
        /// The key within the object.
        key: &'static str,
    },
    /// The value of a key or environment variable is not an IP address with a port.
    #[error("{key} is not an IP address with a port: {text}")]
    NotAnAddress {
        /// The key, or the name of the environment variable.
        key: &'static str,
        /// The rejected value.
        text: String,
    },
    /// The seed is not hexadecimal, or does not fit into 64 bits.
    #[error("seed is not a 64-bit hexadecimal number: {0}")]
    SeedNotHex(String),
    /// A setting is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The interval of the clock's ticks is zero.
    #[error("setting tick_us must not be 0")]
    ZeroTick,
    /// The cached endpoint list at the key `known` is invalid.
    #[error("known")]
    CachedEndpoints(#[source] EndpointListError),
    /// The number of the peers' addresses differs from the number of gateways.
    #[error("the number of addresses in peers differs from setting n_instances")]
    PeerCount,
}
