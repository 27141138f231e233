//! Backends with replies specified by a test.

mod unreachable;

pub use unreachable::UnreachableBackend;

use super::discovery::endpoint_json;
use stand_ins::resp::{encode_served, read_value};
use stand_ins::server::{is_timeout, listen, serve};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time between a reply and its duplicate.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(10);
/// Delay before a duplicate is sent.
const DUPLICATE_DELAY: Duration = Duration::from_micros(300);
/// Interval at which an idle connection checks whether it should close.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Index of the request id among the words of a command.
const ID_POSITION: usize = 2;
/// Load report in all replies.
const LOAD_REPORT: &str = "util=0.25";

/// The response of a backend to a command.
pub enum BackendReply {
    /// Sends these bytes immediately.
    Bytes(Vec<u8>),
    /// Sends these bytes after a delay.
    Delayed(Duration, Vec<u8>),
    /// Sends these bytes, and again within a few milliseconds, as the protocol documentation describes. If
    /// the machine delays the duplicate for longer, it is not sent. The counter holds the number of
    /// duplicates sent.
    Duplicated(Vec<u8>, Arc<AtomicUsize>),
    /// Keeps the connection open without a reply.
    NoReply,
    /// Closes the connection.
    Disconnect,
}

/// Returns the normal reply of a backend: a value that contains the request's id.
pub fn reply_with_value(args: &[String]) -> BackendReply {
    BackendReply::Bytes(value_reply(args))
}

/// Encodes the normal reply of a backend, with a load report.
pub fn value_reply(args: &[String]) -> Vec<u8> {
    let value = format!("value of {}", args[ID_POSITION]);
    encode_served(&value, Some(LOAD_REPORT))
}

/// Function that determines a backend's reply to a command.
type ReplyFunction = dyn Fn(&[String]) -> BackendReply + Send + Sync;

/// Observations of a backend, and its handling of idle connections.
#[derive(Default)]
struct BackendState {
    /// Received commands with their arguments.
    commands: Mutex<Vec<Vec<String>>>,
    /// Number of connections opened so far.
    connections_opened: AtomicUsize,
    /// Number of connections closed so far, by either side.
    connections_closed: AtomicUsize,
    /// Whether idle connections are closed.
    close_when_idle: AtomicBool,
    /// Idle time in milliseconds after which a connection is reset at its next request; 0 for no limit.
    reset_after_idle_ms: AtomicU64,
}

/// A backend with a thread per connection.
pub struct Backend {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<BackendState>,
}

impl Backend {
    /// Starts a backend on an unused port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start(reply: impl Fn(&[String]) -> BackendReply + Send + Sync + 'static) -> Backend {
        Backend::start_on(listen().unwrap(), reply)
    }

    /// Starts a backend that accepts connections from `listener`.
    ///
    /// # Panics
    ///
    /// Panics if the listener has no local address.
    pub fn start_on(
        listener: TcpListener,
        reply: impl Fn(&[String]) -> BackendReply + Send + Sync + 'static,
    ) -> Backend {
        let state = Arc::new(BackendState::default());
        let reply: Arc<ReplyFunction> = Arc::new(reply);
        let shared = state.clone();
        let accept = move |stream: TcpStream| {
            let state = shared.clone();
            let reply = reply.clone();
            state.connections_opened.fetch_add(1, Ordering::SeqCst);
            move || {
                let _ = stream.set_nodelay(true);
                BackendConnection { stream, state: &state, reply: &*reply, replied_at: None }.serve();
                state.connections_closed.fetch_add(1, Ordering::SeqCst);
            }
        };
        Backend { address: serve(listener, accept).unwrap(), state }
    }

    /// Returns the commands received so far, with their arguments.
    ///
    /// # Panics
    ///
    /// Panics if a connection of the backend panicked while it recorded a command.
    pub fn commands(&self) -> Vec<Vec<String>> {
        self.state.commands.lock().unwrap().clone()
    }

    /// Returns the ids of the requests received so far.
    pub fn request_ids(&self) -> Vec<String> {
        self.commands().iter().map(|command| command[ID_POSITION].clone()).collect()
    }

    /// Returns the number of commands received so far.
    ///
    /// # Panics
    ///
    /// Panics if a connection of the backend panicked while it recorded a command.
    pub fn command_count(&self) -> usize {
        self.state.commands.lock().unwrap().len()
    }

    /// Returns the number of connections opened so far.
    pub fn connections_opened(&self) -> usize {
        self.state.connections_opened.load(Ordering::SeqCst)
    }

    /// Returns the number of connections closed so far, by either side.
    pub fn connections_closed(&self) -> usize {
        self.state.connections_closed.load(Ordering::SeqCst)
    }

    /// Sets whether idle connections are closed.
    pub fn set_close_when_idle(&self, enabled: bool) {
        self.state.close_when_idle.store(enabled, Ordering::SeqCst);
    }

    /// Sets the idle time after which a connection is reset at its next request.
    pub fn set_reset_after_idle(&self, limit: Duration) {
        self.state.reset_after_idle_ms.store(limit.as_millis() as u64, Ordering::SeqCst);
    }

    /// Returns this backend's entry in the endpoint list as JSON.
    pub fn endpoint_json(&self, name: &str, status: &str) -> String {
        endpoint_json(name, self.address, status)
    }
}

