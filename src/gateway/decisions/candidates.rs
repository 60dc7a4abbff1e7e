//! Selects the upstreams among which a request is routed.
//!
//! Each box knows the load from other boxes with a delay of tens to hundreds of milliseconds. If
//! dozens of boxes compared all engines, those that decide within that delay would pick the same
//! engine, which would queue their prompts while others idle. In a large fleet, a box therefore
//! compares a few upstreams drawn at random for each request, mostly in its own hall, and more only
//! if these have no capacity left.

use fastrand::Rng;

use crate::gateway::decisions::upstream::Upstream;

/// Upstreams drawn from the box's own hall.
const OWN_HALL_SAMPLE: usize = 2;
/// Upstreams drawn from other halls.
const OTHER_HALL_SAMPLE: usize = 1;
/// Upstreams drawn from the hall that stores the prompt's context.
const CONTEXT_HALL_SAMPLE: usize = 2;
/// Upstreams drawn from all halls if none of the others has capacity.
const WIDE_SAMPLE: usize = 16;

/// The upstreams that are compared for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// All upstreams. For small fleets, whose boxes learn of each other's load almost at once.
    All,
    /// A random sample, extended only if it contains no suitable upstream.
    Sampled {
        /// Seed of the sample; differs between the attempts of a request.
        seed: u64,
    },
}

/// Draws random samples of upstreams for one request.
pub struct CandidateSampler<'u, 'a> {
    random: Rng,
    usable: &'u [&'a Upstream],
}

impl<'u, 'a> CandidateSampler<'u, 'a> {
    /// Samples from `usable`.
    #[must_use]
    pub fn new(seed: u64, usable: &'u [&'a Upstream]) -> Self {
        Self { random: Rng::with_seed(seed), usable }
    }

    /// Upstreams in `hall`.
    pub fn from_hall(&mut self, hall: &str) -> Vec<&'a Upstream> {
        self.sample(OWN_HALL_SAMPLE, |upstream| upstream.entry.hall == hall)
    }

    /// Upstreams outside `hall`: in the hall that stores the prompt's context if that is known,
    /// since a transfer between halls takes twice as long, or else in any other hall. Empty if the
    /// context is stored in `hall`.
    pub fn from_other_halls(
        &mut self,
        hall: &str,
        context_hall: Option<&str>,
    ) -> Vec<&'a Upstream> {
        match context_hall {
            Some(context_hall) if context_hall == hall => Vec::new(),
            Some(context_hall) => {
                self.sample(CONTEXT_HALL_SAMPLE, |upstream| upstream.entry.hall == context_hall)
            }
            None => self.sample(OTHER_HALL_SAMPLE, |upstream| upstream.entry.hall != hall),
        }
    }

    /// A larger sample, from all halls.
    pub fn from_all_halls(&mut self) -> Vec<&'a Upstream> {
        self.sample(WIDE_SAMPLE, |_| true)
    }

    /// One of `candidates`, drawn at random.
    pub fn any_of<T>(&mut self, mut candidates: Vec<T>) -> Option<T> {
        let index = self.random.choice(0..candidates.len())?;
        Some(candidates.swap_remove(index))
    }

    fn sample(&mut self, count: usize, is_wanted: impl Fn(&Upstream) -> bool) -> Vec<&'a Upstream> {
        let wanted = self.usable.iter().copied().filter(|upstream| is_wanted(upstream));
        self.random.choose_multiple(wanted, count)
    }
}
