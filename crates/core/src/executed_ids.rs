//! The ids of requests that may have run. A client may leave and send its request again with the
//! same id; whether it may then run once more depends on its class. Does no I/O and reads no clock.

use cottonpoint_decide::{Effect, Scope, Time};
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of ids remembered; beyond it the oldest is forgotten. A few minutes of the requests
/// that one sidecar gets.
const MAX_IDS: usize = 16_384;

/// The identity of a request's id (XXH3, 64 bits), the same in all processes; never 0.
pub fn request_id_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes()).max(1)
}

/// Whether a request may be served whose id may have run before: in this process at `first_sent`, or
/// in another one of the same sidecar (`elsewhere`).
pub fn may_run_again(effect: Effect, first_sent: Option<Time>, elsewhere: bool, now: Time) -> bool {
    match effect {
        Effect::Safe => true,
        // Any endpoint discards the repeat.
        Effect::Keyed { scope: Scope::All, window } => first_sent.is_none_or(|first| now < first + window),
        Effect::Keyed { .. } | Effect::Unsafe => first_sent.is_none() && !elsewhere,
    }
}

/// Whether ids of a class with this effect have to be known to the other processes of the sidecar.
pub fn is_shared(effect: Effect) -> bool {
    matches!(effect, Effect::Unsafe | Effect::Keyed { scope: Scope::Zone | Scope::Cell, .. })
}

/// The ids of this process's requests that may have run, and when each was first sent.
#[derive(Debug, Default)]
pub struct ExecutedIds {
    first_sent: HashMap<u64, Time>,
    order: VecDeque<u64>,
}

impl ExecutedIds {
    /// Remembers an id whose request has been written to an endpoint.
    pub fn record(&mut self, id: u64, now: Time) {
        if self.first_sent.contains_key(&id) {
            return;
        }
        if self.order.len() >= MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.first_sent.remove(&oldest);
        }
        self.first_sent.insert(id, now);
        self.order.push_back(id);
    }

    /// When a request with this id was first sent, if it is remembered.
    pub fn first_sent(&self, id: u64) -> Option<Time> {
        self.first_sent.get(&id).copied()
    }

    /// Number of ids remembered.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

#[cfg(test)]
mod tests;
