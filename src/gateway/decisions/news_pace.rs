//! Decides how soon boxes tell each other of the load that they put on upstreams.
//!
//! Boxes share upstreams. A box that does not know of a request that another has just sent may
//! choose the same upstream, and one of the two requests waits. How likely that is depends on the
//! part of the upstreams that is busy, while the cost of news grows with the requests of a hall
//! times its boxes. *Load pattern:* a fleet that is sized for the loss of whole halls, with
//! thousands of engines of which one in a hundred is busy. There, a message about each prompt to
//! each of two hundred boxes is most of what the boxes do, and hardly any choice depends on it.

/// Requests for each upstream below which news may be late: at most one choice in twenty meets an
/// upstream that is busy without this box's knowledge.
const SPARSE_REQUESTS: f64 = 0.05;
/// Requests for each upstream from which news must be prompt again; higher, so that the pace does
/// not change with every request.
const DENSE_REQUESTS: f64 = 0.1;
/// Time for which load must have been sparse: a box that has just started does not know the load of
/// the others yet.
const SPARSE_FOR_MS: u64 = 5000;

/// How soon a box tells its hall of load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// Changes are told at once.
    #[default]
    Prompt,
    /// Changes are told with the next periodic messages.
    Relaxed,
}

/// Decides on the pace by the load on all upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewsPace {
    pace: Pace,
    sparse_since_ms: Option<u64>,
}

impl NewsPace {
    /// The present pace.
    #[must_use]
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Takes over the number of requests in progress at all `upstreams`, as far as this box knows.
    pub fn update(&mut self, now_ms: u64, requests: u32, upstreams: usize) {
        let upstreams = f64::from(u32::try_from(upstreams).unwrap_or(u32::MAX));
        let limit = match self.pace {
            Pace::Prompt => SPARSE_REQUESTS,
            Pace::Relaxed => DENSE_REQUESTS,
        };
        if f64::from(requests) >= upstreams * limit {
            *self = Self::default();
            return;
        }
        let since_ms = *self.sparse_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + SPARSE_FOR_MS {
            self.pace = Pace::Relaxed;
        }
    }
}
