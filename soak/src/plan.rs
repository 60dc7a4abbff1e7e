//! What happens in a run, and when: all of it follows from the seed.
//!
//! Phases with faults and phases with planned work only take turns. What is
//! promised of planned work is checked in the latter.

/// Length of a phase with faults.
const FAULTS_MS: u64 = 4000;
/// Length of a phase with faults and the planned one after it.
const CYCLE_MS: u64 = 10_000;
/// Time after which a fault has no more effect on what is promised.
const AFTERMATH_MS: u64 = 2500;
/// Shortest and longest time of a fault.
const FAULT_MS: std::ops::Range<u64> = 150..2500;
/// Shortest and longest pause between two faults; less than most last, so that
/// they overlap.
const PAUSE_MS: std::ops::Range<u64> = 80..700;
/// One step in so many comes as a series.
const SERIES_ONE_IN: u32 = 4;
/// Steps of a series, and the time between them.
const SERIES: (u64, u64) = (3, 180);

/// How a connection is spoiled on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// It is not.
    #[default]
    Sound,
    /// Each piece comes late.
    Delayed,
    /// Connections are reset.
    Reset,
    /// Nothing gets from the caller to the other side.
    OneWay,
    /// Nothing moves.
    Silent,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A box is killed, and started again at the end.
    BoxKilled,
    /// A box stands still until the end.
    BoxPaused,
    /// All boxes are killed.
    AllKilled,
    /// The store answers 503.
    StoreBusy,
    /// The store says nothing.
    StoreSilent,
    /// The store does what it is asked and does not answer.
    StoreLosesAnswers,
    /// The store forgets the changes so far.
    StoreForgets,
    /// A box's connections to the store are spoiled.
    StoreLink(Link),
    /// Connections to an upstream are spoiled.
    UpstreamLink(Link),
    /// An upstream misbehaves in some of its next answers.
    UpstreamMisbehaves,
    /// Planned: a box is stopped, and started again when it has ended.
    BoxStopped,
    /// Planned: a box reads its settings again.
    BoxReloads,
    /// Planned: the configuration changes.
    Configured,
    /// Planned: other weights are named.
    WeightsNamed,
    /// Planned: an upstream is about to leave, until the end.
    UpstreamLeaves,
}

const FAULTS: [Event; 20] = [
    Event::BoxKilled,
    Event::BoxKilled,
    Event::BoxPaused,
    Event::BoxPaused,
    Event::AllKilled,
    Event::StoreBusy,
    Event::StoreSilent,
    Event::StoreLosesAnswers,
    Event::StoreForgets,
    Event::StoreLink(Link::Delayed),
    Event::StoreLink(Link::Reset),
    Event::StoreLink(Link::Silent),
    Event::UpstreamLink(Link::Delayed),
    Event::UpstreamLink(Link::Reset),
    Event::UpstreamLink(Link::OneWay),
    Event::UpstreamLink(Link::Silent),
    Event::UpstreamMisbehaves,
    Event::UpstreamMisbehaves,
    Event::UpstreamMisbehaves,
    Event::UpstreamMisbehaves,
];
const PLANNED: [Event; 6] = [
    Event::BoxStopped,
    Event::BoxStopped,
    Event::BoxReloads,
    Event::Configured,
    Event::WeightsNamed,
    Event::UpstreamLeaves,
];

/// One step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start of the run.
    pub at_ms: u64,
    /// When it ends.
    pub until_ms: u64,
    /// What happens.
    pub event: Event,
    /// Picks the box or upstream that it happens to.
    pub pick: usize,
}

/// The steps of a run.
#[must_use]
pub fn steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut steps = Vec::new();
    let mut at_ms = 0;
    while at_ms < length_ms {
        let with_faults = at_ms % CYCLE_MS < FAULTS_MS;
        let planned = PLANNED[rng.usize(..PLANNED.len())];
        let fault = FAULTS[rng.usize(..FAULTS.len())];
        let event = if with_faults && rng.u32(..3) > 0 { fault } else { planned };
        let faults_end_at_ms = at_ms / CYCLE_MS * CYCLE_MS + FAULTS_MS;
        let times = if rng.u32(..SERIES_ONE_IN) == 0 { SERIES.0 } else { 1 };
        for turn in 0..times {
            let at_ms = at_ms + turn * SERIES.1;
            let until_ms =
                (at_ms + rng.u64(FAULT_MS)).min(faults_end_at_ms.max(at_ms + FAULT_MS.start));
            steps.push(Step { at_ms, until_ms, event, pick: rng.usize(..1000) });
        }
        at_ms += rng.u64(PAUSE_MS);
    }
    steps
}

/// Whether nothing unplanned has an effect between two times.
#[must_use]
pub fn is_calm(steps: &[Step], from_ms: u64, to_ms: u64) -> bool {
    !steps.iter().any(|step| {
        let unplanned = !PLANNED.contains(&step.event);
        unplanned && step.at_ms <= to_ms && step.until_ms + AFTERMATH_MS >= from_ms
    })
}
