//! A client's connection. While the end of a response is marked by nothing but the end of the
//! connection, any other end than a complete one resets it, also that of the process.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use log::debug;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::gateway::relay::client_buffer::ClientReads;

/// Whether the response that is being sent to a client ends with its connection.
#[derive(Clone, Debug, Default)]
pub struct CloseDelimited(Arc<AtomicBool>);

impl CloseDelimited {
    /// Records that the response, of which nothing was sent so far, ends with its connection.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A connection that is reset unless it is shut down after a response that ends with it.
pub struct ClientStream {
    stream: TcpStream,
    close_delimited: CloseDelimited,
    /// Whether closing the socket resets the connection.
    resets: bool,
    /// What is held for it, if that is bounded.
    reads: Option<Arc<ClientReads>>,
}

impl ClientStream {
    #[must_use]
    pub fn new(
        stream: TcpStream,
        close_delimited: CloseDelimited,
        reads: Option<Arc<ClientReads>>,
    ) -> Self {
        Self { stream, close_delimited, resets: false, reads }
    }

    /// Sets whether closing the socket resets the connection.
    fn set_resets(&mut self, resets: bool) {
        if resets == self.resets {
            return;
        }
        self.resets = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            debug!(target: "listener", "event=socket_option_refused cause=\"{error}\"");
        }
    }

    fn begin_write(&mut self) {
        self.set_resets(self.close_delimited.0.load(Ordering::Relaxed));
    }

    fn record_accepted(&self, polled: &Poll<io::Result<usize>>) {
        if let (Some(reads), Poll::Ready(Ok(bytes))) = (&self.reads, polled) {
            reads.record_accepted(*bytes);
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        let Some(reads) = self.reads.take() else { return };
        reads.release();
        if reads.is_aborted() {
            self.set_resets(true);
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_accepted(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_accepted(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// The HTTP library calls it only after a complete response.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_resets(false);
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
