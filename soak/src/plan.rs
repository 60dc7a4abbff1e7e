//! What happens in a run, and when: all of it follows from the seed.
//!
//! Phases with faults and phases with planned work only take turns. What is
//! promised of planned work is checked in the latter.

/// Length of a phase with faults.
const FAULT_PHASE_MS: u64 = 4000;
/// Length of a phase with faults and the planned one after it.
const CYCLE_MS: u64 = 10_000;
/// Time after which a fault has no more effect on what is promised.
const FAULT_EFFECT_MS: u64 = 2500;
/// Shortest and longest time of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 150..2500;
/// Shortest and longest pause between two faults; less than most last, so that
/// they overlap.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 80..700;
/// One step in so many comes as a series.
const SERIES_ONE_IN: u32 = 4;
/// Steps of a series, and the time between them.
const SERIES: (u64, u64) = (3, 180);

/// Sets the second stream of steps apart from the first.
const SILENCE_SEED_MASK: u64 = 0x5117_e4ce;
/// Sets the third stream apart from both.
const RESTART_SEED_MASK: u64 = 0x0a9a_1d5e;
/// Pause between two steps of the third stream: some come twice within a second.
const RESTART_INTERVAL_MS: std::ops::Range<u64> = 200..1800;
/// Longest pause before the first step of the second stream in a cycle.
const MAX_FIRST_SILENCE_MS: u64 = 1200;
/// How long a step of the second stream takes.
const SILENCE_DURATION_MS: std::ops::Range<u64> = 1000..3000;
/// Pause between two of them: they overlap.
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 100..1300;

/// Sets the fourth stream apart from the others.
const WEIGHTS_SEED_MASK: u64 = 0x3e16_4275;
/// Length of a phase of the fourth stream with faults and the calm one after it, which
/// has no faults of the other streams in its second half.
const WEIGHTS_CYCLE_MS: u64 = 2 * CYCLE_MS;
/// Length of a phase of the fourth stream with faults.
const WEIGHTS_FAULT_PHASE_MS: u64 = 9000;
/// Pause between two versions that are named.
const WEIGHTS_NAMED_INTERVAL_MS: std::ops::Range<u64> = 200..2500;
/// Pause between two steps of the fourth stream: series of them overlap.
const WEIGHTS_STEP_INTERVAL_MS: std::ops::Range<u64> = 300..1500;
/// Steps of a series, each with the next box or each with the leader.
const WEIGHTS_SERIES_STEPS: std::ops::Range<u64> = 4..9;
/// Time between two of them: less than the pause between orders of two holders.
const WEIGHTS_SERIES_INTERVAL_MS: std::ops::Range<u64> = 200..700;
/// Sets the fifth stream apart from the others.
const ANNOUNCEMENT_SEED_MASK: u64 = 0x7a11_0f2d;
/// Length of a phase of the fifth stream with steps, and of one with the calm after it.
const ANNOUNCEMENT_PHASE_MS: u64 = 6000;
const ANNOUNCEMENT_CYCLE_MS: u64 = 12_000;
/// Pause between two steps of the fifth stream.
const ANNOUNCEMENT_INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Picks the box that leads; other picks are below.
pub const PICK_LEADER: usize = 1000;

