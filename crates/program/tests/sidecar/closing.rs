//! The end of a connection, and bytes that arrive at that moment.

use crate::harness::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A client with a small receive buffer, so that a long answer stays in the sidecar's socket until
/// the client reads.
fn connect_with_small_buffer(sidecar: &TestSidecar) -> TcpStream {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a socket");
    socket.connect(&sidecar.address.into()).expect("it listens");
    socket.into()
}

/// Guards against closing an idle connection at once, in a drain or a stop: a request that arrived
/// then caused a reset, which discarded what the client had not yet read of the answer before it.
#[test]
fn request_that_crosses_a_close_is_not_forwarded_and_loses_no_answer() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    for drained in [true, false] {
        let (sidecar, console) =
            TestSidecar::with_console(&config_json(discovery.address, &known, 1024), None);
        let (mut client, mut idle) = (connect_with_small_buffer(&sidecar), sidecar.client());
        send(&mut client, LOOK);
        let (mut connection, long) = (endpoint.accept(), "x".repeat(60_000));
        connection.reply("200 OK", "", &long);
        // Part of the answer has arrived: the sidecar has written it, and the rest waits in the
        // socket.
        client.peek(&mut [0]).expect("an answer");
        send(&mut idle, "GET /health/ready HTTP/1.1\nHost: n0\n\n");
        assert!(read_message(&mut idle).starts_with("HTTP/1.1 200"));
        if drained {
            assert_eq!(console_command(console, "LEAVE"), "+OK\n")
        } else {
            sidecar.stop()
        }
        // Connections are closed in the order in which they became idle.
        assert_eq!(read_message(&mut idle), "");
        send(&mut client, &LOOK.replace("c1", "crosses"));
        let answer = read_message(&mut client);
        assert!(answer.ends_with(&long), "drained {drained}: {} bytes of the answer", answer.len());
        assert_eq!(read_message(&mut client), "");
        drop(client);
        sidecar.stop_and_join();
        connection.stream.set_nonblocking(true).expect("a socket");
        assert!(!connection.stream.peek(&mut [0]).is_ok_and(|n| n > 0), "it was forwarded");
    }
}

/// Guards against taking a connection with a partial request for idle, and closing it in a drain.
#[test]
fn partial_request_is_awaited_in_a_drain() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let (sidecar, console) = TestSidecar::with_console(&config_json(discovery.address, &known, 1024), None);
    let _requests = endpoint.echo_requests();
    let (mut partial, mut idle) = (sidecar.client(), sidecar.client());
    send(&mut partial, LOOK);
    assert!(read_message(&mut partial).starts_with("HTTP/1.1 200"));
    send(&mut partial, &LOOK[..30]);
    assert_eq!(console_command(console, "LEAVE"), "+OK\n");
    assert_eq!(read_message(&mut idle), "", "an idle connection is closed");
    send(&mut partial, &LOOK[30..]);
    let answer = read_message(&mut partial);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
    sidecar.stop_and_join();
}

/// Guards against losing an answer of the console to a reset while the client still sends.
#[test]
fn bytes_after_console_command_do_not_reset_the_answer() {
    let discovery = ScriptedServer::new();
    let (sidecar, console) = TestSidecar::with_console(&config_json(discovery.address, "null", 1024), None);
    // More than the socket holds for the sidecar: it is read and discarded.
    let endless = "x".repeat(16 << 20);
    assert_eq!(console_command(console, &endless), "-ERR line too long\n");
    assert_eq!(console_command(console, &format!("HEALTH\n{endless}")), "+OK\n");
    sidecar.stop_and_join();
}

/// Guards against silent connections to the console that delay the next one until they time out.
#[test]
fn silent_console_connections_make_room() {
    let discovery = ScriptedServer::new();
    let (sidecar, console) = TestSidecar::with_console(&config_json(discovery.address, "null", 1024), None);
    let silent: Vec<_> = (0..64).map(|_| TcpStream::connect(console).expect("it listens")).collect();
    let start = Instant::now();
    assert_eq!(console_command(console, "HEALTH"), "+OK\n");
    assert!(start.elapsed() < Duration::from_secs(1), "due in 1 s: {:?}", start.elapsed());
    drop(silent);
    sidecar.stop_and_join();
}
