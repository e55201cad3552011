//! Single rules, tested with hand-made packets to one member.

mod common;

use common::*;
use cottonpoint_decide::Time;
use cottonpoint_peers::*;
use std::time::Duration;

const NOW: Time = Time(0);

fn started() -> Peers {
    let mut peers = Peers::new(Settings { seeds: vec![], ..settings(0) }, NOW);
    peers.handle(NOW, Event::Wake, &mut Vec::new());
    peers
}

fn deliver(peers: &mut Peers, now: Time, from: usize, body: Body, updates: Vec<Update>) -> Vec<Action> {
    let mut actions = Vec::new();
    peers.handle(now, Event::Packet(&Packet { from: initial_update(from), body, updates }), &mut actions);
    actions
}

fn bodies(actions: &[Action]) -> Vec<&Body> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { packet, .. } => Some(&packet.body),
        Action::WakeAt(_) => None,
    });
    sends.collect()
}

/// The members pinged, with the nonce that an ack has to carry.
fn pings(actions: &[Action]) -> Vec<(usize, u32)> {
    let pings = actions.iter().filter_map(|action| match action {
        Action::Send { to, packet: Packet { body: Body::Ping { nonce }, .. } } => {
            Some((usize::from(to.port()) - 7000, *nonce))
        }
        _ => None,
    });
    pings.collect()
}

fn report(of: usize, state: MemberState, by: usize) -> Update {
    Update { state, reported_by: id(by), ..initial_update(of) }
}

/// Guards against a table that grows without bound, or that drops a reachable member to hold
/// another.
#[test]
fn full_table_drops_the_longest_dead_and_never_a_reachable_member() {
    let mut peers = started();
    let dead: Vec<_> = (2000..2002).map(|at| report(at, MemberState::Dead, at)).collect();
    deliver(&mut peers, NOW, 1, Body::SyncResponse, dead);
    for from in (2..1100).step_by(90) {
        let some = (from..from + 90).map(initial_update).collect();
        deliver(&mut peers, NOW + T / 1000, 1, Body::SyncResponse, some);
    }
    let members = peers.view().members;
    assert_eq!(members.len(), MEMBERS_LIMIT);
    assert!(members.iter().all(|member| member.update.state == MemberState::Reachable));
    assert_eq!(peers.counts().members_removed, 2);
    assert!(peers.counts().dropped_table_full > 0);
}

/// Guards against dead members that are kept forever, or for another time than specified.
#[test]
fn dead_and_left_members_are_removed_after_their_retention_time() {
    let mut peers = started();
    deliver(
        &mut peers,
        NOW,
        1,
        Body::SyncResponse,
        vec![report(2, MemberState::Dead, 2), report(3, MemberState::Left, 3)],
    );
    let holds = |peers: &mut Peers, at: u64, of| {
        peers.handle(NOW + Duration::from_secs(at), Event::Wake, &mut Vec::new());
        peers.view().members.iter().any(|member| member.update.id == id(of))
    };
    assert!(holds(&mut peers, 290, 3) && !holds(&mut peers, 310, 3));
    assert!(holds(&mut peers, 3590, 2) && !holds(&mut peers, 3620, 2));
}

/// Guards against an overflow, and a member shut out by an incarnation that no correct member
/// reaches.
#[test]
fn implausible_incarnations_are_dropped_and_counted() {
    let mut peers = started();
    let implausible = Update { incarnation: u64::MAX, ..report(2, MemberState::Dead, 2) };
    let own = Update { incarnation: u64::MAX, ..report(0, MemberState::Dead, 0) };
    deliver(&mut peers, NOW, 1, Body::Ping { nonce: 1 }, vec![initial_update(2), implausible, own]);
    assert_eq!((peers.counts().implausible_incarnations, peers.view().incarnation), (2, 1));
    assert_eq!(peers.view().members[2].update, initial_update(2));
}

/// Guards against one suspicion passed on by many members that counts as many, and invented ids
/// that shorten the timeout.
#[test]
fn only_independent_suspicions_confirm() {
    let quarters_until_death = |by: &[usize]| {
        let mut peers = started();
        deliver(&mut peers, NOW, 1, Body::SyncResponse, (1..10).map(initial_update).collect());
        for (from, by) in by.iter().enumerate() {
            let suspected = vec![report(9, MemberState::Suspected, *by)];
            deliver(&mut peers, NOW, 1 + from, Body::Ping { nonce: 1 }, suspected);
        }
        let dead = |peers: &Peers| peers.view().members[9].update.state == MemberState::Dead;
        (0..200).find(|quarter| {
            let (now, mut actions) = (NOW + T / 4 * *quarter, Vec::new());
            peers.handle(now, Event::Wake, &mut actions);
            // All but the suspect answer, so that any of them could confirm.
            for (to, nonce) in pings(&actions).into_iter().filter(|(to, _)| *to != 9) {
                deliver(&mut peers, now, to, Body::Ack { nonce }, vec![]);
            }
            dead(&peers)
        })
    };
    let unconfirmed = quarters_until_death(&[1]);
    assert!(unconfirmed.is_some_and(|quarter| T / 4 * quarter >= bounds::suspicion(10, T, 1, 3)));
    assert_eq!(quarters_until_death(&[1, 1, 1, 1]), unconfirmed);
    assert_eq!(quarters_until_death(&[1, 700, 701, 702]), unconfirmed);
    assert_eq!(quarters_until_death(&[1, 2, 3, 4]), Some(20));
}

