//! Plans the steps of a run, which depend on the seed only.
//!
//! Phases with faults alternate with phases of only planned work. The guarantees for planned
//! work are checked in the latter.

/// Length of a phase with faults.
const FAULT_PHASE_MS: u64 = 4000;
/// Length of a phase with faults and the phase of planned work after it.
const CYCLE_MS: u64 = 10_000;
/// Time after which a fault no longer affects the guarantees.
const FAULT_EFFECT_MS: u64 = 2500;
/// Range of the duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 150..2500;
/// Range of the interval between two steps. It is shorter than most faults last, so that they
/// overlap.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 80..700;
/// One step in this many is a series.
const SERIES_ONE_IN: u32 = 4;
/// Number of steps in a series, and the time between them in milliseconds.
const SERIES: (u64, u64) = (3, 180);

/// Distinguishes the random numbers of `silence_steps` from those of `fault_steps` for the same
/// seed.
const SILENCE_SEED_MASK: u64 = 0x5117_e4ce;
/// Distinguishes the random numbers of `restart_steps` from those of the others.
const RESTART_SEED_MASK: u64 = 0x0a9a_1d5e;
/// Interval between two restarts. Some restarts follow each other within a second.
const RESTART_INTERVAL_MS: std::ops::Range<u64> = 200..1800;
/// Upper bound of the delay before the first silence in a cycle.
const MAX_FIRST_SILENCE_MS: u64 = 1200;
/// Duration of a silence.
const SILENCE_DURATION_MS: std::ops::Range<u64> = 1000..3000;
/// Interval between two silences, shorter than most of them, so that they overlap.
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 100..1300;

/// Distinguishes the random numbers of `weights_steps` from those of the others.
const WEIGHTS_SEED_MASK: u64 = 0x3e16_4275;
/// Length of a phase of `weights_steps` with faults and the phase without faults after it. The
/// second half of the latter has no faults of the other sets either.
const WEIGHTS_CYCLE_MS: u64 = 2 * CYCLE_MS;
/// Length of a phase of `weights_steps` with faults.
const WEIGHTS_FAULT_PHASE_MS: u64 = 9000;
/// Interval between two new versions of the weights.
const WEIGHTS_NAMED_INTERVAL_MS: std::ops::Range<u64> = 200..2500;
/// Interval between two steps or series of `weights_steps`. Series overlap.
const WEIGHTS_STEP_INTERVAL_MS: std::ops::Range<u64> = 300..1500;
/// Number of steps in a series of `weights_steps`, each of which affects the next box or the
/// leader.
const WEIGHTS_SERIES_STEPS: std::ops::Range<u64> = 4..9;
/// Time between two steps of a series: less than the lease, which is the time between orders of
/// two leaders.
const WEIGHTS_SERIES_INTERVAL_MS: std::ops::Range<u64> = 200..700;
/// Distinguishes the random numbers of `announcement_steps` from those of the others.
const ANNOUNCEMENT_SEED_MASK: u64 = 0x7a11_0f2d;
/// Length of a phase of `announcement_steps` with steps, and of that phase with the one without
/// steps after it.
const ANNOUNCEMENT_PHASE_MS: u64 = 6000;
const ANNOUNCEMENT_CYCLE_MS: u64 = 12_000;
/// Interval between two of `announcement_steps`.
const ANNOUNCEMENT_INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Distinguishes the random numbers of `version_steps` from those of the others.
const VERSION_SEED_MASK: u64 = 0x5ea5_01d2;
/// Length of a phase of `version_steps` with faults, and of that phase with the one of stops alone
/// after it.
const VERSION_FAULT_PHASE_MS: u64 = 5000;
const VERSION_CYCLE_MS: u64 = 13_000;
/// Interval between two of `version_steps`.
const VERSION_INTERVAL_MS: std::ops::Range<u64> = 100..900;
/// Distinguishes the random numbers of `roll_out_steps` from those of the others.
const ROLL_OUT_SEED_MASK: u64 = 0x2b90_c6f3;
/// Length of a cycle of `roll_out_steps`. Each has its roll-outs, and some time without faults.
pub const ROLL_OUT_CYCLE_MS: u64 = 14_000;
/// When roll-outs begin in their cycle.
pub const ROLL_OUT_BEGIN_MS: std::ops::Range<u64> = 4000..6000;
/// When faults begin in their cycle, and when the last one ends: before, during and after the start of a
/// roll-out, and after the new version may begin streams.
const ROLL_OUT_FAULT_BEGIN_MS: std::ops::Range<u64> = 2500..8500;
const ROLL_OUT_FAULTS_END_MS: u64 = 10_500;
/// When the first fault of a cycle begins, which is a cut, and for how long it lasts at least. Cuts that begin
/// after a roll-out show little: the boxes know of the new version then.
const ROLL_OUT_CUT_BEGIN_MS: std::ops::Range<u64> = 2000..5000;
const MIN_ROLL_OUT_CUT_MS: u64 = 1500;
/// Duration of such a fault: up to several times the time for which a version counts as the only one.
const ROLL_OUT_FAULT_MS: std::ops::Range<u64> = 300..6000;
/// Number of faults or series of them in a cycle.
const ROLL_OUT_FAULTS: std::ops::Range<u64> = 1..5;
/// One cycle in this many has no faults.
const CALM_ONE_IN: u32 = 5;
/// Time between two faults of a series, which affect one box or hall after the other.
const ROLL_OUT_SERIES_INTERVAL_MS: u64 = 700;
/// When a configuration is stored in a cycle, which shows whether boxes still follow the metadata store.
const ROLL_OUT_CONFIGURED_MS: u64 = 13_200;
/// Time after a fault in which clients still take a box for one that is out of step.
const RETURN_MS: u64 = 400;
/// Number of data halls, to which boxes are assigned in turn.
pub const HALLS: usize = 3;
/// Value of `Step::pick` that selects the current leader; other values are smaller.
pub const PICK_LEADER: usize = 1000;

