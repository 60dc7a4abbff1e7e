//! Tickets for calls that must not run twice.
//!
//! A ticket prefix names the only incarnation of a box that may spend it, the client account that
//! it was issued to and its expiry time, and carries a MAC under the cluster key. Callers append
//! their own keys to a prefix, so that a call needs no extra round trip.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Secret shared by all boxes.
pub type ClusterKey = [u8; 32];

/// Length of a MAC, in hex digits.
const MAC_HEX_DIGITS: usize = 32;

/// One run of a box's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BoxRef {
    /// Name of the box.
    pub name: String,
    /// Increases with each start of the box's process.
    pub incarnation: u64,
}

impl std::fmt::Display for BoxRef {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}#{:x}", self.name, self.incarnation)
    }
}

/// Contents of a ticket prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The only incarnation that may spend it.
    pub spender: BoxRef,
    /// When it expires, in Unix milliseconds.
    pub expires_at_ms: u64,
    /// Distinguishes the prefixes that this incarnation has issued.
    pub serial: u64,
}

/// Why an `Idempotency-Key` is refused.
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
    /// Returns the ticket prefix for `account`, with its MAC.
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

    /// Parses the ticket prefix of `idempotency_key` and verifies its MAC.
    ///
    /// # Errors
    /// Returns what is wrong with the key; the call has not run.
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
