//! The upstreams of all services, by their ids.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::notice::{NoticeState, UnlistedNotices};
use crate::gateway::decisions::upstream::{ReportedIncarnation, Upstream, UpstreamEntry};

/// The upstreams of all services.
#[derive(Debug, Default)]
pub struct Upstreams {
    by_id: BTreeMap<String, Upstream>,
    /// Ids by the numbers that stand for them in messages.
    ids: HashMap<u32, String>,
    /// What those asked that are not listed.
    unlisted: UnlistedNotices,
}

impl Upstreams {
    /// Takes what an upstream tells of itself in the metadata store, where what is newer
    /// comes later.
    pub fn upsert(&mut self, now_ms: u64, id: &str, entry: UpstreamEntry) -> ReportedIncarnation {
        let told = if let Some(known) = self.by_id.get_mut(id) {
            known.update_entry(now_ms, entry)
        } else {
            let mut upstream = Upstream::new(now_ms, id, entry);
            upstream.apply_notices(self.unlisted.remove(&upstream.incarnation()));
            self.by_id.insert(id.to_owned(), upstream);
            ReportedIncarnation::Current
        };
        self.index_number(id);
        told
    }

    /// Takes the start of the run that answered a call made at `asked_at_ms`.
    pub fn record_answering_incarnation(
        &mut self,
        now_ms: u64,
        id: &str,
        started_at_ms: Option<u64>,
        asked_at_ms: u64,
    ) -> ReportedIncarnation {
        let Some(known) = self.by_id.get_mut(id) else { return ReportedIncarnation::Current };
        let told = known.record_answering_incarnation(now_ms, started_at_ms, asked_at_ms);
        self.index_number(id);
        told
    }

    /// Another run of an upstream has another number.
    fn index_number(&mut self, id: &str) {
        let Some(number) = self.get(id).map(|one| one.number) else { return };
        if self.ids.get(&number).is_none_or(|known| known != id) {
            self.ids.retain(|_, known| known != id);
            self.ids.insert(number, id.to_owned());
        }
    }

    /// The upstream whose present run has a number, to be changed.
    pub fn get_by_number_mut(&mut self, number: u32) -> Option<&mut Upstream> {
        self.by_id.get_mut(self.ids.get(&number)?)
    }

    /// Notes that no connection to an upstream came up in time. Two in one
    /// hall at about the same time speak against the way to that hall.
    pub fn record_connect_timeout(&mut self, now_ms: u64, upstream: &Incarnation, own_hall: &str) {
        let Some(upstream) = self.get_incarnation_mut(upstream) else { return };
        upstream.record_connect_timeout(now_ms);
        let hall = upstream.entry.hall.clone();
        let of_hall = |one: &Upstream| one.entry.hall == hall;
        let lately = self
            .by_id
            .values()
            .filter(|one| of_hall(one) && one.connect_timed_out_recently(now_ms));
        if hall != own_hall && lately.count() > 1 {
            for one in self.by_id.values_mut().filter(|one| of_hall(one)) {
                one.mark_unreachable();
            }
        }
    }

    /// Notes those that owe answers and say nothing; they get no work until a
    /// connection to them comes up. Since when the one that fell silent last has
    /// said nothing.
    pub fn mark_silent_unreachable(&mut self, now_ms: u64) -> Option<u64> {
        let mut last_ms = None;
        for upstream in self.by_id.values_mut() {
            if let Some(since_ms) = upstream.silent_since_ms(now_ms) {
                upstream.mark_unreachable();
                last_ms = last_ms.max(Some(since_ms));
            }
        }
        last_ms
    }

    /// Takes an upstream out; what runs there goes on.
    pub fn remove(&mut self, now_ms: u64, id: &str) {
        if let Some(upstream) = self.by_id.remove(id) {
            self.unlisted.insert(now_ms, &upstream.incarnation(), upstream.notices());
        }
        self.ids.retain(|_, known| known != id);
    }

    /// An upstream.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.by_id.get(id)
    }

    /// An upstream, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.by_id.get_mut(id)
    }

    /// An upstream, if a run may be its present one.
    #[must_use]
    pub fn get_incarnation(&self, incarnation: &Incarnation) -> Option<&Upstream> {
        self.get(&incarnation.id).filter(|one| one.is_incarnation(incarnation))
    }

    /// An upstream, to be changed, if a run may be its present one.
    pub fn get_incarnation_mut(&mut self, incarnation: &Incarnation) -> Option<&mut Upstream> {
        self.get_mut(&incarnation.id).filter(|one| one.is_incarnation(incarnation))
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> + Clone {
        self.by_id.values()
    }

    /// All upstreams, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.by_id.values_mut()
    }

    /// Takes what the run of an upstream asked in an answer.
    pub fn apply_notices(&mut self, now_ms: u64, upstream: &Incarnation, asked: NoticeState) {
        match self.by_id.get_mut(&upstream.id) {
            Some(known) if known.is_incarnation(upstream) => known.apply_notices(asked),
            Some(_) => {}
            None => self.unlisted.insert(now_ms, upstream, asked),
        }
    }

    /// When the first upstream of a service, but for those in `tried`, takes requests again
    /// from this box, while all are backing off; `None` when one takes them now, or there is none.
    #[must_use]
    pub fn all_backoff_until_ms(
        &self,
        now_ms: u64,
        service: &str,
        tried: &[Incarnation],
    ) -> Option<u64> {
        let untried = self
            .of_service(service)
            .filter(|one| !tried.iter().any(|tried| one.is_incarnation(tried)));
        let rests: Option<Vec<u64>> = untried.map(|one| one.rests_until_ms(now_ms)).collect();
        rests?.into_iter().min()
    }

    /// The upstreams of a service that live and are not about to leave.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.current().filter(move |one| one.entry.service == service && !one.is_leaving())
    }

    /// All upstreams but those whose address another incarnation has.
    pub fn current(&self) -> impl Iterator<Item = &Upstream> + Clone {
        self.iter().filter(|one| !one.is_superseded())
    }

    /// Whether most engines of a model are heard by other boxes, and cannot be reached from
    /// here: the way to them is cut, and not they.
    #[must_use]
    pub fn is_partitioned(&self, now_ms: u64, model: &str) -> bool {
        let engines = self.current().filter(|one| one.weight_version(model) > 0);
        let cut =
            engines.clone().filter(|one| one.is_unreachable() && one.answers_other_boxes(now_ms));
        2 * cut.count() > engines.count()
    }

    /// The address of an upstream.
    #[must_use]
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.get(id).map(|upstream| upstream.entry.address)
    }
}
