//! Check that no request is lost: one that reached an instance gets a complete response, unless a disturbance explains it.
//!
//! Silent endpoints, changes of the configuration, planned stops, reloads and drains explain nothing.

use std::{
    collections::HashMap,
    fmt::Write as _,
    time::{Duration, Instant},
};

use crate::{
    runner::Seen,
    soak::{
        RACE_MARGIN, Report, RunState, World,
        callers::{Outcome, Sent},
    },
};

/// A request that is closed by an instance sooner than this after it was sent may have crossed the close.
const CROSSING: Duration = Duration::from_millis(200);
/// `graceS` of the settings: a planned stop ends what is still running then.
const GRACE: Duration = Duration::from_secs(8);
/// Time that an instance gives callers to close idle connections first.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// An arrival of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    endpoint: usize,
    at: Instant,
    has_run: bool,
    has_finished: bool,
    was_broken_off: bool,
    left_at: Option<Instant>,
    /// When the endpoint ended, unless the instance had left it before.
    endpoint_ended_at: Option<Instant>,
}

/// A request that ended without a complete response.
struct Incomplete<'a> {
    id: &'a str,
    sent: &'a Sent,
    ended_at: Instant,
    has_begun: bool,
    arrivals: &'a [Arrival],
}

/// Checks all requests whose outcome is known.
pub(super) fn check(
    world: &World,
    sent: &HashMap<String, Sent>,
    run_state: &RunState,
    report: &mut Report,
) {
    let arrivals = arrivals_by_id(world);
    let no_arrivals = Vec::new();
    let mut lost: Vec<(Instant, String)> = Vec::new();
    for (id, one) in sent {
        let (Some(outcome), Some(ended_at)) = (&one.outcome, one.ended_at) else {
            continue;
        };
        if outcome.is_whole() || matches!(outcome, Outcome::NotSent) {
            continue;
        }
        let incomplete = Incomplete {
            id,
            sent: one,
            ended_at,
            has_begun: matches!(outcome, Outcome::Answered { .. }),
            arrivals: arrivals.get(id).unwrap_or(&no_arrivals),
        };
        let was_quiet = run_state.quiet.is_some_and(|q| q.contains(one.at));
        let is_allowed = incomplete.may_end_so(run_state);
        let is_explained = !was_quiet && incomplete.is_explained(run_state);
        if !is_allowed && !is_explained {
            lost.push((one.at, incomplete.describe(run_state, was_quiet)));
        }
    }
    lost.sort();
    report
        .breaches
        .extend(lost.into_iter().map(|(_, lost)| lost));
}

fn arrivals_by_id(world: &World) -> HashMap<String, Vec<Arrival>> {
    let mut arrivals: HashMap<String, Vec<Arrival>> = HashMap::new();
    for (endpoint, runner) in world.all_runners().enumerate() {
        let ends = runner.ended_at();
        for seen in runner.seen() {
            let Some(id) = seen.headers.get("request-id") else {
                continue;
            };
            let of_id = arrivals.entry(id.clone()).or_default();
            of_id.push(arrival(endpoint, &seen, &ends));
        }
    }
    arrivals
}

fn arrival(endpoint: usize, seen: &Seen, ends: &[Instant]) -> Arrival {
    Arrival {
        endpoint,
        at: seen.at,
        has_run: seen.has_run,
        has_finished: seen.finished,
        was_broken_off: seen.was_broken_off,
        left_at: seen.left_at,
        endpoint_ended_at: ends
            .iter()
            .copied()
            .find(|at| *at >= seen.at)
            .filter(|at| seen.left_at.is_none_or(|left_at| *at <= left_at)),
    }
}

