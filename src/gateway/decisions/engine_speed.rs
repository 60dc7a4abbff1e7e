//! How fast each engine is, learned from times to first tokens and from gaps between events.
//!
//! *Load pattern:* engines differ in speed, and some or all of them become several times slower for
//! some seconds. A box of a large fleet sees one engine every few seconds, which is too late, so boxes
//! send each other the samples that tell something new.
//!
//! Times are compared with what is usual for the service, which each box learns slowly from all
//! engines. An engine's estimate follows its samples quickly. It is kept as a logarithm, in which
//! twice and half as fast weigh the same. Without new samples it returns to that of the service, so that an
//! engine that was avoided gets requests again, which show whether it has recovered.

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::units::{PREFILL_TOKENS_PER_MS, as_f64};

/// Shortest decoding step. Engines do not report it; both deployments of docs/LOAD.md have
/// 4.3 to 4.4 ms.
pub const STEP_MS: f64 = 4.4;
/// Most samples in one message, so that it fits a datagram.
pub const MAX_SPEED_REPORTS: usize = 64;

/// Samples from which on a measured speed may replace the prior.
const MIN_SAMPLES: u32 = 8;
/// Newest samples by which an estimate must have differed. A prompt delays a few events of all streams on
/// its engine.
const MIN_DIFFERING: u32 = 6;
/// First tokens from which on the usual prefill rate of a service may; fewer have given rates that were
/// off by a third.
const MIN_FIRST_TOKENS: u32 = 32;
/// Multiple of the mean distance of samples from estimates by which a sample must differ from what
/// other boxes know to be sent.
const MIN_SENT_SCATTER: f64 = 2.0;
/// Logarithm of the factor by which a speed must differ to count.
const MIN_DIFFERENCE_LN: f64 = 0.223_143_551_314_209_76;
/// Multiple of the mean error of an estimate, as the scatter of samples suggests it, by which it must
/// differ to count. Gaps vary with the prefill of other prompts.
const MIN_ERRORS: f64 = 4.0;
/// Weight of a sample in the estimate of its engine.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample in the estimate of its service, of which there are more samples.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.1;
/// Largest change of a service's present slowness by one sample: a few much slower engines do not
/// change what is usual.
const MAX_SERVICE_CHANGE_LN: f64 = 0.03;
/// Time after the last sample from which on an estimate decays.
const HOLD_MS: u64 = 1400;
/// Time constant of the decay, also of the weight of a sample that arrives late.
const DECAY_MS: f64 = 400.0;
/// Age from which on samples no longer count.
const MAX_AGE_MS: u64 = 5000;
/// Most samples that determine what is usual for a service. It follows changes within a minute.
const MAX_USUAL_SAMPLES: f64 = 1000.0;
/// Shortest prefill whose time says something about its engine. That of a shorter one is mostly overhead, and
/// made engines that answer short prompts at once look quick with long ones.
const MIN_PREFILL_TOKENS: f64 = 1000.0;
/// Weight of the prior in samples, half for a prompt without tokens and half for a long one.
const PRIOR_SAMPLES: f64 = 8.0;
/// Prior of the time to the first token of an empty prompt.
const PRIOR_OVERHEAD_MS: f64 = 10.0;
/// Length of the long prompt of the prior.
const PRIOR_TOKENS: f64 = 2000.0;
/// Range of a sample as a logarithm: a factor of eight.
const MAX_SAMPLE_LN: f64 = 3.0 * std::f64::consts::LN_2;
/// Steps of the logarithm in a message, per factor of two.
const REPORT_STEPS: f64 = 32.0;
/// Sum of the gaps between events of a stream that make a sample. A single gap depends on the prefill of
/// other prompts; a number of gaps would take too long at a slow engine.
const SAMPLE_MS: u64 = 200;
/// Least gaps in a sample.
const MIN_GAPS: u32 = 2;
/// Classes of running requests, each twice as many as the one before, without and with
/// prompts to prefill.
const GAP_CLASSES: usize = 16;
/// Samples that are remembered to recognise copies.
const HEARD: usize = 8;

/// The speed of an engine, as the decisions use it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    pub prefill_tokens_per_ms: f64,
    /// Shortest decoding step.
    pub step_ms: f64,
}

impl Speed {
    /// The speed of engines of which too little is known, or that hardly differ from it.
    pub const PRIOR: Self = Self { prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS, step_ms: STEP_MS };

