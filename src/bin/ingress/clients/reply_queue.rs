//! Sends the replies of a connection in the order of its requests, in whatever order they become known.

use ingress::RequestId;
use std::collections::VecDeque;

/// The place of a reply.
enum ReplySlot {
    /// The reply is not known yet.
    Pending(RequestId),
    /// The reply is known and waits for those before it.
    Ready(Vec<u8>),
}

/// The replies that a connection is owed, from its oldest pending request on.
#[derive(Default)]
pub struct ReplyQueue {
    /// The places of the replies, in the order of their requests.
    slots: VecDeque<ReplySlot>,
    /// The sequence number of the first slot: how many replies have left the queue.
    first_sequence: u64,
    /// The bytes of all replies in the queue.
    ready_bytes: usize,
}

impl ReplyQueue {
    /// Whether no reply is owed.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// How many replies are owed.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The bytes of the replies that wait for those before them.
    pub fn ready_bytes(&self) -> usize {
        self.ready_bytes
    }

    /// Whether any reply was ever owed.
    pub fn was_used(&self) -> bool {
        self.first_sequence > 0 || !self.slots.is_empty()
    }

    /// Adds the place of a request's reply and returns its sequence number.
    pub fn push_pending(&mut self, id: RequestId) -> u64 {
        let sequence = self.first_sequence + self.slots.len() as u64;
        self.slots.push_back(ReplySlot::Pending(id));
        sequence
    }

    /// Adds a reply that is known at once.
    pub fn push_ready(&mut self, reply: &[u8], out: &mut Vec<u8>) {
        if self.slots.is_empty() {
            out.extend_from_slice(reply);
            self.first_sequence += 1;
        } else {
            self.ready_bytes += reply.len();
            self.slots.push_back(ReplySlot::Ready(reply.to_vec()));
        }
    }

    /// Sets the reply at a sequence number, and moves the replies that wait for no earlier one to `out`;
    /// false if the reply has left the queue before.
    pub fn complete(&mut self, sequence: u64, reply: &[u8], out: &mut Vec<u8>) -> bool {
        let Some(index) = sequence.checked_sub(self.first_sequence) else { return false };
        let index = index as usize;
        if index == 0 && matches!(self.slots.front(), Some(ReplySlot::Pending(_))) {
            self.slots.pop_front();
            self.first_sequence += 1;
            out.extend_from_slice(reply);
        } else if let Some(slot) = self.slots.get_mut(index) {
            *slot = ReplySlot::Ready(reply.to_vec());
            self.ready_bytes += reply.len();
        }
        self.release_ready(out);
        true
    }

    /// Moves the replies before the oldest pending request to `out`.
    fn release_ready(&mut self, out: &mut Vec<u8>) {
        while let Some(ReplySlot::Ready(reply)) = self.slots.front() {
            out.extend_from_slice(reply);
            self.ready_bytes -= reply.len();
            self.first_sequence += 1;
            self.slots.pop_front();
        }
    }

    /// The requests without a reply, the latest first.
    pub fn pending_latest_first(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.slots.iter().rev().filter_map(|slot| match slot {
            ReplySlot::Pending(id) => Some(*id),
            ReplySlot::Ready(_) => None,
        })
    }
}
