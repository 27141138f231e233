//! The watch: one poll after another, over one connection as long as it lasts.

use super::http::MOST_HEAD;
use super::poll::{read_answer, Answer};
use super::{EndpointList, LocationNames};
use ingress::backoff::{Backoff, FailedPoll, NextPoll, PollSchedule};
use ingress::Micros;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// How a watch begins: its backoff, the most bytes of an answer's body, the seed of its jitter, and the time.
pub struct WatchOptions {
    pub backoff: Backoff,
    pub max_body_bytes: usize,
    pub seed: u64,
    pub now: Micros,
}

/// How much longer than its wait a call may stay unanswered. What it missed counts as told 2 s after the wait is over:
/// by then the watch has to be open again, and to have answered.
const PAST_WAIT: Micros = 750_000;
/// The pause after an answer with no news that came at once: a watch goes on if called within 200 ms.
const NO_NEWS: Micros = 50_000;
/// An answer that came faster than this did not wait.
const AT_ONCE: Micros = 20_000;

/// The watch.
pub struct Watch {
    address: SocketAddr,
    location_names: LocationNames,
    token: Token,
    stream: Option<TcpStream>,
    /// The version of the list held; none asks for the whole list.
    index: Option<u64>,
    /// What is still to be written of a call, and when it was made; none while no call is out.
    out: Vec<u8>,
    called: Option<Micros>,
    /// When the call that is out counts as unanswered.
    due: Micros,
    buf: Vec<u8>,
    schedule: PollSchedule,
    max_body_bytes: usize,
    /// When [`Watch::on_timer`] has something to do.
    pub next_timer_at: Micros,
    /// The last call stayed unanswered: the next one does not wait for news, so that what was missed comes at once,
    /// and a second silence shows soon.
    unanswered: bool,
}

impl Watch {
    /// A watch for what is newer than the list held.
    pub fn new(
        address: SocketAddr,
        location_names: LocationNames,
        index: u64,
        token: Token,
        options: WatchOptions,
    ) -> Self {
        let WatchOptions { backoff, max_body_bytes, seed, now } = options;
        let mut schedule = PollSchedule::new(backoff, seed);
        let first = schedule.first_poll_at(now);
        Watch {
            address,
            location_names,
            token,
            stream: None,
            index: Some(index),
            out: Vec::new(),
            called: None,
            due: 0,
            buf: Vec::new(),
            schedule,
            max_body_bytes,
            next_timer_at: first,
            unanswered: false,
        }
    }

    /// Goes on at another address: it is asked for its whole list at once, whatever the old one still owed and
    /// however long a failure was to be waited out.
    pub fn set_address(&mut self, address: SocketAddr, now: Micros) {
        self.index = None;
        self.disconnect();
        self.schedule.reset();
        (self.address, self.next_timer_at) = (address, now);
    }

    /// Asks for the whole list with the next call.
    pub fn request_snapshot(&mut self) {
        self.index = None;
    }

    /// Closes the connection, with all that is under way on it: nothing of it belongs to the next one.
    fn disconnect(&mut self) {
        (self.stream, self.called) = (None, None);
        self.buf.clear();
        self.out.clear();
    }

    /// Gives the connection up; the next one comes after a pause. True if all had been well before.
    fn fail(&mut self, now: Micros, why: &str) -> bool {
        let request_sent = self.out.is_empty();
        let pending = self.called.map(|started_at| FailedPoll { started_at, request_sent });
        let NextPoll { at, is_first_failure } = self.schedule.on_failure(now, pending);
        self.disconnect();
        self.next_timer_at = at;
        if is_first_failure {
            crate::log(&format!("discovery: {why}; serving on with the list as it is"));
        }
        is_first_failure
    }

