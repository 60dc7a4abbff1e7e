//! How much is buffered for clients that read slowly, and when a response to one is aborted.
//!
//! With three hundred clients at 1 kB/s, responses fill the memory of a small box, or else wait at their
//! upstreams, which keep a slot and memory for each and cut it off after some seconds. So a response is
//! read ahead up to a bound for the connection, the client account and the box: most responses fit, and
//! their upstreams are free before their clients have read them. A connection that holds little may
//! always read, so that clients that keep up are not delayed by those that do not.

use std::collections::HashMap;

/// Most bytes that are read ahead for one connection, whatever room there is.
pub const CONNECTION_BYTES: usize = 256 << 10;
/// Bytes held for a client account from which nothing is read ahead for it.
pub const ACCOUNT_BYTES: usize = 4 << 20;
/// Bytes held for all clients from which nothing is read ahead.
pub const BOX_BYTES: usize = 16 << 20;
/// Bytes that a connection may hold at any time: as many as the HTTP library buffers by itself.
pub const UNBOUNDED_BYTES: usize = 16 << 10;
/// Longest time for which a client accepts nothing while its upstream waits to be read.
const ACCEPT_TIMEOUT_MS: u64 = 1500;
/// Longest time for which an upstream waits to be read. Upstreams cut off a response after some seconds.
const UNREAD_TIMEOUT_MS: u64 = 2500;
/// Longest time for which an upstream accepts nothing of a request: as long as one may owe a response
/// without sending a byte.
pub const REQUEST_TIMEOUT_MS: u64 = 1200;

/// Bytes that were read from upstreams and not yet accepted by the sockets of clients.
#[derive(Debug, Default)]
pub struct ClientBuffers {
    box_bytes: usize,
    /// By the short id of the client account.
    account_bytes: HashMap<u32, usize>,
}

impl ClientBuffers {
    pub fn add(&mut self, account: u32, bytes: usize) {
        self.box_bytes += bytes;
        *self.account_bytes.entry(account).or_default() += bytes;
    }

    /// Removes bytes that were added before.
    pub fn remove(&mut self, account: u32, bytes: usize) {
        self.box_bytes -= bytes;
        if let Some(held_bytes) = self.account_bytes.get_mut(&account) {
            *held_bytes -= bytes;
            if *held_bytes == 0 {
                self.account_bytes.remove(&account);
            }
        }
    }

    /// Bytes held for all clients.
    #[must_use]
    pub fn box_bytes(&self) -> usize {
        self.box_bytes
    }

    /// Whether more may be read for a connection that holds `connection_bytes`.
    #[must_use]
    pub fn may_read(&self, account: u32, connection_bytes: usize) -> bool {
        let account_bytes = self.account_bytes.get(&account).copied().unwrap_or_default();
        let has_room = connection_bytes < CONNECTION_BYTES
            && account_bytes < ACCOUNT_BYTES
            && self.box_bytes < BOX_BYTES;
        has_room || connection_bytes < UNBOUNDED_BYTES
    }
}

/// When a response is aborted that has not been read from its upstream since `stopped_at_ms`, and of
/// which the client last accepted bytes at `accepted_at_ms`.
#[must_use]
pub fn abort_at_ms(stopped_at_ms: u64, accepted_at_ms: u64) -> u64 {
    let unaccepted_at_ms = stopped_at_ms.max(accepted_at_ms) + ACCEPT_TIMEOUT_MS;
    unaccepted_at_ms.min(stopped_at_ms + UNREAD_TIMEOUT_MS)
}
