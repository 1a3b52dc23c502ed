//! The cases.

mod quick_restart;

use std::{io, path::Path, sync::Arc};

use crate::site::Record;

/// Plays a case; returns whether the rule held.
pub fn play(name: &str, folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let held = match name {
        "quick-restart" => quick_restart::play(&record, has_trouble, quick_restart::SAME_IDS),
        "slow-start" => quick_restart::play(&record, has_trouble, quick_restart::NEW_IDS),
        _ => Err(io::Error::other("no such case")),
    }?;
    record.note(if held {
        "the rule held"
    } else {
        "the rule was broken"
    });
    Ok(held)
}
