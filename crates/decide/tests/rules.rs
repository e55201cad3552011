//! One final answer in time, no duplicate effect, no new work for draining endpoints.

mod common;
use common::*;
use cottonpoint_decide::*;

fn ten_endpoints() -> Vec<Endpoint> {
    (1..=10).map(endpoint).collect()
}

#[test]
fn unsafe_request_that_may_have_run_fails_and_is_never_resent_or_refused() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut d = Driver::with(settings(), &ten_endpoints());
        let (id, actions) = d.arrive(UNSAFE);
        let (_, endpoint) = first_send(&actions).expect("sent at once");
        let actions = d.finish(id, 0, endpoint, outcome);
        assert_eq!(failed(&actions), [id], "{outcome:?}");
        assert_eq!(sends(&actions), [], "{outcome:?}");
        assert_eq!(refused(&actions), [], "{outcome:?}");
    }
}

#[test]
fn unsafe_request_that_never_ran_is_tried_elsewhere_then_refused() {
    let mut d = Driver::with(settings(), &ten_endpoints());
    let (id, actions) = d.arrive(UNSAFE);
    let (_, first) = first_send(&actions).expect("sent at once");
    let actions = d.finish(id, 0, first, Outcome::Rejected);
    let (_, second) = first_send(&actions).expect("tried again");
    assert_ne!(first, second);
    let actions = d.finish(id, 1, second, Outcome::ConnectFailed);
    let (_, third) = first_send(&actions).expect("tried again");
    let actions = d.finish(id, 2, third, Outcome::Rejected);
    assert_eq!(refused(&actions), [id], "attempts are used up and nothing ran");
    assert_eq!(failed(&actions), []);
}

#[test]
fn keyed_request_that_may_have_run_stays_in_its_cell_and_window() {
    let mut s = settings();
    s.classes[1].effect = Effect::Keyed { scope: Scope::Cell, window: ms(500) };
    let endpoints: Vec<_> =
        (1..=10).map(|i| Endpoint { cell: CellId(i as u16 % 5), ..endpoint(i) }).collect();
    let cell = |id: EndpointId| endpoints.iter().find(|e| e.id == id).map(|e| e.cell);
    let mut d = Driver::with(s, &endpoints);
    let (id, actions) = d.arrive(KEYED);
    let (_, first) = first_send(&actions).expect("sent at once");
    d.advance(ms(100));
    let actions = d.finish(id, 0, first, Outcome::Error);
    let (_, second) = first_send(&actions).expect("its cell discards repeats, so it is sent again");
    assert_eq!(cell(first), cell(second));
    d.advance(ms(500));
    let actions = d.finish(id, 1, second, Outcome::Error);
    assert_eq!(sends(&actions), [], "the window counts from the first send");
    assert_eq!(failed(&actions), [id], "another cell may run it again, so it is not refused");
}

#[test]
fn draining_or_removed_endpoint_receives_no_new_attempts() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut d = Driver::with(settings(), &ten_endpoints()[..2]);
        d.update_list(ListKind::Delta, &[Endpoint { state, ..endpoint(1) }]);
        for _ in 0..20 {
            let (_, actions) = d.arrive(SAFE);
            assert_eq!(first_send(&actions).map(|s| s.1), Some(EndpointId(2)));
        }
    }
}

#[test]
fn endpoint_missing_from_full_list_receives_no_attempts() {
    let mut d = Driver::with(settings(), &ten_endpoints()[..2]);
    d.update_list(ListKind::Full, &[endpoint(2)]);
    for _ in 0..20 {
        assert_eq!(first_send(&d.arrive(SAFE).1).map(|s| s.1), Some(EndpointId(2)));
    }
}

