//! Logs changes of organisations' limits, and once a second the state of the accounts that are running low.

use crate::{
    gateway::{protocol::Protocol, state::Gateway},
    limits::quota::LimitChange,
};

/// The most accounts whose state an instance logs each second.
const MAX_STATES_PER_SECOND: usize = 16;
/// The most limit changes that are logged for one configuration version; the rest are counted.
const MAX_CHANGES_PER_VERSION: usize = 32;

/// Logs the limits that a configuration changed.
pub fn log_changes(config_version: u64, changes: &[LimitChange]) {
    for change in changes.iter().take(MAX_CHANGES_PER_VERSION) {
        log::info!(
            target: "ryevalve::limit",
            organisation = &*change.organisation,
            config_version,
            before_per_s = change.before.map_or(0.0, |l| l.rate_per_s),
            before_burst = change.before.map_or(0.0, |l| l.burst),
            rate_per_s = change.after.map_or(0.0, |l| l.rate_per_s),
            burst = change.after.map_or(0.0, |l| l.burst);
            "limit_changed"
        );
    }
    if changes.len() > MAX_CHANGES_PER_VERSION {
        let unshown = changes.len() - MAX_CHANGES_PER_VERSION;
        log::info!(target: "ryevalve::limit", config_version, unshown; "limits_changed");
    }
}

/// Logs the state of the accounts that denied requests or are less than half full. Called once a second.
pub fn log_states<P: Protocol>(gateway: &Gateway<P>) {
    let now_us = gateway.clock.now_us();
    let states = gateway.quota.take_states(now_us, MAX_STATES_PER_SECOND);
    let instances = gateway.quota.divisor(now_us);
    for state in states {
        log::info!(
            target: "ryevalve::limit",
            organisation = &*state.organisation,
            copy = state.copy,
            config_version = gateway.config.version(),
            rate_per_s = state.limit.rate_per_s,
            burst = state.limit.burst,
            level = state.level,
            share = state.share,
            lessors = state.lessors,
            granted = state.granted,
            denied = state.denied,
            instances;
            "limit_state"
        );
    }
}
