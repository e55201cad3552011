//! The period: whom to probe, when to ask others, when to suspect, at whom else to knock.

use crate::bounds;
use crate::interface::{Action, Body, MemberId, Standing};
use crate::packets::GOODBYE_ROUNDS;
use crate::state::{Peers, Probe};
use cottonpoint_decide::Time;
use std::time::Duration;

/// Probes without an answer that are remembered: an answer that is late by that many periods still shows that the
/// waits are too short, and those grow with the first that comes.
const UNANSWERED: usize = 4;

/// Suspects pinged at one time for the last time: after a split half of the fleet may be due at once.
const LAST_KNOCKS: usize = 8;

/// Changes by a full exchange up to which it need not be had again: as many travel by themselves.
const SYNC_AGAIN: u64 = 8;

impl Peers {
    /// The period as it is kept now.
    fn stretched(&self, wait: Duration) -> Duration {
        wait * (self.unwell + 1)
    }

    /// This process stood still (stopped, swapped out, on a machine asleep) for that long: its silence is its own
    /// fault, and so may be that of all others. What was under way gets its whole time again, it is unwell by one
    /// more, and asks for what it missed.
    pub(crate) fn stood_still(&mut self, late: Duration) {
        self.counts.late += 1;
        for suspicion in self.suspicions.values_mut() {
            suspicion.start = suspicion.start + late;
        }
        self.helped.clear();
        self.set_unwell(self.unwell + 1);
        if let Some(probe) = self.probe.take() {
            // Probed anew in the period that starts with this event.
            self.round.push(probe.whom);
        }
        self.next_period = self.now;
        self.syncs.wanted = self.syncs.wanted.max(1);
    }

    /// That could not be sent, by a fault of this process. A member that was not pinged is not suspected for its silence: it is
    /// probed in the next period instead.
    pub(crate) fn not_sent(&mut self, body: &Body) {
        let Body::Ping { number } = body else { return };
        let not_pinged = |probe: &mut Probe| probe.number == *number && probe.direct_until.is_some();
        if let Some(probe) = self.probe.take_if(not_pinged) {
            self.round.push(probe.whom);
        }
    }

    /// All that is due by now.
    pub(crate) fn due(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        if self.has_left() {
            if self.next_period <= now {
                self.say_goodbye(actions);
            }
            return;
        }
        self.speak_up();
        let (late, waiting) = std::mem::take(&mut self.helped).into_iter().partition(|it| it.until <= now);
        self.helped = waiting;
        let late: Vec<_> = late;
        for helped in late {
            let body = Body::Nack { number: helped.asked };
            self.send(helped.asker.address, Some(&helped.asker), body, actions);
        }
        if self.probe.as_ref().and_then(|probe| probe.direct_until).is_some_and(|until| until <= now) {
            self.ask_helpers(actions);
        }
        if self.next_period <= now {
            self.period(actions);
        }
        // After the probe that the period ended: it may have been what confirms a suspicion long under way.
        self.end_suspicions();
        if self.knock_due().is_some_and(|due| due <= now) {
            // Thrice a period, however unwell this member is: one that lives must hear of it before its time is up.
            self.next_knock = now + self.settings.period / bounds::PARTS;
            let suspects: Vec<_> = self.own_suspects().collect();
            self.knock(&suspects, actions);
            self.last_knocks(actions);
        }
    }

    /// When something falls due next.
    pub(crate) fn next_wake(&self) -> Time {
        if self.has_left() {
            return self.next_period;
        }
        let raise = self.own.claim.map(|_| self.own.next_raise);
        let helped = self.helped.iter().map(|helped| helped.until).min();
        let probe = self.probe.as_ref().and_then(|probe| probe.direct_until);
        let suspicions = self.suspicions.values().map(|it| self.ends(it)).min();
        [raise, helped, probe, suspicions, self.knock_due()]
            .into_iter()
            .flatten()
            .fold(self.next_period, Time::min)
    }

    /// Goodbyes, some a quarter of a period for as long as there are rounds; then nothing.
    fn say_goodbye(&mut self, actions: &mut Vec<Action>) {
        self.next_period = self.now + self.settings.period / 4;
        if self.own.goodbyes > 0 {
            self.own.goodbyes -= 1;
            self.goodbye(actions);
        } else {
            self.next_period = self.now + self.settings.period;
        }
    }

