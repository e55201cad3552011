//! Upgrades in a soak: two processes in one slot, with the same state directory, and orders of
//! operators on both consoles.

use super::{OlderProcess, SoakRun, name_of};
use crate::soak::member::RunningProcess;
use crate::soak::plan::Side;
use crate::soak::pressure::PressureKind;
use crate::soak::records::EndpointOrder;
use crate::soak::shared_id;
use async_io::Timer;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Number of ids that are sent to both processes of an upgrade, of how many of the first classes, and
/// the interval between them.
const SHARED_IDS: usize = 6;
const SHARED_ID_CLASSES: usize = 3;
const SHARED_ID_INTERVAL: Duration = Duration::from_millis(100);
/// Answers that last longer than the older process may take to end begin this long before SIGTERM.
const LONGEST_ANSWERS_BEFORE_SIGTERM: Duration = Duration::from_millis(300);
/// SIGKILL comes this much later than at the earliest permitted time, after those answers.
const LATE_KILL: Duration = Duration::from_secs(4);

impl SoakRun {
    /// Starts another process in a slot. From then on the events of the slot concern that one; the
    /// older one serves its clients until [`SoakRun::end_upgrade`].
    pub(super) async fn upgrade(self: Rc<Self>, slot: usize) -> io::Result<()> {
        let place = &self.slots[slot];
        if self.finished.get() || place.running.borrow().is_none() || place.older.borrow().is_some() {
            return Ok(());
        }
        let older_member = place.member.get();
        place.incarnation.set(place.incarnation.get() + 1);
        let running = place.running.take();
        let clients = place.clients.take();
        *place.older.borrow_mut() =
            running.map(|running| OlderProcess { member: older_member, running, clients });
        self.clone().start_members(vec![slot], self.discovery.whole_list()).await?;
        let incarnation = self.slots[slot].incarnation.get();
        self.executor.spawn(self.clone().share_ids(slot, incarnation)).detach();
        Ok(())
    }

    /// Sends some ids to both processes of an upgrade, in both directions, as long as both run.
    async fn share_ids(self: Rc<Self>, slot: usize, incarnation: u32) {
        for number in 0..SHARED_IDS {
            let older = self.slots[slot].older.borrow().as_ref().and_then(|older| older.clients.clone());
            let newer = self.slots[slot].clients.borrow().clone();
            let (Some(older), Some(newer)) = (older, newer) else { return };
            let class = number % SHARED_ID_CLASSES;
            if older.uses(class) && newer.uses(class) {
                let mut addresses = [older.address, newer.address];
                addresses.rotate_left(number % 2);
                let id = format!("both-{slot}-{incarnation}-{number}");
                self.pressure.borrow_mut().shared_ids.push(id.clone());
                // Whether a process answers is no matter here: it may end at any time.
                let _ = shared_id::send_to_both(addresses, &id, class).await;
            }
            Timer::after(SHARED_ID_INTERVAL).await;
        }
    }

    /// Gives an order on the console of one of the processes of a slot, if that one runs.
    pub(super) async fn give_order(&self, slot: usize, side: Side, endpoint: usize, offline: bool) {
        let place = &self.slots[slot];
        let process = match side {
            Side::Older => {
                place.older.borrow().as_ref().map(|older| (older.member, older.running.console()))
            }
            Side::Newer => {
                place.running.borrow().as_ref().map(|running| (place.member.get(), running.console()))
            }
        };
        let Some((member, console)) = process else { return };
        let sent = self.run_start.elapsed();
        let answer = RunningProcess::order(console, &name_of(endpoint), offline).await;
        let confirmed = answer.unwrap_or(false).then(|| self.run_start.elapsed());
        self.orders.borrow_mut().push(EndpointOrder { member, endpoint, offline, sent, confirmed });
    }

    /// Terminates the older process of an upgrade.
    pub(super) async fn end_upgrade(self: Rc<Self>, slot: usize) -> io::Result<()> {
        let Some(older) = self.slots[slot].older.take() else { return Ok(()) };
        if let Some(clients) = &older.clients {
            self.start_pressure_on(clients, older.member, PressureKind::LongestAnswers);
            Timer::after(LONGEST_ANSWERS_BEFORE_SIGTERM).await;
        }
        self.terminate_process(older.member, older.running, older.clients, LATE_KILL).await
    }
}
