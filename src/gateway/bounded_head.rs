//! Bounds what an upstream sends before the head of its response is complete.
//!
//! The HTTP library bounds a head that does not end, but not the interim responses before it, which it
//! reads as long as they come. Beside that it is noted here since when an upstream reads nothing of a
//! request that is being sent.

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
/// Bytes after which a response is given up if its head is not complete. Some of its body may be read
/// before that is known.
const MAX_BYTES_TO_HEAD: usize = 4 * MAX_BUFFER_BYTES;
/// While no response is awaited, or its head is complete.
const UNBOUNDED: usize = usize::MAX;

/// How many bytes may still arrive on a connection before the head of a response is complete.
#[derive(Clone, Debug)]
pub struct HeadBound {
    left_bytes: Arc<AtomicUsize>,
}

impl Default for HeadBound {
    fn default() -> Self {
        Self { left_bytes: Arc::new(AtomicUsize::new(UNBOUNDED)) }
    }
}

impl HeadBound {
    /// Begins to count for the response to a request that is sent now.
    pub fn begin(&self) {
        self.left_bytes.store(MAX_BYTES_TO_HEAD, Ordering::Relaxed);
    }

    /// Ends counting: the head is complete.
    pub fn end(&self) {
        self.left_bytes.store(UNBOUNDED, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.left_bytes.load(Ordering::Relaxed) == 0
    }

    fn record(&self, bytes: usize) {
        let update = |left: usize| (left != UNBOUNDED).then(|| left.saturating_sub(bytes));
        // Fails if nothing is counted.
        let _ = self.left_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
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

/// A byte stream whose bytes up to the head of each response are bounded.
pub struct BoundedHead<T> {
    io: T,
    bound: HeadBound,
    written: WriteProgress,
    /// Most bytes that are read at a time, if they are bounded.
    max_read_bytes: Option<usize>,
}

impl<T> BoundedHead<T> {
    pub fn new(
        io: T,
        bound: HeadBound,
        written: WriteProgress,
        max_read_bytes: Option<usize>,
    ) -> Self {
        Self { io, bound, written, max_read_bytes }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedHead<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bound.is_exceeded() {
            let cause = "the head of the response does not end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let filled_before = buffer.filled().len();
        let polled = match self.max_read_bytes {
            Some(max_bytes) => {
                let bytes = max_bytes.min(buffer.remaining());
                let mut part = ReadBuf::new(buffer.initialize_unfilled_to(bytes));
                let polled = Pin::new(&mut self.io).poll_read(context, &mut part);
                let read_bytes = part.filled().len();
                buffer.advance(read_bytes);
                polled
            }
            None => Pin::new(&mut self.io).poll_read(context, buffer),
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
