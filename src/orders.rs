//! Orders the engines of the hall to load the weight versions that the configuration sets.
//!
//! One box of the hall holds the hall's lease at the platform. It compares the engines'
//! reports with the configuration. Each order names the version that it replaces and
//! carries the fencing token of the lease. An engine that does not check the token only
//! gets an order after the lease was read again, and with a wide margin until it expires.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use log::{info, warn};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::Result;
use crate::external::{KeyValueEntry, KeyValueStore, LoadOrder, ModelEngines};
use crate::invariant::{Invariant, check};
use crate::kernel::{Kernel, Plugin};
use crate::lease::{
    CHECK_PERIOD_MS, LEASE_CANDIDATES, LEASE_TTL_S, Lease, LeaseRecord, LeaseStatus,
    ObservedEngine, RENEW_PERIOD_MS, WeightLoad, WeightLoads, lease_status,
};
use crate::owner::ranked;
use crate::settings::{EngineSettings, Upstream, UpstreamKind};
use crate::supervisor;
use crate::sync::locked;
use crate::ticket::BoxRef;

/// How often the engines are compared with the configuration.
const RECONCILE_PERIOD: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin { name: "orders", start, receive: None }
}

/// A session at the platform, which this box needs to hold the lease.
struct PlatformSession {
    id: String,
    valid_until_ms: u64,
}

/// What this box knows about the lease.
#[derive(Default)]
struct LeaseState {
    session: Option<PlatformSession>,
    /// Fencing token, while this box holds the lease.
    fence: Option<u64>,
    next_check_at_ms: u64,
}

impl LeaseState {
    fn lease(&self) -> Option<Lease> {
        let session = self.session.as_ref()?;
        let (fence, valid_until_ms) = (self.fence?, session.valid_until_ms);
        Some(Lease { session: session.id.clone(), fence, valid_until_ms })
    }

    /// Drops a session that has expired. Without the lease, also drops one with too little
    /// time left to acquire it.
    fn expire_session(&mut self, now_ms: u64) {
        let needed_ms = if self.fence.is_some() { 0 } else { LEASE_TTL_S * 1000 - RENEW_PERIOD_MS };
        if self.session.as_ref().is_some_and(|session| session.valid_until_ms <= now_ms + needed_ms)
        {
            self.clear();
        }
    }

    fn clear(&mut self) {
        (self.session, self.fence) = (None, None);
    }
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    supervisor::spawn("orders", move || run_reconciliation(kernel.clone()));
}

