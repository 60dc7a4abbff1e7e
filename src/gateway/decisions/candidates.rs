//! Selects the upstreams among which a request is routed.
//!
//! Each box knows the load from other boxes with a delay of tens to hundreds of milliseconds. If
//! dozens of boxes compared all engines, those that decide within that delay would pick the same
//! engine, which would queue their prompts while others idle. In a large fleet, a box therefore
//! compares a few upstreams drawn at random for each request, mostly in its own hall, and more only
//! if these have no capacity left. Where few boxes share many engines, it compares more of them: at
//! two thirds of the engines' prefill capacity, most prompts wait behind others if only two engines
//! are compared, while other engines of the hall are idle.

use fastrand::Rng;

use crate::gateway::decisions::upstream::Upstream;

/// Least upstreams drawn from the box's own hall.
const MIN_HALL_SAMPLE: usize = 2;
/// Most upstreams drawn from the box's own hall.
const MAX_HALL_SAMPLE: usize = 6;
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
        /// Boxes of the hall that choose at the same time, including those that have fallen silent;
        /// `None` while they do not tell each other of load at once.
        hall_boxes: Option<usize>,
    },
}

/// Draws random samples of upstreams for one request.
pub struct CandidateSampler<'u, 'a> {
    random: Rng,
    usable: &'u [&'a Upstream],
    hall_boxes: Option<usize>,
}

impl<'u, 'a> CandidateSampler<'u, 'a> {
    /// Samples from `usable`.
    #[must_use]
    pub fn new(seed: u64, hall_boxes: Option<usize>, usable: &'u [&'a Upstream]) -> Self {
        Self { random: Rng::with_seed(seed), usable, hall_boxes }
    }

    /// Upstreams in `hall`.
    pub fn from_hall(&mut self, hall: &str) -> Vec<&'a Upstream> {
        let in_hall = |upstream: &Upstream| upstream.entry.hall == hall;
        let engines = self.usable.iter().filter(|upstream| in_hall(upstream)).count();
        let engines_per_box = self.hall_boxes.map_or(0, |boxes| engines / boxes.max(1));
        self.sample(engines_per_box.clamp(MIN_HALL_SAMPLE, MAX_HALL_SAMPLE), in_hall)
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
