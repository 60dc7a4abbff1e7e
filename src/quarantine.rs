//! Requests under which upstreams crash.
//!
//! Some requests crash whatever begins to run them, and come again under another id, at any
//! box. Each crash also ends what else runs there, so that it says little of any one request:
//! one under which [`CRASHES`] upstreams have crashed, and which none has run to an end since,
//! is quarantined. Its next run after that decides: an answer clears it, a crash quarantines
//! it again.
//!
//! Boxes tell each other of crashes for a while, and pass on what they hear; quarantined
//! requests are kept in the platform's store as well.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// Upstreams that must crash under a request before it is quarantined: a bystander meets
/// one with each of its tries at most.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Time for which a request is quarantined.
pub const QUARANTINE_MS: u64 = 3_600_000;
/// Time for which a request is suspect after a crash, quarantine included.
const SUSPECT_MS: u64 = 2 * QUARANTINE_MS;
/// Time for which a crash is told to other boxes.
const ANNOUNCE_MS: u64 = 3000;
/// Crashes told in one message.
const MAX_ANNOUNCED_CRASHES: usize = 48;
/// Quarantined requests told in one message, in turn.
const MAX_ANNOUNCED_QUARANTINED: usize = 8;
/// Suspects remembered; a crash of a large upstream brings dozens.
const MAX_SUSPECTS: usize = 4096;

/// What a message brought; later variants matter more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateUrgency {
    /// Nothing that was not known.
    None,
    /// The first crash under a request, which each bystander has.
    FirstCrash,
    /// What others should know at once.
    Urgent,
}

/// An upstream that crashed while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// Number of the upstream's run.
    pub upstream: u32,
    /// Time since, in milliseconds: clocks of boxes may differ.
    pub age_ms: u32,
}

/// A suspect request that an upstream has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// The request.
    pub request: Fingerprint,
    /// Time since, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    upstream: u32,
    at_ms: u64,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes since it was answered last, [`CRASHES`] at most.
    crashes: Vec<Crash>,
    answered_at_ms: Option<u64>,
}

impl Suspect {
    fn last_at_ms(&self) -> u64 {
        self.crashes.iter().map(|crash| crash.at_ms).max().unwrap_or_default()
    }

    /// Until when it is quarantined; 0 if it never was.
    fn until_ms(&self) -> u64 {
        if self.crashes.len() < CRASHES_TO_QUARANTINE {
            0
        } else {
            self.last_at_ms() + QUARANTINE_MS
        }
    }

