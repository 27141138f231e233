//! Tests of [`super`].

use super::*;

/// A time long after the start, at which the stage may change.
const START: Instant = Instant::from_micros(100_000_000);

/// Returns a plan without quotas.
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

/// Returns a pressure close to this ratio, after a long series of such answers.
fn pressure_of(ratio: f64) -> Pressure {
    let mut pressure = Pressure::default();
    (1..=1000).for_each(|second| pressure.record(Instant::ZERO + Duration::from_secs(second), ratio));
    pressure
}

fn at_stage(stage: usize) -> LoadShedder {
    LoadShedder { stage, stage_changed_at: START, ..LoadShedder::default() }
}

/// Returns how many of 1000 customers on a plan are admitted.
fn admitted(shedder: &LoadShedder, activity: CustomerActivity, plan: &Plan, plans: &[Plan]) -> usize {
    let customers = (0..1000).map(CustomerId);
    customers
        .filter(|customer| {
            shedder.admits(&SheddingContext { now: START, customer: *customer, activity, plan, plans })
        })
        .count()
}

/// Each stage admits fewer customers on the ordinary plan and all on the highest-priced plan; the last
/// stage admits only the latter.
#[test]
fn each_stage_sheds_more_customers_on_ordinary_plans_and_none_on_the_highest_priced() {
    let plans = [plan(1.0), plan(3.0)];
    for (stage, share) in [1.0, 0.9, 0.7, 0.5, 0.0].into_iter().enumerate() {
        let shedder = at_stage(stage);
        let ordinary = admitted(&shedder, CustomerActivity::Active, &plans[0], &plans) as f64 / 1000.0;
        assert!((ordinary - share).abs() < 0.05, "stage {stage} admits {ordinary} of the ordinary customers");
        assert_eq!(admitted(&shedder, CustomerActivity::Active, &plans[1], &plans), 1000);
    }
}

/// A customer sends its first request in a while just after the lowest stage began. It is served; inactive
/// customers are shed only from the next stage on.
#[test]
fn inactive_customers_are_exempt_at_the_first_stage() {
    let plans = [plan(1.0)];
    assert_eq!(admitted(&at_stage(1), CustomerActivity::Inactive, &plans[0], &plans), 1000);
    assert!(admitted(&at_stage(2), CustomerActivity::Inactive, &plans[0], &plans) < 800);
}

/// The pressure stays high. The stage rises by one at a time, after the previous stage had time to show its
/// effect; otherwise a short overload would end at the last stage, with all ordinary customers shed.
#[test]
fn the_stage_rises_by_one_at_a_time() {
    let (mut shedder, pressure) = (at_stage(0), pressure_of(2.0));
    assert_eq!(shedder.update_stage(START + MIN_STAGE_TIME_UP, &pressure), None);
    assert_eq!(shedder.update_stage(START + MIN_STAGE_TIME_UP * 2, &pressure), Some(0));
    assert_eq!((shedder.stage(), shedder.update_stage(START + MIN_STAGE_TIME_UP * 3, &pressure)), (1, None));
}

/// Shedding has relieved the backends but still rejects many requests. These rejections must not keep the
/// stage up: at low pressure it falls.
#[test]
fn rejections_at_low_pressure_do_not_hold_the_stage() {
    let (mut shedder, pressure) = (at_stage(2), pressure_of(0.5));
    (0..100).for_each(|_| shedder.record_saturation());
    assert_eq!(shedder.update_stage(START + MIN_STAGE_TIME_DOWN * 2, &pressure), Some(2));
    assert_eq!(shedder.stage(), 1);
}
