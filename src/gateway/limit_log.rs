//! What the log says of organisations' limits: each change, and each second the state of those in use.

use crate::{
    gateway::{protocol::Protocol, state::Gateway},
    limits::quota::LimitChange,
};

/// Accounts of which an instance writes the state a second.
const STATES_A_SECOND: usize = 16;
/// Limits of which one configuration's change is written.
const CHANGES_A_VERSION: usize = 32;

/// Writes what a configuration changed of limits.
pub fn log_changes(config_version: u64, changes: &[LimitChange]) {
    for change in changes.iter().take(CHANGES_A_VERSION) {
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
    if changes.len() > CHANGES_A_VERSION {
        let unshown = changes.len() - CHANGES_A_VERSION;
        log::info!(target: "ryevalve::limit", config_version, unshown; "limits_changed");
    }
}

/// Writes the state of the accounts that are scarce; called once a second.
pub fn log_states<P: Protocol>(gateway: &Gateway<P>) {
    let now_us = gateway.clock.now_us();
    let states = gateway.quota.take_states(now_us, STATES_A_SECOND);
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
