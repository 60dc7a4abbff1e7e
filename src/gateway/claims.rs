//! Writes down, in the metadata store, whom the leader is about to order.
//!
//! The store takes it only while the leader leads: its lease's item must still be the one that
//! it wrote. So once another leads, what is written does not change any more, and a view that
//! is complete up to its taking over has it all.

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
use crate::gateway::leadership::{Leadership, NAME};
use crate::gateway::settings::Bounds;
use crate::names::number;
use crate::platform::keys;

/// Time that an order may take to arrive; the pause between the orders of two leaders
/// counts from their arrival.
const ARRIVAL_MS: u64 = 200;
/// Longest time that an order's call takes.
const CALL_MS: u64 = 600;
/// Pause before a claim is written again that met another write of this box.
const AGAIN_PAUSE: Duration = Duration::from_millis(20);
/// Writes that may fail in a row, each after half a second or more.
const MOST_FAILED_WRITES: u32 = 3;
/// Longest time in which a claim is written; an order waits for it.
const CLAIM_MS: u64 = 1000;

/// What leaders have written down, as the leader has it.
pub struct ClaimRecord {
    /// The leader.
    fence: u64,
    /// What is surely written.
    claims: Claims,
    revision: u64,
    /// What this leader has ordered or is about to order, with the last time.
    ordered_at_ms: BTreeMap<u32, u64>,
    /// Writes that have failed, one after the other.
    failed_writes: u32,
}

impl ClaimRecord {
    /// Forgets orders that lie back for longer than `pause_ms` and an order's call; what is left.
    fn recent(&mut self, now_ms: u64, pause_ms: u64) -> BTreeSet<u32> {
        self.ordered_at_ms.retain(|_, at_ms| now_ms < *at_ms + pause_ms + CALL_MS);
        self.ordered_at_ms.keys().copied().collect()
    }
}

/// Pause between the orders of two leaders to one engine.
#[must_use]
pub fn pause_ms(bounds: &Bounds) -> u64 {
    bounds.lease_ms + ARRIVAL_MS
}

/// Notes who leads, as this box knows it.
pub fn note_leader(state: &mut State, now_ms: u64) {
    if !state.view.is_loaded() {
        return;
    }
    let leader = state.view.get(&keys::lease(NAME)).map(|written| written.revision);
    let at_revision = state.view.at_revision();
    state.terms.note_leader(now_ms, leader, at_revision);
}

/// Takes up what the leaders before have written down; false until it is known.
pub fn open(state: &mut State, held: &Leadership) -> bool {
    if state.claim_record.as_ref().is_some_and(|record| record.fence == held.fence) {
        return true;
    }
    if state.view.at_revision() < held.fence {
        return false;
    }
    let (claims, revision) = written(state, held.fence);
    info!(target: "leadership", "event=claims_known fence={} engines={}", held.fence, claims.len());
    let ordered_at_ms = BTreeMap::new();
    let fence = held.fence;
    state.claim_record =
        Some(ClaimRecord { fence, claims, revision, ordered_at_ms, failed_writes: 0 });
    true
}

/// What is written. Where nothing is that can be read, though another box led before, that one
/// may have ordered all: it may be of a version that writes nothing down.
fn written(state: &State, fence: u64) -> (Claims, u64) {
    let item = state.view.get(&keys::claims());
    let revision = item.map_or(0, |item| item.revision);
    let read = item.map(|item| postcard::from_bytes::<Claims>(&item.value));
    match read {
        Some(Ok(claims)) => (claims, revision),
        None if state.terms.saw_leader_before(fence) => (all_before(state, fence), 0),
        None => (Claims::default(), 0),
        Some(Err(error)) => {
            warn!(target: "leadership", "event=claims_unreadable cause=\"{error}\"");
            (all_before(state, fence), revision)
        }
    }
}

fn all_before(state: &State, fence: u64) -> Claims {
    let engines = state.upstreams.iter().map(|engine| number(&engine.id));
    let stores = state.stores.iter().map(|(store, _)| number(&store.name));
    let all = engines.chain(stores).collect();
    Claims::default().updated(0, (fence.saturating_sub(1), &all), &state.terms, 0)
}

/// Whether the leader may order `target` (the number of an engine's id or of a store's
/// name) now, or once it has claimed it.
#[must_use]
pub fn may_order(state: &State, bounds: &Bounds, now_ms: u64, target: u32) -> bool {
    let Some(record) = &state.claim_record else { return false };
    let from_ms =
        record.claims.orderable_from_ms(target, record.fence, &state.terms, pause_ms(bounds));
    from_ms.is_some_and(|from_ms| now_ms >= from_ms)
}

/// Whether leaders before have ordered so lately that some engines wait for their pause:
/// leaders follow each other quickly.
#[must_use]
pub fn has_waiting(state: &State, bounds: &Bounds, now_ms: u64) -> bool {
    let record = state.claim_record.as_ref();
    record.is_some_and(|record| {
        record.claims.has_paused_targets(now_ms, record.fence, &state.terms, pause_ms(bounds))
    })
}

