//! Many instances of a hall place streams at the same moment.
//!
//! Guards against overloaded endpoints: instances of a large group see each other's requests about 80 ms late, so all
//! of them send to the endpoints that look idle. In a surge over 85 instances, endpoints with 9 slots that were
//! believed to have 8 requests had 12, and four fifths of the late first events had been expected in time.

use std::{net::SocketAddr, time::Duration};

use ryevalve::{
    balance::{
        balancer::Placement, cost::PlacementRequest, discovery::EndpointEntry, load::EndpointKey,
    },
    prelude::Name,
};
use tokio::time::{self, Instant};

use crate::{
    cluster::{self, Instance, InstanceSpec, address, endpoint, free_port, until},
    support::at,
};

const INSTANCES: usize = 18;
const ENDPOINTS: usize = 12;
const SLOTS: u32 = 3;

fn stream(instance: &Instance, number: u64) -> PlacementRequest {
    let ask = cluster::placement_request(instance.gateway.clock.now_us());
    PlacementRequest {
        is_stream: true,
        output_events: 20.0,
        target_us: 800_000,
        draw: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ..ask
    }
}

async fn start(net: u8) -> Vec<Instance> {
    let port = free_port(net).await;
    let seeds: Vec<SocketAddr> = (0..3)
        .map(|n| SocketAddr::new(address(net, n), port))
        .collect();
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        let place = InstanceSpec {
            net,
            number,
            hall: "a",
            port,
            seeds: &seeds,
        };
        let instance = Instance::start(place).await;
        for number in 0..ENDPOINTS {
            let entry = EndpointEntry {
                slots: SLOTS,
                ..endpoint(&format!("e{number}"))
            };
            instance.gateway.balancer().upsert_endpoint(entry, at(1));
        }
        instances.push(instance);
    }
    until(
        "all to report to the two instances that assign slots",
        || {
            let assigns_slots =
                |i: &&Instance| i.gateway.balancer().load_view().is_hall_aggregator();
            let reports_arrive = instances
                .iter()
                .all(|i| i.gateway.instance_counts().heard == INSTANCES);
            reports_arrive && instances.iter().filter(assigns_slots).count() == 2
        },
    )
    .await;
    // Reports sent to instances that assigned slots before stop within this time.
    time::sleep(Duration::from_millis(300)).await;
    instances
}

/// Places as many streams as there are slots at once, two from each instance; returns their endpoints.
async fn place_surge(instances: &[Instance]) -> Vec<Name> {
    let placing = instances.iter().enumerate().flat_map(|(number, instance)| {
        let place = move |draw: u64| async move {
            let ask = stream(instance, draw);
            match instance.gateway.place(&ask, &[]).await {
                Placement::Send(choice) => Some(choice.id),
                _ => None,
            }
        };
        let number = number as u64 * 2;
        [place(number), place(number + 1)]
    });
    let placed = futures::future::join_all(placing).await;
    placed.into_iter().flatten().collect()
}

fn max_per_endpoint(placed: &[Name]) -> usize {
    let count = |id: &Name| placed.iter().filter(|p| *p == id).count();
    placed.iter().map(count).max().unwrap_or(0)
}

/// When each instance placed streams by its own view of the endpoints, one endpoint of three slots got 5 and 6 of the
/// 36 streams (two runs).
#[tokio::test(flavor = "multi_thread")]
async fn simultaneous_streams_fill_the_free_slots_without_overload() {
    let instances = start(14).await;
    let placed = place_surge(&instances).await;
    assert_eq!(placed.len(), INSTANCES * 2, "all streams are placed");
    // Both instances may assign the same slot while the group changes its view of which one is first.
    let most = max_per_endpoint(&placed);
    assert!(most <= SLOTS as usize, "{most} at one of {SLOTS} slots");
}

/// The instances that assign slots are lost: nobody waits for them for long, and others take over.
#[tokio::test(flavor = "multi_thread")]
async fn losing_the_reserving_instances_delays_placement_by_milliseconds() {
    let mut instances = start(15).await;
    for instance in &mut instances {
        if instance.gateway.balancer().load_view().is_hall_aggregator() {
            instance.stop();
        }
    }
    instances.retain(|i| !i.gateway.balancer().load_view().is_hall_aggregator());
    let started = Instant::now();
    let placed = place_surge(&instances).await;
    let took = started.elapsed();
    assert_eq!(placed.len(), instances.len() * 2);
    assert!(took < Duration::from_millis(200), "it took {took:?}");
    let is_replaced = || {
        instances
            .iter()
            .any(|i| i.gateway.balancer().load_view().is_hall_aggregator())
    };
    until("others to assign slots", is_replaced).await;
}

/// As many streams as there are slots are given up as soon as they have asked for a place.
#[tokio::test(flavor = "multi_thread")]
async fn stream_given_up_before_it_is_placed_keeps_no_slot_of_a_brittle_endpoint() {
    let instances = start(247).await;
    for instance in &instances {
        let now_us = instance.gateway.clock.now_us();
        for number in 0..ENDPOINTS {
            let key = EndpointKey::of(&format!("e{number}"));
            instance
                .gateway
                .balancer()
                .record_brittle(now_us, key, true);
        }
    }
    let placing = instances.iter().flat_map(|instance| {
        [1, 2].map(|draw| async move {
            let ask = stream(instance, draw);
            let placed = instance.gateway.place(&ask, &[]);
            time::timeout(Duration::from_micros(100), placed)
                .await
                .is_ok()
        })
    });
    let placed = futures::future::join_all(placing).await;
    println!("{} placed in time", placed.iter().filter(|p| **p).count());
    // Slots are taken for lost after two seconds.
    time::sleep(Duration::from_millis(500)).await;
    let mut placed = 0;
    for (instance, draw) in instances.iter().zip(0..) {
        let ask = stream(instance, draw);
        if let Placement::Send(_) = instance.gateway.place(&ask, &[]).await {
            placed += 1;
        }
    }
    assert_eq!(placed, INSTANCES);
}
