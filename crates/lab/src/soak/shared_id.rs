//! Requests with one id that are sent to both processes of an upgrade: one of the processes has to
//! reject the id while it is open at the other.

use super::classes::CLASSES;
use super::clients::request_text;
use super::endpoint::LONG_SEGMENT;
use super::pressure::read_answer;
use super::records::Effect;
use crate::live::with_timeout;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The second request follows the first one after this time.
const GAP: Duration = Duration::from_millis(60);
/// How long a client waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a request to one process, and another one with the same id to the other process. Their
/// answers are long, so that two that are served overlap.
pub async fn send_to_both(addresses: [SocketAddr; 2], id: &str, class: usize) -> io::Result<()> {
    let class = CLASSES[class];
    let path = format!("/{}/{LONG_SEGMENT}", class.name);
    let method = if class.effect == Effect::Safe { "GET" } else { "POST" };
    let text = request_text(method, &path, class.name, id, ANSWER_TIMEOUT, class.effect);
    let later = async {
        Timer::after(GAP).await;
        exchange(addresses[1], &text).await
    };
    let (first, second) = future::zip(exchange(addresses[0], &text), later).await;
    first.and(second)
}

/// Sends a request, and reads its answer.
async fn exchange(address: SocketAddr, text: &str) -> io::Result<()> {
    let exchange = async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        stream.write_all(text.as_bytes()).await?;
        read_answer(&mut stream).await;
        Ok(())
    };
    with_timeout(ANSWER_TIMEOUT, exchange).await
}
