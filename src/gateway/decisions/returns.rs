//! Retry scheduling: when a refused client may retry, and which retries take precedence.
//!
//! Load pattern: for seconds more is offered than the engines serve, and each refused client retries
//! once. Retries at random times meet the same overload and are refused as often as new requests.
//! So each refused client is told a time for which part of the capacity is reserved, and new
//! requests leave that part free.
//!
//! Time is divided into buckets. For each class, that is the requests of a service with the same
//! number of ranks above them, the fleet reserves in each bucket at most [`RESERVABLE_PART`] of what
//! it has lately admitted of that class in the same time, and less where retries are late: they
//! displace new requests, which are not. Classes do not reserve capacity of each other, so that the
//! order between them stays. A client for which no bucket has free capacity is told the last one of
//! its window, without a reservation.
//!
//! A box recognises the retries of those whom it refused by their fingerprint, and those of other
//! boxes by a shortened timeout. The timeout tells how long the client has waited: less than
//! [`MIN_WAIT_MS`] is earlier than any box says, and the end of the window is for those without a
//! reservation. Where the timeouts of first attempts differ, a client is told a delay that shows in
//! its timeout.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::gateway::decisions::units::{as_f64, rounded_down};
use crate::gateway::decisions::urgency::RouteTimeouts;

/// Length of a bucket.
const BUCKET_MS: u64 = 100;
/// Shortest delay before a refused client may retry.
const MIN_WAIT_MS: u64 = 400;
/// Longest delay, which bounds the number of buckets to 32.
const MAX_WAIT_MS: u64 = 3200;
/// Time at the end of a window without reservations: the last bucket is for clients without one, and
/// a bucket and the rounding of the window separate it from the reserved ones, since clients need
/// some time to reconnect.
const UNRESERVED_MS: u64 = 300;
/// Time before the end of a window from which on a shortened timeout is that of a client without a
/// reservation.
const UNRESERVED_FROM_MS: u64 = 200;
/// Time after a refusal for which the retry delay is scheduled.
const ACTIVE_MS: u64 = 2000;
/// Part of the admitted work that is reserved at most for retries that can meet their objective. A
/// third of the clients may not use their reservations.
const RESERVABLE_PART: f64 = 0.8;
/// The same for late retries, which earn a fifth to a third of a new request that they displace.
const LATE_RESERVABLE_PART: f64 = 0.25;
/// Time from the admission of a retry to its first token.
const FIRST_TOKEN_MS: u64 = 200;
/// How far a box may exceed its share of a bucket, by its share of the admitted work, since clients
/// are refused unevenly. Boxes that do not know yet of each other's reservations overbook by as much.
const SHARE_EXCESS: f64 = 1.25;
/// Time of reservations for which capacity is kept free; about the age of the loads of other boxes.
const KEPT_FREE_MS: u64 = 200;
/// Time that a request takes from its admission to its end, as `choose` assumes it.
const HELD_MS: f64 = 800.0;
/// The largest part that is kept from new requests. More would refuse requests where less urgent
/// retries are admitted (see `RANK_RESERVE_PART` in `admission`).
const MAX_RESERVED_PART: f64 = 0.25;
/// Time constant of the rate at which work is admitted.
const RATE_MS: f64 = 1000.0;
/// Time after which the rate in a report is no longer valid.
const RATE_VALID_MS: u64 = 1500;
/// Time after its bucket for which a retry is still recognised by its fingerprint.
const RECOGNISED_MS: u64 = 1000;
/// Most retries that are recognised by their fingerprints; about 400 KB.
const MAX_TOLD: usize = 4096;
/// Tokens that a report counts as one, to be short.
const REPORTED_TOKENS: u64 = 64;
/// Most classes in one message, so that it fits a datagram; those with the most work are sent.
const MAX_REPORTS: usize = 12;
/// Most buckets in a report.
const MAX_BUCKETS: u64 = MAX_WAIT_MS / BUCKET_MS;

/// Requests that share capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    /// Short id of the service.
    pub service: u32,
    /// Number of higher-priority ranks among the service's routes.
    pub rank: u8,
}

/// What a request is by the time that its client was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It is not known to be a retry.
    #[default]
    New,
    /// A retry for which capacity is reserved now.
    Due,
    /// A retry that came earlier than told, or without a reservation.
    Unreserved,
}

/// A request on its arrival.
#[derive(Clone, Copy, Debug)]
pub struct Arriving<'a> {
    pub class: Class,
    pub fingerprint: Fingerprint,
    pub route: &'a str,
    /// Time for which its client waits, as far as its route allows it.
    pub timeout_ms: u64,
}

