//! Accepting connections.

use super::connection::Connection;
use super::{AcceptOutcome, Capacity, Clients};
use ingress::Micros;
use mio::net::TcpStream;
use mio::{Interest, Registry};
use std::io::{self, ErrorKind};

/// The most connections accepted in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// How long accepting has to fail until idle connections are closed for it: several tries, since a moment's failure is
/// no reason to close anybody.
const ACCEPT_FAILURE_PATIENCE: Micros = 100_000;

/// Whether accepting failed for the connection that was to be accepted alone: Linux also reports errors that the
/// connection met before.
fn concerns_one_connection(error: &io::Error) -> bool {
    use ErrorKind::{
        ConnectionAborted, HostUnreachable, Interrupted, NetworkDown, NetworkUnreachable, TimedOut,
    };
    matches!(
        error.kind(),
        ConnectionAborted | Interrupted | HostUnreachable | NetworkDown | NetworkUnreachable | TimedOut
    )
}

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
                Ok((stream, _)) => {
                    self.accept_failing_since = None;
                    self.add(stream, registry, capacity, now);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.accept_failing_since = None;
                    return AcceptOutcome::Drained;
                }
                Err(error) if concerns_one_connection(&error) => {}
                Err(_) => {
                    self.on_accept_failure(now);
                    return AcceptOutcome::NoDescriptor;
                }
            }
        }
        AcceptOutcome::MorePending
    }

    /// Out of descriptors or memory in spite of the limits. Accepting is tried again a little later; where it keeps
    /// failing, closing an idle connection may help.
    fn on_accept_failure(&mut self, now: Micros) {
        let failing_since = *self.accept_failing_since.get_or_insert(now);
        if now >= failing_since + ACCEPT_FAILURE_PATIENCE {
            self.close_longest_idle(now);
        }
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
