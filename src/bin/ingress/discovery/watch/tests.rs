//! Tests of [`super`].

use super::*;
use crate::discovery::tests::{location_names, MAX_BODY_BYTES};
use crate::discovery::HttpError;
use std::io::{Read, Write};

mod crowded_discovery;

/// Maximum time from a failed poll to the next one: 6 s, after which missed changes count as delivered, less
/// the time that a response takes.
const MAX_RETRY_GAP: Duration = Duration::from_secs(5);
/// Maximum interval between polls of discovery in the settings.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
const START: Instant = Instant::from_micros(1_000_000_000);

/// Returns the error of a poll that discovery rejects.
fn rejected() -> PollError {
    HttpError::Status(503).into()
}

fn pending_poll(started_at: Instant) -> PendingPoll {
    PendingPoll { request: PollRequest::Snapshot, started_at, index: 0 }
}

impl Watch {
    /// Returns whether a poll that started at this time may still be answered.
    fn awaits_response_since(&self, started_at: Instant) -> bool {
        let pending = self.pending.is_some_and(|poll| poll.started_at == started_at);
        pending || self.earlier.polls.iter().any(|earlier| earlier.poll.started_at == started_at)
    }
}

/// A hundred ingresses share a service that answers forty polls in two seconds, and all of them start or
/// lose their watches at the same moment. With retry delays of at most a second, the polls that are not
/// served keep its queue full permanently, so first polls and retries are spread out. An agent on the same
/// host serves one ingress only and is polled at once.
#[test]
fn first_polls_and_retries_of_a_hundred_watches_are_spread_out() {
    let now = START;
    let watch = |seed| {
        let options = WatchOptions {
            max_body_bytes: MAX_BODY_BYTES,
            timings: PollTimings::shared_service(MAX_POLL_INTERVAL, 100),
            seed,
            now,
        };
        Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 0, Token(0), options)
    };
    let mut watches: Vec<Watch> = (0..100).map(watch).collect();
    let most_at_once = |watches: &[Watch]| {
        let mut times: Vec<Instant> = watches.iter().map(|watch| watch.next_timer_at).collect();
        times.sort_unstable();
        (0..100)
            .map(|first| {
                let end = times[first] + Duration::from_millis(100);
                times[first..].iter().take_while(|at| **at < end).count()
            })
            .max()
    };
    assert!(most_at_once(&watches) <= Some(20), "too many first polls within 100 ms");
    for watch in &mut watches {
        watch.fail(now, &rejected());
    }
    assert!(most_at_once(&watches) <= Some(25), "too many retries within 100 ms");
    let options =
        WatchOptions { max_body_bytes: MAX_BODY_BYTES, timings: PollTimings::LOCAL_AGENT, seed: 7, now };
    let agent = Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 0, Token(0), options);
    assert_eq!(agent.next_timer_at, now, "an agent on the same host is polled at once");
}

/// A watch whose clock and discovery socket the test controls.
struct Harness {
    watch: Watch,
    poll: mio::Poll,
    listener: std::net::TcpListener,
    now: Instant,
    lists: Vec<u64>,
}

impl Harness {
    fn new(timings: PollTimings) -> Harness {
        let (listener, now) = (std::net::TcpListener::bind("127.0.0.1:0").unwrap(), START);
        let options = WatchOptions { max_body_bytes: MAX_BODY_BYTES, timings, seed: 7, now };
        let watch = Watch::new(listener.local_addr().unwrap(), location_names(), 41, Token(0), options);
        let mut harness =
            Harness { watch, poll: mio::Poll::new().unwrap(), listener, now, lists: Vec::new() };
        harness.run_timer();
        harness
    }

    /// Advances the clock to the watch's next timer and runs it.
    fn run_timer(&mut self) {
        self.now = self.now.max(self.watch.next_timer_at);
        self.watch.on_timer(self.now, self.poll.registry());
    }

    fn run_ready(&mut self) {
        let lists = &mut self.lists;
        self.watch.on_ready(self.now, self.poll.registry(), &mut |list| lists.push(list.index));
    }

