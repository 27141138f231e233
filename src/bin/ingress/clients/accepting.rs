//! Accepting connections.

use super::connection::Connection;
use super::{AcceptOutcome, Capacity, Clients};
use ingress::Micros;
use mio::net::TcpStream;
use mio::{Interest, Registry};
use std::io::ErrorKind;

/// The most connections accepted in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;

impl Clients {
    /// Accepts waiting connections for as long as `capacity` finds a descriptor for one more.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Micros,
        mut capacity: impl FnMut(&mut Self) -> Capacity,
    ) -> AcceptOutcome {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let capacity = capacity(self);
            if capacity == Capacity::Exhausted {
                return AcceptOutcome::NoDescriptor;
            }
            let Some(listener) = &self.listener else { return AcceptOutcome::Drained };
            match listener.accept() {
                Ok((stream, _)) => self.add(stream, registry, capacity, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return AcceptOutcome::Drained,
                // The connection ended before it was accepted.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // Out of descriptors or memory in spite of the limits: closing an idle connection may help.
                Err(_) if self.close_longest_idle(now) => {}
                Err(_) => return AcceptOutcome::NoDescriptor,
            }
        }
        AcceptOutcome::MorePending
    }

    /// Registers an accepted connection.
    fn add(&mut self, mut stream: TcpStream, registry: &Registry, capacity: Capacity, now: Micros) {
        let entry = self.connections.vacant_entry();
        let token = (self.token_of)(entry.key());
        if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_err() {
            return;
        }
        let _ = stream.set_nodelay(true); // A reply is one write: there is nothing to wait for.
        self.last_serial += 1;
        self.last_accepted_at = now;
        let connection = Connection::new(stream, self.last_serial, capacity, now);
        self.lingering_count += usize::from(connection.linger_until.is_some());
        self.over_limit_count += usize::from(connection.over_limit);
        entry.insert(connection);
    }
}
