//! Answers of endpoints whose status promises callers that the request did not run and never will.
//!
//! Guards against callers that repeat a request which has run: an endpoint runs it, fails, and answers 408, 429 or 503
//! without saying that it did not run. From an instance the same status is that promise.

use std::sync::Arc;

use hyper::StatusCode;
use standins::{
    proxy::Mode,
    runner::{Runner, Seen},
    scripted_answer::{ConnectionEnd, Script, ScriptedAnswer},
};
use tokio::time::{self, Duration};

use crate::{
    cut_links::{LinkedSite, send_requests},
    site::Site,
    support::{CallerResponse, exchange, request},
};

/// The statuses that are such a promise, except 421: under the id of another endpoint it says that a request did not run.
const PROMISES: [u16; 3] = [408, 429, 503];
const PATHS: [&str; 5] = [
    "/once/x",
    "/again/x",
    "/fixed/stream",
    "/resume/stream",
    "/open/x",
];
/// Time in which an instance finds that it is cut off.
const DETECTION: Duration = Duration::from_secs(1);

/// What an endpoint says beside the status.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Says {
    status: u16,
    not_executed: bool,
    is_signed: bool,
    retry_after: bool,
}

impl Says {
    fn answer(self, seen: &Seen) -> Option<ScriptedAnswer> {
        let id = seen.headers.get("request-id")?;
        let mut head = format!("HTTP/1.1 {} Status\r\nRequest-Id: {id}\r\n", self.status);
        for (line, is_sent) in [
            ("Not-Executed: 1\r\n", self.not_executed),
            ("Instance-Signature: 3e1b.07\r\n", self.is_signed),
            ("Retry-After: 0.2\r\n", self.retry_after),
        ] {
            if is_sent {
                head.push_str(line);
            }
        }
        head.push_str("Content-Length: 5\r\n\r\nerror");
        Some(ScriptedAnswer::new(head, ConnectionEnd::Kept))
    }
}

/// Returns all statuses, signed and not, of endpoints that ran the request and do not say that they did not.
fn unproven() -> Vec<Says> {
    let mut all = Vec::new();
    for status in PROMISES {
        for (is_signed, retry_after) in [(false, false), (true, false), (false, true)] {
            all.push(Says {
                status,
                not_executed: false,
                is_signed,
                retry_after,
            });
        }
    }
    all
}

fn let_all_say(runners: &[Runner], says: Says) {
    for runner in runners {
        runner.follow_script(Script::new(move |seen| says.answer(seen)));
    }
}

fn is_promise(got: &CallerResponse) -> bool {
    got.status == StatusCode::MISDIRECTED_REQUEST || PROMISES.contains(&got.status.as_u16())
}

/// Returns whether a request was sent to one of the endpoints.
fn has_run(runners: &[Runner], id: &str) -> bool {
    let sent = |seen: &Seen| seen.headers.get("request-id").is_some_and(|i| i == id);
    runners.iter().any(|r| r.seen().iter().any(sent))
}

/// Sends requests of all kinds that run at endpoints, and checks that no answer is a promise that they did not.
async fn check_that_no_promise_is_made(
    what: &str,
    runners: &[Runner],
    call: impl AsyncFn(&str, &str) -> CallerResponse,
) {
    let (mut wrong, mut runs) = (Vec::new(), 0);
    for (number, says) in unproven().into_iter().enumerate() {
        let_all_say(runners, says);
        for path in PATHS {
            let id = format!("{what}-{number}-{path}");
            let got = call(path, &id).await;
            // Endpoints that asked for a pause are not sent the next requests.
            if !has_run(runners, &id) {
                continue;
            }
            runs += 1;
            // A signature states that the status is the endpoint's own.
            if is_promise(&got) || got.headers.contains_key("instance-signature") {
                wrong.push(format!("{says:?} on {path}: {}", got.status));
            }
        }
        time::sleep(Duration::from_millis(250)).await;
    }
    assert!(runs >= unproven().len(), "only {runs} requests ran");
    assert!(wrong.is_empty(), "{} promises: {wrong:#?}", wrong.len());
}

/// One endpoint answers all requests, and several of them one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_has_run_is_not_answered_with_a_promise_that_it_did_not() {
    for (net, endpoints) in [(10, 1), (11, 3)] {
        let site = Site::start(net, 1, endpoints).await;
        let runners: &Arc<Vec<Runner>> = &site.runners;
        let call = async |path: &str, id: &str| site.call(0, path, id, "a prompt").await;
        check_that_no_promise_is_made(&format!("of-{endpoints}"), runners, call).await;
    }
}

/// The instance is cut off from the endpoints, and another one carries the requests.
#[tokio::test(flavor = "multi_thread")]
async fn carried_request_that_has_run_is_not_answered_with_a_promise_that_it_did_not() {
    let site = LinkedSite::start(13, 3, 3).await;
    site.cut(1, Mode::Unreachable);
    send_requests(&site.callers[..1], "/again/w", DETECTION).await;
    let call = async |path: &str, id: &str| {
        let got = exchange(site.callers[0], request(path, id, &[])).await;
        got.expect("an answer")
    };
    check_that_no_promise_is_made("carried", &site.runners, call).await;
}

/// The first endpoint breaks its connection after the run, and the next one says that it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_an_earlier_endpoint_ran_is_not_answered_with_a_promise_that_it_did_not() {
    let site = Site::start(16, 1, 2).await;
    for status in PROMISES {
        let says = Says {
            status,
            not_executed: true,
            is_signed: false,
            retry_after: false,
        };
        for (index, runner) in site.runners.iter().enumerate() {
            runner.follow_script(Script::new(move |seen| match index {
                0 => Some(ScriptedAnswer::new("HTTP/1.1 5", ConnectionEnd::Closed)),
                _ => says.answer(seen),
            }));
        }
        for number in 0..8 {
            let id = format!("mixed-{status}-{number}");
            let got = site.call(0, "/again/x", &id, "a prompt").await;
            let has_run = has_run(&site.runners[..1], &id);
            assert!(!(has_run && is_promise(&got)), "{id}: {}", got.status);
        }
    }
}

/// What an endpoint says itself stays what it is: the promise that a request did not run, and other failures.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_that_say_so_and_other_failures_are_passed_on() {
    let site = Site::start(17, 1, 1).await;
    for status in [429, 503] {
        let says = Says {
            status,
            not_executed: true,
            is_signed: false,
            retry_after: false,
        };
        let_all_say(&site.runners, says);
        let got = site
            .call(0, "/once/x", &format!("n-{status}"), "a prompt")
            .await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{says:?}");
    }
    for status in [400, 404, 409, 418, 500, 501, 504, 507] {
        let says = Says {
            status,
            not_executed: false,
            is_signed: true,
            retry_after: false,
        };
        let_all_say(&site.runners, says);
        let got = site
            .call(0, "/once/x", &format!("o-{status}"), "a prompt")
            .await;
        assert_eq!(got.status.as_u16(), status);
        assert_eq!(got.headers["instance-signature"], "3e1b.07");
    }
}
