//! Idle connections to endpoints: which one is used again, when, and what is learnt from bytes that
//! arrive on them.

use super::{Connection, EndpointConnections};
use crate::Arrived;
use async_executor::Task;
use async_io::Timer;
use cottonpoint_core::{EndpointAddress, PathHistory, QUIET_TIME};
use futures_lite::future;
use std::time::{Duration, Instant};

/// An idle connection, and the task that drops it when it closes or has been idle for too long.
pub(super) struct IdleConnection {
    id: u64,
    idle_since: Instant,
    connection: Connection,
    _monitor: Task<()>,
}

impl IdleConnection {
    /// Whether it has been quiet for this long. One that has carried no answer always has.
    fn has_been_quiet(&self, now: Instant, quiet_time: Duration) -> bool {
        self.connection.quiet(now).is_none_or(|quiet| quiet >= quiet_time)
    }

    /// When it will have been quiet for this long.
    fn quiet_at(&self, quiet_time: Duration) -> Instant {
        self.connection.last_answer_at.map_or(self.idle_since, |at| at + quiet_time)
    }
}

impl EndpointConnections {
    /// Takes an idle connection to an endpoint that has been quiet for long enough and is still
    /// open: the most recently used one of those that are settled, or the one idle for longest.
    /// Where a connection will be quiet soon, it waits for that: a new connection costs the endpoint
    /// more, and may be established late.
    pub(super) async fn take_idle(
        &self,
        endpoint: EndpointAddress,
        repeatable: bool,
    ) -> Option<Connection> {
        let wait_until = Instant::now() + QUIET_TIME;
        loop {
            if let Some(connection) = self.take_quiet(endpoint, repeatable) {
                return Some(connection);
            }
            let next = self.next_quiet_at(endpoint, repeatable)?;
            if next > wait_until {
                return None;
            }
            Timer::at(next).await;
        }
    }

    /// When the next idle connection to an endpoint will have been quiet for long enough.
    fn next_quiet_at(&self, endpoint: EndpointAddress, repeatable: bool) -> Option<Instant> {
        let quiet_time = self.path(endpoint).quiet_time(Instant::now(), repeatable);
        let pools = self.idle.borrow();
        pools.get(&endpoint.id)?.iter().map(|idle| idle.quiet_at(quiet_time)).min()
    }

    /// Takes an idle connection that has been quiet for long enough and is still open.
    fn take_quiet(&self, endpoint: EndpointAddress, repeatable: bool) -> Option<Connection> {
        loop {
            let now = Instant::now();
            let idle = self.remove_quiet(endpoint, repeatable, now)?;
            // The timeout may have become shorter since the connection was returned.
            let has_expired = idle.idle_since + self.settings.borrow().idle_timeout <= now;
            let connection = idle.connection;
            if has_expired || connection.endpoint != endpoint {
                continue;
            }
            match Arrived::on(&connection.stream) {
                Arrived::Nothing => return Some(connection),
                Arrived::Bytes => self.record_copy(&connection),
                Arrived::End => {}
            }
        }
    }

    fn remove_quiet(
        &self,
        endpoint: EndpointAddress,
        repeatable: bool,
        now: Instant,
    ) -> Option<IdleConnection> {
        let path = self.path(endpoint);
        let quiet_time = path.quiet_time(now, repeatable);
        let settled_time = path.settled_time(now).max(quiet_time);
        let mut pools = self.idle.borrow_mut();
        let pool = pools.get_mut(&endpoint.id)?;
        let settled = pool.iter().rposition(|idle| idle.has_been_quiet(now, settled_time));
        let longest_idle = || pool.iter().position(|idle| idle.has_been_quiet(now, quiet_time));
        let position = settled.or_else(longest_idle)?;
        Some(pool.remove(position))
    }

    /// What has been observed of the path to an endpoint.
    pub(super) fn path(&self, endpoint: EndpointAddress) -> PathHistory {
        self.paths.borrow().get(&endpoint).cloned().unwrap_or_default()
    }

    /// Records bytes that arrived on a connection and belong to no request.
    pub(super) fn record_copy(&self, connection: &Connection) {
        let now = Instant::now();
        let Some(lateness) = connection.quiet(now) else { return };
        tracing::debug!(
            endpoint = %connection.endpoint.address,
            lateness_us = lateness.as_micros() as u64,
            "an endpoint sent bytes that belong to no request"
        );
        self.paths.borrow_mut().entry(connection.endpoint).or_default().record_copy(now, lateness);
    }

    /// Closes the idle connections to starts of endpoints that are no longer wanted.
    pub fn retain_idle(&self, wanted: impl Fn(EndpointAddress) -> bool) {
        self.idle.borrow_mut().retain(|_, pool| {
            pool.retain(|idle| wanted(idle.connection.endpoint));
            !pool.is_empty()
        });
        self.consecutive_timeouts.borrow_mut().retain(|endpoint, _| wanted(*endpoint));
        self.paths.borrow_mut().retain(|endpoint, _| wanted(*endpoint));
    }

    /// Closes the connection that has been idle for longest; false where there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut pools = self.idle.borrow_mut();
        let oldest = pools.iter().filter_map(|(&id, pool)| pool.first().map(|idle| (idle.id, id))).min();
        if let Some(pool) = oldest.and_then(|(_, id)| pools.get_mut(&id)) {
            pool.remove(0);
        }
        oldest.is_some()
    }

    /// Returns a connection to the pool for the next attempt.
    pub(super) fn return_idle(&self, connection: Connection) {
        let endpoint = connection.endpoint.id;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (weak_self, stream, idle_timeout) =
            (self.weak_self.clone(), connection.stream.clone(), self.settings.borrow().idle_timeout);
        let monitor = self.executor.spawn(async move {
            let closed = async {
                let _ = stream.readable().await;
            };
            let expired = async {
                Timer::after(idle_timeout).await;
            };
            future::or(closed, expired).await;
            let Some(connections) = weak_self.upgrade() else { return };
            let removed = {
                let mut pools = connections.idle.borrow_mut();
                let pool = pools.get_mut(&endpoint);
                pool.and_then(|pool| pool.iter().position(|idle| idle.id == id).map(|at| pool.remove(at)))
            };
            if let Some(IdleConnection { connection, _monitor: monitor, .. }) = removed {
                if Arrived::on(&connection.stream) == Arrived::Bytes {
                    connections.record_copy(&connection);
                }
                drop(connection);
                monitor.detach(); // This is the task that is running: dropping it would cancel it.
            }
        });
        let idle = IdleConnection { id, idle_since: Instant::now(), connection, _monitor: monitor };
        self.idle.borrow_mut().entry(endpoint).or_default().push(idle);
    }
}
