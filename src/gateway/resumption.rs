//! Where a stream goes on that a caller takes up: at the service and the version of the endpoints' software that began it.

use std::time::{Duration, Instant};

use crate::{
    balance::{cost::PlacementRequest, versions::VersionRule},
    entry::refusal::Refusal,
    gateway::{
        attempt::header_for_log,
        config::Route,
        protocol::{CallHead, Protocol},
        refuse,
        state::Gateway,
        stream_origins::{FoundOrigin, OriginError, OriginSource, PossibleServices},
    },
    prelude::{Name, Rank},
};

/// Reason for refusing to take up a stream: several versions may have begun it, and no instance that answered knows
/// which.
const ORIGIN_UNKNOWN: &str = "stream_origin_unknown";
/// Reason for refusing to take up a stream: instances that may know which version began it did not answer, or have just
/// started.
const ORIGIN_NOT_YET_KNOWN: &str = "stream_origin_not_yet_known";
/// Reason for refusing to take up a stream: its route does not lead to the service any more that began it.
const SERVICE_MOVED: &str = "stream_service_moved";
/// Retry delay of these refusals, in milliseconds: an instance that paused may answer by then.
const RETRY_AFTER_MS: u32 = 300;
/// The rank of streams that go on while their service has several versions. Only some endpoints can run them, and what
/// others ran of them would be lost.
const RESUMPTION_RANK: Rank = 0;

/// Where a request is to run.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The service.
    pub service: Name,
    /// The only version whose endpoints may run it, if it takes up a stream.
    pub version: Option<Name>,
}

/// Returns where a request for a path on a route is to run; `draw` (0 to 1) picks among the route's services.
///
/// # Errors
/// The route has no service, or the request takes up a stream and it is not known where that began.
pub async fn choose_destination<P: Protocol>(
    gateway: &Gateway<P>,
    route: &Route,
    path: &str,
    head: &CallHead,
    organisation: Option<&str>,
    draw: f64,
) -> Result<Destination, Refusal> {
    let Some(service) = route.pick_target(draw).cloned() else {
        return Err(refuse::not_run("no_service", 1_000));
    };
    if route.resumed_event(head).is_none() {
        let version = None;
        return Ok(Destination { service, version });
    }
    let began_as = head.resumes.as_ref();
    match find_origin_on_route(gateway, route, path, head, organisation, &service).await {
        Ok(FoundOrigin { origin, source }) => {
            gateway.metrics.count_origin(source);
            log::info!(
                target: "ryevalve::request",
                request_id = header_for_log(head.request_id.as_ref()),
                resumes = header_for_log(began_as),
                service = &*origin.service,
                version = &*origin.version,
                source = source.as_str(),
                up_ms = gateway.clock.now_us() / 1_000;
                "stream_origin_found"
            );
            Ok(Destination {
                service: origin.service,
                version: Some(origin.version),
            })
        }
        Err(reason) => {
            gateway.metrics.streams_not_taken_up.inc();
            log::info!(
                target: "ryevalve::request",
                request_id = header_for_log(head.request_id.as_ref()),
                resumes = header_for_log(began_as),
                service = &*service,
                reason;
                "stream_not_taken_up"
            );
            Err(refuse::not_run(reason, RETRY_AFTER_MS))
        }
    }
}

/// Returns the origin of a stream that is taken up on a route, or the reason for refusing it. `service` is one to which the
/// route leads now.
async fn find_origin_on_route<P: Protocol>(
    gateway: &Gateway<P>,
    route: &Route,
    path: &str,
    head: &CallHead,
    organisation: Option<&str>,
    service: &Name,
) -> Result<FoundOrigin, &'static str> {
    let began_as = head.resumes.as_ref();
    let arrived = Instant::now();
    loop {
        let services = PossibleServices {
            service,
            has_others: !gateway.leads_only_to(route, path, service),
        };
        let time_left = head.deadline_ms.map(Duration::from_millis);
        let time_left = time_left.map(|left| left.saturating_sub(arrived.elapsed()));
        let found = gateway
            .find_origin(organisation, began_as, services, time_left)
            .await
            .map_err(|error| match error {
                OriginError::Unknown => ORIGIN_UNKNOWN,
                OriginError::NotYetKnown => ORIGIN_NOT_YET_KNOWN,
            })?;
        // Services to which the route led before may have been read from the store meanwhile.
        let was_only_service = found.source == OriginSource::OnlyVersion;
        if was_only_service && !gateway.leads_only_to(route, path, service) {
            continue;
        }
        return match route.leads_to(&found.origin.service) {
            true => Ok(found),
            false => Err(SERVICE_MOVED),
        };
    }
}

impl<P: Protocol> Gateway<P> {
    /// Lets a request run at one version only, since its stream began there.
    pub fn bind_to_version(&self, request: &mut PlacementRequest, version: &Name) {
        request.versions = Some(VersionRule::exactly(version));
        if self.has_several_versions(&request.service) {
            request.rank = RESUMPTION_RANK;
            // Its first event came in the attempt that began it.
            request.waited_us = 0;
        }
    }
}
