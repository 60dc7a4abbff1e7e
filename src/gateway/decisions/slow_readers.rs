//! How much is buffered for clients that read slowly, and when a response to one is aborted.
//!
//! With three hundred clients at 1 kB/s, responses fill the sockets of a small box, or else wait at their
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
/// Longest time for which an upstream waits to be read, at a time and altogether. Upstreams cut off a response after some seconds.
const UNREAD_TIMEOUT_MS: u64 = 2000;
/// Rate of a client for which an upstream may wait longer, though not at a time.
const MIN_BYTES_PER_MS: usize = 32;
/// Longest time for which an upstream accepts nothing of a request: as long as one may owe a response
/// without sending a byte.
pub const REQUEST_TIMEOUT_MS: u64 = 1200;

/// Bytes held for others that may be slow: of responses, what was read from upstreams and not yet
/// accepted by the sockets of clients; of requests, the bodies for which there is no response yet.
#[derive(Debug, Default)]
pub struct BufferedBytes {
    box_bytes: usize,
    /// By the short id of the client account.
    account_bytes: HashMap<u32, usize>,
}

impl BufferedBytes {
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

    /// Bytes held altogether.
    #[must_use]
    pub fn box_bytes(&self) -> usize {
        self.box_bytes
    }

    /// Whether more may be held for a client account.
    #[must_use]
    pub fn has_room(&self, account: u32) -> bool {
        let account_bytes = self.account_bytes.get(&account).copied().unwrap_or_default();
        account_bytes < ACCOUNT_BYTES && self.box_bytes < BOX_BYTES
    }

    /// Whether more may be read for a connection that holds `connection_bytes`.
    #[must_use]
    pub fn may_read(&self, account: u32, connection_bytes: usize) -> bool {
        connection_bytes < UNBOUNDED_BYTES
            || connection_bytes < CONNECTION_BYTES && self.has_room(account)
    }
}

/// How an upstream waits for a client to accept what has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wait {
    /// Since when the upstream has not been read.
    pub stopped_at_ms: u64,
    /// How long it had not been read before, since the response began.
    pub waited_ms: u64,
    /// When the client last accepted bytes, and how many of the response it has accepted.
    pub accepted_at_ms: u64,
    pub accepted_bytes: usize,
}

impl Wait {
    /// When the response is aborted. A client that reads at [`MIN_BYTES_PER_MS`] may go on.
    #[must_use]
    pub fn abort_at_ms(&self) -> u64 {
        let earned_ms = (self.accepted_bytes / MIN_BYTES_PER_MS) as u64;
        let allowed_ms = (UNREAD_TIMEOUT_MS + earned_ms).saturating_sub(self.waited_ms);
        let unaccepted_at_ms = self.stopped_at_ms.max(self.accepted_at_ms) + ACCEPT_TIMEOUT_MS;
        unaccepted_at_ms.min(self.stopped_at_ms + allowed_ms.min(UNREAD_TIMEOUT_MS))
    }
}
