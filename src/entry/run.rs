//! Runs a single request: registers it, sends it to the granted endpoint and relays the answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use tokio::{sync::mpsc, time};

use crate::{
    endpoint::{
        connection::Connection,
        engine::{self, EngineEvent, EngineStream, StreamError, Usage},
        status,
    },
    entry::{
        answer::{self, Message},
        claims::{self, ClaimAnswer, ClaimRequest},
        parse::{Call, Target},
        plain_answer::{NotWhole, PlainAnswer},
        recorder::EndedRequest,
        refusal::{self, Refusal, Verdict},
        registry::{Arrival, Decision, HeldRequest},
        tickets::{Ticket, TicketAnswer},
    },
    instance::Instance,
    metrics::tier_label,
    pool::{messages::Update, slice},
    prelude::{Micros, Name, ShedReason},
    store::Store,
};

const PROGRESS_INTERVAL_US: Micros = 200_000;
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
const TICKET_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_AFTER_SHED_MS: u32 = 1_000;
const RETRY_AFTER_CLAIM_MS: u32 = 2_000;

/// A claim that this request holds, or may hold after a claim attempt with an unknown result.
#[derive(Clone, Copy, Debug)]
enum Claim {
    Key(ClaimRequest),
    Ticket(Ticket),
}

/// Result of one attempt to send the request to an endpoint.
enum Attempt {
    /// Nothing was sent; the grant was returned and the request waits for another.
    StillWaiting,
    /// The request has ended.
    Ended,
}

/// How a request ended, for metrics and the recorder.
struct RunEnd {
    outcome: &'static str,
    reason: Option<&'static str>,
    output_tokens: u32,
    prefill_tokens: u32,
}

struct Run<S: Store> {
    instance: Arc<Instance<S>>,
    call: Call,
    held: HeldRequest,
    answer: mpsc::Sender<Message>,
    arrived_us: Micros,
    deadline_us: Micros,
    sent_us: Option<Micros>,
    pool: Name,
    endpoint: Option<Name>,
    claim: Option<Claim>,
    fence: Option<u64>,
}

/// Runs a call until its final answer has been sent or the caller has disconnected.
pub async fn run<S: Store>(instance: Arc<Instance<S>>, call: Call, answer: mpsc::Sender<Message>) {
    let now_us = instance.clock.now_us();
    let config = instance.config.current();
    let Some(pool) = config.config.pool(&call.pool) else {
        let refusal = Refusal::not_run("no_pool", "the service's pool is gone", 1_000);
        let _ = answer.send(Message::Refused(refusal)).await;
        return;
    };
    let pool = slice::slice_for(&config.config, pool, &instance.settings.data_centre);
    let deadline_us = now_us + call.deadline_ms * 1_000;
    let arrival = Arrival {
        pool: pool.clone(),
        meta: call.meta.clone(),
        deadline_us,
        tiers: config.config.tiers.len(),
        tier: call.tier.clone(),
    };
    match instance.registry.admit(arrival) {
        Ok(held) => {
            let run = Run {
                instance,
                call,
                held,
                answer,
                arrived_us: now_us,
                deadline_us,
                sent_us: None,
                pool,
                endpoint: None,
                claim: None,
                fence: None,
            };
            run.run_to_completion().await;
        }
        Err(reason) => {
            instance.metrics.shed(&call.tier, reason.as_str());
            instance.metrics.ended(&call.tier, "not_run");
            let refusal = shed_refusal(reason, spread_ms(call.meta.id.seq, RETRY_AFTER_SHED_MS));
            let _ = answer.send(Message::Refused(refusal)).await;
        }
    }
}

impl<S: Store> Run<S> {
    async fn run_to_completion(mut self) {
        let clock = self.instance.clock;
        loop {
            tokio::select! {
                biased;
                () = self.answer.closed() => return self.end_caller_left(),
                () = clock.sleep_until(self.deadline_us) => return self.expire().await,
                decision = self.held.decision() => match decision {
                    Decision::Granted { endpoint } => match self.try_endpoint(endpoint).await {
                        Attempt::StillWaiting => {}
                        Attempt::Ended => return,
                    },
                    Decision::Shed { reason, retry_after_ms } => {
                        self.instance.metrics.shed(&self.call.tier, reason.as_str());
                        let refusal = shed_refusal(reason, retry_after_ms);
                        return self.end_refused(refusal).await;
                    }
                    Decision::Cancelled => {
                        if self.held.refuse().is_ok() {
                            let message = "an operator cancelled the request";
                            let refusal = Refusal::not_run("cancelled", message, 1_000);
                            return self.end_refused(refusal).await;
                        }
                    }
                },
            }
        }
    }

