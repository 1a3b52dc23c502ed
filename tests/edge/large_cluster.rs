//! Instances of a large cluster exchange loads through aggregators over real sockets.

use std::net::SocketAddr;

use ryevalve::{
    balance::balancer::Placement,
    gateway::aggregators::Aggregators,
    limits::instance_counts::InstanceCounts,
    prelude::{Incarnation, Name},
};

use crate::{
    cluster::{
        Instance, InstanceSpec, address, endpoint, free_port, key, placement_request, until,
    },
    support::at,
};

const HALLS: [&str; 3] = ["a", "b", "c"];
const HALL_SIZE: usize = 6;
const INSTANCES: usize = HALLS.len() * HALL_SIZE;
const NET: u8 = 7;

/// Returns an instance's estimate of the requests at the endpoint.
fn estimated_requests(instance: &Instance) -> f64 {
    let now_us = instance.gateway.clock.now_us();
    let balancer = instance.gateway.balancer();
    let load_view = balancer.load_view();
    let (service, hall) = ("plain".into(), Name::from("a"));
    load_view
        .estimate(now_us, key(), &service, &hall, true)
        .requests
}

fn send_one(instance: &Instance) {
    let now_us = instance.gateway.clock.now_us();
    let placed = instance
        .gateway
        .balancer()
        .place(now_us, &placement_request(now_us), &[]);
    assert!(matches!(placed, Placement::Send(_)), "{placed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_cluster_shares_loads_and_survives_the_loss_of_its_aggregators() {
    let port = free_port(NET).await;
    let seeds: Vec<SocketAddr> = (0..3)
        .map(|n| SocketAddr::new(address(NET, n), port))
        .collect();
    let mut all = Vec::new();
    for number in 0..INSTANCES {
        let spec = InstanceSpec {
            net: NET,
            number,
            hall: HALLS[number % HALLS.len()],
            port,
            seeds: &seeds,
        };
        let instance = Instance::start(spec).await;
        instance
            .gateway
            .balancer()
            .upsert_endpoint(endpoint("one"), at(1));
        all.push(instance);
    }
    let all_see = |all: &[Instance], heard: usize| {
        let expected = InstanceCounts {
            all: INSTANCES,
            heard,
        };
        all.iter().all(|i| i.gateway.instance_counts() == expected)
    };
    until("all instances to see each other", || {
        all_see(&all, INSTANCES)
    })
    .await;
    send_one(&all[0]);
    until("all instances to know the first request", || {
        all.iter().all(|i| estimated_requests(i) == 1.0)
    })
    .await;
    send_one(&all[1]);
    until("all instances to know both requests", || {
        all.iter().all(|i| estimated_requests(i) == 2.0)
    })
    .await;

    // Both aggregators of a hall fail.
    let hall = all[2].hall.clone();
    let now_us = all[2].gateway.clock.now_us();
    let mut aggregators = Aggregators::default();
    aggregators.set_view(&all[2].gossip.view());
    let failed = aggregators.of_hall(now_us, &hall, true);
    let failed: Vec<Incarnation> = failed.iter().map(|m| m.info.incarnation).collect();
    let mut survivors = Vec::new();
    for (number, mut instance) in all.into_iter().enumerate() {
        if failed.contains(&Incarnation(number as u64 + 1)) {
            instance.stop();
        } else {
            survivors.push(instance);
        }
    }
    assert_eq!(survivors.len(), INSTANCES - 2);
    until("the survivors to see each other", || {
        all_see(&survivors, INSTANCES - 2)
    })
    .await;
    let survivor = survivors
        .iter()
        .find(|i| i.hall == hall)
        .expect("a survivor in the hall");
    let before = estimated_requests(survivor);
    send_one(survivor);
    until("all survivors to know its request", || {
        survivors
            .iter()
            .all(|i| estimated_requests(i) == before + 1.0)
    })
    .await;
}
