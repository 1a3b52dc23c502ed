//! A planned stop: seen as not ready first, then no new connection, then the last answers.

use std::time::Duration;

use tokio::task::JoinHandle;

use crate::{
    gateway::{caller_listener::ListenerStop, protocol::Protocol, state::Gateway},
    prelude::Micros,
};

/// The balancer asks every second and drops an instance after two answers; callers that it sent
/// here before that still come. After this time none does.
const UNTIL_UNSEEN: Duration = Duration::from_millis(2_600);
/// Left before the kill for what is still to be written.
const BEFORE_KILL: Duration = Duration::from_millis(350);

/// Stops as planned within `grace`; returns whether all requests came to their end.
pub async fn stop<P: Protocol>(
    gateway: &Gateway<P>,
    front: ListenerStop,
    serving: JoinHandle<()>,
    grace: Duration,
) -> bool {
    // Whoever stops this process counts suspensions of the machine, too.
    let clock = gateway.clock;
    let begun_us = clock.now_us();
    gateway.begin_stop();
    log::info!(target: "ryevalve::process", grace_ms = grace.as_millis() as u64; "stop_begun");
    clock
        .sleep_until(begun_us + micros(UNTIL_UNSEEN.min(grace / 3)))
        .await;
    front.connections.cancel();
    front.accept.cancel();
    let until_us = begun_us + micros(grace.saturating_sub(BEFORE_KILL));
    let whole = clock.timeout_at(until_us, serving).await.is_some();
    log::info!(
        target: "ryevalve::process",
        all_answered = whole,
        took_ms = clock.now_us().saturating_sub(begun_us) / 1_000;
        "stopped"
    );
    whole
}

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}
