//! The world of a fleet: processes at their addresses, links, and a queue of what is to come.

use super::disabled::Disabled;
use super::host::Host;
use super::log::{Change, Held, Log};
use super::queue::{EventKind, ScheduledEvent};
use super::setup::{Do, PacketCounts, SEAL_BYTES, SOCKET_HOLDS, Setup};
use crate::draw::{Purpose, RandomStream};
use crate::rig::links::Links;
use cottonpoint_decide::Time;
use cottonpoint_peers::{Action, Event, MemberId, Packet, Peers, Settings, View};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Members that all others are configured with as seeds.
const SEEDS: usize = 3;
/// Where the first member is reached; the others follow.
const FIRST_ADDRESS: u32 = 0x0a00_0001;
const PORT: u16 = 7946;

/// A fleet that is played; a copy goes on by itself from where it was taken. Times are in nanoseconds from its start.
#[derive(Clone)]
pub struct Fleet {
    pub(super) setup: Setup,
    pub(super) now: u64,
    /// The number of the event scheduled last.
    order: u64,
    pub(super) queue: BinaryHeap<Reverse<ScheduledEvent>>,
    pub(super) hosts: Vec<Host>,
    by_id: FxHashMap<MemberId, usize>,
    pub(super) links: Links,
    pub(super) packet_counts: Vec<PacketCounts>,
    draw: RandomStream,
    /// Draws for packets that are sent again, apart from the others so that the rest goes as it does without.
    replay_draw: RandomStream,
    /// Whether views are recorded after each event.
    records_views: bool,
    pub(super) log: Log,
    actions: Vec<Action>,
}

impl Fleet {
    /// A fleet of which no process has started.
    pub fn new(setup: Setup) -> Fleet {
        let n = setup.members;
        let mut draw = RandomStream::new(setup.seed, Purpose::Fleet, 0);
        let host = |i: usize| Host::new(MemberId(xxh3_64(name(i).as_bytes())), draw.bits() >> 20, n);
        let hosts: Vec<Host> = (0..n).map(host).collect();
        let mut links = Links::new(n, setup.seed);
        links.set_all(setup.faults);
        Fleet {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            by_id: hosts.iter().enumerate().map(|(i, host)| (host.id, i)).collect(),
            hosts,
            links,
            packet_counts: vec![PacketCounts::default(); n * n],
            draw: RandomStream::new(setup.seed, Purpose::Troubles, 0),
            replay_draw: RandomStream::new(setup.seed, Purpose::Troubles, 1),
            records_views: false,
            log: Log::default(),
            actions: Vec::new(),
            setup,
        }
    }

    /// Has something done at a time; a time gone by is now. Of equal times the one scheduled first comes first.
    pub fn at(&mut self, at: u64, action: Do) {
        self.push(at.max(self.now), EventKind::Do(action));
    }

    /// Has all processes start, each at a moment drawn from within that time after a moment.
    pub fn start_all(&mut self, from: u64, within: u64) {
        for i in 0..self.hosts.len() {
            let at = from + (self.draw.uniform() * within as f64) as u64;
            self.at(at, Do::Start(i));
        }
    }

