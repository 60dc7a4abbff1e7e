//! Loads new weights on one engine: keeps new requests away, drains it, writes the claim, gives
//! the order, and polls until the engine has the version. If the load cannot proceed, the engine
//! gets requests again at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::error::Result;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::orders::{EngineReport, OrderOutcome, WeightsOrder};
use crate::gateway::decisions::upstream::ReportedIncarnation;
use crate::gateway::kernel::{Gateway, ObservedVersion, State};
use crate::gateway::leader::max_concurrent_loads;
use crate::gateway::{claims, entries, invariants};
use crate::names::short_id;

/// Time that gossip takes to reach the other boxes.
const GOSSIP_DELAY: Duration = Duration::from_millis(15);
/// A load is not polled earlier than this; it takes at least 760 ms.
const LOAD_MS: u64 = 800;
/// Poll period of a running load. Engines' reports lag by 100 ms.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Longest wait for running requests before the order is given.
const MAX_DRAIN_MS: u64 = 1500;
/// How often it is checked whether the engine is drained, or a permit is free.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Longest time that one order is followed up.
const ORDER_TIMEOUT_MS: u64 = 4000;
/// An engine that has accepted an order counts as loading for twice the usual time of a load. An
/// engine that hangs must not keep others from loading for as long as its order is followed up.
const PERMIT_MS: u64 = 2 * LOAD_MS;
/// How long an engine counts as loading while the order is sent. Responses take a few
/// milliseconds; an engine that does not respond is not loading, and others may.
const UNCONFIRMED_PERMIT_MS: u64 = 200;
/// Pause before another order to an engine that failed one. It does not grow with repeated
/// failures: with pauses of up to 4 s, engines that carried out lost orders seconds late got the
/// newest weights too late.
const RETRY_PAUSE_MS: u64 = 500;
/// How long one gossip message marks an engine as loading.
pub const LOADING_GOSSIP_MS: u64 = 700;
/// How long a weight version is reported to peers after it was seen.
pub const VERSION_GOSSIP_MS: u64 = 4000;

/// How a load ended. The texts are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
enum LoadEnd {
    /// done
    Done,
    /// this box is not the leader any more
    LeadershipLost,
    /// the engine turned the order away
    Rejected,
    /// the engine does not have the version in time
    TooSlow,
    /// the engine does not answer
    Failed,
    /// the claim could not be written
    NotClaimed,
}

/// An engine that is to load a weight version.
pub struct WeightLoad {
    pub engine: Incarnation,
    pub address: SocketAddr,
    pub model: String,
    pub version: u64,
    /// Fencing token of the leader's lease.
    pub fence: u64,
}

/// Keeps this box from sending requests to an engine until `until_ms`.
pub fn mark_loading(state: &mut State, id: &str, until_ms: u64) {
    if let Some(upstream) = state.upstreams.get_mut(id) {
        upstream.set_loading_until(until_ms);
    }
}

/// Replaces the weights of one engine, and updates the state with the outcome.
pub async fn replace_weights(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, mut load: WeightLoad) {
    sleep(GOSSIP_DELAY).await;
    let end = match drain_and_order(&gateway, &socket, &mut load).await {
        Ok(end) => end,
        Err(error) => {
            info!(target: "leader",
                "event=order_failed upstream={} cause=\"{error}\"", load.engine.id);
            LoadEnd::Failed
        }
    };
    let mut state = gateway.state();
    state.loading_engines.remove(&load.engine.id);
    match end {
        LoadEnd::Done => {
            state.failed_orders.remove(&load.engine.id);
        }
        LoadEnd::LeadershipLost | LoadEnd::NotClaimed => {}
        LoadEnd::Rejected | LoadEnd::TooSlow | LoadEnd::Failed => {
            let failed = state.failed_orders.entry(load.engine.id.clone()).or_default();
            failed.count += 1;
            failed.retry_at_ms = now_ms() + RETRY_PAUSE_MS;
        }
    }
    if let Some(upstream) = state.upstreams.get_incarnation_mut(&load.engine) {
        upstream.set_loading_until(0);
        if end == LoadEnd::Done {
            upstream.record_weight_version(&load.model, load.version);
        }
    }
    if end == LoadEnd::Done {
        state.observed_versions.push(ObservedVersion {
            engine: load.engine.short_id(),
            model: short_id(&load.model),
            version: load.version,
            until_ms: now_ms() + VERSION_GOSSIP_MS,
        });
    }
    drop(state);
    info!(target: "leader", "event=order_ended upstream={} model={} version={} end=\"{end}\"",
        load.engine.id, load.model, load.version);
    gateway.gossip_now.notify_one();
    gateway.capacity_changed.notify_waiters();
}

