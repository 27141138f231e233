//! Tests of [`super`].

use super::*;
use crate::discovery::tests::{location_names, MAX_BODY_BYTES};
use crate::discovery::HttpError;
use std::io::{Read, Write};

/// The longest time from a failed poll to the next one: 6 s, less what a response takes.
const MAX_RETRY_GAP: Duration = Duration::from_secs(5);
/// Within which discovery must be polled.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// When the tests begin.
const START: Instant = Instant::from_micros(1_000_000_000);

/// The failure of a poll that discovery rejects.
fn rejected() -> PollError {
    HttpError::Status(503).into()
}

/// A hundred ingresses share a discovery that serves forty polls in two seconds, and all of them start, or lose it,
/// at the same moment. When they polled together, with delays of a second at most, the polls that were not served
/// kept its queue full for the whole day; their first and their second polls have to be spread out. An agent on the
/// same host serves one ingress only and is polled at once.
#[test]
fn a_hundred_watches_neither_start_nor_retry_in_unison() {
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
    assert!(most_at_once(&watches) <= Some(20), "first polls in a tenth of a second");
    for watch in &mut watches {
        watch.fail(now, &rejected());
    }
    assert!(most_at_once(&watches) <= Some(25), "second polls in a tenth of a second");
    let options =
        WatchOptions { max_body_bytes: MAX_BODY_BYTES, timings: PollTimings::LOCAL_AGENT, seed: 7, now };
    let agent = Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 0, Token(0), options);
    assert_eq!(agent.next_timer_at, now, "an agent on the same host is polled at once");
}

/// A watch and its discovery, whose clock and socket the test drives.
struct WatchHarness {
    watch: Watch,
    poll: mio::Poll,
    listener: std::net::TcpListener,
    now: Instant,
    lists: Vec<u64>,
}

impl WatchHarness {
    fn new(timings: PollTimings) -> WatchHarness {
        let (listener, now) = (std::net::TcpListener::bind("127.0.0.1:0").unwrap(), START);
        let options = WatchOptions { max_body_bytes: MAX_BODY_BYTES, timings, seed: 7, now };
        let watch = Watch::new(listener.local_addr().unwrap(), location_names(), 41, Token(0), options);
        let mut harness =
            WatchHarness { watch, poll: mio::Poll::new().unwrap(), listener, now, lists: Vec::new() };
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

    /// Reads the next poll from a connection. Returns its timeout.
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
        panic!("no poll: {head:?}");
    }

