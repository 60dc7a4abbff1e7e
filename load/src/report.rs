//! Tables and plots.

use std::error::Error;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::figures::quantile_ms;
use crate::outcome::Outcome;

/// All refusals and their numbers in one line.
pub fn refusals(outcome: &Outcome) -> String {
    if outcome.refusals.is_empty() {
        return "none".to_owned();
    }
    let kinds = outcome.refusals.iter().map(|(kind, count)| format!("{kind}: {count}"));
    kinds.collect::<Vec<_>>().join(", ")
}

/// Prints the header of the table of loads.
pub fn print_header() {
    println!(
        "{:<34} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>5}",
        "load", "sent", "whole", "p50 ms", "p95 ms", "p99 ms", "recomp%", "link GB", "refus", "bad"
    );
}

/// Prints a row of the table of loads.
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
        outcome.failures()
    );
}

/// Plots the quantiles of the time to first token, with a line for each load.
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
