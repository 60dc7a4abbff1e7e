//! The dispatchers that act on a box, and who waits for their verdicts.

use std::collections::BTreeMap;
use std::sync::Mutex;

use serde::Serialize;

use crate::ask::SlotRequestId;
use crate::clock::now_ms;
use crate::configlog::Config;
use crate::dispatcher::Dispatcher;
use crate::sync::locked;
use crate::trace::TraceId;

/// Time after its last ask for which a dispatcher acts.
const ACTIVE_FOR_MS: u64 = 30_000;

/// A dispatcher, and who asked it.
pub(crate) struct ActiveDispatcher {
    /// The dispatcher.
    pub(crate) dispatcher: Dispatcher,
    /// When it was asked last.
    pub(crate) last_request_at_ms: u64,
    /// Who waits, by ask.
    pub(crate) requesters: BTreeMap<SlotRequestId, Requester>,
}

impl ActiveDispatcher {
    /// Takes in what operators want.
    pub(crate) fn apply_config(&mut self, model: &str, config: &Config) {
        self.dispatcher.fleet.set_leaving(|name| config.state.leaving.contains(name));
        let version = config.state.models.get(model).map(String::as_str);
        self.dispatcher.fleet.set_version(now_ms(), version);
    }
}

/// Who waits for a verdict.
#[derive(Clone)]
pub(crate) struct Requester {
    /// Where that box listens.
    pub(crate) reply_to: String,
    /// Trace of the request.
    pub(crate) trace: TraceId,
    /// When it asked.
    pub(crate) requested_at_us: u64,
}

/// The dispatchers of this box.
#[derive(Default)]
pub struct Dispatchers {
    by_model: Mutex<BTreeMap<String, ActiveDispatcher>>,
}

/// A dispatcher as the status page shows it.
#[derive(Debug, Serialize)]
pub struct DispatcherStatus {
    /// Model.
    pub model: String,
    /// Asks that wait.
    pub waiting: usize,
    /// Places in use.
    pub places_in_use: usize,
    /// Prompts known.
    pub prompts: usize,
    /// Engines, with the places in use on each.
    pub engines: BTreeMap<String, u32>,
    /// Work served over share, by account, in tokens.
    pub served_tokens: BTreeMap<String, f64>,
}

impl Dispatchers {
    /// Runs `act` on the dispatcher of `model`, which `make` starts if need be.
    pub(crate) fn with_dispatcher<T>(
        &self,
        model: &str,
        make: impl FnOnce() -> ActiveDispatcher,
        act: impl FnOnce(&mut ActiveDispatcher) -> T,
    ) -> T {
        let mut by_model = locked(&self.by_model);
        if !by_model.contains_key(model) {
            let new = make();
            by_model.insert(model.to_owned(), new);
        }
        act(by_model.get_mut(model).expect("it was just made"))
    }

    /// Models that were asked for lately.
    pub(crate) fn models(&self) -> Vec<String> {
        let by_model = locked(&self.by_model);
        let idle_before_ms = now_ms().saturating_sub(ACTIVE_FOR_MS);
        let live = by_model.iter().filter(|(_, active)| active.last_request_at_ms > idle_before_ms);
        live.map(|(model, _)| model.clone()).collect()
    }

    /// What the dispatchers do now.
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
                places_in_use: dispatcher.slots_in_use(),
                prompts: dispatcher.context.directory.len(),
                engines: engines.map(|engine| (engine.name.clone(), engine.outstanding)).collect(),
                served_tokens: served.map(|(name, tokens)| (name.to_owned(), tokens)).collect(),
            }
        });
        all.collect()
    }
}
