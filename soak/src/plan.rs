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

/// Sets the fourth stream apart from the others.
const FOURTH_STREAM: u64 = 0x3e16_4275;
/// Length of a phase of the fourth stream with faults and the calm one after it, which
/// has no faults of the other streams in its second half.
const MOVES_CYCLE_MS: u64 = 2 * CYCLE_MS;
/// Length of a phase of the fourth stream with faults.
const MOVES_MS: u64 = 9000;
/// Pause between two versions that are named.
const NAMING_PAUSE_MS: std::ops::Range<u64> = 200..2500;
/// Pause between two steps of the fourth stream: series of them overlap.
const MOVE_PAUSE_MS: std::ops::Range<u64> = 300..1500;
/// Steps of a series, each with the next box or each with the leader.
const MOVES: std::ops::Range<u64> = 4..9;
/// Time between two of them: less than the pause between orders of two holders.
const MOVE_APART_MS: std::ops::Range<u64> = 200..700;
/// Sets the fifth stream apart from the others.
const FIFTH_STREAM: u64 = 0x7a11_0f2d;
/// Length of a phase of the fifth stream with steps, and of one with the calm after it.
const WORDS_MS: u64 = 6000;
const WORDS_CYCLE_MS: u64 = 12_000;
/// Pause between two steps of the fifth stream.
const WORD_PAUSE_MS: std::ops::Range<u64> = 150..900;
/// Picks the box that leads; other picks are below.
pub const LEADER: usize = 1000;

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
    /// An engine leaves orders unanswered and carries them out late.
    EngineOrdersLate,
    /// An engine says nothing.
    EngineHangs,
    /// An upstream turns requests away and wants no others for a while.
    UpstreamRests,
    /// An upstream says in its answers that it leaves, and starts again later.
    UpstreamSaysLeaving,
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
/// Steps of the fourth stream beside the versions that are named. Those of boxes come in
/// series.
const MOVED: [Event; 7] = [
    Event::BoxStopped,
    Event::BoxStopped,
    Event::BoxKilled,
    Event::BoxPaused,
    Event::EngineOrdersLate,
    Event::EngineHangs,
    Event::EngineRestarts,
];
/// Steps of the fifth stream.
const WORDS: [Event; 9] = [
    Event::UpstreamRests,
    Event::UpstreamRests,
    Event::UpstreamSaysLeaving,
    Event::UpstreamSaysLeaving,
    Event::BoxKilled,
    Event::BoxPaused,
    Event::BoxStopped,
    Event::StoreSilent,
    Event::StoreBusy,
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

impl Step {
    /// Whether it is a fault, and not planned work.
    #[must_use]
    pub fn is_unplanned(&self) -> bool {
        !PLANNED.contains(&self.event)
    }

    /// Whether it may hold up new weights: a fault, or a stop among those of the fourth
    /// stream.
    #[must_use]
    pub fn holds_up_weights(&self) -> bool {
        let among_moves = self.at_ms % MOVES_CYCLE_MS < MOVES_MS;
        self.is_unplanned() || self.event == Event::BoxStopped && among_moves
    }

    /// Whether it spoils the store or connections.
    #[must_use]
    pub fn spoils_links(&self) -> bool {
        matches!(
            self.event,
            Event::StoreBusy
                | Event::StoreSilent
                | Event::StoreLosesAnswers
                | Event::StoreSilentAfter(_)
                | Event::StoreLink(_)
                | Event::UpstreamLink(_)
                | Event::Silenced(_)
                | Event::PeersLink(..)
        )
    }

    /// Whether it keeps news from boxes: the store does not answer, or ways between them are
    /// spoiled.
    #[must_use]
    pub fn keeps_news(&self) -> bool {
        self.spoils_links() && !matches!(self.event, Event::UpstreamLink(_))
    }
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

/// Weights on the move, from a fourth stream: versions are named all the time, and for a
/// part of it boxes go in series and engines are in trouble.
#[must_use]
pub fn moves(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ FOURTH_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = rng.u64(NAMING_PAUSE_MS);
    while at_ms < length_ms {
        steps.push(Step { at_ms, until_ms: at_ms, event: Event::WeightsNamed, pick: 0 });
        at_ms += rng.u64(NAMING_PAUSE_MS);
    }
    let mut begin_ms = rng.u64(MOVE_PAUSE_MS);
    while begin_ms < length_ms {
        let end_ms = begin_ms / MOVES_CYCLE_MS * MOVES_CYCLE_MS + MOVES_MS;
        let event = MOVED[rng.usize(..MOVED.len())];
        let of_boxes = matches!(event, Event::BoxStopped | Event::BoxKilled | Event::BoxPaused);
        let times = if of_boxes { rng.u64(MOVES) } else { 1 };
        let (apart_ms, first) = (rng.u64(MOVE_APART_MS), rng.usize(..LEADER));
        let of_leader = of_boxes && rng.bool();
        for (turn, next) in (0..times).zip(first..) {
            let pick = if of_leader { LEADER } else { next % LEADER };
            let at_ms = begin_ms + turn * apart_ms;
            let until_ms = (at_ms + rng.u64(FAULT_MS)).min(end_ms);
            if at_ms + FAULT_MS.start <= end_ms {
                steps.push(Step { at_ms, until_ms, event, pick });
            }
        }
        begin_ms += rng.u64(MOVE_PAUSE_MS);
    }
    steps
}

/// Upstreams that say what they want in their answers, from a fifth stream, beside boxes and a
/// store that go away.
#[must_use]
pub fn words(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ FIFTH_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = rng.u64(WORD_PAUSE_MS);
    while at_ms < length_ms {
        if at_ms % WORDS_CYCLE_MS < WORDS_MS {
            let event = WORDS[rng.usize(..WORDS.len())];
            let until_ms = at_ms + rng.u64(FAULT_MS);
            steps.push(Step { at_ms, until_ms, event, pick: rng.usize(..1000) });
        }
        at_ms += rng.u64(WORD_PAUSE_MS);
    }
    steps
}

/// When all must go by what the store took at `from_ms`: `bound_ms` later, or that long
/// after the end of the faults that come up to then.
#[must_use]
pub fn known_by_ms(
    steps: &[Step],
    from_ms: u64,
    bound_ms: u64,
    is_fault: fn(&Step) -> bool,
) -> u64 {
    let mut by_ms = from_ms + bound_ms;
    loop {
        let faults = steps.iter().filter(|step| is_fault(step));
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
        step.is_unplanned() && step.at_ms <= to_ms && step.until_ms + AFTERMATH_MS >= from_ms
    })
}
