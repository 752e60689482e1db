//! What a routing policy does in the harness: messages between nodes and work that starts.

use crate::conn::HEARTBEAT_PERIOD;
use crate::exchange::envelope::ENVELOPE_BYTES;
use crate::ids::{AccountKey, AgentKey, BootId, DispatchId, EntryKey, JobKey, OfferId};
use crate::units::Micros;
use crate::wire::{self, Backlog, ToAgent, ToEntry};

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// An entry.
    Entry(EntryKey),
    /// An agent.
    Agent(AgentKey),
}

/// A message between two processes.
#[derive(Clone, Debug)]
pub enum Message {
    /// A slot is free.
    Offer(OfferId),
    /// The offer no longer stands.
    Void(OfferId),
    /// Nothing waits for the offer; it is kept.
    Parked(OfferId, Backlog),
    /// A request, for an offer if the policy knows offers.
    Dispatch(JobKey, DispatchId, OfferId, Backlog),
    /// The request was not begun.
    Decline(JobKey),
    /// The request is over; slot time it took.
    End(JobKey, Micros),
    /// Slot time that a running request has taken.
    Progress(JobKey, Micros),
    /// What waits at an entry.
    Heartbeat(Backlog),
    /// A datagram of the exchange, and its sender's boot id.
    Gossip(BootId, Vec<u8>),
    /// What became of the dispatch?
    Ask(JobKey, DispatchId),
    /// Whether the agent has begun the request; if not, it never will.
    Known(JobKey, bool),
}

/// Bytes of the TCP and IP headers around a frame.
const FRAME_BYTES: u64 = 40;

/// Bytes of the UDP and IP headers around a datagram.
const DATAGRAM_BYTES: u64 = 28;

impl Message {
    /// Bytes on the wire when the message is control traffic and no request or answer.
    pub fn control_bytes(&self) -> Option<u64> {
        let body = match self {
            Message::Offer(id) => frame(&ToEntry::Offer { offer: *id }),
            Message::Void(id) => frame(&ToEntry::Withdraw { offer: *id }),
            Message::Parked(offer, backlog) => frame(&ToAgent::Parked {
                offer: *offer,
                backlog: *backlog,
            }),
            Message::Heartbeat(backlog) => frame(&ToAgent::Heartbeat { backlog: *backlog }),
            Message::Gossip(_, payload) => {
                let bytes = payload.len() + ENVELOPE_BYTES;
                return Some(bytes as u64 + DATAGRAM_BYTES);
            }
            _ => return None,
        };
        Some(body + FRAME_BYTES)
    }
}

fn frame<T: serde::Serialize>(message: &T) -> u64 {
    wire::encode(message).map_or(0, |b| b.len() as u64)
}

/// How a request was answered without being run to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It was not run.
    NotRun,
    /// Whether it was run is not known.
    Unknown,
}

/// What a policy wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send(Node, Node, Message),
    /// Run a request on an agent's target.
    Start(AgentKey, JobKey),
    /// Answer the caller without a result.
    Refuse(JobKey, Refusal),
    /// The caller has the whole answer.
    Answer(JobKey),
}

/// Actions in order.
pub type Actions = Vec<Action>;

/// A request as the policy may know it.
#[derive(Clone, Copy, Debug)]
pub struct Arriving {
    /// Its key, unique in the run.
    pub key: JobKey,
    /// The client account.
    pub account: AccountKey,
    /// The caller's hint of its slot time.
    pub hint: Micros,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Hash of its prompt's prefix.
    pub prefix: Option<u64>,
}

/// Routing decisions of all processes in the harness.
pub trait Policy {
    /// Its name in reports.
    const NAME: &'static str;

    /// A request arrives at an entry.
    fn arrive(&mut self, now: Micros, entry: EntryKey, job: Arriving, out: &mut Actions);

    /// A message arrives.
    fn deliver(&mut self, now: Micros, from: Node, to: Node, message: Message, out: &mut Actions);

    /// A request ended on an agent's target after this slot time.
    fn finished(
        &mut self,
        now: Micros,
        agent: AgentKey,
        key: JobKey,
        spent: Micros,
        out: &mut Actions,
    );

    /// Slot times so far of what runs on an agent's target; called every [`HEARTBEAT`].
    fn running(&mut self, agent: AgentKey, jobs: &[(JobKey, Micros)], out: &mut Actions);

    /// A connection between two processes was made or found lost; both are told.
    fn link(&mut self, now: Micros, entry: EntryKey, agent: AgentKey, up: bool, out: &mut Actions);

    /// A process starts anew, with nothing kept.
    fn restart(&mut self, now: Micros, node: Node);

    /// Time passes; called every [`TICK`].
    fn tick(&mut self, now: Micros, live: &Live, out: &mut Actions);
}

/// Time between calls of [`Policy::tick`].
pub const TICK: Micros = Micros::from_ms(50);

/// Time between heartbeats, and between reports of what running requests have used.
pub const HEARTBEAT: Micros = Micros(HEARTBEAT_PERIOD.as_micros() as u64);

/// Which processes run.
#[derive(Clone, Debug, Default)]
pub struct Live {
    /// Each entry's state.
    pub entries: Vec<bool>,
    /// Each agent's state.
    pub agents: Vec<bool>,
}

impl Live {
    /// Whether the process runs.
    pub fn runs(&self, node: Node) -> bool {
        match node {
            Node::Entry(e) => self.entries[e.index()],
            Node::Agent(a) => self.agents[a.index()],
        }
    }
}
