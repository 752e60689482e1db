//! Actor that tracks agents and queued requests, and assigns requests to the agents' slots.

mod connections;
mod hedge;
mod inspect;
mod limits;
mod offers;
pub mod status;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use slab::Slab;
use tokio::sync::{mpsc, watch};
use xtra::prelude::*;

use crate::conn::Outbox;
use crate::dispatch_ids::DispatchIds;
use crate::entry::budgets::{BudgetCredit, BudgetTable, Budgets};
use crate::entry::history::{RequestHistory, Step};
use crate::entry::idempotency::KeyClaims;
use crate::entry::messages::{ConnectionId, Enqueue, RequestFinished, Requeue};
use crate::entry::request::Request;
use crate::entry::routes::{RequestEvent, Route, Routes};
use crate::entry::schedulers::SchedulerMap;
use crate::ids::{AgentKey, BootId, DispatchId, JobKey, OfferId, ServiceKey};
use crate::problem::{Problem, Reason};
use crate::rules::Table;
use crate::scheduler::{Arrival, Assignment, Job, Scheduler};
use crate::units::{Clock, Micros};
use crate::wire::{AgentInfo, Dispatch, MAX_CHUNK_BYTES, ToAgent};

/// Expected slot time of a request without a cost hint.
const DEFAULT_COST: Micros = Micros::from_ms(100);

struct AgentState {
    info: AgentInfo,
    connection: u64,
    outbox: Option<Outbox>,
    /// The agent announced that it accepts no new requests.
    leaving: bool,
    /// The platform's host list marks the agent's host as leaving.
    host_leaving: bool,
    /// Offers registered with the scheduler.
    active_offers: Vec<OfferId>,
    /// Offers withheld from the scheduler: the rules do not name the service, or the host is
    /// leaving.
    held_offers: Vec<OfferId>,
    jobs: Vec<JobKey>,
}

struct JobState {
    request: Arc<Request>,
    events: mpsc::Sender<RequestEvent>,
    deadline: Micros,
    primary: Option<(DispatchId, AgentKey)>,
    /// The hedge request, if one was sent.
    hedge: Option<(DispatchId, AgentKey)>,
    /// Whether the request has earned credit for the retry and hedge budgets.
    credit: BudgetCredit,
    response_started: Arc<AtomicBool>,
}

/// Whether a dispatch is the primary one of its request or a hedge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchKind {
    Primary,
    Hedge,
}

/// The request's idempotency-key claim is too old for a dispatch.
struct ClaimExpired;

/// Assigns queued requests to slots that agents offer.
#[derive(xtra::Actor)]
pub struct Dispatcher {
    clock: Clock,
    dispatches: DispatchIds,
    rules: watch::Receiver<Arc<Table>>,
    /// Version of the rules whose limits were last sent to the agents.
    announced_version: u64,
    routes: Routes,
    agents: Slab<AgentState>,
    /// Maps the address of an agent's host to the agent's key in `agents`.
    agent_keys: HashMap<SocketAddr, AgentKey>,
    leaving_hosts: HashSet<SocketAddr>,
    jobs: Slab<JobState>,
    schedulers: SchedulerMap,
    claims: KeyClaims,
    budgets: BudgetTable,
    history: RequestHistory,
}

impl Dispatcher {
    /// Creates a dispatcher without agents or requests.
    pub fn new(
        clock: Clock,
        boot: BootId,
        rules: watch::Receiver<Arc<Table>>,
        routes: Routes,
        schedulers: SchedulerMap,
        claims: KeyClaims,
    ) -> Self {
        Dispatcher {
            clock,
            dispatches: DispatchIds::new(boot),
            rules,
            announced_version: 0,
            routes,
            agents: Slab::new(),
            agent_keys: HashMap::new(),
            leaving_hosts: HashSet::new(),
            jobs: Slab::new(),
            schedulers,
            claims,
            budgets: BudgetTable::default(),
            history: RequestHistory::new(clock),
        }
    }

    /// Makes the dispatcher record the steps of requests in `history`.
    pub fn with_history(mut self, history: RequestHistory) -> Self {
        self.history = history;
        self
    }

    fn with_scheduler<T>(&self, service: ServiceKey, f: impl FnOnce(&mut Scheduler) -> T) -> T {
        self.schedulers.with(service, f)
    }

