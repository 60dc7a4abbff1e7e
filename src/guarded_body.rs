//! A body that keeps a value alive until it has been sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

/// A body that keeps `_guard` alive until it is dropped.
pub struct GuardedBody<B, T> {
    body: B,
    _guard: T,
}

impl<B, T> GuardedBody<B, T> {
    #[must_use]
    pub fn new(body: B, guard: T) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body + Unpin, T: Unpin> Body for GuardedBody<B, T> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
