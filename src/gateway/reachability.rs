//! Probes upstreams to which this box could not open connections, and finds out whether it is cut
//! off from all of them.
//!
//! A probe opens a connection without sending a request: requests that may run only once are
//! risked neither on an unreachable upstream, nor on idle connections while an upstream is silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::{join, join_all};
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::info;
use tokio::time::{sleep, timeout};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::gateway::connections::NewConnection;
use crate::gateway::decisions::reach::{Probe, Reach, draw_probes, unreached_halls};
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::kernel::Gateway;
use crate::gateway::paths;
use crate::gateway::tunnels::{self, Purpose};
use crate::sync::locked;

/// Shortest time between rounds of probes.
const MIN_PROBE_PERIOD: Duration = Duration::from_millis(50);
/// Time after that until the next round, unless an upstream is found out of reach.
const PROBE_WAIT: Duration = Duration::from_millis(350);
/// Timeout of a probe: many round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Other upstreams that are tried to find out whether this box reaches any.
const CONTROL_PROBES: usize = 3;
/// Time for which peers are told that this box reaches no upstream of a hall, without another look.
const UNREACHED_MS: u64 = 400;

/// Probes until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    while gateway.phase() != BoxPhase::Stopped {
        sleep(MIN_PROBE_PERIOD).await;
        let _ = timeout(PROBE_WAIT, gateway.probe_now.notified()).await;
        probe_round(&gateway).await;
    }
}

async fn probe_round(gateway: &Arc<Gateway>) {
    let round = next_probes(gateway);
    if round.is_empty() && gateway.state().reach == Reach::default() {
        return;
    }
    let probes = round.iter().map(|next| probe(gateway, next));
    let (reached, control) = join(join_all(probes), async {
        if gateway.state().upstreams.missed_count() == 0 {
            return None;
        }
        reaches_control(gateway, None).await
    })
    .await;
    record_unreached_halls(gateway, &round);
    let any_reached = control == Some(true) || reached.contains(&true);
    let changed = {
        let mut state = gateway.state();
        let missed = state.upstreams.missed_count();
        state.reach.update(missed, any_reached)
    };
    if changed {
        record_reach(gateway);
    }
}

/// Applies what the probes of a round show of the upstreams about which no peer was asked.
fn record_unreached_halls(gateway: &Gateway, round: &[Probe]) {
    let mut state = gateway.state();
    let is_missed =
        |probe: &Probe| state.upstreams.get(&probe.id).is_some_and(Upstream::is_known_unreachable);
    for hall in unreached_halls(round, is_missed) {
        let is_probed = |id: &str| round.iter().any(|probe| probe.id == id);
        state.upstreams.record_hall_unreached(hall, is_probed);
    }
}

/// Applies that this box is cut off from all upstreams, or is no more.
fn record_reach(gateway: &Gateway) {
    let is_cut_off = gateway.state().reach.is_cut_off();
    info!(target: "reach", "event=reach_changed cut_off={is_cut_off}");
    gateway.cut_off.send_replace(is_cut_off);
    if is_cut_off {
        metrics::counter!("coursestile_cut_offs_total").increment(1);
        let (state, now_ms) = (gateway.state(), now_ms());
        gateway.connections.close_expired(now_ms, |path| state.is_path_usable(now_ms, path));
    }
    gateway.gossip_now.notify_one();
}

/// Probes of upstreams to which this box could not open connections, or of some if they are many.
fn next_probes(gateway: &Gateway) -> Vec<Probe> {
    let mut state = gateway.state();
    if let Some(silent_since_ms) = state.upstreams.mark_silent_unreachable(now_ms()) {
        gateway.connections.close_all_idle(silent_since_ms);
    }
    let is_cut_off = state.reach.is_cut_off();
    draw_probes(state.upstreams.active(), is_cut_off, &mut fastrand::Rng::new())
}

