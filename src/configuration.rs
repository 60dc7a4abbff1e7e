//! How the configuration comes to this box.
//!
//! A few boxes of each hall watch the head key in the platform's service;
//! the others hear of a change from them at once, and look themselves now and
//! then. A box adopts only higher revisions, and one that starts while the
//! platform is out learns the configuration from its peers.

use std::sync::Arc;
use std::time::Duration;

use log::warn;

use crate::clock::now_ms;
use crate::configlog::{Adopted, Head, State};
use crate::error::{Error, Result};
use crate::external::KeyValueStore;
use crate::kernel::{Kernel, Plugin, Topic};
use crate::owner::ranked;
use crate::wire::{Envelope, Message};

/// Key of the head.
pub const HEAD_KEY: &str = "coursestile/config/head";
/// Prefix of the keys of bases.
pub const BASE_KEY_PREFIX: &str = "coursestile/config/base/";
/// Boxes of a hall that watch the platform.
const WATCHERS_PER_HALL: usize = 2;
/// Longest time between the looks of a box that does not watch, in milliseconds:
/// less than that in which a change is promised to be in force.
const LOOK_PERIOD_MS: u64 = 12_000;
/// How often such a box looks whether it is to watch.
const LOOK_POLL: Duration = Duration::from_millis(500);
/// Boxes that hear of a change from one that has adopted it.
const FANOUT: usize = 4;
/// Wait after the platform did not answer.
const RETRY_WAIT: Duration = Duration::from_millis(250);

inventory::submit! {
    Plugin { name: "config", start, receive: Some((Topic::Config, receive)) }
}

/// Reads the head.
///
/// # Errors
/// Fails when the platform does not answer or its value cannot be read.
pub fn read_head(bytes: &[u8]) -> Result<Head> {
    if bytes.is_empty() {
        return Ok(Head::default());
    }
    read_json(HEAD_KEY, bytes)
}

/// Reads the state that a head stands for.
///
/// # Errors
/// Fails when the platform does not answer or its value cannot be read.
pub async fn read_state(platform: &impl KeyValueStore, head: &Head) -> Result<State> {
    let mut state = State::default();
    if head.base_revision > 0 {
        let key = format!("{BASE_KEY_PREFIX}{}", head.base_revision);
        state = read_json(&key, &platform.read(&key).await?.bytes)?;
    }
    for entry in &head.entries {
        state.apply(entry);
    }
    Ok(state)
}

fn read_json<T: serde::de::DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::PlatformValue(key.to_owned(), error.to_string()))
}

fn start(kernel: &Arc<Kernel>) {
    tokio::spawn(follow_platform(kernel.clone()));
}

async fn follow_platform(kernel: Arc<Kernel>) {
    let mut seen = 0;
    let mut next_look_at_ms = 0;
    loop {
        let watcher = is_watcher(&kernel);
        if !watcher && now_ms() < next_look_at_ms {
            tokio::time::sleep(LOOK_POLL).await;
            continue;
        }
        match look(&kernel, seen, watcher).await {
            Ok(index) => {
                seen = index;
                next_look_at_ms = now_ms() + fastrand::u64(LOOK_PERIOD_MS / 2..LOOK_PERIOD_MS);
            }
            Err(error) => {
                warn!(target: "config", "Head not followed: {error}.");
                seen = 0;
                next_look_at_ms = now_ms() + fastrand::u64(500..2000);
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }
}

/// Adopts the head if its index is not `seen`; one who watches waits for that.
/// Returns its index.
async fn look(kernel: &Arc<Kernel>, seen: u64, watch: bool) -> Result<u64> {
    let index = kernel.platform.watch(HEAD_KEY, if watch { seen } else { 0 }).await?;
    kernel.configuration.record_platform_answer();
    if index != seen {
        let head = kernel.platform.read(HEAD_KEY).await?;
        adopt_head(kernel, &head.bytes).await?;
    }
    // The service never answers 0, and answers one who asks with 0 at once.
    Ok(index.max(1))
}

fn is_watcher(kernel: &Kernel) -> bool {
    let membership = kernel.membership();
    let hall = membership.view().available_in_hall(&kernel.settings.hall);
    let names = hall.iter().map(|member| member.id.name.as_str());
    ranked("config watcher", names, WATCHERS_PER_HALL).contains(&kernel.box_id.name.as_str())
}

async fn adopt_head(kernel: &Arc<Kernel>, bytes: &[u8]) -> Result<()> {
    let head = read_head(bytes)?;
    let before = kernel.configuration.revision();
    if head.revision() < before {
        warn!(target: "config", "Platform shows old revision {}; kept {before}.", head.revision());
        return Ok(());
    }
    let adopted = if before >= head.base_revision {
        kernel.configuration.adopt(|log| log.adopt_entries(&head.entries))
    } else {
        let state = read_state(&kernel.platform, &head).await?;
        kernel.configuration.adopt(|log| log.adopt_state(state))
    };
    if adopted == Adopted::Newer {
        tell_peers(kernel, before);
    }
    Ok(())
}

/// Tells some boxes, mostly of the own hall, of what was adopted.
fn tell_peers(kernel: &Kernel, before: u64) {
    let message = match kernel.configuration.entries_after(before) {
        Some(entries) => Message::ConfigEntries(entries),
        None => Message::ConfigState(Box::new(kernel.configuration.state())),
    };
    let mut addresses = Vec::new();
    {
        let membership = kernel.membership();
        let own = &kernel.settings.hall;
        let others = membership.view().members().skip(1).filter(|member| member.takes_work());
        let (mut near, mut far): (Vec<_>, Vec<_>) = others.partition(|one| one.hall == *own);
        fastrand::shuffle(&mut near);
        fastrand::shuffle(&mut far);
        let chosen = near.into_iter().take(FANOUT - 1).chain(far.into_iter().take(1));
        addresses.extend(chosen.map(|member| member.address.clone()));
    }
    for address in addresses {
        kernel.send(&address, message.clone());
    }
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    let before = kernel.configuration.revision();
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
        Adopted::Newer => tell_peers(kernel, before),
        Adopted::Gap => {
            kernel.send(&envelope.reply_to, Message::PullConfig { after_revision: before });
        }
        Adopted::Known => {}
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
