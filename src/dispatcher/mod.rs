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
use crate::dispatcher::slots::{RunningRequest, work_tokens};
use crate::external::EngineReport;
use crate::fleet::{Engine, Fleet};
use crate::refusal::{Reason, Refusal};
use crate::route::RoutePolicy;
use crate::share::{SharePolicy, ShareQueue};
use crate::slot_request::{SlotEnd, SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use crate::throughput::Throughput;

/// Shortest time to come back after an overload.
const MIN_RETRY_MS: u64 = 200;
/// Longest time to come back after an overload.
const MAX_RETRY_MS: u64 = 10_000;
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
    running: HashMap<SlotRequestId, RunningRequest>,
    throughput: Throughput,
    /// Kept context.
    pub context: ContextManager,
    selections: usize,
}

impl Dispatcher {
    /// Starts with nothing running.
    #[must_use]
    pub fn new(policies: Policies, engines: Vec<Engine>, context: ContextManager) -> Self {
        Self {
            policies,
            fleet: Fleet::new(engines),
            queue: ShareQueue::new(policies.share),
            running: HashMap::new(),
            throughput: Throughput::default(),
            context,
            selections: 0,
        }
    }

    /// Takes in an engine's own report, `None` when it did not answer.
    pub fn engine_report(&mut self, now_ms: u64, name: &str, report: Option<&EngineReport>) {
        // With another version, an engine holds nothing of what it held.
        if let Some(engine) = self.fleet.engine_report(now_ms, name, report) {
            self.context.directory.forget_engine(engine_index(engine));
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
    pub fn request_slot(&mut self, now_ms: u64, slot_request: SlotRequest) -> Vec<Action> {
        if let Some(response) = self.known_response(&slot_request.id) {
            return vec![Action::Respond { to: slot_request.id, response }];
        }
        if let Some(refusal) = self.refusal(now_ms, &slot_request) {
            return vec![Action::Respond {
                to: slot_request.id,
                response: SlotResponse::Refused(refusal),
            }];
        }
        let id = slot_request.id.clone();
        let account = slot_request.scope.account.clone();
        let (share, priority, deadline_ms) =
            (slot_request.share, slot_request.priority, slot_request.deadline_ms);
        let no_wait = slot_request.no_wait;
        let work_tokens = self.expected_work(&slot_request);
        self.queue.push(&account, share, priority, slot_request, work_tokens, deadline_ms);
        let mut actions = self.grant_queued(now_ms);
        let is_granted =
            actions.iter().any(|action| matches!(action, Action::Respond { to, .. } if *to == id));
        if !is_granted && no_wait {
            self.withdraw(&id);
            let refusal = Refusal::not_run(Reason::Overloaded).retry_at(now_ms + MIN_RETRY_MS);
            actions.push(Action::Respond { to: id, response: SlotResponse::Refused(refusal) });
        } else if !is_granted {
            actions.push(Action::Respond { to: id, response: SlotResponse::Queued });
        }
        actions
    }

    /// The verdict on an ask that came before: its answer may have been lost.
    fn known_response(&self, id: &SlotRequestId) -> Option<SlotResponse> {
        if let Some(running) = self.running.get(id) {
            return Some(SlotResponse::Granted(running.grant.clone()));
        }
        self.queue.contains(|queued| queued.id == *id).then_some(SlotResponse::Queued)
    }

    /// Takes a report on a place.
    pub fn report(&mut self, now_ms: u64, report: &SlotReport) -> Vec<Action> {
        match report {
            SlotReport::Imported { id, imported } => self.record_import(now_ms, id, imported),
            SlotReport::FirstToken { id, cached_tokens, took_ms } => {
                self.record_first_token(now_ms, id, *cached_tokens, *took_ms);
            }
            SlotReport::Done { id, request_id, generated_tokens, end } => {
                return self.finish_request(now_ms, id, request_id, *generated_tokens, *end);
            }
            SlotReport::Renew { ids } => self.renew_grants(now_ms, ids),
        }
        Vec::new()
    }

    /// Drops an ask that waits.
    pub fn withdraw(&mut self, id: &SlotRequestId) {
        self.queue.remove_where(|queued| queued.item.id == *id);
    }

    /// Does what is due: places fall free, waiting asks are placed or refused.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let expired = self.running.iter().filter(|(_, running)| running.expires_at_ms <= now_ms);
        for id in expired.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.free_slot(now_ms, &id, 0, SlotEnd::Cancelled);
        }
        let mut actions = self.grant_queued(now_ms);
        actions.extend(self.context.plan_deferred_export(now_ms).map(Action::Export));
        let overdue = self.queue.remove_where(|queued| queued.deadline_ms <= now_ms);
        let fleet = &self.fleet;
        let unservable = self.queue.remove_where(|queued| !fleet.can_serve(now_ms, &queued.item));
        let overdue = overdue
            .into_iter()
            .map(|slot_request| (slot_request, Refusal::not_run(Reason::DeadlinePassed)));
        let unservable =
            unservable.into_iter().map(|slot_request| (slot_request, no_upstream(now_ms)));
        actions.extend(overdue.chain(unservable).map(|(slot_request, refusal)| Action::Respond {
            to: slot_request.id,
            response: SlotResponse::Refused(refusal),
        }));
        actions
    }

    fn refusal(&self, now_ms: u64, slot_request: &SlotRequest) -> Option<Refusal> {
        if slot_request.deadline_ms <= now_ms {
            return Some(Refusal::not_run(Reason::DeadlinePassed));
        }
        if !self.fleet.can_serve(now_ms, slot_request) {
            return Some(no_upstream(now_ms));
        }
        let wait_ms = self.expected_wait_ms(slot_request);
        let remaining_ms = slot_request.deadline_ms - now_ms;
        if wait_ms <= remaining_ms {
            return None;
        }
        let retry_ms = (wait_ms - remaining_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        Some(Refusal::not_run(Reason::Overloaded).retry_at(now_ms + retry_ms))
    }

    /// How long the ask would wait for a place, by the work ahead of it.
    fn expected_wait_ms(&self, slot_request: &SlotRequest) -> u64 {
        let tokens_ahead = self.queue.tokens_ahead(&slot_request.scope.account, slot_request.share);
        self.throughput.time_ms(tokens_ahead)
    }

    fn expected_work(&self, slot_request: &SlotRequest) -> f64 {
        let matching = self.context.directory.matching(&slot_request.prefix);
        let cached_tokens = matching.map(|(_, common)| common).max().unwrap_or(0);
        work_tokens(
            slot_request.prompt_tokens.saturating_sub(cached_tokens),
            slot_request.max_tokens,
        )
    }
}

fn no_upstream(now_ms: u64) -> Refusal {
    Refusal::not_run(Reason::NoUpstream).retry_at(now_ms + NO_UPSTREAM_RETRY_MS)
}

fn engine_index(engine: usize) -> u16 {
    u16::try_from(engine).expect("a hall has fewer than 65,536 engines")
}
