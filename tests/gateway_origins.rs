//! Where streams began: how long it is kept, by whom, and what shows it when nobody keeps it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use coursestile::gateway::decisions::gossip_message::Gossip;
use coursestile::gateway::decisions::peers::{LocalBox, Peers};
use coursestile::gateway::decisions::software_history::{
    ABANDONED_MS, GUESS_LEASE_MS, MAX_STREAM_MS, SETTLE_MS, SoftwareHistory, StoredChange,
    StoredVersions, Versions,
};
use coursestile::gateway::decisions::stream_origins::{StreamId, StreamOrigin, StreamOrigins};
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::names::short_id;
use rstest::rstest;

const V1: StreamOrigin = StreamOrigin { service: 1, software: 1 };
const V2: StreamOrigin = StreamOrigin { service: 1, software: 2 };

fn stream(number: u32) -> StreamId {
    StreamId::new("petra", &format!("r-{number}"))
}

#[test]
fn kept_until_expiry() {
    let mut origins = StreamOrigins::default();
    origins.record(0, stream(1), V1, 100);
    assert_eq!(origins.get(99, stream(1)), Some(V1));
    assert_eq!(origins.get(100, stream(1)), None);
    assert_eq!(origins.get(50, stream(2)), None);
    origins.record(50, stream(1), V1, 80);
    assert_eq!(origins.get(99, stream(1)), Some(V1), "the later expiry counts");
    origins.record(100, stream(2), V1, 200);
    assert_eq!(origins.count(), 1);
}

#[test]
fn reports_differ() {
    let mut origins = StreamOrigins::default();
    origins.record(0, stream(1), V1, 100);
    origins.record(10, stream(1), V2, 100);
    assert_eq!(origins.get(20, stream(1)), None);
    origins.record(20, stream(1), V1, 100);
    assert_eq!(origins.get(30, stream(1)), None, "it stays unknown which one it was");
    assert_eq!(origins.report(30, stream(1)), None);
}

#[test]
fn reported_on() {
    let (mut origins, mut others) = (StreamOrigins::default(), StreamOrigins::default());
    origins.record(1000, stream(1), V1, 9000);
    let report = origins.report(2000, stream(1)).unwrap();
    // The clock of the other box shows another time.
    others.merge(500_000, report);
    assert_eq!(others.get(506_999, stream(1)), Some(V1));
    assert_eq!(others.get(507_000, stream(1)), None);
}

#[test]
fn many_streams() {
    let mut origins = StreamOrigins::default();
    for number in 0..100_000 {
        origins.record(0, stream(number), V1, 600_000 + u64::from(number));
    }
    assert!(origins.count() <= 65_536);
    assert_eq!(origins.get(1, stream(0)), None, "the one that expires first is forgotten");
    assert_eq!(origins.get(1, stream(99_999)), Some(V1));
}

#[test]
fn accounts_apart() {
    assert_ne!(StreamId::new("a", "r-1"), StreamId::new("b", "r-1"));
    assert_ne!(StreamId::new("a", "br-1"), StreamId::new("ab", "r-1"));
}

/// A fleet of which each box knows all others.
struct Fleet {
    boxes: u32,
    halls: u32,
}

impl Fleet {
    fn address(number: u32) -> IpAddr {
        Ipv4Addr::from(0x0a00_0000 + number).into()
    }

    fn hall(&self, number: u32) -> u32 {
        number % self.halls
    }

    /// What one box knows of the others, except those in `unknown`.
    fn peers_of(&self, number: u32, unknown: &[u32]) -> Peers {
        let address = SocketAddr::new(Self::address(number), 7000);
        let local = LocalBox {
            short_id: short_id(&address.ip().to_string()),
            address,
            hall: self.hall(number),
            millicores: 250,
        };
        let mut peers = Peers::new(local, &[]);
        for peer in (0..self.boxes).filter(|peer| *peer != number && !unknown.contains(peer)) {
            let gossip = Gossip { incarnation: 1, hall: self.hall(peer), ..Gossip::default() };
            peers.receive_gossip(0, Self::address(peer), gossip, ViewDigest::default());
        }
        peers
    }

    fn keepers(&self, number: u32, stream: StreamId) -> Vec<IpAddr> {
        let keepers = self.peers_of(number, &[]).stream_keepers(1, stream);
        keepers.into_iter().map(|address| address.ip()).collect()
    }

