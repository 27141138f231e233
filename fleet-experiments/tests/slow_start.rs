//! Requests to backends in slow start, in each window of the overload rule.

use fleet_experiments::experiments::slow_start::{simulate, SlowStartScenario};

/// A fleet offered up to 2.5 times its capacity complies with the overload rule, even if latency does not
/// depend on load. If the budget grew with the offered load, or all ingresses drew at the same time, windows
/// would reach up to 1.7 times the limit, and a real backend would fail again right after its start.
#[test]
fn backends_in_slow_start_are_not_overloaded_by_an_overloaded_fleet() {
    let scenario = |ingresses, backends, capacity, overload_factor, load| SlowStartScenario {
        ingresses,
        backends,
        capacity,
        overload_factor,
        load,
        queueing: false,
        seed: 0,
    };
    let scenarios = [
        scenario(30, 12, 100.0, 4.0, 2.5),
        scenario(30, 12, 100.0, 1.2, 2.5),
        scenario(20, 100, 12.0, 2.0, 1.5),
        scenario(20, 12, 30.0, 1.2, 1.5),
        scenario(300, 12, 40.0, 2.0, 2.5),
        scenario(300, 12, 40.0, 1.2, 1.5),
    ];
    for (index, scenario) in scenarios.into_iter().enumerate() {
        let scenario = SlowStartScenario { seed: index as u64 + 1, ..scenario };
        let outcome = simulate(&scenario);
        assert!(outcome.peak_window <= 1.0, "{scenario:?}: {outcome:?}");
        assert!(outcome.budget_used > 0.1, "budgets are used: {scenario:?}: {outcome:?}");
    }
}

/// Backends in a fleet with spare capacity answer more slowly under more load, so ingresses send them less.
/// They must still receive requests, or they would never finish warming up, and only a minority of requests
/// may be rejected.
#[test]
fn backends_in_slow_start_receive_requests_if_latency_depends_on_load() {
    for (ingresses, seed) in [(30, 1), (30, 2), (300, 3)] {
        let scenario = SlowStartScenario {
            ingresses,
            backends: 12,
            capacity: 40.0,
            overload_factor: 4.0,
            load: 0.7,
            queueing: true,
            seed,
        };
        let outcome = simulate(&scenario);
        assert!(outcome.peak_window <= 1.0 && outcome.budget_used > 0.03, "{scenario:?}: {outcome:?}");
        assert!(outcome.rejected * 2 < outcome.served, "{scenario:?}: {outcome:?}");
    }
}
