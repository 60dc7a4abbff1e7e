//! Checks the gateway's guarantees against what clients, upstreams and engines observed.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use coursestile_standins::site::engine::Order;
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::{ExecutedRequest, events_text};

use crate::callers::{Observations, RequestRecord, StaleConfiguration, WeightsObservation};
use crate::plan::{Step, applied_by_ms, is_undisturbed};
use crate::world::{BoxOutage, World};

/// A request that is sent while its connection is being closed ends within this time.
const CLOSE_RACE: Duration = Duration::from_millis(200);
/// An upstream that is about to leave gets no new requests after this time.
const LEAVE_BOUND_MS: u64 = 2000;
/// A stored configuration is in force after this time.
const CONFIGURATION_BOUND_MS: u64 = 2000;

/// Orders of a leader are ignored for this time after it was paused.
const RESUMED_LEADER_GRACE_MS: u64 = 300;
/// Time bounds apply to a box again this long after it was down.
pub(crate) const RECOVERY_MS: u64 = 3000;

/// Everything that the checks of a run need.
pub struct RunData<'a> {
    /// The processes of the run.
    pub world: &'a World,
    /// What clients observed.
    pub observations: &'a Observations,
    /// Steps that were carried out.
    pub steps: &'a [Step],
    /// Start of the run.
    pub started_at: Instant,
    /// Start of the run, in Unix milliseconds.
    pub started_at_ms: u64,
}

