//! Reading the configuration file again on SIGHUP, while serving. Only discovery's address takes effect: all else is
//! fixed from the start on.

use crate::config::{environment_variable, Config, DISCOVERY_VARIABLE};
use crate::error_chain::ErrorChain;
use ingress::{Duration, Instant};
use std::net::SocketAddr;

/// The delay before a file that could not be read is read again: it may be half written.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The delay doubles with each failure, up to this.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The file to read again, and when.
pub struct Reload {
    /// The configuration file.
    path: String,
    /// The delay after the next failure; none while no reload is pending.
    retry_delay: Option<Duration>,
    /// When the next attempt is due.
    next_attempt_at: Instant,
    /// Only the first failure of a reload is logged.
    failure_logged: bool,
}

/// What an attempt to reload came to.
pub enum ReloadOutcome {
    /// The file was read, and has this address of discovery.
    Applied(SocketAddr),
    /// The file could not be used; the next attempt is due at this time.
    RetryAt(Instant),
    /// Nothing is due, as when the reload of a later signal has succeeded meanwhile.
    NotDue,
}

impl Reload {
    /// No reload is pending yet.
    pub fn new(path: String) -> Self {
        Reload { path, retry_delay: None, next_attempt_at: Instant::ZERO, failure_logged: false }
    }

    /// Makes a reload due at once; it is tried until it succeeds.
    pub fn request(&mut self) {
        self.retry_delay = Some(INITIAL_RETRY_DELAY);
        self.next_attempt_at = Instant::ZERO;
        self.failure_logged = false;
    }

    /// Reads the file if that is due. Its address of discovery takes precedence over that of the environment.
    pub fn attempt(&mut self, now: Instant) -> ReloadOutcome {
        let Some(retry_delay) = self.retry_delay.filter(|_| now >= self.next_attempt_at) else {
            return ReloadOutcome::NotDue;
        };
        let variable = |name: &str| environment_variable(name).filter(|_| name != DISCOVERY_VARIABLE);
        match Config::read(&self.path, variable) {
            Ok(config) => {
                tracing::info!(target: "reload", discovery = %config.discovery_address, "configuration read");
                self.retry_delay = None;
                ReloadOutcome::Applied(config.discovery_address)
            }
            Err(error) => {
                if !std::mem::replace(&mut self.failure_logged, true) {
                    let (retry_in_ms, error) = (retry_delay.as_millis(), ErrorChain(&error));
                    tracing::info!(target: "reload", retry_in_ms, %error, "configuration kept");
                }
                self.next_attempt_at = now + retry_delay;
                self.retry_delay = Some((retry_delay * 2).min(MAX_RETRY_DELAY));
                ReloadOutcome::RetryAt(self.next_attempt_at)
            }
        }
    }
}
