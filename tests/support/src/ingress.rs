//! The ingress as a process, and its configuration.

mod process;
mod setup;

pub use process::IngressProcess;
pub use setup::IngressSetup;

use std::path::PathBuf;

/// The program as it was built for the tests: cargo puts it one folder above the tests themselves.
///
/// # Panics
///
/// If the program was not built.
pub fn program_file() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let program = test.ancestors().nth(2).unwrap().join("ingress");
    assert!(program.exists(), "{} is built with the tests", program.display());
    program
}

/// The shell command for the program as it was built for the tests.
pub fn built_program() -> String {
    format!("exec '{}'", program_file().display())
}
