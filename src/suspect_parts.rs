//! Parts of prompts under which upstreams crash.
//!
//! One part may crash every upstream that begins to write an answer on it. Requests with it need not
//! be alike, so that none of them is ever quarantined as a whole (`quarantine`). A crash accuses all
//! shared parts of all requests that ran there. What clears a part is a complete answer to a request
//! with it, at any box, or a stream that has been written for much longer than the runs that crashed.
//!
//! Crashes of one part count only if they follow each other: a request that was sent before the last
//! counted crash may have run beside the same cause. So the loss of many upstreams at once counts
//! once. The box that sees a crash counts those that it follows, since only its own clock tells what
//! came before; reports of others arrive late, and can make the count too small only. The crashes
//! must be of more than one request, too, as one alone may crash upstreams by something that no other
//! has.
//!
//! If several parts were in all crashes of one of them, any of these may be the cause. Only requests
//! that have all of them are withheld, and any other runs: if it is answered, its parts are cleared,
//! and if it crashes, those that it lacks are. From [`CRASHES_TO_BLOCK`] crashes on, a part is
//! withheld whatever comes with it.
//!
//! A part that has been answered before is more likely a bystander, or the upstreams have changed: it
//! takes [`CRASHES_TO_BLOCK`] crashes to quarantine it, and it is tried again soon some times.
//!
//! A part counts for all accounts once requests of two of them have crashed under it, and before
//! only for the one that sent them, so that none can have a part of another withheld by sending it
//! along with something that crashes.

use std::collections::{BTreeSet, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::part_key::PartKey;
use crate::quarantine::CRASHES_TO_QUARANTINE;

/// Successive crashes from which requests with a part run one at a time.
pub const CRASHES_TO_LIMIT: usize = 2;
/// Successive crashes from which a part is withheld whatever comes with it.
pub const CRASHES_TO_BLOCK: usize = 5;
/// Time from the last crash to the trial of a part that has just been quarantined; each further
/// crash makes it [`PAUSE_FACTOR`] times as long.
pub const FIRST_PAUSE_MS: u64 = 30_000;
const PAUSE_FACTOR: u64 = 4;
/// Failed trials of a part that was answered before the crashes until its pause grows, too.
const SOON_TRIALS: usize = 3;
/// Longest time from a crash to the next trial.
pub const MAX_PAUSE_MS: u64 = 3_600_000;
/// Time for which a part remains suspect after a crash.
const SUSPECT_MS: u64 = 2 * MAX_PAUSE_MS;
/// A stream clears its parts after this time, if that is [`SOUND_RUN_FACTOR`] times as long as the
/// runs that crashed.
pub const MIN_SOUND_RUN_MS: u64 = 2000;
const SOUND_RUN_FACTOR: u64 = 4;
/// Maximum number of parts; the crash of a large upstream adds hundreds.
pub const MAX_PARTS: usize = 4096;
/// Minimum number of answered parts that are remembered; at most twice as many are.
const MIN_ANSWERED: usize = 4096;
/// Maximum number of crashes that are kept of one part.
const MAX_CRASHES: usize = 16;
/// Time for which a crash or an answer is announced to other boxes.
const ANNOUNCE_MS: u64 = 1500;
/// Maximum number of crashes in one message, so that it fits into a datagram.
pub const MAX_REPORTED_CRASHES: usize = 200;
/// Maximum number of quarantined parts in one message; they take turns.
const MAX_ANNOUNCED_QUARANTINED: usize = 8;
/// Time between two such messages.
const QUARANTINED_PERIOD_MS: u64 = 1000;

/// A request that an upstream was running when it crashed.
#[derive(Clone, Copy, Debug)]
pub struct CrashedRun<'a> {
    pub request: Fingerprint,
    /// Short id of the account.
    pub account: u32,
    /// The shared parts of its prompt.
    pub parts: &'a [PartKey],
    /// Short id of the incarnation that crashed.
    pub incarnation_id: u32,
    pub sent_at_ms: u64,
    /// When the upstream aborted it.
    pub at_ms: u64,
    /// Time for which its answer had been written.
    pub written_ms: u64,
}

