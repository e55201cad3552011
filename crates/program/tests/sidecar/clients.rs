//! Clients: invalid input, slow and silent senders, connections that make room for each other.

use crate::harness::*;
use insta::assert_snapshot;
use std::io::Write;

/// Guards against work for a client that has disconnected.
#[test]
fn attempt_is_cancelled_when_client_disconnects() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut connection = endpoint.accept();
    drop(client);
    assert_eq!(connection.read_next(), "", "its connection is closed");
    sidecar.stop_and_join();
}

/// Guards against invalid input that reaches the balancer or an endpoint, or stops the program.
#[test]
fn invalid_request_gets_local_reply() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
    let requests = endpoint.echo_requests();
    let mut answers = String::new();
    for (what, request) in [
        ("no HTTP", "hello\n\n".to_owned()),
        ("noise that does not end", "\u{1}\u{2}".to_owned()),
        ("no version", LOOK.replace(" HTTP/1.1", "")),
        ("two empty lines", format!("\n\n{LOOK}")),
        ("broken header", LOOK.replace("Host: ", "Host ")),
        ("folded header", LOOK.replace("X-Account", " X-Account")),
        ("no host", LOOK.replace("Host: service.internal\n", "")),
        ("two ids", LOOK.replace("Host:", "X-Correlation-Id: c9\nHost:")),
        ("two lengths", ORDER.replace("Content-Length: 5", "Content-Length: 5\nContent-Length: 6")),
        (
            "two framings",
            ORDER.replace("Content-Length: 5", "Content-Length: 5\nTransfer-Encoding: chunked"),
        ),
        (
            "chunked of old",
            ORDER.replace("1.1", "1.0").replace("Content-Length: 5", "Transfer-Encoding: chunked"),
        ),
        (
            "odd chunk",
            ORDER.replace("Content-Length: 5", "Transfer-Encoding: chunked").replace("paper", "-5\npaper"),
        ),
        ("odd length", ORDER.replace("Length: 5", "Length: +5")),
        ("long head", LOOK.replace("c1", &"c".repeat(20_000))),
        ("long body", ORDER.replace("Length: 5", "Length: 33554433")),
        ("unknown path", LOOK.replace("/look/7", "/nosuch")),
        ("unknown class", LOOK.replace("Class: look", "Class: nosuch")),
        ("another class", LOOK.replace("Class: look", "Class: order")),
        ("unknown account", LOOK.replace("north", "south")),
        ("no id", LOOK.replace("X-Correlation-Id: c1\n", "")),
        ("no key", ORDER.replace("Idempotency-Key: k2\n", "")),
        ("wrong method", LOOK.replace("GET", "DELETE")),
        ("time left in words", LOOK.replace("3000", "soon")),
        ("negative time left", LOOK.replace("3000", "-3000")),
        ("time left beyond numbers", LOOK.replace("3000", "99999999999999999999")),
    ] {
        let answer = sidecar.request(&request);
        let close = if answer.contains("Connection: close") { ", closes" } else { "" };
        answers += &format!("{what}: {}{close}\n", answer.lines().next().unwrap_or("nothing"));
    }
    assert_snapshot!(answers, @r"
    no HTTP: HTTP/1.1 400 Bad Request, closes
    noise that does not end: HTTP/1.1 400 Bad Request, closes
    no version: HTTP/1.1 400 Bad Request, closes
    two empty lines: HTTP/1.1 400 Bad Request, closes
    broken header: HTTP/1.1 400 Bad Request, closes
    folded header: HTTP/1.1 400 Bad Request, closes
    no host: HTTP/1.1 400 Bad Request, closes
    two ids: HTTP/1.1 400 Bad Request, closes
    two lengths: HTTP/1.1 400 Bad Request, closes
    two framings: HTTP/1.1 400 Bad Request, closes
    chunked of old: HTTP/1.1 400 Bad Request, closes
    odd chunk: HTTP/1.1 400 Bad Request, closes
    odd length: HTTP/1.1 400 Bad Request, closes
    long head: HTTP/1.1 431 Request Header Fields Too Large, closes
    long body: HTTP/1.1 413 Content Too Large, closes
    unknown path: HTTP/1.1 404 Not Found, closes
    unknown class: HTTP/1.1 404 Not Found, closes
    another class: HTTP/1.1 400 Bad Request, closes
    unknown account: HTTP/1.1 400 Bad Request, closes
    no id: HTTP/1.1 400 Bad Request, closes
    no key: HTTP/1.1 400 Bad Request, closes
    wrong method: HTTP/1.1 405 Method Not Allowed, closes
    time left in words: HTTP/1.1 400 Bad Request, closes
    negative time left: HTTP/1.1 400 Bad Request, closes
    time left beyond numbers: HTTP/1.1 400 Bad Request, closes
    ");
    // Without a time left the class's own applies.
    assert!(sidecar.request(&LOOK.replace("X-Time-Left-Ms: 3000\n", "")).starts_with("HTTP/1.1 200"));
    assert!(requests.recv().unwrap().starts_with("GET /look"));
    assert!(requests.try_recv().is_err(), "nothing else reached the endpoint");
    sidecar.stop_and_join();
}

