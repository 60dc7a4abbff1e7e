//! The dispatchers that run on a box, and the boxes that wait for their responses.

use std::collections::BTreeMap;
use std::sync::Mutex;

use serde::Serialize;

use crate::clock::now_ms;
use crate::configlog::Config;
use crate::dispatcher::Dispatcher;
use crate::slot_request::SlotRequestId;
use crate::sync::locked;
use crate::trace::TraceId;

/// Time for which a dispatcher stays active after its last slot request.
const ACTIVE_FOR_MS: u64 = 30_000;

/// The dispatcher of a model, and the slot requests that await its final response.
pub(crate) struct ActiveDispatcher {
    pub(crate) dispatcher: Dispatcher,
    /// When it last received a slot request.
    pub(crate) last_request_at_ms: u64,
    /// Requesters that wait for a response, by slot request.
    pub(crate) requesters: BTreeMap<SlotRequestId, Requester>,
}

impl ActiveDispatcher {
    /// Applies the operators' configuration to the dispatcher.
    pub(crate) fn apply_config(&mut self, model: &str, config: &Config) {
        self.dispatcher.fleet.set_marked_leaving(|name| config.state.leaving.contains(name));
        let version = config.state.models.get(model).map(String::as_str);
        self.dispatcher.fleet.set_version(now_ms(), version);
    }
}

/// A box that waits for the response to a slot request.
#[derive(Clone)]
pub(crate) struct Requester {
    /// Peer address of that box.
    pub(crate) reply_to: String,
    /// Trace of the request.
    pub(crate) trace: TraceId,
    /// When the slot request arrived, in Unix microseconds.
    pub(crate) requested_at_us: u64,
}

/// The dispatchers of this box, by model.
#[derive(Default)]
pub struct Dispatchers {
    by_model: Mutex<BTreeMap<String, ActiveDispatcher>>,
}

/// Status of a dispatcher, as shown on the status page.
#[derive(Debug, Serialize)]
pub struct DispatcherStatus {
    /// Model.
    pub model: String,
    /// Slot requests in the queue.
    pub waiting: usize,
    /// Slots in use.
    #[serde(rename = "places_in_use")]
    pub slots_in_use: usize,
    /// Prompts that the dispatcher has a record of.
    pub prompts: usize,
    /// Slots in use on each engine.
    pub engines: BTreeMap<String, u32>,
    /// Work served divided by share, in tokens, by account.
    pub served_tokens: BTreeMap<String, f64>,
}

impl Dispatchers {
    /// Runs `act` on the dispatcher of `model`, which `create` makes if there is none.
    pub(crate) fn with_dispatcher<T>(
        &self,
        model: &str,
        create: impl FnOnce() -> ActiveDispatcher,
        act: impl FnOnce(&mut ActiveDispatcher) -> T,
    ) -> T {
        let mut by_model = locked(&self.by_model);
        if !by_model.contains_key(model) {
            let new = create();
            by_model.insert(model.to_owned(), new);
        }
        act(by_model.get_mut(model).expect("a missing dispatcher was inserted above"))
    }

    /// Models whose dispatchers are active.
    pub(crate) fn models(&self) -> Vec<String> {
        let by_model = locked(&self.by_model);
        let idle_before_ms = now_ms().saturating_sub(ACTIVE_FOR_MS);
        let active_dispatchers =
            by_model.iter().filter(|(_, active)| active.last_request_at_ms > idle_before_ms);
        active_dispatchers.map(|(model, _)| model.clone()).collect()
    }

    /// Status of all dispatchers.
    #[must_use]
    pub fn status(&self) -> Vec<DispatcherStatus> {
        let by_model = locked(&self.by_model);
        let all = by_model.iter().map(|(model, active)| {
            let dispatcher = &active.dispatcher;
            let engines = dispatcher.fleet.engines.iter();
            let served = dispatcher.virtual_tokens();
            DispatcherStatus {
                model: model.clone(),
                waiting: dispatcher.queue_len(),
                slots_in_use: dispatcher.slots_in_use(),
                prompts: dispatcher.context.directory.len(),
                engines: engines.map(|engine| (engine.name.clone(), engine.outstanding)).collect(),
                served_tokens: served.map(|(name, tokens)| (name.to_owned(), tokens)).collect(),
            }
        });
        all.collect()
    }
}
