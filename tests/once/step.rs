//! Steps of the simulation, and the faults that can be injected into the code under test.

use proptest::prelude::*;

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 2;
pub const LINKS: usize = ENTRIES * AGENTS;
pub const SLOTS: usize = 3;

/// Faults that are injected at the interfaces of the code under test.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A query does not block a dispatch that has not started.
    pub skip_blocking: bool,
    /// The agent runs a dispatch that `begin` rejected.
    pub ignore_begin: bool,
    /// The entry does not notice that an agent has restarted.
    pub ignore_boot: bool,
    /// Every chunk is treated as the next expected one.
    pub ignore_seq: bool,
    /// Every frame is treated as part of the dispatch in flight.
    pub ignore_dispatch: bool,
    /// The length in the end frame is not checked.
    pub ignore_length: bool,
    /// A retry does not record that an earlier dispatch may have run.
    pub forget_dispatch: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Submit {
        entry: usize,
        idempotent: bool,
    },
    Dispatch {
        entry: usize,
        agent: usize,
    },
    DeliverToAgent(usize),
    DeliverToEntry(usize),
    /// A frame from an earlier connection arrives at the agent.
    DeliverStale(usize),
    DropFrame(usize),
    Duplicate(usize),
    Disconnect(usize),
    Connect(usize),
    Produce {
        agent: usize,
        pick: usize,
    },
    Crash {
        agent: usize,
    },
    RestartAgent(usize),
    RestartEntry(usize),
    Freeze(usize),
    Thaw(usize),
    CallerGone(usize),
    GiveUp(usize),
    AgentTimeout,
}

pub fn steps() -> impl Strategy<Value = Step> {
    let (entry, agent, link) = (0..ENTRIES, 0..AGENTS, 0..LINKS);
    prop_oneof![
        4 => (entry.clone(), any::<bool>())
            .prop_map(|(entry, idempotent)| Step::Submit { entry, idempotent }),
        6 => (entry.clone(), agent.clone())
            .prop_map(|(entry, agent)| Step::Dispatch { entry, agent }),
        12 => link.clone().prop_map(Step::DeliverToAgent),
        16 => link.clone().prop_map(Step::DeliverToEntry),
        4 => link.clone().prop_map(Step::DeliverStale),
        3 => link.clone().prop_map(Step::DropFrame),
        1 => link.clone().prop_map(Step::Duplicate),
        5 => link.clone().prop_map(Step::Disconnect),
        8 => link.prop_map(Step::Connect),
        12 => (agent.clone(), 0..SLOTS)
            .prop_map(|(agent, pick)| Step::Produce { agent, pick }),
        2 => agent.clone().prop_map(|agent| Step::Crash { agent }),
        2 => agent.clone().prop_map(Step::RestartAgent),
        1 => entry.prop_map(Step::RestartEntry),
        1 => agent.clone().prop_map(Step::Freeze),
        2 => agent.prop_map(Step::Thaw),
        1 => (0..4usize).prop_map(Step::CallerGone),
        3 => (0..4usize).prop_map(Step::GiveUp),
        2 => Just(Step::AgentTimeout),
    ]
}
