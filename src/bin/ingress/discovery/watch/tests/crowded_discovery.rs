//! Tests of a watch whose discovery lets polls wait in a queue before it evaluates them.

use super::*;
use std::net::TcpStream;

/// Time after discovery had a change by which the ingress must have it.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
const INITIAL_VERSION: u64 = 41;
/// Middle of a run of 200 s.
const HALF: Instant = Instant::from_micros(1_100_000_000);

fn all_timings() -> [PollTimings; 2] {
    [PollTimings::LOCAL_AGENT, PollTimings::shared_service(MAX_POLL_INTERVAL, 6)]
}

/// A crowded discovery answers a long poll, and the one that replaces it, after their response timeouts. Each
/// time the next poll has begun by then. If a late response were lost, so would be each one after it, and a
/// drained backend would receive requests for as long as discovery is crowded.
#[test]
fn a_response_that_arrives_after_the_next_poll_has_begun_is_applied() {
    for timings in all_timings() {
        let mut harness = Harness::new(timings);
        let mut long_poll = harness.accept();
        assert!(harness.read_poll(&mut long_poll) > Duration::ZERO);
        harness.run_timer(); // the long poll times out
        let mut second = harness.accept();
        assert_eq!(harness.read_poll(&mut second), Duration::ZERO);
        harness.respond(&mut long_poll, 42);
        assert_eq!(harness.lists, [42], "the long poll is answered late");
        harness.run_timer(); // the second poll times out
        harness.run_timer(); // the retry delay passes
        let mut third = harness.accept_poll();
        harness.respond(&mut second, 43);
        assert_eq!(harness.lists, [42, 43], "the second poll is answered late");
        harness.respond(&mut third, 43);
        harness.run_timer();
        assert!(harness.read_poll(&mut third) > Duration::ZERO, "the next poll waits for changes");
    }
}

/// Discovery answers each poll after its response timeout. If polls that do not wait for changes followed one
/// another, a crowded discovery would receive one every few seconds; once a response has arrived, the watch
/// waits for changes again.
#[test]
fn a_late_poll_is_followed_by_a_long_one_once_discovery_has_responded() {
    for timings in all_timings() {
        let mut harness = Harness::new(timings);
        let mut long_poll = harness.accept_poll();
        harness.run_timer(); // the long poll times out
        let _second = harness.accept_poll();
        harness.now += Duration::MICROSECOND;
        harness.respond(&mut long_poll, 42);
        harness.run_timer(); // the second poll times out
        assert!(harness.watch.pending.is_some(), "the next poll begins at once");
        let mut third = harness.accept();
        assert!(harness.read_poll(&mut third) > Duration::ZERO);
        harness.run_timer(); // the third poll times out
        let mut fourth = harness.accept();
        assert_eq!(harness.read_poll(&mut fourth), Duration::ZERO, "changes may have been missed");
    }
}

/// The configuration is reloaded with the same address while a long poll waits in the queue of discovery. If
/// it were given up, changes would be received only once the request for a snapshot has been through the
/// queue.
#[test]
fn a_reload_with_the_same_address_keeps_the_pending_poll() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let mut long_poll = harness.accept_poll();
    harness.watch.set_address(harness.listener.local_addr().unwrap(), harness.now);
    harness.run_timer();
    let mut snapshot = harness.accept();
    assert_eq!(harness.read_poll(&mut snapshot), Duration::ZERO);
    harness.respond(&mut long_poll, 42);
    harness.respond(&mut snapshot, 43);
    assert_eq!(harness.lists, [42, 43]);
}

/// A request for a snapshot is answered late, and the one after it never. The configuration is reloaded with
/// the same address. If the dead request counted as the one that the reload needs, a list would be received
/// only after the long poll that is pending, whose connection may be dead as well.
#[test]
fn a_reload_requests_a_snapshot_though_an_earlier_request_is_dead() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let address = harness.listener.local_addr().unwrap();
    let _long_poll = harness.accept_poll();
    harness.watch.set_address(address, harness.now);
    harness.run_timer();
    let mut late = harness.accept_poll();
    harness.run_timer(); // the request for a snapshot times out
    let _dead = harness.accept_poll();
    harness.now += Duration::MICROSECOND;
    harness.respond(&mut late, 42);
    assert_eq!(harness.lists, [42], "the snapshot is answered late");
    harness.run_timer(); // the dead request times out
    assert!(harness.watch.pending.is_some_and(|poll| poll.request.timeout() > Duration::ZERO));
    harness.watch.set_address(address, harness.now);
    harness.run_timer();
    assert_eq!(harness.watch.pending.map(|poll| poll.request), Some(PollRequest::Snapshot));
}

