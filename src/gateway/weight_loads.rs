//! One engine's load of new weights: no new work for it, the claim, the order, and a look
//! until it has them. A load that cannot go on gives the engine back at once.

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
use crate::gateway::decisions::upstream::Told;
use crate::gateway::kernel::{Gateway, ObservedVersion, State};
use crate::gateway::leader::permits;
use crate::gateway::{claims, entries, invariants};
use crate::names::number;

/// Time that gossip takes to the other boxes.
const GOSSIP_DELAY: Duration = Duration::from_millis(15);
/// Time after which a load may be over; it takes 760 ms and more.
const LOAD_MS: u64 = 800;
/// Time between two looks at a load: reports are 100 ms late.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Longest time for which the order waits until running requests have ended.
const MAX_DRAIN_MS: u64 = 1500;
/// Time between two looks whether they have.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Longest time for which one order is followed up.
const ORDER_TIMEOUT_MS: u64 = 4000;
/// Time for which an engine that has taken an order counts as loading: twice the usual. One
/// that hangs must not keep others from loading for as long as it is followed up.
const PERMIT_MS: u64 = 2 * LOAD_MS;
/// Time for which one counts that is about to get an order; an answer takes some
/// milliseconds. One that does not answer does not load, and others may.
const UNCONFIRMED_PERMIT_MS: u64 = 200;
/// Pause before an engine that failed is tried again. While it grew to 4 s, engines that
/// carried out lost orders seconds late had the newest weights too late.
const RETRY_PAUSE_MS: u64 = 500;
/// Time for which one message says that an engine loads.
pub const LOADING_GOSSIP_MS: u64 = 700;
/// Time for which peers are told of a version after it was seen.
pub const VERSION_GOSSIP_MS: u64 = 4000;

/// How a load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
enum LoadEnd {
    /// done
    Done,
    /// this box is not the leader any more
    LeadershipLost,
    /// the engine turned the order away
    TurnedAway,
    /// the engine does not have the version in time
    TooSlow,
    /// the engine does not answer
    Failed,
    /// the claim could not be written
    NotClaimed,
}

/// An engine that is to be brought to a version.
pub struct WeightLoad {
    /// The engine.
    pub engine: Incarnation,
    /// Its address.
    pub address: SocketAddr,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Fencing token of the leader.
    pub fence: u64,
}

/// Keeps this box from sending to an engine until a deadline.
pub fn mark_loading(state: &mut State, id: &str, until_ms: u64) {
    if let Some(upstream) = state.upstreams.get_mut(id) {
        upstream.loads_until(until_ms);
    }
}

