//! Records in the metadata store to which engines and context stores the leader is about to
//! send orders ("claims" them), so that the next leader knows where it must pause.
//!
//! The write is conditional on the item of the leader's lease being the one that this leader
//! wrote. Once another box leads, the claims of earlier leaders therefore no longer change, and
//! a view that is complete up to the revision at which it took over contains all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::claims::Claims;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::leader_calls::{self, CallOutcome, LeaderCall};
use crate::gateway::leadership::{LEASE_NAME, Leadership};
use crate::gateway::settings::Bounds;
use crate::names::short_id;
use crate::platform::keys;

/// Maximum time that an order takes to arrive; the pause between the orders of two leaders
/// counts from their arrival.
const MAX_TRANSIT_MS: u64 = 200;
/// Maximum duration of the call that sends an order.
const MAX_CALL_MS: u64 = 600;
/// Pause before a write of claims is repeated that conflicted with another one of this box.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Consecutive writes that may fail before another box should lead; each takes half a second
/// or more to fail.
const MAX_FAILED_WRITES: u32 = 3;
/// Maximum time to write a claim; the order waits for it.
const CLAIM_TIMEOUT_MS: u64 = 1000;

/// The claims of all leaders, as the current leader knows them.
pub struct ClaimRecord {
    /// Fencing token of the current leader.
    fence: u64,
    /// Claims that are known to be stored.
    claims: Claims,
    /// Revision of the stored claims; 0 before the first write.
    revision: u64,
    /// Targets of this leader's orders, with the time of the last one.
    ordered_at_ms: BTreeMap<u32, u64>,
    /// Consecutive writes that have failed.
    failed_writes: u32,
}

impl ClaimRecord {
    /// Discards orders older than `pause_ms` plus the duration of a call; returns the targets of
    /// the remaining ones.
    fn retain_recent(&mut self, now_ms: u64, pause_ms: u64) -> BTreeSet<u32> {
        self.ordered_at_ms.retain(|_, at_ms| now_ms < *at_ms + pause_ms + MAX_CALL_MS);
        self.ordered_at_ms.keys().copied().collect()
    }
}

/// Minimum time between orders of two leaders to the same target.
#[must_use]
pub fn handover_pause_ms(bounds: &Bounds) -> u64 {
    bounds.lease_ms + MAX_TRANSIT_MS
}

/// Notes which leader the view shows.
pub fn note_leader(state: &mut State, now_ms: u64) {
    if !state.view.is_loaded() {
        return;
    }
    let leader = state.view.get(&keys::lease(LEASE_NAME)).map(|item| item.revision);
    let at_revision = state.view.at_revision();
    state.terms.note_leader(now_ms, leader, at_revision);
}

/// Loads the claims of earlier leaders when this box begins to lead; returns false until the
/// view contains all of them.
pub fn load(state: &mut State, leadership: &Leadership) -> bool {
    if state.claim_record.as_ref().is_some_and(|record| record.fence == leadership.fence) {
        return true;
    }
    if state.view.at_revision() < leadership.fence {
        return false;
    }
    let (claims, revision) = read_claims(state, leadership.fence);
    info!(target: "leadership",
        "event=claims_known fence={} engines={}", leadership.fence, claims.len());
    let ordered_at_ms = BTreeMap::new();
    let fence = leadership.fence;
    state.claim_record =
        Some(ClaimRecord { fence, claims, revision, ordered_at_ms, failed_writes: 0 });
    true
}

/// Reads the stored claims with their revision. If they cannot be decoded, or there are none
/// although another box led before, that box may have sent orders to every target: it may run a
/// version of this program that writes no claims.
fn read_claims(state: &State, fence: u64) -> (Claims, u64) {
    let item = state.view.get(&keys::claims());
    let revision = item.map_or(0, |item| item.revision);
    let read = item.map(|item| postcard::from_bytes::<Claims>(&item.value));
    match read {
        Some(Ok(claims)) => (claims, revision),
        None if state.terms.saw_leader_before(fence) => (claims_on_all_targets(state, fence), 0),
        None => (Claims::default(), 0),
        Some(Err(error)) => {
            warn!(target: "leadership", "event=claims_unreadable cause=\"{error}\"");
            (claims_on_all_targets(state, fence), revision)
        }
    }
}

