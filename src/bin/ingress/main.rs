//! The ingress: connects one gateway with the sockets of clients, backends, discovery and peers.

mod backends;
mod clients;
mod command;
mod config;
mod discovery;
mod error_chain;
mod event_loop;
mod logging;
mod peers;
mod readiness;
mod reload;
mod resp;
mod socket_error;
mod start_retry;

use config::{environment_variable, Config, ConfigFileError};
use error_chain::ErrorChain;
use event_loop::{EventLoop, EventLoopError};
use reload::Reload;
use start_retry::StartRetry;
use std::process::ExitCode;
use thiserror::Error;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";

/// Why the ingress could not start or had to end.
#[derive(Debug, Error)]
enum IngressError {
    /// The environment variable is not set.
    #[error("{CONFIG_VARIABLE} is not set")]
    NoConfigFile,
    /// The configuration file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The event loop could not start or go on.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Starts the ingress and runs it to its end.
fn run() -> Result<(), IngressError> {
    let path = environment_variable(CONFIG_VARIABLE).ok_or(IngressError::NoConfigFile)?;
    // From here on no signal ends the process: the event loop handles those that arrive while it starts.
    let retry = StartRetry::new();
    let signals = event_loop::register_signals(retry)?;
    let text = retry.run(|| std::fs::read_to_string(&path));
    let config = Config::from_file(&path, text, environment_variable)?;
    EventLoop::start(config, Reload::new(path), signals, retry)?.run()?;
    Ok(())
}

fn main() -> ExitCode {
    // Dropped last, which writes the buffered lines.
    let _log = logging::start(environment_variable(logging::LEVEL_VARIABLE));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(target: logging::NO_TARGET, "{}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}
