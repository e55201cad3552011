//! Tests of the queue at given times, and of the stand-in on sockets.

use super::*;
use async_executor::LocalExecutor;
use futures_lite::AsyncWriteExt;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a stand-in in which rejecting a poll costs nothing, so that it recovers where a
/// real queue would not.
#[test]
fn polls_are_processed_in_order_and_rejecting_costs_as_much_as_serving() {
    let start = Instant::now();
    let capacity = Capacity::per_second(10, ms(250));
    let mut queue = Queue { free_at: start };
    let turns = [(); 5].map(|()| queue.enqueue(start, capacity));
    assert_eq!(turns.map(|turn| turn.served), [true, true, true, false, false]);
    assert_eq!(turns.map(|turn| turn.done_at - start), [100, 200, 300, 400, 500].map(ms));
    let later = queue.enqueue(start + ms(300), capacity);
    assert_eq!(later, QueuedPoll { done_at: start + ms(600), served: true });
}

/// Guards against a goodput that leaves out rejected polls, or that is not a number where nothing
/// was processed.
#[test]
fn goodput_is_the_share_of_processed_polls_that_were_delivered() {
    assert_eq!(PollCounts::default().goodput(), 1.0);
    let counts = PollCounts { delivered: 6, wasted: 3, rejected: 3, ..PollCounts::default() };
    assert_eq!(counts.goodput(), 0.5);
}

const AMPLE_RATE: u32 = 10_000;

/// Runs a test with a stand-in for one sidecar that serves `rate` polls per second and has an empty
/// list of version 0.
fn with_stand_in<F: Future<Output = ()>>(rate: u32, test: impl FnOnce(Rc<LimitedDiscovery>) -> F) {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let list = Discovery::start(&executor).expect("a list");
    let serves = Availability::Serving(Capacity::per_second(rate, ms(1000)));
    let stand_in = LimitedDiscovery::start(&executor, list, 1, serves).expect("a stand-in");
    async_io::block_on(executor.run(test(stand_in)));
}

async fn connect_and_poll(stand_in: &LimitedDiscovery, hold_ms: u64) -> Async<TcpStream> {
    let stream = Async::<TcpStream>::connect(stand_in.address(0)).await.expect("a connection");
    send_poll(&stream, hold_ms).await;
    stream
}

async fn send_poll(mut stream: &Async<TcpStream>, hold_ms: u64) {
    let poll = format!("GET /registry/instances?from=0&hold_ms={hold_ms} HTTP/1.1\r\n\r\n");
    stream.write_all(poll.as_bytes()).await.expect("the poll is sent");
}

/// The status of the next answer; `None` if the connection is closed instead.
async fn next_status(mut stream: &Async<TcpStream>) -> Option<String> {
    let head = http::read_head(&mut Buffer::default(), &mut stream, http::begins_answer).await;
    head.ok().flatten().map(|head| head.line[1].clone())
}

async fn wait_until(holds: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < ms(10_000), "the condition does not hold within 10 s");
        Timer::after(ms(5)).await;
    }
}

/// Guards against an outage that leaves watches open, and one in which polls are answered although
/// connections should be closed.
#[test]
fn outage_ends_open_watches_and_later_polls() {
    with_stand_in(AMPLE_RATE, |stand_in| async move {
        for (down, expected) in [
            (Availability::Unavailable { delay: ms(20) }, Some("503")),
            (Availability::ClosingConnections, None),
        ] {
            stand_in.set_availability(Availability::Serving(Capacity::per_second(AMPLE_RATE, ms(1000))));
            let watch = connect_and_poll(&stand_in, 60_000).await;
            wait_until(|| stand_in.open_watches() == 1).await;
            stand_in.set_availability(down);
            assert_eq!(next_status(&watch).await.as_deref(), expected);
            let later = connect_and_poll(&stand_in, 60_000).await;
            assert_eq!(next_status(&later).await.as_deref(), expected);
        }
    });
}

/// Guards against a stand-in that spends no capacity on polls whose clients have closed the
/// connection.
#[test]
fn poll_of_a_disconnected_client_still_takes_up_capacity() {
    with_stand_in(5, |stand_in| async move {
        drop(connect_and_poll(&stand_in, 0).await);
        let stays = connect_and_poll(&stand_in, 0).await;
        assert_eq!(next_status(&stays).await.as_deref(), Some("200"));
        let counts = stand_in.counts();
        assert_eq!((counts.delivered, counts.wasted, counts.rejected), (1, 1, 0));
    });
}

/// Guards against a watch that takes up capacity each time it continues.
#[test]
fn poll_that_continues_a_watch_takes_up_no_capacity() {
    with_stand_in(AMPLE_RATE, |stand_in| async move {
        let watch = connect_and_poll(&stand_in, 0).await;
        assert_eq!(next_status(&watch).await.as_deref(), Some("200"));
        send_poll(&watch, 60_000).await;
        wait_until(|| stand_in.open_watches() == 1).await;
        let counts = stand_in.counts();
        assert_eq!((counts.arrivals.len(), counts.delivered), (1, 1));
        assert!(stand_in.has_version_since(0, 0).is_some() && stand_in.has_version_since(0, 1).is_none());
    });
}
