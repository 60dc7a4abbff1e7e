//! A TCP proxy to one address that can silence or reset its open connections
//! while new ones work, or cut the path to the address altogether.
//!
//! A silent connection stays open but carries nothing: a socket filter drops
//! arriving packets before the kernel acknowledges them, so neither data nor
//! keep-alive probes of either side are answered. The same happens when a NAT
//! device or firewall between two machines loses the state of a connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{Domain, SockFilter, SockRef, Socket, Type};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast::{Receiver, Sender, channel};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Code and operand of the BPF instruction `return 0`, which accepts no byte of a packet.
const DROP_ALL: (u16, u32) = (0x06, 0);
/// Time for which a silent connection is held open: longer than any test.
const SILENT_HOLD_TIME: Duration = Duration::from_secs(600);
/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1024;
/// Faults that are queued for a connection that has not handled them yet.
const FAULT_BACKLOG: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Silence,
    /// Silence for this time.
    Pause(Duration),
    Reset,
}

/// Whether the path through a proxy works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    #[default]
    Open,
    /// Open connections are reset, new ones refused.
    Refused,
    /// Packets of open connections and of new ones are dropped.
    Dropped,
    /// New connections are refused; open ones live on.
    NewRefused,
    /// Packets of new connections are dropped; open ones live on.
    NewDropped,
}

/// A proxy to one address.
pub struct FaultProxy {
    /// Address that clients connect to.
    pub address: String,
    target: Arc<Mutex<String>>,
    faults: Sender<Fault>,
    link: watch::Sender<Link>,
    accepted_count: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy to `target`.
    ///
    /// # Panics
    /// Panics when no port can be bound.
    #[must_use]
    pub fn start(target: &str) -> Self {
        let port = Port::reserve();
        let listener = port.listen();
        let address = port.address.to_string();
        let target = Arc::new(Mutex::new(target.to_owned()));
        let (faults, _) = channel(FAULT_BACKLOG);
        let link = watch::Sender::new(Link::Open);
        let accepted_count = Arc::new(AtomicUsize::new(0));
        let (target, shared_target) = (Arc::clone(&target), target);
        let (opened, senders, links) = (accepted_count.clone(), faults.clone(), link.subscribe());
        let accepting = tokio::spawn(accept(port, listener, target, senders, links, opened));
        Self { address, target: shared_target, faults, link, accepted_count, accepting }
    }

    /// Sets the target of new connections; open ones keep theirs.
    ///
    /// # Panics
    /// Panics when a task has panicked under the lock.
    pub fn set_target(&self, target: &str) {
        target.clone_into(&mut self.target.lock().expect("target"));
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_open_connections(&self) {
        // `send` fails when no connection is open.
        let _ = self.faults.send(Fault::Silence);
    }

    /// Silences all open connections for a while; new ones work.
    pub fn pause_open_connections(&self, time: Duration) {
        let _ = self.faults.send(Fault::Pause(time));
    }

    /// Resets all open connections; new ones work.
    pub fn reset_open_connections(&self) {
        let _ = self.faults.send(Fault::Reset);
    }

    /// Sets whether the path works.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
        match link {
            Link::Refused => self.reset_open_connections(),
            Link::Dropped => self.silence_open_connections(),
            Link::Open | Link::NewRefused | Link::NewDropped => {}
        }
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn accepted_count(&self) -> usize {
        self.accepted_count.load(Ordering::Relaxed)
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// A port that no other socket gets while nothing listens on it: connections to it are refused until it
/// is listened on, and never reach another listener.
struct Port {
    holder: Socket,
    address: SocketAddr,
}

impl Port {
    fn reserve() -> Self {
        let holder = bound_socket(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = holder.local_addr().expect("address").as_socket().expect("an IP address");
        holder.set_reuse_address(false).expect("socket option");
        Self { holder, address }
    }

    fn listen(&self) -> TcpListener {
        // Two sockets can be bound to a port while both allow it and neither listens.
        self.holder.set_reuse_address(true).expect("socket option");
        let listener = bound_socket(self.address);
        listener.listen(BACKLOG).expect("a listening socket");
        self.holder.set_reuse_address(false).expect("socket option");
        listener.set_nonblocking(true).expect("socket option");
        TcpListener::from_std(listener.into()).expect("a listening socket")
    }
}

fn bound_socket(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("socket option");
    socket.bind(&address.into()).expect("address");
    socket
}

async fn accept(
    port: Port,
    mut listener: TcpListener,
    target: Arc<Mutex<String>>,
    faults: Sender<Fault>,
    mut links: watch::Receiver<Link>,
    accepted_count: Arc<AtomicUsize>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = links.changed() => {
                if changed.is_err() {
                    return;
                }
                listener = follow_link(listener, &port, &mut links).await;
                continue;
            }
        };
        let Ok((near, _)) = accepted else { return };
        accepted_count.fetch_add(1, Ordering::Relaxed);
        let target = target.lock().expect("target").clone();
        tokio::spawn(relay(near, target, faults.subscribe()));
    }
}

/// Returns the listener once the link lets new connections through.
async fn follow_link(
    listener: TcpListener,
    port: &Port,
    links: &mut watch::Receiver<Link>,
) -> TcpListener {
    let link = *links.borrow_and_update();
    let listener = match link {
        Link::Open => return listener,
        Link::Dropped | Link::NewDropped => {
            SockRef::from(&listener).attach_filter(&drop_all()).expect("socket filter");
            Some(listener)
        }
        Link::Refused | Link::NewRefused => {
            drop(listener);
            None
        }
    };
    // Fails when the proxy is dropped, which ends this task.
    let _ = links.wait_for(|link| *link == Link::Open).await;
    match listener {
        Some(listener) => {
            SockRef::from(&listener).detach_filter().expect("socket filter");
            listener
        }
        None => port.listen(),
    }
}

async fn relay(mut near: TcpStream, target: String, mut faults: Receiver<Fault>) {
    let Ok(mut far) = TcpStream::connect(&target).await else {
        return;
    };
    // Without TCP_NODELAY the proxy would delay small messages.
    let nodelay = near.set_nodelay(true).and(far.set_nodelay(true));
    nodelay.expect("socket option");
    loop {
        let fault = tokio::select! {
            _ = copy_bidirectional(&mut near, &mut far) => return,
            fault = faults.recv() => fault,
        };
        match fault {
            Ok(Fault::Silence) => {
                drop_incoming(&near);
                drop_incoming(&far);
                return tokio::time::sleep(SILENT_HOLD_TIME).await;
            }
            Ok(Fault::Pause(time)) => {
                drop_incoming(&near);
                drop_incoming(&far);
                tokio::time::sleep(time).await;
                for stream in [&near, &far] {
                    SockRef::from(stream).detach_filter().expect("socket filter");
                }
            }
            Ok(Fault::Reset) => {
                reset_on_drop(&near);
                reset_on_drop(&far);
                return;
            }
            // The proxy was dropped.
            Err(_) => return,
        }
    }
}

/// A socket filter that drops all packets.
fn drop_all() -> [SockFilter; 1] {
    let (code, accepted_bytes) = DROP_ALL;
    [SockFilter::new(code, 0, 0, accepted_bytes)]
}

/// Has the kernel drop all packets that arrive on a connection.
fn drop_incoming(stream: &TcpStream) {
    SockRef::from(stream).attach_filter(&drop_all()).expect("socket filter");
}

/// Has the kernel reset a connection when its socket is dropped.
fn reset_on_drop(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("socket option");
}
