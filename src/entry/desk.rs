//! The entry's central service: agents, waiting requests, and who gets which slot.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use slab::Slab;
use tokio::sync::{mpsc, watch};
use xtra::prelude::*;

use crate::conn::Outbox;
use crate::dispatches::Dispatches;
use crate::entry::request::Request;
use crate::entry::routes::{Event, Route, Routes};
use crate::ids::{AgentKey, BootId, DispatchId, JobKey, OfferId, ServiceKey};
use crate::kernel::ServiceName;
use crate::rules::Table;
use crate::scheduler::{Arrival, Assignment, Job, Scheduler};
use crate::units::{Clock, Micros};
use crate::wire::{AgentInfo, Backlog, Dispatch, MAX_CHUNK_BYTES, ToAgent};

/// Name under which the desk's address is registered.
pub const DESK: ServiceName = ServiceName("desk");

/// Expected slot time of a request without a hint.
const DEFAULT_COST: Micros = Micros::from_ms(100);

/// A request arrives. Returns its key, or `None` when its account's queue is full.
pub struct Arrive {
    /// The request.
    pub request: Arc<Request>,
    /// Its task.
    pub events: mpsc::Sender<Event>,
    /// The moment after which no answer is wanted.
    pub deadline: Micros,
}

/// An agent has connected.
pub struct AgentUp {
    /// Who it is.
    pub info: AgentInfo,
    /// The connection.
    pub outbox: Outbox,
}

/// Names one connection of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// The agent.
    pub agent: AgentKey,
    /// Which of its connections, from 1.
    pub number: u64,
}

/// An agent's connection is gone.
pub struct AgentDown(pub Link);

/// An agent offers a slot.
pub struct Offered(pub Link, pub OfferId);

/// An agent withdraws an offer.
pub struct Voided(pub Link, pub OfferId);

/// An agent takes no new work.
pub struct AgentLeaving(pub Link);

/// A dispatched request was not begun and waits again.
pub struct Returned(pub JobKey);

/// A running request has used this much slot time.
pub struct Progressed {
    /// The request.
    pub job: JobKey,
    /// Its dispatch; a report about an earlier one is stale.
    pub dispatch: DispatchId,
    /// Slot time so far.
    pub spent: Micros,
}

/// A request is over, whether it waited or ran.
pub struct Over {
    /// The request.
    pub job: JobKey,
    /// Slot time to charge; `None` keeps the charge so far.
    pub spent: Option<Micros>,
}

/// Asks for the figures of `/status`.
pub struct Inspect;

/// Asks for the heartbeat to each connected agent.
pub struct Beat;

/// Figures of `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct DeskStatus {
    /// Connected agents.
    pub agents: Vec<AgentStatus>,
    /// What waits, by service.
    pub services: Vec<ServiceStatus>,
    /// Requests held, waiting or running.
    pub jobs: usize,
}

/// An agent in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct AgentStatus {
    /// Its target's address.
    pub host: SocketAddr,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is connected.
    pub up: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests that this entry runs on it.
    pub running: usize,
}

/// A service in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// Its name.
    pub service: String,
    /// Requests that wait here.
    pub waiting: u32,
    /// Service levels of its client accounts, in milliseconds.
    pub levels: Vec<LevelStatus>,
}

/// An account's service level in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct LevelStatus {
    /// The account.
    pub account: String,
    /// Slot time charged, in milliseconds.
    pub level_ms: u64,
}

struct AgentState {
    info: AgentInfo,
    link: u64,
    outbox: Option<Outbox>,
    leaving: bool,
    jobs: Vec<JobKey>,
}

struct JobState {
    request: Arc<Request>,
    events: mpsc::Sender<Event>,
    deadline: Micros,
    sent: Option<(DispatchId, AgentKey)>,
}

