//! After the stop event: which clients are still served, which are refused, and what is waited for
//! at the end.

use crate::harness::*;
use crate::program::create_pipe;
use cottonpoint::config::Config;
use cottonpoint::serve::{self, ControlEvent};
use cottonpoint::taken_out::DISABLED_FILE;
use futures_lite::{StreamExt, stream};
use insta::assert_snapshot;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const READY: &str = "GET /health/ready HTTP/1.1\nHost: n0\n\n";

/// An endpoint that answers everything at once, but hands the connections of requests for `held` to
/// the test.
fn start_holding_endpoint() -> (SocketAddr, Receiver<TcpStream>) {
    let ((listener, address), (hold, held)) = (listen(), channel());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let hold = hold.clone();
            std::thread::spawn(move || {
                loop {
                    match read_message(&mut stream)
                        .split_once(" HTTP")
                        .map(|(line, _)| line.contains("held"))
                    {
                        Some(true) => return drop(hold.send(stream)),
                        Some(false) => stream.write_all(OK).expect("the sidecar reads"),
                        None => return,
                    }
                }
            });
        }
    });
    (address, held)
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Connections that have each received an answer and are kept.
fn kept_clients(sidecar: &TestSidecar, count: usize) -> Vec<TcpStream> {
    let mut clients: Vec<_> = (0..count).map(|_| sidecar.client()).collect();
    for client in &mut clients {
        assert!(is_served(client));
    }
    clients
}

fn is_served(client: &mut TcpStream) -> bool {
    send(client, LOOK);
    read_message(client).starts_with("HTTP/1.1 200")
}

/// Guards against giving away the last free connections after the stop event, when no new ones
/// arrive: a front that finds none sends all its clients elsewhere.
#[test]
fn some_connections_are_kept_free_after_stop() {
    let ((endpoint, held), discovery) = (start_holding_endpoint(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint, "active")]);
    // Enough time for the test before a held request is refused at its latency target.
    let config = config_json(discovery.address, &known, 1024).replace("aim_ns\":1000", "aim_ns\":2900");
    let sidecar = TestSidecar::start(&config);
    let mut clients = kept_clients(&sidecar, 8);
    for (i, client) in clients[2..].iter_mut().enumerate() {
        send(client, &LOOK.replace("/look/7", "/look/held").replace("c1", &format!("held{i}")));
    }
    let held: Vec<_> = (0..6).map(|_| held.recv().expect("an attempt")).collect();
    sidecar.stop();
    // One is free beside this one, of eight in use.
    let refusal = loop {
        send(&mut clients[0], LOOK);
        let answer = read_message(&mut clients[0]);
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
    // Each open attempt gets its answer, and once these have freed others all are served again.
    for mut stream in held {
        stream.write_all(OK).expect("the sidecar reads");
    }
    for client in &mut clients[2..] {
        assert!(read_message(client).starts_with("HTTP/1.1 200"));
    }
    assert!(is_served(&mut clients[0]));
    sidecar.stop_and_join();
}

/// Guards against counting silent connections and those with partial requests as in use: two
/// hundred of them made a sidecar with few kept connections refuse requests from 0.1 s after the
/// stop event until it released its clients.
#[test]
fn silent_and_partial_requests_cause_no_refusal_after_stop() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
    let _requests = endpoint.echo_requests();
    let mut clients = kept_clients(&sidecar, 2);
    let mut silent: Vec<_> = (0..200).map(|_| sidecar.client()).collect();
    for client in &mut silent[..100] {
        send(client, "GET /look/7 HTTP/1.1\nX-");
    }
    sidecar.stop();
    while !sidecar.request(READY).starts_with("HTTP/1.1 503") {}
    // Well into the period in which only kept connections are in use.
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(600) {
        assert!(is_served(&mut clients[0]), "{:?} after the stop event", start.elapsed());
    }
    drop(silent);
    sidecar.stop_and_join();
}

/// Guards against a request sent after the stop event, on a connection that is still open, without
/// a complete answer: each gets one, or its connection was closed and nothing of it was forwarded.
#[test]
fn request_on_kept_connection_is_answered_until_exit() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
    let requests = endpoint.echo_requests();
    let clients = kept_clients(&sidecar, 4).into_iter().enumerate().map(|(i, mut client)| {
        std::thread::spawn(move || {
            (0..).map(|n| format!("id{i}x{n}.")).find(|id| {
                let request = LOOK.replace("c1", id).replace('\n', "\r\n");
                let sent = client.write_all(request.as_bytes());
                let answer = sent.map_or_else(|_| String::new(), |()| read_message(&mut client));
                let whole = answer.ends_with("HTTP/1.1") || answer.ends_with("refused\n");
                assert!(whole || answer.is_empty(), "{id}: {answer}");
                answer.is_empty()
            })
        })
    });
    let clients: Vec<_> = clients.collect();
    sidecar.stop();
    let unanswered: Vec<_> = clients.into_iter().filter_map(|c| c.join().expect("answers")).collect();
    sidecar.stop_and_join();
    let requests: String = requests.try_iter().collect();
    assert_eq!(unanswered.len(), 4, "every connection is closed at last");
    assert!(unanswered.iter().all(|id| !requests.contains(id)), "{unanswered:?} were forwarded");
}

