//! Each invariant is seen to hold on a good run's records, and to fail on one fault put into them.

use super::*;

const PATIENCE: Duration = ms(1000);

/// One request served by the first attempt, at the first of two endpoints, and a change of the list that is told.
fn good() -> Records {
    Records {
        requests: vec![request(Effect::Unsafe)],
        attempts: vec![attempt(0, ms(10_010))],
        members: vec![member("p0.0")],
        endpoints: vec!["e0".to_owned(), "e1".to_owned()],
        changes: vec![change(1, ms(1000), Standing::Active)],
        written: vec![vec![(1, ms(1010))]],
        reachable: vec![Reachable { from: ms(0), until: None }],
        bad_clients: vec![BadClient { member: 0, sent: ms(5000), ended: Some(ms(7400)) }],
        ..Records::default()
    }
}

fn request(effect: Effect) -> Request {
    Request {
        id: "m0-1".to_owned(),
        member: 0,
        effect,
        sent: ms(10_000),
        patience: PATIENCE,
        end: RequestEnd::Answered { status: 200, genuine: true },
        ended: ms(10_050),
        on_kept_connection: false,
        fault: None,
    }
}

fn attempt(endpoint: usize, began: Moment) -> Attempt {
    Attempt {
        id: "m0-1".to_owned(),
        endpoint,
        began,
        whole: Some(began),
        over: Some(began + ms(30)),
        time_left: Some((ms(10_000) + PATIENCE).saturating_sub(began)),
        turned_away: false,
    }
}

fn member(name: &str) -> Member {
    let violations = Some(BTreeMap::from([("sent_out_of_time".to_owned(), 0)]));
    Member { name: name.to_owned(), ended_well: Some(true), violations, ..Member::default() }
}

fn change(version: u64, at: Moment, to: Standing) -> Change {
    Change { version, at, endpoint: 0, to, cold: false }
}

fn broken(records: &Records) -> Vec<Invariant> {
    let mut broken: Vec<_> = check(records).iter().map(|breach| breach.invariant).collect();
    broken.dedup();
    broken
}

/// A fault put into good records, and what it breaks.
fn breaks(invariant: Invariant, fault: impl FnOnce(&mut Records)) -> Invariant {
    let mut records = good();
    fault(&mut records);
    assert_eq!(broken(&records), [invariant]);
    invariant
}

/// Guards against: an attempt that was given up before the next one was sent, and was read after it, taken for two at once
/// (seed 9117), and two at once that begin together not taken for it.
#[test]
fn attempts_read_in_the_wrong_order_are_together_only_where_both_last() {
    let mut records = good();
    records.requests[0].effect = Effect::Safe;
    let sent_last = &mut records.attempts[0];
    sent_last.over = Some(sent_last.began + ms(400));
    let began = sent_last.began + ms(1);
    let mut sent_first = attempt(1, began);
    sent_first.over = Some(began + ms(1));
    records.attempts.push(sent_first);
    assert_eq!(broken(&records), []);
    records.attempts[1].over = Some(began + ms(400));
    assert_eq!(broken(&records), [Invariant::OneAttempt]);
}

