//! Leadership, which one box at a time has: the leader replaces the weights of
//! engines and frees space in stores. The platform's metadata store decides who has it, by a
//! lease.
//!
//! The holder counts its time from before each renewal left, and stops before
//! the store can give the lease to another. A new holder gives its first order
//! only when orders of the one before are surely in the past.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::error::Result;
use crate::gateway::decisions::gossip_message::StoreLink;
use crate::gateway::kernel::Gateway;
use crate::gateway::metadata::{Lease, Outcome};
use crate::gateway::renewal::renew;
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
/// Part of the bound between orders of two holders that has passed when a new
/// one takes over: the one before gave its last order `MARGIN_MS` before its
/// lease ended. Less than that, since orders take time to arrive.
const PASSED_MS: u64 = 300;
/// Longest pause before a free lease is taken, so that boxes do not race.
const TAKE_JITTER_MS: u64 = 150;
/// How often a box looks whether the lease is free.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// The leadership, as its holder has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Fencing token: rises with each holder.
    pub fence: u64,
    /// When it ends unless it is renewed.
    pub until_ms: u64,
    /// When the first order may be given.
    pub orders_from_ms: u64,
}

impl Leadership {
    /// Whether an order may be given now.
    #[must_use]
    pub fn allows_orders(&self, now_ms: u64) -> bool {
        now_ms >= self.orders_from_ms && now_ms < self.until_ms
    }
}

/// Takes the lease when it is free, and holds it.
pub async fn run(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    while gateway.phase() == Phase::Serving {
        sleep(LOOK_PERIOD).await;
        if !is_free(&gateway) {
            continue;
        }
        sleep(Duration::from_millis(fastrand::u64(0..TAKE_JITTER_MS))).await;
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

fn is_free(gateway: &Gateway) -> bool {
    let state = gateway.state();
    state.store_link() == StoreLink::Answers
        && state.site.is_some()
        && !state.view.has(&keys::lease(NAME))
}

async fn take(gateway: &Gateway) -> Result<Option<(Lease, Leadership)>> {
    let asked_at_ms = now_ms();
    let lease = gateway.metadata.open_lease(TTL_MS).await?;
    let key = keys::lease(NAME);
    let address = gateway.settings.peers.ip().to_string();
    let outcome = gateway.metadata.write(&key, 0, address.as_bytes(), Some(lease)).await;
    let fence = match outcome {
        Ok(Outcome::Done { revision }) => revision,
        Ok(Outcome::Conflict | Outcome::LeaseOver) => {
            gateway.metadata.end_lease(lease).await?;
            return Ok(None);
        }
        // The write may be done, or be done later: the lease lapses by itself.
        Err(error) => return Err(error),
    };
    let until_ms = asked_at_ms + lease.ttl_ms.saturating_sub(MARGIN_MS);
    let wait_ms = gateway.settings.bounds.lease_ms.saturating_sub(PASSED_MS);
    let held = Leadership { fence, until_ms, orders_from_ms: now_ms() + wait_ms };
    info!(target: "leadership", "event=leadership_taken fence={fence} orders_from_ms={}",
        held.orders_from_ms);
    Ok(Some((lease, held)))
}

/// Renews the lease until it is lost or the box stops.
async fn hold(gateway: &Gateway, socket: &UdpSocket, lease: Lease, mut held: Leadership) {
    gateway.state().leadership = Some(held);
    while gateway.phase() == Phase::Serving {
        sleep(RENEW_PERIOD).await;
        let asked_at_ms = now_ms();
        match renew(gateway, socket, lease).await {
            Ok(true) => {
                held.until_ms = asked_at_ms + lease.ttl_ms.saturating_sub(MARGIN_MS);
                gateway.state().leadership = Some(held);
            }
            Err(error) if now_ms() < held.until_ms => {
                info!(target: "leadership", "event=renewal_failed cause=\"{error}\"");
            }
            Ok(false) | Err(_) => break,
        }
    }
    gateway.state().leadership = None;
    info!(target: "leadership", "event=leadership_ended fence={} until_ms={}", held.fence, held.until_ms);
    if let Err(error) = gateway.metadata.end_lease(lease).await {
        warn!(target: "leadership", "event=lease_not_ended cause=\"{error}\"");
    }
}
