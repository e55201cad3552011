//! Pushed and on-request discovery.

mod common;
use common::*;
use cottonpoint_decide::*;

fn on_request(seed: u64) -> (Balancer, Time) {
    let mut s = settings();
    s.discovery = Discovery::OnRequest { ask_within: ms(10_000) };
    let now = Time(5);
    (Balancer::new(s, seed, now), now)
}

/// Lets time pass in small steps until the balancer subscribes; says how long that took.
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
fn it_works_from_the_cached_list_at_once_and_subscribes_within_bounds_spread_out() {
    let mut waits = Vec::new();
    for seed in 0..20 {
        let (mut b, now) = on_request(seed);
        let list = [endpoint(1)];
        let cached = Event::Endpoints { kind: ListKind::Full, entries: &list };
        waits.push(until_subscribed(&mut b, now, cached));
        let mut actions = Vec::new();
        let call = Call { id: RequestId(1), class: SAFE, tenant: None, due: now + ms(9000), cost: None };
        b.handle(now + ms(4000), Event::Arrived(call), &mut actions);
        assert!(sent(&actions).is_some());
    }
    let (least, most) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
    assert!(*most <= ms(5000), "{most:?}");
    assert!(*most - *least > ms(1000), "all at once: {waits:?}");
}

#[test]
fn it_subscribes_again_after_failures_later_each_time_but_within_bounds() {
    let (mut b, now) = on_request(3);
    let mut at = now + until_subscribed(&mut b, now, Event::DiscoveryFailed);
    let mut waits = Vec::new();
    for _ in 0..6 {
        let wait = until_subscribed(&mut b, at, Event::DiscoveryFailed);
        waits.push(wait);
        at = at + wait;
    }
    assert!(waits[0] < ms(2000), "{waits:?}");
    assert!(waits[5] > waits[0], "{waits:?}");
    assert!(waits.iter().all(|w| *w < ms(10_000)), "{waits:?}");
}

#[test]
fn an_unanswered_subscription_is_asked_again_within_bounds() {
    let (mut b, now) = on_request(4);
    let list = [endpoint(1)];
    let cached = Event::Endpoints { kind: ListKind::Full, entries: &list };
    let at = now + until_subscribed(&mut b, now, cached);
    let nothing = Event::Departed { id: RequestId(9) };
    let mut actions = Vec::new();
    for after in 0..=100 {
        b.handle(at + ms(after * 100), nothing, &mut actions);
    }
    assert!(actions.contains(&Action::Subscribe));
}

#[test]
fn a_balancer_with_pushed_discovery_never_asks() {
    let mut d = Driver::new(settings());
    let mut actions = d.event(Event::DiscoveryFailed);
    for _ in 0..100 {
        actions.extend(d.wake(ms(500)));
    }
    assert!(!actions.contains(&Action::Subscribe));
}
