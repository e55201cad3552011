use super::*;
use async_executor::LocalExecutor;
use futures_lite::AsyncReadExt;

const REQUEST: &[u8] = b"GET /view/1 HTTP/1.1\r\nHost: e0\r\nX-Correlation-Id: m0-1\r\n\r\n";

/// An endpoint whose answers have no content length.
fn endpoint_without_content_length(executor: &Executor) -> (Rc<Endpoint>, SocketAddr) {
    let endpoint = Endpoint::new(0, Instant::now(), 1, Rc::default());
    let address = endpoint.start(executor).expect("the endpoint listens");
    endpoint.set_behaviour(Behaviour::NoContentLength);
    (endpoint, address)
}

/// Sends a request and reads until a part of the body has arrived.
async fn read_start_of_answer(address: SocketAddr) -> (Async<TcpStream>, usize) {
    let mut stream = Async::<TcpStream>::connect(address).await.expect("the endpoint listens");
    stream.write_all(REQUEST).await.expect("the request is written");
    let mut answer = Vec::new();
    loop {
        let mut piece = [0; 1024];
        let read = stream.read(&mut piece).await.expect("an answer");
        answer.extend_from_slice(&piece[..read]);
        let body = answer.windows(4).position(|four| four == b"\r\n\r\n").map(|at| answer.len() - at - 4);
        if let Some(body) = body.filter(|body| *body > 0) {
            return (stream, body);
        }
    }
}

/// Guards against an answer without a content length that an endpoint cuts short but ends with a
/// clean close, so that it looks complete.
///
/// Soak 9232 reported two answers as served that no endpoint had made. The stand-in had sent half
/// of each and crashed before it reset the connections. They ended with a clean close, which
/// completes an answer without a content length.
#[test]
fn answer_cut_short_by_a_crash_ends_with_a_reset() {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let full_length = body_for("/view/1").len();
    for _ in 0..64 {
        let (endpoint, address) = endpoint_without_content_length(&executor);
        let (mut stream, sent) = async_io::block_on(executor.run(read_start_of_answer(address)));
        // No code of the endpoint runs between the first half of the answer and the crash.
        endpoint.crash();
        if sent < full_length {
            let end = async_io::block_on(executor.run(stream.read(&mut [0; 64])));
            assert_eq!(end.expect_err("a reset").kind(), io::ErrorKind::ConnectionReset);
            return;
        }
    }
    panic!("none of 64 answers was cut short");
}
