//! The gateway's Prometheus metrics.

use std::io;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{
    endpoint::framing::Framing,
    entry::refusal::{Refusal, Verdict},
    gateway::{rollouts::RolloutFigures, stream_origins::OriginSource},
};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An endpoint's complete answer was delivered.
    Served,
    /// An endpoint's error answer was delivered.
    EndpointError,
    /// Refused without being run.
    NotRun,
    /// Abandoned, and possibly run.
    Unknown,
    /// Refused as invalid.
    BadRequest,
    /// The stream was cut off.
    Broken,
}

impl Outcome {
    /// Returns the outcome of a refusal.
    pub fn of(refusal: &Refusal) -> Self {
        match refusal.verdict {
            Verdict::NotRun => Self::NotRun,
            Verdict::OutcomeUnknown => Self::Unknown,
            Verdict::BadRequest => Self::BadRequest,
        }
    }

    /// Returns the name of the outcome in logs and labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::EndpointError => "endpoint_error",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::BadRequest => "bad_request",
            Self::Broken => "broken",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ArchiveWriteLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OriginLabels {
    source: &'static str,
}

/// Labels of metrics by route and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// The route's name.
    pub route: String,
    /// The outcome, from [`Outcome::as_str`].
    pub outcome: &'static str,
}

/// Labels of metrics by the error of a connect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectErrorLabels {
    /// `refused`, `timed_out`, `reset` or `other`.
    pub error: &'static str,
}

/// Labels of metrics by how far an unanswered request had come and how its connection ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnansweredLabels {
    /// `reading`, `running` or `answering`.
    pub stage: &'static str,
    /// `caller_left`, `closed`, `cut`, `timed_out`, `answer_failed`, `broke` or `panic`.
    pub cause: &'static str,
}

/// Labels of metrics by the cause that a stream was not resumed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NotResumedLabels {
    /// `no_place`, `no_retry` or `not_allowed`.
    pub cause: &'static str,
}

/// Labels of metrics by how an endpoint's answer is delimited.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FramingLabels {
    /// `length`, `chunked` or `close`.
    pub framing: &'static str,
}

/// Labels of metrics by what was decided on an answer that ended with its connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerEndLabels {
    /// `whole`, `broken_off`, `doubtful`, `suspicious` or `unproven`.
    pub end: &'static str,
}

/// Labels of metrics by what an endpoint's answer brings too much of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ExcessLabels {
    /// `head_too_long`, `body_too_long`, `event_too_long` or `too_many_events`.
    pub reason: &'static str,
}

/// Labels of metrics by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service's name.
    pub service: String,
}

/// Labels of metrics by service and organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ShareLabels {
    /// The service's name.
    pub service: String,
    /// The organisation's name.
    pub organisation: String,
}

/// A gauge of slots.
pub type SlotsGauge = Gauge<f64, std::sync::atomic::AtomicU64>;

/// Labels of metrics by roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RolloutLabels {
    /// The service.
    pub service: String,
    /// The target version.
    pub version: String,
}

