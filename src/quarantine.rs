//! Quarantine of requests that crash upstreams.
//!
//! Some requests crash every upstream that starts to run them, and are retried under another id at
//! any box. A crash also ends all other requests that run on the upstream, the bystanders, so that
//! one crash says little about any single request. A request is quarantined once
//! [`CRASHES_TO_QUARANTINE`] incarnations (runs of the process) of upstreams have crashed while they
//! ran it and none has answered it since. Its first run after the quarantine decides: an answer
//! clears the request, a crash quarantines it again.
//!
//! An upstream that closes a connection early may have crashed or may not, which can take seconds
//! to find out. Until then the abort counts like a crash for one purpose: a request whose crashes
//! and open aborts together reach the limit is withheld, not refused. Clients that repeat a request
//! at once, at any box, therefore cannot crash more upstreams than the limit.
//!
//! For a while, boxes announce crashes to each other and pass on what they receive. Quarantined
//! requests are also kept in the platform's store.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// Incarnations of upstreams that must crash while they run a request before it is quarantined. A
/// bystander gets at most one crash with each of its attempts.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Duration of a quarantine.
pub const QUARANTINE_MS: u64 = 3_600_000;
/// Time for which a request remains suspect after a crash, including the quarantine.
const SUSPECT_MS: u64 = 2 * QUARANTINE_MS;
/// Time for which a crash or an answer is announced to other boxes.
const ANNOUNCE_MS: u64 = 3000;
/// Maximum number of recent crashes, or of answers, in one message.
const MAX_ANNOUNCED_CRASHES: usize = 48;
/// Maximum number of quarantined requests in one message; they take turns.
const MAX_ANNOUNCED_QUARANTINED: usize = 8;
/// Time after which an abort no longer counts if nobody has found out whether the upstream crashed.
/// The check takes 0.3 s to connect and watches the connection for 2 s.
pub const ABORT_CHECK_MS: u64 = 2500;
/// Maximum number of suspect requests; the crash of a large upstream adds dozens.
const MAX_SUSPECTS: usize = 4096;

/// How quickly to announce what an update has changed; later variants are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateUrgency {
    /// Nothing has changed.
    None,
    /// The first crash under a request, which every bystander also gets.
    FirstCrash,
    /// Announce the change immediately.
    Urgent,
}

/// A crash of an upstream that was running a request, as announced to other boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Short id of the incarnation that crashed; reports with the same id count as one crash.
    pub incarnation_id: u32,
    /// Age in milliseconds, as the clocks of boxes may differ.
    pub age_ms: u32,
}

/// A request that an upstream aborted, as reported to other boxes while it is being checked whether
/// the upstream has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbortReport {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Short id of the incarnation that aborted it.
    pub incarnation_id: u32,
    /// Age in milliseconds.
    pub age_ms: u32,
}

/// An answer to a suspect request, as announced to other boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Age in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    incarnation_id: u32,
    at_ms: u64,
}

/// An abort of which is not known yet whether it was a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenAbort {
    incarnation_id: u32,
    at_ms: u64,
}

impl OpenAbort {
    fn is_open(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms + ABORT_CHECK_MS
    }
}

/// Crashes and answers of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Aborts that are being checked, one for each incarnation.
    open_aborts: Vec<OpenAbort>,
    /// Crashes since the latest answer, at most [`CRASHES_TO_QUARANTINE`].
    crashes: Vec<Crash>,
    answered_at_ms: Option<u64>,
}

impl Suspect {
    fn last_crash_at_ms(&self) -> u64 {
        self.crashes.iter().map(|crash| crash.at_ms).max().unwrap_or_default()
    }

    /// End of the quarantine; 0 if too few crashes are known for one.
    fn until_ms(&self) -> u64 {
        if self.crashes.len() < CRASHES_TO_QUARANTINE {
            0
        } else {
            self.last_crash_at_ms() + QUARANTINE_MS
        }
    }