    fn service_of(&self, agent: AgentKey) -> Option<ServiceKey> {
        let state = self.agents.get(agent.index())?;
        self.rules.borrow().service(&state.info.service)
    }

    fn current_agent(&mut self, connection: ConnectionId) -> Option<&mut AgentState> {
        self.agents
            .get_mut(connection.agent.index())
            .filter(|a| a.connection == connection.number)
    }

    /// Dispatches an assigned request to its agent. If the request's claim is too old, the offer
    /// goes to the next request instead.
    fn dispatch_assigned(&mut self, service: ServiceKey, assigned: Assignment) {
        let mut next = Some(assigned);
        while let Some(assigned) = next.take() {
            let request = self.jobs[assigned.job.index()].request.clone();
            match self.fencing_number(&request) {
                Ok(fence) => {
                    self.credit_budgets(service, assigned.job);
                    self.send_dispatch(service, assigned, &request, fence, DispatchKind::Primary);
                }
                Err(ClaimExpired) => {
                    // A send fails only if the task has ended; its `RequestFinished` follows.
                    let _ = self.jobs[assigned.job.index()]
                        .events
                        .try_send(RequestEvent::ClaimExpired);
                    let now = self.clock.now();
                    next = self
                        .with_scheduler(service, |s| s.offer(now, assigned.agent, assigned.offer));
                }
            }
        }
    }

    fn send_dispatch(
        &mut self,
        service: ServiceKey,
        assigned: Assignment,
        request: &Request,
        fence: Option<u64>,
        kind: DispatchKind,
    ) {
        let backlog = self.with_scheduler(service, |s| s.backlog());
        let id = self.dispatches.allocate();
        let left = self.jobs[assigned.job.index()].deadline - self.clock.now();
        let (boot, outbox) = self.attach(assigned, id, kind);
        let job = &self.jobs[assigned.job.index()];
        let route = Route {
            job: assigned.job,
            events: job.events.clone(),
        };
        self.routes.insert(id, route);
        let host = self.agents[assigned.agent.index()].info.host;
        let step = match kind {
            DispatchKind::Primary => Step::Sent { host },
            DispatchKind::Hedge => Step::Hedged { host },
        };
        self.history.record(request.id, step);
        let (agent, to) = (assigned.agent, outbox.clone());
        let event = match kind {
            DispatchKind::Primary => RequestEvent::Dispatched {
                dispatch: id,
                agent,
                boot,
                outbox: to,
            },
            DispatchKind::Hedge => RequestEvent::Hedged {
                dispatch: id,
                agent,
                boot,
                outbox: to,
            },
        };
        // A send fails only if the task has ended; its `RequestFinished` follows.
        let _ = job.events.try_send(event);
        let dispatch = Dispatch {
            dispatch: id,
            offer: assigned.offer,
            request: request.id,
            account: self.rules.borrow().account_at(request.account).name.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body_bytes: request.body.len() as u64,
            idempotent: request.idempotent,
            fence,
            deadline: Some(left),
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

    fn record_queued(&self, key: JobKey) {
        let request = &self.jobs[key.index()].request;
        let (level, backlog) =
            self.with_scheduler(request.service, |s| (s.level(request.account), s.backlog()));
        let step = Step::Queued {
            waiting: backlog.waiting,
            level,
            least: backlog.least,
        };
        self.history.record(request.id, step);
    }

    /// Records that a request runs on an agent. Returns the agent's boot id and the outbox of its
    /// connection.
    fn attach(
        &mut self,
        assigned: Assignment,
        id: DispatchId,
        kind: DispatchKind,
    ) -> (BootId, Outbox) {
        let job = &mut self.jobs[assigned.job.index()];
        match kind {
            DispatchKind::Primary => job.primary = Some((id, assigned.agent)),
            DispatchKind::Hedge => job.hedge = Some((id, assigned.agent)),
        }
        let agent = &mut self.agents[assigned.agent.index()];
        agent.jobs.push(assigned.job);
        agent.active_offers.retain(|&o| o != assigned.offer);
        let outbox = agent
            .outbox
            .clone()
            .expect("an offering agent is connected");
        (agent.info.boot, outbox)
    }

    /// Removes a request that was not accepted. The returned problem carries a retry delay.
    fn reject(&mut self, key: JobKey, status: u16, reason: Reason) -> Problem {
        let job = self.jobs.remove(key.index());
        let (account, service) = (job.request.account, job.request.service);
        let wait = self.with_scheduler(service, |s| s.retry_after(account, rand::random()));
        Problem::not_run(status, reason).retry_after(wait.into())
    }

    /// Returns the fencing number of a request, or `None` if it has no claim.
    ///
    /// # Errors
    /// Returns [`ClaimExpired`] if the claim is too old for a dispatch.
    fn fencing_number(&self, request: &Request) -> Result<Option<u64>, ClaimExpired> {
        match request.claim {
            None => Ok(None),
            Some(id) => self.claims.dispatch_fence(id).map(Some).ok_or(ClaimExpired),
        }
    }

    /// Detaches a request from the agents of its primary dispatch and its hedge.
    fn detach_all(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key.index()) else {
            return;
        };
        let pairs = [job.primary.take(), job.hedge.take()];
        pairs
            .into_iter()
            .flatten()
            .for_each(|(id, agent)| self.detach(key, id, agent));
    }

    fn detach(&mut self, key: JobKey, id: DispatchId, agent: AgentKey) {
        self.routes.remove(id);
        self.dispatches.close(id);
        self.routes.set_floor(self.dispatches.floor());
        if let Some(state) = self.agents.get_mut(agent.index()) {
            state.jobs.retain(|&j| j != key);
        }
    }

    /// Credits the budgets of the service for a dispatch of a request.
    fn credit_budgets(&mut self, service: ServiceKey, job: JobKey) {
        let mut credit = self.jobs[job.index()].credit;
        self.budgets(service).record_dispatch(&mut credit);
        self.jobs[job.index()].credit = credit;
    }

    fn budgets(&mut self, service: ServiceKey) -> &mut Budgets {
        self.budgets
            .of(service, self.rules.borrow().service_at(service))
    }
}

impl Handler<Enqueue> for Dispatcher {
    type Return = Result<JobKey, Problem>;

