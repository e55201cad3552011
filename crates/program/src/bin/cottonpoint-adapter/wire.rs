//! Reading and writing the bench's frames: plain translation, no decisions.

use cottonpoint::settings::ReportFields;
use cottonpoint::*;
use std::time::Duration;

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

    fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        match self.bytes.split_first_chunk::<N>() {
            Some((head, rest)) => {
                self.bytes = rest;
                Ok(*head)
            }
            None => malformed(format!("truncated {}", self.what)),
        }
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8]> {
        match self.bytes.split_at_checked(n) {
            Some((head, rest)) => {
                self.bytes = rest;
                Ok(head)
            }
            None => malformed(format!("truncated {}", self.what)),
        }
    }

    fn u8(&mut self) -> Result<u8> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    /// The next four bytes.
    pub fn u32(&mut self) -> Result<u32> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    /// The next eight bytes.
    pub fn u64(&mut self) -> Result<u64> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f64> {
        Ok(f64::from(f32::from_le_bytes(self.array()?)))
    }

    fn request(&mut self) -> Result<RequestId> {
        Ok(RequestId(self.u64()?))
    }

    fn endpoint(&mut self) -> Result<EndpointId> {
        let [a, b, c, d, e, f] = self.array()?;
        Ok(EndpointId(u64::from_le_bytes([a, b, c, d, e, f, 0, 0])))
    }

    fn outcome(&mut self) -> Result<Outcome> {
        Ok(match self.u16()? {
            0 => Outcome::Ok,
            11 => Outcome::Full,
            110 => Outcome::TimedOut,
            111 => Outcome::ConnectFailed,
            104 => Outcome::Reset,
            125 => Outcome::Cancelled,
            114 => Outcome::Moot,
            // 5, and whatever else an endpoint may come to say: it may have run.
            _ => Outcome::Error,
        })
    }

    fn elapsed(&mut self) -> Result<Duration> {
        Ok(Duration::from_nanos(self.u64()?))
    }

    fn report(&mut self, fields: &ReportFields) -> Result<Option<LoadReport>> {
        let count = usize::from(self.u8()?);
        let mut values = Vec::with_capacity(count);
        for _ in 0..count {
            values.push(self.f32()?);
        }
        let report = fields.report(|i| values.get(i).copied());
        Ok((count > 0).then_some(report))
    }

    fn entry(&mut self) -> Result<Endpoint> {
        let zone = ZoneId(self.u16()?);
        let _nominal = self.f32()?;
        let kind = KindId(self.u16()?);
        let state = match self.u8()? {
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            0 => EndpointState::Gone,
            other => return malformed(format!("unknown endpoint state {other}")),
        };
        let cell = CellId(self.u16()?);
        let id = self.endpoint()?;
        let started = Some(self.u64()?).filter(|&t| t != 0).map(Time);
        Ok(Endpoint { id, zone, cell, kind, state, started })
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
    if batch.is_empty() {
        return Ok(None);
    }
    let code = batch.u8()?;
    let length = batch.u32()? as usize;
    let mut r = Reader::new(batch.take(length)?, name(code));
    Ok(Some(match code {
        26 => Record::Target(r.u16()?),
        20 => {
            let seed = r.u64()?;
            let length = r.u32()? as usize;
            match std::str::from_utf8(r.take(length)?) {
                Ok(text) => Record::Start(seed, text),
                Err(_) => return malformed("settings are not UTF-8"),
            }
        }
        24 => Record::Killed,
        27 => {
            let slot = r.u32()? as usize;
            let count = r.u32()?;
            if slot >= ROSTERS {
                return malformed(format!("roster number {slot} out of range"));
            }
            let mut entries = Vec::new();
            for _ in 0..count {
                entries.push(r.entry()?);
            }
            Record::Roster(slot, entries)
        }
        21 => {
            let kind = r.u8()?;
            let slot = r.u32()? as usize;
            match kind {
                0 => Record::Members(ListKind::Delta, slot),
                1 | 2 => Record::Members(ListKind::Full, slot),
                3 => Record::Event(Event::DiscoveryFailed),
                other => return malformed(format!("unknown list kind {other}")),
            }
        }
        25 => {
            let id = r.request()?;
            let class = ClassId(u16::from(r.u8()?));
            let tenant = Some(TenantId(r.u16()?));
            let _key = r.u64()?;
            let due = Time(r.u64()?);
            let cost = Duration::from_nanos(r.u64()?);
            let cost = (r.u8()? & 1 != 0).then_some(cost);
            Record::Event(Event::Arrived(Call { id, class, tenant, due, cost }))
        }
        16 => Record::Event(Event::StreamStarted { id: r.request()? }),
        18 => {
            let id = r.request()?;
            let outcome = r.outcome()?;
            let attempt = r.u8()?;
            let closed = r.u8()? != 0;
            let elapsed = r.elapsed()?;
            let endpoint = r.endpoint()?;
            let report = r.report(fields)?;
            Record::Event(Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report })
        }
        23 => {
            let outcome = r.outcome()?;
            let endpoint = r.endpoint()?;
            let _elapsed = r.elapsed()?;
            let report = r.report(fields)?;
            Record::Event(Event::ProbeFinished { endpoint, outcome, report })
        }
        19 => Record::Event(Event::Departed { id: r.request()? }),
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
    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let length: usize = parts.iter().map(|p| p.len()).sum();
        self.count += 1;
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_le_bytes());
        for part in parts {
            self.bytes.extend_from_slice(part);
        }
    }

    fn source(&mut self, instance: u16) {
        if self.source.replace(instance) != Some(instance) {
            self.record(92, &[&instance.to_le_bytes()]);
        }
    }

    /// Writes one action of an instance.
    pub fn action(&mut self, instance: u16, action: Action) {
        self.source(instance);
        let address = |e: EndpointId| e.0.to_le_bytes();
        let nanos = |d: Duration| u64::try_from(d.as_nanos()).unwrap_or(u64::MAX).to_le_bytes();
        match action {
            Action::Send { id, endpoint, until } => {
                self.record(
                    80,
                    &[&id.0.to_le_bytes(), &address(endpoint)[..6], &until.0.max(1).to_le_bytes()],
                );
            }
            Action::Refuse { id, retry_after } => {
                self.record(81, &[&id.0.to_le_bytes(), &nanos(retry_after.unwrap_or_default())]);
            }
            Action::Fail { id } => self.record(82, &[&id.0.to_le_bytes()]),
            Action::Cancel { id, attempt } => self.record(83, &[&id.0.to_le_bytes(), &[attempt]]),
            Action::SetTimer { after, token } => {
                self.record(84, &[&nanos(after.min(LONGEST_TIMER)), &token.0.to_le_bytes()]);
            }
            Action::Probe { endpoint } => self.record(85, &[&address(endpoint)[..6]]),
            Action::Subscribe => self.record(90, &[&[1]]),
        }
    }

    /// Declares that the decision code has failed.
    pub fn fault(&mut self, instance: u16, text: &str) {
        self.source(instance);
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(89, &[&(text.len() as u16).to_le_bytes(), text]);
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
