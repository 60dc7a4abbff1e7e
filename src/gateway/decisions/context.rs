//! What an engine is told about kept context: a source for each part of the
//! prompt, and a store that is to take it.

use crate::gateway::decisions::cache_contents::PartKey;

/// Time for which context of old weights is read from stores after newer ones were named;
/// then its space is for theirs. Engines that are not loaded yet would have to read it
/// again.
pub const OLD_CONTEXT_READ_MS: u64 = 4500;

/// Where a part of a prompt comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartSource {
    /// The engine keeps it; another holder is named all the same, since
    /// engines follow the list of sources from its start.
    Local {
        /// Address of the other holder, as upstreams take it.
        alternate_address: Option<String>,
    },
    /// The engine reads it.
    Prefill,
    /// Another engine or a store keeps it.
    Remote {
        /// Address, as upstreams take it.
        address: String,
        /// Name of the store, when it is one.
        store: Option<String>,
        /// Tokens to take.
        tokens: u32,
    },
}

impl PartSource {
    /// Address of who sends it.
    #[must_use]
    pub fn address(self) -> Option<String> {
        match self {
            Self::Remote { address, .. } => Some(address),
            Self::Local { alternate_address: address } => address,
            Self::Prefill => None,
        }
    }
}

/// A part that a store is to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Save {
    /// Address of the store, as upstreams take it.
    pub address: String,
    /// Name of the store.
    pub store: String,
    /// The part.
    pub part: PartKey,
    /// Its length.
    pub tokens: u32,
}

/// What an engine is told about kept context.
#[derive(Clone, Debug, PartialEq)]
pub struct ContextPlan {
    /// Name under which context is found and kept.
    pub scope: String,
    /// Weight version that must run.
    pub version: u64,
    /// Source of each part.
    pub sources: Vec<PartSource>,
    /// Whether the engine takes a source for each part; else it takes just one
    /// for the whole prompt.
    pub per_part_sources: bool,
    /// Store that takes each part.
    pub saves: Vec<Option<Save>>,
    /// Time that the fetches are expected to take.
    pub fetch_ms: f64,
    /// Tokens that are read at the engine.
    pub prefill_tokens: u32,
    /// Tokens of shared parts among them that some holder keeps.
    pub recomputed_tokens: u32,
}

impl ContextPlan {
    /// Stores that are read, with the tokens of each part.
    #[must_use]
    pub fn store_fetches(&self) -> Vec<(String, u32)> {
        let fetches = self.sources.iter().filter_map(|source| match source {
            PartSource::Remote { store: Some(name), tokens, .. } => Some((name.clone(), *tokens)),
            PartSource::Remote { store: None, .. }
            | PartSource::Local { .. }
            | PartSource::Prefill => None,
        });
        fetches.collect()
    }

    /// The source of each part, for a log line.
    #[must_use]
    pub fn summary(&self) -> String {
        let sources = self.sources.iter().zip(&self.saves).map(|(source, save)| {
            let source = match source {
                PartSource::Local { .. } => "kept",
                PartSource::Prefill => "read",
                PartSource::Remote { store: Some(name), .. } => name,
                PartSource::Remote { address, .. } => address,
            };
            if save.is_some() { format!("{source}+save") } else { source.to_owned() }
        });
        sources.collect::<Vec<_>>().join(",")
    }
}

/// The scope under which context is kept: never across models, weight
/// versions or isolated accounts.
#[must_use]
pub fn scope(model: &str, version: u64, isolated_account: Option<&str>) -> String {
    match isolated_account {
        Some(account) => format!("{version}.{model}.{account}"),
        None => format!("{version}.{model}"),
    }
}

/// The weight version of a scope.
#[must_use]
pub fn scope_version(scope: &str) -> Option<u64> {
    scope.split_once('.')?.0.parse().ok()
}

/// The model of a scope.
#[must_use]
pub fn scope_model(scope: &str) -> Option<&str> {
    scope.split('.').nth(1)
}
