//! The very machine under a model checker: three and four members, each period with any one fault out of all there
//! are, as many as the bound allows, and then quiet.
//!
//! Within a period packets arrive in the order sent; what may go wrong is that one link loses all of it, that a
//! member is mute or deaf, that all packets come twice, or a period late, that old ones come again, that a process
//! is killed or started anew. Some links may be cut one way for good. A step of the model is one period.

mod common;

use common::{T, address, id, settings};
use cottonpoint_decide::Time;
use cottonpoint_peers::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long each packet is under way.
const DELAY: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// Nothing gets from the one to the other.
    Lost(usize, usize),
    Mute(usize),
    Deaf(usize),
    Twice,
    Late,
    /// The packets of the first period come once more.
    Old,
    Kill(usize),
    /// A new process at the old address, with nothing remembered.
    Anew(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Time,
    members: Vec<Option<Peers>>,
    wakes: Vec<Time>,
    flying: BTreeMap<(Time, u64), (usize, Packet)>,
    sent: u64,
    first: Vec<(usize, Packet)>,
    /// Links that carry nothing for good.
    cut: BTreeSet<(usize, usize)>,
    /// Faults that may still come, periods in which they may, and periods in all.
    faults: u32,
    open: u32,
    left: u32,
    last_fault: Time,
    /// The highest incarnation that each live process has shown or held, as (by, of).
    highest: BTreeMap<(usize, usize), u64>,
    went_back: bool,
}

impl World {
    fn settled(members: usize, faults: u32) -> World {
        let mut world = World {
            now: Time(0),
            members: (0..members).map(|at| Some(Peers::new(settings(at), Time(0)))).collect(),
            wakes: vec![Time(0); members],
            flying: BTreeMap::new(),
            sent: 0,
            first: Vec::new(),
            cut: BTreeSet::new(),
            faults,
            open: 6,
            left: 0,
            last_fault: Time(0),
            highest: BTreeMap::new(),
            went_back: false,
        };
        world.play(8, Fault::None);
        assert_eq!(world.held_dead().count() + world.unknown(), 0);
        world
    }

    /// Settled, then under that fault until it has felled somebody; then the fault ends.
    fn felled(members: usize, faults: u32, fault: Fault) -> World {
        let mut world = World::settled(members, faults);
        if let Fault::Anew(at) = fault {
            world.play(1, Fault::Kill(at));
        }
        let during = if matches!(fault, Fault::Anew(_)) { Fault::None } else { fault };
        let dead = |world: &World| {
            let view = world.members[0].as_ref().unwrap().view();
            view.members.iter().any(|member| !member.news.standing.is_alive())
        };
        while !dead(&world) {
            world.play(1, during);
        }
        if let Fault::Anew(at) = fault {
            world.start(at);
        }
        world.last_fault = world.now;
        world
    }

    fn start(&mut self, at: usize) {
        self.highest.retain(|(by, _), _| *by != at);
        let anew = Settings { boot: 9, seed: 99, ..settings(at) };
        self.members[at] = Some(Peers::new(anew, self.now));
        self.wakes[at] = self.now;
    }

