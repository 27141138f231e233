//! Quotas on attempts in flight, and the owners that grant them.

use crate::support::gateway::{failed, refused, sends, settings, Fleet, Rig, S, T0};
use ingress::*;

#[test]
fn an_open_cap_counts_cancelled_attempts_until_they_settle() {
    let mut rig = Rig::with(settings(), 4);
    let (id, actions) = rig.ask(0, 3, 5, 1.0);
    assert_eq!(sends(&rig.ask(0, 3, 5, 1.0).1).len(), 1);
    assert!(refused(&rig.ask(0, 3, 5, 1.0).1));
    rig.feed(Event::ClientDisconnected(id));
    assert!(refused(&rig.ask(0, 3, 5, 1.0).1), "called off, yet still out");
    rig.settle(id, 0, sends(&actions)[0], Outcome::Cancelled);
    assert_eq!(sends(&rig.ask(0, 3, 5, 1.0).1).len(), 1);
}

/// Guards against an attempt at a slow backend that holds one of a customer's few places for as long as the client
/// waits, though its answer has been worth nothing since the aim.
#[test]
fn an_attempt_of_a_capped_customer_ends_with_its_aim() {
    let mut rig = Rig::with(Settings { gateway_count: 100, ..settings() }, 200);
    let until = |actions: &[Action]| {
        let expiry =
            |a: &Action| if let Action::Send { expires_at: expires, .. } = a { Some(*expires) } else { None };
        actions.iter().find_map(expiry)
    };
    let (id, actions) = rig.ask_of(2, 3, 5, 1.0, 1.0);
    assert_eq!(until(&actions), Some(T0 + S), "a cap of two, an aim of a second");
    assert_eq!(
        until(&rig.ask_of(2, 0, 6, 1.0, 1.0).1),
        Some(0),
        "without a cap it lasts as long as the client"
    );
    rig.pass(S + 20_000);
    let ended = rig.settle(id, 0, sends(&actions)[0], Outcome::TimedOut);
    assert!(failed(&ended), "told at once, not later");
    assert_eq!(sends(&rig.ask_of(2, 3, 5, 1.0, 1.0).1).len(), 1);
}

/// Guards against letting all of a capped customer's requests in wherever its home is not heard: a home that is asked for
/// more than it takes in is heard by nobody. The more it costs to be wrong, the fewer pass; some always do.
#[test]
fn of_capped_customers_whose_home_is_not_heard_some_are_let_in_by_lot() {
    for (over_cost, share) in [(0.0, 1.0), (1.0, 0.5), (3.0, 0.25)] {
        let mut s = Settings { gateway_count: 300, ..settings() };
        s.plans[3].over_quota_cost = over_cost;
        let mut rig = Rig::with(s, 200);
        let (mut sent, mut asked) = (0, 0);
        for customer in 0..400 {
            let (id, at_once) = rig.ask_of(0, 3, customer, 1.0, 300.0);
            if !sends(&at_once).is_empty() {
                continue; // a home of its own: nobody to ask
            }
            asked += 1;
            let later = rig.pass(120_000);
            for backend in sends(&later) {
                sent += 1;
                rig.settle(id, 0, backend, Outcome::Ok);
            }
        }
        let part = f64::from(sent) / f64::from(asked);
        assert!((part - share).abs() < 0.1, "{part} of {asked} let in at a cost of {over_cost}");
    }
}

/// Guards against letting in whom an overrun home has no word on: those are the customers that overrun it, and each
/// one beyond a cap costs as much as one inside earns. A home that says nothing at all may have died.
#[test]
fn a_capped_customer_is_refused_where_its_home_talks_but_not_of_it() {
    // Where being wrong costs nothing no lot is drawn: who is not heard is let in.
    let rig_of = |me| {
        let mut s = Settings { gateway_count: 100, own_id: GatewayId(me), ..settings() };
        s.plans[3].over_quota_cost = 0.0;
        Rig::with(s, 200)
    };
    let mut rig = rig_of(0);
    let told = |actions: &[Action]| {
        let one = |a: &Action| {
            if let Action::SendToPeer { to, bytes } = a {
                Some((to.unwrap(), bytes.clone()))
            } else {
                None
            }
        };
        actions.iter().find_map(one)
    };
    let home = told(&rig.ask_of(0, 3, 5, 1.0, 100.0).1).expect("its home is asked").0;
    assert_eq!(sends(&rig.pass(200_000)).len(), 1, "its home was never heard");
    rig.now += 3 * S;
    // Another customer with the same home, and its word on that one.
    let mut others = 100..;
    let question = loop {
        let asked = told(&rig.ask_of(0, 3, others.next().unwrap(), 1.0, 100.0).1);
        if let Some((_, bytes)) = asked.filter(|a| a.0 == home) {
            break bytes;
        }
    };
    let mut its = rig_of(home.0);
    its.now = rig.now;
    let (_, bytes) =
        told(&its.feed(Event::PeerMessage { from: GatewayId(0), bytes: question })).expect("its word");
    rig.feed(Event::PeerMessage { from: home, bytes });
    rig.pass(300_000);
    let (id, _) = rig.ask_of(0, 3, 5, 1.0, 100.0);
    let later = rig.pass(300_000);
    assert!(later.iter().any(|a| matches!(a, Action::Reject { id: refused, .. } if *refused == id)));
}

/// Guards against one capped customer that is asked for so often that its home cannot take the questions in, and loses
/// the ends of attempts and the words on all its other customers with them.
#[test]
fn questions_on_a_customer_that_is_asked_for_too_often_are_thinned_out() {
    let mut fleet = Fleet::new(100);
    let mut sent = 0;
    for n in 0..400usize {
        sent += fleet.ask(n % 5, 3, 1.0, 100.0, 0); // 50 a second, by five busy gateways
    }
    // A question, a word and an end for each would be 1,200; a home takes in 60 a second here, so 480 in 8 s.
    assert!(fleet.carried <= 1000, "{} messages for 400 requests", fleet.carried);
    assert!(sent >= 150, "{sent} of 400 sent");
}
