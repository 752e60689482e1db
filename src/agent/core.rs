//! The agent's central actor: tracks the agent's slots, connections to entries, and runs.
//!
//! The agent is the process beside a target that runs dispatched requests. An entry is a router
//! process that accepts client requests, queues them and dispatches them to agents. A slot is room
//! for one concurrent request at the target.
//!
//! For each free slot the core sends an offer to an entry. The entry parks the offer (keeps it
//! until a request arrives) or answers with a dispatch, a request for the slot. The core declines
//! the dispatch or starts a run, which sends the request to the target, relays the response to the
//! entry and keeps the response until the entry has received all of it. Some messages
//! of the entry carry its backlog, the requests that wait there for the agent's service.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use xtra::prelude::*;

use crate::agent::messages::{
    ConnectionId, CoreStatus, Drain, EntryConnected, EntryDisconnected, EntryFrame, GetStatus,
    ResponseReleased, RunFinished, SendHeartbeats, TargetRecovered,
};
use crate::agent::probe;
use crate::agent::run::{Command, Run, Target};
use crate::conn::Outbox;
use crate::dispatch_table::DispatchTable;
use crate::ids::{BootId, DispatchId, EntryKey};
use crate::registry::ServiceName;
use crate::slot_offers::{SlotOffers, Step, Steps, Verdict};
use crate::telemetry::{Event, Telemetry};
use crate::units::Clock;
use crate::wire::{Backlog, Dispatch, DispatchState, Finish, MAX_BODY_BYTES, ToAgent, ToEntry};

/// Name of the core actor in the service registry.
pub const CORE: ServiceName = ServiceName("core");

/// Capacity of a run's command queue.
const COMMAND_CAPACITY: usize = 64;

struct EntryState {
    address: SocketAddr,
    /// Identifies the current process instance of the entry.
    boot: BootId,
    /// Sequence number of the current or last connection.
    connection: u64,
    /// Queue of outgoing frames; `None` while the entry is not connected.
    outbox: Option<Outbox>,
    /// Whether the entry has announced that it sends no new dispatches on this connection.
    leaving: bool,
}

/// A dispatch whose body has not arrived in full.
struct PendingDispatch {
    dispatch: Dispatch,
    body: BytesMut,
    connection: ConnectionId,
}

struct RunHandle {
    commands: mpsc::Sender<Command>,
}

/// The agent's central actor, see the module documentation.
#[derive(xtra::Actor)]
pub struct Core {
    clock: Clock,
    target: Target,
    offers: SlotOffers,
    /// Configured number of slots. The number offered never exceeds it.
    slots: u16,
    /// Number of slots that the operator's rules for the service allow.
    limit: u16,
    /// Whether the target has failed and has not recovered yet.
    failed: bool,
    /// Version of the rules that set `limit`; 0 before any version has been received.
    rules: u64,
    dispatches: DispatchTable,
    entries: Vec<EntryState>,
    pending: HashMap<DispatchId, PendingDispatch>,
    runs: HashMap<DispatchId, RunHandle>,
    draining: bool,
    telemetry: Telemetry,
}

impl Core {
    /// Creates a core without connections.
    pub fn new(clock: Clock, target: Target, slots: u16, telemetry: Telemetry) -> Self {
        Core {
            clock,
            target,
            offers: SlotOffers::new(slots),
            slots,
            limit: slots,
            failed: false,
            rules: 0,
            dispatches: DispatchTable::new(),
            entries: Vec::new(),
            pending: HashMap::new(),
            runs: HashMap::new(),
            draining: false,
            telemetry,
        }
    }

    fn outbox(&self, entry: EntryKey) -> Option<&Outbox> {
        self.entries
            .get(entry.index())
            .and_then(|e| e.outbox.as_ref())
    }

    fn send(&self, entry: EntryKey, message: &ToEntry) {
        if let Some(outbox) = self.outbox(entry) {
            outbox.send(message);
        }
    }

