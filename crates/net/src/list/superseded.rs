//! Polls of a discovery that a reload has named another one for. What it writes to them still counts as told, so they are
//! read until the new one has answered.

use super::poll::{End, Poll};
use futures_lite::future;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::Poll as Progress;

/// Polls kept at most: configurations come in a row, and each holds a connection.
const KEPT_MOST: usize = 4;

/// Superseded polls that may still be answered, oldest first.
#[derive(Default)]
pub(super) struct Superseded(VecDeque<Poll>);

impl Superseded {
    /// Keeps a poll that discovery has been asked; one that is still to be sent is dropped.
    pub fn keep(&mut self, poll: Poll) {
        if !poll.is_sent() {
            return;
        }
        if self.0.len() == KEPT_MOST {
            self.0.pop_front();
        }
        self.0.push_back(poll);
    }

    /// Ends them all, with their connections.
    pub fn drop_all(&mut self) {
        self.0.clear();
    }

    /// The end of whichever ends next; never, while there is none.
    pub async fn next(&mut self) -> End {
        future::poll_fn(|context| {
            for at in 0..self.0.len() {
                if let Progress::Ready(end) = Pin::new(&mut self.0[at]).poll(context) {
                    drop(self.0.remove(at));
                    return Progress::Ready(end);
                }
            }
            Progress::Pending
        })
        .await
    }
}
