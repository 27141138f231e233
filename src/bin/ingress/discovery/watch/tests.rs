//! Tests of [`super`].

use super::*;
use crate::discovery::tests::{location_names, MOST_BODY};

/// Within what a call that failed is to be followed by the next: 6 s, less what an answer takes.
const WITHIN: Micros = 5_000_000;

/// Guards against a hundred ingresses that call a shared discovery in unison: it served forty of their calls in
/// two seconds, and at pauses of a second at most the rest kept its line full for the whole of the day.
#[test]
fn a_hundred_watches_neither_start_nor_come_again_in_unison() {
    let now: Micros = 1_000_000_000;
    let watch = |seed| {
        let options = WatchOptions {
            max_body_bytes: MOST_BODY,
            backoff: Backoff::shared_service(10_000_000, 100),
            seed,
            now,
        };
        Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 0, Token(0), options)
    };
    let mut watches: Vec<Watch> = (0..100).map(watch).collect();
    let most_at_once = |watches: &[Watch]| {
        let mut times: Vec<Micros> = watches.iter().map(|w| w.next_timer_at).collect();
        times.sort_unstable();
        (0..100).map(|i| times[i..].iter().take_while(|t| **t < times[i] + 100_000).count()).max()
    };
    assert!(most_at_once(&watches) <= Some(20), "first calls in a tenth of a second");
    for w in &mut watches {
        w.fail(now, "turned away");
    }
    assert!(most_at_once(&watches) <= Some(25), "second calls in a tenth of a second");
    let options = WatchOptions { max_body_bytes: MOST_BODY, backoff: Backoff::LOCAL_AGENT, seed: 7, now };
    let agent = Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 0, Token(0), options);
    assert_eq!(agent.next_timer_at, now, "an agent of one's own is asked at once");
}

/// A watch and its discovery: a clock and a socket that the test drives.
struct Talk {
    watch: Watch,
    poll: mio::Poll,
    listener: std::net::TcpListener,
    now: Micros,
    lists: Vec<u64>,
}

impl Talk {
    fn new(backoff: Backoff) -> Talk {
        let (listener, now) = (std::net::TcpListener::bind("127.0.0.1:0").unwrap(), 1_000_000_000);
        let options = WatchOptions { max_body_bytes: MOST_BODY, backoff, seed: 7, now };
        let watch = Watch::new(listener.local_addr().unwrap(), location_names(), 41, Token(0), options);
        let mut talk = Talk { watch, poll: mio::Poll::new().unwrap(), listener, now, lists: Vec::new() };
        talk.wake();
        talk
    }

    /// Lets time pass until the watch has something to do, and has it do that.
    fn wake(&mut self) {
        self.now = self.now.max(self.watch.next_timer_at);
        self.watch.on_timer(self.now, self.poll.registry());
    }

    fn ready(&mut self) {
        let lists = &mut self.lists;
        self.watch.on_ready(self.now, self.poll.registry(), &mut |list| lists.push(list.index));
    }

    fn accept(&mut self) -> std::net::TcpStream {
        let stream = self.listener.accept().unwrap().0;
        stream.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
        stream
    }

    /// The next call on a connection, and how long it may wait.
    fn call(&mut self, stream: &mut std::net::TcpStream) -> Micros {
        let (mut head, mut byte) = (String::new(), [0]);
        for _ in 0..100_000 {
            if head.ends_with("\r\n\r\n") {
                let wait = head.split("timeout_ms=").nth(1).and_then(|t| t.split(' ').next());
                return wait.map_or(0, |t| t.parse::<Micros>().unwrap() * 1000);
            }
            match stream.read(&mut byte) {
                Ok(1) => head.push(char::from(byte[0])),
                _ => self.ready(),
            }
        }
        panic!("no call: {head:?}");
    }

    /// Answers a call with an empty list of a version, and sees to it that the watch has read that.
    fn answer(&mut self, stream: &mut std::net::TcpStream, index: u64, behind: &str) {
        let list = format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[]}}");
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}{behind}", list.len());
        stream.write_all(text.as_bytes()).unwrap();
        let before = self.lists.len();
        for _ in 0..1_000_000 {
            if self.lists.len() > before {
                return;
            }
            self.ready();
        }
        panic!("the answer was not taken");
    }
}

/// Guards against a silence that is noticed, or ended, later than what was missed counts as told: 2 s after the
/// wait of the call, for 6 s at least. It was noticed 3 s after the wait, and paused for after that.
#[test]
fn a_watch_that_falls_silent_is_open_again_before_what_it_missed_counts_as_told() {
    for backoff in
        [Backoff::LOCAL_AGENT, Backoff::shared_service(10_000_000, 6), Backoff::shared_service(500_000, 300)]
    {
        let mut talk = Talk::new(backoff);
        let mut silent = talk.accept();
        let wait = talk.call(&mut silent);
        let told = talk.now + (wait + 2_000_000).max(6_000_000);
        talk.wake(); // the silence is noticed
        let mut again = talk.accept();
        assert_eq!(talk.call(&mut again), 0, "what was missed is asked for, not waited for");
        assert!(talk.now + 1_000_000 <= told, "{} us are left", told.saturating_sub(talk.now));
        talk.answer(&mut again, 42, "");
        talk.wake();
        assert!(talk.call(&mut again) > 0, "from then on news are waited for");
    }
}

