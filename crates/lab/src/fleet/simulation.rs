//! The simulation of a fleet: processes at their addresses, links, and a queue of events.

use super::disabled::Disabled;
use super::host::Host;
use super::log::{Log, MemberView, ViewChange};
use super::queue::{EventKind, ScheduledEvent};
use super::setup::{Operation, PacketCounts, SEAL_BYTES, SOCKET_QUEUE_PACKETS, Setup};
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
/// The address of the first member; those of the others follow it.
const FIRST_ADDRESS: u32 = 0x0a00_0001;
const PORT: u16 = 7946;

/// A simulated fleet. A clone continues independently from the state in which it was cloned. Times
/// are in nanoseconds from the start of the simulation.
#[derive(Clone)]
pub struct Fleet {
    pub(super) setup: Setup,
    pub(super) now: u64,
    /// The sequence number of the event scheduled last.
    order: u64,
    pub(super) queue: BinaryHeap<Reverse<ScheduledEvent>>,
    pub(super) hosts: Vec<Host>,
    by_id: FxHashMap<MemberId, usize>,
    pub(super) links: Links,
    pub(super) packet_counts: Vec<PacketCounts>,
    draw: RandomStream,
    /// Random draws for replayed packets, separate from the others so that replays do not change
    /// the rest of a run.
    replay_draw: RandomStream,
    /// Whether views are recorded after each event.
    records_views: bool,
    pub(super) log: Log,
    actions: Vec<Action>,
}

impl Fleet {
    /// Creates a fleet in which no process has started.
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

    /// Schedules an operation; a time in the past means now. Of operations at the same time the one
    /// scheduled first is applied first.
    pub fn schedule(&mut self, at: u64, operation: Operation) {
        self.push(at.max(self.now), EventKind::Operation(operation));
    }

    /// Schedules the start of all processes, each at a random time between `from` and `from +
    /// within`.
    pub fn start_all(&mut self, from: u64, within: u64) {
        for i in 0..self.hosts.len() {
            let at = from + (self.draw.uniform() * within as f64) as u64;
            self.schedule(at, Operation::Start(i));
        }
    }

