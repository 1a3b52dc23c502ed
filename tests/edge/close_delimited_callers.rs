//! Callers that can delimit an answer only by the close of its connection: one that breaks must not look complete to
//! them, and a complete one must not look broken.
//!
//! A caller of HTTP/1.0 gets no chunks, so its streams and its answers without a length end with the connection.

use std::{net::SocketAddr, time::Duration};

use ryevalve::{gateway::state::GatewayBounds, limits::held_bytes::HeldLimits};
use standins::{
    raw_caller::{AnswerEnd, RawAnswer, RawCaller, ReadPace},
    runner::{EVENTS, Fault, LONG_PADDING, event, padded_event, whole_body},
    stream_check::whole_events,
};
use tokio::{task::JoinSet, time};

use crate::{
    cluster::until,
    site::Site,
    support::{Edge, KEY},
};

/// Enough for all callers at once.
const ENDPOINTS: usize = 4;
const CALLERS: usize = 10;
/// A route whose streams may not go on at another endpoint.
const FIXED: &str = "/fixed/stream";
const FIXED_LONG: &str = "/fixed/long/stream";
/// Events of a long stream, which is far longer than the buffers between an instance and its caller.
const LONG_EVENTS: u64 = 400;
/// A caller that takes more than a second for a long stream.
const SLOW: ReadPace = ReadPace {
    bytes: 128 << 10,
    pause: Duration::from_millis(20),
};

/// Which version a caller speaks, and whether it asks to keep the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Speaks {
    Http10,
    Http10KeepAlive,
    Http11,
}

impl Speaks {
    fn request(self, path: &str, id: &str) -> String {
        let (version, connection) = match self {
            Self::Http10 => ("1.0", "close"),
            Self::Http10KeepAlive => ("1.0", "keep-alive"),
            Self::Http11 => ("1.1", "close"),
        };
        format!(
            "POST {path} HTTP/{version}\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
             Authorization: {KEY}\r\nConnection: {connection}\r\nContent-Length: 8\r\n\r\na prompt"
        )
    }

    async fn call(self, addr: SocketAddr, path: &str, id: &str, pace: ReadPace) -> RawAnswer {
        let mut caller = RawCaller::connect(addr).await.expect("a connection");
        caller.set_pace(pace);
        let sent = caller.send(&self.request(path, id)).await;
        sent.expect("an open connection");
        caller.read_answer().await.expect("an answer")
    }
}

/// Sends requests to all instances at once; returns the answers with their ids.
async fn call_all(
    site: &Site,
    speaks: Speaks,
    path: &'static str,
    pace: ReadPace,
) -> Vec<(String, RawAnswer)> {
    let mut calls = JoinSet::new();
    for number in 0..CALLERS {
        let addr = site.callers[number % site.callers.len()];
        calls.spawn(async move {
            let id = format!("r-{number}");
            let got = speaks.call(addr, path, &id, pace).await;
            (id, got)
        });
    }
    calls.join_all().await
}

