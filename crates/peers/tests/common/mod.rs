//! Members on an in-memory network in virtual time, whose links lose, delay and cut packets.

#![allow(dead_code)]

use cottonpoint_decide::Time;
use cottonpoint_peers::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The protocol period of all members.
pub const T: Duration = Duration::from_secs(1);

pub fn address(at: usize) -> SocketAddrV4 {
    format!("127.0.0.1:{}", 7000 + at).parse().unwrap()
}

pub fn id(at: usize) -> MemberId {
    MemberId(at as u64)
}

/// The settings of the member with this index; the first two members are seeds.
pub fn settings(at: usize) -> Settings {
    Settings {
        me: id(at),
        name: format!("sidecar-{at}"),
        address: address(at),
        seeds: vec![address(0), address(1)],
        incarnation: 1,
        boot: 1000 + at as u64,
        period: T,
        seed: 17 * at as u64,
    }
}

/// A member's update about itself at its start.
pub fn initial_update(at: usize) -> Update {
    let Settings { me, name, address, incarnation, boot, .. } = settings(at);
    Update { id: me, name, address, incarnation, boot, state: MemberState::Reachable, reported_by: me }
}

pub struct Net {
    pub now: Time,
    pub members: Vec<Option<Peers>>,
    pub wakes: Vec<Option<Time>>,
    /// Links that carry nothing, as (from, to).
    pub cut_links: BTreeSet<(usize, usize)>,
    /// The percentage of packets lost.
    pub loss: u32,
    /// All packets ever sent, with their destination.
    pub sent: Vec<(usize, Packet)>,
    pub max_actions: usize,
    suspended: BTreeMap<usize, Vec<Packet>>,
    in_flight: BTreeMap<(Time, u64), (usize, Packet)>,
    count: u64,
    random: Xoshiro256PlusPlus,
}

impl Net {
    pub fn new(members: usize, seed: u64) -> Net {
        let mut net = Net {
            now: Time(0),
            members: (0..members).map(|_| None).collect(),
            wakes: vec![None; members],
            cut_links: BTreeSet::new(),
            loss: 0,
            sent: Vec::new(),
            max_actions: 0,
            suspended: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            count: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        for at in 0..members {
            net.start(at, Settings { seed: seed ^ (at as u64) << 32, ..settings(at) });
        }
        net
    }

    /// A network whose members have started and know one another.
    pub fn settled(members: usize, seed: u64) -> Net {
        let mut net = Net::new(members, seed);
        net.run(T * (10 + members as u32));
        assert!(net.all_hold(|_, _, state| state == MemberState::Reachable), "not settled");
        net
    }

    pub fn start(&mut self, at: usize, settings: Settings) {
        self.members[at] = Some(Peers::new(settings, self.now));
        self.wakes[at] = Some(self.now);
    }

    pub fn crash(&mut self, at: usize) {
        (self.members[at], self.wakes[at]) = (None, None);
    }

    pub fn deliver(&mut self, at: usize, event: Event<'_>) {
        let Some(peers) = self.members[at].as_mut() else { return };
        let mut actions = Vec::new();
        peers.handle(self.now, event, &mut actions);
        self.max_actions = self.max_actions.max(actions.len());
        for action in actions {
            match action {
                Action::WakeAt(due) => self.wakes[at] = Some(due),
                Action::Send { to, packet } => {
                    let to = usize::from(to.port()) - 7000;
                    self.sent.push((to, packet.clone()));
                    if !self.cut_links.contains(&(at, to)) && self.random.random_range(0..100) >= self.loss
                    {
                        let delay = Duration::from_millis(self.random.random_range(1..20));
                        self.count += 1;
                        self.in_flight.insert((self.now + delay, self.count), (to, packet));
                    }
                }
            }
        }
    }

    /// Runs until the condition holds, checking it four times a period, for at most `time`. Returns
    /// whether it holds.
    pub fn run_until(&mut self, time: Duration, done: impl Fn(&Net) -> bool) -> bool {
        let end = self.now + time;
        while !done(self) && self.now < end {
            self.run(T / 4);
        }
        done(self)
    }

    /// Runs for that long.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let packet = self.in_flight.first_key_value().map(|((due, _), _)| *due);
            let wake = (0..self.wakes.len())
                .filter(|at| !self.suspended.contains_key(at))
                .filter_map(|at| self.wakes[at].map(|due| (due, at)))
                .min();
            let next = [packet, wake.map(|(due, _)| due)].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            match wake {
                Some((due, at)) if packet.is_none_or(|packet| due < packet) => {
                    self.wakes[at] = None;
                    self.deliver(at, Event::Wake);
                }
                _ => {
                    let (_, (to, packet)) = self.in_flight.pop_first().unwrap();
                    match self.suspended.get_mut(&to) {
                        Some(waiting) => waiting.push(packet),
                        None if to < self.members.len() => self.deliver(to, Event::Packet(&packet)),
                        None => {}
                    }
                }
            }
        }
    }

    /// Suspends a process: its packets queue up and its wakes come late.
    pub fn suspend(&mut self, at: usize) {
        self.suspended.insert(at, Vec::new());
    }

    /// Resumes a process: the queued packets arrive at once, the wake last.
    pub fn resume(&mut self, at: usize) {
        for packet in self.suspended.remove(&at).unwrap_or_default() {
            self.deliver(at, Event::Packet(&packet));
        }
    }

    /// The state in which one member holds another.
    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        let view = self.members[at].as_ref()?.view();
        view.members.iter().find(|member| member.update.id == id(of)).map(|member| member.update.state)
    }

    pub fn peers(&self, at: usize) -> &Peers {
        self.members[at].as_ref().unwrap()
    }

    /// Whether every live member holds every other live member in a state that satisfies `good`.
    pub fn all_hold(&self, good: impl Fn(usize, usize, MemberState) -> bool) -> bool {
        let live: Vec<_> = (0..self.members.len()).filter(|at| self.members[*at].is_some()).collect();
        live.iter().all(|at| {
            let view = self.peers(*at).view();
            let held: BTreeMap<_, _> =
                view.members.iter().map(|member| (member.update.id, member.update.state)).collect();
            live.iter().all(|of| at == of || held.get(&id(*of)).is_some_and(|held| good(*at, *of, *held)))
        })
    }
}
