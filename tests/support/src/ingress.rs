//! Ingress processes and their configuration.

mod process;
mod setup;

pub use process::IngressProcess;
pub use setup::IngressSetup;

use std::path::PathBuf;

/// Returns the path of the program built with the tests. Cargo places it one folder above the test
/// executables.
///
/// # Panics
///
/// Panics if the program was not built.
pub fn program_file() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let program = test.ancestors().nth(2).unwrap().join("ingress");
    assert!(program.exists(), "{} is not built", program.display());
    program
}

/// Returns the shell command that executes the program built with the tests.
pub fn built_program() -> String {
    format!("exec '{}'", program_file().display())
}