/// All metrics of a gateway. Fields have the names of their metrics.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    requests: Family<RouteLabels, Counter>,
    /// Time from a request's arrival to its first event or complete answer, in seconds.
    pub first_seconds: Histogram,
    /// Connections opened to endpoints.
    pub connections_opened: Counter,
    /// Connections to endpoints opened through other instances.
    pub tunnels_opened: Counter,
    /// Connections to endpoints that no other instance carried.
    pub tunnels_failed: Counter,
    /// Connections to endpoints carried for other instances.
    pub connections_carried: Counter,
    open_carried: Gauge,
    services_cut_off: Gauge,
    connects_failed: Family<ConnectErrorLabels, Counter>,
    unreachable_endpoints: Gauge,
    /// Callers cut because the memory for slow callers was used up.
    pub callers_cut: Counter,
    requests_unanswered: Family<UnansweredLabels, Counter>,
    /// Times that an answer was not read further because its caller was behind.
    pub reads_paused: Counter,
    held_bytes: Gauge,
    /// Retries denied by the retry budget.
    pub retries_denied: Counter,
    /// Streams resumed at another endpoint within their answer.
    pub streams_resumed: Counter,
    /// Of these, streams resumed at another version of the endpoints' software than the one that began them.
    pub streams_resumed_mixed: Counter,
    /// Streams that callers took up again and that were sent to an endpoint.
    pub streams_taken_up: Counter,
    /// Streams that callers took up again and that were refused, since their origin is not known or not available.
    pub streams_not_taken_up: Counter,
    streams_not_resumed: Family<NotResumedLabels, Counter>,
    answers_received: Family<FramingLabels, Counter>,
    /// Answers that ended with their connection and whose endpoint was not shown to live on.
    pub closes_unconfirmed: Counter,
    closed_answers: Family<AnswerEndLabels, Counter>,
    answers_too_long: Family<ExcessLabels, Counter>,
    /// Origins of streams written.
    pub origins_recorded: Counter,
    /// Origins of streams asked of other instances.
    pub origins_asked: Counter,
    origins_found: Family<OriginLabels, Counter>,
    archive_writes: Family<ArchiveWriteLabels, Counter>,
    /// Times that the archive of stream origins was read.
    pub archive_reads: Counter,
    /// Requests refused because endpoints crashed while running them.
    pub requests_blocked: Counter,
    /// Requests refused because their organisation has its share of a service that is short of room.
    pub requests_over_share: Counter,
    /// Room of the services that are short of it, in slots.
    pub share_room_slots: Family<ServiceLabels, SlotsGauge>,
    /// Engine time that the organisations ask for that ask for most of such a service, in slots.
    pub share_asked_slots: Family<ShareLabels, SlotsGauge>,
    /// Their shares, in slots.
    pub share_slots: Family<ShareLabels, SlotsGauge>,
    /// Requests sent to endpoints that announced a rate limit.
    pub sent_to_limited: Counter,
    /// Permits for such endpoints that this instance requested.
    pub permits_asked: Counter,
    /// Permits that this instance granted, including those to itself.
    pub permits_given: Counter,
    /// Permits that this instance received and returned unused.
    pub permits_unused: Counter,
    /// Permit requests of this instance that were not answered.
    pub permits_unanswered: Counter,
    /// Requests for which this instance requested quota from another.
    pub quota_asked: Counter,
    /// Requests for which quota was also requested from a second instance because the first was slow.
    pub quota_hedged: Counter,
    /// Requests for which no instance answered the quota request in time.
    pub quota_unanswered: Counter,
    /// Requests that did not use their quota.
    pub quota_unused: Counter,
    /// Requests that waited for the start of leases.
    pub quota_held: Counter,
    /// Rate limits of endpoints whose header could not be parsed.
    pub limit_words_unreadable: Counter,
    /// Back-off requests of endpoints to this instance.
    pub rests_asked: Counter,
    /// Back-off requests whose header could not be parsed.
    pub rest_words_unreadable: Counter,
    /// Headers of endpoints' answers that the gateway does not interpret.
    pub answer_headers_unread: Counter,
    /// Failed calls to the store.
    pub store_failures: Counter,
    /// The newest era of the store that was seen: it rises when the store comes back from a copy.
    pub store_era: Gauge,
    /// Answers of the store whose era could not be parsed.
    pub store_eras_unreadable: Counter,
    /// Endpoint entries in the store that could not be parsed, as another program wrote them.
    pub entries_unused: Counter,
    /// Datagrams from other instances that were dropped.
    pub datagrams_dropped: Counter,
    /// Bytes sent to other instances in datagrams.
    pub told_bytes: Counter,
    /// Requests of other instances for a configuration that were deferred.
    pub copies_put_off: Counter,
    /// Reservations that this instance requested from another.
    pub places_asked: Counter,
    /// Reservation requests of this instance without a usable answer.
    pub places_unanswered: Counter,
    /// Reservations that other instances requested from this one.
    pub places_decided: Counter,
    /// Update datagrams sent to other instances.
    pub updates_sent: Counter,
    /// Update datagrams that could not be sent.
    pub updates_unsent: Counter,
    /// Requests to other instances for the freshness of their copy of the store's state.
    pub freshness_asked: Counter,
    /// Update datagrams received from other instances.
    pub updates_received: Counter,
    /// Instances including this one, whether their reports arrive or not.
    pub instances: Gauge,
    /// Instances that report to this one.
    pub reporters: Gauge,
    /// Age of the newest summary of the own hall, in seconds.
    pub hall_summary_age_seconds: Gauge<f64, std::sync::atomic::AtomicU64>,
    /// Age of the newest summary of all other halls, in seconds.
    pub far_summary_age_seconds: Gauge<f64, std::sync::atomic::AtomicU64>,
    config_version: Gauge,
    config_age_seconds: Gauge<f64, std::sync::atomic::AtomicU64>,
    endpoints_age_seconds: Gauge<f64, std::sync::atomic::AtomicU64>,
    endpoints: Gauge,
    limited_endpoints: Gauge,
    leaving_endpoints: Gauge,
    resting_endpoints: Gauge,
    waiting: Gauge,
    instances_heard: Gauge,
    resting_connections: Gauge,
    rollout_share: Family<RolloutLabels, Gauge<f64, std::sync::atomic::AtomicU64>>,
    rollout_sent: Family<RolloutLabels, Gauge>,
    rollout_bad_answers: Family<RolloutLabels, Gauge>,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("ryevalve_gateway"),
            requests: Family::default(),
            first_seconds: Histogram::new(exponential_buckets(0.005, 2.0, 12)),
            connections_opened: Counter::default(),
            tunnels_opened: Counter::default(),
            tunnels_failed: Counter::default(),
            connections_carried: Counter::default(),
            open_carried: Gauge::default(),
            services_cut_off: Gauge::default(),
            connects_failed: Family::default(),
            unreachable_endpoints: Gauge::default(),
            callers_cut: Counter::default(),
            requests_unanswered: Family::default(),
            reads_paused: Counter::default(),
            held_bytes: Gauge::default(),
            retries_denied: Counter::default(),
            streams_resumed: Counter::default(),
            streams_resumed_mixed: Counter::default(),
            streams_taken_up: Counter::default(),
            streams_not_taken_up: Counter::default(),
            streams_not_resumed: Family::default(),
            answers_received: Family::default(),
            closes_unconfirmed: Counter::default(),
            closed_answers: Family::default(),
            answers_too_long: Family::default(),
            origins_recorded: Counter::default(),
            origins_asked: Counter::default(),
            origins_found: Family::default(),
            archive_writes: Family::default(),
            archive_reads: Counter::default(),
            requests_blocked: Counter::default(),
            requests_over_share: Counter::default(),
            share_room_slots: Family::default(),
            share_asked_slots: Family::default(),
            share_slots: Family::default(),
            sent_to_limited: Counter::default(),
            permits_asked: Counter::default(),
            permits_given: Counter::default(),
            permits_unused: Counter::default(),
            permits_unanswered: Counter::default(),
            quota_asked: Counter::default(),
            quota_hedged: Counter::default(),
            quota_unanswered: Counter::default(),
            quota_unused: Counter::default(),
            quota_held: Counter::default(),
            limit_words_unreadable: Counter::default(),
            rests_asked: Counter::default(),
            rest_words_unreadable: Counter::default(),
            answer_headers_unread: Counter::default(),
            store_failures: Counter::default(),
            store_era: Gauge::default(),
            store_eras_unreadable: Counter::default(),
            entries_unused: Counter::default(),
            datagrams_dropped: Counter::default(),
            told_bytes: Counter::default(),
            copies_put_off: Counter::default(),
            places_asked: Counter::default(),
            places_unanswered: Counter::default(),
            places_decided: Counter::default(),
            updates_sent: Counter::default(),
            updates_unsent: Counter::default(),
            freshness_asked: Counter::default(),
            updates_received: Counter::default(),
            instances: Gauge::default(),
            reporters: Gauge::default(),
            hall_summary_age_seconds: Gauge::default(),
            far_summary_age_seconds: Gauge::default(),
            config_version: Gauge::default(),
            config_age_seconds: Gauge::default(),
            endpoints_age_seconds: Gauge::default(),
            endpoints: Gauge::default(),
            limited_endpoints: Gauge::default(),
            leaving_endpoints: Gauge::default(),
            resting_endpoints: Gauge::default(),
            waiting: Gauge::default(),
            instances_heard: Gauge::default(),
            resting_connections: Gauge::default(),
            rollout_share: Family::default(),
            rollout_sent: Family::default(),
            rollout_bad_answers: Family::default(),
        };
        metrics.register();
        metrics
    }
}

