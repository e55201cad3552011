//! The members' table: the plane, when it wants to wake, and what was last published of it.

use crate::Snapshot;
use cottonpoint_decide::Time;
use cottonpoint_peers::{Action, Event, Peers, Settings};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The state under the members' lock.
pub(crate) struct Members {
    settings: Settings,
    plane: Peers,
    /// When the plane wants to wake.
    pub(crate) wake_at: Time,
    /// Whether the last step came to its end: a plane that fell in the middle of one is not to be trusted.
    whole: bool,
    /// Whether it was told to leave.
    left: bool,
    /// Versions that went by before this plane began.
    versions: u64,
    published: Snapshot,
}

impl Members {
    /// A plane that wakes first at `now`, and its first snapshot.
    pub(crate) fn new(settings: Settings, now: Time) -> Members {
        let plane = Peers::new(settings.clone(), now);
        let published = Snapshot { view: Arc::new(plane.view()), counts: plane.counts() };
        Members { settings, plane, wake_at: now, whole: true, left: false, versions: 0, published }
    }

    pub(crate) fn published(&self) -> Snapshot {
        self.published.clone()
    }

    /// One step of the plane. What there is to send is added to `to_do`; a snapshot comes where anything changed.
    pub(crate) fn step(
        &mut self,
        now: Time,
        event: Event<'_>,
        to_do: &mut Vec<Action>,
    ) -> Option<Snapshot> {
        if matches!(event, Event::Wake) && now < self.wake_at {
            return None; // Another worker was there first.
        }
        match event {
            Event::Leave => self.left = true,
            Event::Join => self.left = false,
            _ => {}
        }
        if !self.whole {
            self.start_anew(now, to_do);
        }
        self.whole = false;
        self.plane.handle(now, event, to_do);
        self.whole = true;
        to_do.retain(|action| match action {
            Action::WakeAt(time) => {
                self.wake_at = *time;
                false
            }
            Action::Send { .. } => true,
        });
        self.publish()
    }

    /// As a new process of the same name would: another boot, and an incarnation above the last one seen.
    fn start_anew(&mut self, now: Time, to_do: &mut Vec<Action>) {
        self.settings.boot = xxh3_64(&self.settings.boot.to_be_bytes());
        self.settings.incarnation = self.published.view.incarnation.saturating_add(1);
        self.versions = self.published.view.version;
        self.plane = Peers::new(self.settings.clone(), now);
        self.plane.handle(now, Event::Wake, to_do);
        if self.left {
            self.plane.handle(now, Event::Leave, to_do);
        }
    }

    fn publish(&mut self) -> Option<Snapshot> {
        let (version, counts) = (self.versions + self.plane.version(), self.plane.counts());
        if version != self.published.view.version {
            let mut view = self.plane.view();
            view.version = version;
            self.published.view = Arc::new(view);
        } else if counts == self.published.counts {
            return None;
        }
        self.published.counts = counts;
        Some(self.published.clone())
    }

    /// Falls in the middle of a step.
    #[cfg(test)]
    pub(crate) fn fall(&mut self) -> Snapshot {
        self.whole = false;
        panic!("a fault in the plane, made for a test");
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{id_of, tests::packet};
    use std::panic::{AssertUnwindSafe, catch_unwind};
    use std::time::Duration;

    /// Guards against: a view whose version or incarnation goes back, or a member back in the fleet that had left it,
    /// after a fall.
    #[test]
    fn a_member_that_starts_anew_goes_on_from_where_it_was() {
        let settings = Settings {
            me: id_of("me"),
            name: "me".to_owned(),
            address: "127.0.0.1:7001".parse().expect("an address"),
            seeds: Vec::new(),
            incarnation: 1,
            boot: 1,
            period: Duration::from_secs(1),
            seed: 1,
        };
        let (now, mut to_do) = (Time(0), Vec::new());
        let mut members = Members::new(settings, now);
        members.step(now, Event::Wake, &mut to_do);
        members.step(now, Event::Packet(&packet(9)), &mut to_do);
        members.step(now, Event::Leave, &mut to_do);
        let before = members.published().view;
        assert!(before.version > 5, "many changes went by");
        assert!(catch_unwind(AssertUnwindSafe(|| members.fall())).is_err());
        members.step(members.wake_at, Event::Wake, &mut to_do);
        let after = members.published().view;
        assert!(after.version > before.version, "{} after {}", after.version, before.version);
        assert!(after.incarnation > before.incarnation);
        let me = after.members.iter().find(|member| member.news.id == after.me).expect("itself");
        assert_eq!(me.news.standing, cottonpoint_peers::Standing::Left);
    }
}
