//! Accepts connections.

use super::connection::ClientConnection;
use super::{AcceptOutcome, Capacity, Clients};
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use mio::{Interest, Registry};
use std::io::{self, ErrorKind};

/// The most connections accepted in an iteration.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// How long accepting has to fail before idle connections are closed: several retries, since a failure may be
/// transient.
const MIN_ACCEPT_FAILURE_TIME: Duration = Duration::from_millis(100);

/// Whether an error of accepting concerns only the connection that was to be accepted: Linux also reports
/// errors of the connection itself.
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
    /// Accepts waiting connections while `capacity` finds a descriptor for one more.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Instant,
        mut capacity: impl FnMut(&mut Self) -> Capacity,
    ) -> AcceptOutcome {
        // A connection in the queue may have waited as long as the first one that could not be accepted.
        self.queued_since.get_or_insert(self.arrival_time);
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let capacity = capacity(self);
            if capacity == Capacity::Exhausted {
                return AcceptOutcome::RetryLater;
            }
            match self.next_connection() {
                Ok(stream) => {
                    if let Err(stream) = self.add(stream, registry, capacity, now) {
                        self.unregistered = Some(stream);
                        self.on_accept_failure(now);
                        return AcceptOutcome::RetryLater;
                    }
                    self.accept_failing_since = None;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.accept_failing_since = None;
                    self.queued_since = None;
                    return AcceptOutcome::QueueEmpty;
                }
                Err(error) if concerns_one_connection(&error) => {}
                Err(_) => {
                    self.on_accept_failure(now);
                    return AcceptOutcome::RetryLater;
                }
            }
        }
        AcceptOutcome::MorePending
    }

    /// The connection whose registration is to be retried, or the next one in the queue.
    fn next_connection(&mut self) -> io::Result<TcpStream> {
        if let Some(stream) = self.unregistered.take() {
            return Ok(stream);
        }
        let listener = self.listener.as_ref().ok_or(ErrorKind::WouldBlock)?;
        listener.accept().map(|(stream, _)| stream)
    }

    /// Handles a lack of descriptors or memory in spite of the limits. The caller retries a little later; if
    /// accepting goes on failing, an idle connection is closed.
    fn on_accept_failure(&mut self, now: Instant) {
        let failing_since = *self.accept_failing_since.get_or_insert(now);
        if now >= failing_since + MIN_ACCEPT_FAILURE_TIME {
            self.close_longest_idle(now);
        }
    }

    /// Registers an accepted connection; returns it where that fails.
    fn add(
        &mut self,
        mut stream: TcpStream,
        registry: &Registry,
        capacity: Capacity,
        now: Instant,
    ) -> Result<(), TcpStream> {
        let entry = self.connections.vacant_entry();
        let token = (self.token_of)(entry.key());
        if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_err() {
            // mio takes a source whose registration failed for registered: only a new one can be registered.
            return Err(TcpStream::from_std(stream.into()));
        }
        // A reply is one write, which must not wait for the acknowledgement of an earlier one.
        let _ = stream.set_nodelay(true);
        self.last_serial += 1;
        self.last_accepted_at = now;
        let mut connection = ClientConnection::new(stream, self.last_serial, capacity, now);
        connection.unread_since = self.queued_since;
        self.lingering_count += usize::from(connection.linger_until.is_some());
        self.over_limit_count += usize::from(connection.is_over_limit());
        entry.insert(connection);
        Ok(())
    }
}
