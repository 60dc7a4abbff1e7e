//! The promises, held against what clients and upstreams saw.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use coursestile_standins::site::engine::Order;
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::{ExecutedRequest, events_text};

use crate::callers::{Behind, Call, OnWeights, Seen};
use crate::plan::{Step, is_calm, known_by_ms};
use crate::world::{Away, World};

/// Time within which a request that crosses the close of its connection ends.
const CROSSED: Duration = Duration::from_millis(200);
/// Time after which an upstream that is about to leave gets no more work.
const LEAVE_BOUND_MS: u64 = 2000;
/// Time after which a configuration is in force.
const CONFIGURATION_BOUND_MS: u64 = 2000;

/// Time for which orders of a holder do not count after a pause of it.
const THAW_SLACK_MS: u64 = 300;
/// Time after which a box is bound again by what has a time bound.
pub(crate) const STEADY_MS: u64 = 3000;

/// All that a run is judged by.
pub struct Evidence<'a> {
    /// The programs.
    pub world: &'a World,
    /// What clients saw.
    pub seen: &'a Seen,
    /// What happened.
    pub steps: &'a [Step],
    /// When the run began.
    pub began: Instant,
    /// The same, in Unix milliseconds.
    pub began_ms: u64,
}

impl Evidence<'_> {
    /// Every broken promise, in words.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let ran = self.ran();
        let mut found = self.seen.reverted.clone();
        for call in &self.seen.calls {
            let times = ran.get(call.id.as_str()).copied().unwrap_or_default();
            let faults = [
                Self::wrong_answer(call),
                untrue_refusal(call, times),
                (call.kind.runs_once() && times > 1).then(|| format!("it ran {times} times")),
                self.cut_by_planned_work(call, times),
            ];
            found.extend(faults.into_iter().flatten().map(|fault| self.describe(call, &fault)));
        }
        found.extend(self.work_for_leaving());
        found.extend(self.behind());
        found.extend(self.orders());
        found.extend(self.unheeded());
        found.extend(self.sent_again());
        if self.world.moving {
            let (outdated, runs) = (&self.seen.outdated, self.steady_runs());
            found.extend(self.on_old_weights("has them", outdated, Step::holds_up_weights));
            found.extend(self.on_old_weights("begins requests", &runs, Step::spoils_links));
        }
        found.extend(self.logs());
        found
    }

    fn ran(&self) -> HashMap<String, usize> {
        let mut ran = HashMap::new();
        for one in self.world.upstreams.iter().flat_map(|one| one.process.executed()) {
            *ran.entry(one.request_id).or_default() += 1;
        }
        ran
    }

    fn describe(&self, call: &Call, fault: &str) -> String {
        let (sent_ms, ended_ms) = (self.at_ms(call.sent), self.at_ms(call.ended));
        let status = call.answer.as_ref().map_or(0, Message::status);
        let (id, kind, number) = (&call.id, call.kind, call.box_number);
        format!(
            "{id} ({kind:?}, box {number}, {sent_ms} to {ended_ms} ms, status {status}): {fault}"
        )
    }

    pub(crate) fn at_ms(&self, at: Instant) -> u64 {
        u64::try_from((at - self.began).as_millis()).unwrap_or(u64::MAX)
    }

    /// An answer that is not whole must show it, and be the own one up to there.
    fn wrong_answer(call: &Call) -> Option<String> {
        let answer = call.answer.as_ref()?;
        if !(200..300).contains(&answer.status()) {
            return None;
        }
        let own = answer.header("x-request-id") == Some(&call.id);
        let sealed = answer.header("x-server-seal").is_some();
        let whole = if call.kind.is_stream() {
            events_text(&call.id, 0)
        } else {
            format!("answer to {0}: {0}", call.id)
        };
        let text = answer.text();
        let right = if answer.complete { text == whole } else { whole.starts_with(&text) };
        let wrong = !(own && sealed && right);
        wrong.then(|| {
            format!("own {own}, sealed {sealed}, whole {}, body {text:?}", answer.complete)
        })
    }

    /// Planned work alone cuts no request.
    fn cut_by_planned_work(&self, call: &Call, times: usize) -> Option<String> {
        let whole = call.answer.as_ref().is_some_and(|answer| answer.complete);
        let crossed = call.answer.is_none() && times == 0 && call.ended - call.sent < CROSSED;
        let undisturbed = is_calm(self.steps, self.at_ms(call.sent), self.at_ms(call.ended));
        (!whole && !crossed && undisturbed)
            .then(|| format!("cut without a fault; it ran {times} times"))
    }

    fn work_for_leaving(&self) -> Vec<String> {
        let mut found = Vec::new();
        for leave in self.world.leaves().iter() {
            let upstream = self.world.upstreams.iter().find(|one| one.process.id == leave.id);
            let by_ms =
                known_by_ms(self.steps, self.at_ms(leave.from), LEAVE_BOUND_MS, Step::is_unplanned);
            let late = |one: &ExecutedRequest| self.at_ms(one.at) > by_ms && one.at < leave.until;
            let late: Vec<ExecutedRequest> = upstream
                .map(|one| one.process.executed())
                .unwrap_or_default()
                .into_iter()
                .filter(late)
                .collect();
            if let Some(first) = late.first() {
                let (count, id, at_ms) = (late.len(), &leave.id, self.at_ms(first.at));
                let from_ms = self.at_ms(leave.from);
                found.push(format!(
                    "{id} was about to leave from {from_ms} ms and got {count} requests \
                     after {by_ms} ms, first at {at_ms} ms"
                ));
            }
        }
        found
    }

    /// A configuration that the store has taken is in force in time, counted from the
    /// end of the faults.
    fn behind(&self) -> Vec<String> {
        let mut late: BTreeMap<(usize, u64), Vec<u64>> = BTreeMap::new();
        let mut due = HashMap::new();
        for Behind { box_number, version, taken, asked } in &self.seen.behind {
            let (taken_ms, at_ms) = (self.at_ms(*taken), self.at_ms(*asked));
            let by_ms =
                known_by_ms(self.steps, taken_ms, CONFIGURATION_BOUND_MS, Step::is_unplanned);
            if at_ms > by_ms {
                due.insert(*version, (taken_ms, by_ms));
                late.entry((*box_number, *version)).or_default().push(at_ms);
            }
        }
        let text = |((box_number, version), at_ms): (&(usize, u64), &Vec<u64>)| {
            let ((taken_ms, by_ms), first, last) = (due[version], at_ms[0], at_ms[at_ms.len() - 1]);
            format!(
                "box {box_number} goes by an older version than {version}, taken at {taken_ms} ms \
                 and due by {by_ms} ms, from {first} to {last} ms"
            )
        };
        late.iter().map(text).collect()
    }

    /// Fencing tokens rise at every engine, and each has one holder; orders of two holders
    /// keep their distance.
    fn orders(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut holders: BTreeMap<u64, String> = BTreeMap::new();
        for (number, engine) in self.world.engines.iter().enumerate() {
            let mut last = 0;
            for order in engine.process.orders() {
                if order.fence < last {
                    found.push(format!("engine {number}: fence {} after {last}", order.fence));
                }
                last = last.max(order.fence);
                let holder = holders.entry(order.fence).or_insert_with(|| order.holder.clone());
                if *holder != order.holder {
                    found.push(format!("fence {}: {holder} and {}", order.fence, order.holder));
                }
            }
            if self.world.moving {
                let close = self.orders_too_close(engine.process.orders());
                found.extend(close.into_iter().map(|text| format!("engine {number}: {text}")));
            }
        }
        found
    }

    /// Orders of two holders that came to an engine within the pause between them. Those of
    /// a holder that was paused shortly before do not count.
    fn orders_too_close(&self, mut orders: Vec<Order>) -> Vec<String> {
        let is_thawed = |order: &Order| {
            let holder = self.world.box_named(&order.holder);
            self.is_away(holder, order.at_ms, THAW_SLACK_MS, |away| away.paused)
        };
        orders.retain(|order| !is_thawed(order));
        let apart_ms = |pair: &[Order]| pair[1].at_ms.saturating_sub(pair[0].at_ms);
        let pairs = orders.windows(2).filter(|pair| {
            pair[0].holder != pair[1].holder && apart_ms(pair) < self.world.site.lease_ms
        });
        let text = |pair: &[Order]| {
            let at_ms = pair[1].at_ms.saturating_sub(self.began_ms);
            let (before, after, apart_ms) = (&pair[0].holder, &pair[1].holder, apart_ms(pair));
            format!("{apart_ms} ms between orders of {before} and {after}, at {at_ms} ms")
        };
        pairs.map(text).collect()
    }

    /// Whether a box was away at a time or up to `slack_ms` before.
    pub(crate) fn is_away(
        &self,
        box_number: Option<usize>,
        at_ms: u64,
        slack_ms: u64,
        counts: fn(&Away) -> bool,
    ) -> bool {
        let aways = self.world.aways();
        aways
            .iter()
            .filter(|away| counts(away) && Some(away.box_number) == box_number)
            .any(|away| (*away.times_ms.start()..=away.times_ms.end() + slack_ms).contains(&at_ms))
    }

    /// Requests that began at engines, of boxes that had run for a while.
    #[must_use]
    pub fn steady_runs(&self) -> Vec<OnWeights> {
        let mut found = Vec::new();
        for (number, engine) in self.world.engines.iter().enumerate() {
            for run in engine.process.runs() {
                let id = run.headers.get("x-request-id").cloned().unwrap_or_default();
                let sender = id.split('-').next().and_then(|sender| sender.parse().ok());
                let is_steady = !self.is_away(sender, run.at_ms, STEADY_MS, |_| true);
                if let Some(version) = run.version.filter(|_| is_steady) {
                    found.push(OnWeights { engine: number, version, at_ms: run.at_ms, id });
                }
            }
        }
        found
    }

    /// Of what was seen at engines with a version of weights, all after that version had to
    /// be gone: a bound after the next was named, or after the end of faults.
    fn on_old_weights(
        &self,
        what: &str,
        seen: &[OnWeights],
        is_fault: fn(&Step) -> bool,
    ) -> Vec<String> {
        let named_ms = self.world.named_ms().clone();
        let from_start_ms = |unix_ms: u64| unix_ms.saturating_sub(self.began_ms);
        let due_ms = |version: u64| {
            let next_ms = *named_ms.get(usize::try_from(version).ok()?)?;
            let bound_ms = self.world.site.weights_apply_ms;
            Some(known_by_ms(self.steps, from_start_ms(next_ms), bound_ms, is_fault))
        };
        let mut late: BTreeMap<(usize, u64), Vec<&OnWeights>> = BTreeMap::new();
        for one in seen {
            if due_ms(one.version).is_some_and(|due_ms| from_start_ms(one.at_ms) > due_ms) {
                late.entry((one.engine, one.version)).or_default().push(one);
            }
        }
        let text = |((engine, version), late): (&(usize, u64), &Vec<&OnWeights>)| {
            let (count, first, due_ms) = (late.len(), late[0], due_ms(*version).unwrap_or(0));
            let (from_ms, to_ms) =
                (from_start_ms(first.at_ms), from_start_ms(late[count - 1].at_ms));
            format!(
                "engine {engine}, weights {version}, due to be gone by {due_ms} ms: it {what}, \
                 {from_ms} to {to_ms} ms, {count} times, first {}",
                first.id
            )
        };
        late.iter().map(text).collect()
    }

    /// Invariants that the programs saw broken, and panics.
    fn logs(&self) -> Vec<String> {
        let logs = self.world.boxes.iter().map(|one| one.process.log_text());
        let lines = logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.filter(|line| line.contains("Violated:") || line.contains("panicked")).collect()
    }
}

/// A refusal that says "not run" must be true, also later.
fn untrue_refusal(call: &Call, times: usize) -> Option<String> {
    let answer = call.answer.as_ref()?;
    let refusal = matches!(answer.status(), 408 | 421 | 429 | 503);
    let untrue = refusal && answer.header("x-server-seal").is_none() && times > 0;
    untrue.then(|| format!("refused as not run, but it ran {times} times"))
}