/// Claims of the leader before the one with `fence` on every engine and context store.
fn claims_on_all_targets(state: &State, fence: u64) -> Claims {
    let engines = state.upstreams.iter().map(|engine| short_id(&engine.id));
    let stores = state.stores.iter().map(|(store, _)| short_id(&store.name));
    let all = engines.chain(stores).collect();
    Claims::default().updated(0, (fence.saturating_sub(1), &all), &state.terms, 0)
}

/// Whether the pause after orders of earlier leaders to `target` (the short id of an engine's id
/// or of a store's name) is over. The leader must still claim it before it sends an order.
#[must_use]
pub fn may_order(state: &State, bounds: &Bounds, now_ms: u64, target: u32) -> bool {
    let Some(record) = &state.claim_record else { return false };
    let from_ms = record.claims.orderable_from_ms(
        target,
        record.fence,
        &state.terms,
        handover_pause_ms(bounds),
    );
    from_ms.is_some_and(|from_ms| now_ms >= from_ms)
}

/// Whether some targets are still within the pause after orders of earlier leaders, that is,
/// whether the leader has changed in quick succession.
#[must_use]
pub fn has_paused_targets(state: &State, bounds: &Bounds, now_ms: u64) -> bool {
    let record = state.claim_record.as_ref();
    record.is_some_and(|record| {
        record.claims.has_paused_targets(
            now_ms,
            record.fence,
            &state.terms,
            handover_pause_ms(bounds),
        )
    })
}

/// Whether the leader has repeatedly failed to write its claims, so that another box should
/// lead.
#[must_use]
pub fn is_failing_to_write(state: &State) -> bool {
    state.claim_record.as_ref().is_some_and(|record| record.failed_writes >= MAX_FAILED_WRITES)
}

/// Whether the leader with `fence` has claimed `target`.
#[must_use]
pub fn is_claimed(state: &State, fence: u64, target: u32) -> bool {
    let record = state.claim_record.as_ref().filter(|record| record.fence == fence);
    record.is_some_and(|record| record.claims.claimant(target) == Some(fence))
}

/// Claims `target`, for which [`may_order`] holds, for the leader with `fence`; returns false
/// if this box is no longer that leader.
///
/// # Errors
/// Fails when the claim cannot be written in time.
pub async fn claim(gateway: &Gateway, socket: &UdpSocket, fence: u64, target: u32) -> Result<bool> {
    let deadline_ms = now_ms() + CLAIM_TIMEOUT_MS;
    while now_ms() < deadline_ms {
        {
            let mut state = gateway.state();
            if !state.leads(now_ms(), fence) {
                return Ok(false);
            }
            let Some(record) = &mut state.claim_record else { return Ok(false) };
            record.ordered_at_ms.insert(target, now_ms());
            if is_claimed(&state, fence, target) {
                return Ok(true);
            }
        }
        // One write covers the claims of all tasks that wait for the lock meanwhile.
        let _write_lock = gateway.claim_lock.lock().await;
        if !is_claimed(&gateway.state(), fence, target) {
            write(gateway, socket, fence).await?;
        }
    }
    Err(Error::Message("the claim was not written in time".to_owned()))
}

