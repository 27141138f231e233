//! Digest and counts of the actions of gateways.

use crate::deployment::MILLISECOND;
use ingress::*;

/// Number of actions of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sends: u32,
    pub rejections_with_retry_after: u32,
    pub rejections_without_retry_after: u32,
    pub failures: u32,
    pub cancels: u32,
    pub timers: u32,
    pub usage_reports: u32,
    pub quota_grants: u32,
    pub watches: u32,
    pub logs: u32,
}

impl Counts {
    fn add(&mut self, action: &Action) {
        match action {
            Action::Send { .. } => self.sends += 1,
            Action::Reject { retry_after: Duration::ZERO, .. } => self.rejections_without_retry_after += 1,
            Action::Reject { .. } => self.rejections_with_retry_after += 1,
            Action::Fail(_) => self.failures += 1,
            Action::Cancel { .. } => self.cancels += 1,
            Action::SetTimer { .. } => self.timers += 1,
            Action::SendToPeer { bytes, .. } => match bytes[1] & 3 {
                0 => self.usage_reports += 1,
                1 => self.quota_grants += 1,
                body => panic!("a message with the unknown body {body}"),
            },
            Action::PollDiscovery => self.watches += 1,
            Action::Log(_) => self.logs += 1,
        }
    }
}

/// Expected digest and counts of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pinned {
    pub digest: u64,
    pub counts: Counts,
}

/// 64-bit FNV-1a hash of the values of actions.
pub struct Digest {
    pub state: u64,
    pub counts: Counts,
}

impl Digest {
    pub fn new() -> Digest {
        Digest { state: 0xCBF2_9CE4_8422_2325, counts: Counts::default() }
    }

    fn fold_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.state = (self.state ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3);
        }
    }

    pub fn fold_numbers(&mut self, numbers: &[u64]) {
        for number in numbers {
            self.fold_bytes(&number.to_le_bytes());
        }
    }

    /// Rounds a duration that was computed with `exp` to milliseconds, since the last bit of `exp` differs
    /// between processors.
    fn rounded(span: Duration) -> u64 {
        (span + MILLISECOND / 2).as_millis()
    }

    /// Hashes an action. The numbers of the kinds are defined here only and must not change.
    pub fn fold_action(&mut self, action: &Action) {
        self.counts.add(action);
        match action {
            Action::Send { id, backend, expires_at } => {
                let expiry = expires_at.map_or(Duration::ZERO, |at| at.duration_since(Instant::ZERO));
                self.fold_numbers(&[1, id.0, backend.0, Self::rounded(expiry)]);
            }
            Action::Reject { id, retry_after } => {
                let has_retry_after = u64::from(!retry_after.is_zero());
                self.fold_numbers(&[2, id.0, has_retry_after, Self::rounded(*retry_after)]);
            }
            Action::Fail(id) => self.fold_numbers(&[3, id.0]),
            Action::Cancel { id, attempt } => self.fold_numbers(&[4, id.0, u64::from(*attempt)]),
            Action::SetTimer { delay, token } => {
                self.fold_numbers(&[5, delay.as_micros(), u64::from(*token)]);
            }
            Action::SendToPeer { to, bytes } => self.fold_message(to.map(|peer| peer.0), bytes),
            Action::PollDiscovery => self.fold_numbers(&[7, 1]),
            Action::Log(_) => self.fold_numbers(&[8]),
        }
    }

    fn fold_message(&mut self, to: Option<u16>, bytes: &[u8]) {
        self.fold_numbers(&[6, to.map_or(u64::MAX, u64::from), bytes.len() as u64]);
        self.fold_bytes(bytes);
    }
}
