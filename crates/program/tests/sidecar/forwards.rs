//! Forwards to targets: what passes, what comes back, and what a connection to a target is worth after it.

use crate::peers::*;
use insta::assert_snapshot;
use std::io::Write;
use std::net::Shutdown;

/// A message without the figure that differs from run to run.
fn steady(text: &str) -> String {
    let lines = text.lines().map(|l| match l.split_once("X-Time-Left-Ms: ") {
        Some((before, ms)) => {
            assert!((1..=1000).contains(&ms.parse().expect("whole milliseconds")), "until the aim: {ms}");
            format!("{before}X-Time-Left-Ms: (left)")
        }
        None => l.to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Guards against: anything of a request changed on its way, or its answer.
#[test]
fn requests_and_answers_pass_unchanged() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, ORDER);
    let mut came = target.accept();
    assert_snapshot!(steady(&came.text), @r"
    POST /order HTTP/1.1
    Host: service.internal
    X-Correlation-Id: c2
    X-Account: north
    Idempotency-Key: k2
    Content-Length: 5
    X-Time-Left-Ms: (left)

    paper
    ");
    came.reply("200 OK", "X-Backend-Load: throughput=zero,utilization=\r\n", "{\"sheets\": 3}\n");
    assert_snapshot!(message(&mut client), @r#"
    HTTP/1.1 200 OK
    Content-Length: 14

    {"sheets": 3}
    "#);
    // The same connections serve the next request, on both sides.
    send(&mut client, LOOK);
    assert_snapshot!(steady(came.next()), @r"
    GET /look/7?size=2 HTTP/1.1
    Host: service.internal
    X-Correlation-Id: c1
    X-Service-Class: look
    X-Account: north
    X-Time-Left-Ms: (left)
    ");
    came.stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
        .unwrap();
    assert!(message(&mut client).ends_with("\n\nabc"));
    sidecar.ends();
}

/// Guards against: a target's 503 passed on, which would promise the client that nothing ran.
#[test]
fn a_targets_503_proves_nothing_but_an_unprocessed_one_does() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut came = target.accept();
    came.reply("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
    // Turned away, it is paused; a second try comes once it is not, and its bare 503 is an error.
    came.next();
    came.reply("503 Service Unavailable", "", "busy");
    came.next();
    came.reply("200 OK", "", "third");
    assert!(message(&mut client).ends_with("third"));
    sidecar.ends();
}

/// Guards against: a request re-sent unasked when its connection dies under it, and lost with it.
#[test]
fn a_reset_is_one_forward_and_the_balancer_decides_on_the_next() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, ORDER);
    drop(target.accept());
    let mut second = target.accept();
    assert!(second.text.contains("Idempotency-Key: k2"));
    second.reply("200 OK", "", "done");
    assert!(message(&mut client).ends_with("done"));
    sidecar.ends();
}

/// Guards against: a kept connection used although the target has closed it.
#[test]
fn a_kept_connection_that_was_closed_is_not_used() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut client = sidecar.client();
    for _ in 0..3 {
        send(&mut client, LOOK);
        let mut came = target.accept();
        came.reply("200 OK", "", "ok");
        // Closed before the answer is read: the next request must not meet it.
        came.stream.shutdown(Shutdown::Both).unwrap();
        assert!(message(&mut client).starts_with("HTTP/1.1 200"));
    }
    sidecar.ends();
}

/// Guards against: a flow that the balancer has given up on held back until its deadline, with no word of
/// when to come back.
#[test]
fn a_flow_without_an_answer_in_time_is_refused_with_advice() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let begun = std::time::Instant::now();
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let came = target.accept();
    assert_snapshot!(message(&mut client), @r"
    HTTP/1.1 503 Service Unavailable
    Content-Type: text/plain
    Retry-After: 2.000
    Content-Length: 8

    refused
    ");
    assert!(begun.elapsed().as_millis() < 2000, "at its aim of 1 s, not near its deadline of 3 s");
    drop(came);
    sidecar.ends();
}

/// Guards against: a machine that is cut off costing a whole time-out on each connection kept to it.
#[test]
fn connections_to_a_silent_target_are_not_kept() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut clients: Vec<_> = (0..3).map(|_| sidecar.client()).collect();
    let mut came = Vec::new();
    let look = |i: usize| LOOK.replace("c1", &format!("c{i}"));
    for (i, client) in clients.iter_mut().enumerate() {
        send(client, &look(i));
        came.push(target.accept());
    }
    for (came, client) in came.iter_mut().zip(&mut clients) {
        came.reply("200 OK", "", "ok");
        assert!(message(client).starts_with("HTTP/1.1 200"));
    }
    // The most recently used ones are used first, once they have rested; two forwards time out, and the third
    // connection goes.
    std::thread::sleep(std::time::Duration::from_millis(25));
    for (i, client) in clients[..2].iter_mut().enumerate() {
        send(client, &look(i));
    }
    let [first, second, third] = &mut came[..] else { unreachable!() };
    assert!(third.next().starts_with("GET"));
    assert!(second.next().starts_with("GET"));
    assert_eq!(first.next(), "");
    for client in &mut clients[..2] {
        assert!(message(client).starts_with("HTTP/1.1 503"));
    }
    sidecar.ends();
}

