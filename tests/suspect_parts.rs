//! When a part of a prompt is withheld after upstream crashes, what clears it, and what boxes report
//! of it to each other.

use coursestile::fingerprint::Fingerprint;
use coursestile::part_key::PartKey;
use coursestile::suspect_parts::{
    CrashedRun, FIRST_PAUSE_MS, MAX_PARTS, MAX_PAUSE_MS, MAX_REPORTED_CRASHES, MIN_SOUND_RUN_MS,
    SuspectParts, Verdict,
};

const NOW_MS: u64 = 10_000_000;
const ACCOUNT: u32 = 1;
const OTHER_ACCOUNT: u32 = 2;
/// The part that crashes upstreams, one that all prompts share, and another.
const DEADLY: PartKey = PartKey(1);
const COMMON: PartKey = PartKey(2);
const OTHER: PartKey = PartKey(3);

/// Time from sending a request to the crash under it.
const RUN_MS: u64 = 100;

/// What a box knows, with the crashes of a series of upstreams.
#[derive(Default)]
struct Knowledge {
    parts: SuspectParts,
    crashes: u32,
}

impl Knowledge {
    /// An upstream crashes at `at_ms` under a request of its own with these parts.
    fn crash(&mut self, at_ms: u64, account: u32, parts: &[PartKey]) {
        self.crash_under(at_ms, Fingerprint(at_ms), account, parts);
    }

    fn crash_under(&mut self, at_ms: u64, request: Fingerprint, account: u32, parts: &[PartKey]) {
        self.crashes += 1;
        let run = CrashedRun {
            request,
            account,
            parts,
            incarnation_id: self.crashes,
            sent_at_ms: at_ms - RUN_MS,
            at_ms,
            written_ms: RUN_MS / 2,
        };
        self.parts.record_crash(at_ms, &run);
    }

    fn verdict(&self, now_ms: u64, parts: &[PartKey]) -> Verdict {
        self.parts.verdict(now_ms, ACCOUNT, parts, 0)
    }

    fn is_withheld(&self, now_ms: u64, parts: &[PartKey]) -> bool {
        matches!(self.verdict(now_ms, parts), Verdict::Withheld { .. })
    }
}

/// After three crashes, one each second, under requests with these parts.
fn after_crashes(parts: &[PartKey]) -> Knowledge {
    let mut known = Knowledge::default();
    for second in 0..3 {
        known.crash(NOW_MS + 1000 * second, ACCOUNT, parts);
    }
    known
}

#[test]
fn part_withheld() {
    let mut known = Knowledge::default();
    for second in 0..3 {
        let at_ms = NOW_MS + 1000 * second;
        assert!(!known.is_withheld(at_ms, &[COMMON, DEADLY]), "after {second} crashes");
        known.crash(at_ms, ACCOUNT, &[COMMON, DEADLY, PartKey(100 + second)]);
        known.parts.record_answer(at_ms + 500, &[COMMON, OTHER]);
    }
    let now_ms = NOW_MS + 2600;
    assert!(known.is_withheld(now_ms, &[COMMON, DEADLY, PartKey(200)]));
    assert!(known.is_withheld(now_ms, &[DEADLY]));
    assert_eq!(known.verdict(now_ms, &[COMMON, OTHER]), Verdict::Run);
}

/// Two crashes leave requests with the part one at a time.
#[test]
fn one_at_a_time() {
    let mut known = Knowledge::default();
    known.crash(NOW_MS, ACCOUNT, &[DEADLY]);
    assert_eq!(known.verdict(NOW_MS, &[DEADLY]), Verdict::Run);
    known.crash(NOW_MS + 1000, ACCOUNT, &[DEADLY]);
    let trial = Verdict::Trial { part: DEADLY, is_quarantined: false };
    assert_eq!(known.verdict(NOW_MS + 1000, &[DEADLY]), trial);
}

/// Of parts that were in all crashes, only all together are withheld, and each further crash or
/// answer makes them fewer.
#[test]
fn parts_told_apart() {
    let together = [COMMON, DEADLY, OTHER];
    let mut known = after_crashes(&together);
    let now_ms = NOW_MS + 3000;
    assert!(known.is_withheld(now_ms, &together));
    for some in [vec![COMMON], vec![COMMON, OTHER], vec![COMMON, DEADLY]] {
        assert!(matches!(known.verdict(now_ms, &some), Verdict::Trial { .. }), "{some:?}");
    }
    known.parts.record_answer(now_ms, &[COMMON]);
    assert!(!known.is_withheld(now_ms, &[COMMON, DEADLY]));
    known.crash(now_ms + 1000, ACCOUNT, &[COMMON, DEADLY]);
    assert!(known.is_withheld(now_ms + 1000, &[COMMON, DEADLY]), "{OTHER:?} was not there");
    assert!(!known.is_withheld(now_ms + 1000, &[COMMON, OTHER]));
    known.parts.record_answer(now_ms + 1100, &[COMMON, OTHER]);
    assert_eq!(known.verdict(now_ms + 1100, &[COMMON, OTHER]), Verdict::Run);
    assert!(known.is_withheld(now_ms + 1100, &[DEADLY]));
}

