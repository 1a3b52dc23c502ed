//! Instances whose links to all endpoints are cut, while callers, the store and the other instances reach them.
//!
//! Guards against callers of such instances being refused although the other instances reach endpoints with room.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use ryevalve::gateway::{caller_listener::ListenerStop, stop};
use serde_json::Value;
use standins::{
    platform::Platform,
    proxy::{Mode, Proxy},
    runner::Runner,
};
use tokio::{
    net::TcpListener,
    runtime::Handle,
    task::{JoinHandle, JoinSet},
    time,
};

use crate::{
    cluster::{Instance, InstanceSpec, address, free_port, until},
    support::{CallerResponse, config, entry, exchange, request},
};

const INSTANCES: usize = 7;
const ENDPOINTS: usize = 6;
const HALLS: [&str; 3] = ["a", "b", "c"];
/// From this time after a cut on, callers of instances that are cut off are served as the others are.
const DETECTION: Duration = Duration::from_secs(1);
/// How much less often first tries at instances that are cut off may be served.
const MAX_DIFFERENCE: f64 = 0.05;
/// Time between two requests to an instance.
const PACE: Duration = Duration::from_millis(50);

/// Endpoints and instances, with a link of its own between each instance and each endpoint.
pub struct LinkedSite {
    pub runners: Arc<Vec<Runner>>,
    pub instances: Vec<Instance>,
    pub callers: Vec<SocketAddr>,
    /// The links of each instance to the endpoints.
    pub links: Arc<Vec<Vec<Proxy>>>,
    /// The store as each instance sees it: endpoints have the addresses of the instance's links.
    pub stores: Vec<Platform>,
    /// Lets the links to an endpoint that has ended refuse connections.
    ending: JoinHandle<()>,
}

impl Drop for LinkedSite {
    fn drop(&mut self) {
        self.ending.abort();
    }
}

async fn end_links(runners: Arc<Vec<Runner>>, links: Arc<Vec<Vec<Proxy>>>) {
    loop {
        time::sleep(Duration::from_millis(5)).await;
        for (index, _) in runners.iter().enumerate().filter(|(_, r)| r.has_ended()) {
            for of_instance in links.iter() {
                of_instance[index].set(Mode::Refuse);
            }
        }
    }
}

impl LinkedSite {
    /// Starts endpoints and instances, and waits until the instances are ready and know each other.
    pub async fn start(net: u8, instances: usize, endpoints: usize) -> Self {
        let runtimes = vec![Handle::current(); instances];
        Self::start_on(net, &runtimes, endpoints).await
    }

    /// Like [`Self::start`], with an instance on each of these runtimes.
    pub async fn start_on(net: u8, runtimes: &[Handle], endpoints: usize) -> Self {
        let instances = runtimes.len();
        let mut runners = Vec::new();
        for index in 0..endpoints {
            let runner = Runner::start(&format!("e{index}")).await;
            runner.pace(Duration::from_millis(20));
            runners.push(runner);
        }
        let mut links = Vec::new();
        let mut stores = Vec::new();
        for _ in 0..instances {
            let (of_instance, store) = start_links(&runners).await;
            links.push(of_instance);
            stores.push(store);
        }
        let (runners, links) = (Arc::new(runners), Arc::new(links));
        let ending = tokio::spawn(end_links(runners.clone(), links.clone()));
        let mut site = Self {
            runners,
            instances: Vec::new(),
            callers: Vec::new(),
            links,
            stores,
            ending,
        };
        let port = free_port(net).await;
        for (number, runtime) in runtimes.iter().enumerate() {
            let store = site.stores[number].addr();
            let starting = runtime.spawn(start_instance(net, number, port, store));
            let (instance, callers) = starting.await.expect("no panic");
            site.instances.push(instance);
            site.callers.push(callers);
        }
        let is_joined =
            |i: &Instance| i.gateway.instance_counts().heard == instances && i.gateway.is_ready();
        until("all instances to be ready and to hear each other", || {
            site.instances.iter().all(is_joined)
        })
        .await;
        site
    }

    /// Sets the mode of all links of the first `count` instances.
    pub fn cut(&self, count: usize, mode: Mode) {
        for link in self.links[..count].iter().flatten() {
            link.set(mode);
        }
    }

