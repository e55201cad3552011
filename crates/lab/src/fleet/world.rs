//! The world of a fleet: processes at their addresses, links, and a queue of what is to come.

use super::log::{Change, Held, Log};
use super::off::Off;
use super::setup::{Do, Flow, SEAL, SOCKET_HOLDS, Setup};
use crate::draw::{Draw, Purpose};
use crate::rig::links::Links;
use cottonpoint_decide::Time;
use cottonpoint_peers::{Action, Event, MemberId, Packet, Part, Peers, Settings, View};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Members that all others are told of at their start.
const SEEDS: usize = 3;
/// Where the first member is reached; the others follow.
const FIRST: u32 = 0x0a00_0001;
const PORT: u16 = 7946;

#[derive(Clone)]
pub(super) struct Host {
    pub(super) id: MemberId,
    pub(super) plane: Option<Peers>,
    /// Its clock shows the run's time and that much more.
    clock: u64,
    stopped: bool,
    /// What waits while it stands still.
    pub(super) waiting: VecDeque<(usize, Arc<Packet>)>,
    /// The number of the wake that counts.
    wake: u64,
    /// The time of its clock at which it wants to be woken.
    wake_at: Option<Time>,
    /// A wake fell due while it stood still.
    missed: bool,
    seen_version: u64,
    seen: Vec<Held>,
    part: Option<Part>,
    /// The process that runs, as it drew it.
    pub(super) boot: u64,
    pub(super) packets: u64,
    pub(super) bytes: u64,
    pub(super) longest: usize,
}

#[derive(Clone)]
pub(super) enum What {
    Packet { from: usize, to: usize, packet: Arc<Packet> },
    Wake { of: usize, number: u64 },
    Do(Do),
}

#[derive(Clone)]
pub(super) struct Coming {
    at: u64,
    order: u64,
    pub(super) what: What,
}