    async fn expire(&mut self) {
        // Nothing was sent: a request that is sent always ends inside `try_endpoint`.
        if self.held.refuse().is_ok() {
            self.instance
                .metrics
                .expiries
                .get_or_create(&tier_label(&self.call.tier))
                .inc();
            self.end_refused(Refusal::expired()).await;
        }
    }

    fn end_caller_left(&mut self) {
        let unsent = self.held.refuse().is_ok();
        if unsent {
            self.release_own_claim();
        }
        self.record_end(RunEnd {
            outcome: "caller_left",
            reason: None,
            output_tokens: 0,
            prefill_tokens: 0,
        });
    }

    /// Sends a refusal as the final answer. Releases the claim if the request did not run.
    async fn end_refused(&mut self, refusal: Refusal) {
        let outcome = match refusal.verdict {
            Verdict::NotRun | Verdict::BadRequest => {
                self.release_own_claim();
                "not_run"
            }
            Verdict::OutcomeUnknown => "outcome_unknown",
        };
        self.record_end(RunEnd {
            outcome,
            reason: Some(refusal.reason),
            output_tokens: 0,
            prefill_tokens: 0,
        });
        let _ = self.answer.send(Message::Refused(refusal)).await;
    }

    async fn try_endpoint(&mut self, endpoint: Name) -> Attempt {
        let config = self.instance.config.current();
        let endpoint_config = config.config.endpoint(&endpoint);
        let Some(addr) = endpoint_config.and_then(|e| e.addr.parse::<SocketAddr>().ok()) else {
            return self.resume_waiting();
        };
        if self.call.key.is_some() && self.claim.is_none() {
            match self.acquire_claim().await {
                Ok(()) => {}
                Err(refusal) => {
                    if self.held.refuse().is_ok() {
                        self.end_refused(refusal).await;
                    }
                    return Attempt::Ended;
                }
            }
        }
        let Some(connection) = self.connect(&endpoint, addr).await else {
            return self.resume_waiting();
        };
        let now_us = self.instance.clock.now_us();
        if now_us >= self.deadline_us || self.answer.is_closed() {
            // Claiming or connecting took too long, this process was paused, or the caller disconnected.
            return self.resume_waiting();
        }
        if self.held.send().is_err() {
            return Attempt::Ended;
        }
        self.sent_us = Some(now_us);
        self.endpoint = Some(endpoint);
        match self.call.target.clone() {
            Target::Model { chat, stream } => self.run_model(connection, addr, chat, stream).await,
            Target::Plain { path } => self.run_plain(connection, addr, &path).await,
        }
        Attempt::Ended
    }

    /// Connects to an endpoint; returns `None` if that fails, or if the caller leaves or the deadline passes meanwhile.
    async fn connect(&self, endpoint: &Name, addr: SocketAddr) -> Option<Connection> {
        let registry = self.instance.registry.clone();
        let (pool, endpoint) = (self.pool.clone(), endpoint.clone());
        // A task of its own, so that a failure is reported even if the request no longer waits for it.
        let connecting = tokio::spawn(async move {
            match Connection::open(addr).await {
                Ok(connection) => Some(connection),
                Err(error) => {
                    log::debug!("failed to connect to endpoint {endpoint}: {error}");
                    registry.notify_leader(&pool, Update::EndpointFailed(endpoint));
                    None
                }
            }
        });
        tokio::select! {
            biased;
            () = self.answer.closed() => None,
            () = self.instance.clock.sleep_until(self.deadline_us) => None,
            // An error means that the task panicked; the request then waits for another grant.
            connected = connecting => connected.ok().flatten(),
        }
    }

    fn resume_waiting(&mut self) -> Attempt {
        match self.held.return_grant() {
            Ok(()) => Attempt::StillWaiting,
            Err(_) => Attempt::Ended,
        }
    }

