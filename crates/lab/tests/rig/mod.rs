//! Shared by the tests of fleets: starts fleets of the built program and gives the time bounds that
//! they must meet.

use cottonpoint_lab::rig::fleet::{Fleet, FleetOptions};
use cottonpoint_lab::rig::view::{FleetView, MemberState, PartitionStatus};
use cottonpoint_lab::rig::watch::{quantile, wait_until_all};
use cottonpoint_peers::bounds;
use std::time::{Duration, Instant};

/// The shortest protocol period that the program accepts.
pub const PERIOD: Duration = Duration::from_millis(200);
/// Allowance for processes that wait for a processor and for the time that a round of polls takes.
pub const SLACK: Duration = Duration::from_secs(2);

/// A fleet of which no member is running yet.
pub fn stopped_fleet(members: usize, seed: u64) -> Fleet {
    let program = env!("CARGO_BIN_EXE_cottonpoint-lab").into();
    Fleet::new(FleetOptions { members, seed, period: PERIOD, program, operator_extra: String::new() })
        .expect("the fleet is set up")
}

/// A running fleet in which every member sees all others as reachable.
pub fn running_fleet(members: usize, seed: u64) -> Fleet {
    let mut fleet = stopped_fleet(members, seed);
    fleet.start_all().expect("the fleet starts");
    let joined = wait_for_full_agreement(&fleet);
    println!("{members} members: joined through one seed within {:?}", quantile(&joined, 1.0));
    fleet
}

/// All members.
pub fn all_members(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.size()).collect()
}

/// All members except those in `excluded`.
pub fn other_members(fleet: &Fleet, excluded: &[usize]) -> Vec<usize> {
    (0..fleet.size()).filter(|member| !excluded.contains(member)).collect()
}

/// The time within which all members must agree once no fault separates them any more.
pub fn agreement_bound(fleet: &Fleet) -> Duration {
    3 * PERIOD + bounds::dissemination(fleet.size(), PERIOD) + SLACK
}

/// Whether the view has `members` reachable members and misses none.
pub fn is_whole(view: &FleetView, members: usize) -> bool {
    view.partition == PartitionStatus::Whole && view.count_in(MemberState::Reachable) == members
}

/// Waits until each of `members` sees all of them as reachable and misses none. Returns when each
/// did.
pub fn wait_for_agreement(fleet: &Fleet, members: &[usize]) -> Vec<Duration> {
    let whole = |_, view: &FleetView| is_whole(view, members.len());
    wait_until_all(fleet, members, Instant::now(), agreement_bound(fleet), whole).expect("all agree")
}

/// Like [`wait_for_agreement`], for the whole fleet.
pub fn wait_for_full_agreement(fleet: &Fleet) -> Vec<Duration> {
    wait_for_agreement(fleet, &all_members(fleet))
}

/// The sum of a counter over members.
pub fn counter_sum(fleet: &Fleet, members: &[usize], name: &str) -> u64 {
    let counter = |&member: &usize| {
        fleet.view(member).expect("the console answers").counter(name).expect("the counter exists")
    };
    members.iter().map(counter).sum()
}

/// Waits until each of `observers` sees all of `subjects` in the given state.
pub fn wait_for_state(
    fleet: &Fleet,
    observers: &[usize],
    subjects: &[usize],
    state: MemberState,
    limit: Duration,
) -> Vec<Duration> {
    let all = |_, view: &FleetView| subjects.iter().all(|&m| view.state_of(fleet.name(m)) == Some(state));
    wait_until_all(fleet, observers, Instant::now(), limit, all).expect("all observers see the state")
}

/// The bound on the time until all members know of a crash or a cut, without any member being saved
/// by chance.
pub fn detection_bound(fleet: &Fleet) -> Duration {
    bounds::known_to_all(fleet.size(), PERIOD) + SLACK
}

/// Whether the view considers no member dead for longer than a live member may take to refute it.
pub fn dead_members_refute_in_time(fleet: &Fleet, view: &FleetView) -> bool {
    let round = bounds::refutation_round(fleet.size(), PERIOD) + SLACK;
    let too_long = |since_ms| Duration::from_millis(since_ms) > round;
    view.members.iter().all(|member| member.state != MemberState::LastKnown || !too_long(member.since_ms))
}
