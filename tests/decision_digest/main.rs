//! Pins what gateways decide and tell each other. Fleets of three sizes are driven by a seeded stream of events on a
//! simulated clock; every action is folded into a 64-bit FNV-1a hash by its values alone: a number that this file gives
//! to its kind, ids, integers, the bytes of messages. Names and texts do not enter, so that renaming types, fields or
//! files leaves the digests as they are, while a change of any decision or of the wire format moves them.
//!
//! The crate's names stand in few places: [`Digest::fold_action`] reads actions, `deployment` builds the settings, and
//! [`Fleet`] makes the events. Where a decision is meant to change, the pinned [`Pinned`] values change in the same
//! commit, which says so.

use test_support as support;

mod deployment;
mod digest;
mod fleet;
mod random;

use deployment::{Deployment, FleetSize, THIRTY, THREE, THREE_HUNDRED};
use digest::{Counts, Digest, Pinned};
use fleet::Fleet;

const GATEWAY_SEED: u64 = 7;

/// Runs a fleet in each deployment.
fn drive(size: FleetSize, gateway_seed: u64) -> Pinned {
    let hedged = Fleet::new(size, Deployment::Hedged, gateway_seed, Digest::new()).run();
    let both = Fleet::new(size, Deployment::Single, gateway_seed, hedged).run();
    Pinned { digest: both.state, counts: both.counts }
}

/// Asserts that every kind of action that decisions ask for occurs more than once.
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

/// Three gateways get a fixed stream of events, and the digest of all their actions is pinned. A change of code
/// that was meant to change no decision, such as a rename, shows here if it did.
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

/// The same in a fleet of thirty, whose gateways report to each other less often than three do.
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

/// The same in a fleet of three hundred, where one or two gateways count a customer's usage for all others, which
/// request grants from them.
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

/// Gateways with another seed get the same stream of events. Their digest has to differ, since one that did not
/// depend on what gateways decide would pass whatever they do.
#[test]
fn another_seed_gives_another_digest() {
    assert_ne!(drive(THREE, GATEWAY_SEED).digest, drive(THREE, GATEWAY_SEED + 1).digest);
}
