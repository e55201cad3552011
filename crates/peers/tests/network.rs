//! The rules of the plane, played by several members over a network in memory.

mod common;

use common::*;
use cottonpoint_peers::*;

const REACHABLE: Option<Standing> = Some(Standing::Reachable);
const LAST_KNOWN: Option<Standing> = Some(Standing::LastKnown);

/// Guards against: members that do not find one another through seeds, or a crash that some never hear of.
#[test]
fn a_crash_is_known_to_all_in_time() {
    for members in [2, 3, 10, 40] {
        let mut net = Net::settled(members, members as u64);
        net.crash(members - 1);
        let known = |net: &Net| (0..members - 1).all(|at| net.standing(at, members - 1) == LAST_KNOWN);
        assert!(net.run_until(bounds::known_to_all(members, T), known), "{members}");
        assert!(net.all_hold(|_, _, standing| standing == Standing::Reachable), "{members}");
    }
}

/// Guards against: live members held dead at one lost packet in ten.
#[test]
fn no_live_member_is_held_dead_at_ten_percent_loss() {
    for seed in 0..10 {
        let mut net = Net::settled(10, seed);
        net.loss = 10;
        let dead = |net: &Net| !net.all_hold(|_, _, standing| standing.is_alive());
        assert!(!net.run_until(T * 300, dead), "{seed}");
    }
}

/// Guards against: a fleet that starts as one and finds itself slowly, since news rides on too few packets.
#[test]
fn a_fleet_that_starts_as_one_is_whole_in_ten_periods() {
    let mut net = Net::new(100, 3);
    assert!(net.run_until(T * 10, |net| net.all_hold(|_, _, standing| standing == Standing::Reachable)));
    assert!((0..100).all(|at| net.peers(at).view().part == Part::Whole));
}

/// Guards against: islands at the start, each around a seed of its own, that stay apart for long.
#[test]
fn no_islands_stay_apart_after_a_start() {
    for seed in 0..100 {
        let mut net = Net::new(10, seed);
        (0..10).for_each(|at| net.crash(at));
        for at in 0..10 {
            let seeds = vec![address(0), address(1), address(2)];
            net.start(at, Settings { seeds, seed: seed ^ (at as u64) << 32, ..settings(at) });
            net.run(T / 10);
        }
        let whole = |net: &Net| net.all_hold(|_, _, standing| standing == Standing::Reachable);
        assert!(net.run_until(T * 3 + bounds::dissemination(10, T), whole), "{seed}");
    }
}

/// Guards against: a split that does not heal by itself, or only at some members.
#[test]
fn a_split_heals_at_all_members() {
    for members in [2, 3, 10, 40, 150] {
        let mut net = Net::settled(members, members as u64);
        let half = members / 2;
        let across = |a: usize, b: usize| (a < half) != (b < half);
        net.cut = (0..members)
            .flat_map(|a| (0..members).map(move |b| (a, b)))
            .filter(|(a, b)| across(*a, *b))
            .collect();
        let split = |net: &Net| {
            net.all_hold(|a, b, standing| {
                standing == if across(a, b) { Standing::LastKnown } else { Standing::Reachable }
            })
        };
        assert!(net.run_until(bounds::known_to_all(members, T) * 2, split), "{members}");
        net.cut.clear();
        let healed = |net: &Net| net.all_hold(|_, _, standing| standing == Standing::Reachable);
        assert!(net.run_until(T * 3 + bounds::dissemination(members, T), healed), "{members}");
    }
}

/// Guards against: a smaller part in which some go on for long as if they were the whole fleet, because most probes
/// fail there and too few are left to confirm a suspicion.
#[test]
fn all_of_a_smaller_part_name_it_in_time() {
    for (members, small, seed) in
        [(10, 1), (10, 3), (50, 16)].map(|(n, k)| (0..10).map(move |s| (n, k, s))).into_iter().flatten()
    {
        let mut net = Net::settled(members, seed);
        net.cut = (0..members)
            .flat_map(|a| (0..members).map(move |b| (a, b)))
            .filter(|(a, b)| (*a < small) != (*b < small))
            .collect();
        let named = |net: &Net| (0..small).all(|at| net.peers(at).view().part == Part::Smaller);
        // Half of what is owed: it hangs on no confirmation from the other side.
        assert!(net.run_until(bounds::known_to_all(members, T) / 2, named), "{small} of {members}, {seed}");
    }
}

