//! Tracking of peers by their updates.

use std::net::IpAddr;

use ryevalve::{
    gateway::peer_table::PeerTable, limits::instance_counts::InstanceCounts, peers::update::Update,
    prelude::Incarnation,
};

use crate::support::{MS, SECOND};

const ADDR: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1));

fn update(from: u64, seq: u64) -> Update {
    Update {
        from: Incarnation(from),
        seq,
        ..Update::default()
    }
}

#[test]
fn ignores_an_older_datagram() {
    let mut peers = PeerTable::default();
    assert!(peers.record_update(0, ADDR, &update(1, 5)));
    assert!(!peers.record_update(MS, ADDR, &update(1, 5)));
    assert!(!peers.record_update(MS, ADDR, &update(1, 4)));
    assert!(peers.record_update(3 * MS, ADDR, &update(1, 7)));
    assert_eq!(peers.last_seq(ADDR), 7);
}

#[test]
fn a_new_incarnation_at_the_same_address_resets_the_peer() {
    let mut peers = PeerTable::default();
    assert!(peers.record_update(0, ADDR, &update(1, 500)));
    assert!(peers.record_update(MS, ADDR, &update(2, 1)));
    assert_eq!(peers.last_seq(ADDR), 1);
    assert_eq!(peers.len(), 1);
}

#[test]
fn a_peer_without_updates_shares_limits_but_is_not_seen() {
    let mut peers = PeerTable::default();
    peers.add_unseen(0, ADDR);
    assert_eq!(peers.sharers(MS), InstanceCounts { all: 2, heard: 1 });
    assert!(peers.record_update(2 * MS, ADDR, &update(1, 1)));
    assert_eq!(peers.sharers(3 * MS), InstanceCounts { all: 2, heard: 2 });
}

#[test]
fn a_silent_peer_is_reported_once_and_expires() {
    let mut peers = PeerTable::default();
    assert!(peers.record_update(0, ADDR, &update(9, 1)));
    assert!(peers.expire(2 * SECOND).is_empty());
    assert_eq!(peers.expire(3 * SECOND), vec![Incarnation(9)]);
    assert!(peers.expire(4 * SECOND).is_empty());
    assert_eq!(
        peers.sharers(4 * SECOND),
        InstanceCounts { all: 2, heard: 1 }
    );
    assert!(peers.record_update(5 * SECOND, ADDR, &update(9, 2)));
    assert_eq!(
        peers.sharers(5 * SECOND),
        InstanceCounts { all: 2, heard: 2 }
    );
    assert_eq!(peers.expire(8 * SECOND), vec![Incarnation(9)]);
    peers.expire(26 * SECOND);
    assert!(peers.is_empty());
}
