//! Connects that the preloaded library makes fail. They run in a separate process: this test's
//! executable, started again.

use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;

const LIBRARY: &str = "libcottonpoint_shim.so";
/// Set in the process that the library is loaded into.
const CHILD_VARIABLE: &str = "CONNECT_TEST_PART";

fn library() -> PathBuf {
    let executable = std::env::current_exe().expect("the path of this executable");
    let folders = executable.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(LIBRARY)).find(|path| path.exists());
    found.expect("cargo builds the library with its tests")
}

/// Runs the named test in a process with these faults and asserts that it passes.
fn assert_passes_with_faults(faults: &str, name: &str) {
    let status = Command::new(std::env::current_exe().expect("the path of this executable"))
        .args(["--exact", name])
        .env("LD_PRELOAD", library())
        .env("COTTONPOINT_FAULTS", faults)
        .env(CHILD_VARIABLE, "1")
        .status();
    assert!(status.expect("the test process starts").success(), "with {faults}");
}

/// Accepts a connection, so that the library treats this process as serving. Returns the error of
/// the next connect, if it fails.
fn error_of_connect_while_serving() -> Option<i32> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no socket fails before the process serves");
    let address = listener.local_addr().expect("a bound address");
    let _first = TcpStream::connect(address).expect("no connect fails before the process serves");
    let _accepted = listener.accept().expect("a connection");
    TcpStream::connect(address).err().and_then(|error| error.raw_os_error())
}

/// Guards against a soak whose processes see no failing connect or socket.
#[test]
fn all_connects_fail_at_full_failure_rate() {
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        return assert_passes_with_faults(
            "seed=7;connect_per_mille=1000",
            "all_connects_fail_at_full_failure_rate",
        );
    }
    let code = error_of_connect_while_serving().expect("the connect fails");
    let errors = [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    assert!(errors.contains(&code), "socket comes first: error {code}");
}

/// Guards against a filter that breaks the calls that it lets through.
#[test]
fn connects_succeed_at_low_failure_rate() {
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        return assert_passes_with_faults(
            "seed=7;connect_per_mille=1",
            "connects_succeed_at_low_failure_rate",
        );
    }
    assert_eq!(error_of_connect_while_serving(), None);
}

/// Guards against faults that nothing configures.
#[test]
fn connects_succeed_without_configured_faults() {
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        return assert_passes_with_faults("seed=7", "connects_succeed_without_configured_faults");
    }
    assert_eq!(error_of_connect_while_serving(), None);
}

/// Guards against a connect that does not fail when a test wants it to, or that fails for another
/// port or a second time.
#[test]
fn connect_fails_once_with_the_error_of_the_file_for_the_configured_port() {
    const NAME: &str = "connect_fails_once_with_the_error_of_the_file_for_the_configured_port";
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        let folder = tempfile::tempdir().expect("a temporary directory");
        let file = folder.path().join("error");
        let listeners = [(), ()].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let [failing, other] =
            listeners.each_ref().map(|listener| listener.local_addr().expect("a bound address"));
        std::fs::write(&file, format!("{} once", libc::EHOSTUNREACH)).expect("a file");
        let faults = format!("connect_error_file={};connect_port={}", file.display(), failing.port());
        let status = Command::new(std::env::current_exe().expect("the path of this executable"))
            .args(["--exact", NAME])
            .env("LD_PRELOAD", library())
            .env("COTTONPOINT_FAULTS", faults)
            .env(CHILD_VARIABLE, format!("{other} {failing}"))
            .status();
        assert!(status.expect("the test process starts").success());
        assert!(!file.exists(), "the file is removed after one failure");
        return;
    }
    let addresses = std::env::var(CHILD_VARIABLE).expect("the variable holds two addresses");
    let (other, failing) = addresses.split_once(' ').expect("two addresses");
    let errors = [other, failing, failing].map(|address| TcpStream::connect(address).err());
    let codes = errors.map(|error| error.and_then(|error| error.raw_os_error()));
    assert_eq!(codes, [None, Some(libc::EHOSTUNREACH), None]);
}