/// A late response has a lower version, which is that of another process of discovery, while a poll for
/// changes since the higher one is pending. The whole list is requested at once, not only after that poll.
#[test]
fn a_lower_version_in_a_late_response_is_followed_by_a_request_for_the_whole_list() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let mut late = harness.accept_poll();
    harness.run_timer(); // the poll times out
    let _pending = harness.accept_poll();
    harness.respond(&mut late, 3);
    harness.run_timer();
    assert_eq!(harness.watch.pending.map(|poll| poll.request), Some(PollRequest::Snapshot));
    let mut snapshot = harness.accept_poll();
    harness.respond(&mut snapshot, 3);
    assert_eq!(harness.watch.version.index, 3);
}

/// A connection to discovery comes up after the response timeout, when the next poll has begun on another one
/// that never comes up. The first poll is sent and answered.
#[test]
fn a_poll_whose_connection_comes_up_late_is_sent() {
    let mut harness = Harness::new(PollTimings::LOCAL_AGENT);
    let request = PollRequest::Changes { since: INITIAL_VERSION, timeout: Duration::from_secs(2) };
    drop(harness.accept());
    harness.watch.disconnect();
    let address = harness.listener.local_addr().unwrap();
    let mut late = DiscoveryConnection::open(address, harness.poll.registry(), Token(0)).unwrap();
    late.set_request(request.encode(address));
    harness.watch.connection = Some(late);
    harness.watch.pending = Some(PendingPoll { request, started_at: harness.now, index: INITIAL_VERSION });
    harness.watch.next_timer_at = harness.now + harness.watch.schedule.timings.response_timeout;
    harness.watch.address = "127.0.0.1:1".parse().unwrap(); // refuses connections
    harness.run_timer();
    let mut late = harness.accept();
    assert_eq!(harness.read_poll(&mut late), Duration::from_secs(2));
    harness.respond(&mut late, 42);
    assert_eq!(harness.lists, [42]);
}

/// Returns the time in the queue of the poll with this number, which starts at this time.
type QueueTime = fn(usize, Instant) -> Duration;

/// A poll that waits in the queue of discovery, or for a change.
struct QueuedPoll {
    stream: TcpStream,
    started_at: Instant,
    answered_at: Instant,
}

/// A discovery whose list changes at given times, and which evaluates each poll after a time in its queue.
struct CrowdedDiscovery {
    harness: Harness,
    changed_at: Vec<Instant>,
    queue_time: QueueTime,
    /// The first long poll that starts after this time is never answered.
    silent_from: Instant,
    /// Time at which changes that the silent poll missed count as delivered.
    missed_delivered_at: Instant,
    queued: Vec<QueuedPoll>,
    idle_stream: Option<TcpStream>,
    poll_count: usize,
    /// Times at which versions of the list were received.
    received: Vec<(Instant, u64)>,
}

impl CrowdedDiscovery {
    fn new(timings: PollTimings, queue_time: QueueTime) -> CrowdedDiscovery {
        let harness = Harness::new(timings);
        harness.listener.set_nonblocking(true).unwrap();
        let changed_at = [36, 41, 90, 98, 150, 151].map(|at| START + Duration::from_secs(at)).to_vec();
        let (queued, received) = (Vec::new(), Vec::new());
        CrowdedDiscovery {
            harness,
            changed_at,
            queue_time,
            silent_from: Instant::FAR_FUTURE,
            missed_delivered_at: Instant::ZERO,
            queued,
            idle_stream: None,
            poll_count: 0,
            received,
        }
    }

    fn version_at(&self, time: Instant) -> u64 {
        INITIAL_VERSION + self.changed_at.iter().filter(|at| **at <= time).count() as u64
    }

    /// Returns when a poll that leaves the queue at `evaluated_at` is answered.
    fn answered_at(&self, request: PollRequest, evaluated_at: Instant) -> Instant {
        if request.since().is_none_or(|since| self.version_at(evaluated_at) > since) {
            return evaluated_at;
        }
        let timeout_at = evaluated_at + request.timeout();
        self.changed_at
            .iter()
            .copied()
            .find(|at| *at > evaluated_at)
            .map_or(timeout_at, |at| at.min(timeout_at))
    }

    fn run_until(&mut self, end: Instant) {
        while self.harness.now < end {
            self.receive_poll();
            let next = self.queued.iter().map(|poll| poll.answered_at).enumerate().min_by_key(|(_, at)| *at);
            match next.filter(|(_, at)| *at <= self.harness.watch.next_timer_at) {
                Some((position, _)) => self.answer(position),
                None => self.harness.run_timer(),
            }
        }
    }

