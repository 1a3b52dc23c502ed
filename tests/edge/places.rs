//! Many instances of a hall place streams at the same moment.
//!
//! The story: instances of a large group learn of each other's requests some 80 ms late, and all sent to
//! the endpoints that looked idle to all. In a surge over 85 instances endpoints with 9 slots that were believed
//! to have 8 requests had 12, and four fifths of the late first events had been expected in time.

use std::{net::SocketAddr, time::Duration};

use ryevalve::{
    balance::{balancer::Placement, cost::PlacementRequest, discovery::EndpointEntry},
    prelude::Name,
};
use tokio::time::{self, Instant};

use crate::group::{self, Instance, Place, address, endpoint, free_port, until};

const ALL: usize = 18;
const ENDPOINTS: usize = 12;
const SLOTS: u32 = 3;

fn stream(instance: &Instance, number: u64) -> PlacementRequest {
    let ask = group::ask(instance.gateway.clock.now_us());
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
    let mut all = Vec::new();
    for number in 0..ALL {
        let place = Place {
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
            instance.gateway.balancer().upsert_endpoint(entry, 1);
        }
        all.push(instance);
    }
    until("all to report to two, who give places", || {
        let gives = |i: &&Instance| i.gateway.balancer().load_view().is_hall_aggregator();
        let heard = all.iter().all(|i| i.gateway.sharers().heard == ALL);
        heard && all.iter().filter(gives).count() == 2
    })
    .await;
    // Whoever reported to others before does not any more.
    time::sleep(Duration::from_millis(300)).await;
    all
}

/// Places as many streams as there are slots, two by each instance, all at once; returns where they went.
async fn surge(all: &[Instance]) -> Vec<Name> {
    let placing = all.iter().enumerate().flat_map(|(number, instance)| {
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

fn most_at_one(placed: &[Name]) -> usize {
    let count = |id: &Name| placed.iter().filter(|p| *p == id).count();
    placed.iter().map(count).max().unwrap_or(0)
}

/// Each by its own picture sent 5 and 6 of the 36 to one endpoint of three slots (two runs).
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_come_at_once_find_the_slots_there_are() {
    let all = start(14).await;
    let placed = surge(&all).await;
    assert_eq!(placed.len(), ALL * 2, "all are placed at once");
    // A place may be given by both while the group changes its mind on who is first.
    let most = most_at_one(&placed);
    assert!(most <= SLOTS as usize, "{most} at one of {SLOTS} slots");
}

/// Whoever gives places dies: nobody waits for it for long, and the other takes over.
#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_whoever_gives_places_costs_some_milliseconds() {
    let mut all = start(15).await;
    for instance in &mut all {
        if instance.gateway.balancer().load_view().is_hall_aggregator() {
            instance.stop();
        }
    }
    all.retain(|i| !i.gateway.balancer().load_view().is_hall_aggregator());
    let started = Instant::now();
    let placed = surge(&all).await;
    let took = started.elapsed();
    assert_eq!(placed.len(), all.len() * 2);
    assert!(took < Duration::from_millis(200), "it took {took:?}");
    let heard = || {
        all.iter()
            .any(|i| i.gateway.balancer().load_view().is_hall_aggregator())
    };
    until("others to give places", heard).await;
}
