//! Slow start in a fleet: the requests to backends that have just started, in the window of the overload
//! rule.

use fleet_experiments::experiments::slow_start::{simulate, SlowStartScenario};

/// Backends start while a fleet gets up to 2.5 times the requests that it can serve, and their latency says nothing
/// about the load. Formerly, when the budget of a starting backend grew with what was offered, or all ingresses drew
/// anew at the same moment, starts passed the bound by up to 1.7 times, and a real backend would have broken down again
/// right after its start; now every window stays inside the bound.
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
        assert!(outcome.budget_used > 0.1, "they are used: {scenario:?}: {outcome:?}");
    }
}

/// Backends start in a fleet with spare capacity, and answer more slowly the more they get. Ingresses see that and
/// send them less, but they must still serve some part and only a minority of requests may be rejected; backends
/// that get nothing would never warm up.
#[test]
fn backends_in_slow_start_serve_their_part_where_answer_times_show_the_load() {
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
