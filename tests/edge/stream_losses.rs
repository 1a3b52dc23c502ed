//! Streams that run when all instances are lost at once, and are taken up when instances are back.
//!
//! Endpoints of one or two versions serve. No instance that comes back has seen what the lost ones knew.

use std::time::Duration;

use hyper::StatusCode;
use ryevalve::gateway::{peer_table::PEER_EXPIRY_US, state::GatewayBounds};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

use crate::{
    cluster::{Instance, until},
    site::{Site, entry},
    stream_versions::{Counts, PATH, SLOTS, TWO_VERSIONS, Tries, begin_streams, take_up},
    support::{KEY, config, exchange, request},
};

pub const ENDPOINTS: usize = 8;
pub const STREAMS: usize = 48;
/// Streams of which the caller gets the rest, if endpoints of their version serve: nine in ten.
pub const MIN_WHOLE: usize = 43;
/// Events of a stream that runs for longer than it takes to begin all of them.
const LONG_STREAM: u64 = 60;
/// How long the streams run before the loss.
const RUN_TIME: Duration = Duration::from_millis(300);
/// How long all instances are down.
const DOWNTIME: Duration = Duration::from_millis(1_200);
/// Endpoints of the first version, in a site whose versions alternate.
pub const OLD: [usize; 4] = [0, 2, 4, 6];

