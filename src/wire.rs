//! Messages between boxes.
//!
//! A message is encoded with `postcard` and authenticated with a hash keyed with the
//! cluster key. It names its sender, its receiver and the time when it was sent.
//! Messages that are malformed, too long or not authentic are rejected with an error.
//! Every message carries the sender's configuration revision, so that a box whose
//! configuration is outdated learns so from the first message that it receives.

use serde::{Deserialize, Serialize};

use crate::configlog::{ConfigEntry, ConfigState};
use crate::error::{Error, Result};
use crate::ledger::{Answer, CallKey, Ledger, Outcome};
use crate::member::Gossip;
use crate::quarantine::{AnswerReport, CrashReport};
use crate::refusal::Reason;
use crate::slot_request::{SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use crate::suspect_parts::PartReport;
use crate::ticket::{BoxRef, ClusterKey};
use crate::trace::TraceId;

/// Version of this encoding.
const VERSION: u8 = 1;
/// Maximum length of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Length of the keyed hash, in bytes.
const MAC_BYTES: usize = 32;

/// A call to a plain service, as it is forwarded to the box that may spend its ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Key under which it runs at most once.
    pub key: CallKey,
    /// When the ticket expires, in Unix milliseconds.
    pub ticket_expires_at_ms: u64,
    /// Service to call.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Media type of the body, if one was given.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
    /// The caller's deadline, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Trace that it belongs to.
    pub trace: TraceId,
}

/// Result of a call, with the reason when it was not answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallEnd {
    /// Whether it ran, and the answer if there is one.
    pub outcome: Outcome,
    /// Why it was not answered; has no meaning for an answered call.
    pub reason: Reason,
    /// When the caller may retry, in Unix milliseconds, if that is known.
    pub retry_at_ms: Option<u64>,
}

impl CallEnd {
    /// Result of a call that was answered.
    #[must_use]
    pub fn answered(answer: Answer) -> Self {
        let outcome = Outcome::Answered(answer);
        Self { outcome, reason: Reason::UpstreamFailed, retry_at_ms: None }
    }

    /// Result of a call of which no byte was sent to an upstream.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_at_ms: None }
    }

    /// Result of a call that may have run.
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_at_ms: None }
    }

    /// The same result with a time at which the caller may retry.
    #[must_use]
    pub fn retry_at(self, retry_at_ms: u64) -> Self {
        Self { retry_at_ms: Some(retry_at_ms), ..self }
    }
}

/// A message between boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Membership.
    Gossip(Gossip),
    /// Requests the configuration changes after a revision.
    PullConfig { after_revision: u64 },
    /// Configuration changes, oldest first.
    ConfigEntries(Vec<ConfigEntry>),
    /// A whole configuration, for a box that lacks changes which the sender no longer has.
    ConfigState(Box<ConfigState>),
    /// Requests a slot for a request.
    SlotRequest(Box<SlotRequest>),
    /// Answers a slot request.
    SlotResponse { model: String, id: SlotRequestId, response: SlotResponse },
    /// Withdraws a slot request.
    WithdrawSlotRequest { model: String, id: SlotRequestId },
    /// Reports on the use of a granted slot.
    SlotReport { model: String, report: SlotReport },
    /// Forwards a call to the box that may spend its ticket.
    Call { number: u64, spender: BoxRef, call: Box<Call> },
    /// Answers a forwarded call.
    CallEnd { number: u64, end: CallEnd },
    /// Hands the ledger of a stopping box over to its heir.
    Handover { of: BoxRef, ledger: Box<Ledger> },
    /// Confirms a handover.
    HandoverConfirmed { of: BoxRef },
    /// Reports upstreams that crashed, with the requests that they were running, and such
    /// requests that were answered since.
    CrashReport { crashes: Vec<CrashReport>, answers: Vec<AnswerReport> },
    /// Reports crashes that the sender has seen; to be confirmed.
    ReportCrashes { report: u64, crashes: Vec<CrashReport> },
    /// Confirms that reported crashes were recorded.
    CrashesConfirmed { report: u64 },
    /// Requests the crashes that the receiver knows.
    QueryCrashes,
    /// Answers such a query.
    KnownCrashes {
        /// Whether the sender has learned what its peers knew when it started.
        is_informed: bool,
        /// The crashes of the requests with the most of them.
        crashes: Vec<CrashReport>,
    },
    /// Reports parts of prompts under which upstreams crashed, and those that were cleared since.
    /// Messages to one peer arrive in order, so that what confirms the next report confirms it too.
    PartReports(Vec<PartReport>),
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Box that sent it.
    pub from: BoxRef,
    /// Peer address of that box.
    pub reply_to: String,
    /// Peer address of the receiver.
    pub to: String,
    /// When it was sent, in Unix milliseconds.
    pub sent_at_ms: u64,
    /// The sender's configuration revision.
    pub config_revision: u64,
    /// Content.
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
        return Err(Error::Message(format!(
            "{} bytes exceed the limit of {MAX_MESSAGE_BYTES}",
            bytes.len()
        )));
    }
    Ok(bytes)
}

/// Checks and decodes an envelope.
///
/// # Errors
/// Fails when it is too long, not authentic, of another version or malformed.
pub fn decode(key: &ClusterKey, bytes: &[u8]) -> Result<Envelope> {
    let failure = |text: &str| Error::Message(text.to_owned());
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(failure("too long"));
    }
    let split = bytes.len().checked_sub(MAC_BYTES).ok_or_else(|| failure("too short"))?;
    let (signed, mac) = bytes.split_at(split);
    let mac: [u8; MAC_BYTES] = mac.try_into().map_err(|_| failure("too short"))?;
    // The comparison of `blake3::Hash` takes constant time.
    if blake3::keyed_hash(key, signed) != blake3::Hash::from_bytes(mac) {
        return Err(failure("not authentic"));
    }
    match signed.split_first() {
        Some((&VERSION, body)) => {
            postcard::from_bytes(body).map_err(|error| Error::Message(error.to_string()))
        }
        Some((version, _)) => Err(Error::Message(format!("unknown encoding version {version}"))),
        None => Err(failure("empty")),
    }
}