    /// Records an abort that is to be checked.
    fn record_abort(&mut self, now_ms: u64, abort: OpenAbort) {
        self.open_aborts.retain(|known| known.is_open(now_ms));
        let is_cleared = self.answered_at_ms.is_some_and(|at_ms| abort.at_ms <= at_ms);
        let is_known = self.has_crash(abort.incarnation_id)
            || self.open_aborts.iter().any(|known| known.incarnation_id == abort.incarnation_id);
        if !is_cleared && !is_known && abort.is_open(now_ms) {
            self.open_aborts.push(abort);
        }
    }

    /// Ends the check of an abort.
    fn settle_abort(&mut self, incarnation_id: u32) {
        self.open_aborts.retain(|abort| abort.incarnation_id != incarnation_id);
    }

    fn has_crash(&self, incarnation_id: u32) -> bool {
        self.crashes.iter().any(|crash| crash.incarnation_id == incarnation_id)
    }

    /// When so many open aborts have expired that the request is no longer withheld; `None` if it
    /// is not withheld, or is quarantined.
    fn withheld_until_ms(&self, now_ms: u64) -> Option<u64> {
        let missing = CRASHES_TO_QUARANTINE.checked_sub(self.crashes.len()).filter(|n| *n > 0)?;
        let mut open: Vec<u64> = self
            .open_aborts
            .iter()
            .filter(|abort| abort.is_open(now_ms))
            .map(|abort| abort.at_ms + ABORT_CHECK_MS)
            .collect();
        open.sort_unstable();
        Some(open[open.len().checked_sub(missing)?])
    }

