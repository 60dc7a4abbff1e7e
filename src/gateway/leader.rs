//! What the leader does: replaces the weights of engines by the named ones, and
//! frees what stores keep for nobody.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::error::Result;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::names::number;
use crate::gateway::decisions::orders::{EngineReport, Ordered, WeightsOrder};
use crate::gateway::decisions::rollout::{self, Candidate};
use crate::gateway::decisions::upstream::Told;
use crate::gateway::decisions::weights::NamedWeights;
use crate::gateway::entries;
use crate::gateway::invariants;
use crate::gateway::kernel::{Gateway, State, ToldVersion};
use crate::gateway::leadership::Leadership;
use crate::gateway::space::Space;
use crate::phase::Phase;

/// How often the holder looks what is to be done.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Time that gossip takes to the other boxes.
const GOSSIP_LEAD: Duration = Duration::from_millis(15);
/// Time after which a load may be over; it takes 760 ms and more.
const LOAD_MS: u64 = 800;
/// Time between two looks at a load: reports are 100 ms late.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Longest time for which the order waits until running requests have ended.
const DRAIN_MS: u64 = 1500;
/// Time between two looks whether they have.
const DRAIN_PERIOD: Duration = Duration::from_millis(50);
/// Longest time for which one order is followed up.
const ORDER_MS: u64 = 4000;
/// Time kept for the last engines, whose requests begin late.
const FINISH_MS: u64 = 1200;
/// Pause before an engine that failed is tried again.
const FAILED_PAUSE: Duration = Duration::from_millis(500);
/// Time for which one message says that an engine loads.
pub const LOADING_GOSSIP_MS: u64 = 700;
/// Time for which peers are told of a version after it was seen.
pub const VERSION_GOSSIP_MS: u64 = 4000;

/// Leads, while this box is the leader.
pub async fn run(gateway: Arc<Gateway>) {
    let mut space = Space::default();
    while gateway.phase() == Phase::Serving {
        sleep(LOOK_PERIOD).await;
        let Some(held) = gateway.state().leadership else {
            space = Space::default();
            continue;
        };
        if now_ms() >= held.until_ms {
            continue;
        }
        for load in loads_to_start(&gateway) {
            tokio::spawn(replace_weights(gateway.clone(), load));
        }
        if held.allows_orders(now_ms()) {
            space.step(&gateway).await;
        }
    }
}

/// What is left of the time in which an engine with `version` must have newer
/// weights.
fn left_ms(gateway: &Gateway, named: Option<&NamedWeights>, now_ms: u64, version: u64) -> u64 {
    let bound_ms = gateway.settings.bounds.weights_apply_ms;
    let behind_since_ms = named.and_then(|named| named.behind_since_ms(version));
    let Some(behind_since_ms) = behind_since_ms else { return bound_ms };
    (behind_since_ms + bound_ms).saturating_sub(now_ms + FINISH_MS)
}

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
}

/// An engine that is to be brought to a version.
struct Load {
    upstream: Incarnation,
    address: SocketAddr,
    model: String,
    version: u64,
}

fn loads_to_start(gateway: &Gateway) -> Vec<Load> {
    let mut state = gateway.state();
    let now_ms = now_ms();
    let named: Vec<(String, u64)> =
        state.weights.iter().map(|(model, named)| (model.clone(), named.newest())).collect();
    let mut loads = Vec::new();
    for (model, version) in named {
        let candidates = candidates(gateway, &state, now_ms, &model);
        for id in rollout::next(&candidates, version) {
            let Some(engine) = state.upstreams.get(&id) else { continue };
            let (upstream, address) = (engine.incarnation(), engine.entry.address);
            state.loading.insert(id);
            loads.push(Load { upstream, address, model: model.clone(), version });
        }
    }
    if !loads.is_empty() {
        for load in &loads {
            info!(target: "leader", "event=drain_started upstream={} model={} version={}",
                load.upstream.id, load.model, load.version);
            note_loading(&mut state, &load.upstream.id, now_ms + LOADING_GOSSIP_MS);
        }
        gateway.gossip_now.notify_one();
    }
    loads
}

fn candidates(gateway: &Gateway, state: &State, now_ms: u64, model: &str) -> Vec<Candidate> {
    let named = state.weights.get(model);
    let engines = state.upstreams.current().filter(|one| one.version(model) > 0);
    engines
        .filter(|engine| !engine.entry.leaving)
        .map(|engine| Candidate {
            id: engine.id.clone(),
            version: engine.version(model),
            left_ms: left_ms(gateway, named, now_ms, engine.version(model)),
            under_way: state.loading.contains(&engine.id),
            requests: engine.load().requests,
            doubtful: engine.is_doubtful(now_ms),
        })
        .collect()
}

/// Keeps this box from sending to an engine until a deadline.
fn note_loading(state: &mut State, id: &str, until_ms: u64) {
    if let Some(upstream) = state.upstreams.get_mut(id) {
        upstream.loads_until(until_ms);
    }
}

