//! The configuration file and environment of an ingress process.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Environment variables that override parts of the configuration.
const OVERRIDE_VARIABLES: [&str; 2] = ["LB_LISTEN", "LB_DISCOVERY"];

/// The configuration file of an ingress, which is removed when the handle is dropped.
#[derive(Debug)]
pub struct ConfigFile {
    path: PathBuf,
}

impl ConfigFile {
    /// Writes a configuration to a new file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn create(path: &Path, text: &str) -> std::io::Result<ConfigFile> {
        std::fs::write(path, text)?;
        Ok(ConfigFile { path: path.to_path_buf() })
    }

    /// Returns the location of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces the content atomically, so that an ingress reads either the old text or the new one.
    ///
    /// # Errors
    ///
    /// Returns an error if the new text cannot be written.
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

/// Sets the configuration file of an ingress command. Removes the variables inherited from this process that
/// would override it.
pub fn set_config_file(command: &mut Command, config_file: &Path) {
    command.env(CONFIG_VARIABLE, config_file);
    for variable in OVERRIDE_VARIABLES {
        command.env_remove(variable);
    }
}
