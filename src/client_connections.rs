//! Connections of clients, and the bodies of their requests, within the limits of `request_memory`.
//!
//! An evicted connection is closed if it is idle or receives a head; a body that is being
//! received is refused instead, as not having run. Bodies are copied into one buffer as they arrive,
//! since a frame of the HTTP library keeps the read buffer that it arrived in. The system's own buffers
//! for received bytes are bounded by their size: the process does not see what they hold.

use std::collections::HashMap;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use log::debug;
use nix::sys::resource::{Resource, getrlimit};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

use crate::clock::now_ms;
use crate::ini_file::IniFile;
use crate::request_memory::{ConnectionId, Grant, MemoryLimits, REQUEST_BYTES, RequestMemory};
use crate::sync::locked;

/// Size of the system's buffer for bytes that were received and not read. A client that is 100 ms away
/// can still send 80 kB a second.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
/// Most by which a body's buffer grows at a time.
const MAX_GROWTH_BYTES: usize = 128 << 10;
/// Smallest buffer of a body.
const MIN_BODY_BUFFER_BYTES: usize = 512;
/// Buffers of the HTTP library per byte of a head.
const HEAD_BUFFER_FACTOR: usize = 2;
/// A body ends, or as many bytes of it arrive, within the timeout.
const BODY_PROGRESS_BYTES: usize = 64 << 10;
const BODY_PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes and time for which a refused client may go on to send, so that it can read the refusal:
/// closing a connection with unread bytes resets it.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for an evicted connection.
const EVICTED_DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Descriptors of a process whose limit is not known.
const FALLBACK_DESCRIPTORS: u64 = 1024;
/// Bytes that are discarded at a time.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Why the body of a request is not available. In each case the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It is malformed, or its client has gone.
    Broken,
    /// Its client has stopped sending.
    Stalled,
    /// The box has no room for it.
    NoRoom,
    /// The time to receive it is over.
    TimeOver,
}

struct Shared {
    memory: RequestMemory,
    connections: HashMap<ConnectionId, Arc<EvictionSignal>>,
}

impl Shared {
    fn notify(&self, evicted: &[ConnectionId]) {
        if evicted.is_empty() {
            return;
        }
        metrics::counter!("coursestile_connections_evicted_total").increment(evicted.len() as u64);
        for signal in evicted.iter().filter_map(|id| self.connections.get(id)) {
            signal.is_set.store(true, Ordering::Relaxed);
            signal.changed.notify_waiters();
        }
    }
}

/// Notifies a connection that it is evicted.
#[derive(Default)]
struct EvictionSignal {
    is_set: AtomicBool,
    changed: Notify,
}

impl EvictionSignal {
    async fn wait(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_set.load(Ordering::Relaxed) {
                return;
            }
            changed.await;
        }
    }
}

/// All connections of clients to this box.
pub struct ClientConnections {
    shared: Mutex<Shared>,
    /// Notified when there may be more room.
    freed: Notify,
}

impl ClientConnections {
    #[must_use]
    pub fn new(limits: MemoryLimits) -> Arc<Self> {
        let shared = Shared { memory: RequestMemory::new(limits), connections: HashMap::new() };
        Arc::new(Self { shared: Mutex::new(shared), freed: Notify::new() })
    }

    /// Adds a connection that was accepted, once evicted ones are closed; `None` if there is no room for
    /// it.
    pub async fn open(self: &Arc<Self>) -> Option<Arc<ClientConnection>> {
        let signal = Arc::new(EvictionSignal::default());
        let open = |shared: &mut Shared| {
            let opened = shared.memory.open(now_ms());
            if let Grant::Held(id) = &opened {
                shared.connections.insert(*id, signal.clone());
            }
            opened
        };
        let Some(id) = self.wait_for(open).await else {
            metrics::counter!("coursestile_connections_refused_total").increment(1);
            return None;
        };
        Some(Arc::new(ClientConnection {
            all: self.clone(),
            id,
            signal,
            has_request: AtomicBool::new(false),
            is_unsent: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
        }))
    }

