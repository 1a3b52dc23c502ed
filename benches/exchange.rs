//! Benchmarks of an instance's work for the exchange between gateways, by cluster size.
//!
//! The setting: six halls, 40 organisations, and somewhat more than half as many endpoints as instances. An instance sends
//! reports and receives summaries; an aggregator computes the sums and the choice of aggregators every 100 ms.

use std::{hint::black_box, net::IpAddr, sync::Arc};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ryevalve::{
    balance::load::{EndpointKey, InFlight, KeyRange},
    gateway::{aggregators::Aggregators, hall_aggregate::HallAggregate, halls::Halls},
    peers::{
        datagram::{Authenticator, Digest, Liveness, MemberInfo},
        update::{self, HallSummary, Update},
        view::{Member, View},
    },
    prelude::{Incarnation, Name},
};

const SIZES: [usize; 4] = [6, 78, 295, 1_000];
const HALLS: usize = 6;
/// Number of endpoints at which one instance has requests.
const ENDPOINTS_IN_USE: usize = 8;

fn loads(from: usize, count: usize) -> Vec<(EndpointKey, InFlight)> {
    let load = |n: usize| InFlight {
        requests: 1 + n as u32 % 4,
        prompt_tokens: 300 * (n as u32 % 5),
    };
    let mut loads: Vec<_> = (from..from + count)
        .map(|n| (EndpointKey::of(&format!("i-{n}")), load(n)))
        .collect();
    loads.sort_unstable_by_key(|(key, _)| *key);
    loads
}

fn report(number: usize) -> Update {
    Update {
        from: Incarnation(number as u64 + 1),
        seq: 1_000,
        loads: loads(number, ENDPOINTS_IN_USE),
        ..Update::default()
    }
}

fn book(members: usize) -> HallAggregate {
    let mut book = HallAggregate::default();
    for number in 0..members {
        let addr = IpAddr::from([10, 1, (number / 250) as u8, (number % 250) as u8]);
        book.apply_report(0, addr, &report(number));
    }
    book
}

fn summary(book: &HallAggregate) -> HallSummary {
    let headcount = book.instance_counts(0);
    HallSummary {
        hall: 1,
        by: Incarnation(1),
        seq: 1_000,
        instances: headcount.instances,
        heard: headcount.heard,
        span: KeyRange::ALL,
        loads: book.loads(0, &[]),
        ..HallSummary::default()
    }
}

fn view(members: usize) -> Arc<View> {
    let member = |number: usize| Member {
        info: MemberInfo {
            name: format!("i{number}").into(),
            incarnation: Incarnation(number as u64 + 1),
            peer_addr: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_600).into(),
            hall: format!("hall-{}", number % HALLS).into(),
            data_centre: "one".into(),
            beat: 1,
            leaving: false,
        },
        liveness: Liveness::Alive,
        digest: Digest::default(),
    };
    Arc::new(View {
        me: Incarnation(1),
        members: (0..members).map(member).collect(),
        unmet: Vec::new(),
    })
}

fn exchange(criterion: &mut Criterion) {
    let authenticator = Authenticator::new(b"a key of sixteen and more", "ryevalve update");
    let mut group = criterion.benchmark_group("exchange");
    for size in SIZES {
        let members = size.div_ceil(HALLS);
        let book = book(members);
        let id = |what: &str| BenchmarkId::new(what, size);
        group.bench_function(id("send a report"), |b| {
            let report = report(0);
            b.iter(|| update::encode(&authenticator, black_box(&report)));
        });
        group.bench_function(id("work out a summary"), |b| {
            b.iter(|| {
                let update = Update {
                    halls: vec![summary(&book)],
                    echoes: book.echoes(0),
                    ..Update::default()
                };
                update::encode(&authenticator, &update)
            });
        });
        group.bench_function(id("take a summary"), |b| {
            let sent = Update {
                halls: vec![summary(&book)],
                echoes: book.echoes(0),
                ..Update::default()
            };
            let bytes = update::encode(&authenticator, &sent);
            let mut halls = Halls::default();
            b.iter(|| {
                let update = update::decode(&authenticator, black_box(&bytes));
                let update = update.expect("an update");
                halls.apply_summary(0, &update.halls[0])
            });
        });
        group.bench_function(id("choose aggregators"), |b| {
            let view = view(size);
            let hall = Name::from("hall-0");
            let mut aggregators = Aggregators::default();
            aggregators.set_view(&view);
            b.iter(|| aggregators.of_hall(0, black_box(&hall), true));
        });
        group.bench_function(id("take a view"), |b| {
            let views = [view(size), view(size)];
            let mut aggregators = Aggregators::default();
            let mut turn = 0;
            b.iter(|| {
                turn += 1;
                aggregators.set_view(&views[turn % 2])
            });
        });
    }
    group.finish();
}

criterion_group!(benches, exchange);
criterion_main!(benches);
