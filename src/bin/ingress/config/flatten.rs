//! Flattens nested settings into the pairs of path and value that [`ingress::SettingsReader`] reads.

use serde_json::Value;

/// Returns the pairs of path and value of nested settings: `{"limits":{"max_open":5}}` becomes
/// `limits.max_open` with the value `5`.
///
/// A list of objects becomes a `count` with its length and the pairs of each object under its index. A list
/// of plain values becomes one value, separated by commas.
pub fn flatten(value: &Value) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    append("", value, &mut pairs);
    pairs
}

/// Appends the pairs of a value and of everything nested in it.
fn append(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    match value {
        Value::Null => {}
        Value::Object(map) => {
            map.iter().for_each(|(key, nested)| append(&join(path, key), nested, pairs));
        }
        Value::Array(list) => append_list(path, list, pairs),
        _ => pairs.push((path.to_string(), plain_text(value))),
    }
}

/// Appends the pairs of a list of objects or plain values.
fn append_list(path: &str, list: &[Value], pairs: &mut Vec<(String, String)>) {
    if list.iter().all(Value::is_object) {
        pairs.push((join(path, "count"), list.len().to_string()));
        for (index, object) in list.iter().enumerate() {
            append(&join(path, &index.to_string()), object, pairs);
        }
    }
    // An empty list may be of either kind, so it becomes both.
    if !list.iter().any(Value::is_object) {
        let values: Vec<String> = list.iter().map(plain_text).collect();
        pairs.push((path.to_string(), values.join(",")));
    }
}

/// Appends a key to a path.
fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// Returns a value as text, strings without quotes.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}
