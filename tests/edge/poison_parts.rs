//! A part of prompts that crashes the endpoints which begin to answer a request with it reaches few of them, and the
//! requests that share everything else are served.
//!
//! No two requests are alike. All share the first part of their prompts; the bad ones share their second part, the
//! others belong to sessions.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tokio::{task::JoinSet, time};

use crate::{
    site::Site,
    support::{CallerResponse, exchange, request},
};

const ENDPOINTS: usize = 16;
/// Part of the body of every bad request.
const MARK: &str = "crashes what answers it";
/// The part of their prompts that bad requests share.
const BAD_PART: &str = "bad0:60";
const SOUND_PER_S: usize = 40;
const BAD_PER_S: usize = 10;
/// Sessions of the sound requests.
const SESSIONS: usize = 12;
/// Time before the first bad request, and from then on.
const CALM: Duration = Duration::from_secs(2);
const LASTS: Duration = Duration::from_secs(8);
/// No bad request may reach an endpoint later than this after the fifth crash.
const TAKES_EFFECT: Duration = Duration::from_secs(1);
/// From this time after the fifth crash on, sound requests must be served at least half as often as before.
const RECOVERED: Duration = Duration::from_secs(2);

/// A request as its caller saw it.
struct Sent {
    at: Instant,
    is_bad: bool,
    got: Option<CallerResponse>,
}

impl Sent {
    fn is_served(&self) -> bool {
        let got = self.got.as_ref();
        got.is_some_and(|got| got.status == StatusCode::OK && got.is_whole)
    }

    /// Whether it was refused because of crashes: no other refusal has a Retry-After of more than a minute.
    fn is_blocked(&self) -> bool {
        let got = self.got.as_ref();
        got.and_then(CallerResponse::retry_after_s)
            .is_some_and(|s| s > 60.0)
    }
}

async fn send(site: &Site, path: &str, number: usize, is_bad: bool) -> Sent {
    let at = Instant::now();
    let session = number % SESSIONS;
    let parts = match is_bad {
        true => format!("a0:100,{BAD_PART},{number:x}:20"),
        false => format!("a0:100,5e55{session:x}:60,{number:x}:20"),
    };
    let mut request = request(path, &format!("r-{number}"), &[("prefix-hash", &parts)]);
    *request.body_mut() = match is_bad {
        true => format!("{MARK} {number}").into(),
        false => format!("sound {number}").into(),
    };
    let got = exchange(site.callers[number % site.callers.len()], request).await;
    Sent { at, is_bad, got }
}

/// Sends sound requests all the time, and bad ones after a while.
async fn run(site: &Arc<Site>, path: &'static str) -> Vec<Sent> {
    let began = time::Instant::now();
    let mut calls = JoinSet::new();
    let mut number = 0;
    let mut tick = time::interval(Duration::from_secs(1) / (SOUND_PER_S + BAD_PER_S) as u32);
    while began.elapsed() < CALM + LASTS {
        tick.tick().await;
        number += 1;
        let is_bad =
            number % (SOUND_PER_S + BAD_PER_S) * BAD_PER_S % (SOUND_PER_S + BAD_PER_S) < BAD_PER_S;
        if is_bad && began.elapsed() < CALM {
            continue;
        }
        let site = site.clone();
        calls.spawn(async move { send(&site, path, number, is_bad).await });
    }
    calls.join_all().await
}

/// Returns the share of sound requests that were served, of those sent in a span.
fn served_share(sent: &[Sent], from: Instant, until: Instant) -> f64 {
    let sound = sent
        .iter()
        .filter(|s| !s.is_bad && s.at >= from && s.at < until);
    let served: Vec<bool> = sound.map(Sent::is_served).collect();
    served.iter().filter(|is_served| **is_served).count() as f64 / served.len().max(1) as f64
}

async fn check_bad_part(net: u8, instances: usize, path: &'static str) {
    let site = Arc::new(Site::start(net, instances, ENDPOINTS).await);
    for runner in site.runners.iter() {
        runner.crash_on(MARK.as_bytes());
    }
    let began = Instant::now();
    let sent = run(&site, path).await;
    let seen = site.runners.iter().flat_map(|r| r.seen());
    let bad = seen.filter(|s| String::from_utf8_lossy(&s.body).contains(MARK));
    let mut reached: Vec<Instant> = bad.filter(|s| s.has_run).map(|s| s.at).collect();
    reached.sort_unstable();
    let fifth = reached.get(4).or(reached.last()).copied().expect("a crash");
    let late = reached
        .iter()
        .filter(|at| at.duration_since(fifth) > TAKES_EFFECT);
    let late = late.count();
    let before = served_share(&sent, began, began + CALM);
    let after = served_share(&sent, fifth + RECOVERED, began + CALM + LASTS);
    let blocked = sent.iter().filter(|s| !s.is_bad && s.is_blocked()).count();
    println!(
        "{path} at {instances}: {} reached, {late} late; sound served {before:.2} before, {after:.2} after, {blocked} blocked",
        reached.len()
    );
    assert_eq!(
        late,
        0,
        "of {} requests that reached endpoints",
        reached.len()
    );
    assert!(
        after >= before / 2.0,
        "{after} of sound requests served, {before} before"
    );
    assert_eq!(blocked, 0, "sound requests blocked");
}

#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_endpoints_reaches_few_of_them() {
    check_bad_part(150, 7, "/once/w").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_endpoints_reaches_few_of_them_with_two_attempts() {
    check_bad_part(151, 7, "/again/w").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_endpoints_reaches_few_of_them_by_streams() {
    check_bad_part(152, 7, "/resume/w/stream").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_endpoints_reaches_few_of_them_in_a_large_group() {
    check_bad_part(153, 18, "/again/w").await;
}
