//! Tests of quotas on the rate of units, at one gateway and over a fleet.

use crate::support::fleet::Fleet;
use crate::support::gateway::{is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{
    settings, settings_of, CONCURRENCY_QUOTA, IDEMPOTENT, RATE_QUOTA, SECOND, UNLIMITED,
};
use ingress::*;

/// A request over the quota is rejected immediately and reaches no backend. The customer is served again
/// after its token bucket has refilled.
#[test]
fn requests_within_the_quota_are_sent_and_requests_over_it_rejected() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let first = harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0).actions;
    assert_eq!(sent_to(&first).len(), 1);
    let second = harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0).actions;
    assert!(
        is_rejected(&second) && sent_to(&second).is_empty(),
        "a new customer's bucket holds this gateway's share"
    );
    harness.advance(SECOND * 2); // the usage assumed for other gateways has decayed by then
    assert_eq!(
        sent_to(&harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0).actions).len(),
        1,
        "the bucket is refilled at the rate"
    );
}

/// Forged requests state another plan for a customer, before or between its own requests. If a single request
/// set the plan of the record, it could lift the quota, or apply the wrong plan permanently. The record
/// therefore follows the plan that most requests state.
#[test]
fn requests_with_a_forged_plan_do_not_change_the_customers_record() {
    for forged_first in [false, true] {
        let mut harness = GatewayHarness::new(settings_of(0, 1), 6);
        let send_genuine = |harness: &mut GatewayHarness| {
            let SubmittedRequest { id, actions } =
                harness.request_from_set(IDEMPOTENT, RATE_QUOTA, 9, 1.0, 1.0);
            let backends = sent_to(&actions);
            for backend in &backends {
                drop(harness.end_attempt(id, 0, *backend, Outcome::Ok));
            }
            backends.len()
        };
        let send_forged = |harness: &mut GatewayHarness| {
            let SubmittedRequest { id, actions } =
                harness.request_from_set(IDEMPOTENT, UNLIMITED, 9, 1.0, 1.0);
            for backend in &sent_to(&actions) {
                drop(harness.end_attempt(id, 0, *backend, Outcome::Ok));
            }
        };
        if forged_first {
            send_forged(&mut harness);
        }
        let mut sent: usize = (0..4).map(|_| send_genuine(&mut harness)).sum();
        for _ in 0..3 {
            harness.advance(Duration::from_millis(20));
            send_forged(&mut harness);
            sent += (0..4).map(|_| send_genuine(&mut harness)).sum::<usize>();
        }
        assert!((2..=7).contains(&sent), "{sent} of 16, with a burst of 6 and some forged ones");
    }
}

/// A customer's requests are distributed over 60 gateways, each of which receives too few of them to detect
/// on its own that the quota is used up. The quota must hold despite lost messages and restarts, with few
/// messages.
#[test]
fn a_rate_quota_holds_over_many_gateways() {
    for (lose_every, restart) in [(0, false), (12, false), (0, true)] {
        let mut fleet = Fleet::new(60);
        let mut used = 0.0;
        for step in 0..300usize {
            used += 2.0 * fleet.request(step * 7 % 60, RATE_QUOTA, 2.0, 60.0, lose_every) as f64;
            if restart && step == 150 {
                for own_id in (0..60u16).step_by(3) {
                    fleet.gateways[usize::from(own_id)].restart(settings_of(own_id, 60), 9, 6);
                }
            }
        }
        // 6 s at 2 units per second, and a burst of 6, of which half may remain unused in the first seconds.
        assert!((10.0..=26.0).contains(&used), "{used} units with one message in {lose_every} lost");
        assert!(fleet.messages_sent < 300 * 8, "{} messages for 300 requests", fleet.messages_sent);
    }
}