/// The desk.
#[derive(xtra::Actor)]
pub struct Desk {
    clock: Clock,
    dispatches: Dispatches,
    rules: watch::Receiver<Arc<Table>>,
    routes: Routes,
    agents: Slab<AgentState>,
    hosts: HashMap<SocketAddr, AgentKey>,
    jobs: Slab<JobState>,
    schedulers: Vec<Scheduler>,
}

impl Desk {
    /// A desk without agents or requests.
    pub fn new(
        clock: Clock,
        boot: BootId,
        rules: watch::Receiver<Arc<Table>>,
        routes: Routes,
    ) -> Self {
        Desk {
            clock,
            dispatches: Dispatches::new(boot),
            rules,
            routes,
            agents: Slab::new(),
            hosts: HashMap::new(),
            jobs: Slab::new(),
            schedulers: Vec::new(),
        }
    }

    fn scheduler(&mut self, service: ServiceKey) -> &mut Scheduler {
        while self.schedulers.len() <= service.index() {
            self.schedulers.push(Scheduler::new());
        }
        &mut self.schedulers[service.index()]
    }

    fn service_of(&self, agent: AgentKey) -> Option<ServiceKey> {
        let state = self.agents.get(agent.index())?;
        self.rules.borrow().service(&state.info.service)
    }

    fn current(&mut self, link: Link) -> Option<&mut AgentState> {
        self.agents
            .get_mut(link.agent.index())
            .filter(|a| a.link == link.number)
    }

    /// Sends an assigned request to its agent.
    fn send(&mut self, service: ServiceKey, assigned: Assignment) {
        let backlog = self.scheduler(service).backlog();
        let id = self.dispatches.open();
        let now = self.clock.now();
        let job = self
            .jobs
            .get_mut(assigned.job.index())
            .expect("an assigned request is held");
        let agent = self
            .agents
            .get_mut(assigned.agent.index())
            .expect("an offering agent is known");
        let outbox = agent
            .outbox
            .clone()
            .expect("an offering agent is connected");
        job.sent = Some((id, assigned.agent));
        agent.jobs.push(assigned.job);
        self.routes.insert(
            id,
            Route {
                job: assigned.job,
                events: job.events.clone(),
            },
        );
        let event = Event::Sent {
            dispatch: id,
            agent: assigned.agent,
            boot: agent.info.boot,
            outbox: outbox.clone(),
        };
        // A task that is gone says so with `Over`, which follows.
        let _ = job.events.try_send(event);
        let request = job.request.clone();
        let account = self.rules.borrow().account_at(request.account).name.clone();
        let dispatch = Dispatch {
            dispatch: id,
            offer: assigned.offer,
            request: request.id,
            account,
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body_bytes: request.body.len() as u64,
            idempotent: request.idempotent,
            fence: None,
            deadline: Some(job.deadline - now),
            trace: request.trace.map(|t| t.to_string()),
        };
        outbox.send(&ToAgent::Dispatch {
            dispatch: Box::new(dispatch),
            backlog,
        });
        for at in (0..request.body.len()).step_by(MAX_CHUNK_BYTES) {
            let end = request.body.len().min(at + MAX_CHUNK_BYTES);
            outbox.send(&ToAgent::Body {
                dispatch: id,
                data: request.body.slice(at..end),
            });
        }
    }

    /// Ends the pairing of a request with its agent.
    fn unsend(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key.index()) else {
            return;
        };
        let Some((id, agent)) = job.sent.take() else {
            return;
        };
        self.routes.remove(id);
        self.dispatches.close(id);
        self.routes.raise(self.dispatches.floor());
        if let Some(state) = self.agents.get_mut(agent.index()) {
            state.jobs.retain(|&j| j != key);
        }
    }

    /// Tells the agents of a service that work waits here.
    fn announce(&mut self, service: ServiceKey) {
        let backlog = self.scheduler(service).backlog();
        let name = self.rules.borrow().service_at(service).name.clone();
        for (_, agent) in &self.agents {
            if agent.info.service == name
                && let Some(outbox) = &agent.outbox
            {
                outbox.send(&ToAgent::Heartbeat { backlog });
            }
        }
    }
}

