//! Shedding stages and the concurrency limit.

use crate::support::gateway::{endpoint, is_rejected, plan, sent_to, settings, GatewayHarness};
use crate::support::gateway::{IDEMPOTENT, UNLIMITED};
use ingress::*;

#[test]
fn the_shedding_stage_rises_with_latency_and_falls_again() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let mut log = Vec::new();
    for step in 0..800u64 {
        let slow = (100..300).contains(&step);
        let (id, actions) = harness.request(IDEMPOTENT, UNLIMITED, step, 1.0);
        if let Some(b) = sent_to(&actions).first() {
            let event = Event::AttemptEnded(AttemptEnded {
                id,
                attempt: 0,
                backend: *b,
                outcome: Outcome::Ok,
                answered: true,
                elapsed: if slow { 900_000 } else { 100_000 },
                metered: None,
                charged_units: None,
                load_report: None,
            });
            harness.handle(event);
        }
        let actions = harness.advance(20_000);
        log.extend(actions.into_iter().filter_map(|a| {
            if let Action::Log(l) = a {
                Some((step, l))
            } else {
                None
            }
        }));
    }
    let up = log.iter().find(|(_, l)| l.contains("from=0, to=1")).expect("an alert");
    assert!((100..300).contains(&up.0));
    let down = log.iter().rev().find(|(_, l)| l.contains("from=1, to=0")).expect("the end of the alert");
    assert!(down.0 > 300);
}

/// A shedding stage rejects the same customers for an epoch: the retry of a rejected client gets the same
/// answer.
#[test]
fn all_gateways_shed_the_same_customers() {
    let verdicts = |me: u16| {
        let mut s = Settings { own_id: GatewayId(me), ..settings() };
        s.plans = vec![plan(1e6, 1e6)];
        let mut harness = GatewayHarness::new(s, 4);
        for step in 0..400u64 {
            let (id, actions) = harness.request(IDEMPOTENT, UNLIMITED, step % 40, 1.0);
            for backend in sent_to(&actions) {
                let took = if step < 40 { 100_000 } else { 900_000 };
                let (complete, outcome) = (true, Outcome::Ok);
                let (metered, charged, report) = (None, None, None);
                let attempt = 0;
                harness.handle(Event::AttemptEnded(AttemptEnded {
                    id,
                    attempt,
                    backend,
                    outcome,
                    answered: complete,
                    elapsed: took,
                    metered,
                    charged_units: charged,
                    load_report: report,
                }));
            }
            harness.advance(20_000);
        }
        (0..40).map(|n| is_rejected(&harness.request(IDEMPOTENT, UNLIMITED, n, 1.0).1)).collect::<Vec<_>>()
    };
    let (here, there) = (verdicts(0), verdicts(1));
    assert_eq!(here, there);
    assert!(here.contains(&true) && here.contains(&false), "half of amber passes on the third rung");
}

#[test]
fn remaining_backends_do_not_take_over_the_load_of_removed_ones() {
    let out = |left: u64| {
        let mut harness = GatewayHarness::new(settings(), 12);
        harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, (0..left).map(endpoint).collect()));
        (0..200).map(|n| sent_to(&harness.request(IDEMPOTENT, UNLIMITED, n, 1.0).1).len()).sum::<usize>()
    };
    assert!(out(12) >= 12);
    assert!(out(6) * 2 <= out(12) + 2, "{} out at 6 backends, {} at 12", out(6), out(12));
}

/// Whom the concurrency limit rejects is drawn by customer and epoch, not by who comes last: a retry gets the
/// same answer at every gateway.
#[test]
fn the_concurrency_limit_rejects_the_same_customers_again() {
    let mut harness = GatewayHarness::new(settings(), 12);
    let verdicts: Vec<bool> =
        (0..80).map(|n| is_rejected(&harness.request(IDEMPOTENT, UNLIMITED, n, 1.0).1)).collect();
    let first_refused = verdicts.iter().position(|r| *r).expect("the bound is full");
    let last_taken = verdicts.iter().rposition(|r| !*r).expect("some are taken");
    assert!(first_refused < last_taken, "the line is closed to some before it is full");
    assert!(
        is_rejected(&harness.request(IDEMPOTENT, UNLIMITED, first_refused as u64, 1.0).1),
        "asking again changes nothing"
    );
}
