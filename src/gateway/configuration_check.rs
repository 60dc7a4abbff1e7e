//! Confirms that the configuration of this box is the newest that operators have written.
//!
//! A box that has just started may have the configuration of a stale listing, and one that was suspended or
//! is cut off has missed changes. It serves by what it has, but accounts share no cached context unless the
//! configuration was known to be the newest within the time in which a change must be in force: a newer
//! one may isolate some of them. That time is stretched for a box that has run all the time, and which
//! neither the store nor a peer tells.
//!
//! Usually the watches of the metadata store show that often enough. Otherwise requests have the box ask
//! the store, or peers that it answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::{debug, info, warn};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::gateway::decisions::choose::Choice;
use crate::gateway::decisions::gossip_message::MetadataStoreStatus;
use crate::gateway::decisions::store_knowledge::StoreKnowledge;
use crate::gateway::follow_metadata::{ConfigurationChange, apply_configuration_read};
use crate::gateway::gossip::{Datagram, send_to};
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::metadata::Freshness;
use crate::platform::keys;
use crate::sync::locked;

/// Longest time for which a request waits for a check: many times the usual answer of the store.
const MAX_WAIT_MS: u64 = 100;
const MAX_WAIT: Duration = Duration::from_millis(MAX_WAIT_MS);
/// Time limit for a call to the metadata store.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the answers of peers: several round trips between halls.
const PEER_TIMEOUT: Duration = Duration::from_millis(100);
/// How often peers are asked in a check, since datagrams may be lost.
const PEER_ROUNDS: u32 = 2;
/// Time after which peers are asked, too, if the store has not answered.
const PEER_DELAY: Duration = Duration::from_millis(30);
/// Time before the configuration is no longer confirmed at which a check begins, in addition to what the
/// last one took: a few round trips, and for boxes that ask peers a lost datagram.
const RENEWAL_LEAD_MS: u64 = 100;
const PEER_RENEWAL_LEAD_MS: u64 = 250;
/// Pause after the first check that failed; it doubles with each further one.
const MIN_RETRY_PAUSE_MS: u64 = 250;
const MAX_RETRY_PAUSE_MS: u64 = 1000;

/// The checks of a box, one at a time for all requests.
#[derive(Debug, Default)]
pub struct ConfigurationChecks {
    progress: Mutex<Progress>,
    /// Changes whenever a check ends.
    ended: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Progress {
    /// When the check that runs has begun.
    began_at_ms: Option<u64>,
    /// Checks that have failed since the last one that succeeded.
    failures: u32,
    failed_at_ms: u64,
    /// When the next check may begin after one that failed.
    retry_at_ms: u64,
    /// Duration of the last check.
    took_ms: u64,
}

/// Asks a peer for the version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationQuery {
    /// Identifies the query among those of the sender.
    pub number: u64,
}

/// The answer to a [`ConfigurationQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationAnswer {
    /// See [`ConfigurationQuery::number`].
    pub number: u64,
    /// Time since no newer version was stored.
    pub age_ms: u32,
    pub version: u64,
}

impl ConfigurationChecks {
    /// Whether a check is to begin now, which must then be ended.
    fn begin(&self, now_ms: u64) -> bool {
        let mut progress = locked(&self.progress);
        let begins = progress.began_at_ms.is_none() && now_ms >= progress.retry_at_ms;
        if begins {
            progress.began_at_ms = Some(now_ms);
        }
        begins
    }

    /// Ends a check; returns how many had failed before it.
    fn end(&self, now_ms: u64, took_ms: u64, confirmed: bool) -> u32 {
        let mut progress = locked(&self.progress);
        let failures = progress.failures;
        let pause_ms = MIN_RETRY_PAUSE_MS << failures.min(8);
        *progress = if confirmed {
            Progress { took_ms, ..Progress::default() }
        } else {
            Progress {
                began_at_ms: None,
                failures: failures.saturating_add(1),
                failed_at_ms: now_ms,
                retry_at_ms: now_ms + pause_ms.min(MAX_RETRY_PAUSE_MS),
                took_ms,
            }
        };
        drop(progress);
        self.ended.send_replace(());
        failures
    }

    /// Has the next request wait for a check again, since the store or a peer may answer now.
    fn forget_failures(&self, now_ms: u64) {
        let mut progress = locked(&self.progress);
        if progress.failures > 0 && now_ms >= progress.failed_at_ms + MIN_RETRY_PAUSE_MS {
            (progress.failures, progress.retry_at_ms) = (0, 0);
        }
    }

