//! Single rules, at one member told packets by hand.

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

fn tell(peers: &mut Peers, now: Time, from: usize, body: Body, updates: Vec<Update>) -> Vec<Action> {
    let mut actions = Vec::new();
    peers.handle(now, Event::Packet(&Packet { from: news(from), body, updates }), &mut actions);
    actions
}

fn bodies(actions: &[Action]) -> Vec<&Body> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { packet, .. } => Some(&packet.body),
        Action::WakeAt(_) => None,
    });
    sends.collect()
}

/// Members pinged, and the number to answer with.
fn pings(actions: &[Action]) -> Vec<(usize, u32)> {
    let pings = actions.iter().filter_map(|action| match action {
        Action::Send { to, packet: Packet { body: Body::Ping { number }, .. } } => {
            Some((usize::from(to.port()) - 7000, *number))
        }
        _ => None,
    });
    pings.collect()
}

fn said(of: usize, standing: Standing, by: usize) -> Update {
    Update { standing, by: id(by), ..news(of) }
}

/// Guards against: a table that grows without bound, or that forgets a reachable member to hold another.
#[test]
fn a_full_table_forgets_the_longest_gone_and_never_a_reachable_one() {
    let mut peers = started();
    let last_known: Vec<_> = (2000..2002).map(|at| said(at, Standing::LastKnown, at)).collect();
    tell(&mut peers, NOW, 1, Body::Known, last_known);
    for from in (2..1100).step_by(90) {
        let some = (from..from + 90).map(news).collect();
        tell(&mut peers, NOW + T / 1000, 1, Body::Known, some);
    }
    let members = peers.view().members;
    assert_eq!(members.len(), MEMBERS_LIMIT);
    assert!(members.iter().all(|member| member.news.standing == Standing::Reachable));
    assert_eq!(peers.counts().forgotten, 2);
    assert!(peers.counts().full > 0);
}

/// Guards against: members that are gone and held for ever, or not for as long as they should.
#[test]
fn who_is_gone_is_forgotten_in_time() {
    let mut peers = started();
    tell(
        &mut peers,
        NOW,
        1,
        Body::Known,
        vec![said(2, Standing::LastKnown, 2), said(3, Standing::Left, 3)],
    );
    let holds = |peers: &mut Peers, at: u64, of| {
        peers.handle(NOW + Duration::from_secs(at), Event::Wake, &mut Vec::new());
        peers.view().members.iter().any(|member| member.news.id == id(of))
    };
    assert!(holds(&mut peers, 290, 3) && !holds(&mut peers, 310, 3));
    assert!(holds(&mut peers, 3590, 2) && !holds(&mut peers, 3620, 2));
}

/// Guards against: an overflow, or a member shut out by an incarnation that no honest one reaches.
#[test]
fn absurd_incarnations_are_dropped_and_counted() {
    let mut peers = started();
    let absurd = Update { incarnation: u64::MAX, ..said(2, Standing::LastKnown, 2) };
    let own = Update { incarnation: u64::MAX, ..said(0, Standing::LastKnown, 0) };
    tell(&mut peers, NOW, 1, Body::Ping { number: 1 }, vec![news(2), absurd, own]);
    assert_eq!((peers.counts().absurd, peers.view().incarnation), (2, 1));
    assert_eq!(peers.view().members[2].news, news(2));
}

/// Guards against: one suspicion passed on by many that is taken for many, and names made up to hurry it.
#[test]
fn only_members_that_suspect_by_themselves_confirm() {
    let ends = |by: &[usize]| {
        let mut peers = started();
        tell(&mut peers, NOW, 1, Body::Known, (1..10).map(news).collect());
        for (from, by) in by.iter().enumerate() {
            let suspected = vec![said(9, Standing::Suspected, *by)];
            tell(&mut peers, NOW, 1 + from, Body::Ping { number: 1 }, suspected);
        }
        let fallen = |peers: &Peers| peers.view().members[9].news.standing == Standing::LastKnown;
        (0..200).find(|quarter| {
            let (now, mut actions) = (NOW + T / 4 * *quarter, Vec::new());
            peers.handle(now, Event::Wake, &mut actions);
            // All but the suspect answer, so that any of them could confirm.
            for (to, number) in pings(&actions).into_iter().filter(|(to, _)| *to != 9) {
                tell(&mut peers, now, to, Body::Ack { number }, vec![]);
            }
            fallen(&peers)
        })
    };
    let unconfirmed = ends(&[1]);
    assert!(unconfirmed.is_some_and(|quarter| T / 4 * quarter >= bounds::suspicion(10, T, 1, 3)));
    assert_eq!(ends(&[1, 1, 1, 1]), unconfirmed);
    assert_eq!(ends(&[1, 700, 701, 702]), unconfirmed);
    assert_eq!(ends(&[1, 2, 3, 4]), Some(20));
}

