//! Records requests that crash upstreams, and shares them with the other boxes. The module
//! `gateway::crashes` does so for the gateway.
//!
//! A crash is acknowledged by the peers before the box sends the request again or answers its
//! caller, who may repeat the request at any box. A box that starts runs no requests before a peer
//! has told it which crashes are known.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::kernel::{Kernel, Plugin, Topic};
use crate::member::{Health, Member};
use crate::names::short_id;
use crate::part_key::PartKey;
use crate::quarantine::{AnswerReport, CrashReport, UpdateUrgency};
use crate::request_content::RequestContent;
use crate::supervisor;
use crate::suspect_parts::{CrashedRun, Verdict};
use crate::sync::locked;
use crate::upstream::has_ended;
use crate::wire::{Envelope, Message};

/// Number of peers to which a box forwards a crash that is new to it.
const FANOUT: usize = 4;
/// Maximum number of peers to which a box reports a crash directly; others learn of it from them.
const MAX_REPORT_PEERS: usize = 64;
/// Longest time for which a request waits for the record of a crash.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the acknowledgements of a report.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest time in which a crashed upstream restarts: crashes of an upstream in the same
/// interval of this length are counted as those of one incarnation.
const MIN_RESTART_MS: u64 = 5000;

/// Longest time for which a box that starts waits for what its peers know.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two queries to the same peers.
const QUERY_PERIOD: Duration = Duration::from_millis(100);
/// When a caller may retry whose request has a part that another box is to try.
const TRIAL_RETRY_MS: u64 = 1000;
/// Maximum number of requests whose crashes are told to a box that starts.
const MAX_TOLD_REQUESTS: usize = 1024;

inventory::submit! {
    Plugin { name: "crashes", start, receive: Some((Topic::Crashes, receive)) }
}

/// Until when a request must not run; `None` if it may.
#[must_use]
pub fn withheld_until_ms(kernel: &Kernel, content: &RequestContent) -> Option<u64> {
    let now_ms = now_ms();
    let until_ms = locked(&kernel.crashes.quarantine).until_ms(now_ms, content.fingerprint);
    until_ms.or_else(|| part_withheld_until_ms(kernel, now_ms, content))
}

/// Until when a request must not run because of the parts of its prompt. A quarantined part is tried
/// again at its owner, the same for all boxes.
fn part_withheld_until_ms(kernel: &Kernel, now_ms: u64, content: &RequestContent) -> Option<u64> {
    let verdict = {
        let parts = locked(&kernel.crashes.suspect_parts);
        parts.verdict(now_ms, content.account, &content.parts, 0)
    };
    match verdict {
        Verdict::Run | Verdict::Trial { is_quarantined: false, .. } => None,
        Verdict::Trial { part, is_quarantined: true } => {
            (!owns_part(kernel, part)).then_some(now_ms + TRIAL_RETRY_MS)
        }
        Verdict::Withheld { until_ms, .. } => Some(until_ms),
    }
}

fn owns_part(kernel: &Kernel, part: PartKey) -> bool {
    let membership = kernel.membership();
    let view = membership.view();
    let score = |member: &Member| part.hash_fraction(short_id(&member.address));
    let own = score(view.me());
    let mut others = view.others().filter(|member| member.health != Health::Dead);
    others.all(|member| score(member) < own)
}