    fn accept(&mut self) -> std::net::TcpStream {
        let stream = self.listener.accept().unwrap().0;
        stream.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
        stream
    }

    /// Accepts a connection and reads its poll.
    fn accept_poll(&mut self) -> std::net::TcpStream {
        let mut stream = self.accept();
        self.read_poll(&mut stream);
        stream
    }

    /// Reads the next poll from a connection and returns its timeout; zero if the poll does not wait.
    fn read_poll(&mut self, stream: &mut std::net::TcpStream) -> Duration {
        let (mut head, mut byte) = (String::new(), [0]);
        for _ in 0..100_000 {
            if head.ends_with("\r\n\r\n") {
                let timeout_ms = head.split("timeout_ms=").nth(1).and_then(|text| text.split(' ').next());
                return timeout_ms
                    .map_or(Duration::ZERO, |text| Duration::from_millis(text.parse().unwrap()));
            }
            match stream.read(&mut byte) {
                Ok(1) => head.push(char::from(byte[0])),
                _ => self.run_ready(),
            }
        }
        panic!("no complete poll: {head:?}");
    }

    /// Responds to a poll with an empty list of version `index`, and waits until the watch has read it.
    fn respond(&mut self, stream: &mut std::net::TcpStream, index: u64) {
        let list = format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[]}}");
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        stream.write_all(text.as_bytes()).unwrap();
        let before = self.lists.len();
        for _ in 0..1_000_000 {
            if self.lists.len() > before {
                return;
            }
            self.run_ready();
        }
        panic!("the response was not read");
    }
}

/// A watch receives no more responses, for example because a firewall dropped its connection. Missed changes
/// count as delivered 2 s after the poll's timeout, or 6 s after the poll if that is later; from then on a
/// request to a removed backend is a fault of the ingress. Detecting the silence only after 3 s and then
/// delaying the retry is too slow: a new poll has to be pending before the changes count as delivered.
#[test]
fn a_silent_watch_polls_again_before_missed_changes_count_as_delivered() {
    for timings in [
        PollTimings::LOCAL_AGENT,
        PollTimings::shared_service(MAX_POLL_INTERVAL, 6),
        PollTimings::shared_service(Duration::from_millis(500), 300),
    ] {
        let mut harness = Harness::new(timings);
        let mut silent = harness.accept();
        let timeout = harness.read_poll(&mut silent);
        let delivered_at = harness.now + (timeout + Duration::from_secs(2)).max(Duration::from_secs(6));
        harness.run_timer(); // the poll times out
        let mut retried = harness.accept();
        assert_eq!(harness.read_poll(&mut retried), Duration::ZERO, "missed changes are requested at once");
        let left = delivered_at.duration_since(harness.now);
        assert!(harness.now + Duration::from_secs(1) <= delivered_at, "{} us are left", left.as_micros());
        harness.respond(&mut retried, 42);
        harness.run_timer();
        assert!(harness.read_poll(&mut retried) > Duration::ZERO, "the next poll waits for changes");
    }
}

/// Two polls in a row receive no response. If the second one had the same long timeout as the first, the
/// ingress would use an outdated list for twice the time; a third poll has to start within 6 s of the first.
#[test]
fn a_third_poll_starts_within_six_seconds_of_two_silent_polls() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let started_at = harness.now;
    for _ in 0..2 {
        let mut silent = harness.accept();
        harness.read_poll(&mut silent);
        harness.run_timer();
        if harness.watch.pending.is_none() {
            harness.run_timer(); // the retry delay passes
        }
    }
    let mut third = harness.accept();
    harness.read_poll(&mut third);
    let elapsed = harness.now.duration_since(started_at);
    assert!(elapsed < Duration::from_millis(5500), "after {} us", elapsed.as_micros());
}