impl Handler<Arrive> for Desk {
    type Return = Option<JobKey>;

    async fn handle(&mut self, message: Arrive, _ctx: &mut Context<Self>) -> Option<JobKey> {
        let now = self.clock.now();
        let request = message.request;
        let (account, service) = (request.account, request.service);
        let job = Job {
            account,
            cost: request.hint.unwrap_or(DEFAULT_COST),
            limit: self.rules.borrow().account_at(account).queue_limit,
            prefix: None,
            deadline: Some(message.deadline),
        };
        let key = JobKey::from(self.jobs.insert(JobState {
            request,
            events: message.events,
            deadline: message.deadline,
            sent: None,
        }));
        match self.scheduler(service).arrive(now, key, job) {
            Arrival::Assigned(assigned) => self.send(service, assigned),
            Arrival::Queued => {
                if self.scheduler(service).backlog().waiting == 1 {
                    self.announce(service);
                }
            }
            Arrival::Full | Arrival::TooLate => {
                self.jobs.remove(key.index());
                return None;
            }
        }
        Some(key)
    }
}

impl Handler<AgentUp> for Desk {
    type Return = Link;

    async fn handle(&mut self, message: AgentUp, _ctx: &mut Context<Self>) -> Link {
        let AgentUp { info, outbox } = message;
        let agent = match self.hosts.get(&info.host) {
            Some(&agent) => agent,
            None => {
                let state = AgentState {
                    info: info.clone(),
                    link: 0,
                    outbox: None,
                    leaving: false,
                    jobs: Vec::new(),
                };
                let agent = AgentKey::from(self.agents.insert(state));
                self.hosts.insert(info.host, agent);
                agent
            }
        };
        if let Some(service) = self.service_of(agent) {
            self.scheduler(service).lost(agent);
        }
        let state = &mut self.agents[agent.index()];
        if let Some(old) = state.outbox.replace(outbox.clone()) {
            old.close();
        }
        state.info = info;
        state.link += 1;
        state.leaving = false;
        let link = Link {
            agent,
            number: state.link,
        };
        let boot = state.info.boot;
        for key in state.jobs.clone() {
            let event = Event::Back {
                agent,
                boot,
                outbox: outbox.clone(),
            };
            // A task that is gone says so with `Over`, which follows.
            let _ = self.jobs[key.index()].events.try_send(event);
        }
        link
    }
}

impl Handler<AgentDown> for Desk {
    type Return = ();

    async fn handle(&mut self, message: AgentDown, _ctx: &mut Context<Self>) {
        let link = message.0;
        let Some(state) = self.current(link) else {
            return;
        };
        state.outbox = None;
        let jobs = state.jobs.clone();
        if let Some(service) = self.service_of(link.agent) {
            self.scheduler(service).lost(link.agent);
        }
        for key in jobs {
            // A task that is gone says so with `Over`, which follows.
            let _ = self.jobs[key.index()]
                .events
                .try_send(Event::Lost { agent: link.agent });
        }
    }
}

impl Handler<Offered> for Desk {
    type Return = ();

    async fn handle(&mut self, message: Offered, _ctx: &mut Context<Self>) {
        let Offered(link, offer) = message;
        let now = self.clock.now();
        let Some(state) = self.current(link) else {
            return;
        };
        if state.leaving {
            return;
        }
        let outbox = state.outbox.clone();
        let Some(service) = self.service_of(link.agent) else {
            if let Some(outbox) = outbox {
                outbox.send(&ToAgent::Parked {
                    offer,
                    backlog: Backlog::default(),
                });
            }
            return;
        };
        match self.scheduler(service).offer(now, link.agent, offer) {
            Some(assigned) => self.send(service, assigned),
            None => {
                let backlog = self.scheduler(service).backlog();
                if let Some(outbox) = outbox {
                    outbox.send(&ToAgent::Parked { offer, backlog });
                }
            }
        }
    }
}

