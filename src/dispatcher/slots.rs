//! Slots on engines: granting, tracking and freeing them.

use crate::context_manager::ExportSource;
use crate::dispatcher::{Action, Dispatcher, engine_index};
use crate::fleet::Engine;
use crate::route::{RoutingRequest, choose_engine};
use crate::share::GENERATED_TOKEN_WEIGHT;
use crate::slot_request::{Grant, ImportReport, SlotEnd, SlotRequest, SlotRequestId, SlotResponse};

/// Time after which a grant expires unless it is renewed.
pub const GRANT_TTL_MS: u64 = 4000;
/// Tokens by which the cached prefix of a prompt may be shorter than estimated and still count as a
/// hit: engines cache whole prefix blocks.
const HIT_SLACK_TOKENS: u32 = 256;

/// Part of a prompt that an engine is estimated to have cached, and its depth in the cache.
#[derive(Clone, Copy, Debug, Default)]
struct CachedPrefix {
    tokens: u32,
    depth_tokens: u64,
}

/// A request that holds a slot.
pub(super) struct RunningRequest {
    pub(super) slot_request: SlotRequest,
    pub(super) grant: Grant,
    engine: usize,
    uncached_tokens: u32,
    expected_hit: CachedPrefix,
    prefilled: bool,
    work_tokens: f64,
    pub(super) expires_at_ms: u64,
}

