//! Checks of the guarantees against what callers received and endpoints ran.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use hyper::StatusCode;

use crate::{
    runner::whole_body,
    soak::{
        CONFIG_PROPAGATION, KEY_REVOCATION, RACE_MARGIN, Report, RunState, World, announcements,
        bad_parts, brittle,
        callers::{Outcome, Sent},
        cuts, data_centres, limits, lost, organisations, resumptions, rollouts, slow_callers,
    },
    stream_check::{self, Expected},
};

/// Minimum share of the requests in the calm phase that must be served.
const CALM_SHARE: f64 = 0.9;

/// One execution of a request on an endpoint.
struct Run {
    endpoint: usize,
    at: Instant,
}

/// Checks a completed soak run.
pub fn check(world: &World) -> Report {
    let sent = world.sent.lock().expect("no holder panics");
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for (endpoint, runner) in world.all_runners().enumerate() {
        for seen in runner.seen().into_iter().filter(|s| s.has_run) {
            let id = seen.headers.get("request-id").cloned().unwrap_or_default();
            let run = Run {
                endpoint,
                at: seen.at,
            };
            runs.entry(id).or_default().push(run);
        }
    }
    let run_state = world.run_state();
    let mut report = Report {
        requests: sent.len(),
        breaches: run_state.breaches.clone(),
        ..Report::default()
    };
    let broken_unframed = broken_unframed(world);
    let no_runs = Vec::new();
    for (id, one) in sent.iter() {
        let runs = runs.get(id).unwrap_or(&no_runs);
        let mut breach = |what: &str| report.breaches.push(format!("{id}: {what}: {one:?}"));
        check_runs(one, runs, &run_state, &mut breach);
        // Its caller is told as little of its end as its instance was.
        let may_end_unframed = one.path.runs_once() && broken_unframed.contains(id);
        let is_served = check_answer(id, one, runs, may_end_unframed, &mut breach);
        report.served += usize::from(is_served);
    }
    let was_sent = |id: &str| sent.contains_key(id) || run_state.other_ids.contains(id);
    for id in runs.keys().filter(|id| !was_sent(id)) {
        let unknown = format!("{id}: ran, and nobody sent it");
        report.breaches.push(unknown);
    }
    check_calm(&sent, &run_state, &mut report);
    lost::check(world, &sent, &run_state, &mut report);
    limits::check(world, &run_state, &mut report);
    organisations::check(world, &sent, &run_state, &mut report);
    announcements::check(world, &sent, &run_state, &mut report);
    data_centres::check(world, run_state.data_centres, &mut report);
    slow_callers::check(world, &sent, &run_state, &mut report);
    cuts::check(&sent, &run_state, &mut report);
    brittle::check(world, &mut report);
    rollouts::check(world, &run_state, &mut report);
    drop(run_state);
    resumptions::check(world, &sent, &mut report);
    drop(sent);
    bad_parts::check(world, &mut report);
    report
}

fn check_runs(sent: &Sent, runs: &[Run], run_state: &RunState, breach: &mut impl FnMut(&str)) {
    if sent.path.runs_once() && runs.len() > 1 {
        breach("ran more than once");
    }
    if !sent.path.runs_once() && runs.len() > 2 {
        breach("ran on more endpoints than its route allows");
    }
    let revoked = run_state.revoked.iter().find(|(key, _)| *key == sent.key);
    if let Some((_, at)) = revoked
        && sent.at > *at + KEY_REVOCATION
        && !runs.is_empty()
    {
        breach("ran with a key that was taken away");
    }
    for (endpoint, at) in &run_state.draining {
        let late = runs.iter().filter(|r| r.endpoint == *endpoint);
        if late
            .into_iter()
            .any(|r| r.at > *at + CONFIG_PROPAGATION + RACE_MARGIN)
        {
            breach("reached an endpoint that leaves");
        }
    }
}

/// Returns the ids of requests of which an endpoint broke off an answer that the close of its connection alone delimits.
pub fn broken_unframed(world: &World) -> HashSet<String> {
    let seen = world.all_runners().flat_map(|runner| runner.seen());
    let broken = seen.filter(|s| s.was_unframed && s.was_broken_off);
    broken
        .filter_map(|s| s.headers.get("request-id").cloned())
        .collect()
}

/// Checks the response to a request, which the close of its connection may delimit too early if `may_end_unframed`; returns
/// whether the request was served.
fn check_answer(
    id: &str,
    sent: &Sent,
    runs: &[Run],
    may_end_unframed: bool,
    breach: &mut impl FnMut(&str),
) -> bool {
    let Some(Outcome::Answered {
        status,
        body,
        is_whole,
        is_framed,
        is_signed,
    }) = &sent.outcome
    else {
        return false;
    };
    let not_run_statuses = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    if not_run_statuses.contains(status) && !runs.is_empty() {
        breach("refused as not run, and it ran");
    }
    if !status.is_success() {
        return false;
    }
    if !is_signed {
        breach("a success without an endpoint's proof");
    }
    if let (Some(answer), Some(expected)) = (sent.stream_answer(id), sent.path.stream()) {
        let expected = Expected {
            may_end_unframed,
            ..expected
        };
        if let Some(wrong) = stream_check::find_breach(&[answer], &expected) {
            breach(&format!("not its stream: {wrong}"));
        }
        return *is_whole;
    }
    let expected = whole_body(id);
    let text = String::from_utf8_lossy(body);
    let may_be_short = may_end_unframed && !is_framed && !text.is_empty();
    match *is_whole && !may_be_short {
        true if *text != *expected => breach("not the whole answer, and it looked whole"),
        false if !expected.starts_with(&*text) => breach("not the beginning of its answer"),
        _ => {}
    }
    *is_whole
}

/// Checks that nearly all requests of the calm phase are served and that a planned stop interrupts none.
fn check_calm(sent: &HashMap<String, Sent>, run_state: &RunState, report: &mut Report) {
    let Some(from) = run_state.calm_since else {
        return;
    };
    let revoked: Vec<&String> = run_state.revoked.iter().map(|(key, _)| key).collect();
    let eligible = sent
        .iter()
        .filter(|(_, s)| s.at > from && !revoked.contains(&&s.key))
        .filter(|(_, s)| !organisations::is_limited(&s.key));
    // Excludes requests still in flight at the end.
    let eligible: Vec<_> = eligible.filter(|(_, s)| s.outcome.is_some()).collect();
    let served = eligible.iter().filter(|(_, s)| {
        matches!(&s.outcome, Some(Outcome::Answered { status, is_whole: true, .. }) if status.is_success())
    });
    let (served, all) = (served.count(), eligible.len());
    if all == 0 || (served as f64) < all as f64 * CALM_SHARE {
        let shown = eligible.iter().find(|(_, s)| !matches!(&s.outcome, Some(Outcome::Answered { status, .. }) if status.is_success()));
        report.breaches.push(format!(
            "{served} of {all} served without faults, as {shown:?}"
        ));
    }
    let cut = eligible.iter().filter(|(_, s)| {
        let is_whole = s.outcome.as_ref().is_some_and(Outcome::is_whole);
        run_state
            .stopped
            .iter()
            .any(|(index, _)| *index == s.instance)
            && !is_whole
    });
    for (id, one) in cut {
        let cut = format!("{id}: cut off by a planned stop: {one:?}");
        report.breaches.push(cut);
    }
}
