//! What a request asks of an upstream.

use crate::gateway::decisions::admission::AdmissionCriteria;
use crate::gateway::decisions::candidates::Candidates;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::stores::Placement;
use crate::gateway::decisions::weights::NamedVersions;

/// Time by which a request may begin after it was sent, whatever is expected: an engine short
/// of memory began with one 1.1 s later, 83 ms after its weights should have been gone.
const START_DELAY_MS: u64 = 1500;

/// Latency objectives by which it may begin: where they are long, queues are. On an engine pool
/// with one of 1.2 s a request began 1.76 s after it was sent.
const START_DELAY_OBJECTIVES: u64 = 2;

/// What a request asks of an upstream.
pub struct Demand<'a> {
    /// Service.
    pub service: &'a str,
    /// Number of this box.
    pub box_number: u32,
    /// Data hall of this box.
    pub hall: &'a str,
    /// Prompt, when there is one.
    pub prompt: Option<&'a Prompt>,
    /// Account whose context is kept apart.
    pub isolated_account: Option<&'a str>,
    /// Weight versions named for the prompt's model.
    pub weights: Option<&'a NamedVersions>,
    /// Time in which a named version must be everywhere.
    pub weights_apply_ms: u64,
    /// Whether overdue weights are out of the question, not only the last resort.
    pub excludes_overdue: bool,
    /// How the store that takes a part is chosen.
    pub placement: Placement<'a>,
    /// Which upstreams are looked at.
    pub candidates: Candidates,
    /// Upstreams that were tried already.
    pub tried: &'a [Incarnation],
    /// Most requests that this box may have at one upstream.
    pub max_requests_per_upstream: u32,
    /// What decides whether an engine has room for it.
    pub admission: AdmissionCriteria,
    /// Until when the first token is wanted.
    pub objective_at_ms: Option<u64>,
}

impl Demand<'_> {
    /// Since when an engine with `version` is behind.
    #[must_use]
    pub fn behind_since_ms(&self, version: u64) -> Option<u64> {
        self.weights.and_then(|weights| weights.behind_since_ms(version))
    }

    /// Whether a request sent now may begin when `version` must be gone. An engine that
    /// tells of no version (0) is not known to be behind.
    #[must_use]
    pub fn is_overdue(&self, now_ms: u64, version: u64) -> bool {
        let since_ms = self.behind_since_ms(version).filter(|_| version > 0);
        let begins_by_ms =
            now_ms + START_DELAY_MS.max(self.admission.objective_ms * START_DELAY_OBJECTIVES);
        since_ms.is_some_and(|since_ms| begins_by_ms >= since_ms + self.weights_apply_ms)
    }
}
