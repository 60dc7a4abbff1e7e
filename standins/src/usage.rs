//! What a process holds, as the system counts it.

use std::fs::{read_dir, read_to_string};

/// State of a listening socket in the table of sockets; its queue counts connections.
const LISTENING: &str = "0A";

/// The most memory that a process has held; `None` if it has ended.
#[must_use]
pub fn peak_memory_kb(pid: u32) -> Option<u64> {
    let status = read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Number of descriptors that a process has open; 0 if it has ended.
#[must_use]
pub fn descriptors(pid: u32) -> u64 {
    read_dir(format!("/proc/{pid}/fd")).map_or(0, |entries| entries.count() as u64)
}

/// Which end of a connection an address is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The one that has received bytes.
    Local,
    /// The one that has sent them.
    Remote,
}

/// Bytes that have arrived on connections from or to an address and were not read.
///
/// # Panics
/// Panics when the address is not one of IPv4, or the table of sockets cannot be read.
#[must_use]
pub fn unread_kb(end: End, address: &str) -> u64 {
    let (host, port) = address.rsplit_once(':').expect("a port");
    let octet = |text: &str| format!("{:02X}", text.parse::<u8>().expect("an octet"));
    let host: String = host.split('.').rev().map(octet).collect();
    let address = format!("{host}:{:04X}", port.parse::<u16>().expect("a port"));
    let table = read_to_string("/proc/net/tcp").expect("the table of sockets");
    let unread = table.lines().filter_map(|line| {
        let columns: Vec<_> = line.split_whitespace().collect();
        let column = match end {
            End::Local => 1,
            End::Remote => 2,
        };
        if *columns.get(column)? != address || columns[3] == LISTENING {
            return None;
        }
        u64::from_str_radix(columns[4].split_once(':')?.1, 16).ok()
    });
    unread.sum::<u64>() / 1024
}