    fn send_steps(&self, steps: Steps) {
        for step in steps {
            match step {
                Step::Offer(entry, offer) => self.send(entry, &ToEntry::Offer { offer }),
                Step::Withdraw(entry, offer) => self.send(entry, &ToEntry::Withdraw { offer }),
            }
        }
    }

    fn handle_dispatch(
        &mut self,
        context: &Context<Self>,
        connection: ConnectionId,
        dispatch: Dispatch,
        backlog: Backlog,
    ) {
        let (id, offer) = (dispatch.dispatch, dispatch.offer);
        if dispatch.body_bytes > MAX_BODY_BYTES {
            self.decline(connection, id);
            return;
        }
        let (verdict, steps) =
            self.offers
                .dispatched(self.clock.now(), connection.entry, offer, backlog);
        self.send_steps(steps);
        if verdict == Verdict::Decline {
            self.decline(connection, id);
            return;
        }
        let pending = PendingDispatch {
            dispatch,
            body: BytesMut::new(),
            connection,
        };
        if pending.dispatch.body_bytes == 0 {
            self.start_run(context, pending);
        } else {
            self.pending.insert(id, pending);
        }
    }

    /// Declines a dispatch if its ID was never seen, and blocks the ID, so that the dispatch cannot
    /// start later. Otherwise replies with the state of the dispatch, because it may have run
    /// already.
    fn decline(&mut self, connection: ConnectionId, id: DispatchId) {
        self.telemetry.metrics().event(Event::Decline);
        // The query blocks an ID that was never seen.
        let reply = match self.dispatches.query(id) {
            DispatchState::NeverSeen => ToEntry::Decline { dispatch: id },
            state => ToEntry::State {
                dispatch: id,
                state,
            },
        };
        self.send(connection.entry, &reply);
    }

    fn handle_body(&mut self, context: &Context<Self>, id: DispatchId, data: &Bytes) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.body.extend_from_slice(data);
        if pending.body.len() as u64 >= pending.dispatch.body_bytes
            && let Some(pending) = self.pending.remove(&id)
        {
            self.start_run(context, pending);
        }
    }

    /// Starts the run of a dispatch. Frees its slot instead if the entry is no longer connected or
    /// the dispatch must not run, for example because it was already started or declined.
    fn start_run(&mut self, context: &Context<Self>, pending: PendingDispatch) {
        let id = pending.dispatch.dispatch;
        let Some(outbox) = self.outbox(pending.connection.entry).cloned() else {
            self.free_slot();
            return;
        };
        if !self.dispatches.begin(id) {
            self.decline(pending.connection, id);
            self.free_slot();
            return;
        }
        let (commands, inbox) = mpsc::channel(COMMAND_CAPACITY);
        self.runs.insert(id, RunHandle { commands });
        let core = context.mailbox().address();
        let run = Run::new(core, self.target.clone(), outbox, inbox);
        tokio::spawn(run.run(pending.dispatch, pending.body.freeze()));
    }

    /// Applies the slot limit of a version of the rules, unless that version is not newer than the
    /// one applied last.
    fn set_limit(&mut self, version: u64, slots: u16) {
        if version <= self.rules {
            return;
        }
        self.rules = version;
        self.limit = slots;
        self.update_slots();
    }

    /// Offers as many slots as both the settings and the rules allow, or none while the target has
    /// failed.
    fn update_slots(&mut self) {
        let slots = if self.failed {
            0
        } else {
            self.limit.min(self.slots)
        };
        let steps = self.offers.set_slots(slots);
        self.send_steps(steps);
    }

    /// Stops offering slots until the target recovers. A target that fails quickly also frees its
    /// slots quickly and would attract most requests.
    fn mark_target_failed(&mut self, context: &Context<Self>) {
        if self.failed {
            return;
        }
        self.failed = true;
        self.update_slots();
        let (core, target) = (context.mailbox().address(), self.target.address());
        tokio::spawn(async move {
            probe::wait_until_ready(target).await;
            // Can only fail while the agent shuts down.
            let _ = core.send(TargetRecovered).await;
        });
    }

    fn free_slot(&mut self) {
        let steps = self.offers.finished();
        self.send_steps(steps);
    }

    /// Drops the dispatch if its body is incomplete, and replies with its state. If it is running
    /// or done, its run then resumes the response from chunk `next`.
    fn handle_query(&mut self, connection: ConnectionId, id: DispatchId, next: u64) {
        if self.pending.remove(&id).is_some() {
            self.free_slot();
        }
        let state = self.dispatches.query(id);
        self.send(
            connection.entry,
            &ToEntry::State {
                dispatch: id,
                state,
            },
        );
        if !matches!(state, DispatchState::Running | DispatchState::Done) {
            return;
        }
        if let Some(outbox) = self.outbox(connection.entry).cloned() {
            self.send_command(id, Command::Resume { next, outbox });
        }
    }

    /// Passes a command to the run of a dispatch; does nothing if the dispatch has no run.
    ///
    /// Closes the connection to the entry if the run's queue is full (the run then does not read
    /// from the target either), or if the run has stopped but its [`ResponseReleased`] has not been
    /// handled yet. Once they are connected again, the entry queries the dispatch again.
    fn send_command(&self, id: DispatchId, command: Command) {
        if let Some(run) = self.runs.get(&id)
            && run.commands.try_send(command).is_err()
        {
            for entry in &self.entries {
                if entry.boot == id.boot
                    && let Some(outbox) = &entry.outbox
                {
                    outbox.close();
                }
            }
        }
    }
}

