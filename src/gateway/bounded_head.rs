//! Bounds what upstreams send before the heads of their responses are complete, and what connections read
//! at a time.
//!
//! The HTTP library bounds a head that does not end, but not the interim responses before it, which it
//! reads as long as they come; and it bounds each connection, but not all of them together. Beside that it is
//! noted here since when an upstream reads nothing of a request that is being sent.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::sleep_until;

use crate::clock::{instant_at, now_ms};
use crate::sync::locked;

/// Most bytes that are kept of a connection until they can be passed on, and thus of one head.
pub const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Bytes after which a response is given up if its head is not complete, unless there are so many
/// connections that each gets less. Some of its body may be read before that is known.
const MAX_BYTES_TO_HEAD: usize = 4 * MAX_BUFFER_BYTES;
/// Least share of a connection; sound heads are shorter.
const MIN_BYTES_TO_HEAD: usize = 16 << 10;
/// What all connections may keep of heads together, in equal shares.
const ALL_HEAD_BYTES: usize = 16 << 20;
/// While no response is awaited, or its head is complete.
const NOT_COUNTED: usize = usize::MAX;

/// How many bytes have arrived on a connection while the head of a response is not complete.
#[derive(Clone, Debug)]
pub struct HeadBound {
    bytes: Arc<AtomicUsize>,
}

impl Default for HeadBound {
    fn default() -> Self {
        Self { bytes: Arc::new(AtomicUsize::new(NOT_COUNTED)) }
    }
}

impl HeadBound {
    /// Begins to count for the response to a request that is sent now.
    pub fn begin(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Ends counting: the head is complete.
    pub fn end(&self) {
        self.bytes.store(NOT_COUNTED, Ordering::Relaxed);
    }

    fn exceeds(&self, max_bytes: usize) -> bool {
        let bytes = self.bytes.load(Ordering::Relaxed);
        bytes != NOT_COUNTED && bytes >= max_bytes
    }

    fn record(&self, bytes: usize) {
        let update = |known: usize| (known != NOT_COUNTED).then(|| known.saturating_add(bytes));
        // Fails if nothing is counted.
        let _ = self.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }
}

/// Since when an upstream accepts nothing of what is written to its connection.
#[derive(Clone, Debug, Default)]
pub struct WriteProgress(Arc<Mutex<Option<u64>>>);

impl WriteProgress {
    fn record(&self, is_accepted: bool) {
        let mut blocked_since_ms = locked(&self.0);
        if is_accepted {
            *blocked_since_ms = None;
        } else {
            blocked_since_ms.get_or_insert_with(now_ms);
        }
    }

    /// Waits until nothing has been accepted for `max_ms` of what is to be written.
    pub async fn wait_until_blocked(&self, max_ms: u64) {
        loop {
            let blocked_since_ms = *locked(&self.0);
            let due_ms = blocked_since_ms.unwrap_or_else(now_ms) + max_ms;
            if now_ms() >= due_ms {
                return;
            }
            sleep_until(instant_at(due_ms)).await;
        }
    }
}

/// What all connections may read at a time together, in equal shares. The HTTP library keeps a buffer for
/// each connection that is as long as its longest reads.
const ALL_READ_BYTES: usize = 16 << 20;
/// Least share of a connection: shorter reads would cost more than they save.
const MIN_READ_BYTES: usize = 4 << 10;

/// How much each of the connections of a box may read at a time, and keep of a head.
#[derive(Debug)]
pub struct ReadShares {
    connections: AtomicUsize,
    /// Most bytes of a read, however few connections there are.
    max_bytes: usize,
}

impl ReadShares {
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { connections: AtomicUsize::new(0), max_bytes }
    }

    fn read_bytes(&self) -> usize {
        self.share_of(ALL_READ_BYTES).clamp(MIN_READ_BYTES, self.max_bytes)
    }

    fn head_bytes(&self) -> usize {
        self.share_of(ALL_HEAD_BYTES).clamp(MIN_BYTES_TO_HEAD, MAX_BYTES_TO_HEAD)
    }

    fn share_of(&self, all_bytes: usize) -> usize {
        all_bytes / self.connections.load(Ordering::Relaxed).max(1)
    }
}

/// A byte stream whose bytes up to the head of each response are bounded.
pub struct BoundedHead<T> {
    io: T,
    bound: HeadBound,
    written: WriteProgress,
    shares: Arc<ReadShares>,
}

impl<T> BoundedHead<T> {
    pub fn new(io: T, bound: HeadBound, written: WriteProgress, shares: Arc<ReadShares>) -> Self {
        shares.connections.fetch_add(1, Ordering::Relaxed);
        Self { io, bound, written, shares }
    }
}

impl<T> Drop for BoundedHead<T> {
    fn drop(&mut self) {
        self.shares.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedHead<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bound.exceeds(self.shares.head_bytes()) {
            let cause = "the head of the response does not end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let filled_before = buffer.filled().len();
        let max_bytes = self.shares.read_bytes();
        let polled = if buffer.remaining() <= max_bytes {
            Pin::new(&mut self.io).poll_read(context, buffer)
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
            let polled = Pin::new(&mut self.io).poll_read(context, &mut part);
            let read_bytes = part.filled().len();
            buffer.advance(read_bytes);
            polled
        };
        self.bound.record(buffer.filled().len() - filled_before);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BoundedHead<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(context, bytes);
        self.written.record(polled.is_ready());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write_vectored(context, slices);
        self.written.record(polled.is_ready());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