/// A hundred gateways start, and customers send requests well within their quotas. With six messages per
/// request, a third of them would be lost, and gateways without a record of a customer would reject it. Two
/// messages per request are enough, or three if attempts in flight are counted.
#[test]
fn a_hundred_starting_gateways_need_two_messages_for_a_request_within_its_quota() {
    for plan in [RATE_QUOTA, CONCURRENCY_QUOTA] {
        let mut fleet = Fleet::new(100);
        let mut sent = 0;
        for number in 0..100usize {
            let (index, customer) = (number * 37 % 100, 1000 + number as u64 % 20);
            let actions =
                fleet.gateways[index].request_from_set(IDEMPOTENT, plan, customer, 1.0, 100.0).actions;
            sent += fleet.execute(index, actions, 0);
            sent += fleet.advance(Duration::from_millis(20), 0);
        }
        assert_eq!(sent, 100, "five requests of each customer, far apart: plan {plan}");
        // The ends of attempts are reported as well if attempts in flight are counted.
        let messages_per_request = if plan == CONCURRENCY_QUOTA { 3 } else { 2 };
        assert!(
            fleet.messages_sent <= 100 * messages_per_request,
            "{} messages for 100 requests of plan {plan}",
            fleet.messages_sent
        );
    }
}

/// Sends ten requests of one unit each, of a new customer, to gateway 2 of three. Returns the number of
/// requests that reach a backend.
fn sent_for_new_customer(fleet: &mut Fleet, customer: u64) -> usize {
    let mut sent = 0;
    for _ in 0..10 {
        let actions = fleet.gateways[2].request_from_set(IDEMPOTENT, RATE_QUOTA, customer, 1.0, 3.0).actions;
        sent += fleet.execute(2, actions, 0);
    }
    sent
}

/// A gateway withholds part of a new customer's tokens, because usage before its start is unknown. After a
/// start of the whole fleet the part must be released exactly once; a customer that is always at its limit
/// would otherwise never receive it. A gateway that restarts among older ones continues to withhold tokens.
#[test]
fn gateways_that_start_together_release_withheld_tokens_once() {
    let mut fleet = Fleet::new(3);
    let before = sent_for_new_customer(&mut fleet, 5);
    assert!(before <= 3, "{before} of a burst of 6 before the first message from another gateway");
    for index in 0..2 {
        fleet.request(index, UNLIMITED, 1.0, 3.0, 0); // makes each gateway send messages to the others
    }
    let after = sent_for_new_customer(&mut fleet, 5);
    assert!((4..=7).contains(&(before + after)), "{before} and {after}: withheld tokens are released once");
    assert!((5..=7).contains(&sent_for_new_customer(&mut fleet, 6)), "a later customer has its whole bucket");
    fleet.advance(SECOND * 2, 0);
    fleet.gateways[2].restart(settings_of(2, 3), 9, 6);
    for index in 0..3 {
        fleet.request(index, UNLIMITED, 1.0, 3.0, 0);
    }
    let after_restart = sent_for_new_customer(&mut fleet, 7);
    assert!(
        after_restart <= 3,
        "{after_restart} of a burst of 6 at a restarted gateway, where earlier usage is unknown"
    );
}

/// A customer's requests move to another gateway for half a minute and then return. If the gateways counted
/// all usage in the meantime as new, they would empty the bucket of a customer within its quota and reject
/// it.
#[test]
fn a_customer_that_returns_to_a_gateway_is_not_charged_for_past_usage() {
    let mut fleet = Fleet::new(3);
    let request_once = |fleet: &mut Fleet, index: usize, pause: Duration| {
        let actions = fleet.gateways[index].request_from_set(IDEMPOTENT, RATE_QUOTA, 5, 1.0, 3.0).actions;
        let sent = fleet.execute(index, actions, 0);
        fleet.advance(pause, 0);
        sent
    };
    let sent_of = |fleet: &mut Fleet, index, times, pause| {
        (0..times).map(|_| request_once(fleet, index, pause)).sum::<usize>()
    };
    // One unit per second, half of the quota: at one gateway, then at another, then at both.
    assert!(sent_of(&mut fleet, 0, 30, SECOND) >= 29);
    assert_eq!(sent_of(&mut fleet, 2, 30, SECOND), 30);
    assert_eq!(sent_of(&mut fleet, 0, 1, SECOND / 2), 1);
    assert_eq!(sent_of(&mut fleet, 2, 3, SECOND / 2), 3, "the bucket is nearly full");
}

/// Duration by which a wall clock is set back.
const CLOCK_STEP: Duration = Duration::from_secs(600);

/// Restarts gateway 2 of three on a machine whose wall clock was set back.
fn restart_with_clock_set_back(fleet: &mut Fleet) {
    let harness = &mut fleet.gateways[2];
    harness.now = harness.now - CLOCK_STEP;
    harness.restart(settings_of(2, 3), 9, 6);
}

