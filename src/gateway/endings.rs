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
    balance::{balancer::Choice, load::EndpointKey, readiness::Readiness},
    gateway::{attempt::Job, protocol::Protocol, report::log_ending, state::Gateway},
    prelude::Micros,
};

/// The pauses before each look. All connections to an endpoint that ends break within some milliseconds;
/// where requests of this instance seem to go on, the later looks tell whether they do.
const LOOKS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(100),
    Duration::from_millis(200),
];
/// A port where nothing listens refuses within the round trip; links between halls take some
/// milliseconds.
const LOOK_TIMEOUT: Duration = Duration::from_millis(250);
/// For how long it is remembered that an endpoint has ended: requests that were sent there just before
/// break later.
const REMEMBERED_US: Micros = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Looking,
    Lives,
    Ended,
}

struct Look {
    at_us: Micros,
    verdict: watch::Receiver<Verdict>,
}

/// The endpoints that are looked at, and those that have ended of late.
#[derive(Default)]
pub struct Endings {
    looks: Mutex<HashMap<EndpointKey, Look>>,
}

impl Endings {
    /// Returns the verdict on an endpoint, and where to put it if nobody looks yet.
    fn join(
        &self,
        now_us: Micros,
        key: EndpointKey,
    ) -> (watch::Receiver<Verdict>, Option<watch::Sender<Verdict>>) {
        let mut looks = self.looks.lock().unwrap_or_else(PoisonError::into_inner);
        looks.retain(|_, look| {
            let is_recent = now_us.saturating_sub(look.at_us) < REMEMBERED_US;
            // A link may be reset twice in a second: that it was not the end once says nothing of now.
            is_recent && *look.verdict.borrow() != Verdict::Lives
        });
        if let Some(look) = looks.get(&key) {
            return (look.verdict.clone(), None);
        }
        let (sender, verdict) = watch::channel(Verdict::Looking);
        let look = Look {
            at_us: now_us,
            verdict: verdict.clone(),
        };
        looks.insert(key, look);
        (verdict, Some(sender))
    }
}

/// Finds out whether the endpoint at which a request's connection has just broken has ended, and notes it. A
/// request under which none ended before need not wait for that: it goes on elsewhere at once.
pub async fn connection_broke<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Arc<Job>,
    choice: Choice,
    broke_before: bool,
) {
    let is_suspected = broke_before || gateway.suspects().is_suspected(job.fingerprint());
    // On its own, since the caller may leave meanwhile.
    let noting = tokio::spawn(note_ending(gateway.clone(), job.clone(), choice));
    if is_suspected {
        // It fails only where the process is about to end.
        let _ = noting.await;
    }
}

async fn note_ending<P: Protocol>(gateway: Arc<Gateway<P>>, job: Arc<Job>, choice: Choice) {
    if !has_ended(&gateway, choice.key, choice.addr).await {
        return;
    }
    let now_us = gateway.clock.now_us();
    let fingerprint = job.fingerprint();
    let endings = {
        let mut suspects = gateway.suspects();
        suspects.note_ending(now_us, fingerprint, choice.key);
        suspects.endings(fingerprint)
    };
    log_ending(&gateway, &job, &choice.id, endings);
}

/// Returns whether the endpoint at which a connection has just broken has ended. Looking takes 40 ms, and
/// 1.1 s at most: three pauses, and three connects that nobody answers.
pub async fn has_ended<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    key: EndpointKey,
    addr: SocketAddr,
) -> bool {
    let (mut verdict, sender) = gateway.endings.join(gateway.clock.now_us(), key);
    if let Some(sender) = sender {
        let looking = gateway.clone();
        tokio::spawn(async move {
            let found = look(&looking, key, addr).await;
            sender.send_replace(found);
        });
    }
    let verdict = verdict.wait_for(|v| *v != Verdict::Looking).await;
    // Without a verdict the process is about to end.
    verdict.is_ok_and(|v| *v == Verdict::Ended)
}

async fn look<P: Protocol>(gateway: &Gateway<P>, key: EndpointKey, addr: SocketAddr) -> Verdict {
    // One that has said that it leaves, or has left the set, ends as planned.
    let now_us = gateway.clock.now_us();
    if gateway.balancer().readiness(now_us, key) == Readiness::Leaving {
        return Verdict::Lives;
    }
    let mut refusals = 0;
    for pause in LOOKS {
        time::sleep(pause).await;
        match time::timeout(LOOK_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(_)) => return Verdict::Lives,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => refusals += 1,
            // No word from there: the link may be cut.
            Ok(Err(_)) | Err(_) => continue,
        }
        // What a caller does not read seems to go on; each look tells the same by then.
        let goes_on = gateway.balancer().load_view().own_requests(key) > 0;
        if !goes_on || refusals == LOOKS.len() {
            return Verdict::Ended;
        }
    }
    Verdict::Lives
}
