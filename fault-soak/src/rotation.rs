//! Which ingresses get new connections, as a load balancer in front of the fleet has it.

use std::sync::atomic::{AtomicBool, Ordering};

/// The ingresses that are in rotation. Connections that are open already stay.
pub struct Rotation {
    /// Whether each ingress is in rotation, by its number.
    members: Vec<AtomicBool>,
}

impl Rotation {
    /// A rotation of so many ingresses, none of which is in it yet.
    pub fn new(ingresses: usize) -> Rotation {
        Rotation { members: (0..ingresses).map(|_| AtomicBool::new(false)).collect() }
    }

    /// Adds an ingress, or removes it.
    pub fn set(&self, ingress: usize, is_member: bool) {
        self.members[ingress].store(is_member, Ordering::SeqCst);
    }

    /// Whether an ingress gets new connections.
    pub fn contains(&self, ingress: usize) -> bool {
        self.members[ingress].load(Ordering::SeqCst)
    }
}