    /// Runs the simulation up to and including time `to`.
    pub fn run_until(&mut self, to: u64) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= to) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            match next.kind {
                EventKind::Packet { from, to, packet } => self.arrive(from, to, packet),
                EventKind::Wake { member, number } => self.wake(member, number),
                EventKind::Operation(operation) => self.apply(operation),
            }
        }
        self.now = self.now.max(to);
    }

    /// Handles a wake that became due: only the last one requested is valid, and a paused process
    /// misses it.
    fn wake(&mut self, i: usize, number: u64) {
        if self.hosts[i].wake_number != number {
            return;
        }
        if self.hosts[i].paused {
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

    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Start(i) => {
                self.end_process(i);
                let settings = self.settings(i);
                let now = self.clock(i);
                self.hosts[i].boot = settings.boot;
                self.hosts[i].peers = Some(Peers::new(settings, now));
                self.handle_event(i, Event::Wake);
            }
            Operation::Crash(i) => self.end_process(i),
            Operation::Pause(i) => self.hosts[i].paused = self.hosts[i].peers.is_some(),
            Operation::Resume(i) => self.resume(i),
            Operation::Leave(i) => self.handle_event(i, Event::Leave),
            Operation::Join(i) => self.handle_event(i, Event::Join),
            Operation::Links(change) => self.links.change(&change),
            Operation::Replay(share, after) => {
                (self.setup.replay_share, self.setup.replay_delay) = (share, after)
            }
            Operation::Disable(feature) => self.setup.disabled = Some(feature),
            Operation::RecordViews(records) => {
                self.records_views = records;
                (0..self.hosts.len()).for_each(|i| self.record_changes(i));
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

    /// Ends the process of a member. Its state and the packets queued at it are lost.
    fn end_process(&mut self, i: usize) {
        let queued_packets = std::mem::take(&mut self.hosts[i].queued_packets);
        for (from, _) in queued_packets {
            self.counts_of(from, i).undeliverable += 1;
        }
        let n = self.hosts.len();
        self.hosts[i].end_process(n);
    }

    fn resume(&mut self, i: usize) {
        if !std::mem::take(&mut self.hosts[i].paused) {
            return;
        }
        if self.setup.disabled == Some(Disabled::StallDetection) {
            self.deliver_missed_wakes(i);
        }
        // The order in which a resumed process sees its timer and its socket is not under its
        // control.
        let wake_first = self.draw.uniform() < 0.5;
        let missed = std::mem::take(&mut self.hosts[i].missed_wake);
        if missed && wake_first {
            self.handle_event(i, Event::Wake);
        }
        while let Some((from, packet)) = self.hosts[i].queued_packets.pop_front() {
            self.deliver(from, i, &packet);
        }
        if missed && !wake_first {
            self.handle_event(i, Event::Wake);
        }
    }

    /// Delivers each missed wake with the time at which it was due.
    fn deliver_missed_wakes(&mut self, i: usize) {
        while let Some(due) = self.hosts[i].wake_at.filter(|due| *due < self.clock(i)) {
            self.handle_event_at(i, due, Event::Wake);
        }
        self.hosts[i].missed_wake = false;
    }

    fn arrive(&mut self, from: usize, to: usize, packet: Arc<Packet>) {
        let host = &mut self.hosts[to];
        match () {
            () if host.peers.is_none() => self.counts_of(from, to).undeliverable += 1,
            () if !host.paused => self.deliver(from, to, &packet),
            () if host.queued_packets.len() < SOCKET_QUEUE_PACKETS => {
                host.queued_packets.push_back((from, packet))
            }
            () => self.counts_of(from, to).overflowed += 1,
        }
    }

    fn deliver(&mut self, from: usize, to: usize, packet: &Packet) {
        self.counts_of(from, to).delivered += 1;
        let redacted = self.setup.disabled.and_then(|feature| feature.redact(packet, self.hosts[to].id));
        self.handle_event(to, Event::Packet(redacted.as_ref().unwrap_or(packet)));
    }

    fn handle_event(&mut self, i: usize, event: Event<'_>) {
        self.handle_event_at(i, self.clock(i), event);
    }

    fn handle_event_at(&mut self, i: usize, now: Time, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(peers) = self.hosts[i].peers.as_mut() {
            peers.handle(now, event, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { to, packet } => self.send(i, to, packet),
                Action::WakeAt(at) => self.wake_at(i, at),
            }
        }
        self.actions = actions;
        self.record_changes(i);
    }

    fn wake_at(&mut self, i: usize, at: Time) {
        let tick = self.tick();
        let due = at.0.div_ceil(tick).saturating_mul(tick).saturating_sub(self.hosts[i].clock_offset);
        let number = self.push(due.max(self.now), EventKind::Wake { member: i, number: self.order + 1 });
        (self.hosts[i].wake_number, self.hosts[i].wake_at) = (number, Some(at));
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, packet: Packet) {
        let size = SEAL_BYTES + postcard::experimental::serialized_size(&packet).unwrap_or(usize::MAX / 2);
        let to = u32::from(*to.ip()).checked_sub(FIRST_ADDRESS).map_or(usize::MAX, |to| to as usize);
        if to >= self.hosts.len() {
            return;
        }
        if self
            .setup
            .disabled
            .is_some_and(|feature| feature.drops(&packet, self.hosts[from].recorded_views[to].state))
        {
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
            copies => self.counts_of(from, to).duplicated += copies - 1,
        }
        if self.setup.replay_share > 0.0 && self.replay_draw.uniform() < self.setup.replay_share {
            let after = self.replay_draw.exponential(self.setup.replay_delay.as_nanos() as f64) as u64;
            self.counts_of(from, to).replayed += 1;
            self.push(self.now + after, EventKind::Packet { from, to, packet });
        }
    }

    /// Records the changes in what a member holds since the last recording.
    fn record_changes(&mut self, i: usize) {
        if !self.records_views {
            return;
        }
        let Some(peers) = self.hosts[i].peers.as_ref() else { return };
        if peers.version() == self.hosts[i].recorded_version {
            return;
        }
        let view = peers.view();
        self.hosts[i].recorded_version = view.version;
        let after = self.member_views_of(&view);
        let before = std::mem::replace(&mut self.hosts[i].recorded_views, after);
        for (subject, (before, after)) in before.into_iter().zip(&self.hosts[i].recorded_views).enumerate()
        {
            if before != *after {
                self.log.changes.push(ViewChange {
                    at: self.now,
                    observer: i,
                    subject,
                    before,
                    after: *after,
                });
            }
        }
        if self.hosts[i].partition.replace(view.partition) != Some(view.partition) {
            self.log.partitions.push((self.now, i, view.partition));
        }
    }

    pub(super) fn member_views_of(&self, view: &View) -> Vec<MemberView> {
        let mut views = vec![MemberView::default(); self.hosts.len()];
        for member in &view.members {
            if let Some(subject) = self.by_id.get(&member.update.id) {
                let update = &member.update;
                views[*subject] = MemberView {
                    state: Some(update.state),
                    incarnation: update.incarnation,
                    boot: update.boot,
                };
            }
        }
        views
    }

    fn counts_of(&mut self, from: usize, to: usize) -> &mut PacketCounts {
        let at = from * self.hosts.len() + to;
        &mut self.packet_counts[at]
    }

    fn tick(&self) -> u64 {
        (self.setup.tick.as_nanos() as u64).max(1)
    }

    /// The time on a member's clock.
    fn clock(&self, i: usize) -> Time {
        let tick = self.tick();
        Time((self.now + self.hosts[i].clock_offset) / tick * tick)
    }
}

/// The name of a member.
pub fn name(i: usize) -> String {
    format!("sidecar-{i:04}.zone-{}", ["a", "b", "c"][i % 3])
}

/// The address of a member.
fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(FIRST_ADDRESS + i as u32), PORT)
}
