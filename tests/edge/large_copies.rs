//! Copies of thousands of endpoints between instances, over real sockets.

use std::{net::SocketAddr, sync::Arc};

use ryevalve::{balance::discovery::EndpointsDelta, clock::Clock, gateway::copies};
use tokio::{net::TcpListener, task::JoinSet, time};

use crate::{
    group::{Instance, InstanceSpec, address, endpoint, free_port, until},
    store_lists::{self, start_store},
};

const NET: u8 = 80;
const ENDPOINTS: u64 = 6_000;
const TAKERS: usize = 24;

/// Takes a whole copy, coming back for as long as the giver is busy; returns how often it was put off, too.
async fn take(addr: SocketAddr, giver: &Instance) -> (EndpointsDelta, usize) {
    let mut put_off = 0;
    loop {
        let codec = giver.codec.clone();
        let taken = copies::fetch_endpoints(addr, codec, 0, Clock::default()).await;
        if let Some(taken) = taken.expect("the giver answers") {
            return (taken.value, put_off);
        }
        put_off += 1;
        time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Guards against copies that are given up at each taker since all take them at once and whole.
#[tokio::test(flavor = "multi_thread")]
async fn many_that_ask_for_thousands_of_endpoints_get_them_by_turns() {
    let place = InstanceSpec {
        net: NET,
        number: 0,
        hall: "a",
        port: free_port(NET).await,
        seeds: &[],
    };
    let mut giver = Instance::start(place).await;
    for number in 0..ENDPOINTS {
        let entry = endpoint(&format!("i-{number:05}"));
        giver.gateway.balancer().upsert_endpoint(entry, number + 1);
    }
    giver
        .gateway
        .balancer()
        .advance_endpoints_revision(ENDPOINTS + 1);
    let listener = TcpListener::bind((address(NET, 0), 0))
        .await
        .expect("a port");
    let addr = listener.local_addr().expect("an address");
    giver.serve_copies(listener);
    let giver = Arc::new(giver);
    let mut takers = JoinSet::new();
    for _ in 0..TAKERS {
        let giver = giver.clone();
        takers.spawn(async move { take(addr, &giver).await });
    }
    let mut put_off = 0;
    while let Some(taken) = takers.join_next().await {
        let (copy, times) = taken.expect("no taker panics");
        put_off += times;
        assert_eq!(copy.entries.len() as u64, ENDPOINTS);
        assert_eq!(copy.revision, ENDPOINTS + 1);
    }
    assert!(put_off > 0, "they take turns");
    // A small change needs no turn.
    let codec = giver.codec.clone();
    let after = copies::fetch_endpoints(addr, codec, ENDPOINTS, Clock::default()).await;
    let after = after.expect("the giver answers").expect("it is newer");
    assert_eq!(after.value.entries.len(), 0);
}

/// Returns the calls to the store until all of a group that starts beside a seed know the endpoints.
async fn calls_of_a_start(net: u8, instances: usize) -> u64 {
    let platform = start_store().await;
    let port = free_port(net).await;
    let seeds = [SocketAddr::new(address(net, 0), port)];
    let mut all = Vec::new();
    for number in 0..instances {
        let place = InstanceSpec {
            net,
            number,
            hall: "a",
            port,
            seeds: &seeds,
        };
        let mut instance = Instance::start(place).await;
        let copies = TcpListener::bind((address(net, number), port)).await;
        instance.serve_copies(copies.expect("a port"));
        if number > 0 {
            instance.fetch_at_start();
        }
        instance.follow(platform.addr());
        all.push(instance);
    }
    until("all to know the endpoints", || {
        let mut known = all.iter().map(|i| i.gateway.balancer().endpoint_count());
        known.all(|known| known == store_lists::ENDPOINTS)
    })
    .await;
    platform.counts().reads
}

/// Guards against starts that each read the whole list of endpoints from the store.
#[tokio::test(flavor = "multi_thread")]
async fn processes_that_start_fetch_a_long_list_from_each_other() {
    let few = calls_of_a_start(81, 4).await;
    let many = calls_of_a_start(82, 16).await;
    let each = (many - few) / 12;
    assert!(each <= 4, "{few} and {many} calls: {each} for each more");
}