    fn period(&mut self, actions: &mut Vec<Action>) {
        self.end_probe();
        for id in self.table.outdated(self.now) {
            self.forget(id);
        }
        self.end_sync();
        self.next_period = self.now + self.stretched(self.settings.period);
        match self.next_in_round() {
            Some(whom) => {
                let number = self.chance.number();
                let direct_until = Some(self.now + self.stretched(self.settings.period / bounds::PARTS));
                let (silent, helpers, awaited) = (Vec::new(), Vec::new(), true);
                self.probe = Some(Probe { whom, number, direct_until, silent, helpers, awaited });
                self.counts.pings += 1;
                self.send_to(whom, Body::Ping { number }, actions);
            }
            // Nobody is there to be unwell towards.
            None => self.set_unwell(self.unwell.saturating_sub(1)),
        }
        self.knocks(actions);
        if self.syncs.wanted > 0 {
            let reachable = self.table.of(|standing| standing == Standing::Reachable);
            if let Some(id) = self.chance.one_of(&reachable) {
                self.ask_all(id, actions);
            }
        }
    }

    /// Who was asked for all it knows has had a period to answer. If that taught much, somebody knows more yet:
    /// a fleet that starts or heals as one learns by asking on, each period another member, until little is new.
    fn end_sync(&mut self) {
        if self.syncs.taught.take().is_some_and(|taught| taught <= SYNC_AGAIN) {
            self.syncs.wanted = self.syncs.wanted.saturating_sub(1);
        }
        (self.syncs.from, self.syncs.asked, self.syncs.given) = (None, false, 0);
    }

