//! Packets in and out.

use crate::gossip::Choice;
use crate::news::{Word, is_usable};
use crate::peers::Peers;
use crate::probe::Helped;
use crate::{
    Action, Body, MemberId, NAME_LIMIT, PACKET_LIMIT, Packet, SEAL_ROOM, Standing, UPDATES_LIMIT, Update,
    bounds,
};
use serde::Serialize;
use std::net::SocketAddrV4;

/// Pings on behalf of others at one time: far more than a fleet asks one member for (each member asks three others
/// in a period at most, drawn at random), and little to hold.
const HELPED_LIMIT: usize = 64;
/// Full exchanges given in one period: a fleet that starts as one spreads what is known by doubling, and no member
/// has to send more than that many tables.
const GIVEN_LIMIT: u32 = 2;
/// Members told goodbye in one round, and rounds: who leaves is gone before a period is over, and news that this
/// many hold reaches the others by them.
const GOODBYES: usize = 8;
pub(crate) const GOODBYE_ROUNDS: u32 = 3;

/// What is left of a packet for updates. Measured by the codec that the shell sends by, as names and numbers are far
/// shorter than they may be: three times as much news rides on a packet as if each were taken at its longest.
struct Room {
    bytes: usize,
    updates: usize,
}

impl Room {
    fn after(packet: &Packet) -> Room {
        let limit = PACKET_LIMIT - SEAL_ROOM;
        Room { bytes: limit.saturating_sub(length(packet)), updates: UPDATES_LIMIT - packet.updates.len() }
    }

    /// Whether one more fits; then its room is taken.
    fn holds(&mut self, news: &Update) -> bool {
        let length = length(news);
        let holds = length <= self.bytes && self.updates > 0;
        if holds {
            self.bytes -= length;
            self.updates -= 1;
        }
        holds
    }
}

fn length(value: &impl Serialize) -> usize {
    // It fails for no value of these types; then nothing more rides.
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or(PACKET_LIMIT)
}

impl Peers {
    /// A packet came.
    pub(crate) fn packet(&mut self, packet: &Packet, actions: &mut Vec<Action>) {
        let from = &packet.from;
        if from.id == self.settings.me {
            // A second process of this name, or its own packet sent back to it.
            if from.boot == self.settings.boot {
                self.counts.bad += 1;
            } else {
                self.counts.namesakes += 1;
                self.claimed(from);
            }
            return;
        }
        let by_itself = match packet.body {
            Body::Leave => from.standing == Standing::Left,
            _ => from.standing == Standing::Reachable,
        };
        let reached = is_usable(from.address) && from.address != self.settings.address;
        if !by_itself || !reached || from.name.len() > NAME_LIMIT {
            self.counts.bad += 1;
            return;
        }
        if self.has_left() {
            // Whoever does not know yet is told; nothing else is.
            if matches!(packet.body, Body::Ping { .. } | Body::PingFor { .. } | Body::Sync) {
                self.send(from.address, None, Body::Leave, actions);
            }
            return;
        }
        let back = self.learn(from, Word::Own);
        let word = if packet.body == Body::Known { Word::Table } else { Word::Told };
        let before = self.version.0;
        packet.updates.iter().take(UPDATES_LIMIT).for_each(|news| {
            self.learn(news, word);
        });
        if packet.body == Body::Known && self.syncs.from == Some(from.id) {
            self.syncs.taught = Some(self.syncs.taught.unwrap_or(0) + (self.version.0 - before));
        }
        self.counts.bad += packet.updates.len().saturating_sub(UPDATES_LIMIT) as u64;
        match packet.body {
            Body::Ping { number } => self.send(from.address, Some(from), Body::Ack { number }, actions),
            Body::PingFor { number, whom, address } => self.help(from, number, whom, address, actions),
            Body::Ack { number } => self.acked(from.id, number, actions),
            Body::Nack { number } => self.nacked(from.id, number),
            Body::Sync => self.tell_all(from, actions),
            Body::Known | Body::Leave => {}
        }
        if back && from.standing == Standing::Reachable {
            // It, or this member, was away: what it knows is asked for.
            self.ask_all(from.id, actions);
        }
    }