/// What requests with some parts may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// They run.
    Run,
    /// They run one at a time, as trials of a part.
    Trial {
        part: PartKey,
        /// Whether the part is quarantined, so that nothing runs unless it is certain that no
        /// other trial does.
        is_quarantined: bool,
    },
    /// They must not run.
    Withheld {
        part: PartKey,
        /// When the next trial is due.
        until_ms: u64,
    },
}

/// What a box knows of a part, as reported to other boxes. Times are ages in milliseconds, as the
/// clocks of boxes may differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    pub part: PartKey,
    /// The crashes since the part was last cleared.
    pub crashes: Vec<PartCrashReport>,
    /// When it was cleared.
    pub cleared_age_ms: Option<u32>,
}

/// A crash of an upstream under a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// Short id of the incarnation that crashed.
    pub incarnation_id: u32,
    /// Short id of the account that sent a request with the part.
    pub account: u32,
    /// A request that crashed it.
    pub request: Fingerprint,
    /// Number of crashes up to this one that followed each other.
    pub rank: u32,
    pub age_ms: u32,
    /// Shortest time for which the answer to such a request had been written.
    pub written_ms: u32,
}

/// A quarantined part as stored, with its successive crashes.
pub type StoredPart = (PartKey, Vec<StoredCrash>);

/// A crash of an upstream under a part, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoredCrash {
    /// Short id of the incarnation that crashed.
    pub incarnation_id: u32,
    /// Short id of the account.
    pub account: u32,
    pub request: Fingerprint,
    /// Number of crashes up to this one that followed each other.
    pub rank: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    incarnation_id: u32,
    account: u32,
    request: Fingerprint,
    rank: u32,
    at_ms: u64,
    written_ms: u64,
    /// Whether this box saw it.
    is_own: bool,
}