/// However parts come together, no more than five upstreams crash under one of them before it is
/// withheld.
#[test]
fn crashes_bounded() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut known = Knowledge::default();
        let others: Vec<PartKey> = (10..17).map(PartKey).collect();
        for second in 0..100 {
            let now_ms = NOW_MS + 100 * second;
            let mut parts: Vec<PartKey> =
                others.iter().copied().filter(|_| rng.u32(..4) > 0).collect();
            parts.push(DEADLY);
            if !known.is_withheld(now_ms, &parts) {
                known.crash(now_ms + RUN_MS, ACCOUNT, &parts);
            }
        }
        assert!(known.crashes <= 5, "seed {seed}: {}", known.crashes);
        assert!(known.is_withheld(NOW_MS + 10_000, &[DEADLY]) || known.crashes < 5);
    }
}

/// Upstreams that crash together count once for what ran there, since they may have one cause.
#[test]
fn many_lost_at_once() {
    let mut known = Knowledge::default();
    for number in 0..18 {
        known.crash(NOW_MS + number, ACCOUNT, &[COMMON, OTHER]);
    }
    assert_eq!(known.verdict(NOW_MS + 20, &[COMMON, OTHER]), Verdict::Run);
}

/// The same if boxes learn of the crashes late, each after another time, and tell each other again and
/// again.
#[test]
fn many_lost_told_late() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut boxes: Vec<SuspectParts> = (0..5).map(|_| SuspectParts::default()).collect();
        for upstream in 0..8 {
            for known in &mut boxes {
                let run = CrashedRun {
                    request: Fingerprint(rng.u64(..)),
                    account: ACCOUNT,
                    parts: &[COMMON, OTHER],
                    incarnation_id: upstream,
                    sent_at_ms: NOW_MS - rng.u64(5..300),
                    at_ms: NOW_MS,
                    written_ms: 20,
                };
                if rng.bool() {
                    known.record_crash(NOW_MS, &run);
                }
            }
        }
        let mut now_ms = NOW_MS;
        for _ in 0..200 {
            now_ms += 5;
            let (from, to) = (rng.usize(0..5), rng.usize(0..5));
            let reports = boxes[from].reports_to_announce(now_ms);
            boxes[to].merge_reports(now_ms + rng.u64(0..400), &reports);
            for known in &boxes {
                let verdict = known.verdict(now_ms, ACCOUNT, &[COMMON, OTHER], 0);
                assert_eq!(verdict, Verdict::Run, "seed {seed}");
            }
        }
    }
}

/// A request that crashes upstreams by itself does not have others withheld that share its parts.
#[test]
fn one_request_repeated() {
    let mut known = Knowledge::default();
    for second in 0..6 {
        known.crash_under(NOW_MS + 1000 * second, Fingerprint(7), ACCOUNT, &[COMMON, OTHER]);
    }
    let now_ms = NOW_MS + 6000;
    assert!(!known.is_withheld(now_ms, &[COMMON, OTHER]));
    known.parts.record_answer(now_ms, &[COMMON, OTHER]);
    assert_eq!(known.verdict(now_ms, &[COMMON, OTHER]), Verdict::Run);
}

/// An account cannot have the part of another withheld, but what crashes under two accounts is
/// withheld for all.
#[test]
fn other_account() {
    let mut known = Knowledge::default();
    for second in 0..6 {
        known.crash(NOW_MS + 1000 * second, OTHER_ACCOUNT, &[OTHER]);
    }
    let now_ms = NOW_MS + 6000;
    assert!(matches!(
        known.parts.verdict(now_ms, OTHER_ACCOUNT, &[OTHER], 0),
        Verdict::Withheld { .. }
    ));
    assert!(matches!(known.verdict(now_ms, &[OTHER]), Verdict::Trial { .. }));
    known.crash(now_ms, ACCOUNT, &[OTHER]);
    assert!(known.is_withheld(now_ms, &[OTHER]));
    assert!(matches!(known.parts.verdict(now_ms, 3, &[OTHER], 0), Verdict::Withheld { .. }));
}

