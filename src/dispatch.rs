//! Runs the dispatchers of this box: one a model, made when first needed.
//!
//! Takes asks and reports from entry boxes, asks the engines for their own
//! reports, and carries out what the dispatchers want done.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::{info, warn};
use serde::Serialize;

use crate::ask::{Ask, AskId, Grant, Report, Verdict};
use crate::clock::{now_ms, now_us};
use crate::configlog::Config;
use crate::dispatcher::{Action, Dispatcher};
use crate::edge::{ContextStores, ModelEngines};
use crate::fleet::Engine;
use crate::keeper::{Delete, Export, Keeper, Written};
use crate::kernel::{Kernel, Plugin, Topic};
use crate::owner::owner;
use crate::placing;
use crate::settings::{Settings, UpstreamKind};
use crate::store::Store;
use crate::sync::locked;
use crate::trace::{Hop, TraceId};
use crate::wire::{Envelope, Message};

/// How often the dispatchers look what is due.
const TICK: Duration = Duration::from_millis(50);
/// How often engines are asked for their report while they load weights.
const FAST_REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Every so many of those periods all engines are asked, and stores are tidied.
const SLOW_REPORT_EVERY: u64 = 5;
/// Time after its last ask for which a dispatcher acts.
const ACTS_FOR_MS: u64 = 30_000;
/// Stands for this box as the asker.
const LOCAL: &str = "";

inventory::submit! {
    Plugin { name: "dispatch", start, receive: Some((Topic::Dispatch, receive)) }
}

struct Acting {
    dispatcher: Dispatcher,
    asked_at_ms: u64,
    askers: BTreeMap<AskId, Asker>,
}

impl Acting {
    /// Takes in what operators want.
    fn follow(&mut self, model: &str, config: &Config) {
        self.dispatcher.fleet.set_leaving(|name| config.state.leaving.contains(name));
        let version = config.state.models.get(model).map(String::as_str);
        self.dispatcher.fleet.set_version(now_ms(), version);
    }
}

/// Who waits for a verdict.
#[derive(Clone)]
struct Asker {
    reply_to: String,
    trace: TraceId,
    asked_at_us: u64,
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
    /// Runs `act` on the dispatcher of `model`, which is made if need be.
    fn with<T>(&self, kernel: &Arc<Kernel>, model: &str, act: impl FnOnce(&mut Acting) -> T) -> T {
        let mut acting = locked(&self.acting);
        if !acting.contains_key(model) {
            let new = start_acting(kernel, model);
            acting.insert(model.to_owned(), new);
        }
        act(acting.get_mut(model).expect("it was just made"))
    }

    fn models(&self) -> Vec<String> {
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
                waiting: dispatcher.waiting(),
                places_in_use: dispatcher.places_in_use(),
                prompts: dispatcher.keeper.directory.len(),
                engines: engines.map(|one| (one.name.clone(), one.outstanding)).collect(),
                served_tokens: served.map(|(name, tokens)| (name.to_owned(), tokens)).collect(),
            }
        });
        all.collect()
    }
}

/// Takes an ask that came from `reply_to`; [`LOCAL`] is this box.
pub fn ask(kernel: &Arc<Kernel>, reply_to: &str, ask: Ask) {
    let (model, id) = (ask.scope.model.clone(), ask.id.clone());
    let config = kernel.configuration.current();
    let actions = kernel.dispatch.with(kernel, &model, |acting| {
        let now_ms = now_ms();
        acting.asked_at_ms = now_ms;
        acting.follow(&model, &config);
        let reply_to = reply_to.to_owned();
        let asker = Asker { reply_to, trace: ask.trace, asked_at_us: now_us() };
        acting.askers.entry(id).or_insert(asker);
        acting.dispatcher.ask(now_ms, ask)
    });
    carry_out(kernel, &model, actions);
}

/// Takes an ask of this box.
pub fn ask_local(kernel: &Arc<Kernel>, one: Ask) {
    ask(kernel, LOCAL, one);
}

