//! Room: which connections stand without an open flow, at what stage, and which of them close for others.

use super::Clients;
use async_channel::Sender;
use futures_lite::future;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a connection without an open flow is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is new, and nothing has come on it.
    Fresh,
    /// A request has begun and is not whole.
    Sending,
    /// It is kept between requests.
    Kept,
    /// It has had its last answer.
    Ending,
}

/// Which connections make room, first to last, and how long they must have been at that stage: from seven
/// tenths of the bound on, and at the bound.
pub(super) const EARLY: [(Stage, Duration); 2] =
    [(Stage::Kept, Duration::from_secs(2)), (Stage::Fresh, Duration::from_secs(1))];
pub(super) const AT_BOUND: [(Stage, Duration); 5] = [
    (Stage::Kept, Duration::from_secs(2)),
    (Stage::Ending, Duration::from_millis(100)),
    (Stage::Fresh, Duration::from_millis(300)),
    (Stage::Sending, Duration::from_millis(500)),
    (Stage::Kept, Duration::ZERO),
];

/// In a drain, kept connections are closed as soon as they stand idle, new ones once they had time for their
/// first request to begin: the front sends a new connection its request at once.
pub(super) const DRAIN: [(Stage, Duration); 2] =
    [(Stage::Kept, Duration::ZERO), (Stage::Fresh, Duration::from_millis(300))];
/// How often a drain looks for idle connections: the front asks for readiness as often.
pub(super) const DRAIN_EVERY: Duration = Duration::from_millis(100);

/// A connection that may be closed: what it is doing, since when, and how to close it.
pub(super) struct Closable {
    stage: Stage,
    since: Instant,
    close: Sender<()>,
}

impl Clients {
    /// Asks one connection to close, the first that the order names; false where there is none.
    pub(super) fn make_room(&self, order: &[(Stage, Duration)]) -> bool {
        let (now, mut list) = (Instant::now(), self.closable.borrow_mut());
        let longest = |&(stage, age): &(Stage, Duration)| {
            let ready = |c: &Closable| c.stage == stage && c.since + age <= now;
            list.iter().find(|(_, c)| ready(c)).map(|(&number, _)| number)
        };
        let number = order.iter().find_map(longest);
        number.and_then(|number| list.remove(&number)).is_some_and(|c| c.close.try_send(()).is_ok())
    }

    /// Connections in use: those kept between requests, and those whose request has been taken. New ones that have
    /// said nothing, those still sending and those ending are neither.
    pub(super) fn in_use(&self) -> (usize, usize) {
        let list = self.closable.borrow();
        let kept = list.values().filter(|c| c.stage == Stage::Kept).count();
        (kept, self.open.get().saturating_sub(list.len()))
    }

    /// Does some work on a connection that may be closed meanwhile; `None` if it is to close.
    pub(super) async fn at_stage<T>(&self, stage: Stage, work: impl Future<Output = T>) -> Option<T> {
        let (close, closing) = async_channel::bounded(1);
        let number = self.next.replace(self.next.get() + 1);
        let closable = Closable { stage, since: Instant::now(), close };
        self.closable.borrow_mut().insert(number, closable);
        let closed = async {
            let _ = closing.recv().await;
            None
        };
        let done = future::or(async { Some(work.await) }, closed).await;
        self.closable.borrow_mut().remove(&number);
        done
    }
}

/// Counts a connection for as long as it is open.
pub(super) struct Open(pub(super) Rc<Clients>);

impl Open {
    pub(super) fn new(clients: Rc<Clients>) -> Open {
        clients.open.set(clients.open.get() + 1);
        Open(clients)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        let _ = self.0.closed.0.try_send(());
    }
}
