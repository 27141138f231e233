//! Tests of [`super`].

use super::*;
use crate::{Endpoint, IdempotencyScope};

/// Three gateways share five backends. Each gateway compares all of them once; a part of so few could miss
/// the only idle backend.
#[test]
fn few_backends_are_all_compared() {
    let subset = Subset::new(5, 3, &RetryScope::Anywhere);
    assert_eq!(subset, Subset { ready: 5, target_candidates: 7, size: 5 });
    assert!(!subset.is_sampled());
    assert_eq!(subset.steps(), 5);
}

/// A hundred gateways share a hundred backends. Each uses a subset of 32 of them, and five healthy
/// candidates are enough.
#[test]
fn many_gateways_use_the_minimum_subset_size() {
    let subset = Subset::new(100, 100, &RetryScope::Anywhere);
    assert_eq!(subset, Subset { ready: 100, target_candidates: 5, size: 32 });
    assert!(subset.is_sampled() && subset.has_enough(5, 0) && !subset.has_enough(4, 0));
}

/// Forty gateways share 2400 backends. The subsets are large enough that each backend is in eight of them,
/// but a choice compares at most eight healthy candidates.
#[test]
fn each_backend_of_a_long_list_is_in_eight_subsets() {
    let subset = Subset::new(2400, 40, &RetryScope::Anywhere);
    assert_eq!(subset, Subset { ready: 2400, target_candidates: 8, size: 480 });
    assert_eq!(subset.size * 40 / 2400, 8);
}

/// A keyed request is retried, and the few backends that have its key may be outside of the gateway's usual
/// subset. All backends are examined; otherwise the client would get an error although a retry is possible.
#[test]
fn a_limited_scope_uses_all_backends() {
    let scope = RetryScope::Within(IdempotencyScope::Cell, Endpoint::default());
    assert_eq!(Subset::new(2400, 40, &scope).size, 2400);
}

/// Most backends fail. The choice ends after four suspect candidates for each healthy one wanted, instead
/// of examining the whole list for each request.
#[test]
fn a_choice_among_suspect_backends_ends() {
    let subset = Subset::new(2400, 40, &RetryScope::Anywhere);
    assert!(!subset.has_enough(0, 32) && subset.has_enough(0, 33));
}

/// A choice starts anywhere in the subset and wraps around at its end. Otherwise the first backends would
/// hardly ever be chosen, and the last ones would get too much load.
#[test]
fn positions_wrap_at_the_end_of_the_subset() {
    let subset = Subset::new(100, 100, &RetryScope::Anywhere);
    assert_eq!((subset.start(0.0), subset.start(0.999)), (0, 31));
    assert_eq!((subset.position(31, 0), subset.position(31, 1), subset.position(31, 33)), (31, 0, 0));
}
