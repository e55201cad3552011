//! Carries a plan out: starts stand-ins and processes, applies the events of the plan, and collects
//! what both ends recorded.

mod lists;
mod stops;
mod upgrades;

use super::Arguments;
use super::addresses;
use super::classes::ClassList;
use super::clients::Clients;
use super::discovery::Discovery;
use super::endpoint::Endpoint;
use super::member::{ProcessSetup, RunningProcess};
use super::plan::{Event, Plan, Side};
use super::pressure::{Pressure, PressureKind};
use super::records::*;
use crate::live::Executor;
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use std::{io, thread};

const IDLE_CONNECTIONS: usize = 170;
const IDLE_CONNECTIONS_HELD: Duration = Duration::from_secs(4);
/// How long the run waits for answers after the last request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(5800);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One position in the fleet, and the process that currently runs there.
struct Slot {
    running: RefCell<Option<RunningProcess>>,
    /// Index of its process among all processes of the run, and the number of times that a process
    /// has been restarted here.
    member: Cell<usize>,
    incarnation: Cell<u32>,
    clients: RefCell<Option<Rc<Clients>>>,
    /// The older process of an upgrade, until it is told to end.
    older: RefCell<Option<OlderProcess>>,
}

/// A process that another one has taken the place of.
struct OlderProcess {
    member: usize,
    running: RunningProcess,
    clients: Option<Rc<Clients>>,
}

struct SoakRun {
    plan: Plan,
    run_start: Instant,
    executor: Executor,
    folder: PathBuf,
    program: PathBuf,
    logs: Option<PathBuf>,
    discovery: Rc<Discovery>,
    endpoints: Vec<Rc<Endpoint>>,
    addresses: RefCell<Vec<SocketAddr>>,
    lifecycles: RefCell<Vec<Lifecycle>>,
    slots: Vec<Slot>,
    attempts: Rc<RefCell<Vec<Attempt>>>,
    members: RefCell<Vec<Member>>,
    all_clients: RefCell<Vec<Rc<Clients>>>,
    changes: RefCell<Vec<Change>>,
    orders: RefCell<Vec<EndpointOrder>>,
    pressure: Rc<RefCell<PressureRecords>>,
    pressure_events: Cell<usize>,
    timer_lateness: Cell<Duration>,
    finished: Cell<bool>,
}

/// Executes a plan in real time.
pub fn play(plan: &Plan, arguments: &Arguments) -> io::Result<Records> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(plan, arguments, executor.clone())))
}

async fn run(plan: &Plan, arguments: &Arguments, executor: Executor) -> io::Result<Records> {
    let folder = tempfile::tempdir()?;
    let run_start = Instant::now();
    let attempts: Rc<RefCell<Vec<Attempt>>> = Rc::default();
    let endpoints = (0..plan.endpoints)
        .map(|index| Endpoint::new(index, run_start, plan.seed, attempts.clone()))
        .collect();
    let slot = |_| Slot {
        running: RefCell::default(),
        member: Cell::new(0),
        incarnation: Cell::new(0),
        clients: RefCell::default(),
        older: RefCell::default(),
    };
    let soak_run = Rc::new(SoakRun {
        run_start,
        executor: executor.clone(),
        folder: folder.path().to_owned(),
        program: arguments.program.clone().map_or_else(std::env::current_exe, Ok)?,
        logs: arguments.logs.as_ref().map(|logs| logs.join(format!("seed-{}", plan.seed))),
        discovery: Discovery::new(run_start, plan.seed),
        endpoints,
        addresses: RefCell::default(),
        lifecycles: RefCell::new(vec![Lifecycle::Active; plan.endpoints]),
        slots: (0..plan.members).map(slot).collect(),
        attempts,
        members: RefCell::default(),
        all_clients: RefCell::default(),
        changes: RefCell::default(),
        orders: RefCell::default(),
        pressure: Rc::default(),
        pressure_events: Cell::new(0),
        timer_lateness: Cell::default(),
        finished: Cell::new(false),
        plan: plan.clone(),
    });
    soak_run.clone().run_plan().await
}

impl SoakRun {
    async fn run_plan(self: Rc<Self>) -> io::Result<Records> {
        self.start_endpoints()?;
        self.start_members((0..self.plan.members).collect(), self.discovery.whole_list()).await?;
        let base = Instant::now();
        self.executor.spawn(self.clone().measure_lateness()).detach();
        for scheduled in &self.plan.events {
            Timer::at(base + scheduled.at).await;
            self.clone().apply(scheduled.event).await?;
        }
        Timer::at(base + self.plan.length).await;
        self.finished.set(true);
        self.all_clients.borrow().iter().for_each(|clients| clients.stop());
        let until = Instant::now() + ANSWER_TIMEOUT;
        let open =
            || self.all_clients.borrow().iter().map(|clients| clients.open_requests()).sum::<usize>();
        while open() > 0 && Instant::now() < until {
            Timer::after(POLL_INTERVAL).await;
        }
        self.terminate_all().await?;
        Ok(self.records())
    }

