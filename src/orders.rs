//! Carries out which weight version each engine of the hall should run.
//!
//! One box of the hall holds the hall's lease in the platform's service and
//! compares what the engines report with what operators want. An order names
//! the version that it replaces and carries the fencing token. An engine that
//! does not check its orderer gets an order only after the lease was read
//! again, with a wide margin of its time left.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use log::{info, warn};

use crate::clock::now_ms;
use crate::edge::{KeyValue, ModelEngines, Order};
use crate::error::{Error, Result};
use crate::invariant::{Invariant, check};
use crate::kernel::{Kernel, Plugin};
use crate::lease::{LEASE_TTL_S, Lease, Load, Observed, RENEW_PERIOD_MS, plan_loads};
use crate::owner::owner;
use crate::phase::Phase;
use crate::settings::{EngineSettings, Upstream, UpstreamKind};
use crate::sync::locked;

/// How often engines are compared with what operators want.
const RECONCILE_PERIOD: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin { name: "orders", start, receive: None }
}

#[derive(Default)]
struct Holder {
    lease: Option<Lease>,
    renew_at_ms: u64,
}

fn start(kernel: &Arc<Kernel>) {
    tokio::spawn(reconcile_forever(kernel.clone()));
}

async fn reconcile_forever(kernel: Arc<Kernel>) {
    let mut ticks = tokio::time::interval(RECONCILE_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut holder = Holder::default();
    let loading = Arc::new(Mutex::new(BTreeSet::new()));
    loop {
        ticks.tick().await;
        if !is_candidate(&kernel) {
            give_back(&kernel, &mut holder).await;
            continue;
        }
        if let Err(error) = keep_lease(&kernel, &mut holder).await {
            warn!(target: "orders", "Lease not held: {error}.");
        }
        if let Some(lease) = &holder.lease {
            reconcile(&kernel, lease, &loading).await;
        }
    }
}

/// Only the owner tries, so that the platform is not asked by every box.
fn is_candidate(kernel: &Kernel) -> bool {
    let membership = kernel.membership();
    let hall = membership.view().hall(&kernel.settings.hall);
    let first = owner("hall lease", hall.iter().map(|member| member.id.name.as_str()));
    kernel.phase() == Phase::Serving && first == Some(kernel.me.name.as_str())
}

fn lease_key(kernel: &Kernel) -> String {
    format!("coursestile/lease/{}", kernel.settings.hall)
}

async fn keep_lease(kernel: &Kernel, holder: &mut Holder) -> Result<()> {
    let now_ms = now_ms();
    if holder.lease.as_ref().is_some_and(|lease| lease.valid_until_ms <= now_ms) {
        holder.lease = None;
    }
    if now_ms < holder.renew_at_ms {
        return Ok(());
    }
    holder.renew_at_ms = now_ms + RENEW_PERIOD_MS;
    let Some(lease) = holder.lease.take() else {
        holder.lease = take_lease(kernel, now_ms).await?;
        return Ok(());
    };
    let renewed = kernel.platform.renew_session(&lease.session).await;
    if matches!(renewed, Ok(false)) {
        return Err(Error::Platform("the session has ended".to_owned()));
    }
    // A lost answer leaves the lease as it was.
    let valid = Lease::new(lease.session.clone(), lease.fence, now_ms);
    holder.lease = Some(if renewed.is_ok() { valid } else { lease });
    renewed.map(|_| ())
}

/// Gives the lease back, so that the next holder need not wait for its end.
async fn give_back(kernel: &Kernel, holder: &mut Holder) {
    let Some(lease) = holder.lease.take() else {
        return;
    };
    let released = kernel.platform.release(&lease_key(kernel), &lease.session).await;
    let outcome = if released.is_ok_and(|done| done) { "given back" } else { "left to lapse" };
    info!(target: "orders", "Lease with token {} {outcome}.", lease.fence);
}

async fn take_lease(kernel: &Kernel, sent_at_ms: u64) -> Result<Option<Lease>> {
    let key = lease_key(kernel);
    let session = kernel.platform.open_session(LEASE_TTL_S).await?;
    if !kernel.platform.acquire(&key, &session).await? {
        return Ok(None);
    }
    let fence = kernel.platform.read(&key).await?.fence;
    info!(target: "orders", "Holds the lease of hall {} with token {fence}.", kernel.settings.hall);
    Ok(Some(Lease::new(session, fence, sent_at_ms)))
}

fn engines(kernel: &Kernel) -> impl Iterator<Item = (&Upstream, &EngineSettings)> {
    kernel.settings.upstreams.iter().filter_map(|upstream| match &upstream.kind {
        UpstreamKind::Engine(engine) => Some((upstream, engine)),
        UpstreamKind::Store(_) | UpstreamKind::Service { .. } => None,
    })
}

async fn reconcile(kernel: &Arc<Kernel>, lease: &Lease, loading: &Arc<Mutex<BTreeSet<String>>>) {
    let config = kernel.configuration.current();
    if config.state.models.is_empty() {
        return;
    }
    // All at once: engines that do not answer would put the lease's renewal off, one
    // second each.
    let idle = engines(kernel).filter(|(upstream, _)| !locked(loading).contains(&upstream.name));
    let reports = idle.map(async |(upstream, engine)| {
        let report = kernel.upstreams.report(&upstream.url).await?;
        let (name, model) = (upstream.name.clone(), engine.model.clone());
        Some(Observed { name, model, version: report.version })
    });
    let observed: Vec<_> = join_all(reports).await.into_iter().flatten().collect();
    let under_way = locked(loading).len();
    for load in plan_loads(&observed, |model| config.state.models.get(model).cloned(), under_way) {
        locked(loading).insert(load.engine.clone());
        let (kernel, lease, loading) = (kernel.clone(), lease.clone(), loading.clone());
        tokio::spawn(async move {
            give_order(&kernel, &lease, &load).await;
            locked(&loading).remove(&load.engine);
        });
    }
}

async fn give_order(kernel: &Kernel, lease: &Lease, load: &Load) {
    let found = engines(kernel).find(|(upstream, _)| upstream.name == load.engine);
    let Some((upstream, engine)) = found else {
        return;
    };
    if !engine.checks_orders && !still_holds(kernel, lease).await {
        return warn!(target: "orders", "No order to {}: the lease has changed.", load.engine);
    }
    if !lease.may_order(now_ms(), engine.checks_orders) {
        return warn!(target: "orders", "No order to {}: the lease ends soon.", load.engine);
    }
    let in_force = now_ms() < lease.valid_until_ms;
    if !check(Invariant::OrderUnderLease, in_force, || load.engine.clone()) {
        return;
    }
    let (expect_version, version) = (load.expect_version.as_str(), load.version.as_str());
    let order = Order { fence: lease.fence, expect_version, version };
    let done = kernel.upstreams.order(&upstream.url, &order).await;
    info!(target: "orders", "Load of {version} on {}: {}.", load.engine,
        if done { "done" } else { "refused or lost" });
}

async fn still_holds(kernel: &Kernel, lease: &Lease) -> bool {
    let value = kernel.platform.read(&lease_key(kernel)).await;
    value.is_ok_and(|value| value.fence == lease.fence)
}
