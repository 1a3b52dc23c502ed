//! Answers that end before they are whole must not look complete, however their connection ends.
//!
//! The kernel closes the connections of a process that is killed; only unread bytes turn that into a reset. An answer
//! without length and chunks then ends like one that is complete. Streams are also cut short by resumed runs that lack
//! events.

use std::{sync::Arc, time::Duration};

use hyper::StatusCode;
use standins::{
    runner::{EVENTS, Fault, event, whole_body},
    stream_check::whole_events,
};
use tokio::{task::JoinSet, time};

use crate::{
    site::Site,
    support::{CallerResponse, config},
};

const ENDPOINTS: usize = 6;
/// Requests of one test, spread over the instances.
const REQUESTS: usize = 24;
const RESUMABLE: &str = "/resume/stream";
/// As `RESUMABLE`, with four attempts.
const PATIENT: &str = "/patient/stream";
const FIXED: &str = "/fixed/stream";

/// Starts instances with a further route, whose streams may run four times.
async fn start(net: u8, instances: usize) -> Arc<Site> {
    let site = Site::start(net, instances, ENDPOINTS).await;
    let mut config = config(4, &["key-of-the-tests"]);
    let routes = config["routes"].as_array_mut().expect("routes");
    let resumable = routes.iter().find(|r| r["name"] == "resume");
    let mut patient = resumable.expect("the route").clone();
    patient["name"] = "patient".into();
    patient["pathPrefix"] = "/patient/".into();
    patient["maxAttempts"] = 4.into();
    routes.push(patient);
    site.platform.set("config", "main", config);
    crate::cluster::until("the route to be known", || {
        site.instances
            .iter()
            .all(|i| i.gateway.config.version() == 4)
    })
    .await;
    Arc::new(site)
}

/// Sends requests to all instances at once; returns the answers with their ids.
async fn call_all(site: &Arc<Site>, path: &'static str) -> Vec<(String, CallerResponse)> {
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        let site = site.clone();
        calls.spawn(async move {
            let id = format!("r-{number}");
            let instance = number % site.callers.len();
            let got = site.call(instance, path, &id, "a prompt").await;
            (id, got)
        });
    }
    calls.join_all().await
}

/// How streams ended for their callers.
#[derive(Debug, Default, PartialEq, Eq)]
struct Ends {
    whole: usize,
    /// Broken visibly.
    cut: usize,
    /// Complete, although events are missing.
    short: usize,
    refused: usize,
}

fn count(answers: &[(String, CallerResponse)]) -> Ends {
    let mut ends = Ends::default();
    for (id, got) in answers {
        let stream: String = (1..=EVENTS).map(|number| event(id, number)).collect();
        match got.is_whole {
            _ if got.status != StatusCode::OK => ends.refused += 1,
            true if got.text() == stream => ends.whole += 1,
            true => ends.short += 1,
            false => ends.cut += 1,
        }
        let numbers = whole_events(&got.text()).into_iter().map(|e| e.number);
        let expected: Vec<u64> = (1..).take(whole_events(&got.text()).len()).collect();
        if got.is_whole || !expected.is_empty() {
            assert_eq!(numbers.collect::<Vec<_>>(), expected, "{id} lacks events");
        }
    }
    println!("{ends:?}");
    ends
}

