//! Who is given a configuration when many ask at once.

use std::net::SocketAddr;

use ryevalve::gateway::copies::{Transfers, sample};

use crate::support::MS;

const AT_ONCE: u64 = 4;

#[test]
fn a_few_are_given_a_configuration_at_a_time_and_the_others_after_them() {
    let mut transfers = Transfers::default();
    for connection in 0..AT_ONCE {
        assert!(transfers.admit(0, connection));
    }
    assert!(!transfers.admit(MS, 9), "the link is taken");
    assert!(
        transfers.admit(2 * MS, 0),
        "one that is being given it goes on"
    );
    transfers.finish(0);
    assert!(transfers.admit(3 * MS, 9));
}

#[test]
fn a_taker_that_has_gone_takes_no_place() {
    let mut transfers = Transfers::default();
    for connection in 0..AT_ONCE {
        assert!(transfers.admit(0, connection));
    }
    assert!(!transfers.admit(900 * MS, 9));
    assert!(transfers.admit(1_100 * MS, 9));
}

/// Guards against answers of seeds that grow with the group, while all of it asks them.
#[test]
fn a_seeds_answer_is_bounded_and_differs_each_time() {
    let addrs: Vec<SocketAddr> = (0..2_000_u16).map(|n| ([127, 0, 0, 1], n).into()).collect();
    let first = sample(addrs.clone(), 256);
    assert_eq!(first.len(), 256);
    assert_ne!(first, sample(addrs.clone(), 256));
    assert_eq!(sample(addrs[..200].to_vec(), 256), addrs[..200]);
}
