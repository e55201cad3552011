//! A freshly started endpoint gets no more than this balancer's share of what it can bear.

mod common;
use common::*;
use cottonpoint_decide::*;
use std::time::Duration;

fn sends_to_cold(balancer_count: u32, every_ms: u64, warm: u64, seconds: u64) -> Vec<u64> {
    let mut s = settings();
    s.balancer_count = balancer_count;
    let list: Vec<_> = (1..=warm).map(endpoint).collect();
    let mut d = Driver::with(s, &list);
    let mut times = Vec::new();
    let mut started = None;
    for n in 0..(5 + seconds) * 1000 / every_ms {
        if n * every_ms >= 5000 && started.is_none() {
            started = Some(d.now);
            d.update_list(ListKind::Delta, &[Endpoint { started, ..endpoint(99) }]);
        }
        let (id, actions) = d.arrive(SAFE);
        let (_, at) = first_send(&actions).expect("sent");
        if at == EndpointId(99) {
            times.push(d.now.since(started.unwrap()).as_millis() as u64);
        }
        d.finish(id, 0, at, Outcome::Ok);
        d.advance(ms(every_ms));
    }
    times
}

#[test]
fn cold_endpoint_gets_at_most_its_budget_in_every_window() {
    // 100 requests per second over ten warm endpoints: each carries 10 per second of this balancer.
    let times = sends_to_cold(1, 10, 10, 20);
    for (i, &from) in times.iter().enumerate().filter(|t| *t.1 < 10_000) {
        let in_window = times[i..].iter().take_while(|&&t| t < from + 2000).count() as f64;
        let warmth = 0.25 + 0.75 * (from as f64 / 10_000.0);
        let budget = 3.0 * warmth * 10.0 * 2.0;
        assert!(in_window <= budget + 1.0, "{in_window} sent within 2 s of {from} ms, budget {budget}");
    }
    assert!(times.iter().any(|&t| t < 3000), "the cold endpoint gets some work: {times:?}");
    let late = times.iter().filter(|&&t| t > 12_000).count();
    assert!(late > 50, "the warm endpoint gets its full share: {late}");
}

#[test]
fn balancer_with_little_traffic_sends_cold_endpoint_almost_nothing() {
    let times = sends_to_cold(50, 200, 10, 4);
    assert!(times.len() <= 2, "{times:?}");
}

#[test]
fn requests_are_held_when_only_cold_endpoints_remain() {
    let mut d = Driver::with(settings(), &(1..=10).map(endpoint).collect::<Vec<_>>());
    for _ in 0..500 {
        let (id, actions) = d.arrive(SAFE);
        d.finish(id, 0, first_send(&actions).expect("sent").1, Outcome::Ok);
        d.advance(ms(10));
    }
    let cold: Vec<_> = (11..=12).map(|i| Endpoint { started: Some(d.now), ..endpoint(i) }).collect();
    d.update_list(ListKind::Full, &cold);
    let mut sent_cold = 0;
    for _ in 0..100 {
        sent_cold += usize::from(first_send(&d.arrive(SAFE).1).is_some());
        d.advance(ms(10));
    }
    assert!(sent_cold < 50, "{sent_cold} of 100 in the first second");
}

#[test]
fn further_attempt_never_goes_to_cold_endpoint() {
    let mut d = Driver::with(settings(), &(1..=4).map(endpoint).collect::<Vec<_>>());
    let started = Some(d.now);
    d.update_list(ListKind::Delta, &[Endpoint { started, ..endpoint(9) }]);
    let (mut first, mut further) = (0, 0);
    for n in 0..900 {
        let (id, actions) = d.arrive(SAFE);
        let (_, at) = first_send(&actions).expect("sent");
        first += usize::from(at == EndpointId(9));
        if n % 10 != 0 {
            d.finish(id, 0, at, Outcome::Ok);
        } else if let Some((_, at)) = first_send(&d.finish(id, 0, at, Outcome::Error)) {
            assert_ne!(at, EndpointId(9));
            further += 1;
            d.finish(id, 1, at, Outcome::Ok);
        }
        d.advance(ms(10));
    }
    assert!(first > 20 && further > 50, "{first} first requests to it, {further} further attempts in all");
}

