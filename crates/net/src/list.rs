//! The endpoint list. Discovery is polled first at a random moment (at once, where an agent pushes
//! the list), then watched for as long as the watch holds. The `schedule` module decides when each
//! poll is made and when it times out.

mod answer;
mod evidence;
mod names;
mod poll;
mod schedule;
mod superseded;
mod update;

pub use answer::{Answer, Entries, EntryFault, FaultyEntry};
pub use names::NameTable;

use crate::servers::EndpointConnections;
use async_channel::Receiver;
use async_io::Timer;
use cottonpoint_core::{PollEvent, Sidecar};
use evidence::evidence;
use futures_lite::future;
use poll::{Connection, Poll, PollEnd, PollFailure, PollRequest, PollResponse};
use schedule::{NextPoll, PollOutcome, Schedule};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use superseded::SupersededPolls;

/// The first poll of a process is made within this fraction of `ask_within` (see the settings), if
/// that is sooner than what the schedule says.
const FIRST_POLL_FRACTION: f64 = 0.36;

/// The address of discovery, and how it publishes the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAddress {
    /// The address that discovery listens on.
    pub address: SocketAddr,
    /// Whether this is an agent that lists are pushed to (`discovery` in the settings). What such
    /// an agent holds counts as notified at once, so it is polled without waiting for the balancer
    /// to subscribe.
    pub pushed: bool,
}

/// Returns the next address of discovery, or stays pending once the sender is gone.
async fn next_discovery_address(discovery_changes: &Receiver<DiscoveryAddress>) -> DiscoveryAddress {
    match discovery_changes.recv().await {
        Ok(address) => address,
        Err(_) => future::pending().await,
    }
}

/// Follows discovery on behalf of a sidecar.
pub struct Watcher {
    /// The sidecar that receives the lists and the outcomes of polls.
    pub sidecar: Rc<Sidecar>,
    /// The endpoint connections; idle ones to endpoints that take no new work are closed.
    pub endpoint_connections: Rc<EndpointConnections>,
    /// The current address of discovery.
    pub discovery: DiscoveryAddress,
    /// Numbers the list's names of zones and machine kinds.
    pub names: NameTable,
    /// The list version that is held; `None` before the first list.
    pub generation: Option<u64>,
    /// Receives the new address of discovery whenever it changes.
    pub discovery_changes: Receiver<DiscoveryAddress>,
    /// Source of the jitter between polls.
    pub random: fastrand::Rng,
}

/// What happened first: a poll ended, or the discovery address changed.
enum WatchEvent {
    PollEnded(PollEnd),
    /// A poll of a previous discovery address ended.
    SupersededPollEnded(PollEnd),
    DiscoveryMoved(DiscoveryAddress),
    /// The balancer that subscribes is gone: nobody needs the list any more.
    Unsubscribed,
}

/// The failure last logged in the current outage. A failure that persists is logged once; the log
/// itself limits the rate of those that change.
#[derive(Default)]
struct OutageLog(Option<String>);

impl OutageLog {
    /// Records a failure. Returns whether it differs from the last one.
    fn record_failure(&mut self, failure: &str) -> bool {
        self.0.replace(failure.to_owned()).as_deref() != Some(failure)
    }

    /// Records a success. Returns whether it ends an outage.
    fn end_outage(&mut self) -> bool {
        self.0.take().is_some()
    }
}

/// The state of the polls of one discovery address.
struct PollState {
    schedule: Schedule,
    /// The time at which the next poll is made.
    next_poll_at: Instant,
    /// The connection of the last poll, if it can be reused.
    idle_connection: Option<Connection>,
    in_flight: Option<Poll>,
}

impl PollState {
    fn new((schedule, next): (Schedule, NextPoll)) -> PollState {
        PollState {
            schedule,
            next_poll_at: Instant::now() + next.delay(),
            idle_connection: None,
            in_flight: None,
        }
    }
}

impl Watcher {
    /// Makes one poll after the other, each at the time that the schedule gives, until the
    /// subscribing balancer is gone. A new discovery address is polled soon: the old discovery
    /// closes its connections, and what the new one has counts as notified soon after the change.
    pub async fn run(mut self, subscriptions: Receiver<()>) {
        let mut outage_log = OutageLog::default();
        let mut state = PollState::new(self.first_poll());
        let mut superseded = SupersededPolls::default();
        let discovery_changes = self.discovery_changes.clone();
        loop {
            let moved_event =
                async { WatchEvent::DiscoveryMoved(next_discovery_address(&discovery_changes).await) };
            let superseded_end = async { WatchEvent::SupersededPollEnded(superseded.next().await) };
            let poll_end = self.drive_poll(&mut state, &subscriptions);
            // What has arrived is read before a change of the address drops a poll.
            match future::or(superseded_end, future::or(poll_end, moved_event)).await {
                WatchEvent::PollEnded(end) => {
                    if self.handle_poll_end(end, &mut state, &mut outage_log) {
                        superseded.clear();
                    }
                }
                WatchEvent::SupersededPollEnded(end) => self.apply_superseded(end),
                WatchEvent::DiscoveryMoved(address) => {
                    let has_dropped_one = state.in_flight.take().is_some_and(|poll| superseded.keep(poll));
                    state = PollState::new(self.switch_discovery(address));
                    if has_dropped_one {
                        self.record_unread_answer();
                    }
                }
                WatchEvent::Unsubscribed => return,
            }
            while subscriptions.try_recv().is_ok() {}
        }
    }

