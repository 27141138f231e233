//! Keeps the replies of a connection in the order of its requests, regardless of the order in which they
//! become available.

use ingress::RequestId;
use std::collections::VecDeque;

/// A position in the queue, for the reply to one request.
enum ReplySlot {
    /// The request is not answered yet.
    Pending(RequestId),
    /// The reply is available and waits for those before it.
    Ready(Vec<u8>),
}

/// The replies that are owed on a connection, from the oldest pending request on.
#[derive(Default)]
pub struct ReplyQueue {
    /// The slots of the replies, in the order of their requests.
    slots: VecDeque<ReplySlot>,
    /// The sequence number of the first slot, which equals the number of replies that have left the queue.
    first_sequence: u64,
    /// Total size of the available replies in the queue, in bytes.
    ready_bytes: usize,
}

impl ReplyQueue {
    /// Returns whether no reply is owed.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the number of replies owed.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the total size of the replies that wait for those before them, in bytes.
    pub fn ready_bytes(&self) -> usize {
        self.ready_bytes
    }

    /// Returns whether any reply was ever owed.
    pub fn was_used(&self) -> bool {
        self.first_sequence > 0 || !self.slots.is_empty()
    }

    /// Adds a slot for a request's reply and returns its sequence number.
    pub fn push_pending(&mut self, id: RequestId) -> u64 {
        let sequence = self.first_sequence + self.slots.len() as u64;
        self.slots.push_back(ReplySlot::Pending(id));
        sequence
    }

    /// Adds a reply that is available at once, and moves it to `out` if no reply is owed before it.
    pub fn push_ready(&mut self, reply: &[u8], out: &mut Vec<u8>) {
        if self.slots.is_empty() {
            out.extend_from_slice(reply);
            self.first_sequence += 1;
        } else {
            self.ready_bytes += reply.len();
            self.slots.push_back(ReplySlot::Ready(reply.to_vec()));
        }
    }

    /// Sets the reply at a sequence number, and moves the replies that wait for no earlier one to `out`.
    /// Returns `false` if that reply has already left the queue.
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

    /// Returns the requests without a reply, the latest first.
    pub fn pending_latest_first(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.slots.iter().rev().filter_map(|slot| match slot {
            ReplySlot::Pending(id) => Some(*id),
            ReplySlot::Ready(_) => None,
        })
    }
}