/// Replaces the weights of one engine, and says how it went.
async fn replace_weights(gateway: Arc<Gateway>, mut load: Load) {
    sleep(GOSSIP_LEAD).await;
    drain(&gateway, &load).await;
    let _turn = acquire_permit(&gateway, &load).await;
    // A newer version may have been named meanwhile.
    if let Some(named) = gateway.state().weights.get(&load.model) {
        load.version = named.newest();
    }
    let end = match order_and_wait(&gateway, &mut load).await {
        Ok(end) => end,
        Err(error) => {
            info!(target: "leader", "event=order_failed upstream={} cause=\"{error}\"", load.upstream.id);
            sleep(FAILED_PAUSE).await;
            LoadEnd::Failed
        }
    };
    let mut state = gateway.state();
    state.loading.remove(&load.upstream.id);
    if let Some(upstream) = state.upstreams.get_run_mut(&load.upstream) {
        upstream.loads_until(0);
        if end == LoadEnd::Done {
            upstream.saw_version(&load.model, load.version);
        }
    }
    if end == LoadEnd::Done {
        state.told_versions.push(ToldVersion {
            engine: load.upstream.number(),
            model: number(&load.model),
            version: load.version,
            until_ms: now_ms() + VERSION_GOSSIP_MS,
        });
    }
    drop(state);
    info!(target: "leader", "event=order_ended upstream={} model={} version={} end=\"{end}\"",
        load.upstream.id, load.model, load.version);
    gateway.gossip_now.notify_one();
    gateway.places.notify_waiters();
}

/// A permit to load, for as long as it lives.
struct LoadPermit(Arc<Gateway>, String);

impl Drop for LoadPermit {
    fn drop(&mut self) {
        self.0.state().ordered.remove(&self.1);
    }
}

/// Waits until few enough engines load.
async fn acquire_permit(gateway: &Arc<Gateway>, load: &Load) -> LoadPermit {
    loop {
        {
            let mut state = gateway.state();
            note_loading(&mut state, &load.upstream.id, now_ms() + LOADING_GOSSIP_MS);
            let allowed = state.leadership.is_none_or(|held| held.allows_orders(now_ms()));
            if allowed && state.ordered.len() < permits(gateway, &state, &load.model) {
                state.ordered.insert(load.upstream.id.clone());
                return LoadPermit(gateway.clone(), load.upstream.id.clone());
            }
        }
        sleep(DRAIN_PERIOD).await;
    }
}

fn permits(gateway: &Gateway, state: &State, model: &str) -> usize {
    let version = state.weights.get(model).map_or(0, NamedWeights::newest);
    rollout::at_once(&candidates(gateway, state, now_ms(), model), version)
}

/// Waits until what runs at the engine has ended, for a while. What runs at one whose
/// entry has gone is not known, and may go on for as long.
async fn drain(gateway: &Gateway, load: &Load) {
    let until_ms = now_ms() + DRAIN_MS;
    while now_ms() < until_ms {
        note_loading(&mut gateway.state(), &load.upstream.id, now_ms() + LOADING_GOSSIP_MS);
        let requests =
            gateway.state().upstreams.get(&load.upstream.id).map(|one| one.load().requests);
        if requests == Some(0) {
            return;
        }
        sleep(DRAIN_PERIOD).await;
    }
}

/// Gives the order and waits until the engine has the version.
async fn order_and_wait(gateway: &Gateway, load: &mut Load) -> Result<LoadEnd> {
    let give_up_at_ms = now_ms() + ORDER_MS;
    let report = fetch_report(gateway, load).await?;
    if has_version(&report, load) {
        return Ok(LoadEnd::Done);
    }
    if !report.busy {
        let Some(held) = gateway.state().leadership else {
            return Ok(LoadEnd::LeadershipLost);
        };
        if !invariants::order_under_lease(&held, now_ms()) {
            return Ok(LoadEnd::LeadershipLost);
        }
        let ordered = order(gateway, load, &held, report.orders_taken).await?;
        if matches!(ordered, Ordered::Fenced | Ordered::OtherEngine) {
            return Ok(LoadEnd::TurnedAway);
        }
    }
    // Else this box alone would send to it before the load is over.
    note_loading(&mut gateway.state(), &load.upstream.id, now_ms() + LOAD_MS + LOADING_GOSSIP_MS);
    sleep(Duration::from_millis(LOAD_MS)).await;
    while now_ms() < give_up_at_ms {
        note_loading(&mut gateway.state(), &load.upstream.id, now_ms() + LOADING_GOSSIP_MS);
        let report = fetch_report(gateway, load).await?;
        if has_version(&report, load) {
            return Ok(LoadEnd::Done);
        }
        sleep(POLL_PERIOD).await;
    }
    Ok(LoadEnd::TooSlow)
}

/// Asks an engine for its report; the load is of the run that answers.
async fn fetch_report(gateway: &Gateway, load: &mut Load) -> Result<EngineReport> {
    let asked_at_ms = now_ms();
    let report = gateway.engines.report(load.address).await?;
    let id = &load.upstream.id;
    if entries::answered_by(gateway, id, report.started_at_ms, asked_at_ms) == Told::Restarted {
        load.upstream.started_at_ms = report.started_at_ms;
    }
    Ok(report)
}

fn has_version(report: &EngineReport, load: &Load) -> bool {
    let mut models = report.models.iter();
    models.any(|(model, version)| *model == load.model && *version >= load.version)
}

async fn order(gateway: &Gateway, load: &Load, held: &Leadership, taken: u64) -> Result<Ordered> {
    let order = WeightsOrder {
        engine_id: &load.upstream.id,
        model: &load.model,
        version: load.version,
        holder: &gateway.settings.name,
        fence: held.fence,
        orders_taken: taken,
    };
    metrics::counter!("coursestile_orders_total").increment(1);
    info!(target: "leader",
        "event=order_given upstream={} model={} version={} fence={} orders_taken={taken}",
        load.upstream.id, load.model, load.version, held.fence);
    gateway.engines.order(load.address, &order).await
}