    /// Counts a crash; whether it was not known.
    fn record_crash(&mut self, crash: Crash) -> bool {
        let is_cleared = self.answered_at_ms.is_some_and(|at_ms| crash.at_ms <= at_ms);
        let is_known = self.crashes.iter().any(|known| known.upstream == crash.upstream);
        if is_cleared || is_known {
            return false;
        }
        if self.crashes.len() == CRASHES_TO_QUARANTINE {
            if crash.at_ms <= self.last_at_ms() {
                return false;
            }
            self.crashes.sort_unstable_by_key(|known| known.at_ms);
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Notes an answer; whether it clears crashes.
    fn record_answer(&mut self, at_ms: u64) -> bool {
        let before = self.crashes.len();
        self.answered_at_ms = self.answered_at_ms.max(Some(at_ms));
        self.crashes.retain(|crash| crash.at_ms > at_ms);
        self.crashes.len() < before
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        let last_ms = self.last_at_ms().max(self.answered_at_ms.unwrap_or_default());
        now_ms < last_ms + SUSPECT_MS
    }
}

/// The requests under which upstreams crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    next_announced: usize,
}

impl Quarantine {
    /// Counts an upstream that crashed while it had a request.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        request: Fingerprint,
        upstream: u32,
        at_ms: u64,
    ) -> UpdateUrgency {
        let suspect = self.suspects.entry(request).or_default();
        let is_new = suspect.record_crash(Crash { upstream, at_ms });
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

    /// Notes that an upstream has answered a request; whether it was a suspect.
    pub fn record_answer(&mut self, request: Fingerprint, at_ms: u64) -> bool {
        self.suspects.get_mut(&request).is_some_and(|suspect| suspect.record_answer(at_ms))
    }

    /// Until when a request is quarantined; `None` if it is not.
    #[must_use]
    pub fn until_ms(&self, now_ms: u64, request: Fingerprint) -> Option<u64> {
        let until_ms = self.suspects.get(&request)?.until_ms();
        (now_ms < until_ms).then_some(until_ms)
    }

    /// The requests that are quarantined, with the upstreams that crashed.
    pub fn quarantined(&self, now_ms: u64) -> impl Iterator<Item = (Fingerprint, Vec<u32>)> {
        let quarantined =
            self.suspects.iter().filter(move |(_, suspect)| now_ms < suspect.until_ms());
        quarantined.map(|(request, suspect)| {
            let mut upstreams: Vec<u32> =
                suspect.crashes.iter().map(|crash| crash.upstream).collect();
            upstreams.sort_unstable();
            (*request, upstreams)
        })
    }

    /// Takes a quarantined request from a list that tells no times.
    pub fn merge_listed(&mut self, now_ms: u64, request: Fingerprint, upstreams: &[u32]) {
        let suspect = self.suspects.entry(request).or_default();
        // The list may be older than the answer.
        if suspect.answered_at_ms.is_none() {
            for upstream in upstreams {
                suspect.record_crash(Crash { upstream: *upstream, at_ms: now_ms });
            }
        }
    }

    /// Takes what another box told.
    pub fn merge_reports(
        &mut self,
        now_ms: u64,
        crashes: &[CrashReport],
        answers: &[AnswerReport],
    ) -> UpdateUrgency {
        let mut urgency = UpdateUrgency::None;
        for report in answers {
            let at_ms = now_ms.saturating_sub(report.age_ms.into());
            // It may be told of before the crash that it clears.
            if self.suspects.entry(report.request).or_default().record_answer(at_ms) {
                urgency = UpdateUrgency::Urgent;
            }
        }
        for report in crashes {
            let at_ms = now_ms.saturating_sub(report.age_ms.into());
            urgency =
                urgency.max(self.record_crash(now_ms, report.request, report.upstream, at_ms));
        }
        urgency
    }

    /// The crashes to tell other boxes of: the latest, those first that matter most, and all
    /// of some quarantined requests in turn.
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
        let start = self.next_announced % quarantined.len();
        self.next_announced = self.next_announced.wrapping_add(MAX_ANNOUNCED_QUARANTINED);
        let announced = quarantined
            .iter()
            .cycle()
            .skip(start)
            .take(quarantined.len().min(MAX_ANNOUNCED_QUARANTINED));
        let suspects = announced.filter_map(|request| Some((request, self.suspects.get(request)?)));
        let crashes = suspects.flat_map(|(request, suspect)| {
            suspect.crashes.iter().map(|crash| crash_report(now_ms, *request, *crash))
        });
        crashes.collect()
    }

    /// The suspects that were answered lately, to tell other boxes of.
    #[must_use]
    pub fn answers_to_announce(&self, now_ms: u64) -> Vec<AnswerReport> {
        let answered = self.suspects.iter().filter_map(|(request, suspect)| {
            let at_ms = suspect.answered_at_ms.filter(|at_ms| now_ms < at_ms + ANNOUNCE_MS)?;
            Some(AnswerReport { request: *request, age_ms: age_ms(now_ms, at_ms) })
        });
        answered.take(MAX_ANNOUNCED_CRASHES).collect()
    }

    /// Forgets what is long ago, and of the rest what has the fewest and oldest crashes.
    fn evict(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| suspect.is_recent(now_ms));
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        // The request tells those apart that are equal otherwise.
        let rank = |request: &Fingerprint, suspect: &Suspect| {
            (suspect.crashes.len(), suspect.last_at_ms(), *request)
        };
        let mut ranks: Vec<_> =
            self.suspects.iter().map(|(request, suspect)| rank(request, suspect)).collect();
        ranks.sort_unstable();
        // Half of the room, so that this is done seldom.
        let lowest = ranks[ranks.len() - MAX_SUSPECTS / 2];
        self.suspects.retain(|request, suspect| rank(request, suspect) >= lowest);
    }
}

fn crash_report(now_ms: u64, request: Fingerprint, crash: Crash) -> CrashReport {
    CrashReport { request, upstream: crash.upstream, age_ms: age_ms(now_ms, crash.at_ms) }
}

fn age_ms(now_ms: u64, at_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}
