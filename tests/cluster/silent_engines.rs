//! Sound engines and services that are silent for a second and go on, alone and beside orders, stops and changes.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use standins::proxy::{Mode, Proxy};
use tokio::{
    task::{JoinHandle, JoinSet},
    time,
};

use crate::support::*;

/// For how long endpoints are silent.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Part of a request that is done when its endpoint falls silent.
const LEAD: Duration = Duration::from_millis(300);
/// By how much an answer may be late at its caller.
const LATENESS: Duration = Duration::from_millis(500);

/// A cluster with a link to each endpoint that can be silent.
struct LinkedCluster {
    cluster: Cluster,
    options: ClusterOptions,
    engines: Vec<Proxy>,
    plain: Proxy,
}

impl LinkedCluster {
    async fn start(options: ClusterOptions) -> Self {
        let cluster = Cluster::start(options.clone()).await;
        let mut engines = Vec::new();
        for engine in &cluster.engines {
            engines.push(Proxy::start(engine.addr()).await);
        }
        let plain = Proxy::start(cluster.plain.addr()).await;
        let linked = Self {
            cluster,
            options,
            engines,
            plain,
        };
        linked.put_config(2, &linked.toml()).await;
        linked
    }

    /// Returns the configuration, with the addresses of the links.
    fn toml(&self) -> String {
        let toml = self.cluster.toml(&self.options);
        let engines = self.cluster.engines.iter().map(|e| e.addr());
        let plain = self.cluster.plain.addr();
        let links = self.engines.iter().chain([&self.plain]);
        let moved = engines.chain([plain]).zip(links);
        moved.fold(toml, |toml, (addr, link)| {
            toml.replace(&format!("\"{addr}\""), &format!("\"{}\"", link.addr))
        })
    }

    async fn put_config(&self, version: u64, toml: &str) {
        self.cluster.put_config(version, toml);
        wait_until("the configuration to be in force", async || {
            for instance in self.cluster.running() {
                if instance.dump().await["config_version"] != version {
                    return false;
                }
            }
            true
        })
        .await;
    }

    fn callers(&self) -> Vec<std::net::SocketAddr> {
        let instances = self.cluster.instances.iter();
        instances.map(|i| i.callers).collect()
    }

    fn set_engines(&self, mode: Mode) {
        for link in &self.engines {
            link.set(mode);
        }
    }

    /// Lets all engines be silent for [`SILENCE`].
    async fn silence_engines(&self, mode: Mode) {
        self.set_engines(mode);
        time::sleep(SILENCE).await;
        self.set_engines(Mode::Pass);
    }

    fn send(&self, calls: Vec<Call>) -> JoinHandle<Vec<(Call, Option<Response>)>> {
        let to = self.callers();
        tokio::spawn(async move { send_all(calls, &to).await })
    }

    fn check_all_served(&self, responses: &[(Call, Option<Response>)]) {
        self.cluster.check_responses(responses);
        let is_served = |response: &Option<Response>| {
            let response = response.as_ref();
            response.is_some_and(|r| r.status == StatusCode::OK && r.complete)
        };
        let failed: Vec<_> = responses.iter().filter(|(_, r)| !is_served(r)).collect();
        let count = failed.len();
        println!("{count} of {} not served", responses.len());
        assert!(
            failed.is_empty(),
            "{count} not served: {:?}",
            failed.first().map(|(_, response)| response)
        );
    }
}

/// Engines on which an answer of `calls` takes about a second.
fn options() -> ClusterOptions {
    ClusterOptions {
        instances: 3,
        engines: vec![slow_engine(8, 20), slow_engine(8, 20)],
        ..ClusterOptions::default()
    }
}

fn calls(count: usize) -> Vec<Call> {
    let tiers = ["gate", "counter", "kiosk"];
    (0..count)
        .map(|n| Call::completion(tiers[n % 3], &format!("p{n}"), 40, n % 2 == 0))
        .collect()
}

