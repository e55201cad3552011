//! The console on its own address: statistics, disabled endpoints, drains.

use crate::harness::*;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

/// A sidecar with a console and one endpoint that answers everything; discovery is kept open and
/// silent.
fn start_with_one_endpoint() -> (TestSidecar, std::net::SocketAddr, ScriptedServer) {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let lines = [instance_json("t0", endpoint.address, "active")];
    let (sidecar, console) =
        TestSidecar::with_console(&config_json(discovery.address, &list_json(1, true, &lines), 1024), None);
    let _requests = endpoint.echo_requests();
    (sidecar, console, discovery)
}

fn look_request(n: usize) -> String {
    LOOK.replace("X-Correlation-Id: c1", &format!("X-Correlation-Id: look-{n}"))
}

/// Guards against wrong or missing statistics, invalid commands without an answer, and a silent
/// connection that delays the next one.
#[test]
fn console_answers_each_command_with_correct_statistics() {
    let (sidecar, console, discovery) = start_with_one_endpoint();
    // A connection that sends nothing delays nobody.
    let _silent = TcpStream::connect(console).expect("the console listens");
    assert_eq!(console_command(console, "HEALTH"), "+OK\n");
    assert_eq!(console_command(console, "PING"), "-ERR unknown command PING\n");
    assert_eq!(console_command(console, "OFFLINE"), "-ERR OFFLINE wants an endpoint id\n");
    assert!(console_command(console, &"x".repeat(5000)).starts_with("-ERR line too long"));
    for n in 0..3 {
        assert!(sidecar.request(&look_request(n)).starts_with("HTTP/1.1 200"));
    }
    let statistics = console_statistics(console);
    assert_eq!(statistics["operations"]["look"]["fulfilled"], 3, "{statistics}");
    assert_eq!(statistics["operations"]["look"]["relayed"], 3, "{statistics}");
    assert_eq!(statistics["operations"]["look"]["throttled"], 0, "{statistics}");
    assert_eq!(statistics["operations"]["order"]["fulfilled"], 0, "{statistics}");
    assert_eq!(statistics["relayed"], 3, "{statistics}");
    assert_eq!(statistics["open_requests"], 0, "{statistics}");
    assert_eq!(statistics["registry_entries"], 1, "{statistics}");
    assert_eq!(statistics["out_of_rotation"], 0, "{statistics}");
    assert_eq!(
        (statistics["cfg_accepted"].clone(), statistics["cfg_invalid"].clone()),
        (0.into(), 0.into())
    );
    sidecar.reload("{");
    while console_statistics(console)["cfg_invalid"] != 1 {}
    let no_attempts =
        config_json(discovery.address, "null", 1024).replace(r#""max_attempts":3"#, r#""max_attempts":0"#);
    sidecar.reload(&no_attempts);
    while console_statistics(console)["cfg_invalid"] != 2 {}
    assert_eq!(console_statistics(console)["cfg_accepted"], 0);
    sidecar.stop_and_join();
}

/// Guards against new work for a disabled endpoint, a list that enables it again, a new process
/// that forgets it, and an `+OK` for an endpoint that was never listed.
#[test]
fn disabled_endpoint_stays_disabled_until_enabled() {
    let state = tempfile::tempdir().expect("a directory");
    let (first, second, discovery) = (ScriptedServer::new(), ScriptedServer::new(), ScriptedServer::new());
    let lines =
        [instance_json("t0", first.address, "active"), instance_json("t1", second.address, "active")];
    let text = config_json(discovery.address, &list_json(1, true, &lines), 1024);
    let (sidecar, console) = TestSidecar::with_console(&text, Some(state.path()));
    let (to_first, to_second) = (first.echo_requests(), second.echo_requests());
    assert_eq!(console_command(console, "OFFLINE t0"), "+OK\n");
    assert_eq!(console_command(console, "OFFLINE t0"), "+OK\n", "the command may be repeated");
    assert!(console_command(console, "OFFLINE t9").starts_with("-ERR no endpoint"));
    assert_eq!(console_statistics(console)["out_of_rotation"], 1);
    for n in 0..20 {
        assert!(sidecar.request(&look_request(n)).starts_with("HTTP/1.1 200"));
    }
    assert!(to_first.try_recv().is_err(), "nothing went to the disabled endpoint");
    assert_eq!(to_second.try_iter().count(), 20);
    sidecar.stop_and_join();

    // The next process of the sidecar keeps it disabled, whatever the list says; one command
    // enables it.
    let (sidecar, console) = TestSidecar::with_console(&text, Some(state.path()));
    assert_eq!(console_statistics(console)["out_of_rotation"], 1);
    assert_eq!(console_command(console, "OFFLINE t1"), "+OK\n");
    for n in 0..5 {
        assert!(sidecar.request(&look_request(n)).starts_with("HTTP/1.1 503"), "both are disabled");
    }
    assert_eq!(console_command(console, "ONLINE t0"), "+OK\n");
    assert_eq!(console_statistics(console)["out_of_rotation"], 1);
    let served = (0..20).filter(|n| sidecar.request(&look_request(*n)).starts_with("HTTP/1.1 200")).count();
    assert!(served > 0, "the enabled endpoint is used again");
    assert_eq!(to_first.try_iter().count(), served);
    assert!(to_second.try_recv().is_err());
    sidecar.stop_and_join();
}

/// Guards against a drain during which clients keep sending or idle connections are kept, and a
/// join after which the sidecar is not ready.
#[test]
fn leave_drains_clients_and_join_accepts_them_again() {
    let (sidecar, console, _discovery) = start_with_one_endpoint();
    let ready = "GET /health/ready HTTP/1.1\nHost: n0\n\n";
    assert!(sidecar.request(ready).starts_with("HTTP/1.1 200"));
    let mut idle_client = sidecar.client();
    send(&mut idle_client, &look_request(0));
    assert!(!read_message(&mut idle_client).contains("Connection: close"));
    assert_eq!(console_command(console, "LEAVE"), "+OK\n");
    assert!(sidecar.request(ready).starts_with("HTTP/1.1 503"));
    // The kept connection is closed while it is idle: the client reads its end.
    idle_client.set_read_timeout(Some(Duration::from_secs(3))).expect("a socket");
    assert_eq!(idle_client.read(&mut [0; 16]).expect("closed, not timed out"), 0);
    // Requests that still arrive are served, and their connections closed after the answer.
    let mut late = sidecar.client();
    send(&mut late, &look_request(1));
    let answer = read_message(&mut late);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
    assert_eq!(console_command(console, "JOIN"), "+OK\n");
    assert!(sidecar.request(ready).starts_with("HTTP/1.1 200"));
    sidecar.stop_and_join();
}

/// Guards against cutting off a body after 2.4 s, as if its sender were silent, although it arrives
/// at the pace at which a client may send it (64 kB a second).
#[test]
fn slow_steady_body_is_accepted() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
    let _requests = endpoint.echo_requests();
    let body = vec![b'p'; 60_000];
    let head = ORDER.replace("Content-Length: 5\n\npaper", &format!("Content-Length: {}\n\n", body.len()));
    let mut client = sidecar.client();
    // A head in 1.5 s and a body at 40 kB a second: three seconds in all, the slowest that the
    // deployment's requirements allow.
    let (first, rest) = head.split_at(20);
    send(&mut client, first);
    std::thread::sleep(Duration::from_millis(1500));
    send(&mut client, rest);
    for piece in body.chunks(6_000) {
        std::thread::sleep(Duration::from_millis(150));
        std::io::Write::write_all(&mut client, piece).expect("it reads");
    }
    let answer = read_message(&mut client);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    sidecar.stop_and_join();
}

