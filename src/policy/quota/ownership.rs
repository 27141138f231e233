//! The modes in which a fleet assigns quota owners, and the rules that differ between the modes.

use super::{GatewaySet, GRANTER_COUNT};
use crate::{Duration, Limits, Plan};

/// Longest report interval with which all gateways of a customer own its quota.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// Shortest report interval. More frequent messages would cost bandwidth without new information.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Ratio of the report interval to the shortest one at which a gateway can process the reports of all peers.
const REPORT_INTERVAL_FACTOR: f64 = 1.5;
/// Time until a request's usage reaches the owners, including lost reports, in addition to the report
/// interval.
const REPORT_PROPAGATION_TIME: Duration = Duration::from_millis(350);
/// Age up to which a grant admits further requests, where all gateways own the quota.
const SHARED_GRANT_FRESHNESS: Duration = Duration::from_millis(100);
/// Number of messages that carry each usage report where all gateways own the quota. The loss of a report
/// would leave an ended attempt counted as in flight for a long time.
const SHARED_REPORT_COPIES: u8 = 2;
/// Number of times that a waiting request's grant is requested from a designated owner.
const DESIGNATED_GRANT_ATTEMPTS: u64 = 2;

/// The modes in which a fleet counts the usage of a customer against its quota.
///
/// A quota applies to all gateways together, but a gateway receives only its own requests. A *quota owner* is
/// a gateway that adds up the usage reports of all gateways. The number of owners depends on the rate of
/// messages that a gateway can process:
///
/// - [`AllGateways`](Self::AllGateways), in a small fleet: each gateway sends usage reports to all others, at
///   an interval that allows them to process the reports, and decides by its own sum. The sum lags by the
///   interval, so a customer that uses many gateways at once may exceed its quota for that time. The cost is
///   one message per pair of gateways and interval.
/// - [`Designated`](Self::Designated), in a large fleet, where that number of messages would exceed what a
///   gateway can process: one gateway owns a customer's quota, two where the plan has a hard limit. The
///   others request a grant before they admit a request, which delays it by a round trip; without an answer
///   they admit it. The cost is two messages per request that needs a grant.
///
/// The settings determine the mode, which does not change while a gateway runs. Each difference between the
/// modes is a method, so that no other module depends on the mode itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum QuotaOwnership {
    /// All gateways in a customer's gateway set own its quota.
    AllGateways {
        /// Minimum time between two messages to the same peer.
        report_interval: Duration,
    },
    /// One or two gateways own the quota of a customer.
    #[default]
    Designated,
}

impl QuotaOwnership {
    /// Selects the mode for a fleet of `fleet_size` gateways.
    pub(crate) fn new(limits: &Limits, fleet_size: u64) -> QuotaOwnership {
        let messages_per_second = limits.peer_messages_per_second.max(1.0);
        let seconds = REPORT_INTERVAL_FACTOR * (fleet_size as f64 - 1.0) / messages_per_second;
        if seconds > MAX_REPORT_INTERVAL.as_secs_f64() {
            return QuotaOwnership::Designated;
        }
        let report_interval = Duration::from_secs_f64(seconds).max(MIN_REPORT_INTERVAL);
        QuotaOwnership::AllGateways { report_interval }
    }

    /// Returns the minimum time between two messages to a peer. Grant requests to designated owners are sent
    /// without delay.
    pub(crate) fn report_interval(self) -> Duration {
        match self {
            Self::AllGateways { report_interval } => report_interval,
            Self::Designated => Duration::ZERO,
        }
    }

    /// Returns the owners of a customer's quota. `granters` are the gateways that grant its units.
    pub(super) fn owners(
        self,
        set: GatewaySet,
        gateway_count: u16,
        granters: [u16; GRANTER_COUNT],
        plan: &Plan,
    ) -> Vec<u16> {
        match self {
            Self::AllGateways { .. } => set.members(gateway_count),
            // All usage would have to be reported to a second owner; only a hard limit justifies the cost.
            Self::Designated if plan.hard_limit_rate > 0.0 => granters.to_vec(),
            Self::Designated => vec![granters[0]],
        }
    }

    /// Returns the initial tokens of a customer without a record. `counted_tokens` is the part that does not
    /// depend on usage before this gateway's start.
    ///
    /// With designated owners the bucket begins full: most customers' buckets are nearly full at any time.
    pub(crate) fn initial_tokens(self, plan: &Plan, counted_tokens: f64) -> f64 {
        match self {
            Self::AllGateways { .. } => counted_tokens.min(plan.burst),
            Self::Designated => plan.burst,
        }
    }

