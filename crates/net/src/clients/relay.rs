//! The response to a client, from an endpoint or local.

use cottonpoint_core::LocalReply;
use std::fmt::Write;

/// A response to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the connection closes after it, whatever its status.
    close: bool,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Reply {
    /// The whole response of an endpoint, with its body unchanged.
    pub fn from_endpoint(content_type: Option<String>, body: Vec<u8>) -> Reply {
        let content_type = content_type.map(|t| ("Content-Type", t));
        Reply { status: 200, close: false, headers: content_type.into_iter().collect(), body }
    }

    /// The local reply for a final answer without an endpoint. Only a refusal may be worded as one.
    pub fn local(response: LocalReply) -> Reply {
        match response {
            LocalReply::Refused { retry_after: None } => Reply::text(503, "refused"),
            LocalReply::Refused { retry_after: Some(delay) } => Reply::text(503, "refused")
                .with_header("Retry-After", &format!("{:.3}", delay.as_secs_f64())),
            LocalReply::Failed => Reply::text(502, "failed"),
        }
    }

    /// A response with a status and a short text.
    pub fn text(status: u16, text: &str) -> Reply {
        let headers = vec![("Content-Type", "text/plain".to_owned())];
        Reply { status, close: false, headers, body: format!("{text}\n").into_bytes() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Reply {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Closes the connection after this response.
    pub fn closing_connection(mut self) -> Reply {
        self.close = true;
        self
    }

    /// Whether the connection closes after this response: the client has sent an invalid request,
    /// or too much data.
    pub fn closes_connection(&self) -> bool {
        self.close || (400..500).contains(&self.status)
    }

    /// Serializes the head of the response; `keep` says whether the connection stays open.
    pub fn head_bytes(&self, keep: bool) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            _ => "Other",
        };
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let connection_header = if keep { "" } else { "Connection: close\r\n" };
        let _ = write!(head, "Content-Length: {}\r\n{connection_header}\r\n", self.body.len());
        head.into_bytes()
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }
}
