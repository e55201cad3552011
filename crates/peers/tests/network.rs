//! The protocol with several members on an in-memory network.

mod common;

use common::*;
use cottonpoint_peers::*;

const REACHABLE: Option<MemberState> = Some(MemberState::Reachable);
const DEAD: Option<MemberState> = Some(MemberState::Dead);

/// Guards against members that don't find one another through seeds, and a crash that some members
/// never learn of.
#[test]
fn crash_is_known_to_all_members_in_time() {
    for members in [2, 3, 10, 40] {
        let mut net = Net::settled(members, members as u64);
        net.crash(members - 1);
        let known = |net: &Net| (0..members - 1).all(|at| net.state(at, members - 1) == DEAD);
        assert!(net.run_until(bounds::known_to_all(members, T), known), "{members}");
        assert!(net.all_hold(|_, _, state| state == MemberState::Reachable), "{members}");
    }
}

/// Guards against live members considered dead when one packet in ten is lost.
#[test]
fn live_members_are_not_considered_dead_at_ten_percent_loss() {
    for seed in 0..10 {
        let mut net = Net::settled(10, seed);
        net.loss = 10;
        let dead = |net: &Net| !net.all_hold(|_, _, state| state.is_alive());
        assert!(!net.run_until(T * 300, dead), "{seed}");
    }
}

/// Guards against slow discovery when all members start at once, because too few packets carry
/// updates.
#[test]
fn members_that_start_together_all_meet_in_ten_periods() {
    let mut net = Net::new(100, 3);
    assert!(net.run_until(T * 10, |net| net.all_hold(|_, _, state| state == MemberState::Reachable)));
    assert!((0..100).all(|at| net.peers(at).view().partition == PartitionStatus::Whole));
}

/// Guards against members that start in separate groups, each around a seed of its own, and stay
/// apart for long.
#[test]
fn members_that_start_in_turn_all_meet() {
    for seed in 0..100 {
        let mut net = Net::new(10, seed);
        (0..10).for_each(|at| net.crash(at));
        for at in 0..10 {
            let seeds = vec![address(0), address(1), address(2)];
            net.start(at, Settings { seeds, seed: seed ^ (at as u64) << 32, ..settings(at) });
            net.run(T / 10);
        }
        let whole = |net: &Net| net.all_hold(|_, _, state| state == MemberState::Reachable);
        assert!(net.run_until(T * 3 + bounds::dissemination(10, T), whole), "{seed}");
    }
}

/// Guards against a partition that doesn't heal by itself, or at some members only.
#[test]
fn partition_heals_at_all_members() {
    for members in [2, 3, 10, 40, 150] {
        let mut net = Net::settled(members, members as u64);
        let half = members / 2;
        let across = |a: usize, b: usize| (a < half) != (b < half);
        net.cut_links = (0..members)
            .flat_map(|a| (0..members).map(move |b| (a, b)))
            .filter(|(a, b)| across(*a, *b))
            .collect();
        let split = |net: &Net| {
            net.all_hold(|a, b, state| {
                state == if across(a, b) { MemberState::Dead } else { MemberState::Reachable }
            })
        };
        assert!(net.run_until(bounds::known_to_all(members, T) * 2, split), "{members}");
        net.cut_links.clear();
        let healed = |net: &Net| net.all_hold(|_, _, state| state == MemberState::Reachable);
        assert!(net.run_until(T * 3 + bounds::dissemination(members, T), healed), "{members}");
    }
}

/// Guards against members of a minority that consider the fleet complete for long, because most
/// probes fail there and too few members are left to confirm a suspicion.
#[test]
fn all_members_of_a_minority_detect_it_in_time() {
    for (members, minority, seed) in
        [(10, 1), (10, 3), (50, 16)].map(|(n, k)| (0..10).map(move |s| (n, k, s))).into_iter().flatten()
    {
        let mut net = Net::settled(members, seed);
        net.cut_links = (0..members)
            .flat_map(|a| (0..members).map(move |b| (a, b)))
            .filter(|(a, b)| (*a < minority) != (*b < minority))
            .collect();
        let detected =
            |net: &Net| (0..minority).all(|at| net.peers(at).view().partition == PartitionStatus::Minority);
        // Half of the guaranteed time: the detection depends on no confirmation from the other
        // side.
        assert!(
            net.run_until(bounds::known_to_all(members, T) / 2, detected),
            "{minority} of {members}, {seed}"
        );
    }
}