    fn asked(&self, number: u32, unknown: &[u32], stream: StreamId) -> Vec<IpAddr> {
        let asked = self.peers_of(number, unknown).peers_to_ask(1, stream);
        asked.into_iter().map(|address| address.ip()).collect()
    }
}

/// Whichever box begins a stream, each other one finds a keeper of it among a few that it asks, also
/// if a box has joined of which the first did not know, or one has left.
#[rstest]
#[case::small(9, 3)]
#[case::one_hall(60, 1)]
#[case::whole_fleet(985, 5)]
fn keepers_found(#[case] boxes: u32, #[case] halls: u32) {
    let fleet = Fleet { boxes, halls };
    for number in 0..24 {
        let (first, then, left) = (number % boxes, (number * 7 + 1) % boxes, (number + 5) % boxes);
        let stream = stream(number);
        let keepers = fleet.keepers(first, stream);
        assert_eq!(keepers.len(), 3.min(boxes as usize - 1));
        let asked = fleet.asked(then, &[left], stream);
        assert!(asked.len() <= 16, "{} are asked", asked.len());
        let is_keeper = keepers.contains(&Fleet::address(then));
        let found = keepers.iter().filter(|keeper| asked.contains(keeper)).count();
        assert!(is_keeper || found > 0, "stream {number} from {first} at {then}");
    }
}

/// All boxes of the hall in which a stream began are gone.
#[rstest]
#[case::small(9, 3)]
#[case::whole_fleet(985, 5)]
fn hall_lost(#[case] boxes: u32, #[case] halls: u32) {
    let fleet = Fleet { boxes, halls };
    for number in 0..24 {
        let (first, then) = (number % boxes, (number + 1) % boxes);
        let lost: Vec<u32> =
            (0..boxes).filter(|other| fleet.hall(*other) == fleet.hall(first)).collect();
        let stream = stream(number);
        let keepers = fleet.keepers(first, stream);
        let asked = fleet.asked(then, &lost, stream);
        assert!(
            keepers.contains(&Fleet::address(then))
                || keepers.iter().any(|keeper| asked.contains(keeper))
        );
    }
}

#[test]
fn box_alone() {
    let fleet = Fleet { boxes: 1, halls: 1 };
    assert!(fleet.keepers(0, stream(1)).is_empty());
    assert!(fleet.asked(0, &[], stream(1)).is_empty());
}

const SERVICE: u32 = 1;

fn of_service(versions: &[u32]) -> Versions {
    [(SERVICE, versions.iter().copied().collect())].into_iter().collect()
}

/// Stored versions, of which those may begin streams that are `settled`.
fn stored_settled(versions: &[u32], settled: &[u32]) -> StoredVersions {
    StoredVersions { versions: of_service(versions), settled: of_service(settled) }
}

fn stored(versions: &[u32]) -> StoredVersions {
    StoredVersions::all_settled(of_service(versions))
}

/// A history of which the metadata store has `versions`, as this box has known since 0 ms.
fn history(versions: &[u32]) -> SoftwareHistory {
    let mut history = SoftwareHistory::default();
    history.record_complete(0);
    history.record_read(0);
    if !versions.is_empty() {
        history.set_stored(0, 1, stored(versions));
    }
    history
}

#[rstest]
#[case::same(&[7], &[7, 7], Some(7))]
#[case::none_listed(&[7], &[], Some(7))]
#[case::other_listed(&[7], &[7, 8], None)]
#[case::other_stored(&[7, 8], &[7], None)]
#[case::none_stored(&[], &[7], None)]
fn only_version(#[case] stored: &[u32], #[case] listed: &[u32], #[case] expected: Option<u32>) {
    let only = history(stored).only_version(0, SERVICE, listed.iter().copied());
    assert_eq!(only, expected);
}

#[test]
fn version_gone() {
    let mut history = history(&[8]);
    history.record_gone(100, SERVICE, 7);
    history.record_read(MAX_STREAM_MS);
    assert_eq!(history.only_version(MAX_STREAM_MS + 99, SERVICE, [8].into_iter()), None);
    assert_eq!(history.only_version(MAX_STREAM_MS + 100, SERVICE, [8].into_iter()), Some(8));
    assert_eq!(
        history.only_version(MAX_STREAM_MS, 2, [8].into_iter()),
        None,
        "of no other service"
    );
}

