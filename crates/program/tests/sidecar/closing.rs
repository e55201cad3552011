//! The end of a connection, and bytes that come in that very moment.

use crate::peers::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A client that takes little at a time, so that a long answer stays with the sidecar's system until it reads.
fn narrow_client(sidecar: &Running) -> TcpStream {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a socket");
    socket.connect(&sidecar.address.into()).expect("it listens");
    socket.into()
}

/// Guards against: a resting connection closed at once, in a drain and for a stop, so that a request that came then was
/// answered with a reset that ate what its client had not read of the answer before it.
#[test]
fn a_request_that_crosses_a_close_is_not_sent_on_and_eats_no_answer() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    for drained in [true, false] {
        let (sidecar, console) = Running::with_console(&config(discovery.address, &known, 1024), None);
        let (mut client, mut rests) = (narrow_client(&sidecar), sidecar.client());
        send(&mut client, LOOK);
        let (mut came, long) = (target.accept(), "x".repeat(60_000));
        came.reply("200 OK", "", &long);
        // Something of the answer has come: the sidecar has written it, and the rest waits in the system.
        client.peek(&mut [0]).expect("an answer");
        send(&mut rests, "GET /health/ready HTTP/1.1\nHost: n0\n\n");
        assert!(message(&mut rests).starts_with("HTTP/1.1 200"));
        if drained {
            assert_eq!(call(console, "LEAVE"), "+OK\n")
        } else {
            sidecar.stop()
        }
        // Connections are closed in the order in which they came to rest.
        assert_eq!(message(&mut rests), "");
        send(&mut client, &LOOK.replace("c1", "crosses"));
        let answer = message(&mut client);
        assert!(answer.ends_with(&long), "drained {drained}: {} bytes of the answer", answer.len());
        assert_eq!(message(&mut client), "");
        drop(client);
        sidecar.ends();
        came.stream.set_nonblocking(true).expect("a socket");
        assert!(!came.stream.peek(&mut [0]).is_ok_and(|n| n > 0), "it was sent on");
    }
}

/// Guards against: half a request taken for a connection that rests, and closed in a drain.
#[test]
fn half_a_request_is_waited_for_in_a_drain() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    let (sidecar, console) = Running::with_console(&config(discovery.address, &known, 1024), None);
    let _seen = target.echo();
    let (mut half, mut rests) = (sidecar.client(), sidecar.client());
    send(&mut half, LOOK);
    assert!(message(&mut half).starts_with("HTTP/1.1 200"));
    send(&mut half, &LOOK[..30]);
    assert_eq!(call(console, "LEAVE"), "+OK\n");
    assert_eq!(message(&mut rests), "", "whoever rests is sent away");
    send(&mut half, &LOOK[30..]);
    let answer = message(&mut half);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
    sidecar.ends();
}

/// Guards against: an answer of the console refused with a reset to a caller that still sends.
#[test]
fn what_comes_behind_a_call_resets_no_answer() {
    let discovery = Peer::new();
    let (sidecar, console) = Running::with_console(&config(discovery.address, "null", 1024), None);
    // More than the system holds for the sidecar: it is read and thrown away.
    let endless = "x".repeat(16 << 20);
    assert_eq!(call(console, &endless), "-ERR line too long\n");
    assert_eq!(call(console, &format!("HEALTH\n{endless}")), "+OK\n");
    sidecar.ends();
}

/// Guards against: silent callers of the console that keep the next one waiting until their patience ends.
#[test]
fn silent_callers_of_the_console_make_room() {
    let discovery = Peer::new();
    let (sidecar, console) = Running::with_console(&config(discovery.address, "null", 1024), None);
    let silent: Vec<_> = (0..64).map(|_| TcpStream::connect(console).expect("it listens")).collect();
    let begun = Instant::now();
    assert_eq!(call(console, "HEALTH"), "+OK\n");
    assert!(begun.elapsed() < Duration::from_secs(1), "due in 1 s: {:?}", begun.elapsed());
    drop(silent);
    sidecar.ends();
}
