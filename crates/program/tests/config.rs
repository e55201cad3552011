//! The configuration: each fault is one line that names its key.
#![allow(missing_docs)]

#[path = "sidecar/peers.rs"]
#[allow(dead_code)]
mod peers;

use cottonpoint::config::Config;
use insta::assert_snapshot;

/// Guards against: a bad configuration that starts, or one whose message does not say where to look.
#[test]
fn a_fault_is_named_by_its_key() {
    let discovery = "127.0.0.1:8500".parse().unwrap();
    let good = peers::config(discovery, "null", 1024);
    let mut said = String::new();
    for (from, to) in [
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
        // A patience of nothing would set the balancer's votes below zero.
        ("\"give_up_ns\":3000000000", "\"give_up_ns\":0"),
        ("\"max_attempts\":3", "\"max_attempts\":-3"),
        ("\"quota_per_s\":1000.0", "\"quota_per_s\":\"many\""),
        ("\"connect_timeout_ns\":500000000", "\"connect_timeout_ns\":[]"),
        ("\"cold_from\":0.3", "\"cold_from\":{}"),
        ("}}}", "}}}}"),
    ] {
        assert!(good.contains(from), "{from}");
        let fault = Config::parse(&good.replacen(from, to, 1), |_| None).expect_err(to).to_string();
        assert_eq!(fault.lines().count(), 1);
        said += &format!("{fault}\n");
    }
    assert_snapshot!(said, @r#"
    configuration: (whole): invalid type: string "name", expected an object (line 1, column 6)
    configuration: name: invalid type: integer `7`, expected a string (line 1, column 9)
    configuration: listen: is missing, and so is NODE_LISTEN
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
    "#);
}

/// Guards against: a default or a stand-in that is not the stated one.
#[test]
fn what_it_does_not_say_has_a_default() {
    let discovery = "127.0.0.1:8500".parse().unwrap();
    let known = peers::list(41, false, &[peers::line("t0", discovery, "active")]);
    let text = peers::config(discovery, &known, 1024);
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
