//! Tests of [`super`].

use super::*;
use crate::gossip::MAX_USAGE_REPORTS;

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

/// The network duplicates and reorders datagrams, and sequence numbers wrap. Each message is handled once,
/// and none after a later one.
#[test]
fn duplicate_and_reordered_messages_are_outdated() {
    let mut peer = Peer::default();
    assert_eq!(peer.receive(5, 65_535, at(10)), MessageStatus::NewIncarnation(PeerStart::FirstHeard));
    assert_eq!(peer.receive(5, 65_535, at(20)), MessageStatus::Outdated, "a repeat");
    assert_eq!(peer.receive(5, 65_534, at(30)), MessageStatus::Outdated, "overtaken");
    assert_eq!(peer.last_received_at, Some(at(10)));
    assert_eq!(peer.receive(5, 0, at(40)), MessageStatus::Current, "the sequence number wrapped");
    assert_eq!(peer.last_received_at, Some(at(40)));
}

/// A restarted peer numbers its messages from one. They have to be handled, and delayed messages of the
/// previous process have to be ignored.
#[test]
fn messages_of_a_restarted_peer_are_current_and_earlier_ones_outdated() {
    let mut peer = Peer::default();
    assert_eq!(peer.receive(5, 100, at(10)), MessageStatus::NewIncarnation(PeerStart::FirstHeard));
    assert_eq!(peer.receive(6, 1, at(20)), MessageStatus::NewIncarnation(PeerStart::Restarted));
    assert_eq!(peer.receive(5, 101, at(30)), MessageStatus::Outdated, "from before the restart");
    assert_eq!(peer.receive(6, 2, at(40)), MessageStatus::Current);
}

/// The outbox holds one customer more than fits in a message. If the next batch did not continue after the
/// previous one, the last customer would not be reported. A grant is requested with the first report only.
#[test]
fn batches_rotate_through_a_large_outbox() {
    let count = MAX_USAGE_REPORTS as u64 + 1;
    let entry = OutboxEntry { copies_left: 2, requests_grant: true };
    let outbox = (0..count).map(|id| (CustomerId(id), entry)).collect();
    let mut peer = Peer { outbox, ..Peer::default() };
    let first = peer.next_batch(MAX_USAGE_REPORTS);
    assert_eq!(first.len(), MAX_USAGE_REPORTS);
    assert!(first.iter().all(|(_, entry)| entry.requests_grant));
    let second = peer.next_batch(MAX_USAGE_REPORTS);
    assert_eq!(second[0].0, CustomerId(count - 1), "the customer that did not fit");
    assert!(second[0].1.requests_grant);
    assert!(!second[1].1.requests_grant, "a grant is requested once");
}

/// A machine's wall clock is set back, and its gateway restarts with a lower incarnation. If lower
/// incarnations counted as older, its messages would be ignored until the clock caught up, and customers
/// could exceed their quotas through it.
#[test]
fn messages_of_a_peer_restarted_with_its_clock_set_back_are_current() {
    let mut peer = Peer::default();
    assert_eq!(peer.receive(5_000_000, 100, at(10)), MessageStatus::NewIncarnation(PeerStart::FirstHeard));
    assert_eq!(peer.receive(5, 1, at(20)), MessageStatus::NewIncarnation(PeerStart::Restarted));
    assert_eq!(peer.receive(5_000_000, 101, at(30)), MessageStatus::Outdated, "from before the restart");
    assert_eq!(peer.receive(5, 2, at(40)), MessageStatus::Current);
}

/// A peer is partitioned for forty minutes and sends enough messages for its sequence numbers to wrap past
/// half their range. If its messages then counted as outdated, usage through it would stay unknown for as
/// long again.
#[test]
fn messages_after_a_long_partition_are_current() {
    let mut peer = Peer::default();
    peer.receive(5, 100, at(10));
    let after_partition = at(10) + Duration::from_secs(40 * 60);
    assert_eq!(peer.receive(5, 100 + 40_000, after_partition), MessageStatus::Current);
    assert_eq!(
        peer.receive(5, 100 + 39_999, after_partition + Duration::from_micros(10)),
        MessageStatus::Outdated,
        "overtaken"
    );
    assert_eq!(
        peer.receive(5, 100 + 40_001, after_partition + Duration::from_micros(20)),
        MessageStatus::Current
    );
}
