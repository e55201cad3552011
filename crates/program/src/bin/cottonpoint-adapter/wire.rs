//! Reading and writing the bench's frames: plain translation, no decisions.
//!
//! Records are read and written whole, as types with the wire's [layout](crate::layout). Short input is an error;
//! fields behind those known are passed over.

use crate::layout::*;
use cottonpoint::settings::ReportFields;
use cottonpoint::*;
use std::time::Duration;
use zerocopy::little_endian::{F32, U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Why input could not be taken; one plain line.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

type Result<T> = std::result::Result<T, Malformed>;

fn malformed<T>(what: impl Into<String>) -> Result<T> {
    Err(Malformed(what.into()))
}

/// A frame longer than this is taken for garbage rather than allocated.
pub const LONGEST_FRAME: usize = 1 << 28;
const LONGEST_TIMER: Duration = Duration::from_secs(71 * 60);

/// A cursor over the bytes of one record or frame.
pub struct Reader<'a> {
    bytes: &'a [u8],
    what: &'static str,
}

impl<'a> Reader<'a> {
    /// Reads `bytes`, named `what` in complaints.
    pub fn new(bytes: &'a [u8], what: &'static str) -> Self {
        Reader { bytes, what }
    }

    fn several<T: FromBytes + Immutable + KnownLayout + Unaligned>(&mut self, n: usize) -> Result<&'a [T]> {
        match <[T]>::ref_from_prefix_with_elems(self.bytes, n) {
            Ok((several, rest)) => {
                self.bytes = rest;
                Ok(several)
            }
            Err(_) => malformed(format!("truncated {}", self.what)),
        }
    }

    fn next<T: FromBytes + Immutable + KnownLayout + Unaligned>(&mut self) -> Result<&'a T> {
        match T::ref_from_prefix(self.bytes) {
            Ok((one, rest)) => {
                self.bytes = rest;
                Ok(one)
            }
            Err(_) => malformed(format!("truncated {}", self.what)),
        }
    }

    /// The next eight bytes.
    pub fn u64(&mut self) -> Result<u64> {
        Ok(self.next::<U64>()?.get())
    }

    fn request(&mut self) -> Result<RequestId> {
        Ok(RequestId(self.u64()?))
    }

    fn report(&mut self, fields: &ReportFields) -> Result<Option<LoadReport>> {
        let count = usize::from(*self.next::<u8>()?);
        let values: &[F32] = self.several(count)?;
        let report = fields.report(|i| values.get(i).map(|v| f64::from(v.get())));
        Ok((count > 0).then_some(report))
    }
}

fn outcome(code: U16) -> Outcome {
    match code.get() {
        0 => Outcome::Ok,
        11 => Outcome::Rejected,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NotSent,
        // 5, and whatever else an endpoint may come to say: it may have run.
        _ => Outcome::Error,
    }
}

impl Entry {
    fn endpoint(&self) -> Result<Endpoint> {
        let state = match self.state {
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            0 => EndpointState::Removed,
            other => return malformed(format!("unknown endpoint state {other}")),
        };
        Ok(Endpoint {
            id: self.endpoint.into(),
            zone: ZoneId(self.zone.get()),
            cell: CellId(self.cell.get()),
            machine_type: MachineTypeId(self.kind.get()),
            state,
            started: Some(self.started.get()).filter(|&t| t != 0).map(Time),
        })
    }
}