    /// Returns the age up to which a grant for one request admits another. Designated owners count each
    /// request, so that each one needs its own grant.
    pub(crate) fn grant_freshness(self) -> Duration {
        match self {
            Self::AllGateways { .. } => SHARED_GRANT_FRESHNESS,
            Self::Designated => Duration::ZERO,
        }
    }

    /// Returns the number of times that a grant is requested for a waiting request. The request to a
    /// designated owner is repeated, so that one lost message does not admit a request over the quota.
    pub(crate) fn grant_attempts(self) -> u64 {
        match self {
            Self::AllGateways { .. } => 1,
            Self::Designated => DESIGNATED_GRANT_ATTEMPTS,
        }
    }

    /// Returns whether some grant requests are skipped for customers far over their quota. All gateways send
    /// them to the same owner, whose other messages they would displace.
    pub(crate) fn limits_grant_requests(self) -> bool {
        self == Self::Designated
    }

    /// Returns whether a grant request is sent at once, regardless of the report interval. Grant requests are
    /// rare where all gateways own the quota, and must not wait for a whole interval.
    pub(crate) fn sends_grant_requests_at_once(self) -> bool {
        self != Self::Designated
    }

    /// Returns whether a gateway that admitted a request on arrival, by an earlier grant, requests a new
    /// grant for the next request.
    pub(crate) fn renews_grants_after_admission(self) -> bool {
        self != Self::Designated
    }

    /// Returns whether every gateway tracks the usage of other gateways by their reports, so that it needs no
    /// recent answer of an owner.
    pub(crate) fn tracks_remote_usage(self) -> bool {
        self != Self::Designated
    }

    /// Returns the time until the usage of other gateways is reported here. It is zero for designated owners,
    /// whose answers include that usage.
    pub(crate) fn unreported_time(self) -> Duration {
        match self {
            Self::AllGateways { report_interval } => report_interval + REPORT_PROPAGATION_TIME,
            Self::Designated => Duration::ZERO,
        }
    }

    /// Returns the number of messages that carry each usage report. In a large fleet a second copy would
    /// exceed the rate of messages that gateways can process.
    pub(crate) fn report_copies(self) -> u8 {
        match self {
            Self::AllGateways { .. } => SHARED_REPORT_COPIES,
            Self::Designated => 1,
        }
    }

    /// Returns whether units that an owner has charged with its grant are reported nevertheless, because the
    /// other owners have not charged them.
    pub(crate) fn reports_granted_units(self) -> bool {
        self != Self::Designated
    }

    /// Returns whether reports are sent to a peer after its first message. In a large fleet every peer is new
    /// at first, and only a restarted one has lost its records.
    pub(crate) fn reports_to_new_peers(self) -> bool {
        self != Self::Designated
    }

    /// Returns the lowest level to which reported usage may reduce a bucket with `tokens`. In a small fleet
    /// the debt may be as large as the burst. A designated owner incurs no further debt: it decides on each
    /// request, and rejected requests use no units.
    pub(crate) fn min_tokens(self, plan: &Plan, tokens: f64) -> f64 {
        match self {
            Self::AllGateways { .. } => -plan.burst,
            Self::Designated => tokens.min(0.0),
        }
    }

    /// Returns whether an owner measures a customer's rate in grant requests rather than in units. It does so
    /// under a concurrency quota, and the gateways limit their grant requests by that rate.
    pub(crate) fn counts_grant_requests(self, plan: &Plan) -> bool {
        self == Self::Designated && plan.concurrency_quota > 0
    }

    /// Returns whether the totals of gateways that no longer report are retained. In a small fleet a peer may
    /// report again after any pause, and without its old total all its past usage would count as new.
    pub(crate) fn retains_old_totals(self) -> bool {
        self != Self::Designated
    }

    /// Returns whether gateways exchange latency samples of their attempts. In a large fleet this informs
    /// many gateways of a failing backend before their own attempts fail.
    pub(crate) fn shares_latency_samples(self) -> bool {
        self == Self::Designated
    }

    /// Returns whether an attempt under a concurrency quota expires at its latency objective if a later
    /// answer has no value, since the attempt would still count against the quota. In a small fleet the
    /// requests that clients then repeat would cost more.
    pub(crate) fn expires_attempts_at_latency_objective(self) -> bool {
        self == Self::Designated
    }
}

#[cfg(test)]
mod tests;
