//! How much unfinished and waiting requests may hold together, and which connection is evicted.
//!
//! A crowd of clients that each stay within the limits of a request can still fill a box: with bodies
//! that stop short of their end, heads that go on, connections that send nothing. So connections and
//! their requests share one account of bytes and descriptors, by what they hold and not by what they
//! announce. While there is room, any client may take its time. Where it is short, the connection with the
//! least recent progress is evicted, be it idle or in the middle of a request: clients that stop fall
//! behind those that go on, however slow. A request that is complete is never evicted.
//! Long bodies leave a part of the room to everything else, since most requests are short.

use std::collections::{BTreeSet, HashMap};

/// What a connection holds by itself: its task, and buffers of the HTTP library.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// What a request holds in addition to its head and body: its task, and larger buffers.
pub const REQUEST_BYTES: usize = 12 << 10;
/// What a complete request holds in addition: a connection to an upstream.
pub const SERVING_BYTES: usize = 16 << 10;
/// Longest body that may take the room kept from long ones.
pub const SHORT_BODY_BYTES: usize = 16 << 10;
/// Bytes of a request that count as progress. A byte now and then does not.
const PROGRESS_BYTES: usize = 4 << 10;
/// Part of the memory of a box that requests may hold.
const MEMORY_DIVISOR: usize = 4;
/// Part of what connections may hold that is kept for those which were not accepted yet.
const QUEUE_DIVISOR: usize = 4;
/// Bytes that the system holds of such a connection.
const QUEUED_BYTES: usize = 16 << 10;
/// Fewest and most connections that may wait to be accepted.
const MIN_QUEUED: usize = 128;
const MAX_QUEUED: usize = 1024;
/// Part of the descriptors that is kept for files, upstreams without a request, stores and peers.
const RESERVED_DESCRIPTORS_DIVISOR: usize = 4;

/// Most that connections of clients may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    pub bytes: usize,
    pub descriptors: usize,
}

impl MemoryLimits {
    /// The limits of a box with this memory and this many descriptors.
    #[must_use]
    pub fn of_box(memory_mb: usize, descriptors: usize) -> Self {
        Self {
            bytes: memory_mb.saturating_mul(1 << 20) / MEMORY_DIVISOR,
            descriptors: descriptors - descriptors / RESERVED_DESCRIPTORS_DIVISOR,
        }
    }

    /// Keeps a part of the bytes for what clients send on connections that were not accepted yet, since the
    /// account does not see them. Returns how many connections may wait.
    #[must_use]
    pub fn with_queue(self) -> (Self, u32) {
        let queued = (self.bytes / QUEUE_DIVISOR / QUEUED_BYTES).clamp(MIN_QUEUED, MAX_QUEUED);
        let bytes = self.bytes.saturating_sub(queued * QUEUED_BYTES);
        (Self { bytes, ..self }, u32::try_from(queued).unwrap_or(u32::MAX))
    }

    /// Most bytes while a long body grows.
    fn long_body_bytes(self) -> usize {
        self.bytes - self.bytes / 4
    }
}

/// Identifies a connection.
pub type ConnectionId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Idle, or its request is still arriving: it may be evicted.
    Unfinished,
    /// Its request is complete, and the response not sent yet.
    Serving,
    /// It is being closed to make room.
    Evicted,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    /// What becomes free when it is evicted.
    held: Sum,
    progress_at_ms: u64,
    /// Bytes received since, if its request has begun.
    received_bytes: Option<usize>,
}

/// Bytes and descriptors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Sum {
    bytes: usize,
    descriptors: usize,
}

impl Sum {
    fn add(&mut self, other: Self) {
        self.bytes += other.bytes;
        self.descriptors += other.descriptors;
    }

    fn subtract(&mut self, other: Self) {
        self.bytes -= other.bytes;
        self.descriptors -= other.descriptors;
    }
}

/// Whether more may be held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant<T = ()> {
    /// It is held.
    Held(T),
    /// Once the evicted connections are closed, among them these, which have to be notified.
    AfterEviction(Vec<ConnectionId>),
    /// No connection is left to evict.
    Refused,
}

