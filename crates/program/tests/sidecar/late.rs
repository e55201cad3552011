//! Events that are too late or too early: bytes before a request's last one, second answers,
//! connections after a window.

use crate::harness::*;
use crate::program::{Program, with_long_timeouts};
use crate::retries::*;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// The longest delay of a second answer: some milliseconds, according to the protocol
/// specification.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(8);

/// Guards against writing a retry, started within its window, on a connection that is established
/// after the window.
#[test]
fn retry_connected_after_its_window_is_not_written() {
    let discovery = ScriptedServer::new();
    let (listener, address) = constrained_listener();
    let config = config_with_endpoints(discovery.address, &[address]);
    let config = config.replace("10000000000", "800000000");
    let config = config.replace("\"connect_timeout_ns\":500000000", "\"connect_timeout_ns\":2000000000");
    let sidecar = Program::start(&config, 1024);
    let mut client = sidecar.client(ORDER);
    let mut first = accept_connection(&listener).stream;
    let start = Instant::now();
    assert!(read_message(&mut first).starts_with("POST"));
    // The next connection finds no room in the queue until the window is over.
    let filler = TcpStream::connect(address).expect("the last that fits");
    reset_connection(first);
    thread::sleep((start + Duration::from_millis(810)).saturating_duration_since(Instant::now()));
    let _fills = accept_connection(&listener);
    let answer = read_message(&mut client);
    assert!(status_code(&answer).starts_with('5'), "{answer}");
    drop(filler);
    listener.set_nonblocking(true).expect("a socket");
    let second = listener.accept();
    drop(sidecar);
    if let Ok((mut second, _)) = second {
        second.set_nonblocking(false).expect("a socket");
        assert_eq!(read_message(&mut second), "", "written after its window");
    }
}

/// Guards against giving the second answer to a request, some milliseconds late, to the client
/// whose request was sent next on that connection: nothing is sent there before that answer would
/// have arrived, and if it arrives the connection is closed.
#[test]
fn late_second_answer_reaches_no_client() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let sidecar = TestSidecar::with_endpoints(&[endpoint.address], &discovery);
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut first = endpoint.accept();
    let answered = Instant::now();
    first.reply("200 OK", "", "first");
    assert!(read_message(&mut client).ends_with("first"));
    send(&mut client, &LOOK.replace("c1", "c2"));
    assert!(first.read_next().starts_with("GET"));
    assert!(answered.elapsed() > SECOND_ANSWER_DELAY, "after {:?}", answered.elapsed());
    first.reply("200 OK", "", "second");
    first.reply("200 OK", "", "second");
    assert!(read_message(&mut client).ends_with("second"));
    assert_eq!(first.read_next(), "", "its connection is closed");
    sidecar.stop_and_join();
}

/// Guards against giving up an unsafe request whose connection broke before anything was written on
/// it.
#[test]
fn unsafe_request_is_retried_if_connection_breaks_before_write() {
    let discovery = ScriptedServer::new();
    let (listener, address) = constrained_listener();
    let filler = TcpStream::connect(address).expect("the last that fits");
    let config = with_long_timeouts(&config_with_unsafe_orders(discovery.address, &[address]));
    // The process is suspended for longer than it may go without a poll by the other tests'
    // settings: its list would expire.
    let config = config.replace("\"ask_within_ns\":400000000", "\"ask_within_ns\":10000000000");
    let sidecar = Program::start(&config, 1024);
    let mut client = sidecar.client(&order_request("c2", 5));
    sidecar.wait_until_input_is_processed();
    sidecar.while_suspended(|| {
        accept_connection(&listener);
        reset_connection(accept_connection(&listener).stream);
    });
    drop(filler);
    let mut second = accept_connection(&listener);
    assert!(second.read_next().starts_with("POST"));
    second.reply("200 OK", "", "done");
    assert!(read_message(&mut client).ends_with("done"));
}
