//! Reads and writes the bench's frames: plain translation, no decisions.
//!
//! Records are read and written as a whole, as types with the wire's [layout](crate::layout). Input
//! that is too short is an error; fields after the known ones are ignored.

use crate::layout::*;
use cottonpoint::settings::ReportFields;
use cottonpoint::*;
use std::time::Duration;
use zerocopy::little_endian::{F32, U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Why input was rejected, as one plain line.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

type Result<T> = std::result::Result<T, Malformed>;

fn malformed<T>(reason: impl Into<String>) -> Result<T> {
    Err(Malformed(reason.into()))
}

/// A longer frame is rejected as garbage rather than allocated.
pub const MAX_FRAME_LENGTH: usize = 1 << 28;
const MAX_TIMER: Duration = Duration::from_secs(71 * 60);

/// A cursor over the bytes of one record or frame.
pub struct Reader<'a> {
    bytes: &'a [u8],
    name: &'static str,
}

impl<'a> Reader<'a> {
    /// Reads `bytes`, called `name` in error messages.
    pub fn new(bytes: &'a [u8], name: &'static str) -> Self {
        Reader { bytes, name }
    }

    fn read_slice<T: FromBytes + Immutable + KnownLayout + Unaligned>(
        &mut self,
        n: usize,
    ) -> Result<&'a [T]> {
        match <[T]>::ref_from_prefix_with_elems(self.bytes, n) {
            Ok((slice, rest)) => {
                self.bytes = rest;
                Ok(slice)
            }
            Err(_) => malformed(format!("truncated {}", self.name)),
        }
    }

    fn read<T: FromBytes + Immutable + KnownLayout + Unaligned>(&mut self) -> Result<&'a T> {
        match T::ref_from_prefix(self.bytes) {
            Ok((one, rest)) => {
                self.bytes = rest;
                Ok(one)
            }
            Err(_) => malformed(format!("truncated {}", self.name)),
        }
    }

    /// The next eight bytes.
    pub fn u64(&mut self) -> Result<u64> {
        Ok(self.read::<U64>()?.get())
    }

    fn request(&mut self) -> Result<RequestId> {
        Ok(RequestId(self.u64()?))
    }

    fn report(&mut self, fields: &ReportFields) -> Result<Option<LoadReport>> {
        let count = usize::from(*self.read::<u8>()?);
        let values: &[F32] = self.read_slice(count)?;
        let report = fields.report(|i| values.get(i).map(|v| f64::from(v.get())));
        Ok((count > 0).then_some(report))
    }
}

fn outcome_from_code(code: U16) -> Outcome {
    match code.get() {
        0 => Outcome::Ok,
        11 => Outcome::Rejected,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NotSent,
        // 5, and any code that an endpoint may add later: the request may have been executed.
        _ => Outcome::Error,
    }
}

