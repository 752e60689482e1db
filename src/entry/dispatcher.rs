//! The entry's central service: agents, waiting requests, and who gets which slot.

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
use crate::entry::budgets::{BudgetTable, Budgets, Counted};
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

/// Expected slot time of a request without a hint.
const DEFAULT_COST: Micros = Micros::from_ms(100);

struct AgentState {
    info: AgentInfo,
    link: u64,
    outbox: Option<Outbox>,
    /// The agent says that it takes no new work.
    leaving: bool,
    /// The host list says so.
    listed: bool,
    /// Offers that the scheduler has.
    parked: Vec<OfferId>,
    /// Offers that wait until the rules know the service, or the host list says live again.
    held: Vec<OfferId>,
    jobs: Vec<JobKey>,
}

struct JobState {
    request: Arc<Request>,
    events: mpsc::Sender<RequestEvent>,
    deadline: Micros,
    sent: Option<(DispatchId, AgentKey)>,
    /// The second copy.
    hedge: Option<(DispatchId, AgentKey)>,
    /// Whether the budgets have counted it.
    counted: Counted,
    answering: Arc<AtomicBool>,
}

/// Which copy of a request is sent.
#[derive(Clone, std::marker::Copy, Debug, PartialEq, Eq)]
enum Copy {
    First,
    Second,
}

/// A request's claim is too old to be dispatched.
struct ClaimExpired;

/// The dispatcher.
#[derive(xtra::Actor)]
pub struct Dispatcher {
    clock: Clock,
    dispatches: DispatchIds,
    rules: watch::Receiver<Arc<Table>>,
    /// Version of the rules that the agents were told.
    told: u64,
    routes: Routes,
    agents: Slab<AgentState>,
    hosts: HashMap<SocketAddr, AgentKey>,
    departing: HashSet<SocketAddr>,
    jobs: Slab<JobState>,
    schedulers: SchedulerMap,
    claims: KeyClaims,
    budgets: BudgetTable,
    history: RequestHistory,
}

