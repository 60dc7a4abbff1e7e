//! The upstreams of all services, by id.
//!
//! A box of a large fleet knows thousands of upstreams and uses a few at a time. Those that may not
//! be at rest are indexed, so that periodic work and messages take time for these only. Indexes hold
//! positions in a slab: *load pattern:* each of dozens of messages a second names dozens of
//! upstreams, and to find each of them by its id takes more comparisons of text than all else that a
//! message costs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use slab::Slab;

use crate::gateway::decisions::demand::{AllowedSoftware, Resumption};
use crate::gateway::decisions::departures::Departures;
use crate::gateway::decisions::engine_speed::{
    PendingReports, SampleOrigin, ServiceSpeed, Speed, SpeedReport,
};
use crate::gateway::decisions::hall_loads::HallLoads;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::notice::{NoticeState, UnlistedNotices};
use crate::gateway::decisions::rate_limit::RateLimit;
use crate::gateway::decisions::software_history::{
    SETTLE_MS, SoftwareHistory, StoredChange, StoredVersions,
};
use crate::gateway::decisions::upstream::{ReportedIncarnation, Upstream, UpstreamEntry};
use crate::gateway::decisions::version_release::VersionIds;
use crate::names::short_id;

/// The upstreams of all services.
#[derive(Debug, Default)]
pub struct Upstreams {
    slab: Slab<Upstream>,
    /// Positions in the slab by id.
    by_id: BTreeMap<String, usize>,
    /// Positions by the short ids of the incarnations.
    by_short_id: HashMap<u32, usize>,
    /// Positions of all upstreams that are not at rest, and of some that are.
    active: BTreeSet<usize>,
    /// Notices of upstreams that have no entry at present.
    unlisted: UnlistedNotices,
    /// When such upstreams began to leave.
    departures: Departures,
    /// Versions of software that upstreams had.
    software_history: SoftwareHistory,
    /// Halls that operators evacuate, including those without upstreams at present.
    evacuated_halls: BTreeSet<String>,
    /// Speeds of the engines of each service.
    speeds: HashMap<String, ServiceSpeed>,
    /// Samples of speeds for other boxes.
    speed_reports: PendingReports,
    /// Loads of the halls.
    pub hall_loads: HallLoads,
}

impl Upstreams {
    /// Inserts or updates an upstream from its entry in the metadata store, which delivers entries
    /// in order.
    pub fn upsert(&mut self, now_ms: u64, id: &str, entry: UpstreamEntry) -> ReportedIncarnation {
        let Some(position) = self.by_id.get(id).copied() else {
            let mut upstream = Upstream::new(now_ms, id, entry);
            let (notices, rate_limit) = self.unlisted.remove(&upstream.incarnation());
            upstream.apply_notices(notices);
            upstream.rate_limit.merge(now_ms, rate_limit);
            let position = self.slab.insert(upstream);
            self.by_id.insert(id.to_owned(), position);
            self.active.insert(position);
            self.index_short_id(position, None);
            return ReportedIncarnation::Current;
        };
        let previous_short_id = self.slab[position].short_id;
        let known = &self.slab[position];
        if (&known.entry.service, &known.entry.software) != (&entry.service, &entry.software) {
            let service = short_id(&known.entry.service);
            self.software_history.record_gone(now_ms, service, known.software);
        }
        let reported = self.slab[position].update_entry(now_ms, entry);
        self.active.insert(position);
        self.index_short_id(position, Some(previous_short_id));
        reported
    }

    /// Records the start of the incarnation that answered a call made at `asked_at_ms`.
    pub fn record_answering_incarnation(
        &mut self,
        now_ms: u64,
        id: &str,
        started_at_ms: Option<u64>,
        asked_at_ms: u64,
    ) -> ReportedIncarnation {
        let Some(position) = self.by_id.get(id).copied() else {
            return ReportedIncarnation::Current;
        };
        let previous_short_id = self.slab[position].short_id;
        let reported =
            self.slab[position].record_answering_incarnation(now_ms, started_at_ms, asked_at_ms);
        self.active.insert(position);
        self.index_short_id(position, Some(previous_short_id));
        reported
    }