/// A stale listing, applied after a newer read, hid a version.
#[test]
fn stale_stored() {
    let mut history = history(&[7, 8]);
    history.set_stored(0, 0, stored(&[7]));
    assert_eq!(history.only_version(0, SERVICE, [7].into_iter()), None);
    history.set_stored(0, 2, stored(&[7]));
    assert_eq!(history.only_version(0, SERVICE, [7].into_iter()), Some(7));
}

#[test]
fn added_at_once() {
    let listed = [(SERVICE, 7), (SERVICE, 8), (2, 7)];
    let next = history(&[7]).next_stored(0, StoredChange::AddListed, listed.into_iter()).unwrap();
    assert_eq!(next.versions[&SERVICE], [7, 8].into());
    assert_eq!(next.versions[&2], [7].into());
    assert_eq!(next.settled, of_service(&[7]), "the other one has just been added");
    assert_eq!(
        history(&[7]).next_stored(0, StoredChange::AddListed, [(SERVICE, 7)].into_iter()),
        None
    );
}

/// A box that learned later than the leader that a version was gone added it again.
#[test]
fn not_added_again() {
    let mut history = history(&[8]);
    history.record_gone(20_000, SERVICE, 7);
    let now_ms = 20_000 + MAX_STREAM_MS;
    let next = history.next_stored(now_ms, StoredChange::AddListed, [(SERVICE, 8)].into_iter());
    assert_eq!(next, None);
}

/// A box that has just started does not know what others have seen.
#[test]
fn removed_late() {
    let mut history = history(&[7, 8]);
    let next = |history: &SoftwareHistory, now_ms: u64| {
        history.next_stored(now_ms, StoredChange::AddAndRemove, [(SERVICE, 8)].into_iter())
    };
    assert_eq!(next(&history, MAX_STREAM_MS - 1), None);
    let unsettled = stored_settled(&[7, 8], &[8]);
    assert_eq!(next(&history, MAX_STREAM_MS), Some(unsettled.clone()));
    let listed = [(SERVICE, 8)].into_iter();
    let added = history.next_stored(MAX_STREAM_MS, StoredChange::AddListed, listed);
    assert_eq!(added, None, "only the leader removes versions");
    history.record_gone(20_000, SERVICE, 7);
    assert_eq!(next(&history, MAX_STREAM_MS), None);
    let gone_at_ms = 20_000 + MAX_STREAM_MS;
    assert_eq!(next(&history, gone_at_ms), Some(unsettled));
    history.record_gap(gone_at_ms);
    assert_eq!(next(&history, gone_at_ms + MAX_STREAM_MS - 1), None);
}

/// A removal that was written late took a version away that had come back and begun streams.
#[test]
fn removed_in_two_steps() {
    let mut history = history(&[7, 8]);
    let next = |history: &SoftwareHistory, now_ms: u64, listed: &[u32]| {
        let listed = listed.iter().map(|software| (SERVICE, *software));
        history.next_stored(now_ms, StoredChange::AddAndRemove, listed)
    };
    let unsettled = next(&history, MAX_STREAM_MS, &[8]).unwrap();
    history.set_stored(MAX_STREAM_MS, 2, unsettled);
    let settles_at_ms = MAX_STREAM_MS + SETTLE_MS;
    assert_eq!(next(&history, settles_at_ms - 1, &[8]), None);
    assert_eq!(history.begins_at_ms(SERVICE, 7, || None, || None), Some(settles_at_ms));
    assert_eq!(next(&history, settles_at_ms, &[8]), Some(stored(&[8])));
    assert_eq!(next(&history, settles_at_ms, &[7, 8]), Some(stored(&[7, 8])), "it has come back");
    let listed = [(SERVICE, 8)].into_iter();
    let kept = history.next_stored(settles_at_ms, StoredChange::AddListed, listed);
    assert_eq!(kept, None, "what is not listed does not settle");
}

/// A box that was cut off, or stood still, took the version that it knew for the only one.
#[test]
fn lease_ends() {
    let mut history = history(&[7]);
    let only = |history: &SoftwareHistory, now_ms: u64| {
        history.only_version(now_ms, SERVICE, [7].into_iter())
    };
    assert_eq!(only(&history, GUESS_LEASE_MS), Some(7));
    assert_eq!(only(&history, GUESS_LEASE_MS + 1), None);
    history.record_read(5000);
    history.record_read(4000);
    assert_eq!(only(&history, 5000 + GUESS_LEASE_MS), Some(7), "the newest time counts");
    let mut unread = SoftwareHistory::default();
    unread.set_stored(0, 1, stored(&[7]));
    assert_eq!(only(&unread, 0), None, "a stale listing");
}

