//! The ends of the links, and the frames on them.

use std::collections::{HashMap, VecDeque};

use balsampitch::attempt::Attempt;
use balsampitch::dispatch_ids::DispatchIds;
use balsampitch::dispatch_table::DispatchTable;
use balsampitch::ids::{BootId, DispatchId};
use balsampitch::replay_buffer::ReplayBuffer;
use balsampitch::wire::{DispatchState, Finish};

use crate::oracle::Piece;

#[derive(Clone, Copy, Debug)]
pub enum Down {
    Dispatch {
        id: DispatchId,
        request: usize,
    },
    Ask {
        id: DispatchId,
        next: u64,
        floor: u64,
    },
    Cancel(DispatchId),
    Settled {
        id: DispatchId,
        floor: u64,
    },
}

#[derive(Clone, Copy, Debug)]
pub enum Up {
    Declined(DispatchId),
    Piece(DispatchId, Piece),
    End(DispatchId, Finish, u64),
    State(DispatchId, DispatchState),
}

#[derive(Default)]
pub struct Link {
    pub up: bool,
    pub down: VecDeque<Down>,
    pub answers: VecDeque<Up>,
    pub stale: VecDeque<Down>,
}

pub struct Entry {
    pub ids: DispatchIds,
    /// Attempts by request.
    pub attempts: HashMap<usize, Attempt>,
    /// The agent that each dispatch went to.
    pub sent: HashMap<DispatchId, usize>,
}

/// An answer at an agent.
pub struct Answer {
    pub link: usize,
    pub request: usize,
    pub run: u32,
    pub kept: ReplayBuffer<Piece>,
    pub end: Option<Finish>,
}

pub struct Agent {
    pub boot: BootId,
    pub dispatches: DispatchTable,
    pub answers: HashMap<DispatchId, Answer>,
    pub frozen: bool,
}
