//! The experiments behind the claims about the membership protocol: each takes a fleet whose
//! members agree, applies faults to a copy of it, and returns what was measured.

use super::setup::{Operation, Setup};
use super::{Disabled, Fleet};
use crate::draw::{Purpose, RandomStream};
use crate::rig::links::{Faults, LinkChange};
use cottonpoint_peers::{MemberState, PartitionStatus, bounds};
use std::time::Duration;

/// The protocol period of all experiments, in nanoseconds.
pub const T: u64 = 1_000_000_000;
const PERIOD: Duration = Duration::from_nanos(T);
/// Resolutions of the clocks in microseconds, one of which is chosen by the seed: a microsecond, a
/// millisecond, and the coarsest in use (64 ticks per second).
const CLOCK_RESOLUTIONS_US: [u64; 3] = [1, 1_000, 15_625];
/// The time of an event that did not happen.
pub const NEVER: u64 = u64::MAX;

/// The value of a formula of [`bounds`] for `n` members, in nanoseconds.
pub fn bound_nanos(formula: fn(usize, Duration) -> Duration, n: usize) -> u64 {
    formula(n, PERIOD).as_nanos() as u64
}

/// The time within which all members have to agree after a heal, a restart or a start: 3 T and
/// dissemination.
pub fn agreement_bound(n: usize) -> u64 {
    3 * T + bound_nanos(bounds::dissemination, n)
}

/// Creates a fleet whose processes start within one period. Returns it with the time from the last
/// start until all members agreed.
pub fn start_fleet(n: usize, seed: u64) -> (Fleet, u64) {
    let mut setup = Setup::new(n, seed);
    setup.tick = Duration::from_micros(CLOCK_RESOLUTIONS_US[seed as usize % CLOCK_RESOLUTIONS_US.len()]);
    let mut fleet = Fleet::new(setup);
    fleet.start_all(0, T);
    fleet.run_until(T);
    let agreed = fleet.run_until_agreed(T / 4, 4 * agreement_bound(n));
    // Updates about the start are no longer sent by then.
    fleet.run_until(fleet.now() + bound_nanos(bounds::dissemination, n));
    (fleet, agreed.map_or(NEVER, |at| at - T))
}

/// Copies a fleet and records the views of the copy. Returns it with the random draws of that
/// experiment.
fn observed_copy(base: &Fleet, experiment: u64, disabled: Option<Disabled>) -> (Fleet, RandomStream) {
    let mut fleet = base.clone();
    let now = fleet.now();
    fleet.schedule(now, Operation::RecordViews(true));
    if let Some(disabled) = disabled {
        fleet.schedule(now, Operation::Disable(disabled));
    }
    let draw = RandomStream::new(base.setup().seed, Purpose::Troubles, experiment);
    (fleet, draw)
}

/// The time from `from` to the last change in what running members hold of members other than
/// themselves; [`NEVER`] if they do not agree in the end.
fn settled_after(fleet: &Fleet, from: u64) -> u64 {
    if !fleet.agreed() {
        return NEVER;
    }
    fleet.log().last_change(from, |change| change.observer != change.subject) - from
}

/// Crashes one process. Returns the time until each other member held it as dead.
pub fn crash_detection_times(base: &Fleet, experiment: u64) -> Vec<u64> {
    let (mut fleet, mut draw) = observed_copy(base, experiment, None);
    let n = base.setup().members;
    let (victim, at) = (draw.index_below(n), fleet.now() + (draw.uniform() * T as f64) as u64);
    fleet.schedule(at, Operation::Crash(victim));
    fleet.run_until(at + bound_nanos(bounds::known_to_all, n) * 3 / 2);
    let mut known = vec![NEVER; n];
    for change in fleet.log().changes.iter().filter(|change| change.subject == victim) {
        known[change.observer] = if change.after.is_dead() { change.at - at } else { NEVER };
    }
    known.swap_remove(victim);
    known
}

