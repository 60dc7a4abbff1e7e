//! Finds a place for a request, on behalf of the box that it entered.
//!
//! Each prompt has a home hall in its region, where its context gathers. The
//! owner of the model there is asked first. When the request would have to
//! wait, or nobody answers, the other halls are asked; when the own hall's
//! owner does not answer either, this box decides with what it knows. Nothing
//! waits for a hall that is cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::ask::{Grant, SlotEnd, SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use crate::clock::{instant_at, now_ms, now_us};
use crate::kernel::{Kernel, Plugin, Topic};
use crate::owner::{owner, ranked};
use crate::placement_state::ReceivedResponse;
use crate::refusal::{Reason, Refusal};
use crate::sync::locked;
use crate::trace::Hop;
use crate::wire::{Envelope, Message};

/// Time in which a dispatcher answers an ask.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a dispatcher that did not answer is passed over.
const PASSED_OVER_MS: u64 = 2000;
/// How often a waiting ask is asked again.
const ASK_AGAIN_PERIOD: Duration = Duration::from_secs(1);
/// How often places in use are renewed.
const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Verdicts that may wait to be read.
const INBOX_LEN: usize = 16;
/// Time to come back when no box can place the request.
const UNPLACED_RETRY_MS: u64 = 1000;

inventory::submit! {
    Plugin { name: "placing", start, receive: Some((Topic::Placing, receive)) }
}

/// A place that this box holds.
pub struct HeldSlot {
    /// The place.
    pub grant: Grant,
    dispatcher: String,
    model: String,
    id: SlotRequestId,
}

impl HeldSlot {
    /// Name of the ask that got this place.
    #[must_use]
    pub fn id(&self) -> &SlotRequestId {
        &self.id
    }

    /// Reports on the place to the dispatcher that gave it.
    pub fn report(&self, kernel: &Arc<Kernel>, report: SlotReport) {
        send_report(kernel, &self.dispatcher, &self.model, report);
    }

    /// Gives the place back.
    pub fn release(self, kernel: &Arc<Kernel>, request: &str, generated_tokens: u32, end: SlotEnd) {
        let (id, request) = (self.id.clone(), request.to_owned());
        self.report(kernel, SlotReport::Done { id, request, generated_tokens, end });
        let held = (self.dispatcher, self.model, self.id);
        locked(&kernel.placements.held_slots).remove(&held);
    }
}

/// One search for a place.
struct Search<'a> {
    kernel: &'a Arc<Kernel>,
    ask: SlotRequest,
    inbox: mpsc::Receiver<ReceivedResponse>,
    waits_at: Option<String>,
    refusal: Option<Refusal>,
    /// The dispatcher fell silent while the request waited there.
    lost_dispatcher: bool,
}

