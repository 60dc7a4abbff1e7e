//! Sockets for messages between boxes.
//!
//! Each box listens on one pull socket and keeps a connection to each peer that it sends to. A
//! message that cannot be sent at once is dropped: every message is either repeated or followed by
//! a timeout that reveals its loss. Connections that have gone silent are detected in `heartbeat`.
//!
//! Messages are encoded as by the push and pull sockets of `nng` over TCP. The listening side uses
//! that library. The sending side does not: closing one of its push sockets while the connection
//! breaks can end the process, and `heartbeat` closes connections just when peers end.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::SinkExt;
use nng::options::{Options, RecvMaxSize};
use nng::{Protocol, Socket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

use crate::error::{Error, Result};
use crate::sync::locked;
use crate::wire::MAX_MESSAGE_BYTES;

/// Capacity of the send buffer for one peer, in messages.
const SEND_BUFFER_LEN: usize = 256;
/// Capacity of the queue of received messages.
const RECEIVE_BUFFER_LEN: usize = 8192;
/// Maximum number of peers to which connections are kept.
const MAX_OPEN_SOCKETS: usize = 128;
/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a connection is established again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// What a push socket sends first, and what it expects from a pull socket.
const PUSH_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
const PULL_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
/// Size of the length before each message, in bytes.
const LENGTH_BYTES: usize = 8;

/// A peer to which messages are sent. Dropping it closes the connection.
struct PeerSocket {
    queue: mpsc::Sender<Bytes>,
    sender: AbortHandle,
    last_used_at: Instant,
}

impl PeerSocket {
    /// Begins to connect to `address`.
    fn open(address: &str) -> Self {
        let (queue, messages) = mpsc::channel(SEND_BUFFER_LEN);
        let sender = tokio::spawn(send_all(address.to_owned(), messages)).abort_handle();
        Self { queue, sender, last_used_at: Instant::now() }
    }
}

impl Drop for PeerSocket {
    fn drop(&mut self) {
        self.sender.abort();
    }
}

/// Connections to peers, with metrics of what is sent.
pub struct PeerSockets {
    /// Addresses to dial instead of a peer's own address, for example those of proxies.
    dial_addresses: BTreeMap<String, String>,
    peers: Mutex<HashMap<String, PeerSocket>>,
}

fn listen_error(address: &str, error: nng::Error) -> Error {
    Error::Listen(address.to_owned(), error.to_string())
}

/// Listens on `address`; returns a queue of the messages received.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn listen(address: &str) -> Result<mpsc::Receiver<Vec<u8>>> {
    let socket = Socket::new(Protocol::Pull0).map_err(|error| listen_error(address, error))?;
    socket
        .set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)
        .and_then(|()| socket.listen(&format!("tcp://{address}")))
        .map_err(|error| listen_error(address, error))?;
    let (sender, receiver) = mpsc::channel(RECEIVE_BUFFER_LEN);
    // `recv` blocks, so it runs on a thread of its own.
    std::thread::spawn(move || {
        while let Ok(message) = socket.recv() {
            if sender.blocking_send(message.as_slice().to_vec()).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

impl PeerSockets {
    /// Creates the sockets' state; a peer whose address is in `dial_addresses` is dialled at the
    /// address given there.
    #[must_use]
    pub fn new(dial_addresses: BTreeMap<String, String>) -> Self {
        Self { dial_addresses, peers: Mutex::default() }
    }

    /// Sends bytes to a peer; drops them if they cannot be sent at once.
    ///
    /// # Panics
    /// Panics outside a tokio runtime.
    pub fn send(&self, address: &str, bytes: &[u8]) {
        let mut peers = locked(&self.peers);
        if !peers.contains_key(address) {
            close_least_recently_used(&mut peers);
            let target = self.dial_addresses.get(address).map_or(address, String::as_str);
            peers.insert(address.to_owned(), PeerSocket::open(target));
        }
        let Some(peer) = peers.get_mut(address) else {
            return;
        };
        peer.last_used_at = Instant::now();
        if peer.queue.try_send(Bytes::copy_from_slice(bytes)).is_ok() {
            let size = bytes.len() as u64;
            metrics::counter!("coursestile_peer_sent_bytes_total").increment(size);
            metrics::counter!("coursestile_peer_sent_messages_total").increment(1);
        } else {
            metrics::counter!("coursestile_peer_dropped_messages_total").increment(1);
        }
    }

    /// Closes the connection to a peer; the next message opens a new one.
    pub fn redial(&self, address: &str) {
        if locked(&self.peers).remove(address).is_some() {
            metrics::counter!("coursestile_peer_redials_total").increment(1);
        }
    }
}

/// Sends all messages of a queue to a peer, over one connection after another. The message that is
/// being sent when a connection breaks is lost.
async fn send_all(address: String, mut messages: mpsc::Receiver<Bytes>) {
    loop {
        if let Ok(Ok((read, write))) = timeout(CONNECT_TIMEOUT, connect(&address)).await {
            tokio::select! {
                end = forward(&mut messages, write) => {
                    if end == ForwardEnd::QueueClosed {
                        return;
                    }
                }
                // A peer sends nothing more, so that this shows that the connection has ended.
                () = wait_for_end(read) => {}
            }
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Connects to a peer's pull socket.
async fn connect(address: &str) -> io::Result<(OwnedReadHalf, OwnedWriteHalf)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&PUSH_GREETING).await?;
    let mut greeting = [0; PULL_GREETING.len()];
    stream.read_exact(&mut greeting).await?;
    if greeting != PULL_GREETING {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "no pull socket"));
    }
    Ok(stream.into_split())
}

/// Why a connection gets no more messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ForwardEnd {
    QueueClosed,
    ConnectionBroken,
}

async fn forward(messages: &mut mpsc::Receiver<Bytes>, write: OwnedWriteHalf) -> ForwardEnd {
    let codec = LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    let mut frames = FramedWrite::new(write, codec);
    while let Some(message) = messages.recv().await {
        if frames.send(message).await.is_err() {
            return ForwardEnd::ConnectionBroken;
        }
    }
    ForwardEnd::QueueClosed
}

async fn wait_for_end(mut read: OwnedReadHalf) {
    let mut buffer = [0; 64];
    while read.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
}

/// Closes the least recently used connection when the limit is reached.
fn close_least_recently_used(peers: &mut HashMap<String, PeerSocket>) {
    if peers.len() < MAX_OPEN_SOCKETS {
        return;
    }
    let oldest = peers.iter().min_by_key(|(_, peer)| peer.last_used_at);
    if let Some(address) = oldest.map(|(address, _)| address.clone()) {
        peers.remove(&address);
    }
}
