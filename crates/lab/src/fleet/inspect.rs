//! Queries on the state of a simulated fleet.

use super::log::{Log, MemberView};
use super::queue::EventKind;
use super::setup::{PacketCounts, Setup};
use super::simulation::Fleet;
use crate::rig::links::Links;
use cottonpoint_peers::{Counts, MemberState, PartitionStatus, View};
use std::cmp::Reverse;

impl Fleet {
    /// The setup it was created with, and later changes by operations.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// The time up to which the simulation has run.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// The changes recorded while views were recorded.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Whether a process runs at a member's address, paused or not.
    pub fn is_running(&self, i: usize) -> bool {
        self.hosts[i].peers.is_some()
    }

    /// The view of a member; `None` where no process runs.
    pub fn view(&self, i: usize) -> Option<View> {
        self.hosts[i].peers.as_ref().map(|peers| peers.view())
    }

    /// What a member holds of each member, by index.
    pub fn member_views(&self, i: usize) -> Vec<MemberView> {
        self.view(i).map_or_else(
            || vec![MemberView::default(); self.hosts.len()],
            |view| self.member_views_of(&view),
        )
    }

    /// The member with the lowest id.
    pub fn lowest_id_member(&self) -> usize {
        (0..self.hosts.len()).min_by_key(|i| self.hosts[*i].id).unwrap_or(0)
    }

    /// The partition status that a member reports; `None` where no process runs.
    pub fn partition_status(&self, i: usize) -> Option<PartitionStatus> {
        self.view(i).map(|view| view.partition)
    }

    /// The boot id of the process that runs at a member's address; `None` where none runs.
    pub fn boot(&self, i: usize) -> Option<u64> {
        self.is_running(i).then_some(self.hosts[i].boot)
    }

    /// The protocol counters of a member.
    pub fn counts(&self, i: usize) -> Counts {
        self.hosts[i].peers.as_ref().map_or_else(Counts::default, |peers| peers.counts())
    }

    /// Packets and bytes (with the seal) that a member has sent, and the size of its longest
    /// packet.
    pub fn sent(&self, i: usize) -> (u64, u64, usize) {
        (self.hosts[i].packets_sent, self.hosts[i].bytes_sent, self.hosts[i].longest_packet)
    }

    /// Number of pairs in which a running member has a wrong view of another: it does not hold the
    /// process that runs there as reachable, or holds a member without a process as alive.
    pub fn disagreements(&self) -> usize {
        self.disagreements_by_member().sum()
    }

    /// Whether all running members have a correct view of all members.
    pub fn agreed(&self) -> bool {
        self.disagreements_by_member().all(|count| count == 0)
    }

    fn disagreements_by_member(&self) -> impl Iterator<Item = usize> {
        let boots: Vec<_> = (0..self.hosts.len()).map(|i| self.boot(i)).collect();
        let running = (0..self.hosts.len()).filter(|i| self.is_running(*i));
        let wrong = |view: &MemberView, boot: &Option<u64>| match boot {
            Some(boot) => view.state != Some(MemberState::Reachable) || view.boot != *boot,
            None => view.is_alive(),
        };
        running.map(move |i| self.member_views(i).iter().zip(&boots).filter(|(h, b)| wrong(h, b)).count())
    }

    /// Runs in steps until all members agree, at most up to `to`. Returns the time at which
    /// agreement was seen.
    pub fn run_until_agreed(&mut self, step: u64, to: u64) -> Option<u64> {
        while self.now < to {
            self.run_until((self.now + step).min(to));
            if self.agreed() {
                return Some(self.now);
            }
        }
        None
    }

    /// The links in their present state.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Packet counts summed over all pairs of members.
    pub fn total_counts(&self) -> PacketCounts {
        self.packet_counts.iter().fold(PacketCounts::default(), |sum, counts| PacketCounts {
            sent: sum.sent + counts.sent,
            duplicated: sum.duplicated + counts.duplicated,
            replayed: sum.replayed + counts.replayed,
            dropped: sum.dropped + counts.dropped,
            delivered: sum.delivered + counts.delivered,
            overflowed: sum.overflowed + counts.overflowed,
            undeliverable: sum.undeliverable + counts.undeliverable,
        })
    }

    /// Counts of the packets from one member to another, and the number that are in flight or
    /// queued at the receiver.
    pub fn counts_between(&self, from: usize, to: usize) -> (PacketCounts, u64) {
        let in_flight = self.queue.iter().filter(|Reverse(event)| match &event.kind {
            EventKind::Packet { from: f, to: t, .. } => (*f, *t) == (from, to),
            _ => false,
        });
        let queued = self.hosts[to].queued_packets.iter().filter(|(f, _)| *f == from);
        (self.packet_counts[from * self.hosts.len() + to], (in_flight.count() + queued.count()) as u64)
    }
}
