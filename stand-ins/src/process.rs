//! How an ingress is started as a process.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// The environment variables that override parts of a configuration.
const OVERRIDE_VARIABLES: [&str; 2] = ["LB_LISTEN", "LB_DISCOVERY"];

/// The configuration file of an ingress. It is removed when the handle is dropped.
#[derive(Debug)]
pub struct ConfigFile {
    /// Where it is.
    path: PathBuf,
}

impl ConfigFile {
    /// Writes a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn create(path: &Path, text: &str) -> std::io::Result<ConfigFile> {
        std::fs::write(path, text)?;
        Ok(ConfigFile { path: path.to_path_buf() })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces its text in one step: an ingress that reads it meanwhile gets all of the old text or all of
    /// the new one.
    ///
    /// # Errors
    ///
    /// If the new text cannot be written.
    pub fn replace(&self, text: &str) -> std::io::Result<()> {
        let new = self.path.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(&new, &self.path)
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Has a command start its ingress with a configuration file, whatever the environment of this process says.
pub fn set_config_file(command: &mut Command, config_file: &Path) {
    command.env(CONFIG_VARIABLE, config_file);
    for variable in OVERRIDE_VARIABLES {
        command.env_remove(variable);
    }
}
