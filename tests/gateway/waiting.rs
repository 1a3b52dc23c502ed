//! Requests that wait for a slot, and whose callers leave.

use assert_matches::assert_matches;
use futures::poll;
use ryevalve::{
    balance::{balancer::Placement, cost::PlacementRequest},
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

#[tokio::test]
async fn slot_given_to_a_request_whose_caller_leaves_at_that_moment_is_released() {
    let gateway = gateway();
    let mut held = Vec::new();
    // Fills the endpoint: one request runs, and others may wait at it.
    loop {
        let now_us = gateway.clock.now_us();
        let placed = gateway.balancer().place(now_us, &request(&gateway, 1), &[]);
        match placed {
            Placement::Send(choice) => held.push(choice),
            _ => break,
        }
    }
    let waiting_request = request(&gateway, 2);
    let mut waiting = Box::pin(gateway.wait_for_place(&waiting_request));
    assert!(poll!(&mut waiting).is_pending());
    for choice in held.drain(..) {
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
