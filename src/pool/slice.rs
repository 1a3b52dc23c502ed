//! Divides pools into slices, each with its own leader, and builds a leader's configuration.
//!
//! A slice is a whole pool, or the part of a split pool that is in one data centre.

use crate::{
    clock::unix_s,
    config::{
        Config,
        model::{Endpoint, Event, Pool, Split},
    },
    core::{
        endpoint::EndpointSpec,
        scheduler::{EventWindow, OrgSpec, PolicySettings, PoolSpec},
    },
    operator::drains::Drains,
    prelude::{Micros, Name},
};

const SLICE_SEPARATOR: char = '@';

/// Returns the rendezvous hash key by which the leader of a slice is chosen.
pub fn leader_key(slice: &str) -> String {
    format!("pool/{slice}")
}

/// Returns the slice that an entry in `data_centre` uses for a pool.
///
/// For a split pool this is the slice of the entry's own data centre or, if the pool has no endpoint
/// there, that of the first data centre by name in which it has one.
pub fn slice_for(config: &Config, pool: &Pool, data_centre: &str) -> Name {
    if pool.split == Split::None {
        return pool.name.clone();
    }
    let mut data_centres: Vec<&Name> = endpoints_of(config, pool)
        .filter_map(|e| config.data_centre(&e.hall))
        .collect();
    data_centres.sort_unstable();
    let own = data_centres.iter().find(|d| ****d == *data_centre);
    let Some(selected) = own.or(data_centres.first()) else {
        return pool.name.clone();
    };
    format!("{}{SLICE_SEPARATOR}{selected}", pool.name).into()
}

/// Returns all slices of the configuration.
pub fn all_slices(config: &Config) -> Vec<Name> {
    let mut slices: Vec<Name> = config
        .pools
        .iter()
        .flat_map(|pool| {
            let data_centres = config.halls.iter().map(|h| &h.data_centre);
            data_centres.map(move |data_centre| slice_for(config, pool, data_centre))
        })
        .collect();
    slices.sort_unstable();
    slices.dedup();
    slices
}

/// Returns the pool that a slice belongs to.
pub fn pool_of<'c>(config: &'c Config, slice: &str) -> Option<&'c Pool> {
    let name = slice.split(SLICE_SEPARATOR).next()?;
    config.pool(name)
}

fn endpoints_of<'c>(config: &'c Config, pool: &'c Pool) -> impl Iterator<Item = &'c Endpoint> {
    config.endpoints.iter().filter(|e| e.pool == pool.name)
}

/// Returns the endpoints of a slice.
pub fn endpoints<'c>(config: &'c Config, slice: &str) -> Vec<&'c Endpoint> {
    let Some(pool) = pool_of(config, slice) else {
        return Vec::new();
    };
    let data_centre = slice
        .split_once(SLICE_SEPARATOR)
        .map(|(_, data_centre)| data_centre);
    endpoints_of(config, pool)
        .filter(|e| {
            let own = config.data_centre(&e.hall);
            data_centre.is_none() || own.is_some_and(|o| Some(&**o) == data_centre)
        })
        .collect()
}

/// Returns the settings of the scheduling policy for a slice.
pub fn policy(config: &Config, slice: &str) -> PolicySettings {
    let mut settings = PolicySettings {
        goodput_weight: config.policy.goodput_weight,
        wasted_prefill_weight: config.policy.wasted_prefill_weight,
        block_tokens: config.policy.block_tokens,
        ..PolicySettings::default()
    };
    if let Some(pool) = pool_of(config, slice) {
        settings.max_waiting = pool.max_waiting as usize;
        settings.prior_output_tokens = pool.prior_output_tokens;
    }
    settings
}

/// Returns the configuration of a slice's scheduler.
pub fn pool_spec(config: &Config, drains: &Drains, slice: &str, now_us: Micros) -> PoolSpec {
    let endpoints = endpoints(config, slice);
    PoolSpec {
        tiers: config.tiers.len(),
        organisations: config
            .organisations
            .iter()
            .map(|o| OrgSpec {
                name: o.name.clone(),
                weight: o.weight,
                max_running: o.max_running,
            })
            .collect(),
        endpoints: endpoints.iter().map(|e| endpoint_spec(e, drains)).collect(),
        events: config
            .events
            .iter()
            .filter(|e| pool_of(config, slice).is_some_and(|p| p.name == e.pool))
            .filter_map(|e| event_window(config, e, now_us))
            .collect(),
    }
}

fn endpoint_spec(endpoint: &Endpoint, drains: &Drains) -> EndpointSpec {
    EndpointSpec {
        name: endpoint.name.clone(),
        hall: endpoint.hall.clone(),
        slots: endpoint.slots,
        prefill_tokens_per_s: endpoint.prefill_tokens_per_s,
        decode_step_us: endpoint.decode_step_us,
        cache_tokens: endpoint.cache_tokens,
        draining: endpoint.draining || drains.is_draining(&endpoint.name, &endpoint.hall),
    }
}

fn event_window(config: &Config, event: &Event, now_us: Micros) -> Option<EventWindow> {
    let rank = config.tier(&event.tier)?.rank;
    let now_s = unix_s();
    let ends_s = event.starts_at_s + event.duration_s;
    if ends_s < now_s {
        return None;
    }
    let at = |unix: u64| {
        (now_us + unix.saturating_sub(now_s) * 1_000_000)
            .saturating_sub(now_s.saturating_sub(unix) * 1_000_000)
    };
    Some(EventWindow {
        name: event.name.clone(),
        starts_us: at(event.starts_at_s),
        ends_us: at(ends_s),
        rank,
        keep_from_us: at(event.starts_at_s.saturating_sub(event.keep_room_s)),
        keep_share: event.keep_share,
    })
}
