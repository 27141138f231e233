//! The reasons for which client connections end.

use super::close_state::ClosingCause;

/// The reason for closing a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientCloseReason {
    Disconnected,
    /// A read or a write failed.
    Broken,
    /// The connection was idle, and its descriptor was needed for another one.
    DescriptorNeeded,
    /// The connection was idle during the shutdown.
    ShuttingDown,
    /// No command arrived in time after the connection was accepted.
    NoCommand,
    /// The connection was accepted over the limit, and no request arrived in time.
    OverLimitTimeout,
    /// The client did not close its end in time after the last reply.
    LingerTimeout,
    /// The client did not read its replies in time.
    WriteTimeout,
    /// Memory for replies was short, and this client read none of its replies.
    MemoryLimit,
}

impl ClientCloseReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [ClientCloseReason; 9] = [
        ClientCloseReason::Disconnected,
        ClientCloseReason::Broken,
        ClientCloseReason::DescriptorNeeded,
        ClientCloseReason::ShuttingDown,
        ClientCloseReason::NoCommand,
        ClientCloseReason::OverLimitTimeout,
        ClientCloseReason::LingerTimeout,
        ClientCloseReason::WriteTimeout,
        ClientCloseReason::MemoryLimit,
    ];

    /// Returns the cause to record for a connection that is shut down before it is closed for this reason.
    pub fn closing_cause(self) -> Option<ClosingCause> {
        match self {
            ClientCloseReason::DescriptorNeeded => Some(ClosingCause::DescriptorNeeded),
            ClientCloseReason::ShuttingDown => Some(ClosingCause::ShuttingDown),
            _ => None,
        }
    }

    /// Returns whether replies may be dropped with the connection, as when the client has disconnected or
    /// does not read them.
    pub fn may_drop_replies(self) -> bool {
        !matches!(
            self,
            ClientCloseReason::DescriptorNeeded
                | ClientCloseReason::ShuttingDown
                | ClientCloseReason::NoCommand
        )
    }
}
