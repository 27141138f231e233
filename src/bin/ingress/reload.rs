//! Reloads the configuration file on SIGHUP. Only the address of discovery takes effect; all other values are
//! fixed at startup.

use crate::config::{environment_variable, Config, ConfigFileError, DISCOVERY_VARIABLE};
use crate::error_chain::ErrorChain;
use ingress::{Duration, Instant};
use std::net::SocketAddr;

/// Delay before the first retry after a failure: the file may be only partly written.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between retries; the delay doubles with each failure.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The state of reloading the configuration.
pub struct Reload {
    /// Path of the configuration file.
    path: String,
    /// The delay that follows the next failure, or `None` if no reload is pending.
    retry_delay: Option<Duration>,
    next_attempt_at: Instant,
    /// Whether a failure of the pending reload was logged; further ones are not.
    failure_logged: bool,
}

/// The result of an attempt to reload.
pub enum ReloadOutcome {
    /// The file was read and contains this address of discovery.
    Applied(SocketAddr),
    /// The file cannot be used. The next attempt is due at this time.
    RetryAt(Instant),
    /// No reload is due, for example because the reload of a later signal succeeded.
    NotDue,
}

impl Reload {
    /// Creates the state without a pending reload.
    pub fn new(path: String) -> Self {
        Reload { path, retry_delay: None, next_attempt_at: Instant::ZERO, failure_logged: false }
    }

    /// Requests a reload, which is due immediately and retried until it succeeds.
    pub fn request(&mut self) {
        self.retry_delay = Some(INITIAL_RETRY_DELAY);
        self.next_attempt_at = Instant::ZERO;
        self.failure_logged = false;
    }

    /// Reads the file if a reload is due. The address of discovery in the file takes precedence over the
    /// environment variable.
    pub fn attempt(&mut self, now: Instant) -> ReloadOutcome {
        let Some(retry_delay) = self.retry_delay.filter(|_| now >= self.next_attempt_at) else {
            return ReloadOutcome::NotDue;
        };
        let variable = |name: &str| environment_variable(name).filter(|_| name != DISCOVERY_VARIABLE);
        match Config::read(&self.path, variable) {
            Ok(config) => {
                tracing::info!(target: "reload", discovery = %config.discovery_address, "configuration reloaded");
                self.retry_delay = None;
                ReloadOutcome::Applied(config.discovery_address)
            }
            Err(error) => {
                self.log_failure(retry_delay, &error);
                self.next_attempt_at = now + retry_delay;
                self.retry_delay = Some((retry_delay * 2).min(MAX_RETRY_DELAY));
                ReloadOutcome::RetryAt(self.next_attempt_at)
            }
        }
    }

    /// Logs a failure, unless one of the pending reload was already logged.
    fn log_failure(&mut self, retry_delay: Duration, error: &ConfigFileError) {
        if std::mem::replace(&mut self.failure_logged, true) {
            return;
        }
        let retry_in_ms = retry_delay.as_millis();
        tracing::info!(target: "reload", retry_in_ms, error = %ErrorChain(error), "configuration reload failed; current configuration kept");
    }
}