impl Crash {
    fn to_store(self) -> StoredCrash {
        let Self { incarnation_id, account, request, rank, .. } = self;
        StoredCrash { incarnation_id, account, request, rank }
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes since the part was cleared, by time; one for each incarnation and account.
    crashes: Vec<Crash>,
    cleared_at_ms: Option<u64>,
    /// Whether other boxes learn from this one that the part was cleared.
    announces_clearing: bool,
    /// Whether this box knew an answer with the part before the first of the crashes.
    was_answered: bool,
}

impl Suspect {
    /// Records a crash; returns whether it is new.
    fn record_crash(&mut self, crash: Crash) -> bool {
        if self.cleared_at_ms.is_some_and(|at_ms| crash.at_ms <= at_ms) {
            return false;
        }
        let id = |crash: &Crash| (crash.incarnation_id, crash.account);
        if let Some(known) = self.crashes.iter_mut().find(|known| id(known) == id(&crash)) {
            known.rank = known.rank.max(crash.rank);
            // Reports arrive late, never early.
            known.at_ms = known.at_ms.min(crash.at_ms);
            known.written_ms = known.written_ms.min(crash.written_ms);
            known.is_own |= crash.is_own;
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at_ms);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Records that the part was cleared; returns how many successive crashes there were if this
    /// removes any.
    fn clear(&mut self, at_ms: u64, is_own: bool) -> usize {
        let (crashes, successive) = (self.crashes.len(), self.successive_crashes());
        self.crashes.retain(|crash| crash.at_ms > at_ms);
        self.cleared_at_ms = self.cleared_at_ms.max(Some(at_ms));
        if self.crashes.len() == crashes {
            return 0;
        }
        self.announces_clearing = is_own || successive >= CRASHES_TO_LIMIT;
        successive
    }

    /// Rank of a crash under a request that was sent at `sent_at_ms`.
    fn rank_after(&self, sent_at_ms: u64) -> u32 {
        let before = self.crashes.iter().filter(|crash| crash.at_ms <= sent_at_ms);
        before.map(|crash| crash.rank).max().unwrap_or_default().saturating_add(1)
    }

    /// Number of crashes of which each followed the one before.
    fn successive_crashes(&self) -> usize {
        let rank = self.crashes.iter().map(|crash| crash.rank).max().unwrap_or_default();
        let is_first = |(index, crash): &(usize, &Crash)| {
            let mut before = self.crashes[..*index].iter();
            before.all(|earlier| earlier.incarnation_id != crash.incarnation_id)
        };
        let incarnations = self.crashes.iter().enumerate().filter(is_first).count();
        // The box that counted may not have known that the part had been cleared.
        incarnations.min(usize::try_from(rank).unwrap_or(usize::MAX))
    }

    fn last_crash_at_ms(&self) -> u64 {
        self.crashes.iter().map(|crash| crash.at_ms).max().unwrap_or_default()
    }

    fn has_crashed(&self, incarnation_id: u32) -> bool {
        self.crashes.iter().any(|crash| crash.incarnation_id == incarnation_id)
    }

    /// Whether the part was in all crashes of another.
    fn explains(&self, other: &Self) -> bool {
        other.crashes.iter().all(|crash| self.has_crashed(crash.incarnation_id))
    }

    /// Whether the crashes count for an account.
    fn counts_for(&self, account: u32) -> bool {
        let mut others = self.crashes.iter().map(|crash| crash.account);
        let first = others.next();
        first == Some(account) || others.any(|other| other == account || Some(other) != first)
    }

    /// Time for which a stream must have been written to clear the part.
    fn sound_run_ms(&self) -> u64 {
        let longest_ms = self.crashes.iter().map(|crash| crash.written_ms).max();
        MIN_SOUND_RUN_MS.max(SOUND_RUN_FACTOR * longest_ms.unwrap_or_default())
    }

    /// When the next trial of a quarantined part is due.
    fn trial_due_at_ms(&self) -> u64 {
        let soon =
            if self.was_answered { CRASHES_TO_BLOCK + SOON_TRIALS } else { CRASHES_TO_QUARANTINE };
        let further = self.successive_crashes().saturating_sub(soon);
        let factor = PAUSE_FACTOR.saturating_pow(u32::try_from(further).unwrap_or(u32::MAX));
        self.last_crash_at_ms() + FIRST_PAUSE_MS.saturating_mul(factor).min(MAX_PAUSE_MS)
    }

    fn is_quarantined(&self) -> bool {
        let crashes = if self.was_answered { CRASHES_TO_BLOCK } else { CRASHES_TO_QUARANTINE };
        self.successive_crashes() >= crashes && self.has_several_requests()
    }

    fn has_several_requests(&self) -> bool {
        let mut requests = self.crashes.iter().map(|crash| crash.request);
        let first = requests.next();
        requests.any(|request| Some(request) != first)
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        let cleared = self.cleared_at_ms.is_some_and(|at_ms| now_ms < at_ms + ANNOUNCE_MS);
        cleared || !self.crashes.is_empty() && now_ms < self.last_crash_at_ms() + SUSPECT_MS
    }

    /// Whether this box tells others of the part now: what it has seen itself, and whatever is more
    /// than the crash of a bystander.
    fn is_announced(&self, now_ms: u64) -> bool {
        let is_new = |at_ms: u64| now_ms < at_ms + ANNOUNCE_MS;
        let is_limited = self.successive_crashes() >= CRASHES_TO_LIMIT;
        self.crashes.iter().any(|crash| is_new(crash.at_ms) && (crash.is_own || is_limited))
            || self.announces_clearing && self.cleared_at_ms.is_some_and(is_new)
    }

    fn report(&self, now_ms: u64, part: PartKey) -> PartReport {
        let crashes = self.crashes.iter().map(|crash| PartCrashReport {
            incarnation_id: crash.incarnation_id,
            account: crash.account,
            request: crash.request,
            rank: crash.rank,
            age_ms: age_ms(now_ms, crash.at_ms),
            written_ms: u32::try_from(crash.written_ms).unwrap_or(u32::MAX),
        });
        let cleared_age_ms = self.cleared_at_ms.map(|at_ms| age_ms(now_ms, at_ms));
        PartReport { part, crashes: crashes.collect(), cleared_age_ms }
    }
}

/// What has changed by reports of a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedReports {
    /// Parts that are quarantined now.
    pub quarantined: Vec<PartKey>,
    /// Parts that were cleared after [`CRASHES_TO_LIMIT`] crashes or more.
    pub cleared: Vec<PartKey>,
}

/// Parts that were answered lately. The older half is forgotten when the newer one is full.
#[derive(Debug, Default)]
struct AnsweredParts {
    newer: HashSet<PartKey>,
    older: HashSet<PartKey>,
}

impl AnsweredParts {
    fn record(&mut self, parts: &[PartKey]) {
        if self.newer.len() >= MIN_ANSWERED {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.extend(parts);
    }

    fn contains(&self, part: PartKey) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }
}

/// All suspect and quarantined parts.
#[derive(Debug, Default)]
pub struct SuspectParts {
    suspects: HashMap<PartKey, Suspect>,
    answered: AnsweredParts,
    announce_offset: usize,
    /// When quarantined parts are announced next.
    quarantined_due_at_ms: u64,
}

impl SuspectParts {
    /// What is known of a part, to which crashes are about to be added.
    fn suspect_mut(&mut self, part: PartKey) -> &mut Suspect {
        let suspect = self.suspects.entry(part).or_default();
        if suspect.crashes.is_empty() {
            suspect.was_answered = self.answered.contains(part);
        }
        suspect
    }

