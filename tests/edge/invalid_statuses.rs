//! Answers of endpoints whose status is that of no final answer.
//!
//! Guards against callers that get bytes which are no answer in the protocol: a status such as 000, 101 or 999 was
//! passed on, and a request that may run again was not sent elsewhere.

use std::sync::atomic::{AtomicUsize, Ordering};

use standins::{
    proxy::Mode,
    raw_caller::{self, RawAnswer},
    runner::{Runner, Seen},
    scripted_answer::{ConnectionEnd, Script, ScriptedAnswer, chunk},
};
use tokio::time::Duration;

use crate::{
    cut_links::{LinkedSite, send_requests},
    site::Site,
    support::KEY,
};

const STATUSES: [&str; 17] = [
    "000", "001", "099", "00", "0", "20", "2000", "abc", "-20", "101", "199", "600", "700", "800",
    "900", "999", "200x",
];
const PATHS: [&str; 4] = ["/once/x", "/again/x", "/fixed/stream", "/resume/stream"];
const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];
/// Time in which an instance finds that it is cut off.
const DETECTION: Duration = Duration::from_secs(1);

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    Close,
}

/// Returns an answer with this status that has all that a success has.
fn answer(seen: &Seen, status: &str, framing: Framing) -> Option<ScriptedAnswer> {
    let id = seen.headers.get("request-id")?;
    let (line, body, end) = match framing {
        Framing::Length => ("Content-Length: 4\r\n", "body".into(), ConnectionEnd::Kept),
        Framing::Chunked => (
            "Transfer-Encoding: chunked\r\n",
            chunk("body") + "0\r\n\r\n",
            ConnectionEnd::Kept,
        ),
        Framing::Close => (
            "Connection: close\r\n",
            "body".into(),
            ConnectionEnd::Closed,
        ),
    };
    let text = format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nInstance-Signature: 3e1b.07\r\n{line}\r\n{body}"
    );
    Some(ScriptedAnswer::new(text, end))
}

fn let_answer(runners: &[Runner], status: &'static str, framing: Framing) {
    for runner in runners {
        runner.follow_script(Script::new(move |seen| answer(seen, status, framing)));
    }
}

async fn call(addr: std::net::SocketAddr, path: &str) -> Option<RawAnswer> {
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: s-{id:06}\r\nDeadline-Ms: 5000\r\n\
         Authorization: {KEY}\r\nConnection: close\r\nContent-Length: 8\r\n\r\na prompt"
    );
    raw_caller::exchange(addr, &request).await
}

/// Checks that callers get an answer of the instance's own, whatever the endpoints' status and framing.
async fn check_all_statuses(runners: &[Runner], addr: std::net::SocketAddr) {
    let mut wrong = Vec::new();
    for status in STATUSES {
        for framing in FRAMINGS {
            let_answer(runners, status, framing);
            for path in PATHS {
                let got = call(addr, path).await;
                let is_own = got.as_ref().is_some_and(|got| {
                    matches!(got.status(), Some(502 | 503))
                        && !got.head.contains("instance-signature")
                });
                if !is_own {
                    wrong.push(format!("{status} {framing:?} {path}: {got:?}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} passed on: {wrong:#?}", wrong.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn status_of_no_final_answer_is_not_passed_on() {
    let site = Site::start(18, 1, 2).await;
    check_all_statuses(&site.runners, site.callers[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_status_of_no_final_answer_is_not_passed_on() {
    let site = LinkedSite::start(20, 3, 2).await;
    site.cut(1, Mode::Unreachable);
    send_requests(&site.callers[..1], "/again/w", DETECTION).await;
    check_all_statuses(&site.runners, site.callers[0]).await;
}

/// One of two endpoints answers this way; the other one serves.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_run_again_is_served_elsewhere_after_a_status_of_no_final_answer() {
    for (net, path) in [(21, "/again/x"), (22, "/resume/stream")] {
        let site = Site::start(net, 1, 2).await;
        for status in ["000", "101", "600", "999"] {
            let_answer(&site.runners[..1], status, Framing::Length);
            for _ in 0..4 {
                let got = call(site.callers[0], path).await.expect("an answer");
                assert_eq!(got.status(), Some(200), "{status} on {path}: {got:?}");
            }
        }
        let reached = site.runners[0].seen().len();
        assert!(reached > 0, "no request reached the endpoint");
    }
}
