//! Streams of engines whose answers never end: they must fail, soon and visibly.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use ryevalve::{
    endpoint::{
        connection::Connection,
        engine::{EngineStream, StreamError},
    },
    prelude::RequestId,
};
use standins::flood::Flood;
use tokio::{io::AsyncReadExt, net::TcpListener, time};

/// Tokens that the requests allow.
const MAX_TOKENS: u32 = 16;
/// A broken stream is resumed for 3 s, which fails here, too.
const ENDS_WITHIN: Duration = Duration::from_secs(8);
/// What may be read of the answer and of those to its resumptions, with the buffers of their sockets.
const MAX_BYTES: usize = 64 << 20;

/// Starts an engine that answers any request with a flood; counts the bytes that it sends.
async fn start_engine(flood: Flood) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let sent_bytes = Arc::new(AtomicUsize::new(0));
    let counted = sent_bytes.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sent_bytes = counted.clone();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                // It ends when the caller closes the connection.
                let _ = flood.send(&mut stream, "any", &sent_bytes).await;
            });
        }
    });
    (addr, sent_bytes)
}

/// Reads a stream to its end; returns its events.
async fn read(addr: SocketAddr) -> Result<usize, StreamError> {
    let connection = Connection::open(addr).await.expect("a connection");
    let request = Request::post("/v1/completions").header("host", "engine");
    let request = request.body(Full::<Bytes>::default()).expect("a request");
    let deadline = time::Instant::now() + Duration::from_secs(1);
    let id = RequestId::default();
    let mut stream =
        EngineStream::start(connection, addr, id, request, deadline, Some(MAX_TOKENS)).await?;
    let mut events = 0;
    while stream.next().await?.is_some() {
        events += 1;
    }
    Ok(events)
}

async fn check(flood: Flood) {
    let (addr, sent_bytes) = start_engine(flood).await;
    let began = Instant::now();
    let ended = time::timeout(ENDS_WITHIN, read(addr)).await;
    let bytes = sent_bytes.load(Ordering::Relaxed);
    println!(
        "{flood:?}: {ended:?} after {:?}, {bytes} bytes",
        began.elapsed()
    );
    let ended = ended.unwrap_or_else(|_| panic!("the stream goes on after {bytes} bytes"));
    assert!(ended.is_err(), "the stream looks complete");
    assert!(bytes < MAX_BYTES, "{bytes} bytes were sent");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_behind_endless_interim_answers_fails() {
    check(Flood::InterimAnswers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_endless_comments_fails() {
    check(Flood::Comments).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_endless_old_events_fails() {
    check(Flood::OldEvents).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_endless_tokens_fails() {
    check(Flood::Tokens).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_an_endless_event_fails() {
    check(Flood::Event).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_behind_an_endless_header_fails() {
    check(Flood::Header).await;
}
