//! Reservations of memory: what a connection holds is reserved in the process's account, and given
//! back when the reservation is dropped.

use cottonpoint_core::{ConnectionLimits, MemoryAccount, Purpose};
use event_listener::{Event, EventListener};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::os::fd::AsFd;
use std::rc::Rc;

/// How many of those that wait for memory try again when some is given back.
const WAITING_PER_RELEASE: usize = 4;

/// Bounds what a socket holds in the kernel, in bytes a direction; connections that a listener
/// accepts have its bounds. The kernel's own bounds hold where it fails.
pub fn bound_socket_buffers(socket: &impl AsFd, bytes: usize) {
    let socket = SockRef::from(socket);
    let _ = socket.set_recv_buffer_size(bytes);
    let _ = socket.set_send_buffer_size(bytes);
}

/// The process's account of memory.
pub struct Memory {
    account: RefCell<MemoryAccount>,
    /// Notified when bytes are given back.
    released: Event,
    /// Notified when a reservation is refused.
    refused: Event,
}

impl Memory {
    /// An account for a process of a sidecar that may have `limit_mib` MiB in all, and so many
    /// connections in this process.
    pub fn new(limit_mib: usize, connections: ConnectionLimits) -> Rc<Memory> {
        let account = MemoryAccount::new(limit_mib, connections).into();
        Rc::new(Memory { account, released: Event::new(), refused: Event::new() })
    }

    /// Applies other limits, of memory in MiB and of connections.
    pub fn set_limits(&self, limit_mib: usize, connections: ConnectionLimits) {
        self.account.borrow_mut().set_limits(limit_mib, connections);
        self.released.notify(usize::MAX);
    }

    /// The budget, the bytes reserved now and the most that were ever reserved.
    pub fn figures(&self) -> (usize, usize, usize) {
        let account = self.account.borrow();
        let (reserved, peak) = account.reserved();
        (account.budget(), reserved, peak)
    }

    /// Refused reservations, by purpose.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        self.account.borrow().refusals().collect()
    }

    /// A reservation of nothing.
    pub fn reservation(self: &Rc<Memory>) -> Reservation {
        Reservation { memory: self.clone(), bytes: Cell::new(0) }
    }

    /// Waits for bytes to be given back, from this call on.
    pub(crate) fn listen(&self) -> EventListener {
        self.released.listen()
    }

    /// Lets some of those that wait for memory try again.
    fn notify_waiting(&self) {
        self.released.notify(WAITING_PER_RELEASE);
    }

    /// Waits until a reservation is refused.
    pub(crate) async fn refusal(&self) {
        self.refused.listen().await;
    }
}

/// Bytes reserved in the account until this is dropped.
pub struct Reservation {
    memory: Rc<Memory>,
    bytes: Cell<usize>,
}

impl Reservation {
    /// Reserves so many bytes more, if there is room for the purpose; counts it if there is none.
    pub fn try_grow(&self, bytes: usize, purpose: Purpose) -> bool {
        let granted = self.try_grow_again(bytes, purpose);
        if !granted {
            self.memory.account.borrow_mut().count_refusal(purpose);
        }
        granted
    }

    /// The same as [`Reservation::try_grow`], for one that has been counted as refused.
    pub(crate) fn try_grow_again(&self, bytes: usize, purpose: Purpose) -> bool {
        let granted = self.memory.account.borrow_mut().try_reserve(bytes, purpose);
        if granted {
            self.bytes.set(self.bytes.get() + bytes);
        } else {
            self.memory.refused.notify(1);
        }
        granted
    }

    /// Reserves so many bytes more as soon as there is room for the purpose.
    pub async fn grow(&self, bytes: usize, purpose: Purpose) {
        if self.try_grow(bytes, purpose) {
            return;
        }
        loop {
            self.memory.listen().await;
            if self.try_grow_again(bytes, purpose) {
                // There may be room for another one.
                return self.memory.notify_waiting();
            }
        }
    }

    /// Gives back what exceeds so many bytes.
    pub fn shrink_to(&self, bytes: usize) {
        let excess = self.bytes.get().saturating_sub(bytes);
        if excess > 0 {
            self.bytes.set(bytes);
            self.memory.account.borrow_mut().release(excess);
            self.memory.notify_waiting();
        }
    }

    /// Takes over the bytes of another reservation.
    pub fn merge(&self, other: Reservation) {
        self.bytes.set(self.bytes.get() + other.bytes.replace(0));
    }

    /// The account.
    pub(crate) fn memory(&self) -> &Rc<Memory> {
        &self.memory
    }

    /// The bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
