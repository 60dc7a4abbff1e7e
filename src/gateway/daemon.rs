//! Life cycle of the gateway process: start, serve, graceful stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::kernel::Gateway;
use crate::gateway::settings::Settings;
use crate::gateway::{
    catch_up, follow_caches, follow_metadata, gossip, leader, leadership, listener, members,
    peer_traffic, quarantine, reachability, store_updates, stored_versions, tunnels,
};

/// Time for which a stopping box still accepts requests: the load balancer checks it every second
/// and stops sending after two refusals; each answer tells its client to close the connection.
const LEAVE_MS: u64 = 2500;
/// Margin before the end of the time in which the box must stop.
const STOP_MARGIN_MS: u64 = 400;
/// Interval at which a stopping box checks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Runs all tasks of the gateway until [`stop`] has ended.
///
/// # Errors
/// Fails when an address cannot be bound.
pub async fn run(gateway: Arc<Gateway>) -> Result<()> {
    let settings = &gateway.settings;
    let clients = listen(settings.clients).await?;
    let ready = listen(settings.ready).await?;
    let peers = listen(settings.peers).await?;
    let tunnels = listen(settings.tunnels).await?;
    let socket = UdpSocket::bind(settings.peers).await;
    let socket = socket.map_err(|error| bind_error(settings.peers, &error))?;
    let socket = Arc::new(socket);
    // Fails only if the gateway is run twice, where the first socket remains in use.
    let _ = gateway.peer_socket.set(socket.clone());
    info!(target: "daemon", "event=started box={} hall={} version={}",
        settings.name, settings.hall, env!("CARGO_PKG_VERSION"));
    if let Some(address) = settings.metrics {
        match listen(address).await {
            Ok(metrics) => {
                tokio::spawn(listener::serve_metrics(gateway.clone(), metrics));
            }
            Err(error) => warn!(target: "daemon", "event=no_metrics cause=\"{error}\""),
        }
    }
    tokio::spawn(listener::serve_readiness(gateway.clone(), ready));
    tokio::spawn(follow_metadata::run(gateway.clone()));
    tokio::spawn(follow_metadata::tick(gateway.clone()));
    tokio::spawn(follow_caches::run(gateway.clone()));
    tokio::spawn(gossip::receive(gateway.clone(), socket.clone()));
    tokio::spawn(gossip::send(gateway.clone(), socket.clone(), now_ms()));
    tokio::spawn(peer_traffic::run(gateway.clone()));
    tokio::spawn(catch_up::run(gateway.clone()));
    tokio::spawn(catch_up::serve(gateway.clone(), peers));
    tokio::spawn(store_updates::subscribe(gateway.clone()));
    tokio::spawn(reachability::run(gateway.clone()));
    tokio::spawn(tunnels::serve(gateway.clone(), tunnels));
    tokio::spawn(leadership::run(gateway.clone(), socket.clone()));
    tokio::spawn(leader::run(gateway.clone(), socket.clone()));
    tokio::spawn(leader::free_store_space(gateway.clone(), socket.clone()));
    tokio::spawn(leader::prune_claims(gateway.clone(), socket));
    tokio::spawn(members::run(gateway.clone()));
    tokio::spawn(stored_versions::run(gateway.clone()));
    tokio::spawn(quarantine::maintain_stored(gateway.clone()));
    tokio::spawn(listener::accept_clients(gateway.clone(), clients));
    gateway.wait_for_phase(BoxPhase::Stopped).await;
    info!(target: "daemon", "event=stopped box={}", gateway.settings.name);
    Ok(())
}

/// Stops gracefully: running requests are completed as far as the time to stop allows.
pub async fn stop(gateway: Arc<Gateway>) {
    let stop_at_ms = now_ms() + gateway.settings.bounds.stop_ms - STOP_MARGIN_MS;
    info!(target: "daemon", "event=stopping box={}", gateway.settings.name);
    gateway.enter(BoxPhase::Leaving);
    gateway.gossip_now.notify_one();
    sleep(Duration::from_millis(LEAVE_MS)).await;
    gateway.enter(BoxPhase::Draining);
    // Lets new connections send their first request, and idle ones close.
    sleep(listener::FIRST_REQUEST_TIMEOUT + STOP_POLL).await;
    while is_busy(&gateway) && now_ms() < stop_at_ms {
        sleep(STOP_POLL).await;
    }
    let requests_in_flight = gateway.state().requests_in_flight;
    if requests_in_flight > 0 {
        warn!(target: "daemon",
            "event=requests_cut count={requests_in_flight} reason=time_to_stop_is_over");
    }
    // Lets the last answers reach the clients.
    sleep(STOP_POLL).await;
    leadership::resign(&gateway).await;
    gateway.enter(BoxPhase::Stopped);
}

/// Whether requests are in flight, clients have not read their responses yet, or peers use tunnels. They
/// close those that are idle once they hear that this box is stopping.
fn is_busy(gateway: &Gateway) -> bool {
    let connections = [&gateway.client_connections, &gateway.tunnels_kept];
    gateway.state().requests_in_flight > 0
        || connections.iter().any(|open| open.load(Ordering::Relaxed) > 0)
}

/// Logs whether the settings have changed. Changes apply only at the next start.
pub fn reload(gateway: &Gateway, settings: &Settings) {
    if *settings == gateway.settings {
        info!(target: "daemon", "event=reloaded changed=false");
    } else {
        info!(target: "daemon", "event=reloaded changed=true applied=at_next_start");
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| bind_error(address, &error))
}

fn bind_error(address: std::net::SocketAddr, error: &std::io::Error) -> Error {
    Error::Listen(address.to_string(), error.to_string())
}
