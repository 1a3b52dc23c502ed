//! Packing of configurations that instances copy from each other.

use assert_matches::assert_matches;
use ryevalve::gateway::{
    config::GatewayConfig,
    packed::{UnpackError, pack, unpack},
};

use crate::support::{config, organisation, route};

#[test]
fn unpacking_restores_the_configuration() {
    let routes = (0..500).map(|n| route(&format!("r{n}"), &format!("h{}", n % 7), "/p/"));
    let config = config(9, routes.collect(), vec![organisation("o", &["k"])]);
    let packed = pack(&config).expect("it can be encoded");
    let unpacked: GatewayConfig = unpack(&packed).expect("it is complete");
    assert_eq!(unpacked, config);
}

#[test]
fn truncated_or_invalid_bytes_are_rejected() {
    let config = config(9, vec![route("r", "h", "/p/")], vec![]);
    let packed = pack(&config).expect("it can be encoded");
    assert!(unpack::<GatewayConfig>(&packed[..packed.len() / 2]).is_err());
    assert_matches!(
        unpack::<GatewayConfig>(&[0xff; 40]),
        Err(UnpackError::Decompress { .. } | UnpackError::Decode { .. })
    );
}
