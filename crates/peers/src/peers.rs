//! The way in: a new member, its events and its view. What an event does stands in `receive` and `probe`.

use crate::chance::Chance;
use crate::gossip::Gossip;
use crate::interface::{Action, Counts, Event, Member, NAME_LIMIT, Part, Settings, Standing, Update, View};
use crate::news::CEILING;
use crate::state::{Own, Peers, Syncs, Version};
use crate::table::Table;
use cottonpoint_decide::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// The shortest period: a machine of this kind has no business faster than that, and no time may be zero.
const PERIOD_LEAST: Duration = Duration::from_millis(1);
/// Exchanges asked for by a newcomer, of different members: with one packet in ten lost, three leave out one member
/// in a thousand.
const SYNCS_AT_START: u32 = 3;

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
            incarnation: settings.incarnation.clamp(1, CEILING - 1),
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
            Event::NotSent(packet) => self.not_sent(&packet.body),
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
}