impl RunData<'_> {
    /// Describes every violated guarantee.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let run_counts = self.run_counts();
        let mut violations = self.observations.reverted.clone();
        for request in &self.observations.requests {
            let times = run_counts.get(request.id.as_str()).copied().unwrap_or_default();
            let faults = [
                Self::wrong_answer(request),
                false_refusal(request, times),
                (request.kind.runs_once() && times > 1).then(|| format!("it ran {times} times")),
                self.cut_by_planned_work(request, times),
            ];
            violations
                .extend(faults.into_iter().flatten().map(|fault| self.describe(request, &fault)));
        }
        violations.extend(self.requests_to_leaving_upstreams());
        violations.extend(self.stale_configurations());
        violations.extend(self.order_violations());
        violations.extend(self.ignored_announcements());
        violations.extend(self.crash_request_resent());
        if self.world.weights_change {
            let (outdated, runs) = (&self.observations.outdated_weights, self.recovered_box_runs());
            violations.extend(self.outdated_weights_in_use(
                "had them",
                outdated,
                Step::delays_weights,
            ));
            violations.extend(self.outdated_weights_in_use(
                "started requests",
                &runs,
                Step::disrupts_connections,
            ));
        }
        violations.extend(self.logged_violations());
        violations
    }

    fn run_counts(&self) -> HashMap<String, usize> {
        let mut run_counts = HashMap::new();
        for run in self.world.upstreams.iter().flat_map(|upstream| upstream.process.executed()) {
            *run_counts.entry(run.request_id).or_default() += 1;
        }
        run_counts
    }

    fn describe(&self, request: &RequestRecord, fault: &str) -> String {
        let (sent_ms, ended_ms) = (self.at_ms(request.sent_at), self.at_ms(request.ended_at));
        let status = request.answer.as_ref().map_or(0, Message::status);
        let (id, kind, number) = (&request.id, request.kind, request.box_number);
        format!(
            "{id} ({kind:?}, box {number}, {sent_ms} to {ended_ms} ms, status {status}): {fault}"
        )
    }

    pub(crate) fn at_ms(&self, at: Instant) -> u64 {
        u64::try_from((at - self.started_at).as_millis()).unwrap_or(u64::MAX)
    }

    /// A successful response has to be the one for this request. If it is truncated, that must
    /// be visible to the client, and the part up to there must be correct.
    fn wrong_answer(request: &RequestRecord) -> Option<String> {
        let answer = request.answer.as_ref()?;
        if !(200..300).contains(&answer.status()) {
            return None;
        }
        let has_own_id = answer.header("x-request-id") == Some(&request.id);
        let sealed = answer.header("x-server-seal").is_some();
        let whole = if request.kind.is_stream() {
            events_text(&request.id, 0)
        } else {
            format!("answer to {0}: {0}", request.id)
        };
        let text = answer.text();
        let right = if answer.complete { text == whole } else { whole.starts_with(&text) };
        let wrong = !(has_own_id && sealed && right);
        wrong.then(|| {
            format!(
                "own id {has_own_id}, sealed {sealed}, whole {}, body {text:?}",
                answer.complete
            )
        })
    }

    /// Planned work must not interrupt a request unless a fault occurs too.
    fn cut_by_planned_work(&self, request: &RequestRecord, times: usize) -> Option<String> {
        let whole = request.answer.as_ref().is_some_and(|answer| answer.complete);
        let raced_close = request.answer.is_none()
            && times == 0
            && request.ended_at - request.sent_at < CLOSE_RACE;
        let undisturbed =
            is_undisturbed(self.steps, self.at_ms(request.sent_at), self.at_ms(request.ended_at));
        (!whole && !raced_close && undisturbed)
            .then(|| format!("cut without a fault; it ran {times} times"))
    }

    fn requests_to_leaving_upstreams(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for leave in self.world.upstream_leaves().iter() {
            let upstream =
                self.world.upstreams.iter().find(|upstream| upstream.process.id == leave.id);
            let by_ms = applied_by_ms(
                self.steps,
                self.at_ms(leave.from),
                LEAVE_BOUND_MS,
                Step::is_unplanned,
            );
            let late = |run: &ExecutedRequest| self.at_ms(run.at) > by_ms && run.at < leave.until;
            let late: Vec<ExecutedRequest> = upstream
                .map(|upstream| upstream.process.executed())
                .unwrap_or_default()
                .into_iter()
                .filter(late)
                .collect();
            if let Some(first) = late.first() {
                let (count, id, at_ms) = (late.len(), &leave.id, self.at_ms(first.at));
                let from_ms = self.at_ms(leave.from);
                violations.push(format!(
                    "upstream {id} was about to leave from {from_ms} ms and got {count} requests \
                     after {by_ms} ms, first at {at_ms} ms"
                ));
            }
        }
        violations
    }

    /// What helps to find the cause of a violation: the requests that reached an upstream long
    /// after it was about to leave, by which the boxes' logs can be searched, and when the soak's
    /// own tasks ran late.
    #[must_use]
    pub fn notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        for upstream in self.world.upstreams.iter().map(|upstream| &upstream.process) {
            for run in upstream.executed() {
                let leaves = self.world.upstream_leaves();
                let is_late = leaves.iter().any(|leave| {
                    let by_ms = self.at_ms(leave.from) + LEAVE_BOUND_MS;
                    leave.id == upstream.id && self.at_ms(run.at) > by_ms && run.at < leave.until
                });
                if is_late {
                    let at_ms = self.at_ms(run.at);
                    notes.push(format!("{} got {} at {at_ms} ms", upstream.id, run.request_id));
                }
            }
        }
        notes.extend(self.observations.stalls.iter().map(|stall| {
            let (late_by_ms, at_ms) = (stall.late_by.as_millis(), self.at_ms(stall.at));
            format!("the soak's own tasks ran {late_by_ms} ms late at {at_ms} ms")
        }));
        notes
    }

    /// Finds boxes that did not serve a stored configuration in time. The bound is extended
    /// until after the end of faults.
    fn stale_configurations(&self) -> Vec<String> {
        let mut late: BTreeMap<(usize, u64), Vec<u64>> = BTreeMap::new();
        let mut due = HashMap::new();
        for StaleConfiguration { box_number, version, stored_at, requested_at } in
            &self.observations.stale_configurations
        {
            let (stored_at_ms, at_ms) = (self.at_ms(*stored_at), self.at_ms(*requested_at));
            let by_ms =
                applied_by_ms(self.steps, stored_at_ms, CONFIGURATION_BOUND_MS, Step::is_unplanned);
            // A box that has just started may still serve by a stale listing.
            let has_just_started = self.world.guarded.is_some()
                && self.had_outage_at(
                    Some(*box_number),
                    self.started_at_ms + at_ms,
                    RECOVERY_MS,
                    |outage| !outage.paused,
                );
            if at_ms > by_ms && !has_just_started {
                due.insert(*version, (stored_at_ms, by_ms));
                late.entry((*box_number, *version)).or_default().push(at_ms);
            }
        }
        let text = |((box_number, version), at_ms): (&(usize, u64), &Vec<u64>)| {
            let ((stored_at_ms, by_ms), first, last) =
                (due[version], at_ms[0], at_ms[at_ms.len() - 1]);
            format!(
                "box {box_number} serves an older version than {version}, stored at {stored_at_ms} ms \
                 and due by {by_ms} ms, from {first} to {last} ms"
            )
        };
        late.iter().map(text).collect()
    }

    /// Checks that fencing tokens never decrease at an engine, that each belongs to one leader and
    /// that orders of different leaders are at least one lease apart.
    fn order_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut leaders: BTreeMap<u64, String> = BTreeMap::new();
        for (number, engine) in self.world.engines.iter().enumerate() {
            let mut last = 0;
            for order in engine.process.orders() {
                if order.fence < last {
                    violations.push(format!(
                        "engine {number}: fencing token {} after {last}",
                        order.fence
                    ));
                }
                last = last.max(order.fence);
                let leader = leaders.entry(order.fence).or_insert_with(|| order.leader.clone());
                if *leader != order.leader {
                    violations.push(format!(
                        "fencing token {}: leaders {leader} and {}",
                        order.fence, order.leader
                    ));
                }
            }
            if self.world.weights_change {
                let close = self.close_orders_of_two_leaders(engine.process.orders());
                violations.extend(close.into_iter().map(|text| format!("engine {number}: {text}")));
            }
        }
        violations
    }

    /// Finds consecutive orders of two leaders that reached an engine less than one lease apart.
    /// Orders of a leader that was paused shortly before are ignored.
    fn close_orders_of_two_leaders(&self, mut orders: Vec<Order>) -> Vec<String> {
        let is_resumed = |order: &Order| {
            let leader = self.world.box_named(&order.leader);
            self.had_outage_at(leader, order.at_ms, RESUMED_LEADER_GRACE_MS, |outage| outage.paused)
        };
        orders.retain(|order| !is_resumed(order));
        let apart_ms = |pair: &[Order]| pair[1].at_ms.saturating_sub(pair[0].at_ms);
        let pairs = orders.windows(2).filter(|pair| {
            pair[0].leader != pair[1].leader && apart_ms(pair) < self.world.site.lease_ms
        });
        let text = |pair: &[Order]| {
            let at_ms = pair[1].at_ms.saturating_sub(self.started_at_ms);
            let (before, after, apart_ms) = (&pair[0].leader, &pair[1].leader, apart_ms(pair));
            format!("{apart_ms} ms between orders of {before} and {after}, at {at_ms} ms")
        };
        pairs.map(text).collect()
    }

    /// Whether a box was down at a time or up to `slack_ms` before it.
    pub(crate) fn had_outage_at(
        &self,
        box_number: Option<usize>,
        at_ms: u64,
        slack_ms: u64,
        counts: fn(&BoxOutage) -> bool,
    ) -> bool {
        let box_outages = self.world.box_outages();
        box_outages
            .iter()
            .filter(|outage| counts(outage) && Some(outage.box_number) == box_number)
            .any(|outage| {
                (*outage.times_ms.start()..=outage.times_ms.end() + slack_ms).contains(&at_ms)
            })
    }

    /// Requests that started on engines, except for those from boxes that were down recently.
    #[must_use]
    pub fn recovered_box_runs(&self) -> Vec<WeightsObservation> {
        let mut observations = Vec::new();
        for (number, engine) in self.world.engines.iter().enumerate() {
            for run in engine.process.runs() {
                let id = run.headers.get("x-request-id").cloned().unwrap_or_default();
                let sender = id.split('-').next().and_then(|sender| sender.parse().ok());
                let is_recovered = !self.had_outage_at(sender, run.at_ms, RECOVERY_MS, |_| true);
                if let Some(version) = run.version.filter(|_| is_recovered) {
                    observations.push(WeightsObservation {
                        engine: number,
                        version,
                        at_ms: run.at_ms,
                        id,
                    });
                }
            }
        }
        observations
    }

    /// Finds observations of weights that should have been replaced by then. A version is due to
    /// be replaced a time bound after the next one was named, extended until after the end of
    /// faults.
    fn outdated_weights_in_use(
        &self,
        what: &str,
        observations: &[WeightsObservation],
        is_fault: fn(&Step) -> bool,
    ) -> Vec<String> {
        let weights_named_at_ms = self.world.weights_named_at_ms().clone();
        let from_start_ms = |unix_ms: u64| unix_ms.saturating_sub(self.started_at_ms);
        let due_ms = |version: u64| {
            let next_ms = *weights_named_at_ms.get(usize::try_from(version).ok()?)?;
            let bound_ms = self.world.site.weights_apply_ms;
            Some(applied_by_ms(self.steps, from_start_ms(next_ms), bound_ms, is_fault))
        };
        let mut late: BTreeMap<(usize, u64), Vec<&WeightsObservation>> = BTreeMap::new();
        for run in observations {
            if due_ms(run.version).is_some_and(|due_ms| from_start_ms(run.at_ms) > due_ms) {
                late.entry((run.engine, run.version)).or_default().push(run);
            }
        }
        let text = |((engine, version), late): (&(usize, u64), &Vec<&WeightsObservation>)| {
            let (count, first, due_ms) = (late.len(), late[0], due_ms(*version).unwrap_or(0));
            let (from_ms, to_ms) =
                (from_start_ms(first.at_ms), from_start_ms(late[count - 1].at_ms));
            format!(
                "engine {engine}, weights {version}, due to be replaced by {due_ms} ms: it {what}, \
                 {from_ms} to {to_ms} ms, {count} times, first {}",
                first.id
            )
        };
        late.iter().map(text).collect()
    }

    /// Lines in the boxes' logs about violated invariants and panics.
    fn logged_violations(&self) -> Vec<String> {
        let logs = self.world.boxes.iter().map(|gateway_box| gateway_box.process.log_text());
        let lines = logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.filter(|line| line.contains("Violated:") || line.contains("panicked")).collect()
    }
}

/// A request that was refused as not run must not have run, and must not run later either.
fn false_refusal(request: &RequestRecord, times: usize) -> Option<String> {
    let answer = request.answer.as_ref()?;
    let refusal = matches!(answer.status(), 408 | 421 | 429 | 503);
    let is_false = refusal && answer.header("x-server-seal").is_none() && times > 0;
    is_false.then(|| format!("refused as not run, but it ran {times} times"))
}
