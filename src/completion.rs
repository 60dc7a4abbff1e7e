//! Serves one completion: finds places, runs attempts, keeps the answer whole.
//!
//! An attempt that breaks off is resumed at its engine or, when that fails,
//! continued at another engine from the text so far, under the same weight
//! version. Before the first piece the request may still move to a newer
//! version. Retries come out of a budget.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::StreamExt;
use log::info;

use crate::account::Terms;
use crate::ask::{SlotEnd, SlotReport, SlotRequest, SlotRequestId};
use crate::assembler::Assembler;
use crate::clock::{instant_at, now_ms, now_us};
use crate::context::{PrefixChain, Scope, cache_salt, token_count};
use crate::crashes::{note_answered, note_broken_off, quarantined_until_ms};
use crate::external::{EngineError, EnginePiece, GenerateRequest, ModelEngines, PieceStream};
use crate::fingerprint::Fingerprint;
use crate::import::Bringing;
use crate::invariant::{Invariant, check};
use crate::kernel::{Kernel, Plugin};
use crate::placing::{HeldSlot, acquire_slot};
use crate::refusal::{Ran, Reason, Refusal};
use crate::retry::RetryBudget;
use crate::slot_guard::SlotGuard;
use crate::streams::{AnswerStream, StreamEnd};
use crate::sync::locked;
use crate::trace::{Hop, TraceId};

/// Most attempts for one request, refused ones among them.
const MAX_ATTEMPTS: u32 = 16;
/// What a completion is, beside its account and prompt, where fingerprints are compared.
const KIND: &str = "completion";
/// Time to come back after an upstream failed.
const FAILED_RETRY_MS: u64 = 1000;
/// How often ended and unread answers are looked for.
const TIDY_PERIOD: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin { name: "completion", start, receive: None }
}

/// A completion to serve.
pub struct Job {
    /// Client account.
    pub account: String,
    /// The account's terms when the request came.
    pub terms: Terms,
    /// Model.
    pub model: String,
    /// Weight version; settled by the first piece.
    pub version: String,
    /// Prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// When the caller gives up, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Trace that it belongs to.
    pub trace: TraceId,
}

/// How an attempt ended.
enum Attempt {
    Finished(String),
    Cancelled,
    Refused,
    OtherVersion { ran: bool },
    Unreachable,
    Failed(String),
}

/// One completion under way.
struct Serving<'a> {
    kernel: &'a Arc<Kernel>,
    job: Job,
    stream: &'a AnswerStream,
    fingerprint: Fingerprint,
    assembler: Assembler,
    avoid: Vec<String>,
    attempts: u32,
    may_have_run: bool,
}

/// Serves `job` to the end of `stream`.
pub async fn serve(kernel: Arc<Kernel>, job: Job, stream: Arc<AnswerStream>) {
    let began_at_us = now_us();
    let (trace, deadline_ms) = (job.trace, job.deadline_ms);
    budget(&kernel.placements.retries).earn();
    let mut serving = Serving {
        kernel: &kernel,
        fingerprint: Fingerprint::new(&job.account, &[KIND, &job.model], job.prompt.as_bytes()),
        job,
        stream: &stream,
        assembler: Assembler::default(),
        avoid: Vec::new(),
        attempts: 0,
        may_have_run: false,
    };
    let served = tokio::time::timeout_at(instant_at(deadline_ms), serving.run()).await;
    let end = served.unwrap_or_else(|_| StreamEnd::Refused(serving.late()));
    if let StreamEnd::Refused(refusal) = &end {
        let honest = refusal.ran == Ran::Unknown || !serving.may_have_run;
        check(Invariant::NotRunIsTrue, honest, || stream.id.clone());
    }
    let note = match &end {
        StreamEnd::Finished(_) => format!("whole after {} attempts", serving.attempts),
        StreamEnd::Refused(refusal) => format!("{}: {}", refusal.ran, refusal.reason),
    };
    kernel.span(trace, Hop::Caller, began_at_us, note);
    stream.finish(end);
}

