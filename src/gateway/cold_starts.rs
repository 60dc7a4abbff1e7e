//! Keeps this box's allowance of requests to cold upstreams up to date.

use crate::gateway::decisions::cold_start::allowance;
use crate::gateway::kernel::{Gateway, State};

/// Sets how many requests this box may send to each cold upstream.
pub fn update_allowances(gateway: &Gateway, state: &mut State, now_ms: u64) {
    let Some(configuration) = state.configuration.clone() else { return };
    let cold = state.upstreams.active().filter(|upstream| upstream.cold.is_cold(now_ms));
    let count = u32::try_from(cold.count()).unwrap_or(u32::MAX);
    metrics::gauge!("coursestile_cold_upstreams").set(f64::from(count));
    if count == 0 {
        return;
    }
    let settings = &gateway.settings;
    let halls = settings.regions.len().max(state.upstreams.hall_count());
    let State { upstreams, peers, .. } = state;
    upstreams.update_active(|upstream| {
        if !upstream.cold.is_cold(now_ms) {
            return;
        }
        let service = configuration.services.get(&upstream.entry.service);
        let limit =
            service.and_then(|service| service.cold_start.limit(settings.bounds.cold_tolerance));
        let allowed = limit.map_or(u64::MAX, |limit| {
            let rank = peers.hall_rank(now_ms, upstream.short_id);
            rank.map_or(0, |rank| allowance(limit, halls, rank))
        });
        upstream.cold.set_allowance(allowed);
    });
}