/// The agent on the same host repeatedly closes each connection at once. Its changes nevertheless count as
/// delivered to the ingress, so the retry delay must stay below the grace period of a change: otherwise a
/// backend that is draining would receive requests for too long.
#[test]
fn retries_at_a_local_agent_are_delayed_for_less_than_a_grace_period() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    for _ in 0..20 {
        drop(harness.accept());
        let failed_at = harness.now;
        while harness.watch.connection.is_some() {
            harness.run_ready();
        }
        harness.run_timer();
        let delay = harness.now.duration_since(failed_at);
        assert!(delay <= Duration::from_millis(150), "a delay of {} us", delay.as_micros());
    }
}

/// Discovery sends part of an unrequested response between two polls. If those bytes were kept, they would
/// become the start of the next response on a new connection, and a valid list would be rejected; they have
/// to be discarded with their connection.
#[test]
fn bytes_received_between_two_polls_are_discarded() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let mut first = harness.accept();
    harness.read_poll(&mut first);
    harness.respond(&mut first, 41);
    assert!(harness.watch.pending.is_none(), "the next poll is delayed after an immediate empty response");
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Le").unwrap();
    while harness.watch.connection.is_some() {
        harness.run_ready();
    }
    harness.run_timer();
    let mut second = harness.accept();
    harness.read_poll(&mut second);
    harness.respond(&mut second, 43);
    assert_eq!(harness.lists, [41, 43]);
}

/// A model of a discovery service with a queue that all ingresses share. Polls that have waited for two
/// seconds are rejected but still take service time.
struct SharedDiscovery {
    service_time: Duration,
    /// Time at which the last poll in the queue is served.
    free_at: Instant,
}

/// Time at which a poll of [`SharedDiscovery`] ends, and its result.
struct PollEnd {
    at: Instant,
    is_answered: bool,
}

impl SharedDiscovery {
    const MAX_QUEUEING: Duration = Duration::from_secs(2);

    fn poll(&mut self, now: Instant) -> PollEnd {
        let begins_at = self.free_at.max(now);
        self.free_at = begins_at + self.service_time;
        if begins_at > now + Self::MAX_QUEUEING {
            return PollEnd { at: now + Self::MAX_QUEUEING, is_answered: false };
        }
        PollEnd { at: self.free_at, is_answered: true }
    }
}

/// Measurements of a fleet's polls after an outage of discovery.
#[derive(Debug)]
struct Outage {
    /// Longest time for which an ingress without a response did not poll although it could reach discovery.
    longest_gap: Duration,
    /// 95th percentile of the time from discovery's return, or the ingress's start if later, to a response.
    p95: Duration,
    /// Number of polls that reached discovery after its return.
    polls: usize,
}

/// Restart time of the ingresses that are killed during an outage.
#[derive(Clone, Copy)]
enum Restart {
    /// 3 s before discovery returns.
    BeforeReturn,
    /// 1 s after discovery returns.
    AfterReturn,
}

const DOWN_AT: Instant = START;
// 8 s later.
const RETURN_AT: Instant = Instant::from_micros(1_008_000_000);

impl Restart {
    fn at(self) -> Instant {
        match self {
            Restart::BeforeReturn => DOWN_AT + Duration::from_secs(5),
            Restart::AfterReturn => RETURN_AT + Duration::from_secs(1),
        }
    }
}

/// An ingress of a fleet whose discovery is down.
struct Ingress {
    watch: Watch,
    is_killed: bool,
    has_restarted: bool,
    answered_at: Option<Instant>,
    last_poll_at: Instant,
}

impl Ingress {
    /// Returns the time from which an ingress could reach discovery. A killed ingress restarts at
    /// `restart_at`.
    fn reachable_since(is_killed: bool, restart_at: Instant) -> Instant {
        if is_killed {
            RETURN_AT.max(restart_at)
        } else {
            RETURN_AT
        }
    }
}

/// A fleet whose discovery is down for 8 s, during which all polls are rejected at once.
struct Fleet {
    ingress_count: u64,
    seed: u64,
    restart_at: Instant,
    discovery: SharedDiscovery,
    ingresses: Vec<Ingress>,
    /// Times of the next polls, with the ingresses' numbers.
    due: std::collections::BTreeSet<(Instant, usize)>,
    outage: Outage,
}