/// Distinguishes the random numbers of `account_steps` from those of the others.
const ACCOUNT_SEED_MASK: u64 = 0x19f4_8e63;
/// Length of a phase of `account_steps` with faults, and of that phase with the one of a stop alone after it,
/// which lasts for as long as a stop and the faults before have an effect.
const ACCOUNT_FAULT_PHASE_MS: u64 = 8000;
const ACCOUNT_CYCLE_MS: u64 = 20_000;
/// When a box is stopped in a cycle.
const ACCOUNT_STOP_MS: u64 = 11_500;
/// Interval between two faults of `account_steps`, and their duration: up to several times the time in which a
/// change must be in force.
const ACCOUNT_INTERVAL_MS: std::ops::Range<u64> = 200..2500;
const ACCOUNT_FAULT_MS: std::ops::Range<u64> = 300..6000;
/// When the configuration changes in a cycle, which isolates the account by turns, and how much later it may be.
const ACCOUNT_CONFIGURED_MS: [u64; 4] = [2000, 9000, 12_000, 18_500];
const ACCOUNT_CONFIGURED_JITTER_MS: u64 = 800;

/// State of the network path of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Works normally.
    #[default]
    Sound,
    /// Data arrives late.
    Delayed,
    /// Connections are reset.
    Reset,
    /// No data gets from the client to the server.
    OneWay,
    /// No data gets through in either direction.
    Silent,
}

/// A group of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionGroup {
    /// From boxes to the metadata store, including watches.
    Store,
    /// Between boxes.
    Peers,
    /// From boxes to plain upstreams and engines.
    Upstreams,
    /// From clients to boxes.
    Callers,
    /// All of these.
    All,
}

/// Direction of the traffic between a box and all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerDirection {
    /// From the box to the others.
    From,
    /// From the others to the box.
    To,
    /// Both directions.
    Both,
}

/// The last change that the metadata store accepts before it stops responding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastChange {
    /// A new configuration.
    Configuration,
    /// The announcement that an upstream is about to leave.
    Leave,
}

