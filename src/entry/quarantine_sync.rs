//! Synchronises quarantine events between entries, over the exchange's datagrams.
//!
//! An entry sends its own events to all other entries immediately, and resends them later. An entry
//! that missed events because of a network partition or a restart gets them by comparing checksums
//! with other entries.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::entry::quarantine::SharedQuarantine;
use crate::exchange::gossip::GossipError;
use crate::quarantine::QuarantineEvent;
use crate::units::{Clock, Micros};

/// Number of times that an event is resent to all entries.
pub const RESENDS: u8 = 2;
/// Time between two sends of an event.
pub const RESEND_PERIOD: Micros = Micros::from_secs(1);
/// Time between two checksum comparisons.
pub const COMPARE_PERIOD: Micros = Micros::from_secs(10);
/// Number of quick comparisons after a start.
pub const STARTUP_COMPARES: u8 = 4;
/// Time between two comparisons after a start.
pub const STARTUP_PERIOD: Micros = Micros::from_ms(500);
/// Number of entries asked in each comparison after a start; later comparisons ask one entry.
pub const STARTUP_PEERS: usize = 3;
/// Maximum number of events in a datagram.
pub const MAX_EVENTS: usize = 32;
/// Maximum number of datagrams in a reply to a comparison; a later comparison fetches the rest.
pub const MAX_DATAGRAMS: usize = 8;

/// A message between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Message {
    /// Events that are still active at the sender.
    Events(Vec<QuarantineEvent>),
    /// Asks for [`Message::Events`] from an entry whose checksum differs.
    Compare {
        /// Checksum of the sender's events, see [`checksum`].
        checksum: u64,
    },
}

/// Events that are being sent to all entries.
#[derive(Debug)]
struct Batch {
    events: Vec<QuarantineEvent>,
    created: Micros,
    next_send: Micros,
    sends_left: u8,
}

/// The receiver and the bytes of a datagram's payload.
pub type Payload = (SocketAddr, Vec<u8>);

/// One entry's end of the synchronisation.
#[derive(Debug)]
pub struct QuarantineSync {
    quarantine: SharedQuarantine,
    clock: Clock,
    peers: Vec<SocketAddr>,
    batches: Vec<Batch>,
    replies: Vec<Payload>,
    next_compare: Micros,
    startup_left: u8,
}

impl QuarantineSync {
    /// Synchronises `quarantine` with the entries other than `me`.
    pub fn new(
        quarantine: SharedQuarantine,
        clock: Clock,
        me: SocketAddr,
        entries: &[SocketAddr],
    ) -> Self {
        QuarantineSync {
            quarantine,
            clock,
            peers: entries.iter().copied().filter(|&e| e != me).collect(),
            batches: Vec::new(),
            replies: Vec::new(),
            next_compare: Micros::ZERO,
            startup_left: STARTUP_COMPARES,
        }
    }

    /// Waits until [`QuarantineSync::take_due`] may return payloads.
    pub async fn wait(&self) {
        let batches = self.batches.iter().map(|b| b.next_send);
        let next = batches.fold(self.next_compare, Micros::min);
        let left = next - self.clock.now();
        tokio::select! {
            () = self.quarantine.changed() => {}
            () = tokio::time::sleep(left.into()) => {}
        }
    }

    /// Returns the payloads that are due now.
    pub fn take_due(&mut self) -> Vec<Payload> {
        let now = self.clock.now();
        let mut out = std::mem::take(&mut self.replies);
        self.batch_new_events(now);
        self.send_batches(now, &mut out);
        self.push_compare(now, &mut out);
        out
    }

    /// Handles a payload from another entry.
    ///
    /// # Errors
    /// Returns [`GossipError::Malformed`] if the payload is not an encoded `Message`.
    pub fn receive(&mut self, from: SocketAddr, payload: &[u8]) -> Result<(), GossipError> {
        match postcard::take_from_bytes(payload) {
            Ok((Message::Events(events), [])) => self.quarantine.merge(&events),
            Ok((Message::Compare { checksum }, [])) => self.reply(from, checksum),
            _ => return Err(GossipError::Malformed),
        }
        Ok(())
    }

    fn batch_new_events(&mut self, now: Micros) {
        let events = self.quarantine.take_unsent();
        if !events.is_empty() {
            self.batches.push(Batch {
                events,
                created: now,
                next_send: now,
                sends_left: RESENDS + 1,
            });
        }
    }

    fn send_batches(&mut self, now: Micros, out: &mut Vec<Payload>) {
        for batch in self.batches.iter_mut().filter(|b| b.next_send <= now) {
            batch.sends_left -= 1;
            batch.next_send = now + RESEND_PERIOD;
            let aged = batch.events.iter().map(|e| QuarantineEvent {
                age: e.age + (now - batch.created),
                ..*e
            });
            let payloads = encode(&aged.collect::<Vec<_>>());
            for &peer in &self.peers {
                out.extend(payloads.iter().map(|p| (peer, p.clone())));
            }
        }
        self.batches.retain(|b| b.sends_left > 0);
    }

    fn push_compare(&mut self, now: Micros, out: &mut Vec<Payload>) {
        if now < self.next_compare {
            return;
        }
        let (period, count) = match self.startup_left {
            0 => (COMPARE_PERIOD, 1),
            _ => (STARTUP_PERIOD, STARTUP_PEERS),
        };
        self.startup_left = self.startup_left.saturating_sub(1);
        self.next_compare = now + period;
        let checksum = checksum(&self.quarantine.active_events());
        let payload =
            postcard::to_stdvec(&Message::Compare { checksum }).expect("a number encodes");
        let peers = self.peers.choose_multiple(&mut rand::rng(), count);
        out.extend(peers.map(|&peer| (peer, payload.clone())));
    }

    /// Replies to an entry whose checksum differs with the active events, or a random sample of
    /// them if there are too many.
    fn reply(&mut self, to: SocketAddr, peer_checksum: u64) {
        let all = self.quarantine.active_events();
        if checksum(&all) == peer_checksum || self.replies.len() >= MAX_DATAGRAMS {
            return;
        }
        let max = MAX_EVENTS * MAX_DATAGRAMS;
        let sample: Vec<QuarantineEvent> = all
            .choose_multiple(&mut rand::rng(), max)
            .copied()
            .collect();
        self.replies
            .extend(encode(&sample).into_iter().map(|p| (to, p)));
    }
}

/// Returns a checksum that does not depend on the order of events; 0 for no events.
fn checksum(events: &[QuarantineEvent]) -> u64 {
    events.iter().fold(0, |checksum, e| checksum ^ e.id)
}

fn encode(events: &[QuarantineEvent]) -> Vec<Vec<u8>> {
    let chunks = events.chunks(MAX_EVENTS);
    let messages = chunks.map(|part| Message::Events(part.to_vec()));
    messages
        .map(|m| postcard::to_stdvec(&m).expect("events encode"))
        .collect()
}

#[cfg(test)]
mod tests;
