//! Reuse of connections to endpoints: which one a request gets, and which endpoints are preferred for it.

use std::time::Duration;

use assert_matches::assert_matches;
use ryevalve::{
    balance::{
        balancer::{Balancer, Placement},
        load::{EndpointKey, InFlight},
    },
    endpoint::connection_pool::{ConnectionPool, EndpointConnection},
    prelude::Incarnation,
};
use tokio::net::TcpListener;

use crate::support::{MS, SECOND, at, entry, placement_request};

const SLOTS: u32 = 4;
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
    let key = EndpointKey::of("a");
    let pool = ConnectionPool::default();
    let (connection, _endpoint) = open(&listener).await;
    pool.return_idle(0, addr, key, connection, KEEP_ALIVE);
    assert!(pool.take_idle(501 * MS, addr, 500 * MS).is_none());
    assert_eq!(pool.connected(501 * MS, 500 * MS, 8), []);
    assert_eq!(pool.connected(501 * MS, SECOND, 8), [key]);
    // It is still there for a request that may run again.
    let kept = pool.take_idle(501 * MS, addr, u64::MAX);
    assert!(kept.is_some_and(|kept| kept.is_reused));
}

/// The endpoint closes an idle connection before its time, for instance since it ends.
#[tokio::test]
async fn connection_that_the_endpoint_closed_is_neither_taken_nor_preferred() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let addr = listener.local_addr().expect("a bound address");
    let pool = ConnectionPool::default();
    let (connection, endpoint) = open(&listener).await;
    pool.return_idle(0, addr, EndpointKey::of("a"), connection, KEEP_ALIVE);
    drop(endpoint);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(pool.connected(50 * MS, SECOND, 8), []);
    assert!(pool.take_idle(50 * MS, addr, SECOND).is_none());
}

/// All instances would fill the endpoints that they happen to have connections to.
#[test]
fn open_connection_decides_between_equal_endpoints_and_not_against_load() {
    let names: Vec<String> = (0..6).map(|number| format!("e{number}")).collect();
    for (index, connected) in names.iter().enumerate() {
        let mut balancer = Balancer::new("here".into());
        for name in &names {
            balancer.upsert_endpoint(entry(name, "here", SLOTS), at(1));
        }
        let mut request = placement_request(index as u64, 100, 0, 0);
        request.connected = vec![EndpointKey::of(connected)];
        let choice = assert_matches!(balancer.place(0, &request, &[]), Placement::Send(c) => c);
        assert_eq!(&*choice.id, connected);
        let full = InFlight {
            requests: SLOTS,
            prompt_tokens: 4_000,
        };
        let loads = [(EndpointKey::of(connected), full)];
        balancer.apply_peer_update(0, Incarnation(1), &loads, &[], &[]);
        let choice = assert_matches!(balancer.place(0, &request, &[]), Placement::Send(c) => c);
        assert_ne!(&*choice.id, connected);
    }
}
