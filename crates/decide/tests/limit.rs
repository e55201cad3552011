//! The learned concurrency limit: what lowers it, what does not, and how it rises again.

mod common;
use common::*;
use cottonpoint_decide::*;

fn hundred_endpoints() -> Vec<Endpoint> {
    (1..=100).map(endpoint).collect()
}

/// Measures how many requests run at once before one is held (at most 200 are tried).
fn measure_limit(d: &mut Driver) -> usize {
    let mut running = Vec::new();
    while running.len() < 200 {
        let (id, actions) = d.arrive(SAFE);
        match first_send(&actions) {
            Some((_, endpoint)) => running.push((id, endpoint)),
            None => break,
        }
    }
    let measured = running.len();
    for (id, endpoint) in running {
        d.handle(Event::ClientGone { id });
        // Each send is owed its outcome, also one that was cancelled.
        let (outcome, elapsed) = (Outcome::Cancelled, ms(0));
        d.handle(Event::Finished {
            id,
            attempt: 0,
            endpoint,
            outcome,
            closed: true,
            elapsed,
            report: None,
        });
    }
    d.advance_and_wake(ms(5000));
    measured
}

#[test]
fn limit_falls_when_requests_time_out_everywhere() {
    let mut d = Driver::with(settings_with_balancers(100), &hundred_endpoints());
    assert_eq!(measure_limit(&mut d), 200);
    overload(&mut d);
    assert_eq!(measure_limit(&mut d), 2, "down to the widest request and no further");
}

#[test]
fn errors_and_lost_connections_do_not_lower_limit() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed, Outcome::Cancelled] {
        let mut d = Driver::with(settings(), &hundred_endpoints());
        for _ in 0..200 {
            let (id, actions) = d.arrive(UNSAFE);
            if let Some((_, endpoint)) = first_send(&actions) {
                d.finish(id, 0, endpoint, outcome);
            }
            d.advance_and_wake(ms(1500));
        }
        d.advance_and_wake(ms(20_000));
        for _ in 0..1000 {
            // Endpoints are no longer counted as failing once they answer; that leaves an infinite
            // limit as it is.
            let (id, actions) = d.arrive(SAFE);
            d.finish(id, 0, first_send(&actions).expect("sent").1, Outcome::Ok);
        }
        assert_eq!(measure_limit(&mut d), 200, "{outcome:?}");
    }
}

#[test]
fn hanging_endpoints_do_not_lower_limit_for_all() {
    // Two of eight hang and hold five requests each, whose time-outs come in a row.
    let mut d = Driver::with(settings(), &hundred_endpoints()[..8]);
    let requests: Vec<_> =
        (0..40).map(|_| first_send(&d.arrive(UNSAFE).1).expect("the limit is infinite")).collect();
    let (hanging, healthy): (Vec<_>, Vec<_>) = requests.into_iter().partition(|c| c.1.0 <= 2);
    assert_eq!(hanging.len(), 10);
    for (id, at) in healthy {
        d.finish(id, 0, at, Outcome::Ok);
    }
    d.advance(ms(1000));
    for (id, at) in hanging {
        d.finish(id, 0, at, Outcome::TimedOut);
    }
    d.advance(ms(5000));
    assert_eq!(measure_limit(&mut d), 200);
}

#[test]
fn occasional_time_out_does_not_lower_limit() {
    let mut d = Driver::with(settings(), &hundred_endpoints());
    for n in 0..400 {
        let (id, actions) = d.arrive(UNSAFE);
        let (_, at) = first_send(&actions).expect("the limit stays infinite");
        d.finish(id, 0, at, if n % 20 == 0 { Outcome::TimedOut } else { Outcome::Ok });
    }
    assert_eq!(measure_limit(&mut d), 200);
}

