//! Keeps requests away from upstreams that would crash under them.
//!
//! The leader keeps the quarantined requests in the metadata store, so that boxes that start
//! know them though no other box is left to tell.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::fingerprint::Fingerprint;
use crate::gateway::decisions::gossip_message::Gossip;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::metadata::WriteOutcome;
use crate::phase::Phase;
use crate::platform::keys;
use crate::quarantine::News;

/// How often the leader compares the list with what it knows, if nothing wakes it before.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// The requests that are quarantined, with the numbers of upstreams that crashed.
pub type StoredQuarantine = BTreeMap<Fingerprint, Vec<u32>>;

/// Until when a request is quarantined; `None` if it is not.
#[must_use]
pub fn quarantined_until_ms(gateway: &Gateway, request: Fingerprint) -> Option<u64> {
    gateway.state().quarantine.until_ms(now_ms(), request)
}

/// Waits until a request is quarantined.
pub async fn wait_until_quarantined(gateway: &Gateway, request: Fingerprint) {
    loop {
        let changed = gateway.quarantine_changed.notified();
        if quarantined_until_ms(gateway, request).is_some() {
            return;
        }
        changed.await;
    }
}

/// Takes what a peer told of crashes.
pub fn merge_peer_reports(gateway: &Gateway, state: &mut State, now_ms: u64, gossip: &Gossip) {
    if state.quarantine.hear(now_ms, &gossip.crashes, &gossip.answers) != News::Urgent {
        return;
    }
    for told in &gossip.crashes {
        log_quarantined(state, now_ms, told.request);
    }
    // In a large fleet other boxes hear it from this one.
    gateway.gossip_now.notify_one();
    gateway.quarantine_changed.notify_waiters();
}

/// Logs a crash that was not known, if its request is quarantined for it.
pub fn log_quarantined(state: &State, now_ms: u64, request: Fingerprint) {
    if state.quarantine.until_ms(now_ms, request).is_some() {
        info!(target: "quarantine", "event=request_quarantined fingerprint={request}");
    }
}

/// Keeps the list, while this box is the leader.
pub async fn maintain_stored(gateway: Arc<Gateway>) {
    while gateway.phase() != Phase::Stopped {
        tokio::select! {
            () = sleep(COMPARE_PERIOD) => {}
            () = gateway.quarantine_changed.notified() => {}
        }
        if let Err(error) = write_if_changed(&gateway).await {
            info!(target: "quarantine", "event=quarantine_not_written cause=\"{error}\"");
        }
    }
}

async fn write_if_changed(gateway: &Gateway) -> Result<()> {
    let key = keys::quarantine();
    let now_ms = now_ms();
    let (revision, listed, next) = {
        let state = gateway.state();
        if state.leadership.is_none_or(|held| now_ms >= held.until_ms) {
            return Ok(());
        }
        let written = state.view.get(&key);
        // One that cannot be read, as `take` has logged, is written anew.
        let listed = written.and_then(|written| read(&written.value).ok());
        let next: StoredQuarantine = state.quarantine.quarantined(now_ms).collect();
        (written.map_or(0, |written| written.revision), listed, next)
    };
    let is_written = if revision == 0 { next.is_empty() } else { listed.as_ref() == Some(&next) };
    if is_written {
        return Ok(());
    }
    let value = postcard::to_stdvec(&next).map_err(|error| unreadable(&error))?;
    let outcome = gateway.metadata.write(&key, revision, &value, None).await?;
    info!(target: "quarantine", "event=quarantine_written count={} done={}", next.len(),
        matches!(outcome, WriteOutcome::Done { .. }));
    Ok(())
}

/// Takes the list as the store has it.
pub fn restore(gateway: &Gateway, state: &mut State, now_ms: u64, value: &[u8]) {
    match read(value) {
        Ok(listed) => {
            for (request, upstreams) in &listed {
                state.quarantine.hear_listed(now_ms, *request, upstreams);
            }
            gateway.quarantine_changed.notify_waiters();
        }
        Err(error) => {
            warn!(target: "quarantine", "event=quarantine_unreadable cause=\"{error}\"");
        }
    }
}

fn read(value: &[u8]) -> Result<StoredQuarantine> {
    postcard::from_bytes(value).map_err(|error| unreadable(&error))
}

fn unreadable(error: &postcard::Error) -> Error {
    Error::Message(error.to_string())
}