    /// Updates the index of short ids; each incarnation of an upstream has its own.
    fn index_short_id(&mut self, position: usize, previous: Option<u32>) {
        let short_id = self.slab[position].short_id;
        if Some(short_id) == previous {
            return;
        }
        if let Some(previous) = previous {
            self.remove_short_id(position, previous);
        }
        self.by_short_id.insert(short_id, position);
    }

    /// Removes a short id from the index, unless another upstream has it by now.
    fn remove_short_id(&mut self, position: usize, short_id: u32) {
        if self.by_short_id.get(&short_id) == Some(&position) {
            self.by_short_id.remove(&short_id);
        }
    }

    /// The upstream whose present incarnation has the given short id.
    pub fn get_by_short_id_mut(&mut self, short_id: u32) -> Option<&mut Upstream> {
        let position = *self.by_short_id.get(&short_id)?;
        self.active.insert(position);
        self.slab.get_mut(position)
    }

    /// The upstreams that are not at rest, and some that are.
    pub fn active(&self) -> impl Iterator<Item = &Upstream> + Clone {
        self.active.iter().filter_map(|position| self.slab.get(*position))
    }

    /// Updates all upstreams that are not at rest, and some that are.
    pub fn update_active(&mut self, mut update: impl FnMut(&mut Upstream)) {
        for position in &self.active {
            if let Some(upstream) = self.slab.get_mut(*position) {
                update(upstream);
            }
        }
    }

    /// Takes the upstreams that are at rest out of the index of active ones.
    pub fn retire_resting(&mut self, now_ms: u64) {
        let slab = &self.slab;
        self.active
            .retain(|position| slab.get(*position).is_some_and(|known| !known.is_at_rest(now_ms)));
    }

    /// Records that a connection to an upstream was not established in time. If two upstreams in
    /// one other hall time out at about the same time, the network path to that hall is taken to be
    /// cut, and all of its upstreams are marked unreachable.
    pub fn record_connect_timeout(&mut self, now_ms: u64, upstream: &Incarnation, own_hall: &str) {
        let Some(upstream) = self.get_incarnation_mut(upstream) else { return };
        upstream.record_connect_timeout(now_ms);
        let hall = upstream.entry.hall.clone();
        let in_hall = |upstream: &Upstream| upstream.entry.hall == hall;
        let timed_out = self
            .iter()
            .filter(|upstream| in_hall(upstream) && upstream.connect_timed_out_recently(now_ms));
        if hall != own_hall && timed_out.count() > 1 {
            for (position, upstream) in self.slab.iter_mut().filter(|(_, known)| in_hall(known)) {
                upstream.infer_unreachable();
                self.active.insert(position);
            }
        }
    }

    /// Records that this box has established a connection to an upstream itself. If it was taken to
    /// be unreachable like all of its hall, the path to the hall works again.
    pub fn record_reached(&mut self, id: &str) {
        let Some(reached) = self.get_mut(id) else { return };
        let (was_inferred, hall) = (reached.is_inferred_unreachable(), reached.entry.hall.clone());
        reached.mark_reachable();
        if was_inferred {
            self.update_active(|upstream| {
                if upstream.entry.hall == hall && upstream.is_inferred_unreachable() {
                    upstream.mark_reachable();
                }
            });
        }
    }

    /// Records that neither this box nor peers reach a hall. Requests then wait neither for the upstreams
    /// that this box has just probed, as `is_probed` tells, nor for those judged by others of the hall.
    pub fn record_hall_unreached(&mut self, hall: &str, is_probed: impl Fn(&str) -> bool) {
        self.update_active(|upstream| {
            let is_judged = upstream.is_inferred_unreachable() || is_probed(&upstream.id);
            if upstream.entry.hall == hall && is_judged {
                upstream.record_probe_failure();
            }
        });
    }

    /// Marks silent upstreams unreachable until a connection to them is established. Returns the
    /// start of the most recent silence.
    pub fn mark_silent_unreachable(&mut self, now_ms: u64) -> Option<u64> {
        let mut latest_ms = None;
        self.update_active(|upstream| {
            if let Some(since_ms) = upstream.silent_since_ms(now_ms) {
                upstream.mark_unreachable();
                latest_ms = latest_ms.max(Some(since_ms));
            }
        });
        latest_ms
    }