/// A request that is refused since all engines are full.
#[derive(Clone, Copy, Debug)]
pub struct Refused<'a> {
    pub class: Class,
    pub fingerprint: Fingerprint,
    pub standing: Standing,
    /// Engine memory that it would occupy.
    pub tokens: u32,
    pub remaining_ms: u64,
    pub route: &'a str,
    /// See [`Arriving::timeout_ms`].
    pub timeout_ms: u64,
    /// Time by which its first token is due.
    pub objective_at_ms: u64,
    /// Part of the normal capacity that its account may use.
    pub account_part: f64,
    /// Spreads clients within a bucket.
    pub seed: u64,
}

impl Refused<'_> {
    /// The delays after which other boxes recognise a retry by its timeout as one that is due, by the
    /// median timeout of first attempts and the shortest.
    fn visible_ms(&self, (median_ms, shortest_ms): (u64, u64)) -> Range<u64> {
        let hidden_ms = self.timeout_ms.saturating_sub(shortest_ms);
        // Its wait appears shorter or longer than it is, by the difference to the median.
        let seems_early_ms = self.timeout_ms.saturating_sub(median_ms);
        let seems_late_ms = median_ms.saturating_sub(self.timeout_ms);
        let until_ms = window_ms(self.remaining_ms).min(window_ms(median_ms)) - UNRESERVED_MS;
        hidden_ms.max(MIN_WAIT_MS + seems_early_ms)..until_ms.saturating_sub(seems_late_ms)
    }
}

/// What a refused client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTime {
    pub after_ms: u64,
    /// Whether capacity is reserved for it then.
    pub is_reserved: bool,
}

/// Reservations of a box or a hall for one class, as other boxes receive them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnsReport {
    /// Short id of the service.
    pub service: u32,
    /// See [`Class::rank`].
    pub rank: u8,
    /// Time since the last refusal, in milliseconds; [`u16::MAX`] if it was longer ago.
    pub refusal_age_ms: u16,
    /// Work admitted per second, in units of 64 tokens.
    pub admitted_per_s: u32,
    /// Buckets from the sender's current one to the first with reservations.
    pub first: u8,
    /// Work reserved in that bucket and the following ones, in units of 64 tokens.
    pub reserved: Vec<u32>,
}

impl ReturnsReport {
    fn class(&self) -> Class {
        Class { service: self.service, rank: self.rank }
    }

    /// Its buckets and the tokens reserved in each, if `bucket` was the current one on receipt.
    fn buckets(&self, bucket: u64) -> impl Iterator<Item = (u64, u64)> {
        let buckets = (bucket + u64::from(self.first)..).take(self.reserved.len());
        buckets.zip(self.reserved.iter().map(|units| u64::from(*units) * REPORTED_TOKENS))
    }
}

/// Whose reservations a message reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// One process of a box. The clients that were told by one that has stopped retry all the same.
    Box { address: IpAddr, incarnation: u64 },
    /// All boxes of another hall.
    Hall(u32),
    /// All boxes of all other halls.
    OtherHalls,
}

#[derive(Clone, Debug)]
struct Received {
    at_ms: u64,
    /// Whether the rates are in the sums.
    has_rate: bool,
    reports: Vec<ReturnsReport>,
}

/// Work of some boxes for one class.
#[derive(Clone, Debug, Default)]
struct Sum {
    refused_at_ms: Option<u64>,
    admitted_per_s: u64,
    /// Reserved tokens by bucket.
    reserved: BTreeMap<u64, u64>,
}

impl Sum {
    fn reserve(&mut self, bucket: u64, tokens: u64) {
        *self.reserved.entry(bucket).or_default() += tokens;
    }

    fn release(&mut self, bucket: u64, tokens: u64) {
        if let Some(reserved) = self.reserved.get_mut(&bucket) {
            *reserved = reserved.saturating_sub(tokens);
        }
    }

    fn reserved(&self, bucket: u64) -> u64 {
        self.reserved.get(&bucket).copied().unwrap_or_default()
    }

