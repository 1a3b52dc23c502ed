//! Roll-outs of a service's version: which share of the requests endpoints of the target version get, whether that
//! version is good, and when the roll-out is completed or rolled back.
//!
//! Without a clock or socket of its own, so that tests can drive it step by step.

mod answer_times;
mod evidence;
mod exposure;
mod judge;
mod order;
mod stages;

use serde::{Deserialize, Serialize};

pub use self::{
    answer_times::{AnswerTime, AnswerTimes, TimeSpan},
    evidence::{
        Answers, EndpointAnswers, Evidence, EvidenceReport, EvidenceSum, RouteAnswers,
        report_interval_us,
    },
    exposure::ExposureCredit,
    judge::{BadReason, Verdict, judge},
    order::{OrderId, RolloutOrder},
    stages::{GroupFacts, RolloutDecider, Stage, followed_stage, version_choice},
};

/// The endpoints of a service during a roll-out, by their version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VersionGroup {
    /// Endpoints of the target version.
    Target,
    /// Endpoints of any other version.
    Others,
}

/// Which endpoints of its service a request may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionChoice {
    /// All endpoints; the service has no roll-out.
    #[default]
    Any,
    /// Endpoints of the group only.
    Only(VersionGroup),
    /// Endpoints of the target version as long as one of them has a free slot, else the others.
    PreferTarget,
}

/// What an endpoint's answer says about its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerQuality {
    /// A whole answer in about the time expected.
    Good,
    /// A failure that the endpoint is answerable for, or no usable answer.
    Failed,
    /// A whole answer that took several times the time expected.
    Slow,
}
