//! Who is heard.

use std::net::IpAddr;

use ryevalve::{
    gateway::peer_table::PeerTable, limits::instance_counts::InstanceCounts, peers::update::Update,
    prelude::Incarnation,
};

use crate::support::{MS, SECOND};

const ADDR: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1));

fn told(from: u64, seq: u64) -> Update {
    Update {
        from: Incarnation(from),
        seq,
        ..Update::default()
    }
}

#[test]
fn an_older_datagram_is_passed_over() {
    let mut heard = PeerTable::default();
    assert!(heard.record_update(0, ADDR, &told(1, 5)));
    assert!(!heard.record_update(MS, ADDR, &told(1, 5)));
    assert!(!heard.record_update(MS, ADDR, &told(1, 4)));
    assert!(heard.record_update(3 * MS, ADDR, &told(1, 7)));
    assert_eq!(heard.last_seq(ADDR), 7);
}

#[test]
fn another_start_at_the_same_address_begins_anew() {
    let mut heard = PeerTable::default();
    assert!(heard.record_update(0, ADDR, &told(1, 500)));
    assert!(heard.record_update(MS, ADDR, &told(2, 1)));
    assert_eq!(heard.last_seq(ADDR), 1);
    assert_eq!(heard.len(), 1);
}

#[test]
fn one_that_was_only_met_shares_and_is_not_heard() {
    let mut heard = PeerTable::default();
    heard.add_unseen(0, ADDR);
    assert_eq!(heard.sharers(MS), InstanceCounts { all: 2, heard: 1 });
    assert!(heard.record_update(2 * MS, ADDR, &told(1, 1)));
    assert_eq!(heard.sharers(3 * MS), InstanceCounts { all: 2, heard: 2 });
}

#[test]
fn a_silent_one_is_said_once_and_dropped_at_last() {
    let mut heard = PeerTable::default();
    assert!(heard.record_update(0, ADDR, &told(9, 1)));
    assert!(heard.expire(2 * SECOND).is_empty());
    assert_eq!(heard.expire(3 * SECOND), vec![Incarnation(9)]);
    assert!(heard.expire(4 * SECOND).is_empty());
    assert_eq!(
        heard.sharers(4 * SECOND),
        InstanceCounts { all: 2, heard: 1 }
    );
    assert!(heard.record_update(5 * SECOND, ADDR, &told(9, 2)));
    assert_eq!(
        heard.sharers(5 * SECOND),
        InstanceCounts { all: 2, heard: 2 }
    );
    assert_eq!(heard.expire(8 * SECOND), vec![Incarnation(9)]);
    heard.expire(26 * SECOND);
    assert!(heard.is_empty());
}