impl Incomplete<'_> {
    /// Returns whether it may end so even if nothing is disturbed: at its time limit, or closed before it was read.
    fn may_end_so(&self, run_state: &RunState) -> bool {
        let timeout = run_state.shortest_timeout(self.sent.path, self.sent.at);
        let is_over_time = self.has_begun && self.ended_at - self.sent.at >= timeout;
        is_over_time || self.crossed_close(run_state) || self.outlasted_grace(run_state)
    }

    /// Returns whether it was sent on a connection that its instance had a reason to close, and was not passed on.
    fn crossed_close(&self, run_state: &RunState) -> bool {
        let sent_at = self.sent.whole_at.unwrap_or(self.sent.at);
        let is_soon = self.ended_at.saturating_duration_since(sent_at) < CROSSING;
        let idle_timeout = run_state.shortest_idle_timeout(self.sent.at) + IDLE_MARGIN;
        let was_idle = self
            .sent
            .idle_for
            .is_some_and(|d| d + CROSSING >= idle_timeout);
        let is_stopping = self.stop_of(run_state).is_some();
        !self.has_begun && self.arrivals.is_empty() && is_soon && (was_idle || is_stopping)
    }

    /// Returns whether a planned stop ended it at the end of its grace period.
    fn outlasted_grace(&self, run_state: &RunState) -> bool {
        let stop = self.stop_of(run_state);
        stop.is_some_and(|at| self.ended_at >= at + GRACE.mul_f64(5.0 / 6.0))
    }

    /// Returns when the planned stop of its instance began during which it ended.
    fn stop_of(&self, run_state: &RunState) -> Option<Instant> {
        let stops = run_state.signals.iter().filter(|s| {
            let is_in_grace = self.ended_at >= s.at && self.ended_at < s.at + GRACE + RACE_MARGIN;
            s.name == "TERM" && s.instance == self.sent.instance && is_in_grace
        });
        stops.map(|s| s.at).min()
    }

    /// Returns whether a disturbance explains it. Whatever endpoints do, a response must begin.
    fn is_explained(&self, run_state: &RunState) -> bool {
        self.was_killed_or_frozen(run_state)
            || (self.has_begun && (self.was_cut_off(run_state) || self.was_broken_off(run_state)))
    }

    fn was_killed_or_frozen(&self, run_state: &RunState) -> bool {
        let own = run_state.signals.iter();
        let own: Vec<_> = own.filter(|s| s.instance == self.sent.instance).collect();
        own.iter().enumerate().any(|(number, signal)| {
            let until = match signal.name {
                "KILL" => signal.at,
                "STOP" => {
                    let continued = own[number..].iter().find(|s| s.name == "CONT");
                    continued.map_or(self.ended_at, |s| s.at)
                }
                _ => return false,
            };
            self.overlaps(signal.at, until)
        })
    }

    /// Returns whether its instance was cut off from the endpoints.
    fn was_cut_off(&self, run_state: &RunState) -> bool {
        let mut cuts = run_state.cuts.iter();
        cuts.any(|c| c.instance == self.sent.instance && self.overlaps(c.from, c.until))
    }

    /// Returns whether an endpoint that ran it broke off or ended, or the network path to one had a fault.
    fn was_broken_off(&self, run_state: &RunState) -> bool {
        self.arrivals.iter().any(|arrival| {
            let mut impaired = run_state.impaired.iter();
            arrival.was_broken_off
                || arrival
                    .endpoint_ended_at
                    .is_some_and(|at| at <= self.ended_at)
                || impaired.any(|(endpoint, from, until)| {
                    *endpoint == arrival.endpoint && self.overlaps(*from, *until)
                })
        })
    }

    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        from <= self.ended_at && until + RACE_MARGIN >= self.sent.at
    }

    fn describe(&self, run_state: &RunState, was_quiet: bool) -> String {
        let sent = self.sent;
        let ms = |at: Instant| at.saturating_duration_since(sent.at).as_millis();
        let start = run_state.time_limits.first().map_or(sent.at, |l| l.from);
        let what = match (self.has_begun, sent.whole_at) {
            (true, _) => "lost: its response is cut",
            (false, Some(_)) => "lost: no response",
            (false, None) => "lost: no response, and it could not be sent whole",
        };
        let phase = if was_quiet {
            ", in the quiet phase"
        } else {
            ""
        };
        let mut text = format!(
            "{}: {what}{phase}: {:?} at instance {}, {} ms after the start, ended after {} ms, sent whole after {:?} ms, idle before {:?}",
            self.id,
            sent.path,
            sent.instance,
            sent.at.saturating_duration_since(start).as_millis(),
            ms(self.ended_at),
            sent.whole_at.map(ms),
            sent.idle_for,
        );
        for arrival in self.arrivals {
            let _ = write!(
                text,
                "; at endpoint {} after {} ms, run {}, finished {}, broken off {}, left after {:?} ms",
                arrival.endpoint,
                ms(arrival.at),
                arrival.has_run,
                arrival.has_finished,
                arrival.was_broken_off,
                arrival.left_at.map(ms),
            );
        }
        text
    }
}
