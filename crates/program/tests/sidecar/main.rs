//! The sidecar on sockets, against scripted peers: one story for each failure that it guards against.
#![allow(missing_docs)]

mod console;
mod peers;

use insta::assert_snapshot;
use peers::*;
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

/// Guards against: work for a client that has gone.
#[test]
fn a_client_that_leaves_takes_its_forward_along() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut came = target.accept();
    drop(client);
    assert_eq!(came.next(), "", "its connection is closed");
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

/// Guards against: new work to a target that is leaving, and the list lost when discovery fails.
#[test]
fn the_list_is_followed_and_outlives_its_source() {
    let (old, new, discovery) = (Peer::new(), Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[old.address], &discovery);
    let mut call = discovery.accept();
    assert_snapshot!(call.text.lines().next().unwrap(), @"GET /registry/instances?from=1&hold_ms=10000 HTTP/1.1");
    let change = [line("t0", old.address, "leaving"), line("t1", new.address, "active")];
    call.reply("200 OK", "", &list(2, false, &change));
    // It watches on from there, so it has acted on what it was told.
    assert!(call.next().starts_with("GET /registry/instances?from=2&"));
    let seen = new.echo();
    assert!(sidecar.ask(LOOK).ends_with("GET /look/7?size=2 HTTP/1.1"));
    assert!(seen.recv().unwrap().starts_with("GET /look"));
    // A bad answer is a failed call: it asks anew, from the version it holds, and serves meanwhile.
    call.reply("200 OK", "", r#"{"generation":3,"reset":true,"instances":[{"instanceId":"t0"}]}"#);
    assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"));
    assert!(discovery.accept().text.starts_with("GET /registry/instances?from=2&"));
    sidecar.ends();
}

/// Guards against: an answer of discovery that ends the program, empties the list, or leaves it without a watch.
#[test]
fn no_answer_of_discovery_harms_the_list() {
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let target = "127.0.0.1:9".parse().unwrap();
    let unknown = list(2, false, &[line("t0", target, "resting")]);
    let portless = list(2, false, &[line("t0", target, "active").replace(":9\"", "\"")]);
    // What comes, and whether the list held is still known to be whole.
    let bad = [
        (String::new(), true),
        ("\u{1}\u{2} noise\r\n\r\n".into(), true),
        (answer("no json"), true),
        (answer("{\"generation\":2,").replace("Content-Length: ", "Content-Length: 9"), true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{".into(), true),
        ("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n".into(), true),
        (answer(&unknown), true),
        (answer(&portless), true),
        (answer(&list(2, true, &[])), true),
        (answer(&list(0, false, &[line("t0", target, "left")])), false),
    ];
    let stories = bad.map(|(bytes, whole)| {
        std::thread::spawn(move || {
            let (target, next, discovery) = (Peer::new(), Peer::new(), Peer::new());
            let sidecar = Running::knowing(&[target.address], &discovery);
            let mut call = discovery.accept();
            call.stream.write_all(bytes.as_bytes()).expect("the sidecar reads");
            drop(call);
            // It asks again, and all the while serves by the list that it holds.
            let mut call = discovery.accept();
            let from =
                if whole { "GET /registry/instances?from=1&" } else { "GET /registry/instances HTTP" };
            assert!(call.text.starts_with(from), "after {bytes:?}: {}", call.text);
            let seen = target.echo();
            assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"), "after {bytes:?}");
            assert!(seen.recv().unwrap().starts_with("GET /look"));
            // And it takes what comes then.
            call.reply("200 OK", "", &list(3, true, &[line("t1", next.address, "active")]));
            assert!(call.next().starts_with("GET /registry/instances?from=3&"), "after {bytes:?}");
            let seen = next.echo();
            assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"));
            assert!(seen.recv().unwrap().starts_with("GET /look"));
            sidecar.ends();
        })
    });
    for story in stories {
        story.join().expect("the story holds");
    }
}

/// Guards against: a sidecar that waits for ever on a discovery that says nothing, or gives up one that refuses.
#[test]
fn a_discovery_that_is_silent_or_refuses_is_asked_again_and_harms_nothing() {
    let silent = std::thread::spawn(|| {
        let (target, discovery) = (Peer::new(), Peer::new());
        let sidecar = Running::knowing(&[target.address], &discovery);
        // Held beyond the 10 s of a watch, without a word.
        let call = discovery.accept();
        let seen = target.echo();
        assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"));
        assert!(seen.recv().unwrap().starts_with("GET /look"));
        assert!(discovery.accept().text.starts_with("GET /registry/instances?from=1&"));
        assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"));
        drop(call);
        sidecar.ends();
    });
    let (target, next, discovery) = (Peer::new(), Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    // Nobody listens on the port of tcpmux.
    let sidecar = Running::start(&config("127.0.0.1:1".parse().unwrap(), &known, 1024));
    let seen = target.echo();
    assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"));
    assert!(seen.recv().unwrap().starts_with("GET /look"));
    sidecar.reload(&config(discovery.address, &known, 1024));
    let mut call = discovery.accept();
    call.reply("200 OK", "", &list(3, true, &[line("t1", next.address, "active")]));
    assert!(call.next().starts_with("GET /registry/instances?from=3&"));
    let seen = next.echo();
    assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"));
    assert!(seen.recv().unwrap().starts_with("GET /look"));
    sidecar.ends();
    silent.join().expect("the story holds");
}

/// Guards against: a sidecar that starts without a list and never asks for one (the balancer's first timer was
/// set only with its first event), readiness before the list is there, and answers lost at a planned stop.
#[test]
fn it_is_ready_once_it_has_a_list_and_until_it_is_told_to_stop() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::start(&config(discovery.address, "null", 1024));
    let ready = "GET /health/ready HTTP/1.1\nHost: n0\n\n";
    assert!(sidecar.ask(ready).starts_with("HTTP/1.1 503"));
    let mut call = discovery.accept();
    assert_snapshot!(call.text.lines().next().unwrap(), @"GET /registry/instances HTTP/1.1");
    call.reply("200 OK", "", &list(1, true, &[line("t0", target.address, "active")]));
    call.next();
    assert!(sidecar.ask(ready).starts_with("HTTP/1.1 200"));

    // What it has taken is answered after the word to stop, and so is what comes right after it.
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut came = target.accept();
    sidecar.stop();
    while !sidecar.ask(ready).starts_with("HTTP/1.1 503") {}
    let mut late = sidecar.client();
    send(&mut late, ORDER);
    let mut second = target.accept();
    second.reply("200 OK", "", "late");
    assert!(message(&mut late).ends_with("late"));
    // Nobody else may be there for the clients: what they keep is served on.
    send(&mut late, ORDER);
    assert!(second.next().starts_with("POST"));
    second.reply("200 OK", "", "later");
    assert!(message(&mut late).ends_with("later"));
    came.reply("200 OK", "", "early");
    assert!(message(&mut client).ends_with("early"));
    // In time they are given back: idle connections are closed, and it ends.
    assert_eq!(message(&mut client) + &message(&mut late), "");
    sidecar.ends();
}

/// Guards against: the last free connections given away after the word to stop, when no new ones come: a front
/// that finds none takes all clients away.
#[test]
fn after_the_word_to_stop_some_connections_are_kept_free() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let _seen = target.echo();
    let mut clients: Vec<_> = (0..8).map(|_| sidecar.client()).collect();
    for client in &mut clients {
        send(client, LOOK);
        assert!(message(client).starts_with("HTTP/1.1 200"));
    }
    let (begun, rest) = LOOK.split_at(30);
    for client in &mut clients[2..] {
        send(client, begun);
    }
    sidecar.stop();
    // One is free beside this one.
    let refusal = loop {
        send(&mut clients[0], LOOK);
        let answer = message(&mut clients[0]);
        if !answer.starts_with("HTTP/1.1 200") {
            break answer;
        }
    };
    assert_snapshot!(refusal, @r"
    HTTP/1.1 503 Service Unavailable
    Content-Type: text/plain
    Retry-After: 0.100
    Content-Length: 8

    refused
    ");
    // Once answers have freed others it is served again.
    for (i, client) in clients[2..].iter_mut().enumerate() {
        send(client, &rest.replace("c1", &format!("held{i}")));
    }
    while !{
        send(&mut clients[0], LOOK);
        message(&mut clients[0]).starts_with("HTTP/1.1 200")
    } {}
    drop(clients);
    sidecar.ends();
}

/// Guards against: bad input that reaches the balancer or a target, or stops the program.
#[test]
fn bad_input_is_answered_here() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let seen = target.echo();
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
        ("long body", ORDER.replace("Length: 5", "Length: 65537")),
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
        let answer = sidecar.ask(&request);
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
    // A time left that is not given stands for the class's own.
    assert!(sidecar.ask(&LOOK.replace("X-Time-Left-Ms: 3000\n", "")).starts_with("HTTP/1.1 200"));
    assert!(seen.recv().unwrap().starts_with("GET /look"));
    assert!(seen.try_recv().is_err(), "nothing else reached the target");
    sidecar.ends();
}

/// Guards against: idle connections that use up the descriptors and shut others out.
#[test]
fn more_connections_than_descriptors_allow_make_room_for_each_other() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    let sidecar = Running::start(&config(discovery.address, &known, 96));
    let _seen = target.echo();
    let mut kept = Vec::new();
    for _ in 0..100 {
        let mut client = sidecar.client();
        send(&mut client, LOOK);
        assert!(message(&mut client).starts_with("HTTP/1.1 200"));
        kept.push(client);
    }
    sidecar.ends();
}

/// Guards against: slow senders that hold every connection and shut others out until their time is up.
#[test]
fn slow_senders_make_room_last_but_in_time() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    let sidecar = Running::start(&config(discovery.address, &known, 96));
    let _seen = target.echo();
    let mut slow = Vec::new();
    for _ in 0..40 {
        let mut client = sidecar.client();
        send(&mut client, "GET /look/7 HTTP/1.1\nX-");
        slow.push(client);
    }
    let begun = std::time::Instant::now();
    assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 "), "it is answered");
    assert!(begun.elapsed().as_secs() < 5, "before a slow sender's time is up");
    drop(slow);
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
    // The most recently used ones are used first; two forwards time out, and the third connection goes.
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

/// Guards against: new connections closed to make room for each other while their first request is on its way
/// (76 of 200 requests at once were lost so, with room for 28 connections).
#[test]
fn a_new_connection_is_given_time_for_its_first_request() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    let sidecar = Running::start(&config(discovery.address, &known, 96));
    let _seen = target.echo();
    let mut clients: Vec<_> = (0..24).map(|_| sidecar.client()).collect();
    // Connections are accepted in turn: once one is answered, all before it wait for their requests, and the
    // next one needs room.
    sidecar.ask(LOOK);
    sidecar.ask(LOOK);
    for client in &mut clients {
        send(client, LOOK);
        assert!(message(client).starts_with("HTTP/1.1 200"));
    }
    sidecar.ends();
}

