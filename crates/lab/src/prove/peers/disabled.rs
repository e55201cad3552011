//! Claims that must fail when the part of the protocol that they rest on is disabled.

use super::*;

/// Checks that claims fail when the part of the protocol that they rest on is disabled.
pub(super) fn check_disabled_parts(short: bool) -> Vec<Claim> {
    let (n, seeds) = (10, if short { 20 } else { 100 });
    let fleets = Fleets::new(n, seeds, 0);
    let fails = |part: &str, claim: &str, measured: String, kept: bool| {
        Claim::new(format!("without {part}: {claim}, {n} members"), "fails", measured, !kept)
    };
    let lost = |part: &str, disabled| {
        let loss = fleets.loss(0.1, Some(disabled));
        let measured = format!("{} deaths in {} member-periods", loss.deaths, loss.member_periods);
        fails(part, "no live member is held dead at 10% loss", measured, loss.deaths == 0)
    };
    let suspected = {
        let loss = fleets.loss(0.1, Some(Disabled::IndirectProbes));
        let share = loss.suspicions as f64 / loss.member_periods as f64;
        let kept = share <= MAX_SUSPICION_RATIO * expected_suspicions(n, 0.1);
        let measured = format!("{:.1} of 1000 member-periods", 1000.0 * share);
        fails("pings through others", "suspicions at 10% loss keep their bound", measured, kept)
    };
    let dead_times =
        fleets.for_each_fleet(|fleet| experiments::one_way_cut(fleet, Some(Disabled::Refutation)));
    let dead_time = quantile(&dead_times, 1.0);
    let round = bound_nanos(bounds::refutation_round, n);
    let healed: Vec<u64> = fleets
        .split(n / 2, Some(Disabled::DeadMemberProbes))
        .iter()
        .map(|split| split.agreed_after)
        .collect();
    let falsely_dead: usize =
        fleets.stop(120, Some(Disabled::StallDetection)).iter().map(|stop| stop.falsely_dead).sum();
    let never = healed.iter().filter(|time| **time == NEVER).count();
    let never = format!("{never} of {seeds} never agree");
    let kept = quantile(&healed, 1.0) <= agreement_bound(n);
    vec![
        lost("contradiction", Disabled::Refutation),
        fails(
            "contradiction",
            "held dead for no longer than a round, links cut one way",
            format_periods(dead_time),
            dead_time <= round,
        ),
        suspected,
        fails("knocks", "all agree after an even split has healed", never, kept),
        fails(
            "the look at its own lateness",
            "nobody is held dead by one that stood still for 60 T",
            format!("{falsely_dead} times in {seeds} runs"),
            falsely_dead == 0,
        ),
    ]
}