    /// The report of this sum and of `other`.
    fn report(&self, now_ms: u64, class: Class, other: &Self) -> ReturnsReport {
        let bucket = now_ms / BUCKET_MS;
        let buckets = bucket..bucket + MAX_BUCKETS + 1;
        let reserved = |bucket: u64| self.reserved(bucket) + other.reserved(bucket);
        let first = buckets.clone().find(|bucket| reserved(*bucket) > 0).unwrap_or(buckets.end);
        let last = buckets.rev().find(|bucket| reserved(*bucket) > 0).unwrap_or_default();
        let units =
            |tokens: u64| u32::try_from(tokens.div_ceil(REPORTED_TOKENS)).unwrap_or(u32::MAX);
        let refused_at_ms = self.refused_at_ms.max(other.refused_at_ms);
        let age_ms = refused_at_ms.and_then(|at_ms| u16::try_from(now_ms - at_ms.min(now_ms)).ok());
        ReturnsReport {
            service: class.service,
            rank: class.rank,
            refusal_age_ms: age_ms.unwrap_or(u16::MAX),
            admitted_per_s: units(self.admitted_per_s + other.admitted_per_s),
            first: u8::try_from(first - bucket).unwrap_or(u8::MAX),
            reserved: (first..=last).map(|bucket| units(reserved(bucket))).collect(),
        }
    }
}

/// Admitted work, with exponentially decreasing weight.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    tokens: f64,
    at_ms: u64,
}

impl Rate {
    fn per_s(self, now_ms: u64) -> f64 {
        self.tokens * (-as_f64(now_ms.saturating_sub(self.at_ms)) / RATE_MS).exp()
    }

    fn add(&mut self, now_ms: u64, tokens: u32) {
        *self = Self { tokens: self.per_s(now_ms) + f64::from(tokens), at_ms: now_ms };
    }
}

#[derive(Clone, Debug, Default)]
struct ClassState {
    rate: Rate,
    own: Sum,
    /// Other boxes that send their reports to this one.
    boxes: Sum,
    /// Other halls, as bridges report them.
    halls: Sum,
}

impl ClassState {
    fn sums(&self) -> [&Sum; 3] {
        [&self.own, &self.boxes, &self.halls]
    }

    fn sums_mut(&mut self) -> [&mut Sum; 3] {
        [&mut self.own, &mut self.boxes, &mut self.halls]
    }

    fn reserved(&self, bucket: u64) -> u64 {
        self.sums().iter().map(|sum| sum.reserved(bucket)).sum()
    }

    /// Work that this box and the whole fleet admit in a bucket.
    fn admitted(&self, now_ms: u64) -> (f64, f64) {
        let others = as_f64(self.boxes.admitted_per_s + self.halls.admitted_per_s);
        let (own, part) = (self.rate.per_s(now_ms), as_f64(BUCKET_MS) / 1000.0);
        (own * part, (own + others) * part)
    }

    fn is_idle(&self, now_ms: u64) -> bool {
        self.rate.per_s(now_ms) < 1.0
            && self.sums().iter().all(|sum| {
                sum.reserved.is_empty() && sum.admitted_per_s == 0 && sum.refused_at_ms.is_none()
            })
    }
}

/// What a refused client was told.
#[derive(Clone, Copy, Debug)]
struct Told {
    class: Class,
    bucket: u64,
    /// Tokens reserved; 0 without a reservation.
    reserved: u64,
}

/// Retries that refused clients were told to make, of this box and, as sums, of all others.
#[derive(Debug, Default)]
pub struct Returns {
    classes: HashMap<Class, ClassState>,
    told: HashMap<Fingerprint, Told>,
    received: HashMap<Source, Received>,
    /// The timeouts of first attempts.
    timeouts: RouteTimeouts,
}

impl Returns {
    /// Records a request that is sent to an upstream for the first time.
    pub fn record_admitted(&mut self, now_ms: u64, class: Class, tokens: u32) {
        self.classes.entry(class).or_default().rate.add(now_ms, tokens);
    }

    /// What an arriving request is. A retry is recognised once; one that comes too early gives up
    /// its reservation.
    pub fn arrive(&mut self, now_ms: u64, arriving: Arriving<'_>) -> Standing {
        let bucket = now_ms / BUCKET_MS;
        if let Some(told) = self.told.remove(&arriving.fingerprint) {
            if bucket >= told.bucket && told.reserved > 0 {
                return Standing::Due;
            }
            if let Some(state) = self.classes.get_mut(&told.class) {
                state.own.release(told.bucket, told.reserved);
            }
            return Standing::Unreserved;
        }
        let Arriving { class, route, timeout_ms, .. } = arriving;
        let elapsed_ms = self.timeouts.elapsed_of_first_ms(now_ms, route, timeout_ms);
        let reserved_until_ms = window_ms(elapsed_ms + timeout_ms) - UNRESERVED_FROM_MS;
        let is_reserved = |state: &ClassState| {
            (bucket.saturating_sub(1)..=bucket).any(|bucket| state.reserved(bucket) > 0)
        };
        match elapsed_ms {
            0 => Standing::New,
            MIN_WAIT_MS.. if elapsed_ms < reserved_until_ms => {
                let is_reserved = self.classes.get(&class).is_some_and(is_reserved);
                if is_reserved { Standing::Due } else { Standing::Unreserved }
            }
            _ => Standing::Unreserved,
        }
    }

