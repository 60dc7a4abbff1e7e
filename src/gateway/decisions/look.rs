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
/// Those of other halls that are drawn beside them.
const FAR: usize = 1;
/// Those that are drawn from all halls when none of the first has room.
const WIDE: usize = 16;

/// How a request looks for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// At all: the few boxes of a small fleet know at once what each other does.
    All,
    /// At some that are drawn, and at more only when there is need.
    Drawn {
        /// Seed of the draw, another for each try of each request.
        seed: u64,
    },
}

impl Look {
    /// The upstreams to look at, round by round; the last has them all.
    #[must_use]
    pub fn rounds<'a>(self, usable: &[&'a Upstream], hall: &str) -> Vec<Vec<&'a Upstream>> {
        let Self::Drawn { seed } = self else { return vec![usable.to_vec()] };
        let mut random = Rng::with_seed(seed);
        let (near, far): (Vec<&Upstream>, Vec<&Upstream>) =
            usable.iter().copied().partition(|one| one.entry.hall == hall);
        let mut first = draw(&mut random, &near, NEAR);
        first.extend(draw(&mut random, &far, FAR));
        vec![first, draw(&mut random, usable, WIDE), usable.to_vec()]
    }
}

fn draw<'a>(random: &mut Rng, from: &[&'a Upstream], count: usize) -> Vec<&'a Upstream> {
    random.choose_multiple(from.iter().copied(), count)
}
