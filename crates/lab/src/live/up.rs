//! `up`: everything at once on loopback, for a newcomer to look at.

use super::Executor;
use super::clients::{Class, Clients};
use super::discovery::Discovery;
use super::program::{Program, class, settings};
use super::server::StandIn;
use crate::report::markdown;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use serde_json::{Value, json};
use std::fs;
use std::io::{self, IsTerminal};
use std::rc::Rc;
use std::time::{Duration, Instant};

const SERVERS: usize = 5;
/// In each round of this length a server is taken down at the first mark and brought back at the second.
const ROUND: u64 = 20;
const DOWN_AT: u64 = 5;
const LISTED_AT: u64 = 7;
const BACK_AT: u64 = 12;

/// What is asked of `up`.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long it runs; until Ctrl-C if not given.
    pub length: Option<Duration>,
    /// Requests a second.
    pub rate: f64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Not answered.
    pub unanswered: u64,
    /// Middle time of those served, in milliseconds.
    pub p50_ms: f64,
    /// The time that one in a hundred exceeds.
    pub p99_ms: f64,
    /// Whether the program stopped with all answered.
    pub stopped_well: bool,
}

fn configuration(discovery: &Discovery) -> serde_json::Result<Value> {
    let known: Value = serde_json::from_slice(&discovery.answer(None)?)?;
    let lanes = json!([
        class("view", "read_like", 1.0, 500, 1500),
        class("order", "idempotency_key", 5.0, 1500, 4000)
    ]);
    Ok(json!({
        "name": "up", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "limits": { "sockets": 1024 }, "known": known,
        "settings": settings(&lanes),
    }))
}

const OPERATOR: &str = "[log]\nform = \"json\"\n\n[metrics]\nlisten = \"127.0.0.1:0\"\n";

/// Starts a stand-in discovery, stand-in servers, clients and the real program on loopback; takes a server down
/// and brings it back; shows a live table; ends all of it.
pub fn up(terms: Terms) -> io::Result<Summary> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(terms, executor.clone())))
}

async fn run(terms: Terms, executor: Executor) -> io::Result<Summary> {
    let folder = tempfile::tempdir()?;
    let discovery = Discovery::start(&executor)?;
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let speed = if i == SERVERS - 1 { 0.5 } else { 1.0 };
        let server = StandIn::new(&format!("s{i}"), speed, &executor, &discovery);
        server.start(false)?;
        servers.push(server);
    }
    let (config, operator) = (folder.path().join("config.json"), folder.path().join("cottonpoint.toml"));
    fs::write(&config, serde_json::to_vec_pretty(&configuration(&discovery)?)?)?;
    fs::write(&operator, OPERATOR)?;
    let program = Program::start(&config, &operator)?;
    if let Some(metrics) = program.metrics {
        println!("the program serves on {}, its metrics are at http://{metrics}/metrics", program.address);
    }
    let classes = vec![
        Class { name: "view", method: "GET", share: 0.8, patience: Duration::from_millis(1500) },
        Class { name: "order", method: "POST", share: 0.2, patience: Duration::from_secs(4) },
    ];
    let clients = Clients::new(program.address, classes);
    let load = executor.spawn(clients.clone().run(executor.clone(), terms.rate, 1));

    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    let begun = Instant::now();
    for second in 1.. {
        let tick = async {
            Timer::at(begun + Duration::from_secs(second)).await;
            false
        };
        let told = async { signals.next().await.is_some() };
        let stop = future::or(told, tick).await;
        if stop || terms.length.is_some_and(|length| begun.elapsed() >= length) {
            break;
        }
        let victim = &servers[(second / ROUND) as usize % servers.len()];
        match second % ROUND {
            DOWN_AT => victim.kill(),
            // A list is late: until then only broken connections tell.
            LISTED_AT => victim.list("left"),
            BACK_AT => victim.start(true)?,
            _ => {}
        }
        show(second, &servers, &clients);
    }

    drop(load);
    // What is under way is answered before the program is told to stop.
    let waited = Instant::now();
    while clients.open() > 0 && waited.elapsed() < Duration::from_secs(5) {
        Timer::after(Duration::from_millis(20)).await;
    }
    let stopped = blocking_stop(program).await?;
    let (t, ms) = (&clients.tally, |q| clients.tally.times.borrow().value_at_quantile(q) as f64 / 1e3);
    Ok(Summary {
        sent: t.sent.get(),
        served: t.served.get(),
        refused: t.refused.get(),
        failed: t.failed.get(),
        unanswered: t.unanswered.get(),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        stopped_well: stopped,
    })
}

/// Stops the program on a thread of its own, so that the stand-ins go on answering it.
async fn blocking_stop(program: Program) -> io::Result<bool> {
    let (done, wait) = async_channel::bounded(1);
    std::thread::spawn(move || drop(done.try_send(program.stop())));
    let stopped = wait.recv().await.map_err(io::Error::other)?;
    stopped.map(|(status, _)| status.success())
}

fn show(second: u64, servers: &[Rc<StandIn>], clients: &Clients) {
    let t = &clients.tally;
    let recent = t.recent.borrow();
    let ms = |q| recent.value_at_quantile(q) as f64 / 1e3;
    let line = format!(
        "{second:>4} s  sent {}  served {}  refused {}  failed {}  unanswered {}  p50 {:.1} ms  p99 {:.1} ms",
        t.sent.get(),
        t.served.get(),
        t.refused.get(),
        t.failed.get(),
        t.unanswered.get(),
        ms(0.5),
        ms(0.99)
    );
    drop(recent);
    t.recent.borrow_mut().reset();
    if !io::stdout().is_terminal() {
        println!("{line}");
        return;
    }
    let rows = servers.iter().map(|s| {
        let state = if s.is_up() { "up" } else { "down" };
        [
            s.name.clone(),
            state.to_owned(),
            s.working().to_string(),
            s.served.get().to_string(),
            s.turned_away.get().to_string(),
        ]
    });
    let table = markdown(["server", "state", "in work", "served", "turned away"], rows);
    // Clear the screen, and begin at its top.
    println!("\x1b[2J\x1b[H{line}\n\n{table}\n\nCtrl-C ends it.");
}
