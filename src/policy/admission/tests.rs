//! Tests of [`super`].

use super::*;
use crate::policy::quota::shortages::QuotaLimit;

const NOW: Instant = Instant::from_micros(100_000_000);
const MIN_TIME_LEFT: Duration = Duration::from_millis(40);

/// Returns a plan with a rate quota, or with a concurrency quota if that is not 0.
fn plan(concurrency_quota: u32) -> Plan {
    Plan {
        rate: 10.0,
        burst: 20.0,
        concurrency_quota,
        hard_limit_rate: 5.0,
        hard_limit_burst: 0.0,
        price: 1.0,
        over_quota_cost: 1.0,
    }
}

/// Returns the shortages of a request that only this limit does not allow.
fn shortages_of(limit: QuotaLimit) -> Shortages {
    let shortage = Some(Shortage { limit, seconds: 0.5 });
    match limit {
        QuotaLimit::HardLimit => Shortages { hard_limit: shortage, ..Shortages::default() },
        QuotaLimit::Rate | QuotaLimit::Concurrency | QuotaLimit::OwnersOverloaded => {
            Shortages { quota: shortage, ..Shortages::default() }
        }
    }
}

/// Returns a request within all limits, at a gateway that owns no quota and whose last answer from an owner
/// has this age.
fn arrival(plan: &Plan, answer_age: Duration) -> ArrivalContext<'_> {
    ArrivalContext {
        now: NOW,
        deadline: NOW + Duration::from_secs(1),
        min_time_left: MIN_TIME_LEFT,
        plan,
        shortages: Shortages::default(),
        grant: GrantStatus { is_quota_owner: false, answer_age: Some(answer_age), has_other_granter: true },
        ownership: QuotaOwnership::Designated,
    }
}

/// Returns a request within all limits, at an idle gateway.
fn admission() -> AdmissionContext {
    AdmissionContext {
        now: NOW,
        customer: CustomerId(7),
        shortage: None,
        answers: GrantAnswers::Complete,
        in_flight: 0,
        queue_length: 0,
        concurrency_limit: 10.0,
    }
}

/// Clients send requests with classes, plans or unit counts that don't exist, or with so little time left
/// that the client would give up before the answer. Both are rejected on arrival.
#[test]
fn invalid_and_late_requests_are_rejected_on_arrival() {
    let valid = Request { units: 1.0, deadline: NOW + MIN_TIME_LEFT, ..Request::default() };
    let validate = |request: Request| {
        let context = ValidationContext {
            now: NOW,
            request: &request,
            class_count: 1,
            plan_count: 1,
            min_time_left: MIN_TIME_LEFT,
        };
        context.validate()
    };
    assert_eq!(validate(valid), Ok(()));
    assert_eq!(validate(Request { class: 1, ..valid }), Err(RejectReason::Invalid));
    assert_eq!(validate(Request { plan: 1, ..valid }), Err(RejectReason::Invalid));
    assert_eq!(validate(Request { units: -1.0, ..valid }), Err(RejectReason::Invalid));
    assert_eq!(validate(Request { units: f64::NAN, ..valid }), Err(RejectReason::Invalid));
    let late = Request { deadline: NOW + MIN_TIME_LEFT - Duration::MICROSECOND, ..valid };
    assert_eq!(validate(late), Err(RejectReason::NoTime));
}

/// A gateway of a large fleet doesn't count a customer's usage. It requests a grant for every request,
/// since an earlier grant was for another request; an owner decides by its own count.
#[test]
fn a_request_waits_for_a_grant_unless_usage_is_counted_locally() {
    let plan = plan(0);
    let context = arrival(&plan, Duration::ZERO);
    let await_grant =
        ArrivalDecision::AwaitGrant { scope: GrantScope::Quota, timing: GrantTiming::WithOthers };
    assert_eq!(context.decide(), await_grant);
    let owner = GrantStatus { is_quota_owner: true, ..context.grant };
    assert_eq!(ArrivalContext { grant: owner, ..context }.decide(), ArrivalDecision::DecideNow);
}

/// A client would give up before the answer of a quota owner arrives, so its request is decided
/// immediately, by local usage.
#[test]
fn a_request_without_time_does_not_wait_for_a_grant() {
    let plan = plan(0);
    let context = ArrivalContext {
        deadline: NOW + MIN_TIME_LEFT - Duration::MICROSECOND,
        ..arrival(&plan, Duration::MAX)
    };
    assert_eq!(context.decide(), ArrivalDecision::DecideNow);
}

/// A customer over its rate quota retries repeatedly. A quota owner's answer without tokens is reused for
/// 500 ms, so that the retries don't all request a grant. It is not reused for a concurrency quota, since
/// attempts in flight end at any time.
#[test]
fn retries_over_the_rate_quota_request_no_new_grant() {
    let (rate, concurrency) = (plan(0), plan(2));
    let decide = |plan: &Plan, limit, answer_age| {
        ArrivalContext { shortages: shortages_of(limit), ..arrival(plan, answer_age) }.decide()
    };
    let (recent, old) = (Duration::from_millis(499), Duration::from_millis(500));
    assert_eq!(decide(&rate, QuotaLimit::Rate, recent), ArrivalDecision::DecideNow);
    assert_ne!(decide(&rate, QuotaLimit::Rate, old), ArrivalDecision::DecideNow);
    assert_ne!(decide(&concurrency, QuotaLimit::Concurrency, recent), ArrivalDecision::DecideNow);
}