impl Fleet {
    /// Creates a fleet in which `killed` of ten ingresses are killed and restarted.
    fn new(ingress_count: u64, polls_per_second: u64, killed: u64, restart: Restart, seed: u64) -> Fleet {
        let service_time = Duration::from_secs(1) / polls_per_second;
        let discovery = SharedDiscovery { service_time, free_at: Instant::ZERO };
        let outage = Outage { longest_gap: Duration::ZERO, p95: Duration::ZERO, polls: 0 };
        let (ingresses, due, restart_at) = (Vec::new(), std::collections::BTreeSet::new(), restart.at());
        let mut fleet = Fleet { ingress_count, seed, restart_at, discovery, ingresses, due, outage };
        for number in 0..ingress_count {
            // The pending poll fails when discovery goes down.
            let mut watch = fleet.watch(number, DOWN_AT);
            watch.fail(DOWN_AT, &PollError::ConnectionEnded);
            fleet.due.insert((watch.next_timer_at, number as usize));
            let is_killed = number % 10 < killed;
            let (has_restarted, answered_at, last_poll_at) = (false, None, Instant::ZERO);
            fleet.ingresses.push(Ingress { watch, is_killed, has_restarted, answered_at, last_poll_at });
        }
        fleet
    }

    fn watch(&self, number: u64, now: Instant) -> Watch {
        let options = WatchOptions {
            max_body_bytes: MAX_BODY_BYTES,
            timings: PollTimings::shared_service(MAX_POLL_INTERVAL, self.ingress_count),
            seed: self.seed * 100_000 + number,
            now,
        };
        Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 0, Token(0), options)
    }

    /// Runs until all ingresses have a response.
    fn run(mut self) -> Outage {
        while let Some((now, number)) = self.due.pop_first() {
            let ingress = &self.ingresses[number];
            if now >= self.restart_at && ingress.is_killed && !ingress.has_restarted {
                self.restart(number);
            } else if ingress.answered_at.is_none() {
                self.poll(number, now);
            } // otherwise the watch waits for changes again
        }
        let answered_after = |ingress: &Ingress| {
            let since = Ingress::reachable_since(ingress.is_killed, self.restart_at);
            ingress.answered_at.expect("every ingress gets a response").duration_since(since)
        };
        let mut times: Vec<Duration> = self.ingresses.iter().map(answered_after).collect();
        times.sort_unstable();
        Outage { p95: times[times.len() * 19 / 20 - 1], ..self.outage }
    }

    fn restart(&mut self, number: usize) {
        let watch = self.watch(number as u64 + self.ingress_count, self.restart_at);
        self.due.insert((watch.next_timer_at, number));
        let (is_killed, has_restarted) = (true, true);
        let (answered_at, last_poll_at) = (None, Instant::ZERO);
        self.ingresses[number] = Ingress { watch, is_killed, has_restarted, answered_at, last_poll_at };
    }

    fn poll(&mut self, number: usize, now: Instant) {
        let ingress = &mut self.ingresses[number];
        let since = Ingress::reachable_since(ingress.has_restarted, self.restart_at);
        let gap = now.duration_since(since.max(ingress.last_poll_at));
        self.outage.longest_gap = self.outage.longest_gap.max(gap);
        ingress.last_poll_at = now;
        let end = if now < RETURN_AT {
            PollEnd { at: now, is_answered: false }
        } else {
            self.outage.polls += 1;
            self.discovery.poll(now)
        };
        ingress.watch.pending = Some(pending_poll(now));
        if end.is_answered {
            ingress.answered_at = Some(end.at);
            // Killed ingresses poll again when they restart.
            let next = if ingress.has_restarted { Instant::FAR_FUTURE } else { end.at.max(self.restart_at) };
            self.due.insert((next, number));
        } else {
            ingress.watch.fail(end.at, &rejected());
            self.due.insert((ingress.watch.next_timer_at, number));
        }
    }
}