    /// How many times longer a decoding step takes than that of the prior.
    #[must_use]
    pub fn slowdown(self) -> f64 {
        self.step_ms / STEP_MS
    }
}

/// A sample of the speed of an engine, as sent to other boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Short id of the engine.
    pub upstream: u32,
    /// Tells samples of the engine apart, since copies of a report arrive by several ways.
    tag: u16,
    /// Binary logarithm of the slowness, in parts of [`REPORT_STEPS`].
    steps: i8,
    /// Time since the sample was taken.
    pub age_ms: u16,
}

impl SpeedReport {
    #[expect(clippy::cast_possible_truncation, reason = "a sample is at most a factor of eight")]
    fn new(upstream: u32, now_ms: u64, slowness_ln: f64) -> Self {
        let steps = (slowness_ln / std::f64::consts::LN_2 * REPORT_STEPS).round() as i8;
        let [.., low, lower] = now_ms.to_be_bytes();
        let tag = u16::from_be_bytes([low, lower ^ steps.cast_unsigned()]);
        Self { upstream, tag, steps, age_ms: 0 }
    }

    fn slowness_ln(self) -> f64 {
        f64::from(self.steps) / REPORT_STEPS * std::f64::consts::LN_2
    }
}

/// Logarithm of how many times longer something takes than usual.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    slowness_ln: f64,
    samples: u32,
    /// Samples in a row by which the estimate differs from the prior.
    differing: u32,
    /// When the newest sample was taken.
    sampled_at_ms: u64,
}

impl Estimate {
    /// The estimate, which returns to `usual_ln` without new samples.
    fn slowness_ln(&self, now_ms: u64, usual_ln: f64) -> f64 {
        if self.samples(now_ms) == 0 {
            return usual_ln;
        }
        let decaying_ms = now_ms.saturating_sub(self.sampled_at_ms + HOLD_MS);
        usual_ln + (self.slowness_ln - usual_ln) * (-as_f64(decaying_ms) / DECAY_MS).exp()
    }

    /// Number of samples that still count.
    fn samples(&self, now_ms: u64) -> u32 {
        if now_ms < self.sampled_at_ms + MAX_AGE_MS { self.samples } else { 0 }
    }

    fn add(&mut self, weight: f64, now_ms: u64, usual_ln: f64, sample_ln: f64, age_ms: u64) {
        let known_ln = self.slowness_ln(now_ms, usual_ln);
        let weight = weight * (-as_f64(age_ms) / DECAY_MS).exp();
        self.samples = self.samples(now_ms).saturating_add(1);
        self.slowness_ln = known_ln + (sample_ln - known_ln) * weight;
        self.sampled_at_ms = self.sampled_at_ms.max(now_ms.saturating_sub(age_ms));
    }

    /// Counts the newest sample if the estimate differs by more than `min_ln`.
    fn count_differing(&mut self, min_ln: f64) {
        let differs = self.slowness_ln.abs() > min_ln;
        self.differing = if differs { self.differing.saturating_add(1) } else { 0 };
    }

    /// Whether the estimate has differed for long enough, and still does so.
    fn differs(&self, now_ms: u64, usual_ln: f64, min_ln: f64) -> bool {
        self.samples(now_ms) >= MIN_SAMPLES
            && self.differing >= MIN_DIFFERING
            && self.slowness_ln(now_ms, usual_ln).abs() > min_ln
    }
}

/// The speed of one incarnation of an engine, relative to what is usual for its service.
#[derive(Debug, Default)]
pub struct EngineSpeed {
    estimate: Estimate,
    /// What other boxes know, from the reports that were exchanged.
    shared: Estimate,
    /// Tags of the newest reports.
    heard: [u16; HEARD],
    next_heard: usize,
    /// Whether the speed differed from the prior when that was last reported to operators.
    was_differing: bool,
}

impl EngineSpeed {
    /// Whether the speed has become, or is no longer, that of the prior since the last call.
    pub fn note_differing(&mut self, is_differing: bool) -> bool {
        std::mem::replace(&mut self.was_differing, is_differing) != is_differing
    }

