//! The list of boxes, kept in the metadata store by the leader, so that boxes
//! that start find each other at once: the seeds of their settings may be down
//! or late, and after a loss of power every box starts without any peer.
//!
//! The list only says where a box may be. Whether one is there shows by gossip.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::peers::{PEER_RETENTION_MS, Peers};
use crate::gateway::kernel::Gateway;
use crate::gateway::metadata::WriteOutcome;
use crate::phase::Phase;
use crate::platform::keys;

/// How often the leader compares the list with the boxes that it hears. A call is
/// made only when they differ, which is a few hundred times a day.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// Addresses of boxes.
pub type Members = BTreeSet<IpAddr>;

/// The list that takes the place of `listed`, if one should: with every box that
/// was heard, and without those that were not, once all had time to be heard.
#[must_use]
pub fn next_list(listed: &Members, heard: &Members, all_had_time: bool) -> Option<Members> {
    let next: Members =
        if all_had_time { heard.clone() } else { listed.union(heard).copied().collect() };
    (next != *listed).then_some(next)
}

/// Keeps the list, while this box is the leader.
pub async fn run(gateway: Arc<Gateway>) {
    let started_at_ms = now_ms();
    while gateway.phase() != Phase::Stopped {
        sleep(COMPARE_PERIOD).await;
        let all_had_time = now_ms() >= started_at_ms + PEER_RETENTION_MS;
        if let Err(error) = keep(&gateway, all_had_time).await {
            info!(target: "members", "event=members_not_written cause=\"{error}\"");
        }
    }
}

async fn keep(gateway: &Gateway, all_had_time: bool) -> Result<()> {
    let key = keys::members();
    let (revision, next) = {
        let state = gateway.state();
        if state.leadership.is_none_or(|leadership| now_ms() >= leadership.until_ms) {
            return Ok(());
        }
        let written = state.view.get(&key);
        // One that cannot be read, as `take` has logged, is written anew.
        let listed = written.and_then(|written| read(&written.value).ok()).unwrap_or_default();
        let next = next_list(&listed, &state.peers.heard_boxes(), all_had_time);
        (written.map_or(0, |written| written.revision), next)
    };
    let Some(next) = next else { return Ok(()) };
    let value = postcard::to_stdvec(&next).map_err(|error| unreadable(&error))?;
    let outcome = gateway.metadata.write(&key, revision, &value, None).await?;
    info!(target: "members", "event=members_written count={} done={}", next.len(),
        matches!(outcome, WriteOutcome::Done { .. }));
    Ok(())
}

/// Takes the list as the store has it.
pub fn take(gateway: &Gateway, peers: &mut Peers, value: &[u8]) {
    match read(value) {
        Ok(members) => {
            for address in members {
                peers.add_address(now_ms(), address);
            }
            gateway.gossip_now.notify_one();
        }
        Err(error) => warn!(target: "members", "event=members_unreadable cause=\"{error}\""),
    }
}

fn read(value: &[u8]) -> Result<Members> {
    postcard::from_bytes(value).map_err(|error| unreadable(&error))
}

fn unreadable(error: &postcard::Error) -> Error {
    Error::Message(error.to_string())
}