/// A machine's wall clock is set back by ten minutes, and its gateway restarts. If the other gateways ignored
/// its messages as outdated until the clock caught up, a customer could use its full quota twice.
#[test]
fn messages_of_a_gateway_that_restarts_with_its_clock_set_back_are_accepted() {
    let mut fleet = Fleet::new(3);
    (0..3).for_each(|index| _ = fleet.request(index, UNLIMITED, 1.0, 3.0, 0));
    restart_with_clock_set_back(&mut fleet);
    (0..3).for_each(|index| _ = fleet.request(index, UNLIMITED, 1.0, 3.0, 0));
    fleet.advance(SECOND * 10, 0);
    let mut sent_at = |index: usize| {
        let mut sent = 0;
        for _ in 0..8 {
            let actions = fleet.gateways[index].request_from_set(IDEMPOTENT, RATE_QUOTA, 6, 1.0, 3.0).actions;
            sent += fleet.execute(index, actions, 0) + fleet.advance(Duration::from_millis(60), 0);
        }
        sent
    };
    // A burst of 6, and 2 units per second for the second that the requests take.
    let (restarted, other) = (sent_at(2), sent_at(0));
    assert!(restarted + other <= 9, "{restarted} and {other} sent under a quota that both gateways count");
}

/// A machine's wall clock is set back, and its gateway restarts among older gateways. If it treated them as
/// younger than itself, it would charge all past usage through them as new, and reject a customer well within
/// its quota.
#[test]
fn a_gateway_that_restarts_with_its_clock_set_back_charges_no_past_usage() {
    let mut fleet = Fleet::new(3);
    let request_once = |fleet: &mut Fleet, index: usize| {
        let actions = fleet.gateways[index].request_from_set(IDEMPOTENT, RATE_QUOTA, 5, 1.0, 3.0).actions;
        let sent = fleet.execute(index, actions, 0);
        fleet.advance(SECOND, 0);
        sent
    };
    let before: usize = (0..30).map(|_| request_once(&mut fleet, 0)).sum();
    assert!(before >= 29);
    fleet.advance(SECOND * 5, 0);
    restart_with_clock_set_back(&mut fleet);
    request_once(&mut fleet, 0);
    let after: usize = (0..3).map(|_| request_once(&mut fleet, 2)).sum();
    assert_eq!(after, 3, "one unit per second, half of the quota");
}

/// A customer uses most of its burst, pauses until its bucket is full, and sends requests again. If the quota
/// owner had removed its record while the reporters' totals continued, it would charge all past usage again,
/// and 2 of the next 18 requests would be served. The owner therefore retains its record longer than the
/// reporters.
#[test]
fn usage_before_a_pause_is_not_charged_again() {
    const BURST: f64 = 20.0;
    // The bucket's refill time is longer than the idle time after which a customer counts as inactive.
    let slow = Plan { rate: 0.5, burst: BURST, ..settings().plans[usize::from(RATE_QUOTA)].clone() };
    for (index, quiet_seconds) in [(0, 45), (1, 45), (2, 45), (0, 100), (1, 100), (2, 100)] {
        let gateway = |own_id| {
            let mut settings = settings_of(own_id, 100);
            settings.plans[usize::from(RATE_QUOTA)] = slow.clone();
            GatewayHarness::new(settings, 6)
        };
        let mut fleet = Fleet { gateways: (0..100).map(gateway).collect(), messages_sent: 0 };
        fleet.advance(SECOND * 30, 0);
        let send = |fleet: &mut Fleet, index, count| {
            (0..count).map(|_| fleet.request(index, RATE_QUOTA, 1.0, 3.0, 0)).sum::<usize>()
        };
        assert_eq!(send(&mut fleet, index, 18), 18, "gateway {index}: the bucket is full initially");
        fleet.advance(SECOND * quiet_seconds, 0);
        let total = send(&mut fleet, (index + 1) % 3, 12) + send(&mut fleet, index, 40);
        assert!(
            (18..=21).contains(&total),
            "gateway {index}, {quiet_seconds} s: {total} sent of a full bucket"
        );
    }
}
