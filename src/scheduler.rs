//! An entry's decisions for one service: whose turn it is, and which parked offer takes it.
//!
//! Pure: the caller passes the time and events, and acts on what is returned.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::ids::{AccountKey, AgentKey, JobKey, OfferId};
use crate::queue::Queue;
use crate::share::Share;
use crate::units::Micros;
use crate::wire::Backlog;

/// A request, as far as the decisions need to know it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The client account that pays for it.
    pub account: AccountKey,
    /// Expected slot time; wrong hints are settled at the end.
    pub cost: Micros,
    /// Most requests that the account may have waiting here.
    pub limit: u32,
    /// Hash of the prompt's prefix, when the request has one.
    pub prefix: Option<u64>,
    /// The moment after which the caller no longer wants an answer.
    pub deadline: Option<Micros>,
}

/// What became of an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// A parked offer takes it at once.
    Assigned(Assignment),
    /// It waits.
    Queued,
    /// The account's queue is full; the request was not taken.
    Full,
}

/// A request for an offered slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub job: JobKey,
    /// The agent that offered.
    pub agent: AgentKey,
    /// Its offer.
    pub offer: OfferId,
}

#[derive(Debug)]
struct Held {
    job: Job,
    charged: Micros,
    waiting: bool,
}

/// The queues, service levels and parked offers of one service at one entry.
#[derive(Debug, Default)]
pub struct Scheduler {
    share: Share,
    queues: BTreeMap<AccountKey, Queue>,
    jobs: HashMap<JobKey, Held>,
    parked: VecDeque<(AgentKey, OfferId)>,
    waiting: u32,
    given: BTreeMap<AccountKey, Micros>,
}

impl Scheduler {
    /// A scheduler without any work.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request arrives.
    pub fn arrive(&mut self, _now: Micros, key: JobKey, job: Job) -> Arrival {
        let queue = self.queues.entry(job.account).or_default();
        if queue.len() >= job.limit as usize {
            return Arrival::Full;
        }
        queue.push(key);
        self.waiting += 1;
        self.jobs.insert(
            key,
            Held {
                job,
                charged: Micros::ZERO,
                waiting: true,
            },
        );
        self.share.backlogged(job.account);
        match self.match_parked() {
            Some(assignment) => Arrival::Assigned(assignment),
            None => Arrival::Queued,
        }
    }

    /// An agent offers a slot. `None`: nothing waits, the offer is parked.
    pub fn offer(&mut self, _now: Micros, agent: AgentKey, offer: OfferId) -> Option<Assignment> {
        self.parked.push_back((agent, offer));
        self.match_parked()
    }

    /// An offer no longer stands.
    pub fn void(&mut self, agent: AgentKey, offer: OfferId) {
        self.parked.retain(|&p| p != (agent, offer));
    }

    /// None of the agent's offers stands any more.
    pub fn lost(&mut self, agent: AgentKey) {
        self.parked.retain(|p| p.0 != agent);
    }

    /// A dispatched request was not begun: it goes back to the head, its charge undone.
    pub fn returned(&mut self, _now: Micros, key: JobKey) -> Option<Assignment> {
        let held = self.jobs.get_mut(&key)?;
        if held.waiting {
            return None;
        }
        held.waiting = true;
        let (account, charged) = (held.job.account, std::mem::take(&mut held.charged));
        self.credit(account, charged);
        self.queues.entry(account).or_default().push_front(key);
        self.waiting += 1;
        self.share.backlogged(account);
        self.match_parked()
    }

    /// Slot time that a running request has used so far.
    pub fn progress(&mut self, key: JobKey, spent: Micros) {
        if let Some(held) = self.jobs.get_mut(&key)
            && spent > held.charged
        {
            let (account, more) = (held.job.account, spent - held.charged);
            held.charged = spent;
            self.debit(account, more);
        }
    }

    /// A request is over: its charge is settled at the slot time it took.
    pub fn ended(&mut self, _now: Micros, key: JobKey, spent: Micros) {
        let Some(held) = self.jobs.remove(&key) else {
            return;
        };
        let account = held.job.account;
        if held.waiting {
            self.unqueue(account, key);
            return;
        }
        if spent >= held.charged {
            self.debit(account, spent - held.charged);
        } else {
            self.credit(account, held.charged - spent);
        }
    }

    /// Slot time charged for a request so far.
    pub fn charged(&self, key: JobKey) -> Micros {
        self.jobs
            .get(&key)
            .map(|held| held.charged)
            .unwrap_or_default()
    }

    /// What waits here, for agents to compare entries by.
    pub fn backlog(&self) -> Backlog {
        Backlog {
            waiting: self.waiting,
            least: self.share.least().unwrap_or_default(),
        }
    }

    /// The account's service level.
    pub fn level(&self, account: AccountKey) -> Micros {
        self.share.level(account)
    }

    /// Slot time that this entry has charged to each account, less what it took back.
    pub fn given(&self) -> impl Iterator<Item = (AccountKey, Micros)> {
        self.given.iter().map(|(&account, &total)| (account, total))
    }

    /// Slot time that another entry has charged to the account went from `old` to `new`.
    pub fn remote(&mut self, account: AccountKey, old: Micros, new: Micros) {
        self.share.debit(account, new - old);
        self.share.credit(account, old - new);
    }

    fn debit(&mut self, account: AccountKey, amount: Micros) {
        *self.given.entry(account).or_default() += amount;
        self.share.debit(account, amount);
    }

    fn credit(&mut self, account: AccountKey, amount: Micros) {
        let given = self.given.entry(account).or_default();
        *given = *given - amount;
        self.share.credit(account, amount);
    }

    fn match_parked(&mut self) -> Option<Assignment> {
        let (account, _) = self.share.first()?;
        let (agent, offer) = self.parked.pop_front()?;
        let queue = self
            .queues
            .get_mut(&account)
            .expect("a backlogged account has a queue");
        let job = queue
            .pop()
            .expect("a backlogged account has a waiting request");
        if queue.is_empty() {
            self.share.idle(account);
        }
        self.waiting -= 1;
        let held = self.jobs.get_mut(&job).expect("a waiting request is held");
        held.waiting = false;
        held.charged = held.job.cost;
        let cost = held.job.cost;
        self.debit(account, cost);
        Some(Assignment { job, agent, offer })
    }

    fn unqueue(&mut self, account: AccountKey, key: JobKey) {
        let Some(queue) = self.queues.get_mut(&account) else {
            return;
        };
        if queue.remove(key) {
            self.waiting -= 1;
        }
        if queue.is_empty() {
            self.share.idle(account);
        }
    }
}
