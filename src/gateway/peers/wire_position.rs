//! Positions in the platform's lists, in messages between gateways.
//!
//! Postcard is positional: the order and the types of fields are part of the protocol.

use serde::{Deserialize, Serialize};

use crate::gateway::position::{Era, Position};

/// A position in a list of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePosition {
    era: u64,
    offset: u64,
}

impl From<Position> for WirePosition {
    fn from(position: Position) -> Self {
        WirePosition {
            era: position.era.0,
            offset: position.offset,
        }
    }
}

impl From<WirePosition> for Position {
    fn from(wire: WirePosition) -> Self {
        Position::new(Era(wire.era), wire.offset)
    }
}