    /// Holds more as soon as the connections evicted for it are closed; `None` if it is refused.
    async fn wait_for<T>(&self, grant: impl Fn(&mut Shared) -> Grant<T>) -> Option<T> {
        loop {
            let freed = self.freed.notified();
            {
                let mut shared = locked(&self.shared);
                match grant(&mut shared) {
                    Grant::Held(held) => return Some(held),
                    Grant::AfterEviction(evicted) => shared.notify(&evicted),
                    Grant::Refused => return None,
                }
            }
            freed.await;
        }
    }

    /// Evicts the connection with the least recent progress, since descriptors have run out.
    pub fn evict_oldest(&self) {
        let mut shared = locked(&self.shared);
        let oldest = shared.memory.evict_oldest();
        shared.notify(oldest.as_slice());
    }

    /// Bytes that connections and requests hold.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        locked(&self.shared).memory.held_bytes()
    }

    fn change(&self, change: impl FnOnce(&mut RequestMemory)) {
        change(&mut locked(&self.shared).memory);
        self.freed.notify_waiters();
    }
}

/// A connection of a client. It is open as long as this value lives.
pub struct ClientConnection {
    all: Arc<ClientConnections>,
    id: ConnectionId,
    signal: Arc<EvictionSignal>,
    /// Whether the head of a request has arrived that is not answered yet.
    has_request: AtomicBool,
    /// Whether the client's socket has not taken all of the response.
    is_unsent: AtomicBool,
    /// Whether the client may still be sending a body that nobody reads.
    has_unread_body: AtomicBool,
}

impl ClientConnection {
    /// Waits until the connection is to be closed to make room for others.
    pub async fn wait_until_closed(&self) {
        self.signal.wait().await;
        if self.has_request.load(Ordering::Relaxed) {
            // The request is refused, which ends the connection as well.
            std::future::pending::<()>().await;
        }
    }

    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.signal.is_set.load(Ordering::Relaxed)
    }

    /// Whether the connection is closed after the present response. A client that is not told may
    /// send its next request on it, which is then lost.
    #[must_use]
    pub fn closes_after_response(&self) -> bool {
        self.is_evicted() || self.has_unread_body.load(Ordering::Relaxed)
    }

    /// Begins a request whose head has arrived.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>, has_body: bool) -> ClientRequest {
        self.has_request.store(true, Ordering::Relaxed);
        self.has_unread_body.store(has_body, Ordering::Relaxed);
        let mut shared = locked(&self.all.shared);
        let evicted = shared.memory.add(self.id, REQUEST_BYTES);
        shared.notify(&evicted);
        drop(shared);
        ClientRequest { connection: self.clone() }
    }

    fn record_read(&self, bytes: usize) {
        if bytes == 0 || self.has_request.load(Ordering::Relaxed) {
            return;
        }
        let mut shared = locked(&self.all.shared);
        shared.memory.record_received(self.id, now_ms(), bytes);
        let evicted = shared.memory.add(self.id, HEAD_BUFFER_FACTOR * bytes);
        shared.notify(&evicted);
    }

    fn record_flushed(&self) {
        if self.is_unsent.swap(false, Ordering::Relaxed) {
            self.end_if_answered();
        }
    }

    /// A connection whose response is not sent completely is not evicted.
    fn end_if_answered(&self) {
        let is_busy =
            [&self.has_request, &self.is_unsent].iter().any(|flag| flag.load(Ordering::Relaxed));
        if !is_busy {
            self.all.change(|memory| memory.end_request(self.id, now_ms()));
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        locked(&self.all.shared).connections.remove(&self.id);
        self.all.change(|memory| memory.close(self.id));
    }
}

/// A request, until its response has been handed to the HTTP library.
pub struct ClientRequest {
    connection: Arc<ClientConnection>,
}