impl Handler<Voided> for Desk {
    type Return = ();

    async fn handle(&mut self, message: Voided, _ctx: &mut Context<Self>) {
        let Voided(link, offer) = message;
        if self.current(link).is_some()
            && let Some(service) = self.service_of(link.agent)
        {
            self.scheduler(service).void(link.agent, offer);
        }
    }
}

impl Handler<AgentLeaving> for Desk {
    type Return = ();

    async fn handle(&mut self, message: AgentLeaving, _ctx: &mut Context<Self>) {
        let link = message.0;
        let Some(state) = self.current(link) else {
            return;
        };
        state.leaving = true;
        if let Some(service) = self.service_of(link.agent) {
            self.scheduler(service).lost(link.agent);
        }
    }
}

impl Handler<Returned> for Desk {
    type Return = ();

    async fn handle(&mut self, message: Returned, _ctx: &mut Context<Self>) {
        let key = message.0;
        let now = self.clock.now();
        self.unsend(key);
        let Some(job) = self.jobs.get(key.index()) else {
            return;
        };
        let service = job.request.service;
        if let Some(assigned) = self.scheduler(service).returned(now, key) {
            self.send(service, assigned);
        }
    }
}

impl Handler<Progressed> for Desk {
    type Return = ();

    async fn handle(&mut self, message: Progressed, _ctx: &mut Context<Self>) {
        let Progressed {
            job: key,
            dispatch,
            spent,
        } = message;
        let Some(job) = self.jobs.get(key.index()) else {
            return;
        };
        if job.sent.is_some_and(|(id, _)| id == dispatch) {
            let service = job.request.service;
            self.scheduler(service).progress(key, spent);
        }
    }
}

impl Handler<Over> for Desk {
    type Return = ();

    async fn handle(&mut self, message: Over, _ctx: &mut Context<Self>) {
        let now = self.clock.now();
        self.unsend(message.job);
        let Some(job) = self.jobs.try_remove(message.job.index()) else {
            return;
        };
        let scheduler = self.scheduler(job.request.service);
        let spent = message
            .spent
            .unwrap_or_else(|| scheduler.charged(message.job));
        scheduler.ended(now, message.job, spent);
    }
}

impl Handler<Beat> for Desk {
    type Return = ();

    async fn handle(&mut self, _message: Beat, _ctx: &mut Context<Self>) {
        for at in 0..self.agents.capacity() {
            let Some(state) = self.agents.get(at) else {
                continue;
            };
            let Some(outbox) = state.outbox.clone() else {
                continue;
            };
            let service = self.service_of(AgentKey::from(at));
            let backlog = service
                .map(|s| self.scheduler(s).backlog())
                .unwrap_or_default();
            outbox.send(&ToAgent::Heartbeat { backlog });
        }
    }
}

impl Handler<Inspect> for Desk {
    type Return = DeskStatus;

    async fn handle(&mut self, _message: Inspect, _ctx: &mut Context<Self>) -> DeskStatus {
        let rules = self.rules.borrow().clone();
        let agents = self.agents.iter().map(|(_, a)| AgentStatus {
            host: a.info.host,
            service: a.info.service.clone(),
            zone: a.info.zone.clone(),
            up: a.outbox.is_some(),
            leaving: a.leaving,
            running: a.jobs.len(),
        });
        let agents = agents.collect();
        let services = rules
            .services()
            .map(|(key, service)| {
                let scheduler = self.scheduler(key);
                ServiceStatus {
                    service: service.name.clone(),
                    waiting: scheduler.backlog().waiting,
                    levels: rules
                        .accounts()
                        .map(|(k, a)| LevelStatus {
                            account: a.name.clone(),
                            level_ms: scheduler.level(k).as_ms(),
                        })
                        .collect(),
                }
            })
            .collect();
        DeskStatus {
            agents,
            services,
            jobs: self.jobs.len(),
        }
    }
}