    /// Sends requests to all instances at a steady pace for `lasts`; returns the share of requests served at the first
    /// try, of the first `cut` instances and of the others.
    pub async fn served_shares(&self, cut: usize, path: &str, lasts: Duration) -> (f64, f64) {
        let mut tries = JoinSet::new();
        let until = Instant::now() + lasts;
        let mut number = 0;
        while Instant::now() < until {
            for (instance, addr) in self.callers.iter().enumerate() {
                let id = format!("r-{path}-{instance}-{number}");
                let (addr, path) = (*addr, path.to_owned());
                tries.spawn(async move {
                    let response = exchange(addr, request(&path, &id, &[])).await;
                    let is_served =
                        response.is_some_and(|r| r.status == StatusCode::OK && r.is_whole);
                    (instance, is_served)
                });
            }
            number += 1;
            time::sleep(PACE).await;
        }
        let outcomes = tries.join_all().await;
        let share = |is_cut: bool| {
            let of_group = outcomes.iter().filter(|(i, _)| (*i < cut) == is_cut);
            let served: Vec<bool> = of_group.map(|(_, is_served)| *is_served).collect();
            served.iter().filter(|s| **s).count() as f64 / served.len() as f64
        };
        (share(true), share(false))
    }
}

/// Starts an instance, and returns it with its address for callers.
async fn start_instance(
    net: u8,
    number: usize,
    port: u16,
    store: SocketAddr,
) -> (Instance, SocketAddr) {
    let seeds = [0, 1, 2].map(|n| SocketAddr::new(address(net, n), port));
    let spec = InstanceSpec {
        net,
        number,
        hall: HALLS[number % HALLS.len()],
        port,
        seeds: &seeds,
    };
    let mut instance = Instance::start(spec).await;
    instance.follow(store);
    let listener = TcpListener::bind((address(net, number), 0)).await;
    let listener = listener.expect("a port");
    let callers = listener.local_addr().expect("an address");
    instance.serve(listener);
    (instance, callers)
}

/// Starts an instance's links to the endpoints, and the store as it sees it.
async fn start_links(runners: &[Runner]) -> (Vec<Proxy>, Platform) {
    let store = Platform::start().await;
    store.set("config", "main", config(3, &["key-of-the-tests"]));
    let mut links = Vec::new();
    for (index, runner) in runners.iter().enumerate() {
        let link = Proxy::start_at(([127, 1, 0, 2], 0).into(), runner.addr).await;
        store.set("servers", &format!("e{index}"), linked_entry(&link, index));
        links.push(link);
    }
    (links, store)
}

pub fn linked_entry(link: &Proxy, index: usize) -> Value {
    let mut spec = entry(link.addr, "ready");
    spec["zone"] = HALLS[index % HALLS.len()].into();
    spec
}

