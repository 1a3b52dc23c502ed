//! Instances of a large group tell each other through aggregators, over real sockets.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use ryevalve::{
    balance::{balancer::Placement, cost::Ask, discovery::EndpointEntry, load::EndpointKey},
    gateway::{
        aggregators::Aggregators,
        exchange::{Exchange, ExchangePlace},
        state::{Gateway, GatewayBounds},
    },
    limits::{
        organisation::{Sharers, Tolerance},
        retries::RetryBounds,
    },
    peers::{datagram::MemberInfo, gossip::Gossip, membership::Membership, rpc::SealedCodec},
    platform::headers::PlatformProtocol,
    prelude::{Incarnation, Name},
};
use tokio::{net::UdpSocket, task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

const HALLS: [&str; 3] = ["a", "b", "c"];
const IN_HALL: usize = 6;
const ALL: usize = HALLS.len() * IN_HALL;
const KEY: &[u8] = b"a key of sixteen and more";
const PATIENCE: Duration = Duration::from_secs(20);
const BOUNDS: GatewayBounds = GatewayBounds {
    revoke_us: 5_000_000,
    is_revocation_strict: true,
    retries: RetryBounds {
        ratio: 0.2,
        slack: 50.0,
        window_us: 10_000_000,
    },
    tolerance: Tolerance {
        window_s: 8.0,
        overage: 0.1,
        slack: 1_000.0,
    },
};

struct Instance {
    hall: Name,
    gateway: Arc<Gateway<PlatformProtocol>>,
    gossip: Arc<Gossip>,
    tasks: Vec<JoinHandle<()>>,
}

impl Instance {
    async fn start(number: usize, port: u16, seeds: &[SocketAddr]) -> Self {
        let hall = Name::from(HALLS[number % HALLS.len()]);
        let gateway = Arc::new(Gateway::new(PlatformProtocol, hall.clone(), BOUNDS, true));
        let control = SocketAddr::new(address(number), port);
        let me = MemberInfo {
            name: format!("i{number}").into(),
            incarnation: Incarnation(number as u64 + 1),
            peer_addr: control,
            hall: hall.clone(),
            data_centre: "one".into(),
            beat: 1,
            leaving: false,
        };
        let membership = Membership::new(me.clone(), seeds.to_vec(), number as u64);
        let gossip = Gossip::bind(control, membership, KEY, gateway.clock).await;
        let gossip = Arc::new(gossip.expect("a socket"));
        let told = SocketAddr::new(control.ip(), port + 1);
        let socket = UdpSocket::bind(told).await.expect("a socket");
        let codec = SealedCodec::new(KEY, Arc::default());
        let place = ExchangePlace {
            me,
            seeds: seeds.to_vec(),
            link_bytes_per_s: 1_250_000.0,
        };
        let exchange = Exchange::new(gateway.clone(), gossip.clone(), socket, KEY, codec, place);
        let exchange = Arc::new(exchange.expect("an exchange"));
        let probing = gossip.clone();
        let tasks = vec![
            tokio::spawn(async move { probing.run(CancellationToken::new()).await }),
            tokio::spawn(exchange.run()),
        ];
        gateway.balancer().endpoint_seen(endpoint(), 1);
        Self {
            hall,
            gateway,
            gossip,
            tasks,
        }
    }

    fn stop(&mut self) {
        for task in self.tasks.drain(..) {
            task.abort();
        }
    }

    /// Returns the requests that are believed to be at the endpoint.
    fn believed(&self) -> f64 {
        let now_us = self.gateway.clock.now_us();
        let balancer = self.gateway.balancer();
        let picture = balancer.picture();
        let (service, hall) = ("plain".into(), "a".into());
        picture
            .believed(now_us, key(), &service, &hall, true)
            .requests
    }

    fn send_one(&self) {
        let now_us = self.gateway.clock.now_us();
        let ask = Ask {
            service: "plain".into(),
            is_stream: false,
            prompt_tokens: 0,
            chains: Vec::new(),
            output_events: 1.0,
            target_us: 10_000_000,
            arrived_us: now_us,
            waited_us: 0,
            deadline_us: now_us + 10_000_000,
            rank: 0,
            other_hall_cost: 0.0,
            draw: 7,
        };
        let placed = self.gateway.balancer().place(now_us, &ask, &[]);
        assert!(matches!(placed, Placement::Send(_)), "{placed:?}");
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop();
    }
}

fn address(number: usize) -> IpAddr {
    IpAddr::from([127, 0, 7, number as u8 + 1])
}

fn key() -> EndpointKey {
    EndpointKey::of("one")
}

fn endpoint() -> EndpointEntry {
    EndpointEntry {
        id: "one".into(),
        service: "plain".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        hall: "a".into(),
        slots: 100,
        draining: false,
        warmup_left_ms: 0,
    }
}

/// Returns a port that is free, with the one after it, on the first instance's address.
async fn free_port() -> u16 {
    loop {
        let first = UdpSocket::bind((address(0), 0)).await.expect("a port");
        let port = first.local_addr().expect("an address").port();
        if port < u16::MAX && UdpSocket::bind((address(0), port + 1)).await.is_ok() {
            return port;
        }
    }
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let started = time::Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "waited in vain for {what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_group_hears_of_all_requests_and_outlives_its_aggregators() {
    let port = free_port().await;
    let seeds: Vec<SocketAddr> = (0..3).map(|n| SocketAddr::new(address(n), port)).collect();
    let mut all = Vec::new();
    for number in 0..ALL {
        all.push(Instance::start(number, port, &seeds).await);
    }
    let heard = |all: &[Instance], heard: usize| {
        let expected = Sharers { all: ALL, heard };
        all.iter().all(|i| i.gateway.sharers() == expected)
    };
    until("all to hear of all", || heard(&all, ALL)).await;
    all[0].send_one();
    until("all to know of a request", || {
        all.iter().all(|i| i.believed() == 1.0)
    })
    .await;
    all[1].send_one();
    until("all to know of both", || {
        all.iter().all(|i| i.believed() == 2.0)
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
    let before = of_hall.believed();
    of_hall.send_one();
    until("all to know of its request", || {
        kept.iter().all(|i| i.believed() == before + 1.0)
    })
    .await;
}
