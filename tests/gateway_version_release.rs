//! When a version that is no longer listed may be removed from the stored versions.

use std::collections::BTreeSet;
use std::net::IpAddr;

use coursestile::gateway::decisions::software_history::MAX_STREAM_MS;
use coursestile::gateway::decisions::version_release::{VersionIds, VersionRelease};

const OLD: (u32, u32) = (1, 1);
const NEW: (u32, u32) = (1, 2);

fn address(host: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, host])
}

fn boxes(hosts: &[u8]) -> BTreeSet<IpAddr> {
    hosts.iter().copied().map(address).collect()
}

fn versions(versions: &[(u32, u32)]) -> VersionIds {
    versions.iter().copied().collect()
}

/// A box that does not know that an entry went may begin streams at its upstream at any time.
#[test]
fn all_must_know() {
    let mut release = VersionRelease::default();
    let both = boxes(&[1, 2]);
    release.note(0, versions(&[OLD]), 40, &both, |ip, _| ip == address(1));
    release.note(200_000, versions(&[OLD]), 60, &both, |ip, _| ip == address(1));
    assert!(!release.may_remove(200_000), "box 2 may be cut off with an upstream that runs");
    release.note(210_000, versions(&[OLD]), 70, &both, |ip, revision| {
        ip == address(1) || revision <= 40
    });
    assert!(!release.may_remove(210_000 + MAX_STREAM_MS - 1));
    assert!(release.may_remove(210_000 + MAX_STREAM_MS));
}

/// A box that is gone for good must not keep a version stored for ever.
#[test]
fn forgotten_box() {
    let mut release = VersionRelease::default();
    release.note(0, versions(&[OLD]), 40, &boxes(&[1, 2]), |ip, _| ip == address(1));
    release.note(1000, versions(&[OLD]), 40, &boxes(&[1]), |ip, _| ip == address(1));
    assert!(release.may_remove(1000 + MAX_STREAM_MS));
}

/// A version that has just gone must not be removed because an earlier one may be.
#[test]
fn another_version() {
    let mut release = VersionRelease::default();
    release.note(0, versions(&[OLD]), 40, &boxes(&[]), |_, _| true);
    assert!(release.may_remove(MAX_STREAM_MS));
    release.note(MAX_STREAM_MS, versions(&[OLD, NEW]), 50, &boxes(&[1]), |_, _| false);
    assert!(!release.may_remove(10 * MAX_STREAM_MS));
    // The earlier version was removed or is listed again.
    release.note(200_000, versions(&[NEW]), 60, &boxes(&[1]), |_, revision| revision == 50);
    assert!(!release.may_remove(200_000));
    assert!(release.may_remove(200_000 + MAX_STREAM_MS));
}
