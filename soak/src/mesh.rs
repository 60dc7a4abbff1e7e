//! Proxies for the traffic between boxes, separately for each direction of each pair.
//!
//! Each box has its own port for peers, and connects to other boxes at their address and its own
//! port. A TCP proxy and a UDP socket are bound there and forward the traffic. Forwarded
//! datagrams are sent from the address of the sending box.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::plan::{LinkState, PeerDirection};
use crate::proxy::{LINK_DELAY, Proxy};

/// Size of the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Traffic from one box to another.
struct PeerLink {
    from: usize,
    to: usize,
    proxy: Proxy,
    datagram_link: watch::Sender<LinkState>,
    forwarder: JoinHandle<()>,
}

/// All links between boxes.
pub struct Mesh {
    links: Vec<PeerLink>,
}

impl Mesh {
    /// Binds a proxy and a socket for each ordered pair of boxes, given the addresses of the
    /// boxes for peers.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be parsed or bound.
    pub async fn start(boxes: &[&str]) -> Result<Self> {
        let parsed: std::result::Result<Vec<SocketAddr>, _> =
            boxes.iter().map(|address| address.parse()).collect();
        let boxes = parsed.map_err(Error::other)?;
        let pairs = |from| (0..boxes.len()).filter(move |to| *to != from).map(move |to| (from, to));
        let pairs: Vec<(usize, usize)> = (0..boxes.len()).flat_map(pairs).collect();
        let listen_address =
            |(from, to): (usize, usize)| SocketAddr::new(boxes[to].ip(), boxes[from].port());
        let mut sockets = BTreeMap::new();
        for pair in &pairs {
            sockets.insert(*pair, Arc::new(UdpSocket::bind(listen_address(*pair)).await?));
        }
        let mut links = Vec::new();
        for (from, to) in pairs {
            let address = listen_address((from, to)).to_string();
            let proxy = Proxy::start_at(&address, &boxes[to].to_string()).await?;
            let datagram_link = watch::Sender::new(LinkState::Sound);
            let (receiver, sender) = (sockets[&(from, to)].clone(), sockets[&(to, from)].clone());
            let forwarder = tokio::spawn(forward_datagrams(
                receiver,
                sender,
                boxes[to],
                datagram_link.subscribe(),
            ));
            links.push(PeerLink { from, to, proxy, datagram_link, forwarder });
        }
        Ok(Self { links })
    }

    /// Sets the state of the links between a box and all others.
    pub fn set(&self, box_number: usize, side: PeerDirection, link: LinkState) {
        for peer_link in &self.links {
            let from = peer_link.from == box_number && side != PeerDirection::To;
            let to = peer_link.to == box_number && side != PeerDirection::From;
            if from || to {
                peer_link.set(link);
            }
        }
    }

    /// Sets the state of the links between `group` and all other boxes; those within it stay as they are.
    pub fn separate(&self, group: &[usize], side: PeerDirection, link: LinkState) {
        for peer_link in &self.links {
            let (from, to) = (group.contains(&peer_link.from), group.contains(&peer_link.to));
            let is_affected = match side {
                PeerDirection::From => from && !to,
                PeerDirection::To => to && !from,
                PeerDirection::Both => from != to,
            };
            if is_affected {
                peer_link.set(link);
            }
        }
    }

    /// Silences the connections that are open now, for good.
    pub fn silence(&self) {
        self.links.iter().for_each(|peer_link| peer_link.proxy.silence());
    }

    /// Ends all faults except for silenced connections.
    pub fn end_faults(&self) {
        self.links.iter().for_each(|peer_link| peer_link.set(LinkState::Sound));
    }
}

impl PeerLink {
    fn set(&self, link: LinkState) {
        self.proxy.set(link);
        self.datagram_link.send_replace(link);
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.forwarder.abort();
    }
}

/// Forwards datagrams in one direction.
async fn forward_datagrams(
    receiver: Arc<UdpSocket>,
    sender: Arc<UdpSocket>,
    target: SocketAddr,
    link: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = receiver.recv_from(&mut buffer).await else {
            sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        let link = *link.borrow();
        let (datagram, sender) = (buffer[..length].to_vec(), sender.clone());
        match link {
            // Datagrams to a box that is down are lost, as on any network.
            LinkState::Sound => drop(sender.send_to(&datagram, target).await),
            LinkState::Delayed => drop(tokio::spawn(async move {
                sleep(LINK_DELAY).await;
                sender.send_to(&datagram, target).await
            })),
            LinkState::Reset | LinkState::OneWay | LinkState::Silent => {}
        }
    }
}
