//! When a request is quarantined after upstream crashes, and what boxes report of crashes to each
//! other.

use coursestile::fingerprint::Fingerprint;
use coursestile::gateway::decisions::gossip_message::Gossip;
use coursestile::quarantine::{
    ABORT_CHECK_MS, AbortReport, CRASHES_TO_QUARANTINE, QUARANTINE_MS, Quarantine, UpdateUrgency,
};

const NOW_MS: u64 = 1_000_000;
const REQUEST: Fingerprint = Fingerprint(7);

/// A quarantine after crashes of the given upstreams while they had [`REQUEST`], 10 ms apart.
fn quarantine_after_crashes(upstreams: &[u32]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (at_ms, upstream) in (NOW_MS..).step_by(10).zip(upstreams) {
        quarantine.record_crash(at_ms, REQUEST, *upstream, at_ms);
    }
    quarantine
}

fn is_quarantined(quarantine: &Quarantine, now_ms: u64) -> bool {
    quarantine.until_ms(now_ms, REQUEST).is_some()
}

/// Sends the reports of one box to another, as gossip does.
fn send_reports(now_ms: u64, from: &mut Quarantine, to: &mut Quarantine) -> UpdateUrgency {
    let crashes = from.crashes_to_announce(now_ms);
    let answers = from.answers_to_announce(now_ms);
    to.merge_reports(now_ms, &crashes, &answers)
}

#[test]
fn upstreams_counted() {
    assert!(!is_quarantined(&quarantine_after_crashes(&[1, 2]), NOW_MS + 100));
    assert!(
        !is_quarantined(&quarantine_after_crashes(&[1, 2, 1, 2, 2]), NOW_MS + 100),
        "two upstreams only"
    );
    assert!(is_quarantined(&quarantine_after_crashes(&[1, 2, 1, 3]), NOW_MS + 100));
    let other_until_ms =
        quarantine_after_crashes(&[1, 2, 3]).until_ms(NOW_MS + 100, Fingerprint(8));
    assert_eq!(other_until_ms, None, "another request");
}

#[test]
fn answer_clears() {
    let mut quarantine = quarantine_after_crashes(&[1, 2]);
    assert!(quarantine.record_answer(REQUEST, NOW_MS + 50));
    quarantine.record_crash(NOW_MS + 60, REQUEST, 3, NOW_MS + 60);
    quarantine.record_crash(NOW_MS + 70, REQUEST, 4, NOW_MS + 70);
    assert!(!is_quarantined(&quarantine, NOW_MS + 100), "two since it was answered");
    let mut quarantined = quarantine_after_crashes(&[1, 2, 3]);
    assert!(quarantined.record_answer(REQUEST, NOW_MS + 50));
    assert!(!is_quarantined(&quarantined, NOW_MS + 100));
    assert!(!quarantined.record_answer(Fingerprint(8), NOW_MS + 50), "no suspect");
}

/// After the quarantine has ended, a request may run again; a single further crash quarantines it
/// once more.
#[test]
fn tried_again() {
    let mut quarantine = quarantine_after_crashes(&[1, 2, 3]);
    let end_ms = NOW_MS + 20 + QUARANTINE_MS;
    assert!(is_quarantined(&quarantine, end_ms - 1));
    assert!(!is_quarantined(&quarantine, end_ms));
    quarantine.record_crash(end_ms + 5, REQUEST, 4, end_ms + 5);
    assert_eq!(quarantine.until_ms(end_ms + 6, REQUEST), Some(end_ms + 5 + QUARANTINE_MS));
}

/// Crashes seen by different boxes are added up in whatever order reports are exchanged, and the
/// number of reports that bring something new is bounded.
#[test]
fn told_on() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut boxes: Vec<Quarantine> = (0..9).map(|_| Quarantine::default()).collect();
        let mut now_ms = NOW_MS;
        for upstream in 1..=5 {
            now_ms += 40;
            // Each crash is seen by two boxes at slightly different times.
            boxes[rng.usize(0..9)].record_crash(now_ms, REQUEST, upstream, now_ms);
            boxes[rng.usize(0..9)].record_crash(now_ms, REQUEST, upstream, now_ms - 3);
        }
        let mut update_count = 0;
        for _ in 0..600 {
            now_ms += 1;
            let from = rng.usize(0..9);
            let to = rng.usize(0..9);
            if from != to {
                let mut sender = std::mem::take(&mut boxes[from]);
                let urgency = send_reports(now_ms, &mut sender, &mut boxes[to]);
                update_count += usize::from(urgency != UpdateUrgency::None);
                boxes[from] = sender;
            }
        }
        assert!(boxes.iter().all(|quarantine| is_quarantined(quarantine, now_ms)), "seed {seed}");
        assert!(update_count < 9 * 5 * 2, "seed {seed}: {update_count} messages brought news");
    }
}

