//! Probes upstreams that could not be reached.
//!
//! A probe opens a connection without sending a request: requests that may run only once are
//! risked neither on an unreachable upstream, nor on idle connections while an upstream is silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::sleep;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::gateway::kernel::Gateway;

/// Time between probes of an upstream.
const PROBE_PERIOD: Duration = Duration::from_millis(400);

/// Probes until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    while gateway.phase() != BoxPhase::Stopped {
        sleep(PROBE_PERIOD).await;
        for (id, address) in unreachable(&gateway) {
            tokio::spawn(probe(gateway.clone(), id, address));
        }
    }
}

fn unreachable(gateway: &Gateway) -> Vec<(String, SocketAddr)> {
    let mut state = gateway.state();
    if let Some(silent_since_ms) = state.upstreams.mark_silent_unreachable(now_ms()) {
        gateway.connections.close_all_idle(silent_since_ms);
    }
    let unreachable = state
        .upstreams
        .active()
        .filter(|upstream| upstream.is_unreachable() && !upstream.is_superseded());
    unreachable.map(|upstream| (upstream.id.clone(), upstream.entry.address)).collect()
}

async fn probe(gateway: Arc<Gateway>, id: String, address: SocketAddr) {
    gateway.connections.close_idle_to(&id);
    let Ok(connection) = gateway.connections.check_out(&id, address).await else {
        return;
    };
    gateway.connections.add_idle(&id, connection);
    if let Some(upstream) = gateway.state().upstreams.get_mut(&id) {
        upstream.mark_reachable();
    }
    info!(target: "reach", "event=upstream_reached upstream={id}");
    gateway.capacity_changed.notify_waiters();
}