impl PartialEq for Coming {
    fn eq(&self, other: &Coming) -> bool {
        self.order == other.order
    }
}
impl Eq for Coming {}
impl PartialOrd for Coming {
    fn partial_cmp(&self, other: &Coming) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Coming {
    fn cmp(&self, other: &Coming) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A fleet that is played; a copy goes on by itself from where it was taken. Times are in nanoseconds from its start.
#[derive(Clone)]
pub struct Fleet {
    pub(super) setup: Setup,
    pub(super) now: u64,
    order: u64,
    pub(super) coming: BinaryHeap<Reverse<Coming>>,
    pub(super) hosts: Vec<Host>,
    by_id: FxHashMap<MemberId, usize>,
    pub(super) links: Links,
    pub(super) flows: Vec<Flow>,
    draw: Draw,
    /// Of whoever listens and sends packets again, so that the rest goes as it does without.
    listener: Draw,
    watched: bool,
    pub(super) log: Log,
    actions: Vec<Action>,
}

impl Fleet {
    /// A fleet of which no process has started.
    pub fn new(setup: Setup) -> Fleet {
        let n = setup.members;
        let mut draw = Draw::new(setup.seed, Purpose::Fleet, 0);
        let host = |i: usize| Host {
            id: MemberId(xxh3_64(name(i).as_bytes())),
            plane: None,
            clock: draw.bits() >> 20,
            stopped: false,
            waiting: VecDeque::new(),
            wake: 0,
            wake_at: None,
            missed: false,
            seen_version: 0,
            seen: vec![Held::default(); n],
            part: None,
            boot: 0,
            packets: 0,
            bytes: 0,
            longest: 0,
        };
        let hosts: Vec<Host> = (0..n).map(host).collect();
        let mut links = Links::new(n, setup.seed);
        links.set_all(setup.faults);
        Fleet {
            now: 0,
            order: 0,
            coming: BinaryHeap::new(),
            by_id: hosts.iter().enumerate().map(|(i, host)| (host.id, i)).collect(),
            hosts,
            links,
            flows: vec![Flow::default(); n * n],
            draw: Draw::new(setup.seed, Purpose::Troubles, 0),
            listener: Draw::new(setup.seed, Purpose::Troubles, 1),
            watched: false,
            log: Log::default(),
            actions: Vec::new(),
            setup,
        }
    }

    /// Has something done at a time; a time gone by is now. Of equal times the one asked for first comes first.
    pub fn at(&mut self, at: u64, act: Do) {
        self.push(at.max(self.now), What::Do(act));
    }

    /// Has all processes start, each at a moment drawn from within that time after a moment.
    pub fn start_all(&mut self, from: u64, within: u64) {
        for i in 0..self.hosts.len() {
            let at = from + (self.draw.share() * within as f64) as u64;
            self.at(at, Do::Start(i));
        }
    }

    /// Plays up to and with that time.
    pub fn run(&mut self, to: u64) {
        while self.coming.peek().is_some_and(|Reverse(next)| next.at <= to) {
            let Some(Reverse(next)) = self.coming.pop() else { break };
            self.now = next.at;
            match next.what {
                What::Packet { from, to, packet } => self.arrive(from, to, packet),
                What::Wake { of, number } if self.hosts[of].wake == number => {
                    if self.hosts[of].stopped {
                        self.hosts[of].missed = true;
                    } else {
                        self.tell(of, Event::Wake);
                    }
                }
                What::Wake { .. } => {}
                What::Do(act) => self.act(act),
            }
        }
        self.now = self.now.max(to);
    }

    fn push(&mut self, at: u64, what: What) -> u64 {
        self.order += 1;
        self.coming.push(Reverse(Coming { at, order: self.order, what }));
        self.order
    }

    fn act(&mut self, act: Do) {
        match act {
            Do::Start(i) => {
                self.end(i);
                let settings = self.settings(i);
                let now = self.clock(i);
                self.hosts[i].boot = settings.boot;
                self.hosts[i].plane = Some(Peers::new(settings, now));
                self.tell(i, Event::Wake);
            }
            Do::Crash(i) => self.end(i),
            Do::Stop(i) => self.hosts[i].stopped = self.hosts[i].plane.is_some(),
            Do::Resume(i) => self.resume(i),
            Do::Leave(i) => self.tell(i, Event::Leave),
            Do::Join(i) => self.tell(i, Event::Join),
            Do::Links(change) => self.links.change(&change),
            Do::Listen(share, after) => (self.setup.again, self.setup.again_after) = (share, after),
            Do::Off(off) => self.setup.off = Some(off),
            Do::Watch(watched) => {
                self.watched = watched;
                (0..self.hosts.len()).for_each(|i| self.look(i));
            }
        }
    }

    fn settings(&mut self, i: usize) -> Settings {
        Settings {
            me: self.hosts[i].id,
            name: name(i),
            address: address(i),
            seeds: (0..SEEDS.min(self.hosts.len())).map(address).collect(),
            incarnation: 1,
            boot: self.draw.bits(),
            period: self.setup.period,
            seed: self.draw.bits(),
        }
    }

    /// Its process is gone, and what it held and what waited for it.
    fn end(&mut self, i: usize) {
        let waiting = std::mem::take(&mut self.hosts[i].waiting);
        for (from, _) in waiting {
            self.flow(from, i).unheard += 1;
        }
        let n = self.hosts.len();
        let host = &mut self.hosts[i];
        (host.plane, host.stopped, host.missed, host.wake, host.wake_at) = (None, false, false, 0, None);
        (host.seen_version, host.part) = (0, None);
        host.seen = vec![Held::default(); n];
    }

    fn resume(&mut self, i: usize) {
        if !std::mem::take(&mut self.hosts[i].stopped) {
            return;
        }
        if self.setup.off == Some(Off::Lateness) {
            self.catch_up(i);
        }
        // Which of its threads or descriptors comes first is not for it to say.
        let wake_first = self.draw.share() < 0.5;
        let missed = std::mem::take(&mut self.hosts[i].missed);
        if missed && wake_first {
            self.tell(i, Event::Wake);
        }
        while let Some((from, packet)) = self.hosts[i].waiting.pop_front() {
            self.give(from, i, &packet);
        }
        if missed && !wake_first {
            self.tell(i, Event::Wake);
        }
    }

    /// Each missed wake, told with the time at which it was due.
    fn catch_up(&mut self, i: usize) {
        while let Some(due) = self.hosts[i].wake_at.filter(|due| *due < self.clock(i)) {
            self.tell_at(i, due, Event::Wake);
        }
        self.hosts[i].missed = false;
    }

    fn arrive(&mut self, from: usize, to: usize, packet: Arc<Packet>) {
        let host = &mut self.hosts[to];
        match () {
            () if host.plane.is_none() => self.flow(from, to).unheard += 1,
            () if !host.stopped => self.give(from, to, &packet),
            () if host.waiting.len() < SOCKET_HOLDS => host.waiting.push_back((from, packet)),
            () => self.flow(from, to).overflowed += 1,
        }
    }

    fn give(&mut self, from: usize, to: usize, packet: &Packet) {
        self.flow(from, to).delivered += 1;
        let censored = self.setup.off.and_then(|off| off.censors(packet, self.hosts[to].id));
        self.tell(to, Event::Packet(censored.as_ref().unwrap_or(packet)));
    }

    fn tell(&mut self, i: usize, event: Event<'_>) {
        self.tell_at(i, self.clock(i), event);
    }

    fn tell_at(&mut self, i: usize, now: Time, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(plane) = self.hosts[i].plane.as_mut() {
            plane.handle(now, event, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { to, packet } => self.send(i, to, packet),
                Action::WakeAt(at) => self.wake_at(i, at),
            }
        }
        self.actions = actions;
        self.look(i);
    }

    fn wake_at(&mut self, i: usize, at: Time) {
        let tick = self.tick();
        let due = at.0.div_ceil(tick).saturating_mul(tick).saturating_sub(self.hosts[i].clock);
        let number = self.push(due.max(self.now), What::Wake { of: i, number: self.order + 1 });
        (self.hosts[i].wake, self.hosts[i].wake_at) = (number, Some(at));
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, packet: Packet) {
        let size = SEAL + postcard::experimental::serialized_size(&packet).unwrap_or(usize::MAX / 2);
        let to = u32::from(*to.ip()).checked_sub(FIRST).map_or(usize::MAX, |to| to as usize);
        if to >= self.hosts.len() {
            return;
        }
        if self.setup.off.is_some_and(|off| off.drops(&packet, self.hosts[from].seen[to].standing)) {
            return;
        }
        let host = &mut self.hosts[from];
        (host.packets, host.bytes, host.longest) =
            (host.packets + 1, host.bytes + size as u64, host.longest.max(size));
        let packet = Arc::new(packet);
        self.flow(from, to).sent += 1;
        let mut copies = 0;
        for at in self.links.pass(Time(self.now), from, to) {
            copies += 1;
            self.push(at.0, What::Packet { from, to, packet: packet.clone() });
        }
        match copies {
            0 => self.flow(from, to).dropped += 1,
            copies => self.flow(from, to).doubled += copies - 1,
        }
        if self.setup.again > 0.0 && self.listener.share() < self.setup.again {
            let after = self.listener.exponential(self.setup.again_after.as_nanos() as f64) as u64;
            self.flow(from, to).again += 1;
            self.push(self.now + after, What::Packet { from, to, packet });
        }
    }

    /// Notes what a member holds differently now.
    fn look(&mut self, i: usize) {
        if !self.watched {
            return;
        }
        let Some(plane) = self.hosts[i].plane.as_ref() else { return };
        if plane.version() == self.hosts[i].seen_version {
            return;
        }
        let view = plane.view();
        self.hosts[i].seen_version = view.version;
        let now = self.holds(&view);
        let before = std::mem::replace(&mut self.hosts[i].seen, now);
        for (of, (before, now)) in before.into_iter().zip(&self.hosts[i].seen).enumerate() {
            if before != *now {
                self.log.changes.push(Change { at: self.now, by: i, of, before, now: *now });
            }
        }
        if self.hosts[i].part.replace(view.part) != Some(view.part) {
            self.log.parts.push((self.now, i, view.part));
        }
    }

    pub(super) fn holds(&self, view: &View) -> Vec<Held> {
        let mut holds = vec![Held::default(); self.hosts.len()];
        for member in &view.members {
            if let Some(of) = self.by_id.get(&member.news.id) {
                let news = &member.news;
                holds[*of] =
                    Held { standing: Some(news.standing), incarnation: news.incarnation, boot: news.boot };
            }
        }
        holds
    }

    fn flow(&mut self, from: usize, to: usize) -> &mut Flow {
        let at = from * self.hosts.len() + to;
        &mut self.flows[at]
    }

    fn tick(&self) -> u64 {
        (self.setup.tick.as_nanos() as u64).max(1)
    }

    /// What a member's clock shows.
    fn clock(&self, i: usize) -> Time {
        let tick = self.tick();
        Time((self.now + self.hosts[i].clock) / tick * tick)
    }
}

/// The name of a member.
pub fn name(i: usize) -> String {
    format!("sidecar-{i:04}.zone-{}", ["a", "b", "c"][i % 3])
}

/// Where a member is reached.
fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(FIRST + i as u32), PORT)
}
