//! Descriptors: idle clients that use them up, and those reserved for everything else.

use crate::harness::*;
use crate::program::Program;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Discovery that resets each connection until `up` is set. From then on it answers with `body`,
/// reports that on the channel, and keeps watches open.
fn start_discovery(body: String) -> (SocketAddr, Arc<AtomicBool>, Receiver<()>) {
    let ((listener, address), up) = (listen(), Arc::new(AtomicBool::new(false)));
    let (sender, receiver) = channel();
    let is_up = up.clone();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            if is_up.load(Ordering::SeqCst) {
                read_message(&mut stream);
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                stream.write_all(answer.as_bytes()).expect("the sidecar reads");
                held.push(stream);
                let _ = sender.send(());
            }
        }
    });
    (address, up, receiver)
}

const READY: &str = "GET /health/ready HTTP/1.1\nHost: n0\n\n";

fn request(address: SocketAddr, request: &str) -> String {
    let mut client = TcpStream::connect(address).expect("it listens");
    send(&mut client, request);
    read_message(&mut client)
}

/// Guards against idle clients that take the last descriptor while discovery is down, if the system
/// allows fewer descriptors than the settings name: no connection to an endpoint was established
/// any more, and no client made room for one.
#[test]
fn idle_clients_leave_descriptors_for_discovery_console_and_endpoints() {
    let (old, new) = (ScriptedServer::new(), ScriptedServer::new());
    let (discovery, up, list_sent) =
        start_discovery(list_json(2, true, &[instance_json("t1", new.address, "active")]));
    let known = list_json(1, true, &[instance_json("t0", old.address, "active")]);
    let program = Program::start(&config_json(discovery, &known, 1024), 128);
    let requests = new.echo_requests();
    let mut idle = Vec::new();
    // Until the last descriptor is taken, or so many clients have connected that it never is.
    while idle.len() < 300 && program.descriptors() < 128 {
        let mut client = TcpStream::connect(program.address).expect("it listens");
        send(&mut client, READY);
        assert!(read_message(&mut client).starts_with("HTTP/1.1 200"));
        idle.push(client);
    }
    up.store(true, Ordering::SeqCst);
    // No other client connects, for which idle ones would be closed.
    list_sent.recv_timeout(Duration::from_secs(6)).expect("the list is sent");
    assert_eq!(console_command(program.console, "HEALTH"), "+OK\n");
    assert!(request(program.address, LOOK).starts_with("HTTP/1.1 200"));
    assert!(requests.try_recv().expect("an attempt by the new list").starts_with("GET /look"));
    assert!(request(program.address, READY).starts_with("HTTP/1.1 200"));
    assert!(program.descriptors() < 128);
    drop(idle);
}
