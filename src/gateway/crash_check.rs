//! Finds out whether an endpoint has crashed when a connection to it is lost.
//!
//! Connections are lost for many reasons: a reset on the way, a broken link, an endpoint that fails some of its
//! requests. An endpoint has crashed if its address refuses connections while other endpoints are reached, and either
//! no request of this instance is in flight there any more or the refusals last for a third of a second. An address
//! that does not answer at all proves nothing, as the link to it may be broken.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time};

use crate::{
    balance::{balancer::Choice, load::EndpointKey, readiness::Readiness},
    gateway::{
        attempt::Job, link_probes::Probed, protocol::Protocol, report::log_crash, state::Gateway,
    },
    prelude::Micros,
};

/// Delays before the probes of one check. All connections to a crashed endpoint are lost within some milliseconds;
/// where requests of this instance still seem to be in flight, the later probes decide.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(100),
    Duration::from_millis(200),
];
/// How long the verdict on an endpoint is kept: requests that were sent just before a crash may fail later.
const VERDICT_TTL_US: Micros = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Pending,
    Alive,
    Crashed,
}

/// A check of one endpoint, running or finished.
struct Check {
    started_us: Micros,
    verdict: watch::Receiver<Verdict>,
}

/// The endpoints that are being checked, and those that crashed recently.
#[derive(Default)]
pub struct CrashChecks {
    checks: Mutex<HashMap<EndpointKey, Check>>,
}

impl CrashChecks {
    /// Returns the verdict on an endpoint, and its sender if the caller is to run the check.
    fn join(
        &self,
        now_us: Micros,
        key: EndpointKey,
    ) -> (watch::Receiver<Verdict>, Option<watch::Sender<Verdict>>) {
        let mut checks = self.checks.lock().unwrap_or_else(PoisonError::into_inner);
        checks.retain(|_, check| {
            let is_recent = now_us.saturating_sub(check.started_us) < VERDICT_TTL_US;
            // A connection may be reset twice in a second: an endpoint found alive is checked again on the next loss.
            is_recent && *check.verdict.borrow() != Verdict::Alive
        });
        if let Some(check) = checks.get(&key) {
            return (check.verdict.clone(), None);
        }
        let (sender, verdict) = watch::channel(Verdict::Pending);
        let check = Check {
            started_us: now_us,
            verdict: verdict.clone(),
        };
        checks.insert(key, check);
        (verdict, Some(sender))
    }
}

/// A run of a request that was lost with its connection.
#[derive(Clone, Debug)]
pub struct LostRun {
    /// The endpoint.
    pub choice: Choice,
    /// Whether an earlier run of the request was lost.
    pub lost_before: bool,
    /// The time since the first event of its answer; `None` if there was none.
    pub answering_us: Option<Micros>,
}

/// Checks whether the endpoint to which a request has just lost its connection has crashed, and records the crash
/// against the request. Only a request that is suspected of crashing endpoints waits for the result; any other may be
/// retried at once.
pub async fn on_connection_lost<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Arc<Job>,
    lost: LostRun,
) {
    let is_suspected = lost.lost_before || gateway.is_suspected(job);
    // A task of its own, since the caller may disconnect meanwhile.
    let recording = tokio::spawn(record_crash(gateway.clone(), job.clone(), lost));
    if is_suspected {
        // This fails only while the process shuts down.
        let _ = recording.await;
    }
}

async fn record_crash<P: Protocol>(gateway: Arc<Gateway<P>>, job: Arc<Job>, lost: LostRun) {
    let choice = &lost.choice;
    if !has_crashed(&gateway, choice.key, choice.addr).await {
        return;
    }
    let crashes = gateway.note_crash(&job, &lost);
    log_crash(&gateway, &job, &lost, crashes);
}

/// Returns whether the endpoint to which a connection has just been lost has crashed. This takes 40 ms or more, and at
/// most 1.1 s for three delays and three connects that time out.
pub async fn has_crashed<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    key: EndpointKey,
    addr: SocketAddr,
) -> bool {
    let (mut verdict, sender) = gateway.crash_checks.join(gateway.clock.now_us(), key);
    if let Some(sender) = sender {
        let prober = gateway.clone();
        tokio::spawn(async move {
            let found = probe(&prober, key, addr).await;
            sender.send_replace(found);
        });
    }
    let verdict = verdict.wait_for(|v| *v != Verdict::Pending).await;
    // Without a verdict the process is shutting down.
    verdict.is_ok_and(|v| *v == Verdict::Crashed)
}

async fn probe<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    key: EndpointKey,
    addr: SocketAddr,
) -> Verdict {
    let lost_us = gateway.clock.now_us();
    // An endpoint that has announced its leave, or is no longer listed, stops as planned.
    if gateway.balancer().readiness(lost_us, key) == Readiness::Leaving {
        return Verdict::Alive;
    }
    let mut refusals = 0;
    for delay in PROBE_DELAYS {
        time::sleep(delay).await;
        match gateway.probe_endpoint(key, addr, lost_us).await {
            Probed::Connected => return Verdict::Alive,
            Probed::Refused => refusals += 1,
            // No answer: the link may be broken.
            Probed::Silent => continue,
        }
        // A request whose caller does not read still counts as in flight, so refusals of all probes decide as well.
        let has_own_requests = gateway.balancer().load_view().own_requests(key) > 0;
        if !has_own_requests || refusals == PROBE_DELAYS.len() {
            return Verdict::Crashed;
        }
    }
    Verdict::Alive
}
