//! Checks, after the fact and while the program runs, that what was done kept the invariants of `docs/INVARIANTS.md`.
//!
//! The host tells an [`Auditor`] and the [`RequestAudit`] of each open request what it did; they decide nothing and
//! change nothing. A violation is counted by its kind, and logged by the host unless one of its kind was logged a moment
//! ago. The cost of an event does not depend on how many backends, peers or customers there are.

mod request;
mod violation;

pub use request::{AttemptBegun, RequestAudit};
pub use violation::{Violation, ViolationKind};

use crate::{Availability, BackendId, Duration, Endpoint, Idempotency, IdempotencyScope, Instant, Settings};
use std::collections::{HashMap, VecDeque};

/// How long after a violation another one of its kind is only counted.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How long it is remembered that a backend takes no new work. No attempt waits for its connection as long.
const CLOSED_BACKEND_RETENTION: Duration = Duration::from_secs(60);

/// What the invariants are judged by.
#[derive(Clone, Debug, Default)]
pub struct AuditRules {
    /// Whether requests of a class may be executed again, by class.
    pub idempotency: Vec<Idempotency>,
    /// Whether two attempts may be in flight together.
    pub hedging: bool,
    /// The most attempts of a request.
    pub max_attempts: usize,
    /// How long a backend that takes no new work may still be sent some.
    pub drain_grace: Duration,
}

impl AuditRules {
    /// The rules that settings give.
    pub fn new(settings: &Settings) -> AuditRules {
        AuditRules {
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            hedging: settings.limits.hedging,
            max_attempts: settings.limits.max_attempts as usize,
            drain_grace: settings.rules.drain_grace,
        }
    }
}

/// Where a backend is, by which others know the idempotency keys that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Location {
    /// Its zone.
    zone: u8,
    /// Its cell.
    cell: u16,
}

impl Location {
    /// Whether a key that was seen here is known there.
    fn shares_keys(self, other: Location, scope: IdempotencyScope) -> bool {
        match scope {
            IdempotencyScope::Fleet => true,
            IdempotencyScope::Zone => self.zone == other.zone,
            IdempotencyScope::Cell => self.cell == other.cell,
        }
    }
}

/// A backend that was found to take no new work.
struct ClosedBackend {
    /// The backend.
    backend: BackendId,
    /// Since when.
    since: Instant,
}

/// Counts violations, and knows what all requests share.
#[derive(Default)]
pub struct Auditor {
    /// What the invariants are judged by.
    rules: AuditRules,
    /// Violations by kind.
    counts: [u64; ViolationKind::ALL.len()],
    /// When one of each kind was last logged.
    last_logged_at: [Option<Instant>; ViolationKind::ALL.len()],
    /// Where the listed backends are.
    locations: HashMap<BackendId, Location>,
    /// Since when backends take no new work.
    closed_since: HashMap<BackendId, Instant>,
    /// The same in the order of their closing, to be forgotten by and by.
    closing_order: VecDeque<ClosedBackend>,
}

impl Auditor {
    /// Nothing was done yet.
    pub fn new(rules: AuditRules) -> Auditor {
        Auditor { rules, ..Auditor::default() }
    }

    /// What the invariants are judged by.
    pub fn rules(&self) -> &AuditRules {
        &self.rules
    }

    /// How many violations there were, by kind; those that never occurred are left out.
    pub fn counts(&self) -> impl Iterator<Item = (ViolationKind, u64)> + '_ {
        let counts = ViolationKind::ALL.into_iter().zip(self.counts);
        counts.filter(|(_, count)| *count > 0)
    }

    /// Takes in the entry of a backend that is listed from now on.
    pub fn endpoint_listed(&mut self, endpoint: &Endpoint, now: Instant) {
        let Endpoint { backend, zone, cell, availability, .. } = *endpoint;
        self.locations.insert(backend, Location { zone, cell });
        self.backend_listed(backend, availability, now);
    }

    /// Notes how a backend is listed from now on.
    pub fn backend_listed(&mut self, backend: BackendId, availability: Availability, now: Instant) {
        if availability == Availability::Ready {
            self.closed_since.remove(&backend);
            return;
        }
        let since = *self.closed_since.entry(backend).or_insert(now);
        if since == now {
            self.closing_order.push_back(ClosedBackend { backend, since });
        }
        self.forget_closed_backends(now);
    }

    /// Forgets backends that take no work for long enough.
    fn forget_closed_backends(&mut self, now: Instant) {
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

    /// Whether a backend takes no new work for longer than the grace period.
    fn is_closed(&self, backend: BackendId, now: Instant) -> bool {
        let since = self.closed_since.get(&backend);
        since.is_some_and(|since| now > *since + self.rules.drain_grace)
    }

    /// Counts a violation, and returns whether it is to be logged.
    pub fn count(&mut self, violation: Violation, now: Instant) -> bool {
        let index = violation.kind as usize;
        self.counts[index] += 1;
        let logged_lately = self.last_logged_at[index].is_some_and(|at| now < at + LOG_INTERVAL);
        if !logged_lately {
            self.last_logged_at[index] = Some(now);
        }
        !logged_lately
    }
}

#[cfg(test)]
mod tests;
