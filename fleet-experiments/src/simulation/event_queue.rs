//! Event queue of a discrete-event simulation.

use ingress::Instant;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Priority queue of events by time. Events of the same time keep the order in which they were scheduled.
pub struct EventQueue<T> {
    /// Time and serial number of each event, earliest first.
    order: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Events by serial number, kept apart from `order` so that `T` need not be `Ord`.
    events: HashMap<u64, T>,
    /// Serial number of the event scheduled last.
    serial: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { order: BinaryHeap::new(), events: HashMap::new(), serial: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event that occurs at a given time.
    pub fn schedule(&mut self, at: Instant, event: T) {
        self.serial += 1;
        self.order.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Removes the earliest event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Instant, T)> {
        let Reverse((at, serial)) = self.order.pop()?;
        self.events.remove(&serial).map(|event| (at, event))
    }
}