/// What a step does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills a box and restarts it at the end.
    BoxKilled,
    /// Pauses a box until the end.
    BoxPaused,
    /// Kills all boxes and restarts them at the end.
    AllKilled,
    /// The metadata store answers 503.
    StoreBusy,
    /// The metadata store does not respond.
    StoreSilent,
    /// The metadata store carries out requests without responding.
    StoreLosesAnswers,
    /// The metadata store discards its history of changes.
    StoreForgets,
    /// Disrupts a box's connections to the metadata store.
    StoreLink(LinkState),
    /// Disrupts the connections to an upstream.
    UpstreamLink(LinkState),
    /// An upstream misbehaves in some of its next responses.
    UpstreamMisbehaves,
    /// The metadata store stops responding a few milliseconds after a change.
    StoreSilentAfter(LastChange),
    /// Silences open connections for good; new connections work.
    Silenced(ConnectionGroup),
    /// Disrupts datagrams and connections between a box and all others.
    PeersLink(LinkState, PeerDirection),
    /// Disrupts the connections of a box to the metadata store, and its traffic with all others.
    BoxCut(LinkState, PeerDirection),
    /// The same of all boxes of a hall, which still reach each other.
    HallCut(LinkState, PeerDirection),
    /// Pauses the boxes of a hall until the end.
    HallPaused,
    /// Restarts an upstream under the same id.
    UpstreamRestarts,
    /// Restarts an engine under the same id. It may lose the weights that it has loaded since
    /// its first start.
    EngineRestarts,
    /// An engine leaves orders unanswered and carries them out late.
    EngineOrdersLate,
    /// An engine does not respond.
    EngineHangs,
    /// An upstream refuses requests and asks for no more of them for a while.
    UpstreamRests,
    /// An upstream announces in its responses that it leaves, and restarts later.
    UpstreamSaysLeaving,
    /// Planned: stops a box and restarts it once it has exited.
    BoxStopped,
    /// Planned: has a box reload its settings.
    BoxReloads,
    /// Planned: stores a new configuration.
    Configured,
    /// Planned: names a new version of the weights.
    WeightsNamed,
    /// Planned: an upstream is about to leave until the end.
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
/// Actions of `silence_steps`.
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
/// Actions of `weights_steps`, apart from new versions. Those on boxes occur in series.
const WEIGHTS_STEPS: [Action; 7] = [
    Action::BoxStopped,
    Action::BoxStopped,
    Action::BoxKilled,
    Action::BoxPaused,
    Action::EngineOrdersLate,
    Action::EngineHangs,
    Action::EngineRestarts,
];
/// Actions of `announcement_steps`.
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
/// Actions of `version_steps` with faults.
const VERSION_STEPS: [Action; 10] = [
    Action::BoxKilled,
    Action::BoxKilled,
    Action::BoxKilled,
    Action::BoxPaused,
    Action::AllKilled,
    Action::BoxStopped,
    Action::StoreSilent,
    Action::StoreLink(LinkState::Silent),
    Action::PeersLink(LinkState::Silent, PeerDirection::Both),
    Action::PeersLink(LinkState::Silent, PeerDirection::From),
];

/// Cuts, one of which each cycle of `roll_out_steps` with faults has.
const CUTS: [Action; 12] = [
    Action::HallCut(LinkState::Silent, PeerDirection::Both),
    Action::HallCut(LinkState::Silent, PeerDirection::Both),
    Action::HallCut(LinkState::Silent, PeerDirection::Both),
    Action::HallCut(LinkState::Silent, PeerDirection::Both),
    Action::HallCut(LinkState::Reset, PeerDirection::Both),
    Action::HallCut(LinkState::Silent, PeerDirection::To),
    Action::HallCut(LinkState::OneWay, PeerDirection::From),
    Action::HallCut(LinkState::Delayed, PeerDirection::Both),
    Action::BoxCut(LinkState::Silent, PeerDirection::Both),
    Action::BoxCut(LinkState::Silent, PeerDirection::To),
    Action::BoxCut(LinkState::OneWay, PeerDirection::From),
    Action::BoxCut(LinkState::Delayed, PeerDirection::Both),
];
/// Further actions of `roll_out_steps`.
const ROLL_OUT_STEPS: [Action; 14] = [
    Action::HallCut(LinkState::Silent, PeerDirection::Both),
    Action::BoxCut(LinkState::Silent, PeerDirection::Both),
    Action::HallPaused,
    Action::BoxPaused,
    Action::BoxPaused,
    Action::BoxKilled,
    Action::BoxKilled,
    Action::AllKilled,
    Action::BoxStopped,
    Action::StoreSilent,
    Action::StoreLosesAnswers,
    Action::StoreLink(LinkState::Silent),
    Action::StoreLink(LinkState::Delayed),
    Action::PeersLink(LinkState::Silent, PeerDirection::Both),
];

/// Actions of `account_steps` with faults.
const ACCOUNT_STEPS: [Action; 10] = [
    Action::AllKilled,
    Action::AllKilled,
    Action::BoxPaused,
    Action::BoxPaused,
    Action::HallPaused,
    Action::BoxKilled,
    Action::StoreSilent,
    Action::StoreBusy,
    Action::BoxCut(LinkState::Silent, PeerDirection::Both),
    Action::StoreLink(LinkState::Silent),
];