/// Takes a report on a place.
pub fn report(kernel: &Arc<Kernel>, model: &str, report: &Report) {
    let actions =
        kernel.dispatch.with(kernel, model, |acting| acting.dispatcher.report(now_ms(), report));
    carry_out(kernel, model, actions);
}

/// Takes an ask back.
pub fn withdraw(kernel: &Arc<Kernel>, model: &str, id: &AskId) {
    kernel.dispatch.with(kernel, model, |acting| {
        acting.dispatcher.withdraw(id);
        acting.askers.remove(id);
    });
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    match envelope.message {
        Message::Ask(one) => ask(kernel, &envelope.reply_to, *one),
        Message::Withdraw { model, id } => withdraw(kernel, &model, &id),
        Message::Report { model, report: one } => report(kernel, &model, &one),
        _ => {}
    }
}

fn carry_out(kernel: &Arc<Kernel>, model: &str, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Answer { to, verdict } => answer(kernel, model, to, verdict),
            Action::Export(export) => {
                tokio::spawn(write_out(kernel.clone(), model.to_owned(), export));
            }
        }
    }
}

fn answer(kernel: &Arc<Kernel>, model: &str, id: AskId, verdict: Verdict) {
    let last = verdict != Verdict::Wait;
    let found = kernel.dispatch.with(kernel, model, |acting| {
        if last { acting.askers.remove(&id) } else { acting.askers.get(&id).cloned() }
    });
    let Some(Asker { reply_to, trace, asked_at_us }) = found else {
        return;
    };
    if last {
        kernel.span(trace, Hop::Owner, asked_at_us, describe(&verdict));
    }
    if reply_to == LOCAL {
        placing::deliver(kernel, &kernel.settings.advertise, model, id, verdict);
    } else {
        kernel.send(&reply_to, Message::Verdict { model: model.to_owned(), id, verdict });
    }
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Run(Grant { engine, import: None, .. }) => format!("run on {engine}"),
        Verdict::Run(Grant { engine, .. }) => format!("run on {engine} with kept context"),
        Verdict::Refuse(refusal) => format!("refused: {}", refusal.reason),
        Verdict::Wait => "wait".to_owned(),
    }
}

async fn write_out(kernel: Arc<Kernel>, model: String, export: Export) {
    let written = kernel.upstreams.export(&export).await;
    let outcome = match written {
        Written::Sealed(..) => "sealed",
        Written::Gone => "gone",
        Written::Failed => "failed",
    };
    metrics::counter!("coursestile_exports_total", "outcome" => outcome).increment(1);
    kernel.dispatch.with(&kernel, &model, |acting| {
        acting.dispatcher.keeper.exported(now_ms(), &export, written);
    });
}

async fn delete(kernel: Arc<Kernel>, model: String, delete: Delete) {
    if kernel.upstreams.delete(&delete.store_url, &delete.block).await {
        kernel.dispatch.with(&kernel, &model, |acting| {
            acting.dispatcher.keeper.deleted(&delete.block);
        });
    }
}

fn start(kernel: &Arc<Kernel>) {
    tokio::spawn(tick_forever(kernel.clone()));
    tokio::spawn(look_after(kernel.clone()));
}

async fn tick_forever(kernel: Arc<Kernel>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        for model in kernel.dispatch.models() {
            let actions =
                kernel.dispatch.with(&kernel, &model, |acting| acting.dispatcher.tick(now_ms()));
            carry_out(&kernel, &model, actions);
        }
    }
}

/// Asks engines for reports and tidies stores, for models that are acted for.
async fn look_after(kernel: Arc<Kernel>) {
    let mut ticks = tokio::time::interval(FAST_REPORT_PERIOD);
    for tick in 0_u64.. {
        ticks.tick().await;
        let slow = tick.is_multiple_of(SLOW_REPORT_EVERY);
        for model in kernel.dispatch.models() {
            let awaits = kernel
                .dispatch
                .with(&kernel, &model, |acting| acting.dispatcher.fleet.awaits_version());
            if slow || awaits {
                ask_engines(&kernel, &model);
            }
            if !slow {
                continue;
            }
            let deletes = kernel
                .dispatch
                .with(&kernel, &model, |acting| acting.dispatcher.keeper.tick(now_ms()));
            for one in deletes {
                tokio::spawn(delete(kernel.clone(), model.clone(), one));
            }
        }
    }
}

