//! Tests of [`super`].

use super::*;

/// A time long after the start, when the stage may move.
const START: Instant = Instant::from_micros(100_000_000);

/// A plan of this price, without quotas.
fn plan(price: f64) -> Plan {
    Plan {
        rate: 0.0,
        burst: 0.0,
        concurrency_quota: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        price,
        over_quota_cost: 0.0,
    }
}

/// A pressure close to this ratio, after a long series of such answers.
fn pressure_of(ratio: f64) -> Pressure {
    let mut pressure = Pressure::default();
    (1..=1000).for_each(|second| pressure.record(Instant::ZERO + Duration::from_secs(second), ratio));
    pressure
}

/// A shedder that has risen to a stage.
fn at_stage(stage: usize) -> LoadShedder {
    LoadShedder { stage, stage_changed_at: START, ..LoadShedder::default() }
}

/// How many of a thousand customers on a plan are admitted.
fn admitted(shedder: &LoadShedder, activity: CustomerActivity, plan: &Plan, plans: &[Plan]) -> usize {
    let customers = (0..1000).map(CustomerId);
    customers
        .filter(|customer| {
            shedder.admits(&SheddingContext { now: START, customer: *customer, activity, plan, plans })
        })
        .count()
}

/// Backends are overloaded. With each stage fewer customers on the ordinary plan are served, while those on
/// the dearest plan are served at each; at the last stage they alone are.
#[test]
fn each_stage_sheds_more_customers_on_ordinary_plans_and_none_on_the_dearest() {
    let plans = [plan(1.0), plan(3.0)];
    for (stage, share) in [1.0, 0.9, 0.7, 0.5, 0.0].into_iter().enumerate() {
        let shedder = at_stage(stage);
        let ordinary = admitted(&shedder, CustomerActivity::Active, &plans[0], &plans) as f64 / 1000.0;
        assert!((ordinary - share).abs() < 0.05, "stage {stage}: {ordinary}");
        assert_eq!(admitted(&shedder, CustomerActivity::Active, &plans[1], &plans), 1000);
    }
}

/// A customer comes for the first time in a while, just as the lightest stage begins. It is served: only from
/// the next stage on do newcomers count like others.
#[test]
fn customers_unseen_of_late_are_exempt_at_the_first_stage() {
    let plans = [plan(1.0)];
    assert_eq!(admitted(&at_stage(1), CustomerActivity::Inactive, &plans[0], &plans), 1000);
    assert!(admitted(&at_stage(2), CustomerActivity::Inactive, &plans[0], &plans) < 800);
}

/// The pressure stays high. The stage rises by one at a time, and only once the one before has had the time
/// to show its effect: else a short overload would end at the last stage, with all ordinary customers shed.
#[test]
fn the_stage_rises_by_one_at_a_time() {
    let (mut shedder, pressure) = (at_stage(0), pressure_of(2.0));
    assert_eq!(shedder.update_stage(START + MIN_STAGE_TIME_UP, &pressure), None);
    assert_eq!(shedder.update_stage(START + MIN_STAGE_TIME_UP * 2, &pressure), Some(0));
    assert_eq!((shedder.stage(), shedder.update_stage(START + MIN_STAGE_TIME_UP * 3, &pressure)), (1, None));
}

/// Shedding has relieved the backends, but still rejects many requests. Those rejections must not keep the
/// stage up: with the pressure low it falls.
#[test]
fn rejections_alone_hold_no_stage() {
    let (mut shedder, pressure) = (at_stage(2), pressure_of(0.5));
    (0..100).for_each(|_| shedder.record_saturation());
    assert_eq!(shedder.update_stage(START + MIN_STAGE_TIME_DOWN * 2, &pressure), Some(2));
    assert_eq!(shedder.stage(), 1);
}
