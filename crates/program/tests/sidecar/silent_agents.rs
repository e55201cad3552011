//! Agents that push the list and fail to answer: what a process may do until it has heard of them.

use crate::harness::*;
use crate::program::Program;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// New attempts may go to an endpoint for this long after it is removed: 0.5 s by the settings, and
/// 0.05 s by the protocol specification.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
const PAUSE: Duration = Duration::from_millis(20);

/// How an agent fails to answer a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Silence,
    Reset,
    Refusal,
    UnavailableAtOnce,
    UnavailableLate,
    HalfAnswer,
}

const FAILURES: [Failure; 6] = [
    Failure::Silence,
    Failure::Reset,
    Failure::Refusal,
    Failure::UnavailableAtOnce,
    Failure::UnavailableLate,
    Failure::HalfAnswer,
];

fn pushed_config(discovery: SocketAddr, known: &str) -> String {
    config_json(discovery, known, 1024).replace("on_request", "pushed")
}

/// An agent that fails each call until it is told to answer with the list `answer`.
struct FailingAgent {
    address: SocketAddr,
    answers: Arc<AtomicBool>,
}

impl FailingAgent {
    fn start(failure: Failure, answer: String) -> FailingAgent {
        let server = ScriptedServer::new();
        let (address, answers) = (server.address, Arc::new(AtomicBool::new(false)));
        if failure == Failure::Refusal {
            drop(server);
            let answers = answers.clone();
            thread::spawn(move || {
                while !answers.load(Ordering::Relaxed) {
                    thread::sleep(PAUSE);
                }
                let listener = std::net::TcpListener::bind(address).expect("the port is still free");
                for stream in listener.incoming() {
                    serve_list(AcceptedConnection::read_from(stream.expect("a socket")), &answer);
                }
            });
        } else {
            let answers = answers.clone();
            thread::spawn(move || {
                loop {
                    let call = AcceptedConnection::read_from(server.accept_stream_without_limit());
                    let (answers, answer) = (answers.clone(), answer.clone());
                    thread::spawn(move || match answers.load(Ordering::Relaxed) {
                        true => serve_list(call, &answer),
                        false => fail(call, failure, &answers, &answer),
                    });
                }
            });
        }
        FailingAgent { address, answers }
    }

    fn begin_to_answer(&self) {
        self.answers.store(true, Ordering::Relaxed);
    }
}

/// Answers the first call on a connection and holds the watches that follow.
fn serve_list(mut call: AcceptedConnection, answer: &str) {
    call.reply("200 OK", "", answer);
    hold_watches(call, answer);
}

/// Answers calls that do not wait, and none of those that do.
fn hold_watches(mut call: AcceptedConnection, answer: &str) {
    while !call.read_next().is_empty() {
        if call.text.contains("hold_ms=0 ") {
            call.reply("200 OK", "", answer);
        }
    }
}

fn fail(mut call: AcceptedConnection, failure: Failure, answers: &AtomicBool, answer: &str) {
    match failure {
        Failure::Refusal => {}
        Failure::Silence => {
            while !answers.load(Ordering::Relaxed) {
                thread::sleep(PAUSE);
            }
            // The call may have been given up meanwhile.
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len());
            if call.stream.write_all((head + answer).as_bytes()).is_ok() {
                hold_watches(call, answer);
            }
        }
        Failure::Reset => {
            let _ = socket2::SockRef::from(&call.stream).set_linger(Some(Duration::ZERO));
        }
        Failure::UnavailableAtOnce => call.reply("503 Service Unavailable", "", ""),
        Failure::UnavailableLate => {
            thread::sleep(Duration::from_millis(600));
            call.reply("503 Service Unavailable", "", "");
        }
        Failure::HalfAnswer => {
            let _ =
                call.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2");
        }
    }
}

/// Sends requests one after another for `time`. Returns the numbers of answers with 200 and with 503,
/// and the longest time to a 503.
fn request_for(sidecar: &TestSidecar, time: Duration) -> (usize, usize, Duration) {
    let until = Instant::now() + time;
    let (mut served, mut refused, mut slowest) = (0, 0, Duration::ZERO);
    while Instant::now() < until {
        let sent = Instant::now();
        let answer =
            sidecar.request(&LOOK.replace("c1", &format!("r{}", NEXT_ID.fetch_add(1, Ordering::Relaxed))));
        match &answer[..12] {
            "HTTP/1.1 200" => served += 1,
            "HTTP/1.1 503" => {
                refused += 1;
                slowest = slowest.max(sent.elapsed());
            }
            other => panic!("{other}"),
        }
        thread::sleep(PAUSE);
    }
    (served, refused, slowest)
}

