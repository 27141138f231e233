//! Admission of requests: calls the policy components for a request in order, and turns their decisions into
//! actions.

use crate::policy::admission::{
    has_plan_mismatch, has_time_to_wait, min_time_left, AdmissionContext, AdmissionDecision,
};
use crate::policy::admission::{ArrivalContext, ArrivalDecision, QueueContext, ValidationContext};
use crate::policy::quota::{grant_wait, ReportPurpose, ShortageContext, Shortages};
use crate::policy::quota::{
    DecisionPoint, GrantAnswers, GrantRequestStep, GrantScope, GrantStatus, GrantTiming,
};
use crate::policy::{CustomerActivity, RejectReason, RetryAdvice, SheddingContext};
use crate::state::{unit_draw, RequestState, MICROS_PER_SECOND};
use crate::{Action, Duration, Gateway, Instant, Request, RequestId};

/// Result of checking an entry of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueCheck {
    /// The request waits for an attempt and has time left.
    StillQueued,
    /// The request has an attempt in flight, was closed, or was removed.
    NotQueued,
    /// The request exceeded its queue time and was rejected or failed.
    Expired,
}

impl Gateway {
    /// Admits a new request, rejects it, or lets it wait for a grant from the quota owners of its customer.
    pub(crate) fn on_request(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains(request.id) {
            return; // A duplicate delivery: the first one is answered.
        }
        if let Err(reason) = self.validate_request(&request) {
            return self.push_rejection(request.id, reason, RetryAdvice::None, actions);
        }
        if !self.quota.ensure_record_capacity(self.now, request.customer) {
            let reason = RejectReason::TooManyCustomers;
            return self.push_rejection(request.id, reason, RetryAdvice::Longest, actions);
        }
        let claimed_plan = request.plan;
        let observed = self.quota.observe_request(self.now, &request);
        request.plan = observed.plan;
        if has_plan_mismatch(&self.settings.plans, claimed_plan, observed.plan) {
            tracing::debug!(
                target: "policy", request = request.id.0, claimed_plan, recorded_plan = observed.plan,
                "claimed plan differs from recorded plan"
            );
            return self.push_rejection(
                request.id,
                RejectReason::PlanMismatch,
                RetryAdvice::Longest,
                actions,
            );
        }
        if !self.passes_load_shedding(&request, observed.activity) {
            return self.push_rejection(request.id, RejectReason::Shed, RetryAdvice::Longest, actions);
        }
        self.begin_admission(request, observed.grant, actions);
    }

    /// Decides on a request that passed load shedding, rejects it, or lets it wait for a grant.
    fn begin_admission(&mut self, request: Request, grant: GrantStatus, actions: &mut Vec<Action>) {
        let state = RequestState { request, arrived_at: self.now, ..RequestState::default() };
        match self.decide_arrival(&request, grant) {
            ArrivalDecision::DecideNow => {
                self.requests.insert(state);
                self.decide_admission(request.id, GrantAnswers::Complete, actions);
            }
            ArrivalDecision::AwaitGrant { scope, timing } => {
                let draw = unit_draw(self.next_seed());
                if self.quota.skips_grant_request(self.now, request.customer, draw) {
                    tracing::debug!(
                        target: "policy", request = request.id.0,
                        "grant request skipped: too many for the customer's quota owner"
                    );
                    return self.push_rejection(
                        request.id,
                        RejectReason::GrantRequestSkipped,
                        RetryAdvice::Longest,
                        actions,
                    );
                }
                self.requests.insert(RequestState { awaiting_grant: true, ..state });
                self.await_grant(&request, scope, timing, actions);
            }
        }
    }

    /// Checks that a request is valid and has time left.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is rejected.
    fn validate_request(&self, request: &Request) -> Result<(), RejectReason> {
        let context = ValidationContext {
            now: self.now,
            request,
            class_count: self.settings.classes.len(),
            plan_count: self.settings.plans.len(),
            min_time_left: min_time_left(self.settings.tick),
        };
        context.validate()
    }

