//! The relays with plain sockets behind them.

use super::links::{Change, Counts, Faults};
use super::relay::{Relay, Undelivered};
use super::stream::{StreamFaults, Streams};
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

const SOON: Duration = Duration::from_secs(10);

/// A relay with as many plain sockets behind it.
fn relay(members: usize) -> (Relay, Vec<UdpSocket>) {
    let relay = Relay::start(members, 1).expect("ports");
    let sockets: Vec<_> = (0..members).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    for (member, socket) in sockets.iter().enumerate() {
        socket.set_read_timeout(Some(SOON)).expect("a wait");
        relay.learn(member, v4(socket));
    }
    (relay, sockets)
}

fn v4(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("bound") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

fn hear(socket: &UdpSocket) -> (u8, SocketAddr) {
    let mut buffer = [0; 64];
    let (n, from) = socket.recv_from(&mut buffer).expect("something arrives");
    assert_eq!(n, 1);
    (buffer[0], from)
}

/// Guards against: a sender or receiver taken for another, a stranger's datagram handed on, a cut that does not
/// hold, a process that is followed by another and still heard or served.
#[test]
fn each_link_is_known_by_its_ends() {
    let (relay, mut sockets) = relay(3);
    let send = |socket: &UdpSocket, to, byte| socket.send_to(&[byte], relay.address(to)).expect("sent");
    send(&sockets[0], 1, 7);
    assert_eq!(hear(&sockets[1]), (7, relay.address(0).into()));
    relay.change(&Change::CutOneWay(vec![0], vec![1]));
    send(&sockets[0], 1, 8);
    send(&UdpSocket::bind("127.0.0.1:0").expect("a port"), 1, 9);
    let next = UdpSocket::bind("127.0.0.1:0").expect("a port");
    next.set_read_timeout(Some(SOON)).expect("a wait");
    relay.learn(2, v4(&next));
    let earlier = std::mem::replace(&mut sockets[2], next);
    send(&earlier, 1, 10);
    send(&sockets[1], 0, 11);
    assert_eq!(hear(&sockets[0]).0, 11, "the way back is open");
    send(&sockets[2], 1, 12);
    assert_eq!(hear(&sockets[1]), (12, relay.address(2).into()), "nothing else came before");
    send(&sockets[1], 2, 13);
    assert_eq!(hear(&sockets[2]).0, 13);
    assert_eq!(relay.undelivered(), Undelivered { strangers: 2, ..Undelivered::default() });
    let cut = relay.counts(0, 1).expect("it exists");
    assert_eq!((cut.passed, cut.dropped), (1, 1));
    let traffic = relay.traffic();
    assert_eq!((traffic[0].sent, traffic[0].sent_bytes, traffic[1].received), (2, 2, 2));
}

/// Guards against: a delay that does not hold back or loses, a copy that never comes, a schedule that is not
/// played by itself, and a datagram sent again that does not get through.
#[test]
fn what_is_held_back_comes_later_and_changes_come_by_themselves() {
    let (relay, sockets) = relay(2);
    let delay = Duration::from_millis(40);
    let slow = Faults { duplicate: 1.0, delay: (delay, delay), ..Faults::default() };
    relay.change(&Change::One { from: 0, to: 1, faults: slow });
    let begun = Instant::now();
    for byte in 0..20 {
        sockets[0].send_to(&[byte], relay.address(1)).expect("sent");
    }
    let heard: Vec<u8> = (0..40).map(|_| hear(&sockets[1]).0).collect();
    assert!(begun.elapsed() >= delay, "{:?}", begun.elapsed());
    assert_eq!(heard.iter().collect::<BTreeSet<_>>().len(), 20, "{heard:?}");
    let kept = relay.kept();
    relay.send_again(&kept[3]);
    assert_eq!(hear(&sockets[1]).0, 3);

    // The same byte all the time, until the relay has done the expected.
    let send_until = |done: &dyn Fn(Counts) -> bool| {
        let begun = Instant::now();
        while !done(relay.counts(0, 1).expect("it exists")) {
            assert!(begun.elapsed() < SOON, "{:?}", relay.counts(0, 1));
            sockets[0].send_to(&[50], relay.address(1)).expect("sent");
            thread::sleep(Duration::from_millis(2));
        }
    };
    relay.change_after(delay, Change::Split(vec![0], vec![1]));
    relay.change_after(2 * delay, Change::All(Faults::default()));
    send_until(&|counts| counts.dropped > 0);
    let passed = relay.counts(0, 1).expect("it exists").passed;
    send_until(&|counts| counts.passed > passed);
}

/// A target that answers each byte with the next one, until its client closes; it serves one client after the other.
fn target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut byte = [0];
            while (&stream).read_exact(&mut byte).is_ok() && (&stream).write_all(&[byte[0] + 1]).is_ok() {}
        }
    });
    address
}

fn ask(mut stream: &TcpStream, byte: u8) -> io::Result<u8> {
    let mut answer = [byte];
    stream.write_all(&answer)?;
    stream.read_exact(&mut answer)?;
    Ok(answer[0])
}

/// Guards against: bytes lost, doubled or let through on a link that holds them, a delay that is none, connections
/// that outlive a reset, and a relay that does not find the next process of a target.
#[test]
fn streams_are_held_delayed_and_reset() {
    let streams = Streams::start(2).expect("ports");
    let client = || {
        let stream = TcpStream::connect(streams.address(1)).expect("it listens");
        stream.set_read_timeout(Some(SOON)).expect("a wait");
        stream
    };
    assert!(ask(&client(), 1).is_err(), "there is no target yet");
    streams.lead_to(1, Some(target()));
    let first = client();
    assert_eq!(ask(&first, 1).expect("an answer"), 2);

    streams.set(1, StreamFaults { hold_back: true, ..StreamFaults::default() });
    first.set_read_timeout(Some(Duration::from_millis(50))).expect("a wait");
    assert!(ask(&first, 10).is_err(), "the answer is held");
    let (delay, begun) = (Duration::from_millis(30), Instant::now());
    while streams.counts(1).there < 2 {
        assert!(begun.elapsed() < SOON, "what was asked is not held");
        thread::sleep(Duration::from_millis(2));
    }
    first.set_read_timeout(Some(SOON)).expect("a wait");
    streams.set(1, StreamFaults { delay, ..StreamFaults::default() });
    let mut held = [0];
    (&first).read_exact(&mut held).expect("it comes when nothing holds it any more");
    assert_eq!((held[0], ask(&first, 20).expect("an answer")), (11, 21));
    assert!(begun.elapsed() >= 2 * delay, "there and back: {:?}", begun.elapsed());

    streams.set(1, StreamFaults { reset: true, ..StreamFaults::default() });
    let end = (&first).read(&mut held).expect_err("it is reset").kind();
    assert_eq!(end, io::ErrorKind::ConnectionReset);
    assert!(ask(&client(), 1).is_err(), "and so are new ones");
    streams.set(1, StreamFaults::default());
    streams.lead_to(1, Some(target()));
    assert_eq!(ask(&client(), 30).expect("an answer"), 31);
    let counts = streams.counts(1);
    assert_eq!((counts.connections, counts.reset, counts.back), (4, 3, 4));
}
