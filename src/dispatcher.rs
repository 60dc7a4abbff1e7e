//! Decides for one model in one data hall: who runs next, and where.
//!
//! The dispatcher counts exactly what it has granted, queues the rest by fair
//! shares, and looks after kept context. Each box can act as the dispatcher
//! of each model; the owner of the model in the hall does, and any other box
//! for itself when the owner does not answer. A place whose holder does not
//! renew it falls free.

use std::collections::HashMap;

use crate::ask::{Ask, AskId, End, Grant, Imported, Report, Verdict};
use crate::edge::EngineReport;
use crate::fleet::{Engine, Fleet};
use crate::keeper::{Export, Keeper, Source};
use crate::refusal::{Reason, Refusal};
use crate::route::{Demand, RoutePolicy, choose};
use crate::share::{GENERATED_TOKEN_WEIGHT, SharePolicy, ShareQueue};
use crate::throughput::Throughput;

/// Time for which a place is held without a renewal.
pub const HOLD_MS: u64 = 4000;
/// Tokens that an engine may hold less than believed, for its block size.
const SLACK_TOKENS: u32 = 256;
/// Shortest time to come back after an overload.
const LEAST_RETRY_MS: u64 = 200;
/// Longest time to come back after an overload.
const MOST_RETRY_MS: u64 = 10_000;
/// Time to come back when no engine serves the request now.
const NO_UPSTREAM_RETRY_MS: u64 = 2000;

/// Policies in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policies {
    /// Where a request runs.
    pub route: RoutePolicy,
    /// Who is served next.
    pub share: SharePolicy,
}

/// What the dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer an ask.
    Answer { to: AskId, verdict: Verdict },
    /// Write context to a store.
    Export(Export),
}

/// What an engine is believed to hold of a prompt, and how deep in its cache.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    tokens: u32,
    depth_tokens: u64,
}

struct Running {
    ask: Ask,
    grant: Grant,
    engine: usize,
    uncached_tokens: u32,
    believed: Held,
    first_token: bool,
    work_tokens: f64,
    held_until_ms: u64,
}

/// The dispatcher of one model in one data hall.
pub struct Dispatcher {
    policies: Policies,
    /// The engines.
    pub fleet: Fleet,
    queue: ShareQueue<Ask>,
    running: HashMap<AskId, Running>,
    throughput: Throughput,
    /// Kept context.
    pub keeper: Keeper,
    turn: usize,
}

impl Dispatcher {
    /// Starts with nothing running.
    #[must_use]
    pub fn new(policies: Policies, engines: Vec<Engine>, keeper: Keeper) -> Self {
        Self {
            policies,
            fleet: Fleet::new(engines),
            queue: ShareQueue::new(policies.share),
            running: HashMap::new(),
            throughput: Throughput::default(),
            keeper,
            turn: 0,
        }
    }

    /// Takes in an engine's own report, `None` when it did not answer.
    pub fn engine_report(&mut self, now_ms: u64, name: &str, report: Option<&EngineReport>) {
        // With another version, an engine holds nothing of what it held.
        if let Some(engine) = self.fleet.engine_report(now_ms, name, report) {
            self.keeper.directory.forget_engine(narrow(engine));
        }
    }

    /// Number of asks that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of places in use.
    #[must_use]
    pub fn places_in_use(&self) -> usize {
        self.running.len()
    }

    /// Work served over share, by account.
    pub fn virtual_tokens(&self) -> impl Iterator<Item = (&str, f64)> {
        self.queue.virtual_tokens()
    }

    /// Takes an ask.
    pub fn ask(&mut self, now_ms: u64, ask: Ask) -> Vec<Action> {
        if let Some(verdict) = self.known_verdict(&ask.id) {
            return vec![Action::Answer { to: ask.id, verdict }];
        }
        if let Some(refusal) = self.refusal(now_ms, &ask) {
            return vec![Action::Answer { to: ask.id, verdict: Verdict::Refuse(refusal) }];
        }
        let id = ask.id.clone();
        let account = ask.scope.account.clone();
        let (share, priority, deadline_ms) = (ask.share, ask.priority, ask.deadline_ms);
        let no_wait = ask.no_wait;
        let work_tokens = self.expected_work(&ask);
        self.queue.push(&account, share, priority, ask, work_tokens, deadline_ms);
        let mut actions = self.place_waiting(now_ms);
        let placed =
            actions.iter().any(|one| matches!(one, Action::Answer { to, .. } if *to == id));
        if !placed && no_wait {
            self.withdraw(&id);
            let refusal = Refusal::not_run(Reason::Overloaded).retry_at(now_ms + LEAST_RETRY_MS);
            actions.push(Action::Answer { to: id, verdict: Verdict::Refuse(refusal) });
        } else if !placed {
            actions.push(Action::Answer { to: id, verdict: Verdict::Wait });
        }
        actions
    }

