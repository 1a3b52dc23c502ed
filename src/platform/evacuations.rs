//! Evacuations: operators create an object to stop all requests to the endpoints of a data centre.

use serde::de::IgnoredAny;

/// Kind of the objects in the store; the name of an object is the name of its data centre.
pub const KIND: &str = "evacuations";

/// The content of an object, which is ignored: its existence is the evacuation.
pub type EvacuationSpec = IgnoredAny;
