//! Which gateways own the quota of a customer, and all that follows from it.

use super::{GatewaySet, GRANTER_COUNT};
use crate::{Duration, Limits, Plan};

/// Report interval up to which all gateways of a customer own its quota.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// The shortest report interval: more messages a second would cost bytes and tell nothing new.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// How much longer the report interval is than the one at which a receiver takes in all that its peers send.
const REPORT_INTERVAL_FACTOR: f64 = 1.5;
/// Time from a request until the owners know of it, lost reports included, in addition to the report
/// interval.
const REPORT_PROPAGATION_TIME: Duration = Duration::from_millis(350);
/// Age up to which a grant stands for a further request, where all gateways own the quota.
const SHARED_GRANT_FRESHNESS: Duration = Duration::from_millis(100);
/// Messages that carry a usage report where all gateways own the quota: a report that is lost would leave an
/// attempt counted as in flight for long.
const SHARED_REPORT_COPIES: u8 = 2;
/// Times that a grant is requested of a designated owner for a request that waits.
const DESIGNATED_GRANT_ATTEMPTS: u64 = 2;

/// The two ways in which a fleet counts the usage of a customer against its quota.
///
/// A quota holds for all gateways together, and no gateway sees the requests of the others. A *quota owner*
/// is a gateway that adds up what all of them report. How many owners there are depends on how many messages
/// a gateway can take in:
///
/// - [`AllGateways`](Self::AllGateways), in a small fleet. Each gateway sends usage reports to all others, at
///   an interval at which they can take them in. Each decides by its own count, which lags behind by the
///   interval, so a customer that uses many gateways at once may exceed its quota for that long. It costs one
///   message for each pair of gateways and interval.
/// - [`Designated`](Self::Designated), in a large fleet, where so many messages would exceed what a gateway
///   takes in. One gateway is the owner of a customer's quota, two where the plan has a hard limit. The
///   others request a grant before they admit, which delays a request by a round trip; where no grant comes
///   they admit. It costs two messages for each request to a customer whose quota has to be asked for.
///
/// The mode follows from the settings and stays the same while a gateway runs. Nothing outside this file asks
/// which one it is: each difference between them is a method.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum QuotaOwnership {
    /// Every gateway of a customer owns its quota.
    AllGateways {
        /// The time between two messages to the same peer.
        report_interval: Duration,
    },
    /// One or two gateways own the quota of a customer.
    #[default]
    Designated,
}

impl QuotaOwnership {
    /// The mode of a fleet of so many gateways.
    pub(crate) fn new(limits: &Limits, fleet_size: u64) -> QuotaOwnership {
        let messages_per_second = limits.peer_messages_per_second.max(1.0);
        let seconds = REPORT_INTERVAL_FACTOR * (fleet_size as f64 - 1.0) / messages_per_second;
        if seconds > MAX_REPORT_INTERVAL.as_secs_f64() {
            return QuotaOwnership::Designated;
        }
        let report_interval = Duration::from_secs_f64(seconds).max(MIN_REPORT_INTERVAL);
        QuotaOwnership::AllGateways { report_interval }
    }

    /// The least time between two messages to a peer. Designated owners are sent each request for a grant at
    /// once.
    pub(crate) fn report_interval(self) -> Duration {
        match self {
            Self::AllGateways { report_interval } => report_interval,
            Self::Designated => Duration::ZERO,
        }
    }

    /// The owners of a customer's quota, of which `granters` are asked for grants.
    pub(super) fn owners(
        self,
        set: GatewaySet,
        gateway_count: u16,
        granters: [u16; GRANTER_COUNT],
        plan: &Plan,
    ) -> Vec<u16> {
        match self {
            Self::AllGateways { .. } => set.members(gateway_count),
            // Two owners of a quota would each have to be told of all usage: it is worth it for a hard limit
            // alone.
            Self::Designated if plan.hard_limit_rate > 0.0 => granters.to_vec(),
            Self::Designated => vec![granters[0]],
        }
    }

    /// Tokens of a customer that was not known here, where this gateway can vouch for `counted_tokens`.
    ///
    /// Among designated owners a start says little of what customers used: most have all but full buckets.
    pub(crate) fn initial_tokens(self, plan: &Plan, counted_tokens: f64) -> f64 {
        match self {
            Self::AllGateways { .. } => counted_tokens.min(plan.burst),
            Self::Designated => plan.burst,
        }
    }