/// Begins a stream and reads it until its connection ends; returns its id if it brought the two events after which it is
/// taken up.
async fn read_until_lost(callers: std::net::SocketAddr, id: String) -> Option<String> {
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Authorization: {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    let mut bytes = Vec::new();
    // The connection of a lost instance ends or is reset.
    while matches!(stream.read_buf(&mut bytes).await, Ok(count) if count > 0) {}
    let text = String::from_utf8_lossy(&bytes);
    let events = text.matches("\n\n").count();
    (events >= 2).then_some(id)
}

/// Sets one endpoint's version.
pub fn set_version(site: &Site, index: usize, version: &str) {
    let mut spec = entry(site.runners[index].addr);
    spec["version"] = version.into();
    spec["capacity"] = SLOTS.into();
    site.platform.set("servers", &format!("e{index}-0"), spec);
}

/// Starts an endpoint of another version in place of one that left.
pub fn replace(site: &Site, index: usize, version: &str) {
    site.platform.remove("servers", &format!("e{index}-0"));
    let mut spec = entry(site.runners[index].addr);
    spec["version"] = version.into();
    spec["capacity"] = SLOTS.into();
    let id = format!("e{index}-1");
    site.runners[index].replace(&id);
    site.platform.set("servers", &id, spec);
}

/// Begins streams at all instances in turn and lets them run, then loses all instances and calls `meanwhile` before as
/// many are back.
async fn lose_all(site: &mut Site, name: &str, meanwhile: impl FnOnce(&Site)) -> Vec<String> {
    let instances = site.instances.len();
    for runner in site.runners.iter() {
        runner.long_responses(LONG_STREAM, 0);
    }
    let mut calls = JoinSet::new();
    for number in 0..STREAMS {
        let callers = site.callers[number % instances];
        calls.spawn(read_until_lost(callers, format!("{name}-{number}")));
    }
    time::sleep(RUN_TIME).await;
    site.kill_all();
    let begun = calls.join_all().await;
    for runner in site.runners.iter() {
        runner.long_responses(standins::runner::EVENTS, 0);
    }
    time::sleep(DOWNTIME).await;
    meanwhile(site);
    site.start_instances(instances).await;
    let begun: Vec<String> = begun.into_iter().flatten().collect();
    assert!(begun.len() >= MIN_WHOLE, "{} streams began", begun.len());
    begun
}

/// Takes up streams at all instances in turn.
pub async fn take_up_all(site: &Site, begun: Vec<String>) -> (Tries, usize) {
    let mut calls = JoinSet::new();
    for (number, first) in begun.into_iter().enumerate() {
        let callers = site.callers[number % site.callers.len()];
        calls.spawn(async move {
            let (ids, is_whole) = take_up(callers, first.clone(), 2).await;
            (first, ids, is_whole)
        });
    }
    let done = calls.join_all().await;
    let whole = done.iter().filter(|(_, _, is_whole)| *is_whole).count();
    let tries = done.into_iter().map(|(first, ids, _)| (first, ids));
    (tries.collect(), whole)
}

/// Loses all instances beside endpoints of two versions, takes up the streams and counts.
pub async fn count_after_loss(
    site: &mut Site,
    name: &str,
    versions: &[&str],
    meanwhile: impl FnOnce(&Site),
) -> Counts {
    let begun = lose_all(site, name, meanwhile).await;
    let (tries, whole) = take_up_all(site, begun).await;
    let counts = Counts {
        whole,
        ..site.count(&tries, versions)
    };
    println!("{name}: {counts:?} of {}", tries.len());
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_the_loss_of_all_instances_while_two_versions_serve() {
    for (net, instances) in [(150, 7), (151, 18)] {
        let mut site = Site::start(net, instances, ENDPOINTS).await;
        site.set_versions(&TWO_VERSIONS).await;
        let counts = count_after_loss(&mut site, "both", &TWO_VERSIONS, |_| {}).await;
        assert_eq!(counts.mixed, 0, "{instances} instances: {counts:?}");
        assert!(
            counts.whole >= MIN_WHOLE,
            "{instances} instances: {counts:?}"
        );
    }
}

/// Each instance is killed and another one started, until none is left that was there when the streams began.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_all_instances_were_replaced_one_after_the_other() {
    const INSTANCES: usize = 7;
    let mut site = Site::start(158, INSTANCES, ENDPOINTS).await;
    site.set_versions(&TWO_VERSIONS).await;
    let begun = begin_streams(&site, 0, "rolling", STREAMS).await;
    for _ in 0..INSTANCES {
        site.kill_first();
        site.start_instance().await;
        time::sleep(Duration::from_millis(400)).await;
    }
    site.until_joined().await;
    let (tries, whole) = take_up_all(&site, begun).await;
    let counts = Counts {
        whole,
        ..site.count(&tries, &TWO_VERSIONS)
    };
    println!("rolling: {counts:?}");
    assert_eq!(counts.mixed, 0, "{counts:?}");
    assert!(counts.whole >= MIN_WHOLE, "{counts:?}");
}

/// The store comes back from a copy that lacks the latest origins, and all instances are lost.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_joined_after_the_store_came_back_from_a_copy_and_all_instances_were_lost()
{
    let mut site = Site::start(159, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    time::sleep(Duration::from_millis(500)).await;
    site.platform.take_copy();
    site.set_versions(&TWO_VERSIONS).await;
    let counts = count_after_loss(&mut site, "copied", &TWO_VERSIONS, |site| {
        site.platform.return_to_copy();
        for (index, version) in TWO_VERSIONS.iter().cycle().take(ENDPOINTS).enumerate() {
            set_version(site, index, version);
        }
        // The endpoints of the version that the copy lacks leave.
        for index in (0..ENDPOINTS).filter(|index| !OLD.contains(index)) {
            site.platform.remove("servers", &format!("e{index}-0"));
        }
    })
    .await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

/// The store is away when the streams begin and when the instances are lost, and is back with them.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_joined_after_a_loss_of_all_instances_while_the_store_was_silent() {
    let mut site = Site::start(160, 7, ENDPOINTS).await;
    site.set_versions(&TWO_VERSIONS).await;
    time::sleep(Duration::from_millis(500)).await;
    site.platform.fault(|faults| faults.down = true);
    let counts = count_after_loss(&mut site, "silent", &TWO_VERSIONS, |site| {
        site.platform.fault(|faults| faults.down = false);
        for index in OLD {
            site.platform.remove("servers", &format!("e{index}-0"));
        }
    })
    .await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

/// A caller does not say which attempt began its stream, and one version is left.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_the_id_of_its_first_attempt_is_not_joined_after_a_loss_of_all_instances() {
    let mut site = Site::start(161, 7, ENDPOINTS).await;
    site.set_versions(&TWO_VERSIONS).await;
    let begun = lose_all(&mut site, "unnamed", |site| {
        for index in OLD {
            site.platform.remove("servers", &format!("e{index}-0"));
        }
    })
    .await;
    for id in begun {
        let again = format!("{id}-again");
        let headers = [("last-event-id", "2")];
        let got = exchange(site.callers[0], request(PATH, &again, &headers)).await;
        let status = got.expect("an answer").status;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{again}");
        assert!(site.endpoints_of(&again).is_empty(), "{again} has run");
    }
}

/// Lets an instance's calls for the endpoints and the configuration fail; it still reads versions and origins.
fn cut_from_endpoints(instance: &mut Instance) {
    instance.stop_following();
    instance.follow(unused_addr());
}

/// Cuts an instance off from the store.
fn cut_from_store(instance: &mut Instance) {
    cut_from_endpoints(instance);
    instance.stop_syncing_origins();
}

/// Returns an address at which nothing listens.
fn unused_addr() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0");
    let addr = listener.and_then(|listener| listener.local_addr());
    addr.expect("an address")
}

/// An instance has lost the others and the store, and does not learn of a version that they use.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_joined_by_an_instance_that_is_cut_off_from_the_others_and_the_store() {
    let mut site = Site::start(162, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    for link in site.instances[6].links() {
        link.abort();
    }
    cut_from_store(&mut site.instances[6]);
    for index in (0..ENDPOINTS).filter(|index| !OLD.contains(index)) {
        set_version(&site, index, "v2");
    }
    let is_known = |site: &Site| {
        let mut connected = site.instances[..6].iter();
        connected.all(|i| i.lists_version("v2"))
    };
    until("the second version to be listed", || is_known(&site)).await;
    let begun = begin_streams(&site, 0, "cut", STREAMS).await;
    let mut calls = JoinSet::new();
    for id in begun {
        let callers = site.callers[6];
        calls.spawn(async move {
            let again = format!("{id}-again");
            let headers = [("last-event-id", "2"), ("resumes", &*id)];
            let got = exchange(callers, request(PATH, &again, &headers)).await;
            (again, got.expect("an answer"))
        });
    }
    for (again, got) in calls.join_all().await {
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{again}");
        // Not for another reason, such as a state of the store that is too old.
        let text = got.text();
        assert!(text.contains("stream_origin_not_yet_known"), "{text}");
        assert!(site.endpoints_of(&again).is_empty(), "{again} has run");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_the_loss_of_all_instances_while_one_version_serves() {
    let versions = ["v1"];
    let mut site = Site::start(152, 7, ENDPOINTS).await;
    site.set_versions(&versions).await;
    let counts = count_after_loss(&mut site, "one", &versions, |_| {}).await;
    assert!(counts.whole >= MIN_WHOLE, "{counts:?}");
}

/// The last endpoints of the old version leave while no instance runs.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_version_that_left_while_all_instances_were_down_is_not_joined() {
    let mut site = Site::start(153, 7, ENDPOINTS).await;
    site.set_versions(&TWO_VERSIONS).await;
    let counts = count_after_loss(&mut site, "left", &TWO_VERSIONS, |site| {
        for index in OLD {
            site.platform.remove("servers", &format!("e{index}-0"));
        }
    })
    .await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
    // About half of the streams began at the version that still serves.
    assert!(counts.whole * 4 >= STREAMS, "{counts:?}");
}

/// Before the loss there was one version, and after it there is one version.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_version_that_was_replaced_while_all_instances_were_down_is_not_joined() {
    let versions = ["v1"];
    let mut site = Site::start(154, 7, ENDPOINTS).await;
    site.set_versions(&versions).await;
    let counts = count_after_loss(&mut site, "replaced", &versions, |site| {
        for index in 0..ENDPOINTS {
            replace(site, index, "v2");
        }
    })
    .await;
    assert_eq!(counts.went_on, 0, "{counts:?}");
}

/// The old version's last endpoints leave before the loss, while their streams run.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_version_that_left_before_the_loss_of_all_instances_is_not_joined() {
    for (net, instances) in [(155, 7), (156, 18)] {
        let mut site = Site::start(net, instances, ENDPOINTS).await;
        site.set_versions(&TWO_VERSIONS).await;
        let begun = begin_streams(&site, 0, "before", STREAMS).await;
        let old = OLD.map(|index| format!("e{index}-0"));
        for id in &old {
            site.platform.remove("servers", id);
        }
        site.until_gone(&old.each_ref().map(|id| &**id)).await;
        site.kill_all();
        time::sleep(DOWNTIME).await;
        site.start_instances(instances).await;
        let (tries, whole) = take_up_all(&site, begun).await;
        let counts = Counts {
            whole,
            ..site.count(&tries, &TWO_VERSIONS)
        };
        println!("{instances} instances: {counts:?}");
        assert_eq!(counts.mixed, 0, "{instances} instances: {counts:?}");
        assert!(counts.whole * 4 >= STREAMS, "{counts:?}");
    }
}

