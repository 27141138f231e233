//! Tests of [`super`].

use super::*;

/// A load report contains the queue depth among other fields, some of them malformed. An ingress that missed
/// the depth would keep sending requests to a backend with a long queue.
#[test]
fn the_queue_depth_is_parsed_from_a_load_report() {
    for (text, expected) in [
        ("queue=3", Some(3.0)),
        ("inflight=7,queue=2,util=0.61", Some(2.0)),
        ("depth=1.5", Some(1.5)),
        ("queue=1,queue=4", Some(4.0)),
        ("queue=-1", None),
        ("queue=1,queue=nan", None),
        ("inflight=7", None),
        ("", None),
    ] {
        assert_eq!(queue_depth(text.as_bytes()), expected, "{text}");
    }
    assert_eq!(queue_depth(b"queue=3,\xff=1"), None);
}
