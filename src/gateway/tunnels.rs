//! Tunnels: connections to upstreams that lead through a peer.
//!
//! A box that cannot open a connection to an upstream asks a peer to open one, by an HTTP upgrade.
//! The peer connects to the upstream that it knows under the given id, and from then on only
//! forwards bytes. The request stays the business of the box that took it: its deadline, its account,
//! its attempts and its place in the retry budget, its load and what its response shows of the
//! upstream. A tunnel leads to an upstream and never to another peer.
//!
//! The end of a connection may be all that marks the end of a response, so a tunnel keeps the
//! difference between a close and a reset; any other end, also that of the peer, is a reset.

use std::convert::Infallible;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::upgrade::{self, Upgraded};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::gateway::connections::{NewConnection, Path, set_socket_options};
use crate::gateway::kernel::Gateway;
use crate::gateway::{liveness, reachability};
use crate::names::short_id;

/// Name of the protocol to which a connection between boxes is upgraded.
const PROTOCOL: HeaderValue = HeaderValue::from_static("coursestile-tunnel");
/// Id of the upstream to which the tunnel is to lead.
const UPSTREAM: HeaderName = HeaderName::from_static("coursestile-upstream");
/// Asks a peer that the upstream refuses whether it replies on the connections that it has.
const CRASH_CHECK: HeaderName = HeaderName::from_static("coursestile-crash-check");
/// Longest time for a peer to answer: connecting to it, and its connecting to the upstream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for a peer to connect to the upstream.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without an answer after which another peer is asked as well.
const HEDGE_AFTER: Duration = Duration::from_millis(50);
/// Longest time for the request on a connection of a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Most tunnels that a box keeps for its peers; each takes two descriptors.
const MAX_TUNNELS: usize = 1000;
/// Pause after `accept` failed, usually because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why there is no tunnel; a later one is better founded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum TunnelError {
    /// no peer keeps a tunnel
    NoPeer,
    /// no peer reaches the upstream
    UpstreamUnreachable,
    /// the upstream refuses connections from peers as well
    UpstreamRefused,
    /// the upstream refuses connections from peers, but replies on older ones
    UpstreamRuns,
}

/// What a tunnel is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To send requests.
    Requests,
    /// To find out whether the upstream has crashed, which may take longer if it refuses connections.
    CrashCheck,
}

/// Opens a tunnel to an upstream, through one peer or another; the next one is asked when the one
/// before declines or takes long. That an upstream cannot be reached is taken from no single peer,
/// since the links of that peer may be cut.
///
/// # Errors
/// Fails with what the peers found.
pub async fn open(
    gateway: &Gateway,
    upstream_id: &str,
    purpose: Purpose,
) -> Result<NewConnection, TunnelError> {
    let mut peers = {
        let state = gateway.state();
        let hall = state.upstreams.get(upstream_id).map(|upstream| short_id(&upstream.entry.hall));
        state.peers.tunnel_peers(now_ms(), hall.unwrap_or_default(), &mut fastrand::Rng::new())
    }
    .into_iter();
    let mut asked = FuturesUnordered::new();
    let mut found = TunnelError::NoPeer;
    asked.extend(peers.next().map(|peer| ask(gateway, peer, upstream_id, purpose)));
    loop {
        let end = tokio::select! {
            Some(end) = asked.next() => Some(end),
            () = sleep(HEDGE_AFTER), if peers.len() > 0 => None,
            else => return Err(found),
        };
        match end {
            Some(Ok(connection)) => return Ok(connection),
            Some(Err(error)) => found = found.max(error),
            None => {}
        }
        asked.extend(peers.next().map(|peer| ask(gateway, peer, upstream_id, purpose)));
    }
}

/// Asks a peer for a tunnel.
async fn ask(
    gateway: &Gateway,
    peer: IpAddr,
    upstream_id: &str,
    purpose: Purpose,
) -> Result<NewConnection, TunnelError> {
    gateway.peer_traffic.tunnels_asked.fetch_add(1, Ordering::Relaxed);
    let error = match timeout(OPEN_TIMEOUT, open_through(gateway, peer, upstream_id, purpose)).await
    {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => error,
        Err(_) => {
            gateway.state().peers.note_unanswered(now_ms(), peer);
            return Err(TunnelError::NoPeer);
        }
    };
    debug!(target: "tunnels", "event=tunnel_declined peer={peer} cause=\"{error}\"");
    gateway.state().peers.note_declined_tunnel(now_ms(), peer);
    Err(match error {
        OpenError::Declined(StatusCode::CONFLICT) => TunnelError::UpstreamRuns,
        OpenError::Declined(StatusCode::BAD_GATEWAY) => TunnelError::UpstreamRefused,
        OpenError::Declined(StatusCode::GATEWAY_TIMEOUT) => TunnelError::UpstreamUnreachable,
        OpenError::Declined(_) | OpenError::Io(_) => TunnelError::NoPeer,
    })
}

#[derive(Debug, displaydoc::Display)]
enum OpenError {
    /// {0}
    Io(io::Error),
    /// status {0}
    Declined(StatusCode),
}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<hyper::Error> for OpenError {
    fn from(error: hyper::Error) -> Self {
        Self::Io(io::Error::other(error))
    }
}

