//! The preloaded library that injects system call faults into an ingress.

use super::ingress::program_file;
use fault_plan::{FaultPlan, PLAN_VARIABLE};
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Returns the path of the library, which the first call builds.
fn library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let build = ["build", "--quiet", "--locked", "--package", "fault-shim"];
        let status = Command::new(env!("CARGO"))
            .args(build)
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .env_remove("LD_PRELOAD")
            .status();
        assert!(status.unwrap().success(), "cannot build fault-shim");
        let program = program_file();
        let target = program.ancestors().nth(2).unwrap();
        target.join("debug").join("libfault_shim.so")
    })
}

/// Returns shell commands that make the next program load the library and execute a plan.
pub fn export_commands(plan: &FaultPlan) -> String {
    let library = library().display();
    format!("export {PLAN_VARIABLE}='{}'; export LD_PRELOAD='{library}'; ", plan.to_json())
}