/// A gateway's share of a hard limit is used up while the customer is within its quota. Other gateways may
/// have units left, so they are requested immediately; without other gateways the request is decided
/// locally.
#[test]
fn hard_limit_units_are_requested_from_other_gateways() {
    let plan = plan(0);
    let owner = GrantStatus { is_quota_owner: true, ..arrival(&plan, Duration::ZERO).grant };
    let context = ArrivalContext {
        shortages: shortages_of(QuotaLimit::HardLimit),
        grant: owner,
        ..arrival(&plan, Duration::ZERO)
    };
    let await_grant =
        ArrivalDecision::AwaitGrant { scope: GrantScope::QuotaAndHardLimit, timing: GrantTiming::AtOnce };
    assert_eq!(context.decide(), await_grant);
    let alone = GrantStatus { has_other_granter: false, ..owner };
    assert_eq!(ArrivalContext { grant: alone, ..context }.decide(), ArrivalDecision::DecideNow);
}

/// A request that claims a plan with a hard limit could exceed the limit if its customer's record has
/// another plan. A plan without a hard limit may be claimed by mistake.
#[test]
fn a_hard_limit_cannot_be_bypassed_by_claiming_another_plan() {
    let without = Plan { hard_limit_rate: 0.0, ..plan(0) };
    let plans = [plan(0), without];
    assert!(has_plan_mismatch(&plans, 0, 1));
    assert!(!has_plan_mismatch(&plans, 0, 0));
    assert!(!has_plan_mismatch(&plans, 1, 0));
}

/// Without tokens a request waits while another owner may still answer. It is then rejected, with the time
/// until tokens are available as advice.
#[test]
fn a_request_over_its_quota_is_rejected_once_all_owners_have_answered() {
    let shortage = shortages_of(QuotaLimit::Rate).quota;
    let outstanding = AdmissionContext { shortage, answers: GrantAnswers::Outstanding, ..admission() };
    assert_eq!(outstanding.decide(), AdmissionDecision::KeepWaiting);
    let complete = AdmissionContext { answers: GrantAnswers::Complete, ..outstanding };
    let reason = RejectReason::OverQuota;
    let advice = RetryAdvice::After(Duration::from_millis(500));
    assert_eq!(complete.decide(), AdmissionDecision::Reject { reason, advice });
    let presumed =
        AdmissionContext { shortage: shortages_of(QuotaLimit::OwnersOverloaded).quota, ..complete };
    let unknown = AdmissionDecision::Reject { reason: RejectReason::QuotaUnknown, advice };
    assert_eq!(presumed.decide(), unknown);
    let timed_out = AdmissionContext { answers: GrantAnswers::TimedOut, ..outstanding };
    assert_eq!(timed_out.decide(), complete.decide());
}

/// The concurrency limit is reached and requests queue. The queue holds 30% of the limit: an empty queue
/// accepts all customers, a half-full one half of them, and a full one none.
#[test]
fn fewer_customers_may_join_a_longer_queue() {
    let admitted_count = |in_flight, queue_length| {
        let customers = (0..1000).map(CustomerId);
        let context = |customer| AdmissionContext {
            customer,
            in_flight,
            queue_length,
            concurrency_limit: 100.0,
            ..admission()
        };
        customers.filter(|customer| context(*customer).decide() == AdmissionDecision::Admit).count()
    };
    assert_eq!(admitted_count(99, 30), 1000, "the concurrency limit is not reached");
    assert_eq!(admitted_count(100, 0), 1000);
    assert!((450..550).contains(&admitted_count(100, 15)));
    assert_eq!(admitted_count(100, 30), 0);
    let full = AdmissionContext { in_flight: 100, queue_length: 30, concurrency_limit: 100.0, ..admission() };
    let (reason, advice) = (RejectReason::Saturated, RetryAdvice::Longest);
    assert_eq!(full.decide(), AdmissionDecision::Reject { reason, advice });
}

/// No backend accepts a queued request. The request leaves the queue after 30% of its latency budget, while
/// it can still be retried elsewhere, or as soon as its client's deadline is too close.
#[test]
fn a_request_is_queued_for_a_share_of_its_latency_budget() {
    let context = |queued_for, left| QueueContext {
        now: NOW,
        arrived_at: NOW - queued_for,
        deadline: NOW + left,
        latency_budget: Duration::from_secs(1),
        min_time_left: MIN_TIME_LEFT,
    };
    let enough = Duration::from_secs(1);
    assert!(!context(Duration::from_millis(300), enough).is_overdue());
    assert!(context(Duration::from_millis(301), enough).is_overdue());
    assert!(context(Duration::ZERO, MIN_TIME_LEFT - Duration::MICROSECOND).is_overdue());
}
