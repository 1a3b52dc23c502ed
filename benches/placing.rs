//! One placement by an instance on the platform, against endpoints and the size of the group.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ryevalve::{
    balance::{
        balancer::{Balancer, Placement},
        cost::PlacementRequest,
        discovery::EndpointEntry,
        load::{EndpointKey, InFlight},
        load_view::ClusterSize,
        regions::AllowedRegions,
    },
    prelude::{Incarnation, StorePosition},
    shares::admission::Standing,
};

/// Endpoints, in three halls.
const SIZES: [usize; 3] = [18, 90, 1_100];
const SLOTS: u32 = 7;
/// Placements are this far apart, in microseconds: 1,000 a second.
const APART_US: u64 = 1_000;

fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        id: format!("i-{number}").into(),
        version: "v1".into(),
        born_ms: 0,
        service: "model".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        hall: format!("hall-{}", number % 3).into(),
        slots: SLOTS,
        draining: false,
        warmup_left_ms: 0,
    }
}

/// A balancer that knows of requests of others at all endpoints.
fn balancer(endpoints: usize, cluster_size: ClusterSize) -> Balancer {
    let mut balancer = Balancer::new("hall-0".into());
    balancer.load_view_mut().set_cluster_size(cluster_size);
    for number in 0..endpoints {
        balancer.upsert_endpoint(entry(number), StorePosition::new(1, 1));
    }
    let load = |number: usize| InFlight {
        requests: (number % 5) as u32,
        prompt_tokens: (number % 7) as u32 * 300,
    };
    let loads = (0..endpoints).map(|n| (EndpointKey::of(&format!("i-{n}")), load(n)));
    let loads: Vec<_> = loads.collect();
    balancer.apply_peer_update(0, Incarnation(1), &loads, &[], &[]);
    balancer
}

fn placement_request(number: u64, now_us: u64) -> PlacementRequest {
    PlacementRequest {
        service: "model".into(),
        route: 0,
        is_stream: true,
        prompt_tokens: 600,
        chains: Vec::new(),
        output_events: 40.0,
        target_us: 800_000,
        arrived_us: now_us,
        waited_us: 0,
        deadline_us: now_us + 15_000_000,
        rank: 0,
        other_hall_cost: 0.05,
        standing: Standing::Within,
        allowed_regions: AllowedRegions::default(),
        versions: None,
        draw: number,
    }
}

fn placing(c: &mut Criterion) {
    let mut benches = c.benchmark_group("placing");
    for endpoints in SIZES {
        for cluster_size in [ClusterSize::Small, ClusterSize::Large] {
            let mut balancer = balancer(endpoints, cluster_size);
            let (mut number, mut now_us) = (0, APART_US);
            let id = BenchmarkId::new(format!("{cluster_size:?}"), endpoints);
            benches.bench_function(id, |b| {
                b.iter(|| {
                    number += 1;
                    now_us += APART_US;
                    if let Placement::Send(choice) =
                        balancer.place(now_us, &placement_request(number, now_us), &[])
                    {
                        balancer.end(choice.key, choice.expected.uncached_tokens, None);
                    }
                });
            });
        }
    }
    benches.finish();
}

criterion_group!(benches, placing);
criterion_main!(benches);
