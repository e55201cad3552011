//! Plays balancers on the bench's wire: events in on standard input, actions out on standard output.

mod layout;
mod wire;

use cottonpoint::settings::{self, ReportFields};
use cottonpoint::{Action, Balancer, Endpoint, Event, Time};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Malformed, Reader, Record, Reply};

/// All that the process holds between batches.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, (Balancer, ReportFields)>,
    rosters: [Vec<Endpoint>; wire::ROSTERS],
    actions: Vec<Action>,
}

impl Host {
    /// Plays one batch and returns the reply.
    fn play(&mut self, body: &[u8]) -> Result<Vec<u8>, Malformed> {
        let mut batch = Reader::new(body, "batch");
        let now = Time(batch.u64()?);
        let mut reply = Reply::default();
        let mut target = None;
        loop {
            let known = target.and_then(|t| self.instances.get(&t));
            let none = ReportFields::default();
            let Some(record) = wire::next_record(&mut batch, known.map_or(&none, |k| &k.1))? else { break };
            let event = match record {
                Record::Target(instance) => {
                    target = Some(instance);
                    continue;
                }
                Record::Roster(slot, entries) => {
                    self.rosters[slot] = entries;
                    continue;
                }
                Record::Other => continue,
                Record::Start(seed, text) => {
                    let instance = target.ok_or_else(|| Malformed("no instance named".into()))?;
                    let platform = settings::from_flat_text(text).map_err(|e| Malformed(e.to_string()))?;
                    let fields = platform.fields;
                    let made = guard(&mut reply, instance, || Balancer::new(platform.balancer, seed, now));
                    if let Some(balancer) = made {
                        self.instances.insert(instance, (balancer, fields));
                    }
                    continue;
                }
                Record::Killed => {
                    target.and_then(|t| self.instances.remove(&t));
                    continue;
                }
                Record::Members(kind, slot) => match self.rosters.get(slot) {
                    Some(entries) => Event::Endpoints { kind, entries },
                    None => return Err(Malformed(format!("roster number {slot} out of range"))),
                },
                Record::Event(event) => event,
            };
            let instance = target.ok_or_else(|| Malformed("no instance named".into()))?;
            let Some((balancer, _)) = self.instances.get_mut(&instance) else {
                return Err(Malformed(format!("event for unknown instance {instance}")));
            };
            let actions = &mut self.actions;
            guard(&mut reply, instance, || balancer.handle(now, event, actions));
            for action in self.actions.drain(..) {
                reply.action(instance, action);
            }
        }
        Ok(reply.frame())
    }
}

/// Runs decision code; a panic becomes the wire's fault message.
fn guard<T>(reply: &mut Reply, instance: u16, decide: impl FnOnce() -> T) -> Option<T> {
    match catch_unwind(AssertUnwindSafe(decide)) {
        Ok(value) => Some(value),
        Err(cause) => {
            let text = cause.downcast_ref::<&str>().map(|s| (*s).to_owned());
            let text = text.or_else(|| cause.downcast_ref::<String>().cloned());
            reply.fault(instance, &text.unwrap_or_else(|| "panic".into()));
            None
        }
    }
}

/// Reads one frame; `None` at the end of input.
fn read_frame(input: &mut impl Read, body: &mut Vec<u8>) -> Result<bool, Malformed> {
    let mut head = [0; 4];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => return Err(Malformed("input ends within a frame's length".into())),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(Malformed(format!("cannot read: {e}"))),
        }
    }
    let length = u32::from_le_bytes(head) as usize;
    if length > wire::LONGEST_FRAME {
        return Err(Malformed(format!("frame of {length} bytes is too long")));
    }
    body.clear();
    match input.take(length as u64).read_to_end(body) {
        Ok(n) if n == length => Ok(true),
        Ok(_) => Err(Malformed("input ends within a frame".into())),
        Err(e) => Err(Malformed(format!("cannot read: {e}"))),
    }
}

fn run() -> Result<(), Malformed> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut body = Vec::new();
    while read_frame(&mut input, &mut body)? {
        let frame = host.play(&body)?;
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(|e| Malformed(format!("cannot write: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic is reported on the wire; standard error keeps to one plain line a defect.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Malformed(why)) => {
            eprintln!("cottonpoint-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}
