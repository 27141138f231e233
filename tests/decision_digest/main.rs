//! Regression test of all decisions and messages of gateways.
//!
//! Fleets of three sizes handle a seeded stream of events on a simulated clock. Each action is hashed with
//! 64-bit FNV-1a by its values: a number for its kind, ids, integers, and the bytes of messages. Names and
//! texts are not hashed, so renaming does not change the digests, while a change of any decision or of the
//! wire format does.
//!
//! A commit that changes decisions on purpose updates the [`Pinned`] values and says so. The names of the
//! library are used in few places: [`Digest::fold_action`] reads actions, `deployment` builds the settings,
//! and [`Fleet`] creates the events.

use test_support as support;

mod deployment;
mod digest;
mod fleet;
mod random;

use deployment::{Deployment, FleetSize, THIRTY, THREE, THREE_HUNDRED};
use digest::{Counts, Digest, Pinned};
use fleet::Fleet;

const GATEWAY_SEED: u64 = 7;

/// Runs a fleet in both deployments, and returns the digest and counts of all actions.
fn drive(size: FleetSize, gateway_seed: u64) -> Pinned {
    let hedged = Fleet::new(size, Deployment::Hedged, gateway_seed, Digest::new()).run();
    let both = Fleet::new(size, Deployment::Single, gateway_seed, hedged).run();
    Pinned { digest: both.state, counts: both.counts }
}

/// Asserts that every kind of action occurs at least three times.
fn assert_all_occur(counts: Counts) {
    let occurring = [
        counts.sends,
        counts.rejections_with_retry_after,
        counts.rejections_without_retry_after,
        counts.failures,
        counts.cancels,
        counts.timers,
        counts.usage_reports,
        counts.quota_grants,
        counts.watches,
        counts.logs,
    ];
    assert!(occurring.iter().all(|count| *count >= 3), "a kind of action hardly occurs: {counts:?}");
}

fn assert_pinned(size: FleetSize, pinned: Pinned) {
    let driven = drive(size, GATEWAY_SEED);
    assert_all_occur(driven.counts);
    assert_eq!(
        driven, pinned,
        "decisions or bytes of a fleet of {} changed: {:#x}",
        size.gateway_count, driven.digest
    );
}

/// Detects a change of decisions by a commit that is not meant to change any, such as a rename.
#[test]
fn three_gateways_decide_as_pinned() {
    let counts = Counts {
        sends: 8903,
        rejections_with_retry_after: 5673,
        rejections_without_retry_after: 273,
        failures: 223,
        cancels: 439,
        timers: 8400,
        usage_reports: 6031,
        quota_grants: 1875,
        watches: 22,
        logs: 54,
    };
    assert_pinned(THREE, Pinned { digest: 0x7C3D_0817_9925_D4C0, counts });
}

/// The same for a fleet of thirty, whose gateways report to each other less often than three do.
#[test]
fn gateways_of_thirty_decide_as_pinned() {
    let counts = Counts {
        sends: 11_591,
        rejections_with_retry_after: 12_174,
        rejections_without_retry_after: 483,
        failures: 285,
        cancels: 432,
        timers: 14_000,
        usage_reports: 5178,
        quota_grants: 2432,
        watches: 36,
        logs: 84,
    };
    assert_pinned(THIRTY, Pinned { digest: 0x5135_22E7_BE53_26D3, counts });
}

/// The same for a fleet of three hundred, where one or two quota owners add up a customer's usage and the
/// other gateways request grants from them.
#[test]
fn gateways_of_three_hundred_decide_as_pinned() {
    let counts = Counts {
        sends: 13_856,
        rejections_with_retry_after: 15_035,
        rejections_without_retry_after: 560,
        failures: 567,
        cancels: 1289,
        timers: 16_800,
        usage_reports: 34_951,
        quota_grants: 19_562,
        watches: 46,
        logs: 100,
    };
    assert_pinned(THREE_HUNDRED, Pinned { digest: 0x8931_D61E_8E33_B64F, counts });
}

/// A test whose digest did not depend on the decisions would never fail. With another gateway seed, the same
/// stream of events has to give another digest.
#[test]
fn another_seed_gives_another_digest() {
    assert_ne!(drive(THREE, GATEWAY_SEED).digest, drive(THREE, GATEWAY_SEED + 1).digest);
}
