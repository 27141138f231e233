//! Tests of [`super`].

use super::*;
use crate::policy::quota::shortages::QuotaLimit;

/// The time of the requests under test.
const NOW: Instant = Instant::from_micros(100_000_000);
/// The least time that the requests under test may wait.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(40);

/// A plan with a quota on the rate, or on attempts in flight if there is one.
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

/// A request that lacks tokens of its hard limit, or of its quota.
fn lacks(limit: QuotaLimit) -> Shortages {
    let shortage = Some(Shortage { limit, seconds: 0.5 });
    match limit {
        QuotaLimit::HardLimit => Shortages { hard_limit: shortage, ..Shortages::default() },
        QuotaLimit::Rate | QuotaLimit::Concurrency | QuotaLimit::OwnersOverloaded => {
            Shortages { quota: shortage, ..Shortages::default() }
        }
    }
}

/// A request with tokens, at a gateway that owns no quota and whose last grant has this age.
fn arrival(plan: &Plan, answer_age: Duration) -> ArrivalContext<'_> {
    ArrivalContext {
        now: NOW,
        deadline: NOW + Duration::from_secs(1),
        min_queue_time: MIN_QUEUE_TIME,
        plan,
        shortages: Shortages::default(),
        grant: GrantStatus { is_quota_owner: false, answer_age: Some(answer_age), has_other_granter: true },
        ownership: QuotaOwnership::Designated,
    }
}

/// A request with tokens, at a gateway with nothing to do.
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

/// The host passes on what clients send. A request for a class, a plan or a number of units that there is not
/// is rejected, and so is one with so little time left that it could not be answered before its client gives
/// up.
#[test]
fn what_cannot_be_handled_is_rejected_at_once() {
    let valid = Request { units: 1.0, deadline: NOW + MIN_QUEUE_TIME, ..Request::default() };
    let screen = |request: Request| {
        let context = ScreeningContext {
            now: NOW,
            request: &request,
            class_count: 1,
            plan_count: 1,
            min_queue_time: MIN_QUEUE_TIME,
        };
        context.screen()
    };
    assert_eq!(screen(valid), Ok(()));
    assert_eq!(screen(Request { class: 1, ..valid }), Err(RejectReason::Invalid));
    assert_eq!(screen(Request { plan: 1, ..valid }), Err(RejectReason::Invalid));
    assert_eq!(screen(Request { units: -1.0, ..valid }), Err(RejectReason::Invalid));
    assert_eq!(screen(Request { units: f64::NAN, ..valid }), Err(RejectReason::Invalid));
    let late = Request { deadline: NOW + MIN_QUEUE_TIME - Duration::MICROSECOND, ..valid };
    assert_eq!(screen(late), Err(RejectReason::NoTime));
}

/// A gateway of a large fleet does not count a customer's usage. It asks the owner before it admits, even
/// right after a grant, which was for another request. An owner decides by its own count.
#[test]
fn a_request_waits_for_a_grant_unless_its_quota_is_counted_here() {
    let plan = plan(0);
    let context = arrival(&plan, Duration::ZERO);
    let await_grant =
        ArrivalDecision::AwaitGrant { scope: GrantScope::Quota, timing: GrantTiming::WithOthers };
    assert_eq!(context.decide(), await_grant);
    let owner = GrantStatus { is_quota_owner: true, ..context.grant };
    assert_eq!(ArrivalContext { grant: owner, ..context }.decide(), ArrivalDecision::DecideNow);
}

/// A request arrives with too little time left to wait for the answer of a quota owner. It is decided at once by
/// what is known here, as its client would have given up before the answer comes.
#[test]
fn a_request_without_time_does_not_wait_for_a_grant() {
    let plan = plan(0);
    let context = ArrivalContext {
        deadline: NOW + MIN_QUEUE_TIME - Duration::MICROSECOND,
        ..arrival(&plan, Duration::MAX)
    };
    assert_eq!(context.decide(), ArrivalDecision::DecideNow);
}

/// A customer over its quota retries again and again. A grant by which there were no tokens stands for half a
/// second, so that the retries do not all ask for another one. Attempts in flight end at any time: there it
/// does not.
#[test]
fn retries_of_a_customer_over_its_rate_ask_for_no_new_grant() {
    let (rate, concurrency) = (plan(0), plan(2));
    let decide = |plan: &Plan, limit, answer_age| {
        ArrivalContext { shortages: lacks(limit), ..arrival(plan, answer_age) }.decide()
    };
    let (recent, old) = (Duration::from_millis(499), Duration::from_millis(500));
    assert_eq!(decide(&rate, QuotaLimit::Rate, recent), ArrivalDecision::DecideNow);
    assert_ne!(decide(&rate, QuotaLimit::Rate, old), ArrivalDecision::DecideNow);
    assert_ne!(decide(&concurrency, QuotaLimit::Concurrency, recent), ArrivalDecision::DecideNow);
}

