//! Tables and plots.

use std::error::Error;

use coursestile_standins::fleet::Fleet;
use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::runner::Outcome;

/// Recompute and link use, as the stand-ins counted them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
    /// Prompt tokens found in caches.
    pub cached_tokens: u64,
    /// Bytes over the stores' links.
    pub link_bytes: u64,
}

impl Usage {
    /// Reads what the stand-ins counted.
    pub async fn read(fleet: &Fleet) -> Self {
        let mut usage = Self::default();
        for engine in &fleet.engines {
            let page = fleet.get(&format!("{}/runs", engine.url())).await.unwrap_or_default();
            usage.prompt_tokens += page["prompt_tokens"].as_u64().unwrap_or(0);
            usage.cached_tokens += page["cached_tokens"].as_u64().unwrap_or(0);
        }
        for store in &fleet.stores {
            let page = fleet.get(&format!("{}/load", store.url())).await.unwrap_or_default();
            usage.link_bytes += page["link_bytes"].as_u64().unwrap_or(0);
        }
        usage
    }

    /// What was used since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.saturating_sub(earlier.prompt_tokens),
            cached_tokens: self.cached_tokens.saturating_sub(earlier.cached_tokens),
            link_bytes: self.link_bytes.saturating_sub(earlier.link_bytes),
        }
    }

    /// Share of prompt tokens that were computed, in percent.
    pub fn recomputed_percent(&self) -> f64 {
        let computed = self.prompt_tokens - self.cached_tokens.min(self.prompt_tokens);
        100.0 * ratio(computed, self.prompt_tokens)
    }

    /// Bytes over the links, in gigabytes.
    pub fn link_gb(&self) -> f64 {
        ratio(self.link_bytes, 1_000_000_000)
    }
}

/// `part` over `whole`; 0 when there is nothing.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// A quantile of a histogram of microseconds, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    ratio(histogram.value_at_quantile(quantile), 1000)
}

/// Refusals in one line.
pub fn refusals(outcome: &Outcome) -> String {
    if outcome.refusals.is_empty() {
        return "none".to_owned();
    }
    let kinds = outcome.refusals.iter().map(|(kind, count)| format!("{kind}: {count}"));
    kinds.collect::<Vec<_>>().join(", ")
}

/// Head of the table of loads.
pub fn print_head() {
    println!(
        "{:<34} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>5}",
        "load", "sent", "whole", "p50 ms", "p95 ms", "p99 ms", "recomp%", "link GB", "refus", "bad"
    );
}

/// A row of the table of loads.
pub fn print_row(name: &str, outcome: &Outcome) {
    let usage = &outcome.usage;
    let first = |quantile| quantile_ms(&outcome.first_token_us, quantile);
    let refused: u64 = outcome.refusals.values().sum();
    println!(
        "{name:<34} {:>6} {:>6} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.2} {refused:>6} {:>5}",
        outcome.sent,
        outcome.whole,
        first(0.5),
        first(0.95),
        first(0.99),
        usage.recomputed_percent(),
        usage.link_gb(),
        outcome.faults()
    );
}

/// Plots time to first token against its quantile, a line for each load.
pub fn plot(path: &str, loads: &[(String, Histogram<u64>)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (900, 560)).into_drawing_area();
    area.fill(&WHITE)?;
    let highest = loads.iter().map(|(_, times)| quantile_ms(times, 0.99)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Time to first token", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..highest, 0.0..100.0)?;
    chart.configure_mesh().x_desc("milliseconds").y_desc("percent of requests").draw()?;
    for (index, (name, times)) in loads.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let percents = (1..=99).map(f64::from);
        let points = percents.map(|percent| (quantile_ms(times, percent / 100.0), percent));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
