//! Tests of [`super`].

use super::*;
use crate::discovery::tests::{location_names, long_list};

/// Guards against a list of which a part is used: what is wrong anywhere in it makes all of it bad.
#[test]
fn a_list_that_is_wrong_somewhere_is_not_taken_at_all() {
    let good = long_list(3);
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
