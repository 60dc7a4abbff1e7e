//! Decides for one model in one data hall: who runs next, and where.
//!
//! The dispatcher counts exactly what it has granted, queues the rest by fair
//! shares, and looks after kept context. Each box can act as the dispatcher
//! of each model; the owner of the model in the hall does, and any other box
//! for itself when the owner does not answer. A place whose holder does not
//! renew it falls free.

mod slots;

use std::collections::HashMap;

use crate::context_manager::{ContextManager, Export};
pub use crate::dispatcher::slots::GRANT_TTL_MS;
use crate::dispatcher::slots::{Running, work_tokens};
use crate::external::EngineReport;
use crate::fleet::{Engine, Fleet};
use crate::refusal::{Reason, Refusal};
use crate::route::RoutePolicy;
use crate::share::{SharePolicy, ShareQueue};
use crate::slot_request::{SlotEnd, SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use crate::throughput::Throughput;

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
    Respond { to: SlotRequestId, response: SlotResponse },
    /// Write context to a store.
    Export(Export),
}

/// The dispatcher of one model in one data hall.
pub struct Dispatcher {
    policies: Policies,
    /// The engines.
    pub fleet: Fleet,
    queue: ShareQueue<SlotRequest>,
    running: HashMap<SlotRequestId, Running>,
    throughput: Throughput,
    /// Kept context.
    pub context: ContextManager,
    turn: usize,
}

impl Dispatcher {
    /// Starts with nothing running.
    #[must_use]
    pub fn new(policies: Policies, engines: Vec<Engine>, keeper: ContextManager) -> Self {
        Self {
            policies,
            fleet: Fleet::new(engines),
            queue: ShareQueue::new(policies.share),
            running: HashMap::new(),
            throughput: Throughput::default(),
            context: keeper,
            turn: 0,
        }
    }

    /// Takes in an engine's own report, `None` when it did not answer.
    pub fn engine_report(&mut self, now_ms: u64, name: &str, report: Option<&EngineReport>) {
        // With another version, an engine holds nothing of what it held.
        if let Some(engine) = self.fleet.engine_report(now_ms, name, report) {
            self.context.directory.forget_engine(narrow(engine));
        }
    }

    /// Number of asks that wait.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Number of places in use.
    #[must_use]
    pub fn slots_in_use(&self) -> usize {
        self.running.len()
    }

    /// Work served over share, by account.
    pub fn virtual_tokens(&self) -> impl Iterator<Item = (&str, f64)> {
        self.queue.virtual_tokens()
    }

    /// Takes an ask.
    pub fn request_slot(&mut self, now_ms: u64, ask: SlotRequest) -> Vec<Action> {
        if let Some(verdict) = self.known_verdict(&ask.id) {
            return vec![Action::Respond { to: ask.id, response: verdict }];
        }
        if let Some(refusal) = self.refusal(now_ms, &ask) {
            return vec![Action::Respond { to: ask.id, response: SlotResponse::Refused(refusal) }];
        }
        let id = ask.id.clone();
        let account = ask.scope.account.clone();
        let (share, priority, deadline_ms) = (ask.share, ask.priority, ask.deadline_ms);
        let no_wait = ask.no_wait;
        let work_tokens = self.expected_work(&ask);
        self.queue.push(&account, share, priority, ask, work_tokens, deadline_ms);
        let mut actions = self.place_waiting(now_ms);
        let placed =
            actions.iter().any(|one| matches!(one, Action::Respond { to, .. } if *to == id));
        if !placed && no_wait {
            self.withdraw(&id);
            let refusal = Refusal::not_run(Reason::Overloaded).retry_at(now_ms + LEAST_RETRY_MS);
            actions.push(Action::Respond { to: id, response: SlotResponse::Refused(refusal) });
        } else if !placed {
            actions.push(Action::Respond { to: id, response: SlotResponse::Queued });
        }
        actions
    }

    /// The verdict on an ask that came before: its answer may have been lost.
    fn known_verdict(&self, id: &SlotRequestId) -> Option<SlotResponse> {
        if let Some(running) = self.running.get(id) {
            return Some(SlotResponse::Granted(running.grant.clone()));
        }
        self.queue.contains(|waiting| waiting.id == *id).then_some(SlotResponse::Queued)
    }

    /// Takes a report on a place.
    pub fn report(&mut self, now_ms: u64, report: &SlotReport) -> Vec<Action> {
        match report {
            SlotReport::Imported { id, imported } => self.imported(now_ms, id, imported),
            SlotReport::FirstToken { id, cached_tokens, took_ms } => {
                self.first_token(now_ms, id, *cached_tokens, *took_ms);
            }
            SlotReport::Done { id, request_id: request, generated_tokens, end } => {
                return self.done(now_ms, id, request, *generated_tokens, *end);
            }
            SlotReport::Renew { ids } => self.renew(now_ms, ids),
        }
        Vec::new()
    }

    /// Drops an ask that waits.
    pub fn withdraw(&mut self, id: &SlotRequestId) {
        self.queue.remove_where(|waiting| waiting.item.id == *id);
    }

    /// Does what is due: places fall free, waiting asks are placed or refused.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let lapsed = self.running.iter().filter(|(_, running)| running.held_until_ms <= now_ms);
        for id in lapsed.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.release(now_ms, &id, 0, SlotEnd::Cancelled);
        }
        let mut actions = self.place_waiting(now_ms);
        actions.extend(self.context.plan_deferred_export(now_ms).map(Action::Export));
        let late = self.queue.remove_where(|waiting| waiting.deadline_ms <= now_ms);
        let fleet = &self.fleet;
        let lost = self.queue.remove_where(|waiting| !fleet.can_serve(now_ms, &waiting.item));
        let late = late.into_iter().map(|ask| (ask, Refusal::not_run(Reason::DeadlinePassed)));
        let lost = lost.into_iter().map(|ask| (ask, no_upstream(now_ms)));
        actions.extend(late.chain(lost).map(|(ask, refusal)| Action::Respond {
            to: ask.id,
            response: SlotResponse::Refused(refusal),
        }));
        actions
    }

    fn refusal(&self, now_ms: u64, ask: &SlotRequest) -> Option<Refusal> {
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
    fn expected_wait_ms(&self, ask: &SlotRequest) -> u64 {
        let ahead = self.queue.tokens_ahead(&ask.scope.account, ask.share);
        self.throughput.time_ms(ahead)
    }

    fn expected_work(&self, ask: &SlotRequest) -> f64 {
        let matching = self.context.directory.matching(&ask.prefix);
        let held = matching.map(|(_, common)| common).max().unwrap_or(0);
        work_tokens(ask.prompt_tokens.saturating_sub(held), ask.max_tokens)
    }
}

fn no_upstream(now_ms: u64) -> Refusal {
    Refusal::not_run(Reason::NoUpstream).retry_at(now_ms + NO_UPSTREAM_RETRY_MS)
}

fn narrow(engine: usize) -> u16 {
    u16::try_from(engine).expect("a hall has fewer than 65,536 engines")
}
