//! Configurations in quick succession, with open requests under each.
//!
//! The fault (review case 1): after four configurations in a row the clients' side took requests by
//! the newest settings, while the balancer, which held four sets of settings with open requests,
//! went on deciding by the one before. A request of an unsafe class, whose position in the list had
//! been that of a safe class, was retried after a status 500 and ran twice.

use crate::harness::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// More configurations than any fixed number of earlier ones that a process might keep.
const RELOADS: usize = 12;

/// An endpoint that hands the requests for `held` to the test and answers all others with status
/// 500.
fn start_failing_endpoint() -> (SocketAddr, Receiver<AcceptedConnection>, Receiver<String>) {
    let (listener, address) = listen();
    let ((hold, held), (fail, failed)) = (channel(), channel());
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (hold, fail) = (hold.clone(), fail.clone());
            thread::spawn(move || serve_failing(stream, &hold, &fail));
        }
    });
    (address, held, failed)
}

fn serve_failing(mut stream: TcpStream, hold: &Sender<AcceptedConnection>, fail: &Sender<String>) {
    loop {
        let text = read_message(&mut stream);
        if text.is_empty() {
            return;
        }
        if text.contains("/held") {
            let _ = hold.send(AcceptedConnection { stream, text });
            return;
        }
        let _ = fail.send(text);
        let answer = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
        if stream.write_all(answer).is_err() {
            return;
        }
    }
}

/// Attempts last until shortly before the time left of a request is over.
fn first_config(discovery: &ScriptedServer, endpoint: SocketAddr) -> String {
    let known = list_json(1, true, &[instance_json("t0", endpoint, "active")]);
    config_json(discovery.address, &known, 1024).replace("aim_ns\":1000", "aim_ns\":2900")
}

/// The same configuration with another worth of each class.
fn with_worth(config: &str, worth: usize) -> String {
    config.replace("\"worth\":1.0", &format!("\"worth\":{worth}.0"))
}

fn reload_and_wait(sidecar: &TestSidecar, console: SocketAddr, config: &str, count: usize) {
    sidecar.reload(config);
    while console_statistics(console)["cfg_accepted"] != count {}
}

/// Sends a request that the endpoint holds.
fn send_held(sidecar: &TestSidecar, held: &Receiver<AcceptedConnection>, id: usize) -> Held {
    let mut client = sidecar.client();
    send(&mut client, &LOOK.replace("/look/7", "/look/held").replace("c1", &format!("held{id}")));
    let attempt = held.recv_timeout(Duration::from_secs(10)).expect("an attempt");
    Held { client, attempt }
}

/// A request whose attempt the test answers.
struct Held {
    client: TcpStream,
    attempt: AcceptedConnection,
}

/// Guards against a class in force that is not counted, because configurations before it have named
/// as many classes as are counted at once.
#[test]
fn newest_class_is_counted_after_any_number_of_classes_before() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let config = config_json(discovery.address, &known, 1024);
    let _requests = endpoint.echo_requests();
    let (sidecar, console) = TestSidecar::with_console(&config, None);
    let mut counts = Vec::new();
    for n in 1..=300 {
        let class = format!("class{n}");
        reload_and_wait(&sidecar, console, &config.replace("\"look\"", &format!("\"{class}\"")), n);
        let request = LOOK.replace("c1", &class).replace("look", &class);
        assert!(sidecar.request(&request).starts_with("HTTP/1.1 200"), "{class}");
        counts.push(console_statistics(console)["operations"][&class]["fulfilled"].clone());
    }
    assert!(counts.iter().all(|count| *count == 1), "{counts:?}");
    assert_eq!(console_statistics(console)["relayed"], 300);
    sidecar.stop_and_join();
}

