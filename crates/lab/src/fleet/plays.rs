//! What is played for the claims on the membership plane: each play takes a fleet that has come to agree, does one
//! thing to a copy of it, and says what came of it.

use super::setup::{Do, Setup};
use super::{Disabled, Fleet};
use crate::draw::{Purpose, RandomStream};
use crate::rig::links::{Change, Faults};
use cottonpoint_peers::{MemberState, PartitionStatus, bounds};
use std::time::Duration;

/// The period of all plays, in nanoseconds.
pub const T: u64 = 1_000_000_000;
const PERIOD: Duration = Duration::from_nanos(T);
/// Clocks of the plays, by seed: of a microsecond, a millisecond, and the coarsest in use (64 ticks a second).
const TICKS: [u64; 3] = [1, 1_000, 15_625];
/// A time that never came.
pub const NEVER: u64 = u64::MAX;

/// A formula's bound for so many members, in nanoseconds.
pub fn bound_nanos(formula: fn(usize, Duration) -> Duration, n: usize) -> u64 {
    formula(n, PERIOD).as_nanos() as u64
}

/// 3 T and dissemination: what a fleet has to agree after a heal, a restart or a start.
pub fn agreement_bound(n: usize) -> u64 {
    3 * T + bound_nanos(bounds::dissemination, n)
}

/// A fleet that started within one period, and the time from the last start until all agreed.
pub fn started(n: usize, seed: u64) -> (Fleet, u64) {
    let mut setup = Setup::new(n, seed);
    setup.tick = Duration::from_micros(TICKS[seed as usize % TICKS.len()]);
    let mut fleet = Fleet::new(setup);
    fleet.start_all(0, T);
    fleet.run(T);
    let agreed = fleet.run_until_agreed(T / 4, 4 * agreement_bound(n));
    // News of the start has gone by then.
    fleet.run(fleet.now() + bound_nanos(bounds::dissemination, n));
    (fleet, agreed.map_or(NEVER, |at| at - T))
}

/// A copy whose views are recorded, with its draws for that play.
fn observed_copy(base: &Fleet, play: u64, disabled: Option<Disabled>) -> (Fleet, RandomStream) {
    let mut fleet = base.clone();
    let now = fleet.now();
    fleet.at(now, Do::Watch(true));
    if let Some(disabled) = disabled {
        fleet.at(now, Do::Disable(disabled));
    }
    let draw = RandomStream::new(base.setup().seed, Purpose::Troubles, play);
    (fleet, draw)
}

/// The time from a moment to the last change that members which run made to what they hold of members other than
/// themselves; [`NEVER`] if they are astray in the end.
fn settled_after(fleet: &Fleet, from: u64) -> u64 {
    if !fleet.agreed() {
        return NEVER;
    }
    fleet.log().last(from, |change| change.by != change.of) - from
}

/// A process ends without a word: the times until each other member held it dead.
pub fn crash(base: &Fleet, play: u64) -> Vec<u64> {
    let (mut fleet, mut draw) = observed_copy(base, play, None);
    let n = base.setup().members;
    let (victim, at) = (draw.index_below(n), fleet.now() + (draw.uniform() * T as f64) as u64);
    fleet.at(at, Do::Crash(victim));
    fleet.run(at + bound_nanos(bounds::known_to_all, n) * 3 / 2);
    let mut known = vec![NEVER; n];
    for change in fleet.log().changes.iter().filter(|change| change.of == victim) {
        known[change.by] = if change.now.dead() { change.at - at } else { NEVER };
    }
    known.swap_remove(victim);
    known
}

/// What came of loss on all links.
#[derive(Clone, Copy, Debug, Default)]
pub struct Loss {
    /// Members times periods.
    pub member_periods: u64,
    /// Times a member suspected another by its own probe.
    pub suspicions: u64,
    /// Times a member held another dead by its own word.
    pub deaths: u64,
}

