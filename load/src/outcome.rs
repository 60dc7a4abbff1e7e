//! Results of a load and the resources that it used.

use std::collections::BTreeMap;

use coursestile_standins::fleet::Fleet;
use hdrhistogram::Histogram;

use crate::figures::ratio;
use crate::workload::ACCOUNT_WEIGHTS;

/// Results of a load.
pub struct Outcome {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers.
    pub whole: u64,
    /// Complete answers with other content than expected.
    pub wrong: u64,
    /// Requests that got neither an answer nor a refusal.
    pub lost: u64,
    /// Calls that must run at most once and ran more often.
    pub run_repeatedly: u64,
    /// Calls that were refused as not run although they had run.
    pub false_not_run: u64,
    /// Refusals, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Time to first token of completions, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time to first token by account, in microseconds.
    pub first_token_by_account_us: Vec<Histogram<u64>>,
    /// Time between two tokens, in microseconds.
    pub inter_token_us: Histogram<u64>,
    /// Time to first token by the second in which the request arrived, in microseconds.
    pub first_token_by_second_us: BTreeMap<u64, Histogram<u64>>,
    /// A trace id that the demo shows.
    pub trace: Option<String>,
    /// Complete and correct answers by account.
    pub whole_by_account: Vec<u64>,
    /// Recomputed tokens and link traffic after the warm-up.
    pub usage: Usage,
    /// Keys of calls that must run at most once, and whether the last answer said that the call
    /// had not run.
    pub once_keys: Vec<(String, bool)>,
}

/// An empty histogram for times of up to two minutes in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds are in order")
}

impl Default for Outcome {
    fn default() -> Self {
        Self {
            sent: 0,
            whole: 0,
            wrong: 0,
            lost: 0,
            run_repeatedly: 0,
            false_not_run: 0,
            refusals: BTreeMap::new(),
            first_token_us: histogram(),
            first_token_by_account_us: ACCOUNT_WEIGHTS.iter().map(|_| histogram()).collect(),
            inter_token_us: histogram(),
            first_token_by_second_us: BTreeMap::new(),
            trace: None,
            whole_by_account: vec![0; ACCOUNT_WEIGHTS.len()],
            usage: Usage::default(),
            once_keys: Vec::new(),
        }
    }
}

impl Outcome {
    /// Number of violated guarantees: wrong answers, lost requests, repeated runs and false
    /// refusals.
    pub fn failures(&self) -> u64 {
        self.wrong + self.lost + self.run_repeatedly + self.false_not_run
    }

    /// Counts a refusal.
    pub fn add_refusal(&mut self, reason: &str) {
        *self.refusals.entry(reason.to_owned()).or_default() += 1;
    }
}

/// Prompt tokens and link traffic as counted by the stand-ins.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in caches.
    pub cached_tokens: u64,
    /// Bytes transferred over the stores' links.
    pub link_bytes: u64,
}

impl Usage {
    /// Reads the stand-ins' counters.
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

    /// Difference to `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens.saturating_sub(earlier.prompt_tokens),
            cached_tokens: self.cached_tokens.saturating_sub(earlier.cached_tokens),
            link_bytes: self.link_bytes.saturating_sub(earlier.link_bytes),
        }
    }

    /// Percentage of prompt tokens that were computed rather than found in caches.
    pub fn recomputed_percent(&self) -> f64 {
        let computed = self.prompt_tokens - self.cached_tokens.min(self.prompt_tokens);
        100.0 * ratio(computed, self.prompt_tokens)
    }

    /// Link traffic in gigabytes.
    pub fn link_gb(&self) -> f64 {
        ratio(self.link_bytes, 1_000_000_000)
    }
}