/// One step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Start, relative to the start of the run.
    pub at_ms: u64,
    /// End, relative to the start of the run.
    pub until_ms: u64,
    /// What the step does.
    pub action: Action,
    /// Random number that selects the affected box, upstream or engine.
    pub pick: usize,
}

impl Step {
    /// Whether the step is a fault rather than planned work.
    #[must_use]
    pub fn is_unplanned(&self) -> bool {
        !PLANNED_WORK.contains(&self.action)
    }

    /// Whether the step may delay new weights: a fault, or the stop of a box in a fault phase of
    /// `weights_steps`.
    #[must_use]
    pub fn delays_weights(&self) -> bool {
        let in_weights_fault_phase = self.at_ms % WEIGHTS_CYCLE_MS < WEIGHTS_FAULT_PHASE_MS;
        self.is_unplanned() || self.action == Action::BoxStopped && in_weights_fault_phase
    }

    /// Whether the step disrupts the metadata store or connections.
    #[must_use]
    pub fn disrupts_connections(&self) -> bool {
        matches!(
            self.action,
            Action::StoreBusy
                | Action::StoreSilent
                | Action::StoreLosesAnswers
                | Action::StoreSilentAfter(_)
                | Action::StoreLink(_)
                | Action::BoxCut(..)
                | Action::HallCut(..)
                | Action::UpstreamLink(_)
                | Action::Silenced(_)
                | Action::PeersLink(..)
        )
    }

    /// The boxes, of `boxes`, that the step alone keeps out of step with others.
    fn boxes_out_of_step(&self, boxes: usize) -> Vec<usize> {
        match self.action {
            Action::HallCut(..) | Action::HallPaused => hall_boxes(self.pick, boxes),
            Action::BoxCut(..)
            | Action::BoxPaused
            | Action::BoxKilled
            | Action::StoreLink(_)
            | Action::PeersLink(..) => vec![self.pick % boxes],
            _ => Vec::new(),
        }
    }

    /// Whether the step delays updates to boxes: the metadata store does not respond, or
    /// connections to it or between boxes are disrupted.
    #[must_use]
    pub fn delays_updates(&self) -> bool {
        self.disrupts_connections() && !matches!(self.action, Action::UpstreamLink(_))
    }
}

/// Faults and planned work.
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

/// Silences, in addition to `fault_steps`. They use their own random numbers, so that a seed
/// gives the same `fault_steps` with and without them.
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

/// Restarts of upstreams and engines under the same id.
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

/// Changes of the weights: new versions are named throughout the run. In fault phases boxes fail
/// in series and engines misbehave.
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

/// Upstreams that announce in their responses that they leave or want no requests for a while,
/// while boxes and the metadata store fail.
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

/// Boxes that are killed, paused, stopped or cut off from each other and from the metadata store, while
/// upstreams are replaced. Between the phases with faults, boxes are stopped one at a time.
#[must_use]
pub fn version_steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ VERSION_SEED_MASK);
    let mut steps = Vec::new();
    let mut at_ms = rng.u64(VERSION_INTERVAL_MS);
    while at_ms < length_ms {
        let with_faults = at_ms % VERSION_CYCLE_MS < VERSION_FAULT_PHASE_MS;
        let fault = VERSION_STEPS[rng.usize(..VERSION_STEPS.len())];
        let action = if with_faults { fault } else { Action::BoxStopped };
        let until_ms = at_ms + rng.u64(FAULT_DURATION_MS);
        steps.push(Step { at_ms, until_ms, action, pick: rng.usize(..1000) });
        let pauses = if with_faults { 1 } else { 6 };
        at_ms += pauses * rng.u64(VERSION_INTERVAL_MS);
    }
    steps
}

