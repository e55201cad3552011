//! Tests of the UDP and TCP relays with plain sockets in place of processes.

use super::links::{Faults, LinkChange, LinkCounts};
use super::relay::{Relay, Undelivered};
use super::stream::{StreamFaults, StreamRelays};
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);

/// A relay with a plain socket for each member.
fn relay(members: usize) -> (Relay, Vec<UdpSocket>) {
    let relay = Relay::start(members, 1).expect("ports are free");
    let sockets: Vec<_> =
        (0..members).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port is free")).collect();
    for (member, socket) in sockets.iter().enumerate() {
        socket.set_read_timeout(Some(TIMEOUT)).expect("the timeout is set");
        relay.set_process_address(member, v4(socket));
    }
    (relay, sockets)
}

fn v4(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("the socket is bound") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

fn receive(socket: &UdpSocket) -> (u8, SocketAddr) {
    let mut buffer = [0; 64];
    let (n, from) = socket.recv_from(&mut buffer).expect("a datagram arrives");
    assert_eq!(n, 1);
    (buffer[0], from)
}

/// Guards against a sender or receiver that is taken for another one, a datagram of an unknown
/// sender that is delivered, a cut link that lets datagrams pass, and an earlier process of a
/// member that still sends or receives as that member.
#[test]
fn datagrams_are_attributed_to_links_by_socket_and_relay_address() {
    let (relay, mut sockets) = relay(3);
    let send = |socket: &UdpSocket, to, byte| {
        socket.send_to(&[byte], relay.address(to)).expect("the datagram is sent")
    };
    send(&sockets[0], 1, 7);
    assert_eq!(receive(&sockets[1]), (7, relay.address(0).into()));
    relay.change(&LinkChange::CutOneWay(vec![0], vec![1]));
    send(&sockets[0], 1, 8);
    send(&UdpSocket::bind("127.0.0.1:0").expect("a port is free"), 1, 9);
    let new_socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    new_socket.set_read_timeout(Some(TIMEOUT)).expect("the timeout is set");
    relay.set_process_address(2, v4(&new_socket));
    let earlier_socket = std::mem::replace(&mut sockets[2], new_socket);
    send(&earlier_socket, 1, 10);
    send(&sockets[1], 0, 11);
    assert_eq!(receive(&sockets[0]).0, 11, "the opposite direction is open");
    send(&sockets[2], 1, 12);
    assert_eq!(receive(&sockets[1]), (12, relay.address(2).into()), "nothing else arrived before");
    send(&sockets[1], 2, 13);
    assert_eq!(receive(&sockets[2]).0, 13);
    assert_eq!(relay.undelivered(), Undelivered { unknown_sender: 2, ..Undelivered::default() });
    let cut = relay.counts(0, 1).expect("the link exists");
    assert_eq!((cut.passed, cut.dropped), (1, 1));
    let traffic = relay.traffic();
    assert_eq!((traffic[0].sent, traffic[0].sent_bytes, traffic[1].received), (2, 2, 2));
}

/// Guards against a delay that has no effect or loses datagrams, a duplicate that does not arrive,
/// a schedule that does not run by itself, and a replayed datagram that does not get through.
#[test]
fn delayed_duplicated_and_replayed_datagrams_arrive_and_scheduled_changes_apply() {
    let (relay, sockets) = relay(2);
    let delay = Duration::from_millis(40);
    let slow = Faults { duplicate: 1.0, delay: (delay, delay), ..Faults::default() };
    relay.change(&LinkChange::One { from: 0, to: 1, faults: slow });
    let begun = Instant::now();
    for byte in 0..20 {
        sockets[0].send_to(&[byte], relay.address(1)).expect("the datagram is sent");
    }
    let received: Vec<u8> = (0..40).map(|_| receive(&sockets[1]).0).collect();
    assert!(begun.elapsed() >= delay, "{:?}", begun.elapsed());
    assert_eq!(received.iter().collect::<BTreeSet<_>>().len(), 20, "{received:?}");
    let recent = relay.recent_datagrams();
    relay.replay(&recent[3]);
    assert_eq!(receive(&sockets[1]).0, 3);

    // Sends the same byte repeatedly until the link's counts satisfy the condition.
    let send_until = |done: &dyn Fn(LinkCounts) -> bool| {
        let begun = Instant::now();
        while !done(relay.counts(0, 1).expect("the link exists")) {
            assert!(begun.elapsed() < TIMEOUT, "{:?}", relay.counts(0, 1));
            sockets[0].send_to(&[50], relay.address(1)).expect("the datagram is sent");
            thread::sleep(Duration::from_millis(2));
        }
    };
    relay.change_after(delay, LinkChange::Split(vec![0], vec![1]));
    relay.change_after(2 * delay, LinkChange::All(Faults::default()));
    send_until(&|counts| counts.dropped > 0);
    let passed = relay.counts(0, 1).expect("the link exists").passed;
    send_until(&|counts| counts.passed > passed);
}

/// An endpoint that answers each byte with the next one until its client closes. It serves one
/// client at a time.
fn endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut byte = [0];
            while (&stream).read_exact(&mut byte).is_ok() && (&stream).write_all(&[byte[0] + 1]).is_ok() {}
        }
    });
    address
}