    /// Adds a sample of this box. Returns it as a report if it differs from what the other boxes know.
    fn add(
        &mut self,
        now_ms: u64,
        upstream: u32,
        usual_ln: f64,
        sample_ln: f64,
        min_difference_ln: f64,
    ) -> Option<SpeedReport> {
        self.estimate.add(SAMPLE_WEIGHT, now_ms, usual_ln, sample_ln, 0);
        let difference_ln = sample_ln - self.shared.slowness_ln(now_ms, usual_ln);
        if difference_ln.abs() <= min_difference_ln {
            return None;
        }
        let report = SpeedReport::new(upstream, now_ms, sample_ln);
        self.shared.add(SAMPLE_WEIGHT, now_ms, usual_ln, sample_ln, 0);
        self.is_new(report).then_some(report)
    }

    /// Applies a report of another box; false if it is a copy or too old.
    fn apply(&mut self, now_ms: u64, usual_ln: f64, report: SpeedReport) -> bool {
        let age_ms = u64::from(report.age_ms);
        if age_ms >= MAX_AGE_MS || !self.is_new(report) {
            return false;
        }
        for estimate in [&mut self.estimate, &mut self.shared] {
            estimate.add(SAMPLE_WEIGHT, now_ms, usual_ln, report.slowness_ln(), age_ms);
        }
        true
    }

    fn is_new(&mut self, report: SpeedReport) -> bool {
        let is_new = !self.heard.contains(&report.tag);
        if is_new {
            self.heard[self.next_heard] = report.tag;
            self.next_heard = (self.next_heard + 1) % HEARD;
        }
        is_new
    }
}

/// Times to first tokens of all engines of a service as a straight line over the tokens to
/// prefill, by least squares. The overhead of a first token is not known: it depends on how many
/// tokens an event has.
#[derive(Debug)]
struct FirstTokens {
    /// Those of prompts that are long enough.
    samples: u32,
    weight: f64,
    tokens: f64,
    times_ms: f64,
    token_squares: f64,
    products: f64,
    time_squares: f64,
}

impl Default for FirstTokens {
    fn default() -> Self {
        let mut prior = Self {
            samples: 0,
            weight: 0.0,
            tokens: 0.0,
            times_ms: 0.0,
            token_squares: 0.0,
            products: 0.0,
            time_squares: 0.0,
        };
        for tokens in [0.0, PRIOR_TOKENS] {
            let time_ms = PRIOR_OVERHEAD_MS + tokens / PREFILL_TOKENS_PER_MS;
            prior.add_weighted(PRIOR_SAMPLES / 2.0, tokens, time_ms);
        }
        prior
    }
}

impl FirstTokens {
    fn add(&mut self, tokens: f64, time_ms: f64) {
        let kept = 1.0 - 1.0 / MAX_USUAL_SAMPLES;
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.times_ms,
            &mut self.token_squares,
            &mut self.products,
            &mut self.time_squares,
        ] {
            *sum *= kept;
        }
        self.add_weighted(1.0, tokens, time_ms);
        self.samples = self.samples.saturating_add(u32::from(tokens >= MIN_PREFILL_TOKENS));
    }

    fn add_weighted(&mut self, weight: f64, tokens: f64, time_ms: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.times_ms += weight * time_ms;
        self.token_squares += weight * tokens * tokens;
        self.products += weight * tokens * time_ms;
        self.time_squares += weight * time_ms * time_ms;
    }

    /// Prefill time of a token. The prior keeps the tokens from being all the same.
    fn ms_per_token(&self) -> f64 {
        let prior = 1.0 / PREFILL_TOKENS_PER_MS;
        (self.covariance() / self.variance()).clamp(prior / 8.0, prior * 8.0)
    }

    /// Logarithm of how many times longer the prefill takes than by the prior; 0 if that is by less than
    /// a quarter or not certain.
    fn slowness_ln(&self) -> f64 {
        let slope = self.ms_per_token();
        let slowness_ln = (slope * PREFILL_TOKENS_PER_MS).ln();
        let times = self.weight * self.time_squares - self.times_ms * self.times_ms;
        let residuals = (times - slope * self.covariance()).max(0.0);
        let error = (residuals / (self.variance() * self.weight)).sqrt();
        let min_ln = MIN_DIFFERENCE_LN.max(MIN_ERRORS * error / slope);
        let is_certain = self.samples >= MIN_FIRST_TOKENS && slowness_ln.abs() > min_ln;
        if is_certain { slowness_ln } else { 0.0 }
    }

    fn covariance(&self) -> f64 {
        self.weight * self.products - self.tokens * self.times_ms
    }

    fn variance(&self) -> f64 {
        self.weight * self.token_squares - self.tokens * self.tokens
    }

    fn expected_ms(&self, tokens: f64) -> f64 {
        let slope = self.ms_per_token();
        let overhead_ms = (self.times_ms - slope * self.tokens) / self.weight;
        overhead_ms.max(1.0) + slope * tokens
    }
}

