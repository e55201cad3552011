//! After the word to stop: who is still served, who is turned away, and what is waited for at the end.

use crate::peers::*;
use crate::program::make_pipe;
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

/// A target that answers all at once, but gives the connections of requests for `held` to the story.
fn holding_target() -> (SocketAddr, Receiver<TcpStream>) {
    let ((listener, address), (hold, held)) = (listen(), channel());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let hold = hold.clone();
            std::thread::spawn(move || {
                loop {
                    match message(&mut stream).split_once(" HTTP").map(|(line, _)| line.contains("held")) {
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

/// Connections that have each had an answer and are kept.
fn kept(sidecar: &Running, count: usize) -> Vec<TcpStream> {
    let mut clients: Vec<_> = (0..count).map(|_| sidecar.client()).collect();
    for client in &mut clients {
        assert!(served(client));
    }
    clients
}

fn served(client: &mut TcpStream) -> bool {
    send(client, LOOK);
    message(client).starts_with("HTTP/1.1 200")
}

/// Guards against: the last free connections given away after the word to stop, when no new ones come: a front
/// that finds none takes all clients away.
#[test]
fn after_the_word_to_stop_some_connections_are_kept_free() {
    let ((target, held), discovery) = (holding_target(), Peer::new());
    let known = list(1, true, &[line("t0", target, "active")]);
    // Time enough for the story before a held flow is refused at its aim.
    let config = config(discovery.address, &known, 1024).replace("aim_ns\":1000", "aim_ns\":2900");
    let sidecar = Running::start(&config);
    let mut clients = kept(&sidecar, 8);
    for (i, client) in clients[2..].iter_mut().enumerate() {
        send(client, &LOOK.replace("/look/7", "/look/held").replace("c1", &format!("held{i}")));
    }
    let held: Vec<_> = (0..6).map(|_| held.recv().expect("a forward")).collect();
    sidecar.stop();
    // One is free beside this one, of eight in use.
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
    // Each forward that was out has its answer, and once they have freed others all are served again.
    for mut stream in held {
        stream.write_all(OK).expect("the sidecar reads");
    }
    for client in &mut clients[2..] {
        assert!(message(client).starts_with("HTTP/1.1 200"));
    }
    assert!(served(&mut clients[0]));
    sidecar.ends();
}

/// Guards against: silent and half-sent connections counted with those in use, so that two hundred of them made a
/// sidecar with few kept ones refuse from 0.1 s after the word to stop until it gave its clients back.
#[test]
fn silent_and_half_sent_connections_turn_nobody_away_before_a_stop() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let _seen = target.echo();
    let mut clients = kept(&sidecar, 2);
    let mut silent: Vec<_> = (0..200).map(|_| sidecar.client()).collect();
    for client in &mut silent[..100] {
        send(client, "GET /look/7 HTTP/1.1\nX-");
    }
    sidecar.stop();
    while !sidecar.ask(READY).starts_with("HTTP/1.1 503") {}
    // Well into the time when only kept connections are in use.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(600) {
        assert!(served(&mut clients[0]), "{:?} after the word to stop", begun.elapsed());
    }
    drop(silent);
    sidecar.ends();
}

/// Guards against: a request sent after the word to stop, on a connection that is still open, left without a whole
/// answer: each gets one, or its connection was closed and nothing of it was sent on.
#[test]
fn each_request_on_a_kept_connection_is_answered_up_to_the_end() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::knowing(&[target.address], &discovery);
    let seen = target.echo();
    let clients = kept(&sidecar, 4).into_iter().enumerate().map(|(i, mut client)| {
        std::thread::spawn(move || {
            (0..).map(|n| format!("id{i}x{n}.")).find(|id| {
                let request = LOOK.replace("c1", id).replace('\n', "\r\n");
                let sent = client.write_all(request.as_bytes());
                let answer = sent.map_or_else(|_| String::new(), |()| message(&mut client));
                let whole = answer.ends_with("HTTP/1.1") || answer.ends_with("refused\n");
                assert!(whole || answer.is_empty(), "{id}: {answer}");
                answer.is_empty()
            })
        })
    });
    let clients: Vec<_> = clients.collect();
    sidecar.stop();
    let unanswered: Vec<_> = clients.into_iter().filter_map(|c| c.join().expect("answers")).collect();
    sidecar.ends();
    let seen: String = seen.try_iter().collect();
    assert_eq!(unanswered.len(), 4, "every connection is closed at last");
    assert!(unanswered.iter().all(|id| !seen.contains(id)), "{unanswered:?} were sent on");
}

/// Guards against: requests in the listener's queue reset with it, where a newer process takes all that comes.
#[test]
fn beside_a_newer_process_the_queue_is_served_and_the_listener_closed() {
    let (target, discovery, (listener, address)) = (Peer::new(), Peer::new(), listen());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    let state = tempfile::tempdir().expect("a directory");
    let directory = state.path().display().to_string();
    let config = Config::parse(&config(discovery.address, &known, 1024), |name| {
        (name == "TMPDIR").then(|| directory.clone())
    });
    let _seen = target.echo();
    // The stream of words holds the sidecar's one thread until it is let go: nothing is accepted meanwhile.
    let ((holds, held), (let_go, told)) = (channel(), channel());
    let hold = async move {
        holds.send(()).expect("the story goes on");
        told.recv().expect("the story goes on");
        ControlEvent::Stop
    };
    let words = Box::pin(stream::once_future(hold).chain(stream::pending()));
    let config = config.expect("good");
    let sidecar = std::thread::spawn(move || serve::run(config, listener, None, words).expect("it serves"));
    held.recv().expect("it is held");
    let mut queued: Vec<_> = (0..20).map(|_| TcpStream::connect(address).expect("it listens")).collect();
    for (i, client) in queued.iter_mut().enumerate() {
        send(client, &LOOK.replace("c1", &format!("q{i}")));
    }
    std::fs::write(state.path().join(serve::PidFile::FILE_NAME), "1").expect("a file");
    let_go.send(()).expect("it is held");
    for client in &mut queued {
        assert!(message(client).starts_with("HTTP/1.1 200"));
        assert_eq!(message(client), "", "in time it is sent to the newer one");
    }
    assert!(TcpStream::connect(address).is_err(), "it takes no more");
    drop(queued);
    sidecar.join().expect("it ends without a panic");
}

/// A sidecar whose disk hangs: what it writes of endpoints out by hand goes to a pipe at first, and stays there until
/// somebody reads it. It has been told to take `t0` out and then `t1`, and to stop; yields its end.
fn stopping_on_a_hung_disk(state: &Path) -> (PathBuf, Receiver<()>) {
    let pipe = state.join(DISABLED_FILE).with_extension(format!("{}.new", std::process::id()));
    make_pipe(&pipe);
    let (target, discovery) = (Peer::new().address, Peer::new());
    let known = list(1, true, &[line("t0", target, "active"), line("t1", target, "active")]);
    let (sidecar, console) = Running::with_console(&config(discovery.address, &known, 1024), Some(state));
    assert_eq!(call(console, "OFFLINE t0") + &call(console, "OFFLINE t1"), "+OK\n+OK\n");
    let (end, ended) = channel();
    std::thread::spawn(move || {
        sidecar.ends();
        end.send(())
    });
    (pipe, ended)
}

/// Guards against: a process that ends, its clients gone, before an endpoint that it said to be out is written down.
#[test]
fn endpoints_out_by_hand_are_written_before_the_end() {
    let state = tempfile::tempdir().expect("a directory");
    let (pipe, ended) = stopping_on_a_hung_disk(state.path());
    // Without clients it would end 0.7 s after the word.
    assert!(ended.recv_timeout(Duration::from_millis(1500)).is_err(), "it ends before all is written");
    let read = std::fs::read_to_string(pipe).expect("the disk comes round");
    ended.recv().expect("it ends");
    // Both endpoints may have gone through the pipe, which is then in the file's place; or the second text is the file.
    let both = r#"["t0","t1"]"#;
    assert!(
        read == both || std::fs::read_to_string(state.path().join(DISABLED_FILE)).expect("a file") == both
    );
}

/// Guards against: a disk that hangs keeping a process beyond the time when SIGKILL may come.
#[test]
fn a_hung_disk_is_waited_for_no_longer_than_until_sigkill() {
    let state = tempfile::tempdir().expect("a directory");
    let (pipe, ended) = stopping_on_a_hung_disk(state.path());
    ended.recv_timeout(Duration::from_secs(10)).expect("it ends 3.7 s after the word");
    std::fs::read_to_string(pipe).expect("the thread is let go");
}
