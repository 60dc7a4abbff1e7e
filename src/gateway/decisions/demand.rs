//! The requirements of a request for its upstream.

use crate::gateway::decisions::admission::AdmissionCriteria;
use crate::gateway::decisions::brittle::BrittleLimit;
use crate::gateway::decisions::candidates::Candidates;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::regions::AllowedHalls;
use crate::gateway::decisions::room::RoomInputs;
use crate::gateway::decisions::stores::Placement;
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::decisions::weights::NamedVersions;

/// Connections to an upstream that a box may always open, whatever its share of the upstream's
/// limit: one for a request and one for the reachability probe.
const MIN_CONNECTIONS: u32 = 2;
/// Delay after sending within which a request is assumed to start, however short the wait is
/// expected to be: an engine short of memory starts requests much later than its queue suggests.
const START_DELAY_MS: u64 = 1500;

/// The same as a multiple of the latency objective, since long objectives allow long queues.
const START_DELAY_OBJECTIVES: u64 = 2;

/// Which upstreams may resume a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// Short id of the version of their software.
    pub software: u32,
    /// Time after which a leaving upstream must get no requests.
    pub leaving_apply_ms: u64,
}

/// The versions of software that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedSoftware {
    /// All of them.
    Any,
    /// Those that may begin streams that clients resume.
    MayBegin,
    /// The one that began the request's stream.
    Began(Resumption),
}

/// The requirements of a request for its upstream, and the box that sends it.
pub struct Demand<'a> {
    pub service: &'a str,
    /// Short id of this box.
    pub box_short_id: u32,
    /// Data hall of this box.
    pub hall: &'a str,
    /// Prompt; `None` for services without model engines.
    pub prompt: Option<&'a Prompt>,
    /// Whose cached context the request may use; see `Configuration::context_group`.
    pub context_group: Option<&'a str>,
    /// Weight versions that operators have named for the prompt's model.
    pub weights: Option<&'a NamedVersions>,
    /// Time within which a named version must be loaded by all engines.
    pub weights_apply_ms: u64,
    /// Whether engines with overdue weights are excluded, rather than chosen last.
    pub excludes_overdue: bool,
    /// How the store for a part is selected.
    pub placement: Placement<'a>,
    /// The upstreams that are compared.
    pub candidates: Candidates,
    /// The halls in which it may run.
    pub allowed_halls: AllowedHalls<'a>,
    /// The versions of software that may serve it.
    pub software: AllowedSoftware,
    /// Upstreams that were tried already.
    pub tried: &'a [Incarnation],
    /// Connections that each upstream accepts from all boxes together.
    pub max_connections: u32,
    /// Number of live boxes.
    pub boxes: u32,
    /// Whether it may be sent beyond the box's share of an upstream's connections.
    pub exceeds_share: bool,
    /// Limit for upstreams of the service that are brittle; `None` if they are not.
    pub brittle: Option<BrittleLimit<'a>>,
    /// Whether there is time to ask for a permit to send to an upstream with a rate limit.
    pub may_ask_for_permits: bool,
    /// Decides whether an engine has capacity for the request.
    pub admission: AdmissionCriteria,
    /// Time by which the latency objective requires the first token.
    pub objective_at_ms: Option<u64>,
    /// For admission by the request; `None` if only the load of engines counts.
    pub room: Option<RoomInputs>,
}

impl Demand<'_> {
    /// Maximum number of requests from this box to an upstream: the box's share of the connections
    /// that the upstream accepts, or if it may exceed that, what others leave of half of them.
    #[must_use]
    pub fn max_requests(&self, upstream: &Upstream) -> u32 {
        let share = self.max_connections / self.boxes.saturating_add(1);
        let left = (self.max_connections / 2).saturating_sub(upstream.peer_load.requests);
        share.max(if self.exceeds_share { left } else { 0 }).max(MIN_CONNECTIONS)
    }

    /// Since when an engine with `version` has been behind the newest named one.
    #[must_use]
    pub fn behind_since_ms(&self, version: u64) -> Option<u64> {
        self.weights.and_then(|weights| weights.behind_since_ms(version))
    }

    /// Whether a request sent now might start after the deadline for replacing `version`. Engines
    /// that report no version (0) are never overdue.
    #[must_use]
    pub fn is_overdue(&self, now_ms: u64, version: u64) -> bool {
        let since_ms = self.behind_since_ms(version).filter(|_| version > 0);
        let starts_by_ms =
            now_ms + START_DELAY_MS.max(self.admission.objective_ms * START_DELAY_OBJECTIVES);
        since_ms.is_some_and(|since_ms| starts_by_ms >= since_ms + self.weights_apply_ms)
    }
}
