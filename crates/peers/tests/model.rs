//! Model-checks the production state machine: three and four members, any one fault in each period
//! up to a limit on their number, then a fault-free phase.
//!
//! Within a period packets arrive in the order sent. The faults: one link loses everything, a
//! member can't send or can't receive, all packets arrive twice or a period late, old packets are
//! replayed, a process is killed or restarted. In addition some links may be cut in one direction
//! for good. One step of the model is one period.

mod common;

use common::{T, address, id, settings};
use cottonpoint_decide::Time;
use cottonpoint_peers::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The latency of each packet.
const DELAY: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// Everything sent from the first member to the second is lost.
    LinkLoss(usize, usize),
    Mute(usize),
    Deaf(usize),
    Duplicate,
    Delay,
    /// The packets of the first period are replayed.
    Replay,
    Kill(usize),
    /// A new process at the old address, without any remembered state.
    Restart(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Time,
    members: Vec<Option<Peers>>,
    wakes: Vec<Time>,
    in_flight: BTreeMap<(Time, u64), (usize, Packet)>,
    sent: u64,
    first_period_packets: Vec<(usize, Packet)>,
    /// Links that stay cut, as (from, to).
    cut_links: BTreeSet<(usize, usize)>,
    /// Faults still permitted, periods in which they are, and periods left in all.
    faults_left: u32,
    fault_periods_left: u32,
    periods_left: u32,
    last_fault: Time,
    /// The highest incarnation that each live process has shown or held, as (holder, subject).
    highest_incarnation: BTreeMap<(usize, usize), u64>,
    incarnation_went_back: bool,
}

impl World {
    fn settled(members: usize, faults: u32) -> World {
        let mut world = World {
            now: Time(0),
            members: (0..members).map(|at| Some(Peers::new(settings(at), Time(0)))).collect(),
            wakes: vec![Time(0); members],
            in_flight: BTreeMap::new(),
            sent: 0,
            first_period_packets: Vec::new(),
            cut_links: BTreeSet::new(),
            faults_left: faults,
            fault_periods_left: 6,
            periods_left: 0,
            last_fault: Time(0),
            highest_incarnation: BTreeMap::new(),
            incarnation_went_back: false,
        };
        world.run(8, Fault::None);
        assert_eq!(world.false_deaths().count() + world.unknown_count(), 0);
        world
    }

    /// A settled world, run under that fault until some member is considered dead; then the fault
    /// ends.
    fn after_death(members: usize, faults: u32, fault: Fault) -> World {
        let mut world = World::settled(members, faults);
        if let Fault::Restart(at) = fault {
            world.run(1, Fault::Kill(at));
        }
        let during = if matches!(fault, Fault::Restart(_)) { Fault::None } else { fault };
        let dead = |world: &World| {
            let view = world.members[0].as_ref().unwrap().view();
            view.members.iter().any(|member| !member.update.state.is_alive())
        };
        while !dead(&world) {
            world.run(1, during);
        }
        if let Fault::Restart(at) = fault {
            world.start(at);
        }
        world.last_fault = world.now;
        world
    }

    fn start(&mut self, at: usize) {
        self.highest_incarnation.retain(|(by, _), _| *by != at);
        let restarted = Settings { boot: 9, seed: 99, ..settings(at) };
        self.members[at] = Some(Peers::new(restarted, self.now));
        self.wakes[at] = self.now;
    }

    fn deliver(&mut self, at: usize, event: Event<'_>, fault: Fault) {
        let Some(peers) = self.members[at].as_mut() else { return };
        let mut actions = Vec::new();
        peers.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::WakeAt(due) => self.wakes[at] = due,
                Action::Send { to, packet } => {
                    let to = usize::from(to.port() - address(0).port());
                    let lost = match fault {
                        Fault::LinkLoss(from, target) => (at, to) == (from, target),
                        Fault::Mute(which) => at == which,
                        Fault::Deaf(which) => to == which,
                        _ => false,
                    };
                    if lost || self.cut_links.contains(&(at, to)) {
                        continue;
                    }
                    if self.now < Time(0) + T {
                        self.first_period_packets.push((to, packet.clone()));
                    }
                    let delay = if fault == Fault::Delay { T } else { DELAY };
                    for copy in 0..1 + u32::from(fault == Fault::Duplicate) {
                        self.sent += 1;
                        self.in_flight
                            .insert((self.now + delay * (1 + copy), self.sent), (to, packet.clone()));
                    }
                }
            }
        }
    }

    /// Runs some periods, all with that fault.
    fn run(&mut self, periods: u32, fault: Fault) {
        let end = self.now + T * periods;
        match fault {
            Fault::None => {}
            _ => self.last_fault = end,
        }
        match fault {
            Fault::Kill(at) => self.members[at] = None,
            Fault::Restart(at) => self.start(at),
            Fault::Replay => {
                for (to, packet) in self.first_period_packets.clone() {
                    self.deliver(to, Event::Packet(&packet), fault);
                }
            }
            _ => {}
        }
        loop {
            let wake = (0..self.members.len())
                .filter(|at| self.members[*at].is_some())
                .map(|at| (self.wakes[at], at))
                .min();
            let packet = self.in_flight.first_key_value().map(|((due, _), _)| *due);
            let wake = wake.filter(|(due, _)| packet.is_none_or(|packet| *due < packet));
            let Some(next) = wake.map(|(due, _)| due).or(packet).filter(|next| *next < end) else {
                break;
            };
            self.now = next;
            match wake {
                Some((_, at)) => self.deliver(at, Event::Wake, fault),
                None => {
                    let (_, (to, packet)) = self.in_flight.pop_first().unwrap();
                    self.deliver(to, Event::Packet(&packet), fault);
                }
            }
        }
        self.now = end;
        for at in 0..self.members.len() {
            let Some(peers) = &self.members[at] else { continue };
            for member in peers.view().members {
                let of = member.update.id.0 as usize;
                let highest_incarnation = self.highest_incarnation.entry((at, of)).or_insert(0);
                self.incarnation_went_back |= member.update.incarnation < *highest_incarnation;
                *highest_incarnation = member.update.incarnation;
            }
        }
    }

    /// How long live members have been considered dead by other live members, one entry per pair.
    fn false_deaths(&self) -> impl Iterator<Item = Duration> {
        let live =
            |of: MemberId| (0..self.members.len()).any(|at| id(at) == of && self.members[at].is_some());
        let members = self.members.iter().flatten().flat_map(|peers| peers.view().members);
        let dead = members.filter(move |member| !member.update.state.is_alive() && live(member.update.id));
        dead.map(|member| self.now.since(member.since.max(self.last_fault)))
    }

    /// The number of live members unknown to others, summed over all.
    fn unknown_count(&self) -> usize {
        let missing = |peers: &Peers| self.members.len() - peers.view().members.len();
        self.members.iter().flatten().map(missing).sum()
    }
}