/// Guards against: spoilt answers passed on, waited out, or taken for a break of the connection's machine; and
/// their connections used again.
#[test]
fn a_spoilt_answer_is_a_failed_forward_and_ends_its_connection() {
    let endless_head = format!("HTTP/1.1 200 OK\r\n{}", "X-Pad: p\r\n".repeat(3000));
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(40);
    let spoilt = [
        "\u{7f}noise",
        "HTTP/1.1 2OO OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 200 OK\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-",
        &endless_head,
        &interim,
    ];
    // Few at a time: the balancer grants a fresh sidecar four further forwards.
    for spoilt in spoilt.chunks(4) {
        let (target, discovery) = (Peer::new(), Peer::new());
        let sidecar = Running::knowing(&[target.address], &discovery);
        for spoilt in spoilt {
            let mut client = sidecar.client();
            send(&mut client, LOOK);
            let mut came = target.accept();
            came.stream.write_all(spoilt.as_bytes()).unwrap();
            assert_eq!(came.next(), "", "closed at once: {spoilt:.40}");
            let mut second = target.accept();
            second.reply("200 OK", "Connection: close\r\n", "good");
            assert!(message(&mut client).ends_with("good"));
        }
        sidecar.ends();
    }
}

/// Guards against: what comes behind a good answer taken for the next request's.
#[test]
fn more_than_belongs_to_an_answer_is_never_used() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut client = sidecar.client();
    let good = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    for more in ["HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", "noise"] {
        send(&mut client, LOOK);
        let mut came = target.accept();
        came.stream.write_all(format!("{good}{more}").as_bytes()).unwrap();
        assert!(message(&mut client).ends_with("good"));
        assert_eq!(came.next(), "", "its connection is closed");
    }
    sidecar.ends();
}

/// Guards against: connections kept to a target that left while it had a forward; its address may pass to another.
#[test]
fn a_connection_to_a_target_that_has_left_is_not_kept() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut watch = discovery.accept();
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut came = target.accept();
    // The address passes to another id, which must be met on a connection of its own.
    let lines = [line("t0", target.address, "left"), line("t1", target.address, "active")];
    watch.reply("200 OK", "", &list(2, false, &lines));
    watch.next();
    came.reply("200 OK", "", "last");
    assert!(message(&mut client).ends_with("last"));
    assert_eq!(came.next(), "", "its connection is closed");
    send(&mut client, LOOK);
    target.accept().reply("200 OK", "", "first");
    assert!(message(&mut client).ends_with("first"));
    sidecar.ends();
}
