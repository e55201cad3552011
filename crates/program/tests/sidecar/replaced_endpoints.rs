//! Endpoints that are replaced at their address: a connection belongs to one start of one endpoint.

use crate::harness::*;
use crate::program::Program;
use std::net::SocketAddr;
use std::time::Duration;

/// The list line of an endpoint that started at this Unix time in milliseconds.
fn started(name: &str, address: SocketAddr, started_at_ms: u64) -> String {
    let started = format!("\"startedAtMs\":{started_at_ms}");
    instance_json(name, address, "active").replace("\"startedAtMs\":0", &started)
}

fn gone(name: &str, address: SocketAddr) -> String {
    instance_json(name, address, "left")
}

/// Serves one request over a connection that is kept, replaces the endpoint at its address by
/// `change`, and returns whether the next request comes on a new connection. The process that has
/// gone leaves its connection open.
fn next_request_is_on_a_new_connection(change: impl Fn(SocketAddr) -> Vec<String>) -> bool {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[started("t0", endpoint.address, 1_000)]);
    let program = Program::start(&config_json(discovery.address, &known, 1024), 1024);
    let mut poll = discovery.accept();
    let mut client = program.client(LOOK);
    let mut old = endpoint.accept();
    old.reply("200 OK", "", "old");
    assert!(read_message(&mut client).ends_with("old"));
    poll.reply("200 OK", "", &list_json(2, false, &change(endpoint.address)));
    poll.read_next();
    program.wait_until_input_is_processed();
    send(&mut client, &LOOK.replace("c1", "c2"));
    // What arrives on the old connection is its end, or the request.
    old.stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket");
    if !old.read_next().is_empty() {
        return false;
    }
    endpoint.accept().reply("200 OK", "", "new");
    read_message(&mut client).ends_with("new")
}

/// Guards against sending a request to the process that an endpoint had before its restart: its
/// connection is still open, and the new process listens at the same address.
#[test]
fn restarted_endpoint_gets_a_new_connection() {
    assert!(next_request_is_on_a_new_connection(|address| vec![started("t0", address, 2_000)]));
}

/// Guards against taking another endpoint at the address of one that has gone for that one.
#[test]
fn another_endpoint_at_the_same_address_gets_a_new_connection() {
    assert!(next_request_is_on_a_new_connection(|address| {
        vec![gone("t0", address), started("t1", address, 2_000)]
    }));
}
