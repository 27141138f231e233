//! The health of one backend: failures and silence, ejection and return to service.
//!
//! Each class of requests is judged by itself: a backend may fail for one and serve the others.

use super::failure_rate::FailureRate;
use super::relative_latency::RelativeLatency;
use super::HealthSignal;
use crate::policy::EjectionReason;
use crate::{Duration, Instant};

/// Failure rate above which a failure ejects a backend, and up to which a success returns it to service.
const EJECTION_FAILURE_RATE: f64 = 0.25;
/// How long the first of several ejections in a row lasts; each further one lasts twice as long.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// How many times the ejection time is doubled at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Weight of an attempt of this gateway in the failure rate.
const OWN_WEIGHT: f64 = 0.15;
/// Weight of an attempt that a peer reported in the failure rate. In a large fleet a gateway seldom meets a
/// given backend, and few reports on it come in: they have to be able to make it suspect.
const PEER_WEIGHT: f64 = 0.2;

/// An ejection: the backend costs more in a choice for a while, and is chosen only where the others cost more
/// still.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ejection {
    /// Why.
    pub reason: EjectionReason,
    /// The failure rate with what led to the ejection, from 0 to 1.
    pub failure_rate: f64,
    /// When the backend may be tried again, while none of this gateway's attempts is in flight there.
    pub until: Instant,
}

/// A change of a backend's health, for one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthChange {
    /// It was ejected, for the first time or again.
    Ejected(Ejection),
    /// It had been ejected and is back in service, at this failure rate.
    Returned {
        /// From 0 to 1.
        failure_rate: f64,
    },
}

/// Whether a backend with an attempt in flight is silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SilenceCheck {
    /// It has answered an attempt of the class since this one was sent.
    Answering,
    /// It has answered none.
    Silent {
        /// Its ejection for that; none where an earlier one still lasts.
        ejection: Option<Ejection>,
    },
}

impl SilenceCheck {
    /// Whether the backend has answered no attempt of the class since this one was sent.
    pub(crate) fn is_silent(&self) -> bool {
        matches!(self, SilenceCheck::Silent { .. })
    }
}

/// How a backend does with one class of requests.
#[derive(Clone, Default)]
struct ClassHealth {
    /// The share of recent attempts that failed.
    failure_rate: FailureRate,
    /// When an attempt of the class last gave a health signal: by an answer, or by a connection that failed.
    last_signal_at: Instant,
    /// Until then it costs more, whatever is in flight there.
    ejected_until: Instant,
    /// Ejections since it was last in service; 0 while it is.
    ///
    /// Each failure of an attempt of the class counts, also of one that was sent before the first ejection:
    /// four that fail at once eject the backend for [`BASE_EJECTION_TIME`] doubled three times.
    consecutive_ejections: u32,
}

impl ClassHealth {
    /// Counts an attempt of this gateway, and ejects the backend or returns it to service where that follows.
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

    /// Whether an attempt sent at a time is silent, which ejects the backend.
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

    /// Ejects the backend for a time that doubles with each ejection in a row.
    fn eject(&mut self, now: Instant, reason: EjectionReason) -> Ejection {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + BASE_EJECTION_TIME * (1 << doublings);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
        Ejection { reason, failure_rate: self.failure_rate.at(now), until: self.ejected_until }
    }
}

/// How a backend does, as this gateway and its peers saw it.
#[derive(Default)]
pub(crate) struct BackendHealth {
    /// By class.
    classes: Vec<ClassHealth>,
    /// How long its answers take, over what they usually take anywhere.
    pub(super) relative_latency: RelativeLatency,
}

impl BackendHealth {
    /// The health of a backend of which nothing is known yet.
    pub(crate) fn new(class_count: usize) -> BackendHealth {
        BackendHealth {
            classes: vec![ClassHealth::default(); class_count],
            relative_latency: RelativeLatency::default(),
        }
    }

    /// How long its answers take, over what they usually take anywhere; 1 is normal, and it is never 0.
    pub(crate) fn relative_latency(&self) -> f64 {
        self.relative_latency.get()
    }

    /// Whether it costs more in a choice for a class. Once the ejection time is over it may be tried while
    /// `in_flight`, this gateway's attempts of all classes there, is 0: a backend that is busy with other
    /// classes stays ejected for this one until it has none.
    pub(crate) fn is_ejected(&self, class: usize, in_flight: u32, now: Instant) -> bool {
        let health = &self.classes[class];
        health.consecutive_ejections > 0 && (now < health.ejected_until || in_flight > 0)
    }

    /// Whether an attempt of a class that was sent at a time and has not ended is silent, which ejects the
    /// backend.
    pub(crate) fn eject_if_silent(&mut self, class: usize, sent_at: Instant, now: Instant) -> SilenceCheck {
        self.classes[class].eject_if_silent(sent_at, now)
    }

    /// Counts an attempt that a peer reported. It counts for all classes, since reports on a class with few
    /// requests would come too late for it, and it ejects nothing.
    pub(crate) fn record_peer_attempt(&mut self, now: Instant, failed: bool) {
        self.classes.iter_mut().for_each(|health| health.failure_rate.record(now, failed, PEER_WEIGHT));
    }

    /// The share of recent attempts of a class that failed, from 0 to 1.
    pub(super) fn failure_rate(&self, class: usize, now: Instant) -> f64 {
        self.classes[class].failure_rate.at(now)
    }

    /// Records the end of an attempt of this gateway; a rejection counts as an answer, but not in the
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
