//! The versions of upstreams' software that may have begun streams, which are maintained in the
//! metadata store (see `decisions::software_history`).

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::box_phase::BoxPhase;
use crate::clock::{instant_at, now_ms};
use crate::error::{Error, Result};
use crate::gateway::decisions::gossip_message::MetadataStoreStatus;
use crate::gateway::decisions::software_history::{StoredChange, StoredVersions, Versions};
use crate::gateway::decisions::version_release::VersionRelease;
use crate::gateway::decisions::view::VersionedValue;
use crate::gateway::gossip::{Datagram, send_to};
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::metadata::{Freshness, WriteOutcome};
use crate::platform::keys;

/// Interval at which a box compares what is stored with what it knows, unless upstreams change.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// Time for the leader to add a version before other boxes do: many calls to the metadata store.
const LEADER_HEAD_START: Duration = Duration::from_millis(100);

/// Maximum random delay after that, so that boxes do not write at the same time.
const ADD_JITTER_MS: u64 = 100;

/// Time limit for a call that confirms the versions: many times the usual 4 ms.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause after a call that was not answered. Streams that depend on it are refused at once meanwhile.
const CONFIRM_RETRY_MS: u64 = 250;

/// Asks a peer for the stored versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsQuery {
    /// Identifies the query among those of the sender.
    pub number: u64,
}

/// The answer to a [`VersionsQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsAnswer {
    /// See [`VersionsQuery::number`].
    pub number: u64,
    /// Age of what the sender knows of the metadata store.
    pub age_ms: u32,
    /// Revision of the item.
    pub revision: u64,
    pub stored: StoredVersions,
}

/// Maintains the stored versions until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    let mut changed = gateway.upstreams_changed.subscribe();
    let mut release = VersionRelease::default();
    while gateway.phase() != BoxPhase::Stopped {
        // In either case the versions are compared.
        let _ = timeout_at(compare_at(&gateway), changed.changed()).await;
        wake_if_settled(&gateway);
        let change = if let Some(change) = leader_change(&gateway, &mut release) {
            change
        } else if needs_update(&gateway) {
            sleep(LEADER_HEAD_START + Duration::from_millis(fastrand::u64(0..ADD_JITTER_MS))).await;
            StoredChange::AddListed
        } else {
            continue;
        };
        if let Err(error) = update(&gateway, change).await {
            info!(target: "versions", "event=versions_not_written cause=\"{error}\"");
        }
    }
}

/// When the versions are compared next: after a period, or when one may begin streams.
fn compare_at(gateway: &Gateway) -> Instant {
    let settled_at_ms = gateway.state().upstreams.software_history().next_settled_at_ms();
    let period_ends_at = Instant::now() + COMPARE_PERIOD;
    let settled_at = settled_at_ms.filter(|at_ms| now_ms() < *at_ms).map(instant_at);
    settled_at.map_or(period_ends_at, |settled_at| settled_at.min(period_ends_at))
}

/// Wakes requests that wait for an upstream if there is a version that has not begun streams before.
fn wake_if_settled(gateway: &Gateway) {
    let settled_at_ms = gateway.state().upstreams.software_history().next_settled_at_ms();
    if settled_at_ms.is_some_and(|at_ms| now_ms() >= at_ms) {
        gateway.capacity_changed.notify_waiters();
    }
}

/// What the leader may change; `None` if this box is not the leader.
fn leader_change(gateway: &Gateway, release: &mut VersionRelease) -> Option<StoredChange> {
    let (state, now_ms) = (gateway.state(), now_ms());
    if state.leadership.is_none_or(|leadership| now_ms >= leadership.until_ms) {
        *release = VersionRelease::default();
        return None;
    }
    let absent = state.peers.absent().map(|(address, _)| address);
    let boxes: BTreeSet<IpAddr> = state.peers.addresses().into_iter().chain(absent).collect();
    let revision = state.view.last_change_revision();
    let unlisted = state.upstreams.unlisted_versions();
    release.note(now_ms, unlisted, revision, &boxes, |address, revision| {
        state.peers.has_reached_revision(address, revision)
    });
    let may_remove = release.may_remove(now_ms);
    Some(if may_remove { StoredChange::AddAndRemove } else { StoredChange::AddSeen })
}

/// Whether this box follows the metadata store and finds that it lacks a version, or that one may begin
/// streams.
fn needs_update(gateway: &Gateway) -> bool {
    let state = gateway.state();
    state.follows_metadata
        && state.upstreams.next_stored_versions(now_ms(), StoredChange::AddListed).is_some()
}

/// Writes the versions if they have to change. A write that crosses another one does nothing.
async fn update(gateway: &Gateway, change: StoredChange) -> Result<()> {
    let key = keys::software();
    let (revision, next) = {
        let state = gateway.state();
        let revision = state.view.get(&key).map_or(0, |item| item.revision);
        (revision, state.upstreams.next_stored_versions(now_ms(), change))
    };
    let Some(next) = next else { return Ok(()) };
    let value = postcard::to_stdvec(&next).map_err(|error| codec_error(&error))?;
    let outcome = gateway.metadata.write(&key, revision, &value, None).await?;
    info!(target: "versions", "event=versions_written services={} versions={} done={} settled={}",
        next.versions.len(), count(&next.versions),
        matches!(outcome, WriteOutcome::Done { .. }), count(&next.settled));
    Ok(())
}

