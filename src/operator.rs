//! Reads and changes the configuration at the platform, for the operators' tool.

use std::time::Duration;

use tokio::time::Instant;

use crate::configlog::{ChangeProposal, ConfigHead, ConfigState, MAX_HEAD_ENTRIES};
use crate::configuration::{BASE_KEY_PREFIX, HEAD_KEY, parse_head, read_state};
use crate::error::{Error, Result};
use crate::external::KeyValueStore;

/// Number of changes that stay in the head when older ones move into the base state, so that
/// a box that is only a few revisions behind does not need the whole state.
const KEPT_HEAD_ENTRIES: usize = 16;
/// Time for which failed requests to the platform are repeated.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reads the head and the configuration that results from it.
///
/// # Errors
/// Fails if the platform does not answer or its value cannot be parsed.
pub async fn read_config(platform: &impl KeyValueStore) -> Result<(ConfigHead, ConfigState)> {
    retry_until_timeout(async || {
        let head = parse_head(&platform.read(HEAD_KEY).await?.bytes)?;
        let state = read_state(platform, &head).await?;
        Ok(Some((head, state)))
    })
    .await
}

/// Repeats `attempt` until it gives a result or [`RETRY_TIMEOUT`] has passed. It is repeated if
/// the platform does not answer, or if a concurrent write came first (`None`).
async fn retry_until_timeout<T>(attempt: impl AsyncFn() -> Result<Option<T>>) -> Result<T> {
    let give_up_at = Instant::now() + RETRY_TIMEOUT;
    loop {
        let error = match attempt().await {
            Ok(Some(result)) => return Ok(result),
            Ok(None) => Error::Contended,
            Err(error @ Error::Platform(_)) => error,
            Err(error) => return Err(error),
        };
        if Instant::now() >= give_up_at {
            return Err(error);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Submits a change and returns its revision. Each attempt first looks for the change by its
/// id, so that it applies only once even if the answer to a write was lost.
///
/// # Errors
/// Fails if the object was changed meanwhile, if the change is invalid, or if the platform
/// does not answer within [`RETRY_TIMEOUT`].
pub async fn submit_proposal(
    platform: &impl KeyValueStore,
    proposal: &ChangeProposal,
) -> Result<u64> {
    retry_until_timeout(async || try_submit(platform, proposal).await).await
}

async fn try_submit(
    platform: &impl KeyValueStore,
    proposal: &ChangeProposal,
) -> Result<Option<u64>> {
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
        head = compact_head(platform, head).await?;
    }
    let bytes = to_json(&head)?;
    if !platform.compare_and_swap(HEAD_KEY, value.index, &bytes).await? {
        return Ok(None);
    }
    if head.base_revision > old_base_revision && old_base_revision > 0 {
        // If this fails, the old base state only wastes some space.
        let _ = platform.delete(&format!("{BASE_KEY_PREFIX}{old_base_revision}")).await;
    }
    Ok(Some(revision))
}

/// Moves the older entries of a head into a new base state.
async fn compact_head(platform: &impl KeyValueStore, head: ConfigHead) -> Result<ConfigHead> {
    let old_entry_count = head.entries.len() - KEPT_HEAD_ENTRIES;
    let mut old_head = head;
    let entries = old_head.entries.split_off(old_entry_count);
    let base = read_state(platform, &old_head).await?;
    let key = format!("{BASE_KEY_PREFIX}{}", base.revision);
    // The result is false if the same base state was written before.
    platform.compare_and_swap(&key, 0, &to_json(&base)?).await?;
    Ok(ConfigHead { base_revision: base.revision, entries })
}

fn to_json(value: &impl serde::Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| Error::Usage(error.to_string()))
}