/// Records that an upstream closed the connection before the request was answered, which was sent
/// at `sent_at_ms`. If its process has ended, this counts as a crash, and the peers have acknowledged
/// it when this returns. The time limit for both is [`RECORD_TIMEOUT`]; what is missing then follows
/// later.
pub async fn record_abort(
    kernel: &Arc<Kernel>,
    upstream: &str,
    url: &str,
    content: &RequestContent,
    sent_at_ms: u64,
) {
    let (kernel, upstream, url) = (kernel.clone(), upstream.to_owned(), url.to_owned());
    let (content, request, aborted_at_ms) = (content.clone(), content.fingerprint, now_ms());
    // In a task of its own, so that a crash is also reported if the caller disconnects.
    let recording = tokio::spawn(async move {
        if !has_ended(&url).await {
            info!(target: "crashes", "Upstream {upstream} aborted request {request} and is running.");
            return;
        }
        info!(target: "crashes", "Upstream {upstream} crashed while running request {request}.");
        let now_ms = now_ms();
        let incarnation_id = short_id(&format!("{upstream}/{}", now_ms / MIN_RESTART_MS));
        locked(&kernel.crashes.quarantine).record_crash(now_ms, request, incarnation_id, now_ms);
        let run = CrashedRun {
            request,
            account: content.account,
            parts: &content.parts,
            incarnation_id,
            sent_at_ms,
            at_ms: aborted_at_ms,
            written_ms: 0,
        };
        for part in locked(&kernel.crashes.suspect_parts).record_crash(now_ms, &run) {
            info!(target: "crashes", "Prompts with part {part} crash upstreams: quarantined.");
        }
        report_crash(&kernel, &content).await;
    });
    // The task continues after the time limit.
    let _ = timeout(RECORD_TIMEOUT, recording).await;
}

/// Records that an upstream has answered a request completely.
pub fn record_answered(kernel: &Kernel, content: &RequestContent) {
    let now_ms = now_ms();
    let clears_request =
        locked(&kernel.crashes.quarantine).record_answer(content.fingerprint, now_ms);
    let cleared = locked(&kernel.crashes.suspect_parts).record_answer(now_ms, &content.parts);
    if clears_request || !cleared.is_empty() {
        notify_peers(kernel);
    }
}

/// Reports the crashes of a request to the peers, and waits until they have acknowledged them or
/// the time limit has passed. What is to be reported meanwhile goes into one message afterwards.
async fn report_crash(kernel: &Kernel, content: &RequestContent) {
    let peers = peers_to_inform(kernel);
    let parts = locked(&kernel.crashes.suspect_parts).reports_of(now_ms(), &content.parts);
    for (peer, reports) in peers.iter().flat_map(|peer| parts.iter().map(move |part| (peer, part)))
    {
        kernel.send(peer, Message::PartReports(reports.clone()));
    }
    let Some(report) = kernel.crashes.reports.begin([content.fingerprint]).await else { return };
    let reported = locked(&kernel.crashes.quarantine).crashes_of(now_ms(), &report.subjects);
    let peers = peers_to_inform(kernel);
    let number = kernel.unique_number();
    report.expect_acknowledgements(number, peers.iter().map(String::as_str));
    for peer in &peers {
        kernel.send(peer, Message::ReportCrashes { report: number, crashes: reported.clone() });
    }
    let missing = report.wait_until_acknowledged(ACKNOWLEDGE_TIMEOUT).await;
    if !missing.is_empty() {
        warn!(target: "crashes", "Crash report not acknowledged in time by {}.", missing.join(", "));
    }
}

/// Addresses of the peers to which a caller may turn, those of the own hall first.
fn peers_to_inform(kernel: &Kernel) -> Vec<String> {
    let membership = kernel.membership();
    let view = membership.view();
    let mut peers: Vec<_> = view.others().filter(|member| member.health != Health::Dead).collect();
    fastrand::shuffle(&mut peers);
    peers.sort_by_key(|member| member.hall != view.me().hall);
    peers.truncate(MAX_REPORT_PEERS);
    peers.into_iter().map(|member| member.address.clone()).collect()
}

/// Sends recent crashes and answers to some peers.
fn notify_peers(kernel: &Kernel) {
    let message = {
        let (mut quarantine, now_ms) = (locked(&kernel.crashes.quarantine), now_ms());
        let answers = quarantine.answers_to_announce(now_ms);
        Message::CrashReport { crashes: quarantine.crashes_to_announce(now_ms), answers }
    };
    let parts = locked(&kernel.crashes.suspect_parts).reports_to_announce(now_ms());
    for address in random_peers(kernel) {
        kernel.send(&address, message.clone());
        if !parts.is_empty() {
            kernel.send(&address, Message::PartReports(parts.clone()));
        }
    }
}

