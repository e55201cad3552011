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

/// Guards against: a split that does not heal by itself, or only at some members.
#[test]
fn a_split_heals_at_all_members() {
    for members in [2, 3, 10, 40] {
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
