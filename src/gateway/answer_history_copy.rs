//! Copies a part of the history of answers to an instance that has just started.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    endpoint::events::IdSteps,
    gateway::answer_history::{
        ANSWERS_COMPARED, AnswerHistory, AnswerSource, MAX_ROUTES, MAX_STARTS, SIZES_KEPT,
        StartFraming,
    },
    prelude::Name,
};

/// Answers of a route of each kind in a copy.
const ANSWERS_COPIED: usize = 24;
/// Bytes of an entry beside its names and sizes: lengths of its strings and lists, and flags.
const ENTRY_BYTES: usize = 16;

/// A part of what an instance knows of the answers of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryCopy {
    routes: Vec<RouteCopy>,
    id_steps: Vec<(Name, IdSteps)>,
    starts: Vec<StartCopy>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RouteCopy {
    route: Name,
    sizes: Vec<u64>,
    of_framing_starts: Vec<(u64, bool)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StartCopy {
    service: Name,
    start: Name,
    is_stream: bool,
    is_framed: bool,
}

impl HistoryCopy {
    /// Returns whether the instance that sent it knew nothing.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.id_steps.is_empty() && self.starts.is_empty()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the number of starts of endpoints.
    pub fn start_count(&self) -> usize {
        self.starts.len()
    }

    /// Removes the starts of endpoints that do not exist.
    pub fn retain_starts(&mut self, exists: impl Fn(&Name) -> bool) {
        self.starts.retain(|start| exists(&start.start));
    }
}

/// Bytes that are left for entries.
struct Room(usize);

impl Room {
    /// Returns whether there is room for an entry, and if so uses it.
    fn take(&mut self, bytes: usize) -> bool {
        let has_room = self.0 >= bytes;
        if has_room {
            self.0 -= bytes;
        }
        has_room
    }
}

impl AnswerHistory {
    /// Returns a copy that takes at most this many bytes: routes get half of them at most, the steps between ids half of the
    /// rest.
    pub fn copy(&self, max_bytes: usize) -> HistoryCopy {
        let mut room = Room(max_bytes / 2);
        let routes = self.routes.iter().map(|(route, answers)| RouteCopy {
            route: route.clone(),
            sizes: newest(&answers.sizes),
            of_framing_starts: newest(&answers.of_framing_starts),
        });
        let routes = routes.filter(|copy| room.take(copy.max_bytes())).collect();
        let mut room = Room(max_bytes / 4);
        let id_steps = self.id_steps.iter();
        let id_steps = id_steps.filter(|(service, _)| room.take(service.len() + 2 * ENTRY_BYTES));
        let id_steps = id_steps.map(|(service, steps)| (service.clone(), *steps));
        let id_steps = id_steps.collect();
        let mut room = Room(max_bytes / 4);
        let starts = self
            .starts
            .iter()
            .map(|((start, is_stream), seen)| StartCopy {
                service: seen.service.clone(),
                start: start.clone(),
                is_stream: *is_stream,
                is_framed: seen.framing == StartFraming::Framed,
            });
        let starts = starts.filter(|copy| room.take(copy.max_bytes())).collect();
        HistoryCopy {
            routes,
            id_steps,
            starts,
        }
    }

    /// Adds what another instance knew before this one started, as older than all that this one has seen itself.
    pub fn add_older(&mut self, copy: HistoryCopy) {
        for older in copy.routes {
            if !self.routes.contains_key(&older.route) && self.routes.len() >= MAX_ROUTES {
                continue;
            }
            let answers = self.routes.entry(older.route).or_default();
            push_older(&mut answers.sizes, older.sizes, SIZES_KEPT);
            push_older(
                &mut answers.of_framing_starts,
                older.of_framing_starts,
                ANSWERS_COMPARED,
            );
        }
        for (service, steps) in copy.id_steps {
            self.note_id_steps(&service, steps);
        }
        for older in copy.starts {
            self.add_older_start(&older);
        }
    }

    fn add_older_start(&mut self, older: &StartCopy) {
        let source = AnswerSource {
            service: &older.service,
            start: &older.start,
            // Only the start is noted.
            route: &older.service,
            is_stream: older.is_stream,
        };
        let framing = match older.is_framed {
            true => StartFraming::Framed,
            false => StartFraming::Unframed,
        };
        if self.starts.len() < MAX_STARTS {
            self.note_start(source, framing);
        }
    }
}

impl RouteCopy {
    /// Returns the most bytes that it may take.
    fn max_bytes(&self) -> usize {
        let sizes = self.sizes.iter().map(|size| size_bytes(*size));
        let of_starts = self.of_framing_starts.iter();
        let of_starts = of_starts.map(|(size, _)| size_bytes(*size) + 1);
        ENTRY_BYTES + self.route.len() + sizes.sum::<usize>() + of_starts.sum::<usize>()
    }
}

impl StartCopy {
    /// Returns the most bytes that it may take.
    fn max_bytes(&self) -> usize {
        ENTRY_BYTES + self.service.len() + self.start.len()
    }
}

/// Returns the bytes of a number in the encoding of calls, which has seven bits of it in each.
fn size_bytes(size: u64) -> usize {
    let bits = u64::BITS - size.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}

fn newest<T: Copy>(items: &VecDeque<T>) -> Vec<T> {
    let skipped = items.len().saturating_sub(ANSWERS_COPIED);
    items.iter().skip(skipped).copied().collect()
}

/// Puts older items before the others, as many as there is room for.
fn push_older<T>(items: &mut VecDeque<T>, older: Vec<T>, max: usize) {
    for item in older.into_iter().rev() {
        if items.len() >= max {
            return;
        }
        items.push_front(item);
    }
}