/// Cuts the links of some instances, and compares how often first tries are served from [`DETECTION`] on.
async fn serves_as_elsewhere(net: u8, cut: usize, mode: Mode) {
    let site = LinkedSite::start(net, INSTANCES, ENDPOINTS).await;
    for path in ["/again/w", "/once/w"] {
        site.served_shares(cut, path, Duration::from_secs(1)).await;
        site.cut(cut, mode);
        site.served_shares(cut, path, DETECTION).await;
        let (cut_off, others) = site.served_shares(cut, path, Duration::from_secs(2)).await;
        assert!(
            cut_off >= others - MAX_DIFFERENCE,
            "{path}: served {cut_off} of the first tries at {cut} instances that are cut off, {others} at the others"
        );
        site.cut(cut, Mode::Pass);
        time::sleep(DETECTION).await;
        let (cut_off, others) = site.served_shares(cut, path, Duration::from_secs(1)).await;
        assert!(
            cut_off >= others - MAX_DIFFERENCE,
            "{path}: after the cut {cut_off} of the first tries are served, {others} at the others"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_whose_connects_are_refused_serve_as_often_as_the_others() {
    serves_as_elsewhere(118, 3, Mode::Refuse).await;
}

/// Requests go out over connections that are open, for as long as there are any.
#[tokio::test(flavor = "multi_thread")]
async fn instances_whose_new_connects_are_refused_serve_as_often_as_the_others() {
    serves_as_elsewhere(119, 3, Mode::RefuseNew).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_whose_packets_to_endpoints_are_lost_serve_as_often_as_the_others() {
    serves_as_elsewhere(120, 3, Mode::Unreachable).await;
}

/// Most instances are cut off, all of two halls among them.
#[tokio::test(flavor = "multi_thread")]
async fn one_instance_that_reaches_endpoints_suffices_for_all() {
    serves_as_elsewhere(121, INSTANCES - 1, Mode::Unreachable).await;
}

fn tunnels_opened(site: &LinkedSite) -> u64 {
    let metrics = site.instances.iter().map(|i| &i.gateway.metrics);
    metrics.map(|m| m.tunnels_opened.get()).sum()
}

fn tunnels_failed(site: &LinkedSite) -> u64 {
    let metrics = site.instances.iter().map(|i| &i.gateway.metrics);
    metrics.map(|m| m.tunnels_failed.get()).sum()
}

/// Sends requests at a steady pace for `lasts`; returns their ids.
pub async fn send_requests(
    addrs: &[SocketAddr],
    path: &'static str,
    lasts: Duration,
) -> Vec<String> {
    let mut sending = JoinSet::new();
    let until = Instant::now() + lasts;
    let mut number = 0;
    while Instant::now() < until {
        for addr in addrs.iter().copied() {
            let id = format!("{path}-{}-{number}", addr.port());
            sending.spawn(async move {
                exchange(addr, request(path, &id, &[])).await;
                id
            });
        }
        number += 1;
        time::sleep(Duration::from_millis(20)).await;
    }
    sending.join_all().await
}

/// An endpoint that is down fails connects of all instances, and others are reached meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_are_down_open_no_tunnels() {
    let site = LinkedSite::start(122, 4, 8).await;
    for runner in &site.runners[..2] {
        runner.end();
    }
    site.served_shares(0, "/again/w", Duration::from_secs(2))
        .await;
    let (_, served) = site
        .served_shares(0, "/once/w", Duration::from_secs(1))
        .await;
    assert!(served >= 0.95, "served {served}");
    assert_eq!((tunnels_opened(&site), tunnels_failed(&site)), (0, 0));
}

/// Without an endpoint that anybody reaches there is nothing to be gained by asking others.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_soon_while_no_instance_reaches_an_endpoint() {
    let site = LinkedSite::start(123, 4, 6).await;
    site.cut(4, Mode::Unreachable);
    send_requests(&site.callers, "/again/w", DETECTION).await;
    let began = Instant::now();
    let response = exchange(site.callers[0], request("/again/w", "late", &[])).await;
    let response = response.expect("an answer");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
    site.cut(4, Mode::Pass);
    time::sleep(DETECTION).await;
    let (_, served) = site
        .served_shares(0, "/again/w", Duration::from_secs(1))
        .await;
    assert!(served >= 0.95, "served {served} after the cut");
}

/// Requests are sent to the endpoints that accept any; those that limit their rate are not tried.
#[tokio::test(flavor = "multi_thread")]
async fn cut_is_found_where_few_endpoints_accept_requests() {
    let site = LinkedSite::start(135, 4, 6).await;
    for runner in &site.runners[2..] {
        runner.announce_limit(Some("0"));
    }
    send_requests(&site.callers, "/again/w", Duration::from_secs(2)).await;
    site.cut(1, Mode::Unreachable);
    send_requests(&site.callers[..1], "/again/x", DETECTION).await;
    let (cut_off, others) = site
        .served_shares(1, "/again/w", Duration::from_secs(1))
        .await;
    assert!(cut_off >= others - MAX_DIFFERENCE, "{cut_off}, {others}");
}

/// After the cut connections lead directly to endpoints again.
#[tokio::test(flavor = "multi_thread")]
async fn no_tunnel_is_opened_after_the_end_of_a_cut() {
    let site = LinkedSite::start(124, 4, 6).await;
    site.cut(2, Mode::Refuse);
    send_requests(&site.callers, "/once/w", DETECTION).await;
    assert!(tunnels_opened(&site) > 0);
    site.cut(2, Mode::Pass);
    time::sleep(DETECTION).await;
    let before = tunnels_opened(&site);
    send_requests(&site.callers, "/once/w", Duration::from_secs(1)).await;
    assert_eq!(tunnels_opened(&site), before);
    let carried = site.instances.iter().map(|i| i.gateway.carried.open());
    assert_eq!(carried.sum::<usize>(), 0, "no tunnel is left open");
}

/// Addresses behind a cut refuse connections, as those of crashed endpoints do.
#[tokio::test(flavor = "multi_thread")]
async fn requests_lost_in_a_cut_are_not_taken_for_those_that_crash_endpoints() {
    let site = LinkedSite::start(125, 4, 6).await;
    for runner in site.runners.iter() {
        runner.pace(Duration::from_millis(200));
    }
    let callers = site.callers[..2].to_vec();
    let sending =
        tokio::spawn(
            async move { send_requests(&callers, "/once/w", Duration::from_secs(1)).await },
        );
    time::sleep(Duration::from_millis(500)).await;
    site.cut(2, Mode::Refuse);
    sending.await.expect("no panic");
    time::sleep(Duration::from_secs(1)).await;
    for instance in &site.instances {
        assert!(instance.gateway.suspects().is_empty());
    }
}

/// Without further requests nothing but the probes for a crash shows that all links are cut.
#[tokio::test(flavor = "multi_thread")]
async fn single_request_lost_in_a_cut_is_not_taken_for_one_that_crashes_its_endpoint() {
    let site = LinkedSite::start(136, 3, 6).await;
    for runner in site.runners.iter() {
        runner.pace(Duration::from_millis(500));
    }
    let calling = tokio::spawn(exchange(site.callers[0], request("/once/w", "lost", &[])));
    time::sleep(Duration::from_millis(200)).await;
    site.cut(1, Mode::Refuse);
    calling.await.expect("no panic");
    time::sleep(Duration::from_millis(1_500)).await;
    assert!(site.instances[0].gateway.suspects().is_empty());
}

/// The probes for a crash go the way of the request.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_crashes_under_a_request_of_a_cut_off_instance_is_noticed() {
    let site = LinkedSite::start(126, 4, 6).await;
    site.cut(1, Mode::Unreachable);
    send_requests(&site.callers[..1], "/again/w", DETECTION).await;
    for runner in site.runners.iter() {
        runner.crash_on(b"a prompt");
    }
    exchange(site.callers[0], request("/once/w", "deadly", &[])).await;
    until("the crash to be recorded", || {
        !site.instances[0].gateway.suspects().is_empty()
    })
    .await;
}

/// The endpoint sees the address of the instance that carried the request, so it speaks to that one.
#[tokio::test(flavor = "multi_thread")]
async fn back_off_and_leave_asked_through_a_tunnel_bind_the_carrier() {
    let site = LinkedSite::start(127, 2, 6).await;
    site.cut(1, Mode::Refuse);
    send_requests(&site.callers[..1], "/again/w", DETECTION).await;
    site.runners[0].announce_leaving(Some("1"));
    for runner in &site.runners[1..] {
        runner.set_retry_after(Some("5"));
    }
    for number in 0..20 {
        let call = request("/again/w", &format!("r-{number}"), &[]);
        exchange(site.callers[0], call).await;
    }
    until("the carrier to heed the endpoints", || {
        let balancer = site.instances[1].gateway.balancer();
        balancer.back_offs().len() == 5 && balancer.announcements().leaving() == 1
    })
    .await;
}

/// An instance that carries tunnels is killed again and again while requests that run once only go through it.
#[tokio::test(flavor = "multi_thread")]
async fn kill_of_a_carrier_runs_no_request_twice_and_others_carry_on() {
    let mut site = LinkedSite::start(128, INSTANCES, ENDPOINTS).await;
    for runner in site.runners.iter() {
        runner.pace(Duration::from_millis(100));
    }
    site.cut(3, Mode::Unreachable);
    send_requests(&site.callers[..3], "/again/w", DETECTION).await;
    let callers = site.callers[..3].to_vec();
    let sending =
        tokio::spawn(
            async move { send_requests(&callers, "/once/w", Duration::from_secs(3)).await },
        );
    for carrier in [6, 5] {
        time::sleep(Duration::from_millis(800)).await;
        site.instances[carrier].stop();
    }
    let ids = sending.await.expect("no panic");
    for id in &ids {
        let runs: usize = site.runners.iter().map(|r| r.runs(id)).sum();
        assert!(runs <= 1, "{id} ran {runs} times");
    }
    site.instances.truncate(5);
    site.callers.truncate(5);
    let (cut_off, others) = site
        .served_shares(3, "/again/w", Duration::from_secs(1))
        .await;
    assert!(cut_off >= others - MAX_DIFFERENCE, "{cut_off}, {others}");
}

/// Callers of the instance that is cut off go on sending over open connections while its carrier stops.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_a_carrier_cuts_off_no_request() {
    let mut site = LinkedSite::start(129, 3, ENDPOINTS).await;
    site.cut(1, Mode::Unreachable);
    send_requests(&site.callers[..1], "/again/w", DETECTION).await;
    // Streams last for longer than an instance goes on taking callers once it is to stop.
    for runner in site.runners.iter() {
        runner.pace(Duration::from_millis(350));
    }
    let addr = site.callers[0];
    let mut streams = JoinSet::new();
    for number in 0..12 {
        let call = request("/fixed/stream", &format!("f-{number}"), &[]);
        streams.spawn(async move { exchange(addr, call).await });
    }
    time::sleep(Duration::from_millis(400)).await;
    let carried = |site: &LinkedSite, i: usize| site.instances[i].gateway.carried.open();
    let carrier = if carried(&site, 1) > carried(&site, 2) {
        1
    } else {
        2
    };
    assert!(carried(&site, carrier) > 0);
    let callers = site.callers[..1].to_vec();
    let sending =
        tokio::spawn(
            async move { send_requests(&callers, "/again/x", Duration::from_secs(5)).await },
        );
    let serving = tokio::spawn(async {});
    let stopping = stop::stop(
        &site.instances[carrier].gateway,
        ListenerStop::default(),
        serving,
        Duration::from_secs(6),
    );
    assert!(stopping.await, "all is answered");
    site.instances[carrier].stop();
    let answers = streams.join_all().await;
    let is_whole = |a: &Option<CallerResponse>| a.as_ref().is_some_and(|a| a.is_whole);
    assert_eq!(answers.iter().filter(|a| is_whole(a)).count(), 12);
    let ids = sending.await.expect("no panic");
    let is_lost = |id: &&String| {
        let mut runners = site.runners.iter();
        let ran = runners.clone().any(|r| r.runs(id) > 0);
        ran && !runners.any(|r| r.has_finished(id))
    };
    let lost = ids.iter().filter(is_lost).count();
    assert_eq!(lost, 0, "of {} requests", ids.len());
}