const READY: &str = "GET /health/ready HTTP/1.1\nHost: n0\n\n";

/// Guards against: clients sent to a process that may not use its list, and a process that is never
/// ready because its agent is silent for long.
#[test]
fn process_is_ready_once_its_agent_answers_or_after_five_seconds() {
    let endpoint = ScriptedServer::new();
    let list = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let start = || {
        let agent = FailingAgent::start(Failure::Silence, list.clone());
        let sidecar = TestSidecar::start(&pushed_config(agent.address, &list));
        (agent, sidecar)
    };
    let is_ready = |sidecar: &TestSidecar| sidecar.request(READY).starts_with("HTTP/1.1 200");
    let (agent, answered) = start();
    let (_silent, waiting) = start();
    let started = Instant::now();
    thread::sleep(Duration::from_millis(300));
    assert!(!is_ready(&answered) && !is_ready(&waiting));
    agent.begin_to_answer();
    thread::sleep(Duration::from_millis(300));
    assert!(is_ready(&answered) && !is_ready(&waiting));
    while !is_ready(&waiting) {
        assert!(started.elapsed() < Duration::from_millis(5500), "ready within 6 s of the start");
        thread::sleep(PAUSE);
    }
    assert!(started.elapsed() > Duration::from_secs(4));
    answered.stop_and_join();
    waiting.stop_and_join();
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

/// Guards against: a new process that sends to an endpoint that left before it started, for as long as
/// its agent fails to answer (review/3): the connection that was accepted, or the failure, renewed the
/// lease of a process that had heard nothing.
#[test]
fn new_process_sends_nothing_after_the_grace_until_its_agent_answers() {
    let play = |failure: Failure| {
        let (gone, active) = (ScriptedServer::new(), ScriptedServer::new());
        let lines = |lifecycle| {
            [instance_json("t0", gone.address, lifecycle), instance_json("t1", active.address, "active")]
        };
        let agent = FailingAgent::start(failure, list_json(2, true, &lines("leaving")));
        let known = list_json(1, true, &lines("active"));
        let started = Instant::now();
        let sidecar = TestSidecar::start(&pushed_config(agent.address, &known));
        let (to_gone, to_active) = (gone.echo_requests(), active.echo_requests());
        thread::sleep(DRAIN_GRACE);
        (to_gone.try_iter().chain(to_active.try_iter())).for_each(drop);
        let (served, refused, slowest) = request_for(&sidecar, Duration::from_millis(2500));
        assert_eq!(served, 0, "{failure:?}: served while the agent had not answered");
        assert!(refused > 5, "{failure:?}: {refused} refused");
        assert!(slowest < Duration::from_millis(1500), "{failure:?}: refused after {slowest:?}");
        if let Failure::Silence | Failure::UnavailableLate = failure {
            // A quarter of the latency target is how long a request waits where that is of use.
            let (_, _, slowest) = request_for(&sidecar, Duration::from_millis(300));
            assert!(slowest < Duration::from_millis(240), "{failure:?}: refused after {slowest:?}");
        }
        assert_eq!((to_gone.try_iter().count(), to_active.try_iter().count()), (0, 0), "{failure:?}");
        agent.begin_to_answer();
        while request_for(&sidecar, PAUSE).0 == 0 {
            assert!(started.elapsed() < Duration::from_secs(15), "{failure:?}: not served again");
        }
        let (_, refused, _) = request_for(&sidecar, Duration::from_millis(500));
        assert_eq!((refused, to_gone.try_iter().count()), (0, 0), "{failure:?}");
        sidecar.stop_and_join();
    };
    thread::scope(|scope| {
        let plays = FAILURES.map(|failure| scope.spawn(move || play(failure)));
        plays.into_iter().for_each(|played| played.join().expect("it holds"));
    });
}

/// Guards against: a starting process that refuses its clients although its agent answers.
#[test]
fn new_process_serves_from_its_first_second_where_its_agent_answers() {
    let endpoint = ScriptedServer::new();
    let list = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let agent = FailingAgent::start(Failure::Silence, list.clone());
    agent.begin_to_answer();
    endpoint.echo_requests();
    let sidecar = TestSidecar::start(&pushed_config(agent.address, &list));
    let (served, refused, _) = request_for(&sidecar, Duration::from_secs(2));
    assert!(served > 20 && refused == 0, "{served} served, {refused} refused");
    sidecar.stop_and_join();
}

/// Guards against: clients that reach the new process of an upgrade while its agent is silent and are
/// refused, although the older process has a list. It takes clients within 6 s all the same.
#[test]
fn older_process_keeps_the_clients_until_the_agent_of_the_newer_answers() {
    let endpoint = ScriptedServer::new();
    let list = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    endpoint.echo_requests();
    let answering = FailingAgent::start(Failure::Silence, list.clone());
    answering.begin_to_answer();
    let silent = FailingAgent::start(Failure::Silence, list.clone());
    let port = listen().1;
    let config = |agent: &FailingAgent| {
        pushed_config(agent.address, &list).replace("127.0.0.1:0", &port.to_string())
    };
    for answers in [true, false] {
        let state = tempfile::tempdir().expect("a directory");
        let older = Program::with_state(&config(&answering), state.path());
        let started = Instant::now();
        let newer = thread::scope(|scope| {
            let newer = scope.spawn(|| Program::with_state(&config(&silent), state.path()));
            let mut refused = 0;
            while started.elapsed() < Duration::from_secs(1) {
                let id = format!("u{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
                let answer = read_message(&mut older.client(&LOOK.replace("c1", &id)));
                refused += usize::from(!answer.starts_with("HTTP/1.1 200"));
            }
            assert_eq!(refused, 0, "the older process serves");
            if answers {
                silent.begin_to_answer();
            }
            newer.join().expect("it takes clients")
        });
        assert!(started.elapsed() < Duration::from_secs(6), "it takes clients in time");
        assert!(console_command(newer.console, "HEALTH").starts_with("+OK"));
        silent.answers.store(false, Ordering::Relaxed);
    }
}

/// Guards against: calls to the agent that a reload names keeping the list in use before it has
/// answered, where lists were pushed or asked for before. What it holds counts as notified 4 s after the
/// reload.
#[test]
fn list_is_used_for_four_seconds_after_a_reload_to_an_agent_that_fails() {
    let play = |failure: Failure, from_pushed: bool| {
        let endpoint = ScriptedServer::new();
        let list = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
        let answering = FailingAgent::start(Failure::Silence, list.clone());
        answering.begin_to_answer();
        let failing = FailingAgent::start(failure, list.clone());
        endpoint.echo_requests();
        let pushed = pushed_config(answering.address, &list);
        let sidecar = TestSidecar::start(&match from_pushed {
            true => pushed,
            false => pushed.replace("pushed", "on_request"),
        });
        assert_eq!(request_for(&sidecar, Duration::from_secs(1)).1, 0, "{failure:?}");
        sidecar.reload(&pushed_config(failing.address, &list));
        let reloaded = Instant::now();
        let (served, refused, _) = request_for(&sidecar, Duration::from_millis(3900));
        assert!(served > 20 && refused == 0, "{failure:?}: {served} served, {refused} refused");
        thread::sleep((Duration::from_secs(4) + DRAIN_GRACE).saturating_sub(reloaded.elapsed()));
        let (served, ..) = request_for(&sidecar, Duration::from_millis(1500));
        assert_eq!(served, 0, "{failure:?}: the new agent has not answered");
        failing.begin_to_answer();
        thread::sleep(Duration::from_secs(3));
        assert_eq!(request_for(&sidecar, Duration::from_millis(500)).1, 0, "{failure:?}");
        sidecar.stop_and_join();
    };
    let failures =
        [Failure::Silence, Failure::Refusal, Failure::UnavailableAtOnce, Failure::UnavailableLate];
    thread::scope(|scope| {
        let plays = failures.map(|failure| {
            [true, false].map(|from_pushed| scope.spawn(move || play(failure, from_pushed)))
        });
        plays.into_iter().flatten().for_each(|played| played.join().expect("it holds"));
    });
}

/// Guards against: a running process that refuses its clients while its agent is down, although its
/// watch was open when the agent went down, so that it has missed nothing.
#[test]
fn process_that_watched_until_its_agent_went_down_serves_on() {
    let endpoint = ScriptedServer::new();
    let list = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    endpoint.echo_requests();
    let server = ScriptedServer::new();
    let sidecar = TestSidecar::start(&pushed_config(server.address, &list));
    let mut call = server.accept();
    call.reply("200 OK", "", &list);
    call.read_next();
    let address = server.address;
    drop(server);
    drop(call);
    let (served, refused, _) = request_for(&sidecar, Duration::from_secs(4));
    assert!(served > 50 && refused == 0, "{served} served, {refused} refused");
    // It is back without a word: what it has learned meanwhile counts as notified.
    let listener = std::net::TcpListener::bind(address).expect("the port is still free");
    thread::sleep(DRAIN_GRACE + DRAIN_GRACE);
    assert_eq!(request_for(&sidecar, Duration::from_secs(1)).0, 0);
    drop(listener);
    sidecar.stop_and_join();
}