/// For each second after a release, how many requests per second all balancers together send to
/// `cold` freshly started endpoints; the `warm` ones report that they carry `rate` requests per
/// second at `util`.
fn fleet_sends_to_cold(balancer_count: u32, warm: u64, cold: u64, rate: f64, util: f64) -> Vec<f64> {
    let report = Some(LoadReport { utilization: Some(util), rate: Some(rate) });
    let mut sent_cold = vec![0.0; 6];
    for balancer_index in 0..balancer_count {
        let list: Vec<_> = (1..=warm).map(endpoint).collect();
        let mut d = Driver::with(Settings { balancer_index, balancer_count, ..settings() }, &list);
        let every = Duration::from_secs_f64(f64::from(balancer_count) / (warm as f64 * rate));
        let mut started = None;
        for n in 0.. {
            let second = (every * n).as_secs_f64() - 5.0;
            if second >= 6.0 {
                break;
            }
            if second >= 0.0 && started.is_none() {
                // Some of the warm endpoints are replaced at once.
                started = Some(d.now);
                let fresh = (100..100 + cold).map(|id| Endpoint { started, ..endpoint(id) });
                let list: Vec<_> = (1..=warm - cold).map(endpoint).chain(fresh).collect();
                d.update_list(ListKind::Full, &list);
            }
            let (id, actions) = d.arrive(SAFE);
            if let Some((_, at)) = first_send(&actions) {
                sent_cold[second.max(0.0) as usize] += f64::from(u8::from(at.0 >= 100));
                d.finish_with(id, 0, at, Outcome::Ok, report.filter(|_| at.0 < 100));
            }
            d.advance(every);
        }
    }
    sent_cold
}

/// Guards against a budget of cold endpoints that depends on how many requests happen to be sent.
/// In a fleet with spare capacity (here a quarter is in use) ten of sixteen endpoints were
/// replaced; the remaining ones got nearly all requests until they were overloaded, then fewer
/// requests were sent, and so the cold endpoints were given even less.
#[test]
fn cold_endpoints_get_load_by_reports_of_their_machine_type() {
    let (rate, util, cold) = (10.0, 0.25, 10);
    let sent_cold = fleet_sends_to_cold(17, 16, cold, rate, util);
    for (second, &sent) in sent_cold.iter().enumerate().skip(1) {
        let present = 0.25 + 0.75 * (second as f64 / 10.0);
        let capacity = cold as f64 * rate / util * present;
        let offered = 16.0 * rate;
        assert!(sent < capacity * 1.3, "second {second}: {sent} sent, capacity {capacity}");
        let share = sent / capacity.min(offered);
        assert!(share > 0.3, "second {second}: {sent} sent of {offered}, capacity {capacity}");
    }
}

/// Balancers that all have the same eight endpoints in their subsets, one of which restarts at
/// second 0.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    balancers: u32,
    /// Requests of mean work per second that a warm endpoint carries.
    capacity_per_s: f64,
    /// Seconds without requests after the restart; then each balancer gets eight at once.
    silent_s: f64,
    /// Whether all balancers are replaced, each at its own moment in the second or third second.
    restarts: bool,
    /// The list reaches each balancer up to this many seconds late.
    list_delay_s: f64,
    /// Whether all requests from the restart on have twice the mean work, at the same rate.
    heavy: bool,
}

