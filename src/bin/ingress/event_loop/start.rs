//! Opens the sockets and puts the event loop together.

use super::clock::Clock;
use super::descriptor_budget::DescriptorBudget;
use super::request_table::RequestTable;
use super::shutdown::Shutdown;
use super::source::Source;
use super::timer_queue::{Timer, TimerQueue};
use super::timers::SWEEP_INTERVAL;
use super::{EventLoop, EventLoopError};
use crate::backends::Backends;
use crate::clients::Clients;
use crate::config::{Config, PeerAddresses};
use crate::discovery::{max_body_bytes, Watch, WatchOptions};
use crate::peers::PeerSocket;
use crate::reload::Reload;
use ingress::backoff::Backoff;
use ingress::{Discovery, EndpointUpdate, Gateway, Settings};
use mio::net::TcpListener;
use mio::{Interest, Poll, Registry};
use signal_hook_mio::v1_0::Signals;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The part of the memory that open requests may take, and as much again for what clients have sent in part or not
/// yet read.
const MEMORY_DIVISOR: usize = 4;

impl EventLoop {
    /// Opens the sockets. From here on clients can connect; they are served once [`EventLoop::run`] runs.
    pub fn start(config: Config, reload: Reload, mut signals: Signals) -> Result<Self, EventLoopError> {
        let poll = Poll::new().map_err(EventLoopError::Poll)?;
        let address = config.listen_address;
        let listener = listen(address, poll.registry(), &mut signals)?;
        let peers = config.peers.map(|addresses| bind_peers(addresses, poll.registry())).transpose()?;
        let clock = Clock::new();
        let now = clock.now();
        let settings = config.settings;
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let watch_options = WatchOptions {
            backoff: discovery_backoff(&settings),
            max_body_bytes: max_body_bytes(config.max_memory),
            seed: config.seed,
            now,
        };
        let memory_share = config.max_memory / MEMORY_DIVISOR;
        let mut event_loop = EventLoop {
            poll,
            clock,
            now,
            tick: settings.tick,
            polls_discovery: settings.discovery == Discovery::Poll,
            connect_timeout: config.connect_timeout,
            max_attempts: settings.limits.max_attempts as usize,
            descriptors: DescriptorBudget::new(config.max_descriptors)?,
            requests: RequestTable::new(settings.limits.max_open_requests as usize, memory_share),
            gateway: Gateway::new(settings, config.seed, now),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            clients: Clients::new(listener, config.command_schema, memory_share, |key| {
                Source::Client(key).into()
            }),
            backends: Backends::new(config.keepalive_timeout, |key| Source::Backend(key).into()),
            watch: Watch::new(
                config.discovery_address,
                config.location_names,
                config.cached_endpoints.index,
                Source::Discovery.into(),
                watch_options,
            ),
            reload,
            peers,
            signals,
            timers: TimerQueue::default(),
            accept_pending: false,
            peer_messages_pending: false,
            shutdown: Shutdown::new(longest_deadline),
        };
        event_loop.timers.schedule(now + SWEEP_INTERVAL, Timer::Sweep);
        event_loop.apply_endpoints(config.cached_endpoints, EndpointUpdate::CachedSnapshot);
        event_loop.run_policy();
        crate::log(&format!("event_loop: listening, address={address}"));
        Ok(event_loop)
    }
}

/// Opens the socket at which clients connect, and registers it and the signals.
fn listen(
    address: SocketAddr,
    registry: &Registry,
    signals: &mut Signals,
) -> Result<TcpListener, EventLoopError> {
    let mut listener =
        TcpListener::bind(address).map_err(|source| EventLoopError::Listen { address, source })?;
    registry
        .register(&mut listener, Source::Listener.into(), Interest::READABLE)
        .and_then(|()| registry.register(signals, Source::Signals.into(), Interest::READABLE))
        .map_err(EventLoopError::Poll)?;
    Ok(listener)
}

fn bind_peers(addresses: PeerAddresses, registry: &Registry) -> Result<PeerSocket, EventLoopError> {
    let address = addresses.listen_address;
    PeerSocket::bind(addresses, registry, Source::Peers.into())
        .map_err(|source| EventLoopError::BindPeers { address, source })
}

fn discovery_backoff(settings: &Settings) -> Backoff {
    match settings.discovery {
        Discovery::Poll => {
            Backoff::shared_service(settings.rules.max_poll_interval, u64::from(settings.gateway_count))
        }
        Discovery::Push => Backoff::LOCAL_AGENT,
    }
}
