//! Keeps the configuration of this box up to date.
//!
//! The platform's key-value store holds the configuration as a head with the latest
//! changes, on top of a base state. A few boxes of each hall watch the head key. They
//! push each change to other boxes, which also poll the key at a lower rate. A box
//! only adopts higher revisions. If the platform is down when a box starts, the box
//! gets the configuration from its peers.

use std::sync::Arc;
use std::time::Duration;

use log::warn;

use crate::clock::now_ms;
use crate::configlog::{AdoptOutcome, ConfigHead, ConfigState};
use crate::error::{Error, Result};
use crate::external::KeyValueStore;
use crate::kernel::{Kernel, Plugin, Topic};
use crate::owner::ranked;
use crate::supervisor;
use crate::wire::{Envelope, Message};

/// Key of the head: the latest changes and the revision of their base state.
pub const HEAD_KEY: &str = "coursestile/config/head";
/// Prefix of the keys of base states; the revision follows it.
pub const BASE_KEY_PREFIX: &str = "coursestile/config/base/";
/// Highest revision that counts: one that cannot be raised would keep all later changes out.
const MAX_REVISION: u64 = 1 << 53;
/// Number of boxes per hall that watch the head key.
const WATCHERS_PER_HALL: usize = 2;
/// Longest time between polls of a box that does not watch the head key, in milliseconds.
/// Shorter than the time within which a change is guaranteed to be in force.
const MAX_POLL_PERIOD_MS: u64 = 12_000;
/// How often a box that does not watch checks whether it should, or whether a poll is due.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Number of peers to which a box forwards a change that it has adopted.
const FANOUT: usize = 4;
/// Delay after a failed request to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(250);

inventory::submit! {
    Plugin { name: "config", start, receive: Some((Topic::Config, receive)) }
}

/// Parses the value of [`HEAD_KEY`]; a missing key is an empty head.
///
/// # Errors
/// Fails if the value is not a valid head.
pub fn parse_head(bytes: &[u8]) -> Result<ConfigHead> {
    if bytes.is_empty() {
        return Ok(ConfigHead::default());
    }
    parse_json(HEAD_KEY, bytes)
}

/// Reads the base state of a head and applies the head's changes to it.
///
/// # Errors
/// Fails if the platform does not answer, the base state cannot be parsed, or a revision is missing.
pub async fn read_state(platform: &impl KeyValueStore, head: &ConfigHead) -> Result<ConfigState> {
    let mut state = ConfigState::default();
    if head.base_revision > 0 {
        let key = format!("{BASE_KEY_PREFIX}{}", head.base_revision);
        state = parse_json(&key, &platform.read(&key).await?.bytes)?;
        if state.revision != head.base_revision || state.revision > MAX_REVISION {
            return Err(Error::PlatformValue(key, format!("its revision is {}", state.revision)));
        }
    }
    for entry in &head.entries {
        if entry.revision != state.revision + 1 {
            let text = format!("revision {} follows {}", entry.revision, state.revision);
            return Err(Error::PlatformValue(HEAD_KEY.to_owned(), text));
        }
        state.apply(entry);
    }
    Ok(state)
}

fn parse_json<T: serde::de::DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::PlatformValue(key.to_owned(), error.to_string()))
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    supervisor::spawn("config", move || follow_head(kernel.clone()));
}

