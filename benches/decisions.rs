//! Time of one decision by number of endpoints and of waiting requests: a slot becomes free, and a
//! request is granted.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ryevalve::{
    core::{
        endpoint::EndpointSpec,
        scheduler::{Action, Input, PolicySettings, PoolSpec, Scheduler},
    },
    prelude::*,
};

const ENTRY: Incarnation = Incarnation(1);
const SIZES: [(usize, usize); 6] = [
    (55, 1_000),
    (55, 10_000),
    (55, 50_000),
    (200, 10_000),
    (1_100, 10_000),
    (1_100, 50_000),
];

/// Creates a pool whose endpoints are all full, with `waiting` further requests. Returns its scheduler,
/// the running requests and the next sequence number.
fn full_pool(endpoints: usize, waiting: usize) -> (Scheduler, Vec<RequestId>, u64) {
    let policy = PolicySettings {
        max_waiting: 1_000_000,
        prior_output_tokens: 50,
        ..PolicySettings::default()
    };
    let mut scheduler = Scheduler::new(ENTRY, policy);
    let endpoint = |n: usize| EndpointSpec {
        name: format!("e{n}").into(),
        hall: "h".into(),
        slots: 4,
        prefill_tokens_per_s: 1e6,
        decode_step_us: 1_000.0,
        cache_tokens: 40_000,
        draining: false,
    };
    scheduler.configure(PoolSpec {
        tiers: 3,
        endpoints: (0..endpoints).map(endpoint).collect(),
        ..PoolSpec::default()
    });
    let registration = Registration {
        entry: ENTRY,
        epoch: 1,
    };
    scheduler.handle(0, Input::Attach(registration));
    let total = (endpoints * 4 + waiting) as u64;
    for seq in 0..total {
        scheduler.handle(0, Input::Add(registration, meta(seq)));
    }
    let running = granted(&mut scheduler, 1);
    (scheduler, running, total)
}

fn meta(seq: u64) -> RequestMeta {
    RequestMeta {
        id: RequestId { entry: ENTRY, seq },
        organisation: format!("o{}", seq % 5).into(),
        rank: (seq % 3) as u8,
        service: "s".into(),
        prompt_tokens: 1_000,
        prefix: (0..4).map(|n| seq % 60 * 10 + n).collect(),
        max_output_tokens: None,
        repeatable: true,
        waited_us: 0,
        remaining_us: 3_600_000_000,
    }
}

fn granted(scheduler: &mut Scheduler, now_us: Micros) -> Vec<RequestId> {
    let mut actions = Vec::new();
    scheduler.decide(now_us, &mut actions);
    let grants = actions.iter().filter_map(|a| match a {
        Action::Grant { id, .. } => Some(*id),
        _ => None,
    });
    grants.collect()
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for (endpoints, waiting) in SIZES {
        let (mut scheduler, mut running, mut next) = full_pool(endpoints, waiting);
        let registration = Registration {
            entry: ENTRY,
            epoch: 1,
        };
        let mut now_us = 1_000;
        let id = BenchmarkId::new(
            format!("{endpoints} endpoints"),
            format!("{waiting} waiting"),
        );
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                now_us += 1_000;
                if let Some(ended) = running.pop() {
                    scheduler.handle(now_us, Input::Finished(ended, Some(50)));
                }
                scheduler.handle(now_us, Input::Add(registration, meta(next)));
                next += 1;
                running.extend(granted(&mut scheduler, now_us));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
