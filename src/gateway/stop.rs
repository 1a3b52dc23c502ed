//! Graceful shutdown: reports not ready, then stops accepting connections, then waits for requests in flight.

use std::{pin::pin, time::Duration};

use tokio::task::JoinHandle;

use crate::{
    gateway::{caller_listener::ListenerStop, protocol::Protocol, state::Gateway},
    prelude::Micros,
};

/// Time between reporting not ready and closing the listener. The load balancer in front of the instances checks
/// readiness every second and removes an instance after two failed checks; until then it routes callers here.
const READINESS_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace period reserved for writing the last output before the process is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(350);
/// Time in which callers are told of requests that cannot be answered any more.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(150);

/// Shuts down within `grace`; returns whether all requests were answered.
pub async fn stop<P: Protocol>(
    gateway: &Gateway<P>,
    listener: ListenerStop,
    serving: JoinHandle<()>,
    grace: Duration,
) -> bool {
    // The supervisor's grace period includes time in which the machine is suspended, so it is measured by a clock that
    // advances then.
    let clock = gateway.clock;
    let started_us = clock.now_us();
    let closes_us = started_us + micros(READINESS_DELAY.min(grace / 3));
    let until_us = started_us + micros(grace.saturating_sub(EXIT_MARGIN));
    let answers_until_us = until_us.saturating_sub(micros(LAST_ANSWERS_MARGIN));
    gateway.stop_deadline.set(closes_us, answers_until_us);
    gateway.begin_stop();
    log::info!(target: "ryevalve::process", grace_ms = grace.as_millis() as u64; "stop_begun");
    clock.sleep_until(closes_us).await;
    listener.connections.cancel();
    listener.accept.cancel();
    let finishing = async {
        // An error means that the listener's task panicked; connections that it left are carried on.
        let _ = serving.await;
        gateway.carried.wait_until_closed().await;
    };
    let mut finishing = pin!(finishing);
    let in_time = clock.timeout_at(answers_until_us, &mut finishing).await;
    let all_answered = match in_time {
        Some(()) => true,
        None => {
            gateway.stop_deadline.end_requests();
            clock.timeout_at(until_us, finishing).await.is_some()
        }
    };
    log::info!(
        target: "ryevalve::process",
        all_answered = all_answered,
        took_ms = clock.now_us().saturating_sub(started_us) / 1_000;
        "stopped"
    );
    all_answered
}

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}
