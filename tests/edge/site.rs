//! Instances in this process among endpoints and a store, over real sockets, with callers that send them requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::{Value, json};
use standins::{platform::Platform, runner::Runner};
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{
    group::{Instance, Place, address, free_port, until},
    support::{CallerResponse, config, exchange, request},
};

const HALLS: [&str; 3] = ["a", "b", "c"];
/// An endpoint that ended is back after this time.
pub const RESTART_DELAY: Duration = Duration::from_millis(400);

/// How long after an evacuation its endpoints may be sent requests.
pub const EVACUATE: Duration = Duration::from_secs(2);

/// Endpoints, a store and instances of one deployment.
pub struct Site {
    pub platform: Arc<Platform>,
    pub runners: Arc<Vec<Runner>>,
    pub instances: Vec<Instance>,
    /// Where the instances take callers.
    pub callers: Vec<SocketAddr>,
    /// Instances that were lost; their addresses are not used again.
    lost: usize,
    port: u16,
    net: u8,
    /// Starts endpoints again that have ended.
    pub restarting: JoinHandle<()>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.restarting.abort();
    }
}

pub fn entry(addr: SocketAddr) -> Value {
    json!({"backend": "svc", "address": addr, "zone": "a", "version": "v1", "capacity": 4,
        "state": "ready", "warmupLeftMs": 0, "sequence": 1})
}

/// Starts endpoints that have ended again, at the same address under a new id.
async fn start_again(platform: Arc<Platform>, runners: Arc<Vec<Runner>>) {
    let mut starts = vec![0; runners.len()];
    loop {
        time::sleep(Duration::from_millis(10)).await;
        let ended = (0..runners.len()).find(|index| runners[*index].has_ended());
        let Some(index) = ended else { continue };
        time::sleep(RESTART_DELAY).await;
        platform.remove("servers", &format!("e{index}-{}", starts[index]));
        starts[index] += 1;
        let id = format!("e{index}-{}", starts[index]);
        runners[index].start_again(&id).await;
        platform.set("servers", &id, entry(runners[index].addr));
    }
}

impl Site {
    /// Starts endpoints and instances, and waits until the instances know each other.
    pub async fn start(net: u8, instances: usize, endpoints: usize) -> Self {
        let platform = Arc::new(Platform::start().await);
        platform.set("config", "main", config(3, &["key-of-the-tests"]));
        let mut runners = Vec::new();
        for index in 0..endpoints {
            let id = format!("e{index}-0");
            let runner = Runner::start(&id).await;
            runner.pace(Duration::from_millis(20));
            platform.set("servers", &id, entry(runner.addr));
            runners.push(runner);
        }
        let runners = Arc::new(runners);
        let restarting = tokio::spawn(start_again(platform.clone(), runners.clone()));
        let mut site = Self {
            platform,
            runners,
            instances: Vec::new(),
            callers: Vec::new(),
            lost: 0,
            port: free_port(net).await,
            net,
            restarting,
        };
        site.start_instances(instances).await;
        site
    }

    /// Starts instances that are to know each other.
    pub async fn start_instances(&mut self, instances: usize) {
        for _ in 0..instances {
            self.start_instance().await;
        }
        let site = self;
        let knows =
            |i: &Instance| i.gateway.instance_counts().heard == instances && i.gateway.is_ready();
        until("all to know each other", || {
            site.instances.iter().all(knows)
        })
        .await;
        // Whoever reported to others before does not any more.
        time::sleep(Duration::from_millis(300)).await;
    }

    /// Ends all instances as a kill does.
    pub fn kill_all(&mut self) {
        self.lost += self.instances.len();
        self.instances.clear();
        self.callers.clear();
    }

    /// Starts one more instance.
    pub async fn start_instance(&mut self) {
        let number = self.lost + self.instances.len();
        let seeds: Vec<SocketAddr> = (self.lost..self.lost + 3)
            .map(|n| SocketAddr::new(address(self.net, n), self.port))
            .collect();
        let place = Place {
            net: self.net,
            number,
            hall: HALLS[number % HALLS.len()],
            port: self.port,
            seeds: &seeds,
        };
        let mut instance = Instance::start(place).await;
        instance.follow(self.platform.addr());
        instance.follow_evacuations(self.platform.addr(), EVACUATE);
        instance.keep_block_list(self.platform.addr());
        let listener = TcpListener::bind((address(self.net, number), 0)).await;
        let listener = listener.expect("a port");
        self.callers
            .push(listener.local_addr().expect("an address"));
        instance.serve(listener);
        self.instances.push(instance);
    }

    /// Sends one try of some work to an instance.
    pub async fn call(&self, instance: usize, path: &str, id: &str, body: &str) -> CallerResponse {
        let mut request = request(path, id, &[]);
        *request.body_mut() = body.to_owned().into();
        let got = exchange(self.callers[instance], request).await;
        got.expect("an answer")
    }
}
