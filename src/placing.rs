//! Acquires engine slots for the requests that entered at this box.
//!
//! Each prompt has a home hall in its region, so that requests with the same prefix
//! share its cached context. The dispatcher of the model in that hall is tried first.
//! If it queues the request or does not respond, the dispatchers of the other halls are
//! tried; if none responds, this box acts as the dispatcher with what it knows. A
//! dispatcher that does not respond is skipped for a while, so that requests do not wait
//! for a hall that is cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::clock::{instant_at, now_ms, now_us};
use crate::kernel::{Kernel, Plugin, Topic};
use crate::owner::{owner, ranked};
use crate::placement_state::ReceivedResponse;
use crate::refusal::{Reason, Refusal};
use crate::slot_request::{Grant, SlotEnd, SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use crate::supervisor;
use crate::sync::locked;
use crate::trace::Hop;
use crate::wire::{Envelope, Message};

/// Time within which a dispatcher has to respond to a slot request.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a dispatcher that did not respond is skipped.
const DISPATCHER_COOLDOWN_MS: u64 = 2000;
/// How often a queued slot request is sent again.
const RESEND_PERIOD: Duration = Duration::from_secs(1);
/// How often held slots are renewed.
const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Unread responses that are buffered per slot request.
const RESPONSE_BUFFER_LEN: usize = 16;
/// Time after which the caller may retry when no dispatcher responded.
const NO_SLOT_RETRY_MS: u64 = 1000;

inventory::submit! {
    Plugin { name: "placing", start, receive: Some((Topic::Placing, receive)) }
}

/// A slot on an engine that this box holds.
pub struct HeldSlot {
    /// Which engine the slot is on, and which context to import there.
    pub grant: Grant,
    /// Peer address of the dispatcher that granted it.
    dispatcher: String,
    model: String,
    id: SlotRequestId,
}

impl HeldSlot {
    /// Id of the request for this slot.
    #[must_use]
    pub fn id(&self) -> &SlotRequestId {
        &self.id
    }

    /// Reports on the slot to the dispatcher that granted it.
    pub fn report(&self, kernel: &Arc<Kernel>, report: SlotReport) {
        send_report(kernel, &self.dispatcher, &self.model, report);
    }

    /// Releases the slot.
    pub fn release(self, kernel: &Arc<Kernel>, run_id: &str, generated_tokens: u32, end: SlotEnd) {
        let (id, run_id) = (self.id.clone(), run_id.to_owned());
        self.report(kernel, SlotReport::Done { id, run_id, generated_tokens, end });
        let held = (self.dispatcher, self.model, self.id);
        locked(&kernel.placements.held_slots).remove(&held);
    }
}

/// A search for a slot among the dispatchers.
struct SlotSearch<'a> {
    kernel: &'a Arc<Kernel>,
    slot_request: SlotRequest,
    responses: mpsc::Receiver<ReceivedResponse>,
    /// Dispatcher that has queued the request.
    queued_at: Option<String>,
    refusal: Option<Refusal>,
    /// The dispatcher stopped responding while the request was queued there.
    dispatcher_lost: bool,
}

/// Acquires a slot, waiting until the deadline of the request if necessary. If the
/// dispatcher that queued the request stops responding, the search starts over once.
///
/// # Errors
/// Fails with a refusal; the request has not run.
pub async fn acquire_slot(
    kernel: &Arc<Kernel>,
    slot_request: SlotRequest,
) -> Result<HeldSlot, Refusal> {
    let (sender, responses) = mpsc::channel(RESPONSE_BUFFER_LEN);
    let (id, trace) = (slot_request.id.clone(), slot_request.trace);
    locked(&kernel.placements.response_senders).insert(id.clone(), sender);
    let started_at_us = now_us();
    let mut search = SlotSearch {
        kernel,
        slot_request,
        responses,
        queued_at: None,
        refusal: None,
        dispatcher_lost: false,
    };
    let mut result = search.run().await;
    if std::mem::take(&mut search.dispatcher_lost) {
        result = search.run().await;
    }
    locked(&kernel.placements.response_senders).remove(&id);
    if result.is_err() {
        search.withdraw();
    }
    let note = match &result {
        Ok(slot) => format!("{} by {}", slot.grant.engine, slot.dispatcher),
        Err(refusal) => format!("refused: {}", refusal.reason),
    };
    kernel.span(trace, Hop::Ask, started_at_us, note);
    result
}

