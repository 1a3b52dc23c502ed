//! Tells slow answers from usual ones during a roll-out, by the answers of the versions that are to be replaced.
//!
//! The speed that was learned of an endpoint is no measure: that of a slow version adapts to its slowness within some
//! answers. Times are compared by their logarithm, as a prompt of ten times the length takes ten times as long.

use std::collections::HashMap;

use crate::{balance::speed::Speed, rollouts::VersionGroup};

/// An answer that takes this many times the usual time is slow. The time to a first event varies by a factor of two
/// within a route, and callers ask for a version to be withdrawn that is several times slower.
const SLOW_FACTOR: f64 = 3.0;
/// Answers shorter than this are not slow, whatever is usual: a pause of the scheduler takes as long.
const MIN_SLOW_MS: f64 = 40.0;
/// Answers of the other versions from which the usual time of a route is known well enough.
const MIN_ANSWERS: u32 = 3;
/// Answers over which the usual time is averaged, so that it follows the load of a surge.
const WINDOW_ANSWERS: u32 = 20;
/// Routes whose times are kept; answers of further ones are not compared.
const MAX_ROUTES: usize = 64;

/// What a measured time covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimeSpan {
    /// From the request to the first event, with the prompt tokens to be processed before it.
    FirstEvent,
    /// From the request to the whole answer, where it is not a stream.
    WholeAnswer,
    /// Between two events of a stream, on average.
    EventGap,
}

/// A measured time of an answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTime {
    /// The hash of the route.
    pub route: u32,
    /// What it covers.
    pub span: TimeSpan,
    /// The time.
    pub took_ms: f64,
    /// Prompt tokens to be processed before a first event.
    pub tokens: f64,
}

/// The mean of the logarithm of measured over expected times.
#[derive(Clone, Copy, Debug, Default)]
struct UsualRatio {
    mean_log: f64,
    answers: u32,
}

/// The usual times of the answers of other versions than the target version, by route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    prompt_speed: Speed,
    usual: HashMap<(u32, TimeSpan), UsualRatio>,
}

impl AnswerTimes {
    /// Returns whether an answer was slow; `None` if the usual time is not known yet. An answer of another version than
    /// the target version also updates the usual time.
    pub fn is_slow(&mut self, group: VersionGroup, time: AnswerTime) -> Option<bool> {
        let took_ms = time.took_ms.max(0.1);
        let log_ratio = (took_ms / self.expected_ms(time)).ln();
        let key = (time.route, time.span);
        let usual = self.usual.get(&key).copied().unwrap_or_default();
        if group == VersionGroup::Others {
            self.update(time, log_ratio, usual);
        }
        let is_known = usual.answers >= MIN_ANSWERS;
        let is_slow = took_ms >= MIN_SLOW_MS && log_ratio - usual.mean_log > SLOW_FACTOR.ln();
        is_known.then_some(is_slow)
    }

    fn expected_ms(&self, time: AnswerTime) -> f64 {
        match time.span {
            TimeSpan::FirstEvent => self.prompt_speed.first_event_ms(time.tokens),
            TimeSpan::WholeAnswer | TimeSpan::EventGap => 1.0,
        }
    }

    fn update(&mut self, time: AnswerTime, log_ratio: f64, mut usual: UsualRatio) {
        let key = (time.route, time.span);
        if self.usual.len() >= MAX_ROUTES && !self.usual.contains_key(&key) {
            return;
        }
        if time.span == TimeSpan::FirstEvent {
            self.prompt_speed
                .record_first_event(time.took_ms, time.tokens);
        }
        usual.answers = (usual.answers + 1).min(WINDOW_ANSWERS);
        usual.mean_log += (log_ratio - usual.mean_log) / f64::from(usual.answers);
        self.usual.insert(key, usual);
    }
}
