//! Tests of starting the program, with valid and invalid configurations.

use crate::support::address::unused_address;
use crate::support::backend::{reply_with_value, Backend};
use crate::support::client::encode_request;
use crate::support::ingress::{built_program, IngressProcess, IngressSetup};

/// The command in `deploy/balancer.toml`, which `.ci/run` passes in `INGRESS_RUN`, has to start an ingress
/// that serves a request and stops on SIGTERM. A mistake in it would otherwise be detected only at a
/// deployment.
#[test]
#[ignore = "requires the command in INGRESS_RUN"]
fn the_deploy_command_starts() {
    let command = std::env::var("INGRESS_RUN").expect("INGRESS_RUN contains the command");
    let backend = Backend::start(reply_with_value);
    let mut ingress = IngressSetup::with_backends(&[&backend]).start_with(&command);
    assert_eq!(ingress.client().round_trip(&encode_request("quote", "q1", 900)), "value of q1");
    ingress.stop();
}

/// An operator starts an ingress with a configuration in which one value is invalid or missing. The process
/// has to exit at once with a single log line that names the key to correct.
#[test]
fn an_invalid_configuration_is_reported_by_its_key() {
    let address = unused_address();
    let valid = IngressSetup::with_backends(&[]).config_json(address);
    for (from, to, key) in [
        ("\"quota_rate\":1.5", "\"quota_rate\":\"much\"", "contracts.0.quota_rate"),
        ("\"tick_us\":4000,", "", "tick_us"),
        ("\"seed\":\"8c", "\"seed\":\"x", "seed"),
        ("\"sockets\":1024", "\"sockets\":3", "limits.sockets"),
        ("\"memory_mb\":192", "\"memory_mb\":-1", "limits.memory_mb"),
        ("\"listen\":\"", "\"listen\":\"x", "listen"),
        ("\"known\":{\"index\":1,", "\"known\":{", "known"),
        ("\"peers\":false", "\"peers\":true", "peers"),
        ("{", "", "JSON"),
    ] {
        let mut ingress = IngressProcess::spawn(&valid.replacen(from, to, 1), address, &built_program());
        assert_eq!(ingress.wait_for_exit().code(), Some(1), "{key}");
        let log = ingress.log();
        assert!(log.contains(key) && log.lines().count() == 1, "{key}: {log}");
    }
}
