//! The endpoint list as discovery sends it.

use serde::Serialize;
use std::net::SocketAddr;
use std::str::FromStr;

/// The status of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum EndpointStatus {
    /// It takes requests.
    Up,
    /// It takes no new requests.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// A text that is not the name of a status.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("an endpoint is up, draining or removed, not {0:?}")]
pub struct UnknownStatus(String);

impl EndpointStatus {
    /// Its name in an endpoint list.
    pub fn name(self) -> &'static str {
        match self {
            EndpointStatus::Up => "up",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Removed => "removed",
        }
    }
}

impl FromStr for EndpointStatus {
    type Err = UnknownStatus;

    fn from_str(name: &str) -> Result<EndpointStatus, UnknownStatus> {
        match name {
            "up" => Ok(EndpointStatus::Up),
            "draining" => Ok(EndpointStatus::Draining),
            "removed" => Ok(EndpointStatus::Removed),
            _ => Err(UnknownStatus(name.to_string())),
        }
    }
}

/// An entry of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry<'a> {
    /// The name of the backend.
    pub name: &'a str,
    /// Where the backend listens.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: &'a str,
    /// The name of its machine type.
    pub machine_type: &'a str,
    /// The number of its cell.
    pub cell: u64,
    /// Its status.
    pub status: EndpointStatus,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub started_at_ms: i64,
}

impl EndpointEntry<'_> {
    /// The entry as JSON.
    pub fn to_json(&self) -> String {
        let EndpointEntry { name, address, zone, machine_type, cell, status, started_at_ms } = self;
        let status = status.name();
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{machine_type}","group":{cell},"status":"{status}","weight":1.0,"since_ms":{started_at_ms}}}"#
        )
    }
}

/// What an endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// All endpoints.
    Snapshot,
    /// The endpoints that changed.
    Delta,
}

/// An endpoint list as JSON, from its version and its entries as JSON.
pub fn list_json(version: u64, kind: ListKind, entries: &[String]) -> String {
    let is_snapshot = kind == ListKind::Snapshot;
    format!(r#"{{"index":{version},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, entries.join(","))
}
