//! Re-exports of the types that most modules use.

pub use crate::{
    core::types::{
        Incarnation, Micros, Name, Rank, Registration, RequestId, RequestMeta, ShedReason,
        short_hash,
    },
    store_position::StorePosition,
};
