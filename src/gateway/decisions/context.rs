//! What a request tells an engine about cached context: the source of each prompt part, and the
//! store to which it is saved.

use crate::gateway::decisions::cache_contents::PartKey;

/// Time after a new weight version is named during which context of older weights is still read
/// from stores. Until then it serves engines that have not loaded the new version, which would have
/// to recompute it; afterwards its space is freed for context of the new version.
pub const OLD_CONTEXT_READ_MS: u64 = 4500;

/// Source of a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartSource {
    /// The engine has the part. Another cache is named as well if one has it, since engines
    /// process the list of sources in order and stop at the first part without an address.
    Local {
        /// Address of the other cache, in the form that upstreams accept.
        alternate_address: Option<String>,
    },
    /// The engine computes the part.
    Prefill,
    /// Another engine or a store has the part.
    Remote {
        /// Address of the other engine or the store, in the form that upstreams accept.
        address: String,
        /// Name of the store; `None` for an engine.
        store: Option<String>,
        /// Tokens to fetch.
        tokens: u32,
    },
}

impl PartSource {
    /// Address of the other cache that has the part, if one is named.
    #[must_use]
    pub fn address(self) -> Option<String> {
        match self {
            Self::Remote { address, .. } => Some(address),
            Self::Local { alternate_address } => alternate_address,
            Self::Prefill => None,
        }
    }
}

/// An order to save a part to a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Save {
    /// Address of the store, in the form that upstreams accept.
    pub address: String,
    /// Name of the store.
    pub store: String,
    pub part: PartKey,
    /// Length of the part.
    pub tokens: u32,
}

/// Sources and saves for the parts of one prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct ContextPlan {
    /// Scope under which context is looked up and saved.
    pub scope: String,
    /// Who shares the context; see `Configuration::context_group`.
    pub group: Option<String>,
    /// Weight version that the engine must run.
    pub version: u64,
    /// Source of each part.
    pub sources: Vec<PartSource>,
    /// Whether the engine accepts a source for each part, or only one for the whole prompt.
    pub per_part_sources: bool,
    /// Save of each part.
    pub saves: Vec<Option<Save>>,
    /// Expected time of the fetches.
    pub fetch_ms: f64,
    /// Tokens that the engine has to compute.
    pub prefill_tokens: u32,
    /// Those among them in shared parts that some cache has.
    pub recomputed_tokens: u32,
}

impl ContextPlan {
    /// Names of the stores that are read from, with the tokens of each fetched part.
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

    /// The source of each part, for log lines.
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

/// The scope of cached context. Context is never shared between models, weight versions or groups of
/// accounts.
#[must_use]
pub fn scope(model: &str, version: u64, group: Option<&str>) -> String {
    match group {
        Some(group) => format!("{version}.{model}.{group}"),
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
