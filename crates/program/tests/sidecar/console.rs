//! The console on its second address: figures, endpoints out by hand, drains.

use crate::peers::*;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

/// A sidecar with a console and one target that answers all; discovery is kept, silent.
fn serving_one_target() -> (Running, std::net::SocketAddr, Peer) {
    let (target, discovery) = (Peer::new(), Peer::new());
    let lines = [line("t0", target.address, "active")];
    let (sidecar, console) =
        Running::with_console(&config(discovery.address, &list(1, true, &lines), 1024), None);
    let _seen = target.echo();
    (sidecar, console, discovery)
}

fn look(n: usize) -> String {
    LOOK.replace("X-Correlation-Id: c1", &format!("X-Correlation-Id: look-{n}"))
}

/// Guards against: figures that are untrue or missing, bad calls that go unanswered, and a silent caller that
/// keeps the next one waiting.
#[test]
fn the_console_answers_each_call_with_true_figures() {
    let (sidecar, console, discovery) = serving_one_target();
    // A caller that says nothing holds nobody up.
    let _silent = TcpStream::connect(console).expect("the console listens");
    assert_eq!(call(console, "HEALTH"), "+OK\n");
    assert_eq!(call(console, "PING"), "-ERR unknown command PING\n");
    assert_eq!(call(console, "OFFLINE"), "-ERR OFFLINE wants an endpoint id\n");
    assert!(call(console, &"x".repeat(5000)).starts_with("-ERR line too long"));
    for n in 0..3 {
        assert!(sidecar.ask(&look(n)).starts_with("HTTP/1.1 200"));
    }
    let seen = figures(console);
    assert_eq!(seen["operations"]["look"]["fulfilled"], 3, "{seen}");
    assert_eq!(seen["operations"]["look"]["relayed"], 3, "{seen}");
    assert_eq!(seen["operations"]["look"]["throttled"], 0, "{seen}");
    assert_eq!(seen["operations"]["order"]["fulfilled"], 0, "{seen}");
    assert_eq!(seen["relayed"], 3, "{seen}");
    assert_eq!(seen["open_requests"], 0, "{seen}");
    assert_eq!(seen["registry_entries"], 1, "{seen}");
    assert_eq!(seen["out_of_rotation"], 0, "{seen}");
    assert_eq!((seen["cfg_accepted"].clone(), seen["cfg_invalid"].clone()), (0.into(), 0.into()));
    sidecar.reload("{");
    while figures(console)["cfg_invalid"] != 1 {}
    let no_attempts =
        config(discovery.address, "null", 1024).replace(r#""max_attempts":3"#, r#""max_attempts":0"#);
    sidecar.reload(&no_attempts);
    while figures(console)["cfg_invalid"] != 2 {}
    assert_eq!(figures(console)["cfg_accepted"], 0);
    sidecar.ends();
}

/// Guards against: new work to a target taken out by hand, a ban that the list undoes, a ban that a new
/// process forgets, and a yes for an endpoint never listed.
#[test]
fn a_target_taken_out_by_hand_stays_out_until_it_is_put_back() {
    let state = tempfile::tempdir().expect("a directory");
    let (first, second, discovery) = (Peer::new(), Peer::new(), Peer::new());
    let lines = [line("t0", first.address, "active"), line("t1", second.address, "active")];
    let text = config(discovery.address, &list(1, true, &lines), 1024);
    let (sidecar, console) = Running::with_console(&text, Some(state.path()));
    let (to_first, to_second) = (first.echo(), second.echo());
    assert_eq!(call(console, "OFFLINE t0"), "+OK\n");
    assert_eq!(call(console, "OFFLINE t0"), "+OK\n", "a call out may be repeated");
    assert!(call(console, "OFFLINE t9").starts_with("-ERR no endpoint"));
    assert_eq!(figures(console)["out_of_rotation"], 1);
    for n in 0..20 {
        assert!(sidecar.ask(&look(n)).starts_with("HTTP/1.1 200"));
    }
    assert!(to_first.try_recv().is_err(), "nothing went to the target taken out");
    assert_eq!(to_second.try_iter().count(), 20);
    sidecar.ends();

    // The next process of the sidecar keeps it out, whatever the list says; one call puts it back.
    let (sidecar, console) = Running::with_console(&text, Some(state.path()));
    assert_eq!(figures(console)["out_of_rotation"], 1);
    assert_eq!(call(console, "OFFLINE t1"), "+OK\n");
    for n in 0..5 {
        assert!(sidecar.ask(&look(n)).starts_with("HTTP/1.1 503"), "both are out");
    }
    assert_eq!(call(console, "ONLINE t0"), "+OK\n");
    assert_eq!(figures(console)["out_of_rotation"], 1);
    let served = (0..20).filter(|n| sidecar.ask(&look(*n)).starts_with("HTTP/1.1 200")).count();
    assert!(served > 0, "the target put back is used again");
    assert_eq!(to_first.try_iter().count(), served);
    assert!(to_second.try_recv().is_err());
    sidecar.ends();
}

/// Guards against: a drain that leaves the front sending, or holds clients' idle connections, and a join
/// that does not make it ready again.
#[test]
fn leave_sends_clients_away_and_join_takes_them_again() {
    let (sidecar, console, _discovery) = serving_one_target();
    let ready = "GET /health/ready HTTP/1.1\nHost: n0\n\n";
    assert!(sidecar.ask(ready).starts_with("HTTP/1.1 200"));
    let mut kept = sidecar.client();
    send(&mut kept, &look(0));
    assert!(!message(&mut kept).contains("Connection: close"));
    assert_eq!(call(console, "LEAVE"), "+OK\n");
    assert!(sidecar.ask(ready).starts_with("HTTP/1.1 503"));
    // The kept connection is closed while it stands idle: the client reads its end.
    kept.set_read_timeout(Some(Duration::from_secs(3))).expect("a socket");
    assert_eq!(kept.read(&mut [0; 16]).expect("closed, not timed out"), 0);
    // What still comes is served, and its connection closed after the answer.
    let mut late = sidecar.client();
    send(&mut late, &look(1));
    let answer = message(&mut late);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
    assert_eq!(call(console, "JOIN"), "+OK\n");
    assert!(sidecar.ask(ready).starts_with("HTTP/1.1 200"));
    sidecar.ends();
}

/// Guards against: a body that comes at the pace a client may send it (64 kB a second) cut off after 2.4 s,
/// as if its sender were silent.
#[test]
fn a_body_that_comes_slowly_but_steadily_is_taken() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let _seen = target.echo();
    let body = vec![b'p'; 60_000];
    let head = ORDER.replace("Content-Length: 5\n\npaper", &format!("Content-Length: {}\n\n", body.len()));
    let mut client = sidecar.client();
    // A head in 1.5 s and a body at 40 kB a second: three seconds in all, as slow as the page allows.
    let (first, rest) = head.split_at(20);
    send(&mut client, first);
    std::thread::sleep(Duration::from_millis(1500));
    send(&mut client, rest);
    for piece in body.chunks(6_000) {
        std::thread::sleep(Duration::from_millis(150));
        std::io::Write::write_all(&mut client, piece).expect("it reads");
    }
    let answer = message(&mut client);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    sidecar.ends();
}

