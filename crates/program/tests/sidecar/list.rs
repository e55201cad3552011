//! The endpoint list on sockets: pushed lists, silent watches, and the forms in which lists arrive.

use crate::harness::*;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// New attempts may go to an endpoint for this long after it is removed: 0.5 s by the settings, and
/// 0.05 s by the protocol specification.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

/// How long the client of [`LOOK`] waits.
const LOOK_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
const READY: &str = "GET /health/ready HTTP/1.1\nHost: n0\n\n";

/// A configuration with pushed lists.
fn pushed_config(discovery: SocketAddr, known: &str) -> String {
    config_json(discovery, known, 1024).replace("on_request", "pushed")
}

fn assert_poll(poll: &AcceptedConnection, query: &str) {
    assert!(poll.text.starts_with(&format!("GET /registry/instances{query}")), "{}", poll.text);
}

/// Sends the change that replaces `t0` with `t1` and waits until it is applied: from then on
/// requests go to `t1` alone.
fn assert_change_is_applied(
    sidecar: &TestSidecar,
    poll: &mut AcceptedConnection,
    old: SocketAddr,
    new: ScriptedServer,
) {
    let change = [instance_json("t0", old, "leaving"), instance_json("t1", new.address, "active")];
    poll.reply("200 OK", "", &list_json(2, false, &change));
    poll.read_next();
    assert_poll(poll, "?from=2&");
    let requests = new.echo_requests();
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    assert!(requests.recv().expect("an attempt").starts_with("GET /look"));
}

