//! The life cycle of a process: ready once it has a list, and the shutdown.

use crate::harness::*;
use crate::program::create_pipe;
use cottonpoint::serve::PidFile;
use insta::assert_snapshot;
use std::path::Path;

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
