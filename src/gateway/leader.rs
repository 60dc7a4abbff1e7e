//! Tasks of the leader: it has engines load the weight versions that operators have named,
//! frees unused context in the context stores, and prunes claims.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::gateway::claims;
use crate::gateway::decisions::rollout::{self, RolloutCandidate};
use crate::gateway::decisions::weights::NamedVersions;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::store_cleanup::StoreCleanup;
use crate::gateway::weight_loads::{LOADING_GOSSIP_MS, WeightLoad, mark_loading, replace_weights};
use crate::names::short_id;

/// Interval at which the leader checks whether there is anything to do.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Interval at which outdated claims are removed, so that the next leader finds few: a third of
/// the pause that the next leader must observe because of them.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);
/// Reserve for the last engines of a roll-out, whose requests begin late.
const RESERVE_MS: u64 = 1200;

/// Starts loads of weights while this box is the leader.
pub async fn run(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    while gateway.phase() != BoxPhase::Stopped {
        sleep(POLL_PERIOD).await;
        let Some(fence) = current_fence(&gateway) else { continue };
        for load in loads_to_start(&gateway, fence) {
            tokio::spawn(replace_weights(gateway.clone(), socket.clone(), load));
        }
    }
}

/// Frees unused context in the stores while this box is the leader. This is a task of its own
/// because a store that does not answer must not delay loads.
pub async fn free_store_space(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut cleanup = StoreCleanup::default();
    while gateway.phase() != BoxPhase::Stopped {
        sleep(POLL_PERIOD).await;
        match current_fence(&gateway) {
            Some(fence) => cleanup.step(&gateway, &socket, fence).await,
            None => cleanup = StoreCleanup::default(),
        }
    }
}

/// Removes outdated claims while this box is the leader.
pub async fn prune_claims(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    while gateway.phase() != BoxPhase::Stopped {
        sleep(PRUNE_PERIOD).await;
        let Some(fence) = current_fence(&gateway) else { continue };
        if let Err(error) = claims::prune(&gateway, &socket, fence).await {
            info!(target: "leader", "event=claims_not_tidied cause=\"{error}\"");
        }
    }
}

/// The fencing token under which this box may send orders now: it must lead and know the
/// claims of earlier leaders.
fn current_fence(gateway: &Gateway) -> Option<u64> {
    let mut state = gateway.state();
    let leadership = state.leadership.filter(|leadership| now_ms() < leadership.until_ms)?;
    claims::load(&mut state, &leadership).then_some(leadership.fence)
}

/// Remaining time in which an engine that has `version` must get newer weights.
fn time_left_ms(
    gateway: &Gateway,
    named: Option<&NamedVersions>,
    now_ms: u64,
    version: u64,
) -> u64 {
    let apply_ms = gateway.settings.bounds.weights_apply_ms;
    let behind_since_ms = named.and_then(|named| named.behind_since_ms(version));
    let Some(behind_since_ms) = behind_since_ms else { return apply_ms };
    (behind_since_ms + apply_ms).saturating_sub(now_ms + RESERVE_MS)
}

/// Selects the engines that are to load now, and marks them as loading.
fn loads_to_start(gateway: &Gateway, fence: u64) -> Vec<WeightLoad> {
    let mut state = gateway.state();
    let now_ms = now_ms();
    let State { failed_orders, upstreams, .. } = &mut *state;
    failed_orders.retain(|id, _| upstreams.get(id).is_some());
    let newest_versions: Vec<(String, u64)> =
        state.weights.iter().map(|(model, named)| (model.clone(), named.newest())).collect();
    let mut loads = Vec::new();
    for (model, version) in newest_versions {
        let candidates = candidates(gateway, &state, now_ms, &model);
        for id in rollout::next_engines(&candidates, version) {
            let Some(engine) = state.upstreams.get(&id) else { continue };
            let (upstream, address) = (engine.incarnation(), engine.entry.address);
            state.loading_engines.insert(id);
            loads.push(WeightLoad {
                engine: upstream,
                address,
                model: model.clone(),
                version,
                fence,
            });
        }
    }
    if !loads.is_empty() {
        for load in &loads {
            info!(target: "leader", "event=drain_started upstream={} model={} version={}",
                load.engine.id, load.model, load.version);
            mark_loading(&mut state, &load.engine.id, now_ms + LOADING_GOSSIP_MS);
        }
        gateway.gossip_now.notify_one();
    }
    loads
}

/// The engines of a model that could load its newest weights.
fn candidates(gateway: &Gateway, state: &State, now_ms: u64, model: &str) -> Vec<RolloutCandidate> {
    let named = state.weights.get(model);
    let bounds = &gateway.settings.bounds;
    let engines = state.upstreams.current().filter(|engine| engine.weight_version(model) > 0);
    engines
        .filter(|engine| !engine.is_leaving())
        .map(|engine| {
            let failed = state.failed_orders.get(&engine.id).copied().unwrap_or_default();
            RolloutCandidate {
                id: engine.id.clone(),
                version: engine.weight_version(model),
                time_left_ms: time_left_ms(gateway, named, now_ms, engine.weight_version(model)),
                is_loading: state.loading_engines.contains(&engine.id),
                may_be_ordered: now_ms >= failed.retry_at_ms
                    && claims::may_order(state, bounds, now_ms, short_id(&engine.id)),
                failed_orders: failed.count,
                requests: engine.total_load().requests,
                unhealthy: engine.is_unhealthy(now_ms),
            }
        })
        .collect()
}

/// Maximum number of engines that load at the same time: as many as needed for all to have the
/// version in time.
#[must_use]
pub fn max_concurrent_loads(gateway: &Gateway, state: &State, now_ms: u64, model: &str) -> usize {
    let version = state.weights.get(model).map_or(0, NamedVersions::newest);
    rollout::max_concurrent_loads(&candidates(gateway, state, now_ms, model), version)
}