/// Whether the leader cannot write down whom it orders, so that another should lead.
#[must_use]
pub fn is_stuck(state: &State) -> bool {
    state.claim_record.as_ref().is_some_and(|record| record.failed_writes >= MOST_FAILED_WRITES)
}

/// Whether the leader with `fence` has claimed `target`.
#[must_use]
pub fn is_claimed(state: &State, fence: u64, target: u32) -> bool {
    let record = state.claim_record.as_ref().filter(|record| record.fence == fence);
    record.is_some_and(|record| record.claims.claimant(target) == Some(fence))
}

/// Claims `target`, which may be ordered, for the leader with `fence`; false when this box is
/// that leader no more.
///
/// # Errors
/// Fails when it cannot be written in time.
pub async fn claim(gateway: &Gateway, socket: &UdpSocket, fence: u64, target: u32) -> Result<bool> {
    let give_up_at_ms = now_ms() + CLAIM_MS;
    while now_ms() < give_up_at_ms {
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
        // Those that wait meanwhile are claimed by one write.
        let _turn = gateway.claim_lock.lock().await;
        if !is_claimed(&gateway.state(), fence, target) {
            write(gateway, socket, fence).await?;
        }
    }
    Err(Error::Message("the claim was not written in time".to_owned()))
}

/// Strikes out what was ordered long ago, if anything was, and begins to write.
///
/// # Errors
/// Fails when it cannot be written.
pub async fn prune(gateway: &Gateway, socket: &UdpSocket, fence: u64) -> Result<()> {
    let _turn = gateway.claim_lock.lock().await;
    let is_due = {
        let mut state = gateway.state();
        let pause_ms = pause_ms(&gateway.settings.bounds);
        let Some(record) = state.claim_record.as_mut().filter(|record| record.fence == fence)
        else {
            return Ok(());
        };
        let recent = record.recent(now_ms(), pause_ms);
        record.revision == 0
            || record.claims.targets_of(fence).any(|target| !recent.contains(&target))
    };
    if is_due { write(gateway, socket, fence).await } else { Ok(()) }
}

/// Writes what is to be claimed now.
async fn write(gateway: &Gateway, socket: &UdpSocket, fence: u64) -> Result<()> {
    let Some((call, next)) = next_write(gateway, fence) else { return Ok(()) };
    let outcome = tokio::select! {
        outcome = leader_calls::execute(gateway, socket, call) => outcome,
        revision = seen(gateway, fence, &next) => Ok(CallOutcome::Written(revision)),
    };
    if let Some(record) = &mut gateway.state().claim_record {
        record.failed_writes = if outcome.is_ok() { 0 } else { record.failed_writes + 1 };
    }
    let outcome = outcome?;
    if let CallOutcome::Written(revision) = outcome {
        note_written(gateway, fence, next, revision);
    } else {
        refresh(&mut gateway.state());
        sleep(AGAIN_PAUSE).await;
    }
    Ok(())
}

/// Waits until this box is told of its write, whose answer may be lost; its revision.
async fn seen(gateway: &Gateway, fence: u64, claims: &Claims) -> u64 {
    loop {
        sleep(AGAIN_PAUSE).await;
        let state = gateway.state();
        let known = state.claim_record.as_ref().filter(|record| record.fence == fence);
        let known = known.map_or(u64::MAX, |record| record.revision);
        let item = state.view.get(&keys::claims()).filter(|item| item.revision > known);
        if let Some(item) = item
            && postcard::from_bytes::<Claims>(&item.value).is_ok_and(|told| told == *claims)
        {
            return item.revision;
        }
    }
}

/// The write of what is to be claimed. What it strikes out counts as struck out from now on.
fn next_write(gateway: &Gateway, fence: u64) -> Option<(LeaderCall, Claims)> {
    let mut state = gateway.state();
    let State { claim_record, terms, .. } = &mut *state;
    let record = claim_record.as_mut().filter(|record| record.fence == fence)?;
    let (now_ms, pause_ms) = (now_ms(), pause_ms(&gateway.settings.bounds));
    let recent = record.recent(now_ms, pause_ms);
    record.claims.retain(fence, &recent);
    let claims = record.claims.updated(now_ms, (fence, &recent), terms, pause_ms);
    let call =
        LeaderCall::Claim { fence, expected_revision: record.revision, claims: claims.clone() };
    Some((call, claims))
}

fn note_written(gateway: &Gateway, fence: u64, claims: Claims, revision: u64) {
    let mut state = gateway.state();
    if let Some(record) = state.claim_record.as_mut().filter(|record| record.fence == fence) {
        record.claims = claims;
        record.revision = revision;
    }
}

/// Takes up a write of this box whose answer was lost.
fn refresh(state: &mut State) {
    let Some(item) = state.view.get(&keys::claims()) else { return };
    let revision = item.revision;
    let claims = match postcard::from_bytes::<Claims>(&item.value) {
        Ok(claims) => claims,
        Err(error) => {
            // Another writer was here: what leaders before had claimed is lost with it.
            warn!(target: "leadership", "event=claims_unreadable cause=\"{error}\"");
            Claims::default()
        }
    };
    if let Some(record) = state.claim_record.as_mut().filter(|record| record.revision < revision) {
        record.claims = claims;
        record.revision = revision;
    }
}
