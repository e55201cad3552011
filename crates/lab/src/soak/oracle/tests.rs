//! Checks that each invariant holds on the records of a good run and fails on one fault put into
//! them.

use super::*;

const CLIENT_TIMEOUT: Duration = ms(1000);

/// The records of one request served by its first attempt, at the first of two endpoints, and of a
/// list change that reaches the process.
fn good_records() -> Records {
    Records {
        requests: vec![request(Effect::Unsafe)],
        attempts: vec![attempt(0, ms(10_010))],
        members: vec![member("p0.0")],
        endpoints: vec!["e0".to_owned(), "e1".to_owned()],
        changes: vec![change(1, ms(1000), Lifecycle::Active)],
        sent_versions: vec![vec![(1, ms(1010))]],
        reachable_periods: vec![ReachablePeriod { from: ms(0), until: None }],
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
        client_timeout: CLIENT_TIMEOUT,
        end: RequestEnd::Answered { status: 200, genuine: true },
        ended: ms(10_050),
        on_reused_connection: false,
        answer_error: None,
    }
}

fn attempt(endpoint: usize, started: Timestamp) -> Attempt {
    Attempt {
        id: "m0-1".to_owned(),
        endpoint,
        started,
        received: Some(started),
        ended: Some(started + ms(30)),
        time_left: Some((ms(10_000) + CLIENT_TIMEOUT).saturating_sub(started)),
        rejected: false,
        cut: None,
    }
}

fn long_exchange() -> LongExchange {
    LongExchange {
        id: "m0-long".to_owned(),
        member: 0,
        began: ms(10_000),
        ended: ms(11_000),
        written: true,
        status: Some(200),
        whole: true,
    }
}

fn member(name: &str) -> Member {
    let guard_violations = Some(BTreeMap::from([("sent_out_of_time".to_owned(), 0)]));
    Member { name: name.to_owned(), exited_cleanly: Some(true), guard_violations, ..Member::default() }
}

fn change(version: u64, at: Timestamp, lifecycle: Lifecycle) -> Change {
    Change { version, at, endpoint: 0, lifecycle, cold: false }
}

/// A command for the first endpoint that is confirmed 10 ms after it was sent.
fn order(member: usize, offline: bool, confirmed: u64) -> EndpointOrder {
    let sent = ms(confirmed - 10);
    EndpointOrder { member, endpoint: 0, offline, sent, confirmed: Some(ms(confirmed)) }
}

fn violated_invariants(records: &Records) -> Vec<Invariant> {
    let mut invariants: Vec<_> = check(records).iter().map(|violation| violation.invariant).collect();
    invariants.dedup();
    invariants
}

/// Puts a fault into good records and asserts that it violates the given invariant alone.
fn assert_violates(invariant: Invariant, fault: impl FnOnce(&mut Records)) -> Invariant {
    let mut records = good_records();
    fault(&mut records);
    assert_eq!(violated_invariants(&records), [invariant]);
    invariant
}

/// Guards against two mistakes: counting as concurrent an attempt that was abandoned before the
/// next one was sent but was read after it (seed 9117), and missing two concurrent attempts that
/// start together.
#[test]
fn attempts_read_out_of_order_are_concurrent_only_if_both_last() {
    let mut records = good_records();
    records.requests[0].effect = Effect::Safe;
    let sent_last = &mut records.attempts[0];
    sent_last.ended = Some(sent_last.started + ms(400));
    let started = sent_last.started + ms(1);
    let mut sent_first = attempt(1, started);
    sent_first.ended = Some(started + ms(1));
    records.attempts.push(sent_first);
    assert_eq!(violated_invariants(&records), []);
    records.attempts[1].ended = Some(started + ms(400));
    assert_eq!(violated_invariants(&records), [Invariant::OneAttempt]);
}