/// Streams that end with their connection lose two of six endpoints in their midst.
async fn check_killed_endpoints(net: u8, instances: usize) {
    let site = start(net, instances).await;
    for runner in site.runners.iter() {
        runner.end_with_connection();
        runner.pace(Duration::from_millis(60));
    }
    for (path, may_resume) in [(RESUMABLE, true), (FIXED, false)] {
        let calling = tokio::spawn({
            let site = site.clone();
            async move { call_all(&site, path).await }
        });
        time::sleep(Duration::from_millis(250)).await;
        for runner in &site.runners[..2] {
            runner.kill();
        }
        let ends = count(&calling.await.expect("answers"));
        assert_eq!(ends.short, 0, "{path}: {ends:?}");
        if may_resume {
            assert!(ends.whole + 2 >= REQUESTS, "{path}: {ends:?}");
        }
        // The endpoints are started again.
        time::sleep(Duration::from_secs(2)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_killed_endpoint_does_not_look_complete_at_4_instances() {
    check_killed_endpoints(170, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_killed_endpoint_does_not_look_complete_at_18_instances() {
    check_killed_endpoints(171, 18).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answer_of_a_killed_endpoint_does_not_look_complete() {
    let site = start(172, 4).await;
    for path in ["/again/x", "/once/x"] {
        site.runners[0].fault(Fault::KilledInAnswer);
        site.runners[1].fault(Fault::KilledInAnswer);
        let answers = call_all(&site, path).await;
        let good = answers
            .iter()
            .filter(|(_, got)| got.status == StatusCode::OK);
        let short: Vec<_> = good
            .clone()
            .filter(|(id, got)| got.is_whole && got.text() != whole_body(id))
            .collect();
        assert!(short.is_empty(), "{path}: {short:?}");
        assert!(good.count() * 2 >= REQUESTS, "{path}: {answers:?}");
        time::sleep(Duration::from_secs(2)).await;
    }
}

/// Endpoints are sound, and their answers end with their connections.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_end_with_their_connection_are_still_delivered() {
    let site = start(173, 4).await;
    for runner in site.runners.iter() {
        runner.end_with_connection();
    }
    for path in [RESUMABLE, FIXED] {
        let ends = count(&call_all(&site, path).await);
        assert_eq!(ends.whole, REQUESTS, "{path}: {ends:?}");
    }
    for path in ["/again/x", "/once/x"] {
        for (id, got) in call_all(&site, path).await {
            assert_eq!(
                (got.is_whole, got.text()),
                (true, whole_body(&id)),
                "{path}"
            );
        }
    }
    let runs: usize = site.runners.iter().map(|r| r.seen().len()).sum();
    assert_eq!(runs, 4 * REQUESTS, "nothing runs twice");
}

/// Two endpoints break new streams; resumed ones are bad at two others and good at two.
async fn check_bad_resumptions(net: u8, fault: Fault) {
    let site = start(net, 4).await;
    for runner in &site.runners[..2] {
        runner.fault(Fault::CutNewStream);
    }
    for runner in &site.runners[2..4] {
        runner.fault(fault);
    }
    for path in [RESUMABLE, PATIENT] {
        let ends = count(&call_all(&site, path).await);
        assert_eq!(ends.short, 0, "{path}: {ends:?}");
        if path == PATIENT {
            assert!(ends.whole + 2 >= REQUESTS, "{path}: {ends:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_run_without_events_does_not_complete_a_stream() {
    check_bad_resumptions(174, Fault::EmptyResumption).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_run_that_begins_later_leaves_no_gap() {
    check_bad_resumptions(175, Fault::LateResumption).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_breaks_after_its_last_event_is_completed_if_two_endpoints_agree() {
    let site = start(176, 4).await;
    for runner in &site.runners[..2] {
        runner.fault(Fault::CutAfterLastEvent);
    }
    let ends = count(&call_all(&site, PATIENT).await);
    assert_eq!(ends.whole, REQUESTS, "{ends:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_a_killed_endpoint_does_not_look_complete() {
    let site = start(216, 4).await;
    for path in ["/again/x", "/once/x"] {
        site.runners[0].fault(Fault::KilledInError);
        site.runners[1].fault(Fault::KilledInError);
        for (id, got) in call_all(&site, path).await {
            let is_from_endpoint = got.headers.contains_key("instance-signature");
            let is_short = got.is_whole && got.text() != whole_body(&id);
            assert!(!(is_from_endpoint && is_short), "{path}: {got:?}");
        }
        let killed = site.runners[..2]
            .iter()
            .filter(|r| !r.ended_at().is_empty());
        assert!(killed.count() > 0, "{path}: no endpoint was killed");
        time::sleep(Duration::from_secs(2)).await;
    }
}
