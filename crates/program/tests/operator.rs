//! The operator's file, the command line and the metrics.
#![allow(missing_docs)]

#[path = "sidecar/peers.rs"]
#[allow(dead_code)]
mod peers;

use cottonpoint::config::Config;
use cottonpoint::operator::Operator;
use cottonpoint::serve::{self, Word};
use cottonpoint_file::Text;
use insta::assert_snapshot;
use peers::{LOOK, Peer, config, line, list, listen, message, send};
use std::net::TcpStream;

/// Guards against: an example that says what does not hold, or that the program would not take.
#[test]
fn the_example_and_the_shipped_file_are_what_holds_without_one() {
    let example = Operator::example();
    assert_eq!(Operator::read(&Text::new("example", &example)), Ok(Operator::default()));
    let shipped = include_str!("../../../deploy/cottonpoint.toml");
    assert_eq!(shipped, example, "print it anew with: cottonpoint config example");
    // The key that the example only names as a comment is one.
    let named = example.replace("# listen =", "listen =");
    let listen = Operator::read(&Text::new("example", &named)).expect("good").metrics.listen;
    assert_eq!(listen, "127.0.0.1:9100".parse().ok());
}

/// Guards against: a wrong file that is taken, or refused without saying where.
#[test]
fn a_fault_is_named_by_file_line_and_key() {
    let mut said = String::new();
    for text in [
        "[log]\nlevel = \"loud\"",
        "[log]\n\nform = \"xml\"",
        "[log.modules]\ncottonpoint_net = \"very\"",
        "[log]\nwarnings_per_minute = 0",
        "[log]\ncolour = true",
        "[metrics]\nlisten = \"9100\"",
        "[mllp]\nlisten = \"127.0.0.1:2575\"",
        "[log\n",
    ] {
        let fault = Operator::read(&Text::new("cottonpoint.toml", text)).expect_err(text).to_string();
        assert_eq!(fault.lines().count(), 1);
        said += &format!("{fault}\n");
    }
    assert_snapshot!(said);
}

/// Guards against: figures that do not follow what happened.
#[test]
fn metrics_count_what_passed() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    let configuration = Config::parse(&config(discovery.address, &known, 1024), |_| None).expect("good");
    let ((listener, address), (watched, metrics)) = (listen(), listen());
    let (words, heard) = async_channel::unbounded();
    let sidecar = std::thread::spawn(move || {
        serve::run(configuration, listener, Some(watched), Box::pin(heard)).expect("it serves");
    });
    let ask = |at, request: &str| {
        let mut client = TcpStream::connect(at).expect("it listens");
        send(&mut client, request);
        message(&mut client)
    };
    let mut client = TcpStream::connect(address).expect("it listens");
    send(&mut client, LOOK);
    let mut came = target.accept();
    came.reply("200 OK", "", "seen");
    assert!(message(&mut client).ends_with("seen"));
    let page = ask(metrics, "GET /metrics HTTP/1.1\nHost: n0\n\n");
    let mut counted: Vec<&str> = page.lines().filter(|l| l.starts_with("cottonpoint_")).collect();
    counted.sort_unstable();
    assert_snapshot!(counted.join("\n"));
    assert!(ask(metrics, "GET / HTTP/1.1\nHost: n0\n\n").starts_with("HTTP/1.1 404"));
    words.try_send(Word::Stop).expect("it listens");
    sidecar.join().expect("it ends without a panic");
}