    /// Number of parts that are known.
    #[must_use]
    pub fn count(&self) -> usize {
        self.suspects.len()
    }

    /// Records that an upstream has crashed while it ran a request; returns the parts that are
    /// quarantined by that.
    pub fn record_crash(&mut self, now_ms: u64, run: &CrashedRun<'_>) -> Vec<PartKey> {
        let mut quarantined = Vec::new();
        for part in run.parts {
            let suspect = self.suspect_mut(*part);
            let crash = Crash {
                incarnation_id: run.incarnation_id,
                account: run.account,
                request: run.request,
                rank: suspect.rank_after(run.sent_at_ms),
                at_ms: run.at_ms,
                written_ms: run.written_ms,
                is_own: true,
            };
            if suspect.record_crash(crash) && suspect.is_quarantined() {
                quarantined.push(*part);
            }
        }
        self.evict(now_ms);
        quarantined
    }

    /// Records a complete answer to a request with these parts; returns those that it clears after
    /// [`CRASHES_TO_LIMIT`] crashes or more.
    pub fn record_answer(&mut self, at_ms: u64, parts: &[PartKey]) -> Vec<PartKey> {
        self.answered.record(parts);
        self.clear(at_ms, parts, |_| true)
    }

    /// Records that an answer to a request with these parts has been written for `written_ms` and
    /// goes on; returns the parts as [`Self::record_answer`] does.
    pub fn record_progress(
        &mut self,
        at_ms: u64,
        parts: &[PartKey],
        written_ms: u64,
    ) -> Vec<PartKey> {
        if written_ms < MIN_SOUND_RUN_MS {
            return Vec::new();
        }
        self.clear(at_ms, parts, |suspect| written_ms >= suspect.sound_run_ms())
    }

    fn clear(
        &mut self,
        at_ms: u64,
        parts: &[PartKey],
        is_cleared: impl Fn(&Suspect) -> bool,
    ) -> Vec<PartKey> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let limited = parts.iter().filter(|part| {
            let suspect = self.suspects.get_mut(part).filter(|suspect| is_cleared(suspect));
            suspect.is_some_and(|suspect| suspect.clear(at_ms, true) >= CRASHES_TO_LIMIT)
        });
        limited.copied().collect()
    }

    /// Whether any of these parts has crashed an upstream since it was last cleared.
    #[must_use]
    pub fn is_any_suspect(&self, parts: &[PartKey]) -> bool {
        let mut known = parts.iter().filter_map(|part| self.suspects.get(part));
        known.any(|suspect| !suspect.crashes.is_empty())
    }

    /// When a part was last cleared.
    #[must_use]
    pub fn cleared_at_ms(&self, part: PartKey) -> Option<u64> {
        self.suspects.get(&part)?.cleared_at_ms
    }

