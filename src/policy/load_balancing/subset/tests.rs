//! Tests of [`super`].

use super::*;
use crate::{Endpoint, IdempotencyScope};

/// Three gateways share five backends. Each compares all of them, once: with so few, looking at a part only could
/// miss the one idle backend.
#[test]
fn few_backends_are_all_compared() {
    let subset = Subset::new(5, 3, &RetryScope::Anywhere);
    assert_eq!(subset, Subset { ready: 5, target_candidates: 7, size: 5 });
    assert!(!subset.is_sampled());
    assert_eq!(subset.steps(), 5);
}

/// A hundred gateways share as many backends. Each keeps to 32 of them, and two healthy candidates are
/// enough.
#[test]
fn many_gateways_use_the_smallest_subset() {
    let subset = Subset::new(100, 100, &RetryScope::Anywhere);
    assert_eq!(subset, Subset { ready: 100, target_candidates: 5, size: 32 });
    assert!(subset.is_sampled() && subset.has_enough(5, 0) && !subset.has_enough(4, 0));
}

/// There are 2400 backends for forty gateways. The subsets are so large that each backend is in eight of
/// them, but a choice compares no more than eight healthy candidates.
#[test]
fn each_backend_of_a_long_list_is_in_eight_subsets() {
    let subset = Subset::new(2400, 40, &RetryScope::Anywhere);
    assert_eq!(subset, Subset { ready: 2400, target_candidates: 8, size: 480 });
    assert_eq!(subset.size * 40 / 2400, 8);
}

/// A keyed request is retried, and only few backends know its key. They may be outside the gateway's usual subset,
/// so all backends are looked at; otherwise the client would get an error although a retry was possible.
#[test]
fn a_limited_scope_is_looked_for_among_all_backends() {
    let scope = RetryScope::Within(IdempotencyScope::Cell, Endpoint::default());
    assert_eq!(Subset::new(2400, 40, &scope).size, 2400);
}

/// Most backends fail. The choice ends after four times as many suspect candidates as healthy ones are
/// wanted: it must not go through the whole list for each request.
#[test]
fn a_choice_among_failing_backends_ends() {
    let subset = Subset::new(2400, 40, &RetryScope::Anywhere);
    assert!(!subset.has_enough(0, 32) && subset.has_enough(0, 33));
}

/// A choice starts anywhere in the subset and goes on at its beginning from its end. A search that stopped at the
/// end would hardly ever find the first backends, and load the last ones.
#[test]
fn positions_wrap_at_the_end_of_the_subset() {
    let subset = Subset::new(100, 100, &RetryScope::Anywhere);
    assert_eq!((subset.start(0.0), subset.start(0.999)), (0, 31));
    assert_eq!((subset.position(31, 0), subset.position(31, 1), subset.position(31, 33)), (31, 0, 0));
}