    /// Returns whether load shedding admits a request.
    fn passes_load_shedding(&self, request: &Request, activity: CustomerActivity) -> bool {
        self.load_shedder.admits(&SheddingContext {
            now: self.now,
            customer: request.customer,
            activity,
            plan: self.plan_of(request),
            plans: &self.settings.plans,
        })
    }

    /// Returns whether to decide on a new request now or to wait for a grant.
    fn decide_arrival(&mut self, request: &Request, grant: GrantStatus) -> ArrivalDecision {
        let shortages = self.find_shortages(request);
        let context = ArrivalContext {
            now: self.now,
            deadline: request.deadline,
            min_time_left: min_time_left(self.settings.tick),
            plan: self.plan_of(request),
            shortages,
            grant,
            ownership: self.quota.ownership(),
        };
        context.decide()
    }

    /// Refills the customer's token buckets, and returns the limits of its plan that do not allow the request
    /// now.
    fn find_shortages(&mut self, request: &Request) -> Shortages {
        let unloaded_micros = self.outlier_detector.unloaded_micros(request.class.into());
        let answer_seconds = unloaded_micros / MICROS_PER_SECOND;
        let context = ShortageContext { now: self.now, request, answer_seconds };
        let peers = &self.peers;
        self.quota.refill_and_find_shortages(&context, |peer| peers.last_received_at(peer))
    }

    /// Increments the seed counter and returns the seed of the next draw.
    pub(crate) fn next_seed(&mut self) -> u64 {
        self.seed_counter = self.seed_counter.wrapping_add(1);
        self.seed_counter
    }

    /// Lets a request wait for a grant, schedules the check that repeats the grant request or ends the wait,
    /// and requests the grant unless the answer to a recent grant request applies to it.
    fn await_grant(
        &mut self,
        request: &Request,
        scope: GrantScope,
        timing: GrantTiming,
        actions: &mut Vec<Action>,
    ) {
        tracing::debug!(
            target: "policy", request = request.id.0, ?scope, ?timing, "request waits for a quota grant"
        );
        let wait = self.grant_wait(request, self.now) / self.quota.ownership().grant_attempts();
        self.requests.schedule_check(self.now + wait, request.id);
        if self.quota.await_grant(self.now, request, scope, timing) == GrantRequestStep::RequestGrant {
            self.queue_usage_report(request.customer, ReportPurpose::GrantRequest, actions);
        }
    }

    /// Returns the maximum time that a request which arrived at `arrived_at` waits for a grant.
    fn grant_wait(&self, request: &Request, arrived_at: Instant) -> Duration {
        grant_wait(arrived_at, request.deadline, self.class_of(request).latency_objective)
    }

    /// Requests the grant again, or decides by the local usage counts if the wait has timed out.
    pub(crate) fn check_awaited_grant(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(id) else { return };
        let customer = state.request.customer;
        let wait_ends_at = state.arrived_at + self.grant_wait(&state.request, state.arrived_at);
        if self.now >= wait_ends_at {
            return self.decide_admission(id, GrantAnswers::TimedOut, actions);
        }
        self.requests.schedule_check(wait_ends_at, id);
        self.queue_usage_report(customer, ReportPurpose::GrantRequest, actions);
    }

    /// Decides on a request by tokens and capacity with [`AdmissionContext`]: admits it, rejects it, or lets
    /// it wait for the remaining answers of its quota owners.
    pub(crate) fn decide_admission(
        &mut self,
        id: RequestId,
        answers: GrantAnswers,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get(id) else { return };
        let request = state.request;
        let point = if state.awaiting_grant { DecisionPoint::GrantWait } else { DecisionPoint::Arrival };
        let shortages = self.find_shortages(&request);
        let context = AdmissionContext {
            now: self.now,
            customer: request.customer,
            shortage: shortages.longest(),
            answers,
            in_flight: self.requests.in_flight,
            queue_length: self.requests.queue.len(),
            concurrency_limit: self.concurrency_limiter.limit(self.load()),
        };
        let decision = context.decide();
        tracing::debug!(
            target: "policy", request = id.0, customer = request.customer.0, plan = request.plan, ?point,
            quota_shortage = ?shortages.quota, hard_limit_shortage = ?shortages.hard_limit, ?answers,
            units = request.units, tokens = self.quota.tokens(request.customer),
            customer_in_flight = self.quota.in_flight_of_customer(&request),
            gateway_in_flight = context.in_flight, queue_length = context.queue_length,
            concurrency_limit = context.concurrency_limit, ?decision, "admission decided"
        );
        match decision {
            AdmissionDecision::KeepWaiting => {}
            AdmissionDecision::Admit => self.enqueue(&request, point, actions),
            AdmissionDecision::Reject { reason, advice } => {
                self.reject_admission(&request, point, reason, advice, actions);
            }
        }
    }

