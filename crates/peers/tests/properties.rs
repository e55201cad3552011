//! Invariants that hold for any input, from any sender, in any order.

mod common;

use common::*;
use cottonpoint_decide::Time;
use cottonpoint_peers::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddrV4;

/// The most actions of one event: a sync response with the longest updates, and what else may be
/// due.
const ACTIONS_LIMIT: usize = MEMBERS_LIMIT / 13 + 1 + 64 + 16;

fn any_update() -> impl Strategy<Value = Update> {
    let incarnation =
        prop_oneof![0..5u64, Just(1 << 32), Just((1 << 63) - 1), Just(u64::MAX), any::<u64>()];
    let state = prop_oneof![
        Just(MemberState::Reachable),
        Just(MemberState::Suspected),
        Just(MemberState::Dead),
        Just(MemberState::Left)
    ];
    let address = prop_oneof![
        4 => (0..8usize).prop_map(address),
        1 => Just(SocketAddrV4::new([0, 0, 0, 0].into(), 0)),
        1 => Just(SocketAddrV4::new([224, 0, 0, 1].into(), 9)),
    ];
    let id = prop_oneof![8 => 0..8u64, 1 => any::<u64>()];
    (id, 0..50usize, address, incarnation, 0..3u64, state, 0..9u64).prop_map(
        |(id, name, address, incarnation, boot, state, by)| Update {
            id: MemberId(id),
            name: "n".repeat(name),
            address,
            incarnation,
            boot,
            state,
            reported_by: MemberId(by),
        },
    )
}

fn any_packet() -> impl Strategy<Value = Packet> {
    let body = prop_oneof![
        any::<u32>().prop_map(|nonce| Body::Ping { nonce }),
        (any::<u32>(), 0..9u64, 0..9usize).prop_map(|(nonce, target, at)| Body::PingRequest {
            nonce,
            target: MemberId(target),
            address: address(at)
        }),
        any::<u32>().prop_map(|nonce| Body::Ack { nonce }),
        any::<u32>().prop_map(|nonce| Body::Nack { nonce }),
        Just(Body::SyncRequest),
        Just(Body::SyncResponse),
        Just(Body::Leave),
    ];
    // Half of the senders describe themselves as a correct member does.
    (any_update(), any::<bool>(), body, vec(any_update(), 0..120)).prop_map(
        |(from, honest, body, updates)| {
            let state = if body == Body::Leave { MemberState::Left } else { MemberState::Reachable };
            let at = (from.id.0 % 8) as usize;
            let from = if honest {
                Update { state, address: address(at), name: "n".into(), ..from }
            } else {
                from
            };
            Packet { from, body, updates }
        },
    )
}

#[derive(Clone, Debug)]
enum Step {
    Packet(Packet),
    Wake,
    Leave,
    Join,
}

