//! Which endpoints hold which parts of prompts.

use ryevalve::balance::{
    load::EndpointKey,
    prefixes::{PrefixHolders, PromptPart, chains},
};

use crate::support::SECOND;

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn a_part_counts_only_with_all_before_it() {
    let here = EndpointKey(1);
    let read: Vec<_> = chains(&[part(1, 60), part(2, 400)]).collect();
    let mut holders = PrefixHolders::default();
    for (chain, _) in &read {
        holders.record(0, *chain, here);
    }
    let cached = |parts: &[PromptPart], at| {
        let chains: Vec<_> = chains(parts).collect();
        holders.cached_tokens(0, &chains, at)
    };
    assert_eq!(cached(&[part(1, 60), part(2, 400)], here), 460);
    assert_eq!(cached(&[part(1, 60), part(3, 500)], here), 60);
    assert_eq!(
        cached(&[part(2, 400)], here),
        0,
        "the same part after another beginning"
    );
    assert_eq!(cached(&[part(1, 60), part(2, 400)], EndpointKey(2)), 0);
}

#[test]
fn what_is_long_unused_or_gone_counts_for_nothing() {
    let here = EndpointKey(1);
    let read: Vec<_> = chains(&[part(1, 60)]).collect();
    let mut holders = PrefixHolders::default();
    holders.record(0, read[0].0, here);
    assert_eq!(holders.cached_tokens(SECOND, &read, here), 60);
    assert_eq!(holders.cached_tokens(600 * SECOND, &read, here), 0);
    holders.evict_endpoint(here);
    assert_eq!(holders.cached_tokens(SECOND, &read, here), 0);
}

#[test]
fn it_stays_bounded() {
    let mut holders = PrefixHolders::default();
    for id in 0..100_000 {
        let read: Vec<_> = chains(&[part(id, 60)]).collect();
        holders.record(id, read[0].0, EndpointKey((id % 7) as u32));
    }
    assert!(holders.len() <= 8_192, "{}", holders.len());
}
