//! Rate limits that upstreams in need name in their answers: the requests per second that an upstream
//! takes from all boxes together.
//!
//! *Load pattern:* the limit may be a request a second for a fleet of hundreds of boxes, and most
//! clients may turn to any one of them. Equal parts of it would be too small to be of use, and most of
//! them would belong to boxes without work. So one box, the issuer of an upstream, counts for all
//! (`permits`), and whichever has requests to send asks it for permits.
//!
//! Answers may overtake each other, and boxes hear of them at different times. What is known of a limit
//! is therefore numbered: an observation gets a higher number than all that the box knew when it sent
//! the request, and the higher number counts, wherever it comes from.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Time within which an issued permit is used; the next ones are asked for by what the box sent or
/// could not send in such a time.
pub const PERMIT_TIME_MS: u64 = 200;
/// Time for which boxes tell each other that a limit has ended.
const END_REPORT_MS: u64 = 5000;
/// Most requests that are remembered to reckon how many permits to ask for.
const MAX_WANTED: usize = 1000;

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate {
    per_1000_s: u32,
}

impl Rate {
    /// A rate in requests per second; `None` unless it is a finite number from 0 on.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let per_1000_s = (per_s * 1000.0).min(f64::from(u32::MAX));
        (per_s.is_finite() && per_s >= 0.0).then_some(Self { per_1000_s: per_1000_s as u32 })
    }

    /// Requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.per_1000_s) / 1000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_s())
    }
}

/// What is known of an upstream's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Rises with each change; 0 if the upstream has never named a limit.
    pub number: u32,
    /// The limit; `None` if the upstream takes any number of requests.
    pub rate: Option<Rate>,
}

impl RateLimit {
    /// The newer one of two.
    #[must_use]
    pub fn newer(self, other: Self) -> Self {
        if self.supersedes(other) { self } else { other }
    }

    /// Whether it goes before `other`: because it is newer, or if neither is, because it is lower.
    fn supersedes(self, other: Self) -> bool {
        self.number > other.number || self.number == other.number && is_lower(self.rate, other.rate)
    }
}

