//! A backend to which no connections are established until a test accepts them.

use super::{reply_with_value, Backend};
use std::net::SocketAddr;

/// Number of connections that fill the accept queue.
const BACKLOG: usize = 4;

/// A backend with a full accept queue, for which the kernel drops further connections until
/// [`accept_connections`](Self::accept_connections) is called.
pub struct UnreachableBackend {
    /// Listening address.
    pub address: SocketAddr,
    /// Listening socket.
    socket: socket2::Socket,
    /// Connections that fill the accept queue.
    backlog: Vec<socket2::Socket>,
}

impl Default for UnreachableBackend {
    fn default() -> UnreachableBackend {
        UnreachableBackend::new()
    }
}

impl UnreachableBackend {
    /// Starts listening and fills the accept queue.
    ///
    /// # Panics
    ///
    /// Panics if the sockets cannot be opened, or no port can be bound.
    pub fn new() -> UnreachableBackend {
        let stream = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let socket = stream();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let connect = |_| {
            let connection = stream();
            connection.set_nonblocking(true).unwrap();
            let _ = connection.connect(&address.into());
            connection
        };
        let backlog = (0..BACKLOG).map(connect).collect();
        UnreachableBackend { address, socket, backlog }
    }

    /// Establishes connections from now on, in the order in which they were started.
    pub fn accept_connections(self) -> Backend {
        drop(self.backlog);
        Backend::start_on(self.socket.into(), reply_with_value)
    }
}
