//! One decision on an organisation's share, and one level, against the number of organisations and endpoints.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ryevalve::{
    prelude::{Incarnation, Name},
    shares::{
        admission::{Ask, Shares},
        picture::sum_reports,
        room::Slots,
    },
};

const ORGANISATIONS: usize = 1_800;
const ENDPOINTS: [usize; 2] = [90, 1_100];
const SLOTS: f64 = 7.0;
const OTHER_INSTANCES: usize = 11;
/// Requests are this far apart, in microseconds: 1,000 a second.
const APART_US: u64 = 1_000;

fn configured(names: &[Name]) -> Shares {
    let mut shares = Shares::default();
    let organisations = names.iter().map(|name| (&**name, None));
    shares.configure(organisations, |_| true, 1);
    shares
}

fn ask<'a>(service: &'a Name, organisation: &'a str, number: usize) -> Ask<'a> {
    Ask {
        service,
        organisation: Some(organisation),
        engine_us: Some(2e8),
        rank: (number % 3) as u8,
        waited_us: 0,
        target_us: 800_000,
        left_us: 12_000_000,
        draw: 0.5,
    }
}

fn shares(c: &mut Criterion) {
    let names: Vec<Name> = (0..ORGANISATIONS)
        .map(|n| format!("organisation-{n}").into())
        .collect();
    let service: Name = "model".into();
    let mut benches = c.benchmark_group("shares");
    for endpoints in ENDPOINTS {
        let slots = Slots {
            all: SLOTS * endpoints as f64,
            free: 0.0,
        };
        let mut shares = configured(&names);
        let (mut number, mut now_us) = (0, 0);
        // A shortage of some seconds, with organisations of different size.
        for _ in 0..5_000 {
            number += 1;
            now_us += APART_US;
            let ask = ask(&service, &names[number * number % ORGANISATIONS], number);
            if shares.admit(now_us, &ask).is_ok() {
                shares.note_unplaced(now_us, &ask);
            }
            if number.is_multiple_of(40) {
                shares.refresh(now_us, |_| slots);
            }
        }
        let reports = shares.reports(now_us);
        for instance in 0..OTHER_INSTANCES {
            let from = Incarnation(instance as u64 + 1);
            shares.apply_reports(now_us, from, &sum_reports(reports.iter()), &[]);
        }
        shares.refresh(now_us, |_| slots);
        benches.bench_function(BenchmarkId::new("admit", endpoints), |b| {
            b.iter(|| {
                number += 1;
                now_us += APART_US;
                let ask = ask(&service, &names[number * number % ORGANISATIONS], number);
                shares.admit(now_us, &ask).is_ok()
            });
        });
        benches.bench_function(BenchmarkId::new("refresh", endpoints), |b| {
            b.iter(|| shares.refresh(now_us, |_| slots));
        });
    }
    benches.finish();
}

criterion_group!(benches, shares);
criterion_main!(benches);
