//! Carries a plan out: starts stand-ins and processes, lets happen what the plan says, and gathers what both ends saw.

mod stops;

use super::Arguments;
use super::addresses;
use super::clients::Clients;
use super::discovery::Discovery;
use super::endpoint::Endpoint;
use super::member::{Running, Setup};
use super::plan::{Event, Plan};
use super::records::*;
use crate::live::Executor;
use crate::live::discovery::Line;
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use std::{io, thread};

const IDLE_CROWD: usize = 170;
const CROWD_LASTS: Duration = Duration::from_secs(4);
/// So many endpoints at least take work at any time.
const ACTIVE_LEAST: usize = 2;
/// After the last request the run waits for answers.
const ANSWERS_WITHIN: Duration = Duration::from_millis(5800);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// One place of the fleet, and the process that runs there.
struct Place {
    running: RefCell<Option<Running>>,
    /// The process's number among all, and how many have run here.
    member: Cell<usize>,
    incarnation: Cell<u32>,
    clients: RefCell<Option<Rc<Clients>>>,
}

struct Play {
    plan: Plan,
    began: Instant,
    executor: Executor,
    folder: PathBuf,
    program: PathBuf,
    logs: Option<PathBuf>,
    discovery: Rc<Discovery>,
    endpoints: Vec<Rc<Endpoint>>,
    addresses: RefCell<Vec<SocketAddr>>,
    standings: RefCell<Vec<Standing>>,
    places: Vec<Place>,
    attempts: Rc<RefCell<Vec<Attempt>>>,
    members: RefCell<Vec<Member>>,
    all_clients: RefCell<Vec<Rc<Clients>>>,
    changes: RefCell<Vec<Change>>,
    bans: RefCell<Vec<Ban>>,
    lateness: Cell<Duration>,
    over: Cell<bool>,
}

/// Plays a plan in real time.
pub fn play(plan: &Plan, arguments: &Arguments) -> io::Result<Records> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(plan, arguments, executor.clone())))
}

async fn run(plan: &Plan, arguments: &Arguments, executor: Executor) -> io::Result<Records> {
    let folder = tempfile::tempdir()?;
    let began = Instant::now();
    let attempts: Rc<RefCell<Vec<Attempt>>> = Rc::default();
    let endpoints =
        (0..plan.endpoints).map(|index| Endpoint::new(index, began, plan.seed, attempts.clone())).collect();
    let place = |_| Place {
        running: RefCell::default(),
        member: Cell::new(0),
        incarnation: Cell::new(0),
        clients: RefCell::default(),
    };
    let play = Rc::new(Play {
        began,
        executor: executor.clone(),
        folder: folder.path().to_owned(),
        program: arguments.program.clone().map_or_else(std::env::current_exe, Ok)?,
        logs: arguments.logs.as_ref().map(|logs| logs.join(format!("seed-{}", plan.seed))),
        discovery: Discovery::new(began, plan.seed),
        endpoints,
        addresses: RefCell::default(),
        standings: RefCell::new(vec![Standing::Active; plan.endpoints]),
        places: (0..plan.members).map(place).collect(),
        attempts,
        members: RefCell::default(),
        all_clients: RefCell::default(),
        changes: RefCell::default(),
        bans: RefCell::default(),
        lateness: Cell::default(),
        over: Cell::new(false),
        plan: plan.clone(),
    });
    play.clone().whole_run().await
}

impl Play {
    async fn whole_run(self: Rc<Self>) -> io::Result<Records> {
        self.start_endpoints()?;
        self.start_members((0..self.plan.members).collect()).await?;
        let base = Instant::now();
        self.executor.spawn(self.clone().measure_lateness()).detach();
        for step in &self.plan.steps {
            Timer::at(base + step.at).await;
            self.clone().carry_out(step.event).await?;
        }
        Timer::at(base + self.plan.length).await;
        self.over.set(true);
        self.all_clients.borrow().iter().for_each(|clients| clients.end());
        let until = Instant::now() + ANSWERS_WITHIN;
        let open = || self.all_clients.borrow().iter().map(|clients| clients.open()).sum::<usize>();
        while open() > 0 && Instant::now() < until {
            Timer::after(LOOK_EVERY).await;
        }
        self.stop_all().await?;
        Ok(self.records())
    }

