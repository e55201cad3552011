//! Checks what plans contain, over many seeds.

use super::*;

const SEEDS: u64 = 300;

fn plans() -> Vec<Plan> {
    (0..SEEDS).map(|seed| Plan::draw(seed, seed % 2 == 0)).collect()
}

/// Guards against faults that no seed draws (report 2c34d4: no plan had fewer than five endpoints,
/// let the last two of them go, or had a list that is pushed).
#[test]
fn plans_have_each_size_of_tier_publication_and_answer_style() {
    let plans = plans();
    for size in 1..=12 {
        assert!(plans.iter().any(|plan| plan.endpoints == size), "a tier of {size}");
    }
    for pushed in [false, true] {
        let of_publication: Vec<_> = plans.iter().filter(|plan| plan.pushed == pushed).collect();
        let some_have = |wanted: &dyn Fn(&Event) -> bool| {
            let has = |plan: &&&Plan| plan.events.iter().any(|scheduled| wanted(&scheduled.event));
            of_publication.iter().filter(has).count() >= 20
        };
        for style in [AnswerStyle::Changes, AnswerStyle::WholeList, AnswerStyle::NoList, AnswerStyle::Cut] {
            assert!(some_have(&|event| *event == Event::Answers(style)), "{style:?}, pushed: {pushed}");
        }
        for cold in [false, true] {
            assert!(some_have(&|event| *event == Event::ListTier { cold }), "cold: {cold}");
        }
        assert!(some_have(&|event| matches!(event, Event::Return(_))));
    }
    let without_list = plans.iter().flat_map(|plan| &plan.without_known_list);
    assert!(without_list.filter(|without| **without).count() >= 100);
}

/// Guards against a whole tier that never listens before it is listed, or that is listed while its
/// removal is still to come.
#[test]
fn whole_tier_is_removed_before_it_listens_and_listens_before_it_is_listed() {
    for plan in plans() {
        let steps = plan.events.iter().filter_map(|scheduled| match scheduled.event {
            Event::RemoveTier => Some(0),
            Event::ListenTier => Some(1),
            Event::ListTier { .. } => Some(2),
            _ => None,
        });
        assert!(steps.enumerate().all(|(index, step)| index % 3 == step), "seed {}", plan.seed);
    }
}

/// Guards against an agent that is crowded, and one that is up while discovery is down.
#[test]
fn agents_are_up_or_cut_off() {
    for plan in plans() {
        let conditions = plan.events.iter().filter_map(|scheduled| match scheduled.event {
            Event::Discovery(condition) => Some(condition),
            _ => None,
        });
        let is_agent =
            |condition| matches!(condition, DiscoveryCondition::Up | DiscoveryCondition::AgentCutOff);
        assert!(
            conditions
                .clone()
                .all(|condition| plan.pushed == is_agent(condition) || condition == DiscoveryCondition::Up)
        );
    }
}

/// Guards against plans without what the reviews found: series of configurations with other classes
/// in another order and number, and orders on both consoles of an upgrade.
#[test]
fn plans_have_series_of_classes_and_orders_on_both_consoles() {
    let plans = plans();
    let count = |wanted: &dyn Fn(&Event) -> bool| {
        let events = plans.iter().map(|plan| plan.events.iter().filter(|at| wanted(&at.event)).count());
        events.filter(|count| *count > 0).count()
    };
    let series = plans.iter().filter(|plan| {
        let slots: Vec<usize> = { plan.events.iter() }
            .filter_map(|at| match at.event {
                Event::Classes(slot, _) => Some(slot),
                _ => None,
            })
            .collect();
        slots.iter().any(|slot| slots.iter().filter(|other| *other == slot).count() > 4)
    });
    assert!(series.count() >= 50, "more than four configurations in a row");
    for size in 2..=8 {
        assert!(
            count(&|event| matches!(event, Event::Classes(_, list) if list.positions().len() == size)) > 0
        );
    }
    for wanted in [Side::Older, Side::Newer] {
        for wanted_offline in [false, true] {
            let is_wanted = |event: &Event| matches!(event, Event::Order { side, offline, .. } if *side == wanted && *offline == wanted_offline);
            assert!(count(&is_wanted) >= 30, "{wanted:?}, offline: {wanted_offline}");
        }
    }
    assert!(count(&|event| matches!(event, Event::EndUpgrade(_))) >= 50);
}

/// Guards against runs without clients that put pressure on a process, and against a kind or a limit
/// that no seed draws.
#[test]
fn half_of_the_plans_have_pressure_of_each_kind() {
    let plans = plans();
    let under_pressure: Vec<_> = plans.iter().filter(|plan| plan.sockets == 1024).collect();
    assert!((100..200).contains(&under_pressure.len()), "{}", under_pressure.len());
    for plan in &under_pressure {
        let kinds = plan.events.iter().filter(|scheduled| matches!(scheduled.event, Event::Pressure(..)));
        assert_eq!(kinds.count(), PressureKind::ALL.len(), "seed {}", plan.seed);
    }
    for memory_mb in [64, 96, 192] {
        assert!(under_pressure.iter().any(|plan| plan.memory_mb == memory_mb), "{memory_mb}");
    }
}

/// Guards against plans in which no process starts while its agent is cut off, or in which nothing has
/// changed between the list that it knows and the outage (review/3 was not played).
#[test]
fn pushed_plans_have_starts_within_outages_and_drains_before() {
    for plan in plans().into_iter().filter(|plan| plan.pushed) {
        let cut_off = Event::Discovery(DiscoveryCondition::AgentCutOff);
        let outages = plan.events.iter().filter(|scheduled| scheduled.event == cut_off);
        let is_played = outages.map(|outage| outage.at).any(|outage| {
            let killed_before = |drained: Duration| {
                plan.events.iter().any(|scheduled| match scheduled.event {
                    Event::KillFor(_, down) => scheduled.at < drained && scheduled.at + down > outage,
                    _ => false,
                })
            };
            plan.events.iter().any(|scheduled| {
                matches!(scheduled.event, Event::Drain(_))
                    && scheduled.at < outage
                    && killed_before(scheduled.at)
            })
        });
        assert!(is_played, "seed {}", plan.seed);
    }
}
