//! Leader election by a lease in the platform's metadata store. At most one box at a time is
//! the leader; it replaces the weights of engines and frees space in the context stores.
//!
//! The leader counts the duration of its lease from before each renewal was sent, and stops
//! before the store can grant the lease to another box. It may at once send orders to engines
//! to which no earlier leader can have sent one recently, as recorded in the claims of those
//! leaders (`claims`): if every new leader paused instead, no engine would get new weights
//! while the leader changes in quick succession.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::Result;
use crate::gateway::claims;
use crate::gateway::decisions::gossip_message::MetadataStoreStatus;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::leader_calls::{self, CallOutcome, LeaderCall};
use crate::gateway::metadata::{Lease, WriteOutcome};
use crate::platform::keys;

/// Name of the lease.
pub const LEASE_NAME: &str = "leader";
/// Duration of the lease from each renewal: short, so that a dead leader is replaced well
/// within the time in which engines must have new weights.
const TTL_MS: u64 = 1500;
/// Interval between renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(400);
/// The leader stops this long before its lease expires.
const EXPIRY_MARGIN_MS: u64 = 400;
/// Maximum random delay before a box takes a free lease, so that boxes do not race for it.
const TAKE_JITTER_MS: u64 = 150;
/// Additional delay before a stopping box takes a free lease, so that boxes that stay go first.
const STOPPING_DELAY_MS: u64 = 2 * TAKE_JITTER_MS;
/// Maximum time for which a stopping box waits for its lease to end: long enough for a few
/// calls to the metadata store.
const RESIGN_TIMEOUT_MS: u64 = 100;
/// Interval of the checks while it waits.
const RESIGN_POLL: Duration = Duration::from_millis(5);
/// Interval at which a box checks whether the lease is free.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// A term of leadership of this box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Fencing token: increases with each leader.
    pub fence: u64,
    /// When the lease was taken.
    pub taken_at_ms: u64,
    /// When the leadership ends unless the lease is renewed.
    pub until_ms: u64,
}

/// Takes the lease when it is free, and holds it. A stopping box also does so until its last
/// requests have ended: when all boxes are stopped one after the other, there may be no other
/// candidate.
pub async fn run(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    while !*gateway.resigned.borrow() {
        sleep(POLL_PERIOD).await;
        if !may_take_lease(&gateway) {
            continue;
        }
        let stays = gateway.phase() == BoxPhase::Serving;
        let delay_ms = if stays { 0 } else { STOPPING_DELAY_MS };
        sleep(Duration::from_millis(delay_ms + fastrand::u64(0..TAKE_JITTER_MS))).await;
        if !may_take_lease(&gateway) {
            continue;
        }
        match take(&gateway).await {
            Ok(Some((lease, leadership))) => hold(&gateway, &socket, lease, leadership).await,
            Ok(None) => {}
            Err(error) => {
                info!(target: "leadership", "event=leadership_not_taken cause=\"{error}\"");
                sleep(POLL_PERIOD).await;
            }
        }
    }
}

/// Ends the leadership of this box for good, and its lease, so that another box need not wait
/// until it expires.
pub async fn resign(gateway: &Gateway) {
    gateway.resigned.send_replace(true);
    let until_ms = now_ms() + RESIGN_TIMEOUT_MS;
    while gateway.state().leadership.is_some() && now_ms() < until_ms {
        sleep(RESIGN_POLL).await;
    }
}

/// Whether this box may try to take the lease now.
fn may_take_lease(gateway: &Gateway) -> bool {
    let state = gateway.state();
    // Without this, all boxes of a large fleet that start together would request the lease.
    state.warmed_up_at_ms.is_some()
        && !*gateway.resigned.borrow()
        && !is_cut_off_from_engines(&state)
        && state.metadata_store_status() == MetadataStoreStatus::Available
        && state.configuration.is_some()
        && !state.view.contains_key(&keys::lease(LEASE_NAME))
}

