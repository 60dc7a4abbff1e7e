//! Places at engines: given to those who wait, followed, and freed.

use crate::context_manager::ExportSource;
use crate::dispatcher::{Action, Dispatcher, narrow};
use crate::fleet::Engine;
use crate::route::{RoutingRequest, choose_engine};
use crate::share::GENERATED_TOKEN_WEIGHT;
use crate::slot_request::{Grant, ImportReport, SlotEnd, SlotRequest, SlotRequestId, SlotResponse};

/// Time for which a place is held without a renewal.
pub const GRANT_TTL_MS: u64 = 4000;
/// Tokens that an engine may hold less than believed, for its block size.
const SLACK_TOKENS: u32 = 256;

/// What an engine is believed to hold of a prompt, and how deep in its cache.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    tokens: u32,
    depth_tokens: u64,
}

/// A place in use.
pub(super) struct Running {
    pub(super) ask: SlotRequest,
    pub(super) grant: Grant,
    engine: usize,
    uncached_tokens: u32,
    believed: Held,
    first_token: bool,
    work_tokens: f64,
    pub(super) held_until_ms: u64,
}

impl Dispatcher {
    pub(super) fn place_waiting(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let fleet = &self.fleet;
            let Some((_, waiting)) = self.queue.pop(|ask| fleet.has_free_slot(now_ms, ask)) else {
                return actions;
            };
            let to = waiting.item.id.clone();
            let grant = self.grant(now_ms, waiting.item, waiting.work_tokens);
            actions.push(Action::Respond { to, response: SlotResponse::Granted(grant) });
        }
    }

    fn grant(&mut self, now_ms: u64, ask: SlotRequest, work_tokens: f64) -> Grant {
        let offer = self.context.best_import(now_ms, &ask);
        let demand = RoutingRequest {
            prompt_tokens: ask.prompt_tokens,
            weights: ask.weights,
            import: offer.as_ref().map(|(_, offer)| *offer),
        };
        let cached = self.held(&ask);
        let candidates = self.fleet.candidates(now_ms, &ask, |engine| cached[engine].tokens);
        let choice = choose_engine(self.policies.route, &demand, &candidates, self.turn)
            .expect("an ask is popped only when an engine fits");
        self.turn += 1;
        let import = offer.filter(|_| choice.import).and_then(|(block, offer)| {
            let spared_tokens = offer.tokens.saturating_sub(cached[choice.engine].tokens);
            let spared_ms =
                f64::from(spared_tokens) * self.fleet.engines[choice.engine].prefill_ms_per_token;
            self.context.plan_import(now_ms, &ask.scope, &block, &offer, spared_ms)
        });
        let held_tokens = match (&import, demand.import) {
            (Some(_), Some(offer)) => offer.tokens,
            _ => cached[choice.engine].tokens,
        };
        let believed = cached[choice.engine];
        let engine = &self.fleet.engines[choice.engine];
        let grant = Grant { engine: engine.name.clone(), url: engine.url.clone(), import };
        let uncached_tokens = ask.prompt_tokens.saturating_sub(held_tokens);
        self.occupy(now_ms, &ask, choice.engine, uncached_tokens);
        let id = ask.id.clone();
        let running = Running {
            ask,
            grant: grant.clone(),
            engine: choice.engine,
            uncached_tokens,
            believed: if grant.import.is_none() { believed } else { Held::default() },
            first_token: false,
            work_tokens,
            held_until_ms: now_ms + GRANT_TTL_MS,
        };
        self.running.insert(id, running);
        grant
    }

    /// Counts a place as used, and notes what the engine will hold.
    fn occupy(&mut self, now_ms: u64, ask: &SlotRequest, engine: usize, uncached_tokens: u32) {
        let used = &mut self.fleet.engines[engine];
        used.outstanding += 1;
        used.pending_tokens += u64::from(uncached_tokens);
        let (account, until_ms) = (&ask.scope.account, ask.worthless_at_ms);
        let record = self.context.directory.record_use(now_ms, account, &ask.prefix, until_ms);
        if let (Some(record), Some(mark)) = (record, ask.prefix.last()) {
            let before = record.last_use_by(narrow(engine));
            let now = used.cache.record_use(before, mark.tokens);
            record.record_copy(narrow(engine), mark.tokens, now);
        }
    }

    /// Tokens of the prompt that each engine is believed to hold.
    fn held(&self, ask: &SlotRequest) -> Vec<Held> {
        let mut cached = vec![Held::default(); self.fleet.engines.len()];
        for (record, common) in self.context.directory.matching(&ask.prefix) {
            for copy in &record.copies {
                let index = usize::from(copy.engine);
                let engine = &self.fleet.engines[index];
                let tokens = copy.tokens.min(common);
                if engine.cache.contains(copy.last_use) && tokens > cached[index].tokens {
                    let depth_tokens = engine.cache.depth_tokens(copy.last_use);
                    cached[index] = Held { tokens, depth_tokens };
                }
            }
        }
        cached
    }

    pub(super) fn imported(&mut self, now_ms: u64, id: &SlotRequestId, imported: &ImportReport) {
        if let Some(running) = self.running.get(id) {
            self.context.record_import(now_ms, &running.ask.prefix, imported);
        }
    }

    pub(super) fn first_token(
        &mut self,
        now_ms: u64,
        id: &SlotRequestId,
        cached_tokens: u32,
        took_ms: u32,
    ) {
        let Some(running) = self.running.get_mut(id).filter(|running| !running.first_token) else {
            return;
        };
        running.first_token = true;
        running.held_until_ms = now_ms + GRANT_TTL_MS;
        let engine = &mut self.fleet.engines[running.engine];
        let pending = u64::from(running.uncached_tokens);
        let alone = engine.pending_tokens == pending;
        engine.pending_tokens = engine.pending_tokens.saturating_sub(pending);
        let computed = running.ask.prompt_tokens.saturating_sub(cached_tokens);
        if alone {
            engine.record_prefill(computed, f64::from(took_ms));
        }
        engine.record_success();
        if running.believed.tokens > 0 {
            let hit = cached_tokens + SLACK_TOKENS >= running.believed.tokens;
            engine.cache.adjust_size(running.believed.depth_tokens, hit);
        }
    }

    pub(super) fn done(
        &mut self,
        now_ms: u64,
        id: &SlotRequestId,
        request: &str,
        generated_tokens: u32,
        end: SlotEnd,
    ) -> Vec<Action> {
        let Some((ask, engine)) = self.release(now_ms, id, generated_tokens, end) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if end == SlotEnd::Finished {
            let Engine { url, prefill_ms_per_token: token_ms, .. } = &self.fleet.engines[engine];
            let (engine_url, request, token_ms) = (url.clone(), request.to_owned(), *token_ms);
            let source = ExportSource {
                slot_request: ask,
                engine_url,
                request_id: request,
                prefill_ms_per_token: token_ms,
            };
            actions.extend(self.context.plan_export(now_ms, source).map(Action::Export));
        }
        actions.extend(self.place_waiting(now_ms));
        actions
    }

    /// Frees a place and settles its account.
    pub(super) fn release(
        &mut self,
        now_ms: u64,
        id: &SlotRequestId,
        generated_tokens: u32,
        end: SlotEnd,
    ) -> Option<(SlotRequest, usize)> {
        let running = self.running.remove(id)?;
        let engine = &mut self.fleet.engines[running.engine];
        engine.outstanding -= 1;
        if !running.first_token {
            let pending = u64::from(running.uncached_tokens);
            engine.pending_tokens = engine.pending_tokens.saturating_sub(pending);
        }
        match end {
            SlotEnd::Failed => engine.record_failure(now_ms),
            SlotEnd::Refused => engine.record_refusal(now_ms),
            SlotEnd::Finished | SlotEnd::Cancelled | SlotEnd::Unused => {}
        }
        let took = match end {
            SlotEnd::Finished | SlotEnd::Cancelled => {
                work_tokens(running.uncached_tokens, generated_tokens)
            }
            SlotEnd::Failed | SlotEnd::Refused | SlotEnd::Unused => 0.0,
        };
        self.queue.finish(&running.ask.scope.account, took - running.work_tokens);
        self.throughput.add(now_ms, took, !self.queue.is_empty());
        Some((running.ask, running.engine))
    }

    pub(super) fn renew(&mut self, now_ms: u64, ids: &[SlotRequestId]) {
        for id in ids {
            if let Some(running) = self.running.get_mut(id) {
                running.held_until_ms = now_ms + GRANT_TTL_MS;
            }
        }
    }
}

/// Work of a request, in prompt tokens.
pub(super) fn work_tokens(uncached_tokens: u32, generated_tokens: u32) -> f64 {
    f64::from(uncached_tokens) + GENERATED_TOKEN_WEIGHT * f64::from(generated_tokens)
}
