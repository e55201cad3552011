//! The `up` command: a demonstration that runs the program and all stand-ins on loopback.

use super::Executor;
use super::clients::{Class, Clients};
use super::discovery::Discovery;
use super::endpoint::EndpointStandIn;
use super::program::{Program, class, settings};
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

const ENDPOINTS: usize = 5;
/// In each round of this many seconds one endpoint is stopped, taken off the list and started
/// again. The three constants below are the seconds within the round.
const ROUND_SECONDS: u64 = 20;
const STOP_AT_SECOND: u64 = 5;
const UNLIST_AT_SECOND: u64 = 7;
const RESTART_AT_SECOND: u64 = 12;

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long it runs; `None` means until it is interrupted (Ctrl-C).
    pub length: Option<Duration>,
    /// Requests per second.
    pub rate: f64,
}

/// Counts and latencies of the whole demonstration.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with status 200.
    pub served: u64,
    /// Requests answered with status 429 or 503.
    pub refused: u64,
    /// Requests answered with any other status.
    pub failed: u64,
    /// Requests that were not answered before the client timeout, or whose connection broke.
    pub unanswered: u64,
    /// Median latency of the requests served, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that latency, in milliseconds.
    pub p99_ms: f64,
    /// Whether the program stopped with all requests answered (exit status 0).
    pub stopped_well: bool,
}

fn configuration(discovery: &Discovery) -> serde_json::Result<Value> {
    let known: Value = serde_json::from_slice(&discovery.answer(None)?)?;
    let classes = json!([
        class("view", "read_like", 1.0, 500, 1500),
        class("order", "idempotency_key", 5.0, 1500, 4000)
    ]);
    Ok(json!({
        "name": "up", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "limits": { "sockets": 1024 }, "known": known,
        "settings": settings(&classes),
    }))
}

const OPERATOR: &str = "[log]\nform = \"json\"\n\n[metrics]\nlisten = \"127.0.0.1:0\"\n";

/// Starts a discovery stand-in, endpoint stand-ins, clients and the real program on loopback. Stops
/// and restarts one endpoint per round, prints a table each second, and shuts everything down at
/// the end. Errors: a socket, file or process that cannot be created, or a program that does not
/// start or stop.
pub fn run_demo(options: Options) -> io::Result<Summary> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(options, executor.clone())))
}

async fn run(options: Options, executor: Executor) -> io::Result<Summary> {
    let folder = tempfile::tempdir()?;
    let discovery = Discovery::start(&executor)?;
    let mut endpoints = Vec::new();
    for i in 0..ENDPOINTS {
        let speed = if i == ENDPOINTS - 1 { 0.5 } else { 1.0 };
        let endpoint = EndpointStandIn::new(&format!("s{i}"), speed, &executor, &discovery);
        endpoint.start(false)?;
        endpoints.push(endpoint);
    }
    let (config, operator) = (folder.path().join("config.json"), folder.path().join("cottonpoint.toml"));
    fs::write(&config, serde_json::to_vec_pretty(&configuration(&discovery)?)?)?;
    fs::write(&operator, OPERATOR)?;
    let program = Program::start(&config, &operator)?;
    if let Some(metrics) = program.metrics {
        println!("the program serves on {}, its metrics are at http://{metrics}/metrics", program.address);
    }
    let classes = vec![
        Class { name: "view", method: "GET", share: 0.8, client_timeout: Duration::from_millis(1500) },
        Class { name: "order", method: "POST", share: 0.2, client_timeout: Duration::from_secs(4) },
    ];
    let clients = Clients::new(program.address, classes);
    let load = executor.spawn(clients.clone().run(executor.clone(), options.rate, 1));

    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    let started_at = Instant::now();
    for second in 1.. {
        let tick = async {
            Timer::at(started_at + Duration::from_secs(second)).await;
            false
        };
        let interrupted = async { signals.next().await.is_some() };
        let stop = future::or(interrupted, tick).await;
        if stop || options.length.is_some_and(|length| started_at.elapsed() >= length) {
            break;
        }
        let affected = &endpoints[(second / ROUND_SECONDS) as usize % endpoints.len()];
        match second % ROUND_SECONDS {
            STOP_AT_SECOND => affected.kill(),
            // Discovery notices the stop two seconds late: until then the sidecar learns of it from
            // broken connections only.
            UNLIST_AT_SECOND => affected.set_lifecycle("left"),
            RESTART_AT_SECOND => affected.start(true)?,
            _ => {}
        }
        print_progress(second, &endpoints, &clients);
    }

    drop(load);
    // Open requests are answered before the program is told to stop.
    let load_stopped_at = Instant::now();
    while clients.open_requests() > 0 && load_stopped_at.elapsed() < Duration::from_secs(5) {
        Timer::after(Duration::from_millis(20)).await;
    }
    let stopped = stop_on_thread(program).await?;
    let (stats, ms) =
        (&clients.stats, |q| clients.stats.latencies.borrow().value_at_quantile(q) as f64 / 1e3);
    Ok(Summary {
        sent: stats.sent.get(),
        served: stats.served.get(),
        refused: stats.refused.get(),
        failed: stats.failed.get(),
        unanswered: stats.unanswered.get(),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        stopped_well: stopped,
    })
}

/// Stops the program on a thread of its own, so that the stand-ins keep answering it meanwhile.
async fn stop_on_thread(program: Program) -> io::Result<bool> {
    let (done, wait) = async_channel::bounded(1);
    std::thread::spawn(move || drop(done.try_send(program.stop())));
    let stopped = wait.recv().await.map_err(io::Error::other)?;
    stopped.map(|(status, _)| status.success())
}

fn print_progress(second: u64, endpoints: &[Rc<EndpointStandIn>], clients: &Clients) {
    let stats = &clients.stats;
    let recent_latencies = stats.recent_latencies.borrow();
    let ms = |q| recent_latencies.value_at_quantile(q) as f64 / 1e3;
    let line = format!(
        "{second:>4} s  sent {}  served {}  refused {}  failed {}  unanswered {}  p50 {:.1} ms  p99 {:.1} ms",
        stats.sent.get(),
        stats.served.get(),
        stats.refused.get(),
        stats.failed.get(),
        stats.unanswered.get(),
        ms(0.5),
        ms(0.99)
    );
    drop(recent_latencies);
    stats.recent_latencies.borrow_mut().reset();
    if !io::stdout().is_terminal() {
        println!("{line}");
        return;
    }
    let rows = endpoints.iter().map(|endpoint| {
        let state = if endpoint.is_running() { "up" } else { "down" };
        [
            endpoint.name.clone(),
            state.to_owned(),
            endpoint.active_requests().to_string(),
            endpoint.served.get().to_string(),
            endpoint.rejected.get().to_string(),
        ]
    });
    let table = markdown(["endpoint", "state", "active", "served", "rejected"], rows);
    // Clear the screen and move the cursor to its top left corner.
    println!("\x1b[2J\x1b[H{line}\n\n{table}\n\nCtrl-C ends it.");
}
