//! Invariants of the fleet simulation under random faults.
#![allow(missing_docs)]

use cottonpoint_lab::fleet::{Fleet, Operation, SOCKET_QUEUE_PACKETS, Setup};
use cottonpoint_lab::rig::links::{Faults, LinkChange};
use cottonpoint_peers::{MemberState, PACKET_LIMIT};
use proptest::prelude::*;
use std::time::Duration;

const SECOND_NS: u64 = 1_000_000_000;

/// A fleet with link faults, to which many operations are applied.
fn disturbed_fleet(members: usize, seed: u64, loss: f64) -> Fleet {
    let mut setup = Setup::new(members, seed);
    let hold = Duration::from_secs(3);
    setup.faults = Faults { loss, duplicate: 0.1, reorder: 0.1, hold, ..setup.faults };
    (setup.replay_share, setup.replay_delay) = (0.1, Duration::from_secs(5));
    let mut fleet = Fleet::new(setup);
    fleet.start_all(0, SECOND_NS);
    fleet.schedule(0, Operation::RecordViews(true));
    let half: Vec<usize> = (0..members / 2).collect();
    let rest: Vec<usize> = (members / 2..members).collect();
    let operations = [
        (8, Operation::Crash(0)),
        (9, Operation::Pause(1)),
        (15, Operation::Links(LinkChange::Split(half, rest))),
        (20, Operation::Resume(1)),
        (22, Operation::Pause(2)),
        (25, Operation::Crash(2)),
        (30, Operation::Start(0)),
        (40, Operation::Links(LinkChange::Heal)),
        (45, Operation::Leave(3)),
        (50, Operation::Join(3)),
    ];
    for (at, operation) in operations {
        fleet.schedule(at * SECOND_NS, operation);
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against packets that the simulation itself loses or creates, on any link at any time.
    #[test]
    fn packets_are_conserved_on_each_link(seed in 0_u64..10_000, members in 4_usize..12, loss in 0.0..0.5) {
        let mut fleet = disturbed_fleet(members, seed, loss);
        for second in 1..60 {
            fleet.run_until(second * SECOND_NS + SECOND_NS / 3);
            for (from, to) in (0..members).flat_map(|from| (0..members).map(move |to| (from, to))) {
                let (counts, in_flight) = fleet.counts_between(from, to);
                prop_assert_eq!(
                    counts.sent + counts.duplicated + counts.replayed,
                    counts.dropped + counts.delivered + counts.overflowed + counts.undeliverable + in_flight,
                    "{} to {} after {} s: {:?}, {} in flight", from, to, second, counts, in_flight
                );
                let link = fleet.links().counts(from, to).expect("the link exists");
                prop_assert_eq!((link.passed + link.dropped, link.duplicated), (counts.sent, counts.duplicated));
            }
        }
        let sum = fleet.total_counts();
        prop_assert!(
            sum.delivered > 100 && sum.dropped > 0 && sum.undeliverable > 0 && sum.replayed > 0,
            "{:?}", sum
        );
    }
}

/// Guards against a run that depends on anything but its setup and operations, and a seed without
/// effect.
#[test]
fn equal_seeds_give_equal_logs() {
    let run = |seed| {
        let mut fleet = disturbed_fleet(9, seed, 0.2);
        fleet.run_until(60 * SECOND_NS);
        let sent: Vec<_> = (0..9).map(|i| fleet.sent(i)).collect();
        (fleet.log().clone(), sent, fleet.total_counts())
    };
    let first = run(5);
    assert!(first.0.changes.len() > 100);
    assert_eq!(first, run(5));
    assert_ne!(first.0, run(6).0);
}

/// Guards against a paused process that still acts, loses packets that fit into its socket, or
/// keeps packets that do not.
#[test]
fn packets_for_a_paused_process_are_queued_up_to_the_socket_limit() {
    let mut fleet = Fleet::new(Setup::new(5, 3));
    fleet.start_all(0, SECOND_NS);
    assert!(fleet.run_until_agreed(SECOND_NS, 30 * SECOND_NS).is_some());
    let to_last = |fleet: &Fleet| {
        let counts = (0..4).map(|from| fleet.counts_between(from, 4));
        counts.fold((0, 0, 0), |sum, (counts, queued)| {
            (sum.0 + counts.delivered, sum.1 + queued, sum.2 + counts.overflowed)
        })
    };
    let start = fleet.now();
    fleet.schedule(start, Operation::Pause(4));
    fleet.run_until(start + 5 * SECOND_NS);
    let (delivered, queued, overflowed) = to_last(&fleet);
    let sent = fleet.sent(4);
    assert!(queued > 3, "{queued} packets queued");
    fleet.run_until(start + 2_000 * SECOND_NS);
    let (delivered_when_paused, queued, overflowed_later) = to_last(&fleet);
    assert_eq!(
        (delivered_when_paused, fleet.sent(4)),
        (delivered, sent),
        "a paused process neither receives nor sends"
    );
    assert!(
        queued <= SOCKET_QUEUE_PACKETS as u64 + 4 && queued >= SOCKET_QUEUE_PACKETS as u64,
        "{queued} packets queued"
    );
    assert!(overflowed_later > overflowed);
    assert_eq!(fleet.member_views(0)[4].state, Some(MemberState::Dead));
    fleet.schedule(fleet.now(), Operation::Resume(4));
    fleet.run_until(fleet.now());
    assert!(
        to_last(&fleet).0 >= delivered_when_paused + SOCKET_QUEUE_PACKETS as u64,
        "all queued packets are delivered at once"
    );
    assert!(fleet.run_until_agreed(SECOND_NS, start + 2_060 * SECOND_NS).is_some());
}

/// Guards against a new process that is taken for the previous one, and packets over their limit.
#[test]
fn new_process_at_the_same_address_has_another_boot_id() {
    let mut fleet = Fleet::new(Setup::new(20, 1));
    fleet.start_all(0, SECOND_NS);
    assert!(fleet.run_until_agreed(SECOND_NS, 60 * SECOND_NS).is_some());
    let before = fleet.boot(7);
    fleet.schedule(fleet.now(), Operation::Start(7));
    fleet.run_until(fleet.now());
    assert!(fleet.boot(7).is_some() && fleet.boot(7) != before);
    assert_eq!(
        fleet.member_views(3)[7].boot,
        before.expect("a process ran"),
        "no other member knows the new process yet"
    );
    assert!(fleet.disagreements() > 0);
    assert!((0..20).all(|i| fleet.sent(i).2 <= PACKET_LIMIT));
}