fn exchange(mut stream: &TcpStream, byte: u8) -> io::Result<u8> {
    let mut answer = [byte];
    stream.write_all(&answer)?;
    stream.read_exact(&mut answer)?;
    Ok(answer[0])
}

/// Guards against bytes that are lost, duplicated or let through while they should be held, a delay
/// that has no effect, connections that survive a reset, and a relay that does not use a newly set
/// endpoint.
#[test]
fn tcp_relay_holds_delays_and_resets_connections() {
    let streams = StreamRelays::start(2).expect("ports are free");
    let client = || {
        let stream = TcpStream::connect(streams.address(1)).expect("the relay listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is set");
        stream
    };
    assert!(exchange(&client(), 1).is_err(), "no endpoint is set yet");
    streams.set_endpoint(1, Some(endpoint()));
    let connection = client();
    assert_eq!(exchange(&connection, 1).expect("the endpoint answers"), 2);

    streams.set(1, StreamFaults { hold_from_endpoint: true, ..StreamFaults::default() });
    connection.set_read_timeout(Some(Duration::from_millis(50))).expect("the timeout is set");
    assert!(exchange(&connection, 10).is_err(), "the answer is held");
    let (delay, begun) = (Duration::from_millis(30), Instant::now());
    while streams.counts(1).bytes_to_endpoint < 2 {
        assert!(begun.elapsed() < TIMEOUT, "bytes to the endpoint are not held");
        thread::sleep(Duration::from_millis(2));
    }
    connection.set_read_timeout(Some(TIMEOUT)).expect("the timeout is set");
    streams.set(1, StreamFaults { delay, ..StreamFaults::default() });
    let mut held = [0];
    (&connection).read_exact(&mut held).expect("the held byte arrives once it is released");
    assert_eq!((held[0], exchange(&connection, 20).expect("the endpoint answers")), (11, 21));
    assert!(begun.elapsed() >= 2 * delay, "the delay applies in both directions: {:?}", begun.elapsed());

    streams.set(1, StreamFaults { reset: true, ..StreamFaults::default() });
    let end = (&connection).read(&mut held).expect_err("the connection is reset").kind();
    assert_eq!(end, io::ErrorKind::ConnectionReset);
    assert!(exchange(&client(), 1).is_err(), "new connections are reset too");
    streams.set(1, StreamFaults::default());
    streams.set_endpoint(1, Some(endpoint()));
    assert_eq!(exchange(&client(), 30).expect("the endpoint answers"), 31);
    let counts = streams.counts(1);
    assert_eq!((counts.connections, counts.reset, counts.bytes_from_endpoint), (4, 3, 4));
}
