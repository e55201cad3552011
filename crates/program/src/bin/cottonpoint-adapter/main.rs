//! Runs balancers on the bench's wire: reads events from standard input and writes actions to
//! standard output.

mod layout;
mod wire;

use cottonpoint::settings::{self, ReportFields};
use cottonpoint::{Action, Balancer, Endpoint, Event, Time};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Malformed, Reader, Record, Reply};

/// The state that the process keeps between batches.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, (Balancer, ReportFields)>,
    endpoint_lists: [Vec<Endpoint>; wire::LIST_SLOTS],
    actions: Vec<Action>,
}

impl Host {
    /// Processes one batch of records and returns the reply.
    fn process_batch(&mut self, body: &[u8]) -> Result<Vec<u8>, Malformed> {
        let mut batch = Reader::new(body, "batch");
        let now = Time(batch.u64()?);
        let mut reply = Reply::default();
        let mut selected = None;
        loop {
            let entry = selected.and_then(|instance| self.instances.get(&instance));
            let none = ReportFields::default();
            let Some(record) = wire::next_record(&mut batch, entry.map_or(&none, |e| &e.1))? else { break };
            let event = match record {
                Record::Instance(instance) => {
                    selected = Some(instance);
                    continue;
                }
                Record::List(slot, entries) => {
                    self.endpoint_lists[slot] = entries;
                    continue;
                }
                Record::Other => continue,
                Record::NewInstance(seed, text) => {
                    let instance = selected.ok_or_else(|| Malformed("no instance named".into()))?;
                    let deployment =
                        settings::from_flat_text(text).map_err(|e| Malformed(e.to_string()))?;
                    let fields = deployment.fields;
                    let created =
                        catch_panic(&mut reply, instance, || Balancer::new(deployment.balancer, seed, now));
                    if let Some(balancer) = created {
                        self.instances.insert(instance, (balancer, fields));
                    }
                    continue;
                }
                Record::Killed => {
                    selected.and_then(|instance| self.instances.remove(&instance));
                    continue;
                }
                Record::Discovery(kind, slot) => match self.endpoint_lists.get(slot) {
                    Some(entries) => Event::Endpoints { kind, entries },
                    None => return Err(Malformed(format!("roster number {slot} out of range"))),
                },
                Record::Event(event) => event,
            };
            let instance = selected.ok_or_else(|| Malformed("no instance named".into()))?;
            let Some((balancer, _)) = self.instances.get_mut(&instance) else {
                return Err(Malformed(format!("event for unknown instance {instance}")));
            };
            let actions = &mut self.actions;
            catch_panic(&mut reply, instance, || balancer.handle(now, event, actions));
            for action in self.actions.drain(..) {
                reply.action(instance, action);
            }
        }
        Ok(reply.frame())
    }
}

/// Runs decision code; a panic becomes a fault record of the reply.
fn catch_panic<T>(reply: &mut Reply, instance: u16, decide: impl FnOnce() -> T) -> Option<T> {
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

/// Reads one frame into `body`; returns `false` at the end of input.
fn read_frame(input: &mut impl Read, body: &mut Vec<u8>) -> Result<bool, Malformed> {
    let mut head = [0; 4];
    let mut filled = 0;
    while filled < head.len() {
        match input.read(&mut head[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err(Malformed("input ends within a frame's length".into())),
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(Malformed(format!("cannot read: {e}"))),
        }
    }
    let length = u32::from_le_bytes(head) as usize;
    if length > wire::MAX_FRAME_LENGTH {
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
        let frame = host.process_batch(&body)?;
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(|e| Malformed(format!("cannot write: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // Panics are reported on the wire; standard error gets one plain line for each fault of the
    // input.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Malformed(reason)) => {
            cottonpoint::log::write_line(&format!("cottonpoint-adapter: {reason}"));
            ExitCode::FAILURE
        }
    }
}