impl ClientRequest {
    /// Receives a body of at most `max_bytes`, for as long as it makes progress, until `stopped`
    /// completes.
    ///
    /// # Errors
    /// Fails when the body does not arrive whole, or there is no room for it.
    pub async fn read_body<E>(
        &self,
        frames: impl Stream<Item = Result<Bytes, E>>,
        announced_bytes: Option<usize>,
        max_bytes: usize,
        stopped: impl Future<Output = ()>,
    ) -> Result<ReceivedBody, BodyError> {
        if announced_bytes.is_some_and(|bytes| bytes > max_bytes) {
            return Err(BodyError::TooLong);
        }
        let max_capacity = announced_bytes.unwrap_or(max_bytes);
        let mut buffer = BodyBuffer { request: self, bytes: Vec::new(), held_bytes: 0 };
        let receive = async {
            let mut frames = pin!(frames);
            let mut due_bytes = BODY_PROGRESS_BYTES;
            let mut due_at = Instant::now() + BODY_PROGRESS_TIMEOUT;
            loop {
                let next = timeout_at(due_at, frames.next()).await;
                let Some(frame) = next.map_err(|_| BodyError::Stalled)? else { return Ok(()) };
                let frame = frame.map_err(|_| BodyError::Broken)?;
                if buffer.bytes.len() + frame.len() > max_bytes {
                    return Err(BodyError::TooLong);
                }
                buffer.push(&frame, max_capacity).await?;
                if buffer.bytes.len() >= due_bytes {
                    due_bytes = buffer.bytes.len() + BODY_PROGRESS_BYTES;
                    due_at = Instant::now() + BODY_PROGRESS_TIMEOUT;
                }
            }
        };
        tokio::select! {
            received = receive => received?,
            () = self.wait_until_evicted() => return Err(BodyError::NoRoom),
            () = stopped => return Err(BodyError::TimeOver),
        }
        self.connection.has_unread_body.store(false, Ordering::Relaxed);
        Ok(buffer.finish())
    }

    /// Waits until the request is to be refused to make room for others.
    pub async fn wait_until_evicted(&self) {
        self.connection.signal.wait().await;
    }

    /// Begins to serve the request, which is complete. From now on it is not evicted.
    ///
    /// # Errors
    /// Fails when there is no room for it.
    pub fn begin_serving(&self) -> Result<(), BodyError> {
        let ClientConnection { all, id, .. } = &*self.connection;
        let mut shared = locked(&all.shared);
        let evicted = shared.memory.begin_serving(*id).ok_or(BodyError::NoRoom)?;
        shared.notify(&evicted);
        Ok(())
    }

    /// Counts `bytes` in addition to the body, such as copies of it, which are not refused.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> HeldBytes {
        let all = self.connection.all.clone();
        let mut shared = locked(&all.shared);
        let evicted = shared.memory.add_detached(bytes);
        shared.notify(&evicted);
        drop(shared);
        HeldBytes { all, bytes }
    }

    async fn grow_body(&self, bytes: usize, body_bytes: usize) -> Result<(), BodyError> {
        let ClientConnection { all, id, .. } = &*self.connection;
        let grow = |shared: &mut Shared| shared.memory.grow_body(*id, bytes, body_bytes);
        all.wait_for(grow).await.ok_or(BodyError::NoRoom)
    }
}

impl Drop for ClientRequest {
    fn drop(&mut self) {
        self.connection.has_request.store(false, Ordering::Relaxed);
        self.connection.end_if_answered();
    }
}

/// A body that is being received.
struct BodyBuffer<'a> {
    request: &'a ClientRequest,
    bytes: Vec<u8>,
    held_bytes: usize,
}

impl BodyBuffer<'_> {
    async fn push(&mut self, frame: &[u8], max_capacity: usize) -> Result<(), BodyError> {
        let length = self.bytes.len() + frame.len();
        if length > self.held_bytes {
            let grown =
                self.held_bytes + self.held_bytes.clamp(MIN_BODY_BUFFER_BYTES, MAX_GROWTH_BYTES);
            let capacity = grown.min(max_capacity).max(length);
            self.request.grow_body(capacity - self.held_bytes, capacity).await?;
            self.held_bytes = capacity;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(frame);
        let ClientConnection { all, id, .. } = &*self.request.connection;
        locked(&all.shared).memory.record_received(*id, now_ms(), frame.len());
        Ok(())
    }

    /// The body, which counts as long as it lives.
    fn finish(mut self) -> ReceivedBody {
        let bytes = std::mem::take(&mut self.bytes);
        let held_bytes = std::mem::take(&mut self.held_bytes);
        let ClientConnection { all, id, .. } = &*self.request.connection;
        all.change(|memory| memory.detach(*id, held_bytes));
        ReceivedBody { bytes, held: HeldBytes { all: all.clone(), bytes: held_bytes } }
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        let ClientConnection { all, id, .. } = &*self.request.connection;
        all.change(|memory| memory.remove(*id, self.held_bytes));
    }
}

