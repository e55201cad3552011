//! Graceful shutdown of a process that has no successor: until when it serves, when it closes
//! client connections, and which requests it refuses meanwhile. Does no I/O and reads no clock.

use cottonpoint_decide::Time;
use std::time::Duration;

/// SIGKILL follows the stop signal no sooner than the longest class deadline, which counts as at
/// most this, plus [`KILL_SLACK`].
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Added to the longest deadline for the time of SIGKILL (the protocol specification). A request
/// that arrives later than this after the signal still has to be answered before the SIGKILL.
const KILL_SLACK: Duration = Duration::from_millis(700);
/// The last answer is sent this long before SIGKILL: three of the deployment's 0.1 s polling
/// intervals.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// How long a write to the disk may take once SIGKILL may come at any time.
const LATE_FLUSH_TIME: Duration = Duration::from_millis(300);
/// Client connections are closed this long before the last answer: the slowest 1% of answers takes
/// about as long.
const CLOSE_BEFORE_LAST_ANSWER: Duration = Duration::from_secs(1);
/// New connections arrive for at least 0.2 s after the signal (the protocol specification); after
/// that only kept-alive ones are used. Keeping one free from half of that time on ensures that one
/// is free when the last new connection has arrived.
const KEEP_SPARE_AFTER: Duration = Duration::from_millis(100);
/// Retry-After for a client that found too few free connections: several answers free one within
/// this time.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Connections kept free: at most this many, and at most one for every [`IN_USE_PER_SPARE`] in use.
/// With one or two, the next client still found none in every second run of rounds-main's reload
/// day, since several clients come at once; with three, in no run. With few connections in use, a
/// refusal costs more than it saves.
const MAX_SPARE: usize = 3;
const IN_USE_PER_SPARE: usize = 4;

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    requested_at: Time,
    closes_connections_at: Time,
    last_answer_at: Time,
    kill_at: Time,
}

impl Shutdown {
    /// A shutdown requested at `requested_at`; `longest` is the longest deadline of the classes.
    pub fn new(requested_at: Time, longest: Duration) -> Shutdown {
        let kill_at = requested_at + longest.min(MAX_DEADLINE) + KILL_SLACK;
        let last_answer_at = kill_at - ANSWER_MARGIN;
        Shutdown {
            requested_at,
            closes_connections_at: requested_at.max(last_answer_at - CLOSE_BEFORE_LAST_ANSWER),
            last_answer_at,
            kill_at,
        }
    }

    /// The same shutdown with connections closing from `now` on at the latest: a newer process
    /// takes over the clients.
    pub fn close_connections_by(self, now: Time) -> Shutdown {
        Shutdown { closes_connections_at: self.closes_connections_at.min(now), ..self }
    }

    /// From this time on, connections are closed after their answers, and idle ones at once.
    pub fn closes_connections_at(&self) -> Time {
        self.closes_connections_at
    }

    /// Deadline of a request that arrived after the stop signal, however long its client would
    /// wait.
    pub fn deadline(&self, deadline: Time) -> Time {
        deadline.min(self.last_answer_at)
    }

    /// When the last answer begins at the latest. One that is being passed on goes on to its end.
    pub fn last_answer_at(&self) -> Time {
        self.last_answer_at
    }

    /// Whether the shutdown is complete: new connections have stopped arriving, and none is open.
    pub fn is_complete(&self, now: Time, open: usize) -> bool {
        open == 0 && now >= self.requested_at + KILL_SLACK
    }

    /// Refuses a request that arrived while fewer than the spare connections were free, and returns
    /// the delay after which the client should retry. No new connections arrive any more at this
    /// point: the next client might find none free, and a front that finds none takes all clients
    /// away, although no other process may be there to serve them (rounds-main, reload: 1.5 s
    /// without any sidecar).
    ///
    /// `free` counts connections kept alive between requests; `busy` counts those with an admitted
    /// request, this one included. Connections that have sent nothing, or an incomplete request,
    /// cannot be reused by a client and count as neither.
    pub fn refusal(&self, now: Time, free: usize, busy: usize) -> Option<Duration> {
        let only_kept_alive =
            now >= self.requested_at + KEEP_SPARE_AFTER && now < self.closes_connections_at;
        let spare = MAX_SPARE.min((free + busy) / IN_USE_PER_SPARE);
        (only_kept_alive && free < spare).then_some(RETRY_AFTER)
    }

