//! Customers' token buckets over a fleet.

use crate::support::gateway::{endpoint, is_rejected, sent_to, settings, Fleet, GatewayHarness, SECOND};
use crate::support::gateway::{IDEMPOTENT, RATE_QUOTA, UNLIMITED};
use ingress::*;

#[test]
fn requests_within_the_quota_are_sent_and_beyond_it_rejected() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (_, first) = harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0);
    assert_eq!(sent_to(&first).len(), 1);
    let (_, second) = harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0);
    assert!(is_rejected(&second) && sent_to(&second).is_empty(), "an unseen customer starts with its share");
    harness.advance(2 * SECOND); // and by then no more use of others is presumed

    assert_eq!(
        sent_to(&harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0).1).len(),
        1,
        "the store fills at the rate"
    );
}

/// Guards against one customer's settings being applied to another: a request in a customer's name, but with
/// another plan and gateway set, changed the plan in its record for all later requests, or fixed the wrong
/// set for good.
#[test]
fn a_request_with_a_forged_plan_or_gateway_set_does_not_change_the_customers_record() {
    for forged_first in [false, true] {
        let mut harness = GatewayHarness::new(Settings { gateway_count: 1, ..settings() }, 6);
        let usual = |harness: &mut GatewayHarness| {
            let (id, actions) = harness.request_from_set(IDEMPOTENT, RATE_QUOTA, 9, 1.0, 1.0);
            let to = sent_to(&actions);
            to.iter().for_each(|b| drop(harness.end_attempt(id, 0, *b, Outcome::Ok)));
            to.len()
        };
        let forge = |harness: &mut GatewayHarness| {
            let (id, actions) = harness.request_from_set(IDEMPOTENT, UNLIMITED, 9, 1.0, 1.0);
            sent_to(&actions).iter().for_each(|b| drop(harness.end_attempt(id, 0, *b, Outcome::Ok)));
        };
        if forged_first {
            forge(&mut harness);
        }
        let mut sent: usize = (0..4).map(|_| usual(&mut harness)).sum();
        for _ in 0..3 {
            harness.advance(20_000);
            forge(&mut harness);
            sent += (0..4).map(|_| usual(&mut harness)).sum::<usize>();
        }
        assert!((2..=7).contains(&sent), "{sent} of 16, with a burst of 6 and some forged ones");
    }
}

/// A customer's quota holds over many gateways each of which sees a request now and then, so that none could
/// know alone. Lost messages cost little; an owner that restarts gets the usage reports again.
#[test]
fn a_rate_quota_holds_over_many_gateways() {
    for (lose_every, restart) in [(0, false), (12, false), (0, true)] {
        let mut fleet = Fleet::new(60);
        let mut used = 0.0;
        for step in 0..300usize {
            used += 2.0 * fleet.request(step * 7 % 60, RATE_QUOTA, 2.0, 60.0, lose_every) as f64;
            if restart && step == 150 {
                for me in 0..60u16 {
                    let s = Settings { gateway_count: 60, own_id: GatewayId(me), ..settings() };
                    let harness = &mut fleet.gateways[usize::from(me)];
                    if me % 3 == 0 {
                        harness.gateway = Gateway::new(s, 9, harness.now);
                        harness.handle(Event::Endpoints(
                            EndpointUpdate::CachedSnapshot,
                            (0..6).map(endpoint).collect(),
                        ));
                    }
                }
            }
        }
        // 6 s at 2 units a second, and a burst of 6, half of which the first seconds may leave unused.
        assert!((10.0..=26.0).contains(&used), "{used} units with one message in {lose_every} lost");
        assert!(fleet.messages_sent < 300 * 8, "{} messages for 300 requests", fleet.messages_sent);
    }
}

