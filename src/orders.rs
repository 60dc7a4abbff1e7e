//! Carries out which weight version each engine of the hall should run.
//!
//! One box of the hall holds the hall's lease in the platform's service and
//! compares what the engines report with what operators want. An order names
//! the version that it replaces and carries the fencing token. An engine that
//! does not check its orderer gets an order only after the lease was read
//! again, with a wide margin of its time left.

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
use crate::sync::locked;
use crate::ticket::BoxRef;

/// How often engines are compared with what operators want.
const RECONCILE_PERIOD: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin { name: "orders", start, receive: None }
}

/// A session at the platform, under which this box may hold the lease.
struct Session {
    id: String,
    valid_until_ms: u64,
}

/// What this box has of the lease.
#[derive(Default)]
struct Holder {
    session: Option<Session>,
    /// Token of the lease, while it is held.
    fence: Option<u64>,
    look_at_ms: u64,
}

impl Holder {
    fn lease(&self) -> Option<Lease> {
        let session = self.session.as_ref()?;
        let (fence, valid_until_ms) = (self.fence?, session.valid_until_ms);
        Some(Lease { session: session.id.clone(), fence, valid_until_ms })
    }

    /// Gives up a session that has ended, or that has too little time left to begin with.
    fn expire(&mut self, now_ms: u64) {
        let needed_ms = if self.fence.is_some() { 0 } else { LEASE_TTL_S * 1000 - RENEW_PERIOD_MS };
        if self.session.as_ref().is_some_and(|session| session.valid_until_ms <= now_ms + needed_ms)
        {
            self.lose();
        }
    }

    fn lose(&mut self) {
        (self.session, self.fence) = (None, None);
    }
}

fn start(kernel: &Arc<Kernel>) {
    tokio::spawn(reconcile_forever(kernel.clone()));
}

