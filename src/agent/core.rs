//! The agent's central service: its slots, its entries, and the runs on its target.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use xtra::prelude::*;

use crate::agent::messages::{
    Beat, CoreStatus, Drain, EntryDown, EntryUp, Freed, FromEntry, Inspect, Link, Released,
    TargetServes,
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

/// Name under which the core's address is registered.
pub const CORE: ServiceName = ServiceName("core");

/// Commands that wait for a run.
const RUN_COMMANDS: usize = 64;

struct EntryState {
    address: SocketAddr,
    boot: BootId,
    link: u64,
    outbox: Option<Outbox>,
    /// The entry said that it sends no new work on this connection.
    quit: bool,
}

/// A dispatch whose body has not come in full.
struct Partial {
    dispatch: Dispatch,
    body: BytesMut,
    link: Link,
}

struct Held {
    commands: mpsc::Sender<Command>,
}

/// The core.
#[derive(xtra::Actor)]
pub struct Core {
    clock: Clock,
    target: Target,
    offers: SlotOffers,
    /// Slots of the settings: the most that the rules may allow.
    slots: u16,
    /// Slots that the rules allow.
    limit: u16,
    /// Whether the target failed and does not serve yet.
    failed: bool,
    /// Version of the rules that the limit is from.
    rules: u64,
    dispatches: DispatchTable,
    entries: Vec<EntryState>,
    partial: HashMap<DispatchId, Partial>,
    runs: HashMap<DispatchId, Held>,
    draining: bool,
    telemetry: Telemetry,
}

impl Core {
    /// A core without entries.
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
            partial: HashMap::new(),
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

    fn act(&self, steps: Steps) {
        for step in steps {
            match step {
                Step::Offer(entry, offer) => self.send(entry, &ToEntry::Offer { offer }),
                Step::Withdraw(entry, offer) => self.send(entry, &ToEntry::Withdraw { offer }),
            }
        }
    }

    fn dispatched(
        &mut self,
        context: &Context<Self>,
        link: Link,
        dispatch: Dispatch,
        backlog: Backlog,
    ) {
        let (id, offer) = (dispatch.dispatch, dispatch.offer);
        if dispatch.body_bytes > MAX_BODY_BYTES {
            self.decline(link, id);
            return;
        }
        let (verdict, steps) = self
            .offers
            .dispatched(self.clock.now(), link.entry, offer, backlog);
        self.act(steps);
        if verdict == Verdict::Decline {
            self.decline(link, id);
            return;
        }
        let partial = Partial {
            dispatch,
            body: BytesMut::new(),
            link,
        };
        if partial.dispatch.body_bytes == 0 {
            self.begin(context, partial);
        } else {
            self.partial.insert(id, partial);
        }
    }

    /// Bars a dispatch and says so. One that may have begun before is answered with what is known
    /// of it: only what was never seen is declined.
    fn decline(&mut self, link: Link, id: DispatchId) {
        self.telemetry.metrics().event(Event::Decline);
        let answer = match self.dispatches.query(id) {
            DispatchState::NeverSeen => ToEntry::Decline { dispatch: id },
            state => ToEntry::State {
                dispatch: id,
                state,
            },
        };
        self.send(link.entry, &answer);
    }

    fn body(&mut self, context: &Context<Self>, id: DispatchId, data: &Bytes) {
        let Some(partial) = self.partial.get_mut(&id) else {
            return;
        };
        partial.body.extend_from_slice(data);
        if partial.body.len() as u64 >= partial.dispatch.body_bytes
            && let Some(partial) = self.partial.remove(&id)
        {
            self.begin(context, partial);
        }
    }

    /// Starts the run, unless the dispatch was begun or barred before.
    fn begin(&mut self, context: &Context<Self>, partial: Partial) {
        let id = partial.dispatch.dispatch;
        let Some(outbox) = self.outbox(partial.link.entry).cloned() else {
            self.free_slot();
            return;
        };
        if !self.dispatches.begin(id) {
            self.decline(partial.link, id);
            self.free_slot();
            return;
        }
        let (commands, inbox) = mpsc::channel(RUN_COMMANDS);
        self.runs.insert(id, Held { commands });
        let core = context.mailbox().address();
        let run = Run::new(core, self.target.clone(), outbox, inbox);
        tokio::spawn(run.run(partial.dispatch, partial.body.freeze()));
    }

    /// Takes over the limit of the rules, unless it is from an older version.
    fn limit(&mut self, version: u64, slots: u16) {
        if version <= self.rules {
            return;
        }
        self.rules = version;
        self.limit = slots;
        self.fit_slots();
    }

    /// Offers as many slots as the settings and the rules allow, and none while the target fails.
    fn fit_slots(&mut self) {
        let slots = if self.failed {
            0
        } else {
            self.limit.min(self.slots)
        };
        let steps = self.offers.set_slots(slots);
        self.act(steps);
    }

    /// A target that fails fast would draw all work to itself: nothing is offered until it serves.
    fn target_failed(&mut self, context: &Context<Self>) {
        if self.failed {
            return;
        }
        self.failed = true;
        self.fit_slots();
        let (core, target) = (context.mailbox().address(), self.target.address());
        tokio::spawn(async move {
            probe::serves(target).await;
            // A core that is gone needs no word.
            let _ = core.send(TargetServes).await;
        });
    }

    fn free_slot(&mut self) {
        let steps = self.offers.finished();
        self.act(steps);
    }

    fn ask(&mut self, link: Link, id: DispatchId, next: u64) {
        if self.partial.remove(&id).is_some() {
            self.free_slot();
        }
        let state = self.dispatches.query(id);
        self.send(
            link.entry,
            &ToEntry::State {
                dispatch: id,
                state,
            },
        );
        if !matches!(state, DispatchState::Running | DispatchState::Done) {
            return;
        }
        if let Some(outbox) = self.outbox(link.entry).cloned() {
            self.command(id, Command::Resume { next, outbox });
        }
    }

    /// Passes a command on. A run whose queue is full reads nothing from its target; its entry's
    /// connection is closed, so that it asks again on a new one.
    fn command(&self, id: DispatchId, command: Command) {
        if let Some(held) = self.runs.get(&id)
            && held.commands.try_send(command).is_err()
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

impl Handler<EntryUp> for Core {
    type Return = Link;

    async fn handle(&mut self, message: EntryUp, _ctx: &mut Context<Self>) -> Link {
        let EntryUp {
            address,
            boot,
            outbox,
        } = message;
        let at = match self.entries.iter().position(|e| e.address == address) {
            Some(at) => at,
            None => {
                self.entries.push(EntryState {
                    address,
                    boot,
                    link: 0,
                    outbox: None,
                    quit: false,
                });
                self.entries.len() - 1
            }
        };
        let state = &mut self.entries[at];
        state.boot = boot;
        state.link += 1;
        state.outbox = Some(outbox);
        state.quit = false;
        let link = Link {
            entry: EntryKey::from(at),
            number: state.link,
        };
        if self.draining {
            self.send(link.entry, &ToEntry::Leaving);
        } else {
            let steps = self.offers.connected(self.clock.now(), link.entry);
            self.act(steps);
        }
        link
    }
}

impl Handler<EntryDown> for Core {
    type Return = ();

    async fn handle(&mut self, message: EntryDown, _ctx: &mut Context<Self>) {
        let link = message.0;
        let state = &mut self.entries[link.entry.index()];
        if state.link != link.number {
            return;
        }
        state.outbox = None;
        // What came only in part was not begun; the entry will ask and hear so.
        let partial: Vec<DispatchId> = self
            .partial
            .iter()
            .filter(|(_, p)| p.link == link)
            .map(|(&id, _)| id)
            .collect();
        for id in partial {
            self.partial.remove(&id);
            self.free_slot();
        }
        let steps = self.offers.disconnected(link.entry);
        self.act(steps);
    }
}

impl Handler<FromEntry> for Core {
    type Return = ();

    async fn handle(&mut self, message: FromEntry, context: &mut Context<Self>) {
        let FromEntry(link, frame) = message;
        if self.entries[link.entry.index()].link != link.number {
            return;
        }
        let now = self.clock.now();
        match frame {
            ToAgent::Parked { offer, backlog } => {
                let steps = self.offers.parked(now, link.entry, offer, backlog);
                self.act(steps);
            }
            ToAgent::Dispatch { dispatch, backlog } => {
                self.dispatched(context, link, *dispatch, backlog);
            }
            ToAgent::Body { dispatch, data } => self.body(context, dispatch, &data),
            ToAgent::Query {
                dispatch,
                next,
                floor,
            } => {
                self.dispatches.raise_floor(dispatch.boot, floor);
                self.ask(link, dispatch, next);
            }
            ToAgent::Ack { dispatch, next } => self.command(dispatch, Command::Ack { next }),
            ToAgent::Cancel { dispatch } => self.command(dispatch, Command::Cancel),
            ToAgent::Settled { dispatch, floor } => {
                self.dispatches.raise_floor(dispatch.boot, floor);
                self.command(dispatch, Command::Settled);
            }
            ToAgent::Heartbeat { backlog } => {
                self.offers.update_backlog(now, link.entry, backlog);
            }
            ToAgent::Limits { version, slots } => self.limit(version, slots),
            ToAgent::Leaving => {
                self.entries[link.entry.index()].quit = true;
                let steps = self.offers.disconnected(link.entry);
                self.act(steps);
            }
        }
    }
}

impl Handler<Freed> for Core {
    type Return = ();

    async fn handle(&mut self, message: Freed, context: &mut Context<Self>) {
        self.dispatches.mark_done(message.dispatch);
        if matches!(message.finish, Finish::Unreached | Finish::Crashed) {
            self.target_failed(context);
        }
        self.free_slot();
    }
}

impl Handler<TargetServes> for Core {
    type Return = ();

    async fn handle(&mut self, _message: TargetServes, _ctx: &mut Context<Self>) {
        self.failed = false;
        self.fit_slots();
    }
}

impl Handler<Released> for Core {
    type Return = ();

    async fn handle(&mut self, message: Released, _ctx: &mut Context<Self>) {
        self.runs.remove(&message.0);
        self.dispatches.mark_forgotten(message.0);
    }
}

impl Handler<Beat> for Core {
    type Return = ();

    async fn handle(&mut self, _message: Beat, _ctx: &mut Context<Self>) {
        for entry in &self.entries {
            if let Some(outbox) = &entry.outbox {
                outbox.send(&ToEntry::Heartbeat);
            }
        }
        for held in self.runs.values() {
            // A run with a full queue reports at the next beat.
            let _ = held.commands.try_send(Command::Report);
        }
    }
}

impl Handler<Drain> for Core {
    type Return = ();

    async fn handle(&mut self, _message: Drain, _ctx: &mut Context<Self>) {
        self.draining = true;
        let steps = self.offers.drain();
        self.act(steps);
        for entry in &self.entries {
            if let Some(outbox) = &entry.outbox {
                outbox.send(&ToEntry::Leaving);
            }
        }
    }
}

impl Handler<Inspect> for Core {
    type Return = CoreStatus;

    async fn handle(&mut self, _message: Inspect, _ctx: &mut Context<Self>) -> CoreStatus {
        let up = self.entries.iter().filter(|e| e.outbox.is_some());
        CoreStatus {
            senders: up.clone().filter(|e| !e.quit).count(),
            busy: self.offers.busy(),
            slots: self.offers.slots(),
            rules: self.rules,
            runs: self.runs.len() + self.partial.len(),
            entries: up.map(|e| e.address).collect(),
            draining: self.draining,
        }
    }
}
