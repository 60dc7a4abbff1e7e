//! Gives the ledgers of a box that stops to a peer.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use crate::kernel::Kernel;
use crate::ledger::Ledger;
use crate::member::{Gossip, Health, Member};
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::wire::Message;

/// Time in which an heir confirms a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a ledger is given to the same heir again.
const HANDOVER_RESEND_AFTER: Duration = Duration::from_millis(500);
/// Boxes that are asked in turn to take a ledger over.
const HANDOVER_TRIES: usize = 3;
/// How often they are: a silent socket is noticed, and dialled anew, after the first.
const HANDOVER_ROUNDS: usize = 2;
/// How often every box is told of the heir before the box stops: a message to
/// a peer may be lost, and probes reach just one box a second.
const HEIR_NEWS_TIMES: usize = 3;
/// Time after each telling.
const HEIR_NEWS_PERIOD: Duration = Duration::from_millis(400);

/// Stops spending, and gives the own ledger and those inherited to a peer.
pub async fn hand_over(kernel: &Arc<Kernel>) {
    let mut ledgers = std::mem::take(&mut *locked(&kernel.calls.inherited_ledgers));
    {
        let mut own = kernel.calls.ledger();
        own.close();
        ledgers.insert(kernel.box_id.clone(), own.handover_copy());
    }
    ledgers.retain(|_, ledger| !ledger.is_empty());
    if ledgers.is_empty() {
        return;
    }
    let heirs = heirs(kernel);
    for heir in std::iter::repeat_n(&heirs, HANDOVER_ROUNDS).flatten() {
        if give_to(kernel, heir, &ledgers).await {
            info!(target: "calls", "{} ledgers given to {}.", ledgers.len(), heir.id);
            kernel.membership().leave(Some(heir.id.clone()));
            tell_of_heir(kernel).await;
            return;
        }
    }
    warn!(target: "calls", "Nobody took the ledger: outcomes of its calls become unknown.");
}

/// Tells every box who answers for the ledger. One that learned of this box's
/// next incarnation first would never hear of it.
async fn tell_of_heir(kernel: &Arc<Kernel>) {
    for _ in 0..HEIR_NEWS_TIMES {
        let (me, others): (Member, Vec<String>) = {
            let membership = kernel.membership();
            let view = membership.view();
            let others = view.others().filter(|member| member.health != Health::Dead);
            (view.me().clone(), others.map(|member| member.address.clone()).collect())
        };
        for address in &others {
            let gossip = Gossip::Table { members: vec![me.clone()] };
            kernel.send(address, Message::Gossip(gossip));
        }
        tokio::time::sleep(HEIR_NEWS_PERIOD).await;
    }
}

/// Gives all ledgers to one heir; true when it has confirmed each.
async fn give_to(kernel: &Arc<Kernel>, heir: &Member, ledgers: &HashMap<BoxRef, Ledger>) -> bool {
    for (of, ledger) in ledgers {
        let given = give_one(kernel, heir, of, ledger);
        if tokio::time::timeout(HANDOVER_TIMEOUT, given).await.is_err() {
            return false;
        }
    }
    true
}

/// Gives a ledger to an heir until it has confirmed that. Taking it again changes
/// nothing, and its confirmation may have been lost.
async fn give_one(kernel: &Arc<Kernel>, heir: &Member, of: &BoxRef, ledger: &Ledger) {
    let mut taken = kernel.calls.handover_confirmed.subscribe();
    let expected = Some((heir.id.clone(), of.clone()));
    loop {
        let ledger = Box::new(ledger.clone());
        kernel.send(&heir.address, Message::Handover { of: of.clone(), ledger });
        let confirmed = taken.wait_for(|by| *by == expected);
        if tokio::time::timeout(HANDOVER_RESEND_AFTER, confirmed).await.is_ok() {
            return;
        }
    }
}

/// Boxes that may take the ledger: those that answer before suspects, and of each those of
/// the own hall first.
fn heirs(kernel: &Kernel) -> Vec<Member> {
    let membership = kernel.membership();
    let staying = membership.view().members().skip(1).filter(|member| member.takes_work());
    let mut heirs: Vec<_> = staying.cloned().collect();
    fastrand::shuffle(&mut heirs);
    heirs.sort_by_key(|member| (member.health, member.hall != kernel.settings.hall));
    heirs.truncate(HANDOVER_TRIES);
    heirs
}
