//! Rules about the requests that draining backends and backends in slow start may receive.

use super::{ingress_of, Oracle, Rule};
use crate::record::{to_millis, ArrivalRecord, EndpointChange, EndpointStatus, Micros};
use crate::settings::{DRAIN_GRACE, OVERLOAD_FACTOR, OVERLOAD_WINDOW, SLOW_START_DURATION, SLOW_START_FLOOR};

/// Time after a backend's start in which its load is checked.
const SLOW_START_CHECK_DURATION: Micros = 3_000_000;
/// Assumed capacity of a backend, as a multiple of its even share of all requests.
const CAPACITY_FACTOR: f64 = 1.25;
/// Number of expected requests below which the bound allows three standard deviations instead of two, as the
/// overload rule of the standing test does.
const SMALL_EXPECTATION: f64 = 30.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The load of a backend in a window of time.
struct WindowLoad {
    /// Number of requests that arrived in the window.
    count: f64,
    /// Maximum number of requests allowed.
    bound: f64,
}

impl WindowLoad {
    /// Returns the load relative to its bound.
    fn ratio(&self) -> f64 {
        self.count / self.bound
    }
}

/// Returns the maximum number of requests in a window for the expected number, by the overload rule of the
/// standing test.
fn upper_bound(expected: f64) -> f64 {
    if expected < SMALL_EXPECTATION {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

/// Returns the maximum number of requests in an overload window that ends `age` after the backend's start.
fn slow_start_bound(age: Micros, capacity: f64) -> f64 {
    let progress = (age as f64 / SLOW_START_DURATION as f64).min(1.0);
    let share = SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * progress;
    let window = OVERLOAD_WINDOW as f64 / MICROS_PER_SECOND;
    upper_bound(OVERLOAD_FACTOR * share * capacity * window)
}

/// Returns the window with the highest ratio of load to bound after a start, if any exceeds its bound.
fn most_overloaded_window(started_at: Micros, times: &[Micros], capacity: f64) -> Option<WindowLoad> {
    let loads = times.iter().enumerate().map(|(index, end)| {
        let begin = end.saturating_sub(OVERLOAD_WINDOW);
        let count = times[..=index].iter().filter(|at| **at > begin).count() as f64;
        WindowLoad { count, bound: slow_start_bound(end - started_at, capacity) }
    });
    let exceeding = loads.filter(|load| load.count > load.bound);
    exceeding.max_by(|first, second| first.ratio().total_cmp(&second.ratio()))
}

impl Oracle<'_> {
    /// Returns when an ingress was first notified of this version of the endpoint list or a later one.
    fn notified_at(&self, ingress: usize, version: u64) -> Option<Micros> {
        let notifications = self.observations.notifications.iter();
        let of_version = notifications
            .filter(|notification| notification.ingress == ingress && notification.version >= version);
        of_version.map(|notification| notification.at).min()
    }

    /// Returns when the ingress that sent an attempt was notified of a change.
    fn sender_notified_at(&self, arrival: &ArrivalRecord, change: &EndpointChange) -> Option<Micros> {
        self.notified_at(ingress_of(&arrival.id)?, change.version)
    }

    /// Returns the time of the next change of the same backend, if any.
    fn next_change_at(&self, change: &EndpointChange) -> Option<Micros> {
        let changes = self.observations.changes.iter();
        let later = changes.filter(|later| later.backend == change.backend && later.at > change.at);
        later.map(|later| later.at).min()
    }

    /// Checks that draining backends receive no new requests after the grace period.
    pub(super) fn check_draining(&mut self) {
        let observations = self.observations;
        for change in observations.changes.iter().filter(|change| change.status == EndpointStatus::Draining) {
            let until = self.next_change_at(change).unwrap_or(Micros::MAX);
            for arrival in observations.arrivals.iter().filter(|arrival| arrival.backend == change.backend) {
                self.check_arrival_at_draining(change, until, arrival);
            }
        }
    }

    /// Checks an attempt at a backend that drains from `change` to `until`.
    fn check_arrival_at_draining(&mut self, change: &EndpointChange, until: Micros, arrival: &ArrivalRecord) {
        let Some(notified_at) = self.sender_notified_at(arrival, change) else { return };
        let limit = notified_at + DRAIN_GRACE + self.slack();
        if arrival.at > limit && arrival.at < until {
            let detail = format!("{} ms after its ingress was notified", to_millis(arrival.at - notified_at));
            self.report(Rule::SentToDraining, &arrival.id, detail);
        }
    }

    /// Checks that backends in slow start receive no more requests than their current capacity allows.
    pub(super) fn check_slow_start(&mut self) {
        let observations = self.observations;
        let shape = self.plan.shape;
        let even_share =
            observations.arrivals.len() as f64 / shape.backends as f64 / shape.seconds.max(1) as f64;
        let capacity = even_share * CAPACITY_FACTOR;
        for start in observations.changes.iter().filter(|change| change.restarted) {
            let times = self.arrivals_in_slow_start(start);
            if let Some(WindowLoad { count, bound }) = most_overloaded_window(start.at, &times, capacity) {
                let detail = format!("backend {}: {count} in a window of {bound:.1}", start.backend);
                self.report_general(Rule::SlowStartExceeded, detail);
            }
        }
    }

    /// Returns the arrival times of requests at a started backend, from ingresses that had been notified of
    /// the start.
    fn arrivals_in_slow_start(&self, start: &EndpointChange) -> Vec<Micros> {
        let checked = start.at..start.at + SLOW_START_CHECK_DURATION;
        let is_notified = |arrival: &ArrivalRecord| {
            self.sender_notified_at(arrival, start).is_some_and(|notified_at| notified_at <= arrival.at)
        };
        let arrivals = self.observations.arrivals.iter().filter(|arrival| arrival.backend == start.backend);
        let in_time = arrivals.filter(|arrival| checked.contains(&arrival.at));
        in_time.filter(|arrival| is_notified(arrival)).map(|arrival| arrival.at).collect()
    }
}
