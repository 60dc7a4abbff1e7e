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

/// Sets the second stream of steps apart from the first.
const SECOND_STREAM: u64 = 0x5117_e4ce;
/// Sets the third stream apart from both.
const THIRD_STREAM: u64 = 0x0a9a_1d5e;
/// Pause between two steps of the third stream: some come twice within a second.
const RESTART_PAUSE_MS: std::ops::Range<u64> = 200..1800;
/// Longest pause before the first step of the second stream in a cycle.
const FIRST_SILENCE_MS: u64 = 1200;
/// How long a step of the second stream takes.
const SILENCE_MS: std::ops::Range<u64> = 1000..3000;
/// Pause between two of them: they overlap.
const SILENCE_PAUSE_MS: std::ops::Range<u64> = 100..1300;

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

/// Whose connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Those of boxes to the store: calls and watches.
    Store,
    /// Those of boxes to each other.
    Peers,
    /// Those of boxes to plain upstreams and engines.
    Upstreams,
    /// Those of callers to boxes.
    Callers,
    /// All of them.
    All,
}

/// Which direction between a box and all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// What the box sends.
    From,
    /// What is sent to it.
    To,
    /// Either.
    Both,
}

/// What the store takes last before it falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastWord {
    /// A configuration.
    Configuration,
    /// An upstream is about to leave.
    Leave,
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
    /// The store falls silent some milliseconds after a change.
    StoreSilentAfter(LastWord),
    /// Open connections go silent for good; new ones work.
    Silenced(Way),
    /// Datagrams and connections between a box and the others are spoiled.
    PeersLink(Link, Side),
    /// An upstream starts again under the id that it had.
    UpstreamRestarts,
    /// An engine does, as if it had lost the weights that it got since.
    EngineRestarts,
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
/// Faults of the second stream.
const SILENCES: [Event; 17] = [
    Event::StoreSilentAfter(LastWord::Configuration),
    Event::StoreSilentAfter(LastWord::Configuration),
    Event::StoreSilentAfter(LastWord::Configuration),
    Event::StoreSilentAfter(LastWord::Configuration),
    Event::StoreSilentAfter(LastWord::Leave),
    Event::StoreSilentAfter(LastWord::Leave),
    Event::Silenced(Way::Store),
    Event::Silenced(Way::Peers),
    Event::Silenced(Way::Upstreams),
    Event::Silenced(Way::Callers),
    Event::Silenced(Way::All),
    Event::Silenced(Way::All),
    Event::PeersLink(Link::Silent, Side::From),
    Event::PeersLink(Link::Silent, Side::To),
    Event::PeersLink(Link::Silent, Side::Both),
    Event::PeersLink(Link::Delayed, Side::Both),
    Event::PeersLink(Link::Reset, Side::Both),
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

/// More steps of the same run, from a stream of their own: a seed's first steps are
/// the same with and without them.
#[must_use]
pub fn silences(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ SECOND_STREAM);
    let mut steps = Vec::new();
    let mut cycle_ms = 0;
    while cycle_ms < length_ms {
        let end_ms = cycle_ms + FAULTS_MS;
        let mut at_ms = cycle_ms + rng.u64(..FIRST_SILENCE_MS);
        while at_ms + FAULT_MS.start < end_ms {
            let event = SILENCES[rng.usize(..SILENCES.len())];
            let until_ms = (at_ms + rng.u64(SILENCE_MS)).min(end_ms);
            let until_ms = if matches!(event, Event::Silenced(_)) { at_ms } else { until_ms };
            steps.push(Step { at_ms, until_ms, event, pick: rng.usize(..1000) });
            at_ms += rng.u64(SILENCE_PAUSE_MS);
        }
        cycle_ms += CYCLE_MS;
    }
    steps
}

/// Upstreams that start again under their id, from a third stream.
#[must_use]
pub fn restarts(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ THIRD_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = rng.u64(RESTART_PAUSE_MS);
    while at_ms < length_ms {
        if at_ms % CYCLE_MS < FAULTS_MS {
            let event = if rng.bool() { Event::EngineRestarts } else { Event::UpstreamRestarts };
            let until_ms = at_ms + FAULT_MS.start;
            steps.push(Step { at_ms, until_ms, event, pick: rng.usize(..1000) });
        }
        at_ms += rng.u64(RESTART_PAUSE_MS);
    }
    steps
}

/// When all boxes must go by what the store took at `from_ms`: `bound_ms` later, or
/// that long after the end of the faults that come up to then.
#[must_use]
pub fn known_by_ms(steps: &[Step], from_ms: u64, bound_ms: u64) -> u64 {
    let mut by_ms = from_ms + bound_ms;
    loop {
        let faults = steps.iter().filter(|step| !PLANNED.contains(&step.event));
        let ends = faults.filter(|step| step.at_ms <= by_ms).map(|step| step.until_ms + bound_ms);
        let next_ms = ends.max().unwrap_or_default().max(by_ms);
        if next_ms == by_ms {
            return by_ms;
        }
        by_ms = next_ms;
    }
}

/// Whether nothing unplanned has an effect between two times.
#[must_use]
pub fn is_calm(steps: &[Step], from_ms: u64, to_ms: u64) -> bool {
    !steps.iter().any(|step| {
        let unplanned = !PLANNED.contains(&step.event);
        unplanned && step.at_ms <= to_ms && step.until_ms + AFTERMATH_MS >= from_ms
    })
}
