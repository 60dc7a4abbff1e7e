//! Life cycle of the gateway process: start, serve, graceful stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use crate::box_phase::BoxPhase;
use crate::client_connections::bound_receive_buffers;
use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::stopping::PlannedStop;
use crate::gateway::kernel::Gateway;
use crate::gateway::settings::Settings;
use crate::gateway::{
    catch_up, follow_caches, follow_metadata, gossip, leader, leadership, listener, members,
    peer_traffic, quarantine, reachability, store_updates, stored_versions, tunnels,
};
use crate::supervisor;

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
    bound_receive_buffers(&clients);
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
                supervisor::spawn_single(
                    "metrics",
                    listener::serve_metrics(gateway.clone(), metrics),
                );
            }
            Err(error) => warn!(target: "daemon", "event=no_metrics cause=\"{error}\""),
        }
    }
    spawn_tasks(&gateway, &socket);
    supervisor::spawn_single("readiness", listener::serve_readiness(gateway.clone(), ready));
    supervisor::spawn_single("peer_queries", catch_up::serve(gateway.clone(), peers));
    supervisor::spawn_single("tunnels", tunnels::serve(gateway.clone(), tunnels));
    supervisor::spawn_single("clients", listener::accept_clients(gateway.clone(), clients));
    gateway.wait_for_phase(BoxPhase::Stopped).await;
    info!(target: "daemon", "event=stopped box={}", gateway.settings.name);
    Ok(())
}

/// Spawns the tasks that are started again after a panic.
fn spawn_tasks(gateway: &Arc<Gateway>, socket: &Arc<UdpSocket>) {
    keep(gateway, "follow_metadata", follow_metadata::run);
    keep(gateway, "tick", follow_metadata::tick);
    keep(gateway, "follow_caches", follow_caches::run);
    keep(gateway, "peer_traffic", peer_traffic::run);
    keep(gateway, "catch_up", catch_up::run);
    keep(gateway, "store_updates", store_updates::subscribe);
    keep(gateway, "reachability", reachability::run);
    keep(gateway, "members", members::run);
    keep(gateway, "stored_versions", stored_versions::run);
    keep(gateway, "stored_quarantine", quarantine::maintain_stored);
    let shared = socket.clone();
    keep(gateway, "gossip_received", move |gateway| gossip::receive(gateway, shared.clone()));
    let (shared, started_at_ms) = (socket.clone(), now_ms());
    keep(gateway, "gossip_sent", move |gateway| {
        gossip::send(gateway, shared.clone(), started_at_ms)
    });
    let shared = socket.clone();
    keep(gateway, "leadership", move |gateway| leadership::run(gateway, shared.clone()));
    let shared = socket.clone();
    keep(gateway, "weights", move |gateway| leader::run(gateway, shared.clone()));
    let shared = socket.clone();
    keep(gateway, "store_space", move |gateway| leader::free_store_space(gateway, shared.clone()));
    let shared = socket.clone();
    keep(gateway, "claims", move |gateway| leader::prune_claims(gateway, shared.clone()));
}

fn keep<F: Future<Output = ()> + Send + 'static>(
    gateway: &Arc<Gateway>,
    task: &'static str,
    run: impl Fn(Arc<Gateway>) -> F + Send + 'static,
) {
    let gateway = gateway.clone();
    supervisor::spawn(task, move || run(gateway.clone()));
}

/// Stops gracefully: running requests are completed as far as the time to stop allows.
pub async fn stop(gateway: Arc<Gateway>) {
    let stop_ms = gateway.settings.bounds.stop_ms.saturating_sub(STOP_MARGIN_MS);
    let stop = *gateway.planned_stop.get_or_init(|| PlannedStop::new(now_ms(), stop_ms));
    info!(target: "daemon", "event=stopping box={}", gateway.settings.name);
    gateway.enter(BoxPhase::Leaving);
    gateway.gossip_now.notify_one();
    sleep(Duration::from_millis(LEAVE_MS)).await;
    gateway.enter(BoxPhase::Draining);
    // Lets new connections send their first request, and idle ones close.
    sleep(listener::FIRST_REQUEST_TIMEOUT + STOP_POLL).await;
    while is_busy(&gateway) && now_ms() < stop.ends_at_ms {
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
