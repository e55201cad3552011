//! Reading settings in both forms: equal values, and errors that name the full path of the key.
#![allow(missing_docs)]

use cottonpoint_settings::{BadSetting, DeploymentSettings, RawSettings, from_flat_text, read};
use insta::{assert_debug_snapshot, assert_snapshot};

const PAIRS: &str = "azs=a,b
discovery=on_request
lanes.count=2
lanes.0.aim_ns=750000000
lanes.0.aim_stretch=1.5
lanes.0.give_up_ns=2000000000
lanes.0.group=
lanes.0.late_worth=0.25
lanes.0.name=look
lanes.0.semantics=read_like
lanes.0.worth=5
lanes.1.aim_ns=1000000000
lanes.1.give_up_ns=3000000000
lanes.1.group=cell
lanes.1.name=1.50
lanes.1.semantics=idempotency_key
lanes.1.window_ns=10000000000
lanes.1.worth=8.0
limits.cancelling=true
limits.conn_idle_ns=20000000000
limits.max_attempts=6
limits.max_retry_after_ns=2000000000
limits.may_duplicate=false
limits.probes=true
limits.retry_after=true
me=3
my_zone=1
obligations.ask_within_ns=400000000
obligations.cold_from=0.15
obligations.fall_multiple=2.5
obligations.tip_after_ns=1500000000
obligations.warm_after_ns=24000000000
orgs.count=1
orgs.0.name=north
orgs.0.quota_per_s=111.0
over_share_worth=0.2
penalties.cross_zone=0.1
shapes=m
siblings=10
telemetry.fields=throughput,recent_ms,utilization
telemetry.how=pull
tier=1
";

const JSON: &str = r#"{"azs":["a","b"],"discovery":"on_request","lanes":[
{"aim_ns":750000000,"aim_stretch":1.5,"give_up_ns":2000000000,"group":null,"late_worth":0.25,"name":"look",
 "semantics":"read_like","worth":5},
{"aim_ns":1000000000,"give_up_ns":3000000000,"group":"cell","name":"1.50","semantics":"idempotency_key",
 "window_ns":10000000000,"worth":8.0}],
"limits":{"cancelling":true,"conn_idle_ns":20000000000,"max_attempts":6,"max_retry_after_ns":2000000000,
"may_duplicate":false,"probes":true,"retry_after":true},"me":3,"my_zone":1,
"obligations":{"ask_within_ns":400000000,"cold_from":0.15,"fall_multiple":2.5,"tip_after_ns":1500000000,
"warm_after_ns":24000000000},"orgs":[{"name":"north","quota_per_s":111.0}],"over_share_worth":0.2,
"penalties":{"cross_zone":0.1},"shapes":["m"],"siblings":10,
"telemetry":{"fields":["throughput","recent_ms","utilization"],"how":"pull"},"tier":1}"#;

fn from_json(text: &str) -> Result<DeploymentSettings, BadSetting> {
    read::<RawSettings, _>(&mut serde_json::Deserializer::from_str(text))?.validate()
}

/// Guards against: a key that is read from one form only, or a value that one form changes.
#[test]
fn both_forms_give_the_same_settings() {
    let platform = from_flat_text(PAIRS).expect("good settings");
    assert_eq!(from_json(JSON).as_ref(), Ok(&platform));
    assert_debug_snapshot!(platform);
}

/// Guards against: an optional key that has become required, or a changed default.
#[test]
fn omitted_keys_have_defaults() {
    let optional = [
        "azs=",
        "shapes=",
        "tier=",
        "orgs.",
        "over_share",
        "penalties.",
        "telemetry.fields",
        "limits.conn",
        "limits.max_retry",
        "limits.retry",
        "lanes.0.group",
        "lanes.0.aim_str",
        "lanes.0.late",
        "lanes.0.name",
        "obligations.ask",
    ];
    let kept: Vec<&str> = PAIRS.lines().filter(|l| !optional.iter().any(|o| l.starts_with(o))).collect();
    let text = kept.join("\n").replace("on_request", "pushed");
    let minimal = from_flat_text(&text).expect("good settings");
    assert_debug_snapshot!(minimal);
    // Unknown keys may hold anything, and so may known keys that these settings do not require.
    let ignored =
        "\norgs=\nlanes.0.window_ns=?\nobligations.ask_within_ns=?\nnew=1,2\nnew.count=x\nno value\n";
    let deep = format!("deep{}=1", ".x".repeat(100_000));
    assert_eq!(from_flat_text(&(text + ignored + &deep)), Ok(minimal));
}

/// Guards against: an invalid setting that is accepted, that causes a panic, or whose error does
/// not say where it is.
#[test]
fn errors_name_the_full_key_path() {
    let mut messages = String::new();
    let mut error_of = |form: &str, what: &str, read: Result<DeploymentSettings, BadSetting>| {
        let error = read.expect_err(what).to_string();
        assert_eq!(error.lines().count(), 1);
        messages += &format!("{form} {what}: {error}\n");
    };
    for (from, to) in [
        ("me=3\n", ""),
        ("my_zone=1", "my_zone=65536"),
        ("siblings=10", "siblings=-1"),
        ("telemetry.how=pull\n", ""),
        ("telemetry.how=pull", "telemetry.how=push"),
        ("lanes.count=2", "lanes.count=4000000000"),
        ("lanes.count=2", "lanes.count=0"),
        ("lanes.count=2\n", ""),
        ("lanes.count=2", "lanes.count=3"),
        ("lanes.1.aim_ns=1000000000", "lanes.1.aim_ns=0"),
        ("lanes.1.aim_ns=1000000000", "lanes.1.aim_ns=1e30"),
        ("lanes.1.worth=8.0", "lanes.1.worth="),
        ("lanes.1.group=cell", "lanes.1.group=rack"),
        ("lanes.1.window_ns=10000000000\n", ""),
        ("limits.max_attempts=6", "limits.max_attempts=0"),
        ("limits.max_retry_after_ns=2000000000\n", ""),
        ("limits.probes=true", "limits.probes=1"),
        ("obligations.ask_within_ns=400000000\n", ""),
        ("orgs.0.quota_per_s=111.0\n", ""),
    ] {
        assert!(PAIRS.contains(from), "{from}");
        error_of("pairs", to, from_flat_text(&PAIRS.replacen(from, to, 1)));
    }
    for (from, to) in [
        ("\"me\":3,", ""),
        ("\"me\":3", "\"me\":null"),
        ("\"me\":3", "\"me\":{}"),
        ("\"me\":3", "\"me\":3.5"),
        ("\"me\":3", "\"me\":\"a\\nb\""),
        ("\"siblings\":10", "\"siblings\":99999999999999999999"),
        ("\"read_like\"", "7"),
        ("\"cell\"", "null"),
        ("\"window_ns\":10000000000", "\"window_ns\":-1"),
        ("[\"m\"]", "[{\"name\":\"m\"}]"),
        ("\"penalties\":{", "\"penalties\":[{"),
    ] {
        assert!(JSON.contains(from), "{from}");
        error_of("json", to, from_json(&JSON.replacen(from, to, 1)));
    }
    error_of("json", "a list", from_json("[]"));
    error_of(
        "json",
        "too many",
        from_json(
            &JSON.replace(r#""orgs":["#, &format!(r#""orgs":[{}"#, r#"{"quota_per_s":1},"#.repeat(65535))),
        ),
    );
    assert_snapshot!(messages);
}
