//! Requests whose connection ends before their answer is complete.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use ryevalve::{
    entry::answer::Body,
    gateway::{
        metrics::GatewayReadings,
        state::Gateway,
        unanswered::{ConnectionEnd, PendingAnswer, UnansweredSlot},
    },
    platform::headers::PlatformProtocol,
};

use crate::current_config::bounds;

fn gateway() -> Arc<Gateway<PlatformProtocol>> {
    let gateway = Gateway::new(PlatformProtocol, "hall".into(), bounds(true), true);
    Arc::new(gateway)
}

fn unanswered(gateway: &Gateway<PlatformProtocol>, slot: &UnansweredSlot) -> usize {
    gateway.note_connection_end(slot, &ConnectionEnd::Closed);
    let text = gateway.metrics.text(GatewayReadings::default());
    let lines = text
        .lines()
        .filter(|l| l.contains("requests_unanswered_total{"));
    lines.count()
}

fn response(body: &'static str) -> Response<Body> {
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    Response::new(Body::new(body.map_err(|never| match never {})))
}

#[tokio::test]
async fn answer_that_was_taken_whole_is_not_counted_as_unanswered() {
    for body in ["", "an answer"] {
        let (gateway, slot) = (gateway(), UnansweredSlot::default());
        let pending = PendingAnswer::new(gateway.clone(), slot.clone(), None, 0);
        let mut answer = pending.watch(response(body)).into_body();
        if !body.is_empty() {
            // A server that knows the length does not poll again after the last byte.
            answer.frame().await.expect("a frame").expect("bytes");
        }
        drop(answer);
        assert_eq!(unanswered(&gateway, &slot), 0, "{body:?}");
    }
}

#[tokio::test]
async fn request_that_is_dropped_at_any_stage_is_counted_as_unanswered() {
    let (gateway, slot) = (gateway(), UnansweredSlot::default());
    let pending = || PendingAnswer::new(gateway.clone(), slot.clone(), None, 0);
    drop(pending());
    assert_eq!(unanswered(&gateway, &slot), 1);
    drop(pending().watch(response("an answer")));
    assert_eq!(unanswered(&gateway, &slot), 2);
}