/// Guards against: a goodbye taken for a crash, and a member that cannot come back after one.
#[test]
fn a_goodbye_is_no_crash_and_can_be_taken_back() {
    let mut net = Net::settled(10, 1);
    net.tell(9, Event::Leave);
    let left = |net: &Net| (0..9).all(|at| net.standing(at, 9) == Some(Standing::Left));
    assert!(net.run_until(bounds::dissemination(10, T), left));
    let suspicions: u64 = (0..9).map(|at| net.peers(at).counts().suspicions).sum();
    assert_eq!(suspicions, 0);
    net.tell(9, Event::Join);
    let back = |net: &Net| (0..9).all(|at| net.standing(at, 9) == REACHABLE);
    assert!(net.run_until(bounds::dissemination(10, T), back));
}

/// Guards against: a cut of one direction of one link that fells a member which all others reach.
#[test]
fn a_one_way_cut_fells_nobody() {
    for members in [3, 4, 10] {
        let mut net = Net::settled(members, 5);
        net.cut.insert((0, 1));
        let dead = |net: &Net| !net.all_hold(|_, _, standing| standing.is_alive());
        assert!(!net.run_until(T * 200, dead), "{members}");
    }
}

/// Guards against: a new process under its old name that is held for its old life, or dead.
#[test]
fn a_restart_at_the_same_address_is_known_to_all() {
    for gone in [0, 1, 40] {
        let mut net = Net::settled(5, 1);
        net.crash(4);
        net.run(T * gone);
        net.start(4, Settings { boot: 9, ..settings(4) });
        let new = |net: &Net| {
            let boot = |at| {
                net.peers(at)
                    .view()
                    .members
                    .iter()
                    .any(|member| member.news.id == id(4) && member.news.boot == 9)
            };
            (0..4).all(boot) && net.all_hold(|_, _, standing| standing == Standing::Reachable)
        };
        assert!(net.run_until(bounds::refutation_round(5, T), new), "{gone}");
        assert!(net.peers(4).view().incarnation > 1 && net.peers(4).counts().namesakes <= 3, "{gone}");
    }
}

/// Guards against: a process that stood still and then takes the whole fleet for dead, or never comes back.
#[test]
fn a_process_that_stood_still_blames_itself() {
    for stood in [1, 3, 300] {
        let mut net = Net::settled(10, 2);
        net.stop(3);
        net.run(T * stood);
        net.go_on(3);
        let back = |net: &Net| net.all_hold(|_, _, standing| standing == Standing::Reachable);
        net.run(T / 100);
        assert!(net.peers(3).view().unwell > 0 && net.peers(3).counts().late > 0, "{stood}");
        assert!(net.run_until(bounds::refutation_round(10, T), back), "{stood}");
        assert_eq!(net.peers(3).counts().deaths, 0, "{stood}");
    }
}

/// Guards against: two live processes of one name that shout each other down, or that nobody can see.
#[test]
fn two_processes_of_one_name_are_counted_and_stay_quiet() {
    let mut net = Net::settled(6, 4);
    net.start(5, Settings { me: id(4), name: "sidecar-4".into(), ..settings(5) });
    net.run(T * 20);
    let (before, raised) = (net.sent.len(), net.peers(5).view().incarnation);
    net.run(T * 100);
    assert!(net.peers(4).counts().namesakes > 10 && net.peers(5).counts().namesakes > 10);
    assert!(net.peers(5).view().incarnation - raised <= 2 * 101);
    // Beside a ping, its answer, a knock and what a suspicion costs.
    assert!(net.sent.len() - before < 6 * 100 * 8, "{}", net.sent.len() - before);
}

/// Guards against: members that all hold each other dead and never knock again.
#[test]
fn a_fleet_in_which_all_are_held_dead_comes_back_without_seeds() {
    let mut net = Net::new(4, 1);
    net.run(T * 5);
    net.cut = (0..4).flat_map(|a| (0..4).map(move |b| (a, b))).collect();
    net.run(bounds::known_to_all(4, T) * 3);
    assert!(net.all_hold(|_, _, standing| standing == Standing::LastKnown));
    assert!((0..4).all(|at| net.peers(at).view().part == Part::Smaller));
    // The two seeds stay out of reach.
    net.cut.retain(|(a, b)| *a < 2 || *b < 2);
    let back = |net: &Net| net.standing(2, 3) == REACHABLE && net.standing(3, 2) == REACHABLE;
    assert!(net.run_until(T * 12, back));
}
