//! Pushed discovery and discovery on request.

mod common;
use common::*;
use cottonpoint_decide::*;

fn on_request(seed: u64) -> (Balancer, Time) {
    let mut s = settings();
    s.discovery = Discovery::OnRequest { ask_within: ms(10_000) };
    let now = Time(5);
    (Balancer::new(s, seed, now), now)
}

/// Advances time in small steps until the balancer subscribes; returns how long that took.
fn until_subscribed(b: &mut Balancer, start: Time, first: Event<'_>) -> std::time::Duration {
    let mut actions = Vec::new();
    b.handle(start, first, &mut actions);
    let step = ms(10);
    for n in 0..2000 {
        if actions.contains(&Action::Subscribe) {
            return step * n;
        }
        b.handle(start + step * (n + 1), Event::Timer { token: TimerToken(0) }, &mut actions);
    }
    panic!("never subscribed");
}

#[test]
fn cached_list_is_used_at_once_and_subscriptions_are_spread_out() {
    let mut delays = Vec::new();
    for seed in 0..20 {
        let (mut b, now) = on_request(seed);
        let list = [endpoint(1)];
        let cached = Event::Endpoints { kind: ListKind::Full, entries: &list };
        delays.push(until_subscribed(&mut b, now, cached));
        let mut actions = Vec::new();
        let request =
            Request { id: RequestId(1), class: SAFE, tenant: None, deadline: now + ms(9000), cost: None };
        b.handle(now + ms(4000), Event::Arrived(request), &mut actions);
        assert!(first_send(&actions).is_some());
    }
    let (shortest, longest) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
    assert!(*longest <= ms(5000), "{longest:?}");
    assert!(*longest - *shortest > ms(1000), "all subscribe at about the same time: {delays:?}");
}

#[test]
fn subscription_backs_off_after_failures_within_bounds() {
    let (mut b, now) = on_request(3);
    let mut at = now + until_subscribed(&mut b, now, Event::DiscoveryFailed);
    let mut delays = Vec::new();
    for _ in 0..6 {
        let delay = until_subscribed(&mut b, at, Event::DiscoveryFailed);
        delays.push(delay);
        at = at + delay;
    }
    assert!(delays[0] < ms(2000), "{delays:?}");
    assert!(delays[5] > delays[0], "{delays:?}");
    assert!(delays.iter().all(|w| *w < ms(10_000)), "{delays:?}");
}

#[test]
fn unanswered_subscription_is_repeated_in_time() {
    let (mut b, now) = on_request(4);
    let list = [endpoint(1)];
    let cached = Event::Endpoints { kind: ListKind::Full, entries: &list };
    let at = now + until_subscribed(&mut b, now, cached);
    let unrelated = Event::ClientGone { id: RequestId(9) };
    let mut actions = Vec::new();
    for after in 0..=100 {
        b.handle(at + ms(after * 100), unrelated, &mut actions);
    }
    assert!(actions.contains(&Action::Subscribe));
}

#[test]
fn balancer_with_pushed_discovery_never_subscribes() {
    let mut d = Driver::new(settings());
    let mut actions = d.handle(Event::DiscoveryFailed);
    for _ in 0..100 {
        actions.extend(d.advance_and_wake(ms(500)));
    }
    assert!(!actions.contains(&Action::Subscribe));
}