    /// Makes the next call, or notices that the last one stays unanswered; true if discovery just failed.
    pub fn on_timer(&mut self, now: Micros, registry: &Registry) -> bool {
        if now < self.next_timer_at {
            return false;
        }
        if self.called.is_some() {
            // A watch that fell silent is opened anew at once: the clock of what it missed runs. Silences hardly
            // come in unison, since waits are drawn; a call of the new watch that stays unanswered is paused for.
            let again = !std::mem::replace(&mut self.unanswered, true);
            let failed = self.fail(now, "no answer in time");
            if !again {
                return failed;
            }
            self.next_timer_at = now;
            self.on_timer(now, registry);
            return failed;
        }
        if self.stream.is_none() {
            let connected = TcpStream::connect(self.address).and_then(|mut stream| {
                registry.register(&mut stream, self.token, Interest::READABLE | Interest::WRITABLE)?;
                Ok(stream)
            });
            match connected {
                Ok(stream) => self.stream = Some(stream),
                Err(e) => return self.fail(now, &format!("cannot connect: {e}")),
            }
        }
        let waits = self.index.is_some() && !self.unanswered;
        let wait = if waits { self.schedule.next_poll_timeout() } else { 0 };
        let since = self.index.map_or(String::new(), |i| format!("?since={i}&timeout_ms={}", wait / 1000));
        self.out =
            format!("GET /v1/endpoints{since} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address).into_bytes();
        self.called = Some(now);
        self.due = now + if waits { wait + PAST_WAIT } else { self.schedule.backoff.response_timeout };
        // Without a connection it is no watch yet, however long it may wait: the system tries ever more seldom.
        self.next_timer_at = self.due.min(now + self.schedule.backoff.response_timeout);
        self.write(now)
    }

    fn write(&mut self, now: Micros) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        while !self.out.is_empty() {
            match stream.write(&self.out) {
                Ok(n) => {
                    self.out.drain(..n);
                    if self.out.is_empty() {
                        self.next_timer_at = self.due; // now it waits for the answer
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Not connected yet, or no room: the socket will show as writable.
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break
                }
                Err(e) => return self.fail(now, &format!("cannot ask: {e}")),
            }
        }
        false
    }

    /// Takes in what the socket has. Gives lists as they come; true if discovery just failed.
    pub fn on_ready(
        &mut self,
        now: Micros,
        registry: &Registry,
        take: &mut impl FnMut(EndpointList),
    ) -> bool {
        if self.write(now) {
            return true;
        }
        let mut chunk = [0; 16 * 1024];
        // An answer that ends with its connection can only be judged with the end known.
        let ended = loop {
            let Some(stream) = &mut self.stream else { return false };
            match stream.read(&mut chunk) {
                Ok(0) => break true,
                Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break false
                }
                Err(e) => return self.fail(now, &e.to_string()),
            }
            if self.buf.len() > MOST_HEAD + self.max_body_bytes {
                return self.fail(now, "an answer is too long");
            }
        };
        let Some(called) = self.called else {
            // Between two calls nothing is due but the end of the connection. What came all the same is nobody's
            // answer, and must not pass for that of the next call.
            if ended || !self.buf.is_empty() {
                self.disconnect();
                self.next_timer_at = now;
            }
            return false;
        };
        match read_answer(&self.buf, ended, &self.location_names, self.max_body_bytes) {
            Answer::Partial if ended => self.fail(now, "the connection ended"),
            Answer::Partial => false,
            Answer::Bad(why) => self.fail(now, &why),
            Answer::Whole(list, reusable) => {
                if self.schedule.on_success() {
                    crate::log("discovery: back");
                }
                (self.index, self.called) = (Some(list.index), None);
                self.unanswered = false;
                self.buf = Vec::new(); // a whole list may have been long
                if ended || !reusable {
                    self.stream = None;
                }
                // One that answers at once with nothing must not be asked without end.
                let idle = list.entries.is_empty() && now < called + AT_ONCE;
                self.next_timer_at = if idle { now + NO_NEWS } else { now };
                take(list);
                self.on_timer(now, registry)
            }
        }
    }
}

#[cfg(test)]
mod tests;
