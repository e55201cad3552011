//! What may happen, in which order of two at one moment, and what is planned.

use super::server::Nanos;
use super::{ClientKey, FlowKey, JobKey};
use cottonpoint_decide::{LoadReport, Outcome};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// What may happen.
#[derive(Clone, Copy, Debug)]
pub(super) enum Happening {
    Arrive,
    Try(ClientKey),
    AtSidecar {
        client: ClientKey,
        try_no: u32,
        sidecar: u32,
        process: u32,
        due: Nanos,
    },
    AtClient {
        client: ClientKey,
        try_no: u32,
        answer: Answer,
    },
    GiveUp {
        client: ClientKey,
        try_no: u32,
    },
    Leave {
        client: ClientKey,
        try_no: u32,
    },
    Overdue {
        flow: FlowKey,
    },
    Wake {
        sidecar: u32,
        process: u32,
        token: u64,
    },
    AtServer(JobKey),
    Step {
        server: u32,
        plan: u32,
    },
    Crowd {
        server: u32,
    },
    Back(JobKey, Option<LoadReport>),
    Short {
        flow: FlowKey,
        attempt: u8,
        outcome: Outcome,
    },
    AttemptDue {
        flow: FlowKey,
        attempt: u8,
    },
    Stop(JobKey),
    Listed {
        server: u32,
        state: cottonpoint_decide::EndpointState,
    },
    Told {
        sidecar: u32,
        process: u32,
        server: u32,
        state: cottonpoint_decide::EndpointState,
        started: Option<Nanos>,
    },
    Whole {
        sidecar: u32,
        process: u32,
    },
    NoList {
        sidecar: u32,
        process: u32,
    },
    Trouble {
        number: u32,
        begins: bool,
    },
    DrainServer {
        server: u32,
        ends: Nanos,
    },
    EndServer {
        server: u32,
        replace: bool,
    },
    Second,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Served,
    Refused(Option<Duration>),
    Failed,
    /// The sidecar could not be reached, or died.
    Unreachable,
}

impl Happening {
    /// Which of two at the same nanosecond goes first: what completes, then what is sent, then what gives up.
    fn rank(&self) -> u8 {
        match self {
            Happening::Trouble { .. } | Happening::DrainServer { .. } | Happening::EndServer { .. } => 0,
            Happening::AtClient { .. } | Happening::Back(..) | Happening::Short { .. } => 1,
            Happening::Step { .. } | Happening::Crowd { .. } => 2,
            Happening::Listed { .. }
            | Happening::Told { .. }
            | Happening::Whole { .. }
            | Happening::NoList { .. } => 3,
            Happening::Arrive
            | Happening::Try(_)
            | Happening::AtSidecar { .. }
            | Happening::AtServer(_)
            | Happening::Stop(_) => 4,
            Happening::Wake { .. } => 5,
            Happening::AttemptDue { .. } => 6,
            Happening::Leave { .. } | Happening::GiveUp { .. } | Happening::Overdue { .. } => 7,
            Happening::Second => 8,
        }
    }
}

/// What is planned, by time, rank and number. The heap holds small keys only, and what happens lies in places that
/// are used again: at 50,000 requests a second half a million events are planned at any moment.
#[derive(Default)]
pub(super) struct Agenda {
    /// Time, then rank (8 bits) and number (56 bits), then the place.
    pub(super) keys: BinaryHeap<Reverse<(Nanos, u64, u32)>>,
    places: Vec<Happening>,
    free: Vec<u32>,
    planned: u64,
}

impl Agenda {
    pub(super) fn plan(&mut self, at: Nanos, what: Happening) {
        self.planned += 1;
        let place = match self.free.pop() {
            Some(place) => {
                self.places[place as usize] = what;
                place
            }
            None => {
                self.places.push(what);
                self.places.len() as u32 - 1
            }
        };
        self.keys.push(Reverse((at, u64::from(what.rank()) << 56 | self.planned, place)));
    }

    pub(super) fn next(&mut self) -> Option<(Nanos, Happening)> {
        let Reverse((at, _, place)) = self.keys.pop()?;
        self.free.push(place);
        Some((at, self.places[place as usize]))
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&Happening) -> bool) {
        let places = &self.places;
        let free = &mut self.free;
        self.keys.retain(|Reverse((_, _, place))| {
            let kept = keep(&places[*place as usize]);
            if !kept {
                free.push(*place);
            }
            kept
        });
    }
}