    /// The next member in a round in which each is probed once, in an order drawn anew for each.
    fn next_in_round(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.round.pop() {
                if self.table.standing(id).is_some_and(Standing::is_alive) {
                    return Some(id);
                }
            }
            self.round = self.table.of(Standing::is_alive);
            self.chance.shuffle(&mut self.round);
        }
        None
    }

    /// The direct ping was not answered in time: others are asked, drawn at random among those that answer.
    fn ask_helpers(&mut self, actions: &mut Vec<Action>) {
        let Some(mut probe) = self.probe.take() else { return };
        probe.direct_until = None;
        let mut others = self.table.of(|standing| standing == Standing::Reachable);
        others.retain(|id| *id != probe.whom);
        self.chance.shuffle(&mut others);
        others.truncate(bounds::HELPERS);
        if let Some(address) = self.table.get(probe.whom).map(|held| held.address) {
            let body = Body::PingFor { number: probe.number, whom: probe.whom, address };
            for helper in &others {
                self.send_to(*helper, body.clone(), actions);
            }
        }
        (probe.silent, probe.helpers) = (others.clone(), others);
        self.probe = Some(probe);
    }

    /// The period is over: whoever was probed in it and has not answered is suspected.
    fn end_probe(&mut self) {
        let Some(probe) = self.probe.take() else { return };
        if !self.table.standing(probe.whom).is_some_and(Standing::is_alive) {
            return;
        }
        self.suspect(probe.whom);
        if self.unanswered.len() == UNANSWERED {
            self.unanswered.remove(0);
        }
        self.unanswered.push(probe);
    }

    /// The member probed has answered, directly or through a helper; or one pinged for another has.
    pub(crate) fn acked(&mut self, from: MemberId, number: u32, actions: &mut Vec<Action>) {
        let ours =
            |probe: &Probe| probe.number == number && (probe.whom == from || probe.helpers.contains(&from));
        if self.probe.as_ref().is_some_and(ours) {
            self.probe = None;
            self.counts.acks += 1;
            self.set_unwell(self.unwell.saturating_sub(1));
        }
        self.late_answer(from, number);
        let helped = self.helped.iter().position(|helped| helped.number == number && helped.whom == from);
        if let Some(helped) = helped.map(|at| self.helped.swap_remove(at)) {
            let body = Body::Ack { number: helped.asked };
            self.send(helped.asker.address, Some(&helped.asker), body, actions);
        }
    }

    /// A helper has no answer either.
    pub(crate) fn nacked(&mut self, from: MemberId, number: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number)
            && let Some(at) = probe.silent.iter().position(|id| *id == from)
        {
            probe.silent.swap_remove(at);
            self.counts.nacks += 1;
        }
        self.late_answer(from, number);
    }

    /// An answer to a probe that was over: this member's waits are too short, by its own fault or by that of its
    /// links. Silence alone is no such sign: in the small part of a split most are silent, and there longer waits
    /// would only put off the finding.
    fn late_answer(&mut self, from: MemberId, number: u32) {
        let Some(probe) = self.unanswered.iter_mut().find(|probe| probe.number == number) else { return };
        let silent = probe.silent.iter().position(|id| *id == from);
        let late = match silent {
            Some(at) => {
                probe.silent.swap_remove(at);
                true
            }
            None => probe.whom == from && std::mem::take(&mut probe.awaited),
        };
        if late {
            self.set_unwell(self.unwell + 1);
        }
    }

    /// Those that this member suspects by its own probe.
    fn own_suspects(&self) -> impl Iterator<Item = MemberId> {
        let me = self.settings.me;
        self.suspicions.iter().filter(move |(_, it)| it.by.contains(&me)).map(|(id, _)| *id)
    }

    /// Suspicions in whose last period the suspect is yet to be pinged, and when that period starts.
    fn unknocked(&self) -> impl Iterator<Item = (MemberId, Time)> {
        let period = self.settings.period.as_nanos() as u64;
        let waiting = self.suspicions.iter().filter(|(_, it)| !it.knocked);
        waiting.map(move |(id, it)| (*id, Time(self.ends(it).0.saturating_sub(period))))
    }

    /// When a knock at suspects is due, if there are any to be knocked at.
    fn knock_due(&self) -> Option<Time> {
        let own = self.own_suspects().next().map(|_| self.next_knock);
        let last = self.unknocked().map(|(_, from)| from.max(self.next_knock)).min();
        own.into_iter().chain(last).min()
    }

    /// Pings suspects in the last period of their time, whoever suspected them: one that lives may have contradicted
    /// it long since, unheard here.
    fn last_knocks(&mut self, actions: &mut Vec<Action>) {
        let due: Vec<_> =
            self.unknocked().filter(|(_, from)| *from <= self.now).map(|(id, _)| id).collect();
        for id in due.into_iter().take(LAST_KNOCKS) {
            if let Some(suspicion) = self.suspicions.get_mut(&id) {
                suspicion.knocked = true;
            }
            self.knock(&[id], actions);
        }
    }

    /// Pings one of these beside the probe, drawn at random.
    fn knock(&mut self, at: &[MemberId], actions: &mut Vec<Action>) {
        if let Some(id) = self.chance.one_of(at) {
            self.counts.knocks += 1;
            let number = self.chance.number();
            self.send_to(id, Body::Ping { number }, actions);
        }
    }

    /// Knocks of each period, so that splits heal and a fleet that starts does not stay in parts: at one last known,
    /// and at one seed where nobody is known to be alive. Where all seeds are known and well this costs nothing.
    fn knocks(&mut self, actions: &mut Vec<Action>) {
        let gone = self.table.of(|standing| standing == Standing::LastKnown);
        self.knock(&gone, actions);
        let met = self.table.alive_at(&self.settings.seeds);
        let unmet: Vec<_> =
            self.settings.seeds.iter().filter(|seed| !met.contains(seed)).copied().collect();
        if let Some(seed) = self.chance.one_of(&unmet) {
            self.counts.knocks += 1;
            let number = self.chance.number();
            self.send(seed, None, Body::Ping { number }, actions);
        }
    }

    /// Says goodbye: others hold it as left, and it sends nothing more but goodbyes.
    pub(crate) fn leave(&mut self) {
        if !self.has_left() {
            self.own.news.standing = Standing::Left;
            self.own.since = self.now;
            self.own.goodbyes = GOODBYE_ROUNDS;
            self.next_period = self.now;
            self.probe = None;
            self.helped.clear();
            self.changed();
        }
    }

    /// Is a member again, under an incarnation above its goodbye.
    pub(crate) fn join(&mut self) {
        if self.has_left() {
            self.own.news.standing = Standing::Reachable;
            self.own.since = self.now;
            let claimed = self.own.claim.take().map_or(0, |claim| claim.incarnation);
            self.raise(claimed);
            self.syncs.wanted = self.syncs.wanted.max(1);
            self.next_period = self.now;
            // It was not there to hear an answer.
            self.suspicions.values_mut().for_each(|suspicion| suspicion.start = self.now);
        }
    }
}
