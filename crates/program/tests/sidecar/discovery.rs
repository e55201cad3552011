//! Discovery and reloads: the list is followed, survives faults, and is requested from another
//! address.

use crate::harness::*;
use insta::assert_snapshot;
use std::io::Write;

/// Guards against new work for an endpoint that is draining, and the loss of the list when
/// discovery fails.
#[test]
fn list_is_followed_and_survives_discovery_failure() {
    let (old, new, discovery) = (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[old.address], &discovery);
    let mut poll = discovery.accept();
    assert_snapshot!(poll.text.lines().next().unwrap(), @"GET /registry/instances?from=1&hold_ms=1000 HTTP/1.1");
    let change = [instance_json("t0", old.address, "leaving"), instance_json("t1", new.address, "active")];
    poll.reply("200 OK", "", &list_json(2, false, &change));
    // The watch continues from there, so the sidecar has applied what it received.
    assert!(poll.read_next().starts_with("GET /registry/instances?from=2&"));
    let requests = new.echo_requests();
    assert!(sidecar.request(LOOK).ends_with("GET /look/7?size=2 HTTP/1.1"));
    assert!(requests.recv().unwrap().starts_with("GET /look"));
    // After a poll that ends without an answer the sidecar polls again from the version that it
    // holds, and serves meanwhile.
    drop(poll);
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    assert!(discovery.accept().text.starts_with("GET /registry/instances?from=2&"));
    sidecar.stop_and_join();
}

