//! Tests of [`super`].

use super::*;
use crate::config::{ConfigError, ConfigFileError};
use crate::event_loop::EventLoopError;
use ingress::SettingsReader;
use std::io;

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
