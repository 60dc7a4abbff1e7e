//! Withholds requests that crash upstreams.
//!
//! The leader stores the quarantined requests in the metadata store, so that a box that starts
//! knows them even if no other box is left to report them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout_at};

use crate::box_phase::BoxPhase;
use crate::clock::{instant_at, now_ms};
use crate::error::{Error, Result};
use crate::fingerprint::Fingerprint;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::metadata::WriteOutcome;
use crate::platform::keys;
use crate::quarantine::{AnswerReport, CrashReport, UpdateUrgency};
use crate::suspect_parts::StoredPart;

/// How often the leader compares the stored quarantine with its own, unless it is woken earlier.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// Quarantined requests as stored, with the short ids of the upstreams that crashed under each.
pub type StoredQuarantine = BTreeMap<Fingerprint, Vec<u32>>;

/// Until when a request is quarantined; `None` if it is not.
#[must_use]
pub fn quarantined_until_ms(gateway: &Gateway, request: Fingerprint) -> Option<u64> {
    gateway.state().quarantine.until_ms(now_ms(), request)
}

/// Waits while a request is withheld because aborts of it are being checked. If that may take longer
/// than until `wait_until`, returns at once until when it may be withheld.
pub async fn wait_while_withheld(
    gateway: &Gateway,
    request: Fingerprint,
    wait_until: Instant,
) -> Option<u64> {
    loop {
        let changed = gateway.quarantine_changed.notified();
        let until_ms = gateway.state().quarantine.withheld_until_ms(now_ms(), request)?;
        let until = instant_at(until_ms);
        if until > wait_until {
            return Some(until_ms);
        }
        // The state is looked up again in either case.
        let _ = timeout_at(until, changed).await;
    }
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

/// Merges what a peer reports of crashes and complete answers.
pub fn merge_peer_reports(
    gateway: &Gateway,
    state: &mut State,
    now_ms: u64,
    crashes: &[CrashReport],
    answers: &[AnswerReport],
) {
    if state.quarantine.merge_reports(now_ms, crashes, answers) != UpdateUrgency::Urgent {
        return;
    }
    for crash in crashes {
        log_quarantined(state, now_ms, crash.request);
    }
    // In a large fleet, other boxes learn of it only from this box.
    gateway.gossip_now.notify_one();
    gateway.quarantine_changed.notify_waiters();
}

/// Logs that a request is quarantined, if the crash that was just reported has led to that.
pub fn log_quarantined(state: &State, now_ms: u64, request: Fingerprint) {
    if state.quarantine.until_ms(now_ms, request).is_some() {
        info!(target: "quarantine", "event=request_quarantined fingerprint={request}");
    }
}

/// Keeps the stored quarantine up to date while this box leads.
pub async fn maintain_stored(gateway: Arc<Gateway>) {
    while gateway.phase() != BoxPhase::Stopped {
        tokio::select! {
            () = sleep(COMPARE_PERIOD) => {}
            () = gateway.quarantine_changed.notified() => {}
        }
        let requests = |state: &State, now_ms| -> StoredQuarantine {
            state.quarantine.quarantined(now_ms).collect()
        };
        log_not_written(write_if_changed(&gateway, &keys::quarantine(), requests).await);
        let parts = |state: &State, now_ms| state.suspect_parts.to_store(now_ms);
        log_not_written(write_if_changed(&gateway, &keys::quarantined_parts(), parts).await);
    }
}

fn log_not_written(written: Result<()>) {
    if let Err(error) = written {
        info!(target: "quarantine", "event=quarantine_not_written cause=\"{error}\"");
    }
}

/// Writes a stored list if it differs from what this box knows, and this box leads.
async fn write_if_changed<T: Default + PartialEq + Serialize + DeserializeOwned>(
    gateway: &Gateway,
    key: &str,
    current: impl Fn(&State, u64) -> T,
) -> Result<()> {
    let now_ms = now_ms();
    let (revision, stored, current) = {
        let state = gateway.state();
        if state.leadership.is_none_or(|leadership| now_ms >= leadership.until_ms) {
            return Ok(());
        }
        let item = state.view.get(key);
        // A value that cannot be read, which is logged when it arrives, is overwritten.
        let stored = item.and_then(|item| read::<T>(&item.value).ok());
        (item.map_or(0, |item| item.revision), stored, current(&state, now_ms))
    };
    let is_written =
        if revision == 0 { current == T::default() } else { stored.as_ref() == Some(&current) };
    if is_written {
        return Ok(());
    }
    let value = postcard::to_stdvec(&current).map_err(|error| codec_error(&error))?;
    let outcome = gateway.metadata.write(key, revision, &value, None).await?;
    info!(target: "quarantine", "event=quarantine_written key={key} bytes={} done={}", value.len(),
        matches!(outcome, WriteOutcome::Done { .. }));
    Ok(())
}

/// Merges the quarantined requests as stored in the metadata store.
pub fn restore(gateway: &Gateway, state: &mut State, now_ms: u64, value: &[u8]) {
    if let Some(stored) = read_logged::<StoredQuarantine>(value) {
        for (request, upstreams) in &stored {
            state.quarantine.merge_listed(now_ms, *request, upstreams);
        }
        gateway.quarantine_changed.notify_waiters();
    }
}

/// Merges the quarantined parts as stored in the metadata store.
pub fn restore_parts(gateway: &Gateway, state: &mut State, now_ms: u64, value: &[u8]) {
    if let Some(stored) = read_logged::<Vec<StoredPart>>(value) {
        state.suspect_parts.merge_stored(now_ms, &stored);
        gateway.quarantine_changed.notify_waiters();
    }
}

fn read_logged<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    let stored = read(value);
    if let Err(error) = &stored {
        warn!(target: "quarantine", "event=quarantine_unreadable cause=\"{error}\"");
    }
    stored.ok()
}

fn read<T: DeserializeOwned>(value: &[u8]) -> Result<T> {
    postcard::from_bytes(value).map_err(|error| codec_error(&error))
}

fn codec_error(error: &postcard::Error) -> Error {
    Error::Message(error.to_string())
}
