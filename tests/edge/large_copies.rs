//! Fetching copies of thousands of endpoints between instances over real sockets.

use std::{net::SocketAddr, sync::Arc};

use ryevalve::{
    balance::discovery::EndpointsDelta, clock::Clock, gateway::copies, prelude::StorePosition,
};
use tokio::{net::TcpListener, task::JoinSet, time};

use crate::{
    cluster::{Instance, InstanceSpec, address, endpoint, free_port, until},
    store_lists::{self, start_store},
    support::at,
};

const NET: u8 = 80;
const ENDPOINTS: u64 = 6_000;
const CLIENTS: usize = 24;

/// Fetches a whole copy, with retries while the source is busy; also returns how often it was busy.
async fn fetch_all(addr: SocketAddr, source: &Instance) -> (EndpointsDelta, usize) {
    let mut busy_count = 0;
    loop {
        let codec = source.codec.clone();
        let result =
            copies::fetch_endpoints(addr, codec, StorePosition::START, Clock::default()).await;
        if let Some(result) = result.expect("the source answers") {
            return (result.value, busy_count);
        }
        busy_count += 1;
        time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Guards against transfers that all time out because all clients fetch the whole copy at once.
#[tokio::test(flavor = "multi_thread")]
async fn many_clients_fetch_thousands_of_endpoints_in_turn() {
    let spec = InstanceSpec {
        net: NET,
        number: 0,
        hall: "a",
        port: free_port(NET).await,
        seeds: &[],
    };
    let mut source = Instance::start(spec).await;
    for number in 0..ENDPOINTS {
        let entry = endpoint(&format!("i-{number:05}"));
        source
            .gateway
            .balancer()
            .upsert_endpoint(entry, at(number + 1));
    }
    source
        .gateway
        .balancer()
        .advance_endpoints_position(at(ENDPOINTS + 1));
    let listener = TcpListener::bind((address(NET, 0), 0))
        .await
        .expect("a port");
    let addr = listener.local_addr().expect("an address");
    source.serve_copies(listener);
    let source = Arc::new(source);
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        let source = source.clone();
        clients.spawn(async move { fetch_all(addr, &source).await });
    }
    let mut busy_count = 0;
    while let Some(result) = clients.join_next().await {
        let (copy, busy) = result.expect("no client panics");
        busy_count += busy;
        assert_eq!(copy.entries.len() as u64, ENDPOINTS);
        assert_eq!(copy.position, at(ENDPOINTS + 1));
    }
    assert!(busy_count > 0, "transfers are limited");
    // A small change does not count as a transfer.
    let codec = source.codec.clone();
    let after = copies::fetch_endpoints(addr, codec, at(ENDPOINTS), Clock::default()).await;
    let after = after.expect("the source answers").expect("it is newer");
    assert_eq!(after.value.entries.len(), 0);
}

/// Returns the calls to the store until all instances of a cluster that starts with one seed have the endpoints.
async fn store_calls_at_start(net: u8, instances: usize) -> u64 {
    let platform = start_store().await;
    let port = free_port(net).await;
    let seeds = [SocketAddr::new(address(net, 0), port)];
    let mut all = Vec::new();
    for number in 0..instances {
        let spec = InstanceSpec {
            net,
            number,
            hall: "a",
            port,
            seeds: &seeds,
        };
        let mut instance = Instance::start(spec).await;
        let copies = TcpListener::bind((address(net, number), port)).await;
        instance.serve_copies(copies.expect("a port"));
        if number > 0 {
            instance.fetch_at_start();
        }
        instance.follow(platform.addr());
        all.push(instance);
    }
    until("all instances to have the endpoints", || {
        let mut known = all.iter().map(|i| i.gateway.balancer().endpoint_count());
        known.all(|known| known == store_lists::ENDPOINTS)
    })
    .await;
    platform.counts().reads
}

/// Guards against every starting instance reading the whole list of endpoints from the store.
#[tokio::test(flavor = "multi_thread")]
async fn starting_instances_fetch_a_long_list_from_each_other() {
    let few = store_calls_at_start(81, 4).await;
    let many = store_calls_at_start(82, 16).await;
    let each = (many - few) / 12;
    assert!(
        each <= 4,
        "{few} and {many} calls: {each} per additional instance"
    );
}