fn is_lower(rate: Option<Rate>, other: Option<Rate>) -> bool {
    match (rate, other) {
        (Some(rate), Some(other)) => rate < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// The limit of an upstream as known to this box, and what this box may send there.
#[derive(Debug, Default)]
pub struct LimitState {
    limit: RateLimit,
    /// When this box learned of it.
    learned_at_ms: u64,
    permits: Permits,
    /// Whether it is known that a limit could not be read.
    noted_unreadable: bool,
}

/// Permits of this box to send requests to one upstream.
#[derive(Debug, Default)]
struct Permits {
    left: u32,
    expire_at_ms: u64,
    /// Until when an answer of the issuer is awaited.
    asked_until_ms: u64,
    /// Until when the issuer has none for this box.
    denied_until_ms: u64,
    /// When requests were sent, or were refused for want of permits.
    wanted_at_ms: VecDeque<u64>,
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// Yes: there is no limit, or this box has a permit.
    Permitted,
    /// A permit has to be asked for.
    ToBeAsked,
    /// An answer to the question for permits is awaited.
    Asked,
    /// Not before this time.
    DeniedUntil(u64),
}

impl LimitState {
    /// The state of an upstream of which this was known before its entry was lost.
    #[must_use]
    pub fn known(now_ms: u64, limit: RateLimit) -> Self {
        Self { limit, learned_at_ms: now_ms, ..Self::default() }
    }

    /// What is known of the limit.
    #[must_use]
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Time since this box learned of the limit.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.learned_at_ms)
    }

    /// Whether peers are told of it: it is in force, or has just ended.
    #[must_use]
    pub fn is_told(&self, now_ms: u64) -> bool {
        self.limit.rate.is_some() || self.limit.number > 0 && self.age_ms(now_ms) < END_REPORT_MS
    }

    /// Records that an answer to a request that was sent at `sent_at_ms` names the limit `rate`, or
    /// none. Returns whether that is new.
    ///
    /// An answer to a request that was sent before this box learned of the present limit may have been
    /// written before that was named. It can only lower the limit.
    pub fn record_answer(&mut self, now_ms: u64, sent_at_ms: u64, rate: Option<Rate>) -> bool {
        let may_raise = sent_at_ms > self.learned_at_ms;
        let is_change = is_lower(rate, self.limit.rate) || may_raise && rate != self.limit.rate;
        is_change && {
            let number = self.limit.number.saturating_add(1);
            self.merge(now_ms, RateLimit { number, rate })
        }
    }

    /// Takes over what another box knows. Returns whether it is new.
    pub fn merge(&mut self, now_ms: u64, limit: RateLimit) -> bool {
        if !limit.supersedes(self.limit) {
            return false;
        }
        // Permits were issued, and denied, under another limit.
        self.permits = Permits::default();
        (self.limit, self.learned_at_ms) = (limit, now_ms);
        true
    }

    /// Notes that an answer names a limit that cannot be read. Returns whether it is the first.
    pub fn note_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.noted_unreadable, true)
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn sending(&self, now_ms: u64) -> Sending {
        let permits = &self.permits;
        if self.limit.rate.is_none() || self.permits(now_ms) > 0 {
            Sending::Permitted
        } else if now_ms < permits.asked_until_ms {
            Sending::Asked
        } else if now_ms < permits.denied_until_ms {
            Sending::DeniedUntil(permits.denied_until_ms)
        } else {
            Sending::ToBeAsked
        }
    }

    /// How many requests this box may send without asking again.
    #[must_use]
    pub fn permits(&self, now_ms: u64) -> u32 {
        if now_ms < self.permits.expire_at_ms { self.permits.left } else { 0 }
    }

    /// Uses a permit, if one is needed. Returns whether a request may be sent.
    pub fn take_permit(&mut self, now_ms: u64) -> bool {
        if self.limit.rate.is_none() {
            return true;
        }
        let is_permitted = self.sending(now_ms) == Sending::Permitted;
        if is_permitted {
            self.permits.left -= 1;
            self.permits.record_wanted(now_ms);
        }
        is_permitted
    }

    /// Records a request that was refused for want of permits.
    pub fn record_unmet(&mut self, now_ms: u64) {
        if self.limit.rate.is_some() {
            self.permits.record_wanted(now_ms);
        }
    }

    /// Records that the issuer is asked, whose answer is awaited until `until_ms`. Returns how many
    /// permits to ask for.
    pub fn begin_asking(&mut self, now_ms: u64, until_ms: u64) -> u16 {
        let permits = &mut self.permits;
        permits.asked_until_ms = until_ms;
        permits.expire(now_ms);
        u16::try_from(permits.wanted_at_ms.len().max(1)).unwrap_or(u16::MAX)
    }

    /// Records the issuer's answer: how many permits this box gets, and until when it has no others.
    pub fn record_issued(&mut self, now_ms: u64, count: u16, denied_until_ms: u64) {
        let left = self.permits(now_ms);
        let permits = &mut self.permits;
        permits.asked_until_ms = 0;
        permits.denied_until_ms = denied_until_ms;
        if count > 0 {
            permits.left = left + u32::from(count);
            permits.expire_at_ms = now_ms + PERMIT_TIME_MS;
        }
    }
}

impl Permits {
    fn record_wanted(&mut self, now_ms: u64) {
        if self.wanted_at_ms.len() == MAX_WANTED {
            self.wanted_at_ms.pop_front();
        }
        self.wanted_at_ms.push_back(now_ms);
        self.expire(now_ms);
    }

    fn expire(&mut self, now_ms: u64) {
        let is_old = |at_ms: &u64| at_ms + PERMIT_TIME_MS <= now_ms;
        while self.wanted_at_ms.front().is_some_and(is_old) {
            self.wanted_at_ms.pop_front();
        }
    }
}