/// Guards against a new watch that is silent like the one before: it would be waited for as long as the first.
#[test]
fn a_second_silence_in_a_row_is_noticed_within_the_time_of_the_first() {
    let mut talk = Talk::new(Backoff::LOCAL_AGENT);
    let began = talk.now;
    for _ in 0..2 {
        let mut silent = talk.accept();
        talk.call(&mut silent);
        talk.wake();
        if talk.watch.called.is_none() {
            talk.wake(); // a pause
        }
    }
    let mut third = talk.accept();
    talk.call(&mut third);
    assert!(talk.now < began + 6_000_000 - 500_000, "after {} us", talk.now - began);
}

/// Guards against pauses as long as a grace between calls to an agent, whose news count as told meanwhile.
#[test]
fn an_agent_that_stays_away_is_tried_again_within_a_grace() {
    let mut talk = Talk::new(Backoff::LOCAL_AGENT);
    for _ in 0..20 {
        drop(talk.accept());
        let failed = talk.now;
        while talk.watch.stream.is_some() {
            talk.ready();
        }
        talk.wake();
        assert!(talk.now <= failed + 150_000, "a pause of {} us", talk.now - failed);
    }
}

/// Guards against bytes that came between two calls: they stayed, and began the answer on the next connection.
#[test]
fn what_comes_between_two_calls_is_no_part_of_the_next_answer() {
    let mut talk = Talk::new(Backoff::LOCAL_AGENT);
    let mut first = talk.accept();
    talk.call(&mut first);
    talk.answer(&mut first, 41, "");
    assert!(talk.watch.called.is_none(), "no news came at once: the next call comes a moment later");
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Le").unwrap();
    while talk.watch.stream.is_some() {
        talk.ready();
    }
    talk.wake();
    let mut second = talk.accept();
    talk.call(&mut second);
    talk.answer(&mut second, 43, "");
    assert_eq!(talk.lists, [41, 43]);
}

/// A discovery that all ingresses share, with a line in front of it: so many calls a second, each turned away that is
/// not begun after two seconds in the line, though it is worked on all the same.
struct Line {
    /// What a call takes, and when the last one in the line is through.
    takes: Micros,
    free_at: Micros,
}

impl Line {
    const PATIENCE: Micros = 2_000_000;

    /// When a call ends, and whether with an answer.
    fn call(&mut self, now: Micros) -> (Micros, bool) {
        let begins = self.free_at.max(now);
        self.free_at = begins + self.takes;
        if begins > now + Self::PATIENCE {
            return (now + Self::PATIENCE, false);
        }
        (self.free_at, true)
    }
}

/// What happened to a fleet while its discovery was down, and behind that.
#[derive(Debug)]
struct Outage {
    /// The longest that an ingress without an answer went without a call, once discovery could be reached.
    longest_gap: Micros,
    /// When nineteen in twenty had their answer, from the return on (those that started later: from their start on).
    most: Micros,
    /// The calls that reached it, from the return on.
    calls: usize,
}

/// A fleet whose discovery is down for 8 s: it turns all calls away at once. `killed` of ten ingresses start anew 5 s into
/// that or, with `late`, a second behind the return.
fn outage(ingresses: u64, capacity: u64, killed: u64, late: bool, seed: u64) -> Outage {
    const T: Micros = 1_000_000_000;
    const BACK: Micros = T + 8_000_000;
    let start = if late { BACK + 1_000_000 } else { T + 5_000_000 };
    let watch = |n: u64, now| {
        let options = WatchOptions {
            max_body_bytes: MOST_BODY,
            backoff: Backoff::shared_service(10_000_000, ingresses),
            seed: seed * 100_000 + n,
            now,
        };
        Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 0, Token(0), options)
    };
    let mut line = Line { takes: 1_000_000 / capacity, free_at: 0 };
    // Open watches, which all end as discovery goes down.
    let mut watches: Vec<Watch> = (0..ingresses).map(|n| watch(n, T)).collect();
    for w in &mut watches {
        w.fail(T, "the watch ended");
    }
    let is_killed = |n: usize| (n as u64) % 10 < killed;
    let mut due: std::collections::BTreeMap<(Micros, usize), ()> =
        watches.iter().enumerate().map(|(n, w)| ((w.next_timer_at, n), ())).collect();
    let mut restarted = vec![false; watches.len()];
    let mut had: Vec<Option<Micros>> = vec![None; watches.len()];
    let (mut last_call, mut longest_gap) = (vec![0; watches.len()], 0);
    let mut arrivals = Vec::new();
    while let Some(((now, n), ())) = due.pop_first() {
        if now >= start && is_killed(n) && !std::mem::replace(&mut restarted[n], true) {
            (watches[n], had[n], last_call[n]) = (watch(n as u64 + ingresses, start), None, 0);
            due.insert((watches[n].next_timer_at, n), ());
            continue;
        }
        if had[n].is_some() {
            continue; // the watch waits for news again
        }
        let w = &mut watches[n];
        let since = if restarted[n] { BACK.max(start) } else { BACK };
        longest_gap = longest_gap.max(now.saturating_sub(since.max(last_call[n])));
        last_call[n] = now;
        arrivals.push(now);
        let (ends, answered) = if now < BACK { (now, false) } else { line.call(now) };
        w.called = Some(now);
        if answered {
            had[n] = Some(ends);
            // Killed ones call again at their start.
            due.insert((if restarted[n] { Micros::MAX } else { ends.max(start) }, n), ());
        } else {
            w.fail(ends, "turned away");
            due.insert((w.next_timer_at, n), ());
        }
    }
    let since = |n: usize| if is_killed(n) { BACK.max(start) } else { BACK };
    let mut times: Vec<Micros> =
        had.iter().enumerate().map(|(n, t)| t.expect("all got an answer").saturating_sub(since(n))).collect();
    times.sort_unstable();
    let most = times[times.len() * 19 / 20 - 1];
    Outage { longest_gap, most, calls: arrivals.iter().filter(|t| **t >= BACK).count() }
}

