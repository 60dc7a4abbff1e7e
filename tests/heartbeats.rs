//! Heartbeats show a silent way to a peer, and cost little where it is sound.

use coursestile::heartbeat::{HeartbeatAction, Heartbeats};

const PEER: &str = "10.0.0.1:7000";

fn beat() -> Vec<HeartbeatAction> {
    vec![HeartbeatAction::SendHeartbeat(PEER.to_owned())]
}

/// The steps of each 100 ms up to `until_ms`, with the time of each.
fn run(beats: &mut Heartbeats, from_ms: u64, until_ms: u64) -> Vec<(u64, HeartbeatAction)> {
    let times = (from_ms..until_ms).step_by(100);
    times.flat_map(|now_ms| beats.tick(now_ms).into_iter().map(move |one| (now_ms, one))).collect()
}

#[test]
fn silent_way() {
    let mut beats = Heartbeats::default();
    beats.record_sent(0, PEER);
    let peer = PEER.to_owned();
    let expected = [
        (300, HeartbeatAction::SendHeartbeat(peer.clone())),
        (1800, HeartbeatAction::Redial(peer)),
    ];
    assert_eq!(run(&mut beats, 0, 20_000), expected, "dialled anew once for a dead peer");
    beats.record_sent(20_000, PEER);
    assert_eq!(run(&mut beats, 20_000, 21_000), [(20_300, beat().remove(0))]);
}

#[test]
fn answered_way() {
    let mut beats = Heartbeats::default();
    for now_ms in (0..10_000).step_by(1000) {
        beats.record_sent(now_ms, PEER);
        beats.record_answer(now_ms + 100, PEER);
        assert_eq!(run(&mut beats, now_ms, now_ms + 1000), []);
    }
}

#[test]
fn answers_end() {
    let (mut one, mut other) = (Heartbeats::default(), Heartbeats::default());
    // One says something, and what each asks is answered at once.
    one.record_sent(0, PEER);
    let mut asked = 0;
    for now_ms in (0..60_000).step_by(100) {
        let (ones, others) = (one.tick(now_ms).len(), other.tick(now_ms).len());
        if ones > 0 {
            other.record_sent(now_ms, PEER);
            one.record_answer(now_ms, PEER);
        }
        if others > 0 {
            one.record_sent(now_ms, PEER);
            other.record_answer(now_ms, PEER);
        }
        asked += ones + others;
    }
    assert_eq!(asked, 2, "one heartbeat each way");
}
