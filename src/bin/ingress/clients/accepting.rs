//! Accepts client connections from the listener.

use super::connection::ClientConnection;
use super::{AcceptOutcome, Capacity, Clients};
use ingress::{Duration, Instant};
use mio::net::TcpStream;
use mio::{Interest, Registry};
use std::io::{self, ErrorKind};

const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Time for which accepting has to fail before idle connections are closed. It allows several retries, since
/// a failure may be transient.
const MIN_ACCEPT_FAILURE_TIME: Duration = Duration::from_millis(100);

/// Returns whether an error of `accept` does not prevent accepting the next connection: the call was
/// interrupted, or Linux reports a pending network error of the connection to be accepted.
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
    /// Accepts waiting connections while `capacity` provides a descriptor for one more.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Instant,
        mut capacity: impl FnMut(&mut Self) -> Capacity,
    ) -> AcceptOutcome {
        // Connections that an earlier call left in the queue have been waiting at least since that call, so
        // its time is kept until the queue is empty.
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

    /// Returns the connection whose registration is to be retried, or accepts the next one from the queue.
    fn next_connection(&mut self) -> io::Result<TcpStream> {
        if let Some(stream) = self.unregistered.take() {
            return Ok(stream);
        }
        let listener = self.listener.as_ref().ok_or(ErrorKind::WouldBlock)?;
        listener.accept().map(|(stream, _)| stream)
    }

    /// Handles a shortage of descriptors or memory that occurs despite the limits. The caller retries after a
    /// delay; if accepting keeps failing, an idle connection is closed.
    fn on_accept_failure(&mut self, now: Instant) {
        let failing_since = *self.accept_failing_since.get_or_insert(now);
        if now >= failing_since + MIN_ACCEPT_FAILURE_TIME {
            self.close_longest_idle(now);
        }
    }

    /// Registers an accepted connection and adds it to the table.
    ///
    /// # Errors
    ///
    /// Returns the connection if it could not be registered.
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
            // mio treats a source as registered even if its registration failed, so a new one is created for
            // the retry.
            return Err(TcpStream::from_std(stream.into()));
        }
        // A reply is a single write, which must not wait for the acknowledgement of an earlier one.
        let _ = stream.set_nodelay(true);
        self.last_serial += 1;
        self.last_accepted_at = now;
        let mut connection = ClientConnection::new(
            stream,
            self.last_serial,
            capacity,
            self.memory.max_replies_per_connection(),
            now,
        );
        connection.unread_since = self.queued_since;
        self.lingering_count += usize::from(connection.linger_until.is_some());
        self.over_limit_count += usize::from(connection.is_over_limit());
        entry.insert(connection);
        Ok(())
    }
}