/// The result of packet loss on all links.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossOutcome {
    /// Number of members times number of periods.
    pub member_periods: u64,
    /// Number of times a member suspected another after its own probe.
    pub suspicions: u64,
    /// Number of times a member declared another dead itself.
    pub deaths: u64,
}

/// Loses a share of the packets on all links for `periods` periods.
pub fn packet_loss(base: &Fleet, share: f64, periods: u64, disabled: Option<Disabled>) -> LossOutcome {
    let (mut fleet, _) = observed_copy(base, 1, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    let faults = Faults { loss: share, ..base.setup().faults };
    fleet.schedule(now, Operation::RecordViews(false));
    fleet.schedule(now, Operation::Links(LinkChange::All(faults)));
    fleet.run_until(now + periods * T);
    let (mut before, mut after) = ((0, 0), (0, 0));
    for i in 0..n {
        before = (before.0 + base.counts(i).suspicions, before.1 + base.counts(i).deaths);
        after = (after.0 + fleet.counts(i).suspicions, after.1 + fleet.counts(i).deaths);
    }
    LossOutcome {
        member_periods: n as u64 * periods,
        suspicions: after.0 - before.0,
        deaths: after.1 - before.1,
    }
}

/// Cuts the links between one member and nearly half of the others, in one direction or both by
/// seed, and loses one packet in ten on all links. Returns the longest time for which a member held
/// the first one as dead.
pub fn one_way_cut(base: &Fleet, disabled: Option<Disabled>) -> u64 {
    let (mut fleet, mut draw) = observed_copy(base, 2, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    let victim = draw.index_below(n);
    // With the members left it is in a majority: at least n / 2 + 1.
    let cut: Vec<usize> = (1..n - n / 2).map(|i| (victim + i) % n).collect();
    let faults = Faults { loss: 0.1, ..base.setup().faults };
    fleet.schedule(now, Operation::Links(LinkChange::All(faults)));
    match base.setup().seed % 3 {
        0 => fleet.schedule(now, Operation::Links(LinkChange::CutOneWay(cut, vec![victim]))),
        1 => fleet.schedule(now, Operation::Links(LinkChange::CutOneWay(vec![victim], cut))),
        _ => fleet.schedule(now, Operation::Links(LinkChange::Split(vec![victim], cut))),
    }
    let end = now + 2 * bound_nanos(bounds::known_to_all, n);
    fleet.run_until(end);
    let dead = fleet.log().dead_intervals(end);
    dead.iter().filter(|dead| dead.subject == victim).map(|dead| dead.to - dead.from).max().unwrap_or(0)
}

/// The result of a network split and its heal.
#[derive(Clone, Debug)]
pub struct SplitOutcome {
    /// The time from the split until the last member reported the correct partition status for
    /// good.
    pub partition_known_after: u64,
    /// The time from the heal until all members agreed for good.
    pub agreed_after: u64,
    /// Number of pairs that disagreed, for each quarter of a period after the heal.
    pub disagreements: Vec<usize>,
}

/// Splits the members at random into `first_side_members` of them and the rest, and heals the split
/// after the time within which each crash would be known to all.
pub fn split_and_heal(base: &Fleet, first_side_members: usize, disabled: Option<Disabled>) -> SplitOutcome {
    let (mut fleet, mut draw) = observed_copy(base, 3, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    let mut order: Vec<usize> = (0..n).collect();
    (1..n).for_each(|i| order.swap(i, draw.index_below(i + 1)));
    let (first, second) = order.split_at(first_side_members);
    fleet.schedule(now, Operation::Links(LinkChange::Split(first.to_vec(), second.to_vec())));
    let heal = now + bound_nanos(bounds::known_to_all, n) + 10 * T;
    fleet.run_until(heal);
    let lowest_id_member = fleet.lowest_id_member();
    let expected_status = |side: &[usize]| match (2 * side.len()).cmp(&n) {
        std::cmp::Ordering::Greater => PartitionStatus::Majority,
        std::cmp::Ordering::Equal if side.contains(&lowest_id_member) => PartitionStatus::Majority,
        _ => PartitionStatus::Minority,
    };
    let statuses_correct = [first, second]
        .iter()
        .all(|side| side.iter().all(|i| fleet.partition_status(*i) == Some(expected_status(side))));
    let last = fleet.log().partitions.iter().filter(|(at, ..)| *at >= now).map(|(at, ..)| at - now).max();
    let partition_known_after = last.filter(|_| statuses_correct).unwrap_or(NEVER);
    fleet.schedule(heal, Operation::Links(LinkChange::Heal));
    let mut disagreements = Vec::new();
    for step in 0..4 * agreement_bound(n) / T {
        fleet.run_until(heal + step * T / 4);
        disagreements.push(fleet.disagreements());
    }
    SplitOutcome { partition_known_after, agreed_after: settled_after(&fleet, heal), disagreements }
}

/// The result of paused processes.
#[derive(Clone, Copy, Debug)]
pub struct PauseOutcome {
    /// Number of times that a member held one as dead that was not paused.
    pub falsely_dead: usize,
    /// The time from the resumption until all members agreed.
    pub agreed_after: u64,
}

/// Pauses one member in five for `time`.
pub fn pause_members(base: &Fleet, time: u64, disabled: Option<Disabled>) -> PauseOutcome {
    let (mut fleet, mut draw) = observed_copy(base, 4, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    let (first, count) = (draw.index_below(n), (n / 5).max(1));
    let paused: Vec<usize> = (0..count).map(|i| (first + i) % n).collect();
    let from = now + (draw.uniform() * T as f64) as u64;
    for i in &paused {
        fleet.schedule(from, Operation::Pause(*i));
        fleet.schedule(from + time, Operation::Resume(*i));
    }
    let end = from + time + 2 * agreement_bound(n) + 2 * T;
    fleet.run_until(end);
    let falsely_dead =
        fleet.log().dead_intervals(end).iter().filter(|dead| !paused.contains(&dead.subject)).count();
    PauseOutcome { falsely_dead, agreed_after: settled_after(&fleet, from + time) }
}

/// Cuts and heals all links of one member in turn, each for one and a half periods, for sixty
/// periods. Returns how often any member was held as dead, and the time from the last heal until
/// all members agreed.
pub fn flap_links(base: &Fleet) -> (usize, u64) {
    let (mut fleet, mut draw) = observed_copy(base, 5, None);
    let (n, now) = (base.setup().members, fleet.now());
    let victim = draw.index_below(n);
    let others: Vec<usize> = (0..n).filter(|i| *i != victim).collect();
    for turn in 0..20 {
        let at = now + turn * 3 * T;
        fleet.schedule(at, Operation::Links(LinkChange::Split(vec![victim], others.clone())));
        fleet.schedule(at + 3 * T / 2, Operation::Links(LinkChange::Heal));
    }
    let last_heal = now + 60 * T - 3 * T / 2;
    fleet.run_until(last_heal + 2 * agreement_bound(n));
    (fleet.log().dead_intervals(fleet.now()).len(), settled_after(&fleet, last_heal))
}

/// Crashes a process and starts a new one at its address after `gap`. Returns the time from the
/// start until all members hold the new process, and no member twice.
pub fn restart_member(base: &Fleet, gap: u64) -> u64 {
    let (mut fleet, mut draw) = observed_copy(base, 6, None);
    let (n, now) = (base.setup().members, fleet.now());
    let victim = draw.index_below(n);
    fleet.schedule(now, Operation::Crash(victim));
    fleet.schedule(now + gap, Operation::Start(victim));
    fleet.run_until(now + gap + 3 * agreement_bound(n));
    let one_each = (0..n).all(|i| fleet.view(i).is_some_and(|view| view.members.len() == n));
    if one_each { settled_after(&fleet, now + gap) } else { NEVER }
}

/// Ends all processes at the same time and starts them in random order within a time. Returns the
/// time from the last start until all members agree.
pub fn restart_fleet(base: &Fleet, within: u64, disabled: Option<Disabled>) -> u64 {
    let (mut fleet, _) = observed_copy(base, 7, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    (0..n).for_each(|i| fleet.schedule(now, Operation::Crash(i)));
    fleet.start_all(now, within);
    fleet.run_until(now + within);
    let end = now + within + 4 * agreement_bound(n);
    fleet.run_until_agreed(T / 4, end).map_or(NEVER, |at| at - now - within)
}

/// Bytes per second that members send while nothing happens but packet loss: the mean and the
/// maximum.
pub fn sending_rates(base: &Fleet, loss: f64) -> (f64, f64) {
    let mut fleet = base.clone();
    let (n, now) = (base.setup().members, fleet.now());
    fleet.schedule(now, Operation::Links(LinkChange::All(Faults { loss, ..base.setup().faults })));
    // Updates about the start are no longer sent by then: each is repeated as often as its limit
    // allows, at least 13 fit into a packet, and a member sends two packets per period.
    let from = now + n as u64 * bound_nanos(bounds::dissemination, n) / 26;
    fleet.run_until(from);
    let before: Vec<u64> = (0..n).map(|i| fleet.sent(i).1).collect();
    fleet.run_until(from + 60 * T);
    let rates: Vec<f64> = (0..n).map(|i| (fleet.sent(i).1 - before[i]) as f64 / 60.0).collect();
    (rates.iter().sum::<f64>() / n as f64, rates.iter().copied().fold(0.0, f64::max))
}

/// What each member holds of each other in the end: its state and the boot id of its process.
type Views = Vec<Vec<(Option<MemberState>, u64)>>;

/// Applies a crash, a restart, a paused process, a leave, and a split with its heal, while a share
/// of all packets is replayed after a delay. Returns all views in the end, and the longest time for
/// which a member was held as dead that was not itself disturbed.
pub fn mixed_faults(base: &Fleet, replay_share: f64) -> (Views, u64) {
    let (mut fleet, _) = observed_copy(base, 8, None);
    let (n, now) = (base.setup().members, fleet.now());
    fleet.schedule(now, Operation::Replay(replay_share, Duration::from_secs(20)));
    fleet.schedule(now + 5 * T, Operation::Crash(0));
    fleet.schedule(now + 10 * T, Operation::Start(0));
    fleet.schedule(now + 40 * T, Operation::Pause(1));
    fleet.schedule(now + 55 * T, Operation::Resume(1));
    let (one_side, other_side) = ((0..n / 3).collect(), (n / 3..n).collect());
    fleet.schedule(now + 90 * T, Operation::Links(LinkChange::Split(one_side, other_side)));
    let heal = now + 100 * T + bound_nanos(bounds::known_to_all, n);
    fleet.schedule(heal, Operation::Links(LinkChange::Heal));
    fleet.schedule(heal + 60 * T, Operation::Leave(2));
    fleet.schedule(heal + 90 * T, Operation::Crash(n - 1));
    fleet.schedule(heal + 140 * T + bound_nanos(bounds::known_to_all, n), Operation::RecordViews(false));
    let end = heal + 150 * T + bound_nanos(bounds::known_to_all, n);
    fleet.run_until(end);
    let views_of = |i| fleet.member_views(i).iter().map(|view| (view.state, view.boot)).collect();
    // Leaves out the split, during which each side rightly holds the other as dead, and the members
    // that were disturbed.
    let outside_split = |at: u64| at < now + 90 * T || at > heal + agreement_bound(n);
    let disturbed = [0, 1, 2, n - 1];
    let dead = fleet.log().dead_intervals(end);
    let falsely_dead =
        dead.iter().filter(|dead| outside_split(dead.from) && !disturbed.contains(&dead.subject));
    let longest = falsely_dead.map(|dead| dead.to - dead.from).max().unwrap_or(0);
    ((0..n).map(views_of).collect(), longest)
}