    async fn handle(&mut self, message: Enqueue, _ctx: &mut Context<Self>) -> Self::Return {
        let now = self.clock.now();
        let request = message.request;
        let (account, service) = (request.account, request.service);
        let job = Job {
            account,
            cost: request.cost_hint.unwrap_or(DEFAULT_COST),
            limit: self.rules.borrow().account_at(account).queue_limit,
            prefix: request.prefix(),
            deadline: Some(message.deadline),
        };
        let state = JobState {
            request,
            events: message.events,
            deadline: message.deadline,
            primary: None,
            hedge: None,
            credit: BudgetCredit::default(),
            response_started: message.response_started,
        };
        let key = JobKey::from(self.jobs.insert(state));
        match self.with_scheduler(service, |s| s.submit(now, key, job)) {
            Arrival::Assigned(assigned) => self.dispatch_assigned(service, assigned),
            Arrival::Queued => {
                self.record_queued(key);
                if self.with_scheduler(service, |s| s.backlog()).waiting == 1 {
                    self.broadcast_backlog(service);
                }
            }
            Arrival::Full => return Err(self.reject(key, 429, Reason::QueueFull)),
            Arrival::TooLate => return Err(self.reject(key, 503, Reason::DeadlinePassed)),
        }
        Ok(key)
    }
}

impl Handler<Requeue> for Dispatcher {
    type Return = bool;

    async fn handle(&mut self, message: Requeue, _ctx: &mut Context<Self>) -> bool {
        let Requeue { job: key, retry } = message;
        let now = self.clock.now();
        let Some(job) = self.jobs.get(key.index()) else {
            return false;
        };
        let service = job.request.service;
        if retry && !self.budgets(service).retry.try_withdraw() {
            return false;
        }
        self.detach_all(key);
        if let Some(assigned) = self.with_scheduler(service, |s| s.requeue(now, key)) {
            self.dispatch_assigned(service, assigned);
        }
        true
    }
}

impl Handler<RequestFinished> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: RequestFinished, _ctx: &mut Context<Self>) {
        let now = self.clock.now();
        self.detach_all(message.job);
        let Some(job) = self.jobs.try_remove(message.job.index()) else {
            return;
        };
        let spent = self.with_scheduler(job.request.service, |s| {
            let spent = message.spent.unwrap_or_else(|| s.charged(message.job));
            match message.complete {
                true => s.complete(now, message.job, spent),
                false => s.abort(message.job, spent),
            }
            spent
        });
        self.history.record(job.request.id, Step::Charged { spent });
    }
}