/// Another writer replaced the item of the stored versions.
#[test]
fn stored_unreadable() {
    let mut history = history(&[7]);
    history.set_unreadable(2);
    assert_eq!(history.only_version(0, SERVICE, [7].into_iter()), None);
    let next = history.next_stored(0, StoredChange::AddListed, [(SERVICE, 7)].into_iter());
    assert_eq!(next, Some(stored(&[7])), "it is written again");
    history.set_stored(0, 3, stored(&[7]));
    assert_eq!(history.only_version(0, SERVICE, [7].into_iter()), Some(7));
}

#[rstest]
#[case::only(&[8], &[], 7, Some(0))]
#[case::settled(&[7, 8], &[7, 8], 7, Some(0))]
#[case::added(&[7, 8], &[7], 7, Some(100 + SETTLE_MS))]
#[case::not_stored(&[7], &[], 8, None)]
#[case::none_stored(&[], &[], 8, Some(0))]
#[case::none_stored_other_first(&[], &[], 7, None)]
fn begins(
    #[case] versions: &[u32],
    #[case] settled: &[u32],
    #[case] first_known: u32,
    #[case] expected: Option<u64>,
) {
    let mut history = SoftwareHistory::default();
    if !versions.is_empty() {
        history.set_stored(100, 1, stored_settled(versions, settled));
        history.set_stored(900, 2, stored_settled(versions, settled));
    }
    assert_eq!(history.begins_at_ms(SERVICE, 8, || Some(first_known), || None), expected);
}

/// Boxes that start later learn that a version may begin streams.
#[test]
fn settled_stored() {
    let mut history = history(&[7]);
    history.set_stored(0, 2, stored_settled(&[7, 8], &[7]));
    let listed = [(SERVICE, 7), (SERVICE, 8)];
    let next = |history: &SoftwareHistory, now_ms: u64| {
        history.next_stored(now_ms, StoredChange::AddListed, listed.into_iter())
    };
    assert_eq!(next(&history, SETTLE_MS - 1), None);
    assert_eq!(history.next_settled_at_ms(), Some(SETTLE_MS));
    assert_eq!(next(&history, SETTLE_MS), Some(stored_settled(&[7, 8], &[7, 8])));
    history.set_stored(SETTLE_MS, 3, stored_settled(&[7, 8], &[7, 8]));
    assert_eq!(next(&history, SETTLE_MS), None);
    assert_eq!(history.begins_at_ms(SERVICE, 8, || None, || None), Some(0));
}

/// A version was removed and came back; a box that had missed the removal began a stream at it at once, while
/// another one still took the other version for the only one.
#[rstest]
#[case::removal_known(true)]
#[case::removal_missed(false)]
fn version_returns(#[case] is_removal_known: bool) {
    let mut history = history(&[7, 8]);
    assert_eq!(history.begins_at_ms(SERVICE, 8, || None, || None), Some(0));
    if is_removal_known {
        history.set_stored(5000, 2, stored(&[7]));
        assert_eq!(history.begins_at_ms(SERVICE, 8, || None, || None), None);
    }
    history.set_stored(9000, 3, stored_settled(&[7, 8], &[7]));
    assert_eq!(history.begins_at_ms(SERVICE, 8, || None, || None), Some(9000 + SETTLE_MS));
    assert_eq!(history.begins_at_ms(SERVICE, 7, || None, || None), Some(0));
}

/// The metadata store took no writes, and upstreams of a new version stayed without streams though no others
/// were left.
#[test]
fn others_gone() {
    let mut history = history(&[7]);
    let begins_at_ms = |history: &SoftwareHistory, listed: &[u32]| {
        let gone_at_ms = history.others_gone_at_ms(SERVICE, 8, listed.iter().copied());
        history.begins_at_ms(SERVICE, 8, || None, || gone_at_ms)
    };
    assert_eq!(begins_at_ms(&history, &[7, 8]), None);
    history.record_gone(3000, SERVICE, 7);
    assert_eq!(begins_at_ms(&history, &[8]), Some(3000 + ABANDONED_MS));
    history.set_stored(3100, 2, stored_settled(&[7, 8], &[7]));
    assert_eq!(begins_at_ms(&history, &[8]), Some(3100 + SETTLE_MS), "whichever comes first");
}

