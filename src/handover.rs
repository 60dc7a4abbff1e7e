//! Hands the ledgers of a stopping box over to a peer, their heir.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use crate::kernel::Kernel;
use crate::ledger::Ledger;
use crate::member::{Gossip, Health, Member};
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::wire::Message;

/// Time within which an heir has to confirm a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a ledger is sent to the same heir again.
const HANDOVER_RESEND_AFTER: Duration = Duration::from_millis(500);
/// Number of peers that are tried in turn as heirs.
const MAX_HEIR_CANDIDATES: usize = 3;
/// Number of times that all of them are tried: a silent connection is detected during the
/// first round, and then reopened.
const HANDOVER_ROUNDS: usize = 2;
/// How many times the heir is announced to all boxes before the box stops: messages may be
/// lost, and probes reach only one box per second.
const HEIR_ANNOUNCEMENTS: usize = 3;
/// Delay after each announcement.
const HEIR_ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(400);

/// Closes the own ledger, and hands it and the inherited ones over to a peer. Until the box stops,
/// it still answers from them.
pub async fn hand_over(kernel: &Arc<Kernel>) {
    let mut ledgers = locked(&kernel.calls.inherited_ledgers).close();
    let own_ledger = {
        let mut own_ledger = kernel.calls.ledger();
        own_ledger.close();
        own_ledger.handover_copy()
    };
    if ledgers.is_empty() && own_ledger.is_empty() {
        return;
    }
    // The own ledger comes last, even if it is empty: the heir that has it has all of them, and
    // announces that itself, since this box may end before it has.
    ledgers.push((kernel.box_id.clone(), own_ledger));
    for _ in 0..HANDOVER_ROUNDS {
        for heir in heir_candidates(kernel) {
            if send_ledgers(kernel, &heir, &ledgers).await {
                info!(target: "calls", "Handed {} ledgers over to {}.", ledgers.len(), heir.id);
                kernel.membership().leave(Some(heir.id.clone()));
                announce_heir(kernel, &heir).await;
                return;
            }
        }
    }
    warn!(target: "calls", "Nobody took the ledger: outcomes of its calls become unknown.");
}

/// Announces the heir to all boxes. A box that first learns of this box's next incarnation
/// would no longer get the heir by gossip.
async fn announce_heir(kernel: &Arc<Kernel>, heir: &Member) {
    for _ in 0..HEIR_ANNOUNCEMENTS {
        let (me, addresses): (Member, Vec<String>) = {
            let membership = kernel.membership();
            let view = membership.view();
            (view.me().clone(), view.others().map(|member| member.address.clone()).collect())
        };
        for address in &addresses {
            let gossip = Gossip::Table { members: vec![heir.clone(), me.clone()] };
            kernel.send(address, Message::Gossip(gossip));
        }
        tokio::time::sleep(HEIR_ANNOUNCEMENT_PERIOD).await;
    }
}

/// Sends all ledgers to one heir, in order; true if it has confirmed each of them in time.
async fn send_ledgers(kernel: &Arc<Kernel>, heir: &Member, ledgers: &[(BoxRef, Ledger)]) -> bool {
    for (owner, ledger) in ledgers {
        let sent = send_ledger(kernel, heir, owner, ledger);
        if tokio::time::timeout(HANDOVER_TIMEOUT, sent).await.is_err() {
            return false;
        }
    }
    true
}

/// Sends a ledger to an heir until it confirms the handover. The ledger or the confirmation
/// may get lost; receiving a ledger twice has no effect.
async fn send_ledger(kernel: &Arc<Kernel>, heir: &Member, owner: &BoxRef, ledger: &Ledger) {
    let mut confirmations = kernel.calls.handover_confirmed.subscribe();
    let expected = Some((heir.id.clone(), owner.clone()));
    loop {
        let ledger = Box::new(ledger.clone());
        kernel.send(&heir.address, Message::Handover { of: owner.clone(), ledger });
        let confirmed = confirmations.wait_for(|confirmation| *confirmation == expected);
        if tokio::time::timeout(HANDOVER_RESEND_AFTER, confirmed).await.is_ok() {
            return;
        }
    }
}

/// Peers that can take over the ledgers, in the order to try them: those that answer probes
/// before suspects, and those before boxes that are considered dead, which may be running; boxes
/// of the own hall first within each group.
fn heir_candidates(kernel: &Kernel) -> Vec<Member> {
    let membership = kernel.membership();
    let not_leaving = membership.view().others().filter(|member| member.health != Health::Leaving);
    let mut candidates: Vec<_> = not_leaving.cloned().collect();
    fastrand::shuffle(&mut candidates);
    candidates.sort_by_key(|member| (member.health, member.hall != kernel.settings.hall));
    candidates.truncate(MAX_HEIR_CANDIDATES);
    candidates
}
