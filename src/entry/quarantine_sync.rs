//! Exchanges sightings of crashes with the other entries, over the exchange's datagrams.
//!
//! What is seen here goes to all entries at once and is repeated. What an entry misses all the
//! same, because it was cut off or has just started, it finds by comparing sums with others.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::entry::quarantine::SharedQuarantine;
use crate::exchange::gossip::GossipError;
use crate::quarantine::QuarantineEvent;
use crate::units::{Clock, Micros};

/// Times that a sighting is sent again to all entries.
pub const REPEATS: u8 = 2;
/// Time between two sendings of a sighting.
pub const REPEAT_PERIOD: Micros = Micros::from_secs(1);
/// Time between two comparisons with another entry.
pub const COMPARE_PERIOD: Micros = Micros::from_secs(10);
/// Comparisons that an entry makes in its first seconds.
pub const FIRST_COMPARES: u8 = 4;
/// Time between two of the first comparisons.
pub const FIRST_PERIOD: Micros = Micros::from_ms(500);
/// Entries that each of the first comparisons asks.
pub const FIRST_PEERS: usize = 3;
/// Most sightings in a datagram.
pub const MAX_EVENTS: usize = 32;
/// Most datagrams in an answer to a comparison. Further ones follow in the next.
pub const MAX_DATAGRAMS: usize = 8;

/// What entries send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Message {
    /// Sightings that count at the sender.
    Seen(Vec<QuarantineEvent>),
    /// To be answered with [`Message::Seen`] by an entry whose sum differs.
    Compare {
        /// Sum over the sender's sightings, see [`sum`].
        sum: u64,
    },
}

/// Sightings on their way to all entries.
#[derive(Debug)]
struct Batch {
    sightings: Vec<QuarantineEvent>,
    made: Micros,
    next: Micros,
    left: u8,
}

/// A payload for the exchange, and its receiver.
pub type Payload = (SocketAddr, Vec<u8>);

/// The entry's side of the exchange of sightings.
#[derive(Debug)]
pub struct QuarantineSync {
    quarantine: SharedQuarantine,
    clock: Clock,
    peers: Vec<SocketAddr>,
    batches: Vec<Batch>,
    answers: Vec<Payload>,
    next: Micros,
    first: u8,
}

impl QuarantineSync {
    /// An exchange of what `quarantine` knows with the entries other than `me`.
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
            answers: Vec::new(),
            next: Micros::ZERO,
            first: FIRST_COMPARES,
        }
    }

    /// Waits until [`QuarantineSync::due`] may give something.
    pub async fn wait(&self) {
        let batches = self.batches.iter().map(|b| b.next);
        let next = batches.fold(self.next, Micros::min);
        let left = next - self.clock.now();
        tokio::select! {
            () = self.quarantine.changed() => {}
            () = tokio::time::sleep(left.into()) => {}
        }
    }

    /// What is to be sent now.
    pub fn due(&mut self) -> Vec<Payload> {
        let now = self.clock.now();
        let mut out = std::mem::take(&mut self.answers);
        self.collect_news(now);
        self.send_batches(now, &mut out);
        self.compare(now, &mut out);
        out
    }

    /// Takes a payload in.
    ///
    /// # Errors
    /// [`GossipError::Malformed`] when it is none of this module's.
    pub fn receive(&mut self, from: SocketAddr, payload: &[u8]) -> Result<(), GossipError> {
        match postcard::take_from_bytes(payload) {
            Ok((Message::Seen(sightings), [])) => self.quarantine.merge(&sightings),
            Ok((Message::Compare { sum }, [])) => self.answer(from, sum),
            _ => return Err(GossipError::Malformed),
        }
        Ok(())
    }

    fn collect_news(&mut self, now: Micros) {
        let sightings = self.quarantine.news();
        if !sightings.is_empty() {
            self.batches.push(Batch {
                sightings,
                made: now,
                next: now,
                left: REPEATS + 1,
            });
        }
    }

    fn send_batches(&mut self, now: Micros, out: &mut Vec<Payload>) {
        for batch in self.batches.iter_mut().filter(|b| b.next <= now) {
            batch.left -= 1;
            batch.next = now + REPEAT_PERIOD;
            let aged = batch.sightings.iter().map(|s| QuarantineEvent {
                age: s.age + (now - batch.made),
                ..*s
            });
            let payloads = encode(&aged.collect::<Vec<_>>());
            for &peer in &self.peers {
                out.extend(payloads.iter().map(|p| (peer, p.clone())));
            }
        }
        self.batches.retain(|b| b.left > 0);
    }

    fn compare(&mut self, now: Micros, out: &mut Vec<Payload>) {
        if now < self.next {
            return;
        }
        let (period, count) = match self.first {
            0 => (COMPARE_PERIOD, 1),
            _ => (FIRST_PERIOD, FIRST_PEERS),
        };
        self.first = self.first.saturating_sub(1);
        self.next = now + period;
        let sum = sum(&self.quarantine.all());
        let payload = postcard::to_stdvec(&Message::Compare { sum }).expect("a number encodes");
        let peers = self.peers.choose_multiple(&mut rand::rng(), count);
        out.extend(peers.map(|&peer| (peer, payload.clone())));
    }

    /// Tells an entry with another sum what counts here: all of it, or a random part.
    fn answer(&mut self, to: SocketAddr, theirs: u64) {
        let all = self.quarantine.all();
        if sum(&all) == theirs || self.answers.len() >= MAX_DATAGRAMS {
            return;
        }
        let limit = MAX_EVENTS * MAX_DATAGRAMS;
        let some: Vec<QuarantineEvent> = all
            .choose_multiple(&mut rand::rng(), limit)
            .copied()
            .collect();
        self.answers
            .extend(encode(&some).into_iter().map(|p| (to, p)));
    }
}

/// A sum that does not depend on order: 0 when there are no sightings.
fn sum(sightings: &[QuarantineEvent]) -> u64 {
    sightings.iter().fold(0, |sum, s| sum ^ s.id)
}

fn encode(sightings: &[QuarantineEvent]) -> Vec<Vec<u8>> {
    let parts = sightings.chunks(MAX_EVENTS);
    let messages = parts.map(|part| Message::Seen(part.to_vec()));
    messages
        .map(|m| postcard::to_stdvec(&m).expect("sightings encode"))
        .collect()
}

#[cfg(test)]
mod tests;