    /// Claims the key or ticket of a request that may run at most once.
    async fn acquire_claim(&mut self) -> Result<(), Refusal> {
        let key = self.call.key.clone().unwrap_or_default();
        match key.parse::<Ticket>() {
            Ok(ticket) => self.use_ticket(ticket).await,
            Err(_) => self.claim_in_store(&key).await,
        }
    }

    async fn claim_in_store(&mut self, key: &str) -> Result<(), Refusal> {
        let meta = &self.call.meta;
        let key = claims::key_hash(&meta.organisation, &meta.service, key);
        let claim_request = ClaimRequest { key, by: meta.id };
        self.claim = Some(Claim::Key(claim_request));
        let claimed = time::timeout(CLAIM_TIMEOUT, self.instance.claim(claim_request)).await;
        match claimed.unwrap_or(ClaimAnswer::Unavailable) {
            ClaimAnswer::Yours(fence) => {
                self.fence = Some(fence);
                Ok(())
            }
            ClaimAnswer::Taken => {
                self.claim = None;
                Err(Refusal::duplicate())
            }
            ClaimAnswer::Unavailable => {
                let message = "the key cannot be claimed now; a ticket would do without";
                let retry_ms = spread_ms(self.call.meta.id.seq, RETRY_AFTER_CLAIM_MS);
                Err(Refusal::not_run("claim_unavailable", message, retry_ms))
            }
        }
    }

    async fn use_ticket(&mut self, ticket: Ticket) -> Result<(), Refusal> {
        let by = self.call.meta.id;
        let reply = time::timeout(TICKET_TIMEOUT, self.instance.use_ticket(ticket, by)).await;
        match reply.ok().flatten() {
            Some(TicketAnswer::Yours) => {
                self.claim = Some(Claim::Ticket(ticket));
                Ok(())
            }
            Some(TicketAnswer::Used) => Err(Refusal::duplicate()),
            Some(TicketAnswer::Unknown) | None => {
                let message = "whoever handed out the ticket cannot say whether it was used";
                Err(Refusal::unknown("ticket_unknown", message))
            }
        }
    }

    fn release_own_claim(&mut self) {
        match self.claim.take() {
            Some(Claim::Key(claim_request)) => self.instance.clone().release_claim(claim_request),
            Some(Claim::Ticket(ticket)) => {
                // Only the issuer can make the ticket usable again. On other instances this has no effect and the
                // ticket stays used, which is safe.
                self.instance.tickets.restore(ticket, self.call.meta.id);
            }
            None => {}
        }
    }

    async fn run_model(
        &mut self,
        connection: Connection,
        addr: SocketAddr,
        chat: bool,
        stream: bool,
    ) {
        let path = if chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let request = self.request(path);
        let id = self.held.id;
        let left_us = self
            .deadline_us
            .saturating_sub(self.instance.clock.now_us());
        let deadline = time::Instant::now() + Duration::from_micros(left_us);
        let max_tokens = self.call.meta.max_output_tokens;
        let started = tokio::select! {
            biased;
            () = self.answer.closed() => {
                self.end_abandoned(addr, None).await;
                return;
            }
            started = EngineStream::start(connection, addr, id, request, deadline, max_tokens) => started,
        };
        match started {
            Ok(engine) if stream => self.relay(engine, addr).await,
            Ok(engine) => self.collect(engine, addr, chat).await,
            Err(error) => self.fail_unanswered(&error).await,
        }
    }

    /// Relays the engine's stream to the caller as server-sent events.
    async fn relay(&mut self, mut engine: EngineStream, addr: SocketAddr) {
        let mut progress = Progress::default();
        let mut response_started = false;
        loop {
            let Some(next) = self.next_chunk(&mut engine).await else {
                return self.end_abandoned(addr, Some(&engine)).await;
            };
            match next {
                Ok(Some(chunk)) => {
                    if chunk.is_token {
                        self.record_token(&mut progress);
                    }
                    if !response_started {
                        response_started = true;
                        self.send_head("text/event-stream").await;
                    }
                    let data = answer::sse_event(&chunk.data);
                    // A send fails if the caller disconnected, which `next_chunk` detects.
                    let _ = self.answer.send(Message::Data(data)).await;
                }
                Ok(None) => {
                    let done = answer::sse_event(engine::DONE);
                    let _ = self.answer.send(Message::Data(done)).await;
                    return self.end_complete(&engine).await;
                }
                Err(error) if !response_started => return self.fail_unanswered(&error).await,
                Err(error) => {
                    let refusal = stream_refusal(&error);
                    let event = answer::sse_error(&refusal, self.held.id);
                    let _ = self.answer.send(Message::Data(event)).await;
                    // No `Message::End` is sent, so the caller's body is aborted.
                    return self.end_stream_failed(&error);
                }
            }
        }
    }