/// Guards against a leave that is handled as a crash, and a member that cannot rejoin after it.
#[test]
fn leaving_member_is_not_suspected_and_can_rejoin() {
    let mut net = Net::settled(10, 1);
    net.deliver(9, Event::Leave);
    let left = |net: &Net| (0..9).all(|at| net.state(at, 9) == Some(MemberState::Left));
    assert!(net.run_until(bounds::dissemination(10, T), left));
    let suspicions: u64 = (0..9).map(|at| net.peers(at).counts().suspicions).sum();
    assert_eq!(suspicions, 0);
    net.deliver(9, Event::Join);
    let back = |net: &Net| (0..9).all(|at| net.state(at, 9) == REACHABLE);
    assert!(net.run_until(bounds::dissemination(10, T), back));
}

/// Guards against a one-way cut of one link that makes a member dead which all others reach.
#[test]
fn one_way_cut_of_a_link_makes_no_member_dead() {
    for members in [3, 4, 10] {
        let mut net = Net::settled(members, 5);
        net.cut_links.insert((0, 1));
        let dead = |net: &Net| !net.all_hold(|_, _, state| state.is_alive());
        assert!(!net.run_until(T * 200, dead), "{members}");
    }
}

/// Guards against a restarted process that is mistaken for its predecessor or considered dead.
#[test]
fn restart_at_the_same_address_is_known_to_all() {
    for periods_down in [0, 1, 40] {
        let mut net = Net::settled(5, 1);
        net.crash(4);
        net.run(T * periods_down);
        net.start(4, Settings { boot: 9, ..settings(4) });
        let new = |net: &Net| {
            let boot = |at| {
                net.peers(at)
                    .view()
                    .members
                    .iter()
                    .any(|member| member.update.id == id(4) && member.update.boot == 9)
            };
            (0..4).all(boot) && net.all_hold(|_, _, state| state == MemberState::Reachable)
        };
        assert!(net.run_until(bounds::refutation_round(5, T), new), "{periods_down}");
        assert!(
            net.peers(4).view().incarnation > 1 && net.peers(4).counts().name_conflicts <= 3,
            "{periods_down}"
        );
    }
}

/// Guards against a stalled process that considers the whole fleet dead when it resumes, or never
/// recovers.
#[test]
fn stalled_process_recovers_and_declares_nobody_dead() {
    for stalled_periods in [1, 3, 300] {
        let mut net = Net::settled(10, 2);
        net.suspend(3);
        net.run(T * stalled_periods);
        net.resume(3);
        let back = |net: &Net| net.all_hold(|_, _, state| state == MemberState::Reachable);
        net.run(T / 100);
        assert!(
            net.peers(3).view().local_health > 0 && net.peers(3).counts().late_wakes > 0,
            "{stalled_periods}"
        );
        assert!(net.run_until(bounds::refutation_round(10, T), back), "{stalled_periods}");
        assert_eq!(net.peers(3).counts().deaths, 0, "{stalled_periods}");
    }
}

/// Guards against two live processes of one name that refute each other without end, or whose
/// conflict is not visible.
#[test]
fn two_processes_of_one_name_are_counted_with_bounded_traffic() {
    let mut net = Net::settled(6, 4);
    net.start(5, Settings { me: id(4), name: "sidecar-4".into(), ..settings(5) });
    net.run(T * 20);
    let (before, raised) = (net.sent.len(), net.peers(5).view().incarnation);
    net.run(T * 100);
    assert!(net.peers(4).counts().name_conflicts > 10 && net.peers(5).counts().name_conflicts > 10);
    assert!(net.peers(5).view().incarnation - raised <= 2 * 101);
    // A ping, its ack, a ping outside the schedule and the traffic of a suspicion per member and
    // period.
    assert!(net.sent.len() - before < 6 * 100 * 8, "{}", net.sent.len() - before);
}

/// Guards against members that all consider each other dead and never ping each other again.
#[test]
fn members_that_consider_all_others_dead_reconnect_without_seeds() {
    let mut net = Net::new(4, 1);
    net.run(T * 5);
    net.cut_links = (0..4).flat_map(|a| (0..4).map(move |b| (a, b))).collect();
    net.run(bounds::known_to_all(4, T) * 3);
    assert!(net.all_hold(|_, _, state| state == MemberState::Dead));
    assert!((0..4).all(|at| net.peers(at).view().partition == PartitionStatus::Minority));
    // The two seeds remain unreachable.
    net.cut_links.retain(|(a, b)| *a < 2 || *b < 2);
    let back = |net: &Net| net.state(2, 3) == REACHABLE && net.state(3, 2) == REACHABLE;
    assert!(net.run_until(T * 12, back));
}