/// Guards against an invariant that never fails, whatever is recorded, and against one that fails
/// on a good run.
#[test]
fn each_invariant_fails_on_its_fault_and_none_on_a_good_run() {
    assert_eq!(violated_invariants(&good_records()), []);
    let violated = [
        assert_violates(Invariant::Answered, |records| records.requests[0].end = RequestEnd::Unanswered),
        assert_violates(Invariant::Genuine, |records| {
            records.requests[0].end = RequestEnd::Answered { status: 200, genuine: false };
        }),
        assert_violates(Invariant::NotRepeated, |records| records.attempts.push(attempt(1, ms(10_600)))),
        assert_violates(Invariant::OneAttempt, |records| {
            records.requests[0].effect = Effect::Safe;
            records.attempts[0].ended = Some(ms(10_900));
            records.attempts.push(attempt(1, ms(10_600)));
        }),
        assert_violates(Invariant::Drain, |records| {
            records.changes.push(change(2, ms(9000), Lifecycle::Draining));
            records.sent_versions[0].push((2, ms(9100)));
        }),
        assert_violates(Invariant::ClientGone, |records| {
            records.requests[0].end = RequestEnd::Disconnected;
            records.requests[0].ended = ms(10_001);
            records.attempts[0] = attempt(0, ms(10_300));
        }),
        assert_violates(Invariant::TimeLeft, |records| records.attempts[0].time_left = Some(ms(1300))),
        assert_violates(Invariant::SlowStart, |records| {
            records.changes.push(Change { cold: true, ..change(2, ms(9000), Lifecycle::Active) });
            records.sent_versions[0].push((2, ms(9010)));
            let one = |n: u64| Attempt { id: format!("m0-{}", n + 100), ..attempt(0, ms(9500 + n / 4)) };
            records.attempts.extend((0..400).map(one));
        }),
        assert_violates(Invariant::BadClients, |records| records.bad_clients[0].ended = None),
        assert_violates(Invariant::Ends, |records| records.members[0].exited_cleanly = Some(false)),
        assert_violates(Invariant::NoPanic, |records| {
            records.members[0].panics.push("thread 'main' panicked".to_owned());
        }),
        assert_violates(Invariant::Guard, |records| {
            let rule = "sent_out_of_time".to_owned();
            records.members[0].guard_violations = Some(BTreeMap::from([(rule, 1)]));
        }),
        assert_violates(Invariant::StaysOut, |records| {
            records.orders.push(order(0, true, 8000));
        }),
        assert_violates(Invariant::Memory, |records| records.members[0].peak_kb = 1),
        assert_violates(Invariant::LongMessages, |records| {
            records.pressure.exchanges.push(LongExchange { status: Some(413), ..long_exchange() });
        }),
    ];
    assert_eq!(violated, Invariant::ALL);
}

/// Guards against overlooking an answer that was cut off, one that never came, and an id that ran
/// again when it returned; and against reporting what a process may do that ends.
#[test]
fn cut_answers_and_returned_ids_are_violations() {
    let with_exchange = |exchange: LongExchange, cut: Option<Timestamp>| {
        let mut records = good_records();
        records.attempts.push(Attempt { id: exchange.id.clone(), cut, ..attempt(0, ms(10_010)) });
        records.pressure.exchanges.push(exchange);
        records
    };
    assert_eq!(violated_invariants(&with_exchange(long_exchange(), None)), []);
    let broken = LongExchange { whole: false, ..long_exchange() };
    assert_eq!(violated_invariants(&with_exchange(broken.clone(), None)), [], "its endpoint broke");
    let mut repeated = with_exchange(broken.clone(), Some(ms(10_100)));
    repeated.attempts.push(Attempt { id: broken.id.clone(), ..attempt(0, ms(10_110)) });
    assert_eq!(violated_invariants(&repeated), [], "another attempt's answer was passed on");
    let mut cut = with_exchange(broken, Some(ms(10_500)));
    assert_eq!(violated_invariants(&cut), [Invariant::LongMessages]);
    cut.members[0].terminated = Some(ms(10_100));
    assert_eq!(violated_invariants(&cut), [Invariant::LongMessages], "told to end, it passes answers on");
    cut.members[0].killed = Some(ms(10_500));
    assert_eq!(violated_invariants(&cut), [], "its process is killed");
    let silent = LongExchange { status: None, ..long_exchange() };
    assert_eq!(violated_invariants(&with_exchange(silent, None)), [Invariant::LongMessages]);
    let mut returned = good_records();
    returned.pressure.returned_ids.push("m0-returns".to_owned());
    let ran = |started| Attempt { id: "m0-returns".to_owned(), ..attempt(0, started) };
    returned.attempts.push(ran(ms(10_100)));
    assert_eq!(violated_invariants(&returned), []);
    returned.attempts.push(ran(ms(10_400)));
    assert_eq!(violated_invariants(&returned), [Invariant::NotRepeated]);
}

