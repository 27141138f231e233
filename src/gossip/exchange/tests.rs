//! Tests of [`super`].

use super::*;

/// Start time of the gateways under test.
const START: Instant = Instant::from_micros(1_000_000_000);
/// Minimum time between two messages to a peer.
const INTERVAL: Duration = Duration::from_millis(50);

/// Returns the exchange of a gateway in a fleet of three.
fn exchange(own_id: u16, started_at: Instant) -> PeerExchange {
    let settings = Settings { gateway_count: 3, own_id: GatewayId(own_id), ..Settings::default() };
    PeerExchange::new(&settings, started_at, INTERVAL)
}

/// Returns the body of a message without entries.
fn empty() -> Body {
    Body::UsageReports(Vec::new())
}

fn sample(objective_ratio: Option<f64>) -> LatencySample {
    LatencySample { backend_tag: 1, class: 0, objective_ratio }
}

/// Each message of a peer is handled once. Duplicates, malformed messages, and messages from this gateway's
/// own index or from outside the fleet are ignored, each with its own reason.
#[test]
fn duplicate_malformed_and_foreign_messages_are_ignored() {
    let (mut local, mut peer) = (exchange(0, START), exchange(1, START));
    let bytes = peer.next_message(START, 0, empty());
    let received = local.receive(START, GatewayId(1), &bytes).expect("first message of the peer");
    assert_eq!((received.start, received.sender_age), (Some(PeerStart::FirstHeard), PeerAge::NotOlder));
    assert_eq!(local.receive(START, GatewayId(1), &bytes), Err(IgnoredMessage::Outdated));
    assert_eq!(local.receive(START, GatewayId(1), b"?"), Err(IgnoredMessage::Malformed));
    for sender in [0, 3] {
        assert_eq!(local.receive(START, GatewayId(sender), &bytes), Err(IgnoredMessage::UnknownSender));
    }
    let next = peer.next_message(START, 0, empty());
    let received = local.receive(START, GatewayId(1), &next).expect("second message of the peer");
    assert_eq!(received.start, None);
}

/// A peer restarts with a new incarnation. Answers to its previous process must not be used by the new one.
#[test]
fn restart_is_detected_by_the_incarnation() {
    let (mut local, mut before) = (exchange(0, START), exchange(1, START));
    let restarted_at = START + Duration::from_secs(60);
    let mut after = exchange(1, restarted_at);
    local
        .receive(START, GatewayId(1), &before.next_message(START, 0, empty()))
        .expect("first message of the previous process");
    let bytes = after.next_message(restarted_at, 0, empty());
    let received =
        local.receive(restarted_at, GatewayId(1), &bytes).expect("first message after the restart");
    assert_eq!(received.start, Some(PeerStart::Restarted));
    let previous_incarnation = incarnation_of(START);
    assert!(before.is_for_this_process(previous_incarnation));
    assert!(!after.is_for_this_process(previous_incarnation));
}

/// The gateways of a fleet start within 1.5 s. Without a message from each of them, a gateway cannot assume
/// that all started together.
#[test]
fn fleet_start_needs_a_message_from_every_peer() {
    let mut local = exchange(0, START);
    let window = Duration::from_millis(1500);
    let mut receive_first_message = |own_id: u16, started_after| {
        let mut peer = exchange(own_id, START + Duration::from_millis(started_after));
        let bytes = peer.next_message(START, 0, empty());
        local.receive(START, GatewayId(own_id), &bytes).expect("first message of the process");
        local.whole_fleet_started_within(window)
    };
    assert!(!receive_first_message(1, 1500), "no message from gateway 2 yet");
    assert!(receive_first_message(2, 0));
    assert!(!receive_first_message(2, 1501), "gateway 2 restarted too late");
}

/// A customer's usage changes several times within the send interval. The report has to be sent once, after
/// the interval, and with the grant request of one of the changes.
#[test]
fn outbox_merges_the_entries_of_a_customer() {
    let mut local = exchange(0, START);
    local.next_message(START, 1, empty());
    let usage = OutboxEntry { copies_left: 1, requests_grant: false };
    let grant_request = OutboxEntry { copies_left: 1, requests_grant: true };
    for entry in [usage, grant_request, usage] {
        local.queue(1, CustomerId(7), entry);
    }
    assert_eq!((local.ready_to_send(START), local.may_send(START, 1)), (vec![], false));
    assert_eq!((local.ready_to_send(START + INTERVAL), local.may_send(START + INTERVAL, 1)), (vec![1], true));
    let batch = local.next_batch(1).expect("gateway 1 has a record");
    assert_eq!(
        batch.iter().map(|(id, entry)| (*id, entry.requests_grant)).collect::<Vec<_>>(),
        [(CustomerId(7), true)]
    );
    assert!(local.ready_to_send(START + INTERVAL).is_empty());
}

/// Peers need failures first, to avoid the backend. Each sample is sent with as many messages as it was
/// queued for.
#[test]
fn failures_are_sent_before_other_samples() {
    let mut local = exchange(0, START);
    local.queue_sample(sample(Some(1.0)), 2);
    local.queue_sample(sample(None), 1);
    let mut latencies_sent = || {
        let message =
            Message::decode(&local.next_message(START, 1, empty())).expect("message can be decoded");
        message.samples.iter().map(|sample| sample.objective_ratio).collect::<Vec<_>>()
    };
    assert_eq!(latencies_sent(), [None, Some(1.0)]);
    assert_eq!(latencies_sent(), [Some(1.0)]);
    assert_eq!(latencies_sent(), []);
}

/// Reports of ever new customers are queued faster than messages may be sent. Beyond the limit new ones are
/// dropped, as if they were lost on the way, while queued ones are updated; sending makes room.
#[test]
fn the_number_of_queued_reports_is_limited() {
    const MAX_QUEUED: usize = 5;
    let entry = OutboxEntry { copies_left: 1, requests_grant: false };
    let mut exchange = PeerExchange::default();
    exchange.set_max_queued_reports(MAX_QUEUED);
    for customer in 0..100 {
        exchange.queue(1, CustomerId(customer), entry);
        exchange.queue_single_report(2, CustomerId(customer));
    }
    let queued =
        |exchange: &PeerExchange| -> usize { exchange.peers.values().map(|peer| peer.outbox.len()).sum() };
    assert_eq!((queued(&exchange), exchange.queued_reports), (MAX_QUEUED, MAX_QUEUED));
    exchange.queue(1, CustomerId(0), OutboxEntry { requests_grant: true, ..entry });
    let batch = exchange.next_batch(1).unwrap();
    assert!(batch[0].1.requests_grant, "a queued report is updated");
    assert_eq!(exchange.queued_reports, queued(&exchange));
    exchange.queue(1, CustomerId(200), entry);
    assert!(exchange.peers[&1].outbox.contains_key(&CustomerId(200)), "there is room again");
}
