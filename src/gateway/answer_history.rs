//! What the answers of endpoints were like lately, to judge one that only the close of its connection delimits.

use std::collections::{HashMap, VecDeque};

use crate::{endpoint::events::IdSteps, prelude::Name};

/// Answers of a route whose sizes are kept.
pub(super) const SIZES_KEPT: usize = 32;
/// Number of known sizes from which on an answer can be short.
const MIN_SIZES: usize = 8;
/// Answers of a route that tell whether its endpoints frame only some.
pub(super) const ANSWERS_COMPARED: usize = 64;
/// An endpoint that breaks answers off does so less often than with one in this many.
const MIN_UNFRAMED_RATIO: usize = 3;
/// Of unframed answers that are whole, at least one in this many has the median size of framed ones, and
/// [`MIN_LONG_UNFRAMED`] at least.
const MIN_LONG_RATIO: usize = 4;
const MIN_LONG_UNFRAMED: usize = 2;
/// Starts of endpoints that are kept. With more, all are forgotten, and learned again from their next answers.
pub(super) const MAX_STARTS: usize = 8_192;
/// Number of framing starts of a service from which on others are expected to frame as well, if all seen ones do.
const MIN_FRAMING_STARTS: u32 = 2;
/// Routes whose sizes are kept, likewise.
pub(super) const MAX_ROUTES: usize = 4_096;

/// How the size of an answer compares with those of the whole answers of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeRank {
    /// Too few are known.
    Unknown,
    /// More than a quarter of them are no longer.
    Usual,
    /// It is shorter than three quarters of them.
    Short,
    /// Too few are known, and it is shorter than three quarters of all recent answers, most of which should be whole.
    StandsOut,
    /// It is shorter than all of them.
    Shortest,
}

impl SizeRank {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Usual => "usual",
            Self::Short => "short",
            Self::StandsOut => "stands_out",
            Self::Shortest => "shortest",
        }
    }
}

/// Where an answer came from.
#[derive(Clone, Copy, Debug)]
pub struct AnswerSource<'a> {
    /// The service of its endpoint.
    pub service: &'a Name,
    /// The start of its endpoint.
    pub start: &'a Name,
    /// The route.
    pub route: &'a Name,
    /// Whether it is a stream; streams often come from another handler than plain answers.
    pub is_stream: bool,
}

/// What the whole answers of a start of an endpoint showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartFraming {
    /// One was delimited by a length or by chunks.
    Framed,
    /// All were delimited by the close of their connection.
    Unframed,
}

/// The recent answers of a route.
#[derive(Debug, Default)]
pub(super) struct RouteAnswers {
    /// The sizes of whole ones.
    pub(super) sizes: VecDeque<u64>,
    /// The sizes of those of endpoints that frame, and whether they were framed.
    pub(super) of_framing_starts: VecDeque<(u64, bool)>,
    /// Number of whole streams that ended with an end mark, until one did not.
    marked_streams: MarkedStreams,
    /// The sizes of those of which nothing showed whether they were whole.
    unproven_sizes: VecDeque<u64>,
    /// Number of streams that were compared to learn the first sizes.
    first_comparisons: usize,
}

/// Whether the whole streams of a route end with an end mark.
#[derive(Clone, Copy, Debug)]
enum MarkedStreams {
    /// So many did, and none did not.
    All(usize),
    /// Not all did.
    Some,
}

impl Default for MarkedStreams {
    fn default() -> Self {
        Self::All(0)
    }
}

impl MarkedStreams {
    fn note(&mut self, is_marked: bool) {
        *self = match *self {
            Self::All(count) if is_marked => Self::All(count.saturating_add(1)),
            _ => Self::Some,
        };
    }
}

impl RouteAnswers {
    /// Returns whether all whole streams have ended with an end mark.
    fn marks_streams(&self) -> bool {
        matches!(self.marked_streams, MarkedStreams::All(count) if count >= MIN_SIZES)
    }

    fn rank(&self, size: u64) -> SizeRank {
        let known = self.sizes.len();
        let longer = count_longer(&self.sizes, size);
        match longer {
            _ if known < MIN_SIZES => self.rank_among_recent(size),
            _ if longer == known => SizeRank::Shortest,
            _ if longer * 4 >= known * 3 => SizeRank::Short,
            _ => SizeRank::Usual,
        }
    }

