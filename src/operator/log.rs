//! Log of the commands received by this instance, with operator, time and reply.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::prelude::Name;

/// Commands kept; the oldest is evicted first.
const MAX_COMMANDS: usize = 2_000;

/// A logged command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedCommand {
    /// Its id; a repeated command with this id gets the logged reply.
    pub id: String,
    /// The operator who sent it.
    pub by: Name,
    /// When it was executed, in seconds since 1970.
    pub at_s: u64,
    /// The command's text, truncated.
    pub text: String,
    /// The reply to it.
    pub reply: Reply,
}

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It was done.
    Done,
    /// It was refused; nothing was changed.
    Refused,
    /// It is invalid; nothing was changed.
    BadInput,
    /// Whether it took effect is not known.
    Unknown,
}

/// The reply to an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The command's outcome.
    pub status: Status,
    /// Explanation in a sentence; empty if the rows say everything.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub message: String,
    /// The rows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<serde_json::Map<String, serde_json::Value>>,
    /// Instances that did not answer. If there are any, the rows are incomplete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<String>,
    /// Number of rows omitted because of the limits on rows.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub left_out: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl Reply {
    /// Creates a reply without rows.
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

/// The most recent commands received by this instance.
#[derive(Debug, Default)]
pub struct CommandLog {
    commands: Mutex<VecDeque<LoggedCommand>>,
}

impl CommandLog {
    /// Adds a command and evicts the oldest if the log is full.
    pub fn add(&self, command: LoggedCommand) {
        let mut commands = self.commands.lock().unwrap_or_else(PoisonError::into_inner);
        if commands.len() == MAX_COMMANDS {
            commands.pop_front();
        }
        commands.push_back(command);
    }

    /// Returns the command with that id, if it is still in the log.
    pub fn find(&self, id: &str) -> Option<LoggedCommand> {
        let commands = self.commands.lock().unwrap_or_else(PoisonError::into_inner);
        commands.iter().find(|c| c.id == id).cloned()
    }

    /// Returns all logged commands, the oldest first.
    pub fn snapshot(&self) -> Vec<LoggedCommand> {
        let commands = self.commands.lock().unwrap_or_else(PoisonError::into_inner);
        commands.iter().cloned().collect()
    }
}
