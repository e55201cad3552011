//! Descriptors: idle clients that fill them, and those that are never theirs.

use crate::peers::*;
use crate::program::Program;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Discovery that resets each call until it is up, and then tells that list, says so, and holds watches.
fn discovery(told: String) -> (SocketAddr, Arc<AtomicBool>, Receiver<()>) {
    let ((listener, address), up) = (listen(), Arc::new(AtomicBool::new(false)));
    let (tells, has_told) = channel();
    let is_up = up.clone();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            if is_up.load(Ordering::SeqCst) {
                message(&mut stream);
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{told}", told.len());
                stream.write_all(answer.as_bytes()).expect("the sidecar reads");
                held.push(stream);
                let _ = tells.send(());
            }
        }
    });
    (address, up, has_told)
}

const READY: &str = "GET /health/ready HTTP/1.1\nHost: n0\n\n";

fn ask(address: SocketAddr, request: &str) -> String {
    let mut client = TcpStream::connect(address).expect("it listens");
    send(&mut client, request);
    message(&mut client)
}

/// Guards against: idle clients that take the last descriptor while discovery is down, where the system gives fewer
/// than the settings name: no connection to an endpoint came up any more, and nobody made room for one.
#[test]
fn idle_clients_leave_discovery_console_and_endpoints_their_descriptors() {
    let (old, new) = (Peer::new(), Peer::new());
    let (discovery, up, told) = discovery(list(2, true, &[line("t1", new.address, "active")]));
    let known = list(1, true, &[line("t0", old.address, "active")]);
    let program = Program::start(&config(discovery, &known, 1024), 128);
    let seen = new.echo();
    let mut idle = Vec::new();
    // Until the last descriptor is taken, or so many have come that it never is.
    while idle.len() < 300 && program.descriptors() < 128 {
        let mut client = TcpStream::connect(program.address).expect("it listens");
        send(&mut client, READY);
        assert!(message(&mut client).starts_with("HTTP/1.1 200"));
        idle.push(client);
    }
    up.store(true, Ordering::SeqCst);
    // Nobody else comes, whose connection would have others closed.
    told.recv_timeout(Duration::from_secs(6)).expect("the list is had");
    assert_eq!(call(program.console, "HEALTH"), "+OK\n");
    assert!(ask(program.address, LOOK).starts_with("HTTP/1.1 200"));
    assert!(seen.try_recv().expect("by the new list").starts_with("GET /look"));
    assert!(ask(program.address, READY).starts_with("HTTP/1.1 200"));
    assert!(program.descriptors() < 128);
    drop(idle);
}
