//! Which news still travels: each rides a bounded number of packets, the least sent first.

use crate::{MemberId, UPDATES_LIMIT};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Gossip {
    sent: BTreeMap<MemberId, u32>,
    order: BTreeSet<(u32, MemberId)>,
}

impl Gossip {
    /// There is news of this member: it travels from the start again.
    pub(crate) fn add(&mut self, id: MemberId) {
        self.remove(id);
        self.sent.insert(id, 0);
        self.order.insert((0, id));
    }

    pub(crate) fn remove(&mut self, id: MemberId) {
        if let Some(sent) = self.sent.remove(&id) {
            self.order.remove(&(sent, id));
        }
    }

    /// The members whose news rides on the next packet, beside `skip`: `room` at most; each counts as sent once, and
    /// goes no further after `limit` times.
    pub(crate) fn take(&mut self, room: usize, limit: u32, skip: Option<MemberId>) -> Vec<MemberId> {
        let room = room.min(UPDATES_LIMIT);
        let next: Vec<_> =
            self.order.iter().filter(|(_, id)| Some(*id) != skip).take(room).copied().collect();
        for (sent, id) in &next {
            self.remove(*id);
            if sent + 1 < limit {
                self.sent.insert(*id, sent + 1);
                self.order.insert((sent + 1, *id));
            }
        }
        next.into_iter().map(|(_, id)| id).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against: news that rides for ever, old news that goes before new, and packets over their size.
    #[test]
    fn least_sent_first_and_no_more_than_the_limit() {
        let mut gossip = Gossip::default();
        for id in 0..20 {
            gossip.add(MemberId(id));
        }
        let first = gossip.take(100, 2, None);
        assert_eq!(first.len(), UPDATES_LIMIT);
        gossip.add(MemberId(99));
        let second = gossip.take(100, 2, None);
        assert!(second.contains(&MemberId(99)) && second.contains(&MemberId(19)));
        let mut times = BTreeMap::new();
        let mut packets = vec![first, second];
        while packets.last().is_some_and(|packet| !packet.is_empty()) {
            packets.push(gossip.take(100, 2, None));
        }
        packets.into_iter().flatten().for_each(|id| *times.entry(id).or_insert(0) += 1);
        assert_eq!(times.len(), 21);
        assert!(times.values().all(|times| *times == 2), "{times:?}");
        assert_eq!(gossip, Gossip::default());
    }

    /// Guards against: telling a member by chance what it is told first anyway.
    #[test]
    fn the_receiver_is_skipped() {
        let mut gossip = Gossip::default();
        gossip.add(MemberId(1));
        assert_eq!(gossip.take(5, 3, Some(MemberId(1))), []);
        assert_eq!(gossip.take(5, 3, None), [MemberId(1)]);
    }
}