/// Values of gauges that are read from other parts of the gateway when metrics are exported.
#[derive(Clone, Debug, Default)]
pub struct GatewayReadings {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Time since the configuration was last known to be the newest, in seconds.
    pub config_age_s: f64,
    /// Time since the endpoints were last known to match the store, in seconds.
    pub endpoints_age_s: f64,
    /// Number of endpoints in use.
    pub endpoints: usize,
    /// Number of endpoints that announced a rate limit.
    pub limited_endpoints: usize,
    /// Number of endpoints that announced their departure, including those that have left.
    pub leaving_endpoints: usize,
    /// Number of endpoints that asked this instance to back off and have not served a request since.
    pub resting_endpoints: usize,
    /// Number of endpoints to which connects have failed since one last succeeded.
    pub unreachable_endpoints: usize,
    /// Number of services from whose endpoints this instance is cut off.
    pub services_cut_off: usize,
    /// Number of connections that are carried for other instances.
    pub open_carried: usize,
    /// Number of requests that wait for a slot.
    pub waiting: usize,
    /// Number of instances seen recently, including this one.
    pub instances_heard: usize,
    /// Number of idle connections to endpoints.
    pub resting_connections: usize,
    /// Bytes held of requests and answers.
    pub held_bytes: usize,
    /// The roll-outs.
    pub rollouts: Vec<RolloutFigures>,
}