impl SlotSearch<'_> {
    async fn run(&mut self) -> Result<HeldSlot, Refusal> {
        let mut targets = target_dispatchers(self.kernel, &self.slot_request);
        for target in targets.clone() {
            if let Some(slot) = self.request_slot_from(&target).await {
                return Ok(slot);
            }
        }
        let own_address = self.kernel.settings.advertise.clone();
        if self.queued_at.is_none() && self.refusal.is_none() && !targets.contains(&own_address) {
            // No dispatcher responded: act as the dispatcher.
            if let Some(slot) = self.request_slot_from(&own_address).await {
                return Ok(slot);
            }
            targets.push(own_address);
        }
        match self.queued_at.clone() {
            Some(target) => self.wait_in_queue(&target, &targets).await,
            None => Err(self.refusal.take().unwrap_or_else(no_slot_refusal)),
        }
    }

    /// Requests a slot from one dispatcher. After a dispatcher has queued the request,
    /// the others are only asked for a free slot.
    async fn request_slot_from(&mut self, target: &str) -> Option<HeldSlot> {
        self.slot_request.no_wait = self.queued_at.is_some();
        self.send_request(target);
        let timeout_at =
            (Instant::now() + RESPONSE_TIMEOUT).min(instant_at(self.slot_request.deadline_ms));
        loop {
            let Ok(Some(received)) =
                tokio::time::timeout_at(timeout_at, self.responses.recv()).await
            else {
                start_cooldown(self.kernel, target);
                return None;
            };
            let is_from_target = received.from == target;
            match received.response {
                SlotResponse::Granted(grant) => return Some(self.hold_slot(received.from, grant)),
                SlotResponse::Queued if is_from_target => {
                    self.queued_at.get_or_insert(received.from);
                    return None;
                }
                SlotResponse::Refused(refusal) if is_from_target => {
                    self.record_refusal(refusal);
                    return None;
                }
                SlotResponse::Queued => {}
                SlotResponse::Refused(refusal) => {
                    self.queued_at = None;
                    self.record_refusal(refusal);
                }
            }
        }
    }

    /// Waits until `target` grants a slot to the queued request. Each time the request is
    /// sent again, one other dispatcher is also asked for a free slot.
    async fn wait_in_queue(
        &mut self,
        target: &str,
        targets: &[String],
    ) -> Result<HeldSlot, Refusal> {
        let deadline = instant_at(self.slot_request.deadline_ms);
        let mut unanswered = 0;
        let mut resends = 0;
        while Instant::now() < deadline {
            let resend_at = (Instant::now() + RESEND_PERIOD).min(deadline);
            match tokio::time::timeout_at(resend_at, self.responses.recv()).await {
                Ok(Some(ReceivedResponse { from, response: SlotResponse::Granted(grant) })) => {
                    return Ok(self.hold_slot(from, grant));
                }
                Ok(Some(ReceivedResponse { from, response: SlotResponse::Refused(refusal) }))
                    if from == target =>
                {
                    self.queued_at = None;
                    return Err(refusal);
                }
                Ok(Some(received)) => {
                    unanswered = if received.from == target { 0 } else { unanswered }
                }
                Ok(None) => break,
                Err(_) => {
                    unanswered += 1;
                    self.slot_request.no_wait = false;
                    self.send_request(target);
                    resends += 1;
                    self.request_elsewhere(target, &targets[resends % targets.len()]);
                }
            }
            if unanswered > 2 {
                start_cooldown(self.kernel, target);
                self.queued_at = None;
                self.dispatcher_lost = true;
                return Err(no_slot_refusal());
            }
        }
        Err(Refusal::not_run(Reason::DeadlinePassed))
    }

    /// Requests a free slot from another dispatcher while the request is queued at `target`.
    fn request_elsewhere(&mut self, target: &str, other_target: &str) {
        if other_target != target {
            self.slot_request.no_wait = true;
            self.send_request(other_target);
        }
    }

    fn send_request(&self, target: &str) {
        self.kernel.deliver(target, Message::SlotRequest(Box::new(self.slot_request.clone())));
    }

    fn hold_slot(&mut self, from: String, grant: Grant) -> HeldSlot {
        if self.queued_at.as_ref() == Some(&from) {
            self.queued_at = None;
        }
        self.withdraw();
        let (model, id) = (self.slot_request.scope.model.clone(), self.slot_request.id.clone());
        let held = (from.clone(), model.clone(), id.clone());
        locked(&self.kernel.placements.held_slots).insert(held);
        HeldSlot { grant, dispatcher: from, model, id }
    }

    fn withdraw(&mut self) {
        let Some(target) = self.queued_at.take() else {
            return;
        };
        let (model, id) = (self.slot_request.scope.model.clone(), self.slot_request.id.clone());
        self.kernel.deliver(&target, Message::WithdrawSlotRequest { model, id });
    }

    /// Keeps the first refusal that tells the caller more than that there is no upstream.
    fn record_refusal(&mut self, refusal: Refusal) {
        let replaces = self.refusal.as_ref().is_none_or(|old| old.reason == Reason::NoUpstream);
        if replaces {
            self.refusal = Some(refusal);
        }
    }
}

