//! The endpoint list as discovery gives it, in JSON.

use super::LocationNames;
use ingress::{Availability, BackendId, Endpoint};
use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;

/// A line of the list, with the address that the backend has for this ingress.
pub struct EndpointEntry {
    pub endpoint: Endpoint,
    pub address: Option<SocketAddr>,
}

/// A list as discovery tells it.
pub struct EndpointList {
    pub index: u64,
    /// The whole list, not only what changed.
    pub is_snapshot: bool,
    pub entries: Vec<EndpointEntry>,
}

/// A backend's name as an id that is the same at every ingress: peers speak of backends by it (FNV-1a).
fn backend_id(name: &str) -> BackendId {
    BackendId(
        name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)),
    )
}

impl EndpointList {
    /// Reads a list in discovery's form.
    pub fn from_json(json: &Value, location_names: &LocationNames) -> Result<EndpointList, String> {
        let index = json.get("index").and_then(Value::as_u64).ok_or("index is missing or no whole number")?;
        let is_snapshot =
            json.get("snapshot").and_then(Value::as_bool).ok_or("snapshot is missing or no flag")?;
        let list =
            json.get("endpoints").and_then(Value::as_array).ok_or("endpoints is missing or no list")?;
        let entries =
            list.iter().map(|e| EndpointEntry::from_json(e, location_names)).collect::<Result<_, _>>()?;
        Ok(EndpointList { index, is_snapshot, entries })
    }
}

/// Reads a list as it stands in an answer, an entry at a time: a tree of the whole of it would take many times its bytes.
struct ListReader<'a>(&'a LocationNames);

impl<'de> Visitor<'de> for ListReader<'_> {
    type Value = EndpointList;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of backends")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<EndpointList, A::Error> {
        let (mut index, mut is_snapshot, mut entries) = (None, None, None);
        while let Some(key) = map.next_key::<Cow<str>>()? {
            match &*key {
                "index" => index = map.next_value::<Value>()?.as_u64(),
                "snapshot" => is_snapshot = map.next_value::<Value>()?.as_bool(),
                "endpoints" => entries = Some(map.next_value_seed(EntriesReader(self.0))?),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let missing = |what| de::Error::custom(what);
        Ok(EndpointList {
            index: index.ok_or_else(|| missing("index is missing or no whole number"))?,
            is_snapshot: is_snapshot.ok_or_else(|| missing("snapshot is missing or no flag"))?,
            entries: entries.ok_or_else(|| missing("endpoints is missing or no list"))?,
        })
    }
}

struct EntriesReader<'a>(&'a LocationNames);

impl<'de> DeserializeSeed<'de> for EntriesReader<'_> {
    type Value = Vec<EndpointEntry>;

    fn deserialize<D: de::Deserializer<'de>>(self, json: D) -> Result<Vec<EndpointEntry>, D::Error> {
        json.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesReader<'_> {
    type Value = Vec<EndpointEntry>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("endpoints as a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<EndpointEntry>, A::Error> {
        let mut entries = Vec::new();
        while let Some(json) = seq.next_element::<Value>()? {
            entries.push(EndpointEntry::from_json(&json, self.0).map_err(de::Error::custom)?);
        }
        Ok(entries)
    }
}

impl EndpointList {
    /// Reads a list from the bytes of an answer.
    pub fn parse(body: &[u8], location_names: &LocationNames) -> Result<EndpointList, String> {
        let mut json = serde_json::Deserializer::from_slice(body);
        let list = de::Deserializer::deserialize_map(&mut json, ListReader(location_names));
        let list = list.and_then(|list| json.end().map(|()| list));
        list.map_err(|e| format!("an answer is no list: {e}"))
    }
}

impl EndpointEntry {
    fn from_json(json: &Value, location_names: &LocationNames) -> Result<EndpointEntry, String> {
        let text = |key: &str| json.get(key).and_then(Value::as_str);
        let name = text("name").ok_or("endpoints has an entry without a name")?;
        let bad = |key: &str| format!("endpoints: {key} of {name} is missing or bad");
        let availability = match text("status").ok_or_else(|| bad("status"))? {
            "up" => Availability::Ready,
            "removed" => Availability::Gone,
            _ => Availability::Draining, // a word of the future can hardly mean that it wants work
        };
        let address = match text("address").map(str::parse) {
            Some(Ok(address)) => Some(address),
            None if availability == Availability::Gone => None,
            _ => return Err(bad("address")),
        };
        let place = |list: &[String], key: &str| {
            text(key).and_then(|t| list.iter().position(|n| n == t)).unwrap_or(usize::MAX)
        };
        let since = json.get("since_ms").map_or(Some(0), Value::as_u64).ok_or_else(|| bad("since_ms"))?;
        let group = json.get("group").and_then(Value::as_u64).unwrap_or(0);
        let endpoint = Endpoint {
            backend: backend_id(name),
            zone: u8::try_from(place(&location_names.zones, "zone")).unwrap_or(u8::MAX),
            cell: u16::try_from(group).map_err(|_| bad("group"))?,
            machine_type: u16::try_from(place(&location_names.machine_types, "type")).unwrap_or(u16::MAX),
            availability,
            size: json.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            // The host's clock counts from the same moment as Unix time: only the unit is another.
            started_at: since.saturating_mul(1000),
        };
        Ok(EndpointEntry { endpoint, address })
    }
}

#[cfg(test)]
mod tests;
