//! Fetches the rules from other entries when an entry starts during an outage of the log.
//!
//! A connection carries one request: for the rules in force if their version is above the
//! requester's. The reply is a head, followed by the text in chunks.

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
    HeadError, RulesChunk, RulesHead, RulesReply, RulesRequest, chunks,
};
use crate::ids::BootId;
use crate::rules::record::{RulesVersion, TextDigest};
use crate::rules::service::{Handle, PeerVersion, RulesState};
use crate::wire::Opener;

/// Number of entries asked concurrently.
pub const FETCH_PEERS: usize = 3;
/// Time for the log to confirm the version before other entries are asked.
pub const INITIAL_PAUSE: Duration = Duration::from_millis(300);
/// Maximum pause between two rounds of requests.
pub const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Maximum time for a complete reply of one entry.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent replies. Further requesters are disconnected and ask other entries.
pub const MAX_REPLIES: usize = 4;

/// Failure to fetch rules from an entry.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed.
    #[error(transparent)]
    Conn(#[from] ConnError),
    /// The reply's head is invalid.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The text does not have the length and digest given in the head, or is not UTF-8.
    #[error("rules text does not match its length or digest")]
    TextMismatch,
    /// The reply took longer than [`FETCH_TIMEOUT`].
    #[error("peer did not send the rules in time")]
    Timeout,
}

/// Sends the rules in force to other entries. Clones share the limit on concurrent replies.
#[derive(Clone, Debug)]
pub struct RulesServer {
    state: watch::Receiver<RulesState>,
    open: Arc<Semaphore>,
}

impl RulesServer {
    /// Creates a server for the rules in `state`.
    pub fn new(state: watch::Receiver<RulesState>) -> Self {
        RulesServer {
            state,
            open: Arc::new(Semaphore::new(MAX_REPLIES)),
        }
    }

    /// Replies to the request on a connection, or closes it if too many replies are in progress.
    pub async fn serve(&self, outbox: Outbox, mut inbox: Inbox) {
        let Ok(_open) = self.open.try_acquire() else {
            outbox.close();
            return;
        };
        let Ok(RulesRequest::RulesAbove { version }) = inbox.receive().await else {
            return;
        };
        let accepted = self.state.borrow().accepted.clone();
        match accepted.filter(|a| a.version > version) {
            Some(accepted) => send(&outbox, &accepted),
            None => outbox.send(&RulesReply::NoneAbove),
        }
        drop(outbox);
        // The requester closes the connection after the last chunk.
        let _ = inbox.receive::<RulesRequest>().await;
    }
}

fn send(outbox: &Outbox, accepted: &RulesVersion) {
    outbox.send(&RulesReply::Rules(RulesHead::from(accepted)));
    for chunk in chunks(&accepted.text) {
        outbox.send(&chunk);
    }
}

/// Requests rules from other entries while the log does not confirm the version in force.
#[derive(Clone)]
pub struct RulesFetcher {
    /// The rules service, which checks and applies fetched rules.
    pub rules: Handle,
    /// This entry's peer address.
    pub me: SocketAddr,
    /// Peer addresses of all entries.
    pub entries: Vec<SocketAddr>,
    /// Secret that all parts of the fleet share.
    pub secret: Secret,
    /// Boot id of this entry.
    pub boot: BootId,
}

impl RulesFetcher {
    /// Runs until the rules service stops.
    pub async fn run(self) {
        let mut state = self.rules.state();
        while state.wait_for(|v| !v.confirmed).await.is_ok() {
            let mut pause = INITIAL_PAUSE;
            while !self.confirmed_within(pause).await {
                self.ask_peers().await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }

    /// Returns whether the log confirms the version in force within the pause. The pause is
    /// shortened by up to half at random, so that entries do not ask at the same time.
    async fn confirmed_within(&self, pause: Duration) -> bool {
        let mut state = self.rules.state();
        let pause = pause.mul_f64(rand::random_range(0.5..1.0));
        timeout(pause, state.wait_for(|v| v.confirmed))
            .await
            .is_ok()
    }

    /// Asks a few random entries concurrently.
    async fn ask_peers(&self) {
        let mut asking: JoinSet<()> = self
            .choose_peers()
            .into_iter()
            .map(|peer| self.clone().ask(peer))
            .collect();
        while asking.join_next().await.is_some() {}
    }

    fn choose_peers(&self) -> Vec<SocketAddr> {
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

    /// Fetches rules from one entry and offers them to the rules service. Ignores failures.
    async fn ask(self, peer: SocketAddr) {
        let held = self.rules.state().borrow().accepted.clone();
        let above = held.map_or(0, |a| a.version);
        if let Ok(Some(offer)) = self.fetch(peer, above).await {
            self.rules.offer_from_peer(offer.version, offer.text);
        }
    }

    async fn fetch(&self, peer: SocketAddr, above: u64) -> Result<Option<PeerVersion>, FetchError> {
        timeout(FETCH_TIMEOUT, self.request_rules(peer, above))
            .await
            .unwrap_or(Err(FetchError::Timeout))
    }

    async fn request_rules(
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
            RulesReply::Rules(head) => receive_text(&mut inbox, head).await.map(Some),
        }
    }
}

/// Receives the chunks of a text and checks it against its head.
async fn receive_text(inbox: &mut Inbox, head: RulesHead) -> Result<PeerVersion, FetchError> {
    let (version, digest) = (head.version, head.digest);
    let size = usize::try_from(head)?;
    let mut bytes = Vec::with_capacity(size);
    while bytes.len() < size {
        let chunk: RulesChunk = inbox.receive().await?;
        if chunk.data.is_empty() || bytes.len() + chunk.data.len() > size {
            return Err(FetchError::TextMismatch);
        }
        bytes.extend_from_slice(&chunk.data);
    }
    let text = String::from_utf8(bytes).map_err(|_| FetchError::TextMismatch)?;
    if TextDigest::of(&text) != digest {
        return Err(FetchError::TextMismatch);
    }
    Ok(PeerVersion {
        version,
        text: text.into(),
    })
}

#[cfg(test)]
mod tests;