/// A box that was disconnected learns of a request that was quarantined long before.
#[test]
fn told_later() {
    let mut informed = quarantine_after_crashes(&[1, 2, 3]);
    let mut reconnected = Quarantine::default();
    let now_ms = NOW_MS + 60_000;
    assert_eq!(send_reports(now_ms, &mut informed, &mut reconnected), UpdateUrgency::Urgent);
    assert!(is_quarantined(&reconnected, now_ms));
    let left_ms = reconnected.until_ms(now_ms, REQUEST).unwrap() - now_ms;
    assert_eq!(left_ms, QUARANTINE_MS - 60_000 + 20, "no longer than where it was seen");
}

#[test]
fn answer_told() {
    let mut answered = quarantine_after_crashes(&[1, 2, 3]);
    let mut receiver = quarantine_after_crashes(&[1, 2, 3]);
    answered.record_answer(REQUEST, NOW_MS + 100);
    send_reports(NOW_MS + 110, &mut answered, &mut receiver);
    assert!(!is_quarantined(&receiver, NOW_MS + 110));
    // A third box's reports, which are older than the answer, must not undo it.
    send_reports(NOW_MS + 120, &mut quarantine_after_crashes(&[1, 2, 3]), &mut receiver);
    assert!(!is_quarantined(&receiver, NOW_MS + 120));
    receiver.merge_listed(NOW_MS + 130, REQUEST, &[1, 2, 3]);
    assert!(!is_quarantined(&receiver, NOW_MS + 130), "a list tells no times");
}

#[test]
fn list_taken() {
    let listed: Vec<_> = quarantine_after_crashes(&[3, 1, 2]).quarantined(NOW_MS + 100).collect();
    assert_eq!(listed, [(REQUEST, vec![1, 2, 3])]);
    let mut restarted = Quarantine::default();
    restarted.merge_listed(5, REQUEST, &listed[0].1);
    assert!(is_quarantined(&restarted, 6));
    assert_eq!(restarted.quarantined(6).collect::<Vec<_>>(), listed);
}

/// A crash of an upstream with many requests makes many suspects: the size of messages and the
/// number of remembered suspects stay bounded.
#[test]
fn many_suspects() {
    let mut quarantine = quarantine_after_crashes(&[1, 2, 3]);
    for number in 100..20_000 {
        quarantine.record_crash(NOW_MS + 30, Fingerprint(number), 4, NOW_MS + 30);
    }
    assert!(is_quarantined(&quarantine, NOW_MS + 40), "what matters is kept");
    let reports = quarantine.crashes_to_announce(NOW_MS + 40);
    assert!(reports.len() <= 60, "{} crashes in one message", reports.len());
    assert_eq!(
        reports.iter().filter(|report| report.request == REQUEST).count(),
        2 * CRASHES_TO_QUARANTINE
    );
    assert_eq!(
        quarantine.crashes_to_announce(NOW_MS + 10_000).len(),
        CRASHES_TO_QUARANTINE,
        "quarantined ones only"
    );
}

/// The abridged gossip that other halls get contains crashes.
#[test]
fn told_to_halls() {
    let crashes = quarantine_after_crashes(&[1]).crashes_to_announce(NOW_MS + 10);
    assert_eq!(crashes.len(), 1);
    let gossip = Gossip { crashes: crashes.clone(), ..Gossip::default() };
    assert_eq!(gossip.abridged().crashes, crashes);
}

/// Fingerprints depend on account, target and body only.
#[test]
fn fingerprints() {
    let fingerprint = Fingerprint::new("petra", &["POST", "/a"], b"body");
    assert_eq!(fingerprint, Fingerprint::new("petra", &["POST", "/a"], b"body"));
    for different in [
        Fingerprint::new("sanam", &["POST", "/a"], b"body"),
        Fingerprint::new("petra", &["GET", "/a"], b"body"),
        Fingerprint::new("petra", &["POST", "/ab"], b"ody"),
        Fingerprint::new("petra", &["POST", "/a"], b"body "),
    ] {
        assert_ne!(fingerprint, different);
    }
}

