//! Customers' token buckets over a fleet.

use crate::support::fleet::Fleet;
use crate::support::gateway::{is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{
    settings, settings_of, CONCURRENCY_QUOTA, IDEMPOTENT, RATE_QUOTA, SECOND, UNLIMITED,
};
use ingress::*;

/// A customer sends a request within its quota and then one beyond it. The second one is rejected at once and
/// reaches no backend, and some seconds later, when the token bucket has refilled, the customer is served again.
#[test]
fn requests_within_the_quota_are_sent_and_beyond_it_rejected() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let first = harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0).actions;
    assert_eq!(sent_to(&first).len(), 1);
    let second = harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0).actions;
    assert!(
        is_rejected(&second) && sent_to(&second).is_empty(),
        "a new customer starts with this gateway's share"
    );
    harness.advance(SECOND * 2); // and by then no more usage of others is assumed
    assert_eq!(
        sent_to(&harness.request(IDEMPOTENT, RATE_QUOTA, 9, 1.0).actions).len(),
        1,
        "the bucket is refilled at the rate"
    );
}

/// Somebody sends requests in a customer's name with another plan, before or between the customer's own. Formerly one
/// such request decided on the plan in the customer's record, so that it lifted the quota, or had the customer judged
/// by the wrong plan for good; now the record follows what most requests say.
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

/// The requests of one customer are spread over 60 gateways, each of which sees one now and then and could not know
/// alone that the quota is used up. Together they have to keep to it, also where some messages are lost or some
/// gateways restart, and without flooding each other with messages.
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
        // 6 s at 2 units a second, and a burst of 6, half of which the first seconds may leave unused.
        assert!((10.0..=26.0).contains(&used), "{used} units with one message in {lose_every} lost");
        assert!(fleet.messages_sent < 300 * 8, "{} messages for 300 requests", fleet.messages_sent);
    }
}

/// A fleet of a hundred gateways starts, and customers send requests well within their quotas. Formerly there were six
/// messages for each request, a third of which was lost, and customers were rejected by gateways that had not heard of
/// them; now all requests are served, with two messages each, or three where attempts in flight are counted.
#[test]
fn a_hundred_starting_gateways_need_two_messages_for_a_request_within_its_quota() {
    for plan in [RATE_QUOTA, CONCURRENCY_QUOTA] {
        let mut fleet = Fleet::new(100);
        let mut sent = 0;
        for number in 0..100usize {
            let (at, customer) = (number * 37 % 100, 1000 + number as u64 % 20);
            let actions = fleet.gateways[at].request_from_set(IDEMPOTENT, plan, customer, 1.0, 100.0).actions;
            sent += fleet.execute(at, actions, 0);
            sent += fleet.advance(Duration::from_millis(20), 0);
        }
        assert_eq!(sent, 100, "five requests of each customer, far apart: plan {plan}");
        // Ends are sent as well where attempts in flight are counted.
        let messages_per_request = if plan == CONCURRENCY_QUOTA { 3 } else { 2 };
        assert!(
            fleet.messages_sent <= 100 * messages_per_request,
            "{} messages for 100 requests of plan {plan}",
            fleet.messages_sent
        );
    }
}

/// Sends gateway 2 of three ten requests, of one unit each, of a customer that is new to it. Returns how many of them
/// it sends to a backend.
fn sent_for_new_customer(fleet: &mut Fleet, customer: u64) -> usize {
    let mut sent = 0;
    for _ in 0..10 {
        let actions = fleet.gateways[2].request_from_set(IDEMPOTENT, RATE_QUOTA, customer, 1.0, 3.0).actions;
        sent += fleet.execute(2, actions, 0);
    }
    sent
}

/// A gateway that starts cannot know what a customer used before, and withholds part of its tokens in case it was
/// only a restart. Where the whole fleet has started together, that part has to be released, exactly once: a
/// customer that is always at its limit would otherwise never get it back. A single gateway that restarts among
/// older ones goes on withholding.
#[test]
fn gateways_that_start_together_release_withheld_tokens_once() {
    let mut fleet = Fleet::new(3);
    let before = sent_for_new_customer(&mut fleet, 5);
    assert!(before <= 3, "{before} of a burst of 6 before anything is known of the others");
    for at in 0..2 {
        fleet.request(at, UNLIMITED, 1.0, 3.0, 0); // this makes each known to the others
    }
    let after = sent_for_new_customer(&mut fleet, 5);
    assert!((4..=7).contains(&(before + after)), "{before} and {after}: withheld tokens are released once");
    assert!(
        (5..=7).contains(&sent_for_new_customer(&mut fleet, 6)),
        "a customer that comes later has its whole bucket"
    );
    fleet.advance(SECOND * 2, 0);
    fleet.gateways[2].restart(settings_of(2, 3), 9, 6);
    for at in 0..3 {
        fleet.request(at, UNLIMITED, 1.0, 3.0, 0);
    }
    let after_restart = sent_for_new_customer(&mut fleet, 7);
    assert!(
        after_restart <= 3,
        "{after_restart} of a burst of 6 by a gateway that knows nothing of the time before"
    );
}