fn ask_engines(kernel: &Arc<Kernel>, model: &str) {
    let config = kernel.configuration.current();
    let engines = kernel.dispatch.with(kernel, model, |acting| {
        acting.follow(model, &config);
        let engines = acting.dispatcher.fleet.engines.iter();
        engines.map(|engine| (engine.name.clone(), engine.url.clone())).collect::<Vec<_>>()
    });
    for (name, url) in engines {
        let (kernel, model) = (kernel.clone(), model.to_owned());
        tokio::spawn(async move {
            let report = kernel.upstreams.report(&url).await;
            kernel.dispatch.with(&kernel, &model, |acting| {
                acting.dispatcher.engine_report(now_ms(), &name, report.as_ref());
            });
        });
    }
}

fn start_acting(kernel: &Arc<Kernel>, model: &str) -> Acting {
    info!(target: "dispatch", "Acting as dispatcher of {model}.");
    let settings = &kernel.settings;
    let (engines, token_bytes) = engines_of(settings, model);
    let stores = stores_of(settings);
    for (name, store) in &stores {
        tokio::spawn(adopt_blocks(
            kernel.clone(),
            model.to_owned(),
            name.clone(),
            store.url.clone(),
        ));
    }
    let writer = kernel.me.to_string();
    let keeper = Keeper::new(settings.keep, stores, settings.prompt_records, token_bytes, &writer);
    let dispatcher = Dispatcher::new(settings.policies, engines, keeper);
    let mut acting = Acting { dispatcher, asked_at_ms: now_ms(), askers: BTreeMap::new() };
    acting.follow(model, &kernel.configuration.current());
    acting
}

fn engines_of(settings: &Settings, model: &str) -> (Vec<Engine>, u64) {
    let mut token_bytes = 0;
    let mut engines = Vec::new();
    for upstream in &settings.upstreams {
        let UpstreamKind::Engine(engine) = &upstream.kind else {
            continue;
        };
        if engine.model == model {
            let token_ms = engine.prefill_token_us / 1000.0;
            let (slots, cache_tokens) = (engine.slots, engine.cache_tokens);
            engines.push(Engine::new(&upstream.name, &upstream.url, slots, cache_tokens, token_ms));
            token_bytes = engine.kv_token_bytes;
        }
    }
    (engines, token_bytes)
}

fn stores_of(settings: &Settings) -> BTreeMap<String, Store> {
    let stores = settings.upstreams.iter().filter_map(|upstream| match &upstream.kind {
        UpstreamKind::Store(store) => {
            let store = Store::new(&upstream.url, store.capacity_bytes, store.link_bytes_per_ms);
            Some((upstream.name.clone(), store))
        }
        UpstreamKind::Engine(_) | UpstreamKind::Service { .. } => None,
    });
    stores.collect()
}

/// Learns from a store which blocks of the model it keeps. A block belongs to
/// the hall whose dispatcher wrote it or, when that is gone, to any that asks.
async fn adopt_blocks(kernel: Arc<Kernel>, model: String, store: String, url: String) {
    let Some(listed) = kernel.upstreams.list(&url).await else {
        return warn!(target: "dispatch", "Store {store} does not list its blocks.");
    };
    let own = listed.into_iter().filter(|block| block.meta.scope.model == model);
    let own: Vec<_> = own.filter(|block| is_home(&kernel, block.meta.course.root)).collect();
    info!(target: "dispatch", "Took over {} blocks of store {store}.", own.len());
    kernel.dispatch.with(&kernel, &model, |acting| {
        for block in own {
            acting.dispatcher.keeper.adopt(now_ms(), &store, block);
        }
    });
}

fn is_home(kernel: &Kernel, root: u64) -> bool {
    let halls = placing::halls_in_region(kernel);
    let home = owner(&root.to_string(), halls.iter().map(String::as_str));
    home.is_none_or(|home| home == kernel.settings.hall)
}
