//! The commands given through this instance, with who, when and what came of them.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::prelude::Name;

const KEPT: usize = 2_000;

/// One command that was given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GivenCommand {
    /// Its id; the same id again is answered from here.
    pub id: String,
    /// Who gave it.
    pub by: Name,
    /// When, in seconds since 1970.
    pub at_s: u64,
    /// The command, shortened.
    pub text: String,
    /// What came of it.
    pub reply: Reply,
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It was done.
    Done,
    /// It was refused; nothing was changed.
    Refused,
    /// It makes no sense; nothing was changed.
    BadInput,
    /// Whether it took effect is not known.
    Unknown,
}

/// What an operator is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// How it ended.
    pub status: Status,
    /// In a sentence, if there is more to say than the rows.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub message: String,
    /// The rows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<serde_json::Map<String, serde_json::Value>>,
    /// Instances that did not answer; the rows are then not all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<String>,
    /// Rows left out for length.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub left_out: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl Reply {
    /// Makes a reply without rows.
    pub fn new(status: Status, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
            rows: Vec::new(),
            missing: Vec::new(),
            left_out: 0,
        }
    }
}

/// The last commands given through this instance.
#[derive(Debug, Default)]
pub struct CommandLog {
    given: Mutex<VecDeque<GivenCommand>>,
}

impl CommandLog {
    /// Remembers a command.
    pub fn add(&self, command: GivenCommand) {
        let mut given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        if given.len() == KEPT {
            given.pop_front();
        }
        given.push_back(command);
    }

    /// Returns what came of the command with that id, if it is remembered.
    pub fn find(&self, id: &str) -> Option<GivenCommand> {
        let given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        given.iter().find(|c| c.id == id).cloned()
    }

    /// Returns all that are remembered, the oldest first.
    pub fn snapshot(&self) -> Vec<GivenCommand> {
        let given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        given.iter().cloned().collect()
    }
}
