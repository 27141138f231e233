//! The event queue of a simulation.

use ingress::Instant;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Events in the order of their times; those of one time in the order in which they were scheduled.
pub struct EventQueue<T> {
    /// Time and serial number of each event, the earliest first.
    order: BinaryHeap<Reverse<(Instant, u64)>>,
    /// The events by serial number, so that they need not be ordered themselves.
    events: HashMap<u64, T>,
    /// The last serial number.
    serial: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { order: BinaryHeap::new(), events: HashMap::new(), serial: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event.
    pub fn schedule(&mut self, at: Instant, event: T) {
        self.serial += 1;
        self.order.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Takes the next event, with its time.
    pub fn pop(&mut self) -> Option<(Instant, T)> {
        let Reverse((at, serial)) = self.order.pop()?;
        self.events.remove(&serial).map(|event| (at, event))
    }
}
