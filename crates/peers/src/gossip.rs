//! The gossip queue: updates that are still piggybacked. Each is sent on a bounded number of
//! packets, and those sent least often go first.

use crate::interface::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// What to do with a queued update while a packet is filled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// Put it on the packet.
    Take,
    /// Leave it off this packet.
    Skip,
    /// The packet has no room for further updates.
    Full,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Gossip {
    sent: BTreeMap<MemberId, u32>,
    order: BTreeSet<(u32, MemberId)>,
}

impl Gossip {
    /// Queues the update of this member with its transmission count reset.
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

    /// Selects the members whose updates go on the next packet. Calls `choice` for each in turn;
    /// each one taken counts as sent once more and leaves the queue after `limit` transmissions.
    pub(crate) fn take(&mut self, limit: u32, mut choice: impl FnMut(MemberId) -> Choice) {
        let mut taken = Vec::new();
        for (sent, id) in &self.order {
            match choice(*id) {
                Choice::Take => taken.push((*sent, *id)),
                Choice::Skip => {}
                Choice::Full => break,
            }
        }
        for (sent, id) in taken {
            self.remove(id);
            if sent + 1 < limit {
                self.sent.insert(id, sent + 1);
                self.order.insert((sent + 1, id));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn take(gossip: &mut Gossip, room: usize, skip: Option<MemberId>) -> Vec<MemberId> {
        let mut taken = Vec::new();
        gossip.take(2, |id| match () {
            () if Some(id) == skip => Choice::Skip,
            () if taken.len() == room => Choice::Full,
            () => {
                taken.push(id);
                Choice::Take
            }
        });
        taken
    }

    /// Guards against updates that are sent forever, and old updates sent before new ones.
    #[test]
    fn least_sent_updates_go_first_up_to_the_limit() {
        let mut gossip = Gossip::default();
        (0..20).for_each(|id| gossip.add(MemberId(id)));
        let first = take(&mut gossip, 13, None);
        assert_eq!(first.len(), 13);
        gossip.add(MemberId(99));
        let second = take(&mut gossip, 13, None);
        assert!(second.contains(&MemberId(99)) && second.contains(&MemberId(19)));
        let mut packets = vec![first, second];
        while packets.last().is_some_and(|packet| !packet.is_empty()) {
            packets.push(take(&mut gossip, 13, None));
        }
        let mut times = BTreeMap::new();
        packets.into_iter().flatten().for_each(|id| *times.entry(id).or_insert(0) += 1);
        assert_eq!(times.len(), 21);
        assert!(times.values().all(|times| *times == 2), "{times:?}");
        assert_eq!(gossip, Gossip::default());
    }

    /// Guards against piggybacking an update on a packet to its own subject, who gets it first
    /// anyway when needed.
    #[test]
    fn update_is_not_sent_to_its_subject() {
        let mut gossip = Gossip::default();
        gossip.add(MemberId(1));
        assert_eq!(take(&mut gossip, 5, Some(MemberId(1))), []);
        assert_eq!(take(&mut gossip, 5, None), [MemberId(1)]);
    }
}