/// How a connection is spoiled on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
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
pub enum ConnectionGroup {
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
pub enum PeerDirection {
    /// What the box sends.
    From,
    /// What is sent to it.
    To,
    /// Either.
    Both,
}

/// What the store takes last before it falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastChange {
    /// A configuration.
    Configuration,
    /// An upstream is about to leave.
    Leave,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
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
    StoreLink(LinkState),
    /// Connections to an upstream are spoiled.
    UpstreamLink(LinkState),
    /// An upstream misbehaves in some of its next answers.
    UpstreamMisbehaves,
    /// The store falls silent some milliseconds after a change.
    StoreSilentAfter(LastChange),
    /// Open connections go silent for good; new ones work.
    Silenced(ConnectionGroup),
    /// Datagrams and connections between a box and the others are spoiled.
    PeersLink(LinkState, PeerDirection),
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

const FAULTS: [Action; 20] = [
    Action::BoxKilled,
    Action::BoxKilled,
    Action::BoxPaused,
    Action::BoxPaused,
    Action::AllKilled,
    Action::StoreBusy,
    Action::StoreSilent,
    Action::StoreLosesAnswers,
    Action::StoreForgets,
    Action::StoreLink(LinkState::Delayed),
    Action::StoreLink(LinkState::Reset),
    Action::StoreLink(LinkState::Silent),
    Action::UpstreamLink(LinkState::Delayed),
    Action::UpstreamLink(LinkState::Reset),
    Action::UpstreamLink(LinkState::OneWay),
    Action::UpstreamLink(LinkState::Silent),
    Action::UpstreamMisbehaves,
    Action::UpstreamMisbehaves,
    Action::UpstreamMisbehaves,
    Action::UpstreamMisbehaves,
];
/// Faults of the second stream.
const SILENCES: [Action; 17] = [
    Action::StoreSilentAfter(LastChange::Configuration),
    Action::StoreSilentAfter(LastChange::Configuration),
    Action::StoreSilentAfter(LastChange::Configuration),
    Action::StoreSilentAfter(LastChange::Configuration),
    Action::StoreSilentAfter(LastChange::Leave),
    Action::StoreSilentAfter(LastChange::Leave),
    Action::Silenced(ConnectionGroup::Store),
    Action::Silenced(ConnectionGroup::Peers),
    Action::Silenced(ConnectionGroup::Upstreams),
    Action::Silenced(ConnectionGroup::Callers),
    Action::Silenced(ConnectionGroup::All),
    Action::Silenced(ConnectionGroup::All),
    Action::PeersLink(LinkState::Silent, PeerDirection::From),
    Action::PeersLink(LinkState::Silent, PeerDirection::To),
    Action::PeersLink(LinkState::Silent, PeerDirection::Both),
    Action::PeersLink(LinkState::Delayed, PeerDirection::Both),
    Action::PeersLink(LinkState::Reset, PeerDirection::Both),
];
/// Steps of the fourth stream beside the versions that are named. Those of boxes come in
/// series.
const WEIGHTS_STEPS: [Action; 7] = [
    Action::BoxStopped,
    Action::BoxStopped,
    Action::BoxKilled,
    Action::BoxPaused,
    Action::EngineOrdersLate,
    Action::EngineHangs,
    Action::EngineRestarts,
];
/// Steps of the fifth stream.
const ANNOUNCEMENT_STEPS: [Action; 9] = [
    Action::UpstreamRests,
    Action::UpstreamRests,
    Action::UpstreamSaysLeaving,
    Action::UpstreamSaysLeaving,
    Action::BoxKilled,
    Action::BoxPaused,
    Action::BoxStopped,
    Action::StoreSilent,
    Action::StoreBusy,
];
const PLANNED_WORK: [Action; 6] = [
    Action::BoxStopped,
    Action::BoxStopped,
    Action::BoxReloads,
    Action::Configured,
    Action::WeightsNamed,
    Action::UpstreamLeaves,
];

/// One step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start of the run.
    pub at_ms: u64,
    /// When it ends.
    pub until_ms: u64,
    /// What happens.
    pub action: Action,
    /// Picks the box or upstream that it happens to.
    pub pick: usize,
}

impl Step {
    /// Whether it is a fault, and not planned work.
    #[must_use]
    pub fn is_unplanned(&self) -> bool {
        !PLANNED_WORK.contains(&self.action)
    }

    /// Whether it may hold up new weights: a fault, or a stop among those of the fourth
    /// stream.
    #[must_use]
    pub fn delays_weights(&self) -> bool {
        let in_weights_fault_phase = self.at_ms % WEIGHTS_CYCLE_MS < WEIGHTS_FAULT_PHASE_MS;
        self.is_unplanned() || self.action == Action::BoxStopped && in_weights_fault_phase
    }

    /// Whether it spoils the store or connections.
    #[must_use]
    pub fn disrupts_connections(&self) -> bool {
        matches!(
            self.action,
            Action::StoreBusy
                | Action::StoreSilent
                | Action::StoreLosesAnswers
                | Action::StoreSilentAfter(_)
                | Action::StoreLink(_)
                | Action::UpstreamLink(_)
                | Action::Silenced(_)
                | Action::PeersLink(..)
        )
    }

    /// Whether it keeps news from boxes: the store does not answer, or ways between them are
    /// spoiled.
    #[must_use]
    pub fn delays_updates(&self) -> bool {
        self.disrupts_connections() && !matches!(self.action, Action::UpstreamLink(_))
    }
}

/// The steps of a run.
#[must_use]
pub fn fault_steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut steps = Vec::new();
    let mut at_ms = 0;
    while at_ms < length_ms {
        let with_faults = at_ms % CYCLE_MS < FAULT_PHASE_MS;
        let planned = PLANNED_WORK[rng.usize(..PLANNED_WORK.len())];
        let fault = FAULTS[rng.usize(..FAULTS.len())];
        let action = if with_faults && rng.u32(..3) > 0 { fault } else { planned };
        let faults_end_at_ms = at_ms / CYCLE_MS * CYCLE_MS + FAULT_PHASE_MS;
        let times = if rng.u32(..SERIES_ONE_IN) == 0 { SERIES.0 } else { 1 };
        for turn in 0..times {
            let at_ms = at_ms + turn * SERIES.1;
            let until_ms = (at_ms + rng.u64(FAULT_DURATION_MS))
                .min(faults_end_at_ms.max(at_ms + FAULT_DURATION_MS.start));
            steps.push(Step { at_ms, until_ms, action, pick: rng.usize(..1000) });
        }
        at_ms += rng.u64(STEP_INTERVAL_MS);
    }
    steps
}