    /// Records a crash; returns whether it is new.
    fn record_crash(&mut self, crash: Crash) -> bool {
        self.settle_abort(crash.incarnation_id);
        let is_cleared = self.answered_at_ms.is_some_and(|at_ms| crash.at_ms <= at_ms);
        if is_cleared || self.has_crash(crash.incarnation_id) {
            return false;
        }
        if self.crashes.len() == CRASHES_TO_QUARANTINE {
            if crash.at_ms <= self.last_crash_at_ms() {
                return false;
            }
            self.crashes.sort_unstable_by_key(|known| known.at_ms);
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Records an answer; returns whether it clears a crash, or the request was withheld.
    fn record_answer(&mut self, at_ms: u64) -> bool {
        let crashes_before = self.crashes.len();
        let was_withheld = self.withheld_until_ms(at_ms).is_some();
        self.answered_at_ms = self.answered_at_ms.max(Some(at_ms));
        self.crashes.retain(|crash| crash.at_ms > at_ms);
        self.open_aborts.retain(|abort| abort.at_ms > at_ms);
        self.crashes.len() < crashes_before || was_withheld
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        let last_ms = self.last_crash_at_ms().max(self.answered_at_ms.unwrap_or_default());
        now_ms < last_ms + SUSPECT_MS || self.open_aborts.iter().any(|abort| abort.is_open(now_ms))
    }
}

/// All suspect and quarantined requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    announce_offset: usize,
}

impl Quarantine {
    /// Records that an upstream has crashed while it ran a request.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        request: Fingerprint,
        incarnation_id: u32,
        at_ms: u64,
    ) -> UpdateUrgency {
        let suspect = self.suspects.entry(request).or_default();
        let is_new = suspect.record_crash(Crash { incarnation_id, at_ms });
        let urgency = match suspect.crashes.len() {
            _ if !is_new => UpdateUrgency::None,
            1 => UpdateUrgency::FirstCrash,
            _ => UpdateUrgency::Urgent,
        };
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict(now_ms);
        }
        urgency
    }

    /// Records that an upstream has aborted a request, which counts until it is known whether the
    /// upstream has crashed.
    pub fn record_abort(&mut self, now_ms: u64, report: AbortReport) {
        let abort = OpenAbort {
            incarnation_id: report.incarnation_id,
            at_ms: now_ms.saturating_sub(report.age_ms.into()),
        };
        self.suspects.entry(report.request).or_default().record_abort(now_ms, abort);
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict(now_ms);
        }
    }

    /// Records that an upstream that aborted a request has not crashed.
    pub fn settle_abort(&mut self, request: Fingerprint, incarnation_id: u32) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.settle_abort(incarnation_id);
        }
    }

    /// Aborts of some requests that are being checked.
    #[must_use]
    pub fn open_aborts_of(&self, now_ms: u64, requests: &[Fingerprint]) -> Vec<AbortReport> {
        let suspects =
            requests.iter().filter_map(|request| Some((request, self.suspects.get(request)?)));
        let aborts = suspects.flat_map(|(request, suspect)| {
            let open = suspect.open_aborts.iter().filter(|abort| abort.is_open(now_ms));
            open.map(|abort| AbortReport {
                request: *request,
                incarnation_id: abort.incarnation_id,
                age_ms: age_ms(now_ms, abort.at_ms),
            })
        });
        aborts.collect()
    }

    /// Until when a request is withheld at most because aborts of it are being checked; `None` if
    /// it may run, or is quarantined.
    #[must_use]
    pub fn withheld_until_ms(&self, now_ms: u64, request: Fingerprint) -> Option<u64> {
        self.suspects.get(&request)?.withheld_until_ms(now_ms)
    }

    /// Whether a request must not run now, because it is quarantined or aborts of it are being
    /// checked.
    #[must_use]
    pub fn is_withheld(&self, now_ms: u64, request: Fingerprint) -> bool {
        self.until_ms(now_ms, request).is_some()
            || self.withheld_until_ms(now_ms, request).is_some()
    }

    /// Records that an upstream has answered a request; returns whether this clears a crash, or the
    /// request was withheld.
    pub fn record_answer(&mut self, request: Fingerprint, at_ms: u64) -> bool {
        self.suspects.get_mut(&request).is_some_and(|suspect| suspect.record_answer(at_ms))
    }

    /// End of a request's quarantine; `None` if it is not quarantined.
    #[must_use]
    pub fn until_ms(&self, now_ms: u64, request: Fingerprint) -> Option<u64> {
        let until_ms = self.suspects.get(&request)?.until_ms();
        (now_ms < until_ms).then_some(until_ms)
    }

    /// The quarantined requests, each with the short ids of the incarnations that crashed.
    pub fn quarantined(&self, now_ms: u64) -> impl Iterator<Item = (Fingerprint, Vec<u32>)> {
        let quarantined =
            self.suspects.iter().filter(move |(_, suspect)| now_ms < suspect.until_ms());
        quarantined.map(|(request, suspect)| {
            let mut incarnation_ids: Vec<u32> =
                suspect.crashes.iter().map(|crash| crash.incarnation_id).collect();
            incarnation_ids.sort_unstable();
            (*request, incarnation_ids)
        })
    }

    /// Merges a quarantined request from a list that has no timestamps.
    pub fn merge_listed(&mut self, now_ms: u64, request: Fingerprint, incarnation_ids: &[u32]) {
        let suspect = self.suspects.entry(request).or_default();
        // The list may be older than the answer.
        if suspect.answered_at_ms.is_none() {
            for incarnation_id in incarnation_ids {
                suspect.record_crash(Crash { incarnation_id: *incarnation_id, at_ms: now_ms });
            }
        }
    }

    /// Merges reports from another box.
    pub fn merge_reports(
        &mut self,
        now_ms: u64,
        crashes: &[CrashReport],
        answers: &[AnswerReport],
    ) -> UpdateUrgency {
        let mut urgency = UpdateUrgency::None;
        for report in answers {
            let at_ms = now_ms.saturating_sub(report.age_ms.into());
            // The answer may be reported before the crash that it clears.
            if self.suspects.entry(report.request).or_default().record_answer(at_ms) {
                urgency = UpdateUrgency::Urgent;
            }
        }
        for report in crashes {
            let at_ms = now_ms.saturating_sub(report.age_ms.into());
            urgency = urgency.max(self.record_crash(
                now_ms,
                report.request,
                report.incarnation_id,
                at_ms,
            ));
        }
        urgency
    }

    /// The crashes of up to `max_requests` requests, those with the most crashes.
    #[must_use]
    pub fn most_crashes(&self, now_ms: u64, max_requests: usize) -> Vec<CrashReport> {
        let suspects = self.suspects.iter().filter(|(_, suspect)| !suspect.crashes.is_empty());
        let mut requests: Vec<(usize, Fingerprint)> =
            suspects.map(|(request, suspect)| (suspect.crashes.len(), *request)).collect();
        requests.sort_unstable_by_key(|ranked| std::cmp::Reverse(*ranked));
        requests.truncate(max_requests);
        let requests: Vec<Fingerprint> = requests.into_iter().map(|(_, request)| request).collect();
        self.crashes_of(now_ms, &requests)
    }

    /// All known crashes of some requests.
    #[must_use]
    pub fn crashes_of(&self, now_ms: u64, requests: &[Fingerprint]) -> Vec<CrashReport> {
        let suspects =
            requests.iter().filter_map(|request| Some((request, self.suspects.get(request)?)));
        let crashes = suspects.flat_map(|(request, suspect)| {
            suspect.crashes.iter().map(|crash| crash_report(now_ms, *request, *crash))
        });
        crashes.collect()
    }

    /// The crashes to announce: recent ones, starting with the requests that have the most crashes,
    /// and all crashes of some quarantined requests, which take turns.
    pub fn crashes_to_announce(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let mut recent: Vec<(usize, CrashReport)> = Vec::new();
        for (request, suspect) in &self.suspects {
            let recent_crashes =
                suspect.crashes.iter().filter(|crash| now_ms < crash.at_ms + ANNOUNCE_MS);
            recent.extend(
                recent_crashes
                    .map(|crash| (suspect.crashes.len(), crash_report(now_ms, *request, *crash))),
            );
        }
        recent.sort_unstable_by_key(|(crashes, _)| std::cmp::Reverse(*crashes));
        recent.truncate(MAX_ANNOUNCED_CRASHES);
        let recent = recent.into_iter().map(|(_, crash)| crash);
        recent.chain(self.quarantined_to_announce(now_ms)).collect()
    }

    fn quarantined_to_announce(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let mut quarantined: Vec<Fingerprint> =
            self.quarantined(now_ms).map(|(request, _)| request).collect();
        if quarantined.is_empty() {
            return Vec::new();
        }
        quarantined.sort_unstable();
        let start = self.announce_offset % quarantined.len();
        self.announce_offset = self.announce_offset.wrapping_add(MAX_ANNOUNCED_QUARANTINED);
        let announced: Vec<Fingerprint> = quarantined
            .iter()
            .cycle()
            .skip(start)
            .take(quarantined.len().min(MAX_ANNOUNCED_QUARANTINED))
            .copied()
            .collect();
        self.crashes_of(now_ms, &announced)
    }

    /// The recent answers to announce.
    #[must_use]
    pub fn answers_to_announce(&self, now_ms: u64) -> Vec<AnswerReport> {
        let answered = self.suspects.iter().filter_map(|(request, suspect)| {
            let at_ms = suspect.answered_at_ms.filter(|at_ms| now_ms < at_ms + ANNOUNCE_MS)?;
            Some(AnswerReport { request: *request, age_ms: age_ms(now_ms, at_ms) })
        });
        answered.take(MAX_ANNOUNCED_CRASHES).collect()
    }

    /// Evicts requests without recent crashes or answers and, if there are still too many, those
    /// with the fewest and oldest crashes.
    fn evict(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| suspect.is_recent(now_ms));
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        // The fingerprint breaks ties.
        let rank = |request: &Fingerprint, suspect: &Suspect| {
            let open_aborts = suspect.open_aborts.iter().filter(|abort| abort.is_open(now_ms));
            let events = suspect.crashes.len() + open_aborts.count();
            (events, suspect.last_crash_at_ms(), *request)
        };
        let mut ranks: Vec<_> =
            self.suspects.iter().map(|(request, suspect)| rank(request, suspect)).collect();
        ranks.sort_unstable();
        // Keeps half of the limit, so that this happens rarely.
        let lowest = ranks[ranks.len() - MAX_SUSPECTS / 2];
        self.suspects.retain(|request, suspect| rank(request, suspect) >= lowest);
    }
}

fn crash_report(now_ms: u64, request: Fingerprint, crash: Crash) -> CrashReport {
    CrashReport {
        request,
        incarnation_id: crash.incarnation_id,
        age_ms: age_ms(now_ms, crash.at_ms),
    }
}

fn age_ms(now_ms: u64, at_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}
