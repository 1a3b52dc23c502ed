//! Measures what docs/CAPACITY.md is worked out from: sizes of configurations and steps, and what
//! membership costs a node, against the number of organisations and of instances.
//!
//!     cargo run --release --example capacity

use std::{collections::HashMap, net::SocketAddr, time::Instant};

use ryevalve::{
    config::{
        self, Config, Versioned,
        model::{Endpoint, Organisation},
    },
    distribution::StoredConfig,
    peers::{
        datagram::{self, Authenticator, MemberInfo},
        membership::{Membership, Outgoing, PERIOD_US},
    },
    prelude::Incarnation,
};

fn main() {
    configurations();
    membership();
}

fn configurations() {
    println!("organisations  endpoints  stored bytes  whole bytes  step bytes  step us  whole us");
    let base = config::parse(include_str!("../configs/broye.toml")).expect("no fault");
    for (organisations, endpoints) in [(5, 50), (450, 275), (900, 550), (1_800, 1_100)] {
        let config = grown(&base, organisations, endpoints);
        let mut changed = config.clone();
        changed.organisations[2].weight = 2.5;
        let one = Versioned::from_config(1, config);
        let two = Versioned::from_config(2, changed);
        let mut stored = StoredConfig::default();
        stored.set(&two);
        let whole = postcard::to_stdvec(&*two.objects).map_or(0, |b| b.len());
        let step = one.delta_to(&two);
        let bytes = postcard::to_stdvec(&step).map_or(0, |b| b.len());
        let step_us = time_us(|| drop(one.apply(&step)));
        let whole_us = time_us(|| drop(Versioned::from_objects(2, two.objects.as_ref().clone())));
        println!(
            "{organisations:>13}  {endpoints:>9}  {:>12}  {whole:>11}  {bytes:>10}  {step_us:>7}  {whole_us:>8}",
            stored.write().len()
        );
    }
}

fn grown(base: &Config, organisations: usize, endpoints: usize) -> Config {
    let mut config = base.clone();
    config.organisations = (0..organisations)
        .map(|n| Organisation {
            name: format!("organisation-{n:04}").into(),
            key_sha256: vec![format!("{n:064x}")],
            ..base.organisations[0].clone()
        })
        .collect();
    config.endpoints = (0..endpoints)
        .map(|n| Endpoint {
            name: format!("agent-{n:04}").into(),
            addr: format!("10.1.{}.{}:8000", n / 250, n % 250),
            ..base.endpoints[n % 40].clone()
        })
        .collect();
    config
}

fn time_us(mut work: impl FnMut()) -> u128 {
    let mut times: Vec<u128> = (0..9)
        .map(|_| {
            let began = Instant::now();
            work();
            began.elapsed().as_micros()
        })
        .collect();
    times.sort_unstable();
    times[4]
}

/// Runs membership in virtual time, with the real encoding; counts bytes and processor time.
fn membership() {
    const SETTLE_PERIODS: u64 = 150;
    const PERIODS: u64 = 100;
    println!("\ninstances  datagrams/s  sent bytes/s  cpu of a core  met after s");
    for count in [7_usize, 30, 100, 200, 390] {
        let key = Authenticator::new(b"capacity", "measure");
        let mut members: Vec<Membership> = (0..count).map(member).collect();
        let places: HashMap<SocketAddr, usize> = (0..count).map(|n| (addr(n), n)).collect();
        let mut flying: Vec<Outgoing> = Vec::new();
        let (mut bytes, mut datagrams, mut began, mut met) = (0, 0, Instant::now(), None);
        for period in 0..SETTLE_PERIODS + PERIODS {
            if period == SETTLE_PERIODS {
                (bytes, datagrams, began) = (0, 0, Instant::now());
            }
            let now_us = period * PERIOD_US;
            for member in &mut members {
                member.tick(now_us, &mut flying);
            }
            // Answers, and answers to those, come within the period.
            for hop in 1..=4 {
                for mut outgoing in std::mem::take(&mut flying) {
                    let wire = datagram::encode(&key, &mut outgoing.packet);
                    bytes += wire.len();
                    datagrams += 1;
                    let packet = datagram::decode(&key, &wire).expect("own datagram");
                    if let Some(place) = places.get(&outgoing.to) {
                        let _ = members[*place].receive(now_us + hop, packet, &mut flying);
                    }
                }
            }
            if met.is_none() && members.iter().all(|m| m.view().present().count() == count) {
                met = Some(period * PERIOD_US / 1_000_000);
            }
        }
        let seconds = (PERIODS * PERIOD_US) as f64 / 1e6;
        let each = count as f64 * seconds;
        println!(
            "{count:>9}  {:>11.0}  {:>12.0}  {:>12.4}%  {:>11}",
            f64::from(datagrams) / each,
            bytes as f64 / each,
            began.elapsed().as_secs_f64() / each * 100.0,
            met.map_or("never".to_owned(), |s| s.to_string())
        );
    }
}

fn addr(n: usize) -> SocketAddr {
    ([127, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7_003).into()
}

fn member(n: usize) -> Membership {
    let info = MemberInfo {
        name: format!("instance-{n:03}").into(),
        incarnation: Incarnation(n as u64 + 1),
        peer_addr: addr(n),
        hall: "hall".into(),
        data_centre: "centre".into(),
        beat: 1,
        leaving: false,
    };
    Membership::new(info, vec![addr(0), addr(1)], n as u64)
}