/// Guards against settings reloaded by SIGHUP that wait for the next start (an added class is
/// unknown, a dropped one still served), and an open request that loses its answer in the reload.
#[test]
fn reloaded_classes_are_served_at_once_and_open_requests_finish() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let lines = [instance_json("t0", endpoint.address, "active")];
    let known = list_json(1, true, &lines);
    let (sidecar, console) = TestSidecar::with_console(&config_json(discovery.address, &known, 1024), None);
    let mut client = sidecar.client();
    send(&mut client, &look_request(0));
    let mut open = endpoint.accept();
    // The class `order` is replaced by `frame`, which is safe to repeat.
    let new_config = config_json(discovery.address, &known, 1024).replace(
        r#""name":"order","semantics":"idempotency_key""#,
        r#""name":"frame","semantics":"read_like""#,
    );
    sidecar.reload(&new_config);
    while console_statistics(console)["cfg_accepted"] != 1 {}
    open.reply("200 OK", "", "before");
    assert!(read_message(&mut client).ends_with("before"), "the open request has its answer");
    let frame = LOOK.replace("/look/7", "/frame/7").replace("X-Service-Class: look\n", "");
    send(&mut client, &frame);
    assert!(open.read_next().starts_with("GET /frame/7"), "the new class goes to the endpoint");
    open.reply("200 OK", "", "framed");
    assert!(read_message(&mut client).ends_with("framed"), "the new class is served");
    assert!(sidecar.request(ORDER).starts_with("HTTP/1.1 404"), "the dropped class is unknown");
    assert_eq!(console_statistics(console)["operations"]["frame"]["fulfilled"], 1);
    sidecar.stop_and_join();
}

/// Guards against settings of endpoint connections that wait for the next start after a reload by
/// SIGHUP (an idle connection closed by the endpoint under a request).
#[test]
fn reloaded_connection_settings_apply_at_once() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let config = config_json(discovery.address, &known, 1024);
    let (sidecar, console) = TestSidecar::with_console(&config, None);
    sidecar.reload(
        &config.replace("\"connect_timeout_ns\"", "\"conn_idle_ns\":100000000,\"connect_timeout_ns\""),
    );
    while console_statistics(console)["cfg_accepted"] != 1 {}
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut connection = endpoint.accept();
    connection.reply("200 OK", "", "ok");
    assert!(read_message(&mut client).ends_with("ok"));
    assert_eq!(connection.read_next(), "", "closed before the endpoint closes it");
    sidecar.stop_and_join();
}