/// Guards against: a helper that never says that it has no answer, or says it of one that has answered.
#[test]
fn a_helper_answers_either_way() {
    let ask = Body::PingFor { number: 7, whom: id(2), address: address(2) };
    let mut peers = started();
    let asked = tell(&mut peers, NOW, 1, ask.clone(), vec![]);
    let Some(Body::Ping { number }) = bodies(&asked).first().copied().cloned() else { panic!("{asked:?}") };
    let answered = tell(&mut peers, NOW, 2, Body::Ack { number }, vec![]);
    assert!(bodies(&answered).contains(&&Body::Ack { number: 7 }));

    let mut peers = started();
    tell(&mut peers, NOW, 1, ask, vec![]);
    let mut actions = Vec::new();
    peers.handle(NOW + T / 3, Event::Wake, &mut actions);
    assert!(bodies(&actions).contains(&&Body::Nack { number: 7 }));
}

/// Guards against: whole tables sent as often as anyone asks.
#[test]
fn two_full_exchanges_are_given_in_a_period() {
    let mut peers = started();
    let given = |peers: &mut Peers| {
        let actions = tell(peers, NOW, 1, Body::Sync, vec![]);
        bodies(&actions).contains(&&Body::Known)
    };
    assert_eq!([(); 4].map(|()| given(&mut peers)), [true, true, false, false]);
    assert_eq!(peers.counts().withheld, 2);
}

/// Guards against: waits that grow because others are silent (a cut would be seen late), and waits that do not grow
/// for a member whose answers come too late.
#[test]
fn a_late_answer_lengthens_the_waits_and_silence_does_not() {
    let mut peers = started();
    tell(&mut peers, NOW, 1, Body::Known, (1..6).map(news).collect());
    let mut pinged = Vec::new();
    for third in 1..=12 {
        let mut actions = Vec::new();
        peers.handle(NOW + T / 3 * third + T / 100, Event::Wake, &mut actions);
        // Not the probe that still runs at the end.
        pinged.extend(pings(&actions).into_iter().filter(|_| third < 9));
    }
    assert!(peers.counts().suspicions >= 2);
    assert_eq!((peers.view().unwell, peers.counts().late), (0, 0));
    // Knocks at suspects and pings of probes alike: each probe counts once, however often its answer comes.
    for _ in 0..3 {
        for (to, number) in &pinged {
            tell(&mut peers, NOW + T * 4 + T / 50, *to, Body::Ack { number: *number }, vec![]);
        }
    }
    assert_eq!(u64::from(peers.view().unwell), peers.counts().suspicions, "{:?}", peers.counts());
}

/// Guards against: a suspect that is only told of and falls without having been asked by this member, which may have
/// missed its answer to all.
#[test]
fn a_suspect_is_pinged_in_its_last_period_whoever_suspects_it() {
    let mut peers = started();
    tell(&mut peers, NOW, 1, Body::Known, (1..60).map(news).collect());
    for by in 1..5 {
        tell(&mut peers, NOW, by, Body::Ping { number: 1 }, vec![said(59, Standing::Suspected, by)]);
    }
    let (mut asked, mut quarter) = (Vec::new(), 0);
    while peers.counts().deaths == 0 && quarter < 200 {
        quarter += 1;
        let (now, mut actions) = (NOW + T / 4 * quarter, Vec::new());
        peers.handle(now, Event::Wake, &mut actions);
        for (to, number) in pings(&actions) {
            if to == 59 {
                asked.push(quarter);
            } else {
                tell(&mut peers, now, to, Body::Ack { number }, vec![]);
            }
        }
    }
    assert!(peers.counts().deaths == 1 && peers.counts().suspicions == 0, "{:?}", peers.counts());
    assert!(asked.len() == 1 && asked[0] + 5 >= quarter, "{asked:?}, ended {quarter}");
}

/// Guards against: a member suspected for its silence to a ping that this process could not send.
#[test]
fn who_could_not_be_pinged_is_not_suspected() {
    let standing_after_a_period = |sent: bool| {
        let mut peers = started();
        let mut actions = tell(&mut peers, NOW, 1, Body::Known, vec![]);
        let mut now = NOW;
        while pings(&actions).is_empty() {
            now = now + T / 10;
            actions.clear();
            peers.handle(now, Event::Wake, &mut actions);
        }
        if !sent {
            for action in &actions {
                let Action::Send { packet, .. } = action else { continue };
                peers.handle(now, Event::NotSent(packet), &mut Vec::new());
            }
        }
        for tenth in 1..=10 {
            peers.handle(now + T / 10 * tenth, Event::Wake, &mut Vec::new());
        }
        let members = peers.view().members;
        members.iter().find(|member| member.news.id == id(1)).map(|member| member.news.standing)
    };
    assert_eq!(standing_after_a_period(true), Some(Standing::Suspected));
    assert_eq!(standing_after_a_period(false), Some(Standing::Reachable));
}
