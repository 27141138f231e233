//! Cold ramps over a whole fleet: what is sent to backends that have just started, counted in the rule's window.

use fleet_experiments::experiments::slow_start::{play, Ramp};

/// Guards against a budget that grows with what is offered, and against draws that change within the rule's window for all
/// ingresses at once: at a multiple of 1.2 each start passed the bound, by up to 1.7 times. Answers that take no longer
/// however much is asked hide from all ingresses what a backend can do.
#[test]
fn cold_backends_are_not_pushed_over_by_a_fleet_that_is_asked_for_too_much() {
    let ramp = |ingresses, backends, capacity, factor, load| Ramp {
        ingresses,
        backends,
        capacity,
        factor,
        load,
        queues: false,
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
    for (n, ramp) in ramps.into_iter().enumerate() {
        let ramp = Ramp { seed: n as u64 + 1, ..ramp };
        let out = play(&ramp);
        assert!(out.worst <= 1.0, "{ramp:?}: {out:?}");
        assert!(out.used > 0.1, "they are used: {ramp:?}: {out:?}");
    }
}

/// Where answers slow down with what is asked, cold ones are spared, and still bear their part.
#[test]
fn cold_backends_bear_their_part_where_answers_tell_of_the_load() {
    for (ingresses, seed) in [(30, 1), (30, 2), (300, 3)] {
        let ramp =
            Ramp { ingresses, backends: 12, capacity: 40.0, factor: 4.0, load: 0.7, queues: true, seed };
        let out = play(&ramp);
        assert!(out.worst <= 1.0 && out.used > 0.03, "{ramp:?}: {out:?}");
        assert!(out.refused * 2 < out.answered, "{ramp:?}: {out:?}");
    }
}