/// What happened, as the wire tells it.
#[derive(Debug)]
pub enum Record<'a> {
    /// The events that follow concern this instance.
    Target(u16),
    /// A new instance with this seed and these settings.
    Start(u64, &'a str),
    /// The instance was killed.
    Killed,
    /// A numbered list of endpoints.
    Roster(usize, Vec<Endpoint>),
    /// Discovery's word, drawn from a numbered list.
    Members(ListKind, usize),
    /// An event that translates by itself.
    Event(Event<'static>),
    /// Nothing that concerns a balancer.
    Other,
}

/// Reads the next record of a batch; `fields` are those of the instance it concerns.
pub fn next_record<'a>(batch: &mut Reader<'a>, fields: &ReportFields) -> Result<Option<Record<'a>>> {
    if batch.bytes.is_empty() {
        return Ok(None);
    }
    let head: &Head = batch.next()?;
    let mut r = Reader::new(batch.several(head.length.get() as usize)?, name(head.code));
    Ok(Some(match head.code {
        26 => Record::Target(r.next::<U16>()?.get()),
        20 => {
            let start: &Start = r.next()?;
            match std::str::from_utf8(r.several(start.length.get() as usize)?) {
                Ok(text) => Record::Start(start.seed.get(), text),
                Err(_) => return malformed("settings are not UTF-8"),
            }
        }
        24 => Record::Killed,
        27 => {
            let roster: &Roster = r.next()?;
            let slot = roster.slot.get() as usize;
            if slot >= ROSTERS {
                return malformed(format!("roster number {slot} out of range"));
            }
            let entries: &[Entry] = r.several(roster.count.get() as usize)?;
            Record::Roster(slot, entries.iter().map(Entry::endpoint).collect::<Result<_>>()?)
        }
        21 => {
            let members: &Members = r.next()?;
            let slot = members.slot.get() as usize;
            match members.kind {
                0 => Record::Members(ListKind::Delta, slot),
                1 | 2 => Record::Members(ListKind::Full, slot),
                3 => Record::Event(Event::DiscoveryFailed),
                other => return malformed(format!("unknown list kind {other}")),
            }
        }
        25 => {
            let call: &Ingress = r.next()?;
            Record::Event(Event::Arrived(Request {
                id: RequestId(call.id.get()),
                class: ClassId(u16::from(call.class)),
                tenant: Some(TenantId(call.tenant.get())),
                deadline: Time(call.due.get()),
                cost: (call.marks & 1 != 0).then_some(Duration::from_nanos(call.cost.get())),
            }))
        }
        16 => Record::Event(Event::StreamStarted { id: r.request()? }),
        18 => {
            let done: &Done = r.next()?;
            Record::Event(Event::Finished {
                id: RequestId(done.id.get()),
                attempt: done.attempt,
                endpoint: done.endpoint.into(),
                outcome: outcome(done.outcome),
                closed: done.closed != 0,
                elapsed: Duration::from_nanos(done.elapsed.get()),
                report: r.report(fields)?,
            })
        }
        23 => {
            let probed: &Probed = r.next()?;
            Record::Event(Event::ProbeFinished {
                endpoint: probed.endpoint.into(),
                outcome: outcome(probed.outcome),
                report: r.report(fields)?,
            })
        }
        19 => Record::Event(Event::ClientGone { id: r.request()? }),
        22 => Record::Event(Event::Timer { token: TimerToken(r.u64()?) }),
        _ => Record::Other,
    }))
}

/// Lists of endpoints are numbered below this.
pub const ROSTERS: usize = 16;

fn name(code: u8) -> &'static str {
    match code {
        16 => "HEADERS",
        18 => "DONE",
        19 => "LAPSED",
        20 => "NEW_INSTANCE",
        21 => "DISCOVERY",
        22 => "BELL",
        23 => "ECHO",
        25 => "INGRESS",
        26 => "TARGET_INSTANCE",
        27 => "ROSTER",
        _ => "record",
    }
}

/// The reply to one batch.
#[derive(Default)]
pub struct Reply {
    count: u32,
    bytes: Vec<u8>,
    source: Option<u16>,
}

impl Reply {
    fn record(&mut self, code: u8, fields: &[u8]) {
        self.count += 1;
        self.bytes.extend_from_slice(Head { code, length: U32::new(fields.len() as u32) }.as_bytes());
        self.bytes.extend_from_slice(fields);
    }

    fn source(&mut self, instance: u16) {
        if self.source.replace(instance) != Some(instance) {
            self.record(92, U16::new(instance).as_bytes());
        }
    }

    /// Writes one action of an instance.
    pub fn action(&mut self, instance: u16, action: Action) {
        self.source(instance);
        let number = |id: RequestId| U64::new(id.0);
        let nanos = |d: Duration| U64::new(u64::try_from(d.as_nanos()).unwrap_or(u64::MAX));
        match action {
            Action::Send { id, endpoint, attempt_deadline: until } => {
                let until = U64::new(until.0.max(1));
                self.record(80, Send { id: number(id), endpoint: endpoint.into(), until }.as_bytes());
            }
            Action::Refuse { id, retry_after } => {
                let retry_after = nanos(retry_after.unwrap_or_default());
                self.record(81, Refuse { id: number(id), retry_after }.as_bytes());
            }
            Action::Fail { id } => self.record(82, number(id).as_bytes()),
            Action::Cancel { id, attempt } => {
                self.record(83, Cancel { id: number(id), attempt }.as_bytes());
            }
            Action::SetTimer { after, token } => {
                let after = nanos(after.min(LONGEST_TIMER));
                self.record(84, SetTimer { after, token: U64::new(token.0) }.as_bytes());
            }
            Action::Probe { endpoint } => self.record(85, Address::from(endpoint).as_bytes()),
            Action::Subscribe => self.record(90, &[1]),
        }
    }

    /// Declares that the decision code has failed.
    pub fn fault(&mut self, instance: u16, text: &str) {
        self.source(instance);
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(89, &[U16::new(text.len() as u16).as_bytes(), text].concat());
    }

    /// The frame as it goes out.
    pub fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.bytes.len());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&(self.bytes.len() as u32).to_le_bytes());
        frame.extend_from_slice(&self.bytes);
        frame
    }
}