/// Guards against: settings given at SIGHUP that wait for the next start (a class added is unknown, one
/// dropped still served), and a flow open at the reload that loses its answer.
#[test]
fn classes_given_at_a_reload_are_served_at_once_and_open_flows_finish() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let lines = [line("t0", target.address, "active")];
    let known = list(1, true, &lines);
    let (sidecar, console) = Running::with_console(&config(discovery.address, &known, 1024), None);
    let mut client = sidecar.client();
    send(&mut client, &look(0));
    let mut open = target.accept();
    // `order` gives way to `frame`, which is safe to repeat.
    let retuned = config(discovery.address, &known, 1024).replace(
        r#""name":"order","semantics":"idempotency_key""#,
        r#""name":"frame","semantics":"read_like""#,
    );
    sidecar.reload(&retuned);
    while figures(console)["cfg_accepted"] != 1 {}
    open.reply("200 OK", "", "before");
    assert!(message(&mut client).ends_with("before"), "the open flow has its answer");
    let frame = LOOK.replace("/look/7", "/frame/7").replace("X-Service-Class: look\n", "");
    send(&mut client, &frame);
    assert!(open.next().starts_with("GET /frame/7"), "the new class goes to the target");
    open.reply("200 OK", "", "framed");
    assert!(message(&mut client).ends_with("framed"), "the new class is served");
    assert!(sidecar.ask(ORDER).starts_with("HTTP/1.1 404"), "the dropped class is unknown");
    assert_eq!(figures(console)["operations"]["frame"]["fulfilled"], 1);
    sidecar.ends();
}

/// Guards against: the terms of connections to endpoints given at SIGHUP that wait for the next start (an idle one closed
/// by the endpoint under a request).
#[test]
fn terms_of_connections_given_at_a_reload_hold_from_then_on() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    let config = config(discovery.address, &known, 1024);
    let (sidecar, console) = Running::with_console(&config, None);
    sidecar.reload(
        &config.replace("\"connect_timeout_ns\"", "\"conn_idle_ns\":100000000,\"connect_timeout_ns\""),
    );
    while figures(console)["cfg_accepted"] != 1 {}
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut came = target.accept();
    came.reply("200 OK", "", "ok");
    assert!(message(&mut client).ends_with("ok"));
    assert_eq!(came.next(), "", "closed before the endpoint closes it");
    sidecar.ends();
}