/// Guards against: a new configuration that ends the program, is not heeded at once, or drops the list held;
/// and a bad one heeded.
#[test]
fn a_new_configuration_moves_discovery_and_a_bad_one_changes_nothing() {
    let (old, new) = (Peer::new(), Peer::new());
    let (first, second) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[first.address], &old);
    let mut watch = old.accept();
    let good = config(new.address, "null", 1024);
    sidecar.reload(&good.replace("\"read_like\"", "\"odd\""));
    sidecar.reload(&good);
    // The watch at the old place ends, and the new one is asked for the whole list.
    assert_eq!(watch.next(), "");
    let mut call = new.accept();
    assert_eq!(call.text.lines().next(), Some("GET /registry/instances HTTP/1.1"));
    // Until it answers, the old list holds.
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    first.accept().reply("200 OK", "", "old");
    assert!(message(&mut client).ends_with("old"));
    call.reply("200 OK", "", &list(1, true, &[line("t1", second.address, "active")]));
    call.next();
    send(&mut client, LOOK);
    second.accept().reply("200 OK", "", "new");
    assert!(message(&mut client).ends_with("new"));
    sidecar.ends();
}

/// Guards against: a second request under the id of an open one served, and its client given the other's answer.
#[test]
fn the_id_of_an_open_request_is_turned_away() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut came = target.accept();
    assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 409"));
    came.reply("200 OK", "", "mine");
    assert!(message(&mut client).ends_with("mine"));
    // Once that one is answered, its id is as good as any.
    send(&mut client, LOOK);
    assert!(came.next().starts_with("GET"));
    came.reply("200 OK", "", "again");
    assert!(message(&mut client).ends_with("again"));
    sidecar.ends();
}

