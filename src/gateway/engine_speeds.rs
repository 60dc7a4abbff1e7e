//! Tells operators of engines whose measured speed differs from the assumed one.

use log::info;

use crate::gateway::kernel::State;

/// Updates the gauge of engines whose speed differs, and logs those of which that has changed.
pub fn update_gauge(state: &mut State, now_ms: u64) {
    let (count, changed) = state.upstreams.note_differing_speeds(now_ms);
    for (id, speed) in changed {
        info!(target: "serve",
            "event=engine_speed upstream={id} prefill_tokens_per_ms={:.1} slowdown={:.2}",
            speed.prefill_tokens_per_ms, speed.slowdown());
    }
    metrics::gauge!("coursestile_engines_off_speed").set(f64::from(count));
}