    /// Records a refusal. Returns when its client may retry; `None` if the service has not refused
    /// any other request lately.
    pub fn refuse(&mut self, now_ms: u64, refused: Refused<'_>) -> Option<RetryTime> {
        let is_active = self.is_active(now_ms, refused.class.service);
        let state = self.classes.entry(refused.class).or_default();
        state.own.refused_at_ms = Some(now_ms);
        if !is_active {
            return None;
        }
        let tokens = u64::from(refused.tokens);
        let end_ms = now_ms + window_ms(refused.remaining_ms);
        let first = (now_ms + MIN_WAIT_MS).div_ceil(BUCKET_MS);
        let last = (end_ms / BUCKET_MS).saturating_sub(1).max(first);
        let visible_ms = refused.visible_ms(self.timeouts.first_attempts_ms(refused.route));
        let mut visible =
            (now_ms + visible_ms.start).div_ceil(BUCKET_MS)..(now_ms + visible_ms.end) / BUCKET_MS;
        let free = match refused.standing {
            // Clients retry once.
            Standing::Due | Standing::Unreserved => None,
            Standing::New => {
                let (own, all) = state.admitted(now_ms);
                let (own, all) = (own * SHARE_EXCESS, all * refused.account_part);
                // A random part, so that buckets that hold less than a request get some.
                let needed = as_f64(tokens * (refused.seed / BUCKET_MS % 1000)) / 1000.0;
                visible.find(|bucket| {
                    let first_token_at_ms = (bucket + 1) * BUCKET_MS + FIRST_TOKEN_MS;
                    let is_late = first_token_at_ms > refused.objective_at_ms;
                    let part = if is_late { LATE_RESERVABLE_PART } else { RESERVABLE_PART };
                    as_f64(state.own.reserved(*bucket)) + needed < own * part
                        && as_f64(state.reserved(*bucket)) + needed < all * part
                })
            }
        };
        let reserved = if free.is_some() { tokens.max(1) } else { 0 };
        let bucket = free.unwrap_or(last);
        if reserved > 0 {
            state.own.reserve(bucket, reserved);
        }
        if self.told.len() < MAX_TOLD {
            let told = Told { class: refused.class, bucket, reserved };
            self.told.insert(refused.fingerprint, told);
        }
        let at_ms = bucket * BUCKET_MS + refused.seed % BUCKET_MS;
        Some(RetryTime { after_ms: at_ms - now_ms, is_reserved: reserved > 0 })
    }

    /// Part of the capacity that new requests of a class must leave free.
    #[must_use]
    pub fn reserved_part(&self, now_ms: u64, class: Class, standing: Standing) -> f64 {
        let Some(state) = self.classes.get(&class).filter(|_| standing != Standing::Due) else {
            return 0.0;
        };
        let buckets = now_ms / BUCKET_MS..(now_ms + KEPT_FREE_MS) / BUCKET_MS;
        let reserved = as_f64(buckets.map(|bucket| state.reserved(bucket)).sum());
        if reserved == 0.0 {
            return 0.0;
        }
        let (_, admitted) = state.admitted(now_ms);
        (reserved / (admitted * HELD_MS / as_f64(BUCKET_MS)).max(reserved)).min(MAX_RESERVED_PART)
    }

    /// Reservations of this box, for other boxes.
    #[must_use]
    pub fn own_reports(&self, now_ms: u64) -> Vec<ReturnsReport> {
        self.reports(now_ms, |state| (state.own.clone(), Sum::default()))
    }

    /// Reservations of this box's hall, for other halls.
    #[must_use]
    pub fn hall_reports(&self, now_ms: u64) -> Vec<ReturnsReport> {
        self.reports(now_ms, |state| (state.own.clone(), state.boxes.clone()))
    }

    /// Reservations of other halls, for the boxes of this box's hall.
    #[must_use]
    pub fn other_halls_reports(&self, now_ms: u64) -> Vec<ReturnsReport> {
        self.reports(now_ms, |state| (Sum::default(), state.halls.clone()))
    }

