//! Reads the configuration file and the environment variables that override it.
//!
//! [`SettingsReader`] parses the keys of `settings`. Of the other keys, these differ from the terms in the
//! code:
//!
//! | key | term in the code |
//! | --- | --- |
//! | `known` | `cached_endpoints` |
//! | `limits.sockets`, `limits.memory_mb` | `max_descriptors`, `max_memory_bytes` |
//! | `peer_listen`, `peers`, `peers_all` | [`PeerAddresses`]: `listen_address`, `by_gateway`, `broadcast` |

mod error;
mod flatten;

use crate::command::{ClassSchema, CommandSchema};
use crate::discovery::{EndpointList, LocationNames};
pub use error::{ConfigError, ConfigFileError};
use ingress::{Class, Duration, Settings, SettingsReader};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;

/// Environment variable that overrides the address at which clients connect.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Environment variable that overrides the address of discovery.
pub const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
/// Unit of `limits.memory_mb`.
const BYTES_PER_MEGABYTE: usize = 1 << 20;

/// The validated configuration of an ingress.
pub struct Config {
    /// Address at which clients connect.
    pub listen_address: SocketAddr,
    pub discovery_address: SocketAddr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Memory limit of the process.
    pub max_memory_bytes: usize,
    /// Addresses for gossip; `None` if the settings do not allow messages between gateways.
    pub peers: Option<PeerAddresses>,
    /// The endpoint list from before the restart of the process, which may be stale.
    pub cached_endpoints: EndpointList,
    /// Settings of the gateway.
    pub settings: Settings,
    /// The classes, plans and limits that commands are validated against.
    pub command_schema: CommandSchema,
    /// The names of zones and machine types in endpoint lists.
    pub location_names: LocationNames,
    /// Time after which backends close an idle connection.
    pub keepalive_timeout: Duration,
}

/// The addresses for gossip between an ingress and its peers.
#[derive(Clone)]
pub struct PeerAddresses {
    /// Address at which this ingress receives messages.
    pub listen_address: SocketAddr,
    /// Addresses of all gateways, this one included, indexed by gateway id.
    pub by_gateway: Vec<SocketAddr>,
    /// Address for messages to all gateways.
    pub broadcast: Option<SocketAddr>,
}

/// Returns the value of an environment variable if it is set and not empty.
pub fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

impl Config {
    /// Reads the configuration file at a path.
    ///
    /// `variable` looks up environment variables, whose addresses override those of the file.
    pub fn read(path: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigFileError> {
        Config::from_file(path, std::fs::read_to_string(path), variable)
    }

    /// Parses the result of reading the file at a path. `variable` looks up environment variables.
    pub fn from_file(
        path: &str,
        text: io::Result<String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigFileError> {
        let text = text.map_err(|source| ConfigFileError::Unreadable { path: path.to_string(), source })?;
        Config::parse(&text, variable)
            .map_err(|source| ConfigFileError::Invalid { path: path.to_string(), source })
    }

    /// Parses the text of a configuration file. `variable` looks up environment variables.
    pub(crate) fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let json: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let seed = parse_seed(&json)?;
        let nested = json.get("settings").ok_or(ConfigError::Missing("settings"))?;
        let reader = SettingsReader::new(flatten::flatten(nested));
        let settings = reader.settings()?;
        if settings.tick.is_zero() {
            return Err(ConfigError::ZeroTick);
        }
        let command_schema = parse_command_schema(&reader, &settings)?;
        let location_names =
            LocationNames { zones: reader.zone_names()?, machine_types: reader.machine_type_names()? };
        let cached_endpoints = parse_cached_endpoints(&json, &location_names)?;
        let peers = parse_peers(&json, &settings)?;
        let address = |name: &'static str, key: &'static str| match variable(name) {
            Some(value) => parse_address(name, &value),
            None => parse_address(key, text_at(&json, key)?),
        };
        Ok(Config {
            listen_address: address(LISTEN_VARIABLE, "listen")?,
            discovery_address: address(DISCOVERY_VARIABLE, "discovery")?,
            seed,
            max_descriptors: positive_number(&json, "limits", "sockets")?,
            max_memory_bytes: positive_number(&json, "limits", "memory_mb")?
                .saturating_mul(BYTES_PER_MEGABYTE),
            peers,
            cached_endpoints,
            keepalive_timeout: reader.keepalive_timeout()?,
            settings,
            command_schema,
            location_names,
        })
    }
}

/// Parses the seed, a hexadecimal number.
fn parse_seed(json: &Value) -> Result<u64, ConfigError> {
    let text = text_at(json, "seed")?;
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::SeedNotHex(text.to_string()))
}

/// Builds the schema that commands are validated against.
fn parse_command_schema(reader: &SettingsReader, settings: &Settings) -> Result<CommandSchema, ConfigError> {
    let class = |(name, class): (String, &Class)| ClassSchema { name, idempotency: class.idempotency };
    Ok(CommandSchema {
        classes: reader.class_names()?.into_iter().zip(&settings.classes).map(class).collect(),
        max_units: reader.max_request_units()?,
        plans: reader.plan_names()?,
        gateway_count: u64::from(settings.gateway_count),
    })
}

/// Parses the endpoint list from before the restart of the process.
fn parse_cached_endpoints(json: &Value, location_names: &LocationNames) -> Result<EndpointList, ConfigError> {
    let list = json.get("known").ok_or(ConfigError::Missing("known"))?;
    EndpointList::from_json(list, location_names).map_err(ConfigError::CachedEndpoints)
}

/// Parses the addresses for gossip. Returns `None` if the settings do not allow messages between gateways.
fn parse_peers(json: &Value, settings: &Settings) -> Result<Option<PeerAddresses>, ConfigError> {
    if !settings.limits.peer_messages {
        return Ok(None);
    }
    let list = json.get("peers").and_then(Value::as_array).ok_or(ConfigError::NotAList("peers"))?;
    let listen_address = parse_address("peer_listen", text_at(json, "peer_listen")?)?;
    let address = |key, value: &Value| parse_address(key, value.as_str().unwrap_or_default());
    let by_gateway = list.iter().map(|value| address("peers", value)).collect::<Result<Vec<_>, _>>()?;
    let broadcast = json.get("peers_all").filter(|value| !value.is_null());
    let broadcast = broadcast.map(|value| address("peers_all", value)).transpose()?;
    if by_gateway.len() != usize::from(settings.gateway_count) {
        return Err(ConfigError::PeerCount);
    }
    Ok(Some(PeerAddresses { listen_address, by_gateway, broadcast }))
}

/// Parses an IP address with a port. The error names `key`.
fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::NotAnAddress { key, text: text.to_string() })
}

fn text_at<'a>(json: &'a Value, key: &'static str) -> Result<&'a str, ConfigError> {
    json.get(key).and_then(Value::as_str).ok_or(ConfigError::NotAString(key))
}

/// Returns the positive integer at a key of an object.
fn positive_number(json: &Value, object: &'static str, key: &'static str) -> Result<usize, ConfigError> {
    let number = json.get(object).and_then(|object| object.get(key)).and_then(Value::as_u64);
    let number = number.and_then(|number| usize::try_from(number).ok()).filter(|number| *number > 0);
    number.ok_or(ConfigError::NotPositive { object, key })
}

#[cfg(test)]
pub mod tests;
