//! Scheduler of one model in one data hall: decides which request runs next, and on which engine.
//!
//! The dispatcher keeps an exact count of the slots that it has granted, queues further requests by
//! fair shares, and manages stored context. Every box can act as the dispatcher of every model.
//! Normally the model's owner in the hall does; any other box does so for its own requests when the
//! owner does not answer. A slot whose entry box does not renew its grant is freed.

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

/// Lower bound of the retry time suggested after an overload.
const MIN_RETRY_MS: u64 = 200;
/// Upper bound of the retry time suggested after an overload.
const MAX_RETRY_MS: u64 = 10_000;
/// Retry time suggested while no engine can serve the request.
const NO_UPSTREAM_RETRY_MS: u64 = 2000;

/// Scheduling policies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policies {
    /// Selects the engine.
    pub route: RoutePolicy,
    /// Selects the next request.
    pub share: SharePolicy,
}

/// A side effect that the caller of the dispatcher carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Respond to a slot request.
    Respond { to: SlotRequestId, response: SlotResponse },
    /// Write context to a store.
    Export(Export),
}

/// Schedules the requests of one model in one data hall.
pub struct Dispatcher {
    policies: Policies,
    /// The engines of the model.
    pub fleet: Fleet,
    queue: ShareQueue<SlotRequest>,
    running: HashMap<SlotRequestId, RunningRequest>,
    throughput: Throughput,
    /// Context in stores, and what engines are estimated to have cached.
    pub context: ContextManager,
    selections: usize,
}

impl Dispatcher {
    /// Creates a dispatcher without running requests.
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

    /// Processes an engine's status report, `None` when it did not answer.
    pub fn record_engine_report(&mut self, now_ms: u64, name: &str, report: Option<&EngineReport>) {
        // An engine's cached context is lost when it loads another version.
        if let Some(engine) = self.fleet.record_engine_report(now_ms, name, report) {
            self.context.directory.remove_engine_copies(engine_index(engine));
        }
    }

    /// Number of queued slot requests.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Number of slots in use.
    #[must_use]
    pub fn slots_in_use(&self) -> usize {
        self.running.len()
    }

    /// Virtual token counter of each account: work served, divided by the account's share.
    pub fn virtual_tokens(&self) -> impl Iterator<Item = (&str, f64)> {
        self.queue.virtual_tokens()
    }

    /// Grants a slot to the request, queues the request, or refuses it.
    pub fn request_slot(&mut self, now_ms: u64, slot_request: SlotRequest) -> Vec<Action> {
        if let Some(response) = self.response_to_repeat(&slot_request.id) {
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
        let work_tokens = self.expected_work_tokens(&slot_request);
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

    /// The response to a repeated slot request: the first response may have been lost.
    fn response_to_repeat(&self, id: &SlotRequestId) -> Option<SlotResponse> {
        if let Some(running) = self.running.get(id) {
            return Some(SlotResponse::Granted(running.grant.clone()));
        }
        self.queue.contains(|queued| queued.id == *id).then_some(SlotResponse::Queued)
    }

    /// Processes a report on a granted slot.
    pub fn record_slot_report(&mut self, now_ms: u64, report: &SlotReport) -> Vec<Action> {
        match report {
            SlotReport::Imported { id, imported } => self.record_import(now_ms, id, imported),
            SlotReport::FirstToken { id, cached_tokens, took_ms } => {
                self.record_first_token(now_ms, id, *cached_tokens, *took_ms);
            }
            SlotReport::Done { id, run_id, generated_tokens, end } => {
                return self.finish_request(now_ms, id, run_id, *generated_tokens, *end);
            }
            SlotReport::Renew { ids } => self.renew_grants(now_ms, ids),
        }
        Vec::new()
    }

    /// Removes a slot request from the queue.
    pub fn withdraw(&mut self, id: &SlotRequestId) {
        self.queue.remove_where(|queued| queued.item.id == *id);
    }

    /// Frees slots whose grants have expired, and grants or refuses queued requests.
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

    /// Estimated time until the request gets a slot, from the work queued before it.
    fn expected_wait_ms(&self, slot_request: &SlotRequest) -> u64 {
        let tokens_ahead = self.queue.tokens_ahead(&slot_request.scope.account, slot_request.share);
        self.throughput.time_ms(tokens_ahead)
    }

    fn expected_work_tokens(&self, slot_request: &SlotRequest) -> f64 {
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
