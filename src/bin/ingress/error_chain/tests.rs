//! Tests of [`super`].

use super::*;
use crate::config::{ConfigError, ConfigFileError};
use crate::event_loop::EventLoopError;
use ingress::SettingsReader;
use std::io;

/// An error wraps others, some with the same text as their source. The log line shows each text once, from
/// the general to the cause: a repeated text would hide the cause.
#[test]
fn each_source_is_shown_once_after_its_error() {
    let poll = EventLoopError::Poll(io::Error::other("no memory"));
    assert_eq!(ErrorChain(&poll).to_string(), "cannot poll the sockets: no memory");
    // Two errors have the text of their source.
    let settings = SettingsReader::new([]).settings().unwrap_err();
    let file = ConfigFileError::Invalid { path: "a.json".into(), source: ConfigError::Settings(settings) };
    let error = crate::IngressError::Config(file);
    assert_eq!(ErrorChain(&error).to_string(), "a.json: setting grades.count is missing");
}
