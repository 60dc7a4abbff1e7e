//! Where streams began: the service, and the version of its upstreams' software.
//!
//! What upstreams with different software write does not fit together, and upstreams do not check it.
//! So a stream is only resumed at the version that sent its first event, however often its client
//! resumes it and at whichever box. A box that does not know where a stream began does not resume it,
//! unless it can only have begun at one version (`software_history`).

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// Most streams of which the origin is kept. Beyond that, the one that expires first is forgotten.
const MAX_STREAMS: usize = 65_536;

/// Identifies a stream in all requests for it, which have different ids: hash of the account and of
/// the id of the request whose response began the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The stream that began in the response to a request of `account`.
    #[must_use]
    pub fn new(account: &str, request_id: &str) -> Self {
        Self(Fingerprint::new(account, &[request_id], b"").0)
    }
}

/// Where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Short id of the service.
    pub service: u32,
    /// Short id of the version of the software.
    pub software: u32,
}

/// The origin of a stream, as boxes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    pub stream: StreamId,
    pub origin: StreamOrigin,
    /// Time for which the stream's client may still resume it, in milliseconds.
    pub left_ms: u32,
}

/// A question about the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Identifies the query among those of the sender.
    pub number: u64,
    pub stream: StreamId,
}

/// The answer to an [`OriginQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// See [`OriginQuery::number`].
    pub number: u64,
    /// `None` if the sender does not know the origin.
    pub report: Option<OriginReport>,
}

/// The origins of streams that this box knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamId, KnownStream>,
    by_expiry: BTreeSet<(u64, StreamId)>,
}

#[derive(Clone, Copy, Debug)]
struct KnownStream {
    /// `None` if reports differ.
    origin: Option<StreamOrigin>,
    expires_at_ms: u64,
}

impl StreamOrigins {
    /// Records where a stream began, until its client can no longer resume it.
    pub fn record(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        origin: StreamOrigin,
        expires_at_ms: u64,
    ) {
        self.forget_expired(now_ms);
        let mut known = KnownStream { origin: Some(origin), expires_at_ms };
        if let Some(earlier) = self.streams.get(&stream).copied() {
            // Two streams under one id cannot be told apart.
            known.origin = earlier.origin.filter(|earlier| *earlier == origin);
            known.expires_at_ms = expires_at_ms.max(earlier.expires_at_ms);
            self.by_expiry.remove(&(earlier.expires_at_ms, stream));
        }
        self.by_expiry.insert((known.expires_at_ms, stream));
        self.streams.insert(stream, known);
        if self.streams.len() > MAX_STREAMS {
            self.forget_first();
        }
    }

    /// Where a stream began, if that is known for certain.
    #[must_use]
    pub fn get(&self, now_ms: u64, stream: StreamId) -> Option<StreamOrigin> {
        let known = self.streams.get(&stream).filter(|known| now_ms < known.expires_at_ms);
        known.and_then(|known| known.origin)
    }

    /// What this box tells others of a stream.
    #[must_use]
    pub fn report(&self, now_ms: u64, stream: StreamId) -> Option<OriginReport> {
        let origin = self.get(now_ms, stream)?;
        let left_ms = self.streams.get(&stream)?.expires_at_ms.saturating_sub(now_ms);
        let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        Some(OriginReport { stream, origin, left_ms })
    }

    /// Takes over what another box tells.
    pub fn merge(&mut self, now_ms: u64, report: OriginReport) {
        let expires_at_ms = now_ms + u64::from(report.left_ms);
        self.record(now_ms, report.stream, report.origin, expires_at_ms);
    }

    /// Number of streams that are kept.
    #[must_use]
    pub fn count(&self) -> usize {
        self.streams.len()
    }

    fn forget_expired(&mut self, now_ms: u64) {
        while self.by_expiry.first().is_some_and(|(expires_at_ms, _)| now_ms >= *expires_at_ms) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, stream)) = self.by_expiry.pop_first() {
            self.streams.remove(&stream);
        }
    }
}