/// Guards against serving a second request with the ID of an open one, and against giving its
/// client the other's answer.
#[test]
fn id_of_open_request_is_rejected() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut connection = endpoint.accept();
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 409"));
    connection.reply("200 OK", "", "mine");
    assert!(read_message(&mut client).ends_with("mine"));
    // Once that request is answered, its ID can be used again.
    send(&mut client, LOOK);
    assert!(connection.read_next().starts_with("GET"));
    connection.reply("200 OK", "", "again");
    assert!(read_message(&mut client).ends_with("again"));
    sidecar.stop_and_join();
}

/// Guards against losing the rejection of a huge body in the reset that closing a connection with
/// unread input causes.
#[test]
fn oversized_body_is_rejected_by_its_head() {
    let discovery = ScriptedServer::new();
    let sidecar = TestSidecar::with_endpoints(&[discovery.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, &ORDER.replace("Length: 5", "Length: 60000000"));
    for _ in 0..64 {
        // All of it is read, although the answer was given long before.
        client.write_all(&[b'x'; 64 << 10]).expect("it reads on");
    }
    assert!(read_message(&mut client).starts_with("HTTP/1.1 413"));
    sidecar.stop_and_join();
}

/// Guards against clients that send nothing, or a request that they do not finish, and get neither
/// an answer nor a close.
#[test]
fn silent_and_slow_clients_are_closed_within_three_seconds() {
    let discovery = ScriptedServer::new();
    let sidecar = TestSidecar::with_endpoints(&[discovery.address], &discovery);
    let start = std::time::Instant::now();
    let (mut silent, mut slow) = (sidecar.client(), sidecar.client());
    send(&mut slow, "GET /look/7 HTTP/1.1\nX-");
    assert_eq!(read_message(&mut silent), "");
    assert!(read_message(&mut slow).starts_with("HTTP/1.1 408"));
    assert!(start.elapsed().as_secs() < 3);
    sidecar.stop_and_join();
}

/// Guards against a sender whose message never ends and that occupies the only thread.
#[test]
fn endless_message_does_not_starve_other_clients() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
    let _requests = endpoint.echo_requests();
    let mut endless = sidecar.client();
    let chunked = ORDER.replace("Content-Length: 5", "Transfer-Encoding: chunked").replace("paper", "0\n");
    send(&mut endless, &chunked);
    let sender =
        std::thread::spawn(move || while endless.write_all(&b"X-More: 1\r\n".repeat(4096)).is_ok() {});
    for _ in 0..20 {
        assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    }
    sender.join().expect("its connection is closed");
    sidecar.stop_and_join();
}

/// Guards against idle connections that use up the descriptors and shut other clients out.
#[test]
fn idle_connections_make_room_at_the_connection_limit() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let sidecar = TestSidecar::start(&config_json(discovery.address, &known, 96));
    let _requests = endpoint.echo_requests();
    let mut kept = Vec::new();
    for _ in 0..100 {
        let mut client = sidecar.client();
        send(&mut client, LOOK);
        assert!(read_message(&mut client).starts_with("HTTP/1.1 200"));
        kept.push(client);
    }
    sidecar.stop_and_join();
}

/// Guards against slow senders that occupy every connection and shut other clients out until they
/// time out.
#[test]
fn slow_senders_make_room_at_the_connection_limit() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let sidecar = TestSidecar::start(&config_json(discovery.address, &known, 96));
    let _requests = endpoint.echo_requests();
    let mut slow = Vec::new();
    for _ in 0..40 {
        let mut client = sidecar.client();
        send(&mut client, "GET /look/7 HTTP/1.1\nX-");
        slow.push(client);
    }
    let start = std::time::Instant::now();
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 "), "it is answered");
    assert!(start.elapsed().as_secs() < 5, "before a slow sender times out");
    drop(slow);
    sidecar.stop_and_join();
}

/// Guards against closing new connections to make room for each other while their first request is
/// on its way (76 of 200 simultaneous requests were lost so, with room for 28 connections).
#[test]
fn new_connection_gets_time_for_its_first_request() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let sidecar = TestSidecar::start(&config_json(discovery.address, &known, 96));
    let _requests = endpoint.echo_requests();
    let mut clients: Vec<_> = (0..24).map(|_| sidecar.client()).collect();
    // Connections are accepted in order: once one is answered, all before it wait for their
    // requests, and the next one needs room.
    sidecar.request(LOOK);
    sidecar.request(LOOK);
    for client in &mut clients {
        send(client, LOOK);
        assert!(read_message(client).starts_with("HTTP/1.1 200"));
    }
    sidecar.stop_and_join();
}
