//! The operator's file, the command line and the metrics.
#![allow(missing_docs)]

#[path = "sidecar/harness.rs"]
#[allow(dead_code)]
mod harness;

use cottonpoint::config::Config;
use cottonpoint::operator::OperatorConfig;
use cottonpoint::serve::{self, ControlEvent};
use cottonpoint_file::TomlText;
use cottonpoint_mesh::seal::Key;
use harness::{LOOK, ScriptedServer, config_json, instance_json, list_json, listen, read_message, send};
use insta::assert_snapshot;
use std::net::TcpStream;

/// Guards against an example whose values are not the defaults, or that the program would not
/// accept.
#[test]
fn example_and_shipped_file_hold_the_defaults() {
    let example = OperatorConfig::example();
    assert_eq!(OperatorConfig::read(&TomlText::new("example", &example)), Ok(OperatorConfig::default()));
    let shipped = include_str!("../../../deploy/cottonpoint.toml");
    assert_eq!(shipped, example, "regenerate it with: cottonpoint config example");
    // Uncommented, the keys that the example shows as comments are valid; only the key file does
    // not exist.
    let key = |l: &str| l.split(' ').nth(1) == Some("=");
    let named = example.lines().map(|l| l.strip_prefix("# ").filter(|l| key(l)).unwrap_or(l));
    let named = named.collect::<Vec<_>>().join("\n");
    let fault =
        OperatorConfig::read(&TomlText::new("example", &named)).expect_err("no such file").to_string();
    assert!(
        fault.starts_with("example:") && fault.contains("fleet.keys: fleet.key: No such file"),
        "{fault}"
    );
    let without = named.replace("keys = [\"fleet.key\"]", "").replace("listen = \"10", "# listen = \"10");
    let read = OperatorConfig::read(&TomlText::new("example", &without)).expect("good");
    assert_eq!(read.metrics.listen, "127.0.0.1:9100".parse().ok());
    assert_eq!((read.fleet.name.as_deref(), read.fleet.cluster.as_str()), (Some("n0"), "archive"));
}

/// Guards against an invalid file that is accepted, or rejected without its line and key.
#[test]
fn error_names_file_line_and_key() {
    let mut errors = String::new();
    for text in [
        "[log]\nlevel = \"loud\"",
        "[log]\n\nform = \"xml\"",
        "[log.modules]\ncottonpoint_net = \"very\"",
        "[log]\nwarnings_per_minute = 0",
        "[log]\ncolour = true",
        "[metrics]\nlisten = \"9100\"",
        "[mllp]\nlisten = \"127.0.0.1:2575\"",
        "[log\n",
        "[fleet]\nlisten = \"[::1]:7946\"",
        "[fleet]\nlisten = \"127.0.0.1:0\"",
        "[fleet]\nlisten = \"127.0.0.1:0\"\ncluster = \"c\"",
        "[fleet]\nlisten = \"0.0.0.0:7946\"\ncluster = \"c\"",
        "[fleet]\nlisten = \"127.0.0.1:0\"\nadvertise = \"127.0.0.1:0\"\ncluster = \"c\"",
        "[fleet]\nlisten = \"127.0.0.1:0\"\ncluster = \"c\"\nkeys = [\"no/such/file\"]",
        "[fleet]\nlisten = \"127.0.0.1:0\"\ncluster = \"c\"\nkeys = [\"/dev/null\"]",
        "[fleet]\nlisten = \"127.0.0.1:0\"\ncluster = \"c\"\nkeys = [\"/dev/zero\"]",
        "[fleet]\nseeds = [\"127.0.0.1\"]",
        "[fleet]\nperiod_ms = 199",
        "[fleet]\nworkers = 9",
        "[fleet]\nname = \"a-name-of-more-than-thirty-two-bytes\"",
        "[fleet]\nkey = \"secret\"",
    ] {
        let fault =
            OperatorConfig::read(&TomlText::new("cottonpoint.toml", text)).expect_err(text).to_string();
        assert_eq!(fault.lines().count(), 1);
        errors += &format!("{fault}\n");
    }
    assert_snapshot!(errors);
}