/// Mean of the logarithm of a time.
#[derive(Clone, Copy, Debug, Default)]
struct MeanLn {
    mean_ln: f64,
    samples: f64,
}

impl MeanLn {
    fn add(&mut self, sample_ln: f64) {
        self.samples = (self.samples + 1.0).min(MAX_USUAL_SAMPLES);
        self.mean_ln += (sample_ln - self.mean_ln) / self.samples;
    }
}

/// What is usual for the engines of a service, and how much slower all of them are now.
#[derive(Debug, Default)]
pub struct ServiceSpeed {
    first_tokens: FirstTokens,
    gaps: [MeanLn; GAP_CLASSES],
    present: Estimate,
    /// Mean distance of samples from the estimates of their engines.
    scatter: MeanLn,
}

impl ServiceSpeed {
    /// Adds the time to a first token, where `tokens` were to be prefilled and others were `queued`
    /// before. Returns the sample as a report if other boxes are to know it.
    pub fn add_first_token(
        &mut self,
        now_ms: u64,
        upstream: u32,
        engine: &mut EngineSpeed,
        (queued, tokens): (u32, f64),
        time_ms: f64,
    ) -> Option<SpeedReport> {
        if queued > 0 {
            // Behind others the wait is not known well: loads are reported with a delay.
            return None;
        }
        let sample_ln = (time_ms.max(1.0) / self.first_tokens.expected_ms(tokens)).ln();
        let known_ln = engine.estimate.slowness_ln(now_ms, self.present_ln(now_ms));
        self.first_tokens.add(tokens, time_ms / known_ln.exp());
        if self.first_tokens.samples <= MIN_SAMPLES || tokens < MIN_PREFILL_TOKENS {
            return None;
        }
        self.add(now_ms, upstream, engine, sample_ln)
    }

    /// Adds the mean gap between events of a stream while an engine had `requests`, with or without
    /// prompts to prefill.
    pub fn add_gap(
        &mut self,
        now_ms: u64,
        upstream: u32,
        engine: &mut EngineSpeed,
        (requests, is_prefilling): (u32, bool),
        gap_ms: f64,
    ) -> Option<SpeedReport> {
        let doublings = usize::try_from(requests.max(1).ilog2()).unwrap_or_default();
        let class = doublings.min(GAP_CLASSES / 2 - 1) * 2 + usize::from(is_prefilling);
        let usual = &mut self.gaps[class];
        let gap_ln = gap_ms.max(1.0).ln();
        let sample_ln = gap_ln - usual.mean_ln;
        let is_known = usual.samples >= f64::from(MIN_SAMPLES);
        usual.add(gap_ln);
        if is_known { self.add(now_ms, upstream, engine, sample_ln) } else { None }
    }

    fn add(
        &mut self,
        now_ms: u64,
        upstream: u32,
        engine: &mut EngineSpeed,
        sample_ln: f64,
    ) -> Option<SpeedReport> {
        let sample_ln = sample_ln.clamp(-MAX_SAMPLE_LN, MAX_SAMPLE_LN);
        let present_ln = self.present_ln(now_ms);
        let limit_ln = MAX_SERVICE_CHANGE_LN / SERVICE_SAMPLE_WEIGHT;
        let change_ln = (sample_ln - present_ln).clamp(-limit_ln, limit_ln);
        self.present.add(SERVICE_SAMPLE_WEIGHT, now_ms, 0.0, present_ln + change_ln, 0);
        let present_ln = self.present_ln(now_ms);
        let known_ln = engine.estimate.slowness_ln(now_ms, present_ln);
        self.scatter.add((sample_ln - known_ln).abs());
        let min_difference_ln = MIN_DIFFERENCE_LN.max(MIN_SENT_SCATTER * self.scatter.mean_ln);
        self.present.count_differing(self.min_difference_ln(SERVICE_SAMPLE_WEIGHT));
        let report = engine.add(now_ms, upstream, present_ln, sample_ln, min_difference_ln);
        engine.estimate.count_differing(self.min_difference_ln(SAMPLE_WEIGHT));
        report
    }

