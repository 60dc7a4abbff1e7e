//! Sockets for messages between boxes.
//!
//! Each box listens on one pull socket and dials a push socket for each peer that it
//! sends to. A message that cannot be sent at once is dropped: every message is either
//! repeated or followed by a timeout that reveals its loss. Sockets that have gone
//! silent are detected in `heartbeat`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::Instant;

use nng::options::{Options, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use tokio::sync::mpsc;

use crate::error::{Error, Result};
use crate::sync::locked;
use crate::wire::MAX_MESSAGE_BYTES;

/// Capacity of the send buffer for one peer, in messages.
const SEND_BUFFER_LEN: i32 = 256;
/// Capacity of the queue of received messages.
const RECEIVE_BUFFER_LEN: usize = 8192;
/// Maximum number of open push sockets.
const MAX_OPEN_SOCKETS: usize = 128;

struct PeerSocket {
    socket: Socket,
    last_used_at: Instant,
}

/// Push sockets to peers, with metrics of what is sent.
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
    pub fn send(&self, address: &str, bytes: &[u8]) {
        let size = bytes.len() as u64;
        let mut peers = locked(&self.peers);
        if !peers.contains_key(address) {
            close_least_recently_used(&mut peers);
            let target = self.dial_addresses.get(address).map_or(address, String::as_str);
            let Some(peer) = dial(target) else {
                return;
            };
            peers.insert(address.to_owned(), peer);
        }
        let Some(peer) = peers.get_mut(address) else {
            return;
        };
        peer.last_used_at = Instant::now();
        if peer.socket.try_send(nng::Message::from(bytes)).is_ok() {
            metrics::counter!("coursestile_peer_sent_bytes_total").increment(size);
            metrics::counter!("coursestile_peer_sent_messages_total").increment(1);
        } else {
            metrics::counter!("coursestile_peer_dropped_messages_total").increment(1);
        }
    }

    /// Closes the socket to a peer; the next message opens a new one.
    pub fn redial(&self, address: &str) {
        // The socket is dropped after the lock is released, as closing it may take a while.
        let closed = locked(&self.peers).remove(address);
        if closed.is_some() {
            metrics::counter!("coursestile_peer_redials_total").increment(1);
        }
    }
}

fn dial(address: &str) -> Option<PeerSocket> {
    let socket = Socket::new(Protocol::Push0).ok()?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_LEN).ok()?;
    socket.dial_async(&format!("tcp://{address}")).ok()?;
    Some(PeerSocket { socket, last_used_at: Instant::now() })
}

/// Closes the least recently used socket when the limit is reached.
fn close_least_recently_used(peers: &mut HashMap<String, PeerSocket>) {
    if peers.len() < MAX_OPEN_SOCKETS {
        return;
    }
    let oldest = peers.iter().min_by_key(|(_, peer)| peer.last_used_at);
    if let Some(address) = oldest.map(|(address, _)| address.clone()) {
        peers.remove(&address);
    }
}
