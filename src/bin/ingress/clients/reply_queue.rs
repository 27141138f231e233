//! Keeps the replies of a connection in the order of its requests, regardless of the order in which they
//! become available.

use super::limits::MAX_REPLY_BYTES;
use super::output::OutputBuffer;
use ingress::RequestId;
use std::collections::VecDeque;

/// Maximum number of slots for which an empty queue keeps memory.
const MAX_IDLE_SLOTS: usize = 16;

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
    /// Number of slots whose request is not answered yet.
    pending: usize,
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

    /// Returns the memory of the available replies, with [`MAX_REPLY_BYTES`] reserved for each pending one.
    ///
    /// A request is forwarded only with this reservation. Otherwise the replies that wait for an earlier one
    /// could exceed the memory limit, and could only be dropped.
    pub fn memory_size(&self) -> usize {
        self.ready_bytes + self.pending * MAX_REPLY_BYTES + self.slots.capacity() * size_of::<ReplySlot>()
    }

    /// Returns whether any reply was ever owed.
    pub fn was_used(&self) -> bool {
        self.first_sequence > 0 || !self.slots.is_empty()
    }

    /// Adds a slot for a request's reply and returns its sequence number.
    pub fn push_pending(&mut self, id: RequestId) -> u64 {
        let sequence = self.first_sequence + self.slots.len() as u64;
        self.slots.push_back(ReplySlot::Pending(id));
        self.pending += 1;
        sequence
    }

    /// Adds a reply that is available at once, and moves it to `out` if no reply is owed before it.
    pub fn push_ready(&mut self, reply: Vec<u8>, out: &mut OutputBuffer) {
        self.ready_bytes += reply.capacity();
        self.slots.push_back(ReplySlot::Ready(reply));
        self.release_ready(out);
    }

    /// Sets the reply at a sequence number, and moves the replies that wait for no earlier one to `out`.
    /// Returns `false` if that reply has already left the queue.
    pub fn complete(&mut self, sequence: u64, reply: Vec<u8>, out: &mut OutputBuffer) -> bool {
        let Some(index) = sequence.checked_sub(self.first_sequence) else { return false };
        if let Some(slot) = self.slots.get_mut(index as usize) {
            self.ready_bytes += reply.capacity();
            match std::mem::replace(slot, ReplySlot::Ready(reply)) {
                ReplySlot::Pending(_) => self.pending -= 1,
                ReplySlot::Ready(replaced) => self.ready_bytes -= replaced.capacity(),
            }
        }
        self.release_ready(out);
        true
    }

    /// Moves the replies before the oldest pending request to `out`.
    fn release_ready(&mut self, out: &mut OutputBuffer) {
        while let Some(ReplySlot::Ready(reply)) = self.slots.front_mut() {
            self.ready_bytes -= reply.capacity();
            out.push(std::mem::take(reply));
            self.first_sequence += 1;
            self.slots.pop_front();
        }
        if self.slots.is_empty() && self.slots.capacity() > MAX_IDLE_SLOTS {
            self.slots = VecDeque::new();
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