    /// Age up to which a grant for one request allows another. A designated owner counts single requests, so
    /// that each one needs its own grant.
    pub(crate) fn grant_freshness(self) -> Duration {
        match self {
            Self::AllGateways { .. } => SHARED_GRANT_FRESHNESS,
            Self::Designated => Duration::ZERO,
        }
    }

    /// How often a grant is requested for a request that waits. A designated owner is asked again, because
    /// one lost message must not admit what is beyond the quota.
    pub(crate) fn grant_attempts(self) -> u64 {
        match self {
            Self::AllGateways { .. } => 1,
            Self::Designated => DESIGNATED_GRANT_ATTEMPTS,
        }
    }

    /// Whether requests for grants on customers far beyond their quota are skipped: all gateways ask the same
    /// owner, which would lose other messages.
    pub(crate) fn limits_grant_requests(self) -> bool {
        self == Self::Designated
    }

    /// Whether a request for a grant leaves at once, whenever the last message was sent. There are few where
    /// all gateways own the quota, and none may wait for a whole interval.
    pub(crate) fn sends_grant_requests_at_once(self) -> bool {
        self != Self::Designated
    }

    /// Whether a gateway that admitted a request by an old grant asks for a new one for the next.
    pub(crate) fn renews_grants_after_admission(self) -> bool {
        self != Self::Designated
    }

    /// Whether the usage of other gateways is known without a recent grant: they report it by themselves.
    pub(crate) fn knows_usage_without_grant(self) -> bool {
        self != Self::Designated
    }

    /// The time for which the usage of other gateways is not reported yet. Designated owners are asked
    /// instead.
    pub(crate) fn unreported_time(self) -> Duration {
        match self {
            Self::AllGateways { report_interval } => report_interval + REPORT_PROPAGATION_TIME,
            Self::Designated => Duration::ZERO,
        }
    }

    /// Messages that carry each usage report. A large fleet cannot afford a second one.
    pub(crate) fn report_copies(self) -> u8 {
        match self {
            Self::AllGateways { .. } => SHARED_REPORT_COPIES,
            Self::Designated => 1,
        }
    }

    /// Whether a decision that an owner has charged already is reported nevertheless: of several owners the
    /// others did not charge it.
    pub(crate) fn reports_granted_units(self) -> bool {
        self != Self::Designated
    }

    /// Whether a peer that is heard for the first time is sent reports. In a large fleet each one is unknown
    /// to begin with, and only one that restarted has forgotten anything.
    pub(crate) fn reports_to_new_peers(self) -> bool {
        self != Self::Designated
    }

    /// The lowest level that reported usage may bring a bucket to. Usage beyond the quota leaves no debt at a
    /// designated owner: it decides on each request, and what it rejects is not used.
    pub(crate) fn min_tokens(self, plan: &Plan, tokens: f64) -> f64 {
        match self {
            Self::AllGateways { .. } => -plan.burst,
            Self::Designated => tokens.min(0.0),
        }
    }

    /// Whether the rate that an owner keeps for a customer is one of requests for grants rather than of
    /// units: those of a customer that is limited by its attempts in flight, so that the gateways can ration
    /// them.
    pub(crate) fn counts_grant_requests(self, plan: &Plan) -> bool {
        self == Self::Designated && plan.concurrency_quota > 0
    }

    /// Whether totals of gateways that no longer report are kept. In a small fleet a peer is heard again
    /// after any pause, and without its old total all that it ever forwarded would count as new.
    pub(crate) fn retains_old_totals(self) -> bool {
        self != Self::Designated
    }

    /// Whether gateways tell each other how their attempts went: in a large fleet many know of a failure
    /// before they meet it.
    pub(crate) fn shares_latency_samples(self) -> bool {
        self == Self::Designated
    }

    /// Whether an attempt that earns nothing past its latency objective is given up then, because it still
    /// counts towards a concurrency quota. In a small fleet the clients that come again would cost more.
    pub(crate) fn expires_attempts_at_latency_objective(self) -> bool {
        self == Self::Designated
    }
}

#[cfg(test)]
mod tests;