/// More steps of the same run, from a stream of their own: a seed's first steps are
/// the same with and without them.
#[must_use]
pub fn silence_steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ SILENCE_SEED_MASK);
    let mut steps = Vec::new();
    let mut cycle_ms = 0;
    while cycle_ms < length_ms {
        let end_ms = cycle_ms + FAULT_PHASE_MS;
        let mut at_ms = cycle_ms + rng.u64(..MAX_FIRST_SILENCE_MS);
        while at_ms + FAULT_DURATION_MS.start < end_ms {
            let action = SILENCES[rng.usize(..SILENCES.len())];
            let until_ms = (at_ms + rng.u64(SILENCE_DURATION_MS)).min(end_ms);
            let until_ms = if matches!(action, Action::Silenced(_)) { at_ms } else { until_ms };
            steps.push(Step { at_ms, until_ms, action, pick: rng.usize(..1000) });
            at_ms += rng.u64(SILENCE_INTERVAL_MS);
        }
        cycle_ms += CYCLE_MS;
    }
    steps
}

/// Upstreams that start again under their id, from a third stream.
#[must_use]
pub fn restart_steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ RESTART_SEED_MASK);
    let mut steps = Vec::new();
    let mut at_ms = rng.u64(RESTART_INTERVAL_MS);
    while at_ms < length_ms {
        if at_ms % CYCLE_MS < FAULT_PHASE_MS {
            let action = if rng.bool() { Action::EngineRestarts } else { Action::UpstreamRestarts };
            let until_ms = at_ms + FAULT_DURATION_MS.start;
            steps.push(Step { at_ms, until_ms, action, pick: rng.usize(..1000) });
        }
        at_ms += rng.u64(RESTART_INTERVAL_MS);
    }
    steps
}

/// Weights on the move, from a fourth stream: versions are named all the time, and for a
/// part of it boxes go in series and engines are in trouble.
#[must_use]
pub fn weights_steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ WEIGHTS_SEED_MASK);
    let mut steps = Vec::new();
    let mut at_ms = rng.u64(WEIGHTS_NAMED_INTERVAL_MS);
    while at_ms < length_ms {
        steps.push(Step { at_ms, until_ms: at_ms, action: Action::WeightsNamed, pick: 0 });
        at_ms += rng.u64(WEIGHTS_NAMED_INTERVAL_MS);
    }
    let mut begin_ms = rng.u64(WEIGHTS_STEP_INTERVAL_MS);
    while begin_ms < length_ms {
        let end_ms = begin_ms / WEIGHTS_CYCLE_MS * WEIGHTS_CYCLE_MS + WEIGHTS_FAULT_PHASE_MS;
        let action = WEIGHTS_STEPS[rng.usize(..WEIGHTS_STEPS.len())];
        let of_boxes = matches!(action, Action::BoxStopped | Action::BoxKilled | Action::BoxPaused);
        let times = if of_boxes { rng.u64(WEIGHTS_SERIES_STEPS) } else { 1 };
        let (apart_ms, first) = (rng.u64(WEIGHTS_SERIES_INTERVAL_MS), rng.usize(..PICK_LEADER));
        let of_leader = of_boxes && rng.bool();
        for (turn, next) in (0..times).zip(first..) {
            let pick = if of_leader { PICK_LEADER } else { next % PICK_LEADER };
            let at_ms = begin_ms + turn * apart_ms;
            let until_ms = (at_ms + rng.u64(FAULT_DURATION_MS)).min(end_ms);
            if at_ms + FAULT_DURATION_MS.start <= end_ms {
                steps.push(Step { at_ms, until_ms, action, pick });
            }
        }
        begin_ms += rng.u64(WEIGHTS_STEP_INTERVAL_MS);
    }
    steps
}

/// Upstreams that say what they want in their answers, from a fifth stream, beside boxes and a
/// store that go away.
#[must_use]
pub fn announcement_steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ ANNOUNCEMENT_SEED_MASK);
    let mut steps = Vec::new();
    let mut at_ms = rng.u64(ANNOUNCEMENT_INTERVAL_MS);
    while at_ms < length_ms {
        if at_ms % ANNOUNCEMENT_CYCLE_MS < ANNOUNCEMENT_PHASE_MS {
            let action = ANNOUNCEMENT_STEPS[rng.usize(..ANNOUNCEMENT_STEPS.len())];
            let until_ms = at_ms + rng.u64(FAULT_DURATION_MS);
            steps.push(Step { at_ms, until_ms, action, pick: rng.usize(..1000) });
        }
        at_ms += rng.u64(ANNOUNCEMENT_INTERVAL_MS);
    }
    steps
}

/// When all must go by what the store took at `from_ms`: `bound_ms` later, or that long
/// after the end of the faults that come up to then.
#[must_use]
pub fn applied_by_ms(
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
pub fn is_undisturbed(steps: &[Step], from_ms: u64, to_ms: u64) -> bool {
    !steps.iter().any(|step| {
        step.is_unplanned() && step.at_ms <= to_ms && step.until_ms + FAULT_EFFECT_MS >= from_ms
    })
}
