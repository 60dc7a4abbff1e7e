//! Reads responses ahead of clients that read slowly.
//!
//! The HTTP library asks for more of a body only when the client's socket has taken what came before,
//! so a task of its own reads it, up to the bounds of `decisions::slow_readers`. It cannot abort the
//! response by an error in the body either, since the library does not ask for one while the socket is
//! full: the connection itself is dropped, and reset.

use std::future::pending;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use log::info;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::timeout_at;

use crate::clock::{instant_at, now_ms};
use crate::gateway::decisions::slow_readers::{BufferedBytes, UNBOUNDED_BYTES, Wait};
use crate::gateway::response::{Body, BodyAborted, ClientResponse};
use crate::sync::locked;

/// Most bytes that the HTTP library gets at a time. Bytes are copied into pieces, since a small event
/// would keep the whole read buffer that it arrived in.
const PIECE_BYTES: usize = 8 << 10;
/// How often it is checked whether other connections have made room.
const RECHECK_MS: u64 = 500;

/// Whose response it is.
#[derive(Clone, Debug)]
pub struct ResponseOwner {
    pub request_id: String,
    /// Short id of the client account.
    pub account: u32,
}

/// Bytes that are held for a client's connection.
pub struct ClientReads {
    buffers: Arc<Mutex<BufferedBytes>>,
    held: Mutex<HeldBytes>,
    /// Wakes the task that reads ahead.
    accepted: Notify,
    is_aborted: AtomicBool,
    aborted: Notify,
}

#[derive(Default)]
struct HeldBytes {
    account: u32,
    bytes: usize,
    accepted_at_ms: u64,
    /// Bytes of the present response that the client has accepted.
    accepted_bytes: usize,
}

impl ClientReads {
    #[must_use]
    pub fn new(buffers: Arc<Mutex<BufferedBytes>>) -> Self {
        Self {
            buffers,
            held: Mutex::default(),
            accepted: Notify::new(),
            is_aborted: AtomicBool::new(false),
            aborted: Notify::new(),
        }
    }

    /// Begins to count for another account.
    fn begin(&self, account: u32) {
        self.release();
        let mut held = locked(&self.held);
        held.account = account;
        held.accepted_bytes = 0;
    }

    fn add(&self, bytes: usize) {
        let mut held = locked(&self.held);
        held.bytes += bytes;
        locked(&self.buffers).add(held.account, bytes);
    }

    /// Records bytes that the client's socket has accepted, among them heads and sizes of chunks.
    pub fn record_accepted(&self, bytes: usize) {
        let mut held = locked(&self.held);
        let bytes = bytes.min(held.bytes);
        held.bytes -= bytes;
        held.accepted_at_ms = now_ms();
        held.accepted_bytes += bytes;
        locked(&self.buffers).remove(held.account, bytes);
        self.accepted.notify_one();
    }

    /// Releases what is held.
    pub fn release(&self) {
        let mut held = locked(&self.held);
        let bytes = std::mem::take(&mut held.bytes);
        locked(&self.buffers).remove(held.account, bytes);
    }

    #[must_use]
    pub fn is_aborted(&self) -> bool {
        self.is_aborted.load(Ordering::Relaxed)
    }

    /// Waits until the connection is to be reset.
    pub async fn wait_until_aborted(&self) {
        self.aborted.notified().await;
    }

    /// Waits until more may be read from the upstream, and adds to `waited_ms` how long that took;
    /// `false` if the response is to be aborted.
    async fn wait_for_room(&self, waited_ms: &mut u64) -> bool {
        let stopped_at_ms = now_ms();
        loop {
            let now_ms = now_ms();
            let wait = {
                let held = locked(&self.held);
                if locked(&self.buffers).may_read(held.account, held.bytes) {
                    *waited_ms += now_ms - stopped_at_ms;
                    return true;
                }
                let HeldBytes { accepted_at_ms, accepted_bytes, .. } = *held;
                Wait { stopped_at_ms, waited_ms: *waited_ms, accepted_at_ms, accepted_bytes }
            };
            let abort_at_ms = wait.abort_at_ms();
            if now_ms >= abort_at_ms {
                return false;
            }
            let recheck = instant_at(abort_at_ms.min(now_ms + RECHECK_MS));
            // What is held is looked at in either case.
            let _ = timeout_at(recheck, self.accepted.notified()).await;
        }
    }

    fn abort(&self, request_id: &str) {
        let (held_bytes, box_bytes) = (locked(&self.held).bytes, locked(&self.buffers).box_bytes());
        metrics::counter!("coursestile_slow_readers_aborted_total").increment(1);
        info!(target: "serve",
            "event=slow_reader_aborted request={request_id} held_bytes={held_bytes} box_bytes={box_bytes}");
        self.is_aborted.store(true, Ordering::Relaxed);
        self.aborted.notify_one();
    }
}

/// A body that is read ahead.
struct BufferedBody {
    pieces: mpsc::UnboundedReceiver<Result<Bytes, BodyAborted>>,
    /// Bytes that are still to be sent, if the body has a length.
    left_bytes: Option<u64>,
    reading: JoinHandle<()>,
}

impl HttpBody for BufferedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let polled = self.pieces.poll_recv(context);
        if let (Poll::Ready(Some(Ok(piece))), Some(left_bytes)) = (&polled, &mut self.left_bytes) {
            *left_bytes = left_bytes.saturating_sub(piece.len() as u64);
        }
        polled.map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.left_bytes == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.reading.abort();
    }
}

/// Has a response read ahead, unless the HTTP library buffers it as a whole.
pub fn read_ahead(reads: &Arc<ClientReads>, mut response: ClientResponse) -> ClientResponse {
    let left_bytes = response.body().size_hint().exact();
    if left_bytes.is_some_and(|bytes| bytes <= UNBOUNDED_BYTES as u64) {
        return response;
    }
    let Some(owner) = response.extensions_mut().remove::<ResponseOwner>() else { return response };
    response.map(|body| {
        let (sender, pieces) = mpsc::unbounded_channel();
        let reading = tokio::spawn(read(reads.clone(), owner, body, sender));
        BufferedBody { pieces, left_bytes, reading }.boxed_unsync()
    })
}

/// Reads a body until it ends, and keeps it until its pieces have been taken: the request is in flight
/// until then.
async fn read(
    reads: Arc<ClientReads>,
    owner: ResponseOwner,
    mut body: Body,
    pieces: mpsc::UnboundedSender<Result<Bytes, BodyAborted>>,
) {
    reads.begin(owner.account);
    let mut waited_ms = 0;
    while reads.wait_for_room(&mut waited_ms).await {
        let sent = match body.frame().await {
            None => {
                drop(pieces);
                return pending().await;
            }
            Some(Err(aborted)) => pieces.send(Err(aborted)),
            Some(Ok(frame)) => {
                frame.into_data().unwrap_or_default().chunks(PIECE_BYTES).try_for_each(|piece| {
                    reads.add(piece.len());
                    pieces.send(Ok(Bytes::copy_from_slice(piece)))
                })
            }
        };
        if sent.is_err() {
            return;
        }
    }
    reads.abort(&owner.request_id);
}