fn no_slot_refusal() -> Refusal {
    Refusal::not_run(Reason::NoUpstream).retry_at(now_ms() + NO_SLOT_RETRY_MS)
}

/// Addresses of the dispatchers to try, in order: the home hall's, the region's others by
/// the same ranking, then those of the other regions.
fn target_dispatchers(kernel: &Kernel, slot_request: &SlotRequest) -> Vec<String> {
    let key = slot_request.prefix.root.to_string();
    let membership = kernel.membership();
    let settings = &kernel.settings;
    let mut same_region = BTreeSet::new();
    let mut other_regions = BTreeSet::new();
    for member in membership.view().members().filter(|member| member.takes_work()) {
        let halls =
            if member.region == settings.region { &mut same_region } else { &mut other_regions };
        halls.insert(member.hall.as_str());
    }
    let mut halls = ranked(&key, same_region.iter().copied(), same_region.len());
    if slot_request.prefix.is_empty() {
        // Without a cacheable prefix there is no home hall: prefer the own hall as the nearest.
        halls.sort_by_key(|hall| *hall != settings.hall);
    }
    halls.extend(other_regions.difference(&same_region));
    let cooldowns = locked(&kernel.placements.dispatcher_cooldowns);
    let now_ms = now_ms();
    let owners = halls.into_iter().filter_map(|hall| {
        let members = membership.view().available_in_hall(hall);
        let name =
            owner(&slot_request.scope.model, members.iter().map(|member| member.id.name.as_str()))?;
        let address = &membership.view().member(name)?.address;
        let is_available = cooldowns.get(address).is_none_or(|until_ms| *until_ms <= now_ms);
        is_available.then(|| address.clone())
    });
    owners.collect()
}

fn start_cooldown(kernel: &Kernel, target: &str) {
    if target == kernel.settings.advertise {
        return;
    }
    debug!(target: "placing", "Dispatcher {target} did not respond in time.");
    metrics::counter!("coursestile_asks_unanswered_total").increment(1);
    let mut cooldowns = locked(&kernel.placements.dispatcher_cooldowns);
    cooldowns.insert(target.to_owned(), now_ms() + DISPATCHER_COOLDOWN_MS);
}

fn send_report(kernel: &Arc<Kernel>, dispatcher: &str, model: &str, report: SlotReport) {
    kernel.deliver(dispatcher, Message::SlotReport { model: model.to_owned(), report });
}

/// Passes a response to the search that waits for it. A granted slot that is no longer
/// waited for is released.
fn deliver(
    kernel: &Arc<Kernel>,
    from: &str,
    model: &str,
    id: SlotRequestId,
    response: SlotResponse,
) {
    let response_sender = locked(&kernel.placements.response_senders).get(&id).cloned();
    let granted = matches!(response, SlotResponse::Granted(_));
    let received = ReceivedResponse { from: from.to_owned(), response };
    let delivered =
        response_sender.is_some_and(|response_sender| response_sender.try_send(received).is_ok());
    let held = (from.to_owned(), model.to_owned(), id.clone());
    let is_in_use = locked(&kernel.placements.held_slots).contains(&held);
    if granted && !delivered && !is_in_use {
        let run_id = String::new();
        let done = SlotReport::Done { id, run_id, generated_tokens: 0, end: SlotEnd::Unused };
        send_report(kernel, from, model, done);
    }
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    if let Message::SlotResponse { id, model, response } = envelope.message {
        deliver(kernel, &envelope.reply_to, &model, id, response);
    }
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    supervisor::spawn("placing", move || renew_held_slots(kernel.clone()));
}

async fn renew_held_slots(kernel: Arc<Kernel>) {
    let mut ticks = tokio::time::interval(RENEW_PERIOD);
    loop {
        ticks.tick().await;
        let mut by_dispatcher: BTreeMap<(String, String), Vec<SlotRequestId>> = BTreeMap::new();
        for (dispatcher, model, id) in locked(&kernel.placements.held_slots).iter() {
            let key = (dispatcher.clone(), model.clone());
            by_dispatcher.entry(key).or_default().push(id.clone());
        }
        for ((dispatcher, model), ids) in by_dispatcher {
            send_report(&kernel, &dispatcher, &model, SlotReport::Renew { ids });
        }
    }
}
