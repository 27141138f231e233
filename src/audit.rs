//! Run-time checks of the invariants in `docs/INVARIANTS.md`.
//!
//! The host reports its attempts and answers to an [`Auditor`] and to the [`RequestAudit`] of each request;
//! neither influences decisions. Violations are counted by kind, and the host logs at most one of a kind per
//! second. The cost of an event does not depend on the number of backends, peers or customers.

mod request;
mod violation;

pub use request::{AttemptBegun, RequestAudit};
pub use violation::{Violation, ViolationKind};

use crate::{Availability, BackendId, Duration, Endpoint, Idempotency, IdempotencyScope, Instant, Settings};
use std::collections::{HashMap, VecDeque};

/// Minimum time between two logged violations of a kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the record of a backend that accepts no new requests is kept. It exceeds the time that an
/// attempt waits for its connection, so that an attempt which begins late is still checked.
const CLOSED_BACKEND_RETENTION: Duration = Duration::from_secs(60);

/// The settings on which the invariants depend.
#[derive(Clone, Debug, Default)]
pub struct AuditRules {
    /// Idempotency of each request class.
    pub idempotency: Vec<Idempotency>,
    /// Whether two attempts of a request may be in flight at the same time.
    pub hedging: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: usize,
    /// Time for which attempts may still begin at a backend after it has been listed as draining or gone.
    pub drain_grace: Duration,
}

impl AuditRules {
    /// Creates the rules for a gateway with these settings.
    pub fn new(settings: &Settings) -> AuditRules {
        AuditRules {
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            hedging: settings.limits.hedging,
            max_attempts: settings.limits.max_attempts as usize,
            drain_grace: settings.rules.drain_grace,
        }
    }
}

/// The zone and cell of a backend, which determine the backends that share its idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Location {
    zone: u8,
    cell: u16,
}

impl Location {
    /// Returns whether backends at both locations share idempotency keys. `RetryScope::includes` implements
    /// the same rule for the retry policy; the audit has its own copy to detect a fault in that one.
    fn shares_keys(self, other: Location, scope: IdempotencyScope) -> bool {
        match scope {
            IdempotencyScope::Fleet => true,
            IdempotencyScope::Zone => self.zone == other.zone,
            IdempotencyScope::Cell => self.cell == other.cell,
        }
    }
}

/// A backend that accepts no new requests (draining or gone), with the time of that change.
struct ClosedBackend {
    backend: BackendId,
    since: Instant,
}

/// Counts violations, and holds the state shared by the checks of all requests.
#[derive(Default)]
pub struct Auditor {
    rules: AuditRules,
    /// Number of violations, indexed by the discriminant of the kind.
    counts: [u64; ViolationKind::ALL.len()],
    /// Time of the last logged violation, indexed by the discriminant of the kind.
    last_logged_at: [Option<Instant>; ViolationKind::ALL.len()],
    /// Locations of the listed backends.
    locations: HashMap<BackendId, Location>,
    /// Closed backends, which accept no new requests, with the time of that change.
    closed_since: HashMap<BackendId, Instant>,
    /// The same backends in order of that time, for their expiry.
    closing_order: VecDeque<ClosedBackend>,
}

impl Auditor {
    /// Creates an auditor without violations.
    pub fn new(rules: AuditRules) -> Auditor {
        Auditor { rules, ..Auditor::default() }
    }

    /// Returns the number of violations of each kind that has occurred.
    pub fn counts(&self) -> impl Iterator<Item = (ViolationKind, u64)> + '_ {
        let counts = ViolationKind::ALL.into_iter().zip(self.counts);
        counts.filter(|(_, count)| *count > 0)
    }

    /// Records the location and availability of a listed backend.
    pub fn endpoint_listed(&mut self, endpoint: &Endpoint, now: Instant) {
        let Endpoint { backend, zone, cell, availability, .. } = *endpoint;
        self.locations.insert(backend, Location { zone, cell });
        self.availability_changed(backend, availability, now);
    }

    /// Records the availability of a backend in the endpoint list; [`Availability::Gone`] if the list no
    /// longer contains it.
    pub fn availability_changed(&mut self, backend: BackendId, availability: Availability, now: Instant) {
        if availability == Availability::Ready {
            self.closed_since.remove(&backend);
            return;
        }
        let since = *self.closed_since.entry(backend).or_insert(now);
        if since == now {
            self.closing_order.push_back(ClosedBackend { backend, since });
        }
        self.expire_closed_backends(now);
    }

    /// Removes the records of backends that have been closed for [`CLOSED_BACKEND_RETENTION`].
    fn expire_closed_backends(&mut self, now: Instant) {
        while let Some(oldest) = self.closing_order.front() {
            if oldest.since + CLOSED_BACKEND_RETENTION > now {
                return;
            }
            if self.closed_since.get(&oldest.backend) == Some(&oldest.since) {
                self.closed_since.remove(&oldest.backend);
                self.locations.remove(&oldest.backend);
            }
            self.closing_order.pop_front();
        }
    }

    /// Returns whether a backend has been closed for longer than the grace period.
    fn is_closed(&self, backend: BackendId, now: Instant) -> bool {
        let since = self.closed_since.get(&backend);
        since.is_some_and(|since| now > *since + self.rules.drain_grace)
    }

    /// Counts a violation, and returns whether the host has to log it.
    pub fn count_and_should_log(&mut self, violation: Violation, now: Instant) -> bool {
        let index = violation.kind as usize;
        self.counts[index] += 1;
        let logged_recently = self.last_logged_at[index].is_some_and(|at| now < at + LOG_INTERVAL);
        if !logged_recently {
            self.last_logged_at[index] = Some(now);
        }
        !logged_recently
    }
}

#[cfg(test)]
mod tests;
