//! The endpoint list in the JSON format of discovery.

use serde::Serialize;
use std::net::SocketAddr;
use std::str::FromStr;

/// The status of an endpoint in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum EndpointStatus {
    /// The endpoint accepts requests.
    Up,
    /// The endpoint accepts no new requests.
    Draining,
    /// The endpoint is no longer part of the list.
    Removed,
}

/// The error for a text that is not the name of a status.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown endpoint status {0:?}: expected up, draining or removed")]
pub struct UnknownStatus(String);

impl EndpointStatus {
    /// Returns the name of the status in an endpoint list.
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

/// An endpoint with its attributes in an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry<'a> {
    /// Unique name of the backend.
    pub name: &'a str,
    /// Address on which the backend listens.
    pub address: SocketAddr,
    /// Name of the backend's zone.
    pub zone: &'a str,
    /// Name of the backend's machine type.
    pub machine_type: &'a str,
    /// Number of the backend's cell.
    pub cell: u64,
    /// Status of the backend.
    pub status: EndpointStatus,
    /// Time of the last start, in milliseconds of Unix time; 0 if the backend started long ago.
    pub started_at_ms: i64,
}

impl EndpointEntry<'_> {
    /// Serializes the entry to the format of discovery.
    pub fn to_json(&self) -> String {
        let EndpointEntry { name, address, zone, machine_type, cell, status, started_at_ms } = self;
        let status = status.name();
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{machine_type}","group":{cell},"status":"{status}","weight":1.0,"since_ms":{started_at_ms}}}"#
        )
    }
}

/// The extent of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The list contains all endpoints.
    Snapshot,
    /// The list contains only the endpoints that changed.
    Delta,
}

/// Returns an endpoint list as JSON, from its version and its entries in JSON.
pub fn list_json(version: u64, kind: ListKind, entries: &[String]) -> String {
    let is_snapshot = kind == ListKind::Snapshot;
    format!(r#"{{"index":{version},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, entries.join(","))
}