/// Bytes that count as held as long as this value lives.
pub struct HeldBytes {
    all: Arc<ClientConnections>,
    bytes: usize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.all.change(|memory| memory.release(self.bytes));
    }
}

/// A body that was received whole.
pub struct ReceivedBody {
    pub bytes: Vec<u8>,
    pub held: HeldBytes,
}

impl ReceivedBody {
    /// The body, to be shared. It counts until the last copy is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for ReceivedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The byte stream of a client's connection.
pub struct ClientIo<T> {
    io: T,
    connection: Arc<ClientConnection>,
    discarding: Option<Discarding>,
}

/// What a refused client still sends is read and discarded.
struct Discarding {
    left_bytes: usize,
    until: Pin<Box<Sleep>>,
}

impl<T> ClientIo<T> {
    pub fn new(io: T, connection: Arc<ClientConnection>) -> Self {
        Self { io, connection, discarding: None }
    }

    fn record_written(&self, is_blocked: bool) {
        if is_blocked {
            self.connection.is_unsent.store(true, Ordering::Relaxed);
        }
    }
}

impl<T: AsyncRead + Unpin> ClientIo<T> {
    /// Reads and discards until the client has closed the connection too, within limits.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let is_evicted = self.connection.is_evicted();
        let discarding = self.discarding.get_or_insert_with(|| {
            let timeout = if is_evicted { EVICTED_DISCARD_TIMEOUT } else { DISCARD_TIMEOUT };
            let until = Box::pin(sleep_until(Instant::now() + timeout));
            Discarding { left_bytes: MAX_DISCARDED_BYTES, until }
        });
        loop {
            if discarding.until.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            let mut buffer = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut buffer);
            let read = ready!(Pin::new(&mut self.io).poll_read(context, &mut buffer));
            let bytes = buffer.filled().len();
            discarding.left_bytes = discarding.left_bytes.saturating_sub(bytes);
            if read.is_err() || bytes == 0 || discarding.left_bytes == 0 {
                return Poll::Ready(());
            }
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ClientIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(context, buffer);
        self.connection.record_read(buffer.filled().len() - filled_before);
        polled
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClientIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(context, bytes);
        self.record_written(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write_vectored(context, slices);
        self.record_written(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    /// The HTTP library calls it whenever it has written all.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_flush(context);
        if polled.is_ready() {
            self.connection.record_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discarding.is_none() {
            ready!(Pin::new(&mut self.io).poll_shutdown(context))?;
        }
        if self.connection.has_unread_body.load(Ordering::Relaxed) {
            ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
    }
}

/// Bounds what the system keeps of bytes that clients send: connections that are accepted later inherit
/// the size of their buffers.
pub fn bound_receive_buffers(listener: &TcpListener) {
    let bounded = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    if let Err(error) = bounded {
        debug!(target: "listener", "event=socket_option_refused cause=\"{error}\"");
    }
}

/// Reads the memory and descriptors of the box, which are those of the process unless they are named.
pub fn memory_limits(
    reader: &mut IniFile<'_>,
    section: &str,
    default_memory_mb: usize,
) -> MemoryLimits {
    let mut read = |key, default| {
        let value = reader.optional(section, key, default);
        if value == 0 {
            reader.add_finding(section, key, format!("{key}: must not be 0"));
        }
        value
    };
    let memory_mb = read("memory_mb", default_memory_mb);
    let descriptors = read("max_descriptors", max_descriptors());
    MemoryLimits::of_box(memory_mb, descriptors)
}

/// How many descriptors this process may open.
fn max_descriptors() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(FALLBACK_DESCRIPTORS, |(soft, _)| soft);
    usize::try_from(limit).unwrap_or(usize::MAX)
}
