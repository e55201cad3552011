//! Request admission: validates a client's request and accepts it, or answers it locally.

use super::read::{ReadFault, RequestBody};
use super::relay::Reply;
use crate::servers::{BodyRest, OutgoingRequest};
use cottonpoint_codec::body::BodyReader;
use cottonpoint_codec::http::{self, Fault, Framing, Head};
use cottonpoint_core::LocalReply;
use cottonpoint_decide::*;
use cottonpoint_settings::DeploymentSettings;
use std::fmt::Write;
use std::time::Duration;

/// When a client that was refused for want of memory should try again.
pub(super) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that was accepted.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// The class of the request.
    pub class: ClassId,
    /// What happens when the request runs twice.
    pub effect: Effect,
    /// The name of the class, as used in statistics.
    pub class_name: String,
    /// The tenant, if there is one.
    pub tenant: Option<TenantId>,
    /// The id; no other open request may have the same.
    pub id: String,
    /// How long the client waits.
    pub time_left: Duration,
    /// The request to send to endpoints.
    pub outgoing: OutgoingRequest,
}

/// The response to a request that could not be read; `None` where the connection is gone.
pub(super) fn unreadable_reply(fault: &ReadFault) -> Option<Reply> {
    match fault {
        ReadFault::Message(fault) => invalid_reply(fault),
        ReadFault::NoMemory => {
            let refusal = Reply::local(LocalReply::Refused { retry_after: Some(MEMORY_RETRY_AFTER) });
            Some(refusal.closing_connection())
        }
    }
}

/// The response to a request whose message is invalid or incomplete; `None` where the connection is
/// gone.
pub(super) fn invalid_reply(fault: &Fault) -> Option<Reply> {
    let status = match fault {
        Fault::Broken | Fault::ConnectionFailed => return None,
        Fault::Malformed(_) => 400,
        Fault::HeadTooLong => 431,
        Fault::BodyTooLong => 413,
        Fault::Stalled => 408,
    };
    Some(Reply::text(status, &fault.to_string()))
}

/// Validates the request line and determines how the body is framed.
pub fn body_framing(head: &Head) -> Result<Framing, Fault> {
    let version = head.line[2].as_str();
    if !matches!(version, "HTTP/1.1" | "HTTP/1.0") {
        return Err(Fault::Malformed("version"));
    }
    let path = head.line[1].as_str();
    if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic() && b != b'#') {
        return Err(Fault::Malformed("path"));
    }
    if head.only("host")?.is_none() && version == "HTTP/1.1" {
        return Err(Fault::Malformed("head, without a host"));
    }
    http::framing(head, version, Framing::Length(0))
}

/// The headers that describe a request: each may be given once.
const SINGLE_HEADERS: [&str; 5] =
    ["x-service-class", "x-account", "x-correlation-id", "x-time-left-ms", "idempotency-key"];

/// Accepts a request by its headers, or returns the local reply: 404 for an unknown class or path,
/// 400 for an invalid header value.
pub(super) fn accept_request(
    settings: &DeploymentSettings,
    head: &Head,
    body: RequestBody,
) -> Result<AcceptedRequest, Reply> {
    let bad = |reason: &str| Err(Reply::text(400, reason));
    if let Some(name) = SINGLE_HEADERS.iter().find(|name| head.only(name).is_err()) {
        return bad(&format!("{name} is given twice"));
    }
    let path = head.line[1].split('?').next().unwrap_or_default();
    let first_segment = path.split('/').nth(1).unwrap_or_default();
    let class_index = |name: &str| settings.classes.iter().position(|c| c == name);
    let Some(class) = class_index(first_segment) else {
        tracing::debug!(method = head.line[0], path, "unknown path");
        return Err(Reply::text(404, "unknown path"));
    };
    match head.get("x-service-class").map(class_index) {
        Some(None) => return Err(Reply::text(404, "unknown class")),
        Some(Some(other)) if other != class => return bad("class and path differ"),
        _ => {}
    }
    let tenant = match head.get("x-account") {
        Some(name) if !settings.tenants.is_empty() => {
            let Some(tenant) = settings.tenants.iter().position(|t| t == name) else {
                return bad("unknown account");
            };
            Some(TenantId(tenant as u16))
        }
        _ => None,
    };
    let Some(id) = head.get("x-correlation-id").filter(|id| !id.is_empty()) else {
        return bad("no correlation id");
    };
    let class_settings = &settings.balancer.classes[class];
    let (method, needs_key) = match class_settings.effect {
        Effect::Safe => ("GET", false),
        Effect::Keyed { .. } => ("POST", true),
        Effect::Unsafe => ("POST", false),
    };
    if head.line[0] != method {
        return Err(Reply::text(405, "the class has another method").with_header("Allow", method));
    }
    if needs_key && head.get("idempotency-key").is_none_or(str::is_empty) {
        return bad("no idempotency key");
    }
    let time_left = match head.get("x-time-left-ms") {
        // Digits only: no sign, no fraction, and no more than the integer type holds.
        Some(text) => match text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit())) {
            Some(ms) => Duration::from_millis(ms).min(class_settings.client_timeout),
            None => return bad("the time left is no number of milliseconds"),
        },
        None => class_settings.client_timeout,
    };
    let rest = match body.rest.as_ref().map(BodyReader::remaining) {
        None => BodyRest::None,
        Some(None) => BodyRest::Chunked,
        Some(Some(remaining)) => BodyRest::Length(remaining),
    };
    let outgoing =
        OutgoingRequest { head: forwarded_head(head, body.held.len(), rest), body: body.held, rest };
    let class_name = settings.classes[class].clone();
    Ok(AcceptedRequest {
        class: ClassId(class as u16),
        effect: class_settings.effect,
        class_name,
        tenant,
        id: id.to_owned(),
        time_left,
        outgoing,
    })
}

/// Headers that concern a single connection, or that the sidecar sets itself.
const NOT_FORWARDED: [&str; 11] = [
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

fn forwarded_head(head: &Head, held: usize, rest: BodyRest) -> String {
    let mut forwarded = format!("{} {} HTTP/1.1\r\n", head.line[0], head.line[1]);
    for (name, value) in &head.headers {
        let not_forwarded = NOT_FORWARDED.iter().any(|n| name.eq_ignore_ascii_case(n));
        if !not_forwarded && !head.has("connection", name) {
            let _ = write!(forwarded, "{name}: {value}\r\n");
        }
    }
    let length = match rest {
        BodyRest::None => Some(held as u64),
        BodyRest::Length(rest) => Some(held as u64 + rest),
        BodyRest::Chunked => None,
    };
    let _ = match length {
        None => write!(forwarded, "Transfer-Encoding: chunked\r\n"),
        Some(0) if head.line[0] != "POST" => Ok(()),
        Some(length) => write!(forwarded, "Content-Length: {length}\r\n"),
    };
    forwarded
}