async fn follow_head(kernel: Arc<Kernel>) {
    let mut seen_index = 0;
    let mut next_poll_at_ms = 0;
    loop {
        let watcher = is_watcher(&kernel);
        if !watcher && now_ms() < next_poll_at_ms {
            tokio::time::sleep(ROLE_CHECK_PERIOD).await;
            continue;
        }
        match check_head(&kernel, seen_index, watcher).await {
            Ok(index) => {
                seen_index = index;
                next_poll_at_ms =
                    now_ms() + fastrand::u64(MAX_POLL_PERIOD_MS / 2..MAX_POLL_PERIOD_MS);
            }
            Err(error) => {
                warn!(target: "config", "Head not followed: {error}.");
                seen_index = 0;
                next_poll_at_ms = now_ms() + fastrand::u64(500..2000);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Adopts the head if its index differs from `seen_index`, and returns the index.
/// With `watch`, it first waits for a change, for a time that the platform limits.
async fn check_head(kernel: &Arc<Kernel>, seen_index: u64, watch: bool) -> Result<u64> {
    let index = kernel.platform.watch(HEAD_KEY, if watch { seen_index } else { 0 }).await?;
    kernel.configuration.record_platform_answer();
    if index != seen_index {
        let head = kernel.platform.read(HEAD_KEY).await?;
        adopt_head(kernel, &head.bytes).await?;
    }
    // The platform never answers with index 0, and answers a watch from index 0 at once.
    Ok(index.max(1))
}

fn is_watcher(kernel: &Kernel) -> bool {
    let membership = kernel.membership();
    let hall = membership.view().available_in_hall(&kernel.settings.hall);
    let names = hall.iter().map(|member| member.id.name.as_str());
    ranked("config watcher", names, WATCHERS_PER_HALL).contains(&kernel.box_id.name.as_str())
}

async fn adopt_head(kernel: &Arc<Kernel>, bytes: &[u8]) -> Result<()> {
    let head = parse_head(bytes)?;
    let old_revision = kernel.configuration.revision();
    if head.revision() < old_revision {
        warn!(target: "config", "Platform shows old revision {}; kept {old_revision}.", head.revision());
        return Ok(());
    }
    let adopted = if old_revision >= head.base_revision {
        kernel.configuration.adopt(|log| log.adopt_entries(&head.entries))
    } else {
        let state = read_state(&kernel.platform, &head).await?;
        kernel.configuration.adopt(|log| log.adopt_state(state))
    };
    if adopted == AdoptOutcome::Applied {
        notify_peers(kernel, old_revision);
    }
    Ok(())
}

/// Sends the changes after `old_revision` to some peers, most of them in the own hall.
fn notify_peers(kernel: &Kernel, old_revision: u64) {
    let message = match kernel.configuration.entries_after(old_revision) {
        Some(entries) => Message::ConfigEntries(entries),
        None => Message::ConfigState(Box::new(kernel.configuration.state())),
    };
    let mut addresses = Vec::new();
    {
        let membership = kernel.membership();
        let own_hall = &kernel.settings.hall;
        let others = membership.view().members().skip(1).filter(|member| member.takes_work());
        let (mut same_hall, mut other_halls): (Vec<_>, Vec<_>) =
            others.partition(|member| member.hall == *own_hall);
        fastrand::shuffle(&mut same_hall);
        fastrand::shuffle(&mut other_halls);
        let chosen = same_hall.into_iter().take(FANOUT - 1).chain(other_halls.into_iter().take(1));
        addresses.extend(chosen.map(|member| member.address.clone()));
    }
    for address in addresses {
        kernel.send(&address, message.clone());
    }
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    let old_revision = kernel.configuration.revision();
    let adopted = match envelope.message {
        Message::PullConfig { after_revision } => {
            return answer_pull(kernel, &envelope.reply_to, after_revision);
        }
        Message::ConfigEntries(entries) => {
            kernel.configuration.adopt(|log| log.adopt_entries(&entries))
        }
        Message::ConfigState(state) => kernel.configuration.adopt(|log| log.adopt_state(*state)),
        _ => return,
    };
    match adopted {
        AdoptOutcome::Applied => notify_peers(kernel, old_revision),
        AdoptOutcome::Gap => {
            kernel.send(&envelope.reply_to, Message::PullConfig { after_revision: old_revision });
        }
        AdoptOutcome::AlreadyKnown => {}
    }
}

fn answer_pull(kernel: &Kernel, to: &str, after_revision: u64) {
    let message = match kernel.configuration.entries_after(after_revision) {
        Some(entries) if entries.is_empty() => return,
        Some(entries) => Message::ConfigEntries(entries),
        None => Message::ConfigState(Box::new(kernel.configuration.state())),
    };
    kernel.send(to, message);
}
