//! Priority levels, hands of queues, release and refusal, as seen from outside.

mod common;
use common::*;
use cottonpoint_decide::*;

fn settings_with_tenants(quota_per_s: f64) -> Settings {
    let mut s = settings_with_balancers(200);
    s.tenants = vec![Tenant { quota_per_s: 200.0 * quota_per_s }; 4];
    s
}

/// A balancer at its minimum limit, with all seats taken by one wide request, which is returned.
fn balancer_at_limit(s: Settings) -> (Driver, RequestId, EndpointId) {
    let many: Vec<_> = (1..=200).map(endpoint).collect();
    let mut d = Driver::with(s, &many);
    overload(&mut d);
    d.advance_and_wake(ms(20_000));
    let (id, actions) = d.arrive_with(UNSAFE, Some(TenantId(3)), ms(3000));
    let (_, endpoint) = first_send(&actions).expect("nothing else runs");
    (d, id, endpoint)
}

#[test]
fn no_request_waits_while_limit_is_infinite() {
    let mut d = Driver::with(settings(), &(1..=10).map(endpoint).collect::<Vec<_>>());
    for _ in 0..500 {
        assert!(first_send(&d.arrive(UNSAFE).1).is_some());
    }
}

#[test]
fn request_of_higher_worth_is_released_first() {
    let (mut d, running, endpoint) = balancer_at_limit(settings_with_tenants(1e6));
    let (cheap, actions) = d.arrive_with(CHEAP, Some(TenantId(0)), ms(3000));
    assert_eq!(sends(&actions), [], "held");
    let (valuable, _) = d.arrive_with(SAFE, Some(TenantId(1)), ms(3000));
    let actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let order: Vec<_> = sends(&actions).iter().map(|s| s.0).collect();
    assert_eq!(order, [valuable, cheap]);
}

#[test]
fn tenant_over_quota_is_released_after_tenant_within() {
    let (mut d, running, endpoint) = balancer_at_limit(settings_with_tenants(1.0));
    // The flood uses up a few seconds' worth of its quota with requests whose clients disconnect.
    for _ in 0..10 {
        let (id, _) = d.arrive_with(SAFE, Some(TenantId(0)), ms(3000));
        d.handle(Event::ClientGone { id });
    }
    let (over_quota, _) = d.arrive_with(SAFE, Some(TenantId(0)), ms(3000));
    let (within_quota, _) = d.arrive_with(SAFE, Some(TenantId(1)), ms(3000));
    let actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let order: Vec<_> = sends(&actions).iter().map(|s| s.0).collect();
    assert_eq!(order, [within_quota, over_quota]);
}

/// Guards against a quota that a tenant uses up anew after each change of the settings, and against
/// one that is charged to the tenant at the same position.
#[test]
fn quota_of_a_tenant_goes_on_under_its_new_position() {
    let (mut d, running, endpoint) = balancer_at_limit(settings_with_tenants(1.0));
    for _ in 0..10 {
        let (id, _) = d.arrive_with(SAFE, Some(TenantId(0)), ms(3000));
        d.handle(Event::ClientGone { id });
    }
    // The first tenant comes last now, after a new one and the second.
    let mut settings = settings_with_tenants(1.0);
    settings.tenants.truncate(3);
    let renumbering = Renumbering {
        classes: [SAFE, KEYED, UNSAFE, CHEAP].map(Some).to_vec(),
        tenants: vec![None, Some(TenantId(1)), Some(TenantId(0))],
    };
    d.balancer.reconfigure(d.now, settings, &renumbering, &mut Vec::new());
    let (over_quota, _) = d.arrive_with(SAFE, Some(TenantId(2)), ms(3000));
    let (within_quota, _) = d.arrive_with(SAFE, Some(TenantId(0)), ms(3000));
    let actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let order: Vec<_> = sends(&actions).iter().map(|s| s.0).collect();
    assert_eq!(order, [within_quota, over_quota]);
}

#[test]
fn flooding_tenant_does_not_starve_others_of_its_level() {
    let (mut d, running, endpoint) = balancer_at_limit(settings_with_tenants(1e6));
    for _ in 0..30 {
        d.arrive_with(SAFE, Some(TenantId(0)), ms(3000));
    }
    let (light, _) = d.arrive_with(SAFE, Some(TenantId(1)), ms(3000));
    let mut actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let mut order = Vec::new();
    for _ in 0..3 {
        let now = sends(&actions);
        order.extend(now.iter().map(|s| s.0));
        let (id, endpoint) = now[0];
        d.advance(ms(20));
        actions = d.finish(id, 0, endpoint, Outcome::Ok);
    }
    assert!(
        order.contains(&light),
        "31 requests waited and {} ran, not among them that of the light tenant",
        order.len()
    );
}

#[test]
fn wide_queue_head_is_not_overtaken_while_it_waits_for_seats() {
    let (mut d, running, endpoint) = balancer_at_limit(settings_with_balancers(200));
    let (narrow, _) = d.arrive(SAFE);
    let actions = d.finish(running, 0, endpoint, Outcome::Ok);
    let (_, at) = first_send(&actions).expect("one of two seats taken");
    let (wide, actions) = d.arrive(UNSAFE);
    assert_eq!(sends(&actions), [], "one seat is free, it needs two");
    let actions = d.finish(narrow, 0, at, Outcome::Ok);
    assert_eq!(
        first_send(&actions).map(|s| s.0),
        Some(wide),
        "the limit never falls so low that the wide request waits for ever"
    );
}

#[test]
fn full_queue_refuses_arriving_request() {
    let (mut d, ..) = balancer_at_limit(settings_with_balancers(200));
    let mut first = None;
    let mut last = None;
    for _ in 0..100 {
        let (id, actions) = d.arrive(SAFE);
        first.get_or_insert(id);
        if !refused(&actions).is_empty() {
            assert_eq!(refused(&actions), [id]);
            last = Some(id);
            break;
        }
    }
    assert!(last.is_some() && last != first, "its queues hold a bounded number of requests");
}

#[test]
fn held_request_is_refused_at_the_wait_limit() {
    let (mut d, ..) = balancer_at_limit(settings_with_balancers(200));
    let (id, actions) = d.arrive(SAFE);
    assert_eq!(sends(&actions), []);
    assert_eq!(refused(&d.advance_and_wake(ms(150))), []);
    let actions = d.advance_and_wake(ms(150));
    assert_eq!(refused(&actions), [id], "a quarter of its latency target has passed");
    // Guards against a client that is refused in time but not told when to retry, or told to retry
    // too late to be served.
    let retry_after = Some(ms(175));
    assert!(
        actions.contains(&Action::Refuse { id, retry_after }),
        "a quarter of the 700 ms left of its latency target"
    );
}
