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

/// Which bytes of connections are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    /// Those that arrived at an address and were not read.
    UnreadAt,
    /// Those that arrived from an address and were not read.
    UnreadFrom,
    /// Those that were sent from an address and are not acknowledged.
    UnsentFrom,
}

/// Bytes that the system holds of connections at, or from, an address.
///
/// # Panics
/// Panics when the address is not one of IPv4, or the table of sockets cannot be read.
#[must_use]
pub fn queued_kb(queue: Queue, address: &str) -> u64 {
    let (host, port) = address.rsplit_once(':').expect("a port");
    let octet = |text: &str| format!("{:02X}", text.parse::<u8>().expect("an octet"));
    let host: String = host.split('.').rev().map(octet).collect();
    let address = format!("{host}:{:04X}", port.parse::<u16>().expect("a port"));
    let table = read_to_string("/proc/net/tcp").expect("the table of sockets");
    let queued = table.lines().filter_map(|line| {
        let columns: Vec<_> = line.split_whitespace().collect();
        let column = if queue == Queue::UnreadFrom { 2 } else { 1 };
        if *columns.get(column)? != address || columns[3] == LISTENING {
            return None;
        }
        let (unsent, unread) = columns[4].split_once(':')?;
        u64::from_str_radix(if queue == Queue::UnsentFrom { unsent } else { unread }, 16).ok()
    });
    queued.sum::<u64>() / 1024
}
