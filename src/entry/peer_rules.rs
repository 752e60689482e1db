//! Rules from other entries, for an entry that starts while the log is out.
//!
//! One connection asks one thing: the version in force above the one that the asker has. The
//! answer is a head, and then the text in pieces.

pub mod frames;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::auth::Secret;
use crate::conn::{self, ConnError, Inbox, Outbox};
use crate::entry::peer_rules::frames::{
    HeadError, RulesChunk, RulesHead, RulesReply, RulesRequest, pieces,
};
use crate::ids::BootId;
use crate::rules::record::{RulesVersion, TextDigest};
use crate::rules::service::{Handle, PeerVersion, RulesState};
use crate::wire::Opener;

/// Peers that are asked at a time.
pub const FETCH_PEERS: usize = 3;
/// Time that the log has to confirm the version before peers are asked.
pub const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest time between two rounds of asking.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// Longest time that one peer has for its whole answer.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// ResponseCache that an entry gives at a time; more askers are closed and ask others.
pub const MAX_ANSWERS: usize = 4;

/// Why a peer gave no rules.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed.
    #[error(transparent)]
    Conn(#[from] ConnError),
    /// The answer's head cannot be used.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The pieces are not the text that the head told of.
    #[error("the text does not match its head")]
    Text,
    /// The peer took longer than [`FETCH_TIMEOUT`].
    #[error("the peer is too slow")]
    Slow,
}

/// Tells other entries the version in force. Clones share their limit.
#[derive(Clone, Debug)]
pub struct RulesServer {
    view: watch::Receiver<RulesState>,
    open: Arc<Semaphore>,
}

impl RulesServer {
    /// An answerer that tells what the view holds.
    pub fn new(view: watch::Receiver<RulesState>) -> Self {
        RulesServer {
            view,
            open: Arc::new(Semaphore::new(MAX_ANSWERS)),
        }
    }

    /// ResponseCache one question on a connection, unless too many others are being answered.
    pub async fn answer(&self, outbox: Outbox, mut inbox: Inbox) {
        let Ok(_open) = self.open.try_acquire() else {
            outbox.close();
            return;
        };
        let Ok(RulesRequest::RulesAbove { version }) = inbox.receive().await else {
            return;
        };
        let accepted = self.view.borrow().accepted.clone();
        match accepted.filter(|a| a.version > version) {
            Some(accepted) => send(&outbox, &accepted),
            None => outbox.send(&RulesReply::NoneAbove),
        }
        drop(outbox);
        // The asker closes the connection when it has all.
        let _ = inbox.receive::<RulesRequest>().await;
    }
}

fn send(outbox: &Outbox, accepted: &RulesVersion) {
    outbox.send(&RulesReply::Rules(RulesHead::from(accepted)));
    for piece in pieces(&accepted.text) {
        outbox.send(&piece);
    }
}

/// Asks other entries while the log does not confirm the version in force.
#[derive(Clone)]
pub struct RulesFetcher {
    /// The rules service, which takes what is fetched.
    pub rules: Handle,
    /// This entry's peer address.
    pub me: SocketAddr,
    /// Peer addresses of all entries.
    pub entries: Vec<SocketAddr>,
    /// The shared key.
    pub secret: Secret,
    /// This run of the entry.
    pub boot: BootId,
}

impl RulesFetcher {
    /// Asks until the rules service is gone.
    pub async fn run(self) {
        let mut view = self.rules.state();
        while view.wait_for(|v| !v.confirmed).await.is_ok() {
            let mut pause = FIRST_PAUSE;
            while !self.confirmed_within(pause).await {
                self.ask_some().await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }

    /// Whether the log confirms the version in force within about this time.
    async fn confirmed_within(&self, pause: Duration) -> bool {
        let mut view = self.rules.state();
        let pause = pause.mul_f64(rand::random_range(0.5..1.0));
        timeout(pause, view.wait_for(|v| v.confirmed)).await.is_ok()
    }

    /// Asks a few random peers, all at a time.
    async fn ask_some(&self) {
        let mut asking: JoinSet<()> = self
            .choose()
            .into_iter()
            .map(|peer| self.clone().ask(peer))
            .collect();
        while asking.join_next().await.is_some() {}
    }

    fn choose(&self) -> Vec<SocketAddr> {
        let others: Vec<SocketAddr> = self
            .entries
            .iter()
            .copied()
            .filter(|&e| e != self.me)
            .collect();
        others
            .choose_multiple(&mut rand::rng(), FETCH_PEERS)
            .copied()
            .collect()
    }

    /// Passes on what one peer tells. A peer that fails is asked again in some later round.
    async fn ask(self, peer: SocketAddr) {
        let held = self.rules.state().borrow().accepted.clone();
        let above = held.map_or(0, |a| a.version);
        if let Ok(Some(offer)) = self.fetch(peer, above).await {
            self.rules.offer_from_peer(offer.version, offer.text);
        }
    }

    async fn fetch(&self, peer: SocketAddr, above: u64) -> Result<Option<PeerVersion>, FetchError> {
        timeout(FETCH_TIMEOUT, self.exchange(peer, above))
            .await
            .unwrap_or(Err(FetchError::Slow))
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        above: u64,
    ) -> Result<Option<PeerVersion>, FetchError> {
        let stream = TcpStream::connect(peer).await.map_err(ConnError::from)?;
        let opener = Opener::Entry { boot: self.boot };
        let (_, outbox, mut inbox) = conn::dial(stream, &self.secret, opener).await?;
        outbox.send(&RulesRequest::RulesAbove { version: above });
        match inbox.receive::<RulesReply>().await? {
            RulesReply::NoneAbove => Ok(None),
            RulesReply::Rules(head) => receive(&mut inbox, head).await.map(Some),
        }
    }
}

/// Receives the text that a head tells of.
async fn receive(inbox: &mut Inbox, head: RulesHead) -> Result<PeerVersion, FetchError> {
    let (version, digest) = (head.version, head.digest);
    let size = usize::try_from(head)?;
    let mut bytes = Vec::with_capacity(size);
    while bytes.len() < size {
        let piece: RulesChunk = inbox.receive().await?;
        if piece.data.is_empty() || bytes.len() + piece.data.len() > size {
            return Err(FetchError::Text);
        }
        bytes.extend_from_slice(&piece.data);
    }
    let text = String::from_utf8(bytes).map_err(|_| FetchError::Text)?;
    if TextDigest::of(&text) != digest {
        return Err(FetchError::Text);
    }
    Ok(PeerVersion {
        version,
        text: text.into(),
    })
}

#[cfg(test)]
mod tests;
