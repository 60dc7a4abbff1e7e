//! Serves one completion: acquires slots, runs attempts and assembles the answer.
//!
//! If the stream of an attempt breaks, it is resumed at the same engine. If that fails,
//! another engine continues from the text so far, with the same weight version. Until
//! the first piece has arrived, the request may switch to a newer version. Retries are
//! limited by a budget.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::StreamExt;
use log::info;

use crate::account::Terms;
use crate::assembler::Assembler;
use crate::clock::{instant_at, now_ms, now_us};
use crate::context::{PrefixChain, Scope, cache_salt, token_count};
use crate::crashes::{record_abort, record_answered, withheld_until_ms};
use crate::external::{EngineError, EnginePiece, GenerateRequest, ModelEngines, PieceStream};
use crate::fingerprint::Fingerprint;
use crate::import::ContextImport;
use crate::invariant::{Invariant, check};
use crate::kernel::{Kernel, Plugin};
use crate::names::short_id;
use crate::part_key::PartKey;
use crate::placing::{HeldSlot, acquire_slot};
use crate::refusal::{Ran, Reason, Refusal};
use crate::request_content::RequestContent;
use crate::retry::RetryBudget;
use crate::slot_guard::SlotGuard;
use crate::slot_request::{SlotEnd, SlotReport, SlotRequest, SlotRequestId};
use crate::streams::{AnswerStream, StreamEnd};
use crate::sync::locked;
use crate::trace::{Hop, TraceId};

/// Maximum number of attempts for one request, including refused ones.
const MAX_ATTEMPTS: u32 = 16;
/// Part of each completion's fingerprint that sets it apart from calls to plain services.
const FINGERPRINT_KIND: &str = "completion";
/// Time after which the caller may retry when an upstream failed.
const FAILED_RETRY_MS: u64 = 1000;
/// How often finished answers are removed and unread ones cancelled.
const CLEANUP_PERIOD: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin { name: "completion", start, receive: None }
}

/// A completion to serve.
pub struct CompletionJob {
    /// Client account.
    pub account: String,
    /// The account's terms when the request arrived.
    pub terms: Terms,
    /// Model.
    pub model: String,
    /// Weight version; it no longer changes after the first piece.
    pub version: String,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// When the caller gives up, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Trace of the request.
    pub trace: TraceId,
}

/// How an attempt ended.
enum AttemptEnd {
    Finished(String),
    Cancelled,
    Refused,
    OtherVersion { ran: bool },
    Unreachable,
    Failed(String),
}

/// A completion in progress.
struct CompletionTask<'a> {
    kernel: &'a Arc<Kernel>,
    job: CompletionJob,
    stream: &'a AnswerStream,
    content: RequestContent,
    assembler: Assembler,
    excluded_engines: Vec<String>,
    attempts: u32,
    may_have_run: bool,
}

/// Serves `job` and writes the answer, or the refusal, to `stream`.
pub async fn serve(kernel: Arc<Kernel>, job: CompletionJob, stream: Arc<AnswerStream>) {
    let started_at_us = now_us();
    let (trace, deadline_ms) = (job.trace, job.deadline_ms);
    retry_budget(&kernel.placements.retries).earn();
    let mut task = CompletionTask {
        kernel: &kernel,
        content: content(&job),
        job,
        stream: &stream,
        assembler: Assembler::default(),
        excluded_engines: Vec::new(),
        attempts: 0,
        may_have_run: false,
    };
    let served = tokio::time::timeout_at(instant_at(deadline_ms), task.run()).await;
    let end = served.unwrap_or_else(|_| StreamEnd::Refused(task.deadline_refusal()));
    if let StreamEnd::Refused(refusal) = &end {
        let is_true = refusal.ran == Ran::Unknown || !task.may_have_run;
        check(Invariant::NotRunIsTrue, is_true, || stream.id.clone());
    }
    let note = match &end {
        StreamEnd::Finished(_) => format!("complete after {} attempts", task.attempts),
        StreamEnd::Refused(refusal) => format!("{}: {}", refusal.ran, refusal.reason),
    };
    kernel.span(trace, Hop::Caller, started_at_us, note);
    stream.finish(end);
}

