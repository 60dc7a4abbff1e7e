//! Metrics of this process in Prometheus text.

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// How often the recorder tidies its histograms.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts to record metrics; a second call does nothing.
pub fn install() {
    if RECORDER.get().is_some() {
        return;
    }
    if let Ok(handle) = PrometheusBuilder::new().install_recorder() {
        let upkeep = handle.clone();
        if RECORDER.set(handle).is_ok() {
            std::thread::spawn(move || {
                loop {
                    std::thread::sleep(UPKEEP_PERIOD);
                    upkeep.run_upkeep();
                }
            });
        }
    }
}

/// The metrics page.
#[must_use]
pub fn render() -> String {
    RECORDER.get().map(PrometheusHandle::render).unwrap_or_default()
}
