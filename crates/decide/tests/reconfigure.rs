//! New settings for a balancer in use: what open requests keep, and what goes on.

mod common;
use common::*;
use cottonpoint_decide::*;

/// Each class keeps its position.
fn same_positions(settings: &Settings) -> Renumbering {
    let ids = |count: usize| 0..u16::try_from(count).expect("few");
    Renumbering {
        classes: ids(settings.classes.len()).map(|id| Some(ClassId(id))).collect(),
        tenants: ids(settings.tenants.len()).map(|id| Some(TenantId(id))).collect(),
    }
}

fn reconfigure(d: &mut Driver, settings: Settings, renumbering: &Renumbering) -> Vec<Action> {
    let mut actions = Vec::new();
    d.balancer.reconfigure(d.now, settings, renumbering, &mut actions);
    actions
}

/// Settings with the one class given, which is new.
fn with_class(effect: Effect) -> (Settings, Renumbering) {
    let settings = Settings { classes: vec![class(8.0, effect)], ..settings() };
    (settings, Renumbering { classes: vec![None], tenants: Vec::new() })
}

/// Guards against an open request that is repeated as a later class at its position allows, and
/// against one that is not repeated because a later class forbids it (review case 1).
#[test]
fn open_request_is_repeated_as_the_class_of_its_own_settings_allows() {
    let mut d = Driver::with(settings(), &[endpoint(1), endpoint(2)]);
    let (unsafe_one, sent) = d.arrive(UNSAFE);
    let (_, at) = first_send(&sent).expect("sent");
    let (safe_one, sent_safe) = d.arrive(SAFE);
    let (_, at_safe) = first_send(&sent_safe).expect("sent");
    for effect in [Effect::Safe, Effect::Unsafe, Effect::Safe, Effect::Unsafe] {
        let (settings, renumbering) = with_class(effect);
        assert_eq!(reconfigure(&mut d, settings, &renumbering), []);
    }
    let (new_one, sent_new) = d.arrive(SAFE);
    let (_, at_new) = first_send(&sent_new).expect("sent");
    assert_eq!(failed(&d.finish(unsafe_one, 0, at, Outcome::Error)), [unsafe_one]);
    assert_eq!(sends(&d.finish(safe_one, 0, at_safe, Outcome::Error)).len(), 1);
    assert_eq!(failed(&d.finish(new_one, 0, at_new, Outcome::Error)), [new_one], "the class is unsafe now");
}

/// Guards against more attempts, or fewer, than the settings allowed when a request arrived.
#[test]
fn open_request_keeps_its_number_of_attempts() {
    let mut d = Driver::with(settings(), &[endpoint(1), endpoint(2)]);
    let (earlier, sent) = d.arrive(SAFE);
    let mut fewer = settings();
    fewer.limits.max_attempts = 1;
    let renumbering = same_positions(&fewer);
    reconfigure(&mut d, fewer, &renumbering);
    let (later, sent_later) = d.arrive(SAFE);
    assert_eq!(sends(&d.finish(earlier, 0, first_send(&sent).unwrap().1, Outcome::Error)).len(), 1);
    assert_eq!(refused(&d.finish(later, 0, first_send(&sent_later).unwrap().1, Outcome::Error)), [later]);
}

/// Guards against a budget for a cold endpoint with each new settings: fifty in a row sent it many
/// times what it bears.
#[test]
fn cold_endpoint_gets_one_budget_however_many_settings_follow_one_another() {
    let sent_to_cold = |reconfigured: bool| {
        let mut d = Driver::with(settings_with_balancers(10), &(1..=10).map(endpoint).collect::<Vec<_>>());
        let mut count = 0;
        for n in 0..700 {
            if n == 500 {
                d.update_list(ListKind::Delta, &[Endpoint { started: Some(d.now), ..endpoint(99) }]);
            }
            if reconfigured && n >= 500 && n % 4 == 0 {
                let settings = settings_with_balancers(10);
                let renumbering = same_positions(&settings);
                reconfigure(&mut d, settings, &renumbering);
            }
            let (id, actions) = d.arrive(SAFE);
            let (_, at) = first_send(&actions).expect("sent");
            count += usize::from(at == EndpointId(99));
            d.finish(id, 0, at, Outcome::Ok);
            d.advance(ms(10));
        }
        count
    };
    assert_eq!(sent_to_cold(true), sent_to_cold(false));
}

/// Guards against a panic for classes that the new settings do not have, and for ones that the old
/// did not have.
#[test]
fn classes_may_become_fewer_and_more() {
    let mut d = Driver::with(settings(), &[endpoint(1), endpoint(2)]);
    let (last_class, sent) = d.arrive(CHEAP);
    let (fewer, renumbering) = with_class(Effect::Safe);
    reconfigure(&mut d, fewer, &renumbering);
    assert_eq!(refused(&d.arrive(CHEAP).1).len(), 1, "there is no such class");
    let again = d.finish(last_class, 0, first_send(&sent).unwrap().1, Outcome::Error);
    reconfigure(&mut d, settings(), &Renumbering::default());
    d.finish(last_class, 1, first_send(&again).unwrap().1, Outcome::Ok);
    let (id, sent) = d.arrive(CHEAP);
    d.finish(id, 0, first_send(&sent).unwrap().1, Outcome::Ok);
}

/// Guards against a repeat in another zone where neither zone is known: endpoints without one share
/// no idempotency keys.
#[test]
fn keyed_request_is_not_repeated_where_the_zone_is_unknown() {
    let mut settings = settings();
    settings.classes[1].effect = Effect::Keyed { scope: Scope::Zone, window: ms(2000) };
    let unknown = |id| Endpoint { zone: ZoneId::UNKNOWN, ..endpoint(id) };
    let mut d = Driver::with(settings, &[unknown(1), unknown(2)]);
    let (id, sent) = d.arrive(KEYED);
    assert_eq!(sends(&d.finish(id, 0, first_send(&sent).unwrap().1, Outcome::Error)), []);
}