    /// Rejects a request. If the quota owners have charged its units with a grant, reports to them that the
    /// units were not used.
    fn reject_admission(
        &mut self,
        request: &Request,
        point: DecisionPoint,
        reason: RejectReason,
        advice: RetryAdvice,
        actions: &mut Vec<Action>,
    ) {
        self.end_grant_wait(request, point);
        if reason == RejectReason::Saturated {
            self.load_shedder.record_saturation();
        }
        self.requests.remove(request.id);
        self.push_rejection(request.id, reason, advice, actions);
        if let Some(purpose) = self.quota.report_after_rejection(request.customer, point) {
            self.queue_usage_report(request.customer, purpose, actions);
        }
    }

    /// Charges an admitted request to its customer and queues it. It is sent now if a backend is available.
    fn enqueue(&mut self, request: &Request, point: DecisionPoint, actions: &mut Vec<Action>) {
        self.load_shedder.record_admission();
        self.quota.charge(request.customer, request.units);
        if let Some(state) = self.requests.get_mut(request.id) {
            state.awaiting_grant = false;
        }
        self.end_grant_wait(request, point);
        if let Some(purpose) = self.quota.report_after_admission(request.customer, point) {
            self.queue_usage_report(request.customer, purpose, actions);
        }
        self.requests.queue.push_back(request.id);
        self.send_queued_requests(actions);
        self.expire_if_overdue(request.id, actions);
    }

    /// Removes a request from those awaiting a grant, if it was decided at [`DecisionPoint::GrantWait`].
    fn end_grant_wait(&mut self, request: &Request, point: DecisionPoint) {
        if point == DecisionPoint::GrantWait {
            self.quota.stop_awaiting_grant(request.customer, request.id);
        }
    }

    /// Returns whether a request has enough time until its deadline to wait in the queue.
    pub(crate) fn can_be_queued(&self, state: &RequestState, now: Instant) -> bool {
        has_time_to_wait(now, state.request.deadline, min_time_left(self.settings.tick))
    }

    /// Rejects or fails the queued requests that exceeded their queue time.
    pub(crate) fn expire_queued_requests(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.requests.queue) {
            if self.expire_if_overdue(id, actions) == QueueCheck::StillQueued {
                self.requests.queue.push_back(id);
            }
        }
    }

    /// Rejects or fails a request if it exceeded its queue time.
    fn expire_if_overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) -> QueueCheck {
        let Some(state) = self.requests.get(id).filter(|state| state.awaits_attempt()) else {
            return QueueCheck::NotQueued;
        };
        let context = QueueContext {
            now: self.now,
            arrived_at: state.arrived_at,
            deadline: state.request.deadline,
            latency_budget: state.latency_budget(self.class_of(&state.request).latency_objective),
            min_time_left: min_time_left(self.settings.tick),
        };
        if !context.is_overdue() {
            return QueueCheck::StillQueued;
        }
        self.reject_or_fail(id, RejectReason::QueueTimeout, actions);
        QueueCheck::Expired
    }

    /// Sends queued requests, first in, first out, while the concurrency limit and the backends permit.
    pub(crate) fn send_queued_requests(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.requests.queue.front().copied() {
            let waits = self.requests.get(id).is_some_and(RequestState::awaits_attempt);
            let is_saturated = self.concurrency_limiter.is_reached(self.load());
            if waits && (is_saturated || !self.send_attempt(id, actions)) {
                return;
            }
            self.requests.queue.pop_front();
        }
    }
}