    /// Whether no check has shown what is stored since the time as of which the configuration is known: one
    /// has failed, or takes longer than requests wait for it.
    fn are_unanswered(&self, knowledge: &StoreKnowledge, now_ms: u64) -> bool {
        let progress = locked(&self.progress);
        let has_failed = progress.failures > 0 && !knowledge.is_later_than(progress.failed_at_ms);
        has_failed || progress.began_at_ms.is_some_and(|at_ms| now_ms >= at_ms + MAX_WAIT_MS)
    }
}

/// Whether accounts may share context by the configuration in force: it is confirmed, or this box has run
/// since it was and cannot find out.
#[must_use]
pub fn may_share(gateway: &Gateway, state: &State, now_ms: u64) -> bool {
    let (knowledge, bounds) = (&state.configuration_knowledge, &gateway.settings.bounds);
    let cannot_find_out = knowledge.is_continuous(now_ms)
        && gateway.configuration_checks.are_unanswered(knowledge, now_ms);
    let max_age_ms = bounds.change_apply_ms + bounds.change_stretch_ms;
    is_confirmed(gateway, state, now_ms)
        || cannot_find_out && knowledge.age_ms(now_ms).is_some_and(|age_ms| age_ms <= max_age_ms)
}

/// Whether the configuration in force was known to be the newest within the time in which a change must
/// be in force.
fn is_confirmed(gateway: &Gateway, state: &State, now_ms: u64) -> bool {
    let age_ms = state.configuration_knowledge.age_ms(now_ms);
    age_ms.is_some_and(|age_ms| age_ms <= gateway.settings.bounds.change_apply_ms)
}

/// Whether a request may be sent to use the context that its `choice` names. It may not if this box was
/// suspended after the choice, or the configuration has changed.
#[must_use]
pub fn allows_context(gateway: &Gateway, account: Option<&str>, choice: &Choice) -> bool {
    let Some(plan) = &choice.context else { return true };
    let state = gateway.state();
    let Some(configuration) = &state.configuration else { return false };
    let may_share = may_share(gateway, &state, now_ms());
    configuration.allows_group(account, may_share, plan.group.as_deref())
}

/// Notes that the metadata store answers this box again, or a peer where it answered none. A box that could
/// not find out whether its configuration is the newest no longer relies on that.
pub fn note_store_answers(gateway: &Gateway) {
    gateway.configuration_checks.forget_failures(now_ms());
}

/// Has the configuration confirmed if it is not, or soon will not be. Waits for that only if it is not, not
/// for long, and not while earlier checks have failed.
pub async fn confirm(gateway: &Arc<Gateway>) {
    let checks = &gateway.configuration_checks;
    let waits = {
        let (state, now_ms) = (gateway.state(), now_ms());
        let lead_ms = match state.metadata_store_status() {
            MetadataStoreStatus::NotUsed => PEER_RENEWAL_LEAD_MS,
            MetadataStoreStatus::Available | MetadataStoreStatus::Failing => RENEWAL_LEAD_MS,
        };
        if is_confirmed(gateway, &state, now_ms + lead_ms + locked(&checks.progress).took_ms) {
            return;
        }
        !is_confirmed(gateway, &state, now_ms)
            && !checks.are_unanswered(&state.configuration_knowledge, now_ms)
    };
    begin_check(gateway, if waits { MAX_WAIT } else { Duration::ZERO }).await;
}

/// Begins a check unless one is running, and waits for its end, for `max_wait` at most.
async fn begin_check(gateway: &Arc<Gateway>, max_wait: Duration) {
    let checks = &gateway.configuration_checks;
    let mut ended = checks.ended.subscribe();
    if checks.begin(now_ms()) {
        tokio::spawn(run_check(gateway.clone()));
    }
    if !max_wait.is_zero() {
        // On a timeout the caller goes on without it.
        let _ = timeout(max_wait, ended.changed()).await;
    }
}

/// Carries out a check, and records how it ended.
async fn run_check(gateway: Arc<Gateway>) {
    let began_at_ms = now_ms();
    let status = gateway.state().metadata_store_status();
    // A check that panics has failed, and does not keep others from running.
    let confirmed = tokio::spawn(check(gateway.clone(), status)).await.unwrap_or(false);
    let took_ms = now_ms() - began_at_ms;
    let failures = gateway.configuration_checks.end(now_ms(), took_ms, confirmed);
    match (confirmed, failures) {
        (true, 0) => debug!(target: "follow", "event=configuration_confirmed took_ms={took_ms}"),
        (true, _) => {
            info!(target: "follow", "event=configuration_confirmed took_ms={took_ms} failures={failures}");
        }
        (false, 0) => {
            warn!(target: "follow", "event=configuration_not_confirmed took_ms={took_ms} store={status:?}");
        }
        (false, _) => {}
    }
}

