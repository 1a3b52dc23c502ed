//! The current configuration never reverts to an older version, and its freshness is always confirmed.

use proptest::prelude::*;
use ryevalve::{
    gateway::{
        current_config::{CurrentConfig, OfferOutcome},
        staleness::StalenessBound,
        state::{Gateway, GatewayBounds},
    },
    limits::{
        held_bytes::HeldLimits, permits::ColdTolerance, quota::Tolerance, retries::RetryBounds,
    },
    platform::headers::PlatformProtocol,
};

use crate::support::{SECOND, config};

#[test]
fn ignores_an_older_configuration() {
    let current = CurrentConfig::default();
    assert_eq!(
        current.offer(config(7, vec![], vec![])),
        OfferOutcome::Applied
    );
    assert_eq!(
        current.offer(config(5, vec![], vec![])),
        OfferOutcome::Older
    );
    assert_eq!(
        current.offer(config(7, vec![], vec![])),
        OfferOutcome::Known
    );
    assert_eq!(current.version(), 7);
    assert_eq!(
        current.offer(config(12, vec![], vec![])),
        OfferOutcome::Applied
    );
    assert_eq!(current.version(), 12);
}

#[test]
fn freshness_counts_from_the_query_and_only_for_the_current_version() {
    let current = CurrentConfig::default();
    assert_eq!(current.age_us(5 * SECOND), u64::MAX);
    current.offer(config(7, vec![], vec![]));
    assert_eq!(current.age_us(5 * SECOND), u64::MAX);
    current.confirm(7, 2 * SECOND);
    assert_eq!(current.age_us(5 * SECOND), 3 * SECOND);
    // A late response does not lower the freshness, and one for another version does not raise it.
    current.confirm(7, SECOND);
    current.confirm(8, 4 * SECOND);
    assert_eq!(current.age_us(5 * SECOND), 3 * SECOND);
}

pub fn bounds(is_revocation_strict: bool) -> GatewayBounds {
    GatewayBounds {
        revoke_us: 5 * SECOND,
        drain: StalenessBound(2 * SECOND),
        config_apply: StalenessBound(2 * SECOND),
        is_revocation_strict,
        retries: RetryBounds {
            ratio: 0.2,
            slack: 10.0,
            window_us: 10 * SECOND,
        },
        tolerance: Tolerance {
            window_s: 8.0,
            overage: 0.1,
            slack: 0.0,
        },
        evacuate: None,
        shares_room: false,
        rollouts: None,
        cold: ColdTolerance {
            overage: 1.5,
            slack: 5.0,
        },
        held: HeldLimits::of_memory(100 << 20),
    }
}

#[test]
fn a_configuration_that_may_predate_a_revocation_does_not_authorise_keys() {
    let bounds = GatewayBounds {
        revoke_us: SECOND / 1_000,
        ..bounds(true)
    };
    let gateway = Gateway::new(PlatformProtocol, "hall".into(), bounds, true);
    gateway.offer(config(7, vec![], vec![]), "test");
    assert!(!gateway.is_config_fresh(), "it was never confirmed");
    std::thread::sleep(std::time::Duration::from_millis(5));
    gateway.config.confirm(7, 1);
    assert!(
        !gateway.is_config_fresh(),
        "the confirmation is older than the bound on keys"
    );
    assert!(!gateway.may_use_keys());
    gateway.set_bounds(GatewayBounds {
        is_revocation_strict: false,
        ..bounds
    });
    assert!(gateway.may_use_keys() && !gateway.is_config_fresh());
    let long_bounds = GatewayBounds {
        revoke_us: 60 * SECOND,
        ..bounds
    };
    gateway.set_bounds(long_bounds);
    assert!(gateway.is_config_fresh());
}

/// Guards against a fixed margin in the age limit of keys: with 1.2 s, a bound of 1 s left no time, and idle instances
/// refused every key.
#[test]
fn keys_are_usable_with_a_short_revocation_bound() {
    let bounds = GatewayBounds {
        revoke_us: SECOND,
        ..bounds(true)
    };
    assert_eq!(
        bounds.config(),
        StalenessBound(SECOND),
        "the shorter bound applies"
    );
    let gateway = Gateway::new(PlatformProtocol, "hall".into(), bounds, true);
    gateway.offer(config(7, vec![], vec![]), "test");
    gateway.config.confirm(7, 1);
    assert!(gateway.is_config_fresh() && gateway.may_use_keys());
}

proptest! {
    #[test]
    fn the_version_never_decreases(versions in prop::collection::vec(1_u64..50, 1..40)) {
        let current = CurrentConfig::default();
        let mut highest = 0;
        for version in versions {
            current.offer(config(version, vec![], vec![]));
            highest = highest.max(version);
            prop_assert_eq!(current.version(), highest);
        }
    }
}
