//! What a soak prints: a line a run, and of one that fails its timeline and the command that plays it again.

use super::Arguments;
use super::oracle::Breach;
use super::plan::Plan;
use super::records::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Breaks that are printed of one run; the others are counted.
const BREACHES_SHOWN: usize = 12;

/// One line for a run.
pub fn line(plan: &Plan, records: &Records, breaches: &[Breach]) -> String {
    let ended = |wanted: fn(&RequestEnd) -> bool| {
        records.requests.iter().filter(|request| wanted(&request.end)).count()
    };
    let polls = records.polls;
    let all = polls.answered.count + polls.turned_away + polls.failed;
    let goodput = if all == 0 { 1.0 } else { polls.answered.count as f64 / all as f64 };
    let expiries: u64 = records.members.iter().map(|member| member.expiries).sum();
    format!(
        "seed {}: {} processes in {} places, {} requests, {} served, {} refused, {} failed, {} left; {} attempts; polls {} \
         answered, {} turned away, {} in outages (goodput {goodput:.2}); lists expired {expiries} times; stand-ins late by \
         {:?} at most; {} breaches\n",
        plan.seed,
        records.members.len(),
        plan.members,
        records.requests.len(),
        ended(|end| matches!(end, RequestEnd::Answered { status: 200, .. })),
        ended(|end| matches!(end, RequestEnd::Answered { status: 429 | 503, .. })),
        ended(|end| matches!(end, RequestEnd::Answered { status: 400..=502, .. })),
        ended(|end| *end == RequestEnd::Left),
        records.attempts.len(),
        polls.answered.count,
        polls.turned_away,
        polls.failed,
        records.lateness,
        breaches.len(),
    )
}

/// What is to be known of a run that failed.
pub fn failure(plan: &Plan, records: &Records, breaches: &[Breach], arguments: &Arguments) -> String {
    let mut text = String::from("timeline (steps count from the moment at which all processes serve):\n");
    // Writing to a string does not fail.
    let _ = write!(text, "{plan}");
    for member in &records.members {
        let seconds = |moment: Option<Moment>| moment.map(|moment| moment.as_secs_f64());
        let _ = writeln!(
            text,
            "  {} from {:.3}, told to stop {:.3?}, ended {:.3?}",
            member.name,
            member.started.as_secs_f64(),
            seconds(member.terminated),
            seconds(member.killed)
        );
    }
    let mut by_invariant: BTreeMap<String, usize> = BTreeMap::new();
    breaches
        .iter()
        .for_each(|breach| *by_invariant.entry(format!("{:?}", breach.invariant)).or_default() += 1);
    let _ = writeln!(text, "broken, by invariant: {by_invariant:?}");
    for breach in breaches.iter().take(BREACHES_SHOWN) {
        let _ = writeln!(text, "  {breach}");
    }
    let short = if arguments.short { " --short" } else { "" };
    let _ =
        writeln!(text, "play it again: cottonpoint-lab soak --seed {}{short} --logs soak-logs", plan.seed);
    text
}
