//! The answers of the discovery stand-in: the list in the forms that the protocol specification
//! allows, and answers that cannot be applied.

use super::Discovery;
use crate::live::discovery::{Answers, Line};
use crate::live::is_connected;
use crate::soak::plan::AnswerStyle;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// A complete answer that is no list.
const NO_LIST: &str = "{\"error\":\"internal\"}";

impl Discovery {
    /// The whole list as JSON, in the form that a configuration also contains.
    pub fn whole_list(&self) -> String {
        self.list_json(None, AnswerStyle::WholeList)
    }

    /// The style of the answer to a poll for the changes since `from`. Only an answer with news is
    /// spoilt: a process that is told nothing has nothing to miss.
    pub(super) fn style_of_answer(&self, from: Option<u64>) -> AnswerStyle {
        let style = self.answer_style.get();
        let has_news = from != Some(self.version.get());
        if style.is_list() || has_news { style } else { AnswerStyle::Changes }
    }

    /// Answers a poll for the changes since `from`.
    pub(super) async fn answer(
        &self,
        mut stream: &Async<TcpStream>,
        from: Option<u64>,
        style: AnswerStyle,
    ) -> io::Result<()> {
        let body = match style {
            AnswerStyle::NoList => NO_LIST.to_owned(),
            _ => self.list_json(from, style),
        };
        if style != AnswerStyle::Cut {
            return self.send(stream, &body).await;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(&[head.as_bytes(), &body.as_bytes()[..body.len() / 2]].concat()).await?;
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    fn list_json(&self, from: Option<u64>, style: AnswerStyle) -> String {
        let lines = self.lines.borrow();
        let is_whole = from.is_none() || style == AnswerStyle::WholeList;
        let wanted = |(changed, line): &&(u64, Line)| match from {
            Some(from) if !is_whole => *changed > from,
            // A whole list leaves out draining endpoints: for its reader they are removed, even
            // while they still answer.
            _ => line.lifecycle == "active",
        };
        let instances: Vec<&Line> = lines.values().filter(wanted).map(|(_, line)| line).collect();
        let list = serde_json::json!({
            "generation": self.version.get(), "reset": is_whole, "instances": instances,
        });
        match self.random.borrow_mut().u32(0..4) {
            0 => serde_json::to_string_pretty(&list).unwrap_or_default(),
            _ => list.to_string(),
        }
    }

    /// Sends an answer, whole or in pieces, with its length or chunked.
    async fn send(&self, mut stream: &Async<TcpStream>, body: &str) -> io::Result<()> {
        let pieces = self.random.borrow_mut().usize(1..5);
        let is_chunked = self.random.borrow_mut().u32(0..6) == 0;
        let answer = match is_chunked {
            true => chunked(body, pieces),
            false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        };
        for piece in answer.as_bytes().chunks(answer.len() / pieces + 1) {
            if !is_connected(stream) {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            stream.write_all(piece).await?;
            Timer::after(Duration::from_millis(pieces as u64 - 1)).await;
        }
        self.count_poll(|polls| {
            let Answers { count, bytes } = polls.answered;
            polls.answered = Answers { count: count + 1, bytes: bytes + answer.len() as u64 };
        });
        Ok(())
    }
}

/// An answer in chunked transfer coding, with `chunks` chunks at most.
fn chunked(body: &str, chunks: usize) -> String {
    let mut answer = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for chunk in body.as_bytes().chunks(body.len() / chunks + 1) {
        answer += &format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk));
    }
    answer + "0\r\n\r\n"
}
