//! Turns SIGINT and SIGTERM into a flag that ends every wait. The run then returns an error, and
//! dropping its values ends everything that it has started.

use super::error::ScaleError;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    received: Mutex<bool>,
    changed: Condvar,
}

impl State {
    fn received(&self) -> MutexGuard<'_, bool> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the run has received SIGINT or SIGTERM.
pub(super) struct Interrupt(Arc<State>);

impl Interrupt {
    /// Handles the signals from now on.
    pub(super) fn watch() -> io::Result<Interrupt> {
        let mut signals = Signals::new([Signal::Int, Signal::Term])?;
        let state = Arc::new(State::default());
        let thread_state = state.clone();
        thread::Builder::new().name("signals".to_owned()).spawn(move || {
            if async_io::block_on(signals.next()).is_some() {
                *thread_state.received() = true;
                thread_state.changed.notify_all();
            }
            // The handlers stay installed, so that a second signal does not end this process before
            // those that it has started.
            async_io::block_on(async { while signals.next().await.is_some() {} });
        })?;
        Ok(Interrupt(state))
    }

    /// Whether a signal has been received.
    pub(super) fn is_set(&self) -> bool {
        *self.0.received()
    }

    /// Sleeps for `length`. Fails as soon as a signal is received.
    pub(super) fn sleep(&self, length: Duration) -> Result<(), ScaleError> {
        let deadline = Instant::now() + length;
        let mut received = self.0.received();
        while !*received {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            received =
                self.0.changed.wait_timeout(received, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
        Err(ScaleError::Interrupted)
    }

    /// Calls `found` at the given interval until it returns a value. Fails after `limit`, or when a
    /// signal is received.
    pub(super) fn wait_for<T>(
        &self,
        condition: &str,
        limit: Duration,
        interval: Duration,
        mut found: impl FnMut() -> Result<Option<T>, ScaleError>,
    ) -> Result<T, ScaleError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(found) = found()? {
                return Ok(found);
            }
            if Instant::now() > deadline {
                return Err(ScaleError::Timeout { condition: condition.to_owned(), limit });
            }
            self.sleep(interval)?;
        }
    }
}