/// Sends requests, of which some run and others wait, beside silent engines and `disturb`.
async fn check_all_served_beside(disturb: impl AsyncFnOnce(&mut LinkedCluster)) {
    let mut linked = LinkedCluster::start(options()).await;
    let sending = linked.send(calls(36));
    time::sleep(LEAD).await;
    linked.set_engines(Mode::Silent);
    let began = Instant::now();
    disturb(&mut linked).await;
    time::sleep(SILENCE.saturating_sub(began.elapsed())).await;
    linked.set_engines(Mode::Pass);
    let responses = sending.await.expect("no panic");
    linked.check_all_served(&responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_cut_when_engines_are_silent_between_events() {
    check_all_served_beside(async |_| {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_refused_when_engines_are_silent_before_the_head() {
    let linked = LinkedCluster::start(options()).await;
    linked.set_engines(Mode::Silent);
    let sending = linked.send(calls(36));
    linked.silence_engines(Mode::Silent).await;
    let responses = sending.await.expect("no panic");
    linked.check_all_served(&responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_refused_when_engines_are_silent_at_the_connect() {
    let linked = LinkedCluster::start(options()).await;
    linked.set_engines(Mode::Unreachable);
    let sending = linked.send(calls(36));
    linked.silence_engines(Mode::Unreachable).await;
    let responses = sending.await.expect("no panic");
    linked.check_all_served(&responses);
}

/// The load reports of idle engines are silent, too.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_late_after_idle_engines_were_silent() {
    let linked = LinkedCluster::start(options()).await;
    for mode in [Mode::Silent, Mode::Unreachable] {
        linked.silence_engines(mode).await;
        let began = Instant::now();
        let responses = linked.send(calls(12)).await.expect("no panic");
        linked.check_all_served(&responses);
        let took = began.elapsed();
        println!("{mode:?}: {took:?}");
        assert!(took < Duration::from_millis(1_300) + LATENESS, "{took:?}");
    }
}

/// The engines need a second for what is sent, and the limit leaves them the silence and two more.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_time_left_is_not_shed_because_engines_were_silent() {
    let linked = LinkedCluster::start(options()).await;
    let limited = |count| calls(count).into_iter().map(|c| c.deadline_ms(4_300));
    let first = linked.send(limited(12).collect());
    time::sleep(LEAD).await;
    linked.set_engines(Mode::Silent);
    time::sleep(SILENCE / 2).await;
    let second = linked.send(limited(4).collect());
    time::sleep(SILENCE / 2).await;
    linked.set_engines(Mode::Pass);
    time::sleep(Duration::from_millis(100)).await;
    let third = linked.send(limited(4).collect());
    for sending in [first, second, third] {
        linked.check_all_served(&sending.await.expect("no panic"));
    }
}

/// A caller is told of its passed deadline while its request waits for a silent connect.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_is_answered_in_time_while_a_connect_is_silent() {
    let linked = LinkedCluster::start(options()).await;
    linked.set_engines(Mode::Unreachable);
    let began = Instant::now();
    let call = Call::completion("gate", "late", 1, false).deadline_ms(200);
    let response = call.send(linked.callers()[0]).await.expect("an answer");
    let took = began.elapsed();
    println!("{} {} after {took:?}", response.status, response.reason());
    assert_eq!(response.error_type(), "not_run");
    assert!(took < Duration::from_millis(200) + LATENESS, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn tagged_request_runs_once_when_its_service_is_silent() {
    let linked = LinkedCluster::start(options()).await;
    for mode in [Mode::Silent, Mode::Unreachable] {
        linked.plain.set(mode);
        let tag = |n| {
            let name = format!("{mode:?}-{n}");
            Call::bag_tag(&name, &name)
        };
        let sending = linked.send((0..12).map(tag).collect());
        time::sleep(SILENCE).await;
        linked.plain.set(Mode::Pass);
        linked.check_all_served(&sending.await.expect("no panic"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_cut_by_a_drain_of_a_silent_engine() {
    check_all_served_beside(async |linked| {
        let instance = &linked.cluster.instances[0];
        let reply = instance.command("drain endpoint agent-1").await;
        assert!(reply.message.contains("in force"), "{reply:?}");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_cut_by_a_configuration_without_the_silent_engine() {
    check_all_served_beside(async |linked| {
        let toml = linked.toml();
        let first = toml.find("[[endpoint]]\nname = \"agent-1\"");
        let second = toml.find("[[endpoint]]\nname = \"agent-2\"");
        let (first, second) = (first.expect("an engine"), second.expect("an engine"));
        let without = format!("{}{}", &toml[..first], &toml[second..]);
        linked.put_config(3, &without).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_cut_by_changes_of_the_configuration_beside_silent_engines() {
    check_all_served_beside(async |linked| {
        for version in 3..6 {
            let extra = format!("\n# version {version}\n");
            linked.put_config(version, &(linked.toml() + &extra)).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_cut_by_a_planned_stop_beside_silent_engines() {
    check_all_served_beside(async |linked| {
        let leader = linked.cluster.leader_of("agent").await;
        linked.cluster.instances[leader].signal("TERM");
    })
    .await;
}

/// The leader is silent, too, for long enough that another one takes over.
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_cut_by_a_silent_leader_beside_silent_engines() {
    check_all_served_beside(async |linked| {
        let leader = linked.cluster.leader_of("agent").await;
        linked.cluster.instances[leader].signal("STOP");
        time::sleep(SILENCE).await;
        linked.cluster.instances[leader].signal("CONT");
    })
    .await;
}

/// Callers leave while engines are silent, which then learn of it late, but not never.
async fn check_that_engines_stop_after_callers_left(mode: Mode) {
    let linked = LinkedCluster::start(options()).await;
    let mut callers = JoinSet::new();
    for n in 0..12 {
        let call = Call::completion("gate", &format!("p{n}"), 400, n % 2 == 0);
        let to = linked.callers()[n % 3];
        callers.spawn(async move { call.send(to).await });
    }
    time::sleep(LEAD).await;
    let busy = || -> usize { linked.cluster.engines.iter().map(|e| e.busy()).sum() };
    assert_eq!(busy(), 12);
    linked.set_engines(mode);
    time::sleep(Duration::from_millis(100)).await;
    callers.shutdown().await;
    time::sleep(SILENCE).await;
    linked.set_engines(Mode::Pass);
    time::sleep(LATENESS).await;
    println!("{mode:?}: {} of 12 still run", busy());
    assert_eq!(busy(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_engine_stops_work_for_callers_that_left() {
    check_that_engines_stop_after_callers_left(Mode::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_silent_at_the_connect_stops_work_for_callers_that_left() {
    check_that_engines_stop_after_callers_left(Mode::Unreachable).await;
}

/// The engines run on, and continue streams for whoever asks again.
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_cut_when_links_to_engines_are_cut_for_a_second() {
    let linked = LinkedCluster::start(options()).await;
    let sending = linked.send(calls(12));
    time::sleep(LEAD).await;
    linked.set_engines(Mode::Refuse);
    time::sleep(SILENCE).await;
    linked.set_engines(Mode::Pass);
    let responses = sending.await.expect("no panic");
    linked.check_all_served(&responses);
}
