//! Which endpoints have which prompt prefixes cached.
//!
//! A prompt is a chain of parts; an endpoint need not process a part again if it has cached that
//! part and all before it. The record is an estimate: endpoints evict prefixes that were not used
//! for long.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{balance::load::EndpointKey, prelude::Micros};

/// Endpoints recorded per chain, the most recent last.
const MAX_HOLDERS: usize = 6;
/// Maximum number of chains, about 100 bytes each.
const MAX_CHAINS: usize = 8_192;
/// An endpoint that has not used a chain for this long is assumed to have evicted it.
const HOLDER_TTL_US: Micros = 60_000_000;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies its text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Returns the parts that other prompts may share: the last one belongs to the request or its session.
pub fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Hash of a chain: a part with all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChainKey(pub u32);

/// Returns the chains of a prompt, the shortest first, each with its length in tokens.
pub fn chains(parts: &[PromptPart]) -> impl Iterator<Item = (ChainKey, u32)> {
    parts
        .iter()
        .scan((0x811c_9dc5_u32, 0_u32), |(hash, tokens), part| {
            for byte in part.id.to_le_bytes() {
                *hash = (*hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
            }
            *tokens += part.tokens;
            Some((ChainKey(*hash), *tokens))
        })
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: EndpointKey,
    used_us: Micros,
}

/// The endpoints that hold each chain.
#[derive(Debug, Default)]
pub struct PrefixHolders {
    chains: HashMap<ChainKey, Vec<Holder>>,
}

impl PrefixHolders {
    /// Records that an endpoint has processed a chain.
    pub fn record(&mut self, now_us: Micros, chain: ChainKey, endpoint: EndpointKey) {
        if self.chains.len() >= MAX_CHAINS && !self.chains.contains_key(&chain) {
            self.evict_unused(now_us);
        }
        let holders = self.chains.entry(chain).or_default();
        holders.retain(|h| h.endpoint != endpoint);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder {
            endpoint,
            used_us: now_us,
        });
    }

    /// Returns how many tokens of a prompt an endpoint has cached.
    pub fn cached_tokens(
        &self,
        now_us: Micros,
        chains: &[(ChainKey, u32)],
        endpoint: EndpointKey,
    ) -> u32 {
        let held = chains.iter().take_while(|(chain, _)| {
            let holders = self.chains.get(chain).into_iter().flatten();
            let mut matching = holders.filter(|h| h.endpoint == endpoint);
            matching.any(|h| now_us.saturating_sub(h.used_us) < HOLDER_TTL_US)
        });
        held.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Returns the number of recorded chains.
    pub fn len(&self) -> usize {
        self.chains.len()
    }

    /// Returns whether no chain is recorded.
    pub fn is_empty(&self) -> bool {
        self.chains.is_empty()
    }

    /// Removes an endpoint that is gone.
    pub fn evict_endpoint(&mut self, endpoint: EndpointKey) {
        self.chains.retain(|_, holders| {
            holders.retain(|h| h.endpoint != endpoint);
            !holders.is_empty()
        });
    }

    /// Removes the chains that were not used for long; if that frees nothing, an arbitrary half.
    fn evict_unused(&mut self, now_us: Micros) {
        let fresh = |h: &Holder| now_us.saturating_sub(h.used_us) < HOLDER_TTL_US / 2;
        self.chains.retain(|_, holders| holders.iter().any(fresh));
        if self.chains.len() >= MAX_CHAINS {
            let mut keep = false;
            self.chains.retain(|_, _| {
                keep = !keep;
                keep
            });
        }
    }
}
