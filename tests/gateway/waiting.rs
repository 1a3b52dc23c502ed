//! Requests that wait for a slot, and whose callers leave.

use assert_matches::assert_matches;
use futures::poll;
use ryevalve::{
    balance::{
        balancer::{Choice, Placement},
        cost::PlacementRequest,
    },
    gateway::state::Gateway,
    platform::headers::PlatformProtocol,
};

use crate::{
    current_config::bounds,
    support::{at, entry, placement_request},
};

/// Returns a gateway with one endpoint of one slot.
fn gateway() -> Gateway<PlatformProtocol> {
    let gateway = Gateway::new(PlatformProtocol, "here".into(), bounds(true), true);
    let mut balancer = gateway.balancer();
    balancer.upsert_endpoint(entry("a", "here", 1), at(1));
    balancer.advance_endpoints_position(at(1));
    drop(balancer);
    gateway
}

fn request(gateway: &Gateway<PlatformProtocol>, draw: u64) -> PlacementRequest {
    placement_request(draw, 100, 0, gateway.clock.now_us())
}

/// Takes all slots of all endpoints.
fn fill(gateway: &Gateway<PlatformProtocol>) -> Vec<Choice> {
    let mut held = Vec::new();
    loop {
        let now_us = gateway.clock.now_us();
        let placed = gateway.balancer().place(now_us, &request(gateway, 1), &[]);
        match placed {
            Placement::Send(choice) => held.push(choice),
            _ => return held,
        }
    }
}

#[tokio::test]
async fn slot_given_to_a_request_whose_caller_leaves_at_that_moment_is_released() {
    let gateway = gateway();
    let held = fill(&gateway);
    let waiting_request = request(&gateway, 2);
    let mut waiting = Box::pin(gateway.wait_for_place(&waiting_request, &[]));
    assert!(poll!(&mut waiting).is_pending());
    for choice in &held {
        let tokens = choice.expected.uncached_tokens;
        gateway.balancer().end(choice.key, tokens, None);
    }
    gateway.reconsider();
    drop(waiting);
    let own_loads = gateway.balancer().load_view().own_loads();
    let in_flight: u32 = own_loads.iter().map(|(_, load)| load.requests).sum();
    assert_eq!(in_flight, 0, "{own_loads:?}");
    let now_us = gateway.clock.now_us();
    let placed = gateway.balancer().place(now_us, &request(&gateway, 3), &[]);
    assert_matches!(placed, Placement::Send(_));
}

#[tokio::test]
async fn retry_that_waits_for_a_slot_is_not_sent_to_the_endpoint_it_left() {
    let gateway = gateway();
    gateway
        .balancer()
        .upsert_endpoint(entry("b", "here", 1), at(1));
    let held = fill(&gateway);
    let request = request(&gateway, 2);
    let left = held[0].key;
    let tried = [left];
    let mut waiting = Box::pin(gateway.wait_for_place(&request, &tried));
    assert!(poll!(&mut waiting).is_pending());
    for choice in &held {
        let tokens = choice.expected.uncached_tokens;
        gateway.balancer().end(choice.key, tokens, None);
        gateway.reconsider();
    }
    let placed = waiting.await;
    assert_matches!(placed, Placement::Send(choice) if choice.key != left);
}

/// Guards against streams that are refused in a surge although endpoints of their version have room: a new request may
/// not be placed before them for being in time.
#[tokio::test]
async fn stream_that_is_taken_up_beside_two_versions_does_not_count_as_late() {
    let gateway = gateway();
    let mut other = entry("b", "here", 1);
    other.version = "another".into();
    gateway.balancer().upsert_endpoint(other, at(1));
    let mut request = request(&gateway, 1);
    request.waited_us = 2 * request.target_us;
    request.rank = 2;
    assert!(request.is_late());
    gateway.bind_to_version(&mut request, &"another".into());
    assert!(!request.is_late());
    assert_eq!(request.rank, 0);
}
