//! What an attempt needs of the client's side: whether the client still waits, and where an answer
//! goes that is passed on as it arrives.

use std::fmt;
use std::future::Future;

/// Why nothing more can be passed on to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientFault {
    /// It has closed its connection, or the connection broke.
    Gone,
    /// It has not read for too long.
    Stalled,
    /// The request has had its final answer, or is owed none.
    RequestOver,
}

impl ClientFault {
    /// The reason, as logs and metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            ClientFault::Gone => "client_gone",
            ClientFault::Stalled => "client_stalled",
            ClientFault::RequestOver => "request_over",
        }
    }
}

impl fmt::Display for ClientFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The rest of a long request cannot be had: it is invalid or incomplete, or its client has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyFault;

/// The head of an answer that is passed on as it arrives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerStart {
    /// The content type, if the answer names one.
    pub content_type: Option<String>,
    /// The length of the body in bytes, if the answer states it.
    pub length: Option<u64>,
}

/// The client's side of an attempt.
pub trait AttemptClient {
    /// Whether the client still waits. Asked right before each write to the endpoint.
    fn waits(&self) -> bool;

    /// The next piece of the rest of a long request; `None` at its end. Waits while the client does
    /// not send.
    fn next_body_piece(&self) -> impl Future<Output = Result<Option<Vec<u8>>, BodyFault>>;

    /// The last byte of the request has been written to the endpoint.
    fn request_written(&self);

    /// Begins an answer that is passed on as it arrives; no other answer can follow.
    fn begin_answer(&self, start: AnswerStart) -> impl Future<Output = Result<(), ClientFault>>;

    /// Passes on a piece of the body. Waits while the client does not read.
    fn pass_on(&self, piece: &[u8]) -> impl Future<Output = Result<(), ClientFault>>;

    /// Ends the answer: its last byte has been passed on.
    fn end_answer(&self) -> impl Future<Output = Result<(), ClientFault>>;
}
