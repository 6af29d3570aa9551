//! Where the built programs are.

use std::path::PathBuf;
use std::process::Command;

use crate::cell::Programs;

/// Builds the daemon and the stand-ins in the profile of the running example, and tells where they are.
///
/// # Errors
/// The build fails, or the running program is in no target folder.
pub fn build_programs() -> std::io::Result<Programs> {
    let example = std::env::current_exe()?;
    let examples = example.parent().ok_or_else(|| std::io::Error::other("no folder of examples"))?;
    let profile = examples.parent().ok_or_else(|| std::io::Error::other("no target folder"))?;
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--bins", "--example", "standin"]);
    if profile.ends_with("release") {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err(std::io::Error::other("the programs could not be built"));
    }
    Ok(Programs { daemon: profile.join("cassiahoist"), stand_in: examples.join("standin") })
}

/// Gives a fresh folder for the files of a run.
#[must_use]
pub fn run_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("cassiahoist-{name}-{}", std::process::id()))
}