#[test]
fn without_endpoints_request_is_refused_in_time_despite_early_timer() {
    let mut d = Driver::new(settings());
    let (id, actions) = d.arrive(SAFE);
    let Some(&Action::SetTimer { after, token }) = actions.last() else { panic!("no timer: {actions:?}") };
    assert!(after <= ms(1000));
    // Guards against a timer that fires a nanosecond early being taken for another one, after which
    // none was set again.
    d.advance(after - std::time::Duration::from_nanos(1));
    let actions = d.handle(Event::Timer { token });
    let Some(&Action::SetTimer { after, token }) = actions.last() else { panic!("not set again") };
    d.advance(after);
    assert_eq!(refused(&d.handle(Event::Timer { token })), [id]);
    assert_eq!(d.advance_and_wake(ms(5000)), [], "exactly one final answer");
}

#[test]
fn request_of_gone_client_gets_no_answer_and_its_attempt_is_cancelled() {
    let mut d = Driver::with(settings(), &ten_endpoints());
    let (id, actions) = d.arrive(UNSAFE);
    let (_, endpoint) = first_send(&actions).expect("sent");
    assert_eq!(d.handle(Event::ClientGone { id }), [Action::Cancel { id, attempt: 0 }]);
    assert_eq!(d.finish(id, 0, endpoint, Outcome::Cancelled), []);
    assert_eq!(
        d.handle(Event::ClientGone { id }),
        [],
        "an event about a request that is closed is ignored"
    );
}

#[test]
fn attempt_ends_when_its_answer_would_be_worthless_and_never_after_the_deadline() {
    let mut s = settings();
    s.classes[3].late_worth = 0.5;
    let mut d = Driver::with(s, &ten_endpoints());
    for (class, left, expected) in [(SAFE, 3000, 1000), (SAFE, 700, 700), (CHEAP, 3000, 3000)] {
        let (_, actions) = d.arrive_with(class, None, ms(left));
        let until = actions.iter().find_map(|a| match a {
            Action::Send { attempt_deadline, .. } => Some(*attempt_deadline),
            _ => None,
        });
        // The second case is a client retry: only 700 ms of its 3 s are left, so its latency target
        // has passed.
        let expected = if left == 700 { None } else { Some(d.now + ms(expected)) };
        assert_eq!(until, expected);
    }
}

#[test]
fn client_retry_after_latency_target_is_refused_with_longest_delay() {
    let mut d = Driver::with(settings(), &ten_endpoints());
    for _ in 0..5 {
        assert!(
            first_send(&d.arrive_with(SAFE, None, ms(2400)).1).is_some(),
            "first requests have 2.4 s of the 3 s here"
        );
    }
    let (id, actions) = d.arrive_with(SAFE, None, ms(1500));
    assert_eq!(
        actions[0],
        Action::Refuse { id, retry_after: Some(ms(2000)) },
        "the client began 1.5 s ago"
    );
    // Guards against taking a request with more time left than usual for a first one: the last
    // client retry may have more than a first request.
    assert!(
        first_send(&d.arrive_with(SAFE, None, ms(2800)).1).is_some(),
        "the client began 0.2 s ago: in time"
    );
    assert!(
        first_send(&d.arrive_with(SAFE, None, ms(2400)).1).is_some(),
        "first requests are still recognized"
    );
}

#[test]
fn inner_tier_does_not_infer_client_retries_from_deadlines() {
    let mut s = settings();
    s.from_clients = false;
    let mut d = Driver::with(s, &ten_endpoints());
    for left in [2400, 1500, 300, 900] {
        assert!(first_send(&d.arrive_with(SAFE, None, ms(left)).1).is_some());
    }
}

#[test]
fn further_attempts_stop_when_retry_budget_is_spent() {
    let mut d = Driver::with(settings(), &ten_endpoints());
    let mut attempts = 0;
    for _ in 0..100 {
        let (id, mut actions) = d.arrive(SAFE);
        let mut attempt = 0;
        while let Some((_, endpoint)) = first_send(&actions) {
            attempts += 1;
            actions = d.finish(id, attempt, endpoint, Outcome::Error);
            attempt += 1;
        }
        assert_eq!(refused(&actions), [id]);
    }
    assert!((100..130).contains(&attempts), "{attempts} attempts for 100 requests that all fail");
}
