//! Payloads of the exchange's datagrams, encoded with `postcard`.
//!
//! Lists are sorted by index and delta-encoded, so that most fields take one or two bytes.

use serde::{Deserialize, Serialize};

use super::numbering::ShareIndex;
use crate::share::Demand;

/// Unit of charges and levels on the wire, in microseconds of slot time.
pub const QUANTUM_US: i64 = 16_384;

/// Payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gossip {
    /// Charges, sent towards the root.
    Charges(ChargeBatch),
    /// Levels, sent away from the root.
    Levels(LevelMessage),
    /// Liveness check. The receiver answers with the same message with `reply` set.
    Ping {
        /// Whether this is the reply.
        reply: bool,
    },
    /// Payload of another module, which the exchange does not interpret.
    Opaque(Vec<u8>),
}

/// A numbered batch of charges and demand changes in the sender's subtree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeBatch {
    /// Digest of the numbering that the rows use.
    pub numbering: u32,
    /// Incremented whenever the sender changes its parent or its parent restarts.
    pub epoch: u32,
    /// Sequence number of the oldest unacknowledged batch.
    pub oldest: u32,
    /// Sequence number of this batch; 0 when the datagram carries no batch and is a heartbeat.
    pub seq: u32,
    /// Shortest round period in milliseconds that keeps the sender's subtree within its byte rate.
    pub period: u16,
    /// Whether more datagrams of this round follow.
    pub more: bool,
    /// The charges.
    pub rows: Vec<ChargeRow>,
}

/// Charge and demand of one account at one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRow {
    /// Delta to the previous row's flat index (see [`flatten`]) times four, plus the demand.
    pub packed: u64,
    /// Charge in units of [`QUANTUM_US`].
    pub charge: i64,
}

/// Service levels as known to the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelMessage {
    /// Digest of the numbering that the rows use.
    pub numbering: u32,
    /// The receiver's epoch, in which `acked` counts.
    pub epoch: u32,
    /// Sequence number of the receiver's newest batch that these levels include.
    pub acked: u32,
    /// The sender's round number.
    pub round: u32,
    /// The sender's round period, in milliseconds.
    pub period: u16,
    /// Whether more datagrams of this round follow.
    pub more: bool,
    /// Whether the sender has just started and knows no levels.
    pub cold: bool,
    /// The levels, grouped by service.
    pub sections: Vec<ServiceLevels>,
}

/// Levels of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLevels {
    /// Index of the service.
    pub service: u16,
    /// Lowest level of the section in units of [`QUANTUM_US`].
    pub base: u64,
    /// The levels.
    pub rows: Vec<LevelRow>,
}

/// Level and demand of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelRow {
    /// Delta to the previous row's account index times four, plus the demand.
    pub packed: u64,
    /// Level minus the section's base, in units of [`QUANTUM_US`].
    pub offset: u64,
}

/// Reason why a payload was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GossipError {
    /// The bytes are not an encoded [`Gossip`].
    #[error("payload could not be decoded")]
    Malformed,
}

/// Encodes a payload.
pub fn encode(gossip: &Gossip) -> Vec<u8> {
    postcard::to_stdvec(gossip).expect("a payload has an encoding")
}

/// Decodes a payload.
///
/// # Errors
/// Returns [`GossipError::Malformed`] if the bytes cannot be decoded or some bytes are left over.
pub fn decode(payload: &[u8]) -> Result<Gossip, GossipError> {
    match postcard::take_from_bytes(payload) {
        Ok((gossip, [])) => Ok(gossip),
        _ => Err(GossipError::Malformed),
    }
}

/// Delta-codes ascending indices together with the demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeltaCoder {
    last: u64,
}

impl DeltaCoder {
    /// Encodes the delta from the previous index, and the demand in the two lowest bits.
    pub fn encode(&mut self, flat: u64, demand: Demand) -> u64 {
        let gap = flat - self.last;
        self.last = flat;
        gap << 2 | demand as u64
    }

    /// Decodes an index and its demand. Returns `None` if a value is out of range.
    pub fn decode(&mut self, packed: u64) -> Option<(u64, Demand)> {
        let demand = match packed & 3 {
            0 => Demand::Idle,
            1 => Demand::Returned,
            2 => Demand::Steady,
            _ => return None,
        };
        self.last = self.last.checked_add(packed >> 2)?;
        Some((self.last, demand))
    }
}

const ACCOUNT_BITS: u32 = 20;

/// Combines both indices into one integer that sorts by service, then by account.
pub fn flatten(index: ShareIndex) -> u64 {
    u64::from(index.service) << ACCOUNT_BITS | u64::from(index.account)
}

/// Reverses [`flatten`]. Returns `None` if the service index is out of range.
pub fn unflatten(flat: u64) -> Option<ShareIndex> {
    Some(ShareIndex {
        service: u16::try_from(flat >> ACCOUNT_BITS).ok()?,
        account: (flat & ((1 << ACCOUNT_BITS) - 1)) as u32,
    })
}