/// Guards against: an invariant that never fails, whatever is seen, and one that fails on a good run.
#[test]
fn each_invariant_fails_on_its_fault_and_none_on_a_good_run() {
    assert_eq!(broken(&good()), []);
    let seen = [
        breaks(Invariant::Answered, |records| records.requests[0].end = RequestEnd::Unanswered),
        breaks(Invariant::Genuine, |records| {
            records.requests[0].end = RequestEnd::Answered { status: 200, genuine: false };
        }),
        breaks(Invariant::NotRepeated, |records| records.attempts.push(attempt(1, ms(10_600)))),
        breaks(Invariant::OneAttempt, |records| {
            records.requests[0].effect = Effect::Safe;
            records.attempts[0].over = Some(ms(10_900));
            records.attempts.push(attempt(1, ms(10_600)));
        }),
        breaks(Invariant::Drain, |records| {
            records.changes.push(change(2, ms(9000), Standing::Leaving));
            records.written[0].push((2, ms(9100)));
        }),
        breaks(Invariant::ClientGone, |records| {
            records.requests[0].end = RequestEnd::Left;
            records.requests[0].ended = ms(10_001);
            records.attempts[0] = attempt(0, ms(10_300));
        }),
        breaks(Invariant::TimeLeft, |records| records.attempts[0].time_left = Some(ms(1300))),
        breaks(Invariant::SlowStart, |records| {
            records.changes.push(Change { cold: true, ..change(2, ms(9000), Standing::Active) });
            records.written[0].push((2, ms(9010)));
            let one = |n: u64| Attempt { id: format!("m0-{}", n + 100), ..attempt(0, ms(9500 + n / 4)) };
            records.attempts.extend((0..400).map(one));
        }),
        breaks(Invariant::BadClients, |records| records.bad_clients[0].ended = None),
        breaks(Invariant::Ends, |records| records.members[0].ended_well = Some(false)),
        breaks(Invariant::NoPanic, |records| {
            records.members[0].panics.push("thread 'main' panicked".to_owned());
        }),
        breaks(Invariant::Guard, |records| {
            let rule = "sent_out_of_time".to_owned();
            records.members[0].violations = Some(BTreeMap::from([(rule, 1)]));
        }),
        breaks(Invariant::StaysOut, |records| {
            records.bans.push(Ban { member: 0, endpoint: 0, confirmed: ms(8000) });
        }),
    ];
    assert_eq!(seen, Invariant::ALL);
}

/// Guards against: a process that is not told in time counted as told too early, or never.
#[test]
fn a_change_counts_as_told_six_seconds_after_discovery_could_be_reached() {
    let sent_after = |since: u64, reachable: Vec<Reachable>, silent: Option<SilentWatch>| {
        let mut records = good();
        records.changes.push(change(2, ms(2000), Standing::Leaving));
        records.attempts[0].began = ms(since);
        records.requests[0].sent = ms(since);
        records.reachable = reachable;
        records.silent_watches.extend(silent);
        records.attempts[0].time_left = Some(ms(100));
        broken(&records).contains(&Invariant::Drain)
    };
    let always = || vec![Reachable { from: ms(0), until: None }];
    // Six seconds, the grace, and the slack of both ends.
    assert!(!sent_after(8700, always(), None) && sent_after(8701, always(), None));
    let back = || {
        vec![Reachable { from: ms(0), until: Some(ms(3000)) }, Reachable { from: ms(9000), until: None }]
    };
    assert!(!sent_after(15_700, back(), None) && sent_after(15_701, back(), None));
    // A watch that fell silent has the time of its wait, and two seconds.
    let silent = SilentWatch { member: 0, begun: ms(1500), hold: ms(10_000), silent: ms(1900) };
    assert!(!sent_after(14_200, always(), Some(silent)) && sent_after(14_201, always(), Some(silent)));
}

/// Guards against: what a kill excuses counted as lost, and what it does not excuse passed over.
#[test]
fn a_kill_excuses_only_what_the_protocol_page_says() {
    let lost = |terminated: Option<u64>, killed: u64| {
        let mut records = good();
        records.members[0].terminated = terminated.map(ms);
        records.members[0].killed = Some(ms(killed));
        records.requests[0].end = RequestEnd::Broken;
        records.requests[0].ended = ms(killed);
        broken(&records).contains(&Invariant::Answered)
    };
    assert!(!lost(None, 10_500), "killed under it, with no word before");
    assert!(!lost(Some(9500), 10_900), "it came within 0.7 s of the word");
    assert!(lost(Some(9000), 10_900), "it came later, and is owed its answer before the kill");
    assert!(lost(Some(9500), 12_000), "its time was over before the kill");
}
