//! Workers on real loopback sockets.

use crate::seal::{Key, Seal};
use crate::{Command, Handle, Mesh, Settings, member_id};
use cottonpoint_peers::{Body, MemberState, Packet, Update};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

/// Longer than any wait here takes unless a test fails.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A packet with updates about that many members.
pub(crate) fn packet(updates: u64) -> Packet {
    let update = |n: u64| Update {
        id: member_id(&format!("member-{n}")),
        name: format!("member-{n}"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 7000),
        incarnation: 1 + n,
        boot: n << 40,
        state: MemberState::Reachable,
        reported_by: member_id("member-0"),
    };
    let nonce = 7;
    Packet { from: update(0), body: Body::Ping { nonce }, updates: (1..=updates).map(update).collect() }
}

fn bound() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let Ok(SocketAddr::V4(address)) = socket.local_addr() else { panic!("bound to IPv4") };
    (socket, address)
}

fn start(name: &str, seeds: &[SocketAddrV4], key: u8) -> (Mesh, Handle, SocketAddrV4) {
    let (socket, address) = bound();
    let peers = cottonpoint_peers::Settings {
        me: member_id(name),
        name: name.to_owned(),
        address,
        seeds: seeds.to_vec(),
        incarnation: 1,
        boot: u64::from(address.port()),
        period: Duration::from_millis(50),
        seed: 1,
    };
    let keys = vec![Key::new(&[key; 32]).expect("long enough")];
    let mesh = Mesh::start(socket, Settings { peers, cluster: "test".to_owned(), keys, workers: 2 });
    let mesh = mesh.expect("the mesh starts");
    let handle = mesh.handle();
    (mesh, handle, address)
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_LIMIT, "timed out waiting for {what}");
        std::thread::yield_now();
    }
}

fn state(handle: &Handle, name: &str) -> Option<MemberState> {
    let snapshot = handle.snapshot();
    let member = snapshot.view.members.iter().find(|member| member.update.id == member_id(name));
    member.map(|member| member.update.state)
}

/// Guards against members that don't find each other, a leave that is not received, commands that
/// are lost when the mesh stops, and workers that don't end.
#[test]
fn members_meet_leave_and_rejoin() {
    let (first, one, seed) = start("one", &[], 1);
    let (second, two, _) = start("two", &[seed], 1);
    wait_until("the meeting", || {
        state(&one, "two") == Some(MemberState::Reachable)
            && state(&two, "one") == Some(MemberState::Reachable)
    });
    let before = one.snapshot().view.version;
    two.send_command(Command::Leave);
    wait_until("the leave", || state(&one, "two") == Some(MemberState::Left));
    assert!(one.snapshot().view.version > before);
    two.send_command(Command::Join);
    wait_until("the rejoin", || state(&one, "two") == Some(MemberState::Reachable));
    two.send_command(Command::Leave);
    drop(second);
    wait_until("the last leave", || state(&one, "two") == Some(MemberState::Left));
    drop(first);
    assert_eq!((one.stats().panics, one.stats().too_long), (0, 0));
}

/// Guards against a stranger that is accepted, or rejected without being counted; an unreachable
/// peer that is treated as a bug; and a worker that spins because of it.
#[test]
fn strangers_garbage_and_unreachable_peers_are_counted_and_harmless() {
    let (unused, unreachable) = bound();
    drop(unused);
    let (_mesh, one, address) = start("one", &[unreachable], 1);
    let (_other, other, _) = start("other", &[address], 2);
    let (socket, _) = bound();
    let send = |bytes: &[u8]| assert_eq!(socket.send_to(bytes, address).ok(), Some(bytes.len()));
    send(&[1; 1300]);
    send(&[9; 100]);
    send(&[]);
    send(&[1; 3]);
    send(
        &Seal::new("elsewhere", &[Key::new(&[1; 16]).expect("long enough")])
            .seal(&packet(0))
            .expect("short"),
    );
    // In the order of Refusal::ALL: too long, version, cluster, key, garbage.
    wait_until("each refusal", || {
        let refused = one.stats().refused;
        refused[..3] == [1, 2, 1] && refused[3] >= 1 && refused[4] == 1
    });
    assert_eq!(state(&one, "other"), None);
    assert_eq!(state(&other, "one"), None);
    assert_eq!(one.stats().received, 0);
    assert_eq!(one.stats().panics, 0);
}

/// Guards against a panic in the state machine that silently ends the membership, and a member that
/// after it is considered dead by others or whose view goes back.
#[test]
fn worker_panic_is_counted_and_the_member_restarts() {
    let (_first, one, seed) = start("one", &[], 1);
    let (_second, two, _) = start("two", &[seed], 1);
    let met = |handle: &Handle, name| state(handle, name) == Some(MemberState::Reachable);
    wait_until("the meeting", || met(&one, "two") && met(&two, "one"));
    let before = two.snapshot().view.version;
    let boot = |handle: &Handle, name: &str| {
        let snapshot = handle.snapshot();
        let member = snapshot.view.members.iter().find(|member| member.update.name == name);
        member.map(|member| member.update.boot)
    };
    let first_boot = boot(&one, "two");
    two.send_command(Command::Panic);
    wait_until("the restart", || boot(&one, "two") != first_boot && met(&one, "two") && met(&two, "one"));
    wait_until("the count", || two.stats().panics == 1);
    assert!(two.snapshot().view.version > before);
}

/// Guards against an event loop that waits for slow workers, and commands dropped without being
/// counted.
#[test]
fn commands_that_do_not_fit_the_queue_are_counted() {
    let (mesh, one, _) = start("one", &[], 1);
    drop(mesh); // No worker takes commands any more.
    for _ in 0..100 {
        one.send_command(Command::Join);
    }
    assert_eq!(one.stats().commands_dropped, 36);
}