    /// Removes an upstream. Requests in progress there continue.
    pub fn remove(&mut self, now_ms: u64, id: &str) {
        if let Some(position) = self.by_id.remove(id) {
            let upstream = self.slab.remove(position);
            let service = short_id(&upstream.entry.service);
            self.software_history.record_gone(now_ms, service, upstream.software);
            let limit = upstream.rate_limit.limit();
            self.unlisted.insert(now_ms, &upstream.incarnation(), upstream.notices(), limit);
            let leaving_since_ms = upstream.leaving_since_ms().unwrap_or(now_ms);
            self.departures.record(now_ms, upstream.incarnation(), leaving_since_ms);
            self.active.remove(&position);
            self.remove_short_id(position, upstream.short_id);
        }
    }

    /// Whether an incarnation may have ended by plan: it serves for `drain_ms` after it has announced
    /// that, or after its entry went. That counts from when this box knew, since it cannot know how much
    /// earlier the metadata store did.
    #[must_use]
    pub fn may_have_left(&self, now_ms: u64, incarnation: &Incarnation, drain_ms: u64) -> bool {
        let leaving_since_ms = match self.get(&incarnation.id) {
            Some(known) if known.is_incarnation(incarnation) => known.leaving_since_ms(),
            Some(_) => None,
            None => self.departures.since_ms(incarnation),
        };
        leaving_since_ms.is_some_and(|since_ms| now_ms >= since_ms + drain_ms)
    }

    /// Begins the evacuation of a hall: its upstreams get no new requests.
    pub fn begin_evacuation(&mut self, hall: &str) {
        self.evacuated_halls.insert(hall.to_owned());
    }

    /// Ends the evacuation of a hall. Its upstreams may have restarted meanwhile without a new
    /// entry, so each counts as cold for the time that `cold_ms` gives for its service.
    pub fn end_evacuation(&mut self, now_ms: u64, hall: &str, cold_ms: impl Fn(&str) -> u64) {
        self.evacuated_halls.remove(hall);
        for (position, upstream) in &mut self.slab {
            if upstream.entry.hall == hall {
                upstream.cold.extend(now_ms, now_ms + cold_ms(&upstream.entry.service));
                self.active.insert(position);
            }
        }
    }

    /// Number of halls with upstreams.
    #[must_use]
    pub fn hall_count(&self) -> usize {
        self.iter().map(|upstream| upstream.entry.hall.as_str()).collect::<BTreeSet<_>>().len()
    }

    /// Whether an upstream of a service is cold.
    #[must_use]
    pub fn is_any_cold(&self, now_ms: u64, service: &str) -> bool {
        self.of_service(service).any(|upstream| upstream.cold.is_cold(now_ms))
    }

