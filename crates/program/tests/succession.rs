//! Processes of one sidecar that follow each other on the clients' address, as the state directory tells.
#![allow(missing_docs)]

use cottonpoint::serve::PidFile;

fn written(dir: &std::path::Path, pid: u32) {
    std::fs::write(dir.join(PidFile::FILE_NAME), pid.to_string()).expect("a file");
}

/// Guards against: an upgrade taken for a restart (the older process would accept for 0.7 s more, and the
/// newer one ask discovery late), and a restart taken for an upgrade.
#[test]
fn an_older_process_knows_a_newer_one_and_a_newer_one_an_older_one() {
    let dir = tempfile::tempdir().expect("a directory");
    let succession = PidFile::new(dir.path());
    assert!(!succession.is_another_running() && !succession.is_superseded(), "nobody announced");
    succession.announce().expect("announced");
    assert!(!succession.is_another_running() && !succession.is_superseded(), "only this process");
    // The first process of the system is alive; a number above the kernel's largest process id is not.
    written(dir.path(), 1);
    assert!(succession.is_another_running() && succession.is_superseded());
    written(dir.path(), 4_194_305);
    assert!(!succession.is_another_running(), "one that has ended is no neighbour");
    assert!(succession.is_superseded());
    std::fs::write(dir.path().join(PidFile::FILE_NAME), "garbled").expect("a file");
    assert!(!succession.is_another_running() && !succession.is_superseded());
}

/// Guards against: a second process on the clients' address that cannot start (address in use).
#[test]
fn two_processes_may_listen_on_the_clients_address() {
    let (first, address) = cottonpoint::cli::listen_shared("127.0.0.1:0".parse().unwrap()).expect("a port");
    let (second, same) = cottonpoint::cli::listen_shared(address).expect("the same port, shared");
    assert_eq!(address, same);
    drop((first, second));
}

/// Guards against: an announcement that the disk delays put in the place of a newer process's, so that this one would keep
/// the clients' connections and the newer one take itself for followed (seen in stop::beside_a_newer_process...).
#[test]
fn a_late_announcement_does_not_hide_a_newer_process() {
    let dir = tempfile::tempdir().expect("a directory");
    let succession = PidFile::new(dir.path());
    written(dir.path(), 1);
    succession.announce().expect("the disk takes it");
    assert!(succession.is_superseded());
}