/// Guards against a pushed list that is never requested (the balancer does not request one then,
/// and the watch waited for its request), at a start or after a broken connection, an outage or an
/// unusable answer.
#[test]
fn pushed_list_is_polled_at_once_and_after_each_failure() {
    let (old, new, agent) = (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::start(&pushed_config(agent.address, "null"));
    let mut poll = agent.accept();
    assert_poll(&poll, " HTTP");
    poll.reply("200 OK", "", &list_json(1, true, &[instance_json("t0", old.address, "active")]));
    poll.read_next();
    assert_poll(&poll, "?from=1&");
    drop(poll);
    for _ in 0..3 {
        drop(agent.accept());
    }
    agent.accept().reply("503 Service Unavailable", "", "");
    agent.accept().reply("200 OK", "", "no list");
    let mut poll = agent.accept();
    assert_poll(&poll, "?from=1&");
    assert_change_is_applied(&sidecar, &mut poll, old.address, new);
    sidecar.stop_and_join();
}

/// Guards against waiting forever for a pushed watch that has fallen silent, and against never
/// receiving what it missed.
#[test]
fn silent_watch_of_pushed_list_is_restarted() {
    let (old, new, agent) = (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", old.address, "active")]);
    let sidecar = TestSidecar::start(&pushed_config(agent.address, &known));
    // The initial list is confirmed first, at once; the watch continues from there, and falls silent.
    let mut silent = agent.accept();
    assert_poll(&silent, "?from=1&hold_ms=0 ");
    silent.reply("200 OK", "", &list_json(1, false, &[]));
    silent.read_next();
    assert_poll(&silent, "?from=1&hold_ms=10000 ");
    // What the watch missed is requested without a hold: if that poll is silent too, this is
    // detected in 1.1 s.
    let mut poll = agent.accept();
    assert_poll(&poll, "?from=1&hold_ms=0 ");
    assert_change_is_applied(&sidecar, &mut poll, old.address, new);
    sidecar.stop_and_join();
}

/// Guards against a watch that keeps waiting for the balancer's request after settings reloaded by
/// SIGHUP make the list a pushed one.
#[test]
fn list_that_becomes_pushed_is_polled_at_once() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    // As long as the list is requested, the next poll would come within the hour.
    let on_request_config =
        config_json(discovery.address, &known, 1024).replace("400000000", "40000000000000");
    let sidecar = TestSidecar::start(&on_request_config);
    sidecar.reload(&on_request_config.replace("on_request", "pushed"));
    assert_poll(&discovery.accept(), "?from=1&hold_ms=0 ");
    sidecar.stop_and_join();
}

/// Guards against taking a list for invalid that is indented, arrives in pieces, or both.
#[test]
fn indented_lists_and_lists_in_pieces_are_accepted() {
    let (old, new, discovery) = (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let indented = |text: String| {
        let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        format!("\r\n\t {}\n\n", serde_json::to_string_pretty(&value).expect("JSON").replace('\n', " \r\n"))
    };
    let sidecar = TestSidecar::start(&pushed_config(discovery.address, "null"));
    let mut poll = discovery.accept();
    let whole = indented(list_json(1, true, &[instance_json("t0", old.address, "active")]));
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
    poll.stream.set_nodelay(true).expect("a socket");
    for byte in (head + &whole).bytes() {
        poll.stream.write_all(&[byte]).expect("it reads");
    }
    poll.read_next();
    assert_poll(&poll, "?from=1&");
    let change = [instance_json("t0", old.address, "left"), instance_json("t1", new.address, "active")];
    let change = indented(list_json(2, false, &change));
    poll.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("it reads");
    for piece in change.as_bytes().chunks(7) {
        let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        poll.stream.write_all(&chunk).expect("it reads");
    }
    poll.stream.write_all(b"0\r\n\r\n").expect("it reads");
    poll.read_next();
    assert_poll(&poll, "?from=2&");
    let requests = new.echo_requests();
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    assert!(requests.recv().expect("an attempt").starts_with("GET /look"));
    sidecar.stop_and_join();
}

/// Guards against the refusal of an empty whole list (report 2c34d4): the list held stayed in use,
/// though what a whole list does not name is gone. Callers are refused within half of their time,
/// which costs them nothing, and the process stays ready.
#[test]
fn empty_whole_list_removes_all_endpoints() {
    for pushed in [false, true] {
        let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
        let listed = [instance_json("t0", endpoint.address, "active")];
        let known = list_json(1, true, &listed);
        let config = config_json(discovery.address, &known, 1024);
        let config = if pushed { config.replace("on_request", "pushed") } else { config };
        let requests = endpoint.share().echo_requests();
        let sidecar = TestSidecar::start(&config);
        let mut poll = discovery.accept();
        assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
        requests.recv().expect("an attempt");
        poll.reply("200 OK", "", &list_json(2, true, &[]));
        // The list is applied: the watch goes on from its version, on the same connection.
        assert!(poll.read_next().starts_with("GET /registry/instances?from=2&"), "{}", poll.text);
        let asked = Instant::now();
        let refused = sidecar.request(LOOK);
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(asked.elapsed() < LOOK_CLIENT_TIMEOUT / 2, "refused after {:?}", asked.elapsed());
        assert!(sidecar.request(READY).starts_with("HTTP/1.1 200"), "it has a list");
        assert!(requests.try_recv().is_err(), "a removed endpoint gets no attempt");
        poll.reply("200 OK", "", &list_json(3, false, &listed));
        poll.read_next();
        assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
        sidecar.stop_and_join();
    }
}

/// An answer of discovery, and whether the list held may be used for longer than the grace of a
/// drain after it.
struct Answer {
    bytes: String,
    list_stays_in_use: bool,
}

fn with_length(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends the answer on the watch of a serving sidecar, and nothing more until the grace of a drain
/// is over. Checks whether the list held is still in use then, and that the next list is applied.
fn check_answer(Answer { bytes, list_stays_in_use }: Answer) {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let listed = [instance_json("t0", endpoint.address, "active")];
    let requests = endpoint.share().echo_requests();
    let sidecar = TestSidecar::start(&config_json(discovery.address, &list_json(7, true, &listed), 1024));
    let mut poll = discovery.accept();
    poll.reply("200 OK", "", &list_json(7, false, &[]));
    poll.read_next();
    assert_poll(&poll, "?from=7&hold_ms=10000 ");
    poll.stream.write_all(bytes.as_bytes()).expect("the sidecar reads");
    drop(poll);
    thread::sleep(DRAIN_GRACE);
    let answer = sidecar.request(LOOK);
    let attempts = requests.try_iter().count();
    if list_stays_in_use {
        assert!(answer.starts_with("HTTP/1.1 200") && attempts == 1, "after {bytes:?}: {answer}");
    } else {
        assert!(answer.starts_with("HTTP/1.1 503") && attempts == 0, "after {bytes:?}: {answer}");
    }
    // Polls that were given up meanwhile come first.
    let mut poll = discovery.accept();
    while poll.stream.write_all(with_length("200 OK", &list_json(8, true, &listed)).as_bytes()).is_err()
        || !poll.read_next().starts_with("GET /registry/instances?from=8&")
    {
        poll = discovery.accept();
    }
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"), "after {bytes:?}");
    sidecar.stop_and_join();
}

/// Guards against use of the list held after an answer of discovery that could not be applied,
/// whatever the reason (report 2c34d4: the watch counted as one that broke, which renewed the lease
/// by 6 s). What it said counts as notified. A poll that ended without an answer, or with a status
/// that says nothing of the list, leaves the list in use.
#[test]
fn list_held_is_not_used_after_an_answer_that_cannot_be_applied() {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let incomplete = instance_json("t0", nowhere, "left").replace("lifecycle", "state");
    let left = list_json(8, false, &[instance_json("t0", nowhere, "left")]);
    let unusable = [
        with_length("200 OK", "no json"),
        with_length("200 OK", ""),
        with_length("200 OK", &left[..left.len() - 1]),
        with_length("200 OK", &list_json(8, false, &[incomplete])),
        with_length("200 OK", &left.replace("\"generation\":8,", "")),
        with_length("200 OK", &left.replace("\"generation\":8", "\"generation\":3")),
        with_length("200 OK", &left.replace("\"generation\":8", "\"generation\":-1")),
        // Cut: in its head, after it, and in its body.
        "HTTP/1.1 2".to_owned(),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", left.len()),
        with_length("200 OK", &left)[..90].to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(),
    ];
    let unusable = unusable.map(|bytes| Answer { bytes, list_stays_in_use: false });
    let says_nothing = [
        String::new(),
        with_length("503 Service Unavailable", ""),
        with_length("500 Internal Server Error", "{}"),
        with_length("404 Not Found", "no such version"),
    ];
    let says_nothing = says_nothing.map(|bytes| Answer { bytes, list_stays_in_use: true });
    let answers = unusable.into_iter().chain(says_nothing);
    let cases: Vec<_> = answers.map(|answer| thread::spawn(move || check_answer(answer))).collect();
    for case in cases {
        case.join().expect("the case passes");
    }
}

/// Guards against a whole list of an older version that brings back endpoints which are gone, and
/// against refusing for ever the list of a discovery whose versions began anew.
#[test]
fn whole_list_of_an_older_version_is_applied_once_it_is_confirmed() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let requests = endpoint.share().echo_requests();
    let sidecar = TestSidecar::start(&config_json(discovery.address, &list_json(7, true, &[]), 1024));
    let older = list_json(3, true, &[instance_json("t0", endpoint.address, "active")]);
    let mut poll = discovery.accept();
    poll.reply("200 OK", "", &older);
    let mut poll = discovery.accept();
    assert_poll(&poll, " HTTP");
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 503"), "it is not applied yet");
    assert!(requests.try_recv().is_err());
    while poll.stream.write_all(with_length("200 OK", &older).as_bytes()).is_err()
        || !poll.read_next().starts_with("GET /registry/instances?from=3&")
    {
        poll = discovery.accept();
    }
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    sidecar.stop_and_join();
}

/// Guards against use of the list held while an answer arrives slowly: it has been written by then.
#[test]
fn list_held_is_not_used_while_an_answer_is_arriving() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let listed = [instance_json("t0", endpoint.address, "active")];
    let requests = endpoint.share().echo_requests();
    let sidecar = TestSidecar::start(&config_json(discovery.address, &list_json(7, true, &listed), 1024));
    let mut poll = discovery.accept();
    let answer = with_length("200 OK", &list_json(8, true, &listed));
    let (first, rest) = answer.split_at(answer.len() / 2);
    poll.stream.write_all(first.as_bytes()).expect("the sidecar reads");
    thread::sleep(DRAIN_GRACE);
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    thread::sleep(Duration::from_millis(100));
    assert!(requests.try_recv().is_err(), "no attempt until the answer is complete");
    poll.stream.write_all(rest.as_bytes()).expect("the sidecar reads");
    assert!(read_message(&mut client).starts_with("HTTP/1.1 200"));
    sidecar.stop_and_join();
}

/// Guards against a process that starts while its tier is empty and is never ready: the list is
/// known, and it is empty.
#[test]
fn process_is_ready_once_it_has_an_empty_list() {
    for known in ["null".to_owned(), list_json(1, true, &[])] {
        let discovery = ScriptedServer::new();
        let sidecar = TestSidecar::start(&config_json(discovery.address, &known, 1024));
        let mut poll = discovery.accept();
        if known == "null" {
            assert!(sidecar.request(READY).starts_with("HTTP/1.1 503"), "it has no list");
        }
        poll.reply("200 OK", "", &list_json(2, true, &[]));
        poll.read_next();
        assert!(sidecar.request(READY).starts_with("HTTP/1.1 200"));
        sidecar.stop_and_join();
    }
}
