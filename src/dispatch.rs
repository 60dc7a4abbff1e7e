//! Runs the dispatchers of this box: one per model, started on first use.
//!
//! Passes slot requests and reports of entry boxes to the dispatchers, polls the
//! engines for their status, and executes the actions that the dispatchers return.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use crate::clock::{now_ms, now_us};
use crate::context_manager::{BlockDeletion, ContextManager, Export, ExportResult};
use crate::dispatch_state::{ActiveDispatcher, Requester};
use crate::dispatcher::{Action, Dispatcher};
use crate::external::{ContextStores, ModelEngines};
use crate::fleet::Engine;
use crate::kernel::{Kernel, Plugin, Topic};
use crate::owner::owner;
use crate::settings::{Settings, UpstreamKind};
use crate::slot_request::{Grant, SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use crate::store::Store;
use crate::supervisor;
use crate::trace::Hop;
use crate::wire::{Envelope, Message};

/// How often the dispatchers check for due work.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// How often engines are polled for their report while they load weights.
const FAST_REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Number of these periods after which all engines are polled and stores are cleaned up.
const SLOW_REPORT_TICKS: u64 = 5;

inventory::submit! {
    Plugin { name: "dispatch", start, receive: Some((Topic::Dispatch, receive)) }
}

/// Calls `act` with the dispatcher of `model`, which is started if necessary.
fn with_dispatcher<T>(
    kernel: &Arc<Kernel>,
    model: &str,
    act: impl FnOnce(&mut ActiveDispatcher) -> T,
) -> T {
    kernel.dispatchers.with_dispatcher(model, || start_dispatcher(kernel, model), act)
}

/// Passes the slot request of the box at `reply_to` to the model's dispatcher.
fn request_slot(kernel: &Arc<Kernel>, reply_to: &str, slot_request: SlotRequest) {
    let (model, id) = (slot_request.scope.model.clone(), slot_request.id.clone());
    let config = kernel.configuration.current();
    let actions = with_dispatcher(kernel, &model, |active| {
        let now_ms = now_ms();
        active.last_request_at_ms = now_ms;
        active.apply_config(&model, &config);
        let reply_to = reply_to.to_owned();
        let requester =
            Requester { reply_to, trace: slot_request.trace, requested_at_us: now_us() };
        active.requesters.entry(id).or_insert(requester);
        active.dispatcher.request_slot(now_ms, slot_request)
    });
    execute_actions(kernel, &model, actions);
}

/// Passes a report on a slot to the model's dispatcher.
fn handle_report(kernel: &Arc<Kernel>, model: &str, report: &SlotReport) {
    let actions = with_dispatcher(kernel, model, |active| {
        active.dispatcher.record_slot_report(now_ms(), report)
    });
    execute_actions(kernel, model, actions);
}

/// Withdraws a slot request.
fn withdraw(kernel: &Arc<Kernel>, model: &str, id: &SlotRequestId) {
    with_dispatcher(kernel, model, |active| {
        active.dispatcher.withdraw(id);
        active.requesters.remove(id);
    });
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    match envelope.message {
        Message::SlotRequest(request) => request_slot(kernel, &envelope.reply_to, *request),
        Message::WithdrawSlotRequest { model, id } => withdraw(kernel, &model, &id),
        Message::SlotReport { model, report } => handle_report(kernel, &model, &report),
        _ => {}
    }
}

fn execute_actions(kernel: &Arc<Kernel>, model: &str, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Respond { to, response } => respond(kernel, model, to, response),
            Action::Export(export) => {
                tokio::spawn(export_context(kernel.clone(), model.to_owned(), export));
            }
        }
    }
}

fn respond(kernel: &Arc<Kernel>, model: &str, id: SlotRequestId, response: SlotResponse) {
    let is_final = response != SlotResponse::Queued;
    let requester = with_dispatcher(kernel, model, |active| {
        if is_final { active.requesters.remove(&id) } else { active.requesters.get(&id).cloned() }
    });
    let Some(Requester { reply_to, trace, requested_at_us }) = requester else {
        return;
    };
    if is_final {
        kernel.span(trace, Hop::Owner, requested_at_us, describe(&response));
    }
    kernel.deliver(&reply_to, Message::SlotResponse { model: model.to_owned(), id, response });
}

fn describe(response: &SlotResponse) -> String {
    match response {
        SlotResponse::Granted(Grant { engine, import: None, .. }) => format!("run on {engine}"),
        SlotResponse::Granted(Grant { engine, .. }) => {
            format!("run on {engine} with stored context")
        }
        SlotResponse::Refused(refusal) => format!("refused: {}", refusal.reason),
        SlotResponse::Queued => "wait".to_owned(),
    }
}

async fn export_context(kernel: Arc<Kernel>, model: String, export: Export) {
    let result = kernel.upstreams.export(&export).await;
    let outcome = match result {
        ExportResult::Sealed(..) => "sealed",
        ExportResult::ContextGone => "gone",
        ExportResult::Failed => "failed",
    };
    metrics::counter!("coursestile_exports_total", "outcome" => outcome).increment(1);
    with_dispatcher(&kernel, &model, |active| {
        active.dispatcher.context.record_export(now_ms(), &export, result);
    });
}

async fn delete_block(kernel: Arc<Kernel>, model: String, deletion: BlockDeletion) {
    if kernel.upstreams.delete(&deletion.store_url, &deletion.block).await {
        with_dispatcher(&kernel, &model, |active| {
            active.dispatcher.context.record_deletion(&deletion.block);
        });
    }
}