/// Guards against: the refusal of a huge body lost in the reset that closing on unread input brings.
#[test]
fn a_huge_body_is_refused_from_its_head() {
    let discovery = Peer::new();
    let sidecar = Running::knowing(&[discovery.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, &ORDER.replace("Length: 5", "Length: 60000000"));
    for _ in 0..64 {
        // All of it is taken, though the answer has long been given.
        client.write_all(&[b'x'; 64 << 10]).expect("it reads on");
    }
    assert!(message(&mut client).starts_with("HTTP/1.1 413"));
    sidecar.ends();
}

/// Guards against: clients that say nothing, or begin and do not end, left with neither answer nor close.
#[test]
fn the_silent_and_the_slow_are_let_go_within_three_seconds() {
    let discovery = Peer::new();
    let sidecar = Running::knowing(&[discovery.address], &discovery);
    let begun = std::time::Instant::now();
    let (mut silent, mut slow) = (sidecar.client(), sidecar.client());
    send(&mut slow, "GET /look/7 HTTP/1.1\nX-");
    assert_eq!(message(&mut silent), "");
    assert!(message(&mut slow).starts_with("HTTP/1.1 408"));
    assert!(begun.elapsed().as_secs() < 3);
    sidecar.ends();
}

/// Guards against: a sender whose message never ends keeping the one thread to itself.
#[test]
fn an_endless_sender_starves_nobody() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let _seen = target.echo();
    let mut endless = sidecar.client();
    let chunked = ORDER.replace("Content-Length: 5", "Transfer-Encoding: chunked").replace("paper", "0\n");
    send(&mut endless, &chunked);
    let sender =
        std::thread::spawn(move || while endless.write_all(&b"X-More: 1\r\n".repeat(4096)).is_ok() {});
    for _ in 0..20 {
        assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"));
    }
    sender.join().expect("it is cut off");
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
