//! Instances of a large group tell each other through aggregators, over real sockets.

use std::net::SocketAddr;

use ryevalve::{
    balance::balancer::Placement,
    gateway::aggregators::Aggregators,
    limits::instance_counts::InstanceCounts,
    prelude::{Incarnation, Name},
};

use crate::group::{Instance, Place, address, ask, endpoint, free_port, key, until};

const HALLS: [&str; 3] = ["a", "b", "c"];
const IN_HALL: usize = 6;
const ALL: usize = HALLS.len() * IN_HALL;
const NET: u8 = 7;

/// Returns the requests that an instance believes to be at the endpoint.
fn believed(instance: &Instance) -> f64 {
    let now_us = instance.gateway.clock.now_us();
    let balancer = instance.gateway.balancer();
    let picture = balancer.load_view();
    let (service, hall) = ("plain".into(), Name::from("a"));
    picture
        .estimate(now_us, key(), &service, &hall, true)
        .requests
}

fn send_one(instance: &Instance) {
    let now_us = instance.gateway.clock.now_us();
    let placed = instance.gateway.balancer().place(now_us, &ask(now_us), &[]);
    assert!(matches!(placed, Placement::Send(_)), "{placed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_group_hears_of_all_requests_and_outlives_its_aggregators() {
    let port = free_port(NET).await;
    let seeds: Vec<SocketAddr> = (0..3)
        .map(|n| SocketAddr::new(address(NET, n), port))
        .collect();
    let mut all = Vec::new();
    for number in 0..ALL {
        let place = Place {
            net: NET,
            number,
            hall: HALLS[number % HALLS.len()],
            port,
            seeds: &seeds,
        };
        let instance = Instance::start(place).await;
        instance
            .gateway
            .balancer()
            .upsert_endpoint(endpoint("one"), 1);
        all.push(instance);
    }
    let heard = |all: &[Instance], heard: usize| {
        let expected = InstanceCounts { all: ALL, heard };
        all.iter().all(|i| i.gateway.instance_counts() == expected)
    };
    until("all to hear of all", || heard(&all, ALL)).await;
    send_one(&all[0]);
    until("all to know of a request", || {
        all.iter().all(|i| believed(i) == 1.0)
    })
    .await;
    send_one(&all[1]);
    until("all to know of both", || {
        all.iter().all(|i| believed(i) == 2.0)
    })
    .await;

    // Both aggregators of a hall are lost.
    let hall = all[2].hall.clone();
    let now_us = all[2].gateway.clock.now_us();
    let mut aggregators = Aggregators::default();
    aggregators.set_view(&all[2].gossip.view());
    let lost = aggregators.of_hall(now_us, &hall, true);
    let lost: Vec<Incarnation> = lost.iter().map(|m| m.info.incarnation).collect();
    let mut kept = Vec::new();
    for (number, mut instance) in all.into_iter().enumerate() {
        if lost.contains(&Incarnation(number as u64 + 1)) {
            instance.stop();
        } else {
            kept.push(instance);
        }
    }
    assert_eq!(kept.len(), ALL - 2);
    until("the others to hear of each other", || heard(&kept, ALL - 2)).await;
    let of_hall = kept
        .iter()
        .find(|i| i.hall == hall)
        .expect("one of the hall");
    let before = believed(of_hall);
    send_one(of_hall);
    until("all to know of its request", || {
        kept.iter().all(|i| believed(i) == before + 1.0)
    })
    .await;
}
