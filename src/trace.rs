//! Request tracing: each hop of a request adds a span, and a trace id joins the spans of
//! all boxes.
//!
//! Spans are kept in a ring buffer in memory. The trace id is taken from the caller's
//! `traceparent` header, or generated if there is none.

use std::collections::VecDeque;
use std::sync::Mutex;

use crate::sync::locked;

use serde::{Deserialize, Serialize};

/// Capacity of the ring buffer, in spans.
const MAX_SPANS: usize = 8192;

/// Id of a trace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceId(pub u128);

impl TraceId {
    /// The id in a `traceparent` header, or a new one.
    #[must_use]
    pub fn from_header(traceparent: Option<&str>) -> Self {
        let given = traceparent.and_then(|header| header.split('-').nth(1));
        let parsed = given.and_then(|digits| u128::from_str_radix(digits, 16).ok());
        Self(parsed.filter(|id| *id != 0).unwrap_or_else(|| fastrand::u128(1..)))
    }

    /// The `traceparent` header for the next hop.
    #[must_use]
    pub fn header(self) -> String {
        format!("00-{:032x}-{:016x}-01", self.0, fastrand::u64(1..))
    }
}

impl std::fmt::Display for TraceId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// A hop of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Hop {
    /// From the caller's request to the end of the answer.
    Caller,
    /// From a slot request to its final response, as seen by the entry box.
    Ask,
    /// From a slot request to its final response, as seen by the dispatcher.
    Owner,
    /// A call forwarded to the box that may spend its ticket.
    Spender,
    /// Import of context from a store.
    Import,
    /// One attempt on an upstream.
    Upstream,
}

/// One span.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Span {
    /// Id of the trace that it belongs to, in hexadecimal.
    pub trace: String,
    /// Hop that it covers.
    pub hop: Hop,
    /// Name of the box that recorded it.
    pub entry_box: String,
    /// Start, in Unix microseconds.
    pub started_at_us: u64,
    /// End, in Unix microseconds.
    pub ended_at_us: u64,
    /// Target and result of the hop.
    pub note: String,
}

/// Ring buffer of a box's latest spans.
#[derive(Default)]
pub struct Traces {
    buffer: Mutex<VecDeque<Span>>,
}

impl Traces {
    /// Adds a span, in place of the oldest one if the buffer is full.
    pub fn add(&self, span: Span) {
        let mut buffer = locked(&self.buffer);
        if buffer.len() >= MAX_SPANS {
            buffer.pop_front();
        }
        buffer.push_back(span);
    }

    /// The spans of a trace, ordered by start time.
    #[must_use]
    pub fn spans(&self, trace: &str) -> Vec<Span> {
        let buffer = locked(&self.buffer);
        let mut spans: Vec<_> = buffer.iter().filter(|span| span.trace == trace).cloned().collect();
        spans.sort_by_key(|span| (span.started_at_us, span.hop));
        spans
    }
}
