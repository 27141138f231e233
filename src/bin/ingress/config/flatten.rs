//! Flattens nested settings into the pairs of path and value that [`ingress::SettingsReader`] takes.

use serde_json::Value;

/// The pairs of nested settings: `{"limits":{"max_open":5}}` gives `limits.max_open` with `5`. A list of
/// objects gives its length as `count` beside its objects, a list of plain values one value with commas.
pub fn flatten(value: &Value) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    append("", value, &mut pairs);
    pairs
}

/// Adds the pairs of a value and of all that is nested in it.
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

/// Adds the pairs of a list.
fn append_list(path: &str, list: &[Value], pairs: &mut Vec<(String, String)>) {
    if list.iter().all(Value::is_object) {
        pairs.push((join(path, "count"), list.len().to_string()));
        for (index, object) in list.iter().enumerate() {
            append(&join(path, &index.to_string()), object, pairs);
        }
    }
    // An empty list may be either kind.
    if !list.iter().any(Value::is_object) {
        let values: Vec<String> = list.iter().map(plain_text).collect();
        pairs.push((path.to_string(), values.join(",")));
    }
}

/// The path of a key below a path.
fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// A value as its text, a string without its quotes.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}
