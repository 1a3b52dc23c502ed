//! Operators' orders to move a service to a version.

use serde::{Deserialize, Serialize};

use crate::prelude::{Micros, Name};

/// Identifies an order: a hash of the object's creation, its service and its target version. An order that was deleted
/// and created again is another order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Identifies the order.
    pub id: OrderId,
    /// The service.
    pub service: Name,
    /// The version that its requests are to move to.
    pub target_version: Name,
    /// Time within which the roll-out is to be completed or rolled back.
    pub duration_us: Micros,
}
