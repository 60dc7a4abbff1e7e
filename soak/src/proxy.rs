//! A loopback proxy that spoils the connections which pass it.

use std::io::Result;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::plan::Link;

/// How late each piece of a delayed connection comes.
pub const DELAY: Duration = Duration::from_millis(120);
/// Most bytes that are passed on at once.
const PIECE_BYTES: usize = 4096;

/// What holds for the connections of a proxy.
#[derive(Clone, Copy, Default)]
struct Condition {
    link: Link,
    /// Connections that are older than this count are silent for good.
    silenced: u64,
}

/// A proxy before one address.
pub struct Proxy {
    /// Its own address.
    pub address: String,
    condition: watch::Sender<Condition>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy before `target`.
    ///
    /// # Errors
    /// Fails when no address can be had.
    pub async fn start(target: &str) -> Result<Self> {
        Self::start_at("127.0.0.1:0", target).await
    }

    /// Starts a proxy at an address of choice.
    ///
    /// # Errors
    /// Fails when the address cannot be had.
    pub async fn start_at(address: &str, target: &str) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?.to_string();
        let condition = watch::Sender::<Condition>::default();
        let (state, target) = (condition.subscribe(), target.to_owned());
        let accepting = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, target.clone(), state.clone()));
            }
        });
        Ok(Self { address, condition, accepting })
    }

    /// Spoils connections, or ends that.
    pub fn set(&self, link: Link) {
        self.condition.send_modify(|condition| condition.link = link);
    }

    /// Silences the connections that are open now, for good. Neither end is told,
    /// and new connections work.
    pub fn silence(&self) {
        self.condition.send_modify(|condition| condition.silenced += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn pass(near: TcpStream, target: String, state: watch::Receiver<Condition>) {
    let begun = state.borrow().silenced;
    // The far side sees a reset, and not an end in good order.
    if SockRef::from(&near).set_linger(Some(Duration::ZERO)).is_err() {
        return;
    }
    if state.borrow().link == Link::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (from_near, to_near) = near.into_split();
    let (from_far, to_far) = far.into_split();
    let copying = async {
        tokio::join!(
            copy(from_near, to_far, state.clone(), true),
            copy(from_far, to_near, state.clone(), false),
        )
    };
    tokio::pin!(copying);
    let (mut reset, mut silenced) = (state.clone(), state.clone());
    let goes_silent = tokio::select! {
        _ = &mut copying => false,
        _ = reset.wait_for(|condition| condition.link == Link::Reset) => false,
        _ = silenced.wait_for(|condition| condition.silenced > begun) => true,
    };
    // Both sockets stay open, unread, until the proxy is gone.
    while goes_silent && silenced.changed().await.is_ok() {}
}

/// Passes pieces on in one direction until it ends.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<Condition>,
    from_near: bool,
) -> Result<()> {
    let mut piece = [0; PIECE_BYTES];
    loop {
        let length = from.read(&mut piece).await?;
        let moves = |condition: &Condition| {
            !matches!((condition.link, from_near), (Link::Silent, _) | (Link::OneWay, true))
        };
        if state.wait_for(moves).await.is_err() {
            return Ok(());
        }
        if state.borrow().link == Link::Delayed {
            tokio::time::sleep(DELAY).await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..length]).await?;
    }
}
