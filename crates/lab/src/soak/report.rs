//! The output of a soak: one line per run and, for a run that fails, its timeline and the command
//! that repeats it.

use super::Arguments;
use super::oracle::Violation;
use super::plan::Plan;
use super::records::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of violations of one run that are printed in full; the others are only counted.
const VIOLATIONS_SHOWN: usize = 12;

/// The summary line of a run.
pub fn summary_line(plan: &Plan, records: &Records, violations: &[Violation]) -> String {
    let ended = |wanted: fn(&RequestEnd) -> bool| {
        records.requests.iter().filter(|request| wanted(&request.end)).count()
    };
    let polls = records.polls;
    let all = polls.answered.count + polls.rejected + polls.failed;
    let goodput = if all == 0 { 1.0 } else { polls.answered.count as f64 / all as f64 };
    let orders = records.orders.iter().filter(|order| order.confirmed.is_some()).count();
    let (long, returned) = (records.pressure.exchanges.len(), records.pressure.returned_ids.len());
    let peak_mb = records.members.iter().map(|member| member.peak_kb >> 10).max().unwrap_or_default();
    let limit_mb = plan.memory_mb;
    let list_expiries: u64 = records.members.iter().map(|member| member.list_expiries).sum();
    format!(
        "seed {}: {} processes of {} members, {} requests, {} served, {} refused, {} failed, {} left; {} attempts; polls {} \
         answered, {} rejected, {} in outages (goodput {goodput:.2}); lists expired {list_expiries} times; {orders} orders; \
         {long} long messages, {returned} ids returned, peak {peak_mb} MB of {limit_mb} MB for two processes; \
         stand-ins late by {:?} at most; {} breaches\n",
        plan.seed,
        records.members.len(),
        plan.members,
        records.requests.len(),
        ended(|end| matches!(end, RequestEnd::Answered { status: 200, .. })),
        ended(|end| matches!(end, RequestEnd::Answered { status: 429 | 503, .. })),
        ended(|end| matches!(end, RequestEnd::Answered { status: 400..=502, .. })),
        ended(|end| *end == RequestEnd::Disconnected),
        records.attempts.len(),
        polls.answered.count,
        polls.rejected,
        polls.failed,
        records.timer_lateness,
        violations.len(),
    )
}

/// The details of a failed run.
pub fn failure_details(
    plan: &Plan,
    records: &Records,
    violations: &[Violation],
    arguments: &Arguments,
) -> String {
    let mut text = String::from(
        "timeline (event times count from when all processes serve, others from the start):\n",
    );
    // Writing to a string does not fail.
    let _ = write!(text, "{plan}");
    for member in &records.members {
        let seconds = |time: Option<Timestamp>| time.map(|time| time.as_secs_f64());
        let _ = writeln!(
            text,
            "  {} started {:.3}, SIGTERM {:.3?}, ended {:.3?}",
            member.name,
            member.started.as_secs_f64(),
            seconds(member.terminated),
            seconds(member.killed)
        );
    }
    let mut by_invariant: BTreeMap<String, usize> = BTreeMap::new();
    violations
        .iter()
        .for_each(|violation| *by_invariant.entry(format!("{:?}", violation.invariant)).or_default() += 1);
    let _ = writeln!(text, "violations by invariant: {by_invariant:?}");
    for violation in violations.iter().take(VIOLATIONS_SHOWN) {
        let _ = writeln!(text, "  {violation}");
    }
    let short = if arguments.short { " --short" } else { "" };
    let _ =
        writeln!(text, "play it again: cottonpoint-lab soak --seed {}{short} --logs soak-logs", plan.seed);
    text
}
