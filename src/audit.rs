//! Checks the invariants of `docs/INVARIANTS.md` while the program runs.
//!
//! The host reports what it did to an [`Auditor`] and to the [`RequestAudit`] of each request; neither
//! decides anything. A violation is counted by its kind, and logged by the host unless one of its kind was
//! logged a moment ago. The cost of an event does not depend on the number of backends, peers or customers.

mod request;
mod violation;

pub use request::{AttemptBegun, RequestAudit};
pub use violation::{Violation, ViolationKind};

use crate::{Availability, BackendId, Duration, Endpoint, Idempotency, IdempotencyScope, Instant, Settings};
use std::collections::{HashMap, VecDeque};

/// How long after a logged violation others of its kind are only counted.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How long a backend that takes no new work is remembered: longer than any attempt waits for its connection.
const CLOSED_BACKEND_RETENTION: Duration = Duration::from_secs(60);

/// The settings that the invariants depend on.
#[derive(Clone, Debug, Default)]
pub struct AuditRules {
    /// Whether requests of a class may be executed again, by class.
    pub idempotency: Vec<Idempotency>,
    /// Whether two attempts may be in flight together.
    pub hedging: bool,
    /// The most attempts of a request.
    pub max_attempts: usize,
    /// How long after the change a backend that takes no new work may still be sent some.
    pub drain_grace: Duration,
}

impl AuditRules {
    /// The rules of a gateway with these settings.
    pub fn new(settings: &Settings) -> AuditRules {
        AuditRules {
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            hedging: settings.limits.hedging,
            max_attempts: settings.limits.max_attempts as usize,
            drain_grace: settings.rules.drain_grace,
        }
    }
}

/// The location of a backend, which decides which others know its idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Location {
    /// Its zone.
    zone: u8,
    /// Its cell.
    cell: u16,
}

impl Location {
    /// Whether backends at both locations know the same idempotency keys. The policy has the same rule in
    /// `RetryScope::includes`; the audit has its own, so that a fault there shows here.
    fn shares_keys(self, other: Location, scope: IdempotencyScope) -> bool {
        match scope {
            IdempotencyScope::Fleet => true,
            IdempotencyScope::Zone => self.zone == other.zone,
            IdempotencyScope::Cell => self.cell == other.cell,
        }
    }
}

/// A backend that takes no new work.
struct ClosedBackend {
    /// The backend.
    backend: BackendId,
    /// Since when.
    since: Instant,
}

/// Counts violations, and holds the state that the checks of all requests share.
#[derive(Default)]
pub struct Auditor {
    /// The settings that the invariants depend on.
    rules: AuditRules,
    /// Violations by kind.
    counts: [u64; ViolationKind::ALL.len()],
    /// When a violation of each kind was last logged.
    last_logged_at: [Option<Instant>; ViolationKind::ALL.len()],
    /// The locations of the listed backends.
    locations: HashMap<BackendId, Location>,
    /// Since when backends take no new work.
    closed_since: HashMap<BackendId, Instant>,
    /// The same backends, in the order in which they are removed.
    closing_order: VecDeque<ClosedBackend>,
}

impl Auditor {
    /// An auditor with no violations.
    pub fn new(rules: AuditRules) -> Auditor {
        Auditor { rules, ..Auditor::default() }
    }

    /// The violations so far by kind; kinds that never occurred are left out.
    pub fn counts(&self) -> impl Iterator<Item = (ViolationKind, u64)> + '_ {
        let counts = ViolationKind::ALL.into_iter().zip(self.counts);
        counts.filter(|(_, count)| *count > 0)
    }

    /// Records the entry of a listed backend.
    pub fn endpoint_listed(&mut self, endpoint: &Endpoint, now: Instant) {
        let Endpoint { backend, zone, cell, availability, .. } = *endpoint;
        self.locations.insert(backend, Location { zone, cell });
        self.availability_changed(backend, availability, now);
    }

    /// Records the availability of a backend by the endpoint list; gone if the list no longer has it.
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

    /// Removes the backends that have taken no new work for the time of retention.
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

    /// Whether a backend has taken no new work for longer than the grace period.
    fn is_closed(&self, backend: BackendId, now: Instant) -> bool {
        let since = self.closed_since.get(&backend);
        since.is_some_and(|since| now > *since + self.rules.drain_grace)
    }

    /// Counts a violation, and returns whether to log it.
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
