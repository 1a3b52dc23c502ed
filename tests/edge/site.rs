//! A deployment in the test process: instances, endpoints and a store, connected by real sockets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::{Value, json};
use standins::{platform::Platform, runner::Runner};
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{
    cluster::{Instance, InstanceSpec, address, free_port, until},
    support::{CallerResponse, config, exchange, request},
};

const HALLS: [&str; 3] = ["a", "b", "c"];
/// Delay after which an endpoint that crashed is started again.
pub const RESTART_DELAY: Duration = Duration::from_millis(400);

/// How long endpoints may be sent requests after the evacuation of their data centre.
pub const EVACUATE: Duration = Duration::from_secs(2);

/// The endpoints, store and instances of one deployment.
pub struct Site {
    pub platform: Arc<Platform>,
    pub runners: Arc<Vec<Runner>>,
    pub instances: Vec<Instance>,
    /// The addresses at which the instances accept callers, by instance.
    pub callers: Vec<SocketAddr>,
    /// Number of instances that were killed; their addresses are not reused.
    killed: usize,
    port: u16,
    net: u8,
    /// The task that restarts crashed endpoints.
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

/// Restarts crashed endpoints, at the same address under a new id.
async fn restart_endpoints(platform: Arc<Platform>, runners: Arc<Vec<Runner>>) {
    let mut starts = vec![0; runners.len()];
    loop {
        time::sleep(Duration::from_millis(10)).await;
        let crashed = (0..runners.len()).find(|index| runners[*index].has_ended());
        let Some(index) = crashed else { continue };
        time::sleep(RESTART_DELAY).await;
        platform.remove("servers", &format!("e{index}-{}", starts[index]));
        starts[index] += 1;
        let id = format!("e{index}-{}", starts[index]);
        runners[index].restart(&id).await;
        platform.set("servers", &id, entry(runners[index].addr));
    }
}

impl Site {
    /// Starts endpoints and instances, and waits until the instances have received each other's reports.
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
        let restarting = tokio::spawn(restart_endpoints(platform.clone(), runners.clone()));
        let mut site = Self {
            platform,
            runners,
            instances: Vec::new(),
            callers: Vec::new(),
            killed: 0,
            port: free_port(net).await,
            net,
            restarting,
        };
        site.start_instances(instances).await;
        site
    }

    /// Starts instances, and waits until they have received each other's reports and are ready.
    pub async fn start_instances(&mut self, instances: usize) {
        for _ in 0..instances {
            self.start_instance().await;
        }
        self.until_joined().await;
    }

    /// Waits until all instances have received each other's reports and are ready.
    pub async fn until_joined(&self) {
        let instances = self.instances.len();
        let is_joined =
            |i: &Instance| i.gateway.instance_counts().heard == instances && i.gateway.is_ready();
        until("all instances to receive reports of each other", || {
            self.instances.iter().all(is_joined)
        })
        .await;
        // Instances may report to other aggregators than at first; this lets the former ones stop.
        time::sleep(Duration::from_millis(300)).await;
    }

    /// Gives the endpoints so many slots, and waits until all instances know.
    pub async fn set_slots(&self, slots: u32) {
        let id = |index: usize| format!("e{index}-0");
        for (index, runner) in self.runners.iter().enumerate() {
            let mut spec = entry(runner.addr);
            spec["capacity"] = slots.into();
            self.platform.set("servers", &id(index), spec);
        }
        until("the slots to be known", || {
            self.instances.iter().all(|instance| {
                let balancer = instance.gateway.balancer();
                (0..self.runners.len()).all(|index| {
                    let key = balancer.key_of(&id(index));
                    let entry = key.and_then(|key| balancer.entry(key));
                    entry.is_some_and(|e| e.slots == slots)
                })
            })
        })
        .await;
    }

    /// Stops all instances abruptly, as a kill does.
    pub fn kill_all(&mut self) {
        self.killed += self.instances.len();
        self.instances.clear();
        self.callers.clear();
    }

    /// Stops the instance that was started first, as a kill does. Its address is not reused.
    pub fn kill_first(&mut self) {
        self.killed += 1;
        self.instances.remove(0);
        self.callers.remove(0);
    }

    /// Stops all instances of a data centre abruptly. No further ones can be started.
    pub fn kill_data_centre(&mut self, hall: &str) {
        let is_lost: Vec<bool> = self.instances.iter().map(|i| *i.hall == *hall).collect();
        let mut lost = is_lost.iter();
        self.instances.retain(|_| lost.next() == Some(&false));
        let mut lost = is_lost.iter();
        self.callers.retain(|_| lost.next() == Some(&false));
    }

    /// Starts one more instance.
    pub async fn start_instance(&mut self) {
        let store = self.platform.addr();
        self.start_instance_with_origins_at(store).await;
    }

    /// Starts one more instance, which keeps the versions of services and the origins of streams in another store.
    pub async fn start_instance_with_origins_at(&mut self, store: SocketAddr) {
        let number = self.killed + self.instances.len();
        let seeds: Vec<SocketAddr> = (self.killed..self.killed + 3)
            .map(|n| SocketAddr::new(address(self.net, n), self.port))
            .collect();
        let place = InstanceSpec {
            net: self.net,
            number,
            hall: HALLS[number % HALLS.len()],
            port: self.port,
            seeds: &seeds,
        };
        let mut instance = Instance::start(place).await;
        instance.follow(self.platform.addr());
        instance.follow_evacuations(self.platform.addr(), EVACUATE);
        instance.sync_block_list(self.platform.addr());
        instance.sync_origins(store, self.killed == 0);
        let listener = TcpListener::bind((address(self.net, number), 0)).await;
        let listener = listener.expect("a port");
        self.callers
            .push(listener.local_addr().expect("an address"));
        instance.serve(listener);
        self.instances.push(instance);
    }

    /// Lets all instances serve copies of their endpoints and configuration to each other.
    pub async fn serve_copies(&mut self) {
        let killed = self.killed;
        for (index, instance) in self.instances.iter_mut().enumerate() {
            let addr = (address(self.net, killed + index), self.port);
            let listener = TcpListener::bind(addr).await;
            instance.serve_copies(listener.expect("a port"));
        }
    }

    /// Sends a request to an instance, and returns its response.
    pub async fn call(&self, instance: usize, path: &str, id: &str, body: &str) -> CallerResponse {
        let mut request = request(path, id, &[]);
        *request.body_mut() = body.to_owned().into();
        let response = exchange(self.callers[instance], request).await;
        response.expect("an answer")
    }
}