impl Dispatcher {
    pub(super) fn grant_queued(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let fleet = &self.fleet;
            let Some((_, queued)) =
                self.queue.pop(|slot_request| fleet.has_free_slot(now_ms, slot_request))
            else {
                return actions;
            };
            let to = queued.item.id.clone();
            let grant = self.grant(now_ms, queued.item, queued.work_tokens);
            actions.push(Action::Respond { to, response: SlotResponse::Granted(grant) });
        }
    }

    fn grant(&mut self, now_ms: u64, slot_request: SlotRequest, work_tokens: f64) -> Grant {
        let estimate = self.context.best_import(now_ms, &slot_request);
        let request = RoutingRequest {
            prompt_tokens: slot_request.prompt_tokens,
            weights: slot_request.weights,
            import: estimate.as_ref().map(|(_, estimate)| *estimate),
        };
        let cached = self.cached_prefixes(&slot_request);
        let candidates =
            self.fleet.candidates(now_ms, &slot_request, |engine| cached[engine].tokens);
        let choice = choose_engine(self.policies.route, &request, &candidates, self.selections)
            .expect("a slot request is popped only if an engine has a free slot");
        self.selections += 1;
        let import = estimate.filter(|_| choice.import).and_then(|(block, estimate)| {
            let saved_tokens = estimate.tokens.saturating_sub(cached[choice.engine].tokens);
            let saved_ms =
                f64::from(saved_tokens) * self.fleet.engines[choice.engine].prefill_ms_per_token;
            self.context.plan_import(now_ms, &slot_request.scope, &block, &estimate, saved_ms)
        });
        let covered_tokens = match (&import, request.import) {
            (Some(_), Some(estimate)) => estimate.tokens,
            _ => cached[choice.engine].tokens,
        };
        let expected_hit = cached[choice.engine];
        let engine = &self.fleet.engines[choice.engine];
        let grant = Grant { engine: engine.name.clone(), url: engine.url.clone(), import };
        let uncached_tokens = slot_request.prompt_tokens.saturating_sub(covered_tokens);
        self.take_slot(now_ms, &slot_request, choice.engine, uncached_tokens);
        let id = slot_request.id.clone();
        let running = RunningRequest {
            slot_request,
            grant: grant.clone(),
            engine: choice.engine,
            uncached_tokens,
            expected_hit: if grant.import.is_none() {
                expected_hit
            } else {
                CachedPrefix::default()
            },
            prefilled: false,
            work_tokens,
            expires_at_ms: now_ms + GRANT_TTL_MS,
        };
        self.running.insert(id, running);
        grant
    }

    /// Counts a slot as used, and records what the engine will have cached.
    fn take_slot(
        &mut self,
        now_ms: u64,
        slot_request: &SlotRequest,
        engine: usize,
        uncached_tokens: u32,
    ) {
        let engine_state = &mut self.fleet.engines[engine];
        engine_state.outstanding += 1;
        engine_state.pending_tokens += u64::from(uncached_tokens);
        let (account, worthless_at_ms) =
            (&slot_request.scope.account, slot_request.worthless_at_ms);
        let record = self.context.directory.record_use(
            now_ms,
            account,
            &slot_request.prefix,
            worthless_at_ms,
        );
        if let (Some(record), Some(prefix_end)) = (record, slot_request.prefix.last()) {
            let previous_use = record.last_use_by(engine_index(engine));
            let current_use = engine_state.cache.record_use(previous_use, prefix_end.tokens);
            record.record_copy(engine_index(engine), prefix_end.tokens, current_use);
        }
    }

    /// Estimated tokens of the prompt in the cache of each engine.
    fn cached_prefixes(&self, slot_request: &SlotRequest) -> Vec<CachedPrefix> {
        let mut cached = vec![CachedPrefix::default(); self.fleet.engines.len()];
        for (record, common) in self.context.directory.matching(&slot_request.prefix) {
            for copy in &record.copies {
                let index = usize::from(copy.engine);
                let engine = &self.fleet.engines[index];
                let tokens = copy.tokens.min(common);
                if engine.cache.contains(copy.last_use) && tokens > cached[index].tokens {
                    let depth_tokens = engine.cache.depth_tokens(copy.last_use);
                    cached[index] = CachedPrefix { tokens, depth_tokens };
                }
            }
        }
        cached
    }

    pub(super) fn record_import(
        &mut self,
        now_ms: u64,
        id: &SlotRequestId,
        imported: &ImportReport,
    ) {
        if let Some(running) = self.running.get(id) {
            self.context.record_import(now_ms, &running.slot_request.prefix, imported);
        }
    }

    pub(super) fn record_first_token(
        &mut self,
        now_ms: u64,
        id: &SlotRequestId,
        cached_tokens: u32,
        took_ms: u32,
    ) {
        let Some(running) = self.running.get_mut(id).filter(|running| !running.prefilled) else {
            return;
        };
        running.prefilled = true;
        running.expires_at_ms = now_ms + GRANT_TTL_MS;
        let engine = &mut self.fleet.engines[running.engine];
        let prefill_tokens = u64::from(running.uncached_tokens);
        let is_only_prefill = engine.pending_tokens == prefill_tokens;
        engine.pending_tokens = engine.pending_tokens.saturating_sub(prefill_tokens);
        let computed_tokens = running.slot_request.prompt_tokens.saturating_sub(cached_tokens);
        if is_only_prefill {
            engine.record_prefill(computed_tokens, f64::from(took_ms));
        }
        engine.record_success();
        if running.expected_hit.tokens > 0 {
            let is_hit = cached_tokens + HIT_SLACK_TOKENS >= running.expected_hit.tokens;
            engine.cache.adjust_size(running.expected_hit.depth_tokens, is_hit);
        }
    }

    pub(super) fn finish_request(
        &mut self,
        now_ms: u64,
        id: &SlotRequestId,
        run_id: &str,
        generated_tokens: u32,
        end: SlotEnd,
    ) -> Vec<Action> {
        let Some((slot_request, engine)) = self.free_slot(now_ms, id, generated_tokens, end) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if end == SlotEnd::Finished {
            let Engine { url, prefill_ms_per_token, .. } = &self.fleet.engines[engine];
            let (engine_url, run_id, prefill_ms_per_token) =
                (url.clone(), run_id.to_owned(), *prefill_ms_per_token);
            let source = ExportSource { slot_request, engine_url, run_id, prefill_ms_per_token };
            actions.extend(self.context.plan_export(now_ms, source).map(Action::Export));
        }
        actions.extend(self.grant_queued(now_ms));
        actions
    }

    /// Frees a slot and charges the account for the work done.
    pub(super) fn free_slot(
        &mut self,
        now_ms: u64,
        id: &SlotRequestId,
        generated_tokens: u32,
        end: SlotEnd,
    ) -> Option<(SlotRequest, usize)> {
        let running = self.running.remove(id)?;
        let engine = &mut self.fleet.engines[running.engine];
        engine.outstanding -= 1;
        if !running.prefilled {
            let prefill_tokens = u64::from(running.uncached_tokens);
            engine.pending_tokens = engine.pending_tokens.saturating_sub(prefill_tokens);
        }
        match end {
            SlotEnd::Failed => engine.record_failure(now_ms),
            SlotEnd::Refused => engine.record_refusal(now_ms),
            SlotEnd::Finished | SlotEnd::Cancelled | SlotEnd::Unused => {}
        }
        let done_work = match end {
            SlotEnd::Finished | SlotEnd::Cancelled => {
                work_tokens(running.uncached_tokens, generated_tokens)
            }
            SlotEnd::Failed | SlotEnd::Refused | SlotEnd::Unused => 0.0,
        };
        self.queue.finish(&running.slot_request.scope.account, done_work - running.work_tokens);
        self.throughput.add(now_ms, done_work, !self.queue.is_empty());
        Some((running.slot_request, running.engine))
    }

    pub(super) fn renew_grants(&mut self, now_ms: u64, ids: &[SlotRequestId]) {
        for id in ids {
            if let Some(running) = self.running.get_mut(id) {
                running.expires_at_ms = now_ms + GRANT_TTL_MS;
            }
        }
    }
}

/// Work of a request, in prompt tokens.
pub(super) fn work_tokens(uncached_tokens: u32, generated_tokens: u32) -> f64 {
    f64::from(uncached_tokens) + GENERATED_TOKEN_WEIGHT * f64::from(generated_tokens)
}