/// Guards against a large fleet whose messages exceed what its gateways take in: at six messages a request a
/// third was lost, and customers far inside their quota were rejected by gateways that had not heard of them.
#[test]
fn a_hundred_starting_gateways_need_two_messages_for_a_request_within_its_quota() {
    for plan in [1, 3] {
        let mut fleet = Fleet::new(100);
        let mut sent = 0;
        for n in 0..100usize {
            let (at, customer) = (n * 37 % 100, 1000 + n as u64 % 20);
            let (_, actions) = fleet.gateways[at].request_from_set(IDEMPOTENT, plan, customer, 1.0, 100.0);
            sent += fleet.execute(at, actions, 0);
            for n in 0..100 {
                let actions = fleet.gateways[n].advance(20_000);
                sent += fleet.execute(n, actions, 0);
            }
        }
        assert_eq!(sent, 100, "five requests of each customer, far apart: plan {plan}");
        // An end is told as well where attempts out are counted.
        let each = if plan == 3 { 3 } else { 2 };
        assert!(
            fleet.messages_sent <= 100 * each,
            "{} messages for 100 requests of plan {plan}",
            fleet.messages_sent
        );
    }
}

/// How many of ten requests of one unit each, of a customer that is new to gateway 2 of three, that gateway
/// sends.
fn sent_for_new_customer(fleet: &mut Fleet, customer: u64) -> usize {
    let mut sent = 0;
    for _ in 0..10 {
        let (_, actions) = fleet.gateways[2].request_from_set(IDEMPOTENT, RATE_QUOTA, customer, 1.0, 3.0);
        sent += fleet.execute(2, actions, 0);
    }
    sent
}

/// Guards against token buckets that never get the tokens withheld at the start: a customer that is always
/// over its quota never fills up by itself. One gateway that restarts among old ones goes on withholding
/// them.
#[test]
fn gateways_that_start_together_release_withheld_tokens_once() {
    let mut fleet = Fleet::new(3);
    let before = sent_for_new_customer(&mut fleet, 5);
    assert!(before <= 3, "{before} of a burst of 6 before anything is known of the others");
    for at in 0..2 {
        fleet.request(at, UNLIMITED, 1.0, 3.0, 0); // each is heard of
    }
    let after = sent_for_new_customer(&mut fleet, 5);
    assert!((4..=7).contains(&(before + after)), "{before} and {after}: what was held back, once");
    assert!(
        (5..=7).contains(&sent_for_new_customer(&mut fleet, 6)),
        "a customer met later has its whole store"
    );
    let s = Settings { own_id: GatewayId(2), ..settings() };
    for n in 0..3 {
        let actions = fleet.gateways[n].advance(2 * SECOND);
        fleet.execute(n, actions, 0);
    }
    fleet.gateways[2].gateway = Gateway::new(s, 9, fleet.gateways[2].now);
    fleet.gateways[2]
        .handle(Event::Endpoints(EndpointUpdate::CachedSnapshot, (0..6).map(endpoint).collect()));
    for at in 0..3 {
        fleet.request(at, UNLIMITED, 1.0, 3.0, 0);
    }
    let reborn = sent_for_new_customer(&mut fleet, 7);
    assert!(reborn <= 3, "{reborn} of a burst of 6 by one that knows nothing of the time before");
}

/// Guards against charging all usage of a gateway as new after it was silent on the customer for a while: on
/// long days customers move between gateways, and each move emptied their bucket.
#[test]
fn a_customer_that_returns_to_a_gateway_is_not_charged_for_past_usage() {
    let mut fleet = Fleet::new(3);
    let ask = |fleet: &mut Fleet, at: usize, pause: Micros| {
        let (_, actions) = fleet.gateways[at].request_from_set(IDEMPOTENT, RATE_QUOTA, 5, 1.0, 3.0);
        let sent = fleet.execute(at, actions, 0);
        for n in 0..3 {
            let actions = fleet.gateways[n].advance(pause);
            fleet.execute(n, actions, 0);
        }
        sent
    };
    let through =
        |fleet: &mut Fleet, at, times, pause| (0..times).map(|_| ask(fleet, at, pause)).sum::<usize>();
    // One unit a second, of two that the quota has: at one gateway, then at another, then at both.
    assert!(through(&mut fleet, 0, 30, SECOND) >= 29);
    assert_eq!(through(&mut fleet, 2, 30, SECOND), 30);
    assert_eq!(through(&mut fleet, 0, 1, SECOND / 2), 1);
    assert_eq!(through(&mut fleet, 2, 3, SECOND / 2), 3, "its store is all but full");
}