    /// Responds to a poll with an empty list of a version, and waits until the watch has read that.
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

/// A watch gets no more responses, for example because a firewall dropped its connection. Changes that it misses
/// count as delivered 2 s after the poll's timeout, or 6 s after the poll if that is later; from then on a request
/// to a removed backend is a fault of the ingress. The silence was detected only after 3 s, and a delay followed; a
/// new poll has to be open before that time.
#[test]
fn a_watch_that_falls_silent_is_open_again_before_what_it_missed_counts_as_delivered() {
    for timings in [
        PollTimings::LOCAL_AGENT,
        PollTimings::shared_service(MAX_POLL_INTERVAL, 6),
        PollTimings::shared_service(Duration::from_millis(500), 300),
    ] {
        let mut harness = WatchHarness::new(timings);
        let mut silent = harness.accept();
        let timeout = harness.read_poll(&mut silent);
        let delivered_at = harness.now + (timeout + Duration::from_secs(2)).max(Duration::from_secs(6));
        harness.run_timer(); // the silence is detected
        let mut retried = harness.accept();
        assert_eq!(harness.read_poll(&mut retried), Duration::ZERO, "what was missed is asked for at once");
        let left = delivered_at.duration_since(harness.now);
        assert!(harness.now + Duration::from_secs(1) <= delivered_at, "{} us are left", left.as_micros());
        harness.respond(&mut retried, 42);
        harness.run_timer();
        assert!(harness.read_poll(&mut retried) > Duration::ZERO, "from then on the watch waits for changes");
    }
}

/// A watch falls silent, and so does the one that replaces it. If the second were waited for as long as the first,
/// the ingress would send requests by an outdated list for twice the time; a third poll has to begin within 6 s of
/// the first.
#[test]
fn a_second_silence_in_a_row_is_detected_within_the_time_of_the_first() {
    let mut harness = WatchHarness::new(PollTimings::LOCAL_AGENT);
    let started_at = harness.now;
    for _ in 0..2 {
        let mut silent = harness.accept();
        harness.read_poll(&mut silent);
        harness.run_timer();
        if harness.watch.poll_started_at.is_none() {
            harness.run_timer(); // the delay before the retry
        }
    }
    let mut third = harness.accept();
    harness.read_poll(&mut third);
    let elapsed = harness.now.duration_since(started_at);
    assert!(elapsed < Duration::from_millis(5500), "after {} us", elapsed.as_micros());
}

/// The agent on the same host closes each connection at once, again and again. What it knows counts as delivered to
/// the ingress, so the delay between two polls must not grow to a grace period: a backend that is drained meanwhile
/// would get requests for longer than it may.
#[test]
fn an_agent_that_stays_away_is_retried_within_a_grace_period() {
    let mut harness = WatchHarness::new(PollTimings::LOCAL_AGENT);
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

/// Discovery sends part of a response that nobody asked for, between two polls. Those bytes were kept and became
/// the beginning of the next response on a new connection, so that a good list could not be read; they have to be
/// dropped with their connection.
#[test]
fn what_comes_between_two_polls_is_no_part_of_the_next_response() {
    let mut harness = WatchHarness::new(PollTimings::LOCAL_AGENT);
    let mut first = harness.accept();
    harness.read_poll(&mut first);
    harness.respond(&mut first, 41);
    assert!(
        harness.watch.poll_started_at.is_none(),
        "an empty response came at once: the next poll comes a moment later"
    );
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

/// A discovery that all ingresses share, with a queue in front of it. It rejects each poll that has waited for two seconds,
/// but works on it all the same.
struct SharedDiscovery {
    /// How long it works on a poll.
    service_time: Duration,
    /// When the last poll in the queue is served.
    free_at: Instant,
}

/// How a poll of [`SharedDiscovery`] ended.
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

/// How a fleet fared while its discovery was down, and after that.
#[derive(Debug)]
struct Outage {
    /// The longest that an ingress without a response went without a poll, once discovery could be reached.
    longest_gap: Duration,
    /// The 95th percentile of the time to a response, from the return on, or from an ingress's start if that is later.
    p95: Duration,
    /// How many polls reached discovery, from the return on.
    polls: usize,
}

/// When ingresses that are killed during an outage start again.
#[derive(Clone, Copy)]
enum Restart {
    /// 3 s before discovery returns.
    BeforeReturn,
    /// A second after discovery has returned.
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
    /// The time from which an ingress could reach discovery. One that is killed restarts at `restart_at`.
    fn reachable_since(is_killed: bool, restart_at: Instant) -> Instant {
        if is_killed {
            RETURN_AT.max(restart_at)
        } else {
            RETURN_AT
        }
    }
}

/// A fleet whose discovery is down for 8 s, in which it rejects all polls at once.
struct Fleet {
    ingress_count: u64,
    seed: u64,
    restart_at: Instant,
    discovery: SharedDiscovery,
    ingresses: Vec<Ingress>,
    /// When an ingress polls next, by its number.
    due: std::collections::BTreeSet<(Instant, usize)>,
    outage: Outage,
}

impl Fleet {
    /// A fleet of which `killed` in ten ingresses are killed and start again.
    fn new(ingress_count: u64, polls_per_second: u64, killed: u64, restart: Restart, seed: u64) -> Fleet {
        let service_time = Duration::from_secs(1) / polls_per_second;
        let discovery = SharedDiscovery { service_time, free_at: Instant::ZERO };
        let outage = Outage { longest_gap: Duration::ZERO, p95: Duration::ZERO, polls: 0 };
        let (ingresses, due, restart_at) = (Vec::new(), std::collections::BTreeSet::new(), restart.at());
        let mut fleet = Fleet { ingress_count, seed, restart_at, discovery, ingresses, due, outage };
        for number in 0..ingress_count {
            // An open watch, which ends as discovery goes down.
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

    /// Runs until all have a response.
    fn run(mut self) -> Outage {
        while let Some((now, number)) = self.due.pop_first() {
            let ingress = &self.ingresses[number];
            if now >= self.restart_at && ingress.is_killed && !ingress.has_restarted {
                self.restart(number);
            } else if ingress.answered_at.is_none() {
                self.poll(number, now);
            } // else the watch waits for changes again
        }
        let answered_after = |ingress: &Ingress| {
            let since = Ingress::reachable_since(ingress.is_killed, self.restart_at);
            ingress.answered_at.expect("all got a response").duration_since(since)
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
        ingress.watch.poll_started_at = Some(now);
        if end.is_answered {
            ingress.answered_at = Some(end.at);
            // Killed ones poll again at their start.
            let next = if ingress.has_restarted { Instant::FAR_FUTURE } else { end.at.max(self.restart_at) };
            self.due.insert((next, number));
        } else {
            ingress.watch.fail(end.at, &rejected());
            self.due.insert((ingress.watch.next_timer_at, number));
        }
    }
}

/// Discovery is down for 8 s, and part of the fleet restarts meanwhile. Ingresses polled it again only up to 12 s
/// after a failure, at 2,900 ingresses up to 58 s after a start, where a change counts as delivered after 6 s. The
/// opposite is as bad: when a hundred ingresses polled a discovery that serves 20 polls a second every second or
/// so, its queue stayed full and nobody got an answer. Each ingress has to poll in time, and few polls may be in
/// vain.
#[test]
fn a_discovery_that_is_back_is_polled_within_five_seconds_and_not_overloaded() {
    for (ingresses, polls_per_second) in [(100, 22), (300, 66), (2900, 640)] {
        let restarts =
            [Restart::BeforeReturn, Restart::AfterReturn, Restart::BeforeReturn, Restart::AfterReturn];
        for (seed, restart) in (1..).zip(restarts) {
            let outage = Fleet::new(ingresses, polls_per_second, 7, restart, seed).run();
            let count = ingresses as usize;
            assert!(outage.longest_gap <= MAX_RETRY_GAP, "{ingresses}: {outage:?}");
            assert!(
                outage.p95 <= Duration::from_secs(6),
                "nineteen in twenty are in time, {ingresses}: {outage:?}"
            );
            // Each once, those killed after the return once more, and few in vain.
            let needed = match restart {
                Restart::BeforeReturn => count,
                Restart::AfterReturn => count + count * 7 / 10,
            };
            assert!(outage.polls <= needed * 6 / 5, "{ingresses}: {outage:?}");
        }
    }
}

/// Discovery is cut off from the network, so that a connection to it is never established. It was waited for as
/// long as for a change of the list; it has to be given up and tried again, so that the ingress hears of changes
/// soon after the network is back.
#[test]
fn a_poll_without_a_connection_is_retried_within_five_seconds() {
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
            // The poll is pending, and nothing of it could be written.
            watch.poll_started_at = Some(started_at);
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

/// How a poll fails.
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

    /// What discovery sends; none if it does not even accept the connection.
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

/// Polls fail in every possible way: refused, ended without a response, rejected, answered with something that is
/// no list, or never answered completely. After each the next poll has to come within 5 s; with one kind of failure
/// that takes longer, the ingress would send requests by an outdated list after an outage that others notice
/// sooner.
#[test]
fn however_polls_fail_the_next_one_comes_within_five_seconds() {
    for failure in PollFailure::ALL {
        let response = failure.response();
        let mut harness = WatchHarness::new(PollTimings::shared_service(MAX_POLL_INTERVAL, 2900));
        if failure == PollFailure::Refused {
            harness.listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            // the first one refuses from now on
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
            // Until it has failed: by what came, or by its time.
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
            if harness.watch.poll_started_at.is_none() {
                harness.run_timer();
            }
            // A poll that waited longer than a failed one may was a watch: what it misses has a time of its own.
            let was_watch = failure == PollFailure::NeverComplete && round == 0;
            let gap = harness.now.duration_since(last);
            assert!(was_watch || gap <= MAX_RETRY_GAP, "{failure:?}: {} us", gap.as_micros());
            last = harness.now;
        }
    }
}

/// Discovery responds before it has received the whole request. The next request was written behind the part of the
/// first one, discovery could not make sense of it, and the watch waited for a response that could not come; the
/// next poll needs a connection of its own.
#[test]
fn a_connection_with_a_request_half_written_is_not_used_again() {
    let mut harness = WatchHarness::new(PollTimings::LOCAL_AGENT);
    let mut stream = harness.accept();
    harness.read_poll(&mut stream);
    // More than the socket takes while nobody reads.
    let connection = harness.watch.connection.as_mut().unwrap();
    connection.set_request(vec![b'x'; 64 << 20]);
    harness.run_ready();
    assert!(!harness.watch.connection.as_ref().unwrap().is_request_sent());
    harness.respond(&mut stream, 42);
    assert!(harness.watch.connection.is_none(), "the next poll has a connection of its own");
}

/// The configuration is reloaded several times a second, always with the same discovery, which is slow to answer.
/// Each reload gave up the pending poll and began a new one, so that no list arrived for as long as the reloads
/// went on; a request for the whole list has to stay pending.
#[test]
fn a_configuration_with_the_same_address_keeps_the_snapshot_that_is_pending() {
    let mut harness = WatchHarness::new(PollTimings::LOCAL_AGENT);
    let mut watched = harness.accept();
    harness.read_poll(&mut watched);
    let address = harness.listener.local_addr().unwrap();
    harness.watch.set_address(address, harness.now);
    harness.run_timer();
    let mut snapshot = harness.accept();
    assert_eq!(harness.read_poll(&mut snapshot), Duration::ZERO, "the first one asks for the whole list");
    for _ in 0..3 {
        harness.now += Duration::from_millis(100);
        harness.watch.set_address(address, harness.now);
        harness.run_ready();
    }
    harness.respond(&mut snapshot, 43);
    assert_eq!(harness.lists, [43]);
}
