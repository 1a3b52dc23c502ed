//! Concludes that a stream without a record began at the only version of its service.
//!
//! That an instance has seen one version only says little: it may have lost the store or the others while another version
//! came and left. Either most of the group confirms it, as the group was before losses, or the list of versions in the
//! store, read after the stream was taken up.

use tokio::time::Instant;

use crate::{
    gateway::{
        origin_table::StreamOrigin,
        protocol::Protocol,
        state::Gateway,
        stream_origins::{FoundOrigin, OriginError, OriginSource},
        version_list_reads::ListRead,
    },
    prelude::{Micros, Name},
};

/// Number of instances that have to confirm, this one included, in a group of which they are no majority.
const MAX_CONFIRMATIONS: usize = 6;

impl<P: Protocol> Gateway<P> {
    /// Returns whether enough instances confirm that a version was the only one of its service: `others` that answered,
    /// and this one.
    pub(super) fn is_only_version(&self, service: &str, version: &Name, others: usize) -> bool {
        let now_us = self.clock.now_us();
        let Some(instances) = self.known_instances(now_us) else {
            return false;
        };
        let majority = instances / 2 + 1;
        if self.view().present().count() < majority {
            return false;
        }
        let is_confirmed_here = {
            let balancer = self.balancer();
            let versions = balancer.versions();
            if versions.only_seen(service) != Some(version) {
                return false;
            }
            versions.sole_version(service).is_some()
        };
        let confirmations = others + usize::from(is_confirmed_here);
        others > 0 && confirmations >= majority.min(MAX_CONFIRMATIONS)
    }

    /// Returns the origin of a stream without a record by the list of versions, if that was read at `asked_us` or later.
    /// The read is waited for until `timeout`. `seen` is the only version that other instances know, if any do.
    pub(super) async fn conclude_from_list(
        &self,
        service: &Name,
        seen: Option<&Name>,
        asked_us: Micros,
        timeout: Instant,
    ) -> Result<FoundOrigin, OriginError> {
        match self.version_list_reads.read_since(asked_us, timeout).await {
            ListRead::Complete => {}
            ListRead::Incomplete => return Err(OriginError::Unknown),
            ListRead::Missing => return Err(OriginError::NotYetKnown),
        }
        let balancer = self.balancer();
        let versions = balancer.versions();
        match versions.sole_version(service) {
            Some(version) if seen.is_none_or(|seen| seen == version) => {
                Ok(only_version(service, version.clone()))
            }
            // The archive may have its record, which was not looked for while one version was known.
            None if versions.are_several_known(service) => Err(OriginError::NotYetKnown),
            _ => Err(OriginError::Unknown),
        }
    }

    /// Returns whether a request waits for a new read of the list of versions and this instance may make it.
    pub(super) fn is_version_list_read_due(&self, now_us: Micros) -> bool {
        let instances = self.known_instances(now_us);
        instances.is_some_and(|instances| self.version_list_reads.is_due(now_us, instances))
    }
}

/// Returns the origin of a stream of a service that had one version.
pub(super) fn only_version(service: &Name, version: Name) -> FoundOrigin {
    FoundOrigin {
        origin: StreamOrigin {
            service: service.clone(),
            version,
        },
        source: OriginSource::OnlyVersion,
    }
}
