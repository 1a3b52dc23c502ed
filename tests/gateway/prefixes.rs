//! Which endpoints have which prompt prefixes cached.

use ryevalve::balance::{
    load::EndpointKey,
    prefixes::{PrefixHolders, PromptPart, chains},
};

use crate::support::SECOND;

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn part_counts_as_cached_only_with_all_before_it() {
    let endpoint = EndpointKey(1);
    let prompt_chains: Vec<_> = chains(&[part(1, 60), part(2, 400)]).collect();
    let mut holders = PrefixHolders::default();
    for (chain, _) in &prompt_chains {
        holders.record(0, *chain, endpoint);
    }
    let cached = |parts: &[PromptPart], at| {
        let chains: Vec<_> = chains(parts).collect();
        holders.cached_tokens(0, &chains, at)
    };
    assert_eq!(cached(&[part(1, 60), part(2, 400)], endpoint), 460);
    assert_eq!(cached(&[part(1, 60), part(3, 500)], endpoint), 60);
    assert_eq!(
        cached(&[part(2, 400)], endpoint),
        0,
        "the same part with another prefix"
    );
    assert_eq!(cached(&[part(1, 60), part(2, 400)], EndpointKey(2)), 0);
}

#[test]
fn unused_or_removed_prefix_is_not_cached() {
    let endpoint = EndpointKey(1);
    let prompt_chains: Vec<_> = chains(&[part(1, 60)]).collect();
    let mut holders = PrefixHolders::default();
    holders.record(0, prompt_chains[0].0, endpoint);
    assert_eq!(holders.cached_tokens(SECOND, &prompt_chains, endpoint), 60);
    assert_eq!(
        holders.cached_tokens(600 * SECOND, &prompt_chains, endpoint),
        0
    );
    holders.evict_endpoint(endpoint);
    assert_eq!(holders.cached_tokens(SECOND, &prompt_chains, endpoint), 0);
}

#[test]
fn number_of_chains_is_bounded() {
    let mut holders = PrefixHolders::default();
    for id in 0..100_000 {
        let prompt_chains: Vec<_> = chains(&[part(id, 60)]).collect();
        holders.record(id, prompt_chains[0].0, EndpointKey((id % 7) as u32));
    }
    assert!(holders.len() <= 8_192, "{}", holders.len());
}