/// A customer's requests move to another gateway for half a minute and then come back. Formerly the gateways took
/// everything that it had used meanwhile for new usage, emptied its bucket and rejected it; now it is served, since it
/// was within its quota all the time.
#[test]
fn a_customer_that_returns_to_a_gateway_is_not_charged_for_past_usage() {
    let mut fleet = Fleet::new(3);
    let request_once = |fleet: &mut Fleet, at: usize, pause: Duration| {
        let actions = fleet.gateways[at].request_from_set(IDEMPOTENT, RATE_QUOTA, 5, 1.0, 3.0).actions;
        let sent = fleet.execute(at, actions, 0);
        fleet.advance(pause, 0);
        sent
    };
    let sent_of = |fleet: &mut Fleet, at, times, pause| {
        (0..times).map(|_| request_once(fleet, at, pause)).sum::<usize>()
    };
    // One unit a second, of two that the quota has: at one gateway, then at another, then at both.
    assert!(sent_of(&mut fleet, 0, 30, SECOND) >= 29);
    assert_eq!(sent_of(&mut fleet, 2, 30, SECOND), 30);
    assert_eq!(sent_of(&mut fleet, 0, 1, SECOND / 2), 1);
    assert_eq!(sent_of(&mut fleet, 2, 3, SECOND / 2), 3, "its bucket is all but full");
}

/// How far back a wall clock is set.
const CLOCK_STEP: Duration = Duration::from_secs(600);

/// Restarts gateway 2 of three on a machine whose wall clock was set back.
fn restart_with_clock_set_back(fleet: &mut Fleet) {
    let harness = &mut fleet.gateways[2];
    harness.now = harness.now - CLOCK_STEP;
    harness.restart(settings_of(2, 3), 9, 6);
}

/// A machine's wall clock is set back by ten minutes, and its gateway restarts. Formerly the others took all its
/// messages for older than those before the restart and ignored them until the clock had caught up, so that the
/// customer could use its full quota twice; now they are heard.
#[test]
fn a_gateway_that_restarts_with_its_clock_set_back_is_heard() {
    let mut fleet = Fleet::new(3);
    (0..3).for_each(|at| _ = fleet.request(at, UNLIMITED, 1.0, 3.0, 0));
    restart_with_clock_set_back(&mut fleet);
    (0..3).for_each(|at| _ = fleet.request(at, UNLIMITED, 1.0, 3.0, 0));
    fleet.advance(SECOND * 10, 0);
    let mut sent_at = |at: usize| {
        let mut sent = 0;
        for _ in 0..8 {
            let actions = fleet.gateways[at].request_from_set(IDEMPOTENT, RATE_QUOTA, 6, 1.0, 3.0).actions;
            sent += fleet.execute(at, actions, 0) + fleet.advance(Duration::from_millis(60), 0);
        }
        sent
    };
    // A burst of 6, and 2 a second for the second that it takes.
    let (restarted, other) = (sent_at(2), sent_at(0));
    assert!(restarted + other <= 9, "{restarted} and {other} sent of a quota that both know of");
}

/// A machine's wall clock is set back, and its gateway restarts among gateways that have run for long. Formerly it took
/// them for younger than itself and charged what a customer had used through them long ago as new, and rejected a
/// customer well within its quota; now it charges no past usage.
#[test]
fn a_gateway_that_restarts_with_its_clock_set_back_charges_no_past_usage() {
    let mut fleet = Fleet::new(3);
    let request_once = |fleet: &mut Fleet, at: usize| {
        let actions = fleet.gateways[at].request_from_set(IDEMPOTENT, RATE_QUOTA, 5, 1.0, 3.0).actions;
        let sent = fleet.execute(at, actions, 0);
        fleet.advance(SECOND, 0);
        sent
    };
    let before: usize = (0..30).map(|_| request_once(&mut fleet, 0)).sum();
    assert!(before >= 29);
    fleet.advance(SECOND * 5, 0);
    restart_with_clock_set_back(&mut fleet);
    request_once(&mut fleet, 0);
    let after: usize = (0..3).map(|_| request_once(&mut fleet, 2)).sum();
    assert_eq!(after, 3, "one unit a second, of two that the quota has");
}

/// A customer uses most of its quota, is quiet for a minute, and comes again with a full bucket. Formerly its quota
/// owner had forgotten by then how much each gateway had reported, while those gateways went on counting from where
/// they were: everything ever used was charged again, and 2 of its next 18 requests were served. Now the owner
/// remembers for longer than they count.
#[test]
fn what_a_customer_used_before_a_quiet_time_is_not_charged_again() {
    const BURST: f64 = 20.0;
    // The bucket takes longer to fill than a customer may be idle.
    let slow = Plan { rate: 0.5, burst: BURST, ..settings().plans[usize::from(RATE_QUOTA)].clone() };
    for (at, quiet_seconds) in [(0, 45), (1, 45), (2, 45), (0, 100), (1, 100), (2, 100)] {
        let gateway = |own_id| {
            let mut settings = settings_of(own_id, 100);
            settings.plans[usize::from(RATE_QUOTA)] = slow.clone();
            GatewayHarness::new(settings, 6)
        };
        let mut fleet = Fleet { gateways: (0..100).map(gateway).collect(), messages_sent: 0 };
        fleet.advance(SECOND * 30, 0);
        let send = |fleet: &mut Fleet, at, count| {
            (0..count).map(|_| fleet.request(at, RATE_QUOTA, 1.0, 3.0, 0)).sum::<usize>()
        };
        assert_eq!(send(&mut fleet, at, 18), 18, "gateway {at}: the bucket is full at first");
        fleet.advance(SECOND * quiet_seconds, 0);
        let total = send(&mut fleet, (at + 1) % 3, 12) + send(&mut fleet, at, 40);
        assert!((18..=21).contains(&total), "gateway {at}, {quiet_seconds} s: {total} sent of a full bucket");
    }
}
