//! Loopback networks that only one test uses at a time.
//!
//! The system may assign an ephemeral port to another process as soon as it is
//! released, so a restarted process could find its port taken. Each fleet
//! therefore has its own addresses, with fixed ports.

use std::net::TcpListener;

/// Port that is bound while a network is reserved; below the ephemeral range, so
/// that the system assigns it to no other socket.
const RESERVATION_PORT: u16 = 20_007;
/// Last octet of the address on which that port is bound.
const RESERVATION_HOST: u8 = 254;
/// Lowest second octet of reserved networks; lower ones are left for manual use.
const MIN_SECOND_OCTET: u8 = 16;
/// Networks that are tried before `reserve` fails.
const ATTEMPTS: usize = 1000;

/// A loopback network, reserved until this is dropped.
pub struct Network {
    prefix: String,
    _reservation: TcpListener,
}

impl Network {
    /// Reserves a network that no process has reserved.
    ///
    /// # Panics
    /// Panics when no free network is found.
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

    /// First three octets of its addresses, such as `127.16.0`.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }
}