/// Guards against overlooking an id that is open at both processes of an upgrade, and against
/// reporting one that both served one after the other.
#[test]
fn ids_open_at_both_processes_are_violations() {
    let mut records = good_records();
    records.pressure.shared_ids.push("both".to_owned());
    let served =
        |started| Attempt { id: "both".to_owned(), ended: Some(started + ms(800)), ..attempt(0, started) };
    records.attempts.push(served(ms(10_100)));
    records.attempts.push(served(ms(11_100)));
    assert_eq!(violated_invariants(&records), []);
    records.attempts.push(served(ms(11_200)));
    assert_eq!(violated_invariants(&records), [Invariant::OneAttempt]);
}

/// Guards against treating a process that is not notified in time as notified too early, or never.
#[test]
fn change_counts_as_notified_six_seconds_after_discovery_is_reachable() {
    let sent_after = |since: u64, reachable: Vec<ReachablePeriod>, silent: Option<SilentWatch>| {
        let mut records = good_records();
        records.changes.push(change(2, ms(2000), Lifecycle::Draining));
        records.attempts[0].started = ms(since);
        records.requests[0].sent = ms(since);
        records.reachable_periods = reachable;
        records.silent_watches.extend(silent);
        records.attempts[0].time_left = Some(ms(100));
        violated_invariants(&records).contains(&Invariant::Drain)
    };
    let always = || vec![ReachablePeriod { from: ms(0), until: None }];
    // Six seconds, the grace period, and the slack of both ends.
    assert!(!sent_after(8700, always(), None) && sent_after(8701, always(), None));
    let after_outage = || {
        vec![
            ReachablePeriod { from: ms(0), until: Some(ms(3000)) },
            ReachablePeriod { from: ms(9000), until: None },
        ]
    };
    assert!(!sent_after(15_700, after_outage(), None) && sent_after(15_701, after_outage(), None));
    // A silent watch has its hold time and two more seconds.
    let silent = SilentWatch { member: 0, opened: ms(1500), hold: ms(10_000), silent_since: ms(1900) };
    assert!(!sent_after(14_200, always(), Some(silent)) && sent_after(14_201, always(), Some(silent)));
}

/// Guards against an oracle that gives a process 6 s where an agent pushes the list, or faults it
/// while the agent is cut off.
#[test]
fn pushed_change_counts_as_notified_at_once_or_when_discovery_is_back() {
    let sent_after = |since: u64, reachable: Vec<ReachablePeriod>| {
        let mut records = good_records();
        records.pushed = true;
        records.changes.push(change(2, ms(2000), Lifecycle::Removed));
        records.attempts[0].started = ms(since);
        records.requests[0].sent = ms(since);
        records.reachable_periods = reachable;
        records.attempts[0].time_left = Some(ms(100));
        violated_invariants(&records).contains(&Invariant::Drain)
    };
    let always = || vec![ReachablePeriod { from: ms(0), until: None }];
    assert!(!sent_after(2650, always()) && sent_after(2651, always()));
    let cut_off = || {
        vec![
            ReachablePeriod { from: ms(0), until: Some(ms(1500)) },
            ReachablePeriod { from: ms(9000), until: None },
        ]
    };
    assert!(!sent_after(9650, cut_off()) && sent_after(9651, cut_off()));
}