async fn drain_and_order(
    gateway: &Arc<Gateway>,
    socket: &UdpSocket,
    load: &mut WeightLoad,
) -> Result<LoadEnd> {
    drain(gateway, load).await;
    let Some(_permit) = acquire_permit(gateway, load).await else {
        return Ok(LoadEnd::LeadershipLost);
    };
    // A newer version may have been named while the engine was draining.
    if let Some(named) = gateway.state().weights.get(&load.model) {
        load.version = named.newest();
    }
    order_and_wait(gateway, socket, load).await
}

/// A permit to load weights, held until it is dropped.
struct LoadPermit(Arc<Gateway>, String);

impl Drop for LoadPermit {
    fn drop(&mut self) {
        self.0.state().load_permits.remove(&self.1);
    }
}

/// Waits until few enough engines are loading; `None` when this box no longer leads.
async fn acquire_permit(gateway: &Arc<Gateway>, load: &WeightLoad) -> Option<LoadPermit> {
    loop {
        {
            let mut state = gateway.state();
            let now_ms = now_ms();
            if !state.leads(now_ms, load.fence) {
                return None;
            }
            mark_loading(&mut state, &load.engine.id, now_ms + LOADING_GOSSIP_MS);
            let in_use = state.load_permits.values().filter(|until_ms| now_ms < **until_ms).count();
            if in_use < max_concurrent_loads(gateway, &state, now_ms, &load.model) {
                let id = load.engine.id.clone();
                state.load_permits.insert(id.clone(), now_ms + UNCONFIRMED_PERMIT_MS);
                return Some(LoadPermit(gateway.clone(), id));
            }
        }
        sleep(DRAIN_CHECK_PERIOD).await;
    }
}

/// Waits until the engine's requests have ended, up to a limit. If its entry in the metadata store
/// is gone, its requests are unknown and the full limit applies.
///
/// When leaders succeed one another quickly, a new leader waits no longer than it has already led;
/// otherwise each one would be replaced while it waits.
async fn drain(gateway: &Gateway, load: &WeightLoad) {
    let from_ms = now_ms();
    let until_ms =
        from_ms + takeover_drain_ms(gateway, from_ms).unwrap_or(MAX_DRAIN_MS).min(MAX_DRAIN_MS);
    while now_ms() < until_ms && has_running_requests(gateway, load) {
        sleep(DRAIN_CHECK_PERIOD).await;
    }
}

/// How long this box has led, if claims of earlier leaders show that leaders succeed one another
/// quickly.
fn takeover_drain_ms(gateway: &Gateway, now_ms: u64) -> Option<u64> {
    let state = gateway.state();
    let leadership = state.leadership?;
    let is_quick_succession = claims::has_paused_targets(&state, &gateway.settings.bounds, now_ms);
    is_quick_succession.then(|| now_ms.saturating_sub(leadership.taken_at_ms))
}

/// Whether the engine still runs requests, and this box still leads.
fn has_running_requests(gateway: &Gateway, load: &WeightLoad) -> bool {
    let mut state = gateway.state();
    let now_ms = now_ms();
    mark_loading(&mut state, &load.engine.id, now_ms + LOADING_GOSSIP_MS);
    let requests = state.upstreams.get(&load.engine.id).map(|engine| engine.total_load().requests);
    requests != Some(0) && state.leads(now_ms, load.fence)
}