    /// Sends a packet with the news that are due; `of` is the receiver as it last showed itself, if it just did.
    /// What it has to contradict rides first.
    pub(crate) fn send(
        &mut self,
        to: SocketAddrV4,
        of: Option<&Update>,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let held = of.and_then(|of| self.table.get(of.id).filter(|held| held.rank() > of.rank()));
        let first = held.cloned();
        self.send_with(to, of.map(|of| of.id), first, body, actions);
    }

    /// Sends a packet to a member held.
    pub(crate) fn send_to(&mut self, id: MemberId, body: Body, actions: &mut Vec<Action>) {
        let Some(held) = self.table.get(id).cloned() else { return };
        let to = held.address;
        let first = Some(held).filter(|held| held.standing != Standing::Reachable);
        self.send_with(to, Some(id), first, body, actions);
    }

    fn send_with(
        &mut self,
        to: SocketAddrV4,
        id: Option<MemberId>,
        first: Option<Update>,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let mut packet = Packet { from: self.own.news.clone(), body, updates: first.into_iter().collect() };
        if !self.has_left() {
            let (table, limit) = (&self.table, bounds::sends(self.size()));
            let mut room = Room::after(&packet);
            self.gossip.take(limit, |next| match table.get(next) {
                Some(news) if Some(next) != id => {
                    if !room.holds(news) {
                        return Choice::Full;
                    }
                    packet.updates.push(news.clone());
                    Choice::Take
                }
                _ => Choice::Skip,
            });
        }
        actions.push(Action::Send { to, packet });
    }

    /// Pings a third member for one that asks.
    fn help(
        &mut self,
        asker: &Update,
        number: u32,
        whom: MemberId,
        address: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        if whom == self.settings.me {
            return self.send(asker.address, Some(asker), Body::Ack { number }, actions);
        }
        if !is_usable(address) || address == self.settings.address {
            self.counts.bad += 1;
            return;
        }
        if self.helped.len() >= HELPED_LIMIT {
            self.counts.withheld += 1;
            return;
        }
        let ours = self.chance.number();
        let until = self.now + self.settings.period / bounds::PARTS;
        self.helped.push(Helped { number: ours, whom, asker: asker.clone(), asked: number, until });
        self.counts.helped += 1;
        let first = self.table.get(whom).filter(|held| held.standing != Standing::Reachable).cloned();
        self.send_with(address, Some(whom), first, Body::Ping { number: ours }, actions);
    }

    /// Tells all that is known, in as many packets as it takes.
    fn tell_all(&mut self, to: &Update, actions: &mut Vec<Action>) {
        if self.syncs.given >= GIVEN_LIMIT {
            self.counts.withheld += 1;
            return;
        }
        self.syncs.given += 1;
        self.counts.given += 1;
        let empty = Packet { from: self.own.news.clone(), body: Body::Known, updates: Vec::new() };
        let (mut packet, mut room) = (empty.clone(), Room::after(&empty));
        for news in self.table.worth_telling(self.now) {
            if !room.holds(news) {
                let full = std::mem::replace(&mut packet, empty.clone());
                actions.push(Action::Send { to: to.address, packet: full });
                room = Room::after(&empty);
                room.holds(news);
            }
            packet.updates.push(news.clone());
        }
        actions.push(Action::Send { to: to.address, packet });
    }

    /// Asks a member for all that it knows, now or in the next period: once a period is enough.
    pub(crate) fn ask_all(&mut self, id: MemberId, actions: &mut Vec<Action>) {
        self.syncs.wanted = self.syncs.wanted.max(1);
        if !self.syncs.asked {
            self.syncs.asked = true;
            self.syncs.from = Some(id);
            self.syncs.taught = None;
            self.counts.syncs += 1;
            self.send_to(id, Body::Sync, actions);
        }
    }

    /// One round of goodbyes, to members drawn at random.
    pub(crate) fn goodbye(&mut self, actions: &mut Vec<Action>) {
        let mut all = self.table.of(Standing::is_alive);
        self.chance.shuffle(&mut all);
        for id in all.into_iter().take(GOODBYES) {
            self.send_to(id, Body::Leave, actions);
        }
    }
}
