//! Heartbeats detect a connection that has gone silent, and are not sent while the peer answers
//! anyway.

use coursestile::heartbeat::{HeartbeatAction, Heartbeats};

const PEER: &str = "10.0.0.1:7000";

fn heartbeat_actions() -> Vec<HeartbeatAction> {
    vec![HeartbeatAction::SendHeartbeat(PEER.to_owned())]
}

/// Calls `tick` every 100 ms until `until_ms`; returns the actions with their times.
fn tick_until(
    heartbeats: &mut Heartbeats,
    from_ms: u64,
    until_ms: u64,
) -> Vec<(u64, HeartbeatAction)> {
    let times = (from_ms..until_ms).step_by(100);
    times
        .flat_map(|now_ms| heartbeats.tick(now_ms).into_iter().map(move |action| (now_ms, action)))
        .collect()
}

#[test]
fn silent_way() {
    let mut heartbeats = Heartbeats::default();
    heartbeats.record_sent(0, PEER);
    let peer = PEER.to_owned();
    let expected = [
        (300, HeartbeatAction::SendHeartbeat(peer.clone())),
        (1800, HeartbeatAction::Redial(peer)),
    ];
    assert_eq!(
        tick_until(&mut heartbeats, 0, 20_000),
        expected,
        "dialled anew once for a dead peer"
    );
    heartbeats.record_sent(20_000, PEER);
    assert_eq!(
        tick_until(&mut heartbeats, 20_000, 21_000),
        [(20_300, heartbeat_actions().remove(0))]
    );
}

#[test]
fn answered_way() {
    let mut heartbeats = Heartbeats::default();
    for now_ms in (0..10_000).step_by(1000) {
        heartbeats.record_sent(now_ms, PEER);
        heartbeats.record_reply(now_ms + 100, PEER);
        assert_eq!(tick_until(&mut heartbeats, now_ms, now_ms + 1000), []);
    }
}

#[test]
fn answers_end() {
    let (mut first_box, mut second_box) = (Heartbeats::default(), Heartbeats::default());
    // The first box sends a message; each heartbeat is answered at once.
    first_box.record_sent(0, PEER);
    let mut heartbeat_count = 0;
    for now_ms in (0..60_000).step_by(100) {
        let (first_actions, second_actions) =
            (first_box.tick(now_ms).len(), second_box.tick(now_ms).len());
        if first_actions > 0 {
            second_box.record_sent(now_ms, PEER);
            first_box.record_reply(now_ms, PEER);
        }
        if second_actions > 0 {
            first_box.record_sent(now_ms, PEER);
            second_box.record_reply(now_ms, PEER);
        }
        heartbeat_count += first_actions + second_actions;
    }
    assert_eq!(heartbeat_count, 2, "one heartbeat each way");
}
