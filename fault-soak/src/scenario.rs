//! The kinds of faults that a soak injects, and the system call faults that some of them comprise.

use clap::ValueEnum;
use fault_plan::SystemCallFault;
use serde::{Deserialize, Serialize};

/// A kind of fault, which affects an ingress, a backend, discovery or clients.
///
/// Scenarios that make system calls of an ingress fail consist of one or more [`SystemCallFault`]s, which the
/// preloaded library injects. The soak itself injects the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
#[value(rename_all = "snake_case")]
pub enum FaultScenario {
    /// Reads of an ingress are short.
    ShortReads,
    /// Writes of an ingress are short.
    ShortWrites,
    /// Reads, writes and waits of an ingress are interrupted by signals.
    Interruptions,
    /// An ingress fails to accept connections.
    FailedAccepts,
    /// An ingress fails to create sockets and to connect them.
    FailedConnects,
    /// An ingress fails to register sockets with epoll.
    FailedRegistrations,
    /// Writes of an ingress fail for lack of buffers.
    NoBuffers,
    /// An ingress fails to write its log.
    FailedLog,
    /// The wall clocks of all machines are set back by an hour.
    ClockBack,
    /// The wall clocks of all machines are set forward by an hour.
    ClockForward,
    /// An ingress receives SIGTERM, and is started again.
    Terminate,
    /// An ingress is killed, and started again.
    Kill,
    /// An ingress reloads its configuration, which is truncated at first.
    Reload,
    /// An ingress is stopped for a short pause and continued, repeatedly.
    Pauses,
    /// A backend responds slowly.
    SlowBackend,
    /// A backend responds with errors.
    FailingBackend,
    /// A backend rejects requests.
    RejectingBackend,
    /// A backend closes connections before or in the middle of its replies.
    ResettingBackend,
    /// A backend resets connections at the first bytes of a command, without executing it.
    #[serde(alias = "cutting_backend")]
    #[value(alias = "cutting_backend")]
    EarlyResettingBackend,
    /// A backend sends its replies a few bytes at a time.
    TricklingBackend,
    /// A backend sends each reply twice, some milliseconds apart.
    #[serde(alias = "doubling_backend")]
    #[value(alias = "doubling_backend")]
    DuplicatingBackend,
    /// A backend reads commands but does not respond.
    HangingBackend,
    /// A backend's machine is partitioned from the network, and resets its connections when the partition
    /// ends.
    #[serde(alias = "silent_backend")]
    #[value(alias = "silent_backend")]
    PartitionedBackend,
    /// A backend closes its idle connections.
    #[serde(alias = "closing_backend")]
    #[value(alias = "closing_backend")]
    IdleClosingBackend,
    /// A backend is listed as draining, and later as up.
    DrainingBackend,
    /// A backend restarts and is in slow start.
    RestartedBackend,
    /// Discovery does not respond.
    #[serde(alias = "silent_discovery")]
    #[value(alias = "silent_discovery")]
    UnresponsiveDiscovery,
    /// Discovery closes every connection.
    #[serde(alias = "broken_discovery")]
    #[value(alias = "broken_discovery")]
    UnavailableDiscovery,
    /// Discovery sends its responses a few bytes at a time, and truncates every other one.
    #[serde(alias = "cutting_discovery")]
    #[value(alias = "cutting_discovery")]
    TruncatingDiscovery,
    /// Clients disconnect before the answer.
    #[serde(alias = "leaving_clients")]
    #[value(alias = "leaving_clients")]
    DisconnectingClients,
    /// Clients stop in the middle of a command but stay connected.
    #[serde(alias = "stopping_clients")]
    #[value(alias = "stopping_clients")]
    StalledClients,
    /// Clients send their commands a few bytes at a time.
    TricklingClients,
    /// Clients send several commands at once.
    PipeliningClients,
    /// Clients send malformed commands.
    #[serde(alias = "rude_clients")]
    #[value(alias = "rude_clients")]
    MalformedCommands,
}

impl FaultScenario {
    /// Returns all scenarios in the order of declaration. The order determines which scenarios a seed draws.
    pub fn all() -> &'static [FaultScenario] {
        FaultScenario::value_variants()
    }

    /// Returns the system call faults of the scenario, each with its probability.
    pub fn system_call_faults(self) -> &'static [(SystemCallFault, f64)] {
        match self {
            FaultScenario::ShortReads => &[(SystemCallFault::ShortRead, 0.1)],
            FaultScenario::ShortWrites => &[(SystemCallFault::ShortWrite, 0.1)],
            FaultScenario::Interruptions => &[
                (SystemCallFault::InterruptedRead, 0.05),
                (SystemCallFault::InterruptedWrite, 0.05),
                (SystemCallFault::InterruptedWait, 0.05),
            ],
            FaultScenario::FailedAccepts => &[(SystemCallFault::FailedAccept, 0.3)],
            FaultScenario::FailedConnects => {
                &[(SystemCallFault::FailedSocket, 0.05), (SystemCallFault::FailedConnect, 0.05)]
            }
            FaultScenario::FailedRegistrations => &[(SystemCallFault::FailedRegistration, 0.1)],
            FaultScenario::NoBuffers => &[(SystemCallFault::NoBufferForWrite, 0.03)],
            FaultScenario::FailedLog => &[(SystemCallFault::FailedLog, 0.5)],
            _ => &[],
        }
    }
}