impl Serving<'_> {
    async fn run(&mut self) -> StreamEnd {
        loop {
            if let Some(until_ms) = quarantined_until_ms(self.kernel, self.fingerprint) {
                let refusal = Refusal::unknown(Reason::Quarantined).retry_at(until_ms);
                return StreamEnd::Refused(self.as_it_ran(refusal));
            }
            let slot = match acquire_slot(self.kernel, self.ask()).await {
                Ok(slot) => slot,
                Err(refusal) => return StreamEnd::Refused(self.as_it_ran(refusal)),
            };
            let (engine, url) = (slot.grant.engine.clone(), slot.grant.url.clone());
            match self.attempt(slot).await {
                Attempt::Finished(reason) => {
                    note_answered(self.kernel, self.fingerprint);
                    return StreamEnd::Finished(reason);
                }
                Attempt::Cancelled => return StreamEnd::Refused(self.refuse(Reason::Cancelled)),
                // The dispatcher leaves the engine alone until it reports.
                Attempt::Refused => {}
                Attempt::OtherVersion { ran } => self.follow_version(engine, ran),
                ended @ (Attempt::Unreachable | Attempt::Failed(_)) => {
                    if matches!(ended, Attempt::Failed(_)) {
                        note_broken_off(self.kernel, &engine, &url, self.fingerprint).await;
                    }
                    self.avoid.push(engine);
                    if !budget(&self.kernel.placements.retries).spend() {
                        return StreamEnd::Refused(self.refuse(Reason::RetryBudget));
                    }
                }
            }
            if self.attempts >= MAX_ATTEMPTS {
                return StreamEnd::Refused(self.refuse(Reason::UpstreamFailed));
            }
        }
    }

    fn begun(&self) -> bool {
        self.assembler.next_seq() > 0
    }

    /// Moves to the version in force, as long as no piece has come.
    /// An engine that ran another version does not check, and is avoided.
    fn follow_version(&mut self, engine: String, ran: bool) {
        let config = self.kernel.configuration.current();
        let newer = config.state.models.get(&self.job.model).filter(|_| !self.begun());
        if let Some(version) = newer {
            self.job.version.clone_from(version);
        }
        if ran {
            self.avoid.push(engine);
        }
    }

    fn scope(&self) -> Scope {
        let Job { account, model, version, .. } = &self.job;
        Scope { account: account.clone(), model: model.clone(), version: version.clone() }
    }

    fn prompt(&self) -> String {
        format!("{}{}", self.job.prompt, self.stream.text())
    }

    fn tokens_left(&self) -> u32 {
        let done = u32::try_from(self.assembler.next_seq()).unwrap_or(u32::MAX);
        self.job.max_tokens.saturating_sub(done)
    }

    fn ask(&self) -> SlotRequest {
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
            excluded_engines: self.avoid.clone(),
            no_wait: false,
            trace: self.job.trace,
        }
    }

    fn leaves(&self, engine: &str) -> bool {
        self.kernel.configuration.current().state.leaving.contains(engine)
    }

    async fn attempt(&mut self, slot: HeldSlot) -> Attempt {
        let began_at_us = now_us();
        self.attempts += 1;
        let run = format!("{}-{}", self.stream.id, self.attempts);
        let first_seq = self.assembler.next_seq();
        let mut guard = SlotGuard::new(self.kernel, slot, &run);
        let slot = guard.slot();
        if let Some(import) = slot.grant.import.clone() {
            let (prompt, salt, trace) = (self.prompt(), cache_salt(&self.scope()), self.job.trace);
            let (prompt, salt) = (prompt.as_str(), salt.as_str());
            Bringing { kernel: self.kernel, slot, prompt, salt, trace }.import(&import).await;
        }
        if self.leaves(&slot.grant.engine) {
            self.avoid.push(slot.grant.engine.clone());
            guard.release(0, SlotEnd::Unused);
            return Attempt::Refused;
        }
        let stream = self.stream;
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let ended = tokio::select! {
            ended = self.generate(slot, &run, first_seq) => ended,
            () = stream.cancelled() => Attempt::Cancelled,
        };
        let generated = self.assembler.next_seq() - first_seq;
        let (end, ran) = match &ended {
            Attempt::Finished(_) => (SlotEnd::Finished, true),
            Attempt::Cancelled => (SlotEnd::Cancelled, true),
            Attempt::Refused => (SlotEnd::Refused, false),
            Attempt::OtherVersion { ran } => (SlotEnd::Refused, *ran),
            Attempt::Unreachable => (SlotEnd::Failed, false),
            Attempt::Failed(why) => {
                info!(target: "completion", "{run} failed: {why}.");
                (SlotEnd::Failed, true)
            }
        };
        self.may_have_run = ran_before || ran;
        let note = format!("{} on {}: {end:?}", run, slot.grant.engine);
        self.kernel.span(self.job.trace, Hop::Upstream, began_at_us, note);
        guard.release(u32::try_from(generated).unwrap_or(u32::MAX), end);
        ended
    }

    /// Runs on one engine, resuming there once when the stream breaks off.
    async fn generate(&mut self, slot: &HeldSlot, run: &str, first_seq: u64) -> Attempt {
        let began_at_ms = now_ms();
        let (scope, prompt) = (self.scope(), self.prompt());
        let request = GenerateRequest {
            request_id: run,
            model: &self.job.model,
            weight_version: &self.job.version,
            prompt: &prompt,
            max_tokens: self.tokens_left(),
            priority: self.job.terms.priority,
            cache_salt: &cache_salt(&scope),
            stream: true,
        };
        let url = &slot.grant.url;
        let stays = !self.leaves(&slot.grant.engine);
        if !check(Invariant::NoWorkWhenLeaving, stays, || slot.grant.engine.clone()) {
            return Attempt::Refused;
        }
        let number = self.assembler.start_attempt();
        let pieces = self.kernel.upstreams.generate(url, &request, number, first_seq).await;
        let ended = match pieces {
            Ok(pieces) => self.read(slot, run, pieces, began_at_ms).await,
            Err(error) => Err(error),
        };
        let ended = match ended {
            Err(EngineError::Broken(_)) if self.begun() => {
                let from = self.assembler.next_seq() - first_seq;
                let number = self.assembler.start_attempt();
                let upstreams = &self.kernel.upstreams;
                match upstreams.resume(url, run, number, from, first_seq).await {
                    Ok(pieces) => self.read(slot, run, pieces, began_at_ms).await,
                    Err(error) => Err(error),
                }
            }
            ended => ended,
        };
        match ended {
            Ok(reason) => Attempt::Finished(reason),
            Err(EngineError::OtherVersion) => Attempt::OtherVersion { ran: false },
            Err(EngineError::RanOtherVersion) => Attempt::OtherVersion { ran: true },
            Err(EngineError::Refused) => Attempt::Refused,
            Err(EngineError::Unreachable) => Attempt::Unreachable,
            Err(error @ EngineError::Broken(_)) => Attempt::Failed(error.to_string()),
        }
    }

    async fn read(
        &mut self,
        slot: &HeldSlot,
        run: &str,
        mut pieces: PieceStream,
        began_at_ms: u64,
    ) -> Result<String, EngineError> {
        let mut first = true;
        while let Some(piece) = pieces.next().await {
            let piece = piece?;
            if std::mem::take(&mut first) {
                self.first_piece(slot, &piece, began_at_ms);
            }
            if piece.version != self.job.version {
                // The engine did not check; nothing of this run is let through.
                metrics::counter!("coursestile_other_version_runs_total").increment(1);
                self.kernel.upstreams.cancel(&slot.grant.url, run).await;
                return Err(EngineError::RanOtherVersion);
            }
            self.take(run, piece)?;
            if let Some(reason) = self.assembler.finish() {
                let reason = reason.to_owned();
                // What is left is the end mark; reading it frees the connection.
                tokio::spawn(async move { while pieces.next().await.is_some() {} });
                return Ok(reason);
            }
        }
        Err(EngineError::Broken("the stream ended early".to_owned()))
    }

    fn first_piece(&self, slot: &HeldSlot, piece: &EnginePiece, began_at_ms: u64) {
        let took_ms = u32::try_from(now_ms() - began_at_ms).unwrap_or(u32::MAX);
        let (id, cached_tokens) = (slot.id().clone(), piece.cached_tokens);
        slot.report(self.kernel, SlotReport::FirstToken { id, cached_tokens, took_ms });
    }

    fn take(&mut self, run: &str, piece: EnginePiece) -> Result<(), EngineError> {
        let own = piece.request_id == run;
        if !check(Invariant::PieceOfOwnRequest, own, || piece.request_id.clone()) {
            return Err(EngineError::Broken("a piece of another request".to_owned()));
        }
        let (version, cached_tokens) = (piece.version, piece.cached_tokens);
        let ready = self.assembler.take(piece.piece).unwrap_or_default();
        for piece in ready {
            let expected = version == self.job.version;
            check(Invariant::ExpectedVersion, expected, || run.to_owned());
            self.stream.push(piece.text, &version, cached_tokens);
        }
        Ok(())
    }

    fn refuse(&self, reason: Reason) -> Refusal {
        let refusal = Refusal::unknown(reason).retry_at(now_ms() + FAILED_RETRY_MS);
        self.as_it_ran(refusal)
    }

    fn late(&self) -> Refusal {
        self.as_it_ran(Refusal::unknown(Reason::DeadlinePassed))
    }

    /// Says "not run" only when no byte left, or the engine said so.
    fn as_it_ran(&self, mut refusal: Refusal) -> Refusal {
        refusal.ran = if self.may_have_run { Ran::Unknown } else { Ran::NotRun };
        refusal
    }
}

fn budget(retries: &Mutex<RetryBudget>) -> std::sync::MutexGuard<'_, RetryBudget> {
    locked(retries)
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(TIDY_PERIOD);
        loop {
            ticks.tick().await;
            kernel.streams.remove_expired(now_ms());
        }
    });
}
