//! Which upstreams a request looks at before it chooses.
//!
//! What boxes know of each other's load is some ten to some hundred milliseconds old. When
//! dozens of boxes all look at all engines, those that choose within that time choose the
//! same one, which then reads their prompts one after the other while others idle. So a box
//! of a large fleet weighs a few that it draws for each request, mostly of its own hall, and
//! more only when these have no room.

use fastrand::Rng;

use crate::gateway::decisions::upstream::Upstream;

/// Upstreams of the own hall that are drawn first.
const NEAR: usize = 2;
/// Those of another hall that are drawn beside them.
const FAR: usize = 1;
/// Those of the hall in which the prompt's context is kept.
const AT_CONTEXT: usize = 2;
/// Those that are drawn from all halls when none of the first has room.
const WIDE: usize = 16;

/// How a request looks for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// At all: the few boxes of a small fleet know at once what each other does.
    All,
    /// At some that are drawn, and at more only when there is need.
    Sampled {
        /// Seed of the draw, another for each try of each request.
        seed: u64,
    },
}

/// Draws upstreams for one request.
pub struct CandidateSampler<'u, 'a> {
    random: Rng,
    usable: &'u [&'a Upstream],
}

impl<'u, 'a> CandidateSampler<'u, 'a> {
    /// Draws from those that can be used.
    #[must_use]
    pub fn new(seed: u64, usable: &'u [&'a Upstream]) -> Self {
        Self { random: Rng::with_seed(seed), usable }
    }

    /// Some of the own hall.
    pub fn near(&mut self, hall: &str) -> Vec<&'a Upstream> {
        self.some(NEAR, |one| one.entry.hall == hall)
    }

    /// Some of other halls: of the one in which the prompt's context is kept, since it crosses
    /// halls in twice the time, else of any.
    pub fn far(&mut self, hall: &str, context_hall: Option<&str>) -> Vec<&'a Upstream> {
        match context_hall {
            Some(context_hall) if context_hall == hall => Vec::new(),
            Some(context_hall) => self.some(AT_CONTEXT, |one| one.entry.hall == context_hall),
            None => self.some(FAR, |one| one.entry.hall != hall),
        }
    }

    /// Many of all halls.
    pub fn wide(&mut self) -> Vec<&'a Upstream> {
        self.some(WIDE, |_| true)
    }

    fn some(&mut self, count: usize, is_wanted: impl Fn(&Upstream) -> bool) -> Vec<&'a Upstream> {
        let wanted = self.usable.iter().copied().filter(|one| is_wanted(one));
        self.random.choose_multiple(wanted, count)
    }
}