async fn run_reconciliation(kernel: Arc<Kernel>) {
    let mut ticks = tokio::time::interval(RECONCILE_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut lease_state = LeaseState::default();
    let loads = Arc::<Mutex<WeightLoads>>::default();
    loop {
        ticks.tick().await;
        if !is_candidate(&kernel, &lease_state) {
            release_lease(&kernel, &mut lease_state).await;
            continue;
        }
        if let Err(error) = maintain_lease(&kernel, &mut lease_state).await {
            warn!(target: "orders", "Cannot check, acquire or renew the lease: {error}.");
        }
        if let Some(lease) = lease_state.lease() {
            reconcile_engines(&kernel, &lease, &loads).await;
        }
    }
}

/// Whether this box may hold the lease. Only a few boxes of the hall may acquire it, to limit
/// requests to the platform. The holder keeps it when the membership changes, so that the
/// hall is not without a holder meanwhile.
fn is_candidate(kernel: &Kernel, lease_state: &LeaseState) -> bool {
    if kernel.phase() != BoxPhase::Serving {
        return false;
    }
    let membership = kernel.membership();
    let hall = membership.view().available_in_hall(&kernel.settings.hall);
    let names = hall.iter().map(|member| member.id.name.as_str());
    let candidates = ranked("hall lease", names, LEASE_CANDIDATES);
    lease_state.fence.is_some() || candidates.contains(&kernel.box_id.name.as_str())
}

fn lease_key(kernel: &Kernel) -> String {
    format!("coursestile/lease/{}", kernel.settings.hall)
}

async fn maintain_lease(kernel: &Kernel, lease_state: &mut LeaseState) -> Result<()> {
    let now_ms = now_ms();
    lease_state.expire_session(now_ms);
    if now_ms < lease_state.next_check_at_ms {
        return Ok(());
    }
    let is_holder = lease_state.fence.is_some();
    lease_state.next_check_at_ms =
        now_ms + if is_holder { RENEW_PERIOD_MS } else { CHECK_PERIOD_MS };
    if let Some(session) = lease_state.session.as_ref().filter(|_| is_holder) {
        // If the answer is lost, the lease keeps its old expiry time.
        if !kernel.platform.renew_session(&session.id).await? {
            lease_state.clear();
        }
    }
    let value = kernel.platform.read(&lease_key(kernel)).await?;
    match current_lease_status(kernel, lease_state, &value) {
        LeaseStatus::HeldByThisBox => {
            lease_state.fence = Some(value.fence);
            extend_session(lease_state.session.as_mut().filter(|_| is_holder), now_ms);
            Ok(())
        }
        LeaseStatus::HeldByOtherBox => {
            if let Some(fence) = lease_state.fence.take() {
                info!(target: "orders", "Lost the lease with token {fence} to another box.");
            }
            Ok(())
        }
        LeaseStatus::Free => acquire_lease(kernel, lease_state, now_ms).await,
        LeaseStatus::Orphaned(session) => {
            kernel.platform.release(&lease_key(kernel), &session).await?;
            acquire_lease(kernel, lease_state, now_ms).await
        }
    }
}

fn extend_session(session: Option<&mut PlatformSession>, sent_at_ms: u64) {
    if let Some(session) = session {
        session.valid_until_ms = sent_at_ms + LEASE_TTL_S * 1000;
    }
}

fn current_lease_status(
    kernel: &Kernel,
    lease_state: &LeaseState,
    value: &KeyValueEntry,
) -> LeaseStatus {
    let record = value.session.clone().map(|session| {
        let holder = serde_json::from_slice(&value.bytes).ok();
        LeaseRecord { session, holder }
    });
    let own_session = lease_state.session.as_ref().map(|session| session.id.as_str());
    // Only engines that check the fencing token refuse a late order of a holder that is gone.
    let all_check_orders = engines(kernel).all(|(_, engine)| engine.checks_orders);
    let is_gone = |holder: &BoxRef| all_check_orders && kernel.membership().view().is_gone(holder);
    lease_status(record, &kernel.box_id, own_session, is_gone)
}

/// Releases the lease, so that the next holder need not wait until it expires.
async fn release_lease(kernel: &Kernel, lease_state: &mut LeaseState) {
    let lease = lease_state.lease();
    lease_state.clear();
    let Some(lease) = lease else {
        return;
    };
    let released = kernel.platform.release(&lease_key(kernel), &lease.session).await;
    let outcome = if released.is_ok_and(|is_released| is_released) {
        "was released"
    } else {
        "expires by itself"
    };
    info!(target: "orders", "The lease with token {} {outcome}.", lease.fence);
}

async fn acquire_lease(
    kernel: &Kernel,
    lease_state: &mut LeaseState,
    sent_at_ms: u64,
) -> Result<()> {
    let (key, hall) = (lease_key(kernel), &kernel.settings.hall);
    let session = match &lease_state.session {
        Some(session) => session.id.clone(),
        None => open_session(kernel, lease_state, sent_at_ms).await?,
    };
    let own_id = serde_json::to_vec(&kernel.box_id).unwrap_or_default();
    if !kernel.platform.acquire(&key, &session, &own_id).await? {
        return Ok(());
    }
    let value = kernel.platform.read(&key).await?;
    if value.session == Some(session) {
        lease_state.fence = Some(value.fence);
        info!(target: "orders", "Holds the lease of hall {hall} with token {}.", value.fence);
    }
    Ok(())
}

async fn open_session(
    kernel: &Kernel,
    lease_state: &mut LeaseState,
    sent_at_ms: u64,
) -> Result<String> {
    let id = kernel.platform.open_session(LEASE_TTL_S).await?;
    let valid_until_ms = sent_at_ms + LEASE_TTL_S * 1000;
    lease_state.session = Some(PlatformSession { id: id.clone(), valid_until_ms });
    Ok(id)
}

fn engines(kernel: &Kernel) -> impl Iterator<Item = (&Upstream, &EngineSettings)> {
    kernel.settings.upstreams.iter().filter_map(|upstream| match &upstream.kind {
        UpstreamKind::Engine(engine) => Some((upstream, engine)),
        UpstreamKind::Store(_) | UpstreamKind::Service { .. } => None,
    })
}

async fn reconcile_engines(kernel: &Arc<Kernel>, lease: &Lease, loads: &Arc<Mutex<WeightLoads>>) {
    let config = kernel.configuration.current();
    if config.state.models.is_empty() {
        return;
    }
    // Poll all engines concurrently: each engine that does not answer takes one second, which
    // would delay the renewal of the lease.
    let idle =
        engines(kernel).filter(|(upstream, _)| !locked(loads).is_in_progress(&upstream.name));
    let reports = idle.map(async |(upstream, engine)| {
        let report = kernel.upstreams.report(&upstream.url).await?;
        let (name, model) = (upstream.name.clone(), engine.model.clone());
        Some(ObservedEngine { name, model, version: report.version, loading: report.loading })
    });
    let observed: Vec<_> = join_all(reports).await.into_iter().flatten().collect();
    let wanted = |model: &str| config.state.models.get(model).cloned();
    let planned = locked(loads).plan(now_ms(), &observed, wanted);
    for load in planned {
        locked(loads).begin(now_ms(), &load.engine);
        let (kernel, lease, loads) = (kernel.clone(), lease.clone(), loads.clone());
        tokio::spawn(async move {
            send_load_order(&kernel, &lease, &load).await;
            locked(&loads).end(&load.engine);
        });
    }
}

async fn send_load_order(kernel: &Kernel, lease: &Lease, load: &WeightLoad) {
    let found = engines(kernel).find(|(upstream, _)| upstream.name == load.engine);
    let Some((upstream, engine)) = found else {
        return;
    };
    if !engine.checks_orders && !is_lease_current(kernel, lease).await {
        return warn!(target: "orders", "Sent no order to {}: the lease has changed.", load.engine);
    }
    if !lease.allows_order(now_ms(), engine.checks_orders) {
        return warn!(target: "orders", "Sent no order to {}: the lease expires too soon.", load.engine);
    }
    let is_valid = now_ms() < lease.valid_until_ms;
    if !check(Invariant::OrderUnderLease, is_valid, || load.engine.clone()) {
        return;
    }
    let (expect_version, version) = (load.expect_version.as_str(), load.version.as_str());
    let order = LoadOrder { fence: lease.fence, expect_version, version };
    let executed = kernel.upstreams.order(&upstream.url, &order).await;
    info!(target: "orders", "Order to load {version} on {}: {}.", load.engine,
        if executed { "done" } else { "refused, or no answer" });
}

async fn is_lease_current(kernel: &Kernel, lease: &Lease) -> bool {
    let value = kernel.platform.read(&lease_key(kernel)).await;
    value.is_ok_and(|value| value.fence == lease.fence)
}