fn random_peers(kernel: &Kernel) -> Vec<String> {
    let membership = kernel.membership();
    let available_peers = membership.view().members().skip(1).filter(|member| member.takes_work());
    let mut addresses: Vec<String> = available_peers.map(|member| member.address.clone()).collect();
    fastrand::shuffle(&mut addresses);
    addresses.truncate(FANOUT);
    addresses
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    match envelope.message {
        Message::CrashReport { crashes, answers } => merge_reports(kernel, &crashes, &answers),
        Message::ReportCrashes { report, crashes } => {
            merge_reports(kernel, &crashes, &[]);
            kernel.send(&envelope.reply_to, Message::CrashesConfirmed { report });
        }
        Message::PartReports(reports) => {
            let merged = locked(&kernel.crashes.suspect_parts).merge_reports(now_ms(), &reports);
            if !merged.quarantined.is_empty() || !merged.cleared.is_empty() {
                notify_peers(kernel);
            }
        }
        Message::QueryCrashes => {
            for parts in locked(&kernel.crashes.suspect_parts).limited_reports(now_ms()) {
                kernel.send(&envelope.reply_to, Message::PartReports(parts));
            }
            let crashes =
                locked(&kernel.crashes.quarantine).most_crashes(now_ms(), MAX_TOLD_REQUESTS);
            let is_informed = kernel.crashes.is_informed();
            kernel.send(&envelope.reply_to, Message::KnownCrashes { is_informed, crashes });
        }
        Message::KnownCrashes { is_informed, crashes } => {
            receive_known(kernel, &envelope.reply_to, is_informed, &crashes);
        }
        Message::CrashesConfirmed { report } => {
            kernel.crashes.reports.record_acknowledgement(report, &envelope.reply_to);
        }
        _ => {}
    }
}

/// Merges reports of a peer, and forwards what is new.
fn merge_reports(kernel: &Kernel, crashes: &[CrashReport], answers: &[AnswerReport]) {
    let urgency = locked(&kernel.crashes.quarantine).merge_reports(now_ms(), crashes, answers);
    if urgency != UpdateUrgency::None {
        notify_peers(kernel);
    }
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    supervisor::spawn_single("crashes", async move {
        if timeout(QUERY_TIMEOUT, query_peers(&kernel)).await.is_err() {
            warn!(target: "crashes", "No peer has told in time which requests crash upstreams.");
        }
        kernel.crashes.mark_informed();
    });
}

/// Asks the seeds and the known peers for the crashes that they know, until the box is informed. A
/// box without seeds has no one to ask.
async fn query_peers(kernel: &Kernel) {
    let seeds = other_seeds(kernel);
    let mut ticks = tokio::time::interval(QUERY_PERIOD);
    while !seeds.is_empty() && !kernel.crashes.is_informed() {
        ticks.tick().await;
        let mut asked = random_peers(kernel);
        asked.extend(seeds.iter().cloned());
        for peer in &asked {
            kernel.send(peer, Message::QueryCrashes);
        }
    }
}

fn other_seeds(kernel: &Kernel) -> BTreeSet<String> {
    let own = kernel.membership().view().me().address.clone();
    kernel.settings.seeds.iter().filter(|seed| **seed != own).cloned().collect()
}

/// Merges what a peer knows of crashes. A peer that has just started itself knows nothing; if none
/// of the seeds knows more, the whole fleet has just started.
fn receive_known(kernel: &Kernel, from: &str, is_informed: bool, crashes: &[CrashReport]) {
    locked(&kernel.crashes.quarantine).merge_reports(now_ms(), crashes, &[]);
    let mut uninformed = locked(&kernel.crashes.uninformed_peers);
    if !is_informed {
        uninformed.insert(from.to_owned());
    }
    if is_informed || other_seeds(kernel).is_subset(&uninformed) {
        kernel.crashes.mark_informed();
    }
}