/// Gives the order and waits until the engine has the version.
async fn order_and_wait(
    gateway: &Gateway,
    socket: &UdpSocket,
    load: &mut WeightLoad,
) -> Result<LoadEnd> {
    let deadline_ms = now_ms() + ORDER_TIMEOUT_MS;
    let mut report = fetch_report(gateway, load).await?;
    // The engine may still be carrying out an earlier order whose response was lost.
    while report.busy && !has_version(&report, load) && now_ms() < deadline_ms {
        mark_loading(&mut gateway.state(), &load.engine.id, now_ms() + LOADING_GOSSIP_MS);
        sleep(POLL_PERIOD).await;
        report = fetch_report(gateway, load).await?;
    }
    if has_version(&report, load) {
        return Ok(LoadEnd::Done);
    }
    if let Some(end) = claim_and_order(gateway, socket, load, report.orders_taken).await? {
        return Ok(end);
    }
    // Without this, the mark would expire during the load, and this box alone would send requests
    // to the engine.
    mark_loading(&mut gateway.state(), &load.engine.id, now_ms() + LOAD_MS + LOADING_GOSSIP_MS);
    sleep(Duration::from_millis(LOAD_MS)).await;
    while now_ms() < deadline_ms {
        mark_loading(&mut gateway.state(), &load.engine.id, now_ms() + LOADING_GOSSIP_MS);
        let report = fetch_report(gateway, load).await?;
        if has_version(&report, load) {
            return Ok(LoadEnd::Done);
        }
        if !report.busy {
            // The engine has carried out another order, or none.
            return Ok(LoadEnd::Rejected);
        }
        sleep(POLL_PERIOD).await;
    }
    Ok(LoadEnd::TooSlow)
}

/// Writes the claim on the engine, then gives the order. Returns how the load ended, if it has.
async fn claim_and_order(
    gateway: &Gateway,
    socket: &UdpSocket,
    load: &WeightLoad,
    orders_taken: u64,
) -> Result<Option<LoadEnd>> {
    let target = short_id(&load.engine.id);
    match claims::claim(gateway, socket, load.fence, target).await {
        Ok(true) => {}
        Ok(false) => return Ok(Some(LoadEnd::LeadershipLost)),
        Err(error) => {
            info!(target: "leader", "event=engine_not_claimed upstream={} cause=\"{error}\"",
                load.engine.id);
            return Ok(Some(LoadEnd::NotClaimed));
        }
    }
    if !invariants::order_under_lease(&gateway.state(), now_ms(), load.fence, target) {
        return Ok(Some(LoadEnd::LeadershipLost));
    }
    let ordered = order(gateway, load, orders_taken).await?;
    if let Some(until_ms) = gateway.state().load_permits.get_mut(&load.engine.id) {
        *until_ms = now_ms() + PERMIT_MS;
    }
    let is_rejected = matches!(ordered, OrderOutcome::Fenced | OrderOutcome::WrongEngine);
    Ok(is_rejected.then_some(LoadEnd::Rejected))
}

/// Fetches the engine's report. If the engine has restarted, `load` is moved to the new
/// incarnation.
async fn fetch_report(gateway: &Gateway, load: &mut WeightLoad) -> Result<EngineReport> {
    let asked_at_ms = now_ms();
    let report = gateway.engines.report(load.address).await?;
    let id = &load.engine.id;
    if entries::note_answering_incarnation(gateway, id, report.started_at_ms, asked_at_ms)
        == ReportedIncarnation::Restarted
    {
        load.engine.started_at_ms = report.started_at_ms;
    }
    Ok(report)
}

fn has_version(report: &EngineReport, load: &WeightLoad) -> bool {
    let mut models = report.models.iter();
    models.any(|(model, version)| *model == load.model && *version >= load.version)
}

async fn order(gateway: &Gateway, load: &WeightLoad, orders_taken: u64) -> Result<OrderOutcome> {
    let order = WeightsOrder {
        engine_id: &load.engine.id,
        model: &load.model,
        version: load.version,
        leader: &gateway.settings.name,
        fence: load.fence,
        orders_taken,
    };
    metrics::counter!("coursestile_orders_total").increment(1);
    info!(target: "leader",
        "event=order_given upstream={} model={} version={} fence={} orders_taken={orders_taken}",
        load.engine.id, load.model, load.version, load.fence);
    gateway.state().orders_in_flight += 1;
    let ordered = gateway.engines.order(load.address, &order).await;
    gateway.state().orders_in_flight -= 1;
    ordered
}