/// Discovery is down for 8 s, and part of the fleet restarts meanwhile. Retry delays of up to 12 s, or first
/// polls up to 58 s after a start with 2,900 ingresses, are too slow, since a change counts as delivered
/// after 6 s. Polls that are too frequent are harmful as well: a hundred ingresses that poll about once a
/// second keep the queue of a discovery that serves 20 polls per second full, and no poll is answered. Each
/// ingress has to poll in time, with few polls unanswered.
#[test]
fn a_recovered_discovery_is_polled_within_five_seconds_without_overload() {
    for (ingresses, polls_per_second) in [(100, 22), (300, 66), (2900, 640)] {
        let restarts =
            [Restart::BeforeReturn, Restart::AfterReturn, Restart::BeforeReturn, Restart::AfterReturn];
        for (seed, restart) in (1..).zip(restarts) {
            let outage = Fleet::new(ingresses, polls_per_second, 7, restart, seed).run();
            let count = ingresses as usize;
            assert!(outage.longest_gap <= MAX_RETRY_GAP, "{ingresses}: {outage:?}");
            assert!(
                outage.p95 <= Duration::from_secs(6),
                "95 % get a response in time, {ingresses}: {outage:?}"
            );
            // One poll per ingress and another after a restart that follows the return, plus a few
            // unanswered.
            let needed = match restart {
                Restart::BeforeReturn => count,
                Restart::AfterReturn => count + count * 7 / 10,
            };
            assert!(outage.polls <= needed * 6 / 5, "{ingresses}: {outage:?}");
        }
    }
}

/// Discovery is cut off from the network, so a connection to it is never established. With the long timeout
/// of a poll that waits for changes, the ingress would receive changes only long after the network recovers.
#[test]
fn a_poll_without_an_established_connection_is_retried_within_five_seconds() {
    let poll = mio::Poll::new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let unread = listener.local_addr().unwrap();
    for seed in 0..20 {
        let options = WatchOptions {
            max_body_bytes: MAX_BODY_BYTES,
            timings: PollTimings::shared_service(MAX_POLL_INTERVAL, 300),
            seed,
            now: START,
        };
        let mut watch = Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 41, Token(0), options);
        let mut started_at = watch.next_timer_at;
        for _ in 0..5 {
            // The poll is pending with its request unwritten.
            watch.pending = Some(pending_poll(started_at));
            let mut connection = DiscoveryConnection::open(unread, poll.registry(), Token(0)).unwrap();
            connection.set_request(b"GET".to_vec());
            watch.connection = Some(connection);
            watch.response_due_at = started_at + Duration::from_secs(30);
            watch.next_timer_at =
                watch.response_due_at.min(started_at + watch.schedule.timings.response_timeout);
            assert!(watch.next_timer_at <= started_at + Duration::from_secs(3));
            watch.fail(watch.next_timer_at, &PollError::TimedOut);
            let gap = watch.next_timer_at.duration_since(started_at);
            assert!(gap <= MAX_RETRY_GAP, "{} us", gap.as_micros());
            started_at = watch.next_timer_at;
        }
    }
}

/// Kind of failure of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollFailure {
    Refused,
    EndedWithoutResponse,
    Rejected,
    NotAList,
    NeverComplete,
}

impl PollFailure {
    const ALL: [PollFailure; 5] = [
        PollFailure::Refused,
        PollFailure::EndedWithoutResponse,
        PollFailure::Rejected,
        PollFailure::NotAList,
        PollFailure::NeverComplete,
    ];

