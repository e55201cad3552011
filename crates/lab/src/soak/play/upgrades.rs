//! Upgrades in a soak: two processes in one slot, with the same state directory, and orders of
//! operators on both consoles.

use super::{OlderProcess, SoakRun, name_of};
use crate::soak::member::RunningProcess;
use crate::soak::plan::Side;
use crate::soak::records::EndpointOrder;
use std::io;
use std::rc::Rc;

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
        self.start_members(vec![slot]).await
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
        self.terminate_process(older.member, older.running, older.clients).await
    }
}
