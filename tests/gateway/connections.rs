//! Reuse of connections to endpoints: which one a request gets.

use std::time::Duration;

use ryevalve::endpoint::connection_pool::{ConnectionPool, EndpointConnection};
use tokio::net::TcpListener;

use crate::support::{MS, SECOND};

const KEEP_ALIVE: Option<Duration> = Some(Duration::from_secs(5));

async fn open(listener: &TcpListener) -> (EndpointConnection, tokio::net::TcpStream) {
    let addr = listener.local_addr().expect("a bound address");
    let opened = EndpointConnection::open(addr);
    let (opened, accepted) = tokio::join!(opened, listener.accept());
    let mut opened = opened.expect("a connection");
    opened
        .sender
        .ready()
        .await
        .expect("a connection that takes requests");
    (opened, accepted.expect("accepted").0)
}

/// A request that may run once only would be lost if the endpoint closed the connection as it is written.
#[tokio::test]
async fn request_that_runs_once_gets_no_connection_that_was_idle_for_long() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("a bound address");
    let pool = ConnectionPool::default();
    let (connection, _endpoint) = open(&listener).await;
    pool.return_idle(0, addr, connection, KEEP_ALIVE);
    assert!(pool.take_idle(501 * MS, addr, 500 * MS).is_none());
    // It is still there for a request that may run again.
    let kept = pool.take_idle(501 * MS, addr, u64::MAX);
    assert!(kept.is_some_and(|kept| kept.is_reused));
}

/// The endpoint closes an idle connection before its time, for instance since it ends.
#[tokio::test]
async fn connection_that_the_endpoint_closed_is_not_taken() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("a bound address");
    let pool = ConnectionPool::default();
    let (connection, endpoint) = open(&listener).await;
    pool.return_idle(0, addr, connection, KEEP_ALIVE);
    drop(endpoint);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(pool.take_idle(50 * MS, addr, SECOND).is_none());
}
