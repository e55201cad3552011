//! The entry points: construction, events and the view. `receive` and `probe` hold what an event
//! does.

use crate::gossip::Gossip;
use crate::interface::{
    Action, Counts, Event, Member, MemberState, NAME_LIMIT, PartitionStatus, Settings, Update, View,
};
use crate::random::Random;
use crate::state::{LocalMember, Peers, SyncState, Version};
use crate::table::Table;
use crate::updates::INCARNATION_LIMIT;
use cottonpoint_decide::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// The minimum period: shorter ones make no sense for this protocol, and a period of zero must not
/// occur.
const MIN_PERIOD: Duration = Duration::from_millis(1);
/// Full syncs that a new member requests, from different members. At 10% packet loss all three fail
/// for one member in a thousand.
const SYNCS_AT_START: u32 = 3;

impl Peers {
    /// Creates a member that has not started: the first [`Event::Wake`] starts it. A name over
    /// [`NAME_LIMIT`] bytes is truncated; a period under a millisecond is raised to one.
    pub fn new(settings: Settings, now: Time) -> Peers {
        let period = settings.period.max(MIN_PERIOD);
        let name: String = settings
            .name
            .char_indices()
            .take_while(|(offset, character)| offset + character.len_utf8() <= NAME_LIMIT)
            .map(|(_, character)| character)
            .collect();
        let seeds = settings.seeds.iter().copied().filter(|seed| *seed != settings.address).collect();
        let update = Update {
            id: settings.me,
            name: name.clone(),
            address: settings.address,
            incarnation: settings.incarnation.clamp(1, INCARNATION_LIMIT - 1),
            boot: settings.boot,
            state: MemberState::Reachable,
            reported_by: settings.me,
        };
        Peers {
            random: Random::new(settings.seed),
            settings: Settings { period, name, seeds, ..settings },
            local: LocalMember {
                update,
                since: now,
                pending_refutation: None,
                next_refutation: now,
                leave_rounds: 0,
            },
            table: Table::default(),
            suspicions: BTreeMap::new(),
            gossip: Gossip::default(),
            now,
            requested_wake: None,
            next_period: now,
            next_suspect_ping: now,
            probe: None,
            failed_probes: Vec::new(),
            probe_order: Vec::new(),
            indirect_pings: Vec::new(),
            local_health: 0,
            sync_state: SyncState {
                remaining: SYNCS_AT_START,
                source: None,
                changes: None,
                requested: false,
                answered: 0,
            },
            has_met_peer: false,
            version: Version(1),
            counts: Counts::default(),
        }
    }

    /// Processes an event and appends the resulting actions to `actions`. An event dated before the
    /// previous one is treated as if it came at the same time.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match (self.requested_wake, event) {
            (None, Event::Wake) => self.next_period = self.now,
            (None, _) => return,
            (Some(wake), _) if self.now.since(wake) > self.settings.period / 2 => {
                self.handle_stall(self.now.since(wake));
            }
            _ => {}
        }
        match event {
            Event::Packet(packet) => self.handle_packet(packet, actions),
            Event::Wake => {}
            Event::Leave => self.leave(),
            Event::Join => self.join(),
            Event::SendFailed(packet) => self.handle_send_failure(&packet.body),
        }
        self.run_due_actions(actions);
        let next = self.next_wake();
        if self.requested_wake != Some(next) || matches!(event, Event::Wake) {
            self.requested_wake = Some(next);
            actions.push(Action::WakeAt(next));
        }
    }

    /// The fleet as this member sees it now.
    pub fn view(&self) -> View {
        let me = Member { update: self.local.update.clone(), since: self.local.since };
        let mut members: Vec<_> = self.table.members().chain([me]).collect();
        members.sort_by_key(|member| member.update.id);
        View {
            version: self.version.0,
            me: self.settings.me,
            incarnation: self.local.update.incarnation,
            partition: self.partition_status(&members),
            members,
            local_health: self.local_health,
        }
    }

    /// The version of [`Peers::view`], without building the view.
    pub fn version(&self) -> u64 {
        self.version.0
    }

    /// The event counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Suspects count as answering until their timeout expires; otherwise each lost packet would
    /// make the whole fleet look partitioned.
    fn partition_status(&self, members: &[Member]) -> PartitionStatus {
        let not_left = || members.iter().filter(|member| member.update.state != MemberState::Left);
        let lowest = not_left().next().is_some_and(|lowest| lowest.update.state.is_alive());
        let alive = not_left().filter(|member| member.update.state.is_alive()).count();
        let all = not_left().count();
        match () {
            () if !self.has_met_peer => PartitionStatus::Alone,
            () if alive == all => PartitionStatus::Whole,
            () if 2 * alive > all || (2 * alive == all && lowest) => PartitionStatus::Majority,
            () => PartitionStatus::Minority,
        }
    }
}