/// A caller that leaves must not keep an endpoint at work, whatever lies between.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_ends_its_stream_at_the_endpoint_through_a_tunnel() {
    let site = LinkedSite::start(130, 3, ENDPOINTS).await;
    site.cut(1, Mode::Unreachable);
    send_requests(&site.callers[..1], "/again/w", DETECTION).await;
    for runner in site.runners.iter() {
        runner.pace(Duration::from_millis(100));
        runner.long_responses(100, 0);
    }
    let calling = exchange(site.callers[0], request("/fixed/stream", "gone", &[]));
    let left = time::timeout(Duration::from_millis(500), calling).await;
    assert!(left.is_err(), "the stream lasts for longer");
    time::sleep(Duration::from_millis(500)).await;
    let open = site.instances.iter().map(|i| i.gateway.carried.open());
    let idle = site.instances[0].gateway.connections.idle_count();
    assert!(open.sum::<usize>() <= idle, "the stream's tunnel is closed");
}

/// An endpoint that gives no answer for a second and goes on is used again at once: it is as fast as before.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_was_silent_for_a_second_is_not_avoided_for_seconds() {
    let site = LinkedSite::start(133, 2, 3).await;
    send_requests(&site.callers, "/once/w", Duration::from_secs(1)).await;
    let set_silent = |mode: Mode| {
        for links in site.links.iter() {
            links[0].set(mode);
        }
    };
    set_silent(Mode::Unreachable);
    send_requests(&site.callers, "/again/w", Duration::from_secs(1)).await;
    set_silent(Mode::Pass);
    time::sleep(Duration::from_millis(800)).await;
    let before = site.runners[0].seen().len();
    let sent = send_requests(&site.callers, "/again/x", Duration::from_secs(1)).await;
    let share = (site.runners[0].seen().len() - before) as f64 / sent.len() as f64;
    assert!(
        share >= 0.2,
        "the endpoint gets {share} of the requests of three"
    );
    assert_eq!(tunnels_opened(&site), 0);
}

/// Requests wait on connections that have fallen silent, so no connect is made that could fail.
#[tokio::test(flavor = "multi_thread")]
async fn cut_is_found_while_requests_wait_on_silent_connections() {
    let site = LinkedSite::start(134, 4, ENDPOINTS).await;
    let burst = |name: &'static str, count: usize| {
        let addr = site.callers[0];
        let calls = (0..count).map(move |number| {
            let id = format!("{name}-{number}");
            async move {
                let began = Instant::now();
                let response = exchange(addr, request("/again/w", &id, &[])).await;
                let is_served = response.is_some_and(|r| r.status == StatusCode::OK);
                (is_served, began.elapsed())
            }
        });
        futures::future::join_all(calls)
    };
    burst("warm", 24).await;
    site.cut(1, Mode::Unreachable);
    let waiting = tokio::spawn(burst("waiting", 2));
    time::sleep(DETECTION).await;
    for (is_served, took) in burst("later", 6).await {
        assert!(is_served);
        assert!(took < Duration::from_millis(300), "{took:?}");
    }
    waiting.await.expect("no panic");
}