async fn open_through(
    gateway: &Gateway,
    peer: IpAddr,
    upstream_id: &str,
    purpose: Purpose,
) -> Result<NewConnection, OpenError> {
    let address = SocketAddr::new(peer, gateway.settings.tunnels.port());
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    let (mut sender, driver) = client::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver.with_upgrades());
    let mut request = Request::new(Empty::<Bytes>::new());
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("peer"));
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, PROTOCOL);
    headers.insert(UPSTREAM, HeaderValue::from_str(upstream_id).map_err(io::Error::other)?);
    if purpose == Purpose::CrashCheck {
        headers.insert(CRASH_CHECK, HeaderValue::from_static("1"));
    }
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(OpenError::Declined(response.status()));
    }
    let upgraded = upgrade::on(response).await?;
    Ok(gateway.connections.start(TokioIo::new(upgraded), Path::Tunnel(peer)).await?)
}

/// Keeps tunnels for peers until the box stops.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    while gateway.phase() != BoxPhase::Stopped {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_peer(gateway.clone(), stream));
            }
            Err(error) => {
                debug!(target: "tunnels", "event=accept_failed cause=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer(gateway: Arc<Gateway>, stream: TcpStream) {
    if let Err(error) = set_socket_options(&stream) {
        debug!(target: "tunnels", "event=socket_option_refused cause=\"{error}\"");
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = gateway.clone();
        async move {
            let mut response = Response::new(Empty::<Bytes>::new());
            *response.status_mut() = match begin(&gateway, request).await {
                Ok(()) => {
                    let headers = response.headers_mut();
                    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
                    headers.insert(header::UPGRADE, PROTOCOL);
                    StatusCode::SWITCHING_PROTOCOLS
                }
                Err(status) => status,
            };
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = server::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(REQUEST_TIMEOUT).keep_alive(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service).with_upgrades();
    if let Err(error) = connection.await {
        debug!(target: "tunnels", "event=peer_connection_broken cause=\"{error}\"");
    }
}

/// Connects to the upstream that a peer asks for. The tunnel begins once the peer has the answer.
///
/// # Errors
/// Fails with the status that tells the peer why there is no tunnel.
async fn begin(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Result<(), StatusCode> {
    if request.headers().get(header::UPGRADE) != Some(&PROTOCOL) {
        return Err(StatusCode::UPGRADE_REQUIRED);
    }
    gateway.peer_traffic.tunnels_served.fetch_add(1, Ordering::Relaxed);
    let id = request.headers().get(UPSTREAM).and_then(|id| id.to_str().ok()).unwrap_or_default();
    let (address, incarnation, is_missed) = {
        let state = gateway.state();
        let upstream = state.upstreams.get(id).ok_or(StatusCode::NOT_FOUND)?;
        let is_missed = upstream.needs_tunnel() || upstream.is_known_unreachable();
        (upstream.entry.address, upstream.incarnation(), is_missed || state.reach.is_cut_off())
    };
    let open = OpenTunnel::begin(&gateway.tunnels_kept);
    let checks_crash = request.headers().contains_key(CRASH_CHECK);
    if is_missed && checks_crash && liveness::replies_on_open(gateway, &incarnation).await {
        return Err(StatusCode::CONFLICT);
    }
    if is_missed || gateway.phase() != BoxPhase::Serving || open.count > MAX_TUNNELS {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let upstream = match timeout(UPSTREAM_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(upstream)) => upstream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            if checks_crash && liveness::replies_on_open(gateway, &incarnation).await {
                return Err(StatusCode::CONFLICT);
            }
            let reaches_others = reachability::reaches_control_for_peer(gateway, id).await;
            let is_reliable = reaches_others.unwrap_or(true);
            let status =
                if is_reliable { StatusCode::BAD_GATEWAY } else { StatusCode::SERVICE_UNAVAILABLE };
            return Err(status);
        }
        Ok(Err(_)) | Err(_) => return Err(StatusCode::GATEWAY_TIMEOUT),
    };
    set_socket_options(&upstream).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let id = id.to_owned();
    tokio::spawn(async move {
        let _open = open;
        if let Err(error) = forward(upgrade::on(request), upstream).await {
            info!(target: "tunnels", "event=tunnel_broken upstream={id} cause=\"{error}\"");
        }
    });
    Ok(())
}

/// Counts a tunnel for as long as this value lives.
struct OpenTunnel {
    kept: Arc<AtomicUsize>,
    /// Number of tunnels, including this one, when it began.
    count: usize,
}

impl OpenTunnel {
    fn begin(kept: &Arc<AtomicUsize>) -> Self {
        let count = kept.fetch_add(1, Ordering::Relaxed) + 1;
        Self { kept: kept.clone(), count }
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.kept.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Forwards bytes between a peer and an upstream until one of them ends the connection.
async fn forward(upgrade: upgrade::OnUpgrade, mut upstream: TcpStream) -> io::Result<()> {
    let upgraded = upgrade.await.map_err(io::Error::other)?;
    let parts = upgraded
        .downcast::<TokioIo<TcpStream>>()
        .map_err(|_: Upgraded| io::Error::other("no TCP connection"))?;
    let mut peer = parts.io.into_inner();
    upstream.write_all(&parts.read_buf).await?;
    for stream in [&peer, &upstream] {
        SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    }
    let (mut peer_reader, mut peer_writer) = peer.split();
    let (mut upstream_reader, mut upstream_writer) = upstream.split();
    let ended = tokio::select! {
        ended = tokio::io::copy(&mut upstream_reader, &mut peer_writer) => ended,
        ended = tokio::io::copy(&mut peer_reader, &mut upstream_writer) => ended,
    };
    ended?;
    peer_writer.shutdown().await?;
    upstream_writer.shutdown().await?;
    for stream in [&peer, &upstream] {
        SockRef::from(stream).set_linger(None)?;
    }
    Ok(())
}