/// Guards against a check that prints keys or omits the fleet's settings, and against a key that
/// includes its line terminator.
#[test]
fn check_prints_fleet_settings_and_no_key() {
    let dir = tempfile::tempdir().expect("a directory");
    let key = dir.path().join("key");
    std::fs::write(&key, "0123456789abcdef\r\n").expect("a file");
    let text = format!(
        "[fleet]\nlisten = \"10.0.0.7:7946\"\ncluster = \"archive\"\nkeys = [{key:?}]\nseeds = [\"10.0.0.8:7946\"]"
    );
    let operator = OperatorConfig::read(&TomlText::new("cottonpoint.toml", &text)).expect("good");
    assert_eq!(Some(&operator.fleet.loaded_keys[0]), Key::new(b"0123456789abcdef").as_ref());
    assert_snapshot!(operator.to_string(), @r"
    log          text, info
    metrics      off
    fleet        archive, listens on 10.0.0.7:7946, keys 1, seeds 1, every 1000 ms, threads 2
    ");
    assert!(!format!("{operator:?}").contains("0123456789abcdef"));
    // The configuration's name is the member's, if it is valid for one.
    assert_eq!(operator.fleet.name_or("n0"), Ok("n0".to_owned()));
    let long = "n".repeat(33);
    assert!(operator.fleet.name_or(&long).expect_err("too long").contains("fleet.name"));
}

/// Guards against metrics that do not follow what happened.
#[test]
fn metrics_count_requests_and_attempts() {
    let (endpoint, discovery) = (ScriptedServer::new(), ScriptedServer::new());
    let known = list_json(1, true, &[instance_json("t0", endpoint.address, "active")]);
    let text = config_json(discovery.address, &known, 1024).replace("400000000", "10000000000");
    let configuration = Config::parse(&text, |_| None).expect("good");
    let ((listener, address), (metrics_listener, metrics)) = (listen(), listen());
    let (control_events, receiver) = async_channel::unbounded();
    let sidecar = std::thread::spawn(move || {
        serve::run(configuration, listener, Some(metrics_listener), Box::pin(receiver)).expect("it serves");
    });
    let request = |at, request: &str| {
        let mut client = TcpStream::connect(at).expect("it listens");
        send(&mut client, request);
        read_message(&mut client)
    };
    let mut client = TcpStream::connect(address).expect("it listens");
    send(&mut client, LOOK);
    let mut connection = endpoint.accept();
    connection.reply("200 OK", "", "seen");
    assert!(read_message(&mut client).ends_with("seen"));
    assert!(request(address, "noise\n\n").starts_with("HTTP/1.1 400"));
    // The connection of the invalid request is counted until its close is detected.
    let page = std::iter::repeat_with(|| request(metrics, "GET /metrics HTTP/1.1\nHost: n0\n\n"));
    let page = { page }.find(|page| page.contains("client_connections 1\n")).expect("at last");
    let lines = page.lines().filter(|line| line.starts_with("cottonpoint_"));
    let (bytes, lines): (Vec<&str>, Vec<&str>) = lines.partition(|line| line.contains("_bytes "));
    let lines = lines.into_iter();
    let (durations, mut counted): (Vec<&str>, Vec<&str>) =
        lines.partition(|line| line.contains("_seconds "));
    counted.sort_unstable();
    assert_snapshot!(counted.join("\n"));
    // Nothing is held now; the requests before took a few KiB each.
    let bytes: Vec<usize> = bytes
        .iter()
        .map(|line| line.rsplit_once(' ').expect("a figure").1.parse().expect("bytes"))
        .collect();
    let [budget, reserved, peak] = bytes[..] else { panic!("{bytes:?}") };
    assert!(reserved == 0 && (1 << 10..1 << 20).contains(&peak) && budget > 32 << 20, "{bytes:?}");
    // The list was never confirmed, so it has no age. It is the initial one, with a lease of 6 s
    // and 0.3 s of grace.
    let lease = durations.iter().map(|line| line.rsplit_once(' ').expect("a figure"));
    let lease: Vec<(&str, f64)> = lease.map(|(name, s)| (name, s.parse().expect("a number"))).collect();
    assert!(matches!(lease[..], [("cottonpoint_list_lease_seconds", 5.0..=6.3)]), "{lease:?}");
    assert!(request(metrics, "GET / HTTP/1.1\nHost: n0\n\n").starts_with("HTTP/1.1 404"));
    control_events.try_send(ControlEvent::Stop).expect("it listens");
    sidecar.join().expect("it ends without a panic");
}
