//! Slow start in a fleet: the requests to backends that have just started, in the window of the overload
//! rule.

use fleet_experiments::experiments::slow_start::{simulate, Ramp};

/// Guards against a budget that grows with what is offered, and against draws that change within the rule's
/// window for all ingresses at once: at a multiple of 1.2 each start passed the bound, by up to 1.7 times.
/// Answers whose times do not depend on the load hide from all ingresses what a backend can do.
#[test]
fn backends_in_slow_start_are_not_overloaded_by_an_overloaded_fleet() {
    let ramp = |ingresses, backends, capacity, overload_factor, load| Ramp {
        ingresses,
        backends,
        capacity,
        overload_factor,
        load,
        queueing: false,
        seed: 0,
    };
    let ramps = [
        ramp(30, 12, 100.0, 4.0, 2.5),
        ramp(30, 12, 100.0, 1.2, 2.5),
        ramp(20, 100, 12.0, 2.0, 1.5),
        ramp(20, 12, 30.0, 1.2, 1.5),
        ramp(300, 12, 40.0, 2.0, 2.5),
        ramp(300, 12, 40.0, 1.2, 1.5),
    ];
    for (index, ramp) in ramps.into_iter().enumerate() {
        let ramp = Ramp { seed: index as u64 + 1, ..ramp };
        let outcome = simulate(&ramp);
        assert!(outcome.peak_window <= 1.0, "{ramp:?}: {outcome:?}");
        assert!(outcome.budget_used > 0.1, "they are used: {ramp:?}: {outcome:?}");
    }
}

/// Where answers take longer under load, backends in slow start get less, and still serve their part.
#[test]
fn backends_in_slow_start_serve_their_part_where_answer_times_show_the_load() {
    for (ingresses, seed) in [(30, 1), (30, 2), (300, 3)] {
        let ramp = Ramp {
            ingresses,
            backends: 12,
            capacity: 40.0,
            overload_factor: 4.0,
            load: 0.7,
            queueing: true,
            seed,
        };
        let outcome = simulate(&ramp);
        assert!(outcome.peak_window <= 1.0 && outcome.budget_used > 0.03, "{ramp:?}: {outcome:?}");
        assert!(outcome.rejected * 2 < outcome.served, "{ramp:?}: {outcome:?}");
    }
}