    fn records(&self) -> Records {
        let mut records = Records {
            attempts: self.attempts.take(),
            members: self.members.take(),
            endpoints: self.endpoints.iter().map(|endpoint| name_of(endpoint.index)).collect(),
            changes: self.changes.take(),
            sent_versions: self.discovery.sent_versions.take(),
            reachable_periods: self.discovery.reachable_periods.take(),
            silent_watches: self.discovery.silent_watches.take(),
            pushed: self.plan.pushed,
            orders: self.orders.take(),
            pressure: self.pressure.take(),
            polls: self.discovery.polls.get(),
            timer_lateness: self.timer_lateness.get(),
            ..Records::default()
        };
        for clients in self.all_clients.borrow().iter() {
            records.requests.extend(clients.requests.take());
            records.bad_clients.extend(clients.bad_clients.take());
            records.idle_connection_periods.extend(clients.idle_connection_periods.take());
        }
        records
    }

    /// Measures the maximum lateness of the stand-ins' timers.
    async fn measure_lateness(self: Rc<Self>) {
        while !self.finished.get() {
            let deadline = Instant::now() + POLL_INTERVAL;
            Timer::at(deadline).await;
            self.timer_lateness.set(self.timer_lateness.get().max(deadline.elapsed()));
        }
    }

    fn start_endpoints(&self) -> io::Result<()> {
        for endpoint in &self.endpoints {
            self.addresses.borrow_mut().push(endpoint.start(&self.executor)?);
            self.set_lifecycles(&[endpoint.index], Lifecycle::Active, None);
        }
        for index in 0..self.plan.padding {
            // Nothing listens on the discard port.
            let line = lists::list_line(
                &format!("padding-{index}"),
                SocketAddr::from((addresses::host(), 9)),
                "leaving",
                0,
            );
            self.discovery.update_lines([line]);
        }
        Ok(())
    }

    /// Starts processes in the given slots, which know this list, on separate threads, so that the
    /// stand-ins go on answering.
    async fn start_members(self: &Rc<Self>, slots: Vec<usize>, known_list: String) -> io::Result<()> {
        let mut setups = Vec::new();
        for slot in &slots {
            let discovery = self.discovery.add_member(&self.executor)?;
            let member = Member {
                name: format!("p{slot}.{}", self.slots[*slot].incarnation.get()),
                file_writes_fail_until: self.file_writes_fail_until(*slot),
                // The two processes of an upgrade share the limit.
                memory_limit_kb: (self.plan.memory_mb << 10) / 2,
                has_shim: self.plan.shims[*slot].is_some(),
                ..Member::default()
            };
            self.members.borrow_mut().push(member);
            self.slots[*slot].member.set(self.members.borrow().len() - 1);
            let program = &self.program;
            let known_list = Some(known_list.as_str()).filter(|_| !self.plan.without_known_list[*slot]);
            setups.push(ProcessSetup::write(
                &self.plan,
                &self.folder,
                *slot,
                discovery,
                known_list,
                program,
            )?);
        }
        // Taken before the process is asked to serve, so that what it does until then counts too.
        let started = self.run_start.elapsed();
        let (done, wait) = async_channel::bounded(1);
        thread::spawn(move || {
            let starting: Vec<_> =
                setups.into_iter().map(|setup| thread::spawn(move || setup.start())).collect();
            let running = starting.into_iter().map(|one| {
                one.join().map_err(|_| io::Error::other("a thread that starts a process panicked"))?
            });
            drop(done.try_send(running.collect::<io::Result<Vec<_>>>()));
        });
        let running = wait.recv().await.map_err(io::Error::other)??;
        for (slot, running) in slots.into_iter().zip(running) {
            let slot = &self.slots[slot];
            let member = slot.member.get();
            self.members.borrow_mut()[member].started = started;
            let plan = &self.plan;
            let clients = Clients::new(
                running.address,
                member,
                self.run_start,
                plan.seed,
                plan.client_timeouts,
                plan.first_classes,
            );
            *slot.running.borrow_mut() = Some(running);
            *slot.clients.borrow_mut() = Some(clients.clone());
            self.all_clients.borrow_mut().push(clients.clone());
            self.executor.spawn(clients.run(self.executor.clone(), plan.rate)).detach();
        }
        Ok(())
    }

    fn file_writes_fail_until(&self, slot: usize) -> Timestamp {
        let fails_for = self.plan.shims[slot].map(|shim| shim.file_writes_fail.0 + shim.file_writes_fail.1);
        fails_for.map_or(Duration::ZERO, |fails_for| self.run_start.elapsed() + fails_for)
    }

