//! Tests of [`super`].

use super::*;
use crate::discovery::tests::{location_names, snapshot_json};

/// A list has an error in one of its entries. If only the valid entries were used, the backend of the invalid
/// entry would count as removed, so the whole list is rejected and the previous one stays in use.
#[test]
fn a_list_with_any_error_is_rejected_completely() {
    let good = snapshot_json(3);
    for bad in [
        good.replace("\"index\":43", "\"index\":-1"),
        good.replace("\"snapshot\":true", "\"snapshot\":1"),
        good.replace("\"snapshot\":true,", ""),
        good.replacen("127.0.0.9:6379", "nowhere", 1),
        good.replace("\"name\":\"s-00000002\",", ""),
        good.replace("\"endpoints\":[", "\"endpoints\":7,\"more\":["),
        good.replace("\"group\":3,\"status\":\"up\"", "\"group\":70000,\"status\":\"up\""),
        good[..good.len() - 2].to_string(),
        format!("{good}{good}"),
        format!("[{good}]"),
        String::new(),
    ] {
        assert!(EndpointList::from_bytes(bad.as_bytes(), &location_names()).is_err(), "{bad}");
    }
    let spaced = good.replace(',', " ,\n  ").replace("{\"index\"", "{ \"more\" : [ {} ], \"index\"");
    assert_eq!(EndpointList::from_bytes(spaced.as_bytes(), &location_names()).unwrap().entries.len(), 3);
}
