//! The account of the bytes that the process holds for its clients and endpoints. Everything that
//! others can make it hold is reserved here before it is read, against one budget. Does no I/O and
//! reads no clock.

/// Bytes in a mebibyte; the settings count in these.
const MIB: usize = 1 << 20;
/// Memory of the process, in MiB, that is not in the account: the program itself, the endpoint list
/// and its parsing, files in the state directory.
const BASELINE_MIB: usize = 6;
/// The processes of an upgrade share one limit, and each keeps within its part all the time: the
/// newer one needs its own from its first connection on.
const PROCESSES_OF_AN_UPGRADE: usize = 2;
/// The part of a process's memory, in percent, that the account may hand out; the rest is lost to
/// the allocator.
const USABLE_PERCENT: usize = 92;
/// The least budget, in MiB: with less, no request could be served.
const MIN_BUDGET_MIB: usize = 2;

/// What an open connection holds without a message, in bytes: an empty buffer and its task's state.
const CLIENT_CONNECTION_BYTES: usize = 12 << 10;
const ENDPOINT_CONNECTION_BYTES: usize = 10 << 10;
/// The part of a process's memory, in percent, that connections to clients and to endpoints may take.
const CLIENT_CONNECTIONS_PERCENT: usize = 45;
const ENDPOINT_CONNECTIONS_PERCENT: usize = 22;

/// Numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The most connections from clients.
    pub clients: usize,
    /// The most connections to endpoints.
    pub endpoints: usize,
}

impl ConnectionLimits {
    /// These limits, or fewer where the memory of a sidecar in MiB has no room for as many.
    pub fn within_memory(self, limit_mib: usize) -> ConnectionLimits {
        let available = available_bytes(limit_mib) / 100;
        let clients = available.saturating_mul(CLIENT_CONNECTIONS_PERCENT) / CLIENT_CONNECTION_BYTES;
        let endpoints = available.saturating_mul(ENDPOINT_CONNECTIONS_PERCENT) / ENDPOINT_CONNECTION_BYTES;
        ConnectionLimits {
            clients: self.clients.min(clients.max(1)),
            endpoints: self.endpoints.min(endpoints.max(1)),
        }
    }

    /// What so many connections hold without a message, in bytes.
    fn bytes(self) -> usize {
        self.clients * CLIENT_CONNECTION_BYTES + self.endpoints * ENDPOINT_CONNECTION_BYTES
    }
}

/// The memory of one process, in bytes, that connections and messages may take.
fn available_bytes(limit_mib: usize) -> usize {
    let own = limit_mib / PROCESSES_OF_AN_UPGRADE;
    let available = own.saturating_sub(BASELINE_MIB).max(MIN_BUDGET_MIB);
    available.saturating_mul(MIB) / 100 * USABLE_PERCENT
}

/// What bytes are held for, in the order in which it gives way when memory runs short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// What a client sends behind its open request.
    Pipelined,
    /// A request that is being read.
    Reading,
    /// An answer that is held until it is whole.
    HeldAnswer,
    /// A request that is about to be admitted.
    Admission,
}

impl Purpose {
    /// All purposes, in the order of their discriminants.
    pub const ALL: [Purpose; 4] =
        [Purpose::Pipelined, Purpose::Reading, Purpose::HeldAnswer, Purpose::Admission];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Pipelined => "pipelined",
            Purpose::Reading => "reading",
            Purpose::HeldAnswer => "held_answer",
            Purpose::Admission => "admission",
        }
    }

    /// The part of the budget, in percent, up to which bytes are reserved for it.
    fn share_percent(self) -> usize {
        match self {
            Purpose::Pipelined => 30,
            Purpose::Reading => 55,
            Purpose::HeldAnswer => 65,
            Purpose::Admission => 100,
        }
    }
}

/// The account of one process.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    budget: usize,
    reserved: usize,
    peak: usize,
    refusals: [u64; Purpose::ALL.len()],
}

impl MemoryAccount {
    /// An account for a process of a sidecar that may have `limit_mib` MiB in all, and so many
    /// connections in this process.
    pub fn new(limit_mib: usize, connections: ConnectionLimits) -> MemoryAccount {
        MemoryAccount {
            budget: MemoryAccount::budget_for(limit_mib, connections),
            reserved: 0,
            peak: 0,
            refusals: Default::default(),
        }
    }

    fn budget_for(limit_mib: usize, connections: ConnectionLimits) -> usize {
        available_bytes(limit_mib).saturating_sub(connections.bytes()).max(MIN_BUDGET_MIB * MIB)
    }

    /// Applies other limits. What is reserved stays so.
    pub fn set_limits(&mut self, limit_mib: usize, connections: ConnectionLimits) {
        self.budget = MemoryAccount::budget_for(limit_mib, connections);
    }

    /// Counts a reservation that was refused.
    pub fn count_refusal(&mut self, purpose: Purpose) {
        self.refusals[purpose as usize] += 1;
    }

    /// Reserves bytes, if the purpose's part of the budget has room for them.
    pub fn try_reserve(&mut self, bytes: usize, purpose: Purpose) -> bool {
        let share = (self.budget / 100).saturating_mul(purpose.share_percent());
        if self.reserved.saturating_add(bytes) > share {
            return false;
        }
        self.reserved = self.reserved.saturating_add(bytes);
        self.peak = self.peak.max(self.reserved);
        true
    }

    /// Gives reserved bytes back.
    pub fn release(&mut self, bytes: usize) {
        self.reserved = self.reserved.saturating_sub(bytes);
    }

    /// The budget in bytes.
    pub fn budget(&self) -> usize {
        self.budget
    }

    /// The bytes reserved now, and the most that were ever reserved.
    pub fn reserved(&self) -> (usize, usize) {
        (self.reserved, self.peak)
    }

    /// Refused reservations, by purpose.
    pub fn refusals(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Purpose::ALL.iter().zip(&self.refusals).map(|(purpose, count)| (purpose.name(), *count))
    }
}

#[cfg(test)]
mod tests;