#[test]
fn limit_rises_again_when_requests_are_accepted() {
    let mut d = Driver::with(settings_with_balancers(100), &hundred_endpoints());
    overload(&mut d);
    d.advance_and_wake(ms(20_000));
    let mut running = std::collections::VecDeque::new();
    for _ in 0..400 {
        for _ in 0..2 {
            let (_, actions) = d.arrive(SAFE);
            running.extend(sends(&actions));
        }
        if let Some((id, endpoint)) = running.pop_front() {
            let actions = d.finish(id, 0, endpoint, Outcome::Ok);
            running.extend(sends(&actions));
        }
        d.advance(ms(5));
    }
    while let Some((id, endpoint)) = running.pop_front() {
        let actions = d.finish(id, 0, endpoint, Outcome::Ok);
        running.extend(sends(&actions));
    }
    d.advance_and_wake(ms(5000));
    let measured = measure_limit(&mut d);
    assert!(measured > 10, "{measured}");
}

#[test]
fn answer_after_latency_target_counts_as_time_out() {
    let mut s = settings_with_balancers(100);
    s.classes[2].late_worth = 0.5;
    let mut d = Driver::with(s, &hundred_endpoints());
    for _ in 0..40 {
        let requests: Vec<_> = (0..4).map(|_| d.arrive(UNSAFE)).collect();
        d.advance(ms(1500));
        for (id, actions) in requests {
            if let Some((_, endpoint)) = first_send(&actions) {
                d.finish_after(id, 0, endpoint, Outcome::Ok, ms(1500));
            }
        }
        d.advance_and_wake(ms(2000));
    }
    assert!(measure_limit(&mut d) <= 4);
}

#[test]
fn minimum_limit_is_two_requests_per_endpoint_over_all_balancers() {
    // Guards against limits of two for each balancer, which left most endpoints idle.
    let mut s = settings_with_balancers(20);
    s.balancer_count = 20;
    let mut d = Driver::with(s, &hundred_endpoints());
    overload(&mut d);
    assert_eq!(measure_limit(&mut d), 10, "2 * 100 endpoints / 20 balancers");
}

/// Guards against a few endpoints that refuse for reasons other than load lowering the limit for
/// all. Two of four endpoints refused a quarter of their requests while they served the rest, and
/// the limit lost two thirds.
#[test]
fn refusals_at_low_concurrency_do_not_lower_limit() {
    let entries: Vec<_> = (1..=4).map(endpoint).collect();
    let mut d = Driver::with(settings(), &entries);
    let mut refused = 0;
    for round in 0..30 {
        // From time to time eight requests at each endpoint, all served ...
        if round % 10 == 0 {
            let requests: Vec<_> = (0..32).filter_map(|_| first_send(&d.arrive(SAFE).1)).collect();
            for (id, endpoint) in requests {
                d.finish(id, 0, endpoint, Outcome::Ok);
            }
        }
        // ... and all the time one or two at each, of which two endpoints refuse some.
        let requests: Vec<_> = (0..6).filter_map(|_| first_send(&d.arrive(SAFE).1)).collect();
        for (id, endpoint) in requests {
            let refuses = endpoint.0 <= 2 && round % 2 == 0;
            refused += u32::from(refuses);
            let further = d.finish(id, 0, endpoint, if refuses { Outcome::Rejected } else { Outcome::Ok });
            for (id, endpoint) in sends(&further) {
                d.finish(id, 1, endpoint, Outcome::Ok);
            }
        }
        d.advance_and_wake(ms(250));
    }
    assert!(refused >= 10, "{refused}");
    assert!(measure_limit(&mut d) > 100);
}