/// When, in seconds after the restart, all balancers that know of the restart send requests to the
/// restarted endpoint, each with its work (1 is the mean).
fn sends_to_restarted_endpoint(scenario: Scenario, seed: u64) -> Vec<(f64, f64)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (begin, start) = (Time(1_000_000_000), Time(7_000_000_000));
    let before: Vec<_> = (1..=8).map(endpoint).collect();
    let mut after = before.clone();
    after[7].started = Some(start);
    let driver_of = |balancer_index: u32, now: Time, list: &[Endpoint], seed: u64| {
        let settings = Settings { balancer_index, balancer_count: scenario.balancers, ..settings() };
        let mut d = Driver::new(settings.clone());
        (d.now, d.balancer) = (now, Balancer::new(settings, seed, now));
        d.update_list(ListKind::Full, list);
        d
    };
    // Some balancers get several times the mean rate. In all, three quarters of what all endpoints
    // carry.
    let shares: Vec<_> = (0..scenario.balancers).map(|_| (1.0 / (1.0 - rng.f64())).min(8.0)).collect();
    let each = 0.75 * 8.0 * scenario.capacity_per_s / shares.iter().sum::<f64>();
    let mut balancers: Vec<_> = (0..scenario.balancers)
        .map(|balancer_index| {
            (
                driver_of(balancer_index, begin, &before, rng.u64(..)),
                scenario.list_delay_s * rng.f64(),
                1.0 + 2.0 * rng.f64(),
            )
        })
        .collect();
    let mut sent_cold = Vec::new();
    let mut out: Vec<(f64, usize, RequestId, EndpointId, f64)> = Vec::new();
    for step in 0..1600_u64 {
        let (now, second) = (begin + ms(step * 10), step as f64 / 100.0 - 6.0);
        let now_is = |at: f64| second >= at && second < at + 0.01;
        for (balancer_index, (d, notified_at, restarts_at)) in balancers.iter_mut().enumerate() {
            d.now = now;
            if now_is(*notified_at) {
                d.update_list(ListKind::Full, &after);
            }
            if scenario.restarts && now_is(*restarts_at) {
                *d = driver_of(balancer_index as u32, now, &after, rng.u64(..));
                out.retain(|&(_, balancer, ..)| balancer != balancer_index);
            }
            for (_, _, id, endpoint, work) in out.extract_if(.., |o| o.1 == balancer_index && o.0 <= second)
            {
                let report =
                    LoadReport { utilization: Some(0.5), rate: Some(scenario.capacity_per_s / 2.0) };
                let (report, elapsed) =
                    (Some(report).filter(|_| endpoint.0 != 8), ms((100.0 * work) as u64));
                let outcome = Outcome::Ok;
                d.handle(Event::Finished {
                    id,
                    attempt: 0,
                    endpoint,
                    outcome,
                    closed: true,
                    elapsed,
                    report,
                });
            }
            let has_traffic = !(0.0..scenario.silent_s).contains(&second);
            let arriving =
                (each * shares[balancer_index] / 100.0 + rng.f64()) as u64 * u64::from(has_traffic);
            let resumes = scenario.silent_s > 0.0 && now_is(scenario.silent_s);
            for _ in 0..arriving + 8 * u64::from(resumes) {
                let heavy = scenario.heavy && second >= 0.0 || rng.f64() < 1.0 / 3.0;
                let (class, work) = if heavy { (SAFE, 2.0) } else { (CHEAP, 0.5) };
                for (id, endpoint) in sends(&d.arrive(class).1) {
                    out.push((second + 0.1 * work, balancer_index, id, endpoint, work));
                    if endpoint.0 == 8 && second >= *notified_at {
                        sent_cold.push((second, work));
                    }
                }
            }
        }
    }
    sent_cold
}

/// Work sent within the 2 s of the settings, in the worst window, relative to the budget plus what
/// chance may add.
fn worst_window(scenario: Scenario, sent: &[(f64, f64)]) -> f64 {
    let windows = sent.iter().enumerate().filter(|(_, s)| s.0 < 10.0).map(|(i, &(at, _))| {
        let work: f64 = sent[..=i].iter().filter(|s| s.0 > at - 2.0).map(|s| s.1).sum();
        let n = 3.0 * scenario.capacity_per_s * (0.25 + 0.75 * at / 10.0) * 2.0;
        work / (n + 2.0 * n.sqrt() + 2.0)
    });
    windows.fold(0.0, f64::max)
}

const BASELINE: Scenario = Scenario {
    balancers: 1,
    capacity_per_s: 10.0,
    silent_s: 0.0,
    restarts: false,
    list_delay_s: 0.0,
    heavy: false,
};