/// A connection to a backend, served by its own thread.
struct BackendConnection<'a> {
    stream: TcpStream,
    /// State shared by all connections of the backend.
    state: &'a BackendState,
    reply: &'a ReplyFunction,
    /// Time of the last reply.
    replied_at: Option<Instant>,
}

impl BackendConnection<'_> {
    /// Replies to commands until either side closes the connection.
    fn serve(&mut self) {
        while self.wait_for_command() && !self.exceeded_idle_limit() {
            let Some(args) = read_value(&mut self.stream) else { return };
            self.state.commands.lock().unwrap().push(args.clone());
            let is_open = match (self.reply)(&args) {
                BackendReply::Disconnect => false,
                reply => self.send(reply).is_ok(),
            };
            if !is_open {
                return;
            }
            self.replied_at = Some(Instant::now());
        }
    }

    /// Waits for the first byte of a command. Returns `false` if the connection ends or should close instead.
    fn wait_for_command(&mut self) -> bool {
        self.stream.set_read_timeout(Some(IDLE_POLL_INTERVAL)).unwrap();
        let has_command = loop {
            match self.stream.peek(&mut [0]) {
                Ok(length) => break length > 0,
                Err(error) if !is_timeout(&error) => break false,
                Err(_) if self.state.close_when_idle.load(Ordering::SeqCst) => break false,
                Err(_) => {}
            }
        };
        self.stream.set_read_timeout(None).unwrap();
        has_command
    }

    /// Returns whether the connection exceeded the idle time after which it is reset.
    fn exceeded_idle_limit(&self) -> bool {
        let limit = Duration::from_millis(self.state.reset_after_idle_ms.load(Ordering::SeqCst));
        !limit.is_zero() && self.replied_at.is_some_and(|instant| instant.elapsed() > limit)
    }

    /// Sends the bytes of a reply, if any.
    fn send(&mut self, reply: BackendReply) -> io::Result<()> {
        match reply {
            BackendReply::Bytes(bytes) => self.stream.write_all(&bytes),
            BackendReply::Delayed(delay, bytes) => {
                thread::sleep(delay);
                self.stream.write_all(&bytes)
            }
            BackendReply::Duplicated(bytes, duplicates_sent) => {
                let first_sent_at = Instant::now();
                self.stream.write_all(&bytes)?;
                thread::sleep(DUPLICATE_DELAY);
                if first_sent_at.elapsed() > MAX_DUPLICATE_DELAY {
                    return Ok(());
                }
                duplicates_sent.fetch_add(1, Ordering::SeqCst);
                self.stream.write_all(&bytes)
            }
            BackendReply::NoReply | BackendReply::Disconnect => Ok(()),
        }
    }
}
