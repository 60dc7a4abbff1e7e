//! Client accounts and their templates.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Longest time for which context is kept, a year: its milliseconds do not overflow.
const MAX_KEEP_FOR_S: u64 = 365 * 24 * 3600;
/// Largest share or weight that counts: sums of larger ones might not be finite.
const MAX_WEIGHT: f64 = 1e9;

/// Weights of an account in the routing cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of a millisecond until the first token.
    pub first_token: f64,
    /// Weight of a millisecond of prefill.
    pub recompute: f64,
    /// Weight of a millisecond of link time.
    pub link: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { first_token: 1.0, recompute: 0.2, link: 0.2 }
    }
}

/// What a client account is entitled to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Share of the fleet, relative to other accounts; 0 excludes the account.
    pub share: f64,
    /// Priority, the lowest first. It cannot starve other accounts.
    pub priority: i8,
    /// How long context is worth keeping after its latest use, in seconds.
    pub keep_for_s: u64,
    /// Weights in the routing cost.
    pub weights: Weights,
    /// Allowed weight versions by model; an empty list allows all versions.
    pub models: BTreeMap<String, Vec<String>>,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            share: 1.0,
            priority: 0,
            keep_for_s: 3600,
            weights: Weights::default(),
            models: BTreeMap::new(),
        }
    }
}

impl Terms {
    /// Whether the account may use `version` of `model`.
    #[must_use]
    pub fn allows(&self, model: &str, version: &str) -> bool {
        let versions = self.models.get(model);
        versions.is_some_and(|versions| {
            versions.is_empty() || versions.iter().any(|allowed| allowed == version)
        })
    }

    /// These terms within bounds. Another program may have written them, without validation.
    #[must_use]
    pub fn bounded(self) -> Self {
        let weight = |weight: f64| weight.clamp(0.0, MAX_WEIGHT);
        Self {
            share: weight(self.share),
            priority: self.priority.clamp(-2, 2),
            keep_for_s: self.keep_for_s.min(MAX_KEEP_FOR_S),
            weights: Weights {
                first_token: weight(self.weights.first_token),
                recompute: weight(self.weights.recompute),
                link: weight(self.weights.link),
            },
            models: self.models,
        }
    }

    /// Validation errors of these terms, one per line.
    #[must_use]
    pub fn validation_errors(&self) -> Vec<String> {
        let weights = [self.weights.first_token, self.weights.recompute, self.weights.link];
        let mut errors = Vec::new();
        if !self.share.is_finite() || self.share < 0.0 {
            errors.push(format!("share {} is not a finite number of at least 0", self.share));
        }
        if !(-2..=2).contains(&self.priority) {
            errors.push(format!("priority {} is not between -2 and 2", self.priority));
        }
        if weights.iter().any(|weight| !weight.is_finite() || *weight < 0.0) {
            errors.push("a weight is not a finite number of at least 0".to_owned());
        }
        errors
    }
}

/// Terms in which an account differs from its template.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Overrides {
    /// See [`Terms::share`].
    pub share: Option<f64>,
    /// See [`Terms::priority`].
    pub priority: Option<i8>,
    /// See [`Terms::keep_for_s`].
    pub keep_for_s: Option<u64>,
    /// See [`Terms::weights`].
    pub weights: Option<Weights>,
    /// See [`Terms::models`].
    pub models: Option<BTreeMap<String, Vec<String>>>,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account's template.
    pub template: String,
    /// Differences from the template.
    pub overrides: Overrides,
    /// Hashes of the valid API keys, in hex.
    pub key_hashes: Vec<String>,
}

impl Account {
    /// The account's terms, given its template.
    #[must_use]
    pub fn terms(&self, template: &Terms) -> Terms {
        let overrides = &self.overrides;
        Terms {
            share: overrides.share.unwrap_or(template.share),
            priority: overrides.priority.unwrap_or(template.priority),
            keep_for_s: overrides.keep_for_s.unwrap_or(template.keep_for_s),
            weights: overrides.weights.unwrap_or(template.weights),
            models: overrides.models.clone().unwrap_or_else(|| template.models.clone()),
        }
    }
}

/// Hash under which an API key is stored.
#[must_use]
pub fn key_hash(api_key: &str) -> String {
    let hash = blake3::derive_key("coursestile api key", api_key.as_bytes());
    blake3::Hash::from_bytes(hash).to_hex().to_string()
}
