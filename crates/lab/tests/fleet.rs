//! The world of a fleet's planes: what it must never do, whatever is done to a fleet.
#![allow(missing_docs)]

use cottonpoint_lab::fleet::{Do, Fleet, SOCKET_HOLDS, Setup};
use cottonpoint_lab::rig::links::{Faults, LinkChange};
use cottonpoint_peers::{MemberState, PACKET_LIMIT};
use proptest::prelude::*;
use std::time::Duration;

const T: u64 = 1_000_000_000;

/// A fleet to which all sorts of things are done.
fn troubled(members: usize, seed: u64, loss: f64) -> Fleet {
    let mut setup = Setup::new(members, seed);
    let hold = Duration::from_secs(3);
    setup.faults = Faults { loss, duplicate: 0.1, reorder: 0.1, hold, ..setup.faults };
    (setup.again, setup.again_after) = (0.1, Duration::from_secs(5));
    let mut fleet = Fleet::new(setup);
    fleet.start_all(0, T);
    fleet.at(0, Do::Watch(true));
    let half: Vec<usize> = (0..members / 2).collect();
    let rest: Vec<usize> = (members / 2..members).collect();
    let things = [
        (8, Do::Crash(0)),
        (9, Do::Stop(1)),
        (15, Do::Links(LinkChange::Split(half, rest))),
        (20, Do::Resume(1)),
        (22, Do::Stop(2)),
        (25, Do::Crash(2)),
        (30, Do::Start(0)),
        (40, Do::Links(LinkChange::Heal)),
        (45, Do::Leave(3)),
        (50, Do::Join(3)),
    ];
    for (at, act) in things {
        fleet.at(at * T, act);
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against: packets lost or made up by the world itself, on any link at any moment.
    #[test]
    fn packets_are_conserved_on_each_link(seed in 0_u64..10_000, members in 4_usize..12, loss in 0.0..0.5) {
        let mut fleet = troubled(members, seed, loss);
        for second in 1..60 {
            fleet.run(second * T + T / 3);
            for (from, to) in (0..members).flat_map(|from| (0..members).map(move |to| (from, to))) {
                let (flow, in_flight) = fleet.flow_of(from, to);
                prop_assert_eq!(
                    flow.sent + flow.doubled + flow.again,
                    flow.dropped + flow.delivered + flow.overflowed + flow.unheard + in_flight,
                    "{} to {} after {} s: {:?}, {} in flight", from, to, second, flow, in_flight
                );
                let link = fleet.links().counts(from, to).expect("it exists");
                prop_assert_eq!((link.passed + link.dropped, link.duplicated), (flow.sent, flow.doubled));
            }
        }
        let sum = fleet.flow_sum();
        prop_assert!(sum.delivered > 100 && sum.dropped > 0 && sum.unheard > 0 && sum.again > 0, "{:?}", sum);
    }
}

/// Guards against: a run that depends on anything but its setup and script, and a seed that changes nothing.
#[test]
fn equal_seeds_give_equal_logs() {
    let play = |seed| {
        let mut fleet = troubled(9, seed, 0.2);
        fleet.run(60 * T);
        let sent: Vec<_> = (0..9).map(|i| fleet.sent(i)).collect();
        (fleet.log().clone(), sent, fleet.flow_sum())
    };
    let first = play(5);
    assert!(first.0.changes.len() > 100);
    assert_eq!(first, play(5));
    assert_ne!(first.0, play(6).0);
}

/// Guards against: a stopped process that still acts, loses what fits into its socket, or keeps what does not.
#[test]
fn what_came_while_a_process_stood_still_is_given_late_and_bounded() {
    let mut fleet = Fleet::new(Setup::new(5, 3));
    fleet.start_all(0, T);
    assert!(fleet.run_until_agreed(T, 30 * T).is_some());
    let to_last = |fleet: &Fleet| {
        let flows = (0..4).map(|from| fleet.flow_of(from, 4));
        flows.fold((0, 0, 0), |sum, (flow, waits)| {
            (sum.0 + flow.delivered, sum.1 + waits, sum.2 + flow.overflowed)
        })
    };
    let start = fleet.now();
    fleet.at(start, Do::Stop(4));
    fleet.run(start + 5 * T);
    let (delivered, waiting, overflowed) = to_last(&fleet);
    let sent = fleet.sent(4);
    assert!(waiting > 3, "{waiting} wait");
    fleet.run(start + 2_000 * T);
    let (still, waiting, more) = to_last(&fleet);
    assert_eq!((still, fleet.sent(4)), (delivered, sent), "it stands still");
    assert!(waiting <= SOCKET_HOLDS as u64 + 4 && waiting >= SOCKET_HOLDS as u64, "{waiting} wait");
    assert!(more > overflowed);
    assert_eq!(fleet.held(0)[4].standing, Some(MemberState::Dead));
    fleet.at(fleet.now(), Do::Resume(4));
    fleet.run(fleet.now());
    assert!(to_last(&fleet).0 >= still + SOCKET_HOLDS as u64, "all that waited is given at once");
    assert!(fleet.run_until_agreed(T, start + 2_060 * T).is_some());
}

/// Guards against: a new process that is taken for the old one, and packets over their limit.
#[test]
fn a_new_process_at_the_address_has_another_boot() {
    let mut fleet = Fleet::new(Setup::new(20, 1));
    fleet.start_all(0, T);
    assert!(fleet.run_until_agreed(T, 60 * T).is_some());
    let before = fleet.boot(7);
    fleet.at(fleet.now(), Do::Start(7));
    fleet.run(fleet.now());
    assert!(fleet.boot(7).is_some() && fleet.boot(7) != before);
    assert_eq!(fleet.held(3)[7].boot, before.expect("it ran"), "nobody knows yet");
    assert!(fleet.astray() > 0);
    assert!((0..20).all(|i| fleet.sent(i).2 <= PACKET_LIMIT));
}
