//! Errors that prevent the start of the event loop or end it.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error of the event loop, which ends the process.
#[derive(Debug, Error)]
pub enum EventLoopError {
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers")]
    Signals(#[source] io::Error),
    /// Creating the poll, registering a socket with it or waiting for it failed.
    #[error("cannot poll the sockets")]
    Poll(#[source] io::Error),
    /// The listening socket for clients cannot be opened.
    #[error("listen: cannot listen on {address}")]
    Listen { address: SocketAddr, source: io::Error },
    /// The socket for peers' messages cannot be opened.
    #[error("peer_listen: cannot bind {address}")]
    BindPeers { address: SocketAddr, source: io::Error },
    /// The limit on file descriptors is too low to serve clients and backends.
    #[error("limits.sockets or the system's limit is too low: {allowed} file descriptors")]
    TooFewDescriptors {
        /// The lower of the configured limit and the system's.
        allowed: usize,
    },
}
