//! Traces: a span for each hop of a request, joined over boxes by trace id.
//!
//! Spans are kept in a ring in memory. The trace id comes from the caller's
//! `traceparent` header, or is made here.

use std::collections::VecDeque;
use std::sync::Mutex;

use crate::sync::locked;

use serde::{Deserialize, Serialize};

/// Spans that a box remembers.
const MAX_SPANS: usize = 8192;

/// Names a trace.
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
    /// From an ask to its verdict, as the entry box sees it.
    Ask,
    /// From an ask to its verdict, at the dispatcher.
    Owner,
    /// From a box to the box that may spend a ticket.
    Spender,
    /// The bringing of kept context.
    Import,
    /// One attempt on an upstream.
    Upstream,
}

/// One span.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Span {
    /// Trace that it belongs to, in hex.
    pub trace: String,
    /// Which hop it is.
    pub hop: Hop,
    /// Box that did it.
    pub entry_box: String,
    /// Start, in Unix microseconds.
    pub started_at_us: u64,
    /// End, in Unix microseconds.
    pub ended_at_us: u64,
    /// Where it went and how it ended.
    pub note: String,
}

/// The spans that a box remembers.
#[derive(Default)]
pub struct Traces {
    ring: Mutex<VecDeque<Span>>,
}

impl Traces {
    /// Adds a span.
    pub fn add(&self, span: Span) {
        let mut ring = locked(&self.ring);
        if ring.len() >= MAX_SPANS {
            ring.pop_front();
        }
        ring.push_back(span);
    }

    /// The spans of a trace, in order of their start.
    #[must_use]
    pub fn spans(&self, trace: &str) -> Vec<Span> {
        let ring = locked(&self.ring);
        let mut spans: Vec<_> = ring.iter().filter(|span| span.trace == trace).cloned().collect();
        spans.sort_by_key(|span| (span.started_at_us, span.hop));
        spans
    }
}
