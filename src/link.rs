//! The sockets between boxes.
//!
//! Each box listens on one pull socket and dials a push socket to each peer
//! that it talks to. A message that cannot be sent at once is dropped: all
//! that is said here is said again, or its absence is noticed by a deadline.
//! A socket that has gone silent is noticed by `heartbeat`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::Instant;

use nng::options::{Options, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use tokio::sync::mpsc;

use crate::error::{Error, Result};
use crate::sync::locked;
use crate::wire::MAX_MESSAGE_BYTES;

/// Messages held for one peer.
const SEND_BUFFER_LEN: i32 = 256;
/// Messages received and not yet looked at.
const RECEIVE_BUFFER_LEN: usize = 8192;
/// Most peers with an open socket.
const MAX_OPEN_PEERS: usize = 128;

struct Peer {
    socket: Socket,
    used_at: Instant,
}

/// Sends to peers, and counts what it sends.
pub struct Link {
    routes: BTreeMap<String, String>,
    peers: Mutex<HashMap<String, Peer>>,
}

fn listen_error(address: &str, error: nng::Error) -> Error {
    Error::Listen(address.to_owned(), error.to_string())
}

/// Listens on `address`; what comes arrives at the receiver.
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
    // The socket's receive call blocks, so it gets a thread of its own.
    std::thread::spawn(move || {
        while let Ok(message) = socket.recv() {
            if sender.blocking_send(message.as_slice().to_vec()).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

impl Link {
    /// A link that reaches some peers by `routes`.
    #[must_use]
    pub fn new(routes: BTreeMap<String, String>) -> Self {
        Self { routes, peers: Mutex::default() }
    }

    /// Sends bytes to a peer, or drops them.
    pub fn send(&self, address: &str, bytes: &[u8]) {
        let size = bytes.len() as u64;
        let mut peers = locked(&self.peers);
        if !peers.contains_key(address) {
            close_idle(&mut peers);
            let way = self.routes.get(address).map_or(address, String::as_str);
            let Some(peer) = dial(way) else {
                return;
            };
            peers.insert(address.to_owned(), peer);
        }
        let Some(peer) = peers.get_mut(address) else {
            return;
        };
        peer.used_at = Instant::now();
        if peer.socket.try_send(nng::Message::from(bytes)).is_ok() {
            metrics::counter!("coursestile_peer_sent_bytes_total").increment(size);
            metrics::counter!("coursestile_peer_sent_messages_total").increment(1);
        } else {
            metrics::counter!("coursestile_peer_dropped_messages_total").increment(1);
        }
    }

    /// Gives up the socket to a peer; the next message dials anew.
    pub fn redial(&self, address: &str) {
        // Closed after the lock is let go, since that may take a while.
        let closed = locked(&self.peers).remove(address);
        if closed.is_some() {
            metrics::counter!("coursestile_peer_redials_total").increment(1);
        }
    }
}

fn dial(address: &str) -> Option<Peer> {
    let socket = Socket::new(Protocol::Push0).ok()?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_LEN).ok()?;
    socket.dial_async(&format!("tcp://{address}")).ok()?;
    Some(Peer { socket, used_at: Instant::now() })
}

/// Closes the socket used longest ago when there are many.
fn close_idle(peers: &mut HashMap<String, Peer>) {
    if peers.len() < MAX_OPEN_PEERS {
        return;
    }
    let oldest = peers.iter().min_by_key(|(_, peer)| peer.used_at);
    if let Some(address) = oldest.map(|(address, _)| address.clone()) {
        peers.remove(&address);
    }
}