    /// Returns the next item of the stream, or `None` if the caller has disconnected.
    async fn next_chunk(
        &self,
        engine: &mut EngineStream,
    ) -> Option<Result<Option<EngineEvent>, StreamError>> {
        tokio::select! {
            biased;
            () = self.answer.closed() => None,
            next = engine.next() => Some(next),
        }
    }

    /// Collects the engine's stream and sends it as a single JSON answer.
    async fn collect(&mut self, mut engine: EngineStream, addr: SocketAddr, chat: bool) {
        let mut progress = Progress::default();
        let mut text = String::new();
        loop {
            let Some(next) = self.next_chunk(&mut engine).await else {
                return self.end_abandoned(addr, Some(&engine)).await;
            };
            match next {
                Ok(Some(chunk)) => {
                    if chunk.is_token {
                        self.record_token(&mut progress);
                    }
                    text.push_str(&chunk.text);
                }
                Ok(None) => break,
                Err(error) => return self.fail_unanswered(&error).await,
            }
        }
        let usage = engine.usage().unwrap_or(Usage {
            prompt_tokens: self.call.meta.prompt_tokens,
            completion_tokens: engine.tokens(),
            cached_tokens: 0,
        });
        let reason = engine.finish_reason().unwrap_or("stop");
        let model = &self.call.meta.service;
        let body = answer::completion_body(self.held.id, model, chat, &text, reason, usage);
        self.send_head("application/json").await;
        let _ = self.answer.send(Message::Data(body.into())).await;
        self.end_complete(&engine).await;
    }

    async fn run_plain(&mut self, connection: Connection, addr: SocketAddr, path: &str) {
        let request = self.request(path);
        // A disconnecting caller does not abort a request to a plain service: aborting would only make it
        // uncertain whether the request ran.
        let answer = match connection.send(request).await {
            Ok(answer) => answer,
            Err(error) => {
                let message = format!("the service did not answer: {error}");
                return self.fail_plain(message).await;
            }
        };
        let status = answer.response.status();
        if refusal::promises_not_run(status) || !status::is_final(status) {
            let message = format!("the service answered {status} to a request that may have run");
            return self.fail_plain(message).await;
        }
        self.held.notify_leader(Update::FirstToken(self.held.id));
        let mut answer = PlainAnswer::new(answer);
        match self.relay_plain(&mut answer, addr).await {
            Ok(()) => {
                self.report_duration();
                let outcome = self.in_time_or_late();
                self.finish_sent(true, Some(1), outcome, None, 0);
                let _ = self.answer.send(Message::End).await;
            }
            Err(error) => {
                let reason = Some(error.as_str());
                self.finish_sent(false, None, "outcome_unknown", reason, 0);
                // If the head has been sent, the caller's body is aborted, since no `Message::End` follows.
                if answer.take_head().is_some() {
                    let message = "the service broke its answer off";
                    let refusal = Refusal::unknown("endpoint_failed", message);
                    let _ = self.answer.send(Message::Refused(refusal)).await;
                }
            }
        }
    }

    /// Ends a request that a plain service may have run, of whose answer nothing was sent to the caller.
    async fn fail_plain(&mut self, message: String) {
        let refusal = Refusal::unknown("endpoint_failed", message);
        self.finish_sent(false, None, "outcome_unknown", Some(refusal.reason), 0);
        let _ = self.answer.send(Message::Refused(refusal)).await;
    }

    /// Relays a plain service's answer to the caller, up to its end.
    async fn relay_plain(
        &self,
        answer: &mut PlainAnswer,
        addr: SocketAddr,
    ) -> Result<(), NotWhole> {
        // Without a body, an answer that only the close delimits may be no success.
        if !answer.is_delimited_by_close() {
            self.begin_plain(answer).await;
        }
        while let Some(bytes) = answer.next().await? {
            self.begin_plain(answer).await;
            let _ = self.answer.send(Message::Data(bytes)).await;
        }
        answer.check_end(addr).await?;
        self.begin_plain(answer).await;
        Ok(())
    }

