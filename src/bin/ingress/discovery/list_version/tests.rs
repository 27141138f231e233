//! Tests of [`super`].

use super::*;

/// Two polls are answered in another order than discovery evaluated them. The second response still has a
/// backend as ready that the first has as draining; if it were applied, requests would go there. A snapshot
/// follows, since a lower version may also be that of another process of discovery.
#[test]
fn a_response_that_was_overtaken_by_a_later_list_is_discarded() {
    for is_snapshot in [false, true] {
        let mut version = ListVersion { index: 41, needs_snapshot: false };
        let later = ResponseVersion { index: 45, is_snapshot, index_at_start: 41 };
        assert_eq!(version.record_response(later), Applicability::Applies);
        let overtaken = ResponseVersion { index: 44, ..later };
        assert_eq!(version.record_response(overtaken), Applicability::Outdated);
        assert!(version.index == 45 && version.needs_snapshot);
        let snapshot = ResponseVersion { index: 46, is_snapshot: true, index_at_start: 45 };
        assert_eq!(version.record_response(snapshot), Applicability::Applies);
        assert!(version.index == 46 && !version.needs_snapshot);
    }
}

/// A poll requests the changes since version 41, and before its response the list becomes that of another
/// process of discovery, which counts from its own start. Changes since 41 leave out those between the two
/// versions.
#[test]
fn changes_since_a_version_of_another_process_are_discarded() {
    let mut version = ListVersion { index: 41, needs_snapshot: false };
    let restarted = ResponseVersion { index: 3, is_snapshot: true, index_at_start: 41 };
    assert_eq!(version.record_response(restarted), Applicability::Applies);
    let changes = ResponseVersion { index: 50, is_snapshot: false, index_at_start: 41 };
    assert_eq!(version.record_response(changes), Applicability::Outdated);
    assert!(version.needs_snapshot);
}