    async fn apply(self: Rc<Self>, event: Event) -> io::Result<()> {
        match event {
            Event::Discovery(condition) => self.discovery.set_condition(condition),
            Event::Watches(fault) => self.discovery.break_watches(fault),
            Event::Endpoint(endpoint, behaviour) => self.endpoints[endpoint].set_behaviour(behaviour),
            Event::Drain(endpoint) => self.withdraw(endpoint, Lifecycle::Draining),
            Event::Remove(endpoint) => self.withdraw(endpoint, Lifecycle::Removed),
            Event::Answers(style) => self.discovery.set_answer_style(style),
            Event::Return(endpoint) => self.return_endpoint(endpoint)?,
            Event::DrainTier => self.withdraw_tier(Lifecycle::Draining),
            Event::RemoveTier => self.withdraw_tier(Lifecycle::Removed),
            Event::StopTier => self.endpoints.iter().for_each(|endpoint| endpoint.crash()),
            Event::ListenTier => self.listen_tier()?,
            Event::ListTier { cold } => self.list_tier(cold)?,
            Event::Crash(endpoint) => self.endpoints[endpoint].crash(),
            Event::Restart(endpoint) => self.restart_endpoint(endpoint)?,
            Event::Reload(slot) => {
                self.slots[slot].running.borrow_mut().as_mut().map_or(Ok(()), RunningProcess::reload)?;
            }
            Event::Classes(slot, classes) => self.reload_classes(slot, classes)?,
            Event::Upgrade(slot) => {
                let this = self.clone();
                self.executor.spawn(async move { drop(this.upgrade(slot).await) }).detach();
            }
            Event::Order { slot, side, endpoint, offline } => {
                let this = self.clone();
                self.executor
                    .spawn(async move { this.give_order(slot, side, endpoint, offline).await })
                    .detach();
            }
            Event::EndUpgrade(slot) => {
                let this = self.clone();
                self.executor.spawn(async move { drop(this.end_upgrade(slot).await) }).detach();
            }
            Event::Terminate(slot) => {
                let this = self.clone();
                self.executor.spawn(async move { drop(this.terminate(slot, true).await) }).detach();
            }
            Event::Kill(slot) => {
                let this = self.clone();
                self.executor.spawn(async move { drop(this.kill_and_restart(slot).await) }).detach();
            }
            Event::KillFor(slot, down) => {
                let this = self.clone();
                self.executor.spawn(async move { drop(this.kill_for(slot, down).await) }).detach();
            }
            Event::Pause(slot) => {
                let this = self.clone();
                self.executor.spawn(async move { drop(this.pause(slot).await) }).detach();
            }
            Event::IdleConnections(slot) => self.with_clients(slot, |clients, executor| {
                executor
                    .spawn(clients.hold_idle_connections(IDLE_CONNECTIONS, IDLE_CONNECTIONS_HELD))
                    .detach();
            }),
            Event::ClientsDisconnect(slot) => {
                self.with_clients(slot, |clients, _| clients.disconnect_all())
            }
            Event::BadClients(slot) => self.with_clients(slot, |clients, executor| {
                executor.spawn(clients.start_bad_clients(executor.clone())).detach();
            }),
            Event::Pressure(slot, kind) => self.start_pressure(slot, kind),
            Event::TakeOffline(slot, endpoint) => {
                let this = self.clone();
                self.executor
                    .spawn(async move { this.give_order(slot, Side::Newer, endpoint, true).await })
                    .detach();
            }
        }
        Ok(())
    }

    fn start_pressure(&self, slot: usize, kind: PressureKind) {
        let member = self.slots[slot].member.get();
        self.with_clients(slot, |clients, _| self.start_pressure_on(&clients, member, kind));
    }

    fn start_pressure_on(&self, clients: &Clients, member: usize, kind: PressureKind) {
        let number = self.pressure_events.replace(self.pressure_events.get() + 1);
        // A configuration may have dropped the class.
        if kind.class().is_some_and(|class| !clients.uses(class)) {
            return;
        }
        let pressure = Pressure {
            kind,
            address: clients.address,
            member,
            client_timeouts: self.plan.client_timeouts,
            run_start: self.run_start,
            number,
            records: self.pressure.clone(),
        };
        pressure.start(&self.executor);
    }

    fn with_clients(&self, slot: usize, act: impl FnOnce(Rc<Clients>, &Executor)) {
        let clients = self.slots[slot].clients.borrow().clone();
        if let Some(clients) = clients {
            act(clients, &self.executor);
        }
    }

    /// Gives a process a configuration with these classes, right after some requests whose work is
    /// long.
    fn reload_classes(&self, slot: usize, classes: ClassList) -> io::Result<()> {
        let slot = &self.slots[slot];
        if let Some(clients) = slot.clients.borrow().as_ref() {
            clients.send_long_requests(&self.executor);
            clients.note_classes(classes, &self.executor);
        }
        let mut running = slot.running.borrow_mut();
        let timeouts = self.plan.client_timeouts;
        running.as_mut().map_or(Ok(()), |running| running.reload_classes(classes, timeouts))
    }
}

fn name_of(endpoint: usize) -> String {
    format!("e{endpoint}")
}
