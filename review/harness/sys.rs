//! The few system calls that the standard library does not offer.

use std::ffi::c_int;
use std::io;
use std::net::{Ipv4Addr, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_int, length: u32) -> c_int;
    fn connect(fd: c_int, address: *const SockAddrIn, length: u32) -> c_int;
}

pub const SIGKILL: c_int = 9;
pub const SIGTERM: c_int = 15;

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, number: c_int) {
    unsafe { kill(pid as c_int, number) };
}

/// Connects with the segment size of an ordinary network, which the loopback interface lacks, and a
/// receive buffer of the given size.
pub fn connect_like_remote(
    ip: Ipv4Addr,
    port: u16,
    segment: c_int,
    buffer: c_int,
) -> io::Result<TcpStream> {
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in
            [(IPPROTO_TCP, TCP_MAXSEG, segment), (SOL_SOCKET, SO_RCVBUF, buffer)]
        {
            if setsockopt(fd, level, name, &value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        let address = SockAddrIn {
            family: AF_INET as u16,
            port: port.to_be(),
            address: u32::from_ne_bytes(ip.octets()),
            zero: [0; 8],
        };
        if connect(fd, &address, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