    fn records(&self) -> Records {
        let mut records = Records {
            attempts: self.attempts.take(),
            members: self.members.take(),
            endpoints: self.endpoints.iter().map(|endpoint| name_of(endpoint.index)).collect(),
            changes: self.changes.take(),
            written: self.discovery.written.take(),
            reachable: self.discovery.reachable.take(),
            silent_watches: self.discovery.silent_watches.take(),
            bans: self.bans.take(),
            polls: self.discovery.polls.get(),
            lateness: self.lateness.get(),
            ..Records::default()
        };
        for clients in self.all_clients.borrow().iter() {
            records.requests.extend(clients.requests.take());
            records.bad_clients.extend(clients.bad.take());
            records.crowded_clients.extend(clients.crowds.take());
        }
        records
    }

    /// By how much a timer of the stand-ins fires late at most.
    async fn measure_lateness(self: Rc<Self>) {
        while !self.over.get() {
            let due = Instant::now() + LOOK_EVERY;
            Timer::at(due).await;
            self.lateness.set(self.lateness.get().max(due.elapsed()));
        }
    }

    fn start_endpoints(&self) -> io::Result<()> {
        for endpoint in &self.endpoints {
            self.addresses.borrow_mut().push(endpoint.start(&self.executor)?);
            self.list(endpoint.index, Standing::Active, 0);
        }
        for index in 0..self.plan.padding {
            // Nobody listens on the port of discard.
            let line =
                line(&format!("padding-{index}"), SocketAddr::from((addresses::host(), 9)), "leaving", 0);
            self.discovery.list(line);
        }
        Ok(())
    }

    /// Changes what the list says of an endpoint.
    fn list(&self, endpoint: usize, to: Standing, started_at_ms: u64) {
        let lifecycle = match to {
            Standing::Active => "active",
            Standing::Leaving => "leaving",
            Standing::Left => "left",
        };
        let address = self.addresses.borrow()[endpoint];
        let version = self.discovery.list(line(&name_of(endpoint), address, lifecycle, started_at_ms));
        self.standings.borrow_mut()[endpoint] = to;
        let at = self.began.elapsed();
        let cold = started_at_ms > 0;
        self.changes.borrow_mut().push(Change { version, at, endpoint, to, cold });
    }

    /// Whether one endpoint less is still enough.
    fn may_lose(&self, endpoint: usize) -> bool {
        let standings = self.standings.borrow();
        let active = standings.iter().filter(|standing| **standing == Standing::Active).count();
        active > ACTIVE_LEAST || standings[endpoint] != Standing::Active
    }

    /// Starts processes at those places, on a thread of its own: the stand-ins go on answering.
    async fn start_members(self: &Rc<Self>, places: Vec<usize>) -> io::Result<()> {
        let known = self.discovery.whole_list();
        let mut setups = Vec::new();
        for place in &places {
            let discovery = self.discovery.add_member(&self.executor)?;
            let member = Member {
                name: format!("p{place}.{}", self.places[*place].incarnation.get()),
                files_failed_until: self.files_fail_until(*place),
                ..Member::default()
            };
            self.members.borrow_mut().push(member);
            self.places[*place].member.set(self.members.borrow().len() - 1);
            let program = &self.program;
            setups.push(Setup::write(&self.plan, &self.folder, *place, discovery, &known, program)?);
        }
        // Before it is asked to serve: what it does until then counts too.
        let started = self.began.elapsed();
        let (done, wait) = async_channel::bounded(1);
        thread::spawn(move || {
            let starting: Vec<_> =
                setups.into_iter().map(|setup| thread::spawn(move || setup.start())).collect();
            let running =
                starting.into_iter().map(|one| one.join().map_err(|_| io::Error::other("a panic"))?);
            drop(done.try_send(running.collect::<io::Result<Vec<_>>>()));
        });
        let running = wait.recv().await.map_err(io::Error::other)??;
        for (place, running) in places.into_iter().zip(running) {
            let place = &self.places[place];
            let member = place.member.get();
            self.members.borrow_mut()[member].started = started;
            let plan = &self.plan;
            let clients = Clients::new(running.address, member, self.began, plan.seed, plan.patience);
            *place.running.borrow_mut() = Some(running);
            *place.clients.borrow_mut() = Some(clients.clone());
            self.all_clients.borrow_mut().push(clients.clone());
            self.executor.spawn(clients.run(self.executor.clone(), plan.rate)).detach();
        }
        Ok(())
    }