/// What was answered before is less suspect, and is tried again soon.
#[test]
fn answered_before() {
    let mut known = Knowledge::default();
    known.parts.record_answer(NOW_MS, &[COMMON]);
    for second in 1..5 {
        known.crash(NOW_MS + 1000 * second, ACCOUNT, &[COMMON, PartKey(100 + second)]);
        assert!(!known.is_withheld(NOW_MS + 1000 * second, &[COMMON]));
    }
    for _ in 0..4 {
        let crashed_at_ms = NOW_MS + 5000;
        known.crash(crashed_at_ms, ACCOUNT, &[COMMON]);
        assert!(known.is_withheld(crashed_at_ms + FIRST_PAUSE_MS - 1, &[COMMON]));
        assert!(!known.is_withheld(crashed_at_ms + FIRST_PAUSE_MS, &[COMMON]));
    }
}

/// A part that had been answered once, and crashed whatever began to write on it since, was tried each
/// half minute for good.
#[test]
fn answered_and_guilty() {
    let mut known = Knowledge::default();
    known.parts.record_answer(NOW_MS, &[COMMON]);
    let mut crashed_at_ms = NOW_MS;
    let mut pauses = Vec::new();
    for number in 1..16 {
        crashed_at_ms += 1000;
        known.crash(crashed_at_ms, ACCOUNT, &[COMMON, PartKey(100 + number)]);
        let mut pause_ms = 0;
        while known.is_withheld(crashed_at_ms + pause_ms, &[COMMON]) {
            pause_ms += 1000;
        }
        crashed_at_ms += pause_ms;
        pauses.push(pause_ms);
    }
    let soon = [0, 0, 0, 0, FIRST_PAUSE_MS, FIRST_PAUSE_MS, FIRST_PAUSE_MS, FIRST_PAUSE_MS];
    assert_eq!(pauses[..8], soon);
    let later = pauses[7..].windows(2);
    assert!(later.clone().all(|pair| pair[1] == (4 * pair[0]).min(MAX_PAUSE_MS)), "{pauses:?}");
}

#[test]
fn answer_clears() {
    let mut known = after_crashes(&[DEADLY]);
    let now_ms = NOW_MS + 3000;
    assert_eq!(known.parts.record_answer(now_ms, &[OTHER, DEADLY]), [DEADLY]);
    assert_eq!(known.verdict(now_ms, &[DEADLY]), Verdict::Run);
    // A report of what happened before arrives later.
    known.crash(now_ms - 1, ACCOUNT, &[DEADLY]);
    assert!(!known.parts.is_any_suspect(&[DEADLY]));
}

/// A stream clears its parts once it has been written for much longer than what crashed.
#[test]
fn long_stream_clears() {
    let mut known = after_crashes(&[DEADLY]);
    let now_ms = NOW_MS + 3000;
    known.parts.record_progress(now_ms, &[DEADLY], MIN_SOUND_RUN_MS - 1);
    assert!(known.is_withheld(now_ms, &[DEADLY]));
    known.parts.record_progress(now_ms, &[DEADLY], MIN_SOUND_RUN_MS);
    assert_eq!(known.verdict(now_ms, &[DEADLY]), Verdict::Run);
    let long = CrashedRun {
        request: Fingerprint(9),
        account: ACCOUNT,
        parts: &[OTHER],
        incarnation_id: 77,
        sent_at_ms: now_ms,
        at_ms: now_ms + 5000,
        written_ms: 4000,
    };
    known.parts.record_crash(now_ms + 5000, &long);
    known.parts.record_progress(now_ms + 5000, &[OTHER], 4 * 4000 - 1);
    assert!(known.parts.is_any_suspect(&[OTHER]), "what crashed had been written for long");
    known.parts.record_progress(now_ms + 5000, &[OTHER], 4 * 4000);
    assert!(!known.parts.is_any_suspect(&[OTHER]));
}

/// A quarantined part is tried again, after a pause that each crash makes longer.
#[test]
fn tried_again() {
    let mut known = after_crashes(&[DEADLY]);
    let mut crashed_at_ms = NOW_MS + 2000;
    let mut pause_ms = FIRST_PAUSE_MS;
    for _ in 0..6 {
        let due_at_ms = crashed_at_ms + pause_ms;
        assert!(known.is_withheld(due_at_ms - 1, &[DEADLY]));
        let trial = Verdict::Trial { part: DEADLY, is_quarantined: true };
        assert_eq!(known.verdict(due_at_ms, &[DEADLY]), trial);
        assert!(
            matches!(
                known.parts.verdict(due_at_ms, ACCOUNT, &[DEADLY], 5000),
                Verdict::Withheld { .. }
            ),
            "it is not the turn of this hall"
        );
        crashed_at_ms = due_at_ms + RUN_MS;
        known.crash(crashed_at_ms, ACCOUNT, &[DEADLY]);
        pause_ms = (4 * pause_ms).min(MAX_PAUSE_MS);
    }
}