/// What a completion asks. The parts of its prompt are its prefixes, whatever the weights.
fn content(job: &CompletionJob) -> RequestContent {
    let (account, model, prompt) = (&job.account, &job.model, &job.prompt);
    let scope = Scope { account: account.clone(), model: model.clone(), version: String::new() };
    let prefixes = PrefixChain::new(&scope, prompt);
    RequestContent {
        fingerprint: Fingerprint::new(account, &[FINGERPRINT_KIND, model], prompt.as_bytes()),
        account: short_id(account),
        parts: prefixes.hashes().iter().copied().map(PartKey).collect(),
    }
}

impl CompletionTask<'_> {
    async fn run(&mut self) -> StreamEnd {
        loop {
            if let Some(until_ms) = withheld_until_ms(self.kernel, &self.content) {
                let refusal = Refusal::unknown(Reason::Quarantined).retry_at(until_ms);
                return StreamEnd::Refused(self.with_run_state(refusal));
            }
            let slot = match acquire_slot(self.kernel, self.slot_request()).await {
                Ok(slot) => slot,
                Err(refusal) => return StreamEnd::Refused(self.with_run_state(refusal)),
            };
            let (engine, url) = (slot.grant.engine.clone(), slot.grant.url.clone());
            let sent_at_ms = now_ms();
            match self.run_attempt(slot).await {
                AttemptEnd::Finished(reason) => {
                    record_answered(self.kernel, &self.content);
                    return StreamEnd::Finished(reason);
                }
                AttemptEnd::Cancelled => {
                    return StreamEnd::Refused(self.refusal(Reason::Cancelled));
                }
                // The dispatcher grants no slots on this engine until its next report.
                AttemptEnd::Refused => {}
                AttemptEnd::OtherVersion { ran } => self.adopt_current_version(engine, ran),
                ended @ (AttemptEnd::Unreachable | AttemptEnd::Failed(_)) => {
                    if matches!(ended, AttemptEnd::Failed(_)) {
                        let content = &self.content;
                        record_abort(self.kernel, &engine, &url, content, sent_at_ms).await;
                    }
                    self.excluded_engines.push(engine);
                    if !retry_budget(&self.kernel.placements.retries).spend() {
                        return StreamEnd::Refused(self.refusal(Reason::RetryBudget));
                    }
                }
            }
            if self.attempts >= MAX_ATTEMPTS {
                return StreamEnd::Refused(self.refusal(Reason::UpstreamFailed));
            }
        }
    }

    fn has_output(&self) -> bool {
        self.assembler.next_seq() > 0
    }

    /// Switches to the current weight version, unless a piece has arrived already.
    /// An engine that ran another version does not check versions, and is excluded.
    fn adopt_current_version(&mut self, engine: String, ran: bool) {
        let config = self.kernel.configuration.current();
        let current = config.state.models.get(&self.job.model).filter(|_| !self.has_output());
        if let Some(version) = current {
            self.job.version.clone_from(version);
        }
        if ran {
            self.excluded_engines.push(engine);
        }
    }

    fn scope(&self) -> Scope {
        let CompletionJob { account, model, version, .. } = &self.job;
        Scope { account: account.clone(), model: model.clone(), version: version.clone() }
    }

    fn prompt(&self) -> String {
        format!("{}{}", self.job.prompt, self.stream.text())
    }

    fn tokens_left(&self) -> u32 {
        let generated = u32::try_from(self.assembler.next_seq()).unwrap_or(u32::MAX);
        self.job.max_tokens.saturating_sub(generated)
    }

    fn slot_request(&self) -> SlotRequest {
        let scope = self.scope();
        let prompt = self.prompt();
        let terms = &self.job.terms;
        SlotRequest {
            id: SlotRequestId {
                entry_box: self.kernel.box_id.clone(),
                number: self.kernel.unique_number(),
            },
            prefix: PrefixChain::new(&scope, &prompt),
            scope,
            prompt_tokens: token_count(prompt.len()),
            max_tokens: self.tokens_left(),
            share: terms.share,
            priority: terms.priority,
            weights: terms.weights,
            worthless_at_ms: now_ms() + terms.keep_for_s * 1000,
            deadline_ms: self.job.deadline_ms,
            excluded_engines: self.excluded_engines.clone(),
            no_wait: false,
            trace: self.job.trace,
        }
    }

    fn is_leaving(&self, engine: &str) -> bool {
        self.kernel.configuration.current().state.leaving.contains(engine)
    }

    async fn run_attempt(&mut self, slot: HeldSlot) -> AttemptEnd {
        let started_at_us = now_us();
        self.attempts += 1;
        let run_id = format!("{}-{}", self.stream.id, self.attempts);
        let first_seq = self.assembler.next_seq();
        let mut guard = SlotGuard::new(self.kernel, slot, &run_id);
        let slot = guard.slot();
        if let Some(import) = slot.grant.import.clone() {
            let (prompt, salt, trace) = (self.prompt(), cache_salt(&self.scope()), self.job.trace);
            let (prompt, salt) = (prompt.as_str(), salt.as_str());
            ContextImport { kernel: self.kernel, slot, prompt, salt, trace }.run(&import).await;
        }
        if self.is_leaving(&slot.grant.engine) {
            self.excluded_engines.push(slot.grant.engine.clone());
            guard.release(0, SlotEnd::Unused);
            return AttemptEnd::Refused;
        }
        let stream = self.stream;
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let ended = tokio::select! {
            ended = self.generate(slot, &run_id, first_seq) => ended,
            () = stream.cancelled() => AttemptEnd::Cancelled,
        };
        let generated = self.assembler.next_seq() - first_seq;
        let (end, ran) = match &ended {
            AttemptEnd::Finished(_) => (SlotEnd::Finished, true),
            AttemptEnd::Cancelled => (SlotEnd::Cancelled, true),
            AttemptEnd::Refused => (SlotEnd::Refused, false),
            AttemptEnd::OtherVersion { ran } => (SlotEnd::Refused, *ran),
            AttemptEnd::Unreachable => (SlotEnd::Failed, false),
            AttemptEnd::Failed(why) => {
                info!(target: "completion", "Run {run_id} failed: {why}.");
                (SlotEnd::Failed, true)
            }
        };
        self.may_have_run = ran_before || ran;
        let note = format!("{} on {}: {end:?}", run_id, slot.grant.engine);
        self.kernel.span(self.job.trace, Hop::Upstream, started_at_us, note);
        guard.release(u32::try_from(generated).unwrap_or(u32::MAX), end);
        ended
    }

    /// Runs the request on one engine. If the stream breaks after output has arrived, it is
    /// resumed there once.
    async fn generate(&mut self, slot: &HeldSlot, run_id: &str, first_seq: u64) -> AttemptEnd {
        let started_at_ms = now_ms();
        let (scope, prompt) = (self.scope(), self.prompt());
        let request = GenerateRequest {
            request_id: run_id,
            model: &self.job.model,
            weight_version: &self.job.version,
            prompt: &prompt,
            max_tokens: self.tokens_left(),
            priority: self.job.terms.priority,
            cache_salt: &cache_salt(&scope),
            stream: true,
        };
        let url = &slot.grant.url;
        let may_take_work = !self.is_leaving(&slot.grant.engine);
        if !check(Invariant::NoWorkWhenLeaving, may_take_work, || slot.grant.engine.clone()) {
            return AttemptEnd::Refused;
        }
        let number = self.assembler.start_attempt();
        let pieces = self.kernel.upstreams.generate(url, &request, number, first_seq).await;
        let ended = match pieces {
            Ok(pieces) => self.read_pieces(slot, run_id, pieces, started_at_ms).await,
            Err(error) => Err(error),
        };
        let ended = match ended {
            Err(EngineError::Broken(_)) if self.has_output() => {
                let from = self.assembler.next_seq() - first_seq;
                let number = self.assembler.start_attempt();
                let upstreams = &self.kernel.upstreams;
                match upstreams.resume(url, run_id, number, from, first_seq).await {
                    Ok(pieces) => self.read_pieces(slot, run_id, pieces, started_at_ms).await,
                    Err(error) => Err(error),
                }
            }
            ended => ended,
        };
        match ended {
            Ok(reason) => AttemptEnd::Finished(reason),
            Err(EngineError::OtherVersion) => AttemptEnd::OtherVersion { ran: false },
            Err(EngineError::RanOtherVersion) => AttemptEnd::OtherVersion { ran: true },
            Err(EngineError::Refused) => AttemptEnd::Refused,
            Err(EngineError::Unreachable) => AttemptEnd::Unreachable,
            Err(error @ EngineError::Broken(_)) => AttemptEnd::Failed(error.to_string()),
        }
    }

    async fn read_pieces(
        &mut self,
        slot: &HeldSlot,
        run_id: &str,
        mut pieces: PieceStream,
        started_at_ms: u64,
    ) -> Result<String, EngineError> {
        let mut first = true;
        while let Some(piece) = pieces.next().await {
            let piece = piece?;
            if std::mem::take(&mut first) {
                self.report_first_token(slot, &piece, started_at_ms);
            }
            if piece.version != self.job.version {
                // The engine does not check versions; discard everything from this run.
                metrics::counter!("coursestile_other_version_runs_total").increment(1);
                self.kernel.upstreams.cancel(&slot.grant.url, run_id).await;
                return Err(EngineError::RanOtherVersion);
            }
            self.accept_piece(run_id, piece)?;
            if let Some(reason) = self.assembler.finish() {
                let reason = reason.to_owned();
                // Only the end marker is left; reading it frees the connection for reuse.
                tokio::spawn(async move { while pieces.next().await.is_some() {} });
                return Ok(reason);
            }
        }
        Err(EngineError::Broken("the stream ended before the last piece".to_owned()))
    }

    fn report_first_token(&self, slot: &HeldSlot, piece: &EnginePiece, started_at_ms: u64) {
        let took_ms = u32::try_from(now_ms() - started_at_ms).unwrap_or(u32::MAX);
        let (id, cached_tokens) = (slot.id().clone(), piece.cached_tokens);
        slot.report(self.kernel, SlotReport::FirstToken { id, cached_tokens, took_ms });
    }

    fn accept_piece(&mut self, run_id: &str, piece: EnginePiece) -> Result<(), EngineError> {
        let is_own = piece.run_id == run_id;
        if !check(Invariant::PieceOfOwnRequest, is_own, || piece.run_id.clone()) {
            return Err(EngineError::Broken("received a piece of another request".to_owned()));
        }
        let (version, cached_tokens) = (piece.version, piece.cached_tokens);
        let ready = self.assembler.take(piece.piece).unwrap_or_default();
        for piece in ready {
            let is_expected = version == self.job.version;
            check(Invariant::ExpectedVersion, is_expected, || run_id.to_owned());
            self.stream.push(piece.text, &version, cached_tokens);
        }
        Ok(())
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        let refusal = Refusal::unknown(reason).retry_at(now_ms() + FAILED_RETRY_MS);
        self.with_run_state(refusal)
    }

    fn deadline_refusal(&self) -> Refusal {
        self.with_run_state(Refusal::unknown(Reason::DeadlinePassed))
    }

    /// Marks the refusal as "not run" only if no byte of the request was sent, or if the
    /// engine said that it did not run it.
    fn with_run_state(&self, mut refusal: Refusal) -> Refusal {
        refusal.ran = if self.may_have_run { Ran::Unknown } else { Ran::NotRun };
        refusal
    }
}

fn retry_budget(retries: &Mutex<RetryBudget>) -> std::sync::MutexGuard<'_, RetryBudget> {
    locked(retries)
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(CLEANUP_PERIOD);
        loop {
            ticks.tick().await;
            kernel.streams.remove_expired(now_ms());
        }
    });
}
