//! The capacity of a service, and the engine time that a stream is expected to take.

use crate::{
    balance::{
        balancer::Balancer, cost::PlacementRequest, load::EndpointKey, readiness::Readiness,
        speed::Speed,
    },
    prelude::Micros,
    shares::room::Slots,
};

impl Balancer {
    /// Returns the slots of a service's usable endpoints.
    pub fn slots(&self, now_us: Micros, service: &str) -> Slots {
        let is_usable = |key: &EndpointKey| {
            let readiness = self.readiness(now_us, *key);
            matches!(readiness, Readiness::Ready | Readiness::NeedsPermit)
        };
        let mut sum = Slots::default();
        for key in self.keys_of(service).iter().filter(|key| is_usable(key)) {
            let Some(endpoint) = self.endpoints.get(key) else {
                continue;
            };
            let slots = f64::from(endpoint.entry.slots);
            let requests = self.load_estimate(now_us, *key, endpoint).requests;
            sum.all += slots;
            sum.free += (slots - requests).max(0.0);
        }
        sum
    }

    /// Returns the engine time that a stream is expected to take, in microseconds, by the service's mean speed; `None`
    /// for a unary request.
    pub fn stream_engine_us(&self, request: &PlacementRequest) -> Option<f64> {
        if !request.is_stream {
            return None;
        }
        let prior = Speed::default();
        let speed = self.service_speeds.get(&request.service).unwrap_or(&prior);
        let first_ms = speed.first_event_ms(f64::from(request.prompt_tokens));
        Some((first_ms + request.output_events * speed.event_ms()) * 1e3)
    }
}
