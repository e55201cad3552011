//! Clients of a soak that make a process hold much, or hold it for long: hundreds that read or write
//! slowly or stop in a request, long messages, floods on one connection, and ids that return.

use super::endpoint::{LONG_SEGMENT, LONGEST_SEGMENT};
use super::records::{LongExchange, PressureRecords, Timestamp};
use crate::live::{Executor, with_timeout};
use async_io::{Async, Timer};
use cottonpoint_codec::body::BodyReader;
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Fault};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of clients that put pressure on a process at once.
const CLIENTS: usize = 250;
/// How long such a client stays.
const STAY: Duration = Duration::from_secs(3);
/// The interval between the pieces of a slow client.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// The longest body that a sidecar holds whole, in bytes.
const HELD_BODY_BYTES: usize = 64 << 10;
/// Number of long messages, and the length of a long request in bytes.
const LONG_MESSAGES: usize = 6;
/// Number of answers that last longer than a process may take to end.
const LONGEST_ANSWERS: usize = 2;
const LONG_REQUEST_BYTES: usize = 300 << 10;
/// How long the client of a long message waits beyond its time.
const LONG_GRACE: Duration = Duration::from_secs(8);
/// Number of ids that return, and the delays before their first client leaves and before they return.
const RETURNING_IDS: usize = 6;
const LEAVES_AFTER: Duration = Duration::from_millis(12);
const RETURNS_AFTER: Duration = Duration::from_millis(150);
/// How long a flood lasts, and its messages in one write.
const FLOOD_TIME: Duration = Duration::from_secs(2);
const FLOOD_BATCH: usize = 20;

/// Positions of the classes of their requests.
const SAFE_CLASS: usize = 0;
const KEYED_CLASS: usize = 1;
const UNSAFE_CLASS: usize = 2;

/// What the clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureKind {
    /// Hundreds read a long answer slowly.
    SlowReaders,
    /// Hundreds write a request slowly.
    SlowWriters,
    /// Hundreds stop in the middle of a request.
    HalfRequests,
    /// Hundreds send two whole requests at once and read nothing.
    Pipelined,
    /// Some ask for long answers, and read them as they come.
    LongAnswers,
    /// Some ask for answers that last longer than a process may take to end.
    LongestAnswers,
    /// Some send long requests.
    LongRequests,
    /// Some leave, and send the same id again.
    ReturningIds,
    /// One sends small and unsound requests at full speed.
    Flood,
}

impl PressureKind {
    /// The kinds that plans draw.
    pub const ALL: [PressureKind; 8] = [
        PressureKind::SlowReaders,
        PressureKind::SlowWriters,
        PressureKind::HalfRequests,
        PressureKind::Pipelined,
        PressureKind::LongAnswers,
        PressureKind::LongRequests,
        PressureKind::ReturningIds,
        PressureKind::Flood,
    ];

    /// The class of the requests, as a position in [`CLASSES`](super::classes::CLASSES); `None` where
    /// they need no class.
    pub fn class(self) -> Option<usize> {
        match self {
            PressureKind::SlowReaders | PressureKind::LongAnswers | PressureKind::LongestAnswers => {
                Some(SAFE_CLASS)
            }
            PressureKind::LongRequests => Some(KEYED_CLASS),
            PressureKind::ReturningIds => Some(UNSAFE_CLASS),
            _ => None,
        }
    }

    fn client_count(self) -> usize {
        match self {
            PressureKind::LongAnswers | PressureKind::LongRequests => LONG_MESSAGES,
            PressureKind::LongestAnswers => LONGEST_ANSWERS,
            PressureKind::ReturningIds => RETURNING_IDS,
            PressureKind::Flood => 1,
            _ => CLIENTS,
        }
    }
}

/// The clients of one event.
pub struct Pressure {
    /// What they do.
    pub kind: PressureKind,
    /// The address of their process, and its index.
    pub address: SocketAddr,
    /// Index of the process.
    pub member: usize,
    /// The client timeouts of the safe, the keyed and the unsafe class.
    pub client_timeouts: [Duration; 3],
    /// The start of the run.
    pub run_start: Instant,
    /// Distinguishes the ids of this event from those of others.
    pub number: usize,
    /// Where the clients record what they saw.
    pub records: Rc<RefCell<PressureRecords>>,
}

