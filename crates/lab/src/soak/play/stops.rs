//! How processes of a soak are paused, terminated, killed and restarted.

use super::SoakRun;
use crate::soak::clients::Clients;
use crate::soak::member::{self, RunningProcess};
use async_io::Timer;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::rc::Rc;
use std::time::{Duration, Instant};
use std::{fs, io};

/// SIGKILL follows SIGTERM after the longest deadline, of which at most `MAX_DEADLINE` counts, plus
/// `KILL_SLACK` (the protocol specification).
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const KILL_SLACK: Duration = Duration::from_millis(700);
/// How long a process is paused: 0.15 s less the time that the two signals take.
const PAUSE: Duration = Duration::from_millis(140);

impl SoakRun {
    pub(super) async fn pause(&self, slot: usize) -> io::Result<()> {
        let process = self.slots[slot].running.borrow().as_ref().map(|running| running.process.id());
        let Some(process) = process.and_then(|id| Pid::from_raw(id.cast_signed())) else { return Ok(()) };
        kill_process(process, Signal::STOP)?;
        Timer::after(PAUSE).await;
        // A stop may have taken the process from its slot meanwhile.
        Ok(kill_process(process, Signal::CONT)?)
    }

    /// Sends SIGTERM to a process and, at the earliest permitted time, SIGKILL if it still runs.
    pub(super) async fn terminate(self: Rc<Self>, slot: usize, restart: bool) -> io::Result<()> {
        let Some(running) = self.slots[slot].running.take() else { return Ok(()) };
        let member = self.slots[slot].member.get();
        let clients = self.slots[slot].clients.take();
        let restarting = restart.then(|| self.clone().restart_in(slot, None));
        self.terminate_process(member, running, clients, Duration::ZERO).await?;
        if let Some(restarting) = restarting {
            restarting.await?;
        }
        Ok(())
    }

    /// The same for a process that is in its slot no more. SIGKILL comes `late` after the earliest
    /// permitted time.
    pub(super) async fn terminate_process(
        &self,
        member: usize,
        running: RunningProcess,
        clients: Option<Rc<Clients>>,
        late: Duration,
    ) -> io::Result<()> {
        self.record_counts(member, &running).await;
        clients.iter().for_each(|clients| clients.note_sigterm());
        self.members.borrow_mut()[member].terminated = Some(self.run_start.elapsed());
        running.process.signal(Signal::TERM)?;
        let longest = running.longest_timeout(self.plan.client_timeouts).min(MAX_DEADLINE);
        Timer::after(longest + KILL_SLACK + late).await;
        self.kill_and_collect_log(member, running, clients)
    }

    pub(super) async fn kill_and_restart(self: Rc<Self>, slot: usize) -> io::Result<()> {
        match self.kill(slot).await? {
            true => self.restart_in(slot, None).await,
            false => Ok(()),
        }
    }

    /// Kills a process and starts it anew after `down`, with the list that it had.
    pub(super) async fn kill_for(self: Rc<Self>, slot: usize, down: Duration) -> io::Result<()> {
        let known_list = self.discovery.whole_list();
        let restart_at = Instant::now() + down;
        if self.kill(slot).await? {
            Timer::at(restart_at).await;
            self.restart_in(slot, Some(known_list)).await?;
        }
        Ok(())
    }

    /// Kills the process of a slot, if there is one.
    async fn kill(&self, slot: usize) -> io::Result<bool> {
        let Some(running) = self.slots[slot].running.take() else { return Ok(false) };
        let (member, clients) = (self.slots[slot].member.get(), self.slots[slot].clients.take());
        self.record_counts(member, &running).await;
        self.kill_and_collect_log(member, running, clients)?;
        Ok(true)
    }

    /// Starts a process in a slot, with this list or the present one.
    async fn restart_in(self: Rc<Self>, slot: usize, known_list: Option<String>) -> io::Result<()> {
        if self.finished.get() {
            return Ok(());
        }
        let incarnation = &self.slots[slot].incarnation;
        incarnation.set(incarnation.get() + 1);
        let known_list = known_list.unwrap_or_else(|| self.discovery.whole_list());
        self.start_members(vec![slot], known_list).await
    }

    /// Records what a process has counted, while it still answers.
    async fn record_counts(&self, member: usize, running: &RunningProcess) {
        self.members.borrow_mut()[member].peak_kb = running.peak_kb().unwrap_or_default();
        if let Ok((guard_violations, list_expiries)) = member::guard_counts(running.metrics()).await {
            let record = &mut self.members.borrow_mut()[member];
            record.guard_violations = Some(guard_violations);
            record.list_expiries = list_expiries;
        }
    }

    /// Kills a process if it still runs, and collects its log.
    fn kill_and_collect_log(
        &self,
        member: usize,
        mut running: RunningProcess,
        clients: Option<Rc<Clients>>,
    ) -> io::Result<()> {
        clients.iter().for_each(|clients| clients.stop());
        let now = self.run_start.elapsed();
        let ended = running.process.wait(Duration::ZERO).ok();
        if ended.is_none() {
            running.process.signal(Signal::KILL)?;
            running.process.wait(Duration::from_secs(5))?;
        }
        let lines = running.process.lines();
        let record = &mut self.members.borrow_mut()[member];
        record.killed = Some(now);
        record.exited_cleanly = ended.map(|status| status.success());
        record.panics = lines.iter().filter(|line| is_panic(line)).map(Value::to_string).collect();
        if let Some(logs) = &self.logs {
            fs::create_dir_all(logs)?;
            let text: Vec<String> = lines.iter().map(Value::to_string).collect();
            fs::write(logs.join(format!("{}.log", record.name)), text.join("\n"))?;
        }
        Ok(())
    }

    pub(super) async fn terminate_all(self: &Rc<Self>) -> io::Result<()> {
        let terminations: Vec<_> = (0..self.plan.members)
            .flat_map(|slot| {
                let newest = self.executor.spawn(self.clone().terminate(slot, false));
                [newest, self.executor.spawn(self.clone().end_upgrade(slot))]
            })
            .collect();
        for termination in terminations {
            termination.await?;
        }
        Ok(())
    }
}

/// The runtime reports a panic as plain text, not as a JSON object.
fn is_panic(line: &Value) -> bool {
    line.as_str().is_some_and(|text| text.contains("panicked"))
}