fn long_stream(id: &str) -> String {
    let events = (1..=LONG_EVENTS).map(|number| padded_event(id, number, LONG_PADDING));
    events.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_breaks_ends_with_a_reset_for_a_caller_of_http10() {
    let site = Site::start(205, 2, ENDPOINTS).await;
    for runner in site.runners.iter() {
        runner.fault(Fault::CutStream);
    }
    for speaks in [Speaks::Http10, Speaks::Http10KeepAlive] {
        let answers = call_all(&site, speaks, FIXED, ReadPace::AT_ONCE).await;
        let ends: Vec<_> = answers.iter().map(|(_, got)| got.end).collect();
        assert_eq!(ends, [AnswerEnd::Reset; CALLERS], "{speaks:?}");
        for (id, got) in answers {
            assert!(got.is_delimited_by_close(), "{}", got.head);
            let received = whole_events(&got.text).len();
            assert_eq!(received, 3, "{id} lost events that preceded the break");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_stream_that_breaks_ends_with_a_reset_for_a_slow_caller_of_http10() {
    let site = Site::start(206, 2, ENDPOINTS).await;
    for runner in site.runners.iter() {
        runner.long_responses(LONG_EVENTS, LONG_PADDING);
        runner.pace(Duration::from_millis(2));
    }
    let ending = async {
        time::sleep(Duration::from_millis(400)).await;
        for runner in site.runners.iter() {
            runner.end();
        }
    };
    let calling = call_all(&site, Speaks::Http10, FIXED_LONG, SLOW);
    let (answers, ()) = tokio::join!(calling, ending);
    for (id, got) in answers {
        assert!(got.text.len() < long_stream(&id).len(), "{id} was not cut");
        assert_eq!(got.end, AnswerEnd::Reset, "{id}: {} bytes", got.text.len());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_answers_are_not_reset_for_a_caller_of_http10() {
    let site = Site::start(207, 2, ENDPOINTS).await;
    for speaks in [Speaks::Http10, Speaks::Http10KeepAlive] {
        for path in [FIXED, "/resume/stream"] {
            for (id, got) in call_all(&site, speaks, path, ReadPace::AT_ONCE).await {
                let stream: String = (1..=EVENTS).map(|number| event(&id, number)).collect();
                assert!(got.is_delimited_by_close(), "{}", got.head);
                assert_eq!((got.end, got.text), (AnswerEnd::Closed, stream), "{id}");
            }
        }
        for (id, got) in call_all(&site, speaks, "/once/x", ReadPace::AT_ONCE).await {
            assert_eq!((got.is_complete(), got.text), (true, whole_body(&id)));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_complete_stream_arrives_whole_at_a_slow_caller_of_http10() {
    let site = Site::start(208, 2, ENDPOINTS).await;
    for runner in site.runners.iter() {
        runner.long_responses(LONG_EVENTS, LONG_PADDING);
        runner.pace(Duration::ZERO);
    }
    for (id, got) in call_all(&site, Speaks::Http10, FIXED_LONG, SLOW).await {
        let whole = got.text == long_stream(&id);
        assert!(whole, "{id}: {} bytes", got.text.len());
        assert_eq!(got.end, AnswerEnd::Closed, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_http11_get_chunks_and_a_close_as_before() {
    let site = Site::start(209, 2, ENDPOINTS).await;
    let answers = call_all(&site, Speaks::Http11, FIXED, ReadPace::AT_ONCE).await;
    assert!(answers.iter().all(|(_, got)| got.is_complete()));
    for runner in site.runners.iter() {
        runner.fault(Fault::CutStream);
    }
    for (_, got) in call_all(&site, Speaks::Http11, FIXED, ReadPace::AT_ONCE).await {
        assert!(!got.is_delimited_by_close(), "{}", got.head);
        assert_eq!((got.is_complete(), got.end), (false, AnswerEnd::Closed));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_of_http10_is_kept_after_answers_with_a_length() {
    let site = Site::start(210, 1, ENDPOINTS).await;
    let mut caller = RawCaller::connect(site.callers[0]).await.expect("connect");
    for number in 0..3 {
        let id = format!("r-{number}");
        let request = Speaks::Http10KeepAlive.request("/once/x", &id);
        caller.send(&request).await.expect("an open connection");
        let got = caller.read_answer().await.expect("an answer");
        assert_eq!((got.end, got.text), (AnswerEnd::Marked, whole_body(&id)));
    }
    let request = Speaks::Http10KeepAlive.request(FIXED, "r-3");
    caller.send(&request).await.expect("an open connection");
    let got = caller.read_answer().await.expect("an answer");
    let stream: String = (1..=EVENTS).map(|number| event("r-3", number)).collect();
    assert_eq!((got.end, got.text), (AnswerEnd::Closed, stream));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_an_instance_that_is_killed_does_not_look_complete_to_a_caller_of_http10() {
    let edge = Edge::start(ENDPOINTS).await;
    for runner in &edge.runners {
        runner.pace(Duration::from_millis(200));
    }
    let calling = Speaks::Http10.call(edge.callers, FIXED, "r-1", ReadPace::AT_ONCE);
    let killing = async {
        time::sleep(Duration::from_millis(700)).await;
        edge.signal("KILL");
    };
    let (got, ()) = tokio::join!(calling, killing);
    assert!(!whole_events(&got.text).is_empty(), "{got:?}");
    assert!((whole_events(&got.text).len() as u64) < EVENTS, "{got:?}");
    assert_eq!(got.end, AnswerEnd::Reset, "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_that_stops_completes_the_streams_of_slow_callers_of_http10() {
    let mut edge = Edge::start(ENDPOINTS).await;
    for runner in &edge.runners {
        runner.long_responses(LONG_EVENTS, LONG_PADDING);
        runner.pace(Duration::from_millis(1));
    }
    let calling = Speaks::Http10.call(edge.callers, FIXED_LONG, "r-1", SLOW);
    let stopping = async {
        time::sleep(Duration::from_millis(500)).await;
        edge.signal("TERM");
    };
    let (got, ()) = tokio::join!(calling, stopping);
    let whole = got.text == long_stream("r-1");
    assert!(whole, "{} bytes", got.text.len());
    assert_eq!(got.end, AnswerEnd::Closed);
    assert_eq!(edge.exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_of_http10_that_is_cut_for_want_of_memory_sees_a_reset() {
    let site = Site::start(211, 1, ENDPOINTS).await;
    for runner in site.runners.iter() {
        runner.long_responses(LONG_EVENTS, LONG_PADDING);
        runner.pace(Duration::ZERO);
    }
    let gateway = &site.instances[0].gateway;
    gateway.set_bounds(GatewayBounds {
        held: HeldLimits {
            per_caller_bytes: 256 << 10,
            total_bytes: 512 << 10,
        },
        ..gateway.bounds()
    });
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = RawCaller::connect(site.callers[0]).await.expect("connect");
        let request = Speaks::Http10.request(FIXED_LONG, &format!("r-{number}"));
        caller.send(&request).await.expect("an open connection");
        callers.push(caller);
    }
    until("cuts", || gateway.metrics.callers_cut.get() >= 5).await;
    let mut resets = 0;
    for (number, caller) in callers.iter_mut().enumerate() {
        // Nothing arrived at one that was cut at once.
        let Some(got) = caller.read_answer().await else {
            continue;
        };
        resets += usize::from(got.end == AnswerEnd::Reset);
        let is_whole = got.text == long_stream(&format!("r-{number}"));
        assert!(!got.is_complete() || is_whole, "{} bytes", got.text.len());
    }
    assert!(resets >= 5, "{resets} callers saw a reset");
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_of_http10_that_closes_its_side_gets_no_short_stream() {
    let site = Site::start(212, 1, ENDPOINTS).await;
    let mut caller = RawCaller::connect(site.callers[0]).await.expect("connect");
    let request = Speaks::Http10.request(FIXED, "r-1");
    caller.send(&request).await.expect("an open connection");
    time::sleep(Duration::from_millis(80)).await;
    caller.close_sending().await.expect("an open connection");
    let got = caller.read_answer().await.expect("an answer");
    let stream: String = (1..=EVENTS).map(|number| event("r-1", number)).collect();
    assert!(!got.is_complete() || got.text == stream, "{got:?}");
}
