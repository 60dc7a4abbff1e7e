//! This box's share of the fleet-wide retry budget.
//!
//! In any time window, each service may get `ratio` retries per request and `extra` more from all
//! boxes together. Each box may use the retries earned by its own requests and its share of the
//! extra ones. That is divided by all boxes that may be running: halls that are cut off from each
//! other hear fewer boxes each, and would together spend the extra retries several times. A new
//! process starts without any extra retries, since its predecessor may have used
//! them.

use std::collections::{HashMap, VecDeque};

use crate::gateway::decisions::units::as_f64;

/// Part of the budget that is used at most; the rest covers boxes that do not know of each other,
/// and windows that are aligned differently.
const USABLE_PART: f64 = 0.7;

/// Parameters of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Window in which retries are counted.
    pub window_ms: u64,
    /// Additional retries per window for the whole fleet.
    pub extra: f64,
}

#[derive(Debug, Default)]
struct WindowCounts {
    requests_at_ms: VecDeque<u64>,
    retries_at_ms: VecDeque<u64>,
}

/// One box's share of the retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    started_at_ms: u64,
    by_service: HashMap<String, WindowCounts>,
}

impl RetryBudget {
    /// A budget without any earned retries.
    #[must_use]
    pub fn new(config: RetryBudgetConfig, started_at_ms: u64) -> Self {
        Self { config, started_at_ms, by_service: HashMap::new() }
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, now_ms: u64, service: &str) {
        let counts = self.counts(now_ms, service);
        counts.requests_at_ms.push_back(now_ms);
    }

    /// Takes one retry from the budget; false if the share of one of the `boxes` that may be running is
    /// used up.
    pub fn try_spend(&mut self, now_ms: u64, service: &str, boxes: usize) -> bool {
        let age_ms = now_ms.saturating_sub(self.started_at_ms).min(self.config.window_ms);
        let window_share = as_f64(age_ms) / as_f64(self.config.window_ms.max(1));
        let extra = self.config.extra * window_share / as_f64(boxes.max(1) as u64);
        let ratio = self.config.ratio;
        let counts = self.counts(now_ms, service);
        let earned = ratio * as_f64(counts.requests_at_ms.len() as u64);
        let spent = as_f64(counts.retries_at_ms.len() as u64);
        if spent + 1.0 > USABLE_PART * (earned + extra) {
            return false;
        }
        counts.retries_at_ms.push_back(now_ms);
        true
    }

    fn counts(&mut self, now_ms: u64, service: &str) -> &mut WindowCounts {
        let from_ms = now_ms.saturating_sub(self.config.window_ms);
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.to_owned(), WindowCounts::default());
        }
        let counts = self.by_service.get_mut(service).expect("it was inserted above");
        for times in [&mut counts.requests_at_ms, &mut counts.retries_at_ms] {
            while times.front().is_some_and(|at_ms| *at_ms < from_ms) {
                times.pop_front();
            }
        }
        counts
    }
}
