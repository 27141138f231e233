//! When calls to discovery are made, and made again: exponential backoff with jitter, bounded by the rule that a change
//! counts as told a fixed time after discovery could be reached. No I/O and no clock; times are the caller's.

use crate::Micros;

/// The longest that discovery lets a call wait.
const MOST_WAIT: Micros = 60_000_000;
/// The part of one ingress in the time over which first calls are spread, and the most of that time: a process that
/// starts counts as told after 6 s like any other, and the answer takes its time.
const SPREAD_EACH: Micros = 20_000;
const MOST_SPREAD: Micros = 4_000_000;
/// The longest time from a call that failed to the next one, drawn between these: a change counts as told 6 s after
/// discovery had it and could be reached, which may be the moment behind the call, and the rest is for the answer.
const MOST_BETWEEN: (Micros, Micros) = (4_500_000, 5_000_000);

/// How calls are made, and when those that failed are made again. Times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// How long one call waits for news.
    pub wait: Micros,
    /// How long a connection may take to come up, and the answer to a call that does not wait, until the connection
    /// counts as dead.
    pub patience: Micros,
    /// The first pause behind a failure, and the longest; each is drawn between half of it and half as much again.
    pauses: (Micros, Micros),
    /// Over how long the first calls of ingresses that start, or lose their watches, at one moment are spread.
    spread: Micros,
}

impl Backoff {
    /// Calls to an agent that knows all already. They wait for a short time, since the silence of a call can only
    /// be told once this is over.
    /// What it has counts as told whether or not a call is open, so that no pause may last as long as a grace.
    pub const LOCAL_AGENT: Backoff =
        Backoff { wait: 2_000_000, patience: 1_000_000, pauses: (50_000, 100_000), spread: 0 };

    /// Calls to a service that all ingresses share, with a line in front of it. It works on calls too that have been
    /// given up, so a line that is full after a mass restart empties only if those turned away stay away: as long as
    /// the rule lets them. `must_ask` is the time of the settings within which discovery must be asked.
    pub fn shared_service(must_ask: Micros, ingresses: u64) -> Backoff {
        let wait = (2 * must_ask).clamp(Self::LOCAL_AGENT.wait, MOST_WAIT);
        let pauses = (1_000_000, 8_000_000);
        let spread = (ingresses * SPREAD_EACH).min(MOST_SPREAD);
        Backoff { wait, patience: 3_000_000, pauses, spread }
    }
}

/// The backoff's state at one ingress.
#[derive(Clone, Debug)]
pub struct Retry {
    /// How calls are made.
    pub backoff: Backoff,
    pause: Micros,
    random: fastrand::Rng,
    /// A call failed, and nothing good has come since.
    failing: bool,
}

impl Retry {
    /// A process that starts.
    pub fn new(backoff: Backoff, seed: u64) -> Retry {
        Retry { backoff, pause: backoff.pauses.0, random: fastrand::Rng::with_seed(seed), failing: false }
    }

    /// When the first call is made by a process that starts now.
    pub fn first(&mut self, now: Micros) -> Micros {
        now + self.random.u64(0..=self.backoff.spread)
    }

    /// How long the next call waits for news.
    pub fn wait(&mut self) -> Micros {
        self.jittered(self.backoff.wait).min(MOST_WAIT)
    }

    /// Notes that a call made at `called`, if one was out, has failed now, and whether it was `written`. Tells whether all
    /// had been well before, and when the next call is made.
    pub fn failed(&mut self, now: Micros, called: Option<Micros>, written: bool) -> (bool, Micros) {
        // A watch that was open heard of all until now; a call that failed before it was one was deaf from its beginning.
        let short = self.failing || !written || called.is_some_and(|t| now <= t + self.backoff.patience);
        let deaf_since = called.filter(|_| short).unwrap_or(now);
        let latest = deaf_since + self.random.u64(MOST_BETWEEN.0..=MOST_BETWEEN.1);
        let first = !std::mem::replace(&mut self.failing, true);
        let spread = if first { self.random.u64(0..=self.backoff.spread) } else { 0 };
        let next = (now + self.jittered(self.pause) + spread).min(latest).max(now);
        self.pause = (self.pause * 2).min(self.backoff.pauses.1);
        (first, next)
    }

    /// Notes a good answer; true if calls had failed before.
    pub fn answered(&mut self) -> bool {
        self.pause = self.backoff.pauses.0;
        std::mem::take(&mut self.failing)
    }

    /// Forgets how long failures were to be waited out.
    pub fn reset(&mut self) {
        self.pause = self.backoff.pauses.0;
    }

    /// A time drawn between half of one and half as much again: many ingresses start, fail and come to the end of
    /// their wait at one moment, and would come again, and fail again, at one moment.
    fn jittered(&mut self, middle: Micros) -> Micros {
        self.random.u64(middle / 2..=middle * 3 / 2)
    }
}
