//! Finds out whether an endpoint has ended when a connection to it breaks.
//!
//! Connections break for many reasons: a reset on the way, a link that was cut, an endpoint that fails a
//! part of its requests. An endpoint has ended if its address refuses connections, and nothing that this
//! instance sent there goes on or it refuses them for a third of a second. An address that does not answer at
//! all says nothing: the link to it may be cut.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{net::TcpStream, sync::watch, time};

use crate::{
    balance::{balancer::Choice, load::EndpointKey, standing::Standing},
    gateway::{attempt::Job, protocol::Protocol, report::log_ending, state::Gateway},
    prelude::Micros,
};

/// The pauses before each check. All connections to an endpoint that ends break within some milliseconds;
/// where requests of this instance seem to go on, the later looks tell whether they do.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(100),
    Duration::from_millis(200),
];
/// A port where nothing listens refuses within the round trip; links between halls take some
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// For how long it is remembered that an endpoint has ended: requests that were sent there just before
/// break later.
const VERDICT_TTL_US: Micros = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Pending,
    Alive,
    Crashed,
}

struct Check {
    started_us: Micros,
    verdict: watch::Receiver<Verdict>,
}

/// The endpoints that are looked at, and those that have ended of late.
#[derive(Default)]
pub struct CrashChecks {
    checks: Mutex<HashMap<EndpointKey, Check>>,
}

impl CrashChecks {
    /// Returns the verdict on an endpoint, and where to put it if nobody looks yet.
    fn join(
        &self,
        now_us: Micros,
        key: EndpointKey,
    ) -> (watch::Receiver<Verdict>, Option<watch::Sender<Verdict>>) {
        let mut checks = self.checks.lock().unwrap_or_else(PoisonError::into_inner);
        checks.retain(|_, check| {
            let is_recent = now_us.saturating_sub(check.started_us) < VERDICT_TTL_US;
            // A link may be reset twice in a second: that it was not the end once says nothing of now.
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

/// Finds out whether the endpoint at which a request's connection has just broken has ended, and notes it. A
/// request under which none ended before need not wait for that: it goes on elsewhere at once.
pub async fn on_connection_lost<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Arc<Job>,
    choice: Choice,
    lost_before: bool,
) {
    let is_suspected = lost_before || gateway.suspects().is_suspected(job.fingerprint());
    // On its own, since the caller may leave meanwhile.
    let recording = tokio::spawn(record_crash(gateway.clone(), job.clone(), choice));
    if is_suspected {
        // It fails only where the process is about to end.
        let _ = recording.await;
    }
}

async fn record_crash<P: Protocol>(gateway: Arc<Gateway<P>>, job: Arc<Job>, choice: Choice) {
    if !has_crashed(&gateway, choice.key, choice.addr).await {
        return;
    }
    let now_us = gateway.clock.now_us();
    let fingerprint = job.fingerprint();
    let crashes = {
        let mut suspects = gateway.suspects();
        suspects.note_ending(now_us, fingerprint, choice.key);
        suspects.endings(fingerprint)
    };
    log_ending(&gateway, &job, &choice.id, crashes);
}

/// Returns whether the endpoint at which a connection has just broken has ended. Looking takes 40 ms, and
/// 1.1 s at most: three pauses, and three connects that nobody answers.
pub async fn has_crashed<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    key: EndpointKey,
    addr: SocketAddr,
) -> bool {
    let (mut verdict, sender) = gateway.endings.join(gateway.clock.now_us(), key);
    if let Some(sender) = sender {
        let prober = gateway.clone();
        tokio::spawn(async move {
            let found = probe(&prober, key, addr).await;
            sender.send_replace(found);
        });
    }
    let verdict = verdict.wait_for(|v| *v != Verdict::Pending).await;
    // Without a verdict the process is about to end.
    verdict.is_ok_and(|v| *v == Verdict::Crashed)
}

async fn probe<P: Protocol>(gateway: &Gateway<P>, key: EndpointKey, addr: SocketAddr) -> Verdict {
    // One that has said that it leaves, or has left the set, ends as planned.
    let now_us = gateway.clock.now_us();
    if gateway.balancer().standing(now_us, key) == Standing::Leaves {
        return Verdict::Alive;
    }
    let mut refusals = 0;
    for delay in PROBE_DELAYS {
        time::sleep(delay).await;
        match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(_)) => return Verdict::Alive,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => refusals += 1,
            // No word from there: the link may be cut.
            Ok(Err(_)) | Err(_) => continue,
        }
        // What a caller does not read seems to go on; each look tells the same by then.
        let has_own_requests = gateway.balancer().picture().own_requests(key) > 0;
        if !has_own_requests || refusals == PROBE_DELAYS.len() {
            return Verdict::Crashed;
        }
    }
    Verdict::Alive
}
