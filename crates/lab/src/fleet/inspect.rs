//! What can be read off a fleet that is played.

use super::log::{Held, Log};
use super::queue::EventKind;
use super::setup::{PacketCounts, Setup};
use super::world::Fleet;
use crate::rig::links::Links;
use cottonpoint_peers::{Counts, MemberState, PartitionStatus, View};
use std::cmp::Reverse;

impl Fleet {
    /// What it is made of.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// The time up to which it was played.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// All that was seen while views were recorded.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Whether a process runs at a member's address, standing still or not.
    pub fn runs(&self, i: usize) -> bool {
        self.hosts[i].plane.is_some()
    }

    /// The view of a member; `None` where no process runs.
    pub fn view(&self, i: usize) -> Option<View> {
        self.hosts[i].plane.as_ref().map(|plane| plane.view())
    }

    /// What a member holds of each.
    pub fn held(&self, i: usize) -> Vec<Held> {
        self.view(i).map_or_else(|| vec![Held::default(); self.hosts.len()], |view| self.held_by(&view))
    }

    /// The member with the lowest id.
    pub fn lowest(&self) -> usize {
        (0..self.hosts.len()).min_by_key(|i| self.hosts[*i].id).unwrap_or(0)
    }

    /// What it calls its part.
    pub fn part(&self, i: usize) -> Option<PartitionStatus> {
        self.view(i).map(|view| view.partition)
    }

    /// The process that runs at a member's address, as it drew it.
    pub fn boot(&self, i: usize) -> Option<u64> {
        self.runs(i).then_some(self.hosts[i].boot)
    }

    /// Counts of a member's plane.
    pub fn counts(&self, i: usize) -> Counts {
        self.hosts[i].plane.as_ref().map_or_else(Counts::default, |plane| plane.counts())
    }

    /// Packets and bytes (with the seal) that a member has sent, and its longest packet.
    pub fn sent(&self, i: usize) -> (u64, u64, usize) {
        (self.hosts[i].packets, self.hosts[i].bytes, self.hosts[i].longest_packet)
    }

    /// Pairs of running members of which the first does not hold the second's own process as reachable, and pairs in
    /// which it holds a member without a process as one that answers.
    pub fn astray(&self) -> usize {
        self.astray_each().sum()
    }

    /// Whether nobody is astray.
    pub fn agreed(&self) -> bool {
        self.astray_each().all(|astray| astray == 0)
    }

    fn astray_each(&self) -> impl Iterator<Item = usize> {
        let boots: Vec<_> = (0..self.hosts.len()).map(|i| self.boot(i)).collect();
        let running = (0..self.hosts.len()).filter(|i| self.runs(*i));
        let wrong = |held: &Held, boot: &Option<u64>| match boot {
            Some(boot) => held.standing != Some(MemberState::Reachable) || held.boot != *boot,
            None => held.alive(),
        };
        running.map(move |i| self.held(i).iter().zip(&boots).filter(|(h, b)| wrong(h, b)).count())
    }

    /// Plays on in steps until all agree about all and nobody is astray, up to a time; says when it was seen so.
    pub fn run_until_agreed(&mut self, step: u64, to: u64) -> Option<u64> {
        while self.now < to {
            self.run((self.now + step).min(to));
            if self.agreed() {
                return Some(self.now);
            }
        }
        None
    }

    /// The links as they are.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// What became of all packets.
    pub fn flow_sum(&self) -> PacketCounts {
        self.packet_counts.iter().fold(PacketCounts::default(), |sum, counts| PacketCounts {
            sent: sum.sent + counts.sent,
            doubled: sum.doubled + counts.doubled,
            again: sum.again + counts.again,
            dropped: sum.dropped + counts.dropped,
            delivered: sum.delivered + counts.delivered,
            overflowed: sum.overflowed + counts.overflowed,
            unheard: sum.unheard + counts.unheard,
        })
    }

    /// What became of the packets from one member to another, and how many are in flight or wait.
    pub fn flow_of(&self, from: usize, to: usize) -> (PacketCounts, u64) {
        let flying = self.queue.iter().filter(|Reverse(event)| match &event.kind {
            EventKind::Packet { from: f, to: t, .. } => (*f, *t) == (from, to),
            _ => false,
        });
        let waiting = self.hosts[to].waiting.iter().filter(|(f, _)| *f == from);
        (self.packet_counts[from * self.hosts.len() + to], (flying.count() + waiting.count()) as u64)
    }
}
