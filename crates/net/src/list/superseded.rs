//! Polls of a discovery address that a reload has replaced. What the old discovery writes to them
//! still counts as notified, so they are read until the new one has answered.

use super::poll::{Poll, PollEnd};
use futures_lite::future;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::Poll as Progress;

/// The maximum number of superseded polls: reloads may follow one another, and each poll holds a
/// connection.
const MAX_SUPERSEDED_POLLS: usize = 4;

/// Superseded polls that may still be answered, oldest first.
#[derive(Default)]
pub(super) struct SupersededPolls(VecDeque<Poll>);

impl SupersededPolls {
    /// Keeps a poll that has been sent; one that has not been sent is dropped. Returns whether the
    /// oldest one had to make room: what discovery writes to it from now on is not read.
    pub fn keep(&mut self, poll: Poll) -> bool {
        if !poll.is_sent() {
            return false;
        }
        poll.supersede();
        let is_full = self.0.len() == MAX_SUPERSEDED_POLLS;
        if is_full {
            self.0.pop_front();
        }
        self.0.push_back(poll);
        is_full
    }

    /// Drops all polls and closes their connections.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Waits for the next poll to end; stays pending while there is none.
    pub async fn next(&mut self) -> PollEnd {
        future::poll_fn(|context| {
            for index in 0..self.0.len() {
                if let Progress::Ready(end) = Pin::new(&mut self.0[index]).poll(context) {
                    drop(self.0.remove(index));
                    return Progress::Ready(end);
                }
            }
            Progress::Pending
        })
        .await
    }
}