/// Requests that were affected by one crash are reported with the next regular gossip; a second
/// crash is urgent.
#[test]
fn urgent_news() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.record_crash(NOW_MS, REQUEST, 1, NOW_MS), UpdateUrgency::FirstCrash);
    assert_eq!(
        quarantine.record_crash(NOW_MS + 10, REQUEST, 2, NOW_MS + 10),
        UpdateUrgency::Urgent
    );
    assert_eq!(quarantine.record_crash(NOW_MS + 20, REQUEST, 2, NOW_MS + 20), UpdateUrgency::None);
    let mut receiver = Quarantine::default();
    assert_eq!(send_reports(NOW_MS + 30, &mut quarantine, &mut receiver), UpdateUrgency::Urgent);
    assert_eq!(send_reports(NOW_MS + 40, &mut quarantine, &mut receiver), UpdateUrgency::None);
}

/// An abort of [`REQUEST`] that has just happened.
fn abort(incarnation_id: u32) -> AbortReport {
    AbortReport { request: REQUEST, incarnation_id, age_ms: 0 }
}

/// A client repeats a request at another box as soon as an upstream has aborted it, before anybody
/// knows whether the upstream crashed: the third abort withholds it.
#[test]
fn open_aborts() {
    let mut quarantine = quarantine_after_crashes(&[1]);
    quarantine.record_abort(NOW_MS + 20, abort(2));
    quarantine.record_abort(NOW_MS + 25, abort(2));
    quarantine.record_abort(NOW_MS + 25, abort(1));
    assert!(!quarantine.is_withheld(NOW_MS + 30, REQUEST), "two upstreams only");
    quarantine.record_abort(NOW_MS + 30, abort(3));
    assert_eq!(quarantine.until_ms(NOW_MS + 30, REQUEST), None, "withheld, not quarantined");
    let until_ms = NOW_MS + 20 + ABORT_CHECK_MS;
    assert_eq!(quarantine.withheld_until_ms(NOW_MS + 30, REQUEST), Some(until_ms));
    assert!(!quarantine.is_withheld(until_ms, REQUEST), "nobody has confirmed the crash");
}

#[test]
fn abort_settled() {
    let mut quarantine = quarantine_after_crashes(&[1, 2]);
    quarantine.record_abort(NOW_MS + 20, abort(3));
    assert!(quarantine.is_withheld(NOW_MS + 30, REQUEST));
    quarantine.settle_abort(REQUEST, 3);
    assert!(!quarantine.is_withheld(NOW_MS + 30, REQUEST), "the upstream runs");
    quarantine.record_abort(NOW_MS + 40, abort(4));
    quarantine.record_crash(NOW_MS + 50, REQUEST, 4, NOW_MS + 50);
    assert_eq!(quarantine.withheld_until_ms(NOW_MS + 60, REQUEST), None);
    assert!(is_quarantined(&quarantine, NOW_MS + 60), "the upstream has crashed");
}

#[test]
fn abort_answered() {
    let mut quarantine = Quarantine::default();
    for upstream in 1..=3 {
        quarantine.record_abort(NOW_MS, abort(upstream));
    }
    assert!(quarantine.record_answer(REQUEST, NOW_MS + 10), "other boxes must learn of it");
    assert!(!quarantine.is_withheld(NOW_MS + 20, REQUEST));
    let late = AbortReport { age_ms: 50, ..abort(4) };
    quarantine.record_abort(NOW_MS + 20, late);
    assert!(quarantine.open_aborts_of(NOW_MS + 20, &[REQUEST]).is_empty(), "before the answer");
}

/// What one box reports before it answers its client withholds the request at another.
#[test]
fn aborts_reported() {
    let (mut first, mut second) = (quarantine_after_crashes(&[1]), Quarantine::default());
    first.record_abort(NOW_MS + 20, abort(2));
    first.record_abort(NOW_MS + 30, abort(3));
    for report in first.open_aborts_of(NOW_MS + 40, &[REQUEST]) {
        second.record_abort(NOW_MS + 40, report);
    }
    assert!(!second.is_withheld(NOW_MS + 40, REQUEST));
    second.merge_reports(NOW_MS + 40, &first.crashes_of(NOW_MS + 40, &[REQUEST]), &[]);
    assert!(second.is_withheld(NOW_MS + 40, REQUEST));
}
