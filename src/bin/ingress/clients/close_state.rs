//! The progress of closing a client connection, and its cause.

/// The handling of input that arrives while a connection is being closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateInput {
    /// It is read and discarded, so that a client that sends before it reads can do so.
    Discarded,
    /// It stays unread, and the close at the end resets the connection. A client whose request was not read
    /// may send it again.
    Unread,
}

/// The progress of closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseState {
    /// Commands are accepted.
    Open,
    /// No further command is accepted. The sending side is shut down once all replies are written.
    Closing(LateInput),
    /// The sending side is shut down; the client may still read its last replies.
    ShutDown(LateInput),
}

/// The reason for which the ingress began to close a connection, or accepted it only to close it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosingCause {
    /// The connection was accepted over the limit.
    OverLimit,
    /// The input is not valid RESP2.
    ProtocolError,
    /// Too many consecutive commands were invalid.
    InvalidCommands,
    /// The rest of a command did not arrive in time.
    CommandTimeout,
    /// The connection was idle, and its descriptor was needed for another one.
    DescriptorNeeded,
    /// The connection was idle during the shutdown of the process.
    ShuttingDown,
}

impl ClosingCause {
    /// Returns the handling of input that arrives on a connection that is closed for this cause.
    fn late_input(self) -> LateInput {
        match self {
            // No command can be recognized behind it.
            ClosingCause::ProtocolError => LateInput::Discarded,
            ClosingCause::OverLimit
            | ClosingCause::InvalidCommands
            | ClosingCause::CommandTimeout
            | ClosingCause::DescriptorNeeded
            | ClosingCause::ShuttingDown => LateInput::Unread,
        }
    }
}

impl CloseState {
    /// Returns whether commands are accepted.
    pub fn is_open(self) -> bool {
        self == CloseState::Open
    }

    /// Returns whether the sending side is shut down.
    pub fn is_shut_down(self) -> bool {
        matches!(self, CloseState::ShutDown(_))
    }

    /// Returns whether input is read only to discard it.
    pub fn discards_input(self) -> bool {
        matches!(self, CloseState::Closing(LateInput::Discarded) | CloseState::ShutDown(LateInput::Discarded))
    }

    /// Begins to close an open connection.
    pub fn begin(&mut self, cause: ClosingCause) {
        if self.is_open() {
            *self = CloseState::Closing(cause.late_input());
        }
    }
}
