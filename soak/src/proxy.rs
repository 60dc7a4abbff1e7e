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
const DELAY: Duration = Duration::from_millis(120);
/// Most bytes that are passed on at once.
const PIECE_BYTES: usize = 4096;

/// A proxy before one address.
pub struct Proxy {
    /// Its own address.
    pub address: String,
    link: watch::Sender<Link>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy before `target`.
    ///
    /// # Errors
    /// Fails when no address can be had.
    pub async fn start(target: &str) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let link = watch::Sender::new(Link::Sound);
        let (state, target) = (link.subscribe(), target.to_owned());
        let accepting = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, target.clone(), state.clone()));
            }
        });
        Ok(Self { address, link, accepting })
    }

    /// Spoils connections, or ends that.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn pass(near: TcpStream, target: String, state: watch::Receiver<Link>) {
    // The far side sees a reset, and not an end in good order.
    if SockRef::from(&near).set_linger(Some(Duration::ZERO)).is_err() {
        return;
    }
    if *state.borrow() == Link::Reset {
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
    let mut reset = state.clone();
    tokio::select! {
        _ = copying => {}
        _ = reset.wait_for(|link| *link == Link::Reset) => {}
    }
}

/// Passes pieces on in one direction until it ends.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<Link>,
    from_near: bool,
) -> Result<()> {
    let mut piece = [0; PIECE_BYTES];
    loop {
        let length = from.read(&mut piece).await?;
        let moves =
            |link: &Link| !matches!((link, from_near), (Link::Silent, _) | (Link::OneWay, true));
        if state.wait_for(moves).await.is_err() {
            return Ok(());
        }
        if *state.borrow() == Link::Delayed {
            tokio::time::sleep(DELAY).await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..length]).await?;
    }
}
