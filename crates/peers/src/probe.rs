//! The protocol period: direct and indirect probes, suspicion, and pings outside the probe
//! schedule.

use crate::bounds;
use crate::interface::{Action, Body, MemberId, MemberState};
use crate::packets::LEAVE_ROUNDS;
use crate::state::{Peers, Probe};
use cottonpoint_decide::Time;
use std::time::Duration;

/// Failed probes that are remembered. An answer that is late by up to this many periods still shows
/// that the timeouts are too short, and the first one that comes lengthens them.
const FAILED_PROBES_LIMIT: usize = 4;

/// Suspects that get a final ping at one time. After a partition, half of the fleet may be due at
/// once.
const FINAL_PINGS_LIMIT: usize = 8;

/// A full sync that changed at most this many entries need not be repeated: that many updates
/// spread by gossip alone.
const SYNC_REPEAT_THRESHOLD: u64 = 8;

impl Peers {
    /// A timeout scaled by the local health score.
    fn scaled_by_local_health(&self, timeout: Duration) -> Duration {
        timeout * (self.local_health + 1)
    }

    /// Handles a wake that came late by `late`: the process was stalled (stopped, swapped out, or
    /// its machine asleep), so the lack of answers, possibly from all members, may be its own
    /// fault. Suspicion timeouts are extended by the delay, the current probe is repeated, the local
    /// health score increases, and a sync fetches what was missed.
    pub(crate) fn handle_stall(&mut self, late: Duration) {
        self.counts.late_wakes += 1;
        for suspicion in self.suspicions.values_mut() {
            suspicion.start = suspicion.start + late;
        }
        self.indirect_pings.clear();
        self.set_local_health(self.local_health + 1);
        if let Some(probe) = self.probe.take() {
            // It is probed again in the period that starts with this event.
            self.probe_order.push(probe.target);
        }
        self.next_period = self.now;
        self.sync_state.remaining = self.sync_state.remaining.max(1);
    }

    /// Handles a packet that could not be sent because of a fault of this process. A member that
    /// was not pinged must not be suspected for its silence; it is probed in the next period
    /// instead.
    pub(crate) fn handle_send_failure(&mut self, body: &Body) {
        let Body::Ping { nonce } = body else { return };
        let not_pinged = |probe: &mut Probe| probe.nonce == *nonce && probe.direct_deadline.is_some();
        if let Some(probe) = self.probe.take_if(not_pinged) {
            self.probe_order.push(probe.target);
        }
    }

    /// Runs all actions that are due.
    pub(crate) fn run_due_actions(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        if self.has_left() {
            if self.next_period <= now {
                self.continue_leaving(actions);
            }
            return;
        }
        self.refute_if_due();
        let (expired, pending) =
            std::mem::take(&mut self.indirect_pings).into_iter().partition(|it| it.deadline <= now);
        self.indirect_pings = pending;
        let expired: Vec<_> = expired;
        for ping in expired {
            let body = Body::Nack { nonce: ping.requester_nonce };
            self.send(ping.requester.address, Some(&ping.requester), body, actions);
        }
        if self
            .probe
            .as_ref()
            .and_then(|probe| probe.direct_deadline)
            .is_some_and(|deadline| deadline <= now)
        {
            self.request_indirect_probes(actions);
        }
        if self.next_period <= now {
            self.start_period(actions);
        }
        // This follows the probe that ended with the period, which may have confirmed a
        // long-running suspicion.
        self.expire_suspicions();
        if self.suspect_ping_due().is_some_and(|due| due <= now) {
            // Three times a period, regardless of the local health score: a live suspect has to
            // learn of the suspicion before it times out.
            self.next_suspect_ping = now + self.settings.period / bounds::PROBE_PHASES;
            let suspects: Vec<_> = self.locally_suspected().collect();
            self.ping_random(&suspects, actions);
            self.send_final_pings(actions);
        }
    }

    /// The time of the next scheduled action.
    pub(crate) fn next_wake(&self) -> Time {
        if self.has_left() {
            return self.next_period;
        }
        let refutation = self.local.pending_refutation.map(|_| self.local.next_refutation);
        let indirect_ping = self.indirect_pings.iter().map(|ping| ping.deadline).min();
        let probe = self.probe.as_ref().and_then(|probe| probe.direct_deadline);
        let suspicions = self.suspicions.values().map(|it| self.suspicion_deadline(it)).min();
        [refutation, indirect_ping, probe, suspicions, self.suspect_ping_due()]
            .into_iter()
            .flatten()
            .fold(self.next_period, Time::min)
    }

    /// Sends leave messages every quarter of a period until all rounds are sent, then nothing.
    fn continue_leaving(&mut self, actions: &mut Vec<Action>) {
        self.next_period = self.now + self.settings.period / 4;
        if self.local.leave_rounds > 0 {
            self.local.leave_rounds -= 1;
            self.send_leave_round(actions);
        } else {
            self.next_period = self.now + self.settings.period;
        }
    }

