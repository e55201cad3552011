//! Levels, hands of queues, release and refusal, seen from outside.

mod common;
use common::*;
use cottonpoint_decide::*;

fn tenants(quota_per_s: f64) -> Settings {
    let mut s = crowded(200);
    s.tenants = vec![Tenant { quota_per_s: 200.0 * quota_per_s }; 4];
    s
}

/// A balancer at its least limit with that limit in use by one wide call, which it returns.
fn full(s: Settings) -> (Driver, RequestId, EndpointId) {
    let many: Vec<_> = (1..=200).map(endpoint).collect();
    let mut d = Driver::with(s, &many);
    overload(&mut d);
    d.wake(ms(20_000));
    let (id, actions) = d.call_of(UNSAFE, Some(TenantId(3)), ms(3000));
    let (_, endpoint) = sent(&actions).expect("nothing else runs");
    (d, id, endpoint)
}

#[test]
fn nothing_waits_while_the_limit_is_open() {
    let mut d = Driver::with(settings(), &(1..=10).map(endpoint).collect::<Vec<_>>());
    for _ in 0..500 {
        assert!(sent(&d.call(UNSAFE).1).is_some());
    }
}

#[test]
fn a_call_worth_more_is_released_first() {
    let (mut d, running, endpoint) = full(tenants(1e6));
    let (cheap, actions) = d.call_of(CHEAP, Some(TenantId(0)), ms(3000));
    assert_eq!(sends(&actions), [], "held");
    let (dear, _) = d.call_of(SAFE, Some(TenantId(1)), ms(3000));
    let actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let order: Vec<_> = sends(&actions).iter().map(|s| s.0).collect();
    assert_eq!(order, [dear, cheap]);
}

#[test]
fn a_tenant_beyond_its_quota_falls_behind_one_within() {
    let (mut d, running, endpoint) = full(tenants(1.0));
    // The flood uses up its few seconds' worth of quota with calls that leave again.
    for _ in 0..10 {
        let (id, _) = d.call_of(SAFE, Some(TenantId(0)), ms(3000));
        d.event(Event::Departed { id });
    }
    let (beyond, _) = d.call_of(SAFE, Some(TenantId(0)), ms(3000));
    let (within, _) = d.call_of(SAFE, Some(TenantId(1)), ms(3000));
    let actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let order: Vec<_> = sends(&actions).iter().map(|s| s.0).collect();
    assert_eq!(order, [within, beyond]);
}

#[test]
fn a_flooding_tenant_does_not_starve_others_of_its_level() {
    let (mut d, running, endpoint) = full(tenants(1e6));
    for _ in 0..30 {
        d.call_of(SAFE, Some(TenantId(0)), ms(3000));
    }
    let (light, _) = d.call_of(SAFE, Some(TenantId(1)), ms(3000));
    let mut actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let mut order = Vec::new();
    for _ in 0..3 {
        let now = sends(&actions);
        order.extend(now.iter().map(|s| s.0));
        let (id, endpoint) = now[0];
        d.pass(ms(20));
        actions = d.finish(id, 0, endpoint, Outcome::Ok);
    }
    assert!(order.contains(&light), "31 waited, {} ran, the light one not among them", order.len());
}

#[test]
fn a_wide_head_waits_and_is_not_overtaken_within_its_turn() {
    let (mut d, running, endpoint) = full(crowded(200));
    let (narrow, _) = d.call(SAFE);
    let actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let (_, at) = sent(&actions).expect("one of two seats taken");
    let (wide, actions) = d.call(UNSAFE);
    assert_eq!(sends(&actions), [], "one seat is left, it needs two");
    let actions = d.finish(narrow, 0, at, Outcome::Ok);
    assert_eq!(
        sent(&actions).map(|s| s.0),
        Some(wide),
        "the limit never falls so low that it waits for ever"
    );
}

#[test]
fn a_full_queue_refuses_the_newcomer() {
    let (mut d, ..) = full(crowded(200));
    let mut first = None;
    let mut last = None;
    for _ in 0..100 {
        let (id, actions) = d.call(SAFE);
        first.get_or_insert(id);
        if !refused(&actions).is_empty() {
            assert_eq!(refused(&actions), [id]);
            last = Some(id);
            break;
        }
    }
    assert!(last.is_some() && last != first, "its queues hold a bounded number");
}

#[test]
fn a_held_call_is_refused_at_the_wait_limit() {
    let (mut d, ..) = full(crowded(200));
    let (id, actions) = d.call(SAFE);
    assert_eq!(sends(&actions), []);
    assert_eq!(refused(&d.wake(ms(150))), []);
    let actions = d.wake(ms(150));
    assert_eq!(refused(&actions), [id], "a quarter of its aim has passed");
    // Guards against: a client refused in time that is not told when to come back, or told too late to be served.
    let retry_after = Some(ms(175));
    assert!(
        actions.contains(&Action::Refuse { id, retry_after }),
        "a quarter of the 700 ms left of its aim"
    );
}
