//! Processes of one sidecar that follow each other on the clients' address and detect each other by
//! a file in the state directory.
#![allow(missing_docs)]

use cottonpoint::serve::PidFile;

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
    let (first, address) = cottonpoint::cli::listen_shared("127.0.0.1:0".parse().unwrap()).expect("a port");
    let (second, same) = cottonpoint::cli::listen_shared(address).expect("the same port, shared");
    assert_eq!(address, same);
    drop((first, second));
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
