//! Tests of [`super`].

use super::*;

fn sites() -> Sites {
    Sites { zones: vec!["a".into(), "b".into()], kinds: vec!["m1".into(), "m2".into()] }
}

const LIST: &str = r#"{"index":43,"snapshot":false,"endpoints":[
    {"name":"s-1","address":"127.0.0.9:6379","zone":"b","type":"m2","group":3,"status":"draining",
     "weight":1.5,"since_ms":7},
    {"name":"s-2","zone":"a","type":"m1","group":3,"status":"removed","weight":1.0,"since_ms":0}]}"#;

#[test]
fn answers_are_read_in_all_three_framings_and_never_before_their_end() {
    let chunked = format!("{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n", 9, &LIST[..9], LIST.len() - 9, &LIST[9..]);
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    let chunked = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunked}");
    for (text, ended) in [(length, false), (chunked, false), (format!("HTTP/1.0 200 OK\r\n\r\n{LIST}"), true)]
    {
        let Answer::Whole(roster, goes_on) = read_answer(text.as_bytes(), ended, &sites()) else {
            panic!("not read: {text}")
        };
        assert_eq!((roster.index, roster.whole, goes_on), (43, false, !ended));
        let [one, two] = &roster.entries[..] else { panic!("not two entries") };
        assert_eq!((one.listed.zone, one.listed.kind, one.listed.cell), (1, 1, 3));
        assert_eq!((one.listed.started, one.listed.availability), (7000, Availability::Draining));
        assert_eq!((two.address, two.listed.availability), (None, Availability::Gone));
        for cut in 0..text.len() - 1 {
            let part = read_answer(&text.as_bytes()[..cut], false, &sites());
            assert!(matches!(part, Answer::Partial), "cut at {cut}: {text}");
        }
    }
}

/// Guards against a hundred ingresses that call a shared discovery in unison: it served forty of their calls in
/// two seconds, and at pauses of a second at most the rest kept its line full for the whole of the day.
#[test]
fn a_hundred_watches_neither_start_nor_come_again_in_unison() {
    let now: Micros = 1_000_000_000;
    let watch = |seed| {
        let way = Way { pace: Pace::shared(10_000_000, 100), seed, now };
        Watch::new(([127, 0, 0, 1], 1).into(), sites(), 0, Token(0), way)
    };
    let mut watches: Vec<Watch> = (0..100).map(watch).collect();
    let most_at_once = |watches: &[Watch]| {
        let mut times: Vec<Micros> = watches.iter().map(|w| w.wake_at).collect();
        times.sort_unstable();
        (0..100).map(|i| times[i..].iter().take_while(|t| **t < times[i] + 100_000).count()).max()
    };
    assert!(most_at_once(&watches) <= Some(20), "first calls in a tenth of a second");
    for w in &mut watches {
        w.fail(now, "turned away");
    }
    assert!(most_at_once(&watches) <= Some(25), "second calls in a tenth of a second");
    // All fail after two seconds in the line, for half a minute.
    let mut late = 0;
    for w in &mut watches {
        while w.wake_at < now + 30_000_000 {
            let called = w.wake_at;
            late += usize::from(called >= now + 10_000_000);
            w.fail(called + 2_000_000, "waited too long");
        }
    }
    assert!((100..=260).contains(&late), "{late} calls in 20 s: some 20 a second would keep the line full");
    let agent = Way { pace: Pace::AGENT, seed: 7, now };
    let agent = Watch::new(([127, 0, 0, 1], 1).into(), sites(), 0, Token(0), agent);
    assert_eq!(agent.wake_at, now, "an agent of one's own is asked at once");
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
    fn new(pace: Pace) -> Talk {
        let (listener, now) = (std::net::TcpListener::bind("127.0.0.1:0").unwrap(), 1_000_000_000);
        let way = Way { pace, seed: 7, now };
        let watch = Watch::new(listener.local_addr().unwrap(), sites(), 41, Token(0), way);
        let mut talk = Talk { watch, poll: mio::Poll::new().unwrap(), listener, now, lists: Vec::new() };
        talk.wake();
        talk
    }

    /// Lets time pass until the watch has something to do, and has it do that.
    fn wake(&mut self) {
        self.now = self.now.max(self.watch.wake_at);
        self.watch.wake(self.now, self.poll.registry());
    }

    fn ready(&mut self) {
        let lists = &mut self.lists;
        self.watch.ready(self.now, self.poll.registry(), &mut |list| lists.push(list.index));
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
    for pace in [Pace::AGENT, Pace::shared(10_000_000, 6), Pace::shared(500_000, 300)] {
        let mut talk = Talk::new(pace);
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
    let mut talk = Talk::new(Pace::AGENT);
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
    let mut talk = Talk::new(Pace::AGENT);
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
    let mut talk = Talk::new(Pace::AGENT);
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

#[test]
fn what_is_no_list_is_told_apart_from_what_is_not_whole() {
    for bad in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "SSH-2.0\r\n",
    ] {
        assert!(matches!(read_answer(bad.as_bytes(), false, &sites()), Answer::Bad(_)), "{bad}");
    }
}