    /// Until when a write to the disk is waited for: the earliest time at which SIGKILL may come, or
    /// a moment from `now` on, if long answers have lasted longer.
    pub fn flush_until(&self, now: Time) -> Time {
        if now < self.kill_at { self.kill_at } else { now + LATE_FLUSH_TIME }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    const REQUESTED_AT: Time = Time(7_000_000_000);

    /// Guards against: an answer still under way when SIGKILL may come, for short, long and zero
    /// deadlines.
    #[test]
    fn last_answer_precedes_the_kill_and_connections_close_before_it() {
        for (longest, last) in
            [(ms(6000), ms(3400)), (ms(3000), ms(3400)), (ms(500), ms(900)), (ms(0), ms(400))]
        {
            let shutdown = Shutdown::new(REQUESTED_AT, longest);
            assert_eq!(
                shutdown.deadline(REQUESTED_AT + ms(60_000)),
                REQUESTED_AT + last,
                "deadline {longest:?}"
            );
            assert_eq!(shutdown.deadline(REQUESTED_AT + ms(100)), REQUESTED_AT + ms(100));
            assert_eq!(shutdown.closes_connections_at(), REQUESTED_AT + last.saturating_sub(ms(1000)));
        }
    }

    /// Guards against: refusing a request while new connections still arrive, when connections are
    /// being closed anyway or when few are in use; and handing out the last free connections in
    /// between.
    #[test]
    fn spare_connections_are_kept_free_once_new_ones_stop_arriving() {
        let shutdown = Shutdown::new(REQUESTED_AT, ms(3000));
        let refuses = |after, free, busy| shutdown.refusal(REQUESTED_AT + ms(after), free, busy).is_some();
        let at = |after| refuses(after, 2, 10);
        assert!(!at(99) && at(100) && at(2399) && !at(2400));
        assert!(!refuses(1000, 3, 9) && !refuses(1000, 3, 97), "three connections are free");
        let closing = shutdown.close_connections_by(REQUESTED_AT + ms(50));
        assert_eq!(closing.refusal(REQUESTED_AT + ms(200), 0, 12), None, "a newer process serves them");
        assert!(
            !refuses(1000, 0, 3) && refuses(1000, 0, 4) && !refuses(1000, 1, 3),
            "few connections are in use"
        );
    }

    /// Guards against giving up a write to the disk at once where long answers have lasted beyond the
    /// time of SIGKILL, and against waiting for it without a bound.
    #[test]
    fn disk_is_waited_for_also_after_long_answers() {
        let shutdown = Shutdown::new(REQUESTED_AT, ms(3000));
        let kill_at = REQUESTED_AT + ms(3700);
        assert_eq!(shutdown.flush_until(REQUESTED_AT + ms(700)), kill_at);
        assert_eq!(shutdown.flush_until(kill_at), kill_at + LATE_FLUSH_TIME);
        assert_eq!(shutdown.flush_until(kill_at + ms(9000)), kill_at + ms(9000) + LATE_FLUSH_TIME);
    }

    /// Guards against: ending while new connections may still arrive, or while one is open.
    #[test]
    fn shutdown_is_complete_once_no_connection_arrives_or_is_open() {
        let shutdown = Shutdown::new(REQUESTED_AT, ms(3000));
        assert!(
            !shutdown.is_complete(REQUESTED_AT + ms(699), 0)
                && shutdown.is_complete(REQUESTED_AT + ms(700), 0)
        );
        assert!(!shutdown.is_complete(REQUESTED_AT + ms(9000), 1));
    }
}