    /// The verdict on an ask that came before: its answer may have been lost.
    fn known_verdict(&self, id: &AskId) -> Option<Verdict> {
        if let Some(running) = self.running.get(id) {
            return Some(Verdict::Run(running.grant.clone()));
        }
        self.queue.contains(|waiting| waiting.id == *id).then_some(Verdict::Wait)
    }

    /// Takes a report on a place.
    pub fn report(&mut self, now_ms: u64, report: &Report) -> Vec<Action> {
        match report {
            Report::Imported { id, imported } => self.imported(now_ms, id, imported),
            Report::FirstToken { id, cached_tokens, took_ms } => {
                self.first_token(now_ms, id, *cached_tokens, *took_ms);
            }
            Report::Done { id, request, generated_tokens, end } => {
                return self.done(now_ms, id, request, *generated_tokens, *end);
            }
            Report::Renew { ids } => self.renew(now_ms, ids),
        }
        Vec::new()
    }

    /// Drops an ask that waits.
    pub fn withdraw(&mut self, id: &AskId) {
        self.queue.take_out(|waiting| waiting.item.id == *id);
    }

    /// Does what is due: places fall free, waiting asks are placed or refused.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let lapsed = self.running.iter().filter(|(_, running)| running.held_until_ms <= now_ms);
        for id in lapsed.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.release(now_ms, &id, 0, End::Cancelled);
        }
        let mut actions = self.place_waiting(now_ms);
        actions.extend(self.keeper.plan_put_off(now_ms).map(Action::Export));
        let late = self.queue.take_out(|waiting| waiting.deadline_ms <= now_ms);
        let fleet = &self.fleet;
        let lost = self.queue.take_out(|waiting| !fleet.can_serve(now_ms, &waiting.item));
        let late = late.into_iter().map(|ask| (ask, Refusal::not_run(Reason::DeadlinePassed)));
        let lost = lost.into_iter().map(|ask| (ask, no_upstream(now_ms)));
        actions.extend(late.chain(lost).map(|(ask, refusal)| Action::Answer {
            to: ask.id,
            verdict: Verdict::Refuse(refusal),
        }));
        actions
    }

    fn refusal(&self, now_ms: u64, ask: &Ask) -> Option<Refusal> {
        if ask.deadline_ms <= now_ms {
            return Some(Refusal::not_run(Reason::DeadlinePassed));
        }
        if !self.fleet.can_serve(now_ms, ask) {
            return Some(no_upstream(now_ms));
        }
        let wait_ms = self.expected_wait_ms(ask);
        let left_ms = ask.deadline_ms - now_ms;
        if wait_ms <= left_ms {
            return None;
        }
        let retry_ms = (wait_ms - left_ms).clamp(LEAST_RETRY_MS, MOST_RETRY_MS);
        Some(Refusal::not_run(Reason::Overloaded).retry_at(now_ms + retry_ms))
    }

    /// How long the ask would wait for a place, by the work ahead of it.
    fn expected_wait_ms(&self, ask: &Ask) -> u64 {
        let ahead = self.queue.tokens_ahead(&ask.scope.account, ask.share);
        self.throughput.time_ms(ahead)
    }

    fn expected_work(&self, ask: &Ask) -> f64 {
        let matching = self.keeper.directory.matching(&ask.course);
        let held = matching.map(|(_, common)| common).max().unwrap_or(0);
        work_tokens(ask.prompt_tokens.saturating_sub(held), ask.max_tokens)
    }

    fn place_waiting(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let fleet = &self.fleet;
            let Some((_, waiting)) = self.queue.pop(|ask| fleet.has_place(now_ms, ask)) else {
                return actions;
            };
            let to = waiting.item.id.clone();
            let grant = self.grant(now_ms, waiting.item, waiting.work_tokens);
            actions.push(Action::Answer { to, verdict: Verdict::Run(grant) });
        }
    }

    fn grant(&mut self, now_ms: u64, ask: Ask, work_tokens: f64) -> Grant {
        let offer = self.keeper.offer(now_ms, &ask);
        let demand = Demand {
            prompt_tokens: ask.prompt_tokens,
            weights: ask.weights,
            offer: offer.as_ref().map(|(_, offer)| *offer),
        };
        let cached = self.held(&ask);
        let candidates = self.fleet.candidates(now_ms, &ask, |engine| cached[engine].tokens);
        let choice = choose(self.policies.route, &demand, &candidates, self.turn)
            .expect("an ask is popped only when an engine fits");
        self.turn += 1;
        let import = offer.filter(|_| choice.import).and_then(|(block, offer)| {
            self.keeper.start_import(now_ms, &ask.scope, &block, &offer)
        });
        let held_tokens = match (&import, demand.offer) {
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
            held_until_ms: now_ms + HOLD_MS,
        };
        self.running.insert(id, running);
        grant
    }

    /// Counts a place as used, and notes what the engine will hold.
    fn occupy(&mut self, now_ms: u64, ask: &Ask, engine: usize, uncached_tokens: u32) {
        let used = &mut self.fleet.engines[engine];
        used.outstanding += 1;
        used.pending_tokens += u64::from(uncached_tokens);
        let (account, until_ms) = (&ask.scope.account, ask.worthless_at_ms);
        let record = self.keeper.directory.used(now_ms, account, &ask.course, until_ms);
        if let (Some(record), Some(mark)) = (record, ask.course.end()) {
            let before = record.used_at(narrow(engine));
            let now = used.cache.touch(before, mark.tokens);
            record.held(narrow(engine), mark.tokens, now);
        }
    }

    /// Tokens of the prompt that each engine is believed to hold.
    fn held(&self, ask: &Ask) -> Vec<Held> {
        let mut cached = vec![Held::default(); self.fleet.engines.len()];
        for (record, common) in self.keeper.directory.matching(&ask.course) {
            for copy in &record.copies {
                let index = usize::from(copy.engine);
                let engine = &self.fleet.engines[index];
                let tokens = copy.tokens.min(common);
                if engine.cache.holds(copy.used) && tokens > cached[index].tokens {
                    let depth_tokens = engine.cache.depth_tokens(copy.used);
                    cached[index] = Held { tokens, depth_tokens };
                }
            }
        }
        cached
    }

    fn imported(&mut self, now_ms: u64, id: &AskId, imported: &Imported) {
        if let Some(running) = self.running.get(id) {
            self.keeper.imported(now_ms, &running.ask.course, imported);
        }
    }

    fn first_token(&mut self, now_ms: u64, id: &AskId, cached_tokens: u32, took_ms: u32) {
        let Some(running) = self.running.get_mut(id).filter(|running| !running.first_token) else {
            return;
        };
        running.first_token = true;
        running.held_until_ms = now_ms + HOLD_MS;
        let engine = &mut self.fleet.engines[running.engine];
        let pending = u64::from(running.uncached_tokens);
        let alone = engine.pending_tokens == pending;
        engine.pending_tokens = engine.pending_tokens.saturating_sub(pending);
        let computed = running.ask.prompt_tokens.saturating_sub(cached_tokens);
        if alone {
            engine.measured(computed, f64::from(took_ms));
        }
        engine.works();
        if running.believed.tokens > 0 {
            let hit = cached_tokens + SLACK_TOKENS >= running.believed.tokens;
            engine.cache.learn(running.believed.depth_tokens, hit);
        }
    }

    fn done(
        &mut self,
        now_ms: u64,
        id: &AskId,
        request: &str,
        generated_tokens: u32,
        end: End,
    ) -> Vec<Action> {
        let Some((ask, engine)) = self.release(now_ms, id, generated_tokens, end) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if end == End::Finished {
            let Engine { url, token_ms, .. } = &self.fleet.engines[engine];
            let (engine_url, request, token_ms) = (url.clone(), request.to_owned(), *token_ms);
            let source = Source { ask, engine_url, request, token_ms };
            actions.extend(self.keeper.plan_export(now_ms, source).map(Action::Export));
        }
        actions.extend(self.place_waiting(now_ms));
        actions
    }

    /// Frees a place and settles its account.
    fn release(
        &mut self,
        now_ms: u64,
        id: &AskId,
        generated_tokens: u32,
        end: End,
    ) -> Option<(Ask, usize)> {
        let running = self.running.remove(id)?;
        let engine = &mut self.fleet.engines[running.engine];
        engine.outstanding -= 1;
        if !running.first_token {
            let pending = u64::from(running.uncached_tokens);
            engine.pending_tokens = engine.pending_tokens.saturating_sub(pending);
        }
        match end {
            End::Failed => engine.failed(now_ms),
            End::Refused => engine.refused(now_ms),
            End::Finished | End::Cancelled | End::Unused => {}
        }
        let took = match end {
            End::Finished | End::Cancelled => {
                work_tokens(running.uncached_tokens, generated_tokens)
            }
            End::Failed | End::Refused | End::Unused => 0.0,
        };
        self.queue.finish(&running.ask.scope.account, took - running.work_tokens);
        self.throughput.add(now_ms, took, !self.queue.is_empty());
        Some((running.ask, running.engine))
    }

    fn renew(&mut self, now_ms: u64, ids: &[AskId]) {
        for id in ids {
            if let Some(running) = self.running.get_mut(id) {
                running.held_until_ms = now_ms + HOLD_MS;
            }
        }
    }
}

/// Work of a request, in prompt tokens.
fn work_tokens(uncached_tokens: u32, generated_tokens: u32) -> f64 {
    f64::from(uncached_tokens) + GENERATED_TOKEN_WEIGHT * f64::from(generated_tokens)
}

fn no_upstream(now_ms: u64) -> Refusal {
    Refusal::not_run(Reason::NoUpstream).retry_at(now_ms + NO_UPSTREAM_RETRY_MS)
}

fn narrow(engine: usize) -> u16 {
    u16::try_from(engine).expect("a hall has fewer than 65,536 engines")
}
