//! Messages between boxes.
//!
//! A message is encoded by `postcard` and authenticated with a keyed hash
//! under the cluster key; it names its sender, its receiver and when it was
//! sent. What cannot be read, is too long, is not for this box or is not
//! authentic is dropped with an error. Every message carries the sender's
//! configuration revision, so that a box that is behind learns so from the
//! first message it gets.

use serde::{Deserialize, Serialize};

use crate::ask::{SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use crate::configlog::{Entry, State};
use crate::error::{Error, Result};
use crate::ledger::{Answer, CallKey, Ledger, Outcome};
use crate::member::Gossip;
use crate::quarantine::{AnswerReport, CrashReport};
use crate::refusal::Reason;
use crate::ticket::{BoxRef, ClusterKey};
use crate::trace::TraceId;

/// Version of this encoding.
const VERSION: u8 = 1;
/// Longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Length of the keyed hash, in bytes.
const MAC_BYTES: usize = 32;

/// A call to a plain service, on its way to the box that may spend its ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Key under which it runs at most once.
    pub key: CallKey,
    /// When the ticket expires, in Unix milliseconds.
    pub ticket_expires_at_ms: u64,
    /// Service that is called.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Media type of the body, if one was given.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// When the caller gives up, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Trace that it belongs to.
    pub trace: TraceId,
}

/// How a call ended, with the reason when it was not answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallEnd {
    /// What became of it.
    pub outcome: Outcome,
    /// Why, when it was refused.
    pub reason: Reason,
    /// When to come back, in Unix milliseconds, if that is known.
    pub retry_at_ms: Option<u64>,
}

impl CallEnd {
    /// The end of a call that was answered.
    #[must_use]
    pub fn answered(answer: Answer) -> Self {
        let outcome = Outcome::Answered(answer);
        Self { outcome, reason: Reason::UpstreamFailed, retry_at_ms: None }
    }

    /// The end of a call of which no byte has left.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_at_ms: None }
    }

    /// The end of a call that may have run.
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_at_ms: None }
    }

    /// The same with a time to come back at.
    #[must_use]
    pub fn retry_at(self, retry_at_ms: u64) -> Self {
        Self { retry_at_ms: Some(retry_at_ms), ..self }
    }
}

/// What boxes say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Membership.
    Gossip(Gossip),
    /// Asks for the changes after a revision.
    PullConfig { after_revision: u64 },
    /// Changes, oldest first.
    ConfigEntries(Vec<Entry>),
    /// A whole configuration, for a box that is too far behind.
    ConfigState(Box<State>),
    /// Asks where a request may run.
    SlotRequest(Box<SlotRequest>),
    /// Answers an ask.
    SlotResponse { model: String, id: SlotRequestId, response: SlotResponse },
    /// Takes an ask back.
    WithdrawSlotRequest { model: String, id: SlotRequestId },
    /// Reports on a place.
    SlotReport { model: String, report: SlotReport },
    /// Forwards a call to the box that may spend its ticket.
    Call { number: u64, spender: BoxRef, call: Box<Call> },
    /// Answers a forwarded call.
    CallEnd { number: u64, end: CallEnd },
    /// Gives the ledger of a box that stops to its heir.
    Handover { of: BoxRef, ledger: Box<Ledger> },
    /// Confirms a handover.
    HandoverConfirmed { of: BoxRef },
    /// Tells of upstreams that crashed with the requests that they had, and of such requests
    /// that were answered since.
    CrashReport { crashes: Vec<CrashReport>, answers: Vec<AnswerReport> },
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Box that sent it.
    pub from: BoxRef,
    /// Where that box listens.
    pub reply_to: String,
    /// Peer address that it is for.
    pub to: String,
    /// When it was sent, in Unix milliseconds.
    pub sent_at_ms: u64,
    /// The sender's configuration revision.
    pub config_revision: u64,
    /// What it says.
    pub message: Message,
}

/// Encodes and authenticates an envelope.
///
/// # Errors
/// Fails when the message is too long.
pub fn encode(key: &ClusterKey, envelope: &Envelope) -> Result<Vec<u8>> {
    let bytes = postcard::to_extend(envelope, vec![VERSION]);
    let mut bytes = bytes.map_err(|error| Error::Message(error.to_string()))?;
    let mac = blake3::keyed_hash(key, &bytes);
    bytes.extend_from_slice(mac.as_bytes());
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(Error::Message(format!("{} bytes are too long", bytes.len())));
    }
    Ok(bytes)
}

/// Checks and decodes an envelope.
///
/// # Errors
/// Fails when it is too long, not authentic, of another version or malformed.
pub fn decode(key: &ClusterKey, bytes: &[u8]) -> Result<Envelope> {
    let fault = |text: &str| Error::Message(text.to_owned());
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(fault("too long"));
    }
    let split = bytes.len().checked_sub(MAC_BYTES).ok_or_else(|| fault("too short"))?;
    let (signed, mac) = bytes.split_at(split);
    let mac: [u8; MAC_BYTES] = mac.try_into().map_err(|_| fault("too short"))?;
    // The comparison of `blake3::Hash` takes constant time.
    if blake3::keyed_hash(key, signed) != blake3::Hash::from_bytes(mac) {
        return Err(fault("not authentic"));
    }
    match signed.split_first() {
        Some((&VERSION, body)) => {
            postcard::from_bytes(body).map_err(|error| Error::Message(error.to_string()))
        }
        Some((version, _)) => Err(Error::Message(format!("version {version} is not known"))),
        None => Err(fault("empty")),
    }
}
