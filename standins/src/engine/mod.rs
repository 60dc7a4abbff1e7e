//! Stand-in for a model engine: continuous batching with a prefix cache of
//! limited size.
//!
//! The engine advances in steps. A step prefills up to `chunk_tokens` prompt
//! tokens and generates one token for each run that has completed its prefill.
//! It takes a fixed time plus a time for each prefilled token. Prompt prefixes
//! are cached in blocks, keyed by cache salt, weight version and all preceding
//! bytes.

mod api;
mod cache;
mod runs;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::Value;
use tokio::sync::Notify;

use crate::faults::Faults;
pub use api::run;
use cache::{ChainHash, PrefixCache};
use runs::Run;

/// Configuration of an engine.
#[derive(Clone)]
pub struct EngineConfig {
    /// Address to listen on.
    pub listen: String,
    /// Model served.
    pub model: String,
    /// Weight version that is loaded at the start.
    pub version: String,
    /// Most runs in a batch.
    pub batch_slots: usize,
    /// Fixed time of a step, in microseconds.
    pub step_us: u64,
    /// Time per prefilled token, in microseconds.
    pub prefill_token_us: u64,
    /// Most prompt tokens that are prefilled in one step.
    pub chunk_tokens: usize,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: usize,
    /// Size of cached context, in bytes per token.
    pub kv_token_bytes: u64,
    /// Time to load weights, in milliseconds.
    pub load_ms: u64,
    /// Delay after which load and cache events become visible, in milliseconds.
    pub lag_ms: u64,
    /// Whether orders with an outdated fencing token are refused.
    pub check_orders: bool,
    /// Whether requests that expect another weight version are refused.
    pub check_version: bool,
}

/// Load as reported to callers.
#[derive(Clone, Default)]
struct Load {
    running: usize,
    waiting: usize,
    prefill_tokens: usize,
}

/// An order that was accepted.
#[derive(Clone, Serialize)]
struct AcceptedOrder {
    fence: u64,
    version: Option<String>,
}

/// A change of the cache, for callers that follow it.
struct CacheEvent {
    seq: u64,
    at: Instant,
    body: Value,
}

struct State {
    version: String,
    fence: u64,
    orders: Vec<AcceptedOrder>,
    leaving: bool,
    loading: bool,
    waiting: Vec<Arc<Run>>,
    active: Vec<Arc<Run>>,
    runs: BTreeMap<String, Arc<Run>>,
    started: BTreeSet<String>,
    cache: PrefixCache,
    staged: BTreeMap<String, (Vec<ChainHash>, Vec<ChainHash>)>,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    loads: VecDeque<(Instant, Load)>,
    prompt_tokens: u64,
    cached_tokens: u64,
}

struct Engine {
    config: EngineConfig,
    state: Mutex<State>,
    work: Notify,
    faults: Faults,
    http: reqwest::Client,
}

impl Engine {
    fn new(config: EngineConfig, faults: Faults) -> Self {
        let cache = PrefixCache::new(config.cache_tokens / cache::BLOCK_TOKENS);
        let state = State {
            version: config.version.clone(),
            fence: 0,
            orders: Vec::new(),
            leaving: false,
            loading: false,
            waiting: Vec::new(),
            active: Vec::new(),
            runs: BTreeMap::new(),
            started: BTreeSet::new(),
            cache,
            staged: BTreeMap::new(),
            events: VecDeque::new(),
            next_event: 1,
            loads: VecDeque::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
        };
        let http = reqwest::Client::new();
        Self { config, state: Mutex::new(state), work: Notify::new(), faults, http }
    }

    /// Runs steps for ever; waits while there is nothing to do.
    async fn step_forever(&self) {
        loop {
            let begun_at = tokio::time::Instant::now();
            let Some(prefilled) = self.prefill_step() else {
                self.work.notified().await;
                continue;
            };
            let slowdown = self.faults.current().slowdown.max(1);
            let tokens = u64::try_from(prefilled).unwrap_or(0);
            let step_us = self.config.step_us + tokens * self.config.prefill_token_us;
            tokio::time::sleep_until(begun_at + Duration::from_micros(step_us * slowdown)).await;
            while self.faults.current().frozen {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            self.decode_step();
        }
    }

    /// Admits waiting runs and prefills a chunk; returns the number of prefilled tokens, or
    /// `None` if there is nothing to do.
    fn prefill_step(&self) -> Option<usize> {
        let mut state = self.state.lock().expect("engine lock");
        self.admit(&mut state);
        if state.active.is_empty() {
            self.publish_load(&mut state);
            return None;
        }
        let mut budget = self.config.chunk_tokens;
        for run in &state.active {
            budget -= run.prefill(budget);
        }
        self.publish_load(&mut state);
        Some(self.config.chunk_tokens - budget)
    }

    fn admit(&self, state: &mut State) {
        state.waiting.sort_by_key(|run| run.priority);
        while state.active.len() < self.config.batch_slots && !state.waiting.is_empty() {
            let run = state.waiting.remove(0);
            let cached = state.cache.lookup(&run.chain);
            run.set_cached(cached);
            state.cached_tokens += cached as u64;
            state.prompt_tokens += run.prompt_tokens as u64;
            state.active.push(run);
        }
    }

    fn decode_step(&self) {
        let mut state = self.state.lock().expect("engine lock");
        let active = std::mem::take(&mut state.active);
        for run in active {
            if run.take_prefill_completion() {
                let events = state.cache.insert(&run.chain);
                self.publish_cache_events(&mut state, events);
            }
            if !run.decode() {
                state.active.push(run);
            }
        }
    }

    fn publish_cache_events(&self, state: &mut State, events: Vec<Value>) {
        let drop_percent = self.faults.current().drop_events_percent;
        for body in events {
            let seq = state.next_event;
            state.next_event += 1;
            if fastrand::u64(0..100) >= drop_percent {
                state.events.push_back(CacheEvent { seq, at: Instant::now(), body });
            }
        }
        while state.events.len() > 4096 {
            state.events.pop_front();
        }
    }

    fn publish_load(&self, state: &mut State) {
        let all = state.active.iter().chain(&state.waiting);
        let load = Load {
            running: state.active.len(),
            waiting: state.waiting.len(),
            prefill_tokens: all.map(|run| run.prefill_left()).sum(),
        };
        state.loads.push_back((Instant::now(), load));
        let lag = Duration::from_millis(self.config.lag_ms);
        while state.loads.len() > 1 && state.loads[1].0.elapsed() >= lag {
            state.loads.pop_front();
        }
    }
}
