//! Interface between the simulation and a routing policy.

use crate::conn::HEARTBEAT_PERIOD;
use crate::exchange::envelope::ENVELOPE_BYTES;
use crate::ids::{AccountKey, AgentKey, BootId, DispatchId, EntryKey, JobKey, OfferId};
use crate::units::Micros;
use crate::wire::{self, Backlog, ToAgent, ToEntry};

/// A simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// An entry.
    Entry(EntryKey),
    /// An agent.
    Agent(AgentKey),
}

/// A message between two nodes.
#[derive(Clone, Debug)]
pub enum Message {
    /// An agent offers a free slot to an entry.
    Offer(OfferId),
    /// The agent withdraws the offer.
    Withdraw(OfferId),
    /// The entry has no waiting request and keeps the offer for a later one.
    Parked(OfferId, Backlog),
    /// A request sent to an agent, in reply to an offer if the policy uses offers.
    Dispatch(JobKey, DispatchId, OfferId, Backlog),
    /// The agent did not start the request.
    Decline(JobKey),
    /// The request finished, with the slot time it used.
    End(JobKey, Micros),
    /// Slot time that a running request has used so far.
    Progress(JobKey, Micros),
    /// Periodic message of an entry with its backlog.
    Heartbeat(Backlog),
    /// An exchange datagram with the boot ID of its sender.
    Gossip(BootId, Vec<u8>),
    /// Asks the agent for the state of a dispatch after a reconnection.
    Query(JobKey, DispatchId),
    /// Whether the agent has started the request. If not, the agent never starts it.
    State(JobKey, bool),
}

/// Size of the TCP and IP headers of a frame.
const TCP_IP_BYTES: u64 = 40;

/// Size of the UDP and IP headers of a datagram.
const UDP_IP_BYTES: u64 = 28;

impl Message {
    /// Size on the wire, or `None` if the message belongs to a request or its response and is not
    /// counted as control traffic.
    pub fn control_bytes(&self) -> Option<u64> {
        let body = match self {
            Message::Offer(id) => frame_bytes(&ToEntry::Offer { offer: *id }),
            Message::Withdraw(id) => frame_bytes(&ToEntry::Withdraw { offer: *id }),
            Message::Parked(offer, backlog) => frame_bytes(&ToAgent::Parked {
                offer: *offer,
                backlog: *backlog,
            }),
            Message::Heartbeat(backlog) => frame_bytes(&ToAgent::Heartbeat { backlog: *backlog }),
            Message::Gossip(_, payload) => {
                let bytes = payload.len() + ENVELOPE_BYTES;
                return Some(bytes as u64 + UDP_IP_BYTES);
            }
            _ => return None,
        };
        Some(body + TCP_IP_BYTES)
    }
}

fn frame_bytes<T: serde::Serialize>(message: &T) -> u64 {
    wire::encode(message).map_or(0, |b| b.len() as u64)
}

/// Why a request was answered without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request was not run.
    NotRun,
    /// It is not known whether the request was run.
    Unknown,
}

/// An action that a policy requests from the simulation.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message from the first node to the second.
    Send(Node, Node, Message),
    /// Start a request on an agent's target.
    Start(AgentKey, JobKey),
    /// Answer the caller with a refusal.
    Refuse(JobKey, Refusal),
    /// Give the caller the complete response.
    Answer(JobKey),
}

/// Actions in the order in which they are executed.
pub type Actions = Vec<Action>;

/// The part of a request that is visible to the policy.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo {
    /// Key, unique in the run.
    pub key: JobKey,
    /// Client account that sent the request.
    pub account: AccountKey,
    /// The caller's estimate of the slot time.
    pub hint: Micros,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Hash of the prompt prefix; `None` if there is none.
    pub prefix: Option<u64>,
}

/// The routing decisions of all nodes in the simulation.
pub trait Policy {
    /// Name of the policy in reports.
    const NAME: &'static str;

    /// Called when a request arrives at an entry.
    fn on_request(&mut self, now: Micros, entry: EntryKey, job: RequestInfo, out: &mut Actions);

    /// Called when a message is delivered.
    fn on_message(
        &mut self,
        now: Micros,
        from: Node,
        to: Node,
        message: Message,
        out: &mut Actions,
    );

    /// Called when a request finishes on an agent's target after this much slot time.
    fn on_finished(
        &mut self,
        now: Micros,
        agent: AgentKey,
        key: JobKey,
        spent: Micros,
        out: &mut Actions,
    );

    /// Called every [`HEARTBEAT_INTERVAL`] with the slot time that each request on an agent's
    /// target has used so far.
    fn on_progress(&mut self, agent: AgentKey, jobs: &[(JobKey, Micros)], out: &mut Actions);

    /// Called once for both ends when a connection is established or its loss is detected.
    fn on_link_change(
        &mut self,
        now: Micros,
        entry: EntryKey,
        agent: AgentKey,
        up: bool,
        out: &mut Actions,
    );

    /// Called when a node restarts with empty state.
    fn on_restart(&mut self, now: Micros, node: Node);

    /// Called every [`TICK_INTERVAL`].
    fn on_tick(&mut self, now: Micros, live: &LiveNodes, out: &mut Actions);
}

/// Time between calls of [`Policy::on_tick`].
pub const TICK_INTERVAL: Micros = Micros::from_ms(50);

/// Time between heartbeats, and between calls of [`Policy::on_progress`].
pub const HEARTBEAT_INTERVAL: Micros = Micros(HEARTBEAT_PERIOD.as_micros() as u64);

/// Which nodes are up.
#[derive(Clone, Debug, Default)]
pub struct LiveNodes {
    /// Whether each entry is up.
    pub entries: Vec<bool>,
    /// Whether each agent is up.
    pub agents: Vec<bool>,
}

impl LiveNodes {
    /// Whether the node is up.
    pub fn is_up(&self, node: Node) -> bool {
        match node {
            Node::Entry(e) => self.entries[e.index()],
            Node::Agent(a) => self.agents[a.index()],
        }
    }
}
