//! Loopback networks that no other test has at the same time.
//!
//! A port that the system hands out and takes back may be handed out again at
//! once. So each fleet gets addresses of its own, and fixed ports on them.

use std::net::TcpListener;

/// Port that is bound for as long as a network is taken; below the ports that
/// the system hands out by itself.
const RESERVATION_PORT: u16 = 20_007;
/// Host number on which that port is bound.
const RESERVATION_HOST: u8 = 254;
/// First of the second bytes that are used; lower ones are left to people.
const MIN_SECOND_OCTET: u8 = 16;
/// Networks that are tried before giving up.
const ATTEMPTS: usize = 1000;

/// A loopback network, taken until this is dropped.
pub struct Network {
    prefix: String,
    _reservation: TcpListener,
}

impl Network {
    /// Takes a network that nobody has.
    ///
    /// # Panics
    /// Panics when none can be had.
    #[must_use]
    pub fn reserve() -> Self {
        for _ in 0..ATTEMPTS {
            let prefix = format!("127.{}.{}", fastrand::u8(MIN_SECOND_OCTET..), fastrand::u8(..));
            let address = format!("{prefix}.{RESERVATION_HOST}:{RESERVATION_PORT}");
            if let Ok(reservation) = TcpListener::bind(address) {
                return Self { prefix, _reservation: reservation };
            }
        }
        panic!("no loopback network is free");
    }

    /// Its first three bytes.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }
}
