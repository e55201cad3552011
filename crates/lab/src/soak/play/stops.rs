//! How processes of a soak are held up, told to stop, killed and started anew.

use super::Play;
use crate::soak::clients::Clients;
use crate::soak::member::{self, Running};
use async_io::Timer;
use rustix::process::Signal;
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io};

/// SIGKILL follows the word to stop after the longest deadline, counted as this at most, and this (the protocol page).
const DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_SLACK: Duration = Duration::from_millis(700);
/// A process held up stands still for so long: 0.15 s less what the two signals take.
const HELD_UP: Duration = Duration::from_millis(140);

impl Play {
    pub(super) async fn hold_up(&self, place: usize) -> io::Result<()> {
        let signal = |signal| {
            let running = self.places[place].running.borrow();
            running.as_ref().map_or(Ok(()), |running| running.process.signal(signal))
        };
        signal(Signal::STOP)?;
        Timer::after(HELD_UP).await;
        signal(Signal::CONT)
    }

    /// Tells a process to stop and kills it at the earliest moment, whether or not it has ended.
    pub(super) async fn terminate(self: Rc<Self>, place: usize, restart: bool) -> io::Result<()> {
        let Some(running) = self.places[place].running.take() else { return Ok(()) };
        let member = self.places[place].member.get();
        let clients = self.places[place].clients.take();
        self.gather(member, &running).await;
        clients.iter().for_each(|clients| clients.word_to_stop());
        self.members.borrow_mut()[member].terminated = Some(self.began.elapsed());
        running.process.signal(Signal::TERM)?;
        let longest = self.plan.patience.into_iter().max().unwrap_or_default().min(DEADLINE_MOST);
        let starts = restart.then(|| self.clone().restart_at(place));
        Timer::after(longest + KILL_SLACK).await;
        self.end(member, running, clients)?;
        if let Some(starts) = starts {
            starts.await?;
        }
        Ok(())
    }

    pub(super) async fn kill_and_restart(self: Rc<Self>, place: usize) -> io::Result<()> {
        let Some(running) = self.places[place].running.take() else { return Ok(()) };
        let (member, clients) = (self.places[place].member.get(), self.places[place].clients.take());
        self.gather(member, &running).await;
        self.end(member, running, clients)?;
        self.restart_at(place).await
    }

    async fn restart_at(self: Rc<Self>, place: usize) -> io::Result<()> {
        if self.over.get() {
            return Ok(());
        }
        let incarnation = &self.places[place].incarnation;
        incarnation.set(incarnation.get() + 1);
        self.start_members(vec![place]).await
    }

    /// What a process has counted, while it can be asked.
    async fn gather(&self, member: usize, running: &Running) {
        if let Ok((violations, expiries)) = member::counts(running.metrics()).await {
            let record = &mut self.members.borrow_mut()[member];
            record.violations = Some(violations);
            record.expiries = expiries;
        }
    }

    /// Kills a process that has not ended, and takes its log.
    fn end(&self, member: usize, mut running: Running, clients: Option<Rc<Clients>>) -> io::Result<()> {
        clients.iter().for_each(|clients| clients.end());
        let now = self.began.elapsed();
        let ended = running.process.wait(Duration::ZERO).ok();
        if ended.is_none() {
            running.process.signal(Signal::KILL)?;
            running.process.wait(Duration::from_secs(5))?;
        }
        let lines = running.process.lines();
        let record = &mut self.members.borrow_mut()[member];
        record.killed = Some(now);
        record.ended_well = ended.map(|status| status.success());
        record.panics = lines.iter().filter(|line| is_panic(line)).map(Value::to_string).collect();
        if let Some(logs) = &self.logs {
            fs::create_dir_all(logs)?;
            let text: Vec<String> = lines.iter().map(Value::to_string).collect();
            fs::write(logs.join(format!("{}.log", record.name)), text.join("\n"))?;
        }
        Ok(())
    }

    pub(super) async fn stop_all(self: &Rc<Self>) -> io::Result<()> {
        let stops: Vec<_> = (0..self.plan.members)
            .map(|place| self.executor.spawn(self.clone().terminate(place, false)))
            .collect();
        for stop in stops {
            stop.await?;
        }
        Ok(())
    }
}

/// A line that is no JSON object is what the runtime says of a panic.
fn is_panic(line: &Value) -> bool {
    line.as_str().is_some_and(|text| text.contains("panicked"))
}
