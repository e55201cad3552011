//! Processes of one sidecar that follow each other on the clients' address and detect each other by
//! a file in the state directory.
#![allow(missing_docs)]

use cottonpoint::serve::PidFile;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Names the state directory to the process that plays the newer one.
const CHILD_STATE: &str = "SUCCESSION_TEST_STATE";

fn write_pid(dir: &std::path::Path, pid: u32) {
    std::fs::write(dir.join(PidFile::FILE_NAME), pid.to_string()).expect("a file");
}

/// Guards against taking an upgrade for a restart (the older process would accept connections for
/// 0.7 s more, and the newer one would poll discovery late), and a restart for an upgrade.
#[test]
fn older_and_newer_process_detect_each_other() {
    let dir = tempfile::tempdir().expect("a directory");
    let pid_file = PidFile::new(dir.path());
    assert!(!pid_file.is_another_running() && !pid_file.is_superseded(), "nothing announced");
    pid_file.announce().expect("announced");
    assert!(!pid_file.is_another_running() && !pid_file.is_superseded(), "only this process");
    // The first process of the system is alive; a number above the kernel's largest process ID is
    // not.
    write_pid(dir.path(), 1);
    assert!(pid_file.is_another_running() && pid_file.is_superseded());
    write_pid(dir.path(), 4_194_305);
    assert!(!pid_file.is_another_running(), "a process that has ended is not running");
    assert!(pid_file.is_superseded());
    std::fs::write(dir.path().join(PidFile::FILE_NAME), "garbled").expect("a file");
    assert!(!pid_file.is_another_running() && !pid_file.is_superseded());
}

/// Guards against a second process that cannot start because the clients' address is in use.
#[test]
fn two_processes_can_listen_on_the_same_address() {
    let first = cottonpoint::cli::bind_shared("127.0.0.1:0".parse().unwrap()).expect("a port");
    let address = first.local_addr().expect("bound");
    let second = cottonpoint::cli::bind_shared(address).expect("the same port, shared");
    assert_eq!(address, second.local_addr().expect("bound"));
    for listener in [&first, &second] {
        socket2::SockRef::from(listener).listen(1).expect("both listen");
    }
}

/// Guards against a delayed announcement that replaces a newer process's, so that this process
/// would keep the clients' connections and the newer one would consider itself superseded (seen in
/// stop::beside_a_newer_process...).
#[test]
fn delayed_announcement_does_not_replace_a_newer_one() {
    let dir = tempfile::tempdir().expect("a directory");
    let pid_file = PidFile::new(dir.path());
    write_pid(dir.path(), 1);
    pid_file.announce().expect("the write succeeds");
    assert!(pid_file.is_superseded());
}

/// The newer process of `older_process_that_announces_itself_late_is_replaced`: it has looked at the
/// file before the older one announces itself.
#[test]
#[ignore = "run by another test, as a process of its own"]
fn newer_process_announces_itself() {
    let Some(state) = std::env::var_os(CHILD_STATE).map(PathBuf::from) else { return };
    let pid_file = PidFile::new(&state);
    std::fs::write(state.join("started"), "").expect("a file");
    wait_for(&state.join("go"));
    pid_file.announce().expect("the write succeeds");
    std::fs::write(state.join("announced"), "").expect("a file");
    wait_for(&state.join("end"));
}

/// Fails after a while, so that no process is left behind.
fn wait_for(file: &Path) {
    let start = Instant::now();
    while !file.exists() {
        assert!(start.elapsed() < Duration::from_secs(10), "no {}", file.display());
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn start_newer_process(state: &Path) -> Child {
    let child = Command::new(std::env::current_exe().expect("a program"))
        .args(["--ignored", "--exact", "newer_process_announces_itself"])
        .env(CHILD_STATE, state)
        .spawn()
        .expect("it starts");
    wait_for(&state.join("started"));
    child
}

/// Guards against an older process whose announcement a slow disk has delayed until a newer one has
/// started: the newer one took it for one newer still and never announced itself, so that both would
/// have served on after the older one's stop event.
#[test]
fn older_process_that_announces_itself_late_is_replaced() {
    let dir = tempfile::tempdir().expect("a directory");
    let older = PidFile::new(dir.path());
    let mut newer = start_newer_process(dir.path());
    older.announce().expect("the write succeeds");
    assert!(!older.is_superseded());
    std::fs::write(dir.path().join("go"), "").expect("a file");
    wait_for(&dir.path().join("announced"));
    assert!(older.is_superseded() && older.is_another_running());
    older.announce().expect("the write succeeds");
    assert!(older.is_superseded(), "it does not take the place of the newer one again");
    std::fs::write(dir.path().join("end"), "").expect("a file");
    assert!(newer.wait().expect("it ends").success());
}