/// Guards against an answer of discovery that ends the program or stops the watch, and against one
/// that empties the list though it says nothing of it. What it says of the list counts as notified
/// (`list.rs` tests that): then the next poll asks for an answer at once.
#[test]
fn invalid_discovery_answer_is_followed_by_another_poll() {
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let endpoint = "127.0.0.1:9".parse().unwrap();
    let [from_held, at_once, whole] = ["?from=1&hold_ms=1000 ", "?from=1&hold_ms=0 ", " HTTP"]
        .map(|query| format!("/registry/instances{query}"));
    // The bytes of the answer, and the next poll.
    let invalid = [
        (String::new(), &from_held),
        ("\u{1}\u{2} noise\r\n\r\n".into(), &at_once),
        (answer("no json"), &at_once),
        (answer("{\"generation\":2,").replace("Content-Length: ", "Content-Length: 9"), &at_once),
        ("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{".into(), &at_once),
        ("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n".into(), &from_held),
        (answer(&list_json(0, false, &[instance_json("t0", endpoint, "left")])), &whole),
    ];
    let cases = invalid.map(|(bytes, next_poll)| {
        let (next_poll, says_nothing) = (next_poll.clone(), *next_poll == from_held);
        std::thread::spawn(move || {
            let (endpoint, next, discovery) =
                (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
            let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
            let mut poll = discovery.accept();
            poll.stream.write_all(bytes.as_bytes()).expect("the sidecar reads");
            drop(poll);
            let mut poll = discovery.accept();
            assert!(poll.text.contains(&next_poll), "after {bytes:?}: {}", poll.text);
            if says_nothing {
                let requests = endpoint.echo_requests();
                assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"), "after {bytes:?}");
                assert!(requests.recv().unwrap().starts_with("GET /look"));
            }
            // Then it applies the next list.
            poll.reply("200 OK", "", &list_json(3, true, &[instance_json("t1", next.address, "active")]));
            assert!(poll.read_next().starts_with("GET /registry/instances?from=3&"), "after {bytes:?}");
            let requests = next.echo_requests();
            assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
            assert!(requests.recv().unwrap().starts_with("GET /look"));
            sidecar.stop_and_join();
        })
    });
    for case in cases {
        case.join().expect("the case passes");
    }
}

/// Guards against a sidecar that waits forever for a silent discovery, or gives up on one that
/// refuses connections.
#[test]
fn silent_or_refusing_discovery_is_polled_again() {
    let silent = std::thread::spawn(|| {
        let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
        let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
        // Held open beyond the 10 s of a watch, without an answer.
        let poll = discovery.accept();
        let requests = endpoint.echo_requests();
        assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
        assert!(requests.recv().unwrap().starts_with("GET /look"));
        assert!(discovery.accept().text.starts_with("GET /registry/instances?from=1&"));
        assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
        drop(poll);
        sidecar.stop_and_join();
    });
    let (endpoint, next, discovery) = (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    // Nothing listens on the port of tcpmux.
    let sidecar = TestSidecar::start(&config_json("127.0.0.1:1".parse().unwrap(), &known, 1024));
    let requests = endpoint.echo_requests();
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    assert!(requests.recv().unwrap().starts_with("GET /look"));
    sidecar.reload(&config_json(discovery.address, &known, 1024));
    let mut poll = discovery.accept();
    poll.reply("200 OK", "", &list_json(3, true, &[instance_json("t1", next.address, "active")]));
    assert!(poll.read_next().starts_with("GET /registry/instances?from=3&"));
    let requests = next.echo_requests();
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    assert!(requests.recv().unwrap().starts_with("GET /look"));
    sidecar.stop_and_join();
    silent.join().expect("the case passes");
}

/// Guards against a new configuration that ends the program, is not applied at once, or drops the
/// held list, and against applying an invalid one.
#[test]
fn reload_moves_discovery_and_invalid_one_changes_nothing() {
    let (old, new) = (ScriptedServer::new(), ScriptedServer::new());
    let (first, second) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[first.address], &old);
    let mut watch = old.accept();
    let good = config_json(new.address, "null", 1024);
    sidecar.reload(&good.replace("\"read_like\"", "\"odd\""));
    sidecar.reload(&good);
    // The watch at the old address ends and continues at the new one, which costs a fraction of the
    // whole list. A short hold shows whether the versions there are the same.
    assert_eq!(watch.read_next(), "");
    let mut poll = new.accept();
    assert_eq!(poll.text.lines().next(), Some("GET /registry/instances?from=1&hold_ms=1000 HTTP/1.1"));
    // Until the new discovery answers, the old list is used.
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    first.accept().reply("200 OK", "", "old");
    assert!(read_message(&mut client).ends_with("old"));
    poll.reply("200 OK", "", &list_json(1, true, &[instance_json("t1", second.address, "active")]));
    poll.read_next();
    send(&mut client, LOOK);
    second.accept().reply("200 OK", "", "new");
    assert!(read_message(&mut client).ends_with("new"));
    sidecar.stop_and_join();
}

/// Guards against waiting, after a reload, for changes from a discovery whose versions are not
/// those of the held list and which will not send any. Its changes are discarded, and the whole
/// list is requested.
#[test]
fn discovery_with_older_versions_is_polled_for_whole_list() {
    let (old, new, first, second) =
        (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(41, true, &[instance_json("t0", first.address, "active")]);
    let sidecar = TestSidecar::start(&config_json(old.address, &known, 1024));
    assert!(old.accept().text.starts_with("GET /registry/instances?from=41&hold_ms=1000 "));
    sidecar.reload(&config_json(new.address, "null", 1024));
    let mut poll = new.accept();
    assert!(poll.text.starts_with("GET /registry/instances?from=41&hold_ms=1000 "), "{}", poll.text);
    poll.reply("200 OK", "", &list_json(3, false, &[]));
    let mut poll = new.accept();
    assert!(poll.text.starts_with("GET /registry/instances HTTP"), "{}", poll.text);
    poll.reply("200 OK", "", &list_json(3, true, &[instance_json("t1", second.address, "active")]));
    assert!(poll.read_next().starts_with("GET /registry/instances?from=3&hold_ms=10000"));
    let requests = second.echo_requests();
    assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    assert!(requests.recv().expect("an attempt").starts_with("GET /look"));
    sidecar.stop_and_join();
}

/// Guards against polling for ever for the changes since a version that discovery does not know.
#[test]
fn rejected_version_is_followed_by_a_poll_for_the_whole_list() {
    for status in ["400 Bad Request", "404 Not Found", "410 Gone", "500 Internal Server Error"] {
        let (first, second, discovery) =
            (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
        let sidecar = TestSidecar::with_endpoints(&[first.address], &discovery);
        let mut poll = discovery.accept();
        assert!(poll.text.starts_with("GET /registry/instances?from=1&"), "{}", poll.text);
        poll.reply(status, "", "");
        let mut poll = discovery.accept();
        assert!(poll.text.starts_with("GET /registry/instances HTTP"), "{status}: {}", poll.text);
        poll.reply("200 OK", "", &list_json(1, true, &[instance_json("t1", second.address, "active")]));
        poll.read_next();
        let requests = second.echo_requests();
        assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
        assert!(requests.recv().expect("an attempt").starts_with("GET /look"));
        sidecar.stop_and_join();
    }
}

/// Guards against an entry with a fault that keeps the other entries of its answer from being
/// applied, and against sending to the endpoint of that entry: what the answer says counts as
/// notified.
#[test]
fn faulty_entry_concerns_its_own_endpoint_alone() {
    let unknown_state = |entry: String| entry.replace("\"active\"", "\"resting\"");
    let without_port = |entry: String| entry.replace(":9\"", "\"");
    let null_address = |entry: String| entry.replace("\"127.0.0.1:9\"", "null");
    for make_faulty in [unknown_state, without_port, null_address] {
        let (removed, faulty, used, discovery) =
            (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
        let sidecar = TestSidecar::with_endpoints(&[removed.address, faulty.address], &discovery);
        let nowhere = "127.0.0.1:9".parse().expect("an address");
        let entries = [
            make_faulty(instance_json("t1", nowhere, "active")),
            instance_json("t0", nowhere, "left").replace("\"127.0.0.1:9\"", "\"\""),
            instance_json("t2", used.address, "active").replace("\"zone\":\"a\"", "\"zone\":null"),
        ];
        let mut poll = discovery.accept();
        poll.reply("200 OK", "", &list_json(2, false, &entries));
        assert!(poll.read_next().starts_with("GET /registry/instances?from=2&"), "{}", poll.text);
        let (of_removed, of_faulty) = (removed.echo_requests(), faulty.echo_requests());
        let of_used = used.echo_requests();
        for _ in 0..8 {
            assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
        }
        assert_eq!((of_removed.try_iter().count(), of_faulty.try_iter().count()), (0, 0));
        assert_eq!(of_used.try_iter().count(), 8);
        sidecar.stop_and_join();
    }
}

/// Guards against taking the answer to a poll for the whole list for changes, where it does not say
/// that it is the whole list: what it does not name would stay in use.
#[test]
fn answer_to_a_poll_for_the_whole_list_replaces_the_list() {
    let (held, listed, discovery) = (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[held.address], &discovery);
    discovery.accept().reply("404 Not Found", "", "");
    let mut poll = discovery.accept();
    assert!(poll.text.starts_with("GET /registry/instances HTTP"), "{}", poll.text);
    let whole = list_json(3, false, &[instance_json("t1", listed.address, "active")]);
    poll.reply("200 OK", "", &whole.replace("\"reset\":false,", ""));
    poll.read_next();
    let (of_held, of_listed) = (held.echo_requests(), listed.echo_requests());
    for _ in 0..8 {
        assert!(sidecar.request(LOOK).starts_with("HTTP/1.1 200"));
    }
    assert_eq!((of_held.try_iter().count(), of_listed.try_iter().count()), (0, 8));
    sidecar.stop_and_join();
}
