//! Leadership, which one box at a time has: the leader replaces the weights of
//! engines and frees space in stores. The platform's metadata store decides who has it, by a
//! lease.
//!
//! The holder counts its time from before each renewal left, and stops before
//! the store can give the lease to another. It orders at once what no leader before
//! may have ordered lately, as these have written down (`claims`): a pause of each new holder
//! would keep all engines from new weights for as long as holders follow each other quickly.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::error::Result;
use crate::gateway::claims;
use crate::gateway::decisions::gossip_message::MetadataStoreStatus;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::leader_calls::{self, CallOutcome, LeaderCall};
use crate::gateway::metadata::{Lease, WriteOutcome};
use crate::phase::Phase;
use crate::platform::keys;

/// Name of the lease.
pub const NAME: &str = "leader";
/// Time for which a renewal holds: short, so that a dead holder is replaced
/// well within the time that new weights may take.
const TTL_MS: u64 = 1500;
/// Time between renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(400);
/// Margin by which the holder stops before its lease ends.
const MARGIN_MS: u64 = 400;
/// Longest pause before a free lease is taken, so that boxes do not race.
const TAKE_JITTER_MS: u64 = 150;
/// Pause before a box that stops takes a free lease: one that stays goes first.
const STOPPING_PAUSE_MS: u64 = 2 * TAKE_JITTER_MS;
/// Longest time for which a box that stops waits until its lease has ended: some calls to
/// the metadata store.
const RESIGN_MS: u64 = 100;
/// How often it looks.
const RESIGN_POLL: Duration = Duration::from_millis(5);
/// How often a box looks whether the lease is free.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// The leadership, as its holder has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Fencing token: rises with each holder.
    pub fence: u64,
    /// When it was taken.
    pub taken_at_ms: u64,
    /// When it ends unless it is renewed.
    pub until_ms: u64,
}

/// Takes the lease when it is free, and holds it. A box that stops does so too, until its
/// last requests have ended: when all boxes are stopped in turn, there may be no other.
pub async fn run(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    while !*gateway.resigned.borrow() {
        sleep(LOOK_PERIOD).await;
        if !is_free(&gateway) {
            continue;
        }
        let stays = gateway.phase() == Phase::Serving;
        let pause_ms = if stays { 0 } else { STOPPING_PAUSE_MS };
        sleep(Duration::from_millis(pause_ms + fastrand::u64(0..TAKE_JITTER_MS))).await;
        if !is_free(&gateway) {
            continue;
        }
        match take(&gateway).await {
            Ok(Some((lease, held))) => hold(&gateway, &socket, lease, held).await,
            Ok(None) => {}
            Err(error) => {
                info!(target: "leadership", "event=leadership_not_taken cause=\"{error}\"");
                sleep(LOOK_PERIOD).await;
            }
        }
    }
}

/// Gives the leadership up for good, so that another box need not wait for the end of the
/// lease.
pub async fn resign(gateway: &Gateway) {
    gateway.resigned.send_replace(true);
    let until_ms = now_ms() + RESIGN_MS;
    while gateway.state().leadership.is_some() && now_ms() < until_ms {
        sleep(RESIGN_POLL).await;
    }
}

fn is_free(gateway: &Gateway) -> bool {
    let state = gateway.state();
    // Else all boxes of a large fleet that start at once would ask for it at once.
    state.warmed_up_at_ms.is_some()
        && !*gateway.resigned.borrow()
        && !is_way_cut(&state)
        && state.metadata_store_status() == MetadataStoreStatus::Available
        && state.site.is_some()
        && !state.view.contains_key(&keys::lease(NAME))
}

/// Whether this box does not reach the engines of some model that others hear: a leader so
/// placed took all of them out of service for 14 s, without any order that arrived.
fn is_way_cut(state: &State) -> bool {
    let now_ms = now_ms();
    state.weights.keys().any(|model| state.upstreams.is_partitioned(now_ms, model))
}

/// Why another box had better lead.
fn reason_to_leave(state: &State) -> Option<&'static str> {
    if is_way_cut(state) {
        return Some("engines_out_of_reach");
    }
    claims::is_stuck(state).then_some("claims_not_written")
}

async fn take(gateway: &Gateway) -> Result<Option<(Lease, Leadership)>> {
    let asked_at_ms = now_ms();
    let lease = gateway.metadata.open_lease(TTL_MS).await?;
    let key = keys::lease(NAME);
    let address = gateway.settings.peers.ip().to_string();
    let outcome = gateway.metadata.write(&key, 0, address.as_bytes(), Some(lease)).await;
    let fence = match outcome {
        Ok(WriteOutcome::Done { revision }) => revision,
        Ok(WriteOutcome::Conflict | WriteOutcome::LeaseOver) => {
            gateway.metadata.end_lease(lease).await?;
            return Ok(None);
        }
        // The write may be done, or be done later: the lease lapses by itself.
        Err(error) => return Err(error),
    };
    let until_ms = asked_at_ms + lease.ttl_ms.saturating_sub(MARGIN_MS);
    let held = Leadership { fence, taken_at_ms: now_ms(), until_ms };
    info!(target: "leadership", "event=leadership_taken fence={fence}");
    Ok(Some((lease, held)))
}

/// Renews the lease until it is lost or the box has done its last.
async fn hold(gateway: &Gateway, socket: &UdpSocket, lease: Lease, mut held: Leadership) {
    gateway.state().leadership = Some(held);
    while pauses_leading(gateway, RENEW_PERIOD).await {
        if let Some(reason) = reason_to_leave(&gateway.state()) {
            info!(target: "leadership", "event=leadership_left reason={reason}");
            break;
        }
        let asked_at_ms = now_ms();
        let call = LeaderCall::Renew { lease_id: lease.id, ttl_ms: lease.ttl_ms };
        match leader_calls::execute(gateway, socket, call).await {
            Ok(CallOutcome::Renewed) => {
                held.until_ms = asked_at_ms + lease.ttl_ms.saturating_sub(MARGIN_MS);
                gateway.state().leadership = Some(held);
            }
            Err(error) if now_ms() < held.until_ms => {
                info!(target: "leadership", "event=renewal_failed cause=\"{error}\"");
            }
            Ok(_) | Err(_) => break,
        }
    }
    gateway.state().stop_leading();
    info!(target: "leadership", "event=leadership_ended fence={} until_ms={}", held.fence, held.until_ms);
    if gateway.state().orders_in_flight > 0 {
        // The next leader's pause counts from the end of the lease; they arrive before.
        info!(target: "leadership", "event=lease_left_to_lapse");
    } else if let Err(error) = gateway.metadata.end_lease(lease).await {
        warn!(target: "leadership", "event=lease_not_ended cause=\"{error}\"");
    }
    gateway.state().leadership = None;
}

/// Sleeps until the next renewal is due; false when this box is to lead no more.
async fn pauses_leading(gateway: &Gateway, period: Duration) -> bool {
    let mut resigned = gateway.resigned.subscribe();
    // Cannot fail: the gateway owns the sender.
    timeout(period, resigned.wait_for(|resigned| *resigned)).await.is_err()
}
