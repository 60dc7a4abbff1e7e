//! A loopback TCP proxy that can disrupt the connections through it.

use std::io::Result;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::plan::LinkState;

/// Delay of each chunk of data on a delayed connection.
pub const LINK_DELAY: Duration = Duration::from_millis(120);
/// Largest chunk of data that is forwarded at once.
const BUFFER_BYTES: usize = 4096;

/// State that applies to all connections of a proxy.
#[derive(Clone, Copy, Default)]
struct ProxyState {
    link: LinkState,
    /// Number of calls of `Proxy::silence`. Connections accepted at a lower count are silent for
    /// good.
    silence_count: u64,
}

/// A proxy in front of one address.
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: String,
    state_sender: watch::Sender<ProxyState>,
    acceptor: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy for `target` on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(target: &str) -> Result<Self> {
        Self::start_at("127.0.0.1:0", target).await
    }

    /// Starts a proxy for `target` at a given address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start_at(address: &str, target: &str) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?.to_string();
        let state_sender = watch::Sender::<ProxyState>::default();
        let (state, target) = (state_sender.subscribe(), target.to_owned());
        let acceptor = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward_connection(client, target.clone(), state.clone()));
            }
        });
        Ok(Self { address, state_sender, acceptor })
    }

    /// Sets the state of all current and future connections.
    pub fn set(&self, link: LinkState) {
        self.state_sender.send_modify(|state| state.link = link);
    }

    /// Silences the connections that are open now, for good. Neither end is notified, and new
    /// connections work.
    pub fn silence(&self) {
        self.state_sender.send_modify(|state| state.silence_count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

async fn forward_connection(client: TcpStream, target: String, state: watch::Receiver<ProxyState>) {
    let count_at_start = state.borrow().silence_count;
    // With a linger time of zero, the client sees a reset rather than an orderly close.
    if SockRef::from(&client).set_linger(Some(Duration::ZERO)).is_err() {
        return;
    }
    if state.borrow().link == LinkState::Reset {
        return;
    }
    let Ok(target_stream) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), target_stream.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_target, to_target) = target_stream.into_split();
    let forwarding = async {
        tokio::join!(
            forward_bytes(from_client, to_target, state.clone(), true),
            forward_bytes(from_target, to_client, state.clone(), false),
        )
    };
    tokio::pin!(forwarding);
    let (mut reset_state, mut silence_state) = (state.clone(), state.clone());
    let goes_silent = tokio::select! {
        _ = &mut forwarding => false,
        _ = reset_state.wait_for(|state| state.link == LinkState::Reset) => false,
        _ = silence_state.wait_for(|state| state.silence_count > count_at_start) => true,
    };
    // Both sockets stay open without being read until the proxy is dropped.
    while goes_silent && silence_state.changed().await.is_ok() {}
}

/// Forwards data in one direction until it ends.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<ProxyState>,
    from_client: bool,
) -> Result<()> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let is_open = |state: &ProxyState| {
            !matches!((state.link, from_client), (LinkState::Silent, _) | (LinkState::OneWay, true))
        };
        if state.wait_for(is_open).await.is_err() {
            return Ok(());
        }
        if state.borrow().link == LinkState::Delayed {
            tokio::time::sleep(LINK_DELAY).await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