impl Pressure {
    /// Starts all clients.
    pub fn start(self, executor: &Executor) {
        let this = Rc::new(self);
        for client in 0..this.kind.client_count() {
            let this = this.clone();
            executor.spawn(async move { drop(this.run_client(client).await) }).detach();
        }
    }

    async fn run_client(&self, client: usize) -> io::Result<()> {
        let id = format!("m{}-pressure{}-{client}", self.member, self.number);
        match self.kind {
            PressureKind::SlowReaders => self.read_slowly(&id).await,
            PressureKind::SlowWriters => self.write_slowly(&id).await,
            PressureKind::HalfRequests => self.stop_halfway(&id).await,
            PressureKind::Pipelined => self.send_two(&id).await,
            PressureKind::LongAnswers => self.exchange(id, LONG_SEGMENT, Vec::new()).await,
            PressureKind::LongestAnswers => self.exchange(id, LONGEST_SEGMENT, Vec::new()).await,
            PressureKind::LongRequests => {
                self.exchange(id, LONG_SEGMENT, vec![b'p'; LONG_REQUEST_BYTES]).await
            }
            PressureKind::ReturningIds => self.return_with_id(id).await,
            PressureKind::Flood => self.flood(&id).await,
        }
    }

    async fn connect(&self) -> io::Result<Async<TcpStream>> {
        with_timeout(STAY, Async::<TcpStream>::connect(self.address)).await
    }

    fn now(&self) -> Timestamp {
        self.run_start.elapsed()
    }

    fn head(&self, method: &str, path: &str, id: &str, time_left: Duration, length: usize) -> String {
        let key = if method == "POST" {
            format!("Idempotency-Key: {id}\r\nContent-Length: {length}\r\n")
        } else {
            String::new()
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: soak.internal\r\nX-Correlation-Id: {id}\r\n\
             X-Account: office\r\nX-Time-Left-Ms: {}\r\n{key}\r\n",
            time_left.as_millis()
        )
    }

    fn order(&self, id: &str, length: usize) -> Vec<u8> {
        self.head("POST", "/order/pressure", id, self.client_timeouts[1], length).into_bytes()
    }

    async fn read_slowly(&self, id: &str) -> io::Result<()> {
        let mut stream = self.connect().await?;
        let path = format!("/view/{LONG_SEGMENT}");
        stream.write_all(self.head("GET", &path, id, self.client_timeouts[0], 0).as_bytes()).await?;
        let until = Instant::now() + STAY;
        while Instant::now() < until {
            Timer::after(PIECE_INTERVAL).await;
            if matches!(with_timeout(PIECE_INTERVAL, stream.read(&mut [0; 1 << 10])).await, Ok(0)) {
                break;
            }
        }
        Ok(())
    }

    async fn write_slowly(&self, id: &str) -> io::Result<()> {
        let mut stream = self.connect().await?;
        stream.write_all(&self.order(id, HELD_BODY_BYTES)).await?;
        let until = Instant::now() + STAY;
        while Instant::now() < until {
            stream.write_all(&[b'p'; 2 << 10]).await?;
            Timer::after(PIECE_INTERVAL).await;
        }
        Ok(())
    }

    async fn stop_halfway(&self, id: &str) -> io::Result<()> {
        let mut stream = self.connect().await?;
        let mut request = self.order(id, HELD_BODY_BYTES);
        request.resize(request.len() + HELD_BODY_BYTES / 2, b'p');
        stream.write_all(&request).await?;
        Timer::after(STAY).await;
        Ok(())
    }

    async fn send_two(&self, id: &str) -> io::Result<()> {
        let mut stream = self.connect().await?;
        for id in [format!("{id}a"), format!("{id}b")] {
            let mut request = self.order(&id, HELD_BODY_BYTES);
            request.resize(request.len() + HELD_BODY_BYTES, b'p');
            with_timeout(STAY, stream.write_all(&request)).await?;
        }
        Timer::after(STAY).await;
        Ok(())
    }