/// Boxes and halls that are cut off, slow, paused, killed and stopped around the time of a roll-out, several
/// at a time and in series.
#[must_use]
pub fn roll_out_steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ ROLL_OUT_SEED_MASK);
    let mut steps = Vec::new();
    let mut cycle_ms = 0;
    while cycle_ms < length_ms {
        let end_ms = cycle_ms + ROLL_OUT_FAULTS_END_MS;
        let faults = if rng.u32(..CALM_ONE_IN) == 0 { 0 } else { rng.u64(ROLL_OUT_FAULTS) };
        for fault in 0..faults {
            let (actions, begin_ms, min_ms) = if fault == 0 {
                (&CUTS[..], rng.u64(ROLL_OUT_CUT_BEGIN_MS), MIN_ROLL_OUT_CUT_MS)
            } else {
                (&ROLL_OUT_STEPS[..], rng.u64(ROLL_OUT_FAULT_BEGIN_MS), 0)
            };
            let (action, first) = (actions[rng.usize(..actions.len())], rng.usize(..PICK_LEADER));
            let times = if rng.u32(..SERIES_ONE_IN) == 0 { SERIES.0 } else { 1 };
            for (turn, next) in (0..times).zip(first..) {
                let at_ms = cycle_ms + begin_ms + turn * ROLL_OUT_SERIES_INTERVAL_MS;
                let until_ms = (at_ms + min_ms + rng.u64(ROLL_OUT_FAULT_MS)).min(end_ms);
                if at_ms < until_ms {
                    steps.push(Step { at_ms, until_ms, action, pick: next % PICK_LEADER });
                }
            }
        }
        let at_ms = cycle_ms + ROLL_OUT_CONFIGURED_MS;
        steps.push(Step { at_ms, until_ms: at_ms, action: Action::Configured, pick: 1 });
        cycle_ms += ROLL_OUT_CYCLE_MS;
    }
    steps
}

/// Boxes that start, stand still and are cut off, while the configuration changes throughout. After the
/// faults a box is stopped.
#[must_use]
pub fn account_steps(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed ^ ACCOUNT_SEED_MASK);
    let mut steps = Vec::new();
    let mut cycle_ms = 0;
    while cycle_ms < length_ms {
        for configured_ms in ACCOUNT_CONFIGURED_MS {
            let at_ms = cycle_ms + configured_ms + rng.u64(..ACCOUNT_CONFIGURED_JITTER_MS);
            steps.push(Step { at_ms, until_ms: at_ms, action: Action::Configured, pick: 1 });
        }
        let end_ms = cycle_ms + ACCOUNT_FAULT_PHASE_MS;
        let mut at_ms = cycle_ms + rng.u64(ACCOUNT_INTERVAL_MS);
        while at_ms < end_ms {
            let action = ACCOUNT_STEPS[rng.usize(..ACCOUNT_STEPS.len())];
            let until_ms = (at_ms + rng.u64(ACCOUNT_FAULT_MS)).min(end_ms);
            steps.push(Step { at_ms, until_ms, action, pick: rng.usize(..PICK_LEADER) });
            at_ms += rng.u64(ACCOUNT_INTERVAL_MS);
        }
        let (at_ms, pick) = (cycle_ms + ACCOUNT_STOP_MS, rng.usize(..PICK_LEADER));
        steps.push(Step { at_ms, until_ms: at_ms, action: Action::BoxStopped, pick });
        cycle_ms += ACCOUNT_CYCLE_MS;
    }
    steps.retain(|step| step.at_ms < length_ms);
    steps
}

/// The boxes of a hall, which `pick` selects.
#[must_use]
pub fn hall_boxes(pick: usize, boxes: usize) -> Vec<usize> {
    (0..boxes).filter(|number| number % HALLS == pick % HALLS).collect()
}

/// The boxes that steps keep out of step with others at a time, or have done so until a moment ago.
#[must_use]
pub fn boxes_out_of_step(steps: &[Step], at_ms: u64, boxes: usize) -> Vec<usize> {
    let current =
        steps.iter().filter(|step| (step.at_ms..step.until_ms + RETURN_MS).contains(&at_ms));
    current.flat_map(|step| step.boxes_out_of_step(boxes)).collect()
}

/// Whether no fault has an effect on a box between two times, whatever happens to others.
#[must_use]
pub fn is_in_touch(steps: &[Step], from_ms: u64, to_ms: u64, number: usize, boxes: usize) -> bool {
    let affects = |step: &Step| match step.action {
        Action::BoxStopped => step.pick % boxes == number,
        Action::AllKilled | Action::StoreSilent | Action::StoreLosesAnswers => true,
        _ => step.boxes_out_of_step(boxes).contains(&number),
    };
    !steps.iter().any(|step| {
        affects(step) && step.at_ms <= to_ms && step.until_ms + FAULT_EFFECT_MS >= from_ms
    })
}

/// Time by which every box has to apply what the metadata store accepted at `from_ms`:
/// `bound_ms` later, or `bound_ms` after the end of the faults that begin before then.
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

/// Whether no fault has an effect between two times.
#[must_use]
pub fn is_undisturbed(steps: &[Step], from_ms: u64, to_ms: u64) -> bool {
    !steps.iter().any(|step| {
        step.is_unplanned() && step.at_ms <= to_ms && step.until_ms + FAULT_EFFECT_MS >= from_ms
    })
}