/// Removes claims on targets whose last order is old enough, if there are any, and makes the
/// first write of a new leader.
///
/// # Errors
/// Fails when the claims cannot be written.
pub async fn prune(gateway: &Gateway, socket: &UdpSocket, fence: u64) -> Result<()> {
    let _write_lock = gateway.claim_lock.lock().await;
    let is_due = {
        let mut state = gateway.state();
        let pause_ms = handover_pause_ms(&gateway.settings.bounds);
        let Some(record) = state.claim_record.as_mut().filter(|record| record.fence == fence)
        else {
            return Ok(());
        };
        let recent = record.retain_recent(now_ms(), pause_ms);
        record.revision == 0
            || record.claims.targets_of(fence).any(|target| !recent.contains(&target))
    };
    if is_due { write(gateway, socket, fence).await } else { Ok(()) }
}

/// Writes the claims of this leader and those of earlier leaders that still matter.
async fn write(gateway: &Gateway, socket: &UdpSocket, fence: u64) -> Result<()> {
    let Some((call, next)) = next_write(gateway, fence) else { return Ok(()) };
    let outcome = tokio::select! {
        outcome = leader_calls::execute(gateway, socket, call) => outcome,
        revision = wait_until_in_view(gateway, fence, &next) => Ok(CallOutcome::Written(revision)),
    };
    if let Some(record) = &mut gateway.state().claim_record {
        record.failed_writes = if outcome.is_ok() { 0 } else { record.failed_writes + 1 };
    }
    let outcome = outcome?;
    if let CallOutcome::Written(revision) = outcome {
        note_written(gateway, fence, next, revision);
    } else {
        adopt_stored_claims(&mut gateway.state());
        sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

/// Waits until the view shows the write of `claims`, whose answer may be lost; returns the
/// revision.
async fn wait_until_in_view(gateway: &Gateway, fence: u64, claims: &Claims) -> u64 {
    loop {
        sleep(RETRY_PAUSE).await;
        let state = gateway.state();
        let known = state.claim_record.as_ref().filter(|record| record.fence == fence);
        let known = known.map_or(u64::MAX, |record| record.revision);
        let item = state.view.get(&keys::claims()).filter(|item| item.revision > known);
        if let Some(item) = item
            && postcard::from_bytes::<Claims>(&item.value).is_ok_and(|stored| stored == *claims)
        {
            return item.revision;
        }
    }
}

/// The next write of claims. What it removes counts as no longer claimed from now on, even if
/// the write fails.
fn next_write(gateway: &Gateway, fence: u64) -> Option<(LeaderCall, Claims)> {
    let mut state = gateway.state();
    let State { claim_record, terms, .. } = &mut *state;
    let record = claim_record.as_mut().filter(|record| record.fence == fence)?;
    let (now_ms, pause_ms) = (now_ms(), handover_pause_ms(&gateway.settings.bounds));
    let recent = record.retain_recent(now_ms, pause_ms);
    record.claims.retain(fence, &recent);
    let claims = record.claims.updated(now_ms, (fence, &recent), terms, pause_ms);
    let call =
        LeaderCall::Claim { fence, expected_revision: record.revision, claims: claims.clone() };
    Some((call, claims))
}

/// Notes that claims are stored as `revision`.
fn note_written(gateway: &Gateway, fence: u64, claims: Claims, revision: u64) {
    let mut state = gateway.state();
    if let Some(record) = state.claim_record.as_mut().filter(|record| record.fence == fence) {
        record.claims = claims;
        record.revision = revision;
    }
}

/// Adopts the stored claims after a conflict: it was a write of this box whose answer was lost.
fn adopt_stored_claims(state: &mut State) {
    let Some(item) = state.view.get(&keys::claims()) else { return };
    let revision = item.revision;
    let claims = match postcard::from_bytes::<Claims>(&item.value) {
        Ok(claims) => claims,
        Err(error) => {
            // Another program overwrote the item; the claims of earlier leaders are lost.
            warn!(target: "leadership", "event=claims_unreadable cause=\"{error}\"");
            Claims::default()
        }
    };
    if let Some(record) = state.claim_record.as_mut().filter(|record| record.revision < revision) {
        record.claims = claims;
        record.revision = revision;
    }
}