    /// Sends the head of a plain service's answer, unless that has been done.
    async fn begin_plain(&self, answer: &mut PlainAnswer) {
        if let Some(head) = answer.take_head() {
            let _ = self.answer.send(head).await;
        }
    }

    fn report_duration(&self) {
        let now_us = self.instance.clock.now_us();
        let span_us = now_us.saturating_sub(self.sent_us.unwrap_or(now_us));
        self.held
            .notify_leader(Update::Progress(self.held.id, 1, span_us));
    }

    fn request(&self, path: &str) -> Request<Full<Bytes>> {
        let meta = &self.call.meta;
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, "endpoint")
            .header("x-request-id", meta.id.to_string())
            .header("x-priority", u32::from(meta.rank))
            .header("x-organisation", &*meta.organisation);
        if let Some(kind) = &self.call.content_type {
            builder = builder.header(CONTENT_TYPE, kind);
        }
        if let Some(key) = &self.call.key {
            builder = builder.header("idempotency-key", key);
        }
        if let Some(fence) = self.fence {
            builder = builder.header("x-fence", fence);
        }
        builder
            .body(Full::new(self.call.body.clone()))
            .unwrap_or_default()
    }

    /// Sends the head of an answer of a model.
    async fn send_head(&self, kind: &'static str) {
        let message = Message::Begin {
            status: StatusCode::OK,
            content_type: HeaderValue::from_static(kind),
            is_delimited_by_close: false,
        };
        let _ = self.answer.send(message).await;
    }

    fn record_token(&self, progress: &mut Progress) {
        let now_us = self.instance.clock.now_us();
        match progress.token(now_us) {
            TokenStep::First => {
                self.held.notify_leader(Update::FirstToken(self.held.id));
                let latency_us = now_us.saturating_sub(self.arrived_us);
                self.instance
                    .metrics
                    .first_token_seconds
                    .observe(latency_us as f64 / 1e6);
            }
            TokenStep::Report(tokens, span_us) => {
                self.held
                    .notify_leader(Update::Progress(self.held.id, tokens, span_us));
            }
            TokenStep::Nothing => {}
        }
    }

    async fn end_complete(&mut self, engine: &EngineStream) {
        let usage = engine.usage().unwrap_or_default();
        let prefill = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        self.instance
            .metrics
            .cached_tokens
            .inc_by(usage.cached_tokens.into());
        let outcome = self.in_time_or_late();
        self.finish_sent(true, Some(engine.tokens()), outcome, None, prefill);
        let _ = self.answer.send(Message::End).await;
    }

    fn in_time_or_late(&self) -> &'static str {
        if self.instance.clock.now_us() <= self.deadline_us {
            "in_time"
        } else {
            "late"
        }
    }

    /// Ends a request whose stream failed before anything was sent to the caller.
    async fn fail_unanswered(&mut self, error: &StreamError) {
        self.end_stream_failed(error);
        if let StreamError::Refused {
            status,
            body: Some(body),
        } = error
            && !refusal::promises_not_run(*status)
        {
            // The engine's client error is relayed as the answer.
            let head = Message::Begin {
                status: *status,
                content_type: engine::ERROR_TYPE,
                is_delimited_by_close: body.is_delimited_by_close,
            };
            let _ = self.answer.send(head).await;
            let _ = self.answer.send(Message::Data(body.bytes.clone())).await;
            let _ = self.answer.send(Message::End).await;
            return;
        }
        let _ = self
            .answer
            .send(Message::Refused(stream_refusal(error)))
            .await;
    }

    fn end_stream_failed(&mut self, error: &StreamError) {
        log::debug!("request {}: stream failed: {error}", self.held.id);
        let unreachable = matches!(
            error,
            StreamError::Interrupted {
                reachable: false,
                ..
            }
        );
        if let Some(endpoint) = self.endpoint.clone().filter(|_| unreachable) {
            self.held.notify_leader(Update::EndpointFailed(endpoint));
        }
        let reason = Some("stream_cut");
        let prefill = self.call.meta.prompt_tokens;
        self.finish_sent(false, None, "outcome_unknown", reason, prefill);
    }

    /// Ends a sent request whose caller disconnected, and cancels it on the engine.
    async fn end_abandoned(&mut self, addr: SocketAddr, engine: Option<&EngineStream>) {
        let started = engine.is_some_and(|e| e.tokens() > 0);
        let prefill = if started {
            self.call.meta.prompt_tokens
        } else {
            0
        };
        self.finish_sent(false, None, "caller_left", None, prefill);
        engine::cancel(addr, self.held.id).await;
    }

    fn finish_sent(
        &mut self,
        complete: bool,
        tokens: Option<u32>,
        outcome: &'static str,
        reason: Option<&'static str>,
        prefill_tokens: u32,
    ) {
        // Cannot fail: this is only called for requests that were sent.
        let _ = self.held.finish(complete, tokens);
        let metrics = &self.instance.metrics;
        metrics.prefill_tokens.inc_by(prefill_tokens.into());
        let tier = tier_label(&self.call.tier);
        match outcome {
            "in_time" => {
                metrics.in_time.get_or_create(&tier).inc();
            }
            "late" => {
                metrics.late.get_or_create(&tier).inc();
                metrics.wasted_prefill_tokens.inc_by(prefill_tokens.into());
            }
            _ => {
                metrics.wasted_prefill_tokens.inc_by(prefill_tokens.into());
            }
        }
        self.record_end(RunEnd {
            outcome,
            reason,
            output_tokens: tokens.unwrap_or(0),
            prefill_tokens,
        });
    }

    fn record_end(&self, end: RunEnd) {
        let now_us = self.instance.clock.now_us();
        let meta = &self.call.meta;
        self.instance.metrics.ended(&self.call.tier, end.outcome);
        let waited_until = self.sent_us.unwrap_or(now_us);
        self.instance.recorder.add(EndedRequest {
            id: meta.id,
            organisation: meta.organisation.clone(),
            tier: self.call.tier.clone(),
            service: meta.service.clone(),
            pool: self.pool.clone(),
            endpoint: self.endpoint.clone(),
            outcome: end.outcome.into(),
            reason: end.reason.map(Into::into),
            at_ms: self.arrived_us / 1_000,
            waited_ms: waited_until.saturating_sub(self.arrived_us) / 1_000,
            took_ms: now_us.saturating_sub(self.arrived_us) / 1_000,
            deadline_ms: self.call.deadline_ms,
            prompt_tokens: meta.prompt_tokens,
            prefix: meta.prefix.clone(),
            output_tokens: end.output_tokens,
            prefill_tokens: end.prefill_tokens,
            repeatable: meta.repeatable,
        });
    }
}