    /// What a request of an account with these parts may do. Trials of quarantined parts are put
    /// off by `trial_delay_ms`.
    #[must_use]
    pub fn verdict(
        &self,
        now_ms: u64,
        account: u32,
        parts: &[PartKey],
        trial_delay_ms: u64,
    ) -> Verdict {
        if self.suspects.is_empty() {
            return Verdict::Run;
        }
        let suspects = parts.iter().filter_map(|part| Some((*part, self.suspects.get(part)?)));
        let mut limited: Vec<_> = suspects
            .map(|(part, suspect)| (suspect.successive_crashes(), part, suspect))
            .filter(|(crashes, ..)| *crashes >= CRASHES_TO_LIMIT)
            .collect();
        // All boxes must find the same part, as its owner grants the trials.
        limited.sort_unstable_by_key(|(crashes, part, _)| (std::cmp::Reverse(*crashes), *part));
        let mut verdict = Verdict::Run;
        for (crashes, part, suspect) in limited {
            let has_all = self.has_all_explaining(suspect, parts);
            let is_withheld = suspect.is_quarantined()
                && suspect.counts_for(account)
                && (has_all || crashes >= CRASHES_TO_BLOCK);
            let due_at_ms = suspect.trial_due_at_ms() + trial_delay_ms;
            if is_withheld && now_ms < due_at_ms {
                return Verdict::Withheld { part, until_ms: due_at_ms };
            }
            let is_limited = has_all || crashes >= CRASHES_TO_QUARANTINE;
            if is_withheld && !matches!(verdict, Verdict::Trial { is_quarantined: true, .. })
                || is_limited && verdict == Verdict::Run
            {
                verdict = Verdict::Trial { part, is_quarantined: is_withheld };
            }
        }
        verdict
    }

    /// Whether `parts` has all parts that were in all crashes of one of them.
    fn has_all_explaining(&self, suspect: &Suspect, parts: &[PartKey]) -> bool {
        let explaining = self.suspects.iter().filter(|(_, other)| other.explains(suspect));
        let mut explaining = explaining.map(|(part, _)| part);
        explaining.all(|part| parts.contains(part))
    }

    /// Short ids of the incarnations that crashed under a part.
    #[must_use]
    pub fn crashed(&self, part: PartKey) -> BTreeSet<u32> {
        let suspect = self.suspects.get(&part);
        let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
        crashes.map(|crash| crash.incarnation_id).collect()
    }

    /// Merges reports from another box.
    pub fn merge_reports(&mut self, now_ms: u64, reports: &[PartReport]) -> MergedReports {
        let mut merged = MergedReports::default();
        let at_ms = |age_ms: u32| now_ms.saturating_sub(age_ms.into());
        for report in reports {
            let suspect = self.suspect_mut(report.part);
            let cleared_at_ms = report.cleared_age_ms.map(at_ms);
            if cleared_at_ms.is_some_and(|at_ms| suspect.clear(at_ms, false) >= CRASHES_TO_LIMIT) {
                merged.cleared.push(report.part);
            }
            let mut is_new = false;
            for crash in &report.crashes {
                is_new |= suspect.record_crash(Crash {
                    incarnation_id: crash.incarnation_id,
                    account: crash.account,
                    request: crash.request,
                    rank: crash.rank,
                    at_ms: at_ms(crash.age_ms),
                    written_ms: crash.written_ms.into(),
                    is_own: false,
                });
            }
            if is_new && suspect.is_quarantined() {
                merged.quarantined.push(report.part);
            }
        }
        self.evict(now_ms);
        merged
    }

    /// All that is known of some parts, in messages of limited length.
    #[must_use]
    pub fn reports_of(&self, now_ms: u64, parts: &[PartKey]) -> Vec<Vec<PartReport>> {
        let known = parts.iter().filter_map(|part| Some((part, self.suspects.get(part)?)));
        let mut messages: Vec<Vec<PartReport>> = Vec::new();
        let mut crashes = MAX_REPORTED_CRASHES;
        for report in known.map(|(part, suspect)| suspect.report(now_ms, *part)) {
            // A report without crashes counts as well.
            crashes += report.crashes.len().max(1);
            if crashes > MAX_REPORTED_CRASHES {
                crashes = report.crashes.len().max(1);
                messages.push(Vec::new());
            }
            if let Some(message) = messages.last_mut() {
                message.push(report);
            }
        }
        messages
    }

