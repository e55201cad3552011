//! Take in: a client's request is read, checked and made a flow, or answered right here.

use super::relay::Reply;
use crate::servers::Outgoing;
use cottonpoint_codec::http::{self, Fault, Framing, Head};
use cottonpoint_decide::*;
use cottonpoint_settings::DeploymentSettings;
use std::fmt::Write;
use std::time::Duration;

/// A request that became a flow.
#[derive(Debug)]
pub struct TakenIn {
    /// Its class.
    pub class: ClassId,
    /// The name of its class, as its figures are counted.
    pub class_name: String,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its id; no other open flow may have the same.
    pub id: String,
    /// How long its client waits.
    pub left: Duration,
    /// What goes to targets.
    pub outgoing: Outgoing,
}

/// The answer to what could not be read, if there is anybody to answer.
pub fn unreadable(fault: &Fault) -> Option<Reply> {
    let status = match fault {
        Fault::Broken | Fault::ConnectionFailed => return None,
        Fault::Malformed(_) => 400,
        Fault::HeadTooLong => 431,
        Fault::BodyTooLong => 413,
        Fault::Stalled => 408,
    };
    Some(Reply::plain(status, &fault.to_string()))
}

/// Checks a request's first line and says how its body is framed.
pub fn body_framing(head: &Head) -> Result<Framing, Fault> {
    let version = head.line[2].as_str();
    if !matches!(version, "HTTP/1.1" | "HTTP/1.0") {
        return Err(Fault::Malformed("version"));
    }
    let target = head.line[1].as_str();
    if !target.starts_with('/') || !target.bytes().all(|b| b.is_ascii_graphic() && b != b'#') {
        return Err(Fault::Malformed("path"));
    }
    if head.only("host")?.is_none() && version == "HTTP/1.1" {
        return Err(Fault::Malformed("head, without a host"));
    }
    http::framing(head, version, Framing::Length(0))
}

/// The headers that say what a flow is: each may be given once.
const ONCE: [&str; 5] =
    ["x-service-class", "x-account", "x-correlation-id", "x-time-left-ms", "idempotency-key"];

/// Makes a request a flow by what its headers say, or answers it: with 404 for an unknown class or path,
/// with 400 for a bad header value.
pub fn take_in(platform: &DeploymentSettings, head: &Head, body: Vec<u8>) -> Result<TakenIn, Reply> {
    let bad = |what: &str| Err(Reply::plain(400, what));
    if let Some(name) = ONCE.iter().find(|name| head.only(name).is_err()) {
        return bad(&format!("{name} is given twice"));
    }
    let path = head.line[1].split('?').next().unwrap_or_default();
    let first = path.split('/').nth(1).unwrap_or_default();
    let named = |name: &str| platform.classes.iter().position(|c| c == name);
    let Some(class) = named(first) else {
        tracing::debug!(method = head.line[0], path, "unknown path");
        return Err(Reply::plain(404, "unknown path"));
    };
    match head.get("x-service-class").map(named) {
        Some(None) => return Err(Reply::plain(404, "unknown class")),
        Some(Some(other)) if other != class => return bad("class and path differ"),
        _ => {}
    }
    let tenant = match head.get("x-account") {
        Some(name) if !platform.tenants.is_empty() => {
            let Some(tenant) = platform.tenants.iter().position(|t| t == name) else {
                return bad("unknown account");
            };
            Some(TenantId(tenant as u16))
        }
        _ => None,
    };
    let Some(id) = head.get("x-correlation-id").filter(|id| !id.is_empty()) else {
        return bad("no correlation id");
    };
    let rules = &platform.balancer.classes[class];
    let (method, keyed) = match rules.effect {
        Effect::Safe => ("GET", false),
        Effect::Keyed { .. } => ("POST", true),
        Effect::Unsafe => ("POST", false),
    };
    if head.line[0] != method {
        return Err(Reply::plain(405, "the class has another method").with("Allow", method));
    }
    if keyed && head.get("idempotency-key").is_none_or(str::is_empty) {
        return bad("no idempotency key");
    }
    let left = match head.get("x-time-left-ms") {
        // Digits only: no sign, no fraction, and no more than a number holds.
        Some(text) => match text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit())) {
            Some(ms) => Duration::from_millis(ms).min(rules.client_timeout),
            None => return bad("the time left is no number of milliseconds"),
        },
        None => rules.client_timeout,
    };
    let outgoing = Outgoing { head: passed_on(head, body.len()), body };
    let class_name = platform.classes[class].clone();
    Ok(TakenIn { class: ClassId(class as u16), class_name, tenant, id: id.to_owned(), left, outgoing })
}

/// Headers that concern one connection only, or are stated anew.
const NOT_PASSED_ON: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-time-left-ms",
];

fn passed_on(head: &Head, body: usize) -> String {
    let mut out = format!("{} {} HTTP/1.1\r\n", head.line[0], head.line[1]);
    for (name, value) in &head.headers {
        let own = NOT_PASSED_ON.iter().any(|n| name.eq_ignore_ascii_case(n));
        if !own && !head.has("connection", name) {
            let _ = write!(out, "{name}: {value}\r\n");
        }
    }
    if body > 0 || head.line[0] == "POST" {
        let _ = write!(out, "Content-Length: {body}\r\n");
    }
    out
}