/// Finds a place for `ask`.
///
/// # Errors
/// Fails with a refusal; the request has not run.
pub async fn acquire_slot(kernel: &Arc<Kernel>, ask: SlotRequest) -> Result<HeldSlot, Refusal> {
    let (sender, inbox) = mpsc::channel(INBOX_LEN);
    let (id, trace) = (ask.id.clone(), ask.trace);
    locked(&kernel.placements.response_senders).insert(id.clone(), sender);
    let began_at_us = now_us();
    let mut search =
        Search { kernel, ask, inbox, waits_at: None, refusal: None, lost_dispatcher: false };
    let mut result = search.run().await;
    if std::mem::take(&mut search.lost_dispatcher) {
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
    kernel.span(trace, Hop::Ask, began_at_us, note);
    result
}

impl Search<'_> {
    async fn run(&mut self) -> Result<HeldSlot, Refusal> {
        let mut targets = targets(self.kernel, &self.ask);
        for target in targets.clone() {
            if let Some(slot) = self.ask_target(&target).await {
                return Ok(slot);
            }
        }
        let own = self.kernel.settings.advertise.clone();
        if self.waits_at.is_none() && self.refusal.is_none() && !targets.contains(&own) {
            // Nobody answered: this box decides for itself.
            if let Some(slot) = self.ask_target(&own).await {
                return Ok(slot);
            }
            targets.push(own);
        }
        match self.waits_at.clone() {
            Some(target) => self.wait(&target, &targets).await,
            None => Err(self.refusal.take().unwrap_or_else(unplaced)),
        }
    }

    /// Asks one dispatcher; once one lets the request wait, the others are
    /// asked for a free place only.
    async fn ask_target(&mut self, target: &str) -> Option<HeldSlot> {
        self.ask.no_wait = self.waits_at.is_some();
        self.send_ask(target);
        let timeout_at = (Instant::now() + ASK_TIMEOUT).min(instant_at(self.ask.deadline_ms));
        loop {
            let Ok(Some(received)) = tokio::time::timeout_at(timeout_at, self.inbox.recv()).await
            else {
                pass_over(self.kernel, target);
                return None;
            };
            let from_target = received.from == target;
            match received.response {
                SlotResponse::Granted(grant) => return Some(self.take(received.from, grant)),
                SlotResponse::Queued if from_target => {
                    self.waits_at.get_or_insert(received.from);
                    return None;
                }
                SlotResponse::Refused(refusal) if from_target => {
                    self.note(refusal);
                    return None;
                }
                SlotResponse::Queued => {}
                SlotResponse::Refused(refusal) => {
                    self.waits_at = None;
                    self.note(refusal);
                }
            }
        }
    }

    /// Waits for the turn of the request.
    async fn wait(&mut self, target: &str, targets: &[String]) -> Result<HeldSlot, Refusal> {
        let deadline = instant_at(self.ask.deadline_ms);
        let mut unheard = 0;
        let mut turn = 0;
        while Instant::now() < deadline {
            let again_at = (Instant::now() + ASK_AGAIN_PERIOD).min(deadline);
            match tokio::time::timeout_at(again_at, self.inbox.recv()).await {
                Ok(Some(ReceivedResponse { from, response: SlotResponse::Granted(grant) })) => {
                    return Ok(self.take(from, grant));
                }
                Ok(Some(ReceivedResponse { from, response: SlotResponse::Refused(refusal) }))
                    if from == target =>
                {
                    self.waits_at = None;
                    return Err(refusal);
                }
                Ok(Some(received)) => unheard = if received.from == target { 0 } else { unheard },
                Ok(None) => break,
                Err(_) => {
                    unheard += 1;
                    self.ask.no_wait = false;
                    self.send_ask(target);
                    turn += 1;
                    self.spill(target, &targets[turn % targets.len()]);
                }
            }
            if unheard > 2 {
                pass_over(self.kernel, target);
                self.waits_at = None;
                self.lost_dispatcher = true;
                return Err(unplaced());
            }
        }
        Err(Refusal::not_run(Reason::DeadlinePassed))
    }

    /// Looks for a free place elsewhere while the request waits.
    fn spill(&mut self, target: &str, other: &str) {
        if other != target {
            self.ask.no_wait = true;
            self.send_ask(other);
        }
    }

    fn send_ask(&self, target: &str) {
        self.kernel.deliver(target, Message::SlotRequest(Box::new(self.ask.clone())));
    }

    fn take(&mut self, from: String, grant: Grant) -> HeldSlot {
        if self.waits_at.as_ref() == Some(&from) {
            self.waits_at = None;
        }
        self.withdraw();
        let (model, id) = (self.ask.scope.model.clone(), self.ask.id.clone());
        let held = (from.clone(), model.clone(), id.clone());
        locked(&self.kernel.placements.held_slots).insert(held);
        HeldSlot { grant, dispatcher: from, model, id }
    }

    fn withdraw(&mut self) {
        let Some(target) = self.waits_at.take() else {
            return;
        };
        let (model, id) = (self.ask.scope.model.clone(), self.ask.id.clone());
        self.kernel.deliver(&target, Message::WithdrawSlotRequest { model, id });
    }

    /// Keeps the refusal that tells the caller most.
    fn note(&mut self, refusal: Refusal) {
        let better = self.refusal.as_ref().is_none_or(|old| old.reason == Reason::NoUpstream);
        if better {
            self.refusal = Some(refusal);
        }
    }
}

