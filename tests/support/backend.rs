//! Backends that answer as a test tells them.

use super::discovery::endpoint_json;
use super::resp::read_value;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a backend sends for a command.
pub enum BackendReply {
    Bytes(Vec<u8>),
    Delayed(Duration, Vec<u8>),
    /// The first so many bytes, and a moment later the rest.
    InTwoParts(usize, Vec<u8>),
    Nothing,
    /// Closes the connection.
    Disconnect,
}

/// The reply of a backend that works: the request's id as the value.
pub fn reply_with_value(args: &[String]) -> BackendReply {
    BackendReply::Bytes(value_reply(args))
}

pub fn value_reply(args: &[String]) -> Vec<u8> {
    let value = format!("value of {}", args[2]);
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$9\r\nutil=0.25\r\n", value.len()).into_bytes()
}

#[derive(Default)]
pub struct BackendRecord {
    pub commands: Mutex<Vec<Vec<String>>>,
    pub connections_opened: AtomicUsize,
    pub connections_closed: AtomicUsize,
    /// Closes all idle connections.
    pub close_when_idle: AtomicBool,
    /// Resets a connection at a request that comes after it was idle for so many milliseconds; 0 for never.
    pub reset_after_idle_ms: AtomicU64,
}

pub struct Backend {
    pub address: SocketAddr,
    pub record: Arc<BackendRecord>,
}

impl Backend {
    pub fn start(reply: impl Fn(&[String]) -> BackendReply + Send + Sync + 'static) -> Backend {
        Backend::on(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    pub fn on(
        listener: TcpListener,
        reply: impl Fn(&[String]) -> BackendReply + Send + Sync + 'static,
    ) -> Backend {
        let (address, record, reply) =
            (listener.local_addr().unwrap(), Arc::new(BackendRecord::default()), Arc::new(reply));
        let shared = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, reply) = (shared.clone(), reply.clone());
                record.connections_opened.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    Self::talk(stream, &record, &*reply);
                    record.connections_closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Backend { address, record }
    }

    fn talk(mut stream: TcpStream, record: &BackendRecord, reply: &dyn Fn(&[String]) -> BackendReply) {
        let _ = stream.set_nodelay(true);
        let mut replied_at: Option<Instant> = None;
        loop {
            stream.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
            match stream.peek(&mut [0]) {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if record.close_when_idle.load(Ordering::SeqCst) {
                        return;
                    }
                    continue;
                }
                Ok(n) if n > 0 => {}
                _ => return,
            }
            stream.set_read_timeout(None).unwrap();
            let limit = Duration::from_millis(record.reset_after_idle_ms.load(Ordering::SeqCst));
            if !limit.is_zero() && replied_at.is_some_and(|instant| instant.elapsed() > limit) {
                return;
            }
            let Some(args) = read_value(&mut stream) else { return };
            record.commands.lock().unwrap().push(args.clone());
            let written = match reply(&args) {
                BackendReply::Bytes(bytes) => stream.write_all(&bytes),
                BackendReply::Delayed(pause, bytes) => {
                    thread::sleep(pause);
                    stream.write_all(&bytes)
                }
                BackendReply::InTwoParts(first_len, bytes) => {
                    stream.write_all(&bytes[..first_len]).and_then(|()| {
                        thread::sleep(Duration::from_micros(300));
                        stream.write_all(&bytes[first_len..])
                    })
                }
                BackendReply::Nothing => Ok(()),
                BackendReply::Disconnect => return,
            };
            if written.is_err() {
                return;
            }
            replied_at = Some(Instant::now());
        }
    }

    pub fn count(&self) -> usize {
        self.record.commands.lock().unwrap().len()
    }

    pub fn endpoint_json(&self, name: &str, status: &str) -> String {
        endpoint_json(name, self.address, status)
    }
}

/// A backend to which no connection comes up until [`accept_connections`](Self::accept_connections): its accept queue is full, and the kernel drops what comes.
pub struct UnreachableBackend {
    pub address: SocketAddr,
    socket: socket2::Socket,
    backlog: Vec<socket2::Socket>,
}

impl UnreachableBackend {
    pub fn new() -> UnreachableBackend {
        let stream = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let socket = stream();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let connect = |_| {
            let one = stream();
            one.set_nonblocking(true).unwrap();
            let _ = one.connect(&address.into());
            one
        };
        let backlog = (0..4).map(connect).collect();
        UnreachableBackend { address, socket, backlog }
    }

    /// From now on connections come up, in the order in which they were begun.
    pub fn accept_connections(self) -> Backend {
        drop(self.backlog);
        Backend::on(self.socket.into(), reply_with_value)
    }
}
