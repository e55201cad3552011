//! The configuration: each fault is reported in one line that names its key.
#![allow(missing_docs)]

#[path = "sidecar/harness.rs"]
#[allow(dead_code)]
mod harness;

use cottonpoint::config::Config;
use insta::assert_snapshot;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

/// Replacements in the valid configuration that make it invalid: the text replaced, and its
/// replacement.
const FAULTS: &[(&str, &str)] = &[
    ("{\"name\"", "\"name\""),
    ("\"name\":\"n0\"", "\"name\":7"),
    ("\"listen\":\"127.0.0.1:0\",", ""),
    ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"localhost\""),
    ("\"discovery\":\"127.0.0.1:8500\"", "\"discovery\":8500"),
    ("\"seed\":\"2a\"", "\"seed\":\"z\""),
    ("\"sockets\":1024", "\"sockets\":20"),
    ("\"known\":null", "\"known\":{\"generation\":1}"),
    ("\"known\":null", "\"known\":{\"generation\":1,\"instances\":[{\"instanceId\":7}]}"),
    ("\"settings\":", "\"setting\":"),
    ("\"me\":0,", ""),
    ("\"semantics\":\"read_like\"", "\"semantics\":\"odd\""),
    ("\"semantics\":\"read_like\"", "\"semantics\":null"),
    // A client timeout of 0 would set the balancer's votes below zero.
    ("\"give_up_ns\":3000000000", "\"give_up_ns\":0"),
    ("\"max_attempts\":3", "\"max_attempts\":-3"),
    ("\"quota_per_s\":1000.0", "\"quota_per_s\":\"many\""),
    ("\"connect_timeout_ns\":500000000", "\"connect_timeout_ns\":[]"),
    ("\"cold_from\":0.3", "\"cold_from\":{}"),
    ("}}}", "}}}}"),
    // Classes.
    ("\"lanes\":[{\"name\"", "\"lanes\":[],\"no\":[{\"name\""),
    ("\"name\":\"look\"", "\"name\":\"\""),
    ("\"name\":\"order\"", "\"name\":\"look\""),
    ("\"aim_ns\":1000000000", "\"aim_ns\":0"),
    ("\"aim_ns\":1000000000", "\"aim_ns\":1000000000,\"aim_stretch\":-1"),
    ("\"worth\":1.0", "\"worth\":-1"),
    ("\"worth\":1.0", "\"worth\":\"inf\""),
    ("\"worth\":1.0", "\"worth\":true"),
    ("\"worth\":1.0", "\"worth\":1,\"late_worth\":1.5"),
    ("\"idempotency_key\",\"group\":\"all\"", "\"idempotency_key\",\"group\":\"rack\""),
    ("\"idempotency_key\",\"group\":\"all\",\"window_ns\":10000000000", WINDOW_OF_ZERO),
    // Tenants and their shares.
    ("\"orgs\":[{\"name\":\"north\"", "\"orgs\":[{\"name\":\"\""),
    ("\"orgs\":[{", "\"orgs\":[{\"name\":\"north\",\"quota_per_s\":1},{"),
    ("\"orgs\":[{", "\"orgs\":[{\"name\":\"south\",\"quota_per_s\":1,\"share\":0.5},{\"share\":0.6,"),
    ("\"orgs\":[{", "\"orgs\":[{\"share\":0.9,"),
    ("\"orgs\":[{", "\"orgs\":[{\"share\":\"nan\","),
    ("\"orgs\":[{", "\"orgs\":7,\"no\":[{"),
    ("\"quota_per_s\":1000.0", "\"quota_per_s\":-1"),
    ("\"quota_per_s\":1000.0", "\"quota_per_s\":\"nan\""),
    ("\"a_new_key\":[1]", "\"over_share_worth\":1.1"),
    // The rest.
    ("\"siblings\":1", "\"siblings\":0"),
    ("\"my_zone\":0", "\"my_zone\":1"),
    ("\"connect_timeout_ns\":500000000", "\"connect_timeout_ns\":0"),
    ("\"ask_within_ns\":400000000", "\"ask_within_ns\":0"),
    ("\"cold_from\":0.3", "\"cold_from\":1.1"),
    ("\"fall_multiple\":3.0", "\"fall_multiple\":-3"),
    ("\"tip_after_ns\":2000000000", "\"tip_after_ns\":0"),
    ("\"warm_after_ns\":5000000000", "\"warm_after_ns\":-1"),
    ("\"a_new_key\":[1]", "\"penalties\":{\"cross_zone\":-0.1}"),
];

const WINDOW_OF_ZERO: &str = "\"idempotency_key\",\"group\":\"all\",\"window_ns\":0";

/// The valid configuration in which the faults are made.
fn valid() -> String {
    harness::config_json("127.0.0.1:8500".parse().unwrap(), "null", 1024)
}

fn invalid_texts() -> impl Iterator<Item = (&'static str, String)> {
    let valid = valid();
    FAULTS.iter().map(move |(from, to)| {
        assert!(valid.contains(from), "{from}");
        (*to, valid.replacen(from, to, 1))
    })
}

