//! What an operator's tool does at the platform's service.

use std::time::Duration;

use tokio::time::Instant;

use crate::configlog::{Head, MAX_HEAD_ENTRIES, Proposal, State};
use crate::configuration::{BASE_KEY_PREFIX, HEAD_KEY, parse_head, read_state};
use crate::error::{Error, Result};
use crate::external::KeyValueStore;

/// Changes that stay in the head when the older ones move into a base, so that
/// a box that is a little behind needs no whole state.
const KEPT_HEAD_ENTRIES: usize = 16;
/// Time for which the platform is tried.
const PATIENCE: Duration = Duration::from_secs(15);
/// Wait between tries.
const TRY_WAIT: Duration = Duration::from_millis(150);

/// Reads the head and the state that it stands for.
///
/// # Errors
/// Fails when the platform does not answer or its value cannot be read.
pub async fn read_config(platform: &impl KeyValueStore) -> Result<(Head, State)> {
    patiently(async || {
        let head = parse_head(&platform.read(HEAD_KEY).await?.bytes)?;
        let state = read_state(platform, &head).await?;
        Ok(Some((head, state)))
    })
    .await
}

/// Tries until there is a result, or patience is over. A platform that does
/// not answer is tried again, and so is a race that was lost.
async fn patiently<T>(once: impl AsyncFn() -> Result<Option<T>>) -> Result<T> {
    let until = Instant::now() + PATIENCE;
    loop {
        let error = match once().await {
            Ok(Some(done)) => return Ok(done),
            Ok(None) => Error::Contended,
            Err(error @ Error::Platform(_)) => error,
            Err(error) => return Err(error),
        };
        if Instant::now() >= until {
            return Err(error);
        }
        tokio::time::sleep(TRY_WAIT).await;
    }
}

/// Has a change accepted; returns its revision. Whether an answer was lost
/// after the write is settled by reading back, so a change applies once.
///
/// # Errors
/// Fails when the object was changed meanwhile, when the change is refused,
/// or when the platform does not answer for long.
pub async fn submit_proposal(platform: &impl KeyValueStore, proposal: &Proposal) -> Result<u64> {
    patiently(async || try_once(platform, proposal).await).await
}

async fn try_once(platform: &impl KeyValueStore, proposal: &Proposal) -> Result<Option<u64>> {
    let value = platform.read(HEAD_KEY).await?;
    let mut head = parse_head(&value.bytes)?;
    let state = read_state(platform, &head).await?;
    if let Some(revision) = state.accepted_at(&proposal.id) {
        return Ok(Some(revision));
    }
    let entry = state.accept(proposal)?;
    let revision = entry.revision;
    let old_base_revision = head.base_revision;
    head.entries.push(entry);
    if head.entries.len() > MAX_HEAD_ENTRIES {
        head = compact(platform, head).await?;
    }
    let bytes = to_json(&head)?;
    if !platform.compare_and_swap(HEAD_KEY, value.index, &bytes).await? {
        return Ok(None);
    }
    if head.base_revision > old_base_revision && old_base_revision > 0 {
        // A base that stays behind costs room and nothing else.
        let _ = platform.delete(&format!("{BASE_KEY_PREFIX}{old_base_revision}")).await;
    }
    Ok(Some(revision))
}

/// Moves the older entries of a head into a new base.
async fn compact(platform: &impl KeyValueStore, head: Head) -> Result<Head> {
    let split = head.entries.len() - KEPT_HEAD_ENTRIES;
    let mut older = head;
    let entries = older.entries.split_off(split);
    let base = read_state(platform, &older).await?;
    let key = format!("{BASE_KEY_PREFIX}{}", base.revision);
    // False means that the same base was written before.
    platform.compare_and_swap(&key, 0, &to_json(&base)?).await?;
    Ok(Head { base_revision: base.revision, entries })
}

fn to_json(value: &impl serde::Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| Error::Usage(error.to_string()))
}
