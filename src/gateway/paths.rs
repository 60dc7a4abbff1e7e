//! Opens connections to upstreams: directly, or through a peer if that fails.
//!
//! An idle connection may have gone silent without a sign, with all others of the box. A request that
//! may run only once is lost on it, so it gets a new one unless data has arrived just before.
//!
//! A direct connection that is not established soon gets a tunnel as a competitor, so that a request
//! does not wait for the connect timeout. Which of them was faster decides how later connections to
//! the upstream are opened, until a probe establishes a direct one (`reachability`).

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::gateway::connections::{Connection, NewConnection};
use crate::gateway::decisions::configuration::RetryPolicy;
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::kernel::Gateway;
use crate::gateway::tunnels::{self, Purpose, TunnelError};

/// Time after the last data from any upstream within which idle connections are taken to work.
const TRUSTED_MS: u64 = 200;
/// Head start of a direct connection before a tunnel: several round trips between halls.
const DIRECT_HEAD_START: Duration = Duration::from_millis(100);

/// Takes an idle connection to an upstream, or opens one.
///
/// # Errors
/// Fails when no connection can be established in time.
pub async fn connect(
    gateway: &Gateway,
    id: &str,
    address: SocketAddr,
    retry_policy: RetryPolicy,
) -> Result<Connection, String> {
    let is_trusted = now_ms() < gateway.last_receive_ms.load(Ordering::Relaxed) + TRUSTED_MS;
    if is_trusted || retry_policy.may_retry() {
        while let Some(connection) = gateway.connections.take_idle(id) {
            if gateway.state().is_path_usable(now_ms(), connection.path) {
                return Ok(connection);
            }
        }
    }
    open(gateway, id, address).await.map(|(connection, _)| connection)
}

async fn open(gateway: &Gateway, id: &str, address: SocketAddr) -> Result<NewConnection, String> {
    if needs_tunnel(gateway, id) {
        match tunnels::open(gateway, id, Purpose::Requests).await {
            Ok(connection) => return Ok(connection),
            Err(TunnelError::NoPeer) => {}
            Err(error) => return Err(error.to_string()),
        }
    }
    let mut direct = pin!(gateway.connections.open(address));
    let mut tunnel = pin!(tunnels::open(gateway, id, Purpose::Requests));
    let direct_error = match timeout(DIRECT_HEAD_START, &mut direct).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => error,
        Err(_) => tokio::select! {
            direct_end = &mut direct => match direct_end {
                Ok(connection) => return Ok(connection),
                Err(error) => error,
            },
            tunnel_end = &mut tunnel => {
                if let Ok(connection) = tunnel_end {
                    record_tunnel(gateway, id);
                    return Ok(connection);
                }
                return direct.await.map_err(|error| error.to_string());
            }
        },
    };
    let connection = tunnel.await.map_err(|_| direct_error.to_string())?;
    record_tunnel(gateway, id);
    Ok(connection)
}

/// Whether this box is known not to reach an upstream itself.
pub fn needs_tunnel(gateway: &Gateway, id: &str) -> bool {
    let state = gateway.state();
    state.reach.is_cut_off() || state.upstreams.get(id).is_some_and(Upstream::needs_tunnel)
}

/// Records that a peer reaches an upstream to which this box cannot open connections.
pub fn record_tunnel(gateway: &Gateway, id: &str) {
    if let Some(upstream) = gateway.state().upstreams.get_mut(id) {
        upstream.record_tunnel();
    }
    info!(target: "reach", "event=upstream_reached_by_peer upstream={id}");
    gateway.probe_now.notify_one();
    gateway.capacity_changed.notify_waiters();
}