/// Whether this box cannot reach the engines of a model that other boxes reach. A leader in
/// this situation can take all of these engines out of service for 14 s although none of its
/// orders arrives.
fn is_cut_off_from_engines(state: &State) -> bool {
    let now_ms = now_ms();
    state.weights.keys().any(|model| state.upstreams.is_partitioned(now_ms, model))
}

/// Why this box should let another one lead, if it should.
fn reason_to_step_down(state: &State) -> Option<&'static str> {
    if is_cut_off_from_engines(state) {
        return Some("engines_out_of_reach");
    }
    claims::is_failing_to_write(state).then_some("claims_not_written")
}

/// Tries to take the lease; `None` if another box was faster.
async fn take(gateway: &Gateway) -> Result<Option<(Lease, Leadership)>> {
    let asked_at_ms = now_ms();
    let lease = gateway.metadata.open_lease(TTL_MS).await?;
    let key = keys::lease(LEASE_NAME);
    let address = gateway.settings.peers.ip().to_string();
    let outcome = gateway.metadata.write(&key, 0, address.as_bytes(), Some(lease)).await;
    let fence = match outcome {
        Ok(WriteOutcome::Done { revision }) => revision,
        Ok(WriteOutcome::Conflict | WriteOutcome::LeaseOver) => {
            gateway.metadata.end_lease(lease).await?;
            return Ok(None);
        }
        // The write may still take effect; without renewals, the lease then expires.
        Err(error) => return Err(error),
    };
    let until_ms = asked_at_ms + lease.ttl_ms.saturating_sub(EXPIRY_MARGIN_MS);
    let leadership = Leadership { fence, taken_at_ms: now_ms(), until_ms };
    info!(target: "leadership", "event=leadership_taken fence={fence}");
    Ok(Some((lease, leadership)))
}

/// Leads and renews the lease until it is lost, this box resigns or another box should lead.
async fn hold(gateway: &Gateway, socket: &UdpSocket, lease: Lease, mut leadership: Leadership) {
    gateway.state().leadership = Some(leadership);
    while wait_for_renewal(gateway, RENEW_PERIOD).await {
        if let Some(reason) = reason_to_step_down(&gateway.state()) {
            info!(target: "leadership", "event=leadership_left reason={reason}");
            break;
        }
        let asked_at_ms = now_ms();
        let call = LeaderCall::Renew { lease_id: lease.id, ttl_ms: lease.ttl_ms };
        match leader_calls::execute(gateway, socket, call).await {
            Ok(CallOutcome::Renewed) => {
                leadership.until_ms = asked_at_ms + lease.ttl_ms.saturating_sub(EXPIRY_MARGIN_MS);
                gateway.state().leadership = Some(leadership);
            }
            Err(error) if now_ms() < leadership.until_ms => {
                info!(target: "leadership", "event=renewal_failed cause=\"{error}\"");
            }
            Ok(_) | Err(_) => break,
        }
    }
    gateway.state().stop_leading();
    info!(target: "leadership",
        "event=leadership_ended fence={} until_ms={}", leadership.fence, leadership.until_ms);
    if gateway.state().orders_in_flight > 0 {
        // The next leader counts its pause from the end of the lease, and these orders arrive
        // before that.
        info!(target: "leadership", "event=lease_left_to_lapse");
    } else if let Err(error) = gateway.metadata.end_lease(lease).await {
        warn!(target: "leadership", "event=lease_not_ended cause=\"{error}\"");
    }
    gateway.state().leadership = None;
}

/// Sleeps until the next renewal is due; returns false if this box resigns meanwhile.
async fn wait_for_renewal(gateway: &Gateway, period: Duration) -> bool {
    let mut resigned = gateway.resigned.subscribe();
    // Only a timeout is an error here: the gateway owns the sender, so it is never dropped.
    timeout(period, resigned.wait_for(|resigned| *resigned)).await.is_err()
}
