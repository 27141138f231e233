//! The ingress process: connects one gateway with the sockets of clients, backends, discovery and peers.

mod backends;
mod buffer;
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

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";

/// An error that prevents the start of the ingress or ends it.
#[derive(Debug, Error)]
enum IngressError {
    /// [`CONFIG_VARIABLE`] is not set.
    #[error("{CONFIG_VARIABLE} is not set")]
    NoConfigFile,
    /// The configuration file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The event loop failed, while starting or running.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Starts the ingress and runs it until it has shut down.
fn run() -> Result<(), IngressError> {
    let path = environment_variable(CONFIG_VARIABLE).ok_or(IngressError::NoConfigFile)?;
    // Registered first, so that a signal during startup does not kill the process: the event loop handles it
    // later.
    let retry = StartRetry::new();
    let signals = event_loop::register_signals(retry)?;
    let text = retry.run(|| std::fs::read_to_string(&path));
    let config = Config::from_file(&path, text, environment_variable)?;
    EventLoop::start(config, Reload::new(path), signals, retry)?.run()?;
    Ok(())
}

fn main() -> ExitCode {
    // Dropped last: dropping the guard writes the buffered lines.
    let _log = logging::start(environment_variable(logging::LEVEL_VARIABLE));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(target: logging::NO_TARGET, "{}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}
