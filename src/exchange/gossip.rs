//! What a datagram carries, as `postcard` writes it.
//!
//! Lists are sorted by number and hold the gaps between neighbours, so that most fields take one
//! or two bytes.

use serde::{Deserialize, Serialize};

use super::numbering::Number;
use crate::share::Demand;

/// Unit of charges and levels on the wire, in microseconds of slot time.
pub const QUANTUM_US: i64 = 16_384;

/// Payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gossip {
    /// Charges on their way to the root.
    Up(Up),
    /// Levels on their way from the root.
    Down(Down),
    /// Are you there? Answered with `answer` set.
    Hello {
        /// Whether this is the answer.
        answer: bool,
    },
    /// Payload of other modules.
    Opaque(Vec<u8>),
}

/// A numbered batch of charges and changes of demand in the sender's subtree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Up {
    /// Numbering of the client accounts and services.
    pub names: u32,
    /// Grows whenever the sender changes its parent.
    pub epoch: u32,
    /// Oldest batch that the sender still holds.
    pub oldest: u32,
    /// This batch; 0 when there is none and the datagram is a heartbeat.
    pub number: u32,
    /// Milliseconds between rounds that the sender's subtree needs to stay within budget.
    pub period: u16,
    /// Whether more datagrams of the round follow.
    pub more: bool,
    /// The charges.
    pub rows: Vec<UpRow>,
}

/// A row of [`Up`]: the packed gap and demand, the service's gap, and the charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpRow {
    /// Gap to the place before (in the order of service, then account) times four, plus demand.
    pub place: u64,
    /// Charge in units of [`QUANTUM_US`].
    pub charge: i64,
}

/// Levels as the sender knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Down {
    /// Numbering of the client accounts and services.
    pub names: u32,
    /// The receiver's epoch that `taken` counts in.
    pub epoch: u32,
    /// Newest batch of the receiver that these levels include.
    pub taken: u32,
    /// The sender's round.
    pub round: u32,
    /// Milliseconds between the sender's rounds.
    pub period: u16,
    /// Whether more datagrams of the round follow.
    pub more: bool,
    /// The sender has just started and knows no levels.
    pub cold: bool,
    /// The levels, by service.
    pub sections: Vec<Section>,
}

/// Levels of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// Number of the service.
    pub service: u16,
    /// Smallest level of the section in units of [`QUANTUM_US`].
    pub base: u64,
    /// The levels.
    pub rows: Vec<DownRow>,
}

/// A row of [`Section`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownRow {
    /// Gap to the client account before times four, plus demand.
    pub place: u64,
    /// Level above the section's base in units of [`QUANTUM_US`].
    pub above: u64,
}

/// Why a payload was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GossipError {
    /// Not a payload of this version.
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
/// When it is malformed or has bytes left over.
pub fn decode(payload: &[u8]) -> Result<Gossip, GossipError> {
    match postcard::take_from_bytes(payload) {
        Ok((gossip, [])) => Ok(gossip),
        _ => Err(GossipError::Malformed),
    }
}

/// Packs places into gaps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gaps {
    last: u64,
}

impl Gaps {
    /// The gap from the last place to this one, with the demand.
    pub fn pack(&mut self, place: u64, demand: Demand) -> u64 {
        let gap = place - self.last;
        self.last = place;
        gap << 2 | demand as u64
    }

    /// The place and demand of a packed gap; `None` when it is out of range.
    pub fn unpack(&mut self, packed: u64) -> Option<(u64, Demand)> {
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

/// A number as one integer, services first.
pub fn flatten(number: Number) -> u64 {
    u64::from(number.service) << ACCOUNT_BITS | u64::from(number.account)
}

/// The number of an integer; `None` when it is out of range.
pub fn unflatten(place: u64) -> Option<Number> {
    Some(Number {
        service: u16::try_from(place >> ACCOUNT_BITS).ok()?,
        account: (place & ((1 << ACCOUNT_BITS) - 1)) as u32,
    })
}
