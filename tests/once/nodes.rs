//! Entries, agents, the links between them, and the frames on the links.

use std::collections::{HashMap, VecDeque};

use balsampitch::attempt::Attempt;
use balsampitch::dispatch_ids::DispatchIds;
use balsampitch::dispatch_table::DispatchTable;
use balsampitch::ids::{BootId, DispatchId};
use balsampitch::replay_buffer::ReplayBuffer;
use balsampitch::wire::{DispatchState, Finish};

use crate::oracle::ResponseFrame;

#[derive(Clone, Copy, Debug)]
pub enum AgentFrame {
    Dispatch {
        id: DispatchId,
        request: usize,
    },
    Query {
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
pub enum EntryFrame {
    Declined(DispatchId),
    Response(DispatchId, ResponseFrame),
    End(DispatchId, Finish, u64),
    State(DispatchId, DispatchState),
}

#[derive(Default)]
pub struct Link {
    pub connected: bool,
    pub to_agent: VecDeque<AgentFrame>,
    pub to_entry: VecDeque<EntryFrame>,
    pub stale: VecDeque<AgentFrame>,
}

pub struct Entry {
    pub ids: DispatchIds,
    /// Attempts by request number.
    pub attempts: HashMap<usize, Attempt>,
    /// Agent that each dispatch was sent to.
    pub sent: HashMap<DispatchId, usize>,
}

/// A response held by an agent.
pub struct Response {
    pub link: usize,
    pub request: usize,
    pub run: u32,
    pub buffer: ReplayBuffer<ResponseFrame>,
    pub end: Option<Finish>,
}

pub struct Agent {
    pub boot: BootId,
    pub dispatches: DispatchTable,
    pub responses: HashMap<DispatchId, Response>,
    pub frozen: bool,
}