    /// All that is known of parts with [`CRASHES_TO_LIMIT`] crashes or more, in messages of limited
    /// length.
    #[must_use]
    pub fn limited_reports(&self, now_ms: u64) -> Vec<Vec<PartReport>> {
        let limited = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.successive_crashes() >= CRASHES_TO_LIMIT);
        let parts: Vec<PartKey> = limited.map(|(part, _)| *part).collect();
        self.reports_of(now_ms, &parts)
    }

    /// The reports to announce: of what has just happened, starting with the parts that have the
    /// most crashes, and of some quarantined parts, which take turns.
    pub fn reports_to_announce(&mut self, now_ms: u64) -> Vec<PartReport> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let recent = self.suspects.iter().filter(|(_, suspect)| suspect.is_announced(now_ms));
        let mut recent: Vec<_> =
            recent.map(|(part, suspect)| (suspect.successive_crashes(), *part)).collect();
        recent.sort_unstable_by_key(|ranked| std::cmp::Reverse(*ranked));
        let turn = self.next_quarantined(now_ms);
        let recent = recent.into_iter().map(|(_, part)| part).filter(|part| !turn.contains(part));
        let parts: Vec<PartKey> = turn.iter().copied().chain(recent).collect();
        self.reports_of(now_ms, &parts).into_iter().next().unwrap_or_default()
    }

    /// The quarantined parts whose turn it is to be announced.
    fn next_quarantined(&mut self, now_ms: u64) -> Vec<PartKey> {
        if now_ms < self.quarantined_due_at_ms {
            return Vec::new();
        }
        let mut quarantined = self.quarantined(now_ms);
        if quarantined.is_empty() {
            return quarantined;
        }
        self.quarantined_due_at_ms = now_ms + QUARANTINED_PERIOD_MS;
        let start = self.announce_offset % quarantined.len();
        self.announce_offset = self.announce_offset.wrapping_add(MAX_ANNOUNCED_QUARANTINED);
        quarantined.rotate_left(start);
        quarantined.truncate(MAX_ANNOUNCED_QUARANTINED);
        quarantined
    }

    /// The quarantined parts, in order.
    fn quarantined(&self, now_ms: u64) -> Vec<PartKey> {
        let quarantined = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_quarantined() && suspect.is_recent(now_ms));
        let mut parts: Vec<PartKey> = quarantined.map(|(part, _)| *part).collect();
        parts.sort_unstable();
        parts
    }

    /// The quarantined parts, to be stored.
    #[must_use]
    pub fn to_store(&self, now_ms: u64) -> Vec<StoredPart> {
        let stored = self.quarantined(now_ms).into_iter().filter_map(|part| {
            let crashes = &self.suspects.get(&part)?.crashes;
            let mut crashes: Vec<StoredCrash> =
                crashes.iter().map(|crash| crash.to_store()).collect();
            crashes.sort_unstable();
            Some((part, crashes))
        });
        stored.collect()
    }

    /// Merges quarantined parts from a list that has no times. They count as having just crashed.
    pub fn merge_stored(&mut self, now_ms: u64, stored: &[StoredPart]) {
        for (part, crashes) in stored {
            let suspect = self.suspects.entry(*part).or_default();
            // The list may be older than what has cleared the part.
            if suspect.cleared_at_ms.is_some() || suspect.is_quarantined() {
                continue;
            }
            for crash in crashes {
                suspect.record_crash(Crash {
                    incarnation_id: crash.incarnation_id,
                    account: crash.account,
                    request: crash.request,
                    rank: crash.rank,
                    at_ms: now_ms,
                    written_ms: 0,
                    is_own: false,
                });
            }
        }
        self.evict(now_ms);
    }

    /// Forgets parts without recent crashes and, if there are still too many, those with the fewest
    /// and oldest crashes.
    fn evict(&mut self, now_ms: u64) {
        if self.suspects.len() <= MAX_PARTS {
            return;
        }
        self.suspects.retain(|_, suspect| suspect.is_recent(now_ms));
        let excess = self.suspects.len().saturating_sub(MAX_PARTS);
        if excess == 0 {
            return;
        }
        let ranks = self.suspects.iter().map(|(part, suspect)| {
            (suspect.successive_crashes(), suspect.last_crash_at_ms(), *part)
        });
        let mut ranks: Vec<_> = ranks.collect();
        // Some more than needed, since each eviction ranks all parts.
        ranks.sort_unstable();
        for (_, _, part) in ranks.into_iter().take(excess + MAX_PARTS / 8) {
            self.suspects.remove(&part);
        }
    }
}

fn age_ms(now_ms: u64, at_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}
