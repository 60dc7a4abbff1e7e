//! Issues permits to send requests to upstreams that name a rate limit, for all boxes.
//!
//! A token bucket for each upstream, which is empty at first: a box that takes over from another, or
//! has forgotten what it issued, goes on at the rate of the limit without a burst.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::rate_limit::{Rate, RateLimit};

/// Time in which a bucket fills up.
const BURST_S: f64 = 0.25;
/// Fewest permits that a bucket holds: a low limit is used in full although requests come unevenly.
const MIN_BURST: f64 = 2.0;
/// Permits per second for an upstream that names a limit of 0: only an answer shows that it has ended.
const TRIALS_PER_S: f64 = 1.0 / 3.0;
/// Time after which a box that has not asked again no longer counts as one that does.
const ASKING_MS: u64 = 2000;
/// Time from one question to the next that all boxes together should ask while they get no permits.
const ASK_SPACING_MS: u64 = 10;
/// Time after which an unused bucket is forgotten.
const RETENTION_MS: u64 = 60_000;

/// Asks the issuer of an upstream for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitQuery {
    /// Identifies the query among those of the sender.
    pub number: u64,
    /// Short id of the upstream.
    pub upstream: u32,
    /// What the sender knows of the limit.
    pub limit: RateLimit,
    /// How many it asks for.
    pub wanted: u16,
}

/// The answer to a [`PermitQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// See [`PermitQuery::number`].
    pub number: u64,
    /// What the issuer knows of the limit.
    pub limit: RateLimit,
    pub issued: Issued,
}

/// What a box gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Issued {
    /// This many permits, and the time until it may ask for others.
    Permits { count: u16, next_in_ms: u32 },
    /// Another box issues them.
    By(IpAddr),
    /// The asked box has just started, and does not know who issues them.
    Unknown,
}

/// The buckets of the upstreams for which this box issues permits.
#[derive(Debug, Default)]
pub struct PermitBuckets {
    by_upstream: HashMap<u32, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    permits: f64,
    updated_at_ms: u64,
    /// When boxes last asked.
    asked_at_ms: HashMap<IpAddr, u64>,
}

impl PermitBuckets {
    /// Begins to count for an upstream, if this box does not do so already.
    pub fn open(&mut self, now_ms: u64, upstream: u32) {
        self.by_upstream.retain(|_, bucket| now_ms < bucket.updated_at_ms + RETENTION_MS);
        self.by_upstream.entry(upstream).or_insert_with(|| Bucket {
            permits: 0.0,
            updated_at_ms: now_ms,
            asked_at_ms: HashMap::new(),
        });
    }

    /// Issues up to `wanted` permits for an upstream with a limit of `rate`.
    pub fn issue(
        &mut self,
        now_ms: u64,
        upstream: u32,
        rate: Rate,
        holder: IpAddr,
        wanted: u16,
    ) -> Issued {
        self.open(now_ms, upstream);
        let Some(bucket) = self.by_upstream.get_mut(&upstream) else { return Issued::Unknown };
        let per_s = if rate == Rate::default() { TRIALS_PER_S } else { rate.per_s() };
        bucket.issue(now_ms, per_s, holder, wanted)
    }
}

impl Bucket {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    fn issue(&mut self, now_ms: u64, per_s: f64, holder: IpAddr, wanted: u16) -> Issued {
        self.asked_at_ms.retain(|_, at_ms| now_ms < *at_ms + ASKING_MS);
        self.asked_at_ms.insert(holder, now_ms);
        let passed_ms = now_ms.saturating_sub(self.updated_at_ms);
        let passed_ms = f64::from(u32::try_from(passed_ms).unwrap_or(u32::MAX));
        let most = (per_s * BURST_S).max(MIN_BURST);
        self.permits = (self.permits + passed_ms / 1000.0 * per_s).min(most);
        self.updated_at_ms = now_ms;
        let count = self.permits.min(f64::from(wanted)).floor().max(0.0);
        self.permits -= count;
        let next_in_ms = if count >= f64::from(wanted) {
            0
        } else {
            let due_in_ms = ((1.0 - self.permits) / per_s * 1000.0).ceil() as u64;
            due_in_ms.max(self.asked_at_ms.len() as u64 * ASK_SPACING_MS)
        };
        let next_in_ms = u32::try_from(next_in_ms).unwrap_or(u32::MAX);
        Issued::Permits { count: count as u16, next_in_ms }
    }
}
