//! The machine's state and its way in; what it does stands in `news`, `packets` and `probe`.

use crate::chance::Chance;
use crate::gossip::Gossip;
use crate::probe::{Helped, Probe};
use crate::table::Table;
use crate::{
    Action, Counts, Event, Member, MemberId, NAME_LIMIT, Part, Settings, Standing, Update, View, bounds,
};
use cottonpoint_decide::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// The shortest period: a machine of this kind has no business faster than that, and no time may be zero.
const PERIOD_LEAST: Duration = Duration::from_millis(1);
/// Exchanges asked for by a newcomer, of different members: with one packet in ten lost, three leave out one member
/// in a thousand.
const SYNCS_AT_START: u32 = 3;

/// One member of a fleet, seeing the others. See the crate's page.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peers {
    pub(crate) settings: Settings,
    pub(crate) own: Own,
    pub(crate) table: Table,
    pub(crate) suspicions: BTreeMap<MemberId, Suspicion>,
    pub(crate) gossip: Gossip,
    pub(crate) chance: Chance,
    /// The latest time told.
    pub(crate) now: Time,
    /// The wake asked for; none before the start.
    pub(crate) asked: Option<Time>,
    pub(crate) next_period: Time,
    /// When the next knock at suspects is due, if there are any to be knocked at.
    pub(crate) next_knock: Time,
    pub(crate) probe: Option<Probe>,
    /// The last probes that nobody answered in time, oldest first: an answer that comes yet shows that it was not the
    /// network.
    pub(crate) unanswered: Vec<Probe>,
    /// Whom to probe next, from the end.
    pub(crate) round: Vec<MemberId>,
    /// Pings sent on behalf of others.
    pub(crate) helped: Vec<Helped>,
    pub(crate) unwell: u32,
    pub(crate) syncs: Syncs,
    /// Whether anybody else was ever met.
    pub(crate) met: bool,
    pub(crate) version: Version,
    pub(crate) counts: Counts,
}

/// This member, by its own word.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Own {
    pub(crate) news: Update,
    pub(crate) since: Time,
    /// The incarnation under which others say of it what it contradicts.
    pub(crate) claim: Option<Claim>,
    /// Before that it does not speak up again: two processes of one name must not shout each other down.
    pub(crate) next_raise: Time,
    /// Rounds of goodbyes yet to be sent.
    pub(crate) goodbyes: u32,
}

/// What is said of this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Claim {
    pub(crate) incarnation: u64,
    /// Said of another process by this member's name.
    pub(crate) other: bool,
}

/// Full exchanges of all that is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Syncs {
    /// Still to be had.
    pub(crate) wanted: u32,
    /// Who was asked last.
    pub(crate) from: Option<MemberId>,
    /// How much it changed here, once it has answered.
    pub(crate) taught: Option<u64>,
    /// Asked for in this period.
    pub(crate) asked: bool,
    /// Given in this period.
    pub(crate) given: u32,
}

/// A suspicion that runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Suspicion {
    pub(crate) start: Time,
    /// Members that came to it by themselves, the first one included.
    pub(crate) by: Vec<MemberId>,
    /// It was pinged in the suspicion's last period.
    pub(crate) knocked: bool,
    /// Confirmations that count, and members that answered, at its start.
    pub(crate) wanted: usize,
    pub(crate) members: usize,
}

/// The view's version: no part of what the machine decides by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Version(pub(crate) u64);

/// Two states that differ in their version alone are one to a model checker.
impl std::hash::Hash for Version {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

impl Peers {
    /// A member that has not started yet: the first [`Event::Wake`] starts it. A name over [`NAME_LIMIT`] bytes is
    /// cut, a period under a millisecond is taken as one.
    pub fn new(settings: Settings, now: Time) -> Peers {
        let period = settings.period.max(PERIOD_LEAST);
        let name: String = settings
            .name
            .char_indices()
            .take_while(|(at, letter)| at + letter.len_utf8() <= NAME_LIMIT)
            .map(|(_, letter)| letter)
            .collect();
        let seeds = settings.seeds.iter().copied().filter(|seed| *seed != settings.address).collect();
        let news = Update {
            id: settings.me,
            name: name.clone(),
            address: settings.address,
            incarnation: settings.incarnation.clamp(1, crate::news::CEILING - 1),
            boot: settings.boot,
            standing: Standing::Reachable,
            by: settings.me,
        };
        Peers {
            chance: Chance::new(settings.seed),
            settings: Settings { period, name, seeds, ..settings },
            own: Own { news, since: now, claim: None, next_raise: now, goodbyes: 0 },
            table: Table::default(),
            suspicions: BTreeMap::new(),
            gossip: Gossip::default(),
            now,
            asked: None,
            next_period: now,
            next_knock: now,
            probe: None,
            unanswered: Vec::new(),
            round: Vec::new(),
            helped: Vec::new(),
            unwell: 0,
            syncs: Syncs { wanted: SYNCS_AT_START, from: None, taught: None, asked: false, given: 0 },
            met: false,
            version: Version(1),
            counts: Counts::default(),
        }
    }