    fn start_period(&mut self, actions: &mut Vec<Action>) {
        self.end_probe();
        for id in self.table.past_retention(self.now) {
            self.remove_member(id);
        }
        self.finish_sync();
        self.next_period = self.now + self.scaled_by_local_health(self.settings.period);
        match self.next_probe_target() {
            Some(target) => {
                let nonce = self.random.nonce();
                let direct_deadline = Some(
                    self.now + self.scaled_by_local_health(self.settings.period / bounds::PROBE_PHASES),
                );
                let (silent_helpers, helpers, target_may_answer) = (Vec::new(), Vec::new(), true);
                self.probe = Some(Probe {
                    target,
                    nonce,
                    direct_deadline,
                    silent_helpers,
                    helpers,
                    target_may_answer,
                });
                self.counts.pings += 1;
                self.send_to(target, Body::Ping { nonce }, actions);
            }
            // There is no member to probe, so nothing can worsen the score; it recovers.
            None => self.set_local_health(self.local_health.saturating_sub(1)),
        }
        self.send_reconnect_pings(actions);
        if self.sync_state.remaining > 0 {
            let reachable = self.table.ids_in_state(|state| state == MemberState::Reachable);
            if let Some(id) = self.random.choose(&reachable) {
                self.request_sync(id, actions);
            }
        }
    }

    /// Closes the sync requested in the last period, which has had a period to be answered. If it
    /// changed much, other members are likely to know still more: a fleet that starts or heals all
    /// at once keeps syncing, with another member each period, until little is new.
    fn finish_sync(&mut self) {
        if self.sync_state.changes.take().is_some_and(|changes| changes <= SYNC_REPEAT_THRESHOLD) {
            self.sync_state.remaining = self.sync_state.remaining.saturating_sub(1);
        }
        (self.sync_state.source, self.sync_state.requested, self.sync_state.answered) = (None, false, 0);
    }

