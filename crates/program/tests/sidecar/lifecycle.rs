//! The life cycle of a process: ready once it has a list, and the shutdown.

use crate::harness::*;
use crate::program::create_pipe;
use cottonpoint::serve::PidFile;
use insta::assert_snapshot;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;

/// Guards against a sidecar that starts without a list and never requests one (the balancer's first
/// timer was set only with its first event), readiness before the list is there, and answers lost
/// in a planned shutdown.
#[test]
fn sidecar_is_ready_from_first_list_until_stop() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::start(&config_json(discovery.address, "null", 1024));
    let ready = "GET /health/ready HTTP/1.1\nHost: n0\n\n";
    assert!(sidecar.request(ready).starts_with("HTTP/1.1 503"));
    let mut poll = discovery.accept();
    assert_snapshot!(poll.text.lines().next().unwrap(), @"GET /registry/instances HTTP/1.1");
    poll.reply("200 OK", "", &list_json(1, true, &[instance_json("t0", endpoint.address, "active")]));
    poll.read_next();
    assert!(sidecar.request(ready).starts_with("HTTP/1.1 200"));

    // Requests accepted before the stop event are answered, and so are those that arrive right
    // after it.
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut connection = endpoint.accept();
    sidecar.stop();
    while !sidecar.request(ready).starts_with("HTTP/1.1 503") {}
    let mut late = sidecar.client();
    send(&mut late, ORDER);
    let mut second = endpoint.accept();
    second.reply("200 OK", "", "late");
    assert!(read_message(&mut late).ends_with("late"));
    // There may be no other process for the clients: kept connections are still served.
    send(&mut late, ORDER);
    assert!(second.read_next().starts_with("POST"));
    second.reply("200 OK", "", "later");
    assert!(read_message(&mut late).ends_with("later"));
    connection.reply("200 OK", "", "early");
    assert!(read_message(&mut client).ends_with("early"));
    // After a while the clients are released: idle connections are closed, and the process ends.
    assert_eq!(read_message(&mut client) + &read_message(&mut late), "");
    sidecar.stop_and_join();
}

/// Guards against clients that wait while a slow disk delays the announcement of a new process (in
/// a soak, processes started beside a busy disk answered nobody for seconds). The disk is a pipe
/// without a reader.
#[test]
fn hung_disk_at_start_does_not_delay_clients() {
    let state = tempfile::tempdir().expect("a directory");
    let announcement = Path::new(PidFile::FILE_NAME).with_extension(format!("{}.new", std::process::id()));
    create_pipe(&state.path().join(announcement));
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let (sidecar, _) =
        TestSidecar::with_console(&config_json(discovery.address, &known, 1024), Some(state.path()));
    let requests = endpoint.echo_requests();
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    assert!(requests.recv().expect("an attempt").starts_with("GET /look"));
    sidecar.stop_and_join();
}

/// Guards against a panic where nobody reads the log any more: the error of a bad start ends in its
/// exit code, and a running process goes on.
#[test]
fn broken_standard_error_causes_no_panic() {
    let broken = || {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        drop(reader);
        writer
    };
    let bad_start = Command::new(env!("CARGO_BIN_EXE_cottonpoint"))
        .args(["serve", "--config", "/nonexistent.json"])
        .stderr(broken())
        .status();
    assert_eq!(bad_start.expect("it starts").code(), Some(1));
    let (_, address) = listen();
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let config = config_json(discovery.address, &known, 1024);
    let config = config.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""));
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("config.json");
    std::fs::write(&file, config).expect("a file");
    let mut process = Command::new(env!("CARGO_BIN_EXE_cottonpoint"))
        .args(["serve", "--config"])
        .arg(&file)
        .stderr(broken())
        .spawn()
        .expect("it starts");
    let _requests = endpoint.echo_requests();
    let connect = || TcpStream::connect(address).ok();
    let mut clients = std::iter::repeat_with(connect).flatten();
    for _ in 0..40 {
        // Each invalid request is a warning.
        let mut client = clients.next().expect("it listens");
        send(&mut client, "noise\n\n");
        assert!(read_message(&mut client).starts_with("HTTP/1.1 400"));
    }
    let mut client = clients.next().expect("it listens");
    send(&mut client, LOOK);
    assert!(read_message(&mut client).starts_with("HTTP/1.1 200"));
    process.kill().expect("it runs");
    process.wait().expect("it ends");
}
