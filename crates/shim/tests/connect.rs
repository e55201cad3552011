//! Connects that fail by the preloaded library, seen from a process of its own: this test's executable, started again.

use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;

const LIBRARY: &str = "libcottonpoint_shim.so";
/// Set in the process that the library is loaded into.
const PART: &str = "CONNECT_TEST_PART";

fn library() -> PathBuf {
    let executable = std::env::current_exe().expect("it runs");
    let folders = executable.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(LIBRARY)).find(|path| path.exists());
    found.expect("cargo builds the library with its tests")
}

/// Runs the test of that name in a process with these faults.
fn passes_with(faults: &str, name: &str) {
    let status = Command::new(std::env::current_exe().expect("it runs"))
        .args(["--exact", name])
        .env("LD_PRELOAD", library())
        .env("COTTONPOINT_FAULTS", faults)
        .env(PART, "1")
        .status();
    assert!(status.expect("it starts").success(), "with {faults}");
}

/// Accepts a connection, so that the library takes the process for one that serves; yields how the next connect ends.
fn connect_while_serving() -> Option<i32> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a process that starts has its sockets");
    let address = listener.local_addr().expect("bound");
    let _first = TcpStream::connect(address).expect("before it serves, none fails");
    let _accepted = listener.accept().expect("a connection");
    TcpStream::connect(address).err().and_then(|failure| failure.raw_os_error())
}

/// Guards against: a soak whose processes meet no failing connect or socket.
#[test]
fn all_fail_where_all_are_to_fail() {
    if std::env::var_os(PART).is_none() {
        return passes_with("seed=7;connect_per_mille=1000", "all_fail_where_all_are_to_fail");
    }
    let code = connect_while_serving().expect("it fails");
    let errors = [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    assert!(errors.contains(&code), "socket comes first: error {code}");
}

/// Guards against: a filter that breaks the calls that it lets through.
#[test]
fn most_come_up_where_few_are_to_fail() {
    if std::env::var_os(PART).is_none() {
        return passes_with("seed=7;connect_per_mille=1", "most_come_up_where_few_are_to_fail");
    }
    assert_eq!(connect_while_serving(), None);
}

/// Guards against: faults without the variable that asks for them.
#[test]
fn none_fails_where_none_is_to_fail() {
    if std::env::var_os(PART).is_none() {
        return passes_with("seed=7", "none_fails_where_none_is_to_fail");
    }
    assert_eq!(connect_while_serving(), None);
}

/// Guards against: a connect that does not fail at the moment that a test chose, or that fails elsewhere or later too.
#[test]
fn a_connect_fails_by_the_file_and_to_the_port_that_a_test_names() {
    const NAME: &str = "a_connect_fails_by_the_file_and_to_the_port_that_a_test_names";
    if std::env::var_os(PART).is_none() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("error");
        let listeners = [(), ()].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let [failing, other] = listeners.each_ref().map(|listener| listener.local_addr().expect("bound"));
        std::fs::write(&file, format!("{} once", libc::EHOSTUNREACH)).expect("a file");
        let faults = format!("connect_error_file={};connect_port={}", file.display(), failing.port());
        let status = Command::new(std::env::current_exe().expect("it runs"))
            .args(["--exact", NAME])
            .env("LD_PRELOAD", library())
            .env("COTTONPOINT_FAULTS", faults)
            .env(PART, format!("{other} {failing}"))
            .status();
        assert!(status.expect("it starts").success());
        assert!(!file.exists(), "it was for once");
        return;
    }
    let part = std::env::var(PART).expect("this part");
    let (other, failing) = part.split_once(' ').expect("two addresses");
    let ends = [other, failing, failing].map(|address| TcpStream::connect(address).err());
    let codes = ends.map(|end| end.and_then(|failure| failure.raw_os_error()));
    assert_eq!(codes, [None, Some(libc::EHOSTUNREACH), None]);
}
