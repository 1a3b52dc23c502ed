//! Decoders of external input return a value or an error for any input, and never panic.

use proptest::prelude::*;
use ryevalve::{
    config,
    core::prefix::CacheEvent,
    distribution::StoredConfig,
    endpoint::sse::Splitter,
    entry::tickets::Ticket,
    peers::{
        datagram::{self, Authenticator},
        rpc::ConfigCopy,
    },
    pool::messages::{OrderBatch, UpdateBatch},
    prelude::RequestId,
    replay::trace::Trace,
};

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn datagram_decoder_accepts_only_authentic_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..600),
    ) {
        let key = Authenticator::new(b"key", "test");
        prop_assert!(datagram::decode(&key, &bytes).is_err(), "a forged datagram was accepted");
        let mut sealed = bytes;
        key.seal(&mut sealed);
        let _ = datagram::decode(&key, &sealed);
        let last = sealed.len() - 1;
        sealed[last] ^= 1;
        prop_assert!(datagram::decode(&key, &sealed).is_err());
    }

    #[test]
    fn call_decoders_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = postcard::from_bytes::<UpdateBatch>(&bytes);
        let _ = postcard::from_bytes::<OrderBatch>(&bytes);
        let _ = postcard::from_bytes::<ConfigCopy>(&bytes);
    }

    #[test]
    fn event_parser_is_independent_of_chunk_boundaries(
        text in "(data: [a-z]{0,5}\n|id: [0-9]{1,3}\n|\n|:x\n|[a-z]\r\n){0,30}",
        chunk_size in 1..9_usize,
    ) {
        let parse_chunks = |chunks: &mut dyn Iterator<Item = &[u8]>| {
            let mut splitter = Splitter::default();
            let mut events = Vec::new();
            for chunk in chunks {
                splitter.push(chunk);
                while let Ok(Some(event)) = splitter.next() {
                    events.push(event);
                }
            }
            events
        };
        let whole = parse_chunks(&mut std::iter::once(text.as_bytes()));
        let parts = parse_chunks(&mut text.as_bytes().chunks(chunk_size));
        prop_assert_eq!(whole, parts);
    }

    #[test]
    fn text_parsers_do_not_panic(
        text in "\\PC{0,300}",
        json in "[\\[\\]{}\":,a-z0-9.\\-\n=]{0,200}",
    ) {
        for text in [&text, &json] {
            let _ = config::parse(text);
            let _ = Trace::read(text);
            let _ = StoredConfig::read(text.as_bytes());
            let _ = serde_json::from_str::<Vec<CacheEvent>>(text);
            let _ = text.parse::<RequestId>();
            let _ = text.parse::<Ticket>();
        }
    }
}
