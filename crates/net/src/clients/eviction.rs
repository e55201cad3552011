//! Eviction: tracks the connections without an open request by stage, and selects those that close
//! to make room for others.

use super::Clients;
use async_channel::Sender;
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a connection without an open request is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is new, and nothing has arrived on it.
    New,
    /// A request has begun and is not complete.
    ReadingRequest,
    /// It is kept open between requests.
    Idle,
    /// It has had its last response.
    Closing,
}

/// Which connections are evicted, in order of preference, and how long they must have been at that
/// stage: from 70 % of the maximum on, and at the maximum.
pub(super) const EVICT_EARLY: [(Stage, Duration); 2] =
    [(Stage::Idle, Duration::from_secs(2)), (Stage::New, Duration::from_secs(1))];
pub(super) const EVICT_AT_MAXIMUM: [(Stage, Duration); 5] = [
    (Stage::Idle, Duration::from_secs(2)),
    (Stage::Closing, Duration::from_millis(100)),
    (Stage::New, Duration::from_millis(300)),
    (Stage::ReadingRequest, Duration::from_millis(500)),
    (Stage::Idle, Duration::ZERO),
];

/// Where memory runs short, a connection is closed whose request has not arrived any further for
/// this long.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// During a drain, kept connections are closed as soon as they are idle, and new ones once they
/// have had time to start their first request: the front sends a request on a new connection at
/// once.
pub(super) const EVICT_IN_DRAIN: [(Stage, Duration); 2] =
    [(Stage::Idle, Duration::ZERO), (Stage::New, Duration::from_millis(300))];
/// The interval at which a drain checks for idle connections; the front checks readiness as often.
pub(super) const DRAIN_INTERVAL: Duration = Duration::from_millis(100);

/// A connection that may be closed: its stage, since when, and the channel that closes it.
pub(super) struct Evictable {
    stage: Stage,
    since: Instant,
    /// When a request that is being read last arrived any further.
    progress: Option<Rc<Cell<Instant>>>,
    close: Sender<()>,
}

impl Evictable {
    fn has_stalled(&self, now: Instant) -> bool {
        self.progress.as_ref().is_some_and(|progress| progress.get() + STALLED_AFTER <= now)
    }
}

impl Clients {
    /// Requests the close of one connection, the first that matches `order`; false where none does.
    pub(super) fn evict_one(&self, order: &[(Stage, Duration)]) -> bool {
        let (now, mut evictable) = (Instant::now(), self.evictable.borrow_mut());
        let first_match = |&(stage, age): &(Stage, Duration)| {
            let ready = |c: &Evictable| c.stage == stage && c.since + age <= now;
            evictable.iter().find(|(_, c)| ready(c)).map(|(&id, _)| id)
        };
        let id = order.iter().find_map(first_match);
        id.and_then(|id| evictable.remove(&id)).is_some_and(|c| c.close.try_send(()).is_ok())
    }

    /// Requests the close of one connection whose request has stalled; false where there is none.
    pub(super) fn evict_stalled(&self) -> bool {
        let (now, mut evictable) = (Instant::now(), self.evictable.borrow_mut());
        let id = evictable.iter().find(|(_, c)| c.has_stalled(now)).map(|(&id, _)| id);
        id.and_then(|id| evictable.remove(&id)).is_some_and(|c| c.close.try_send(()).is_ok())
    }

    /// The numbers of connections kept between requests and of those with an accepted request. New
    /// ones that have sent nothing, those whose request is incomplete and those that are closing
    /// count as neither.
    pub(super) fn connection_counts(&self) -> (usize, usize) {
        let evictable = self.evictable.borrow();
        let idle = evictable.values().filter(|c| c.stage == Stage::Idle).count();
        (idle, self.open.get().saturating_sub(evictable.len()))
    }

    /// Runs `work` on a connection that may be closed meanwhile; returns `None` if it is to close.
    pub(super) async fn run_evictable<T>(&self, stage: Stage, work: impl Future<Output = T>) -> Option<T> {
        self.run_evictable_with(stage, None, work).await
    }

    /// The same as [`Clients::run_evictable`], for a request that is being read: `progress` says when
    /// it last arrived any further.
    pub(super) async fn read_evictable<T>(
        &self,
        progress: Rc<Cell<Instant>>,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        self.run_evictable_with(Stage::ReadingRequest, Some(progress), work).await
    }

    async fn run_evictable_with<T>(
        &self,
        stage: Stage,
        progress: Option<Rc<Cell<Instant>>>,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let (close, closing) = async_channel::bounded(1);
        let id = self.next_id.replace(self.next_id.get() + 1);
        let evictable = Evictable { stage, since: Instant::now(), progress, close };
        self.evictable.borrow_mut().insert(id, evictable);
        let closed = async {
            let _ = closing.recv().await;
            None
        };
        let done = future::or(async { Some(work.await) }, closed).await;
        self.evictable.borrow_mut().remove(&id);
        done
    }
}

/// Counts a connection for as long as it is open.
pub(super) struct ConnectionGuard(pub(super) Rc<Clients>);

impl ConnectionGuard {
    pub(super) fn new(clients: Rc<Clients>) -> ConnectionGuard {
        clients.open.set(clients.open.get() + 1);
        ConnectionGuard(clients)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        let _ = self.0.closed.0.try_send(());
    }
}
