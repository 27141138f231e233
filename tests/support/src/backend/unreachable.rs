//! A backend whose connections stay unestablished until a test accepts them.

use super::{reply_with_value, Backend};
use std::net::SocketAddr;

/// How many connections fill the accept queue.
const BACKLOG: usize = 4;

/// A backend to which no connection is established until [`accept_connections`](Self::accept_connections):
/// its accept queue is full, and the kernel drops what arrives.
pub struct UnreachableBackend {
    /// Where it listens.
    pub address: SocketAddr,
    /// The listening socket.
    socket: socket2::Socket,
    /// The connections that fill the accept queue.
    backlog: Vec<socket2::Socket>,
}

impl Default for UnreachableBackend {
    fn default() -> UnreachableBackend {
        UnreachableBackend::new()
    }
}

impl UnreachableBackend {
    /// Listens, and fills the accept queue.
    ///
    /// # Panics
    ///
    /// If the sockets cannot be opened, or no port can be bound.
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
        let backlog = (0..BACKLOG).map(connect).collect();
        UnreachableBackend { address, socket, backlog }
    }

    /// From now on connections are established, in the order in which they were begun.
    pub fn accept_connections(self) -> Backend {
        drop(self.backlog);
        Backend::start_on(self.socket.into(), reply_with_value)
    }
}