    /// The next member to probe. Each round probes every member once, in a new random order.
    fn next_probe_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.probe_order.pop() {
                if self.table.state(id).is_some_and(MemberState::is_alive) {
                    return Some(id);
                }
            }
            self.probe_order = self.table.ids_in_state(MemberState::is_alive);
            self.random.shuffle(&mut self.probe_order);
        }
        None
    }

    /// The direct ping timed out: asks random reachable members to probe the target indirectly.
    fn request_indirect_probes(&mut self, actions: &mut Vec<Action>) {
        let Some(mut probe) = self.probe.take() else { return };
        probe.direct_deadline = None;
        let mut others = self.table.ids_in_state(|state| state == MemberState::Reachable);
        others.retain(|id| *id != probe.target);
        self.random.shuffle(&mut others);
        others.truncate(bounds::HELPERS);
        if let Some(address) = self.table.get(probe.target).map(|held| held.address) {
            let body = Body::PingRequest { nonce: probe.nonce, target: probe.target, address };
            for helper in &others {
                self.send_to(*helper, body.clone(), actions);
            }
        }
        (probe.silent_helpers, probe.helpers) = (others.clone(), others);
        self.probe = Some(probe);
    }

    /// Ends the period's probe: a target that has not answered is suspected.
    fn end_probe(&mut self) {
        let Some(probe) = self.probe.take() else { return };
        if !self.table.state(probe.target).is_some_and(MemberState::is_alive) {
            return;
        }
        self.suspect(probe.target);
        if self.failed_probes.len() == FAILED_PROBES_LIMIT {
            self.failed_probes.remove(0);
        }
        self.failed_probes.push(probe);
    }

    /// Handles an ack: from the target or a helper of the current probe, or from a member pinged on
    /// behalf of another.
    pub(crate) fn handle_ack(&mut self, from: MemberId, nonce: u32, actions: &mut Vec<Action>) {
        let is_current =
            |probe: &Probe| probe.nonce == nonce && (probe.target == from || probe.helpers.contains(&from));
        if self.probe.as_ref().is_some_and(is_current) {
            self.probe = None;
            self.counts.acks += 1;
            self.set_local_health(self.local_health.saturating_sub(1));
        }
        self.handle_late_answer(from, nonce);
        let position =
            self.indirect_pings.iter().position(|ping| ping.nonce == nonce && ping.target == from);
        if let Some(ping) = position.map(|at| self.indirect_pings.swap_remove(at)) {
            let body = Body::Ack { nonce: ping.requester_nonce };
            self.send(ping.requester.address, Some(&ping.requester), body, actions);
        }
    }

    /// Handles a nack: a helper got no answer either.
    pub(crate) fn handle_nack(&mut self, from: MemberId, nonce: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce)
            && let Some(at) = probe.silent_helpers.iter().position(|id| *id == from)
        {
            probe.silent_helpers.swap_remove(at);
            self.counts.nacks += 1;
        }
        self.handle_late_answer(from, nonce);
    }

    /// Handles an answer to a probe that has already failed: this member's timeouts are too short,
    /// because of itself or its links. Silence alone is no evidence of that: in the minority side
    /// of a partition most members are silent, and longer timeouts would only delay the detection.
    fn handle_late_answer(&mut self, from: MemberId, nonce: u32) {
        let Some(probe) = self.failed_probes.iter_mut().find(|it| it.nonce == nonce) else { return };
        let helper = probe.silent_helpers.iter().position(|id| *id == from);
        let late = match helper {
            Some(at) => {
                probe.silent_helpers.swap_remove(at);
                true
            }
            None => probe.target == from && std::mem::take(&mut probe.target_may_answer),
        };
        if late {
            self.set_local_health(self.local_health + 1);
        }
    }

    /// Members that this member's own probes suspect.
    fn locally_suspected(&self) -> impl Iterator<Item = MemberId> {
        let me = self.settings.me;
        self.suspicions.iter().filter(move |(_, it)| it.suspected_by.contains(&me)).map(|(id, _)| *id)
    }

    /// Suspicions whose suspect has not yet got its final ping, and the time from which that ping
    /// is due: one period before the timeout.
    fn pending_final_pings(&self) -> impl Iterator<Item = (MemberId, Time)> {
        let period = self.settings.period.as_nanos() as u64;
        let unpinged = self.suspicions.iter().filter(|(_, it)| !it.final_ping_sent);
        unpinged.map(move |(id, it)| (*id, Time(self.suspicion_deadline(it).0.saturating_sub(period))))
    }

    /// When the next ping to suspects is due, if there are any to be pinged.
    fn suspect_ping_due(&self) -> Option<Time> {
        let local = self.locally_suspected().next().map(|_| self.next_suspect_ping);
        let last = self.pending_final_pings().map(|(_, from)| from.max(self.next_suspect_ping)).min();
        local.into_iter().chain(last).min()
    }

    /// Pings suspects in the last period of their timeout, whichever member suspected them: a live
    /// suspect may have refuted the suspicion long ago without this member having received it.
    fn send_final_pings(&mut self, actions: &mut Vec<Action>) {
        let due: Vec<_> =
            self.pending_final_pings().filter(|(_, from)| *from <= self.now).map(|(id, _)| id).collect();
        for id in due.into_iter().take(FINAL_PINGS_LIMIT) {
            if let Some(suspicion) = self.suspicions.get_mut(&id) {
                suspicion.final_ping_sent = true;
            }
            self.ping_random(&[id], actions);
        }
    }

    /// Pings a random one of these members outside the probe schedule.
    fn ping_random(&mut self, candidates: &[MemberId], actions: &mut Vec<Action>) {
        if let Some(id) = self.random.choose(candidates) {
            self.counts.extra_pings += 1;
            let nonce = self.random.nonce();
            self.send_to(id, Body::Ping { nonce }, actions);
        }
    }

    /// The pings of each period that let partitions heal and keep a starting fleet from staying
    /// split: to one dead member, and to one seed at which no live member is known. If all seeds
    /// are known and alive, this costs nothing.
    fn send_reconnect_pings(&mut self, actions: &mut Vec<Action>) {
        let dead = self.table.ids_in_state(|state| state == MemberState::Dead);
        self.ping_random(&dead, actions);
        let known = self.table.alive_at(&self.settings.seeds);
        let unknown: Vec<_> =
            self.settings.seeds.iter().filter(|seed| !known.contains(seed)).copied().collect();
        if let Some(seed) = self.random.choose(&unknown) {
            self.counts.extra_pings += 1;
            let nonce = self.random.nonce();
            self.send(seed, None, Body::Ping { nonce }, actions);
        }
    }

    /// Leaves the fleet: other members hold it as left, and it sends nothing but leave messages.
    pub(crate) fn leave(&mut self) {
        if !self.has_left() {
            self.local.update.state = MemberState::Left;
            self.local.since = self.now;
            self.local.leave_rounds = LEAVE_ROUNDS;
            self.next_period = self.now;
            self.probe = None;
            self.indirect_pings.clear();
            self.bump_version();
        }
    }

    /// Rejoins the fleet under an incarnation above that of its leave message.
    pub(crate) fn join(&mut self) {
        if self.has_left() {
            self.local.update.state = MemberState::Reachable;
            self.local.since = self.now;
            let refuted =
                self.local.pending_refutation.take().map_or(0, |refutation| refutation.incarnation);
            self.raise_incarnation(refuted);
            self.sync_state.remaining = self.sync_state.remaining.max(1);
            self.next_period = self.now;
            // Answers during the absence could not be received.
            self.suspicions.values_mut().for_each(|suspicion| suspicion.start = self.now);
        }
    }
}