impl Handler<EntryConnected> for Core {
    type Return = ConnectionId;

    async fn handle(&mut self, message: EntryConnected, _ctx: &mut Context<Self>) -> ConnectionId {
        let EntryConnected {
            address,
            boot,
            outbox,
        } = message;
        let index = match self.entries.iter().position(|e| e.address == address) {
            Some(index) => index,
            None => {
                self.entries.push(EntryState {
                    address,
                    boot,
                    connection: 0,
                    outbox: None,
                    leaving: false,
                });
                self.entries.len() - 1
            }
        };
        let state = &mut self.entries[index];
        state.boot = boot;
        state.connection += 1;
        state.outbox = Some(outbox);
        state.leaving = false;
        let connection = ConnectionId {
            entry: EntryKey::from(index),
            seq: state.connection,
        };
        if self.draining {
            self.send(connection.entry, &ToEntry::Leaving);
        } else {
            let steps = self.offers.connected(self.clock.now(), connection.entry);
            self.send_steps(steps);
        }
        connection
    }
}

impl Handler<EntryDisconnected> for Core {
    type Return = ();

    async fn handle(&mut self, message: EntryDisconnected, _ctx: &mut Context<Self>) {
        let connection = message.0;
        let state = &mut self.entries[connection.entry.index()];
        if state.connection != connection.seq {
            return;
        }
        state.outbox = None;
        // A dispatch whose body is incomplete was not started. The entry finds this out by querying
        // the dispatch.
        let pending: Vec<DispatchId> = self
            .pending
            .iter()
            .filter(|(_, p)| p.connection == connection)
            .map(|(&id, _)| id)
            .collect();
        for id in pending {
            self.pending.remove(&id);
            self.free_slot();
        }
        let steps = self.offers.disconnected(connection.entry);
        self.send_steps(steps);
    }
}

impl Handler<EntryFrame> for Core {
    type Return = ();