/// Asks the metadata store, or peers; returns whether the configuration is known to be the newest.
async fn check(gateway: Arc<Gateway>, status: MetadataStoreStatus) -> bool {
    match status {
        MetadataStoreStatus::Available => tokio::select! {
            true = read_stored(&gateway) => true,
            true = ask_peers_later(&gateway) => true,
            else => false,
        },
        MetadataStoreStatus::Failing => {
            // Calls of all boxes of a large fleet would only add to its load; the watches go on.
            let reads = gateway.state().small_fleet;
            ask_peers(&gateway).await == PeerReply::Confirmed
                || reads && read_stored(&gateway).await
        }
        MetadataStoreStatus::NotUsed => match ask_peers(&gateway).await {
            PeerReply::Confirmed => true,
            // They may be of an earlier release.
            PeerReply::Missing => read_stored(&gateway).await,
            PeerReply::Newer | PeerReply::NoPeers => false,
        },
    }
}

/// Reads the configuration from the metadata store; returns whether it is known now.
async fn read_stored(gateway: &Gateway) -> bool {
    let (key, asked_at_ms) = (keys::configuration(), now_ms());
    let reading = gateway.metadata.list_page(key, None, Freshness::Latest);
    let Ok(Ok(page)) = timeout(READ_TIMEOUT, reading).await else { return false };
    let Some(item) = page.items.iter().find(|item| item.key == key) else { return false };
    let mut state = gateway.state();
    if apply_configuration_read(gateway, &mut state, &item.value) == ConfigurationChange::Unreadable
    {
        return false;
    }
    state.configuration_knowledge.record_read(asked_at_ms);
    true
}

/// What came of asking peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerReply {
    /// This box has the newest version.
    Confirmed,
    /// A peer has a newer version.
    Newer,
    Missing,
    /// The store answers no peer.
    NoPeers,
}

async fn ask_peers_later(gateway: &Gateway) -> bool {
    sleep(PEER_DELAY).await;
    ask_peers(gateway).await == PeerReply::Confirmed
}

/// Asks peers which the metadata store answers.
async fn ask_peers(gateway: &Gateway) -> PeerReply {
    let Some(socket) = gateway.peer_socket.get() else { return PeerReply::NoPeers };
    let mut reply = PeerReply::Missing;
    for _ in 0..PEER_ROUNDS {
        let asked_at_ms = now_ms();
        let targets = gateway.state().peers.next_delegates(asked_at_ms);
        if targets.is_empty() {
            return PeerReply::NoPeers;
        }
        let number = fastrand::u64(..);
        let open = gateway.configuration_queries.open(number);
        let datagram = Datagram::ConfigurationQuery(ConfigurationQuery { number });
        gateway.peer_traffic.record_sent(&datagram, targets.len());
        send_to(socket, &datagram, &targets).await;
        if let Ok(Some(answer)) = timeout(PEER_TIMEOUT, open.answer()).await {
            reply = apply_answer(gateway, asked_at_ms, answer);
            if reply == PeerReply::Confirmed {
                break;
            }
            // Time to fetch the newer version from a peer.
            sleep(PEER_TIMEOUT).await;
        }
    }
    reply
}

fn apply_answer(gateway: &Gateway, asked_at_ms: u64, answer: ConfigurationAnswer) -> PeerReply {
    let mut state = gateway.state();
    let in_force = state.configuration.as_ref().map_or(0, |configuration| configuration.version);
    if in_force < answer.version {
        state.configuration_knowledge.forget();
        gateway.catch_up_now.notify_one();
        return PeerReply::Newer;
    }
    state.configuration_knowledge.record_read(asked_at_ms.saturating_sub(answer.age_ms.into()));
    PeerReply::Confirmed
}

/// Answers a peer's query, unless this box may have missed a newer version itself. Has it confirmed first if
/// the peer could use it for a short time only.
pub async fn answer(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    from: SocketAddr,
    query: ConfigurationQuery,
) {
    let age_ms = gateway.state().configuration_knowledge.age_ms(now_ms());
    if age_ms.is_none_or(|age_ms| age_ms > gateway.settings.bounds.change_apply_ms / 2)
        && gateway.state().metadata_store_status() == MetadataStoreStatus::Available
    {
        begin_check(&gateway, PEER_TIMEOUT).await;
    }
    let answer = {
        let (state, now_ms) = (gateway.state(), now_ms());
        let age_ms = state.configuration_knowledge.age_ms(now_ms).map(u32::try_from);
        let (Some(Ok(age_ms)), Some(configuration)) = (age_ms, &state.configuration) else {
            return;
        };
        if !is_confirmed(&gateway, &state, now_ms) {
            return;
        }
        ConfigurationAnswer { number: query.number, age_ms, version: configuration.version }
    };
    let datagram = Datagram::ConfigurationAnswer(answer);
    gateway.peer_traffic.record_sent(&datagram, 1);
    send_to(&socket, &datagram, &[from]).await;
}
