//! The versions of upstreams' software that may have begun streams, which are maintained in the
//! metadata store (see `decisions::software_history`).

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::software_history::{StoredChange, StoredVersions};
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

/// Maintains the stored versions until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    let mut changed = gateway.upstreams_changed.subscribe();
    while gateway.phase() != BoxPhase::Stopped {
        // In either case the versions are compared.
        let _ = timeout(COMPARE_PERIOD, changed.changed()).await;
        let change = if is_leader(&gateway.state(), now_ms()) {
            StoredChange::AddAndRemove
        } else if is_version_missing(&gateway) {
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

fn is_leader(state: &State, now_ms: u64) -> bool {
    state.leadership.is_some_and(|leadership| now_ms < leadership.until_ms)
}

/// Whether this box follows the metadata store and finds upstreams with a version that it lacks.
fn is_version_missing(gateway: &Gateway) -> bool {
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
    info!(target: "versions", "event=versions_written services={} versions={} done={}",
        next.len(), next.values().map(BTreeSet::len).sum::<usize>(),
        matches!(outcome, WriteOutcome::Done { .. }));
    Ok(())
}

/// Whether this box knows the versions that the metadata store has had since its start. A listing, its
/// own or a peer's, may be older than that; the versions are then read once, in one call for all
/// requests that wait.
pub async fn confirm(gateway: &Gateway) -> bool {
    let mut is_read = gateway.versions_read.lock().await;
    let is_synced = gateway.state().view.synced_at_ms().is_some();
    if *is_read || is_synced {
        return true;
    }
    let (key, asked_at_ms) = (keys::software(), now_ms());
    let reading = gateway.metadata.list_page(&key, None, Freshness::Latest);
    let Ok(Ok(page)) = timeout(CONFIRM_TIMEOUT, reading).await else { return false };
    let mut state = gateway.state();
    for item in page.items.iter().filter(|item| item.key == key) {
        apply(&mut state, item.revision, &item.value);
    }
    state.upstreams.record_store_known(asked_at_ms);
    *is_read = true;
    true
}

/// Applies the versions that the metadata store had at a revision.
pub fn apply(state: &mut State, revision: u64, value: &[u8]) {
    match postcard::from_bytes::<StoredVersions>(value) {
        Ok(stored) => {
            info!(target: "versions", "event=versions_known revision={revision} services={} versions={}",
                stored.len(), stored.values().map(BTreeSet::len).sum::<usize>());
            state.upstreams.set_stored_versions(revision, stored);
        }
        Err(error) => warn!(target: "versions", "event=versions_unreadable cause=\"{error}\""),
    }
}

fn codec_error(error: &postcard::Error) -> Error {
    Error::Message(error.to_string())
}
