//! The choice of the endpoint for a request.

mod common;
use common::*;
use cottonpoint_decide::*;
use std::collections::BTreeMap;

fn report(utilization: f64, rate: f64) -> Option<LoadReport> {
    Some(LoadReport { utilization: Some(utilization), rate: Some(rate) })
}

/// Serves requests one after another; each endpoint reports what `load` returns for it. Counts
/// requests by endpoint.
fn serve(
    d: &mut Driver,
    requests: usize,
    load: impl Fn(u64) -> Option<LoadReport>,
) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..requests {
        let (id, actions) = d.arrive(SAFE);
        let (_, at) = first_send(&actions).expect("sent at once");
        *counts.entry(at.0).or_default() += 1;
        d.advance(ms(20));
        d.finish_with(id, 0, at, Outcome::Ok, load(at.0));
    }
    counts
}

#[test]
fn shares_are_proportional_to_rate_over_utilization() {
    let four: Vec<_> = (1..=4).map(endpoint).collect();
    let mut d = Driver::with(settings(), &four);
    let load = |id| report(0.5, if id == 1 { 30.0 } else { 10.0 });
    serve(&mut d, 500, load);
    let counts = serve(&mut d, 600, load);
    // 3 parts in 6, apart from the pull to the mean.
    assert!((240..=320).contains(&counts[&1]), "{counts:?}");
    assert!((2..=4).all(|i| (80..=130).contains(&counts[&i])), "{counts:?}");
}

#[test]
fn endpoint_without_valid_reports_gets_mean_share() {
    let invalid = [
        None,
        report(0.0, 0.0),
        report(f64::NAN, 5.0),
        report(0.5, f64::INFINITY),
        report(-1.0, 3.0),
        report(0.0, 1e30),
    ];
    for report_of_first in invalid {
        let four: Vec<_> = (1..=4).map(endpoint).collect();
        let mut d = Driver::with(settings(), &four);
        let counts = serve(&mut d, 400, |id| if id == 1 { report_of_first } else { report(0.5, 10.0) });
        assert!((80..=120).contains(&counts[&1]), "{report_of_first:?}: {counts:?}");
    }
}

#[test]
fn weight_stays_above_a_tenth_of_the_mean() {
    let four: Vec<_> = (1..=4).map(endpoint).collect();
    let mut d = Driver::with(settings(), &four);
    serve(&mut d, 200, |_| report(0.5, 10.0));
    for _ in 0..1000 {
        let (endpoint, outcome) = (EndpointId(1), Outcome::Ok);
        d.handle(Event::ProbeFinished { endpoint, outcome, report: report(1.0, 0.0) });
    }
    let counts = serve(&mut d, 1000, |id| if id == 1 { report(1.0, 0.0) } else { report(0.5, 10.0) });
    // A tenth of a mean of about 15, against 20 for each of the others.
    assert!(counts.get(&1).is_some_and(|&n| (15..=60).contains(&n)), "{counts:?}");
}

#[test]
fn endpoint_with_outstanding_requests_gets_fewer() {
    let four: Vec<_> = (1..=4).map(endpoint).collect();
    let mut d = Driver::with(settings(), &four);
    let outstanding: Vec<_> = (0..4).map(|_| first_send(&d.arrive(SAFE).1).expect("sent")).collect();
    // All endpoints but the first answer.
    for &(id, at) in outstanding.iter().filter(|s| s.1.0 != 1) {
        d.finish(id, 0, at, Outcome::Ok);
    }
    let counts = serve(&mut d, 30, |_| None);
    assert!(counts.get(&1).is_none_or(|&n| n <= 7), "{counts:?}");
}

