//! Measures the inputs of docs/CAPACITY.md: the size of configurations and their deltas by number of
//! organisations, and the cost of membership per node by number of instances.
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
    measure_configurations();
    measure_membership();
}

fn measure_configurations() {
    println!("organisations  endpoints  stored bytes  whole bytes  step bytes  step us  whole us");
    let base = config::parse(include_str!("../configs/broye.toml")).expect("no fault");
    for (organisations, endpoints) in [(5, 50), (450, 275), (900, 550), (1_800, 1_100)] {
        let config = scaled_config(&base, organisations, endpoints);
        let mut changed = config.clone();
        changed.organisations[2].weight = 2.5;
        let before = Versioned::from_config(1, config);
        let after = Versioned::from_config(2, changed);
        let mut stored = StoredConfig::default();
        stored.set(&after);
        let full_bytes = postcard::to_stdvec(&*after.objects).map_or(0, |b| b.len());
        let delta = before.delta_to(&after);
        let delta_bytes = postcard::to_stdvec(&delta).map_or(0, |b| b.len());
        let delta_us = median_us(|| drop(before.apply(&delta)));
        let full_us =
            median_us(|| drop(Versioned::from_objects(2, after.objects.as_ref().clone())));
        println!(
            "{organisations:>13}  {endpoints:>9}  {:>12}  {full_bytes:>11}  {delta_bytes:>10}  {delta_us:>7}  {full_us:>8}",
            stored.write().len()
        );
    }
}

fn scaled_config(base: &Config, organisations: usize, endpoints: usize) -> Config {
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

fn median_us(mut operation: impl FnMut()) -> u128 {
    let mut times: Vec<u128> = (0..9)
        .map(|_| {
            let started = Instant::now();
            operation();
            started.elapsed().as_micros()
        })
        .collect();
    times.sort_unstable();
    times[4]
}

/// Runs membership in virtual time with the real datagram encoding, and measures bytes and CPU time.
fn measure_membership() {
    const SETTLE_PERIODS: u64 = 150;
    const PERIODS: u64 = 100;
    println!("\ninstances  datagrams/s  sent bytes/s  cpu of a core  met after s");
    for count in [7_usize, 30, 100, 200, 390] {
        let key = Authenticator::new(b"capacity", "measure");
        let mut members: Vec<Membership> = (0..count).map(member).collect();
        let index_by_addr: HashMap<SocketAddr, usize> = (0..count).map(|n| (addr(n), n)).collect();
        let mut in_flight: Vec<Outgoing> = Vec::new();
        let (mut bytes, mut datagrams, mut started, mut converged_s) = (0, 0, Instant::now(), None);
        for period in 0..SETTLE_PERIODS + PERIODS {
            if period == SETTLE_PERIODS {
                (bytes, datagrams, started) = (0, 0, Instant::now());
            }
            let now_us = period * PERIOD_US;
            for member in &mut members {
                member.tick(now_us, &mut in_flight);
            }
            // Replies, and replies to those, arrive within the same period.
            for hop in 1..=4 {
                for mut outgoing in std::mem::take(&mut in_flight) {
                    let wire = datagram::encode(&key, &mut outgoing.packet);
                    bytes += wire.len();
                    datagrams += 1;
                    let packet = datagram::decode(&key, &wire).expect("own datagram");
                    if let Some(index) = index_by_addr.get(&outgoing.to) {
                        let _ = members[*index].receive(now_us + hop, packet, &mut in_flight);
                    }
                }
            }
            if converged_s.is_none() && members.iter().all(|m| m.view().present().count() == count)
            {
                converged_s = Some(period * PERIOD_US / 1_000_000);
            }
        }
        let seconds = (PERIODS * PERIOD_US) as f64 / 1e6;
        let instance_seconds = count as f64 * seconds;
        println!(
            "{count:>9}  {:>11.0}  {:>12.0}  {:>12.4}%  {:>11}",
            f64::from(datagrams) / instance_seconds,
            bytes as f64 / instance_seconds,
            started.elapsed().as_secs_f64() / instance_seconds * 100.0,
            converged_s.map_or("never".to_owned(), |s| s.to_string())
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
