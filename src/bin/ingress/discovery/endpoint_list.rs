//! Parses the endpoint list that discovery sends in JSON.
//!
//! No other module uses the names of the fields. These differ from the terms in the code or are not
//! self-explanatory:
//!
//! | field | term in the code |
//! | --- | --- |
//! | `index` | version of the list |
//! | `endpoints[].name` | [`BackendId`], a hash of the name |
//! | `endpoints[].status`: `up`, `removed`, any other | [`Availability`]: ready, gone, draining |
//! | `endpoints[].since_ms` | `started_at` |
//! | `endpoints[].group` | `cell` |
//! | `endpoints[].type` | `machine_type` |
//! | `endpoints[].weight` | `size` |

use super::{EndpointListError, LocationNames};
use ingress::{Availability, BackendId, Duration, Endpoint, UnixTime};
use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;

/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// A backend in an endpoint list, with its address.
pub struct EndpointEntry {
    /// The gateway's representation of the backend, without its start time.
    pub endpoint: Endpoint,
    /// Start time of the backend's process, by the wall clock of the machine that recorded it. Zero means
    /// long ago.
    pub started_at: UnixTime,
    /// The address to connect to; always present unless the backend was removed.
    pub address: Option<SocketAddr>,
}

/// A snapshot or delta of the endpoint list.
pub struct EndpointList {
    /// Version of the list, from which the next poll continues.
    pub index: u64,
    /// Whether the list is complete rather than a delta.
    pub is_snapshot: bool,
    /// The backends in the order in which discovery sent them.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointList {
    /// Parses a list from a JSON value.
    pub fn from_json(
        json: &Value,
        location_names: &LocationNames,
    ) -> Result<EndpointList, EndpointListError> {
        let index = json.get("index").and_then(Value::as_u64).ok_or(EndpointListError::Index)?;
        let is_snapshot = json.get("snapshot").and_then(Value::as_bool).ok_or(EndpointListError::Snapshot)?;
        let list = json.get("endpoints").and_then(Value::as_array).ok_or(EndpointListError::Endpoints)?;
        let entry = |json| EndpointEntry::from_json(json, location_names);
        let entries = list.iter().map(entry).collect::<Result<_, _>>()?;
        Ok(EndpointList { index, is_snapshot, entries })
    }

    /// Parses a list from the body of a response one entry at a time, because a JSON tree of the whole list
    /// would take many times the memory of its text.
    pub fn from_bytes(body: &[u8], location_names: &LocationNames) -> serde_json::Result<EndpointList> {
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let list = de::Deserializer::deserialize_map(&mut deserializer, ListVisitor { location_names })?;
        deserializer.end()?;
        Ok(list)
    }
}

/// Builds an [`EndpointList`] from a JSON object.
struct ListVisitor<'a> {
    location_names: &'a LocationNames,
}

impl<'de> Visitor<'de> for ListVisitor<'_> {
    type Value = EndpointList;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an endpoint list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<EndpointList, A::Error> {
        let (mut index, mut is_snapshot, mut entries) = (None, None, None);
        let entries_seed = || EntriesVisitor { location_names: self.location_names };
        while let Some(key) = map.next_key::<Cow<str>>()? {
            match &*key {
                "index" => index = map.next_value::<Value>()?.as_u64(),
                "snapshot" => is_snapshot = map.next_value::<Value>()?.as_bool(),
                "endpoints" => entries = Some(map.next_value_seed(entries_seed())?),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(EndpointList {
            index: index.ok_or(EndpointListError::Index).map_err(de::Error::custom)?,
            is_snapshot: is_snapshot.ok_or(EndpointListError::Snapshot).map_err(de::Error::custom)?,
            entries: entries.ok_or(EndpointListError::Endpoints).map_err(de::Error::custom)?,
        })
    }
}

/// Builds the entries of an [`EndpointList`] from a JSON array.
struct EntriesVisitor<'a> {
    location_names: &'a LocationNames,
}

impl<'de> DeserializeSeed<'de> for EntriesVisitor<'_> {
    type Value = Vec<EndpointEntry>;

    fn deserialize<D: de::Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesVisitor<'_> {
    type Value = Vec<EndpointEntry>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list of endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(json) = sequence.next_element::<Value>()? {
            let entry = EndpointEntry::from_json(&json, self.location_names);
            entries.push(entry.map_err(de::Error::custom)?);
        }
        Ok(entries)
    }
}

impl EndpointEntry {
    /// Parses an entry from a JSON object.
    fn from_json(json: &Value, location_names: &LocationNames) -> Result<EndpointEntry, EndpointListError> {
        let text = |field: &str| json.get(field).and_then(Value::as_str);
        let name = text("name").ok_or(EndpointListError::MissingName)?;
        let invalid = |field| EndpointListError::InvalidField { field, backend: name.to_string() };
        let availability = availability(text("status").ok_or_else(|| invalid("status"))?);
        let address = match text("address").map(str::parse) {
            Some(Ok(address)) => Some(address),
            None if availability == Availability::Gone => None,
            _ => return Err(invalid("address")),
        };
        let since_ms = json.get("since_ms").map_or(Some(0), Value::as_u64);
        let since_ms = since_ms.ok_or_else(|| invalid("since_ms"))?;
        // Backends without a group belong to cell 0.
        let group = json.get("group").and_then(Value::as_u64).unwrap_or(0);
        let backend = backend_id(name);
        // At `trace` because the lines of a long snapshot would fill the log's buffer, and later lines would
        // be dropped.
        tracing::trace!(target: "discovery", backend = backend.0, name, "endpoint parsed");
        let endpoint = Endpoint {
            backend,
            zone: location_names.zone(text("zone")),
            cell: u16::try_from(group).map_err(|_| invalid("group"))?,
            machine_type: location_names.machine_type(text("type")),
            availability,
            size: json.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            // Set later by `StartTimes`, which converts `started_at` from wall-clock time.
            started_at: None,
        };
        let started_at = UnixTime::from_micros(Duration::from_millis(since_ms).as_micros());
        Ok(EndpointEntry { endpoint, started_at, address })
    }
}

/// Maps a backend's `status` to its availability.
fn availability(status: &str) -> Availability {
    match status {
        "up" => Availability::Ready,
        "removed" => Availability::Gone,
        // A backend with an unknown status receives no new requests.
        _ => Availability::Draining,
    }
}

/// Hashes a backend's name to its id. All ingresses derive the same id, so gossip can refer to it.
fn backend_id(name: &str) -> BackendId {
    let hash_byte = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    BackendId(name.bytes().fold(FNV_OFFSET_BASIS, hash_byte))
}

#[cfg(test)]
mod tests;