/// Has this box know the versions that the metadata store has now, in one call for all requests that wait,
/// unless it has known them a moment ago. A box to which the store does not respond asks peers first.
pub async fn confirm(gateway: &Gateway) {
    let is_current = || gateway.state().upstreams.software_history().is_current(now_ms());
    if is_current() {
        return;
    }
    let mut retry_at_ms = gateway.versions_retry_at_ms.lock().await;
    if is_current() || now_ms() < *retry_at_ms {
        return;
    }
    let asks_store_first =
        gateway.state().metadata_store_status() == MetadataStoreStatus::Available;
    if asks_store_first {
        read_stored(gateway).await;
    }
    if !is_current() {
        ask_peers(gateway).await;
    }
    if !asks_store_first && !is_current() {
        read_stored(gateway).await;
    }
    if !is_current() {
        *retry_at_ms = now_ms() + CONFIRM_RETRY_MS;
    }
}

/// Reads the versions from the metadata store.
async fn read_stored(gateway: &Gateway) {
    let (key, asked_at_ms) = (keys::software(), now_ms());
    let reading = gateway.metadata.list_page(&key, None, Freshness::Latest);
    let Ok(Ok(page)) = timeout(CONFIRM_TIMEOUT, reading).await else { return };
    let mut state = gateway.state();
    match page.items.iter().find(|item| item.key == key) {
        Some(item) => apply(&mut state, item.revision, &item.value),
        None => note_missing(&mut state),
    }
    state.upstreams.record_versions_read(asked_at_ms);
}

/// Asks peers to which the metadata store responds.
async fn ask_peers(gateway: &Gateway) {
    let Some(socket) = gateway.peer_socket.get() else { return };
    let asked_at_ms = now_ms();
    let targets = gateway.state().peers.next_delegates(asked_at_ms);
    if targets.is_empty() {
        return;
    }
    let number = fastrand::u64(..);
    let open = gateway.versions_queries.open(number);
    let datagram = Datagram::VersionsQuery(VersionsQuery { number });
    gateway.peer_traffic.record_sent(&datagram, targets.len());
    send_to(socket, &datagram, &targets).await;
    let Ok(Some(answer)) = timeout(CONFIRM_TIMEOUT, open.answer()).await else { return };
    let mut state = gateway.state();
    state.upstreams.set_stored_versions(now_ms(), answer.revision, answer.stored);
    let as_of_ms = asked_at_ms.saturating_sub(u64::from(answer.age_ms));
    state.upstreams.record_versions_read(as_of_ms);
}

/// Answers a peer's query, unless this box may be out of step itself.
pub async fn answer(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, query: VersionsQuery) {
    let answer = {
        let (state, now_ms) = (gateway.state(), now_ms());
        let history = state.upstreams.software_history();
        let age_ms = history.age_ms(now_ms).and_then(|age_ms| u32::try_from(age_ms).ok());
        age_ms.filter(|_| history.is_current(now_ms)).map(|age_ms| VersionsAnswer {
            number: query.number,
            age_ms,
            revision: history.stored_revision(),
            stored: history.stored().clone(),
        })
    };
    let Some(answer) = answer else { return };
    let datagram = Datagram::VersionsAnswer(answer);
    gateway.peer_traffic.record_sent(&datagram, 1);
    send_to(socket, &datagram, &[from]).await;
}

/// Takes over the item of the view if it is newer than what this box knows. An item that had the same
/// value before is newer, too, and one that is missing was removed by another writer.
pub fn update_from_view(state: &mut State) {
    let known_revision = state.upstreams.software_history().stored_revision();
    match state.view.get(&keys::software()) {
        Some(item) if item.revision > known_revision => {
            let VersionedValue { revision, value } = item.clone();
            apply(state, revision, &value);
        }
        None if state.view.last_change_revision() > known_revision => note_missing(state),
        Some(_) | None => {}
    }
}

/// Notes that the metadata store has no item any more where this box has known one.
fn note_missing(state: &mut State) {
    let history = state.upstreams.software_history();
    if history.has_stored() {
        let revision = history.stored_revision();
        warn!(target: "versions", "event=versions_missing revision={revision}");
        state.upstreams.set_versions_unreadable(revision);
    }
}

/// Applies the versions that the metadata store had at a revision.
fn apply(state: &mut State, revision: u64, value: &[u8]) {
    match decode(value) {
        Ok(stored) => {
            info!(target: "versions",
                "event=versions_known revision={revision} services={} versions={} settled={}",
                stored.versions.len(), count(&stored.versions), count(&stored.settled));
            state.upstreams.set_stored_versions(now_ms(), revision, stored);
        }
        Err(error) => {
            warn!(target: "versions", "event=versions_unreadable cause=\"{error}\"");
            state.upstreams.set_versions_unreadable(revision);
        }
    }
}

/// Decodes the stored versions, also as an earlier release writes them.
fn decode(value: &[u8]) -> postcard::Result<StoredVersions> {
    let (versions, rest) = postcard::take_from_bytes::<Versions>(value)?;
    if rest.is_empty() {
        return Ok(StoredVersions::all_settled(versions));
    }
    Ok(StoredVersions { versions, settled: postcard::from_bytes(rest)? })
}

fn count(versions: &Versions) -> usize {
    versions.values().map(BTreeSet::len).sum()
}

fn codec_error(error: &postcard::Error) -> Error {
    Error::Message(error.to_string())
}
