//! The state of one member and values derived from it; the other modules of the state machine build
//! on this one.

use crate::bounds;
use crate::gossip::Gossip;
use crate::interface::{Counts, MemberId, MemberState, Settings, Update};
use crate::random::Random;
use crate::table::Table;
use cottonpoint_decide::Time;
use std::collections::BTreeMap;

/// One member of a fleet and its view of the others. See the crate documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peers {
    pub(crate) settings: Settings,
    pub(crate) local: LocalMember,
    pub(crate) table: Table,
    pub(crate) suspicions: BTreeMap<MemberId, Suspicion>,
    pub(crate) gossip: Gossip,
    pub(crate) random: Random,
    /// The time of the latest event.
    pub(crate) now: Time,
    /// The wake requested from the embedder; `None` before the start.
    pub(crate) requested_wake: Option<Time>,
    pub(crate) next_period: Time,
    /// When the next ping to suspects is permitted.
    pub(crate) next_suspect_ping: Time,
    pub(crate) probe: Option<Probe>,
    /// The latest probes that failed, oldest first. An answer that still arrives shows that it was
    /// this member's timeouts and not the network.
    pub(crate) failed_probes: Vec<Probe>,
    /// Members still to be probed in this round, last one first.
    pub(crate) probe_order: Vec<MemberId>,
    /// Pings in progress on behalf of other members.
    pub(crate) indirect_pings: Vec<IndirectPing>,
    pub(crate) local_health: u32,
    pub(crate) sync_state: SyncState,
    /// Whether any other member was ever met.
    pub(crate) has_met_peer: bool,
    pub(crate) version: Version,
    pub(crate) counts: Counts,
}

/// This member's own state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LocalMember {
    pub(crate) update: Update,
    pub(crate) since: Time,
    /// A report about this member that it has not refuted yet.
    pub(crate) pending_refutation: Option<PendingRefutation>,
    /// The earliest time of the next refutation. The rate is limited so that two processes of one
    /// name don't refute each other without end.
    pub(crate) next_refutation: Time,
    /// Rounds of leave messages still to be sent.
    pub(crate) leave_rounds: u32,
}

/// A report by others that this member has to refute.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingRefutation {
    pub(crate) incarnation: u64,
    /// Whether the report is about another process of the same name.
    pub(crate) name_conflict: bool,
}

/// The progress of full state syncs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SyncState {
    /// Syncs still to be done.
    pub(crate) remaining: u32,
    /// The member that was asked last.
    pub(crate) source: Option<MemberId>,
    /// Changes made by the answer, once there is one.
    pub(crate) changes: Option<u64>,
    /// Whether a sync was requested in this period.
    pub(crate) requested: bool,
    /// Sync requests answered in this period.
    pub(crate) answered: u32,
}

/// A suspicion that has not timed out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Suspicion {
    pub(crate) start: Time,
    /// Members that suspect it independently, the first one included.
    pub(crate) suspected_by: Vec<MemberId>,
    /// Whether the final ping, in the last period before the timeout, was sent.
    pub(crate) final_ping_sent: bool,
    /// Confirmations that shorten the timeout, and the number of members that answered, when the
    /// suspicion started.
    pub(crate) expected_confirmations: usize,
    pub(crate) members: usize,
}

/// The view's version, which influences no decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Version(pub(crate) u64);

/// For a model checker, states that differ only in their version are equal.
impl std::hash::Hash for Version {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

/// The probe of this period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Probe {
    pub(crate) target: MemberId,
    pub(crate) nonce: u32,
    /// When helpers are asked; `None` once they were.
    pub(crate) direct_deadline: Option<Time>,
    /// Helpers that have sent neither ack nor nack.
    pub(crate) silent_helpers: Vec<MemberId>,
    /// All helpers that were asked.
    pub(crate) helpers: Vec<MemberId>,
    /// Whether an answer from the target itself would still count.
    pub(crate) target_may_answer: bool,
}

/// A ping on behalf of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IndirectPing {
    pub(crate) nonce: u32,
    pub(crate) target: MemberId,
    pub(crate) requester: Update,
    /// The nonce of the requester's own request.
    pub(crate) requester_nonce: u32,
    pub(crate) deadline: Time,
}

impl Peers {
    pub(crate) fn bump_version(&mut self) {
        self.version.0 += 1;
    }

    /// When a suspicion times out under current conditions. It waits only for as many confirmations
    /// as there are members left to give one. Members that are suspected themselves can't, so the
    /// minority side of a partition need not wait for confirmations from the other side.
    pub(crate) fn suspicion_deadline(&self, suspicion: &Suspicion) -> Time {
        let can_confirm = |id: &MemberId| {
            *id == self.settings.me || self.table.state(*id) == Some(MemberState::Reachable)
        };
        let confirmed = suspicion.suspected_by.iter().filter(|id| can_confirm(id)).count();
        let reachable = self.table.alive().saturating_sub(self.suspicions.len());
        let confirmations = suspicion.suspected_by.len().saturating_sub(1);
        let expected =
            suspicion.expected_confirmations.min(confirmations + (reachable + 1).saturating_sub(confirmed));
        suspicion.start
            + bounds::suspicion(suspicion.members, self.settings.period, confirmations, expected)
    }

    /// Members that answer, this one included.
    pub(crate) fn alive_count(&self) -> usize {
        self.table.alive() + 1
    }

    pub(crate) fn has_left(&self) -> bool {
        self.local.update.state == MemberState::Left
    }

    pub(crate) fn set_local_health(&mut self, score: u32) {
        let score = score.min(bounds::LOCAL_HEALTH_LIMIT);
        if score != self.local_health {
            self.local_health = score;
            self.bump_version();
        }
    }
}