    /// Compares a size with those of all recent answers.
    fn rank_among_recent(&self, size: u64) -> SizeRank {
        let seen = self.sizes.len() + self.unproven_sizes.len();
        let longer = count_longer(&self.sizes, size) + count_longer(&self.unproven_sizes, size);
        match seen >= MIN_SIZES && longer * 4 >= seen * 3 {
            true => SizeRank::StandsOut,
            false => SizeRank::Unknown,
        }
    }

    fn note_of_framing_start(&mut self, size: u64, is_framed: bool) {
        push_bounded(
            &mut self.of_framing_starts,
            (size, is_framed),
            ANSWERS_COMPARED,
        );
    }

    /// Returns whether endpoints that frame answers do not frame all: many are unframed, and as long as the framed ones. Those
    /// that are broken off are fewer or shorter.
    fn is_framed_in_part(&self) -> bool {
        let answers = &self.of_framing_starts;
        let sizes_of = |is_framed: bool| {
            let of_kind = move |answer: &&(u64, bool)| answer.1 == is_framed;
            answers.iter().filter(of_kind).map(|answer| answer.0)
        };
        let unframed = sizes_of(false).count();
        let mut framed: Vec<u64> = sizes_of(true).collect();
        if framed.len() < MIN_SIZES || unframed * MIN_UNFRAMED_RATIO < answers.len() {
            return false;
        }
        let middle = (framed.len() - 1) / 2;
        let median = *framed.select_nth_unstable(middle).1;
        let long = sizes_of(false).filter(|size| *size >= median).count();
        long >= MIN_LONG_UNFRAMED && long * MIN_LONG_RATIO >= unframed
    }
}

fn count_longer(sizes: &VecDeque<u64>, size: u64) -> usize {
    sizes.iter().filter(|other| **other > size).count()
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, max: usize) {
    if queue.len() >= max {
        queue.pop_front();
    }
    queue.push_back(item);
}

/// What is known of a start of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct SeenStart {
    pub(super) service: Name,
    pub(super) framing: StartFraming,
}

/// Number of the seen starts of a service.
#[derive(Clone, Copy, Debug, Default)]
struct SeenStarts {
    framed: u32,
    unframed: u32,
}

/// The recent answers of all routes.
#[derive(Debug, Default)]
pub struct AnswerHistory {
    /// Starts of endpoints, each with whether its answers were streams.
    pub(super) starts: HashMap<(Name, bool), SeenStart>,
    /// The numbers of these starts, by service.
    seen_starts: HashMap<(Name, bool), SeenStarts>,
    pub(super) routes: HashMap<Name, RouteAnswers>,
    /// The steps between the ids of events, by service.
    pub(super) id_steps: HashMap<Name, IdSteps>,
}

impl AnswerHistory {
    /// Notes an answer that was delimited by a length or by chunks.
    pub fn note_framed(&mut self, source: AnswerSource<'_>, size: u64) {
        self.note_start(source, StartFraming::Framed);
        self.route_mut(source.route)
            .note_of_framing_start(size, true);
    }

    /// Notes an answer that was delimited by the close of its connection. `is_whole` says whether it is known to be whole.
    pub fn note_unframed(&mut self, source: AnswerSource<'_>, size: u64, is_whole: bool) {
        if self.owes_framing(source) {
            self.route_mut(source.route)
                .note_of_framing_start(size, false);
        }
        if is_whole || self.rank(source.route, size) == SizeRank::Usual {
            self.note_start(source, StartFraming::Unframed);
        }
    }

    pub(super) fn note_start(&mut self, source: AnswerSource<'_>, framing: StartFraming) {
        let known = self.framing_of(source);
        if known == Some(framing) || known == Some(StartFraming::Framed) {
            return;
        }
        if known.is_none() && self.starts.len() >= MAX_STARTS {
            self.starts.clear();
            self.seen_starts.clear();
        }
        let key = (source.start.clone(), source.is_stream);
        let seen = SeenStart {
            service: source.service.clone(),
            framing,
        };
        self.starts.insert(key, seen);
        let service = (source.service.clone(), source.is_stream);
        let seen = self.seen_starts.entry(service).or_default();
        match framing {
            StartFraming::Framed => seen.framed += 1,
            StartFraming::Unframed => seen.unframed += 1,
        }
        if known == Some(StartFraming::Unframed) {
            seen.unframed = seen.unframed.saturating_sub(1);
        }
    }

    fn framing_of(&self, source: AnswerSource<'_>) -> Option<StartFraming> {
        let key = (source.start.clone(), source.is_stream);
        self.starts.get(&key).map(|seen| seen.framing)
    }