/// Guards against overload of the remaining endpoints when others are removed, which shows only
/// when all requests sent to them time out. By their reports the endpoints serve 10 requests per
/// second at a quarter of their capacity, so 40 in all: what 17 balancers have outstanding at one
/// must be served well within a latency target of 1 s.
#[test]
fn outstanding_requests_stay_within_what_endpoint_serves_in_time() {
    let (balancer_count, endpoints, capacity) = (17, 16, 40.0);
    let report = Some(LoadReport { utilization: Some(0.25), rate: Some(capacity * 0.25) });
    let mut outstanding = std::collections::BTreeMap::<u64, u32>::new();
    for balancer_index in 0..balancer_count {
        let list: Vec<_> = (1..=endpoints).map(endpoint).collect();
        let mut d = Driver::with(Settings { balancer_index, balancer_count, ..settings() }, &list);
        for _ in 0..100 {
            let (id, actions) = d.arrive(SAFE);
            let (_, at) = first_send(&actions).expect("sent at once below the limit");
            d.finish_with(id, 0, at, Outcome::Ok, report);
            d.advance(ms(90));
        }
        // From here on nothing answers.
        let mut held = 0;
        for _ in 0..60 {
            match first_send(&d.arrive(SAFE).1) {
                Some((_, at)) => *outstanding.entry(at.0).or_default() += 1,
                None => held += 1,
            }
        }
        assert!(held > 30, "{held} of 60 are held back");
    }
    for (endpoint, &outstanding) in &outstanding {
        assert!(
            f64::from(outstanding) <= capacity,
            "{outstanding} outstanding at {endpoint}, which serves {capacity} a second"
        );
    }
    assert!(
        outstanding.values().sum::<u32>() > 200,
        "there is enough to keep all endpoints busy: {outstanding:?}"
    );
}

/// Guards against a few endpoints that refuse for reasons other than load lowering the limit until
/// requests wait for seats while the other endpoints idle. Two of four endpoints refuse a third of
/// their requests, whatever their load, while all report a utilization of a third: of 40 requests
/// per second almost none may wait.
#[test]
fn refusals_by_few_endpoints_leave_seats_for_the_others() {
    let endpoints: Vec<_> = (1..=4).map(endpoint).collect();
    let mut d = Driver::with(settings(), &endpoints);
    let report = Some(LoadReport { utilization: Some(0.33), rate: Some(10.0) });
    let mut rng = fastrand::Rng::with_seed(1);
    let mut outstanding = std::collections::VecDeque::new();
    let mut waited = 0;
    for n in 0..2000 {
        let (_, actions) = d.arrive(SAFE);
        waited += u32::from(n > 400 && first_send(&actions).is_none());
        outstanding.extend(sends(&actions).into_iter().map(|(id, at)| (id, 0_u8, at)));
        d.advance(ms(25));
        // Twelve are outstanding at a time: a request takes 0.3 s.
        while outstanding.len() > 12 {
            let (request, attempt, at) = outstanding.pop_front().unwrap();
            let outcome = if at.0 > 2 && rng.f64() < 0.33 { Outcome::Rejected } else { Outcome::Ok };
            let further =
                d.finish_with(request, attempt, at, outcome, report.filter(|_| outcome == Outcome::Ok));
            for (id, at) in sends(&further) {
                outstanding.push_back((id, if id == request { attempt + 1 } else { 0 }, at));
            }
        }
    }
    assert!(waited < 80, "{waited} of 1600 waited, limit {}", d.balancer.limit());
}

/// Guards against a lowered limit that keeps requests waiting long after the overload, while the
/// endpoints idle: in a large fleet a seventh of the requests was refused for ten seconds at a
/// utilization of 0.3 to 0.6. The endpoints serve the same here whether they report to idle or not;
/// only in the first case may the limit rise fast.
#[test]
fn limit_recovers_fast_when_endpoints_report_idle() {
    let limit_after = |utilization: f64| {
        let mut d = Driver::with(settings_with_balancers(25), &hundred_endpoints());
        overload(&mut d);
        d.advance_and_wake(ms(20_000));
        let report = Some(LoadReport { utilization: Some(utilization), rate: Some(40.0 * utilization) });
        let mut running = std::collections::VecDeque::new();
        for _ in 0..400 {
            for _ in 0..2 {
                let (_, actions) = d.arrive(SAFE);
                running.extend(sends(&actions));
            }
            let (id, endpoint) = running.pop_front().expect("some requests run all the time");
            running.extend(sends(&d.finish_with(id, 0, endpoint, Outcome::Ok, report)));
            d.advance(ms(5));
        }
        d.balancer.limit()
    };
    let (idle, busy) = (limit_after(0.2), limit_after(0.95));
    assert!(busy > 12.0, "it rises by the paper's step: {busy}");
    assert!(idle > 2.0 * busy, "{idle} when idle, {busy} when busy");
}