    fn tell(&mut self, at: usize, event: Event<'_>, fault: Fault) {
        let Some(peers) = self.members[at].as_mut() else { return };
        let mut actions = Vec::new();
        peers.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::WakeAt(then) => self.wakes[at] = then,
                Action::Send { to, packet } => {
                    let to = usize::from(to.port() - address(0).port());
                    let lost = match fault {
                        Fault::Lost(from, target) => (at, to) == (from, target),
                        Fault::Mute(which) => at == which,
                        Fault::Deaf(which) => to == which,
                        _ => false,
                    };
                    if lost || self.cut.contains(&(at, to)) {
                        continue;
                    }
                    if self.now < Time(0) + T {
                        self.first.push((to, packet.clone()));
                    }
                    let delay = if fault == Fault::Late { T } else { DELAY };
                    for copy in 0..1 + u32::from(fault == Fault::Twice) {
                        self.sent += 1;
                        self.flying
                            .insert((self.now + delay * (1 + copy), self.sent), (to, packet.clone()));
                    }
                }
            }
        }
    }

    /// Plays on for some periods, all with that fault.
    fn play(&mut self, periods: u32, fault: Fault) {
        let end = self.now + T * periods;
        match fault {
            Fault::None => {}
            _ => self.last_fault = end,
        }
        match fault {
            Fault::Kill(at) => self.members[at] = None,
            Fault::Anew(at) => self.start(at),
            Fault::Old => {
                for (to, packet) in self.first.clone() {
                    self.tell(to, Event::Packet(&packet), fault);
                }
            }
            _ => {}
        }
        loop {
            let wake = (0..self.members.len())
                .filter(|at| self.members[*at].is_some())
                .map(|at| (self.wakes[at], at))
                .min();
            let packet = self.flying.first_key_value().map(|((then, _), _)| *then);
            let wake = wake.filter(|(then, _)| packet.is_none_or(|packet| *then < packet));
            let Some(next) = wake.map(|(then, _)| then).or(packet).filter(|next| *next < end) else {
                break;
            };
            self.now = next;
            match wake {
                Some((_, at)) => self.tell(at, Event::Wake, fault),
                None => {
                    let (_, (to, packet)) = self.flying.pop_first().unwrap();
                    self.tell(to, Event::Packet(&packet), fault);
                }
            }
        }
        self.now = end;
        for at in 0..self.members.len() {
            let Some(peers) = &self.members[at] else { continue };
            for member in peers.view().members {
                let of = member.news.id.0 as usize;
                let highest = self.highest.entry((at, of)).or_insert(0);
                self.went_back |= member.news.incarnation < *highest;
                *highest = member.news.incarnation;
            }
        }
    }

    /// Live members that live ones hold dead, and for how long.
    fn held_dead(&self) -> impl Iterator<Item = Duration> {
        let live =
            |of: MemberId| (0..self.members.len()).any(|at| id(at) == of && self.members[at].is_some());
        let members = self.members.iter().flatten().flat_map(|peers| peers.view().members);
        let dead = members.filter(move |member| !member.news.standing.is_alive() && live(member.news.id));
        dead.map(|member| self.now.since(member.since.max(self.last_fault)))
    }

    /// Live members that others have not heard of.
    fn unknown(&self) -> usize {
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
        if world.left == 0 {
            return;
        }
        actions.push(Fault::None);
        if world.open == 0 || world.faults == 0 {
            return;
        }
        let all = 0..world.members.len();
        actions.extend([Fault::Twice, Fault::Late, Fault::Old]);
        for at in all.clone() {
            actions.extend(all.clone().filter(|to| *to != at).map(|to| Fault::Lost(at, to)));
            actions.extend([Fault::Mute(at), Fault::Deaf(at)]);
            // One crash at a time, and none beside a link cut for good: each live member must reach a majority.
            if world.members[at].is_none() {
                actions.push(Fault::Anew(at));
            } else if world.members.iter().all(Option::is_some) && world.cut.is_empty() {
                actions.push(Fault::Kill(at));
            }
        }
    }

    fn next_state(&self, world: &World, fault: Fault) -> Option<World> {
        let mut next = world.clone();
        next.left -= 1;
        next.open = next.open.saturating_sub(1);
        next.faults -= u32::from(fault != Fault::None);
        next.play(1, fault);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no live member is held dead for longer than one round",
                |_, world: &World| {
                    let round = bounds::refutation_round(world.members.len(), T);
                    world.held_dead().all(|time| time <= round)
                },
            ),
            Property::always("incarnations never go back", |_, world: &World| !world.went_back),
            Property::sometimes("a live member is held dead", |_, world: &World| {
                world.held_dead().next().is_some()
            }),
            Property::sometimes("all is well in the end", |_, world: &World| {
                world.left == 0 && world.held_dead().next().is_none()
            }),
        ]
    }
}

/// Checks all that can follow from these starts, to one period past the refutation round after the last fault.
fn check(mut starts: Vec<World>) {
    for world in &mut starts {
        let round = bounds::refutation_round(world.members.len(), T);
        world.left = world.open + round.as_secs() as u32 + 1;
    }
    let checker = Fleet { starts }.checker().threads(3).spawn_dfs().join();
    println!("{} states, {} of them unlike", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

fn without(mut world: World, links: &[(usize, usize)]) -> World {
    world.cut.extend(links);
    world
}

/// Guards against: a live member held dead for longer than one refutation round after loss, repetition, old packets,
/// a crash, a new process, mute and deaf members or a one-way cut; and incarnations that go back.
#[test]
fn three_members_under_any_two_faults() {
    let mut starts = vec![
        World::settled(3, 2),
        World::felled(3, 2, Fault::Mute(2)),
        World::felled(3, 2, Fault::Deaf(2)),
        World::felled(3, 2, Fault::Anew(2)),
    ];
    // A link that stays cut one way, in a fleet that is whole and in one that heals.
    starts.push(without(World::settled(3, 1), &[(0, 1)]));
    starts.push(without(World::felled(3, 1, Fault::Mute(2)), &[(0, 2)]));
    starts.push(without(World::felled(3, 1, Fault::Deaf(2)), &[(2, 1)]));
    check(starts);
}

/// Guards against: the same among four, where a majority is three.
#[test]
fn four_members_under_any_two_faults() {
    let starts =
        [World::settled(4, 2), World::felled(4, 2, Fault::Mute(3)), World::felled(4, 2, Fault::Anew(3))];
    check(starts.into_iter().map(|world| World { open: 3, ..world }).collect());
}
