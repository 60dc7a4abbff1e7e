//! Tickets for calls that may not be repeated.
//!
//! A ticket prefix names the one incarnation of one box that may spend it,
//! the client account it was given to and when it expires, sealed with the
//! cluster key. A caller makes its own keys below a prefix, so that a call
//! costs no round trip more.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// A key shared by all boxes.
pub type ClusterKey = [u8; 32];

/// Hex digits of a seal.
const MAC_HEX_DIGITS: usize = 32;

/// One run of one box's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxRef {
    /// Name of the box.
    pub name: String,
    /// Rises with each start of the box's process.
    pub incarnation: u64,
}

impl std::fmt::Display for BoxRef {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}#{:x}", self.name, self.incarnation)
    }
}

/// What a ticket prefix says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The only process that may spend it.
    pub spender: BoxRef,
    /// When it expires, in Unix milliseconds.
    pub expires_at_ms: u64,
    /// Tells apart the prefixes of one process.
    pub serial: u64,
}

/// Why an `Idempotency-Key` was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum TicketError {
    /// the key has no ticket prefix; fetch one by POST /v1/tickets
    NoPrefix,
    /// the ticket prefix is malformed
    Malformed,
    /// the ticket prefix was not given to this client account
    WrongSeal,
}

impl Ticket {
    /// The prefix to give to `account`.
    #[must_use]
    pub fn sign(&self, key: &ClusterKey, account: &str) -> String {
        let payload = self.payload();
        let mac = mac(key, account, &payload);
        format!("{payload}.{mac}")
    }

    fn payload(&self) -> String {
        let BoxRef { name, incarnation } = &self.spender;
        format!("{name}.{incarnation:x}.{:x}.{:x}", self.expires_at_ms, self.serial)
    }

    /// Reads the prefix of `idempotency_key` and checks its seal.
    ///
    /// # Errors
    /// Says what is wrong with the key; the call has not run.
    pub fn verify(
        key: &ClusterKey,
        account: &str,
        idempotency_key: &str,
    ) -> Result<Self, TicketError> {
        let (prefix, _) = idempotency_key.split_once('/').ok_or(TicketError::NoPrefix)?;
        let (payload, received_mac) = prefix.rsplit_once('.').ok_or(TicketError::Malformed)?;
        let expected_mac = mac(key, account, payload);
        if !bool::from(expected_mac.as_bytes().ct_eq(received_mac.as_bytes())) {
            return Err(TicketError::WrongSeal);
        }
        Self::parse(payload).ok_or(TicketError::Malformed)
    }

    fn parse(payload: &str) -> Option<Self> {
        let mut parts = payload.rsplitn(4, '.');
        let serial = parse_hex(parts.next()?)?;
        let expires_at_ms = parse_hex(parts.next()?)?;
        let incarnation = parse_hex(parts.next()?)?;
        let name = parts.next()?.to_owned();
        Some(Self { spender: BoxRef { name, incarnation }, expires_at_ms, serial })
    }
}

fn parse_hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

fn mac(key: &ClusterKey, account: &str, payload: &str) -> String {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(payload.as_bytes());
    hasher.finalize().to_hex()[..MAC_HEX_DIGITS].to_owned()
}