/// Guards against a helper that never sends a nack, or sends one for a member that has answered.
#[test]
fn helper_answers_with_ack_or_nack() {
    let request = Body::PingRequest { nonce: 7, target: id(2), address: address(2) };
    let mut peers = started();
    let sent = deliver(&mut peers, NOW, 1, request.clone(), vec![]);
    let Some(Body::Ping { nonce }) = bodies(&sent).first().copied().cloned() else { panic!("{sent:?}") };
    let answered = deliver(&mut peers, NOW, 2, Body::Ack { nonce }, vec![]);
    assert!(bodies(&answered).contains(&&Body::Ack { nonce: 7 }));

    let mut peers = started();
    deliver(&mut peers, NOW, 1, request, vec![]);
    let mut actions = Vec::new();
    peers.handle(NOW + T / 3, Event::Wake, &mut actions);
    assert!(bodies(&actions).contains(&&Body::Nack { nonce: 7 }));
}

/// Guards against sending the whole table as often as any member requests it.
#[test]
fn two_sync_requests_are_answered_in_a_period() {
    let mut peers = started();
    let answered = |peers: &mut Peers| {
        let actions = deliver(peers, NOW, 1, Body::SyncRequest, vec![]);
        bodies(&actions).contains(&&Body::SyncResponse)
    };
    assert_eq!([(); 4].map(|()| answered(&mut peers)), [true, true, false, false]);
    assert_eq!(peers.counts().requests_declined, 2);
}

/// Guards against timeouts that grow because other members are silent, which would delay the
/// detection of a partition, and timeouts that don't grow when answers come too late.
#[test]
fn late_answers_lengthen_timeouts_and_silence_does_not() {
    let mut peers = started();
    deliver(&mut peers, NOW, 1, Body::SyncResponse, (1..6).map(initial_update).collect());
    let mut pinged = Vec::new();
    for third in 1..=12 {
        let mut actions = Vec::new();
        peers.handle(NOW + T / 3 * third + T / 100, Event::Wake, &mut actions);
        // Leaves out the probe that is still running at the end.
        pinged.extend(pings(&actions).into_iter().filter(|_| third < 9));
    }
    assert!(peers.counts().suspicions >= 2);
    assert_eq!((peers.view().local_health, peers.counts().late_wakes), (0, 0));
    // These are pings to suspects as well as probes. Each probe counts once, however often its
    // answer arrives.
    for _ in 0..3 {
        for (to, nonce) in &pinged {
            deliver(&mut peers, NOW + T * 4 + T / 50, *to, Body::Ack { nonce: *nonce }, vec![]);
        }
    }
    assert_eq!(u64::from(peers.view().local_health), peers.counts().suspicions, "{:?}", peers.counts());
}

/// Guards against a suspect reported by others that is declared dead without a ping from this
/// member, which may have missed its refutation.
#[test]
fn suspect_is_pinged_in_its_last_period_whichever_member_suspects_it() {
    let mut peers = started();
    deliver(&mut peers, NOW, 1, Body::SyncResponse, (1..60).map(initial_update).collect());
    for by in 1..5 {
        deliver(&mut peers, NOW, by, Body::Ping { nonce: 1 }, vec![report(59, MemberState::Suspected, by)]);
    }
    let (mut pinged_at, mut quarter) = (Vec::new(), 0);
    while peers.counts().deaths == 0 && quarter < 200 {
        quarter += 1;
        let (now, mut actions) = (NOW + T / 4 * quarter, Vec::new());
        peers.handle(now, Event::Wake, &mut actions);
        for (to, nonce) in pings(&actions) {
            if to == 59 {
                pinged_at.push(quarter);
            } else {
                deliver(&mut peers, now, to, Body::Ack { nonce }, vec![]);
            }
        }
    }
    assert!(peers.counts().deaths == 1 && peers.counts().suspicions == 0, "{:?}", peers.counts());
    assert!(pinged_at.len() == 1 && pinged_at[0] + 5 >= quarter, "{pinged_at:?}, ended {quarter}");
}

/// Guards against suspecting a member for not answering a ping that this process could not send.
#[test]
fn member_is_not_suspected_when_its_ping_could_not_be_sent() {
    let standing_after_a_period = |sent: bool| {
        let mut peers = started();
        let mut actions = deliver(&mut peers, NOW, 1, Body::SyncResponse, vec![]);
        let mut now = NOW;
        while pings(&actions).is_empty() {
            now = now + T / 10;
            actions.clear();
            peers.handle(now, Event::Wake, &mut actions);
        }
        if !sent {
            for action in &actions {
                let Action::Send { packet, .. } = action else { continue };
                peers.handle(now, Event::SendFailed(packet), &mut Vec::new());
            }
        }
        for tenth in 1..=10 {
            peers.handle(now + T / 10 * tenth, Event::Wake, &mut Vec::new());
        }
        let members = peers.view().members;
        members.iter().find(|member| member.update.id == id(1)).map(|member| member.update.state)
    };
    assert_eq!(standing_after_a_period(true), Some(MemberState::Suspected));
    assert_eq!(standing_after_a_period(false), Some(MemberState::Reachable));
}
