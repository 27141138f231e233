//! Backends that reply as a test specifies.

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

/// How long after a reply its duplicate is sent at the latest.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(10);
/// How long a backend waits before it sends a duplicate.
const DUPLICATE_DELAY: Duration = Duration::from_micros(300);
/// How often an idle connection looks whether it is to be closed.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The position of the request's id among the words of a command.
const ID_POSITION: usize = 2;
/// The load report of all replies.
const LOAD_REPORT: &str = "util=0.25";

/// What a backend does with a command.
pub enum BackendReply {
    /// Sends these bytes at once.
    Bytes(Vec<u8>),
    /// Sends these bytes after a delay.
    Delayed(Duration, Vec<u8>),
    /// Sends these bytes, and some milliseconds later the same again, as the protocol page has it. Where the
    /// machine delays that for longer, they are not sent again. Counts those that were.
    Duplicated(Vec<u8>, Arc<AtomicUsize>),
    /// Keeps the connection open without a reply.
    NoReply,
    /// Closes the connection.
    Disconnect,
}

/// The reply of a backend without faults: a value that holds the request's id.
pub fn reply_with_value(args: &[String]) -> BackendReply {
    BackendReply::Bytes(value_reply(args))
}

/// The bytes of the reply of a backend without faults, with a load report.
pub fn value_reply(args: &[String]) -> Vec<u8> {
    let value = format!("value of {}", args[ID_POSITION]);
    encode_served(&value, Some(LOAD_REPORT))
}

/// How a backend replies to a command.
type ReplyFunction = dyn Fn(&[String]) -> BackendReply + Send + Sync;

/// What a backend has observed, and how it treats idle connections.
#[derive(Default)]
struct BackendState {
    /// The commands, with their arguments.
    commands: Mutex<Vec<Vec<String>>>,
    /// Connections that were opened.
    connections_opened: AtomicUsize,
    /// Connections that were closed, by either side.
    connections_closed: AtomicUsize,
    /// Idle connections are closed.
    close_when_idle: AtomicBool,
    /// A connection that was idle for more than so many milliseconds is reset at its next request; 0 for
    /// never.
    reset_after_idle_ms: AtomicU64,
}

/// A backend with a thread for each connection.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// What its connections share.
    state: Arc<BackendState>,
}

impl Backend {
    /// Starts a backend on a port of its own.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn start(reply: impl Fn(&[String]) -> BackendReply + Send + Sync + 'static) -> Backend {
        Backend::start_on(listen().unwrap(), reply)
    }

    /// Starts a backend on a listener.
    ///
    /// # Panics
    ///
    /// If the listener has no local address.
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

    /// The commands that arrived so far, with their arguments.
    ///
    /// # Panics
    ///
    /// If a connection of the backend panicked while it recorded a command.
    pub fn commands(&self) -> Vec<Vec<String>> {
        self.state.commands.lock().unwrap().clone()
    }

    /// The ids of the requests that arrived so far.
    pub fn request_ids(&self) -> Vec<String> {
        self.commands().iter().map(|command| command[ID_POSITION].clone()).collect()
    }

    /// How many commands arrived so far.
    ///
    /// # Panics
    ///
    /// If a connection of the backend panicked while it recorded a command.
    pub fn command_count(&self) -> usize {
        self.state.commands.lock().unwrap().len()
    }

    /// How many connections were opened so far.
    pub fn connections_opened(&self) -> usize {
        self.state.connections_opened.load(Ordering::SeqCst)
    }

    /// How many of them are closed, by either side.
    pub fn connections_closed(&self) -> usize {
        self.state.connections_closed.load(Ordering::SeqCst)
    }

    /// From now on closes idle connections, or no longer.
    pub fn set_close_when_idle(&self, enabled: bool) {
        self.state.close_when_idle.store(enabled, Ordering::SeqCst);
    }

    /// From now on resets connections that were idle for longer than this, at their next request.
    pub fn set_reset_after_idle(&self, limit: Duration) {
        self.state.reset_after_idle_ms.store(limit.as_millis() as u64, Ordering::SeqCst);
    }

    /// The entry of the endpoint list for this backend.
    pub fn endpoint_json(&self, name: &str, status: &str) -> String {
        endpoint_json(name, self.address, status)
    }
}

/// A connection to a backend, on a thread of its own.
struct BackendConnection<'a> {
    /// The socket.
    stream: TcpStream,
    /// What all connections of the backend share.
    state: &'a BackendState,
    /// How the backend replies.
    reply: &'a ReplyFunction,
    /// When it last replied.
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

    /// Waits for the first byte of a command; false where the connection is to be closed before that.
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

    /// Whether the connection is to be reset since it was idle for too long.
    fn exceeded_idle_limit(&self) -> bool {
        let limit = Duration::from_millis(self.state.reset_after_idle_ms.load(Ordering::SeqCst));
        !limit.is_zero() && self.replied_at.is_some_and(|instant| instant.elapsed() > limit)
    }

    /// Replies to a command.
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