/// Guards against an ingress that stays away from a discovery that is back: it was called again up to 12 s after a call
/// that failed, and at 2,900 ingresses first called 58 s after a start, where a change counts as told after 6 s. And
/// against the opposite: calls that keep the line full, so that nobody is answered (20 calls a second were served for a
/// hundred ingresses, and calls every second or so kept that line full for a whole day).
#[test]
fn a_discovery_that_is_back_is_called_within_five_seconds_and_not_overrun() {
    for (ingresses, capacity) in [(100, 22), (300, 66), (2900, 640)] {
        for (late, seed) in [(false, 1), (true, 2), (false, 3), (true, 4)] {
            let o = outage(ingresses, capacity, 7, late, seed);
            let n = ingresses as usize;
            assert!(o.longest_gap <= WITHIN, "{ingresses}: {o:?}");
            assert!(o.most <= 6_000_000, "nineteen in twenty have the list in time, {ingresses}: {o:?}");
            // Each once, those killed behind the return once more, and few in vain.
            let needed = if late { n + n * 7 / 10 } else { n };
            assert!(o.calls <= needed * 6 / 5, "{ingresses}: {o:?}");
        }
    }
}

/// Guards against a connection that does not come up, because discovery is cut off, and is waited for as long as news.
#[test]
fn a_call_without_a_connection_is_made_again_within_five_seconds() {
    for n in 0..20 {
        let options = WatchOptions {
            max_body_bytes: MOST_BODY,
            backoff: Backoff::shared_service(10_000_000, 300),
            seed: n,
            now: 1_000_000_000,
        };
        let mut watch = Watch::new(([127, 0, 0, 1], 1).into(), location_names(), 41, Token(0), options);
        let mut called = watch.next_timer_at;
        for _ in 0..5 {
            // The call is out, and nothing of it could be written.
            (watch.called, watch.out, watch.due) = (Some(called), b"GET".to_vec(), called + 30_000_000);
            watch.next_timer_at = watch.due.min(called + watch.schedule.backoff.response_timeout);
            assert!(watch.next_timer_at <= called + 3_000_000);
            watch.fail(watch.next_timer_at, "no answer in time");
            assert!(watch.next_timer_at <= called + WITHIN, "{} us", watch.next_timer_at - called);
            called = watch.next_timer_at;
        }
    }
}

/// Guards against a pause behind some kind of failure that is longer than the rest of the 6 s: refused, ended without an
/// answer, turned away, answered with no list, and never answered at all.
#[test]
fn however_calls_fail_the_next_one_comes_within_five_seconds() {
    let answers: [Option<&[u8]>; 5] = [
        None,
        Some(b""),
        Some(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        Some(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        Some(b"HTTP/1.1 200 OK\r\nContent-"),
    ];
    for (kind, answer) in answers.into_iter().enumerate() {
        let mut talk = Talk::new(Backoff::shared_service(10_000_000, 2900));
        if answer.is_none() {
            talk.listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            // the first one refuses from now on
        }
        let mut last = talk.now;
        for round in 0..12 {
            let mut peer = answer.map(|_| talk.accept());
            if let (Some(peer), Some(text)) = (&mut peer, answer) {
                talk.call(peer);
                peer.write_all(text).unwrap();
            }
            if kind == 1 {
                drop(peer.take());
            }
            // Until it has failed: by what came, or by its time.
            for _ in 0..1_000_000 {
                if talk.watch.stream.is_none() {
                    break;
                }
                if kind == 4 {
                    talk.now = talk.now.max(talk.watch.next_timer_at);
                    talk.watch.on_timer(talk.now, talk.poll.registry());
                    break;
                }
                talk.ready();
            }
            if talk.watch.called.is_none() {
                talk.wake();
            }
            // A call that waited longer than a failed one may was a watch: what it misses has a time of its own.
            let open = kind == 4 && round == 0;
            assert!(open || talk.now <= last + WITHIN, "kind {kind}: {} us", talk.now - last);
            last = talk.now;
        }
    }
}