    /// Reads the latest poll, unless that has been done.
    fn receive_poll(&mut self) {
        let Some(PendingPoll { request, started_at, .. }) = self.harness.watch.pending else { return };
        if self.queued.iter().any(|poll| poll.started_at == started_at) {
            return;
        }
        let mut stream = loop {
            if let Ok((stream, _)) = self.harness.listener.accept() {
                stream.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
                break stream;
            }
            let is_reused = |stream: &TcpStream| stream.peek(&mut [0]).is_ok_and(|count| count > 0);
            if let Some(stream) = self.idle_stream.take_if(|stream| is_reused(stream)) {
                break stream;
            }
            self.harness.run_ready();
        };
        self.harness.read_poll(&mut stream);
        let evaluated_at = started_at + (self.queue_time)(self.poll_count, started_at);
        let mut answered_at = self.answered_at(request, evaluated_at);
        if request.timeout() > Duration::ZERO && started_at >= self.silent_from {
            answered_at = Instant::FAR_FUTURE;
            self.silent_from = Instant::FAR_FUTURE;
            let after_timeout = request.timeout() + Duration::from_secs(2);
            self.missed_delivered_at = started_at + after_timeout.max(DELIVERY_DEADLINE);
        }
        self.poll_count += 1;
        self.queued.push(QueuedPoll { stream, started_at, answered_at });
    }

    /// Answers a poll, unless the watch has given it up.
    fn answer(&mut self, position: usize) {
        let QueuedPoll { mut stream, started_at, answered_at } = self.queued.remove(position);
        self.harness.now = self.harness.now.max(answered_at);
        if self.harness.watch.awaits_response_since(started_at) {
            let version = self.version_at(answered_at);
            self.harness.respond(&mut stream, version);
            self.received.push((self.harness.now, version));
            self.idle_stream = Some(stream);
        }
    }

    /// Asserts that each change was received in time, with few polls.
    fn assert_delivered(&self, name: &str) {
        for changed_at in &self.changed_at {
            let version = self.version_at(*changed_at);
            let received = self.received.iter().find(|(_, received)| *received >= version);
            let delay = received.map(|(at, _)| at.duration_since(*changed_at));
            let deadline = DELIVERY_DEADLINE.max(self.missed_delivered_at.duration_since(*changed_at));
            assert!(delay.is_some_and(|delay| delay <= deadline), "{name}, version {version}: {delay:?}");
        }
        let interval = self.harness.watch.schedule.timings.response_timeout;
        let elapsed = self.harness.now.duration_since(START);
        let most = (elapsed.as_micros() / interval.as_micros()) as usize;
        assert!(self.poll_count <= most, "{name}: {} polls", self.poll_count);
    }
}

/// Discovery lets each poll wait for up to 6 s, always as long, more or less from poll to poll, from some
/// time on or until then. Each change is received within 6 s after discovery had it, and polls are no more
/// frequent than those of a discovery that does not respond.
#[test]
fn changes_are_received_in_time_from_a_crowded_discovery() {
    let queue_times: [(&str, QueueTime); 7] = [
        ("1 s", |_, _| Duration::from_secs(1)),
        ("3.5 s", |_, _| Duration::from_millis(3500)),
        ("5.9 s", |_, _| Duration::from_millis(5900)),
        ("growing and falling", |number, _| Duration::from_millis([200, 2500, 5900, 4000, 900][number % 5])),
        ("alternating", |number, _| Duration::from_millis([5900, 50][number % 2])),
        ("begins late", |_, at| if at > HALF { Duration::from_millis(5500) } else { Duration::ZERO }),
        ("ends", |_, at| if at > HALF { Duration::ZERO } else { Duration::from_millis(5500) }),
    ];
    for timings in all_timings() {
        for (name, queue_time) in queue_times {
            let mut discovery = CrowdedDiscovery::new(timings, queue_time);
            discovery.run_until(START + Duration::from_secs(200));
            discovery.assert_delivered(name);
        }
    }
}

/// Discovery is crowded, and the connection of a long poll dies without a sign. Its changes count as
/// delivered 2 s after its timeout. If the next poll began only then, it would still wait in the queue when
/// they do.
#[test]
fn a_silent_watch_of_a_crowded_discovery_is_replaced_in_time() {
    let queue_times: [(&str, QueueTime); 3] = [
        ("1 s", |_, _| Duration::from_secs(1)),
        ("3.5 s", |_, _| Duration::from_millis(3500)),
        ("4.5 s", |_, _| Duration::from_millis(4500)),
    ];
    for timings in all_timings() {
        for (name, queue_time) in queue_times {
            for silent_after in 0..10 {
                let mut discovery = CrowdedDiscovery::new(timings, queue_time);
                discovery.silent_from = START + Duration::from_secs(60 + 4 * silent_after);
                discovery.run_until(START + Duration::from_secs(200));
                assert!(discovery.missed_delivered_at > Instant::ZERO, "{name}: no long poll");
                discovery.assert_delivered(name);
            }
        }
    }
}
