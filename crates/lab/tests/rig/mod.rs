//! What tests of fleets share: a fleet of the built program, and the bounds that it is held to.

use cottonpoint_lab::rig::fleet::{Fleet, Terms};
use cottonpoint_lab::rig::view::{Part, Seen, Standing};
use cottonpoint_lab::rig::watch::{quantile, until};
use cottonpoint_peers::bounds;
use std::time::{Duration, Instant};

/// The least that the program takes.
pub const PERIOD: Duration = Duration::from_millis(200);
/// For processes that wait for a processor, and for the rounds of questions.
pub const SLACK: Duration = Duration::from_secs(2);

/// A fleet of which nobody runs yet.
pub fn fleet(members: usize, seed: u64) -> Fleet {
    let program = env!("CARGO_BIN_EXE_cottonpoint-lab").into();
    Fleet::new(Terms { members, seed, period: PERIOD, program, extra: String::new() }).expect("a fleet")
}

/// A fleet that runs, in which each knows all.
pub fn whole(members: usize, seed: u64) -> Fleet {
    let mut fleet = fleet(members, seed);
    fleet.start_all().expect("it starts");
    let joined = all_agree(&fleet);
    println!("{members} members: joined by one seed after {:?} at most", quantile(&joined, 1.0));
    fleet
}

/// All members.
pub fn everyone(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.size()).collect()
}

/// All members but those.
pub fn others(fleet: &Fleet, but: &[usize]) -> Vec<usize> {
    (0..fleet.size()).filter(|member| !but.contains(member)).collect()
}

/// The time in which all agree once nothing stands between them any more.
pub fn agreement(fleet: &Fleet) -> Duration {
    3 * PERIOD + bounds::dissemination(fleet.size(), PERIOD) + SLACK
}

/// Whether so many are there and nobody is missed.
pub fn is_whole(seen: &Seen, members: usize) -> bool {
    seen.part == Part::Whole && seen.how_many(Standing::Reachable) == members
}

/// Waits until each of `who` sees all of them reachable and misses nobody, and says when each did.
pub fn agree(fleet: &Fleet, who: &[usize]) -> Vec<Duration> {
    let whole = |_, seen: &Seen| is_whole(seen, who.len());
    until(fleet, who, Instant::now(), agreement(fleet), whole).expect("all agree")
}

/// The same for the whole fleet.
pub fn all_agree(fleet: &Fleet) -> Vec<Duration> {
    agree(fleet, &everyone(fleet))
}

/// What members have counted under a name, in sum.
pub fn counted(fleet: &Fleet, who: &[usize], name: &str) -> u64 {
    let of = |&member: &usize| fleet.view(member).expect("an answer").count(name).expect("a count");
    who.iter().map(of).sum()
}

/// Waits until each of `who` holds all of `whom` so, within a time.
pub fn held(
    fleet: &Fleet,
    who: &[usize],
    whom: &[usize],
    standing: Standing,
    limit: Duration,
) -> Vec<Duration> {
    let all = |_, seen: &Seen| whom.iter().all(|&m| seen.standing(fleet.name(m)) == Some(standing));
    until(fleet, who, Instant::now(), limit, all).expect("all hold it so")
}

/// The bound for a crash or a cut, in which nobody may be spared by luck.
pub fn known_to_all(fleet: &Fleet) -> Duration {
    bounds::known_to_all(fleet.size(), PERIOD) + SLACK
}

/// Whether nobody holds a member dead for longer than it takes a live one to contradict.
pub fn refuted_in_time(fleet: &Fleet, seen: &Seen) -> bool {
    let round = bounds::refutation_round(fleet.size(), PERIOD) + SLACK;
    let too_long = |since_ms| Duration::from_millis(since_ms) > round;
    seen.members.iter().all(|held| held.standing != Standing::LastKnown || !too_long(held.since_ms))
}
