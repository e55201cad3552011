//! The member table: the membership state machine, its next wake, and the snapshot last published.

use crate::Snapshot;
use cottonpoint_decide::Time;
use cottonpoint_peers::{Action, Event, Peers, Settings};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The state under the members lock.
pub(crate) struct Members {
    settings: Settings,
    protocol: Peers,
    /// When the state machine wants to be woken.
    pub(crate) wake_at: Time,
    /// Whether the last event was processed to its end. After a panic in the middle of one, the
    /// state machine cannot be trusted.
    last_event_completed: bool,
    /// Whether the latest command was to leave.
    left: bool,
    /// The version of the previous state machine when this one was created.
    version_offset: u64,
    published: Snapshot,
}

impl Members {
    /// Creates a state machine whose first wake is at `now`, and its first snapshot.
    pub(crate) fn new(settings: Settings, now: Time) -> Members {
        let protocol = Peers::new(settings.clone(), now);
        let published = Snapshot { view: Arc::new(protocol.view()), counts: protocol.counts() };
        Members {
            settings,
            protocol,
            wake_at: now,
            last_event_completed: true,
            left: false,
            version_offset: 0,
            published,
        }
    }

    pub(crate) fn published(&self) -> Snapshot {
        self.published.clone()
    }

    /// Passes one event to the state machine. Packets to send are appended to `actions`; returns a
    /// snapshot if anything changed.
    pub(crate) fn handle(
        &mut self,
        now: Time,
        event: Event<'_>,
        actions: &mut Vec<Action>,
    ) -> Option<Snapshot> {
        if matches!(event, Event::Wake) && now < self.wake_at {
            return None; // Another worker has already handled this wake.
        }
        match event {
            Event::Leave => self.left = true,
            Event::Join => self.left = false,
            _ => {}
        }
        if !self.last_event_completed {
            self.restart_protocol(now, actions);
        }
        self.last_event_completed = false;
        self.protocol.handle(now, event, actions);
        self.last_event_completed = true;
        actions.retain(|action| match action {
            Action::WakeAt(time) => {
                self.wake_at = *time;
                false
            }
            Action::Send { .. } => true,
        });
        self.publish()
    }

    /// Replaces the state machine as a new process of the same name would: with another boot id,
    /// and an incarnation above the last one published.
    fn restart_protocol(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.settings.boot = xxh3_64(&self.settings.boot.to_be_bytes());
        self.settings.incarnation = self.published.view.incarnation.saturating_add(1);
        self.version_offset = self.published.view.version;
        self.protocol = Peers::new(self.settings.clone(), now);
        self.protocol.handle(now, Event::Wake, actions);
        if self.left {
            self.protocol.handle(now, Event::Leave, actions);
        }
    }

    fn publish(&mut self) -> Option<Snapshot> {
        let (version, counts) = (self.version_offset + self.protocol.version(), self.protocol.counts());
        if version != self.published.view.version {
            let mut view = self.protocol.view();
            view.version = version;
            self.published.view = Arc::new(view);
        } else if counts == self.published.counts {
            return None;
        }
        self.published.counts = counts;
        Some(self.published.clone())
    }

    /// Panics as if in the middle of an event.
    #[cfg(test)]
    pub(crate) fn panic_for_test(&mut self) -> Snapshot {
        self.last_event_completed = false;
        panic!("a panic injected by a test");
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{member_id, tests::packet};
    use std::panic::{AssertUnwindSafe, catch_unwind};
    use std::time::Duration;

    /// Guards against a view whose version or incarnation goes back after a panic, and a member
    /// that thereby rejoins the fleet after it had left.
    #[test]
    fn restarted_member_continues_version_incarnation_and_leave() {
        let settings = Settings {
            me: member_id("me"),
            name: "me".to_owned(),
            address: "127.0.0.1:7001".parse().expect("an address"),
            seeds: Vec::new(),
            incarnation: 1,
            boot: 1,
            period: Duration::from_secs(1),
            seed: 1,
        };
        let (now, mut actions) = (Time(0), Vec::new());
        let mut members = Members::new(settings, now);
        members.handle(now, Event::Wake, &mut actions);
        members.handle(now, Event::Packet(&packet(9)), &mut actions);
        members.handle(now, Event::Leave, &mut actions);
        let before = members.published().view;
        assert!(before.version > 5, "several changes");
        assert!(catch_unwind(AssertUnwindSafe(|| members.panic_for_test())).is_err());
        members.handle(members.wake_at, Event::Wake, &mut actions);
        let after = members.published().view;
        assert!(after.version > before.version, "{} after {}", after.version, before.version);
        assert!(after.incarnation > before.incarnation);
        let me = after.members.iter().find(|member| member.update.id == after.me).expect("this member");
        assert_eq!(me.update.state, cottonpoint_peers::MemberState::Left);
    }
}
