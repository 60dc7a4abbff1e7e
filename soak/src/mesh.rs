//! What boxes send each other, each direction of each pair by itself.
//!
//! Each box has a port of its own for peers, and calls the others at that port of
//! their addresses. There a proxy and a socket stand and pass on what comes; a
//! datagram comes from the address of its sender's box.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::plan::{Link, Side};
use crate::proxy::{DELAY, Proxy};

/// Longest datagram.
const DATAGRAM_BYTES: usize = 65_536;
/// Pause after a datagram that could not be read.
const FAILED_PAUSE: Duration = Duration::from_millis(5);

/// One direction between two boxes.
struct Direction {
    from: usize,
    to: usize,
    proxy: Proxy,
    datagrams: watch::Sender<Link>,
    passing: JoinHandle<()>,
}

/// All directions between boxes.
pub struct Mesh {
    directions: Vec<Direction>,
}

impl Mesh {
    /// Stands between boxes, whose addresses for peers are given.
    ///
    /// # Errors
    /// Fails when an address cannot be had.
    pub async fn start(boxes: &[&str]) -> Result<Self> {
        let parsed: std::result::Result<Vec<SocketAddr>, _> =
            boxes.iter().map(|one| one.parse()).collect();
        let boxes = parsed.map_err(Error::other)?;
        let pairs = |from| (0..boxes.len()).filter(move |to| *to != from).map(move |to| (from, to));
        let pairs: Vec<(usize, usize)> = (0..boxes.len()).flat_map(pairs).collect();
        let stands =
            |(from, to): (usize, usize)| SocketAddr::new(boxes[to].ip(), boxes[from].port());
        let mut sockets = BTreeMap::new();
        for pair in &pairs {
            sockets.insert(*pair, Arc::new(UdpSocket::bind(stands(*pair)).await?));
        }
        let mut directions = Vec::new();
        for (from, to) in pairs {
            let address = stands((from, to)).to_string();
            let proxy = Proxy::start_at(&address, &boxes[to].to_string()).await?;
            let datagrams = watch::Sender::new(Link::Sound);
            let (near, far) = (sockets[&(from, to)].clone(), sockets[&(to, from)].clone());
            let passing = tokio::spawn(pass(near, far, boxes[to], datagrams.subscribe()));
            directions.push(Direction { from, to, proxy, datagrams, passing });
        }
        Ok(Self { directions })
    }

    /// Spoils what is sent between a box and the others, or ends that.
    pub fn set(&self, one_box: usize, side: Side, link: Link) {
        for one in &self.directions {
            let from = one.from == one_box && side != Side::To;
            let to = one.to == one_box && side != Side::From;
            if from || to {
                one.set(link);
            }
        }
    }

    /// Silences the connections that are open now.
    pub fn silence(&self) {
        self.directions.iter().for_each(|one| one.proxy.silence());
    }

    /// Ends all faults but for silenced connections.
    pub fn heal(&self) {
        self.directions.iter().for_each(|one| one.set(Link::Sound));
    }
}

impl Direction {
    fn set(&self, link: Link) {
        self.proxy.set(link);
        self.datagrams.send_replace(link);
    }
}

impl Drop for Direction {
    fn drop(&mut self) {
        self.passing.abort();
    }
}

/// Passes datagrams on in one direction.
async fn pass(
    near: Arc<UdpSocket>,
    far: Arc<UdpSocket>,
    target: SocketAddr,
    link: watch::Receiver<Link>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = near.recv_from(&mut buffer).await else {
            sleep(FAILED_PAUSE).await;
            continue;
        };
        let link = *link.borrow();
        let (datagram, far) = (buffer[..length].to_vec(), far.clone());
        match link {
            // A datagram to a box that is down is lost, as on any network.
            Link::Sound => drop(far.send_to(&datagram, target).await),
            Link::Delayed => drop(tokio::spawn(async move {
                sleep(DELAY).await;
                far.send_to(&datagram, target).await
            })),
            Link::Reset | Link::OneWay | Link::Silent => {}
        }
    }
}