/// Guards against resetting requests in the listener's queue along with the listener, when a newer
/// process takes all new connections.
#[test]
fn beside_a_newer_process_the_queue_is_served_and_the_listener_closed() {
    let (endpoint, discovery, (listener, address)) =
        (ScriptedServer::new(), ScriptedServer::new(), listen());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let state = tempfile::tempdir().expect("a directory");
    let directory = state.path().display().to_string();
    let config = Config::parse(&config_json(discovery.address, &known, 1024), |name| {
        (name == "TMPDIR").then(|| directory.clone())
    });
    let _requests = endpoint.echo_requests();
    // The stream of control events blocks the sidecar's only thread until it is released: nothing
    // is accepted meanwhile.
    let ((blocked, is_blocked), (release, released)) = (channel(), channel());
    let stop_event = async move {
        blocked.send(()).expect("the test is running");
        released.recv().expect("the test is running");
        ControlEvent::Stop
    };
    let control_events = Box::pin(stream::once_future(stop_event).chain(stream::pending()));
    let config = config.expect("good");
    let sidecar =
        std::thread::spawn(move || serve::run(config, listener, None, control_events).expect("it serves"));
    is_blocked.recv().expect("it is blocked");
    let mut queued: Vec<_> = (0..20).map(|_| TcpStream::connect(address).expect("it listens")).collect();
    for (i, client) in queued.iter_mut().enumerate() {
        send(client, &LOOK.replace("c1", &format!("q{i}")));
    }
    std::fs::write(state.path().join(serve::PidFile::FILE_NAME), "1").expect("a file");
    release.send(()).expect("it is blocked");
    for client in &mut queued {
        assert!(read_message(client).starts_with("HTTP/1.1 200"));
        assert_eq!(
            read_message(client),
            "",
            "after a while it is closed, so that its client goes to the newer one"
        );
    }
    assert!(TcpStream::connect(address).is_err(), "it accepts no more connections");
    drop(queued);
    sidecar.join().expect("it ends without a panic");
}

/// Starts a sidecar whose disk hangs: what it writes of disabled endpoints goes to a pipe at first,
/// and stays there until the pipe is read. It has been told to disable `t0` and then `t1`, and to
/// stop. Returns the pipe and the notice of its end.
fn stop_on_a_hung_disk(state: &Path) -> (PathBuf, Receiver<()>) {
    let pipe = state.join(DISABLED_FILE).with_extension(format!("{}.new", std::process::id()));
    create_pipe(&pipe);
    let (endpoint, discovery) = (ScriptedServer::new().address, ScriptedServer::new());
    let known = list_json(
        1,
        true,
        &[instance_json("t0", endpoint, "active"), instance_json("t1", endpoint, "active")],
    );
    let (sidecar, console) =
        TestSidecar::with_console(&config_json(discovery.address, &known, 1024), Some(state));
    assert_eq!(
        console_command(console, "OFFLINE t0") + &console_command(console, "OFFLINE t1"),
        "+OK\n+OK\n"
    );
    let (end, ended) = channel();
    std::thread::spawn(move || {
        sidecar.stop_and_join();
        end.send(())
    });
    (pipe, ended)
}

/// Guards against a process that ends, once its clients are gone, before an endpoint that it
/// reported as disabled is written down.
#[test]
fn disabled_endpoints_are_written_before_exit() {
    let state = tempfile::tempdir().expect("a directory");
    let (pipe, ended) = stop_on_a_hung_disk(state.path());
    // Without clients it would end 0.7 s after the stop event.
    assert!(ended.recv_timeout(Duration::from_millis(1500)).is_err(), "it ends before all is written");
    let read = std::fs::read_to_string(pipe).expect("the disk recovers");
    ended.recv().expect("it ends");
    // Both endpoints may have gone through the pipe, which is then in the file's place; otherwise
    // the second text is in the file.
    let both = r#"["t0","t1"]"#;
    assert!(
        read == both || std::fs::read_to_string(state.path().join(DISABLED_FILE)).expect("a file") == both
    );
}

/// Guards against a hung disk that delays the end of a process beyond the time when SIGKILL may
/// come.
#[test]
fn hung_disk_delays_exit_no_longer_than_until_sigkill() {
    let state = tempfile::tempdir().expect("a directory");
    let (pipe, ended) = stop_on_a_hung_disk(state.path());
    ended.recv_timeout(Duration::from_secs(10)).expect("it ends 3.7 s after the stop event");
    std::fs::read_to_string(pipe).expect("the thread is released");
}