    /// Returns the schedule and the delay of the first poll of a process.
    fn first_poll(&mut self) -> (Schedule, NextPoll) {
        let (schedule, next) = Schedule::new(self.discovery.pushed);
        let NextPoll::FirstWithin(within) = next else { return (schedule, next) };
        let ask_within = self.sidecar.ask_within().map(|time| time.mul_f64(FIRST_POLL_FRACTION));
        let within = ask_within.map_or(within, |time| within.min(time));
        (schedule, NextPoll::After(within.mul_f64(self.random.f64())))
    }

    /// Makes the next poll when it is due, or continues the one in flight. Cancel safe: the future
    /// may be dropped and the method called again.
    async fn drive_poll(&mut self, state: &mut PollState, subscriptions: &Receiver<()>) -> WatchEvent {
        if state.in_flight.is_none() {
            if state.next_poll_at > Instant::now() {
                Timer::at(state.next_poll_at).await;
            }
            if subscriptions.is_closed() {
                return WatchEvent::Unsubscribed;
            }
        }
        let poll = state
            .in_flight
            .get_or_insert_with(|| self.start_poll(&state.schedule, state.idle_connection.take()));
        let end = poll.await;
        state.in_flight = None;
        WatchEvent::PollEnded(end)
    }

    /// Starts a poll, on the idle connection if there is one.
    fn start_poll(&mut self, schedule: &Schedule, idle_connection: Option<Connection>) -> Poll {
        let hold_time = schedule.hold_time(self.generation.is_none());
        self.sidecar.record_poll(PollEvent::Started { hold: hold_time });
        let request = PollRequest {
            address: self.discovery.address,
            generation: self.generation,
            hold_time,
            schedule: schedule.clone(),
            sidecar: self.sidecar.clone(),
            random: self.random.fork(),
        };
        Poll::start(request, idle_connection)
    }

    /// Processes the end of a poll and schedules the next one. Returns whether the poll was
    /// answered.
    fn handle_poll_end(&mut self, end: PollEnd, state: &mut PollState, outage_log: &mut OutageLog) -> bool {
        let PollEnd { result, took, hold_time, from_generation, .. } = end;
        let update = result.and_then(|PollResponse { body, connection }| {
            let update = self.interpret(&body, from_generation, took < hold_time)?;
            state.idle_connection = connection;
            Ok(update)
        });
        let answered = update.is_ok();
        let next = match update {
            Ok(update) => {
                if outage_log.end_outage() {
                    tracing::info!("discovery is answering again");
                }
                let early = update.early;
                self.apply_update(update, took);
                self.schedule_next(&mut state.schedule, PollOutcome::Answered { early }, took)
            }
            Err(failure) => self.handle_failure(&failure, took, &mut state.schedule, outage_log),
        };
        state.next_poll_at = Instant::now() + next.delay();
        answered
    }

    /// Reports a failed poll to the sidecar and the log. Returns when the next one is made.
    fn handle_failure(
        &mut self,
        PollFailure { outcome, error }: &PollFailure,
        took: Duration,
        schedule: &mut Schedule,
        outage_log: &mut OutageLog,
    ) -> NextPoll {
        self.sidecar.record_poll(evidence(*outcome, took));
        self.sidecar.counts().poll_failed(outcome.name());
        let is_new = outage_log.record_failure(&error.to_string());
        if *outcome == PollOutcome::NotMade {
            if is_new {
                tracing::warn!(failure = %error, "cannot poll discovery because of a local fault");
            }
        } else {
            if is_new {
                tracing::warn!(failure = %error, "discovery poll failed; keeping the current endpoint list");
            }
            self.sidecar.list_failed();
        }
        if *outcome == PollOutcome::ErrorStatus {
            // Discovery may not know the version held.
            self.generation = None;
        }
        let next = self.schedule_next(schedule, *outcome, took);
        self.log_failure(error, *outcome, took, next);
        next
    }

    /// Returns when the next poll is made after one that took `took` and ended with `outcome`.
    fn schedule_next(&mut self, schedule: &mut Schedule, outcome: PollOutcome, took: Duration) -> NextPoll {
        let (_, lease_left) = self.sidecar.list_age();
        schedule.poll_ended(outcome, took, lease_left, self.random.f64())
    }

    fn log_failure(&self, error: &io::Error, outcome: PollOutcome, took: Duration, next: NextPoll) {
        let (age, lease_left) = self.sidecar.list_age();
        tracing::debug!(
            failure = %error,
            ?outcome,
            took_ms = took.as_millis() as u64,
            list_age_ms = age.map(|age| age.as_millis() as u64),
            lease_left_ms = lease_left.as_millis() as u64,
            ?next,
            "discovery poll failed"
        );
    }

    /// Switches to another discovery address. Discovery is one service (the protocol
    /// specification), so its list versions continue, and a watch brings what was missed at a
    /// fraction of the cost of the whole list. Should the versions differ, the first, short watch
    /// shows it. The current address is sent again where its list is wanted at once.
    fn switch_discovery(&mut self, address: DiscoveryAddress) -> (Schedule, NextPoll) {
        self.sidecar.record_poll(PollEvent::DiscoveryChanged);
        if std::mem::replace(&mut self.discovery, address) == address {
            Schedule::immediate(address.pushed)
        } else {
            Schedule::moved(address.pushed, self.random.f64())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against two faults: later reasons of an outage that are never logged, and a log line
    /// for each failed poll of an outage.
    #[test]
    fn each_failure_of_an_outage_is_logged_once() {
        let mut last = OutageLog::default();
        let logged = ["refused", "refused", "silent", "silent", "refused"]
            .map(|failure| last.record_failure(failure));
        assert_eq!(logged, [true, false, true, false, true]);
        assert!(last.end_outage() && !last.end_outage());
        assert!(last.record_failure("refused"), "a new outage is logged");
    }
}