/// What the connections of all clients hold.
#[derive(Debug)]
pub struct RequestMemory {
    limits: MemoryLimits,
    connections: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    held: Sum,
    /// Of what is held, the parts of unfinished connections and of evicted ones.
    unfinished: Sum,
    being_evicted: Sum,
    /// Unfinished connections, by their last progress.
    by_progress: BTreeSet<(u64, ConnectionId)>,
}

impl RequestMemory {
    #[must_use]
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            next_id: 0,
            held: Sum::default(),
            unfinished: Sum::default(),
            being_evicted: Sum::default(),
            by_progress: BTreeSet::new(),
        }
    }

    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held.bytes
    }

    /// Adds a new connection, if there is room.
    pub fn open(&mut self, now_ms: u64) -> Grant<ConnectionId> {
        let sum = Sum { bytes: CONNECTION_BYTES, descriptors: 1 };
        let is_full = self.held.bytes + sum.bytes > self.limits.bytes
            || self.held.descriptors + sum.descriptors > self.limits.descriptors;
        if is_full {
            let evicted = self.make_room(None, sum, self.limits.bytes);
            return evicted.map_or(Grant::Refused, Grant::AfterEviction);
        }
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            phase: Phase::Unfinished,
            held: sum,
            progress_at_ms: now_ms,
            received_bytes: None,
        };
        self.connections.insert(id, connection);
        self.by_progress.insert((now_ms, id));
        self.held.add(sum);
        self.unfinished.add(sum);
        Grant::Held(id)
    }

    /// Removes a connection, with what it holds.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.by_progress.remove(&(connection.progress_at_ms, id));
        self.held.subtract(connection.held);
        match connection.phase {
            Phase::Unfinished => self.unfinished.subtract(connection.held),
            Phase::Evicted => self.being_evicted.subtract(connection.held),
            Phase::Serving => {}
        }
    }

    /// Evicts the connection with the least recent progress, when descriptors have run out all the same.
    pub fn evict_oldest(&mut self) -> Option<ConnectionId> {
        let (_, id) = *self.by_progress.first()?;
        self.set_phase(id, Phase::Evicted);
        Some(id)
    }

    /// Records bytes of a request that have arrived.
    pub fn record_received(&mut self, id: ConnectionId, now_ms: u64, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let received_bytes = connection.received_bytes.map_or(PROGRESS_BYTES, |sum| sum + bytes);
        connection.received_bytes = Some(received_bytes % PROGRESS_BYTES);
        if received_bytes >= PROGRESS_BYTES {
            self.record_progress(id, now_ms);
        }
    }

    /// Adds what has to be held already, such as the beginning of a head, and returns the connections
    /// that are evicted for it.
    pub fn add(&mut self, id: ConnectionId, bytes: usize) -> Vec<ConnectionId> {
        self.add_to(id, Sum { bytes, descriptors: 0 });
        self.make_room(Some(id), Sum::default(), self.limits.bytes).unwrap_or_default()
    }

    /// Lets the body of a request grow by `bytes` to `body_bytes`, if there is room.
    pub fn grow_body(&mut self, id: ConnectionId, bytes: usize, body_bytes: usize) -> Grant {
        let is_short = body_bytes <= SHORT_BODY_BYTES;
        let limit = if is_short { self.limits.bytes } else { self.limits.long_body_bytes() };
        let sum = Sum { bytes, descriptors: 0 };
        if self.held.bytes + bytes <= limit {
            self.add_to(id, sum);
            return Grant::Held(());
        }
        self.make_room(Some(id), sum, limit).map_or(Grant::Refused, Grant::AfterEviction)
    }

    /// Removes bytes that a connection has held.
    pub fn remove(&mut self, id: ConnectionId, bytes: usize) {
        let sum = Sum { bytes, descriptors: 0 };
        // A connection that is closed holds nothing any more.
        if self.take_from(id, sum) {
            self.held.subtract(sum);
        }
    }

    /// Separates bytes from their connection. They count until they are released.
    pub fn detach(&mut self, id: ConnectionId, bytes: usize) {
        let sum = Sum { bytes, descriptors: 0 };
        if !self.take_from(id, sum) {
            self.held.add(sum);
        }
    }

    /// Adds detached bytes, which have to be held already, and returns the connections that are evicted
    /// for them.
    pub fn add_detached(&mut self, bytes: usize) -> Vec<ConnectionId> {
        self.held.add(Sum { bytes, descriptors: 0 });
        self.make_room(None, Sum::default(), self.limits.bytes).unwrap_or_default()
    }

    /// Releases detached bytes.
    pub fn release(&mut self, bytes: usize) {
        self.held.subtract(Sum { bytes, descriptors: 0 });
    }

    /// Begins to serve a request that is complete, and returns the connections that are evicted for
    /// it; `None` if it may not be served.
    pub fn begin_serving(&mut self, id: ConnectionId) -> Option<Vec<ConnectionId>> {
        if self.connections.get(&id)?.phase != Phase::Unfinished {
            return None;
        }
        let sum = Sum { bytes: SERVING_BYTES, descriptors: 1 };
        let evicted = self.make_room(Some(id), sum, self.limits.bytes)?;
        self.add_to(id, sum);
        self.set_phase(id, Phase::Serving);
        Some(evicted)
    }

    /// Ends a request, served or refused: the connection is idle.
    pub fn end_request(&mut self, id: ConnectionId, now_ms: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.received_bytes = None;
        let idle = Sum { bytes: CONNECTION_BYTES, descriptors: 1 };
        let mut ended = connection.held;
        ended.subtract(idle);
        self.take_from(id, ended);
        self.held.subtract(ended);
        self.set_phase(id, Phase::Unfinished);
        self.record_progress(id, now_ms);
    }

    /// Evicts connections other than `id`, so that `sum` can be added within `limit_bytes`
    /// once they are closed; `None` if that is impossible.
    fn make_room(
        &mut self,
        id: Option<ConnectionId>,
        sum: Sum,
        limit_bytes: usize,
    ) -> Option<Vec<ConnectionId>> {
        let own = id.and_then(|id| self.connections.get(&id));
        let own = own.filter(|own| own.phase == Phase::Unfinished).map(|own| own.held);
        let mut excess = self.held;
        excess.add(sum);
        excess.subtract(self.being_evicted);
        let mut evictable = self.unfinished;
        evictable.subtract(own.unwrap_or_default());
        let fits = |sum: Sum, others: Sum| {
            sum.bytes <= limit_bytes + others.bytes
                && sum.descriptors <= self.limits.descriptors + others.descriptors
        };
        if !fits(excess, evictable) {
            return None;
        }
        let mut freed = Sum::default();
        let mut evicted = Vec::new();
        for (_, other) in self.by_progress.iter().filter(|(_, other)| Some(*other) != id) {
            if fits(excess, freed) {
                break;
            }
            freed.add(self.connections[other].held);
            evicted.push(*other);
        }
        for other in &evicted {
            self.set_phase(*other, Phase::Evicted);
        }
        Some(evicted)
    }

    fn record_progress(&mut self, id: ConnectionId, now_ms: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if self.by_progress.remove(&(connection.progress_at_ms, id)) {
            self.by_progress.insert((now_ms, id));
        }
        connection.progress_at_ms = now_ms;
    }

    /// An evicted connection stays so.
    fn set_phase(&mut self, id: ConnectionId, phase: Phase) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.phase == Phase::Evicted || connection.phase == phase {
            return;
        }
        if connection.phase == Phase::Unfinished {
            self.unfinished.subtract(connection.held);
            self.by_progress.remove(&(connection.progress_at_ms, id));
        }
        match phase {
            Phase::Unfinished => {
                self.unfinished.add(connection.held);
                self.by_progress.insert((connection.progress_at_ms, id));
            }
            Phase::Evicted => self.being_evicted.add(connection.held),
            Phase::Serving => {}
        }
        connection.phase = phase;
    }

    fn add_to(&mut self, id: ConnectionId, sum: Sum) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.held.add(sum);
        self.held.add(sum);
        match connection.phase {
            Phase::Unfinished => self.unfinished.add(sum),
            Phase::Evicted => self.being_evicted.add(sum),
            Phase::Serving => {}
        }
    }

    /// Takes from what a connection holds; returns whether it is still open.
    fn take_from(&mut self, id: ConnectionId, sum: Sum) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.held.subtract(sum);
        match connection.phase {
            Phase::Unfinished => self.unfinished.subtract(sum),
            Phase::Evicted => self.being_evicted.subtract(sum),
            Phase::Serving => {}
        }
        true
    }
}