    /// Returns the bytes that discovery sends, or `None` if it refuses the connection.
    fn response(self) -> Option<&'static [u8]> {
        match self {
            PollFailure::Refused => None,
            PollFailure::EndedWithoutResponse => Some(b""),
            PollFailure::Rejected => Some(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            PollFailure::NotAList => Some(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
            PollFailure::NeverComplete => Some(b"HTTP/1.1 200 OK\r\nContent-"),
        }
    }
}

/// Polls fail in all possible ways: refused, closed without a response, rejected, answered with an invalid
/// list, or never answered completely. If one kind of failure delayed the next poll by more than 5 s, the
/// ingress would use an outdated list for too long after such an outage.
#[test]
fn the_next_poll_starts_within_five_seconds_of_any_kind_of_failure() {
    for failure in PollFailure::ALL {
        let response = failure.response();
        let mut harness = Harness::new(PollTimings::shared_service(MAX_POLL_INTERVAL, 2900));
        if failure == PollFailure::Refused {
            harness.listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            // Connections to the first listener are refused from now on.
        }
        let mut last = harness.now;
        for round in 0..12 {
            let mut peer = response.map(|_| harness.accept());
            if let (Some(peer), Some(text)) = (&mut peer, response) {
                harness.read_poll(peer);
                peer.write_all(text).unwrap();
            }
            if failure == PollFailure::EndedWithoutResponse {
                drop(peer.take());
            }
            // Runs until the poll has failed by its response or by its timeout.
            for _ in 0..1_000_000 {
                if harness.watch.connection.is_none() {
                    break;
                }
                if failure == PollFailure::NeverComplete {
                    harness.now = harness.now.max(harness.watch.next_timer_at);
                    harness.watch.on_timer(harness.now, harness.poll.registry());
                    break;
                }
                harness.run_ready();
            }
            if harness.watch.pending.is_none() {
                harness.run_timer();
            }
            // The limit does not apply to a poll that waits for changes: changes missed by it have another
            // deadline.
            let was_watch = failure == PollFailure::NeverComplete && round == 0;
            let gap = harness.now.duration_since(last);
            assert!(was_watch || gap <= MAX_RETRY_GAP, "{failure:?}: {} us", gap.as_micros());
            last = harness.now;
        }
    }
}

/// Discovery responds before it has received the whole request. If the next request were written after the
/// partial one, discovery could not parse it and the watch would wait until its timeout, so the next poll
/// uses a new connection.
#[test]
fn a_connection_with_a_partly_written_request_is_not_reused() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let mut stream = harness.accept();
    harness.read_poll(&mut stream);
    // More than the socket accepts while its peer does not read.
    let connection = harness.watch.connection.as_mut().unwrap();
    connection.set_request(vec![b'x'; 64 << 20]);
    harness.run_ready();
    assert!(!harness.watch.connection.as_ref().unwrap().is_request_sent());
    harness.respond(&mut stream, 42);
    assert!(harness.watch.connection.is_none(), "the next poll uses a new connection");
}

/// The configuration is reloaded several times a second with the same address of discovery, which responds
/// slowly. If each reload cancelled the pending poll, no list would arrive until the reloads end; a pending
/// request for a snapshot has to be kept.
#[test]
fn a_reload_with_the_same_address_keeps_the_pending_snapshot_request() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let mut watched = harness.accept();
    harness.read_poll(&mut watched);
    let address = harness.listener.local_addr().unwrap();
    harness.watch.set_address(address, harness.now);
    harness.run_timer();
    let mut snapshot = harness.accept();
    assert_eq!(harness.read_poll(&mut snapshot), Duration::ZERO, "the first poll requests a snapshot");
    for _ in 0..3 {
        harness.now += Duration::from_millis(100);
        harness.watch.set_address(address, harness.now);
        harness.run_ready();
    }
    harness.respond(&mut snapshot, 43);
    assert_eq!(harness.lists, [43]);
}

/// Discovery ends, and another process of it comes up at the same address and counts its versions from the
/// start. Changes since its version would leave out what it had before, so that requests would go to backends
/// that are gone. The whole list is requested at once, and then changes again.
#[test]
fn a_lower_version_is_followed_by_a_request_for_the_whole_list() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let mut stream = harness.accept();
    assert!(harness.read_poll(&mut stream) > Duration::ZERO);
    harness.respond(&mut stream, 42);
    harness.run_timer();
    assert!(harness.read_poll(&mut stream) > Duration::ZERO, "changes since a higher version");
    harness.respond(&mut stream, 3);
    assert!(harness.watch.pending.is_some(), "the next poll is not delayed");
    assert_eq!(harness.read_poll(&mut stream), Duration::ZERO, "the whole list, without a delay");
    harness.respond(&mut stream, 3);
    harness.run_timer();
    assert!(harness.read_poll(&mut stream) > Duration::ZERO, "changes since the lower version");
}