    /// Notes the size of an answer of which nothing shows whether it is whole.
    pub fn note_unproven(&mut self, route: &Name, size: u64) {
        push_bounded(&mut self.route_mut(route).unproven_sizes, size, SIZES_KEPT);
    }

    /// Notes whether a whole stream has ended with an end mark.
    pub fn note_stream_mark(&mut self, route: &Name, is_marked: bool) {
        self.route_mut(route).marked_streams.note(is_marked);
    }

    /// Notes the size of a whole answer: its bytes, or its events if it is a stream.
    pub fn note_whole(&mut self, route: &Name, size: u64) {
        push_bounded(&mut self.route_mut(route).sizes, size, SIZES_KEPT);
    }

    fn route_mut(&mut self, route: &Name) -> &mut RouteAnswers {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        self.routes.entry(route.clone()).or_default()
    }

    /// Notes steps between the ids of events that one run of a stream brought.
    pub fn note_id_steps(&mut self, service: &Name, steps: IdSteps) {
        match self.id_steps.get_mut(service) {
            Some(known) => known.merge(steps),
            None => {
                self.id_steps.insert(service.clone(), steps);
            }
        }
    }

    /// Returns the steps between the ids of a service's events.
    pub fn id_steps(&self, service: &Name) -> IdSteps {
        self.id_steps.get(service).copied().unwrap_or_default()
    }

    /// Returns whether one of the first streams of a route should be compared although no retry can be spared: none that is
    /// broken off is found before some sizes are known.
    pub fn take_first_comparison(&mut self, route: &Name) -> bool {
        let answers = self.route_mut(route);
        let is_first = answers.sizes.len() < MIN_SIZES && answers.first_comparisons < MIN_SIZES;
        answers.first_comparisons += usize::from(is_first);
        is_first
    }

    /// Returns what there is to doubt about an answer that ended with its connection and whose content shows no end. Its size
    /// is `None` if it cannot be compared.
    pub fn doubt(&self, source: AnswerSource<'_>, size: Option<u64>) -> Doubt {
        let route = self.routes.get(source.route);
        Doubt {
            lacks_framing: self.owes_framing(source)
                && !route.is_some_and(RouteAnswers::is_framed_in_part),
            lacks_mark: source.is_stream && route.is_some_and(RouteAnswers::marks_streams),
            size: size.map_or(SizeRank::Unknown, |size| self.rank(source.route, size)),
        }
    }

    /// Returns whether a start of an endpoint frames its answers. One that has not been seen runs the same software as the
    /// others of its service.
    fn owes_framing(&self, source: AnswerSource<'_>) -> bool {
        match self.framing_of(source) {
            Some(framing) => framing == StartFraming::Framed,
            None => {
                let service = (source.service.clone(), source.is_stream);
                let seen = self.seen_starts.get(&service).copied().unwrap_or_default();
                seen.framed >= MIN_FRAMING_STARTS && seen.unframed == 0
            }
        }
    }

    fn rank(&self, route: &Name, size: u64) -> SizeRank {
        let route = self.routes.get(route);
        route.map_or(SizeRank::Unknown, |route| route.rank(size))
    }
}

/// What there is to doubt about an answer that ended with its connection while its endpoint lives on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// Its endpoint delimits its answers otherwise, or all others of its service do, so this one may have lost the header
    /// that does.
    pub lacks_framing: bool,
    /// It is a stream, and all whole ones of its route have ended with an end mark.
    pub lacks_mark: bool,
    /// How its size compares.
    pub size: SizeRank,
}

impl Doubt {
    /// Returns whether it was most likely broken off, if another run could show the contrary and none does.
    pub fn is_suspicious(self) -> bool {
        let is_usual = matches!(self.size, SizeRank::Usual | SizeRank::Short);
        self.lacks_framing && !is_usual
    }

    /// Returns whether it counts as broken off, though no other run can show it.
    pub fn is_broken_off(self) -> bool {
        (self.lacks_framing || self.lacks_mark) && self.size == SizeRank::Shortest
    }

    /// Returns whether another run should show that it is whole, if one is allowed. Some endpoints never frame their answers,
    /// so only spare retries are used for theirs unless they stand out.
    pub fn calls_for_another_run(self, has_spare_retries: bool) -> bool {
        self.lacks_framing
            || match self.size {
                SizeRank::Shortest => true,
                SizeRank::Unknown | SizeRank::StandsOut | SizeRank::Short => has_spare_retries,
                SizeRank::Usual => false,
            }
    }
}