/// Loss on all links for some periods.
pub fn loss(base: &Fleet, share: f64, periods: u64, disabled: Option<Disabled>) -> Loss {
    let (mut fleet, _) = observed_copy(base, 1, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    let faults = Faults { loss: share, ..base.setup().faults };
    fleet.at(now, Do::Watch(false));
    fleet.at(now, Do::Links(Change::All(faults)));
    fleet.run(now + periods * T);
    let (mut before, mut after) = ((0, 0), (0, 0));
    for i in 0..n {
        before = (before.0 + base.counts(i).suspicions, before.1 + base.counts(i).deaths);
        after = (after.0 + fleet.counts(i).suspicions, after.1 + fleet.counts(i).deaths);
    }
    Loss { member_periods: n as u64 * periods, suspicions: after.0 - before.0, deaths: after.1 - before.1 }
}

/// The links between one member and nearly half of the others are cut, one way or both, and one packet in ten is lost
/// on all: the longest time for which anybody held that member dead.
pub fn one_way(base: &Fleet, disabled: Option<Disabled>) -> u64 {
    let (mut fleet, mut draw) = observed_copy(base, 2, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    let victim = draw.index_below(n);
    // With those left it is a majority: n / 2 + 1 at the least.
    let cut: Vec<usize> = (1..n - n / 2).map(|i| (victim + i) % n).collect();
    let faults = Faults { loss: 0.1, ..base.setup().faults };
    fleet.at(now, Do::Links(Change::All(faults)));
    match base.setup().seed % 3 {
        0 => fleet.at(now, Do::Links(Change::CutOneWay(cut, vec![victim]))),
        1 => fleet.at(now, Do::Links(Change::CutOneWay(vec![victim], cut))),
        _ => fleet.at(now, Do::Links(Change::Split(vec![victim], cut))),
    }
    let end = now + 2 * bound_nanos(bounds::known_to_all, n);
    fleet.run(end);
    let dead = fleet.log().dead_intervals(end);
    dead.iter().filter(|dead| dead.of == victim).map(|dead| dead.to - dead.from).max().unwrap_or(0)
}

/// What came of a split and its heal.
#[derive(Clone, Debug)]
pub struct Split {
    /// The time from the split until the last member named its part rightly for good.
    pub named: u64,
    /// The time from the heal until all agreed for good.
    pub healed: u64,
    /// Pairs astray, by quarters of a period after the heal.
    pub astray: Vec<usize>,
}

/// The members are split, one side of so many of them; after each crash would be known to all, the split heals.
pub fn split(base: &Fleet, one: usize, disabled: Option<Disabled>) -> Split {
    let (mut fleet, mut draw) = observed_copy(base, 3, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    let mut order: Vec<usize> = (0..n).collect();
    (1..n).for_each(|i| order.swap(i, draw.index_below(i + 1)));
    let (first, second) = order.split_at(one);
    fleet.at(now, Do::Links(Change::Split(first.to_vec(), second.to_vec())));
    let heal = now + bound_nanos(bounds::known_to_all, n) + 10 * T;
    fleet.run(heal);
    let lowest = fleet.lowest();
    let right = |side: &[usize]| match (2 * side.len()).cmp(&n) {
        std::cmp::Ordering::Greater => PartitionStatus::Majority,
        std::cmp::Ordering::Equal if side.contains(&lowest) => PartitionStatus::Majority,
        _ => PartitionStatus::Minority,
    };
    let rightly =
        [first, second].iter().all(|side| side.iter().all(|i| fleet.part(*i) == Some(right(side))));
    let last = fleet.log().parts.iter().filter(|(at, ..)| *at >= now).map(|(at, ..)| at - now).max();
    let named = last.filter(|_| rightly).unwrap_or(NEVER);
    fleet.at(heal, Do::Links(Change::Heal));
    let mut astray = Vec::new();
    for step in 0..4 * agreement_bound(n) / T {
        fleet.run(heal + step * T / 4);
        astray.push(fleet.astray());
    }
    Split { named, healed: settled_after(&fleet, heal), astray }
}

/// What came of processes that stood still.
#[derive(Clone, Copy, Debug)]
pub struct Stopped {
    /// Times that a member held one dead that never stood still.
    pub falsely_dead: usize,
    /// The time from when they went on until all agreed.
    pub agreed_after: u64,
}

/// One member in five stands still for a time.
pub fn stop(base: &Fleet, time: u64, disabled: Option<Disabled>) -> Stopped {
    let (mut fleet, mut draw) = observed_copy(base, 4, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    let (first, count) = (draw.index_below(n), (n / 5).max(1));
    let stopped: Vec<usize> = (0..count).map(|i| (first + i) % n).collect();
    let from = now + (draw.uniform() * T as f64) as u64;
    for i in &stopped {
        fleet.at(from, Do::Stop(*i));
        fleet.at(from + time, Do::Resume(*i));
    }
    let end = from + time + 2 * agreement_bound(n) + 2 * T;
    fleet.run(end);
    let falsely_dead =
        fleet.log().dead_intervals(end).iter().filter(|dead| !stopped.contains(&dead.of)).count();
    Stopped { falsely_dead, agreed_after: settled_after(&fleet, from + time) }
}

/// All links of one member go and come, each for one and a half periods, for sixty periods: the times that anybody
/// was held dead, and the time until all agreed after the end.
pub fn flap(base: &Fleet) -> (usize, u64) {
    let (mut fleet, mut draw) = observed_copy(base, 5, None);
    let (n, now) = (base.setup().members, fleet.now());
    let victim = draw.index_below(n);
    let others: Vec<usize> = (0..n).filter(|i| *i != victim).collect();
    for turn in 0..20 {
        let at = now + turn * 3 * T;
        fleet.at(at, Do::Links(Change::Split(vec![victim], others.clone())));
        fleet.at(at + 3 * T / 2, Do::Links(Change::Heal));
    }
    let over = now + 60 * T - 3 * T / 2;
    fleet.run(over + 2 * agreement_bound(n));
    (fleet.log().dead_intervals(fleet.now()).len(), settled_after(&fleet, over))
}

/// A process ends and a new one starts at its address after a time: how long after that all hold it, and nobody more.
pub fn restart(base: &Fleet, gap: u64) -> u64 {
    let (mut fleet, mut draw) = observed_copy(base, 6, None);
    let (n, now) = (base.setup().members, fleet.now());
    let victim = draw.index_below(n);
    fleet.at(now, Do::Crash(victim));
    fleet.at(now + gap, Do::Start(victim));
    fleet.run(now + gap + 3 * agreement_bound(n));
    let one_each = (0..n).all(|i| fleet.view(i).is_some_and(|view| view.members.len() == n));
    if one_each { settled_after(&fleet, now + gap) } else { NEVER }
}

/// All processes end at one instant and start again in any order within a time: how long after the last start all agree.
pub fn power_loss(base: &Fleet, within: u64, disabled: Option<Disabled>) -> u64 {
    let (mut fleet, _) = observed_copy(base, 7, disabled);
    let (n, now) = (base.setup().members, fleet.now());
    (0..n).for_each(|i| fleet.at(now, Do::Crash(i)));
    fleet.start_all(now, within);
    fleet.run(now + within);
    let end = now + within + 4 * agreement_bound(n);
    fleet.run_until_agreed(T / 4, end).map_or(NEVER, |at| at - now - within)
}

/// Bytes a second that members send while nothing happens but loss: the mean and the most.
pub fn bytes(base: &Fleet, loss: f64) -> (f64, f64) {
    let mut fleet = base.clone();
    let (n, now) = (base.setup().members, fleet.now());
    fleet.at(now, Do::Links(Change::All(Faults { loss, ..base.setup().faults })));
    // News of the start has gone by then: each of it rides as often as it may, 13 and more to a packet, two packets a
    // period.
    let from = now + n as u64 * bound_nanos(bounds::dissemination, n) / 26;
    fleet.run(from);
    let before: Vec<u64> = (0..n).map(|i| fleet.sent(i).1).collect();
    fleet.run(from + 60 * T);
    let rates: Vec<f64> = (0..n).map(|i| (fleet.sent(i).1 - before[i]) as f64 / 60.0).collect();
    (rates.iter().sum::<f64>() / n as f64, rates.iter().copied().fold(0.0, f64::max))
}

/// What each member holds of each in the end: how it stands, and its process.
type Views = Vec<Vec<(Option<MemberState>, u64)>>;

/// A crash, a restart, a process that stands still, a goodbye, a split and its heal, with a share of all packets sent
/// again after a time: all views in the end, and the longest time for which a member was held dead to which nothing was
/// done.
pub fn troubles(base: &Fleet, again: f64) -> (Views, u64) {
    let (mut fleet, _) = observed_copy(base, 8, None);
    let (n, now) = (base.setup().members, fleet.now());
    fleet.at(now, Do::Listen(again, Duration::from_secs(20)));
    fleet.at(now + 5 * T, Do::Crash(0));
    fleet.at(now + 10 * T, Do::Start(0));
    fleet.at(now + 40 * T, Do::Stop(1));
    fleet.at(now + 55 * T, Do::Resume(1));
    let (one, other) = ((0..n / 3).collect(), (n / 3..n).collect());
    fleet.at(now + 90 * T, Do::Links(Change::Split(one, other)));
    let heal = now + 100 * T + bound_nanos(bounds::known_to_all, n);
    fleet.at(heal, Do::Links(Change::Heal));
    fleet.at(heal + 60 * T, Do::Leave(2));
    fleet.at(heal + 90 * T, Do::Crash(n - 1));
    fleet.at(heal + 140 * T + bound_nanos(bounds::known_to_all, n), Do::Watch(false));
    let end = heal + 150 * T + bound_nanos(bounds::known_to_all, n);
    fleet.run(end);
    let held = |i| fleet.held(i).iter().map(|held| (held.standing, held.boot)).collect();
    // Without the split, in which each side is right to hold the other dead, and those to whom something was done.
    let whole = |at: u64| at < now + 90 * T || at > heal + agreement_bound(n);
    let troubled = [0, 1, 2, n - 1];
    let dead = fleet.log().dead_intervals(end);
    let falsely_dead = dead.iter().filter(|dead| whole(dead.from) && !troubled.contains(&dead.of));
    let longest = falsely_dead.map(|dead| dead.to - dead.from).max().unwrap_or(0);
    ((0..n).map(held).collect(), longest)
}