/// Guards against credit that each balancer saves up while it has no requests. When all three
/// hundred resumed at once, they sent 1.6 times what one endpoint bears, and 2.8 times with heavy
/// requests, each of which was counted as one of mean work.
#[test]
fn all_balancers_together_stay_within_cold_budget() {
    let mut violations = Vec::new();
    for balancers in [1, 3, 20, 30, 100, 300] {
        for scenario in [
            BASELINE,
            Scenario { restarts: true, ..BASELINE },
            Scenario { list_delay_s: 3.0, ..BASELINE },
            Scenario { heavy: true, ..BASELINE },
            Scenario { silent_s: 3.0, ..BASELINE },
            Scenario { silent_s: 3.0, heavy: true, ..BASELINE },
            Scenario { silent_s: 3.0, heavy: true, capacity_per_s: 60.0, ..BASELINE },
        ] {
            let scenario = Scenario { balancers, ..scenario };
            let worst = (1..=5)
                .map(|seed| worst_window(scenario, &sends_to_restarted_endpoint(scenario, seed)))
                .fold(0.0, f64::max);
            if worst >= 1.0 {
                violations.push(format!("{worst:.2}: {scenario:?}"));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against a ramp that keeps a fleet below the bound by sending too little: an endpoint that
/// warms up by serving requests must get them in about the time that one balancer alone takes.
#[test]
fn many_balancers_warm_endpoint_about_as_fast_as_one() {
    let runs = |scenario: Scenario| -> Vec<_> {
        (1..=5).map(|seed| sends_to_restarted_endpoint(scenario, seed)).collect()
    };
    let count = |runs: &[Vec<(f64, f64)>]| runs.iter().map(Vec::len).sum::<usize>() as f64;
    // When three times as many requests as it serves per second when warm have been sent.
    let time = |runs: &[Vec<(f64, f64)>], capacity_per_s: f64| -> f64 {
        let reached =
            |sent: &Vec<(f64, f64)>| sent.get(3 * capacity_per_s as usize).map_or(f64::INFINITY, |s| s.0);
        runs.iter().map(reached).sum::<f64>() / runs.len() as f64
    };
    let scenarios = [(3, 10.0), (20, 10.0), (30, 10.0), (20, 60.0), (30, 60.0), (100, 60.0), (300, 60.0)];
    for (balancers, capacity_per_s) in scenarios {
        let (alone, all) = (
            runs(Scenario { capacity_per_s, ..BASELINE }),
            runs(Scenario { balancers, capacity_per_s, ..BASELINE }),
        );
        let share = count(&all) / count(&alone);
        assert!(share > 0.5, "{balancers} balancers send {share:.2} of what one sends");
        let (all, alone) = (time(&all, capacity_per_s), time(&alone, capacity_per_s));
        assert!(all < alone * 1.5, "{balancers} balancers take {all:.1} s, one {alone:.1} s");
    }
}

/// Guards against a new process that never sends to its endpoints while all of them are cold,
/// because it has no sends and reports to derive a budget from. It sent nothing until they counted
/// as warm.
#[test]
fn new_balancer_with_only_cold_endpoints_starts_with_few_requests() {
    let mut count = 0;
    for balancer_index in 0..30 {
        let mut d = Driver::new(Settings { balancer_index, balancer_count: 30, ..settings() });
        d.balancer = Balancer::new(
            Settings { balancer_index, balancer_count: 30, ..settings() },
            u64::from(balancer_index),
            d.now,
        );
        let cold: Vec<_> = (1..=8).map(|i| Endpoint { started: Some(d.now), ..endpoint(i) }).collect();
        d.update_list(ListKind::Full, &cold);
        for _ in 0..80 {
            let (id, actions) = d.arrive(SAFE);
            if let Some((_, at)) = first_send(&actions) {
                count += 1;
                d.finish(id, 0, at, Outcome::Ok);
            }
            d.advance(ms(100));
        }
    }
    // Eight endpoints and four windows of 2 s, one request in each window of each.
    assert!((16..64).contains(&count), "{count} sent in 8 s by all balancers");
}

/// Guards against counting the balancers of an endpoint as if all zones had the same size. The
/// first endpoint to come back in a lost zone is used by all balancers of that zone: they sent it
/// 132 requests where it bears 91.
#[test]
fn cold_budget_in_small_zone_is_shared_by_all_its_balancers() {
    let balancer_count = 30;
    for back_in in [0, 1] {
        let mut count = 0;
        for balancer_index in 0..balancer_count {
            let settings = Settings {
                balancer_index,
                balancer_count,
                zone: ZoneId(balancer_index as u16 % 2),
                cross_zone_price: 0.1,
                ..settings()
            };
            let mut d = Driver::new(settings.clone());
            d.balancer = Balancer::new(settings, u64::from(balancer_index), d.now);
            let mut list: Vec<_> =
                (1..=10).map(|id| Endpoint { zone: ZoneId(1), ..endpoint(id) }).collect();
            d.update_list(ListKind::Full, &list);
            for step in 0..600 {
                if step == 400 {
                    list.push(Endpoint { zone: ZoneId(back_in), started: Some(d.now), ..endpoint(11) });
                    d.update_list(ListKind::Full, &list);
                }
                let (id, actions) = d.arrive(SAFE);
                if let Some((_, at)) = first_send(&actions) {
                    count += u32::from(at.0 == 11);
                    let report = LoadReport { utilization: Some(0.5), rate: Some(15.0) };
                    d.finish_with(id, 0, at, Outcome::Ok, Some(report).filter(|_| at.0 != 11));
                }
                d.advance(ms(10));
            }
        }
        // In its first 2 s it has at most 0.4 of its warm capacity of 30 requests per second.
        let n = 3.0 * 30.0 * 0.4 * 2.0;
        let bound = n + 2.0 * f64::sqrt(n) + 2.0;
        let sent = f64::from(count);
        assert!(sent > 5.0 && sent < bound, "back in zone {back_in}: {sent} sent, it bears {bound:.1}");
    }
}
