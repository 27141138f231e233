//! Tests of [`super`].

use super::*;
use crate::gossip::MAX_USAGE_REPORTS;

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

/// Datagrams are repeated and overtake each other. Each is handled once, and none after a later one; sequence numbers wrap.
#[test]
fn repeats_and_overtaken_messages_are_outdated() {
    let mut peer = Peer::default();
    assert_eq!(peer.receive(5, 65_535, at(10)), MessageStatus::NewIncarnation(PeerStart::FirstHeard));
    assert_eq!(peer.receive(5, 65_535, at(20)), MessageStatus::Outdated, "a repeat");
    assert_eq!(peer.receive(5, 65_534, at(30)), MessageStatus::Outdated, "overtaken");
    assert_eq!(peer.last_received_at, Some(at(10)));
    assert_eq!(peer.receive(5, 0, at(40)), MessageStatus::Current, "the sequence number wrapped");
    assert_eq!(peer.last_received_at, Some(at(40)));
}

/// A peer restarts and counts its messages from one. They are handled, while those of the process before that are still on
/// their way are not.
#[test]
fn a_restarted_peer_counts_its_messages_anew() {
    let mut peer = Peer::default();
    assert_eq!(peer.receive(5, 100, at(10)), MessageStatus::NewIncarnation(PeerStart::FirstHeard));
    assert_eq!(peer.receive(6, 1, at(20)), MessageStatus::NewIncarnation(PeerStart::Restarted));
    assert_eq!(peer.receive(5, 101, at(30)), MessageStatus::Outdated, "from before the restart");
    assert_eq!(peer.receive(6, 2, at(40)), MessageStatus::Current);
}

/// More customers change than a message holds. The next message begins where the last one ended, so that each customer is
/// reported in its turn; a grant is requested with the first report alone.
#[test]
fn batches_go_round_an_outbox_with_more_than_a_message_holds() {
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

/// A machine's wall clock is set back, and its gateway restarts with a lower start number. When a higher number
/// counted as newer, its messages were ignored until the clock had caught up, and customers could exceed their
/// quotas through it.
#[test]
fn a_peer_that_restarts_with_its_clock_set_back_is_heard() {
    let mut peer = Peer::default();
    assert_eq!(peer.receive(5_000_000, 100, at(10)), MessageStatus::NewIncarnation(PeerStart::FirstHeard));
    assert_eq!(peer.receive(5, 1, at(20)), MessageStatus::NewIncarnation(PeerStart::Restarted));
    assert_eq!(peer.receive(5_000_000, 101, at(30)), MessageStatus::Outdated, "from before the restart");
    assert_eq!(peer.receive(5, 2, at(40)), MessageStatus::Current);
}

/// A peer is cut off for forty minutes and sends so many messages meanwhile that its sequence numbers seem to have
/// gone back. Its messages were ignored for as long again after the network was back, and what customers used
/// through it stayed unknown.
#[test]
fn a_peer_that_was_cut_off_for_long_is_heard_at_once() {
    let mut peer = Peer::default();
    peer.receive(5, 100, at(10));
    let after_the_cut = at(10) + Duration::from_secs(40 * 60);
    assert_eq!(peer.receive(5, 100 + 40_000, after_the_cut), MessageStatus::Current);
    assert_eq!(
        peer.receive(5, 100 + 39_999, after_the_cut + Duration::from_micros(10)),
        MessageStatus::Outdated,
        "overtaken"
    );
    assert_eq!(
        peer.receive(5, 100 + 40_001, after_the_cut + Duration::from_micros(20)),
        MessageStatus::Current
    );
}