fn start(kernel: &Arc<Kernel>) {
    let shared = kernel.clone();
    supervisor::spawn("dispatchers", move || run_dispatchers(shared.clone()));
    let shared = kernel.clone();
    supervisor::spawn("polls", move || poll_engines_and_stores(shared.clone()));
}

async fn run_dispatchers(kernel: Arc<Kernel>) {
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    loop {
        ticks.tick().await;
        for model in kernel.dispatchers.models() {
            let actions =
                with_dispatcher(&kernel, &model, |active| active.dispatcher.tick(now_ms()));
            execute_actions(&kernel, &model, actions);
        }
    }
}

/// Polls the engines and deletes blocks from the stores, for each model with an active
/// dispatcher.
async fn poll_engines_and_stores(kernel: Arc<Kernel>) {
    let mut ticks = tokio::time::interval(FAST_REPORT_PERIOD);
    for tick in 0_u64.. {
        ticks.tick().await;
        let is_slow_tick = tick.is_multiple_of(SLOW_REPORT_TICKS);
        for model in kernel.dispatchers.models() {
            let awaits_load =
                with_dispatcher(&kernel, &model, |active| active.dispatcher.fleet.awaits_load());
            if is_slow_tick || awaits_load {
                poll_engines(&kernel, &model);
            }
            if !is_slow_tick {
                continue;
            }
            let deletions =
                with_dispatcher(&kernel, &model, |active| active.dispatcher.context.tick(now_ms()));
            for deletion in deletions {
                tokio::spawn(delete_block(kernel.clone(), model.clone(), deletion));
            }
        }
    }
}

fn poll_engines(kernel: &Arc<Kernel>, model: &str) {
    let config = kernel.configuration.current();
    let engines = with_dispatcher(kernel, model, |active| {
        active.apply_config(model, &config);
        let engines = active.dispatcher.fleet.engines.iter();
        engines.map(|engine| (engine.name.clone(), engine.url.clone())).collect::<Vec<_>>()
    });
    for (name, url) in engines {
        let (kernel, model) = (kernel.clone(), model.to_owned());
        tokio::spawn(async move {
            let report = kernel.upstreams.report(&url).await;
            with_dispatcher(&kernel, &model, |active| {
                active.dispatcher.record_engine_report(now_ms(), &name, report.as_ref());
            });
        });
    }
}

fn start_dispatcher(kernel: &Arc<Kernel>, model: &str) -> ActiveDispatcher {
    info!(target: "dispatch", "Started the dispatcher of model {model}.");
    let settings = &kernel.settings;
    let (engines, kv_token_bytes) = engines_of(settings, model);
    let stores = stores_of(settings);
    for (name, store) in &stores {
        tokio::spawn(adopt_blocks(
            kernel.clone(),
            model.to_owned(),
            name.clone(),
            store.url.clone(),
        ));
    }
    let writer = kernel.box_id.to_string();
    let context = ContextManager::new(
        settings.retention,
        stores,
        settings.prompt_records,
        kv_token_bytes,
        &writer,
    );
    let dispatcher = Dispatcher::new(settings.policies, engines, context);
    let mut active =
        ActiveDispatcher { dispatcher, last_request_at_ms: now_ms(), requesters: BTreeMap::new() };
    active.apply_config(model, &kernel.configuration.current());
    active
}

fn engines_of(settings: &Settings, model: &str) -> (Vec<Engine>, u64) {
    let mut kv_token_bytes = 0;
    let mut engines = Vec::new();
    for upstream in &settings.upstreams {
        let UpstreamKind::Engine(engine) = &upstream.kind else {
            continue;
        };
        if engine.model == model {
            let prefill_ms_per_token = engine.prefill_token_us / 1000.0;
            let (slots, cache_tokens) = (engine.slots, engine.cache_tokens);
            engines.push(Engine::new(
                &upstream.name,
                &upstream.url,
                slots,
                cache_tokens,
                prefill_ms_per_token,
            ));
            kv_token_bytes = engine.kv_token_bytes;
        }
    }
    (engines, kv_token_bytes)
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

/// Lists the blocks of the model in a store and adopts those whose home hall is this
/// one: the hall whose dispatcher wrote them or, if it has no boxes left, another hall.
async fn adopt_blocks(kernel: Arc<Kernel>, model: String, store: String, url: String) {
    let Some(listed) = kernel.upstreams.list(&url).await else {
        return warn!(target: "dispatch", "Cannot list the blocks of store {store}.");
    };
    let adoptable = listed.into_iter().filter(|block| block.meta.scope.model == model);
    let adoptable: Vec<_> =
        adoptable.filter(|block| is_home_hall(&kernel, block.meta.prefix.root)).collect();
    info!(target: "dispatch", "Adopted {} blocks of store {store}.", adoptable.len());
    with_dispatcher(&kernel, &model, |active| {
        for block in adoptable {
            active.dispatcher.context.adopt_block(now_ms(), &store, block);
        }
    });
}

fn is_home_hall(kernel: &Kernel, root: u64) -> bool {
    let halls = halls_in_region(kernel);
    let home = owner(&root.to_string(), halls.iter().map(String::as_str));
    home.is_none_or(|home| home == kernel.settings.hall)
}

/// Halls of this box's region with boxes that take new work.
fn halls_in_region(kernel: &Kernel) -> Vec<String> {
    let membership = kernel.membership();
    let in_region =
        membership.view().members().filter(|member| member.region == kernel.settings.region);
    let halls: BTreeSet<_> =
        in_region.filter(|member| member.takes_work()).map(|member| member.hall.clone()).collect();
    halls.into_iter().collect()
}
