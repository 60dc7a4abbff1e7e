//! Metrics of this process in Prometheus text format.

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Period of the recorder's upkeep, which drains its histograms so that they do not grow.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder; later calls have no effect.
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

/// The metrics in Prometheus text format; empty before [`install`].
#[must_use]
pub fn render() -> String {
    RECORDER.get().map(PrometheusHandle::render).unwrap_or_default()
}