/// A box that had just started wrote an unreadable item again, with the versions that it listed and nothing
/// else.
#[test]
fn unreadable_unknown() {
    let mut history = SoftwareHistory::default();
    history.record_complete(0);
    history.set_unreadable(2);
    let next = |history: &SoftwareHistory, now_ms: u64| {
        history.next_stored(now_ms, StoredChange::AddListed, [(SERVICE, 8)].into_iter())
    };
    assert_eq!(next(&history, MAX_STREAM_MS - 1), None);
    assert_eq!(next(&history, MAX_STREAM_MS), Some(stored(&[8])));
}

/// A box that begins to follow the metadata store with a view from its peers relied on watches, which do not
/// show what that view lacks.
#[test]
fn follower_reads() {
    let mut history = history(&[7]);
    history.require_read();
    history.record_followed(4000);
    assert_eq!(history.only_version(4000, SERVICE, [7].into_iter()), None);
    history.record_read(4000);
    history.record_followed(5000);
    assert_eq!(history.only_version(7000, SERVICE, [7].into_iter()), Some(7));
}

/// What the metadata store has had, with the times of the changes.
struct StoreLog(Vec<(u64, StoredVersions)>);

impl StoreLog {
    /// The item and its revision as of a time.
    fn read(&self, at_ms: u64) -> (u64, StoredVersions) {
        let index = self.0.iter().rposition(|(changed_at_ms, _)| *changed_at_ms <= at_ms).unwrap();
        (index as u64 + 1, self.0[index].1.clone())
    }
}

/// Roll-outs in series, and boxes that read the metadata store at random times, some of them seldom: no box
/// takes a version for the only one after another box has begun a stream at a different one.
#[test]
fn never_mixed() {
    let mut rng = fastrand::Rng::with_seed(77);
    let (mut begun, mut guessed) = (0, 0);
    for _ in 0..60 {
        let mut log = StoreLog(vec![(0, stored(&[7]))]);
        let mut boxes: Vec<SoftwareHistory> = (0..4).map(|_| history(&[7])).collect();
        // The last time at which a stream began at each version.
        let mut begun_at_ms: Vec<(u32, u64)> = Vec::new();
        let added_at_ms = rng.u64(1..6000);
        for now_ms in (0..12_000).step_by(20) {
            if now_ms >= added_at_ms && log.0.len() == 1 {
                log.0.push((now_ms, stored_settled(&[7, 8], &[7])));
            }
            for (index, history) in boxes.iter_mut().enumerate() {
                // Some boxes are cut off for a time.
                let is_cut = index > 1 && rng.u32(..200) > 0;
                if !is_cut && rng.u32(..10) == 0 {
                    let asked_at_ms = now_ms.saturating_sub(rng.u64(..600));
                    let (revision, item) = log.read(asked_at_ms);
                    history.set_stored(now_ms, revision, item);
                    history.record_read(asked_at_ms);
                }
                if let Some(next) =
                    history.next_stored(now_ms, StoredChange::AddListed, [].into_iter())
                    && log.read(now_ms).0 == history.stored_revision()
                {
                    log.0.push((now_ms, next));
                }
                for software in [7, 8] {
                    let at_ms = history.begins_at_ms(SERVICE, software, || None, || None);
                    if at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                        begun_at_ms.push((software, now_ms));
                        begun += usize::from(software == 8);
                    }
                }
            }
            for history in &boxes {
                let only = history.only_version(now_ms, SERVICE, [7].into_iter());
                guessed += usize::from(only.is_some());
                let is_mixed = begun_at_ms.iter().any(|(software, _)| Some(*software) != only);
                assert!(only.is_none() || !is_mixed, "at {now_ms} ms: {only:?}");
            }
        }
    }
    assert!(begun > 1000 && guessed > 1000, "{begun} {guessed}");
}

/// A box that learned of a version's removal only after it had been added again took it for settled.
#[rstest]
#[case::beside_another(stored(&[7, 8]))]
#[case::only(stored(&[8]))]
fn removal_missed(#[case] before: StoredVersions) {
    let mut history = history(&[]);
    history.set_stored(0, 1, before);
    assert_eq!(history.begins_at_ms(SERVICE, 8, || None, || None), Some(0));
    history.set_stored(50_000, 3, stored_settled(&[7, 8], &[7]));
    assert_eq!(history.begins_at_ms(SERVICE, 8, || None, || None), Some(50_000 + SETTLE_MS));
    let listed = [(SERVICE, 7), (SERVICE, 8)].into_iter();
    assert_eq!(history.next_stored(50_000, StoredChange::AddListed, listed), None);
}