impl Dispatcher {
    /// A dispatcher without agents or requests.
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
            told: 0,
            routes,
            agents: Slab::new(),
            hosts: HashMap::new(),
            departing: HashSet::new(),
            jobs: Slab::new(),
            schedulers,
            claims,
            budgets: BudgetTable::default(),
            history: RequestHistory::new(clock),
        }
    }

    /// Notes what happens to requests.
    pub fn recording(mut self, history: RequestHistory) -> Self {
        self.history = history;
        self
    }

    fn with<T>(&self, service: ServiceKey, act: impl FnOnce(&mut Scheduler) -> T) -> T {
        self.schedulers.with(service, act)
    }

    fn service_of(&self, agent: AgentKey) -> Option<ServiceKey> {
        let state = self.agents.get(agent.index())?;
        self.rules.borrow().service(&state.info.service)
    }

    fn current(&mut self, link: ConnectionId) -> Option<&mut AgentState> {
        self.agents
            .get_mut(link.agent.index())
            .filter(|a| a.link == link.number)
    }

    /// Sends an assigned request to its agent. When its claim is too old, the offer goes to the
    /// next request.
    fn send(&mut self, service: ServiceKey, assigned: Assignment) {
        let mut next = Some(assigned);
        while let Some(assigned) = next.take() {
            let request = self.jobs[assigned.job.index()].request.clone();
            match self.fence(&request) {
                Ok(fence) => {
                    self.count(service, assigned.job);
                    self.dispatch(service, assigned, &request, fence, Copy::First);
                }
                Err(ClaimExpired) => {
                    // A task that is gone says so with `RequestFinished`, which follows.
                    let _ = self.jobs[assigned.job.index()]
                        .events
                        .try_send(RequestEvent::ClaimExpired);
                    let now = self.clock.now();
                    next = self.with(service, |s| s.offer(now, assigned.agent, assigned.offer));
                }
            }
        }
    }

    fn dispatch(
        &mut self,
        service: ServiceKey,
        assigned: Assignment,
        request: &Request,
        fence: Option<u64>,
        copy: Copy,
    ) {
        let backlog = self.with(service, |s| s.backlog());
        let id = self.dispatches.allocate();
        let left = self.jobs[assigned.job.index()].deadline - self.clock.now();
        let (boot, outbox) = self.pair(assigned, id, copy);
        let job = &self.jobs[assigned.job.index()];
        let route = Route {
            job: assigned.job,
            events: job.events.clone(),
        };
        self.routes.insert(id, route);
        let host = self.agents[assigned.agent.index()].info.host;
        let step = match copy {
            Copy::First => Step::Sent { host },
            Copy::Second => Step::Hedged { host },
        };
        self.history.note(request.id, step);
        let (agent, to) = (assigned.agent, outbox.clone());
        let event = match copy {
            Copy::First => RequestEvent::Dispatched {
                dispatch: id,
                agent,
                boot,
                outbox: to,
            },
            Copy::Second => RequestEvent::Hedged {
                dispatch: id,
                agent,
                boot,
                outbox: to,
            },
        };
        // A task that is gone says so with `RequestFinished`, which follows.
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

    fn note_queued(&self, key: JobKey) {
        let request = &self.jobs[key.index()].request;
        let (level, backlog) =
            self.with(request.service, |s| (s.level(request.account), s.backlog()));
        let step = Step::Queued {
            waiting: backlog.waiting,
            level,
            least: backlog.least,
        };
        self.history.note(request.id, step);
    }

    /// Pairs a request with its agent.
    fn pair(&mut self, assigned: Assignment, id: DispatchId, copy: Copy) -> (BootId, Outbox) {
        let job = &mut self.jobs[assigned.job.index()];
        match copy {
            Copy::First => job.sent = Some((id, assigned.agent)),
            Copy::Second => job.hedge = Some((id, assigned.agent)),
        }
        let agent = &mut self.agents[assigned.agent.index()];
        agent.jobs.push(assigned.job);
        agent.parked.retain(|&o| o != assigned.offer);
        let outbox = agent
            .outbox
            .clone()
            .expect("an offering agent is connected");
        (agent.info.boot, outbox)
    }

    /// Lets go of a request that was not taken, and says when to come back.
    fn turned_away(&mut self, key: JobKey, status: u16, reason: Reason) -> Problem {
        let job = self.jobs.remove(key.index());
        let (account, service) = (job.request.account, job.request.service);
        let wait = self.with(service, |s| s.retry_after(account, rand::random()));
        Problem::not_run(status, reason).retry_after(wait.into())
    }

    /// The fencing number of a request; `Err` when its claim is too old to be dispatched.
    fn fence(&self, request: &Request) -> Result<Option<u64>, ClaimExpired> {
        match request.claim {
            None => Ok(None),
            Some(id) => self.claims.may_dispatch(id).map(Some).ok_or(ClaimExpired),
        }
    }

    /// Ends the pairing of a request with its agents.
    fn unsend(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key.index()) else {
            return;
        };
        let pairs = [job.sent.take(), job.hedge.take()];
        pairs
            .into_iter()
            .flatten()
            .for_each(|(id, agent)| self.unpair(key, id, agent));
    }

    fn unpair(&mut self, key: JobKey, id: DispatchId, agent: AgentKey) {
        self.routes.remove(id);
        self.dispatches.close(id);
        self.routes.raise(self.dispatches.floor());
        if let Some(state) = self.agents.get_mut(agent.index()) {
            state.jobs.retain(|&j| j != key);
        }
    }

    /// Counts a copy of a request for the budgets of its service.
    fn count(&mut self, service: ServiceKey, job: JobKey) {
        let mut counted = self.jobs[job.index()].counted;
        self.budgets(service).dispatched(&mut counted);
        self.jobs[job.index()].counted = counted;
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
            sent: None,
            hedge: None,
            counted: Counted::default(),
            answering: message.answering,
        };
        let key = JobKey::from(self.jobs.insert(state));
        match self.with(service, |s| s.submit(now, key, job)) {
            Arrival::Assigned(assigned) => self.send(service, assigned),
            Arrival::Queued => {
                self.note_queued(key);
                if self.with(service, |s| s.backlog()).waiting == 1 {
                    self.announce(service);
                }
            }
            Arrival::Full => return Err(self.turned_away(key, 429, Reason::QueueFull)),
            Arrival::TooLate => return Err(self.turned_away(key, 503, Reason::DeadlinePassed)),
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
        self.unsend(key);
        if let Some(assigned) = self.with(service, |s| s.requeue(now, key)) {
            self.send(service, assigned);
        }
        true
    }
}

impl Handler<RequestFinished> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: RequestFinished, _ctx: &mut Context<Self>) {
        let now = self.clock.now();
        self.unsend(message.job);
        let Some(job) = self.jobs.try_remove(message.job.index()) else {
            return;
        };
        let spent = self.with(job.request.service, |s| {
            let spent = message.spent.unwrap_or_else(|| s.charged(message.job));
            match message.whole {
                true => s.complete(now, message.job, spent),
                false => s.abort(message.job, spent),
            }
            spent
        });
        self.history.note(job.request.id, Step::Charged { spent });
    }
}