/// Guards against an invalid configuration that is accepted, or whose error does not say where to
/// look.
#[test]
fn error_names_the_key() {
    let mut errors = String::new();
    for (change, text) in invalid_texts() {
        let fault = Config::parse(&text, |_| None).expect_err(change).to_string();
        assert_eq!(fault.lines().count(), 1);
        errors += &format!("{fault}\n");
    }
    assert_snapshot!(errors, @r#"
    configuration: (whole): invalid type: string "name", expected an object (line 1, column 6)
    configuration: name: invalid type: integer `7`, expected a string (line 1, column 9)
    configuration: listen: is missing, and NODE_LISTEN is not set
    configuration: listen: must be an address and port: localhost
    configuration: discovery: invalid type: integer `8500`, expected a string (line 1, column 52)
    configuration: seed: must be hexadecimal: z (line 1, column 75)
    configuration: limits.sockets: must be a whole number of at least 96: 20 (line 2, column 63)
    configuration: known.instances: is missing
    configuration: known.instances.0.instanceId: invalid type: integer `7`, expected a string (line 2, column 118)
    configuration: settings: is missing
    configuration: settings.me: is missing
    configuration: settings.lanes.0.semantics: unknown variant `odd`, expected one of `read_like`, `idempotency_key`, `non_idempotent` (line 5, column 53)
    configuration: settings.lanes.0.semantics: is missing (line 5, column 52)
    configuration: settings.lanes.0.give_up_ns: must be above 0 (line 6, column 50)
    configuration: settings.limits.max_attempts: cannot be read: -3 (line 8, column 39)
    configuration: settings.orgs.0.quota_per_s: cannot be read: many (line 7, column 137)
    configuration: settings.limits.connect_timeout_ns: cannot be read: [] (line 9, column 88)
    configuration: settings.obligations.cold_from: cannot be read: {} (line 10, column 67)
    configuration: (whole): trailing characters at line 11 column 61
    configuration: settings.lanes: must not be empty
    configuration: settings.lanes.0.name: must not be empty
    configuration: settings.lanes.1.name: duplicates the name of settings.lanes.0: look
    configuration: settings.lanes.0.aim_ns: must be above 0 (line 6, column 26)
    configuration: settings.lanes.0.aim_stretch: must be 0 or above, and finite (line 6, column 52)
    configuration: settings.lanes.0.worth: must be 0 or above, and finite (line 6, column 70)
    configuration: settings.lanes.0.worth: must be 0 or above, and finite (line 6, column 73)
    configuration: settings.lanes.0.worth: cannot be read: true (line 6, column 72)
    configuration: settings.lanes.0.late_worth: must lie between 0 and 1 (line 6, column 86)
    configuration: settings.lanes.1.group: unknown variant `rack`, expected one of `all`, `zone`, `cell`
    configuration: settings.lanes.1.window_ns: must be above 0
    configuration: settings.orgs.0.name: must not be empty
    configuration: settings.orgs.1.name: duplicates the name of settings.orgs.0: north
    configuration: settings.orgs: the shares add up to 1.100, not 1
    configuration: settings.orgs: the shares add up to 0.900, not 1
    configuration: settings.orgs.0.share: must lie between 0 and 1 (line 7, column 114)
    configuration: settings.orgs: invalid type: integer `7`, expected a sequence (line 7, column 100)
    configuration: settings.orgs.0.quota_per_s: must be 0 or above, and finite (line 7, column 133)
    configuration: settings.orgs.0.quota_per_s: must be 0 or above, and finite (line 7, column 136)
    configuration: settings.over_share_worth: must lie between 0 and 1 (line 3, column 105)
    configuration: settings.siblings: must be above 0 (line 3, column 43)
    configuration: settings.my_zone: must be below 1, the number of azs
    configuration: settings.limits.connect_timeout_ns: must be above 0 (line 9, column 87)
    configuration: settings.obligations.ask_within_ns: must be above 0
    configuration: settings.obligations.cold_from: must lie between 0 and 1 (line 10, column 68)
    configuration: settings.obligations.fall_multiple: must be 0 or above, and finite (line 11, column 30)
    configuration: settings.obligations.tip_after_ns: must be above 0
    configuration: settings.obligations.warm_after_ns: cannot be read: -1 (line 10, column 87)
    configuration: settings.penalties.cross_zone: must be 0 or above, and finite (line 3, column 114)
    "#);
}

/// A process of the program; it is killed at the end of the test, also if that fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a fault that `check`, a start or SIGHUP accepts or reports without file and key,
/// and one at SIGHUP that changes what is served.
#[test]
fn invalid_file_is_named_and_previous_settings_stay_in_force() {
    let dir = tempfile::tempdir().unwrap();
    let (file, operator) = (dir.path().join("sidecar.json"), dir.path().join("operator.toml"));
    // The limit leaves a log line for each fault.
    std::fs::write(&operator, "[log]\nform = \"json\"\nwarnings_per_minute = 1000\n").unwrap();
    let program = |command: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_cottonpoint"));
        program.args([command, "--config"]).arg(&file).arg("--operator").arg(&operator);
        program.stderr(Stdio::piped());
        program
    };
    let (endpoint, discovery) = (harness::ScriptedServer::new(), harness::ScriptedServer::new());
    let known = harness::list_json(1, true, &[harness::instance_json("t0", endpoint.address, "active")]);
    std::fs::write(&file, harness::config_json(discovery.address, &known, 1024)).unwrap();
    let requests = endpoint.echo_requests();
    let mut sidecar = Process(program("serve").spawn().unwrap());
    let log = BufReader::new(sidecar.0.stderr.take().unwrap()).lines();
    let mut log = log.map(|line| serde_json::from_str::<Value>(&line.unwrap()).unwrap());
    let mut find_line = |message: &str| log.find(|line| line["message"] == message).expect("it is logged");
    let address: SocketAddr = find_line("serves")["listen"].as_str().unwrap().parse().unwrap();
    let mut client = TcpStream::connect(address).unwrap();
    for (change, text) in invalid_texts() {
        let fault = Config::parse(&text, |_| None).expect_err(change).to_string();
        let fault = fault.replacen("configuration", &format!("configuration {}", file.display()), 1);
        std::fs::write(&file, text).unwrap();
        for command in ["check", "serve"] {
            let rejected = program(command).output().unwrap();
            assert!(!rejected.status.success(), "{command} accepts {change}");
            assert_eq!(String::from_utf8_lossy(&rejected.stderr), format!("cottonpoint: {fault}\n"));
        }
        kill_process(Pid::from_child(&sidecar.0), Signal::HUP).unwrap();
        assert_eq!(
            find_line("invalid configuration ignored; the previous one stays in force")["fault"],
            fault.as_str()
        );
        harness::send(&mut client, harness::LOOK);
        assert!(harness::read_message(&mut client).starts_with("HTTP/1.1 200"), "{change}");
        assert!(requests.recv().unwrap().starts_with("GET /look"), "{change}");
    }
    kill_process(Pid::from_child(&sidecar.0), Signal::TERM).unwrap();
    assert!(sidecar.0.wait().unwrap().success());
}