    /// Whether an upstream gets no new requests because its hall is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, upstream: &Upstream) -> bool {
        self.evacuated_halls.contains(&upstream.entry.hall)
    }

    /// Whether a service has upstreams, all of them in evacuated halls.
    #[must_use]
    pub fn are_all_evacuated(&self, service: &str) -> bool {
        let mut upstreams = self.of_service(service).peekable();
        upstreams.peek().is_some() && upstreams.all(|upstream| self.is_evacuated(upstream))
    }

    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.slab.get(*self.by_id.get(id)?)
    }

    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        let position = *self.by_id.get(id)?;
        self.active.insert(position);
        self.slab.get_mut(position)
    }

    /// The upstream, if `incarnation` may be its present one.
    #[must_use]
    pub fn get_incarnation(&self, incarnation: &Incarnation) -> Option<&Upstream> {
        self.get(&incarnation.id).filter(|upstream| upstream.is_incarnation(incarnation))
    }

    /// The upstream, if `incarnation` may be its present one.
    pub fn get_incarnation_mut(&mut self, incarnation: &Incarnation) -> Option<&mut Upstream> {
        self.get_mut(&incarnation.id).filter(|upstream| upstream.is_incarnation(incarnation))
    }

    /// The speed of an engine, as the decisions use it.
    #[must_use]
    pub fn speed(&self, upstream: &Upstream, now_ms: u64) -> Speed {
        let service = self.speeds.get(&upstream.entry.service);
        service.map_or(Speed::PRIOR, |service| service.speed(now_ms, &upstream.speed))
    }

    /// Records the time that an engine took to a first token, where `tokens` were to be prefilled after
    /// those `queued` before.
    pub fn record_first_token(
        &mut self,
        now_ms: u64,
        engine: &Incarnation,
        (queued, tokens): (u32, u32),
        time_ms: f64,
    ) {
        self.record_speed(now_ms, engine, |service, upstream| {
            let speed = &mut upstream.speed;
            service.add_first_token(
                now_ms,
                upstream.short_id,
                speed,
                (queued, tokens.into()),
                time_ms,
            )
        });
    }

    /// Records the mean gap between events of a stream of an engine.
    pub fn record_event_gap(&mut self, now_ms: u64, engine: &Incarnation, gap_ms: f64) {
        self.record_speed(now_ms, engine, |service, upstream| {
            let load = upstream.total_load();
            let class = (load.requests, load.pending_prefill_tokens > 0);
            service.add_gap(now_ms, upstream.short_id, &mut upstream.speed, class, gap_ms)
        });
    }

    fn record_speed(
        &mut self,
        now_ms: u64,
        engine: &Incarnation,
        add: impl FnOnce(&mut ServiceSpeed, &mut Upstream) -> Option<SpeedReport>,
    ) {
        let Some(position) = self.by_id.get(&engine.id) else { return };
        let upstream = &mut self.slab[*position];
        if !upstream.is_incarnation(engine) {
            return;
        }
        let service = service_speed(&mut self.speeds, &upstream.entry.service);
        if let Some(report) = add(service, upstream) {
            self.speed_reports.add(now_ms, SampleOrigin::ThisBox, report);
        }
    }

    /// Applies samples of the speed of engines that other boxes have taken.
    pub fn apply_speed_reports(
        &mut self,
        now_ms: u64,
        origin: SampleOrigin,
        reports: &[SpeedReport],
    ) {
        for report in reports {
            let Some(position) = self.by_short_id.get(&report.upstream) else { continue };
            let upstream = &mut self.slab[*position];
            let service = service_speed(&mut self.speeds, &upstream.entry.service);
            if service.apply(now_ms, &mut upstream.speed, *report) {
                self.speed_reports.add(now_ms, origin, *report);
            }
        }
    }

    /// The number of active engines whose speed is not that of the prior, and those of which that has
    /// changed since the last call.
    pub fn note_differing_speeds(&mut self, now_ms: u64) -> (u32, Vec<(String, Speed)>) {
        let (mut count, mut changed) = (0, Vec::new());
        for position in &self.active {
            let Some(upstream) = self.slab.get_mut(*position) else { continue };
            let Some(service) = self.speeds.get(&upstream.entry.service) else { continue };
            let speed = service.speed(now_ms, &upstream.speed);
            let is_differing = speed != Speed::PRIOR;
            count += u32::from(is_differing);
            if upstream.speed.note_differing(is_differing) {
                changed.push((upstream.id.clone(), speed));
            }
        }
        (count, changed)
    }

    /// Takes over the present loads of the halls.
    pub fn update_hall_loads(&mut self, now_ms: u64) {
        let mut hall_loads = std::mem::take(&mut self.hall_loads);
        let healthy = self.current().filter(|upstream| !upstream.is_unhealthy(now_ms));
        let tokens_per_ms =
            |upstream: &Upstream| self.speed(upstream, now_ms).prefill_tokens_per_ms;
        hall_loads.update(now_ms, healthy, tokens_per_ms);
        self.hall_loads = hall_loads;
    }

    /// The newest samples of some origins, for other boxes.
    #[must_use]
    pub fn speed_reports(&self, now_ms: u64, origins: &[SampleOrigin]) -> Vec<SpeedReport> {
        self.speed_reports.newest(now_ms, origins)
    }

    /// Drops the samples for other boxes that were sent for `sent_ms`.
    pub fn expire_speed_reports(&mut self, now_ms: u64, sent_ms: u64) {
        self.speed_reports.expire(now_ms, sent_ms);
    }

    /// Number of upstreams of all services.
    #[must_use]
    #[expect(clippy::len_without_is_empty, reason = "no caller asks")]
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Upstream> + Clone {
        self.by_id.values().filter_map(|position| self.slab.get(*position))
    }

    /// Adds notices from an answer of an incarnation of an upstream.
    pub fn apply_notices(&mut self, now_ms: u64, upstream: &Incarnation, notices: NoticeState) {
        let Some(position) = self.by_id.get(&upstream.id).copied() else {
            self.unlisted.insert(now_ms, upstream, notices, RateLimit::default());
            return;
        };
        let known = &mut self.slab[position];
        if known.is_incarnation(upstream) {
            known.apply_notices(notices);
            self.active.insert(position);
        }
    }

    /// When this box may send to the first upstream again that may get a request and is not in `tried`.
    /// `None` if it may now, or does not know when, or there is none.
    #[must_use]
    pub fn all_closed_until_ms(
        &self,
        now_ms: u64,
        service: &str,
        software: AllowedSoftware,
        tried: &[Incarnation],
    ) -> Option<u64> {
        let untried = self.eligible(now_ms, service, software).filter(|upstream| {
            !self.is_evacuated(upstream)
                && !tried.iter().any(|incarnation| upstream.is_incarnation(incarnation))
        });
        let closed: Option<Vec<u64>> =
            untried.map(|upstream| upstream.closed_until_ms(now_ms)).collect();
        closed?.into_iter().min()
    }

    /// The upstreams that may get a request: those of a service, those of them that may begin a stream,
    /// or those that may resume one.
    #[must_use]
    pub fn eligible<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
        software: AllowedSoftware,
    ) -> Box<dyn Iterator<Item = &'a Upstream> + 'a> {
        match software {
            AllowedSoftware::Any => Box::new(self.of_service(service)),
            AllowedSoftware::MayBegin => Box::new(self.beginning(now_ms, service)),
            AllowedSoftware::Began(Resumption { software, leaving_apply_ms }) => {
                Box::new(self.resuming(now_ms, service, software, leaving_apply_ms))
            }
        }
    }

    /// The upstreams of a service whose versions may begin streams.
    fn beginning<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Upstream> {
        let mut last_version = None;
        self.of_service(service).filter(move |upstream| {
            // Most upstreams have the same version as the one before.
            let may_begin = match last_version {
                Some((software, may_begin)) if software == upstream.software => may_begin,
                _ => self
                    .begins_at_ms(service, upstream.software)
                    .is_some_and(|at_ms| now_ms >= at_ms),
            };
            last_version = Some((upstream.software, may_begin));
            may_begin
        })
    }

    /// When a version may begin streams of a service, if that is known.
    fn begins_at_ms(&self, service: &str, software: u32) -> Option<u64> {
        let first_known = || {
            let first = self.of_service(service).min_by_key(|upstream| upstream.known_since_ms());
            first.map(|upstream| upstream.software)
        };
        let others_gone_at_ms = || {
            let of_service = self.iter().filter(|upstream| upstream.entry.service == service);
            let listed = of_service.map(|upstream| upstream.software);
            self.software_history.others_gone_at_ms(short_id(service), software, listed)
        };
        let history = &self.software_history;
        history.begins_at_ms(short_id(service), software, first_known, others_gone_at_ms)
    }

    /// When the first upstream of a service may begin a stream, if that is what `software` asks for and all
    /// are too new; at the earliest after the time that a version takes if one is not stored yet. `None`
    /// if one may begin it now, or there is none.
    #[must_use]
    pub fn streams_begin_at_ms(
        &self,
        now_ms: u64,
        service: &str,
        software: AllowedSoftware,
    ) -> Option<u64> {
        if software != AllowedSoftware::MayBegin {
            return None;
        }
        let begin_at_ms = self.of_service(service).map(|upstream| {
            self.begins_at_ms(service, upstream.software).unwrap_or(now_ms + SETTLE_MS)
        });
        begin_at_ms.min().filter(|at_ms| now_ms < *at_ms)
    }

    /// Whether an upstream of a service has a rate limit.
    #[must_use]
    pub fn is_any_limited(&self, service: &str) -> bool {
        self.of_service(service).any(|upstream| upstream.rate_limit.limit().rate.is_some())
    }

    /// Records a request that was refused although upstreams of its service might have taken it
    /// within their rate limits.
    pub fn record_unmet(&mut self, now_ms: u64, service: &str) {
        self.update_active(|upstream| {
            if upstream.entry.service == service {
                upstream.rate_limit.record_unmet(now_ms);
            }
        });
    }

    /// The upstreams of a service that are not superseded or about to leave.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.current()
            .filter(move |upstream| upstream.entry.service == service && !upstream.is_leaving())
    }

    /// The upstreams that may resume streams of a service: those of `software`, also while they leave.
    fn resuming<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
        software: u32,
        leaving_apply_ms: u64,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.current().filter(move |upstream| {
            upstream.entry.service == service
                && upstream.software == software
                && (!upstream.is_leaving()
                    || upstream.may_resume_before_leaving(now_ms, leaving_apply_ms))
        })
    }

    /// All upstreams except those whose address another incarnation has.
    pub fn current(&self) -> impl Iterator<Item = &Upstream> + Clone {
        self.iter().filter(|upstream| !upstream.is_superseded())
    }

    /// The version that began all streams of a service that may be resumed, if it is the only one.
    #[must_use]
    pub fn only_version(&self, now_ms: u64, service: &str) -> Option<u32> {
        let of_service = self.iter().filter(|upstream| upstream.entry.service == service);
        let listed = of_service.map(|upstream| upstream.software);
        self.software_history.only_version(now_ms, short_id(service), listed)
    }

    /// The versions that the metadata store should have, if this box has to change them.
    #[must_use]
    pub fn next_stored_versions(
        &self,
        now_ms: u64,
        change: StoredChange,
    ) -> Option<StoredVersions> {
        self.software_history.next_stored(now_ms, change, self.listed_versions())
    }

    /// The stored versions that no upstream is listed with.
    #[must_use]
    pub fn unlisted_versions(&self) -> VersionIds {
        self.software_history.unlisted(self.listed_versions())
    }

    fn listed_versions(&self) -> impl Iterator<Item = (u32, u32)> {
        self.iter().map(|upstream| (short_id(&upstream.entry.service), upstream.software))
    }

    /// Takes over the versions that the metadata store had at a revision.
    pub fn set_stored_versions(&mut self, now_ms: u64, revision: u64, stored: StoredVersions) {
        self.software_history.set_stored(now_ms, revision, stored);
    }

    /// Records that the stored versions cannot be read at a revision.
    pub fn set_versions_unreadable(&mut self, revision: u64) {
        self.software_history.set_unreadable(revision);
    }

    /// What this box knows of the versions that upstreams have had.
    #[must_use]
    pub fn software_history(&self) -> &SoftwareHistory {
        &self.software_history
    }

    /// Records that this box has followed the metadata store until a time.
    pub fn record_followed(&mut self, as_of_ms: u64) {
        self.software_history.record_followed(as_of_ms);
    }

    /// Records that the stored versions were read as of a time.
    pub fn record_versions_read(&mut self, as_of_ms: u64) {
        self.software_history.record_read(as_of_ms);
    }

    /// Has this box read the stored versions before it relies on watches.
    pub fn require_versions_read(&mut self) {
        self.software_history.require_read();
    }

    /// Records that all upstreams are known now.
    pub fn record_complete(&mut self, now_ms: u64) {
        self.software_history.record_complete(now_ms);
    }

    /// Records that upstreams may have come and gone without this box.
    pub fn record_gap(&mut self, now_ms: u64) {
        self.software_history.record_gap(now_ms);
    }

    /// Number of upstreams that this box reaches only through peers.
    #[must_use]
    pub fn missed_count(&self) -> usize {
        self.active().filter(|upstream| upstream.needs_tunnel()).count()
    }

    /// Whether this box is cut off from most engines of a model: it cannot open connections to them
    /// while other boxes receive bytes from them.
    #[must_use]
    pub fn is_partitioned(&self, now_ms: u64, model: &str) -> bool {
        let engines = self.current().filter(|upstream| upstream.weight_version(model) > 0);
        let cut_off = engines.clone().filter(|upstream| {
            upstream.needs_tunnel()
                || upstream.is_unreachable() && upstream.answers_other_boxes(now_ms)
        });
        2 * cut_off.count() > engines.count()
    }

    /// The address of an upstream, if `incarnation` may be its present one.
    #[must_use]
    pub fn incarnation_address(&self, incarnation: &Incarnation) -> Option<SocketAddr> {
        self.get_incarnation(incarnation).map(|upstream| upstream.entry.address)
    }

    #[must_use]
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.get(id).map(|upstream| upstream.entry.address)
    }
}

fn service_speed<'a>(
    speeds: &'a mut HashMap<String, ServiceSpeed>,
    service: &str,
) -> &'a mut ServiceSpeed {
    if !speeds.contains_key(service) {
        speeds.insert(service.to_owned(), ServiceSpeed::default());
    }
    speeds.get_mut(service).expect("it was inserted above")
}