impl GatewayMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by route and outcome",
            self.requests.clone(),
        );
        let first = "Time to the first event or whole answer";
        registry.register("first_seconds", first, self.first_seconds.clone());
        let opened = "Connections opened to endpoints";
        registry.register(
            "connections_opened",
            opened,
            self.connections_opened.clone(),
        );
        self.register_tunnels();
        let registry = &mut self.registry;
        let failed = "Connections to endpoints that could not be opened";
        registry.register("connects_failed", failed, self.connects_failed.clone());
        let unreachable = "Endpoints to which connects have failed since one last succeeded";
        let gauge = self.unreachable_endpoints.clone();
        registry.register("unreachable_endpoints", unreachable, gauge);
        let denied = "Retries that the budget left no room for";
        registry.register("retries_denied", denied, self.retries_denied.clone());
        let blocked = "Requests refused because endpoints ended under them";
        registry.register("requests_blocked", blocked, self.requests_blocked.clone());
        let over = "Requests refused because their organisation has its share";
        let counter = self.requests_over_share.clone();
        registry.register("requests_over_share", over, counter);
        let room = "Room of the services that are short of it, in slots";
        registry.register("share_room_slots", room, self.share_room_slots.clone());
        let asked = "Engine time that an organisation asks for, in slots";
        registry.register("share_asked_slots", asked, self.share_asked_slots.clone());
        let share = "Engine time that an organisation may use, in slots";
        registry.register("share_slots", share, self.share_slots.clone());
        let failures = "Calls to the store that brought nothing";
        registry.register("store_failures", failures, self.store_failures.clone());
        let era = "Era of the store, which rises when the store comes back from a copy";
        registry.register("store_era", era, self.store_era.clone());
        let unreadable = "Answers of the store whose era could not be read";
        let counter = self.store_eras_unreadable.clone();
        registry.register("store_eras_unreadable", unreadable, counter);
        let unused = "Entries of endpoints that could not be read";
        registry.register("entries_unused", unused, self.entries_unused.clone());
        let dropped = "Datagrams from instances that were dropped";
        registry.register("datagrams_dropped", dropped, self.datagrams_dropped.clone());
        self.register_resumptions();
        self.register_slow_callers();
        self.register_exchange();
        self.register_endpoint_limits();
        self.register_quota();
        self.register_rollouts();
        self.register_endpoint_announcements();
        let registry = &mut self.registry;
        let version = "Version of the configuration in force";
        registry.register("config_version", version, self.config_version.clone());
        let age = "Time since the configuration was known to be the newest";
        registry.register("config_age_seconds", age, self.config_age_seconds.clone());
        let age = "Time since the endpoints were known to be as the store has them";
        let gauge = self.endpoints_age_seconds.clone();
        registry.register("endpoints_age_seconds", age, gauge);
        registry.register("endpoints", "Endpoints in use", self.endpoints.clone());
        registry.register(
            "waiting",
            "Requests that wait for a slot",
            self.waiting.clone(),
        );
        let heard = "Instances heard of late";
        registry.register("instances_heard", heard, self.instances_heard.clone());
        let resting = "Connections to endpoints that rest";
        registry.register(
            "resting_connections",
            resting,
            self.resting_connections.clone(),
        );
    }

    fn register_slow_callers(&mut self) {
        let registry = &mut self.registry;
        let held = "Bytes held of requests and of answers that callers have not read";
        registry.register("held_bytes", held, self.held_bytes.clone());
        let cut = "Callers cut because the memory for slow callers was used up";
        registry.register("callers_cut", cut, self.callers_cut.clone());
        let unanswered = "Requests whose connection ended before their answer was complete";
        let counter = self.requests_unanswered.clone();
        registry.register("requests_unanswered", unanswered, counter);
        let paused = "Times that an answer was not read further because its caller was behind";
        registry.register("reads_paused", paused, self.reads_paused.clone());
    }

    fn register_rollouts(&mut self) {
        let registry = &mut self.registry;
        let share = "Share of requests that the stage of a roll-out gives the target version";
        registry.register("rollout_share", share, self.rollout_share.clone());
        let sent = "Requests that this instance sent to the target version";
        registry.register("rollout_sent", sent, self.rollout_sent.clone());
        let bad = "Failed and slow answers of the target version to this instance";
        let gauge = self.rollout_bad_answers.clone();
        registry.register("rollout_bad_answers", bad, gauge);
    }

    /// Sets the metrics of the roll-outs, and removes those of roll-outs that have ended.
    fn set_rollouts(&self, rollouts: &[RolloutFigures]) {
        self.rollout_share.clear();
        self.rollout_sent.clear();
        self.rollout_bad_answers.clear();
        for rollout in rollouts {
            let labels = RolloutLabels {
                service: rollout.service.to_string(),
                version: rollout.target_version.to_string(),
            };
            let share = self.rollout_share.get_or_create(&labels);
            share.set(rollout.target_share);
            let sent = self.rollout_sent.get_or_create(&labels);
            sent.set(rollout.sent_to_target as i64);
            let bad = self.rollout_bad_answers.get_or_create(&labels);
            bad.set(rollout.bad_answers as i64);
        }
    }

    fn register_tunnels(&mut self) {
        let registry = &mut self.registry;
        let opened = "Connections to endpoints opened through other instances";
        registry.register("tunnels_opened", opened, self.tunnels_opened.clone());
        let failed = "Connections to endpoints that no other instance carried";
        registry.register("tunnels_failed", failed, self.tunnels_failed.clone());
        let carried = "Connections to endpoints carried for other instances";
        let counter = self.connections_carried.clone();
        registry.register("connections_carried", carried, counter);
        let open = "Connections to endpoints that are carried for other instances now";
        registry.register("open_carried", open, self.open_carried.clone());
        let cut_off = "Services from whose endpoints this instance is cut off";
        registry.register("services_cut_off", cut_off, self.services_cut_off.clone());
    }

    fn register_quota(&mut self) {
        let registry = &mut self.registry;
        let asked = "Requests for whose quota another instance was asked";
        registry.register("quota_asked", asked, self.quota_asked.clone());
        let hedged = "Requests for whose quota a second instance was asked";
        registry.register("quota_hedged", hedged, self.quota_hedged.clone());
        let unanswered = "Requests for whose quota nobody answered in time";
        registry.register(
            "quota_unanswered",
            unanswered,
            self.quota_unanswered.clone(),
        );
        let unused = "Requests that gave their quota back";
        registry.register("quota_unused", unused, self.quota_unused.clone());
        let held = "Requests that waited for the start of leases";
        registry.register("quota_held", held, self.quota_held.clone());
    }

    fn register_endpoint_limits(&mut self) {
        let registry = &mut self.registry;
        let limited = "Endpoints that named a limit of their own";
        registry.register("limited_endpoints", limited, self.limited_endpoints.clone());
        let sent = "Requests sent to endpoints that had named a limit";
        registry.register("sent_to_limited", sent, self.sent_to_limited.clone());
        let asked = "Permits for such endpoints that were asked for";
        registry.register("permits_asked", asked, self.permits_asked.clone());
        let given = "Permits for such endpoints that were given here";
        registry.register("permits_given", given, self.permits_given.clone());
        let unused = "Permits for such endpoints that were given back";
        registry.register("permits_unused", unused, self.permits_unused.clone());
        let unanswered = "Permits for such endpoints that were asked for without an answer";
        registry.register(
            "permits_unanswered",
            unanswered,
            self.permits_unanswered.clone(),
        );
        let unreadable = "Limits named by endpoints in words that cannot be read";
        registry.register(
            "limit_words_unreadable",
            unreadable,
            self.limit_words_unreadable.clone(),
        );
    }

    fn register_endpoint_announcements(&mut self) {
        let registry = &mut self.registry;
        let leaving = "Endpoints that said that they leave, those that have left among them";
        registry.register("leaving_endpoints", leaving, self.leaving_endpoints.clone());
        let resting = "Endpoints that asked this instance for rest and have not served since";
        registry.register("resting_endpoints", resting, self.resting_endpoints.clone());
        let asked = "Words of endpoints that ask this instance for rest";
        registry.register("rests_asked", asked, self.rests_asked.clone());
        let unreadable = "Rest asked for by endpoints in words that cannot be read";
        registry.register(
            "rest_words_unreadable",
            unreadable,
            self.rest_words_unreadable.clone(),
        );
        let unread = "Headers of endpoints' answers that nothing reads";
        registry.register(
            "answer_headers_unread",
            unread,
            self.answer_headers_unread.clone(),
        );
    }

    fn register_exchange(&mut self) {
        let registry = &mut self.registry;
        let sent_bytes = "Bytes told to other instances by datagrams";
        registry.register("told_bytes", sent_bytes, self.told_bytes.clone());
        let put_off = "Instances put off when they asked for a configuration";
        registry.register("copies_put_off", put_off, self.copies_put_off.clone());
        let asked = "Places at endpoints that another instance was asked for";
        registry.register("places_asked", asked, self.places_asked.clone());
        let unanswered = "Places asked for without an answer that could be used";
        registry.register(
            "places_unanswered",
            unanswered,
            self.places_unanswered.clone(),
        );
        let decided = "Places at endpoints that other instances asked for here";
        registry.register("places_decided", decided, self.places_decided.clone());
        let sent = "Datagrams sent to other instances";
        registry.register("updates_sent", sent, self.updates_sent.clone());
        let unsent = "Datagrams to other instances that could not be sent";
        registry.register("updates_unsent", unsent, self.updates_unsent.clone());
        let asked = "Questions to other instances on how fresh what they know of the store is";
        registry.register("freshness_asked", asked, self.freshness_asked.clone());
        let received = "Datagrams taken from other instances";
        registry.register("updates_received", received, self.updates_received.clone());
        let instances = "Instances, heard or not";
        registry.register("instances", instances, self.instances.clone());
        let reporters = "Instances that report to this one";
        registry.register("reporters", reporters, self.reporters.clone());
        let age = "Age of the newest summary of the own hall, in large groups";
        let gauge = self.hall_summary_age_seconds.clone();
        registry.register("hall_summary_age_seconds", age, gauge);
        let age = "Age of the newest summary of the other halls, in large groups";
        let gauge = self.far_summary_age_seconds.clone();
        registry.register("far_summary_age_seconds", age, gauge);
    }

    fn register_resumptions(&mut self) {
        let registry = &mut self.registry;
        let resumed = "Streams resumed at another endpoint within their answer";
        registry.register("streams_resumed", resumed, self.streams_resumed.clone());
        let mixed = "Streams resumed at another version than the one that began them";
        let counter = self.streams_resumed_mixed.clone();
        registry.register("streams_resumed_mixed", mixed, counter);
        let taken_up = "Streams that callers took up again";
        registry.register("streams_taken_up", taken_up, self.streams_taken_up.clone());
        let refused = "Streams that callers took up again and whose origin was not known";
        let counter = self.streams_not_taken_up.clone();
        registry.register("streams_not_taken_up", refused, counter);
        let lost = "Streams for which no other endpoint was found within their answer";
        let counter = self.streams_not_resumed.clone();
        registry.register("streams_not_resumed", lost, counter);
        let received = "Answers of endpoints, by how they are delimited";
        let counter = self.answers_received.clone();
        registry.register("answers_received", received, counter);
        let unconfirmed =
            "Answers that ended with their connection, at endpoints that were not shown to live on";
        let counter = self.closes_unconfirmed.clone();
        registry.register("closes_unconfirmed", unconfirmed, counter);
        let closed = "Answers that ended with their connection while their endpoint lived on, by what was decided";
        let counter = self.closed_answers.clone();
        registry.register("closed_answers", closed, counter);
        let too_long = "Answers that brought more than any answer to their request can";
        let counter = self.answers_too_long.clone();
        registry.register("answers_too_long", too_long, counter);
        let recorded = "Origins of streams written for later attempts of their callers";
        registry.register("origins_recorded", recorded, self.origins_recorded.clone());
        let asked = "Origins of streams asked of other instances";
        registry.register("origins_asked", asked, self.origins_asked.clone());
        let found = "Origins of streams that callers took up, by how they were concluded";
        registry.register("origins_found", found, self.origins_found.clone());
        let writes = "Rounds of writes of the archive of stream origins, by whether all succeeded";
        registry.register("origin_archive_writes", writes, self.archive_writes.clone());
        let reads = "Times that the archive of stream origins was read";
        registry.register("origin_archive_reads", reads, self.archive_reads.clone());
    }

    /// Counts a round of writes of the archive of stream origins.
    pub fn count_archive_write(&self, is_written: bool) {
        let outcome = if is_written { "written" } else { "failed" };
        let labels = ArchiveWriteLabels { outcome };
        self.archive_writes.get_or_create(&labels).inc();
    }

    /// Counts a stream that its caller takes up and whose origin was concluded.
    pub fn count_origin(&self, source: OriginSource) {
        let source = source.as_str();
        self.origins_found
            .get_or_create(&OriginLabels { source })
            .inc();
    }

    /// Counts a stream that is resumed within its answer.
    pub fn count_resumption(&self, began_version: Option<&str>, version: &str) {
        self.streams_resumed.inc();
        if began_version.is_some_and(|began| began != version) {
            self.streams_resumed_mixed.inc();
        }
    }

    /// Counts a stream for which no other endpoint was found within its answer.
    pub fn count_not_resumed(&self, cause: &'static str) {
        let labels = NotResumedLabels { cause };
        self.streams_not_resumed.get_or_create(&labels).inc();
    }

    /// Counts an endpoint's answer by how it is delimited.
    pub fn count_answer(&self, framing: Framing) {
        let framing = framing.as_str();
        let labels = FramingLabels { framing };
        self.answers_received.get_or_create(&labels).inc();
    }

    /// Counts an answer that ended with its connection while its endpoint lived on, by what was decided.
    pub fn count_closed_answer(&self, end: &'static str) {
        let labels = AnswerEndLabels { end };
        self.closed_answers.get_or_create(&labels).inc();
    }

    /// Counts an answer that brought more than any answer to its request can.
    pub fn count_excess(&self, reason: &'static str) {
        let labels = ExcessLabels { reason };
        self.answers_too_long.get_or_create(&labels).inc();
    }

    /// Counts a request whose connection ended before its answer was complete.
    pub fn count_unanswered(&self, stage: &'static str, cause: &'static str) {
        let labels = UnansweredLabels { stage, cause };
        self.requests_unanswered.get_or_create(&labels).inc();
    }

    /// Counts a request by route and outcome.
    pub fn record_outcome(&self, route: &str, outcome: Outcome) {
        let labels = RouteLabels {
            route: route.to_owned(),
            outcome: outcome.as_str(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a connection to an endpoint that could not be opened.
    pub fn count_failed_connect(&self, error: io::ErrorKind) {
        let error = match error {
            io::ErrorKind::ConnectionRefused => "refused",
            io::ErrorKind::TimedOut => "timed_out",
            io::ErrorKind::ConnectionReset => "reset",
            _ => "other",
        };
        let labels = ConnectErrorLabels { error };
        self.connects_failed.get_or_create(&labels).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self, readings: GatewayReadings) -> String {
        self.config_version.set(readings.config_version as i64);
        self.config_age_seconds.set(readings.config_age_s);
        self.endpoints_age_seconds.set(readings.endpoints_age_s);
        self.endpoints.set(readings.endpoints as i64);
        self.limited_endpoints
            .set(readings.limited_endpoints as i64);
        let leaving = readings.leaving_endpoints;
        self.leaving_endpoints.set(leaving as i64);
        let resting = readings.resting_endpoints;
        self.resting_endpoints.set(resting as i64);
        let unreachable = readings.unreachable_endpoints;
        self.unreachable_endpoints.set(unreachable as i64);
        let cut_off = readings.services_cut_off;
        self.services_cut_off.set(cut_off as i64);
        self.open_carried.set(readings.open_carried as i64);
        self.waiting.set(readings.waiting as i64);
        self.instances_heard.set(readings.instances_heard as i64);
        let resting = readings.resting_connections;
        self.resting_connections.set(resting as i64);
        self.held_bytes.set(readings.held_bytes as i64);
        self.set_rollouts(&readings.rollouts);
        let mut text = String::new();
        // Writing into a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
