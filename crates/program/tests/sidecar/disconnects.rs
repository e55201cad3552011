//! Clients that have disconnected: whatever else arrives at that moment, no attempt is made for
//! them. The sidecar is a process of its own that is suspended (SIGSTOP) while the close and the
//! event that releases the request both arrive, the latter first.

use crate::harness::*;
use crate::program::{Program, with_long_timeouts};
use crate::retries::{constrained_listener, reset_connection};
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const MARKER: &str = "GET /look/marker HTTP/1.1\nHost: n0\nX-Correlation-Id: marker\n\n";

/// Clients that wait for an endpoint and disconnect at the moment at which the list names one.
fn disconnect_as_requests_are_released(count: usize, trailing_bytes: &[u8], disconnect: fn(TcpStream)) {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t1", endpoint.address, "leaving")]);
    let sidecar = Program::start(&with_long_timeouts(&config_json(discovery.address, &known, 1024)), 1024);
    let mut poll = discovery.accept();
    let clients = (0..count).map(|i| sidecar.client(&LOOK.replace("c1", &format!("gone{i}"))));
    let mut clients: Vec<_> = clients.collect();
    for client in &mut clients {
        client.write_all(trailing_bytes).expect("it reads, or the system holds it");
    }
    sidecar.wait_until_input_is_processed();
    sidecar.while_suspended(|| {
        poll.reply("200 OK", "", &list_json(2, false, &[instance_json("t0", endpoint.address, "active")]));
        clients.into_iter().for_each(disconnect);
    });
    poll.read_next();
    let _marker = sidecar.client(MARKER);
    loop {
        let connection = endpoint.accept();
        assert!(
            !connection.text.contains("gone"),
            "sent for a client that has disconnected: {}",
            connection.text
        );
        if connection.text.contains("marker") {
            return;
        }
    }
}

/// Guards against attempts for clients whose close arrives in the same turn as the release of their
/// requests, several hundred at once.
#[test]
fn no_attempt_for_hundreds_of_clients_that_disconnect_on_release() {
    disconnect_as_requests_are_released(300, b"", drop);
}

/// Guards against missing a close that is a reset, and a close after a partial next request.
#[test]
fn reset_and_close_after_partial_request_are_detected() {
    disconnect_as_requests_are_released(3, b"", reset_connection);
    disconnect_as_requests_are_released(3, b"GET /look/8 HTTP/1.1\r\nX-", drop);
}

/// Guards against a close that is never detected because more than one buffer of unread bytes
/// precedes it (nothing was read beyond 64 KiB), so that the attempt continues until its latency
/// target of 2.9 s.
#[test]
fn close_after_more_than_a_buffer_is_detected() {
    for disconnect in [drop, reset_connection] {
        let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
        let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
        let sidecar =
            Program::start(&with_long_timeouts(&config_json(discovery.address, &known, 1024)), 1024);
        let mut client = sidecar.client(LOOK);
        let mut connection = endpoint.accept();
        let start = Instant::now();
        client.write_all(&[b'x'; 200 << 10]).expect("it reads on");
        disconnect(client);
        assert_eq!(connection.read_next(), "", "its connection is closed");
        assert!(start.elapsed() < Duration::from_secs(2), "at its close, not at its latency target");
    }
}

/// Guards against a second attempt for a client that disconnects as the first one breaks (the state
/// of the request was checked before its client's connection), and against closing a kept
/// connection on which nothing was sent.
#[test]
fn no_second_attempt_for_disconnected_client() {
    let (endpoints, discovery) = ([ScriptedServer::new(), ScriptedServer::new()], ScriptedServer::new());
    let lines = [0, 1].map(|i| instance_json(&format!("t{i}"), endpoints[i].address, "active"));
    let sidecar = Program::start(
        &with_long_timeouts(&config_json(discovery.address, &list_json(1, true, &lines), 1024)),
        1024,
    );
    // One connection to each endpoint is kept.
    let clients = [0, 1].map(|i| sidecar.client(&LOOK.replace("c1", &format!("first{i}"))));
    let mut connections = endpoints.map(|endpoint| endpoint.accept());
    connections.iter_mut().for_each(|connection| connection.reply("200 OK", "", "ok"));
    for mut client in clients {
        assert!(read_message(&mut client).starts_with("HTTP/1.1 200"));
    }
    let (attempts, received) = channel();
    for mut connection in connections {
        let attempts = attempts.clone();
        std::thread::spawn(move || {
            connection.read_next();
            attempts.send(connection)
        });
    }
    let client = sidecar.client(&LOOK.replace("c1", "gone"));
    let first = received.recv().expect("an attempt");
    assert!(first.text.contains("gone"));
    sidecar.while_suspended(|| {
        reset_connection(first.stream);
        drop(client);
    });
    sidecar.wait_until_input_is_processed();
    let _marker = sidecar.client(MARKER);
    let next = received.recv().expect("an attempt");
    assert!(next.text.contains("marker"), "sent for a client that has disconnected: {}", next.text);
}

/// Guards against an attempt for a client that disconnects while the connection to the endpoint is
/// established.
#[test]
fn no_attempt_for_client_that_disconnects_during_connect() {
    let discovery = ScriptedServer::new();
    let (endpoint, address) = constrained_listener();
    // The listener's queue is full, so a new connection waits for the next SYN, a second later.
    let queued = TcpStream::connect(address).expect("room for one");
    let sidecar = Program::start(
        &with_long_timeouts(&config_json(
            discovery.address,
            &list_json(1, true, &[instance_json("t0", address, "active")]),
            1024,
        )),
        1024,
    );
    let client = sidecar.client(LOOK);
    sidecar.wait_until_input_is_processed();
    let mut connection = sidecar.while_suspended(|| {
        let (_, from) = endpoint.accept().expect("a connection");
        assert_eq!(Some(from), queued.local_addr().ok());
        let (connection, _) = endpoint.accept().expect("the sidecar tries again");
        drop(client);
        connection
    });
    sidecar.wait_until_input_is_processed();
    drop(sidecar);
    assert_eq!(read_message(&mut connection), "", "sent for a client that has disconnected");
}