fn unplaced() -> Refusal {
    Refusal::not_run(Reason::NoUpstream).retry_at(now_ms() + UNPLACED_RETRY_MS)
}

/// Dispatchers to ask, in order: the home hall's, then the region's others by
/// the same ranking, then the other regions'.
fn targets(kernel: &Kernel, ask: &SlotRequest) -> Vec<String> {
    let key = ask.prefix.root.to_string();
    let membership = kernel.membership();
    let own = &kernel.settings;
    let mut near = BTreeSet::new();
    let mut far = BTreeSet::new();
    for member in membership.view().members().filter(|member| member.takes_work()) {
        let halls = if member.region == own.region { &mut near } else { &mut far };
        halls.insert(member.hall.as_str());
    }
    let mut halls = ranked(&key, near.iter().copied(), near.len());
    if ask.prefix.is_empty() {
        // Nothing to gather: the own hall is the nearest.
        halls.sort_by_key(|hall| *hall != own.hall);
    }
    halls.extend(far.difference(&near));
    let passed_over = locked(&kernel.placements.dispatcher_cooldowns);
    let now_ms = now_ms();
    let owners = halls.into_iter().filter_map(|hall| {
        let members = membership.view().available_in_hall(hall);
        let name = owner(&ask.scope.model, members.iter().map(|one| one.id.name.as_str()))?;
        let address = &membership.view().member(name)?.address;
        let answers = passed_over.get(address).is_none_or(|until_ms| *until_ms <= now_ms);
        answers.then(|| address.clone())
    });
    owners.collect()
}

fn pass_over(kernel: &Kernel, target: &str) {
    if target == kernel.settings.advertise {
        return;
    }
    debug!(target: "placing", "Dispatcher {target} did not answer.");
    metrics::counter!("coursestile_asks_unanswered_total").increment(1);
    let mut passed_over = locked(&kernel.placements.dispatcher_cooldowns);
    passed_over.insert(target.to_owned(), now_ms() + PASSED_OVER_MS);
}

fn send_report(kernel: &Arc<Kernel>, dispatcher: &str, model: &str, report: SlotReport) {
    kernel.deliver(dispatcher, Message::SlotReport { model: model.to_owned(), report });
}

/// Hands a verdict to the search that waits for it. A place that nobody waits
/// for any more is given back.
fn deliver(
    kernel: &Arc<Kernel>,
    from: &str,
    model: &str,
    id: SlotRequestId,
    response: SlotResponse,
) {
    let inbox = locked(&kernel.placements.response_senders).get(&id).cloned();
    let granted = matches!(response, SlotResponse::Granted(_));
    let received = ReceivedResponse { from: from.to_owned(), response };
    let taken = inbox.is_some_and(|inbox| inbox.try_send(received).is_ok());
    let held = (from.to_owned(), model.to_owned(), id.clone());
    let in_use = locked(&kernel.placements.held_slots).contains(&held);
    if granted && !taken && !in_use {
        let request = String::new();
        let done = SlotReport::Done { id, request, generated_tokens: 0, end: SlotEnd::Unused };
        send_report(kernel, from, model, done);
    }
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    if let Message::SlotResponse { id, model, response } = envelope.message {
        deliver(kernel, &envelope.reply_to, &model, id, response);
    }
}

fn start(kernel: &Arc<Kernel>) {
    tokio::spawn(renew_forever(kernel.clone()));
}

async fn renew_forever(kernel: Arc<Kernel>) {
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
