//! What may happen in the world, and the faults that may be put into the code under test.

use proptest::prelude::*;

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 2;
pub const LINKS: usize = ENTRIES * AGENTS;
pub const SLOTS: usize = 3;

/// Faults in the code under test, put in at its interfaces.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// An ask leaves no bar.
    pub unbarred: bool,
    /// The agent runs what `begin` refused.
    pub rebegun: bool,
    /// The entry takes every run of an agent for the same.
    pub bootless: bool,
    /// Every chunk is taken for the one that is due.
    pub renumbered: bool,
    /// Every answer is taken for the one of the dispatch in flight.
    pub misaddressed: bool,
    /// Every end is taken to fit.
    pub unmeasured: bool,
    /// A repeat forgets that an earlier dispatch may have been run.
    pub forgetful: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Arrive {
        entry: usize,
        idempotent: bool,
    },
    Dispatch {
        entry: usize,
        agent: usize,
    },
    ToAgent(usize),
    ToEntry(usize),
    /// A frame of an older connection reaches the agent after all.
    Stale(usize),
    Drop(usize),
    Double(usize),
    Cut(usize),
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
    Gone(usize),
    GiveUp(usize),
    Wait,
}

pub fn steps() -> impl Strategy<Value = Step> {
    let (entry, agent, link) = (0..ENTRIES, 0..AGENTS, 0..LINKS);
    prop_oneof![
        4 => (entry.clone(), any::<bool>())
            .prop_map(|(entry, idempotent)| Step::Arrive { entry, idempotent }),
        6 => (entry.clone(), agent.clone())
            .prop_map(|(entry, agent)| Step::Dispatch { entry, agent }),
        12 => link.clone().prop_map(Step::ToAgent),
        16 => link.clone().prop_map(Step::ToEntry),
        4 => link.clone().prop_map(Step::Stale),
        3 => link.clone().prop_map(Step::Drop),
        1 => link.clone().prop_map(Step::Double),
        5 => link.clone().prop_map(Step::Cut),
        8 => link.prop_map(Step::Connect),
        12 => (agent.clone(), 0..SLOTS)
            .prop_map(|(agent, pick)| Step::Produce { agent, pick }),
        2 => agent.clone().prop_map(|agent| Step::Crash { agent }),
        2 => agent.clone().prop_map(Step::RestartAgent),
        1 => entry.prop_map(Step::RestartEntry),
        1 => agent.clone().prop_map(Step::Freeze),
        2 => agent.prop_map(Step::Thaw),
        1 => (0..4usize).prop_map(Step::Gone),
        3 => (0..4usize).prop_map(Step::GiveUp),
        2 => Just(Step::Wait),
    ]
}
