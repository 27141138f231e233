//! Opens the sockets and builds the event loop.

use super::arrival_clock::ArrivalClock;
use super::clock::Clock;
use super::counters::Counters;
use super::descriptor_budget::DescriptorBudget;
use super::request_entries::{AttemptLimits, RequestEntries};
use super::shutdown::Shutdown;
use super::source::Source;
use super::timer_queue::{Timer, TimerQueue};
use super::timers::SWEEP_INTERVAL;
use super::{EventLoop, EventLoopError};
use crate::backends::BackendConnections;
use crate::clients::{ClientMemoryLimits, Clients};
use crate::config::{Config, PeerAddresses};
use crate::discovery::{max_body_bytes, Watch, WatchOptions};
use crate::peers::PeerSocket;
use crate::reload::Reload;
use crate::start_retry::StartRetry;
use ingress::audit::{AuditRules, Auditor};
use ingress::discovery_schedule::PollTimings;
use ingress::{
    Discovery, Duration, EndpointUpdate, Gateway, Instant, Settings, StartTimes, CUSTOMER_RECORD_BYTES,
};
use mio::net::TcpListener;
use mio::{Interest, Poll, Registry, Token};
use signal_hook_mio::v1_0::Signals;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Divisor of the memory limit that gives the maximum memory of requests, their replies and the buffers of
/// connections.
const EXCHANGE_MEMORY_DIVISOR: usize = 2;
/// Divisor of the memory limit that gives the maximum memory of long commands that are incomplete, which is a
/// part of that memory.
const INPUT_MEMORY_DIVISOR: usize = 4;

/// Divisor of the memory limit that gives the maximum memory of the gateway's records of customers.
const CUSTOMER_MEMORY_DIVISOR: usize = 8;

/// The sockets that are opened at startup.
struct Sockets {
    poll: Poll,
    listener: TcpListener,
    /// The socket for gossip, or `None` if the settings disable messages between gateways.
    peers: Option<PeerSocket>,
    signals: Signals,
}

impl EventLoop {
    /// Opens the sockets, so that clients can connect; they are served once [`EventLoop::run`] runs. System
    /// calls that fail with a transient error are retried.
    pub fn start(
        mut config: Config,
        reload: Reload,
        mut signals: Signals,
        retry: StartRetry,
    ) -> Result<Self, EventLoopError> {
        let poll = retry.run(Poll::new).map_err(EventLoopError::Poll)?;
        let address = config.listen_address;
        let listener = listen(address, poll.registry(), retry)?;
        register_signals(&mut signals, poll.registry(), retry)?;
        let peers = config.peers.take();
        let peers = peers.map(|addresses| bind_peers(&addresses, poll.registry(), retry)).transpose()?;
        let sockets = Sockets { poll, listener, peers, signals };
        let mut event_loop = EventLoop::build(config, sockets, Clock::new(), reload)?;
        event_loop.timers.schedule(event_loop.now + SWEEP_INTERVAL, Timer::Sweep);
        event_loop.run_gateway();
        tracing::info!(target: "event_loop", %address, "listening for clients");
        Ok(event_loop)
    }

    /// Builds the event loop, with the cached endpoint list as the first event for the gateway.
    fn build(config: Config, sockets: Sockets, clock: Clock, reload: Reload) -> Result<Self, EventLoopError> {
        let now = clock.now();
        let options = watch_options(&config, now);
        let client_memory = client_memory_limits(config.max_memory_bytes);
        let max_customers = max_customers(config.max_memory_bytes);
        let (settings, endpoints) = (config.settings, config.cached_endpoints);
        let (token, index) = (Source::Discovery.into(), endpoints.index);
        let watch = Watch::new(config.discovery_address, config.location_names, index, token, options);
        let mut event_loop = EventLoop {
            poll: sockets.poll,
            clock,
            arrivals: ArrivalClock::new(now),
            now,
            tick: settings.tick,
            discovery: settings.discovery,
            connect_timeout: settings.limits.connect_timeout,
            attempt_limits: AttemptLimits::new(&settings),
            auditor: Auditor::new(AuditRules::new(&settings)),
            counters: Counters::default(),
            descriptors: DescriptorBudget::new(config.max_descriptors)?,
            requests: request_entries(&settings),
            shutdown: Shutdown::new(longest_deadline(&settings)),
            gateway: Gateway::new(settings, config.seed, now).with_max_customers(max_customers),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            clients: Clients::new(sockets.listener, config.command_schema, client_memory, client_token),
            backend_connections: BackendConnections::new(config.keepalive_timeout, backend_token),
            watch,
            start_times: StartTimes::default(),
            reload,
            peers: sockets.peers,
            signals: sockets.signals,
            timers: TimerQueue::default(),
            accept_pending: false,
            accept_retry_scheduled: false,
            peer_messages_pending: false,
        };
        event_loop.clients.set_arrival_time(now);
        event_loop.apply_endpoints(&endpoints, EndpointUpdate::CachedSnapshot);
        Ok(event_loop)
    }
}