    async fn handle(&mut self, message: EntryFrame, context: &mut Context<Self>) {
        let EntryFrame(connection, frame) = message;
        if self.entries[connection.entry.index()].connection != connection.seq {
            return;
        }
        let now = self.clock.now();
        match frame {
            ToAgent::Parked { offer, backlog } => {
                let steps = self.offers.parked(now, connection.entry, offer, backlog);
                self.send_steps(steps);
            }
            ToAgent::Dispatch { dispatch, backlog } => {
                self.handle_dispatch(context, connection, *dispatch, backlog);
            }
            ToAgent::Body { dispatch, data } => self.handle_body(context, dispatch, &data),
            ToAgent::Query {
                dispatch,
                next,
                floor,
            } => {
                // The entry needs no records of its dispatches below `floor`.
                self.dispatches.raise_floor(dispatch.boot, floor);
                self.handle_query(connection, dispatch, next);
            }
            ToAgent::Ack { dispatch, next } => self.send_command(dispatch, Command::Ack { next }),
            ToAgent::Cancel { dispatch } => self.send_command(dispatch, Command::Cancel),
            // The entry holds the complete response.
            ToAgent::Settled { dispatch, floor } => {
                self.dispatches.raise_floor(dispatch.boot, floor);
                self.send_command(dispatch, Command::Settled);
            }
            ToAgent::Heartbeat { backlog } => {
                self.offers.update_backlog(now, connection.entry, backlog);
            }
            ToAgent::Limits { version, slots } => self.set_limit(version, slots),
            ToAgent::Leaving => {
                self.entries[connection.entry.index()].leaving = true;
                // The connection stays open, but the entry gets no further offers.
                let steps = self.offers.disconnected(connection.entry);
                self.send_steps(steps);
            }
        }
    }
}

impl Handler<RunFinished> for Core {
    type Return = ();

    async fn handle(&mut self, message: RunFinished, context: &mut Context<Self>) {
        self.dispatches.mark_done(message.dispatch);
        if matches!(message.finish, Finish::Unreached | Finish::Crashed) {
            self.mark_target_failed(context);
        }
        self.free_slot();
    }
}

impl Handler<TargetRecovered> for Core {
    type Return = ();

    async fn handle(&mut self, _message: TargetRecovered, _ctx: &mut Context<Self>) {
        self.failed = false;
        self.update_slots();
    }
}

impl Handler<ResponseReleased> for Core {
    type Return = ();

    async fn handle(&mut self, message: ResponseReleased, _ctx: &mut Context<Self>) {
        self.runs.remove(&message.0);
        self.dispatches.mark_forgotten(message.0);
    }
}

impl Handler<SendHeartbeats> for Core {
    type Return = ();

    async fn handle(&mut self, _message: SendHeartbeats, _ctx: &mut Context<Self>) {
        for entry in &self.entries {
            if let Some(outbox) = &entry.outbox {
                outbox.send(&ToEntry::Heartbeat);
            }
        }
        for run in self.runs.values() {
            // A run whose queue is full reports to the entry at the next heartbeat how long it has
            // occupied its slot.
            let _ = run.commands.try_send(Command::Report);
        }
    }
}

impl Handler<Drain> for Core {
    type Return = ();

    async fn handle(&mut self, _message: Drain, _ctx: &mut Context<Self>) {
        self.draining = true;
        let steps = self.offers.drain();
        self.send_steps(steps);
        for entry in &self.entries {
            if let Some(outbox) = &entry.outbox {
                outbox.send(&ToEntry::Leaving);
            }
        }
    }
}

impl Handler<GetStatus> for Core {
    type Return = CoreStatus;

    async fn handle(&mut self, _message: GetStatus, _ctx: &mut Context<Self>) -> CoreStatus {
        let connected = self.entries.iter().filter(|e| e.outbox.is_some());
        CoreStatus {
            senders: connected.clone().filter(|e| !e.leaving).count(),
            busy: self.offers.busy(),
            slots: self.offers.slots(),
            rules: self.rules,
            runs: self.runs.len() + self.pending.len(),
            entries: connected.map(|e| e.address).collect(),
            draining: self.draining,
        }
    }
}