    /// Applies a report of another box; false if it is a copy or too old.
    pub fn apply(&self, now_ms: u64, engine: &mut EngineSpeed, report: SpeedReport) -> bool {
        let is_new = engine.apply(now_ms, self.present_ln(now_ms), report);
        if is_new {
            engine.estimate.count_differing(self.min_difference_ln(SAMPLE_WEIGHT));
        }
        is_new
    }

    /// Logarithm of how many times slower the engines are now than usual.
    fn present_ln(&self, now_ms: u64) -> f64 {
        self.present.slowness_ln(now_ms, 0.0)
    }

    /// The difference from the prior that counts: a quarter, but more than the error of a mean in
    /// which each sample has `weight`.
    fn min_difference_ln(&self, weight: f64) -> f64 {
        let error_ln = self.scatter.mean_ln * (weight / (2.0 - weight)).sqrt();
        MIN_DIFFERENCE_LN.max(MIN_ERRORS * error_ln)
    }

    /// The speed of an engine. It is that of the prior unless that of the engine or the service differs
    /// from it by more than a quarter.
    #[must_use]
    pub fn speed(&self, now_ms: u64, engine: &EngineSpeed) -> Speed {
        let present_ln = self.present_ln(now_ms);
        let own_ln = engine.estimate.slowness_ln(now_ms, present_ln);
        let usual_ln = self.first_tokens.slowness_ln();
        let min_ln = self.min_difference_ln(SAMPLE_WEIGHT);
        let min_service_ln = self.min_difference_ln(SERVICE_SAMPLE_WEIGHT);
        let is_active = usual_ln != 0.0
            || engine.estimate.differs(now_ms, present_ln, min_ln)
            || self.present.differs(now_ms, 0.0, min_service_ln);
        if !is_active {
            return Speed::PRIOR;
        }
        Speed {
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS / (usual_ln + own_ln).exp(),
            step_ms: STEP_MS * own_ln.exp(),
        }
    }
}

/// Gaps between the events of a stream. Those in which the box waited for its client are left out.
#[derive(Debug, Default)]
pub struct EventGaps {
    last_at_ms: Option<u64>,
    sum_ms: u64,
    count: u32,
}

impl EventGaps {
    /// Records an event that arrived after the box had waited for it since `awaited_since_ms`.
    /// Returns the mean of some gaps.
    pub fn record(&mut self, now_ms: u64, awaited_since_ms: u64) -> Option<f64> {
        let arrived_at_ms = Some(now_ms).filter(|now_ms| awaited_since_ms < *now_ms);
        let last_at_ms = std::mem::replace(&mut self.last_at_ms, arrived_at_ms);
        self.sum_ms += arrived_at_ms?.saturating_sub(last_at_ms?);
        self.count += 1;
        if self.sum_ms < SAMPLE_MS || self.count < MIN_GAPS {
            return None;
        }
        let mean_ms = as_f64(self.sum_ms) / f64::from(self.count);
        (self.sum_ms, self.count) = (0, 0);
        Some(mean_ms)
    }
}

/// How a box learned of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleOrigin {
    /// It took the sample itself.
    ThisBox,
    /// From a box of its hall.
    OwnHall,
    /// From another hall.
    OtherHalls,
}

/// Reports to be sent, for as long as they are to be repeated.
#[derive(Debug, Default)]
pub struct PendingReports {
    /// With the origin and the time since which each is sent.
    reports: Vec<(SampleOrigin, u64, SpeedReport)>,
}

impl PendingReports {
    pub fn add(&mut self, now_ms: u64, origin: SampleOrigin, report: SpeedReport) {
        self.reports.push((origin, now_ms, report));
    }

    /// Drops samples that were sent for `sent_ms`.
    pub fn expire(&mut self, now_ms: u64, sent_ms: u64) {
        self.reports.retain(|(_, since_ms, _)| now_ms < since_ms + sent_ms);
    }

    /// The newest samples of some origins.
    #[must_use]
    pub fn newest(&self, now_ms: u64, origins: &[SampleOrigin]) -> Vec<SpeedReport> {
        let wanted = self.reports.iter().rev().filter(|(origin, ..)| origins.contains(origin));
        let aged = wanted.map(|(_, since_ms, report)| {
            let age_ms = now_ms.saturating_sub(*since_ms) + u64::from(report.age_ms);
            SpeedReport { age_ms: u16::try_from(age_ms).unwrap_or(u16::MAX), ..*report }
        });
        aged.take(MAX_SPEED_REPORTS).collect()
    }
}