    /// Tells it what happened; what it asks for is added to `actions`. An event before the last one's time is taken
    /// as one at that time.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match (self.asked, event) {
            (None, Event::Wake) => self.next_period = self.now,
            (None, _) => return,
            (Some(asked), _) if self.now.since(asked) > self.settings.period / 2 => {
                self.stood_still(self.now.since(asked));
            }
            _ => {}
        }
        match event {
            Event::Packet(packet) => self.packet(packet, actions),
            Event::Wake => {}
            Event::Leave => self.leave(),
            Event::Join => self.join(),
        }
        self.due(actions);
        let next = self.next_wake();
        if self.asked != Some(next) || matches!(event, Event::Wake) {
            self.asked = Some(next);
            actions.push(Action::WakeAt(next));
        }
    }

    /// Who is there now.
    pub fn view(&self) -> View {
        let me = Member { news: self.own.news.clone(), since: self.own.since };
        let mut members: Vec<_> = self.table.members().chain([me]).collect();
        members.sort_by_key(|member| member.news.id);
        View {
            version: self.version.0,
            me: self.settings.me,
            incarnation: self.own.news.incarnation,
            part: self.part(&members),
            members,
            unwell: self.unwell,
        }
    }

    /// The version of [`Peers::view`], without the cost of one.
    pub fn version(&self) -> u64 {
        self.version.0
    }

    /// What has happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// A suspect counts among those that answer until its time has run out: else each lost packet would make a
    /// whole fleet look less than whole.
    fn part(&self, members: &[Member]) -> Part {
        let staying = || members.iter().filter(|member| member.news.standing != Standing::Left);
        let lowest = staying().next().is_some_and(|lowest| lowest.news.standing.is_alive());
        let alive = staying().filter(|member| member.news.standing.is_alive()).count();
        let all = staying().count();
        match () {
            () if !self.met => Part::Alone,
            () if alive == all => Part::Whole,
            () if 2 * alive > all || (2 * alive == all && lowest) => Part::Larger,
            () => Part::Smaller,
        }
    }

    pub(crate) fn changed(&mut self) {
        self.version.0 += 1;
    }

    /// When a suspicion runs out, as things stand. Confirmations are waited for only as far as there are members left
    /// that could give one: those that are suspected themselves cannot, so that a small part of a split need not wait
    /// for the other side's word.
    pub(crate) fn ends(&self, suspicion: &Suspicion) -> Time {
        let counts = |id: &MemberId| {
            *id == self.settings.me || self.table.standing(*id) == Some(Standing::Reachable)
        };
        let spoken = suspicion.by.iter().filter(|id| counts(id)).count();
        let reachable = self.table.alive().saturating_sub(self.suspicions.len());
        let got = suspicion.by.len().saturating_sub(1);
        let wanted = suspicion.wanted.min(got + (reachable + 1).saturating_sub(spoken));
        suspicion.start + bounds::suspicion(suspicion.members, self.settings.period, got, wanted)
    }

    /// Members that answer, this one included.
    pub(crate) fn size(&self) -> usize {
        self.table.alive() + 1
    }

    pub(crate) fn has_left(&self) -> bool {
        self.own.news.standing == Standing::Left
    }

    pub(crate) fn set_unwell(&mut self, unwell: u32) {
        let unwell = unwell.min(bounds::UNWELL_LIMIT);
        if unwell != self.unwell {
            self.unwell = unwell;
            self.changed();
        }
    }
}