#[test]
fn failing_endpoint_is_ejected_and_tried_again() {
    for outcome in [Outcome::ConnectFailed, Outcome::TimedOut, Outcome::Reset, Outcome::Rejected] {
        let ten: Vec<_> = (1..=10).map(endpoint).collect();
        let mut d = Driver::with(settings(), &ten);
        let mut attempts = 0;
        for _ in 0..1000 {
            let (id, actions) = d.arrive(UNSAFE);
            let (_, at) = first_send(&actions).expect("sent");
            d.advance(ms(20));
            let failing = at == EndpointId(1);
            attempts += usize::from(failing);
            d.finish(id, 0, at, if failing { outcome } else { Outcome::Ok });
            if failing && outcome.never_ran() {
                d.handle(Event::ClientGone { id });
            }
        }
        assert!(
            (3..=20).contains(&attempts),
            "{outcome:?}: {attempts} of 1000 requests to an endpoint that fails all"
        );
    }
}

#[test]
fn failures_of_all_endpoints_do_not_eject_all() {
    let four: Vec<_> = (1..=4).map(endpoint).collect();
    let mut d = Driver::with(settings(), &four);
    for _ in 0..50 {
        let (id, actions) = d.arrive(UNSAFE);
        let Some((_, at)) = first_send(&actions) else { panic!("no endpoint left to send to") };
        d.finish(id, 0, at, Outcome::Reset);
    }
}

#[test]
fn subsets_are_bounded_evenly_spread_and_refilled() {
    let endpoints: Vec<_> = (1..=200).map(endpoint).collect();
    let mut balancers_by_endpoint: BTreeMap<u64, usize> = BTreeMap::new();
    for balancer_index in 0..100 {
        let mut s = settings();
        (s.balancer_index, s.balancer_count) = (balancer_index, 100);
        let mut d = Driver::with(s, &endpoints);
        let counts = serve(&mut d, 200, |_| None);
        assert_eq!(counts.len(), 12, "six balancers per endpoint");
        for id in counts.keys() {
            *balancers_by_endpoint.entry(*id).or_default() += 1;
        }
        if balancer_index == 0 {
            let removed = *counts.keys().next().unwrap();
            d.update_list(
                ListKind::Delta,
                &[Endpoint { state: EndpointState::Removed, ..endpoint(removed) }],
            );
            let after = serve(&mut d, 200, |_| None);
            assert_eq!(
                after.keys().filter(|k| !counts.contains_key(k)).count(),
                1,
                "one endpoint is removed, one joins"
            );
        }
    }
    assert_eq!(balancers_by_endpoint.len(), 200, "every endpoint is in some subset");
    assert!(balancers_by_endpoint.values().all(|n| (4..=9).contains(n)), "{balancers_by_endpoint:?}");
}

#[test]
fn requests_stay_in_zone_until_its_endpoints_are_busy() {
    let mut s = settings();
    s.cross_zone_price = 0.03;
    let endpoints_of_both_zones: Vec<_> =
        (1..=8).map(|i| Endpoint { zone: ZoneId(u16::from(i > 4)), ..endpoint(i) }).collect();
    let mut d = Driver::with(s, &endpoints_of_both_zones);
    let endpoints: Vec<_> = (0..9).map(|_| first_send(&d.arrive(SAFE).1).expect("sent").1.0).collect();
    assert!(endpoints[..8].iter().all(|&t| t <= 4), "{endpoints:?}");
    assert!(endpoints[8] > 4, "each local endpoint has two outstanding: {endpoints:?}");
}

#[test]
fn probes_reach_each_endpoint_at_bounded_rate_only_when_reports_need_them() {
    for (reporting, expected) in [(Reporting::ProbesOnly, true), (Reporting::WithAnswers, false)] {
        let mut s = settings();
        s.reporting = reporting;
        let mut d = Driver::with(s, &(1..=6).map(endpoint).collect::<Vec<_>>());
        let mut probed: BTreeMap<u64, usize> = BTreeMap::new();
        for _ in 0..3000 {
            for action in d.advance_and_wake(ms(10)) {
                if let Action::Probe { endpoint } = action {
                    *probed.entry(endpoint.0).or_default() += 1;
                }
            }
        }
        assert_eq!(probed.len(), if expected { 6 } else { 0 });
        assert!(probed.values().all(|n| (5..=16).contains(n)), "in 30 s: {probed:?}");
    }
}