    fn reports(&self, now_ms: u64, sums: impl Fn(&ClassState) -> (Sum, Sum)) -> Vec<ReturnsReport> {
        let told = self.classes.iter().filter(|(class, _)| self.is_active(now_ms, class.service));
        let reports = told.map(|(class, state)| {
            let (first, second) = sums(state);
            first.report(now_ms, *class, &second)
        });
        let mut reports: Vec<ReturnsReport> = reports.collect();
        reports.sort_unstable_by_key(|report| std::cmp::Reverse(report.admitted_per_s));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Takes over the reservations of others, in place of those that they reported before.
    pub fn receive(&mut self, now_ms: u64, source: Source, reports: &[ReturnsReport]) {
        self.remove(source);
        if reports.is_empty() {
            return;
        }
        let at_bucket = now_ms / BUCKET_MS;
        for report in reports {
            let sum = self.sum_mut(source, report.class());
            for (bucket, tokens) in report.buckets(at_bucket) {
                sum.reserve(bucket, tokens);
            }
            sum.admitted_per_s += u64::from(report.admitted_per_s) * REPORTED_TOKENS;
            if report.refusal_age_ms < u16::MAX {
                let at_ms = now_ms.saturating_sub(report.refusal_age_ms.into());
                sum.refused_at_ms = sum.refused_at_ms.max(Some(at_ms));
            }
        }
        let received = Received { at_ms: now_ms, has_rate: true, reports: reports.to_vec() };
        self.received.insert(source, received);
    }

    /// Drops what is past: buckets, rates of silent boxes, and retries that did not come.
    pub fn expire(&mut self, now_ms: u64) {
        let bucket = now_ms / BUCKET_MS;
        let sources: Vec<Source> = self.received.keys().copied().collect();
        for source in sources {
            let received = &self.received[&source];
            if now_ms >= received.at_ms + RATE_VALID_MS + MAX_WAIT_MS {
                self.remove(source);
            } else if received.has_rate && now_ms >= received.at_ms + RATE_VALID_MS {
                self.remove_rate(source);
            }
        }
        for state in self.classes.values_mut() {
            state.own.admitted_per_s = rounded_down(state.rate.per_s(now_ms));
            for sum in state.sums_mut() {
                sum.reserved = sum.reserved.split_off(&bucket.saturating_sub(1));
                sum.refused_at_ms = sum.refused_at_ms.filter(|at_ms| now_ms < at_ms + ACTIVE_MS);
            }
        }
        self.classes.retain(|_, state| !state.is_idle(now_ms));
        self.told.retain(|_, told| now_ms < told.bucket * BUCKET_MS + RECOGNISED_MS);
    }

    /// Drops the routes for which `keep` is false.
    pub fn retain_routes(&mut self, keep: impl Fn(&str) -> bool) {
        self.timeouts.retain(keep);
    }

    /// Whether any box has lately refused requests of a service.
    fn is_active(&self, now_ms: u64, service: u32) -> bool {
        let classes = self.classes.iter().filter(|(class, _)| class.service == service);
        let mut sums = classes.flat_map(|(_, state)| state.sums());
        sums.any(|sum| sum.refused_at_ms.is_some_and(|at_ms| now_ms < at_ms + ACTIVE_MS))
    }

    fn sum_mut(&mut self, source: Source, class: Class) -> &mut Sum {
        let state = self.classes.entry(class).or_default();
        match source {
            Source::Box { .. } => &mut state.boxes,
            Source::Hall(_) | Source::OtherHalls => &mut state.halls,
        }
    }

    fn remove_rate(&mut self, source: Source) {
        let Some(received) = self.received.get_mut(&source).filter(|known| known.has_rate) else {
            return;
        };
        received.has_rate = false;
        for report in received.reports.clone() {
            let sum = self.sum_mut(source, report.class());
            let admitted = u64::from(report.admitted_per_s) * REPORTED_TOKENS;
            sum.admitted_per_s = sum.admitted_per_s.saturating_sub(admitted);
        }
    }

    fn remove(&mut self, source: Source) {
        self.remove_rate(source);
        let Some(received) = self.received.remove(&source) else { return };
        for report in &received.reports {
            let sum = self.sum_mut(source, report.class());
            for (bucket, tokens) in report.buckets(received.at_ms / BUCKET_MS) {
                sum.release(bucket, tokens);
            }
        }
    }
}

/// Time within which a client retries that has `remaining_ms` left.
fn window_ms(remaining_ms: u64) -> u64 {
    (remaining_ms / 3).clamp(MIN_WAIT_MS + BUCKET_MS, MAX_WAIT_MS)
}