/// Probes an upstream; returns whether this box reaches it itself.
async fn probe(gateway: &Gateway, Probe { id, address, asks_peers, .. }: &Probe) -> bool {
    if let Some((connection, _)) = open_directly(gateway, *address).await {
        gateway.connections.close_idle_to(id);
        gateway.connections.add_idle(id, connection);
        gateway.state().upstreams.record_reached(id);
        info!(target: "reach", "event=upstream_reached upstream={id}");
        gateway.capacity_changed.notify_waiters();
        return true;
    }
    let is_unreachable = gateway.state().upstreams.get(id).is_some_and(Upstream::is_unreachable);
    if is_unreachable && *asks_peers {
        probe_through_peer(gateway, id).await;
    }
    false
}

async fn open_directly(gateway: &Gateway, address: SocketAddr) -> Option<NewConnection> {
    gateway.peer_traffic.probes.fetch_add(1, Ordering::Relaxed);
    timeout(PROBE_TIMEOUT, gateway.connections.open(address)).await.ok()?.ok()
}

async fn probe_through_peer(gateway: &Gateway, id: &str) {
    match tunnels::open(gateway, id, Purpose::Requests).await {
        Ok((connection, _)) => {
            gateway.connections.close_idle_to(id);
            gateway.connections.add_idle(id, connection);
            paths::record_tunnel(gateway, id);
        }
        Err(_) => {
            if let Some(upstream) = gateway.state().upstreams.get_mut(id) {
                upstream.record_probe_failure();
            }
        }
    }
}

/// Whether this box reaches another upstream than `except` itself; `None` if there is none that it
/// is not known to miss. While it does, what it finds of that one is no fault of its own links. Peers
/// are asked for those that it does not reach.
pub async fn reaches_control(gateway: &Arc<Gateway>, except: Option<&str>) -> Option<bool> {
    let (reaches, missed) = probe_controls(gateway, except).await;
    for id in missed {
        let gateway = gateway.clone();
        tokio::spawn(async move { probe_through_peer(&gateway, &id).await });
    }
    reaches
}

/// As [`reaches_control`], for a peer that asks for a tunnel to the upstream `id`. No peer is asked
/// meanwhile: when a hall is cut off from others, each of the asked would ask others in turn.
pub async fn reaches_control_for_peer(gateway: &Gateway, id: &str) -> Option<bool> {
    let hall = gateway.state().upstreams.get(id).map(|upstream| upstream.entry.hall.clone())?;
    if locked(&gateway.unreached_halls).get(&hall).is_some_and(|until_ms| now_ms() < *until_ms) {
        return Some(false);
    }
    let (reaches, _) = probe_controls(gateway, Some(id)).await;
    if reaches == Some(false) {
        locked(&gateway.unreached_halls).insert(hall, now_ms() + UNREACHED_MS);
    }
    reaches
}

/// Probes some upstreams, those of `except`'s hall if there are others. Returns whether one was reached,
/// and those that were not before that.
async fn probe_controls(gateway: &Gateway, except: Option<&str>) -> (Option<bool>, Vec<String>) {
    let mut missed = Vec::new();
    let mut probes: FuturesUnordered<_> = controls(gateway, except)
        .into_iter()
        .map(async |(id, address)| (id, open_directly(gateway, address).await))
        .collect();
    while let Some((id, opened)) = probes.next().await {
        if let Some((connection, _)) = opened {
            gateway.connections.add_idle(&id, connection);
            return (Some(true), missed);
        }
        missed.push(id);
    }
    ((!missed.is_empty()).then_some(false), missed)
}

/// Upstreams that this box is not known to miss, in the hall of `except` if it has others.
fn controls(gateway: &Gateway, except: Option<&str>) -> Vec<(String, SocketAddr)> {
    let state = gateway.state();
    let hall = except.and_then(|id| state.upstreams.get(id)).map(|known| &known.entry.hall);
    let others = state.upstreams.current().filter(|upstream| {
        !upstream.needs_tunnel() && !upstream.is_unreachable() && Some(&*upstream.id) != except
    });
    let in_hall = others.clone().filter(|upstream| Some(&upstream.entry.hall) == hall);
    let mut drawn: Vec<&Upstream> = fastrand::choose_multiple(in_hall, CONTROL_PROBES);
    if drawn.is_empty() {
        drawn = fastrand::choose_multiple(others, CONTROL_PROBES);
    }
    drawn.into_iter().map(|upstream| (upstream.id.clone(), upstream.entry.address)).collect()
}