    /// Sends a request with a long body, or one without a body for a long answer, and records how it
    /// ends.
    async fn exchange(&self, id: String, segment: &str, body: Vec<u8>) -> io::Result<()> {
        let mut stream = self.connect().await?;
        let is_request_long = !body.is_empty();
        let (time_left, mut request) = match is_request_long {
            true => (self.client_timeouts[1], self.order(&id, body.len())),
            false => {
                let path = format!("/view/{segment}");
                let time_left = self.client_timeouts[0];
                (time_left, self.head("GET", &path, &id, time_left, 0).into_bytes())
            }
        };
        request.extend_from_slice(&body);
        let began = self.now();
        let written = with_timeout(LONG_GRACE, stream.write_all(&request)).await.is_ok();
        let (status, whole) =
            with_timeout(time_left + LONG_GRACE, async { Ok(read_answer(&mut stream).await) })
                .await
                .unwrap_or((None, false));
        let exchange =
            LongExchange { id, member: self.member, began, ended: self.now(), written, status, whole };
        self.records.borrow_mut().exchanges.push(exchange);
        Ok(())
    }

    /// Leaves while an unsafe request runs, and sends it again with the same id.
    async fn return_with_id(&self, id: String) -> io::Result<()> {
        let request = self.head("POST", "/pay/returns", &id, self.client_timeouts[2], 5) + "paper";
        let mut stream = self.connect().await?;
        stream.write_all(request.as_bytes()).await?;
        Timer::after(LEAVES_AFTER).await;
        stream.get_ref().shutdown(std::net::Shutdown::Both)?;
        drop(stream);
        self.records.borrow_mut().returned_ids.push(id);
        Timer::after(RETURNS_AFTER).await;
        let mut stream = self.connect().await?;
        stream.write_all(request.as_bytes()).await?;
        with_timeout(self.client_timeouts[2], async { Ok(read_answer(&mut stream).await) }).await.map(drop)
    }

    async fn flood(&self, id: &str) -> io::Result<()> {
        let until = Instant::now() + FLOOD_TIME;
        for batch in 0.. {
            if Instant::now() >= until {
                break;
            }
            let mut stream = self.connect().await?;
            let small = "GET /health/ready HTTP/1.1\r\nHost: soak\r\n\r\n".repeat(FLOOD_BATCH);
            let unsound = format!("GET /unknown-{id}-{batch} HTTP/1.1\r\nHost: soak\r\n\r\n");
            while Instant::now() < until && stream.write_all(small.as_bytes()).await.is_ok() {
                let read = with_timeout(PIECE_INTERVAL, stream.read(&mut [0; 4 << 10])).await;
                if !matches!(read, Ok(1..)) || fastrand::u8(..) < 8 {
                    break;
                }
            }
            let _ = stream.write_all(unsound.as_bytes()).await;
            let _ = with_timeout(PIECE_INTERVAL, stream.read(&mut [0; 4 << 10])).await;
        }
        Ok(())
    }
}

/// Reads an answer: its status, and whether it is whole.
pub(super) async fn read_answer(stream: &mut Async<TcpStream>) -> (Option<u16>, bool) {
    let mut buffer = Buffer::default();
    let head = loop {
        match http::read_answer_head(&mut buffer, stream).await {
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(_) => return (None, false),
        }
    };
    (Some(head.status), discard_body(BodyReader::new(head.framing), &mut buffer, stream).await.is_ok())
}

/// Reads a body to its end.
pub async fn discard_body(
    mut body: BodyReader,
    buffer: &mut Buffer,
    stream: &mut (impl futures_lite::AsyncRead + Unpin),
) -> Result<(), Fault> {
    loop {
        match body.next_piece(buffer, stream).await? {
            0 => return Ok(()),
            piece => body.consume(buffer, piece),
        }
    }
}