/// Replaces the weights of one engine, and says how it went.
pub async fn replace_weights(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, mut load: WeightLoad) {
    sleep(GOSSIP_DELAY).await;
    let end = match drain_and_order(&gateway, &socket, &mut load).await {
        Ok(end) => end,
        Err(error) => {
            info!(target: "leader", "event=order_failed upstream={} cause=\"{error}\"", load.engine.id);
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
        LoadEnd::TurnedAway | LoadEnd::TooSlow | LoadEnd::Failed => {
            let failed = state.failed_orders.entry(load.engine.id.clone()).or_default();
            failed.count += 1;
            failed.retry_at_ms = now_ms() + RETRY_PAUSE_MS;
        }
    }
    if let Some(upstream) = state.upstreams.get_run_mut(&load.engine) {
        upstream.loads_until(0);
        if end == LoadEnd::Done {
            upstream.saw_version(&load.model, load.version);
        }
    }
    if end == LoadEnd::Done {
        state.observed_versions.push(ObservedVersion {
            engine: load.engine.number(),
            model: number(&load.model),
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
    // A newer version may have been named meanwhile.
    if let Some(named) = gateway.state().weights.get(&load.model) {
        load.version = named.newest();
    }
    order_and_wait(gateway, socket, load).await
}

/// A permit to load, for as long as it lives.
struct LoadPermit(Arc<Gateway>, String);

impl Drop for LoadPermit {
    fn drop(&mut self) {
        self.0.state().load_permits.remove(&self.1);
    }
}

/// Waits until few enough engines load; `None` when this box leads no more.
async fn acquire_permit(gateway: &Arc<Gateway>, load: &WeightLoad) -> Option<LoadPermit> {
    loop {
        {
            let mut state = gateway.state();
            let now_ms = now_ms();
            if !state.leads(now_ms, load.fence) {
                return None;
            }
            mark_loading(&mut state, &load.engine.id, now_ms + LOADING_GOSSIP_MS);
            let taken = state.load_permits.values().filter(|until_ms| now_ms < **until_ms).count();
            if taken < permits(gateway, &state, now_ms, &load.model) {
                let id = load.engine.id.clone();
                state.load_permits.insert(id.clone(), now_ms + UNCONFIRMED_PERMIT_MS);
                return Some(LoadPermit(gateway.clone(), id));
            }
        }
        sleep(DRAIN_CHECK_PERIOD).await;
    }
}

/// Waits until what runs at the engine has ended, for a while. What runs at one whose
/// entry has gone is not known, and may go on for as long.
///
/// Where leaders follow each other quickly, one that has just taken over waits no longer than
/// it has led: each would be replaced while it waits.
async fn drain(gateway: &Gateway, load: &WeightLoad) {
    let from_ms = now_ms();
    let until_ms =
        from_ms + takeover_drain_ms(gateway, from_ms).unwrap_or(MAX_DRAIN_MS).min(MAX_DRAIN_MS);
    while now_ms() < until_ms && has_running_requests(gateway, load) {
        sleep(DRAIN_CHECK_PERIOD).await;
    }
}

/// For how long this box has led, where leaders follow each other quickly.
fn takeover_drain_ms(gateway: &Gateway, now_ms: u64) -> Option<u64> {
    let state = gateway.state();
    let held = state.leadership?;
    let follows = claims::has_waiting(&state, &gateway.settings.bounds, now_ms);
    follows.then(|| now_ms.saturating_sub(held.taken_at_ms))
}

/// Whether the engine runs anything that this box, which leads, waits for.
fn has_running_requests(gateway: &Gateway, load: &WeightLoad) -> bool {
    let mut state = gateway.state();
    let now_ms = now_ms();
    mark_loading(&mut state, &load.engine.id, now_ms + LOADING_GOSSIP_MS);
    let requests = state.upstreams.get(&load.engine.id).map(|one| one.load().requests);
    requests != Some(0) && state.leads(now_ms, load.fence)
}

/// Gives the order and waits until the engine has the version.
async fn order_and_wait(
    gateway: &Gateway,
    socket: &UdpSocket,
    load: &mut WeightLoad,
) -> Result<LoadEnd> {
    let give_up_at_ms = now_ms() + ORDER_TIMEOUT_MS;
    let mut report = fetch_report(gateway, load).await?;
    // It may carry out an older order, which was left unanswered.
    while report.busy && !has_version(&report, load) && now_ms() < give_up_at_ms {
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
    // Else this box alone would send to it before the load is over.
    mark_loading(&mut gateway.state(), &load.engine.id, now_ms() + LOAD_MS + LOADING_GOSSIP_MS);
    sleep(Duration::from_millis(LOAD_MS)).await;
    while now_ms() < give_up_at_ms {
        mark_loading(&mut gateway.state(), &load.engine.id, now_ms() + LOADING_GOSSIP_MS);
        let report = fetch_report(gateway, load).await?;
        if has_version(&report, load) {
            return Ok(LoadEnd::Done);
        }
        if !report.busy {
            // It has carried out another order, or none.
            return Ok(LoadEnd::TurnedAway);
        }
        sleep(POLL_PERIOD).await;
    }
    Ok(LoadEnd::TooSlow)
}

/// Writes down that the engine may be ordered, and orders it; how the load has ended, if it
/// has.
async fn claim_and_order(
    gateway: &Gateway,
    socket: &UdpSocket,
    load: &WeightLoad,
    taken: u64,
) -> Result<Option<LoadEnd>> {
    let target = number(&load.engine.id);
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
    let ordered = order(gateway, load, taken).await?;
    if let Some(until_ms) = gateway.state().load_permits.get_mut(&load.engine.id) {
        *until_ms = now_ms() + PERMIT_MS;
    }
    let turned_away = matches!(ordered, OrderOutcome::Fenced | OrderOutcome::WrongEngine);
    Ok(turned_away.then_some(LoadEnd::TurnedAway))
}

/// Asks an engine for its report; the load is of the run that answers.
async fn fetch_report(gateway: &Gateway, load: &mut WeightLoad) -> Result<EngineReport> {
    let asked_at_ms = now_ms();
    let report = gateway.engines.report(load.address).await?;
    let id = &load.engine.id;
    if entries::answered_by(gateway, id, report.started_at_ms, asked_at_ms) == Told::Restarted {
        load.engine.started_at_ms = report.started_at_ms;
    }
    Ok(report)
}

fn has_version(report: &EngineReport, load: &WeightLoad) -> bool {
    let mut models = report.models.iter();
    models.any(|(model, version)| *model == load.model && *version >= load.version)
}

async fn order(gateway: &Gateway, load: &WeightLoad, taken: u64) -> Result<OrderOutcome> {
    let order = WeightsOrder {
        engine_id: &load.engine.id,
        model: &load.model,
        version: load.version,
        leader: &gateway.settings.name,
        fence: load.fence,
        orders_taken: taken,
    };
    metrics::counter!("coursestile_orders_total").increment(1);
    info!(target: "leader",
        "event=order_given upstream={} model={} version={} fence={} orders_taken={taken}",
        load.engine.id, load.model, load.version, load.fence);
    gateway.state().orders_in_flight += 1;
    let ordered = gateway.engines.order(load.address, &order).await;
    gateway.state().orders_in_flight -= 1;
    ordered
}
