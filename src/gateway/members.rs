//! The list of box addresses, which the leader maintains in the metadata store so that boxes
//! find each other as soon as they start: the seeds in their settings may be down or start
//! later, and after a power failure every box starts without peers.
//!
//! The list only holds addresses at which a box may run; gossip shows whether one does.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::peers::Peers;
use crate::gateway::kernel::Gateway;
use crate::gateway::metadata::WriteOutcome;
use crate::platform::keys;

/// Interval at which the leader compares the list with the boxes from which it receives gossip.
/// It writes only if they differ, which is a few hundred times a day.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// Addresses of the boxes of a fleet.
pub type Members = BTreeSet<IpAddr>;

/// The list that should replace `listed`, if it has to change. Boxes from which gossip was
/// received are added; others are removed only if `all_had_time`, that is, once every running box
/// has had time to send gossip.
#[must_use]
pub fn next_list(listed: &Members, senders: &Members, all_had_time: bool) -> Option<Members> {
    let next: Members =
        if all_had_time { senders.clone() } else { listed.union(senders).copied().collect() };
    (next != *listed).then_some(next)
}

/// Maintains the list while this box is the leader.
pub async fn run(gateway: Arc<Gateway>) {
    let started_at_ms = now_ms();
    while gateway.phase() != BoxPhase::Stopped {
        sleep(COMPARE_PERIOD).await;
        let all_had_time = now_ms() >= started_at_ms + gateway.state().peers.retention_ms();
        if let Err(error) = update_list(&gateway, all_had_time).await {
            info!(target: "members", "event=members_not_written cause=\"{error}\"");
        }
    }
}

/// Writes the list if it has to change.
async fn update_list(gateway: &Gateway, all_had_time: bool) -> Result<()> {
    let key = keys::members();
    let (revision, next) = {
        let state = gateway.state();
        if state.leadership.is_none_or(|leadership| now_ms() >= leadership.until_ms) {
            return Ok(());
        }
        let item = state.view.get(&key);
        // A list that cannot be decoded, which `apply` has logged, is replaced.
        let listed = item.and_then(|item| read(&item.value).ok()).unwrap_or_default();
        let next = next_list(&listed, &state.peers.gossip_senders(), all_had_time);
        (item.map_or(0, |item| item.revision), next)
    };
    let Some(next) = next else { return Ok(()) };
    let value = postcard::to_stdvec(&next).map_err(|error| codec_error(&error))?;
    let outcome = gateway.metadata.write(&key, revision, &value, None).await?;
    info!(target: "members", "event=members_written count={} done={}", next.len(),
        matches!(outcome, WriteOutcome::Done { .. }));
    Ok(())
}

/// Learns peers from the list in the metadata store.
pub fn apply(gateway: &Gateway, peers: &mut Peers, value: &[u8]) {
    match read(value) {
        Ok(members) => {
            for address in members {
                peers.add_address(now_ms(), address);
            }
            gateway.introduce_now.notify_one();
        }
        Err(error) => warn!(target: "members", "event=members_unreadable cause=\"{error}\""),
    }
}

fn read(value: &[u8]) -> Result<Members> {
    postcard::from_bytes(value).map_err(|error| codec_error(&error))
}

fn codec_error(error: &postcard::Error) -> Error {
    Error::Message(error.to_string())
}
