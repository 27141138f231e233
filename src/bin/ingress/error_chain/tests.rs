//! Tests of [`super`].

use super::*;
use crate::config::{ConfigError, ConfigFileError};
use crate::event_loop::EventLoopError;
use ingress::SettingsReader;
use std::io;

/// An error wraps others, some of which have the same text as the error within. The log line shows each text once,
/// from the general to the cause; the operator needs the cause, and a repeated text only hides it.
#[test]
fn each_source_is_shown_once_behind_its_error() {
    let poll = EventLoopError::Poll(io::Error::other("no memory"));
    assert_eq!(ErrorChain(&poll).to_string(), "cannot poll: no memory");
    // Two errors whose text is that of the error within.
    let settings = SettingsReader::new([]).settings().unwrap_err();
    let file = ConfigFileError::Invalid { path: "a.json".into(), source: ConfigError::Settings(settings) };
    let error = crate::IngressError::Config(file);
    assert_eq!(ErrorChain(&error).to_string(), "a.json: setting grades.count is missing");
}
