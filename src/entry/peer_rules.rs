//! Exchanges rules between entries, so that an entry gets new rules while the platform's rules log
//! is unavailable, also when it starts during an outage.
//!
//! An entry is a router process that accepts client requests. The rules are the operator's
//! definitions of client accounts and services. The platform is the operator's infrastructure
//! service with an append-only log.
//!
//! An entry asks other entries (peers) while its version of the rules is not confirmed, that is,
//! unless its last read reached the end of the log and showed that version to be the current one.
//! Each connection carries one request, which asks for rules newer than the requester's version. A
//! reply with rules consists of a head and of the text in chunks.

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

/// Number of peers asked concurrently.
pub const FETCH_PEERS: usize = 3;
/// Maximum delay before the first round of requests, in case the version is confirmed meanwhile.
pub const INITIAL_PAUSE: Duration = Duration::from_millis(300);
/// Maximum pause between two rounds of requests.
pub const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Maximum time for a complete reply of one peer.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent replies. Further connections are closed, and the entries that
/// opened them ask again later.
pub const MAX_REPLIES: usize = 4;

/// Failure to fetch rules from a peer.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed.
    #[error(transparent)]
    Conn(#[from] ConnError),
    /// The reply's head is invalid.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The text does not have the length and digest given in the head, or is not UTF-8.
    #[error("rules text does not match its length or digest, or is not UTF-8")]
    TextMismatch,
    /// The reply took longer than [`FETCH_TIMEOUT`].
    #[error("peer did not send the rules in time")]
    Timeout,
}

/// Sends the current rules to peers. Clones share the limit on concurrent replies.
#[derive(Clone, Debug)]
pub struct RulesServer {
    state: watch::Receiver<RulesState>,
    reply_permits: Arc<Semaphore>,
}

impl RulesServer {
    /// Creates a server for the rules in `state`.
    pub fn new(state: watch::Receiver<RulesState>) -> Self {
        RulesServer {
            state,
            reply_permits: Arc::new(Semaphore::new(MAX_REPLIES)),
        }
    }

    /// Replies to the request on a connection, or closes it if too many replies are in progress.
    pub async fn serve(&self, outbox: Outbox, mut inbox: Inbox) {
        let Ok(_permit) = self.reply_permits.try_acquire() else {
            outbox.close();
            return;
        };
        let Ok(RulesRequest::NewerThan { version }) = inbox.receive().await else {
            return;
        };
        let accepted = self.state.borrow().accepted.clone();
        match accepted.filter(|a| a.version > version) {
            Some(accepted) => send(&outbox, &accepted),
            None => outbox.send(&RulesReply::UpToDate),
        }
        drop(outbox);
        // The peer closes the connection once it has read the reply.
        let _ = inbox.receive::<RulesRequest>().await;
    }
}

fn send(outbox: &Outbox, accepted: &RulesVersion) {
    outbox.send(&RulesReply::Rules(RulesHead::from(accepted)));
    for chunk in chunks(&accepted.text) {
        outbox.send(&chunk);
    }
}

/// Requests rules from peers while the current version is not confirmed.
#[derive(Clone)]
pub struct RulesFetcher {
    /// The rules service, which checks and applies fetched rules.
    pub rules: Handle,
    /// This entry's peer address.
    pub me: SocketAddr,
    /// Peer addresses of all entries.
    pub entries: Vec<SocketAddr>,
    /// Secret shared by all processes of the fleet.
    pub secret: Secret,
    /// Identifies this process instance of the entry.
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

    /// Returns whether the current version is confirmed within the pause, or the rules service has
    /// stopped. The pause is shortened by up to half at random, so that entries do not send their
    /// requests at the same time.
    async fn confirmed_within(&self, pause: Duration) -> bool {
        let mut state = self.rules.state();
        let pause = pause.mul_f64(rand::random_range(0.5..1.0));
        timeout(pause, state.wait_for(|v| v.confirmed))
            .await
            .is_ok()
    }

    /// Asks up to [`FETCH_PEERS`] random peers concurrently.
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

    /// Fetches rules from one peer and submits them to the rules service. Ignores failures.
    async fn ask(self, peer: SocketAddr) {
        let accepted = self.rules.state().borrow().accepted.clone();
        let current = accepted.map_or(0, |a| a.version);
        if let Ok(Some(fetched)) = self.fetch(peer, current).await {
            self.rules.offer_from_peer(fetched.version, fetched.text);
        }
    }

    async fn fetch(
        &self,
        peer: SocketAddr,
        current: u64,
    ) -> Result<Option<PeerVersion>, FetchError> {
        timeout(FETCH_TIMEOUT, self.request_rules(peer, current))
            .await
            .unwrap_or(Err(FetchError::Timeout))
    }

    async fn request_rules(
        &self,
        peer: SocketAddr,
        current: u64,
    ) -> Result<Option<PeerVersion>, FetchError> {
        let stream = TcpStream::connect(peer).await.map_err(ConnError::from)?;
        let opener = Opener::Entry { boot: self.boot };
        let (_, outbox, mut inbox) = conn::dial(stream, &self.secret, opener).await?;
        outbox.send(&RulesRequest::NewerThan { version: current });
        match inbox.receive::<RulesReply>().await? {
            RulesReply::UpToDate => Ok(None),
            RulesReply::Rules(head) => receive_text(&mut inbox, head).await.map(Some),
        }
    }
}

/// Receives the chunks of a text and checks it against its head.
async fn receive_text(inbox: &mut Inbox, head: RulesHead) -> Result<PeerVersion, FetchError> {
    let (version, digest) = (head.version, head.digest);
    let text_len = usize::try_from(head)?;
    let mut bytes = Vec::with_capacity(text_len);
    while bytes.len() < text_len {
        let chunk: RulesChunk = inbox.receive().await?;
        if chunk.data.is_empty() || bytes.len() + chunk.data.len() > text_len {
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