/// Guards against a connection that is used again after the idle time of the configuration in force,
/// because it was returned under a longer one: the endpoint closes it under the request, which may
/// have run then.
#[test]
fn connection_returned_before_a_reload_is_not_used_beyond_the_new_idle_time() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let config = config_json(discovery.address, &known, 1024);
    let (sidecar, console) = TestSidecar::with_console(&config, None);
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut first = endpoint.accept();
    first.reply("200 OK", "", "first");
    assert!(read_message(&mut client).ends_with("first"));
    let shorter = r#""conn_idle_ns":200000000,"connect_timeout_ns""#;
    reload_and_wait(&sidecar, console, &config.replace("\"connect_timeout_ns\"", shorter), 1);
    thread::sleep(Duration::from_millis(200));
    send(&mut client, LOOK);
    let mut second = endpoint.accept();
    second.reply("200 OK", "", "second");
    assert!(read_message(&mut client).ends_with("second"));
    sidecar.stop_and_join();
}

const TRANSFER: &str = "POST /transfer HTTP/1.1
Host: service.internal
X-Correlation-Id: transfer
X-Time-Left-Ms: 3000
Content-Length: 0

";

/// Guards against review case 1: a request that is decided by other settings than those it was
/// taken by, because earlier settings still have open requests.
#[test]
fn unsafe_class_in_place_of_a_safe_one_is_not_repeated_after_many_reloads() {
    let (endpoint, held, failed) = start_failing_endpoint();
    let discovery = ScriptedServer::new();
    let config = first_config(&discovery, endpoint);
    let (sidecar, console) = TestSidecar::with_console(&config, None);
    let mut open = Vec::new();
    for n in 0..RELOADS {
        open.push(send_held(&sidecar, &held, n));
        reload_and_wait(&sidecar, console, &with_worth(&config, n + 2), n + 1);
    }
    let transfer = config.replace(
        r#""name":"look","semantics":"read_like""#,
        r#""name":"transfer","semantics":"non_idempotent""#,
    );
    reload_and_wait(&sidecar, console, &transfer, RELOADS + 1);
    let answer = sidecar.request(TRANSFER);
    assert_eq!(failed.try_iter().count(), 1, "an attempt that may have run is the only one: {answer}");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    // Open requests keep the rules under which they were taken: these may be repeated.
    for (n, Held { client, attempt }) in open.iter_mut().enumerate() {
        if n % 4 == 0 {
            attempt.reply("500 Internal Server Error", "Connection: close\r\n", "");
            *attempt = held.recv_timeout(Duration::from_secs(10)).expect("a further attempt");
        }
        attempt.reply("200 OK", "Connection: close\r\n", "whole");
        assert!(read_message(client).ends_with("whole"));
    }
    assert!(sidecar.request(&LOOK.replace("c1", "dropped")).starts_with("HTTP/1.1 404"));
    sidecar.stop_and_join();
}

/// Guards against zones that are told apart by their place in the settings: a configuration with
/// another order sent requests across zones, and new zones counted as one, in which a keyed request
/// may be repeated.
#[test]
fn zones_keep_their_identity_when_their_order_changes() {
    let (own, other, discovery) = (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let lines = [
        instance_json("t0", own.address, "active"),
        instance_json("t1", other.address, "active").replace(r#""zone":"a""#, r#""zone":"b""#),
    ];
    let config = config_json(discovery.address, &list_json(1, true, &lines), 1024)
        .replace(r#""a_new_key""#, r#""penalties":{"cross_zone":0.5},"a_new_key""#);
    let in_order = |zones: &str, own: usize| {
        let zones = format!(r#""my_zone":{own},"azs":{zones}"#);
        config.replace(r#""my_zone":0,"azs":["a"]"#, &zones)
    };
    let (sidecar, console) = TestSidecar::with_console(&in_order(r#"["a","b"]"#, 0), None);
    let (to_own, to_other) = (own.echo_requests(), other.echo_requests());
    for (count, (zones, own)) in [(r#"["b","a"]"#, 1), (r#"["c","b","a"]"#, 2)].into_iter().enumerate() {
        reload_and_wait(&sidecar, console, &in_order(zones, own), count + 1);
        for n in 0..8 {
            let request = LOOK.replace("c1", &format!("c{count}x{n}"));
            assert!(sidecar.request(&request).starts_with("HTTP/1.1 200"));
        }
        assert_eq!((to_own.try_iter().count(), to_other.try_iter().count()), (8, 0), "{zones}");
    }
    sidecar.stop_and_join();
}