/// Crashes with many parts that are used once do not push out one that is suspect.
#[test]
fn flood_of_parts() {
    let mut known = Knowledge::default();
    let mut next = 1000;
    for second in 0..3 {
        known.crash(NOW_MS + 1000 * second, ACCOUNT, &[DEADLY]);
        for number in 0..MAX_PARTS as u64 / 4 {
            let flood: Vec<PartKey> = (next..next + 8).map(PartKey).collect();
            next += 8;
            if second > 0 {
                known.crash(NOW_MS + 1000 * second + number / 4, ACCOUNT, &flood);
            }
        }
        assert!(known.parts.count() <= MAX_PARTS);
    }
    assert!(known.is_withheld(NOW_MS + 3000, &[DEADLY]));
}

/// Crashes that different boxes see are added up in whatever order reports are exchanged, and so is
/// what clears parts.
#[test]
fn told_on() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut boxes: Vec<SuspectParts> = (0..9).map(|_| SuspectParts::default()).collect();
        let mut now_ms = NOW_MS;
        let exchange = |boxes: &mut Vec<SuspectParts>, rng: &mut fastrand::Rng, now_ms: u64| {
            for (from, to) in (0..9).flat_map(|from| (0..9).map(move |to| (from, to))) {
                if from != to && rng.u32(..3) > 0 {
                    let reports = boxes[from].reports_to_announce(now_ms);
                    boxes[to].merge_reports(now_ms, &reports);
                }
            }
        };
        for crash in 0..3 {
            let run = CrashedRun {
                request: Fingerprint(crash),
                account: ACCOUNT,
                parts: &[COMMON, DEADLY],
                incarnation_id: u32::try_from(crash).unwrap(),
                sent_at_ms: now_ms - 50,
                at_ms: now_ms,
                written_ms: 20,
            };
            let seen_by = rng.usize(0..9);
            boxes[seen_by].record_crash(now_ms, &run);
            boxes[rng.usize(0..9)].record_crash(now_ms + 3, &run);
            for _ in 0..3 {
                now_ms += 100;
                exchange(&mut boxes, &mut rng, now_ms);
            }
        }
        let is_withheld = |known: &SuspectParts, now_ms: u64, part: PartKey| {
            matches!(known.verdict(now_ms, ACCOUNT, &[COMMON, part], 0), Verdict::Withheld { .. })
        };
        assert!(boxes.iter().all(|known| is_withheld(known, now_ms, DEADLY)), "seed {seed}");
        boxes[rng.usize(0..9)].record_answer(now_ms, &[COMMON, OTHER]);
        for _ in 0..3 {
            now_ms += 100;
            exchange(&mut boxes, &mut rng, now_ms);
        }
        for known in &boxes {
            assert!(is_withheld(known, now_ms, DEADLY), "seed {seed}");
            assert_eq!(known.verdict(now_ms, ACCOUNT, &[COMMON, OTHER], 0), Verdict::Run);
        }
    }
}

/// A box that starts reads what is quarantined from a list, which does not undo an answer.
#[test]
fn stored() {
    let mut known = after_crashes(&[DEADLY]);
    let stored = known.parts.to_store(NOW_MS + 3000);
    let mut restarted = Knowledge::default();
    restarted.parts.merge_stored(NOW_MS + 4000, &stored);
    assert!(restarted.is_withheld(NOW_MS + 4000, &[DEADLY]));
    assert_eq!(restarted.parts.to_store(NOW_MS + 4000), stored);
    known.parts.record_answer(NOW_MS + 3000, &[DEADLY]);
    known.parts.merge_stored(NOW_MS + 4000, &stored);
    assert_eq!(known.verdict(NOW_MS + 4000, &[DEADLY]), Verdict::Run);
    assert!(known.parts.to_store(NOW_MS + 4000).is_empty());
}

/// Messages stay small, whatever ran at the upstreams that crashed.
#[test]
fn reports_bounded() {
    let mut known = Knowledge::default();
    let mut all = Vec::new();
    for upstream in 0..4 {
        let parts: Vec<PartKey> = (0..512).map(|part| PartKey(1000 * upstream + part)).collect();
        known.crash(NOW_MS + upstream, ACCOUNT, &parts);
        all.extend(parts);
    }
    let crashes = |reports: &[coursestile::suspect_parts::PartReport]| {
        reports.iter().map(|report| report.crashes.len()).sum::<usize>()
    };
    assert!(crashes(&known.parts.reports_to_announce(NOW_MS + 10)) <= MAX_REPORTED_CRASHES);
    let messages = known.parts.reports_of(NOW_MS + 10, &all);
    assert!(messages.iter().all(|reports| crashes(reports) <= MAX_REPORTED_CRASHES));
    assert_eq!(messages.iter().map(Vec::len).sum::<usize>(), all.len());
}
