//! Relay: an answer goes to the client, whoever made it.

use crate::servers::Served;
use cottonpoint_core::LocalReply;
use std::fmt::Write;

/// An answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Whether the connection ends behind it, whatever its status.
    last: bool,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Reply {
    /// A target's answer: its body, unchanged.
    pub fn served(served: Served) -> Reply {
        let content_type = served.content_type.map(|t| ("Content-Type", t));
        Reply { status: 200, last: false, headers: content_type.into_iter().collect(), body: served.body }
    }

    /// The words for a final answer that no target made. Only a refusal may be worded as one.
    pub fn fixed(response: LocalReply) -> Reply {
        match response {
            LocalReply::Refused { retry_after: None } => Reply::plain(503, "refused"),
            LocalReply::Refused { retry_after: Some(wait) } => {
                Reply::plain(503, "refused").with("Retry-After", &format!("{:.3}", wait.as_secs_f64()))
            }
            LocalReply::Failed => Reply::plain(502, "failed"),
        }
    }

    /// A status and a few words.
    pub fn plain(status: u16, words: &str) -> Reply {
        let headers = vec![("Content-Type", "text/plain".to_owned())];
        Reply { status, last: false, headers, body: format!("{words}\n").into_bytes() }
    }

    /// The same with one more header.
    pub fn with(mut self, name: &'static str, value: &str) -> Reply {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// The same with its connection ended behind it.
    pub fn last(mut self) -> Reply {
        self.last = true;
        self
    }

    /// Whether its connection is to end behind it: the client has sent what is no request, or too much.
    pub fn is_last(&self) -> bool {
        self.last || (400..500).contains(&self.status)
    }

    /// As it goes out.
    pub fn bytes(&self, keep: bool) -> Vec<u8> {
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
        let close = if keep { "" } else { "Connection: close\r\n" };
        let _ = write!(head, "Content-Length: {}\r\n{close}\r\n", self.body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
