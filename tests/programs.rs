//! Tests of both programs through their command lines.

use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use cassiahoist_standins::daemon_process::start_daemon;
use cassiahoist_standins::loopback::SharedPlatform;

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

/// Writes a file to the temporary folder and returns its path.
fn write_temporary_file(name: &str, text: &str) -> String {
    let file = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file.display().to_string()
}

const VALID_SETTINGS: &str = "daemon: {name: edge-1, failure_domain: obihiro}\n\
    listen: {callers: \"127.0.0.1:1\", readiness: \"127.0.0.1:2\", peers: \"127.0.0.1:3\", operators: \"127.0.0.1:4\"}\n\
    platform: {store: \"127.0.0.1:5\"}\n";

/// A key that is not a setting is rejected and named.
#[test]
fn daemon_check_flag_validates_settings() {
    let file = write_temporary_file("good", VALID_SETTINGS);
    let output = run(env!("CARGO_BIN_EXE_cassiahoist"), &["--check", &file]);
    assert!(output.status.success());
    let file = write_temporary_file("bad", &VALID_SETTINGS.replace("store", "shop"));
    let output = run(env!("CARGO_BIN_EXE_cassiahoist"), &["--check", &file]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("shop"));
}

/// No daemon listens at the address that `status` is given.
#[test]
fn hoistctl_checks_settings_and_names_unreachable_daemons() {
    let tool = env!("CARGO_BIN_EXE_hoistctl");
    let file = write_temporary_file("checked", VALID_SETTINGS);
    assert!(run(tool, &["check", &file]).status.success());
    assert_eq!(run(tool, &["check", "/nonexistent.yaml"]).status.code(), Some(2));
    let output = run(tool, &["status", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("127.0.0.1:1"));
    let help = run(tool, &["explain", "--help"]);
    assert!(String::from_utf8_lossy(&help.stdout).contains("Example: hoistctl explain"));
}

const DECLARATIONS: &str = "defaults: {packing: spread}\n\
    exceptions:\n\
    - {select: {host: i-0001}, set: {cordoned: true}, reason: Its fan is replaced on Friday.}\n";

/// `fan` is too short for a reason of an exception.
#[test]
fn hoistctl_rejects_declarations_without_a_proper_reason() {
    let tool = env!("CARGO_BIN_EXE_hoistctl");
    let good = write_temporary_file("fleet", DECLARATIONS);
    let output = run(tool, &["declarations", "check", &good]);
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "good: 1 defaults, 1 exceptions\n");
    let bad =
        write_temporary_file("fleet-bad", &DECLARATIONS.replace("Its fan is replaced on Friday.", "fan"));
    let output = run(tool, &["declarations", "check", &bad]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("exceptions[0].reason"));
}

/// Repeats a command until it exits with a code, for 20 s at most.
///
/// Returns the output of the last attempt.
fn run_until(tool: &str, arguments: &[&str], exit_code: i32) -> Output {
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let output = run(tool, arguments);
        if output.status.code() == Some(exit_code) || Instant::now() > deadline {
            return output;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Declarations are applied at one of two daemons.
///
/// The other one must then have them in force.
/// `diff` exits with 3 if the file differs from them and with 0 if it does not.
#[test]
fn applied_declarations_reach_other_daemons() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let (_platform, addresses) = runtime.block_on(SharedPlatform::start(2)).unwrap();
    let folder = std::env::temp_dir().join(format!("cassiahoist-declarations-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_cassiahoist"));
    let daemons: Vec<_> =
        (0..2).map(|number| start_daemon(program, &folder, number, &addresses).unwrap()).collect();
    let operators_addresses: Vec<String> =
        daemons.iter().map(|daemon| daemon.operators_address.to_string()).collect();
    let tool = env!("CARGO_BIN_EXE_hoistctl");
    let file = write_temporary_file("fleet-applied", DECLARATIONS);

    let output = run_until(tool, &["declarations", "diff", &operators_addresses[0], &file], 3);
    let expected_changes =
        "~ default packing: unset -> spread\n+ host i-0001: cordoned=true (Its fan is replaced on Friday.)\n";
    assert_eq!(String::from_utf8_lossy(&output.stdout), expected_changes);
    let output = run_until(tool, &["declarations", "apply", &operators_addresses[0], &file], 0);
    assert!(String::from_utf8_lossy(&output.stdout).contains("stored: {\"revision\":"), "{output:?}");
    let output = run_until(tool, &["declarations", "diff", &operators_addresses[1], &file], 0);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "no difference\n");
}

/// The log went to a duplicate of standard output, which is not where the platform collects it.
#[test]
fn daemon_logs_through_the_descriptor_of_standard_output() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let (_platform, addresses) = runtime.block_on(SharedPlatform::start(1)).unwrap();
    let folder = std::env::temp_dir().join(format!("cassiahoist-log-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let daemon = start_daemon(Path::new(env!("CARGO_BIN_EXE_cassiahoist")), &folder, 0, &addresses).unwrap();
    let log_file = folder.join("edge-0.log");
    let deadline = Instant::now() + Duration::from_secs(20);
    while !std::fs::read_to_string(&log_file).unwrap().contains('\n') {
        assert!(Instant::now() < deadline, "no line is logged");
        std::thread::sleep(Duration::from_millis(50));
    }
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", daemon.process_id())).unwrap();
    let open_for_log: Vec<_> = descriptors
        .map(|descriptor| descriptor.unwrap())
        .filter(|descriptor| std::fs::read_link(descriptor.path()).is_ok_and(|target| target == log_file))
        .map(|descriptor| descriptor.file_name())
        .collect();
    assert_eq!(open_for_log, ["1"]);
}
