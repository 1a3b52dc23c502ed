//! Limits of copies between instances when many request them at once.

use std::net::SocketAddr;

use ryevalve::gateway::copies::{Transfers, sample};

use crate::support::MS;

const MAX_TRANSFERS: u64 = 4;

#[test]
fn transfers_are_limited_and_others_follow() {
    let mut transfers = Transfers::default();
    for connection in 0..MAX_TRANSFERS {
        assert!(transfers.admit(0, connection));
    }
    assert!(!transfers.admit(MS, 9), "all transfers are in use");
    assert!(
        transfers.admit(2 * MS, 0),
        "a transfer in progress continues"
    );
    transfers.finish(0);
    assert!(transfers.admit(3 * MS, 9));
}

#[test]
fn an_idle_transfer_frees_its_slot() {
    let mut transfers = Transfers::default();
    for connection in 0..MAX_TRANSFERS {
        assert!(transfers.admit(0, connection));
    }
    assert!(!transfers.admit(900 * MS, 9));
    assert!(transfers.admit(1_100 * MS, 9));
}

/// Guards against responses of seeds that grow with the cluster while all of it queries them.
#[test]
fn address_samples_are_bounded_and_random() {
    let addrs: Vec<SocketAddr> = (0..2_000_u16).map(|n| ([127, 0, 0, 1], n).into()).collect();
    let first = sample(addrs.clone(), 256);
    assert_eq!(first.len(), 256);
    assert_ne!(first, sample(addrs.clone(), 256));
    assert_eq!(sample(addrs[..200].to_vec(), 256), addrs[..200]);
}