/// A version appears a second before the loss, and the other one leaves while no instance runs.
#[tokio::test(flavor = "multi_thread")]
async fn stream_begun_before_a_version_appeared_and_the_other_left_is_not_joined() {
    let mut site = Site::start(157, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    let begun = begin_streams(&site, 0, "early", STREAMS).await;
    for index in (0..ENDPOINTS).filter(|index| !OLD.contains(index)) {
        set_version(&site, index, "v2");
    }
    time::sleep(Duration::from_secs(1)).await;
    site.kill_all();
    for index in OLD {
        site.platform.remove("servers", &format!("e{index}-0"));
    }
    time::sleep(DOWNTIME).await;
    site.start_instances(7).await;
    let (tries, _) = take_up_all(&site, begun).await;
    let went_on = tries
        .iter()
        .flat_map(|(_, ids)| ids)
        .filter(|id| !site.endpoints_of(id).is_empty());
    assert_eq!(
        went_on.count(),
        0,
        "all streams began at v1, which has left"
    );
}

/// Begins streams at the first instance beside a second version that the last `left` instances do not learn of, since
/// they are `cut`, and loses the other instances.
async fn lose_all_but(
    site: &mut Site,
    name: &str,
    left: usize,
    cut: fn(&mut Instance),
) -> Vec<String> {
    site.set_versions(&["v1"]).await;
    let connected = site.instances.len() - left;
    for instance in &mut site.instances[connected..] {
        cut(instance);
    }
    // Other starts at the same addresses: an instance that knows the former ones reaches none of them.
    for index in (0..ENDPOINTS).filter(|index| !OLD.contains(index)) {
        replace(site, index, "v2");
    }
    until("the second version to be listed", || {
        let mut connected = site.instances[..connected].iter();
        connected.all(|i| i.lists_version("v2"))
    })
    .await;
    let begun = begin_streams(site, 0, name, STREAMS).await;
    for _ in 0..connected {
        site.kill_first();
    }
    begun
}

/// Waits until the instances that are left share limits with no lost one. They serve callers although they cannot ask the
/// store which keys were revoked.
async fn until_forgotten(site: &Site) {
    for instance in &site.instances {
        let bounds = GatewayBounds {
            is_revocation_strict: false,
            ..instance.gateway.bounds()
        };
        instance.gateway.set_bounds(bounds);
    }
    time::sleep(Duration::from_micros(PEER_EXPIRY_US)).await;
    until("the others to be forgotten", || {
        let mut instances = site.instances.iter();
        instances.all(|i| i.gateway.instance_counts().all == site.instances.len())
    })
    .await;
}

/// Takes up streams at the instances that are left and counts.
pub async fn count_taken_up(site: &Site, name: &str, begun: Vec<String>) -> Counts {
    let (tries, whole) = take_up_all(site, begun).await;
    let counts = Counts {
        whole,
        ..site.count(&tries, &TWO_VERSIONS)
    };
    println!("{name}: {counts:?}");
    counts
}

/// Guards against taking an empty view of the group for an answer that there was one version.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_joined_by_an_instance_that_lost_the_store_and_knows_that_the_others_are_lost()
 {
    let mut site = Site::start(163, 7, ENDPOINTS).await;
    let begun = lose_all_but(&mut site, "alone", 1, cut_from_endpoints).await;
    until("the others to be known as lost", || {
        site.instances[0].gateway.view().others().count() == 0
    })
    .await;
    let counts = count_taken_up(&site, "alone", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
    let mut site = Site::start(221, 7, ENDPOINTS).await;
    let begun = lose_all_but(&mut site, "alone", 1, cut_from_store).await;
    until_forgotten(&site).await;
    let counts = count_taken_up(&site, "alone", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

/// Guards against two instances that both lack a version and confirm to each other that there was none.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_joined_by_two_instances_that_lost_the_store_and_the_others() {
    let mut site = Site::start(164, 7, ENDPOINTS).await;
    let begun = lose_all_but(&mut site, "pair", 2, cut_from_endpoints).await;
    let counts = count_taken_up(&site, "pair", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
    let mut site = Site::start(222, 7, ENDPOINTS).await;
    let begun = lose_all_but(&mut site, "pair", 2, cut_from_store).await;
    until_forgotten(&site).await;
    let counts = count_taken_up(&site, "pair", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

/// Guards against an instance that takes what it missed while the store turned it away for what never was.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_version_that_came_and_left_while_an_instance_lost_the_store_is_not_joined() {
    let mut site = Site::start(165, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    for link in site.instances[6].links() {
        link.abort();
    }
    cut_from_store(&mut site.instances[6]);
    let new = [1, 3, 5, 7];
    for index in new {
        set_version(&site, index, "v2");
    }
    until("the second version to be listed", || {
        let mut connected = site.instances[..6].iter();
        connected.all(|i| i.lists_version("v2"))
    })
    .await;
    let begun = begin_streams(&site, 0, "missed", STREAMS).await;
    for index in new {
        site.platform.remove("servers", &format!("e{index}-0"));
    }
    time::sleep(Duration::from_secs(1)).await;
    site.platform.forget_history();
    site.instances[6].stop_following();
    let addr = site.platform.addr();
    site.instances[6].follow(addr);
    site.instances[6].sync_origins(addr, true);
    site.until_gone(&["e1-0", "e3-0", "e5-0", "e7-0"]).await;
    site.callers.drain(..6);
    let counts = count_taken_up(&site, "missed", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_the_loss_of_all_instances_of_a_small_group() {
    for (net, instances) in [(166, 1), (167, 2)] {
        let mut site = Site::start(net, instances, ENDPOINTS).await;
        site.set_versions(&TWO_VERSIONS).await;
        let counts = count_after_loss(&mut site, "small", &TWO_VERSIONS, |_| {}).await;
        assert_eq!(counts.mixed, 0, "{instances} instances: {counts:?}");
        assert!(
            counts.whole >= MIN_WHOLE,
            "{instances} instances: {counts:?}"
        );
    }
}

/// The instances are lost again while they start, and one version has left when they are back.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_joined_after_a_second_loss_of_all_within_a_second() {
    let mut site = Site::start(168, 7, ENDPOINTS).await;
    site.set_versions(&TWO_VERSIONS).await;
    let begun = begin_streams(&site, 0, "twice", STREAMS).await;
    time::sleep(RUN_TIME).await;
    site.kill_all();
    for _ in 0..7 {
        site.start_instance().await;
    }
    time::sleep(Duration::from_millis(300)).await;
    site.kill_all();
    for index in OLD {
        site.platform.remove("servers", &format!("e{index}-0"));
    }
    time::sleep(DOWNTIME).await;
    site.start_instances(7).await;
    let counts = count_taken_up(&site, "twice", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
    assert!(counts.whole * 4 >= STREAMS, "{counts:?}");
}

/// Guards against a list of versions that the store did not take for seconds, and that counts as complete.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_version_that_could_not_be_written_before_the_loss_of_all_is_not_joined() {
    let mut site = Site::start(169, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    time::sleep(Duration::from_millis(500)).await;
    site.platform.fault(|faults| {
        faults.lose_write_answers = u32::MAX;
        faults.lost_write_delay = Duration::from_secs(60);
    });
    site.show_versions(&TWO_VERSIONS).await;
    let counts = count_after_loss(&mut site, "unwritten", &TWO_VERSIONS, |site| {
        for index in (0..ENDPOINTS).filter(|index| !OLD.contains(index)) {
            site.platform.remove("servers", &format!("e{index}-0"));
        }
        site.platform.fault(|faults| faults.lose_write_answers = 0);
    })
    .await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

/// Guards against refusals by an instance that the store turns away, though all others know of one version only.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_at_an_instance_that_cannot_read_the_list_of_versions() {
    let mut site = Site::start(170, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    let begun = begin_streams(&site, 1, "unread", STREAMS).await;
    site.kill_first();
    site.start_instance_with_origins_at(unused_addr()).await;
    site.until_joined().await;
    site.callers.drain(..6);
    let (_, whole) = take_up_all(&site, begun).await;
    assert!(whole >= MIN_WHOLE, "{whole} whole");
}

/// Instances of a release without a list of versions are replaced one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_where_the_store_has_no_list_of_versions() {
    let mut site = Site::start(171, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    let begun = begin_streams(&site, 1, "listless", STREAMS).await;
    time::sleep(Duration::from_millis(500)).await;
    site.kill_first();
    site.platform.remove("ryevalve", "service-versions");
    site.start_instance().await;
    site.until_joined().await;
    site.callers.drain(..6);
    let (_, whole) = take_up_all(&site, begun).await;
    assert!(whole >= MIN_WHOLE, "{whole} whole");
}

/// Guards against callers that are held beyond the time they have left while instances read what those before them knew.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_unknown_origin_is_refused_in_time_while_the_store_is_silent() {
    let site = Site::start(172, 7, ENDPOINTS).await;
    site.set_versions(&TWO_VERSIONS).await;
    time::sleep(Duration::from_secs(1)).await;
    site.platform.fault(|faults| faults.silent = true);
    for instance in 0..7 {
        let headers = [("last-event-id", "2"), ("resumes", "unknown")];
        let mut again = request(PATH, &format!("again-{instance}"), &headers);
        let deadline = "200".parse().expect("a header");
        again.headers_mut().insert("deadline-ms", deadline);
        let began = time::Instant::now();
        let got = exchange(site.callers[instance], again).await;
        let status = got.expect("an answer").status;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        let took = began.elapsed();
        assert!(took < Duration::from_millis(300), "{took:?}");
    }
}

/// Lets every second endpoint serve another service, which has one version like the first.
async fn add_other_service(site: &Site) {
    for index in (0..ENDPOINTS).filter(|index| !OLD.contains(index)) {
        site.platform.remove("servers", &format!("e{index}-0"));
        let mut spec = entry(site.runners[index].addr);
        spec["backend"] = "other".into();
        spec["capacity"] = SLOTS.into();
        let id = format!("e{index}-1");
        site.runners[index].replace(&id);
        site.platform.set("servers", &id, spec);
    }
    until("the other service to be known", || {
        site.instances.iter().all(|instance| {
            let balancer = instance.gateway.balancer();
            [1, 3, 5, 7].iter().all(|index| {
                let key = balancer.key_of(&format!("e{index}-1"));
                key.is_some()
            })
        })
    })
    .await;
}

/// Returns a configuration that leads the route of the streams to these services in equal parts.
fn leading_to(version: u64, services: &[&str]) -> serde_json::Value {
    let mut config = config(version, &["key-of-the-tests"]);
    let mut other = config["backends"][0].clone();
    other["name"] = "other".into();
    let known = config["backends"].as_array_mut().expect("services");
    known.push(other);
    let part = |service| serde_json::json!({"backend": service, "weight": 0.5});
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes.iter_mut().filter(|r| r["name"] == "resume") {
        route["trafficSplit"] = services.iter().map(part).collect();
    }
    config
}

/// Leads the route of the streams to these services, and waits until all instances know.
async fn lead_to(site: &Site, version: u64, services: &[&str]) {
    site.platform
        .set("config", "main", leading_to(version, services));
    until("the configuration to be known", || {
        let mut instances = site.instances.iter();
        instances.all(|i| i.gateway.config.version() == version)
    })
    .await;
    time::sleep(Duration::from_millis(500)).await;
}

/// Guards against a stream that goes on at the other service of a route, since each of the two has one version only.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_route_with_two_services_goes_on_at_the_service_that_began_it() {
    let site = Site::start(173, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    add_other_service(&site).await;
    lead_to(&site, 4, &["svc", "other"]).await;
    let begun = begin_streams(&site, 0, "split", STREAMS).await;
    let counts = count_taken_up(&site, "split", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
    assert!(counts.whole >= MIN_WHOLE, "{counts:?}");
}

/// Guards against a stream that goes on at the service to which its route leads now, since that has one version only.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_route_that_leads_to_another_service_now_is_not_joined() {
    let site = Site::start(174, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    add_other_service(&site).await;
    lead_to(&site, 4, &["svc"]).await;
    let begun = begin_streams(&site, 0, "moved", STREAMS).await;
    lead_to(&site, 5, &["other"]).await;
    let counts = count_taken_up(&site, "moved", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

/// Guards against an instance that starts after a route was moved and takes its service for the one that began a stream.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_route_that_was_moved_before_the_loss_of_all_instances_is_not_joined() {
    let mut site = Site::start(175, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    add_other_service(&site).await;
    lead_to(&site, 4, &["svc"]).await;
    let begun = begin_streams(&site, 0, "moved-before", STREAMS).await;
    lead_to(&site, 5, &["other"]).await;
    site.kill_all();
    time::sleep(DOWNTIME).await;
    site.start_instances(7).await;
    let counts = count_taken_up(&site, "moved-before", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_route_that_is_moved_while_all_instances_are_down_is_not_joined() {
    let mut site = Site::start(176, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    add_other_service(&site).await;
    lead_to(&site, 4, &["svc"]).await;
    let begun = begin_streams(&site, 0, "moved-down", STREAMS).await;
    site.kill_all();
    let config = leading_to(5, &["other"]);
    site.platform.set("config", "main", config);
    time::sleep(DOWNTIME).await;
    site.start_instances(7).await;
    let counts = count_taken_up(&site, "moved-down", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_route_with_two_services_go_on_after_the_loss_of_all_instances() {
    let mut site = Site::start(177, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    add_other_service(&site).await;
    lead_to(&site, 4, &["svc", "other"]).await;
    let counts = count_after_loss(&mut site, "split-lost", &TWO_VERSIONS, |_| {}).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
    assert!(counts.whole >= MIN_WHOLE, "{counts:?}");
}

/// Guards against services of a route that were collected before the list was read, and conclusions drawn after it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_moved_route_that_is_taken_up_before_the_list_is_read_is_not_joined() {
    let mut site = Site::start(232, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    add_other_service(&site).await;
    lead_to(&site, 4, &["svc"]).await;
    let begun = begin_streams(&site, 0, "moved-unread", STREAMS).await;
    lead_to(&site, 5, &["other"]).await;
    site.kill_all();
    time::sleep(DOWNTIME).await;
    let late = unused_addr();
    for _ in 0..7 {
        site.start_instance_with_origins_at(late).await;
    }
    site.until_joined().await;
    let store = site.platform.addr();
    let mut calls = JoinSet::new();
    for (number, first) in begun.into_iter().enumerate() {
        let callers = site.callers[number % site.callers.len()];
        calls.spawn(async move {
            let (ids, is_whole) = take_up(callers, first.clone(), 2).await;
            (first, ids, is_whole)
        });
    }
    time::sleep(Duration::from_millis(150)).await;
    for instance in &mut site.instances {
        instance.sync_origins(store, false);
    }
    let done = calls.join_all().await;
    let tries: Tries = done
        .into_iter()
        .map(|(first, ids, _)| (first, ids))
        .collect();
    let counts = site.count(&tries, &TWO_VERSIONS);
    println!("moved-unread: {counts:?} of {}", tries.len());
    assert_eq!(counts.mixed, 0, "{counts:?}");
}

/// The others confirm the only version of the service to which the route leads now, and know that it was moved.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_moved_route_is_not_joined_by_an_instance_that_cannot_read_the_list() {
    let mut site = Site::start(201, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    add_other_service(&site).await;
    lead_to(&site, 4, &["svc"]).await;
    let begun = begin_streams(&site, 1, "moved-alone", STREAMS).await;
    lead_to(&site, 5, &["other"]).await;
    site.kill_first();
    site.start_instance_with_origins_at(unused_addr()).await;
    site.until_joined().await;
    site.callers.drain(..6);
    let counts = count_taken_up(&site, "moved-alone", begun).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
}