/// Guards against rejecting settings that a deployment may have: no tenants, shares that are
/// rounded or left out, a quota or a worth of 0, endpoints that start warm or never fall over while
/// cold, an index beyond a count that is out of date.
#[test]
fn settings_that_a_deployment_may_have_are_accepted() {
    for (from, to) in [
        ("\"orgs\":[{", "\"orgs\":[],\"no\":[{"),
        ("\"orgs\":[{", "\"no\":[{"),
        ("\"orgs\":[{", "\"orgs\":[{\"name\":\"south\",\"quota_per_s\":1,\"share\":0.33},{\"share\":0.66,"),
        ("\"orgs\":[{", "\"orgs\":[{\"name\":\"south\",\"quota_per_s\":1,\"share\":0.5},{"),
        ("\"quota_per_s\":1000.0", "\"quota_per_s\":0"),
        ("\"worth\":1.0", "\"worth\":0"),
        ("\"give_up_ns\":3000000000", "\"give_up_ns\":900000000"),
        ("\"read_like\",\"group\":\"all\",\"window_ns\":10000000000", "\"read_like\",\"window_ns\":0"),
        ("\"cold_from\":0.3", "\"cold_from\":0"),
        ("\"cold_from\":0.3", "\"cold_from\":1"),
        ("\"warm_after_ns\":5000000000", "\"warm_after_ns\":0"),
        ("\"fall_multiple\":3.0,\"tip_after_ns\":2000000000", "\"fall_multiple\":0,\"tip_after_ns\":0"),
        ("\"me\":0", "\"me\":7"),
        ("\"azs\":[\"a\"]", "\"azs\":[]"),
        ("\"max_retry_after_ns\":2000000000", "\"max_retry_after_ns\":0,\"conn_idle_ns\":0"),
    ] {
        let (valid, text) = (valid(), valid().replacen(from, to, 1));
        assert_ne!(valid, text, "{from}");
        assert!(Config::parse(&text, |_| None).is_ok(), "{to}");
    }
}

/// Guards against a default, or a value from the environment, that is not the documented one.
#[test]
fn missing_keys_have_defaults() {
    let discovery = "127.0.0.1:8500".parse().unwrap();
    let known = harness::list_json(41, false, &[harness::instance_json("t0", discovery, "active")]);
    let text = harness::config_json(discovery, &known, 1024);
    let text = text
        .replace("\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",", "")
        .replace("\"sockets\":1024", "\"cpus\":1");
    let variable = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.1:8081".to_owned());
    assert_snapshot!(Config::parse(&text, variable).unwrap(), @r#"
    name         cottonpoint
    listen       127.0.0.1:8081
    discovery    127.0.0.1:8500
    balancer     0 of 1
    classes      look, order
    tenants      north
    connections  625 clients, 375 targets
    known        list 41
    "#);
}