    fn files_fail_until(&self, place: usize) -> Moment {
        let fails = self.plan.shims[place].map(|shim| shim.files_fail.0 + shim.files_fail.1);
        fails.map_or(Duration::ZERO, |fails| self.began.elapsed() + fails)
    }

    async fn carry_out(self: Rc<Self>, event: Event) -> io::Result<()> {
        match event {
            Event::Discovery(condition) => self.discovery.change(condition),
            Event::Watches(fault) => self.discovery.break_watches(fault),
            Event::Endpoint(endpoint, behaviour) => self.endpoints[endpoint].behave(behaviour),
            Event::Drain(endpoint) => self.drain(endpoint, Standing::Leaving),
            Event::Remove(endpoint) => self.drain(endpoint, Standing::Left),
            Event::Crash(endpoint) if self.may_lose(endpoint) => self.endpoints[endpoint].crash(),
            Event::Crash(_) => {}
            Event::Restart(endpoint) => self.restart_endpoint(endpoint)?,
            Event::Reload(place) => {
                self.places[place].running.borrow_mut().as_mut().map_or(Ok(()), Running::reload)?;
            }
            Event::Terminate(place) => {
                let play = self.clone();
                self.executor.spawn(async move { drop(play.terminate(place, true).await) }).detach();
            }
            Event::Kill(place) => {
                let play = self.clone();
                self.executor.spawn(async move { drop(play.kill_and_restart(place).await) }).detach();
            }
            Event::HoldUp(place) => {
                let play = self.clone();
                self.executor.spawn(async move { drop(play.hold_up(place).await) }).detach();
            }
            Event::IdleCrowd(place) => self.with_clients(place, |clients, executor| {
                executor.spawn(clients.idle_crowd(IDLE_CROWD, CROWD_LASTS)).detach();
            }),
            Event::ClientsLeave(place) => self.with_clients(place, |clients, _| clients.all_leave()),
            Event::BadClients(place) => self.with_clients(place, |clients, executor| {
                executor.spawn(clients.bad_clients(executor.clone())).detach();
            }),
            Event::Ban(place, endpoint) => {
                let play = self.clone();
                self.executor.spawn(async move { play.ban(place, endpoint).await }).detach();
            }
        }
        Ok(())
    }

    fn with_clients(&self, place: usize, act: impl FnOnce(Rc<Clients>, &Executor)) {
        let clients = self.places[place].clients.borrow().clone();
        if let Some(clients) = clients {
            act(clients, &self.executor);
        }
    }

    fn drain(&self, endpoint: usize, to: Standing) {
        let standing = self.standings.borrow()[endpoint];
        if self.may_lose(endpoint) && standing != Standing::Left && standing != to {
            self.list(endpoint, to, 0);
        }
    }

    fn restart_endpoint(&self, endpoint: usize) -> io::Result<()> {
        if self.standings.borrow()[endpoint] != Standing::Active {
            return Ok(());
        }
        self.endpoints[endpoint].crash();
        self.addresses.borrow_mut()[endpoint] = self.endpoints[endpoint].start(&self.executor)?;
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.list(endpoint, Standing::Active, u64::try_from(now.as_millis()).unwrap_or(0));
        Ok(())
    }

    async fn ban(&self, place: usize, endpoint: usize) {
        let place = &self.places[place];
        let (member, console) = (place.member.get(), place.running.borrow().as_ref().map(Running::console));
        let Some(console) = console else { return };
        if Running::take_out(console, &name_of(endpoint)).await.unwrap_or(false) {
            self.bans.borrow_mut().push(Ban { member, endpoint, confirmed: self.began.elapsed() });
        }
    }
}

fn name_of(endpoint: usize) -> String {
    format!("e{endpoint}")
}

fn line(name: &str, address: SocketAddr, lifecycle: &'static str, started_at_ms: u64) -> Line {
    Line {
        instance_id: name.to_owned(),
        host_port: address,
        zone: "here".to_owned(),
        machine_type: "plain".to_owned(),
        cell: 0,
        lifecycle,
        started_at_ms,
    }
}