/// Counts a stream's tokens between two progress reports.
#[derive(Default)]
struct Progress {
    reported_us: Option<Micros>,
    tokens: u32,
}

enum TokenStep {
    First,
    Report(u32, Micros),
    Nothing,
}

impl Progress {
    fn token(&mut self, now_us: Micros) -> TokenStep {
        let Some(reported_us) = self.reported_us else {
            self.reported_us = Some(now_us);
            return TokenStep::First;
        };
        self.tokens += 1;
        let span_us = now_us - reported_us;
        if span_us < PROGRESS_INTERVAL_US {
            return TokenStep::Nothing;
        }
        self.reported_us = Some(now_us);
        TokenStep::Report(std::mem::take(&mut self.tokens), span_us)
    }
}

fn stream_refusal(error: &StreamError) -> Refusal {
    Refusal::unknown("stream_cut", error.to_string())
}

fn shed_refusal(reason: ShedReason, retry_after_ms: u32) -> Refusal {
    let message = match reason {
        ShedReason::QueueFull => "more requests wait than can be served",
        ShedReason::DeadlineUnreachable => "no endpoint could finish the answer in time",
        ShedReason::TierShed => "the tier is being shed for now",
    };
    Refusal::not_run(reason.as_str(), message, retry_after_ms)
}

/// Returns a back-off between one and two times `base_ms`, spread by a hash of the request's number so
/// that refused callers do not retry all at once.
fn spread_ms(seq: u64, base_ms: u32) -> u32 {
    let spread = seq.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 48;
    base_ms + (f64::from(base_ms) * spread as f64 / 65_536.0) as u32
}
