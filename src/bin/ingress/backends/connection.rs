//! A connection to a backend.

use super::{Assignment, CommandState};
use ingress::{BackendId, Micros, Outcome};
use mio::net::TcpStream;
use std::net::SocketAddr;

pub struct Conn {
    pub(super) stream: TcpStream,
    pub(super) serial: u64,
    pub(super) backend: BackendId,
    pub(super) address: SocketAddr,
    pub(super) connected: bool,
    pub(super) assignment: Option<Assignment>,
    /// When its work began, or when it fell idle.
    pub(super) since: Micros,
    /// How long it was idle before; none on its first use.
    pub(super) idled: Option<Micros>,
    /// When its answer began to come.
    pub(super) heard: Micros,
    pub(super) out: Vec<u8>,
    pub(super) written: usize,
    pub(super) buf: Vec<u8>,
}

impl Conn {
    /// Whether the backend may have begun: the command's last byte is written.
    pub(super) fn sent(&self) -> bool {
        self.written == self.out.len()
    }

    pub(super) fn command_state(&self) -> CommandState {
        if self.sent() {
            CommandState::Sent
        } else {
            CommandState::Unsent
        }
    }

    /// What the end of the connection means for the work on it.
    pub(super) fn broken(&self) -> Outcome {
        if self.sent() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }
}