/// Guards against an oracle that counts what the agent has only from discovery's return on, for a
/// process that starts while the agent is cut off (review/3), or from before its start.
#[test]
fn what_the_agent_has_counts_as_notified_from_the_start_of_a_process() {
    let sent_at = |sent: u64, changed_at: u64| {
        let mut records = good_records();
        records.pushed = true;
        records.changes.push(change(2, ms(changed_at), Lifecycle::Removed));
        records.members[0].started = ms(4000);
        records.attempts[0].started = ms(sent);
        records.requests[0].sent = ms(sent);
        records.attempts[0].time_left = Some(ms(100));
        records.reachable_periods = vec![
            ReachablePeriod { from: ms(0), until: Some(ms(3000)) },
            ReachablePeriod { from: ms(9000), until: None },
        ];
        violated_invariants(&records).contains(&Invariant::Drain)
    };
    assert!(!sent_at(4650, 2000) && sent_at(4651, 2000));
    // The agent learns of this change when it is back.
    assert!(!sent_at(9650, 3500) && sent_at(9651, 3500));
}

/// Guards against an oracle that misses attempts at a removed endpoint that listens again before it
/// is listed (report 2c34d4), or faults those after it is listed.
#[test]
fn attempts_at_a_removed_endpoint_are_faulted_until_it_is_listed_again() {
    let sent_at = |at: u64| {
        let mut records = good_records();
        records.changes.push(change(2, ms(2000), Lifecycle::Removed));
        records.sent_versions[0].push((2, ms(2010)));
        records.changes.push(change(3, ms(7000), Lifecycle::Active));
        records.attempts[0].started = ms(at);
        records.requests[0].sent = ms(at);
        records.attempts[0].time_left = Some(ms(100));
        violated_invariants(&records).contains(&Invariant::Drain)
    };
    assert!(!sent_at(2600) && sent_at(5000) && sent_at(6999) && !sent_at(7000));
}

/// Guards against counting requests that a kill excuses as lost, and against excusing others.
#[test]
fn kill_excuses_only_requests_that_the_protocol_allows_to_lose() {
    let lost = |terminated: Option<u64>, killed: u64| {
        let mut records = good_records();
        records.members[0].terminated = terminated.map(ms);
        records.members[0].killed = Some(ms(killed));
        records.requests[0].end = RequestEnd::Broken;
        records.requests[0].ended = ms(killed);
        violated_invariants(&records).contains(&Invariant::Answered)
    };
    assert!(!lost(None, 10_500), "killed while the request is open, without SIGTERM before");
    assert!(!lost(Some(9500), 10_900), "sent within 0.7 s after SIGTERM");
    assert!(lost(Some(9000), 10_900), "sent more than 0.7 s after SIGTERM: it is owed an answer");
    assert!(lost(Some(9500), 12_000), "its client timeout ended before the kill");
}

/// Guards against an oracle that misses an order which the other process of an upgrade does not keep
/// (review case 2), or that faults a use after a call back, whichever console it came from.
#[test]
fn orders_hold_at_both_processes_of_a_slot_until_a_call_back() {
    let stays_out = |other: &str, orders: &[EndpointOrder]| {
        let mut records = good_records();
        records.members[0].name = "p0.0".to_owned();
        records.members.push(member(other));
        records.orders = orders.to_vec();
        !violated_invariants(&records).contains(&Invariant::StaysOut)
    };
    assert!(!stays_out("p0.1", &[order(1, true, 8000)]), "the attempt at 10 s is of the other process");
    assert!(stays_out("p1.0", &[order(1, true, 8000)]), "another slot");
    assert!(stays_out("p0.1", &[order(1, true, 9400)]), "within the grace");
    assert!(stays_out("p0.1", &[order(1, true, 8000), order(0, false, 9000)]), "called back since");
    assert!(!stays_out("p0.1", &[order(0, false, 7000), order(1, true, 8000)]), "called back before");
    assert!(stays_out("p0.1", &[order(0, false, 8005), order(1, true, 8000)]), "at the same time");
    let in_trouble = |killed: u64| {
        let mut records = good_records();
        records.members[0].name = "p0.1".to_owned();
        let failing =
            Member { file_writes_fail_until: ms(8000), killed: Some(ms(killed)), ..member("p0.0") };
        records.members.push(failing);
        records.orders = vec![order(1, true, 7500)];
        violated_invariants(&records).contains(&Invariant::StaysOut)
    };
    assert!(
        !in_trouble(9400) && !in_trouble(9501),
        "stored up to 1.5 s after the disk recovered, and the grace"
    );
}