/// A gateway's share of a hard limit is used up, while its customer is inside its quota. Other gateways may have
/// units left, which are requested at once, so that the customer gets what it pays for; where there are no other
/// gateways the request is decided here.
#[test]
fn units_of_a_hard_limit_are_requested_from_the_gateways_that_hold_them() {
    let plan = plan(0);
    let owner = GrantStatus { is_quota_owner: true, ..arrival(&plan, Duration::ZERO).grant };
    let context = ArrivalContext {
        shortages: lacks(QuotaLimit::HardLimit),
        grant: owner,
        ..arrival(&plan, Duration::ZERO)
    };
    let ask =
        ArrivalDecision::AwaitGrant { scope: GrantScope::QuotaAndHardLimit, timing: GrantTiming::AtOnce };
    assert_eq!(context.decide(), ask);
    let alone = GrantStatus { has_other_granter: false, ..owner };
    assert_eq!(ArrivalContext { grant: alone, ..context }.decide(), ArrivalDecision::DecideNow);
}

/// A request names a plan with a hard limit, but its customer's record follows another one, under which it
/// could pass the limit. That is not allowed; a plan without a hard limit may be named by mistake.
#[test]
fn a_hard_limit_is_not_evaded_by_naming_another_plan() {
    let without = Plan { hard_limit_rate: 0.0, ..plan(0) };
    let plans = [plan(0), without];
    assert!(has_plan_mismatch(&plans, 0, 1));
    assert!(!has_plan_mismatch(&plans, 0, 0));
    assert!(!has_plan_mismatch(&plans, 1, 0));
}

/// Without tokens a request waits as long as another owner may still answer; then it is rejected, and its
/// client is advised to come when there will be some.
#[test]
fn a_request_over_its_quota_is_rejected_once_all_owners_have_answered() {
    let shortage = lacks(QuotaLimit::Rate).quota;
    let outstanding = AdmissionContext { shortage, answers: GrantAnswers::Outstanding, ..admission() };
    assert_eq!(outstanding.decide(), AdmissionDecision::KeepWaiting);
    let complete = AdmissionContext { answers: GrantAnswers::Complete, ..outstanding };
    let reason = RejectReason::OverQuota;
    let advice = RetryAdvice::After(Duration::from_millis(500));
    assert_eq!(complete.decide(), AdmissionDecision::Reject { reason, advice });
    let presumed = AdmissionContext { shortage: lacks(QuotaLimit::OwnersOverloaded).quota, ..complete };
    let unknown = AdmissionDecision::Reject { reason: RejectReason::QuotaUnknown, advice };
    assert_eq!(presumed.decide(), unknown);
    let timed_out = AdmissionContext { answers: GrantAnswers::TimedOut, ..outstanding };
    assert_eq!(timed_out.decide(), complete.decide());
}

/// All attempts that the gateway may have in flight are, and requests queue. The queue holds three tenths of
/// the limit: while it is empty all customers may join it, half full half of them, and full none.
#[test]
fn the_fuller_the_queue_the_fewer_customers_join_it() {
    let joining = |in_flight, queue_length| {
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
    assert_eq!(joining(99, 30), 1000, "there is capacity");
    assert_eq!(joining(100, 0), 1000);
    assert!((450..550).contains(&joining(100, 15)));
    assert_eq!(joining(100, 30), 0);
    let full = AdmissionContext { in_flight: 100, queue_length: 30, concurrency_limit: 100.0, ..admission() };
    let (reason, advice) = (RejectReason::Saturated, RetryAdvice::Longest);
    assert_eq!(full.decide(), AdmissionDecision::Reject { reason, advice });
}

/// No backend takes a queued request. It is given up after three tenths of the time in which an answer is
/// worth something, while it can still be retried elsewhere, or as soon as its client's time runs out.
#[test]
fn a_request_is_queued_for_a_part_of_its_useful_time() {
    let context = |queued_for, left| QueueContext {
        now: NOW,
        arrived_at: NOW - queued_for,
        deadline: NOW + left,
        latency_budget: Duration::from_secs(1),
        min_queue_time: MIN_QUEUE_TIME,
    };
    let enough = Duration::from_secs(1);
    assert!(!context(Duration::from_millis(300), enough).is_overdue());
    assert!(context(Duration::from_millis(301), enough).is_overdue());
    assert!(context(Duration::ZERO, MIN_QUEUE_TIME - Duration::MICROSECOND).is_overdue());
}
