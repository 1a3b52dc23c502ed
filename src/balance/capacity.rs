//! The capacity of a service, and the engine time that a request is expected to take.

use crate::{
    balance::{
        balancer::Balancer, cost::PlacementRequest, load::EndpointKey, readiness::Readiness,
        speed::Speed,
    },
    prelude::Micros,
    shares::admission::Capacity,
};

impl Balancer {
    /// Returns what the usable endpoints of a service can do.
    pub fn capacity(&self, now_us: Micros, service: &str) -> Capacity {
        let is_usable = |key: &EndpointKey| {
            let readiness = self.readiness(now_us, *key);
            matches!(readiness, Readiness::Ready | Readiness::NeedsPermit)
        };
        let keys = self.keys_of(service).iter().filter(|key| is_usable(key));
        let endpoints = keys.filter_map(|key| self.endpoints.get(key));
        let (mut count, mut slots, mut unary_ms) = (0.0_f64, 0.0, 0.0);
        for endpoint in endpoints {
            count += 1.0;
            slots += f64::from(endpoint.entry.slots);
            unary_ms += endpoint.speed.unary_ms();
        }
        let unary_ms = match count > 0.0 {
            true => unary_ms / count,
            false => Speed::default().unary_ms(),
        };
        Capacity {
            slots,
            unary_us: unary_ms * 1e3,
        }
    }

    /// Returns the engine time that a stream is expected to take, in microseconds, by the service's mean speed; `None`
    /// for a unary request, which takes [`Capacity::unary_us`].
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