impl ListEntry {
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

/// A record of the wire.
#[derive(Debug)]
pub enum Record<'a> {
    /// The records that follow concern this instance.
    Instance(u16),
    /// A new instance with this seed and these settings.
    NewInstance(u64, &'a str),
    /// The instance was stopped without notice.
    Killed,
    /// A numbered endpoint list.
    List(usize, Vec<Endpoint>),
    /// An update from discovery, which refers to a numbered list.
    Discovery(ListKind, usize),
    /// An event that can be translated without further state.
    Event(Event<'static>),
    /// A record that does not concern balancers.
    Other,
}

/// Reads the next record of a batch; `fields` are the report fields of the instance that it
/// concerns.
pub fn next_record<'a>(batch: &mut Reader<'a>, fields: &ReportFields) -> Result<Option<Record<'a>>> {
    if batch.bytes.is_empty() {
        return Ok(None);
    }
    let head: &RecordHeader = batch.read()?;
    let mut r = Reader::new(batch.read_slice(head.length.get() as usize)?, record_name(head.code));
    Ok(Some(match head.code {
        26 => Record::Instance(r.read::<U16>()?.get()),
        20 => {
            let start: &NewInstance = r.read()?;
            match std::str::from_utf8(r.read_slice(start.length.get() as usize)?) {
                Ok(text) => Record::NewInstance(start.seed.get(), text),
                Err(_) => return malformed("settings are not UTF-8"),
            }
        }
        24 => Record::Killed,
        27 => {
            let list: &NumberedList = r.read()?;
            let slot = list.slot.get() as usize;
            if slot >= LIST_SLOTS {
                return malformed(format!("roster number {slot} out of range"));
            }
            let entries: &[ListEntry] = r.read_slice(list.count.get() as usize)?;
            Record::List(slot, entries.iter().map(ListEntry::endpoint).collect::<Result<_>>()?)
        }
        21 => {
            let update: &DiscoveryUpdate = r.read()?;
            let slot = update.slot.get() as usize;
            match update.kind {
                0 => Record::Discovery(ListKind::Delta, slot),
                1 | 2 => Record::Discovery(ListKind::Full, slot),
                3 => Record::Event(Event::DiscoveryFailed),
                other => return malformed(format!("unknown list kind {other}")),
            }
        }
        25 => {
            let arrived: &RequestArrived = r.read()?;
            Record::Event(Event::Arrived(Request {
                id: RequestId(arrived.id.get()),
                class: ClassId(u16::from(arrived.class)),
                tenant: Some(TenantId(arrived.tenant.get())),
                deadline: Time(arrived.deadline.get()),
                cost: (arrived.flags & 1 != 0).then_some(Duration::from_nanos(arrived.cost.get())),
            }))
        }
        16 => Record::Event(Event::StreamStarted { id: r.request()? }),
        18 => {
            let done: &AttemptFinished = r.read()?;
            Record::Event(Event::Finished {
                id: RequestId(done.id.get()),
                attempt: done.attempt,
                endpoint: done.endpoint.into(),
                outcome: outcome_from_code(done.outcome),
                closed: done.closed != 0,
                elapsed: Duration::from_nanos(done.elapsed.get()),
                report: r.report(fields)?,
            })
        }
        23 => {
            let probed: &ProbeEnded = r.read()?;
            Record::Event(Event::ProbeFinished {
                endpoint: probed.endpoint.into(),
                outcome: outcome_from_code(probed.outcome),
                report: r.report(fields)?,
            })
        }
        19 => Record::Event(Event::ClientGone { id: r.request()? }),
        22 => Record::Event(Event::Timer { token: TimerToken(r.u64()?) }),
        _ => Record::Other,
    }))
}

/// Numbers of endpoint lists are below this.
pub const LIST_SLOTS: usize = 16;

fn record_name(code: u8) -> &'static str {
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
    instance: Option<u16>,
}

impl Reply {
    fn record(&mut self, code: u8, fields: &[u8]) {
        self.count += 1;
        self.bytes
            .extend_from_slice(RecordHeader { code, length: U32::new(fields.len() as u32) }.as_bytes());
        self.bytes.extend_from_slice(fields);
    }

    fn select_instance(&mut self, instance: u16) {
        if self.instance.replace(instance) != Some(instance) {
            self.record(92, U16::new(instance).as_bytes());
        }
    }

    /// Writes one action of an instance.
    pub fn action(&mut self, instance: u16, action: Action) {
        self.select_instance(instance);
        let raw_id = |id: RequestId| U64::new(id.0);
        let nanos = |d: Duration| U64::new(u64::try_from(d.as_nanos()).unwrap_or(u64::MAX));
        match action {
            Action::Send { id, endpoint, attempt_deadline: until } => {
                let until = U64::new(until.0.max(1));
                self.record(
                    80,
                    Send { id: raw_id(id), endpoint: endpoint.into(), deadline: until }.as_bytes(),
                );
            }
            Action::Refuse { id, retry_after } => {
                let retry_after = nanos(retry_after.unwrap_or_default());
                self.record(81, Refuse { id: raw_id(id), retry_after }.as_bytes());
            }
            Action::Fail { id } => self.record(82, raw_id(id).as_bytes()),
            Action::Cancel { id, attempt } => {
                self.record(83, Cancel { id: raw_id(id), attempt }.as_bytes());
            }
            Action::SetTimer { after, token } => {
                let after = nanos(after.min(MAX_TIMER));
                self.record(84, SetTimer { delay: after, token: U64::new(token.0) }.as_bytes());
            }
            Action::Probe { endpoint } => self.record(85, Address::from(endpoint).as_bytes()),
            Action::Subscribe => self.record(90, &[1]),
        }
    }

    /// Reports that the decision code has panicked.
    pub fn fault(&mut self, instance: u16, text: &str) {
        self.select_instance(instance);
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(89, &[U16::new(text.len() as u16).as_bytes(), text].concat());
    }

    /// The complete frame of the reply.
    pub fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.bytes.len());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&(self.bytes.len() as u32).to_le_bytes());
        frame.extend_from_slice(&self.bytes);
        frame
    }
}