/// Returns the limits on the memory of client connections, for a process with this memory limit.
fn client_memory_limits(max_memory_bytes: usize) -> ClientMemoryLimits {
    ClientMemoryLimits {
        total: max_memory_bytes / EXCHANGE_MEMORY_DIVISOR,
        input: max_memory_bytes / INPUT_MEMORY_DIVISOR,
    }
}

/// Returns the maximum number of customer records, for a process with this memory limit.
fn max_customers(max_memory_bytes: usize) -> usize {
    max_memory_bytes / CUSTOMER_MEMORY_DIVISOR / CUSTOMER_RECORD_BYTES
}

/// Returns the token of a client's connection.
fn client_token(key: usize) -> Token {
    Source::Client(key).into()
}

/// Returns the token of a connection to a backend.
fn backend_token(key: usize) -> Token {
    Source::Backend(key).into()
}

/// Returns an empty table of requests with the limits of the settings.
fn request_entries(settings: &Settings) -> RequestEntries {
    RequestEntries::new(settings.limits.max_open_requests as usize, longest_deadline(settings))
}

/// Returns the maximum deadline over all request classes.
fn longest_deadline(settings: &Settings) -> Duration {
    settings.classes.iter().map(|class| class.deadline).max().unwrap_or(Duration::ZERO)
}

/// Returns the options of the watch on the endpoint list.
fn watch_options(config: &Config, now: Instant) -> WatchOptions {
    WatchOptions {
        timings: poll_timings(&config.settings),
        max_body_bytes: max_body_bytes(config.max_memory_bytes),
        seed: config.seed,
        now,
    }
}

/// Opens the listening socket for clients and registers it.
fn listen(
    address: SocketAddr,
    registry: &Registry,
    retry: StartRetry,
) -> Result<TcpListener, EventLoopError> {
    // mio treats a source as registered even if its registration failed, so a new one is opened for a retry.
    let open = || {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, Source::Listener.into(), Interest::READABLE)?;
        Ok(listener)
    };
    retry.run(open).map_err(|source| EventLoopError::Listen { address, source })
}

/// Registers the signals, whose handlers are already installed.
fn register_signals(
    signals: &mut Signals,
    registry: &Registry,
    retry: StartRetry,
) -> Result<(), EventLoopError> {
    let register = || {
        let registered = registry.register(signals, Source::Signals.into(), Interest::READABLE);
        if registered.is_err() {
            let _ = registry.deregister(signals);
        }
        registered
    };
    retry.run(register).map_err(EventLoopError::Poll)
}

/// Opens the socket for messages of peers and registers it.
fn bind_peers(
    addresses: &PeerAddresses,
    registry: &Registry,
    retry: StartRetry,
) -> Result<PeerSocket, EventLoopError> {
    let address = addresses.listen_address;
    retry
        .run(|| PeerSocket::bind(addresses.clone(), registry, Source::Peers.into()))
        .map_err(|source| EventLoopError::BindPeers { address, source })
}

/// Returns the timings of polls for a discovery service that all gateways share, or for an agent on this
/// machine.
fn poll_timings(settings: &Settings) -> PollTimings {
    match settings.discovery {
        Discovery::SharedService => {
            PollTimings::shared_service(settings.rules.max_poll_interval, u64::from(settings.gateway_count))
        }
        Discovery::LocalAgent => PollTimings::LOCAL_AGENT,
    }
}