async fn reconcile_forever(kernel: Arc<Kernel>) {
    let mut ticks = tokio::time::interval(RECONCILE_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut holder = Holder::default();
    let loads = Arc::<Mutex<WeightLoads>>::default();
    loop {
        ticks.tick().await;
        if !is_candidate(&kernel, &holder) {
            give_back(&kernel, &mut holder).await;
            continue;
        }
        if let Err(error) = keep_lease(&kernel, &mut holder).await {
            warn!(target: "orders", "Lease not held: {error}.");
        }
        if let Some(lease) = holder.lease() {
            reconcile(&kernel, &lease, &loads).await;
        }
    }
}

/// Whether this box may hold the lease. Only some may take it, so that the platform is
/// not asked by every box; one that holds it keeps it, so that a change of the view
/// costs no time without orders.
fn is_candidate(kernel: &Kernel, holder: &Holder) -> bool {
    if kernel.phase() != BoxPhase::Serving {
        return false;
    }
    let membership = kernel.membership();
    let hall = membership.view().available_in_hall(&kernel.settings.hall);
    let names = hall.iter().map(|member| member.id.name.as_str());
    let first = ranked("hall lease", names, LEASE_CANDIDATES);
    holder.fence.is_some() || first.contains(&kernel.box_id.name.as_str())
}

fn lease_key(kernel: &Kernel) -> String {
    format!("coursestile/lease/{}", kernel.settings.hall)
}

async fn keep_lease(kernel: &Kernel, holder: &mut Holder) -> Result<()> {
    let now_ms = now_ms();
    holder.expire(now_ms);
    if now_ms < holder.look_at_ms {
        return Ok(());
    }
    let holds = holder.fence.is_some();
    holder.look_at_ms = now_ms + if holds { RENEW_PERIOD_MS } else { CHECK_PERIOD_MS };
    if let Some(session) = holder.session.as_ref().filter(|_| holds) {
        // A lost answer leaves the lease as it was.
        if !kernel.platform.renew_session(&session.id).await? {
            holder.lose();
        }
    }
    let value = kernel.platform.read(&lease_key(kernel)).await?;
    match stands(kernel, holder, &value) {
        LeaseStatus::HeldByThisBox => {
            holder.fence = Some(value.fence);
            renewed(holder.session.as_mut().filter(|_| holds), now_ms);
            Ok(())
        }
        LeaseStatus::HeldByOtherBox => {
            if let Some(fence) = holder.fence.take() {
                info!(target: "orders", "Lease with token {fence} lost to another box.");
            }
            Ok(())
        }
        LeaseStatus::Free => take_lease(kernel, holder, now_ms).await,
        LeaseStatus::Orphaned(session) => {
            kernel.platform.release(&lease_key(kernel), &session).await?;
            take_lease(kernel, holder, now_ms).await
        }
    }
}

fn renewed(session: Option<&mut Session>, sent_at_ms: u64) {
    if let Some(session) = session {
        session.valid_until_ms = sent_at_ms + LEASE_TTL_S * 1000;
    }
}

fn stands(kernel: &Kernel, holder: &Holder, value: &KeyValueEntry) -> LeaseStatus {
    let held = value.session.clone().map(|session| {
        let holder = serde_json::from_slice(&value.bytes).ok();
        LeaseRecord { session, holder }
    });
    let own = holder.session.as_ref().map(|session| session.id.as_str());
    // Only engines that check refuse a late order of the holder that has gone.
    let checked = engines(kernel).all(|(_, engine)| engine.checks_orders);
    let is_gone = |holder: &BoxRef| checked && kernel.membership().view().is_gone(holder);
    lease_status(held, &kernel.box_id, own, is_gone)
}

/// Gives the lease back, so that the next holder need not wait for its end.
async fn give_back(kernel: &Kernel, holder: &mut Holder) {
    let lease = holder.lease();
    holder.lose();
    let Some(lease) = lease else {
        return;
    };
    let released = kernel.platform.release(&lease_key(kernel), &lease.session).await;
    let outcome = if released.is_ok_and(|done| done) { "given back" } else { "left to lapse" };
    info!(target: "orders", "Lease with token {} {outcome}.", lease.fence);
}

async fn take_lease(kernel: &Kernel, holder: &mut Holder, sent_at_ms: u64) -> Result<()> {
    let (key, hall) = (lease_key(kernel), &kernel.settings.hall);
    let session = match &holder.session {
        Some(session) => session.id.clone(),
        None => open_session(kernel, holder, sent_at_ms).await?,
    };
    let me = serde_json::to_vec(&kernel.box_id).unwrap_or_default();
    if !kernel.platform.acquire(&key, &session, &me).await? {
        return Ok(());
    }
    let value = kernel.platform.read(&key).await?;
    if value.session == Some(session) {
        holder.fence = Some(value.fence);
        info!(target: "orders", "Holds the lease of hall {hall} with token {}.", value.fence);
    }
    Ok(())
}

async fn open_session(kernel: &Kernel, holder: &mut Holder, sent_at_ms: u64) -> Result<String> {
    let id = kernel.platform.open_session(LEASE_TTL_S).await?;
    let valid_until_ms = sent_at_ms + LEASE_TTL_S * 1000;
    holder.session = Some(Session { id: id.clone(), valid_until_ms });
    Ok(id)
}

fn engines(kernel: &Kernel) -> impl Iterator<Item = (&Upstream, &EngineSettings)> {
    kernel.settings.upstreams.iter().filter_map(|upstream| match &upstream.kind {
        UpstreamKind::Engine(engine) => Some((upstream, engine)),
        UpstreamKind::Store(_) | UpstreamKind::Service { .. } => None,
    })
}

async fn reconcile(kernel: &Arc<Kernel>, lease: &Lease, loads: &Arc<Mutex<WeightLoads>>) {
    let config = kernel.configuration.current();
    if config.state.models.is_empty() {
        return;
    }
    // All at once: engines that do not answer would put the lease's renewal off, one
    // second each.
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
            give_order(&kernel, &lease, &load).await;
            locked(&loads).end(&load.engine);
        });
    }
}

async fn give_order(kernel: &Kernel, lease: &Lease, load: &WeightLoad) {
    let found = engines(kernel).find(|(upstream, _)| upstream.name == load.engine);
    let Some((upstream, engine)) = found else {
        return;
    };
    if !engine.checks_orders && !still_holds(kernel, lease).await {
        return warn!(target: "orders", "No order to {}: the lease has changed.", load.engine);
    }
    if !lease.allows_order(now_ms(), engine.checks_orders) {
        return warn!(target: "orders", "No order to {}: the lease ends soon.", load.engine);
    }
    let in_force = now_ms() < lease.valid_until_ms;
    if !check(Invariant::OrderUnderLease, in_force, || load.engine.clone()) {
        return;
    }
    let (expect_version, version) = (load.expect_version.as_str(), load.version.as_str());
    let order = LoadOrder { fence: lease.fence, expect_version, version };
    let done = kernel.upstreams.order(&upstream.url, &order).await;
    info!(target: "orders", "Load of {version} on {}: {}.", load.engine,
        if done { "done" } else { "refused or lost" });
}

async fn still_holds(kernel: &Kernel, lease: &Lease) -> bool {
    let value = kernel.platform.read(&lease_key(kernel)).await;
    value.is_ok_and(|value| value.fence == lease.fence)
}
