//! How an ingress is started as a process.

use std::path::Path;
use std::process::Command;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// The environment variables that override parts of a configuration.
const OVERRIDE_VARIABLES: [&str; 2] = ["LB_LISTEN", "LB_DISCOVERY"];

/// Has a command start its ingress with a configuration file, whatever the environment of this process says.
pub fn set_config_file(command: &mut Command, config_file: &Path) {
    command.env(CONFIG_VARIABLE, config_file);
    for variable in OVERRIDE_VARIABLES {
        command.env_remove(variable);
    }
}
