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
const ACTS_FOR_MS: u64 = 30_000;

/// A dispatcher, and who asked it.
pub(crate) struct Acting {
    /// The dispatcher.
    pub(crate) dispatcher: Dispatcher,
    /// When it was asked last.
    pub(crate) asked_at_ms: u64,
    /// Who waits, by ask.
    pub(crate) askers: BTreeMap<SlotRequestId, Asker>,
}

impl Acting {
    /// Takes in what operators want.
    pub(crate) fn follow(&mut self, model: &str, config: &Config) {
        self.dispatcher.fleet.set_leaving(|name| config.state.leaving.contains(name));
        let version = config.state.models.get(model).map(String::as_str);
        self.dispatcher.fleet.set_version(now_ms(), version);
    }
}

/// Who waits for a verdict.
#[derive(Clone)]
pub(crate) struct Asker {
    /// Where that box listens.
    pub(crate) reply_to: String,
    /// Trace of the request.
    pub(crate) trace: TraceId,
    /// When it asked.
    pub(crate) asked_at_us: u64,
}

/// The dispatchers of this box.
#[derive(Default)]
pub struct Dispatch {
    acting: Mutex<BTreeMap<String, Acting>>,
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

impl Dispatch {
    /// Runs `act` on the dispatcher of `model`, which `make` starts if need be.
    pub(crate) fn with<T>(
        &self,
        model: &str,
        make: impl FnOnce() -> Acting,
        act: impl FnOnce(&mut Acting) -> T,
    ) -> T {
        let mut acting = locked(&self.acting);
        if !acting.contains_key(model) {
            let new = make();
            acting.insert(model.to_owned(), new);
        }
        act(acting.get_mut(model).expect("it was just made"))
    }

    /// Models that were asked for lately.
    pub(crate) fn models(&self) -> Vec<String> {
        let acting = locked(&self.acting);
        let asked_after_ms = now_ms().saturating_sub(ACTS_FOR_MS);
        let live = acting.iter().filter(|(_, one)| one.asked_at_ms > asked_after_ms);
        live.map(|(model, _)| model.clone()).collect()
    }

    /// What the dispatchers do now.
    #[must_use]
    pub fn status(&self) -> Vec<DispatcherStatus> {
        let acting = locked(&self.acting);
        let all = acting.iter().map(|(model, one)| {
            let dispatcher = &one.dispatcher;
            let engines = dispatcher.fleet.engines.iter();
            let served = dispatcher.virtual_tokens();
            DispatcherStatus {
                model: model.clone(),
                waiting: dispatcher.queue_len(),
                places_in_use: dispatcher.slots_in_use(),
                prompts: dispatcher.context.directory.len(),
                engines: engines.map(|one| (one.name.clone(), one.outstanding)).collect(),
                served_tokens: served.map(|(name, tokens)| (name.to_owned(), tokens)).collect(),
            }
        });
        all.collect()
    }
}