struct Fleet {
    starts: Vec<World>,
}

impl Model for Fleet {
    type State = World;
    type Action = Fault;

    fn init_states(&self) -> Vec<World> {
        self.starts.clone()
    }

    fn actions(&self, world: &World, actions: &mut Vec<Fault>) {
        if world.periods_left == 0 {
            return;
        }
        actions.push(Fault::None);
        if world.fault_periods_left == 0 || world.faults_left == 0 {
            return;
        }
        let all = 0..world.members.len();
        actions.extend([Fault::Duplicate, Fault::Delay, Fault::Replay]);
        for at in all.clone() {
            actions.extend(all.clone().filter(|to| *to != at).map(|to| Fault::LinkLoss(at, to)));
            actions.extend([Fault::Mute(at), Fault::Deaf(at)]);
            // One crash at a time, and none in addition to a permanently cut link: each live member
            // must reach a majority.
            if world.members[at].is_none() {
                actions.push(Fault::Restart(at));
            } else if world.members.iter().all(Option::is_some) && world.cut_links.is_empty() {
                actions.push(Fault::Kill(at));
            }
        }
    }

    fn next_state(&self, world: &World, fault: Fault) -> Option<World> {
        let mut next = world.clone();
        next.periods_left -= 1;
        next.fault_periods_left = next.fault_periods_left.saturating_sub(1);
        next.faults_left -= u32::from(fault != Fault::None);
        next.run(1, fault);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no live member is considered dead for longer than one refutation round",
                |_, world: &World| {
                    let round = bounds::refutation_round(world.members.len(), T);
                    world.false_deaths().all(|time| time <= round)
                },
            ),
            Property::always("incarnations never go back", |_, world: &World| !world.incarnation_went_back),
            Property::sometimes("a live member is considered dead", |_, world: &World| {
                world.false_deaths().next().is_some()
            }),
            Property::sometimes(
                "all live members are alive to each other in the end",
                |_, world: &World| world.periods_left == 0 && world.false_deaths().next().is_none(),
            ),
        ]
    }
}

/// Explores all states reachable from these starts, to one period past the refutation round after
/// the last fault.
fn check(mut starts: Vec<World>) {
    for world in &mut starts {
        let round = bounds::refutation_round(world.members.len(), T);
        world.periods_left = world.fault_periods_left + round.as_secs() as u32 + 1;
    }
    let checker = Fleet { starts }.checker().threads(3).spawn_dfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

fn with_cut_links(mut world: World, links: &[(usize, usize)]) -> World {
    world.cut_links.extend(links);
    world
}

/// Guards against a live member considered dead for longer than one refutation round after loss,
/// duplication, replay, a crash, a restart, members that can't send or receive, or a one-way cut;
/// and against incarnations that go back.
#[test]
fn three_members_recover_from_any_two_faults() {
    let mut starts = vec![
        World::settled(3, 2),
        World::after_death(3, 2, Fault::Mute(2)),
        World::after_death(3, 2, Fault::Deaf(2)),
        World::after_death(3, 2, Fault::Restart(2)),
    ];
    // A link that stays cut one way, in a settled fleet and in one that recovers.
    starts.push(with_cut_links(World::settled(3, 1), &[(0, 1)]));
    starts.push(with_cut_links(World::after_death(3, 1, Fault::Mute(2)), &[(0, 2)]));
    starts.push(with_cut_links(World::after_death(3, 1, Fault::Deaf(2)), &[(2, 1)]));
    check(starts);
}

/// Guards against the same faults with four members, where a majority is three.
#[test]
fn four_members_recover_from_any_two_faults() {
    let starts = [
        World::settled(4, 2),
        World::after_death(4, 2, Fault::Mute(3)),
        World::after_death(4, 2, Fault::Restart(3)),
    ];
    check(starts.into_iter().map(|world| World { fault_periods_left: 3, ..world }).collect());
}
