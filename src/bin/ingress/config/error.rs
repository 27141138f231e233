//! Why a configuration is rejected. Every text names the key at fault; the text of a source is not repeated
//! in that of the error around it.

use crate::discovery::EndpointListError;
use ingress::SettingsError;
use std::io;
use thiserror::Error;

/// A configuration file that cannot be used.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("LB_CONFIG: cannot read {path}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The file's content is not a configuration.
    #[error("{path}")]
    Invalid {
        /// The file's path.
        path: String,
        /// What is wrong with it.
        source: ConfigError,
    },
}

/// What is wrong with the content of a configuration file.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file's content is not JSON.
    #[error("the file is no JSON")]
    NotJson(#[source] serde_json::Error),
    /// A key is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A list is missing, or the value is no list.
    #[error("{0} is missing or no list")]
    NotAList(&'static str),
    /// A text is missing, or the value is no text.
    #[error("{0} is missing or no text")]
    NotAString(&'static str),
    /// A positive whole number is missing, or the value is none.
    #[error("{object}.{key} is missing or no whole number above 0")]
    NotPositive {
        /// The object with the key.
        object: &'static str,
        /// Its key there.
        key: &'static str,
    },
    /// A value, or an environment variable, is not an IP address with a port.
    #[error("{key} is no address and port: {text}")]
    NotAnAddress {
        /// The key, or the variable's name.
        key: &'static str,
        /// The value.
        text: String,
    },
    /// The seed is not hexadecimal.
    #[error("seed is no hex number: {0}")]
    SeedNotHex(String),
    /// One of the settings is missing or bad.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The clock's tick must not be 0.
    #[error("setting tick_us is 0")]
    ZeroTick,
    /// The cached endpoint list cannot be read.
    #[error("known")]
    CachedEndpoints(#[source] EndpointListError),
    /// The peers' addresses do not match the number of gateways.
    #[error("peers does not have one address for each of setting n_instances")]
    PeerCount,
}
