//! Updates for boxes whose view of the metadata store is behind: how often they are encoded, and how
//! slowly they may arrive.

use std::time::Duration;

use coursestile::gateway::catch_up::{EncodedUpdates, decoded, transfer_time};
use coursestile::gateway::decisions::view::{MetadataView, VersionedValue, ViewDigest};

/// Time in which a peer must begin to send, as in the program.
const BEGIN_WITHIN: Duration = Duration::from_millis(800);
/// Size of the pieces that are read.
const PIECE_BYTES: usize = 64 << 10;

fn view_with(items: u64) -> MetadataView {
    let mut view = MetadataView::default();
    for revision in 1..=items {
        let value = VersionedValue { revision, value: vec![7; 200] };
        view.put(format!("upstream/{revision}"), value);
    }
    view
}

/// 197 boxes of a hall start together and need all items: one copy serves them all.
#[test]
fn one_copy() {
    let (mut updates, mut view) = (EncodedUpdates::default(), view_with(1000));
    let first = updates.update_for(&view, ViewDigest::default()).unwrap();
    let copies = (0..197).map(|_| updates.update_for(&view, ViewDigest::default()).unwrap());
    assert!(copies.into_iter().all(|copy| copy.as_ptr() == first.as_ptr()));
    let behind = view_with(990).digest();
    assert!(updates.update_for(&view, behind).unwrap().len() * 20 < first.len());
    view.put("new".to_owned(), VersionedValue { revision: 1001, value: vec![1] });
    let later = updates.update_for(&view, ViewDigest::default()).unwrap();
    assert!(later.len() > first.len(), "the view has changed");
}

/// Whether an update arrives at this rate without ever being late.
fn arrives(bytes: usize, bytes_per_ms: usize) -> bool {
    (0..bytes).step_by(PIECE_BYTES).all(|received| {
        let next = (received + PIECE_BYTES).min(bytes);
        let took = Duration::from_millis(u64::try_from(next / bytes_per_ms).unwrap());
        took <= BEGIN_WITHIN + transfer_time(received)
    })
}

/// All items of the fleet, 2.3 MB, took longer than 0.8 s over a box's 20 Mbit/s and were sent again
/// and again.
#[test]
fn slow_links() {
    assert!(arrives(2_300_000, 2500), "20 Mbit/s");
    assert!(arrives(4_600_000, 2500), "a fleet of twice the size");
    assert!(arrives(700_000, 170), "44 copies share 60 Mbit/s between two regions");
    assert!(!arrives(700_000, 20), "a peer that all but hangs is given up");
    assert!(transfer_time(0).is_zero(), "a peer that sends nothing gets no more time");
}

/// Update of a view with the entries of 10,000 upstreams, which differ in their ids and addresses.
fn entries_update() -> (MetadataView, usize) {
    let mut view = MetadataView::default();
    let mut value_bytes = 0;
    for number in 1..=10_000_u32 {
        let address = std::net::Ipv4Addr::from(0x0a01_0000 + number);
        let id = format!("i-{:010x}", u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24);
        let value = format!(
            "{{\"service\":\"llm-pool\",\"addr\":\"{address}:8460\",\"zone\":\"bkk-a\",\"version\":1,\
             \"slots\":24,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":17746430{number:05}}}"
        );
        value_bytes += value.len();
        let value = VersionedValue { revision: number.into(), value: value.into_bytes() };
        view.put(format!("servers/{id}"), value);
    }
    (view, value_bytes)
}

/// One follower sends all entries to 197 boxes over one link, when they start: 18 s at 2.3 MB each.
#[test]
fn entries_compressed() {
    let (view, value_bytes) = entries_update();
    let bytes = EncodedUpdates::default().update_for(&view, ViewDigest::default()).unwrap();
    assert!(bytes.len() * 3 < value_bytes, "{} of {value_bytes}", bytes.len());
    let mut received = MetadataView::default();
    received.apply_catch_up(1000, decoded(&bytes).unwrap(), |_| true);
    assert_eq!(received.digest(), view.digest());
}

/// What a peer sends may be cut off, altered, or claim to be larger than any update.
#[test]
fn malformed_updates() {
    let (view, _) = entries_update();
    let bytes = EncodedUpdates::default().update_for(&view, ViewDigest::default()).unwrap();
    assert!(decoded(&[]).is_err());
    assert!(decoded(&bytes[..bytes.len() / 2]).is_err());
    let mut too_long = bytes.to_vec();
    too_long[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(decoded(&too_long).is_err());
}
