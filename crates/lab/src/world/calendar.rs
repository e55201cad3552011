//! The events of the emulator and the calendar that orders them.

use super::endpoint::Nanos;
use super::{ClientKey, JobKey, RequestKey};
use cottonpoint_decide::{LoadReport, Outcome};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// An event in virtual time.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimEvent {
    Arrival,
    RetryDue(ClientKey),
    RequestAtSidecar {
        client: ClientKey,
        try_no: u32,
        sidecar: u32,
        process: u32,
        deadline: Nanos,
    },
    AnswerAtClient {
        client: ClientKey,
        try_no: u32,
        answer: Answer,
    },
    ClientTimeout {
        client: ClientKey,
        try_no: u32,
    },
    ClientLeaves {
        client: ClientKey,
        try_no: u32,
    },
    DeadlinePassed {
        request: RequestKey,
    },
    TimerFired {
        sidecar: u32,
        process: u32,
        token: u64,
    },
    AttemptAtEndpoint(JobKey),
    CompletionDue {
        endpoint: u32,
        schedule_version: u32,
    },
    CrowdingCheck {
        endpoint: u32,
    },
    AnswerAtSidecar(JobKey, Option<LoadReport>),
    AttemptEnd {
        request: RequestKey,
        attempt: u8,
        outcome: Outcome,
    },
    AttemptTimeout {
        request: RequestKey,
        attempt: u8,
    },
    CancelAtEndpoint(JobKey),
    ListChange {
        endpoint: u32,
        state: cottonpoint_decide::EndpointState,
    },
    ChangeDelivered {
        sidecar: u32,
        process: u32,
        endpoint: u32,
        state: cottonpoint_decide::EndpointState,
        started: Option<Nanos>,
    },
    FullListDelivered {
        sidecar: u32,
        process: u32,
    },
    PollFailed {
        sidecar: u32,
        process: u32,
    },
    Trouble {
        number: u32,
        begins: bool,
    },
    DrainEndpoint {
        endpoint: u32,
        ends: Nanos,
    },
    StopEndpoint {
        endpoint: u32,
        replace: bool,
    },
    SecondElapsed,
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Served,
    Refused(Option<Duration>),
    Failed,
    /// The sidecar could not be reached, or its process ended.
    Unreachable,
}

impl SimEvent {
    /// Orders events of the same nanosecond, lowest first: completions before new sends, and both
    /// before timeouts.
    fn rank(&self) -> u8 {
        match self {
            SimEvent::Trouble { .. } | SimEvent::DrainEndpoint { .. } | SimEvent::StopEndpoint { .. } => 0,
            SimEvent::AnswerAtClient { .. }
            | SimEvent::AnswerAtSidecar(..)
            | SimEvent::AttemptEnd { .. } => 1,
            SimEvent::CompletionDue { .. } | SimEvent::CrowdingCheck { .. } => 2,
            SimEvent::ListChange { .. }
            | SimEvent::ChangeDelivered { .. }
            | SimEvent::FullListDelivered { .. }
            | SimEvent::PollFailed { .. } => 3,
            SimEvent::Arrival
            | SimEvent::RetryDue(_)
            | SimEvent::RequestAtSidecar { .. }
            | SimEvent::AttemptAtEndpoint(_)
            | SimEvent::CancelAtEndpoint(_) => 4,
            SimEvent::TimerFired { .. } => 5,
            SimEvent::AttemptTimeout { .. } => 6,
            SimEvent::ClientLeaves { .. }
            | SimEvent::ClientTimeout { .. }
            | SimEvent::DeadlinePassed { .. } => 7,
            SimEvent::SecondElapsed => 8,
        }
    }
}

/// Scheduled events, ordered by time, rank and sequence number. The heap holds only small keys; the
/// events themselves lie in reusable slots, because at 50,000 requests per second half a million
/// events are scheduled at any moment.
#[derive(Default)]
pub(super) struct EventCalendar {
    /// Time, then rank (8 bits) and sequence number (56 bits), then the slot.
    pub(super) keys: BinaryHeap<Reverse<(Nanos, u64, u32)>>,
    slots: Vec<SimEvent>,
    free: Vec<u32>,
    scheduled: u64,
}

impl EventCalendar {
    pub(super) fn schedule(&mut self, at: Nanos, event: SimEvent) {
        self.scheduled += 1;
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = event;
                slot
            }
            None => {
                self.slots.push(event);
                self.slots.len() as u32 - 1
            }
        };
        self.keys.push(Reverse((at, u64::from(event.rank()) << 56 | self.scheduled, slot)));
    }

    pub(super) fn next(&mut self) -> Option<(Nanos, SimEvent)> {
        let Reverse((at, _, slot)) = self.keys.pop()?;
        self.free.push(slot);
        Some((at, self.slots[slot as usize]))
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&SimEvent) -> bool) {
        let slots = &self.slots;
        let free = &mut self.free;
        self.keys.retain(|Reverse((_, _, slot))| {
            let kept = keep(&slots[*slot as usize]);
            if !kept {
                free.push(*slot);
            }
            kept
        });
    }
}