fn any_step() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        6 => any_packet().prop_map(Step::Packet),
        6 => Just(Step::Wake),
        1 => Just(Step::Leave),
        1 => Just(Step::Join),
    ];
    // Milliseconds since the previous step: mostly few, sometimes more than an hour.
    (prop_oneof![Just(0), 0..500u64, 0..5000u64, Just(4_000_000)], step)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a panic, unbounded work or memory, an oversized packet, a wake that is always
    /// due at once, and an own incarnation that goes back, whatever a member with the key sends.
    #[test]
    fn no_input_breaks_the_invariants(steps in vec(any_step(), 1..60)) {
        let mut peers = Peers::new(settings(0), Time(0));
        let (mut now, mut actions) = (Time(0), Vec::new());
        peers.handle(now, Event::Wake, &mut actions);
        let mut incarnation = peers.view().incarnation;
        for (elapsed, step) in &steps {
            actions.clear();
            now = now + T * (*elapsed as u32) / 1000;
            let before = (peers.view(), peers.version());
            match step {
                Step::Packet(packet) => peers.handle(now, Event::Packet(packet), &mut actions),
                Step::Wake => peers.handle(now, Event::Wake, &mut actions),
                Step::Leave => peers.handle(now, Event::Leave, &mut actions),
                Step::Join => peers.handle(now, Event::Join, &mut actions),
            }
            prop_assert!(actions.len() <= ACTIONS_LIMIT, "{}", actions.len());
            for action in &actions {
                match action {
                    Action::WakeAt(due) => prop_assert!(*due > now),
                    Action::Send { packet, .. } => {
                        let length = postcard::to_allocvec(packet).unwrap().len();
                        prop_assert!(length <= PACKET_LIMIT - SEAL_ROOM, "{length}");
                        prop_assert_eq!(packet.from.id, id(0));
                        let left = packet.from.state == MemberState::Left;
                        prop_assert!(!left || packet.body == Body::Leave, "{:?} after leaving", packet.body);
                    }
                }
            }
            let view = peers.view();
            prop_assert!(view.incarnation >= incarnation && view.members.len() <= MEMBERS_LIMIT);
            prop_assert!(view == before.0 || peers.version() > before.1, "view changed without a new version");
            incarnation = view.incarnation;
        }
    }

    /// Guards against an old packet, replayed to any member at any time, that changes the state of
    /// a member or costs more than one refutation.
    #[test]
    fn replayed_packet_changes_no_view(
        members in 3..6usize,
        seed in any::<u64>(),
        faults in vec((0..5u8, 0..5usize, 1..12u32), 0..4),
        again in vec((any::<prop::sample::Index>(), 0..5usize), 1..40),
    ) {
        let mut net = Net::new(members, seed);
        net.run(T * 10);
        for (fault, at, periods) in faults {
            let at = at % members;
            match fault {
                0 => net.loss = 30,
                1 => net.cut_links = (0..members).flat_map(|other| [(at, other), (other, at)]).collect(),
                2 => net.start(at, Settings { boot: net.now.0, ..settings(at) }),
                3 => net.deliver(at, Event::Leave),
                _ => net.deliver(at, Event::Join),
            }
            net.run(T * periods);
            net.cut_links.clear();
        }
        net.loss = 0;
        (0..members).for_each(|at| net.deliver(at, Event::Join));
        let whole = |net: &Net| net.all_hold(|_, _, state| state == MemberState::Reachable);
        prop_assert!(net.run_until(bounds::known_to_all(members, T), whole));
        // Gossip about the faults ends, too.
        net.run(bounds::known_to_all(members, T));
        prop_assert!(whole(&net));
        let held = |net: &Net| -> Vec<Vec<Update>> {
            let updates = |at| net.peers(at).view().members.into_iter().map(|member| member.update).collect();
            (0..members).map(updates).collect()
        };
        let (before, sent) = (held(&net), net.sent.clone());
        for (which, to) in again {
            net.deliver(to % members, Event::Packet(&which.get(&sent).1));
            net.run(T / 4);
        }
        net.run(bounds::refutation_round(members, T));
        for (now, before) in held(&net).into_iter().flatten().zip(before.into_iter().flatten()) {
            // A suspicion that only a restarted process used to hold may have to be refuted once.
            prop_assert!(now.incarnation - before.incarnation <= 1, "{before:?} {now:?}");
            prop_assert_eq!(Update { incarnation: 0, ..now }, Update { incarnation: 0, ..before });
        }
    }
}

/// Guards against a packet that exceeds the limit once sealed, whatever space its header leaves,
/// and fewer than 13 of the longest updates in one packet.
#[test]
fn largest_packet_fits_the_limit_with_its_seal() {
    // Version, cluster and MAC, as in a datagram.
    let seal = 1 + 8 + 16;
    for own_name in 1..=NAME_LIMIT {
        let longest = |number: u64| Update {
            id: MemberId(u64::MAX - number),
            name: "n".repeat(NAME_LIMIT),
            address: "127.255.255.254:65535".parse().unwrap(),
            incarnation: (1 << 32) + 1,
            boot: u64::MAX,
            state: MemberState::Reachable,
            reported_by: MemberId(u64::MAX),
        };
        let mut peers = Peers::new(Settings { name: "n".repeat(own_name), ..settings(0) }, Time(0));
        let mut actions = Vec::new();
        peers.handle(Time(0), Event::Wake, &mut actions);
        for part in 0..4 {
            let updates = (1..60).map(|number| longest(part * 60 + number)).collect();
            let packet = Packet { from: longest(0), body: Body::Ping { nonce: 1 }, updates };
            actions.clear();
            peers.handle(Time(0), Event::Packet(&packet), &mut actions);
        }
        let longest = actions.iter().filter_map(|action| match action {
            Action::Send { packet, .. } => {
                Some((packet.updates.len(), postcard::to_allocvec(packet).unwrap().len()))
            }
            _ => None,
        });
        let (updates, length) = longest.max().unwrap();
        assert!(updates >= 13 && length + seal <= PACKET_LIMIT, "{updates} updates, {length} bytes");
    }
}
