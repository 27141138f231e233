//! Tests of [`super`].

use super::*;

/// When the gateways under test start.
const START: Instant = Instant::from_micros(1_000_000_000);
/// The least time between two messages to a peer.
const INTERVAL: Duration = Duration::from_millis(50);

/// The exchange of a gateway of a fleet of three.
fn exchange(own_id: u16, started_at: Instant) -> PeerExchange {
    let settings = Settings { gateway_count: 3, own_id: GatewayId(own_id), ..Settings::default() };
    PeerExchange::new(&settings, started_at, INTERVAL)
}

/// A message without any content.
fn empty() -> Body {
    Body::UsageReports(Vec::new())
}

fn sample(objective_ratio: Option<f64>) -> LatencySample {
    LatencySample { backend_tag: 1, class: 0, objective_ratio }
}

/// A peer's messages are handled once each, in their order. A repeat, what is not a message, and what comes
/// from this gateway's own index or from none of the fleet is ignored, each for its own reason.
#[test]
fn messages_that_are_not_a_peers_next_one_are_ignored() {
    let (mut here, mut peer) = (exchange(0, START), exchange(1, START));
    let bytes = peer.next_message(START, 0, empty());
    let received = here.receive(START, GatewayId(1), &bytes).expect("a peer's first message");
    assert_eq!((received.start, received.sender_age), (Some(PeerStart::FirstHeard), PeerAge::NotOlder));
    assert_eq!(here.receive(START, GatewayId(1), &bytes), Err(IgnoredMessage::Outdated));
    assert_eq!(here.receive(START, GatewayId(1), b"?"), Err(IgnoredMessage::Malformed));
    for sender in [0, 3] {
        assert_eq!(here.receive(START, GatewayId(sender), &bytes), Err(IgnoredMessage::UnknownSender));
    }
    let next = peer.next_message(START, 0, empty());
    let received = here.receive(START, GatewayId(1), &next).expect("its second message");
    assert_eq!(received.start, None);
}

/// A peer restarts, and its messages count from one again under another incarnation. An answer to the process
/// before is not for the new one.
#[test]
fn a_restart_is_known_by_the_incarnation() {
    let (mut here, mut before) = (exchange(0, START), exchange(1, START));
    let restarted_at = START + Duration::from_secs(60);
    let mut after = exchange(1, restarted_at);
    here.receive(START, GatewayId(1), &before.next_message(START, 0, empty())).expect("its first message");
    let bytes = after.next_message(restarted_at, 0, empty());
    let received = here.receive(restarted_at, GatewayId(1), &bytes).expect("its first after the restart");
    assert_eq!(received.start, Some(PeerStart::Restarted));
    let previous_incarnation = incarnation_of(START);
    assert!(before.is_for_this_process(previous_incarnation));
    assert!(!after.is_for_this_process(previous_incarnation));
}

/// The gateways of a fleet start within a second and a half. That all did is known only once all were heard.
#[test]
fn a_fleet_started_together_once_all_of_it_were_heard() {
    let mut here = exchange(0, START);
    let window = Duration::from_millis(1500);
    let mut hear = |own_id: u16, started_after| {
        let mut peer = exchange(own_id, START + Duration::from_millis(started_after));
        let bytes = peer.next_message(START, 0, empty());
        here.receive(START, GatewayId(own_id), &bytes).expect("a peer's first message");
        here.whole_fleet_started_within(window)
    };
    assert!(!hear(1, 1500), "one was not heard yet");
    assert!(hear(2, 0));
    assert!(!hear(2, 1501), "it restarted");
}

/// A customer's usage changes several times while a message to an owner has to wait. The report goes once,
/// with the request for a grant that one of the changes needed, and not before the interval since the last
/// message has passed.
#[test]
fn an_outbox_holds_one_entry_for_each_customer() {
    let mut here = exchange(0, START);
    here.next_message(START, 1, empty());
    let usage = OutboxEntry { copies_left: 1, requests_grant: false };
    let grant_request = OutboxEntry { copies_left: 1, requests_grant: true };
    for entry in [usage, grant_request, usage] {
        here.queue(1, CustomerId(7), entry);
    }
    assert_eq!((here.ready_to_send(START), here.may_send(START, 1)), (vec![], false));
    assert_eq!((here.ready_to_send(START + INTERVAL), here.may_send(START + INTERVAL, 1)), (vec![1], true));
    let batch = here.next_batch(1).expect("a peer with a record");
    assert_eq!(
        batch.iter().map(|(id, entry)| (*id, entry.requests_grant)).collect::<Vec<_>>(),
        [(CustomerId(7), true)]
    );
    assert!(here.ready_to_send(START + INTERVAL).is_empty());
}

/// Failures are what peers have to know first. They stand before other samples, and each sample goes with as
/// many messages as it was queued for.
#[test]
fn failures_are_sent_before_other_samples() {
    let mut here = exchange(0, START);
    here.queue_sample(sample(Some(1.0)), 2);
    here.queue_sample(sample(None), 1);
    let mut latencies_sent = || {
        let message = Message::decode(&here.next_message(START, 1, empty())).expect("a message");
        message.samples.iter().map(|sample| sample.objective_ratio).collect::<Vec<_>>()
    };
    assert_eq!(latencies_sent(), [None, Some(1.0)]);
    assert_eq!(latencies_sent(), [Some(1.0)]);
    assert_eq!(latencies_sent(), []);
}
