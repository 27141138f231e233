//! The rotation of a load balancer in front of the fleet: the ingresses that receive new connections.

use std::sync::atomic::{AtomicBool, Ordering};

/// The ingresses in rotation. An ingress that leaves the rotation keeps its open connections.
pub struct Rotation {
    /// Whether each ingress is in rotation, indexed by number.
    members: Vec<AtomicBool>,
}

impl Rotation {
    /// Creates a rotation for this number of ingresses, without members.
    pub fn new(ingresses: usize) -> Rotation {
        Rotation { members: (0..ingresses).map(|_| AtomicBool::new(false)).collect() }
    }

    /// Adds an ingress to the rotation, or removes it.
    pub fn set(&self, ingress: usize, is_member: bool) {
        self.members[ingress].store(is_member, Ordering::SeqCst);
    }

    /// Returns whether an ingress receives new connections.
    pub fn contains(&self, ingress: usize) -> bool {
        self.members[ingress].load(Ordering::SeqCst)
    }
}
