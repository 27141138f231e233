//! Shared helpers for the tests of discovery.

use super::LocationNames;

/// Returns the names of two zones and two machine types.
pub fn location_names() -> LocationNames {
    LocationNames { zones: vec!["a".into(), "b".into()], machine_types: vec!["m1".into(), "m2".into()] }
}

/// Maximum size of a response's body for ingresses with little memory.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Returns an endpoint list with this number of entries.
pub fn snapshot_json(backends: usize) -> String {
    let entry = |number| {
        format!(
            r#"{{"name":"s-{number:08x}","address":"127.0.0.9:6379","zone":"b","type":"m2","group":3,"status":"up","weight":1.5,"since_ms":7}}"#
        )
    };
    let entries: Vec<String> = (0..backends).map(entry).collect();
    format!(r#"{{"index":43,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}
