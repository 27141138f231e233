//! Health of one backend: failures and silence, ejection and return to service.
//!
//! Health is tracked per class of requests: a backend may fail for one class and serve the others.

use super::failure_rate::FailureRate;
use super::relative_latency::RelativeLatency;
use super::HealthSignal;
use crate::policy::EjectionReason;
use crate::{Duration, Instant};

/// Failure rate above which a failure ejects a backend, and up to which a success returns it to service.
const EJECTION_FAILURE_RATE: f64 = 0.25;
/// Duration of the first ejection; each consecutive one lasts twice as long.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Maximum number of times that the ejection time is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Weight of an attempt of this gateway in the failure rate.
const OWN_WEIGHT: f64 = 0.15;
/// Weight of an attempt that a peer reported in the failure rate. In a large fleet a gateway rarely uses a
/// given backend and receives few reports about it, so these few must be able to make it suspect.
const PEER_WEIGHT: f64 = 0.2;

/// Ejection of a backend. It raises the backend's cost for a time, so that the backend is chosen only if
/// the others cost even more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ejection {
    pub reason: EjectionReason,
    /// Failure rate including the failure that caused the ejection, from 0 to 1.
    pub failure_rate: f64,
    /// Time from which the backend may be tried again, while this gateway has no attempt in flight there.
    pub until: Instant,
}

/// Change of a backend's health for one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthChange {
    /// The backend was ejected, for the first time or again.
    Ejected(Ejection),
    /// The backend was ejected before and returned to service.
    Returned {
        /// From 0 to 1.
        failure_rate: f64,
    },
}

/// Result of checking whether a backend with an attempt in flight is silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SilenceCheck {
    /// A health signal of the class, an answer or a failed connection, was recorded since the attempt was
    /// sent.
    Answering,
    /// No health signal of the class was recorded since the attempt was sent.
    Silent {
        /// The ejection caused by the silence; `None` while an earlier one lasts.
        ejection: Option<Ejection>,
    },
}

impl SilenceCheck {
    /// Returns whether no health signal of the class was recorded since the attempt was sent.
    pub(crate) fn is_silent(&self) -> bool {
        matches!(self, SilenceCheck::Silent { .. })
    }
}

/// Health of a backend for one class of requests.
#[derive(Clone, Default)]
struct ClassHealth {
    /// Share of recent attempts that failed.
    failure_rate: FailureRate,
    /// Time of the latest health signal of the class: an answer or a failed connection.
    last_signal_at: Instant,
    /// Time until which the backend's cost is raised even if this gateway has no attempt in flight there.
    ejected_until: Instant,
    /// Ejections since the backend was last in service; 0 while it is.
    ///
    /// Every failure after the first ejection adds one, including failures of attempts that were sent
    /// before it: four ejections at the same time last for [`BASE_EJECTION_TIME`] doubled three times.
    consecutive_ejections: u32,
}

impl ClassHealth {
    /// Records an attempt of this gateway. Ejects the backend or returns it to service if the failure rate
    /// requires it.
    fn record_own_attempt(&mut self, now: Instant, failed: bool) -> Option<HealthChange> {
        self.failure_rate.record(now, failed, OWN_WEIGHT);
        let failure_rate = self.failure_rate.at(now);
        let is_outlier = failure_rate > EJECTION_FAILURE_RATE;
        let was_ejected = self.consecutive_ejections > 0;
        if failed && (is_outlier || was_ejected) {
            return Some(HealthChange::Ejected(self.eject(now, EjectionReason::Failures)));
        }
        if failed || is_outlier || !was_ejected {
            return None;
        }
        self.consecutive_ejections = 0;
        Some(HealthChange::Returned { failure_rate })
    }

    /// Ejects the backend if no health signal of the class was recorded since `sent_at`.
    fn eject_if_silent(&mut self, sent_at: Instant, now: Instant) -> SilenceCheck {
        if self.last_signal_at >= sent_at {
            return SilenceCheck::Answering;
        }
        if now < self.ejected_until {
            return SilenceCheck::Silent { ejection: None };
        }
        self.failure_rate.record(now, true, OWN_WEIGHT);
        SilenceCheck::Silent { ejection: Some(self.eject(now, EjectionReason::Silence)) }
    }

    /// Ejects the backend for a time that doubles with each consecutive ejection.
    fn eject(&mut self, now: Instant, reason: EjectionReason) -> Ejection {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + BASE_EJECTION_TIME * (1 << doublings);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
        Ejection { reason, failure_rate: self.failure_rate.at(now), until: self.ejected_until }
    }
}

/// Health of a backend, as observed by this gateway and its peers.
#[derive(Default)]
pub(crate) struct BackendHealth {
    classes: Vec<ClassHealth>,
    /// Latency of the backend's answers relative to the usual latency of all backends.
    pub(super) relative_latency: RelativeLatency,
}

impl BackendHealth {
    /// Creates the health of a backend without recorded attempts.
    pub(crate) fn new(class_count: usize) -> BackendHealth {
        BackendHealth {
            classes: vec![ClassHealth::default(); class_count],
            relative_latency: RelativeLatency::default(),
        }
    }

    /// Returns the latency of the backend's answers relative to the usual latency of all backends; 1 is
    /// normal, and it is never 0.
    pub(crate) fn relative_latency(&self) -> f64 {
        self.relative_latency.get()
    }

    /// Returns whether the backend's cost is raised for a class. After the ejection time it may be tried
    /// while `in_flight`, the number of this gateway's attempts of all classes there, is 0. A backend that
    /// is busy with other classes therefore stays ejected for this one until none is in flight.
    pub(crate) fn is_ejected(&self, class: usize, in_flight: u32, now: Instant) -> bool {
        let health = &self.classes[class];
        health.consecutive_ejections > 0 && (now < health.ejected_until || in_flight > 0)
    }

    /// Checks an attempt of a class that has not ended, and ejects its backend if no health signal of the
    /// class was recorded since `sent_at`.
    pub(crate) fn eject_if_silent(&mut self, class: usize, sent_at: Instant, now: Instant) -> SilenceCheck {
        self.classes[class].eject_if_silent(sent_at, now)
    }

    /// Records an attempt that a peer reported. It counts for all classes, since reports on a class with
    /// few requests would arrive too late to be useful, and never ejects the backend.
    pub(crate) fn record_peer_attempt(&mut self, now: Instant, failed: bool) {
        self.classes.iter_mut().for_each(|health| health.failure_rate.record(now, failed, PEER_WEIGHT));
    }

    /// Returns the share of recent attempts of a class that failed, from 0 to 1.
    pub(super) fn failure_rate(&self, class: usize, now: Instant) -> f64 {
        self.classes[class].failure_rate.at(now)
    }

    /// Records the end of an attempt of this gateway. A rejection counts as an answer but not in the
    /// failure rate.
    pub(super) fn record_outcome(
        &mut self,
        class: usize,
        signal: HealthSignal,
        now: Instant,
    ) -> Option<HealthChange> {
        let health = &mut self.classes[class];
        health.last_signal_at = now;
        signal.is_failure().and_then(|failed| health.record_own_attempt(now, failed))
    }
}