    /// Plays up to and with that time.
    pub fn run(&mut self, to: u64) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= to) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            match next.kind {
                EventKind::Packet { from, to, packet } => self.arrive(from, to, packet),
                EventKind::Wake { of, number } => self.wake(of, number),
                EventKind::Do(action) => self.apply(action),
            }
        }
        self.now = self.now.max(to);
    }

    /// A wake falls due: only the one scheduled last counts, and a process that stands still misses it.
    fn wake(&mut self, i: usize, number: u64) {
        if self.hosts[i].wake_number != number {
            return;
        }
        if self.hosts[i].stopped {
            self.hosts[i].missed_wake = true;
        } else {
            self.handle_event(i, Event::Wake);
        }
    }

    fn push(&mut self, at: u64, kind: EventKind) -> u64 {
        self.order += 1;
        self.queue.push(Reverse(ScheduledEvent { at, order: self.order, kind }));
        self.order
    }

    fn apply(&mut self, action: Do) {
        match action {
            Do::Start(i) => {
                self.end_process(i);
                let settings = self.settings(i);
                let now = self.clock(i);
                self.hosts[i].boot = settings.boot;
                self.hosts[i].plane = Some(Peers::new(settings, now));
                self.handle_event(i, Event::Wake);
            }
            Do::Crash(i) => self.end_process(i),
            Do::Stop(i) => self.hosts[i].stopped = self.hosts[i].plane.is_some(),
            Do::Resume(i) => self.resume(i),
            Do::Leave(i) => self.handle_event(i, Event::Leave),
            Do::Join(i) => self.handle_event(i, Event::Join),
            Do::Links(change) => self.links.change(&change),
            Do::Listen(share, after) => (self.setup.again, self.setup.again_after) = (share, after),
            Do::Disable(part) => self.setup.disabled = Some(part),
            Do::Watch(records) => {
                self.records_views = records;
                (0..self.hosts.len()).for_each(|i| self.record_view(i));
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
    fn end_process(&mut self, i: usize) {
        let waiting = std::mem::take(&mut self.hosts[i].waiting);
        for (from, _) in waiting {
            self.counts_of(from, i).unheard += 1;
        }
        let n = self.hosts.len();
        self.hosts[i].end_process(n);
    }

    fn resume(&mut self, i: usize) {
        if !std::mem::take(&mut self.hosts[i].stopped) {
            return;
        }
        if self.setup.disabled == Some(Disabled::Lateness) {
            self.deliver_missed_wakes(i);
        }
        // Which of its threads or descriptors comes first is not for it to say.
        let wake_first = self.draw.uniform() < 0.5;
        let missed = std::mem::take(&mut self.hosts[i].missed_wake);
        if missed && wake_first {
            self.handle_event(i, Event::Wake);
        }
        while let Some((from, packet)) = self.hosts[i].waiting.pop_front() {
            self.deliver(from, i, &packet);
        }
        if missed && !wake_first {
            self.handle_event(i, Event::Wake);
        }
    }

    /// Each missed wake, delivered with the time at which it was due.
    fn deliver_missed_wakes(&mut self, i: usize) {
        while let Some(due) = self.hosts[i].wake_at.filter(|due| *due < self.clock(i)) {
            self.handle_event_at(i, due, Event::Wake);
        }
        self.hosts[i].missed_wake = false;
    }

    fn arrive(&mut self, from: usize, to: usize, packet: Arc<Packet>) {
        let host = &mut self.hosts[to];
        match () {
            () if host.plane.is_none() => self.counts_of(from, to).unheard += 1,
            () if !host.stopped => self.deliver(from, to, &packet),
            () if host.waiting.len() < SOCKET_HOLDS => host.waiting.push_back((from, packet)),
            () => self.counts_of(from, to).overflowed += 1,
        }
    }

    fn deliver(&mut self, from: usize, to: usize, packet: &Packet) {
        self.counts_of(from, to).delivered += 1;
        let redacted = self.setup.disabled.and_then(|part| part.redacted(packet, self.hosts[to].id));
        self.handle_event(to, Event::Packet(redacted.as_ref().unwrap_or(packet)));
    }

    fn handle_event(&mut self, i: usize, event: Event<'_>) {
        self.handle_event_at(i, self.clock(i), event);
    }

    fn handle_event_at(&mut self, i: usize, now: Time, event: Event<'_>) {
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
        self.record_view(i);
    }

    fn wake_at(&mut self, i: usize, at: Time) {
        let tick = self.tick();
        let due = at.0.div_ceil(tick).saturating_mul(tick).saturating_sub(self.hosts[i].clock);
        let number = self.push(due.max(self.now), EventKind::Wake { of: i, number: self.order + 1 });
        (self.hosts[i].wake_number, self.hosts[i].wake_at) = (number, Some(at));
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, packet: Packet) {
        let size = SEAL_BYTES + postcard::experimental::serialized_size(&packet).unwrap_or(usize::MAX / 2);
        let to = u32::from(*to.ip()).checked_sub(FIRST_ADDRESS).map_or(usize::MAX, |to| to as usize);
        if to >= self.hosts.len() {
            return;
        }
        if self.setup.disabled.is_some_and(|part| part.drops(&packet, self.hosts[from].seen[to].standing)) {
            return;
        }
        self.hosts[from].count_sent(size);
        let packet = Arc::new(packet);
        self.counts_of(from, to).sent += 1;
        let mut copies = 0;
        for at in self.links.pass(Time(self.now), from, to) {
            copies += 1;
            self.push(at.0, EventKind::Packet { from, to, packet: packet.clone() });
        }
        match copies {
            0 => self.counts_of(from, to).dropped += 1,
            copies => self.counts_of(from, to).doubled += copies - 1,
        }
        if self.setup.again > 0.0 && self.replay_draw.uniform() < self.setup.again {
            let after = self.replay_draw.exponential(self.setup.again_after.as_nanos() as f64) as u64;
            self.counts_of(from, to).again += 1;
            self.push(self.now + after, EventKind::Packet { from, to, packet });
        }
    }

    /// Records what a member holds differently now.
    fn record_view(&mut self, i: usize) {
        if !self.records_views {
            return;
        }
        let Some(plane) = self.hosts[i].plane.as_ref() else { return };
        if plane.version() == self.hosts[i].seen_version {
            return;
        }
        let view = plane.view();
        self.hosts[i].seen_version = view.version;
        let now = self.held_by(&view);
        let before = std::mem::replace(&mut self.hosts[i].seen, now);
        for (of, (before, now)) in before.into_iter().zip(&self.hosts[i].seen).enumerate() {
            if before != *now {
                self.log.changes.push(Change { at: self.now, by: i, of, before, now: *now });
            }
        }
        if self.hosts[i].part.replace(view.partition) != Some(view.partition) {
            self.log.parts.push((self.now, i, view.partition));
        }
    }

    pub(super) fn held_by(&self, view: &View) -> Vec<Held> {
        let mut holds = vec![Held::default(); self.hosts.len()];
        for member in &view.members {
            if let Some(of) = self.by_id.get(&member.update.id) {
                let update = &member.update;
                holds[*of] = Held {
                    standing: Some(update.state),
                    incarnation: update.incarnation,
                    boot: update.boot,
                };
            }
        }
        holds
    }

    fn counts_of(&mut self, from: usize, to: usize) -> &mut PacketCounts {
        let at = from * self.hosts.len() + to;
        &mut self.packet_counts[at]
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
    SocketAddrV4::new(Ipv4Addr::from(FIRST_ADDRESS + i as u32), PORT)
}
