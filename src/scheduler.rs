//! An entry's decisions for one service: whose turn it is, and which parked offer takes it.
//!
//! Pure: the caller passes the time and events, and acts on what is returned.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::affinity::Affinity;
use crate::cost_estimator::CostEstimator;
use crate::ids::{AccountKey, AgentKey, JobKey, OfferId};
use crate::queue::Queue;
use crate::retry_budget::RetryBudget;
use crate::share::{FleetUsage, Report, Share, Turn};
use crate::slowdown::SlowdownTracker;
use crate::units::Micros;
use crate::wire::Backlog;

#[cfg(test)]
mod tests;

/// A request, as far as the decisions need to know it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The client account that pays for it.
    pub account: AccountKey,
    /// The caller's hint of its slot time; corrected by what was learnt, settled at the end.
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
    /// It would still wait at its deadline; the request was not taken.
    TooLate,
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

/// Most slot time that is charged before it is used; what runs longer is charged as it runs.
const UPFRONT: Micros = Micros::from_ms(500);
/// Expected slot time above which a request is long.
const LONG: Micros = Micros::from_secs(4);
/// Parked offers that are looked through for the best one.
const PARKED_SCAN: usize = 64;
/// Weight of the latest turn in an account's time between turns.
const TURN_WEIGHT: f64 = 0.125;
/// How many times its expected slot time a request runs before it may be hedged.
const HEDGE_FACTOR: u64 = 3;

#[derive(Debug)]
struct Held {
    job: Job,
    /// Slot time to expect, as learnt when it arrived.
    expected: Micros,
    charged: Micros,
    waiting: bool,
    agent: Option<AgentKey>,
    hedged: bool,
}

/// Time between an account's turns while it is backlogged.
#[derive(Clone, Copy, Debug, Default)]
struct Turns {
    last: Micros,
    gap: Option<f64>,
}

/// The queues, service levels and parked offers of one service at one entry.
#[derive(Debug, Default)]
pub struct Scheduler {
    share: Share,
    queues: BTreeMap<AccountKey, Queue>,
    turns: BTreeMap<AccountKey, Turns>,
    jobs: HashMap<JobKey, Held>,
    /// Long requests of each account that wait or run.
    longs: BTreeMap<AccountKey, u32>,
    parked: VecDeque<(AgentKey, OfferId)>,
    waiting: u32,
    estimator: CostEstimator,
    pace: SlowdownTracker,
    affinity: Affinity,
    /// The latest moment that was passed in.
    seen: Micros,
}

impl Scheduler {
    /// A scheduler without any work.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request arrives.
    pub fn submit(&mut self, now: Micros, key: JobKey, job: Job) -> Arrival {
        self.seen = now;
        let expected = self.estimator.estimate(job.account, job.cost);
        let queue = self.queues.entry(job.account).or_default();
        if queue.len() >= job.limit as usize {
            return Arrival::Full;
        }
        if self.too_late(now, &job, expected) {
            return Arrival::TooLate;
        }
        let held = Held {
            job,
            expected,
            charged: Micros::ZERO,
            waiting: true,
            agent: None,
            hedged: false,
        };
        self.jobs.insert(key, held);
        let queue = self.queues.entry(job.account).or_default();
        if queue.is_empty() {
            self.turns.entry(job.account).or_default().last = now;
        }
        queue.push(key, expected);
        self.waiting += 1;
        if expected > LONG {
            *self.longs.entry(job.account).or_default() += 1;
        }
        self.share.backlogged(job.account);
        self.show(job.account);
        match self.match_parked(now) {
            Some(assignment) => Arrival::Assigned(assignment),
            None => Arrival::Queued,
        }
    }

    /// An agent offers a slot. `None`: nothing waits, the offer is parked.
    pub fn offer(&mut self, now: Micros, agent: AgentKey, offer: OfferId) -> Option<Assignment> {
        self.seen = now;
        self.parked.push_back((agent, offer));
        self.match_parked(now)
    }

    /// An offer no longer stands.
    pub fn withdraw(&mut self, agent: AgentKey, offer: OfferId) {
        self.parked.retain(|&p| p != (agent, offer));
    }

    /// None of the agent's offers stands any more.
    pub fn remove_agent(&mut self, agent: AgentKey) {
        self.parked.retain(|p| p.0 != agent);
        self.pace.forget(agent);
    }

    /// A dispatched request was not begun: it goes back to the head, its charge undone.
    pub fn requeue(&mut self, now: Micros, key: JobKey) -> Option<Assignment> {
        let held = self.jobs.get_mut(&key)?;
        if held.waiting {
            return None;
        }
        held.waiting = true;
        held.agent = None;
        held.hedged = false;
        let (account, charged) = (held.job.account, std::mem::take(&mut held.charged));
        self.share.credit(account, charged);
        self.queues.entry(account).or_default().push_front(key);
        self.waiting += 1;
        self.share.backlogged(account);
        self.match_parked(now)
    }

    /// Slot time that a running request has used so far.
    pub fn progress(&mut self, key: JobKey, spent: Micros) {
        let now = self.seen;
        let Some(held) = self.jobs.get_mut(&key).filter(|h| !h.waiting) else {
            return;
        };
        if let Some(agent) = held.agent {
            self.pace.running(now, agent, held.expected, spent);
        }
        if spent > held.charged {
            let (account, more) = (held.job.account, spent - held.charged);
            held.charged = spent;
            self.share.debit(account, more);
        }
    }

    /// A request ran to its end: its charge is settled at the slot time it took, which is learnt.
    pub fn complete(&mut self, now: Micros, key: JobKey, spent: Micros) {
        self.seen = now;
        if let Some(held) = self.jobs.get(&key)
            && let Some(agent) = held.agent
            && spent > Micros::ZERO
        {
            self.pace.record(now, agent, held.expected, spent);
            self.estimator
                .record(held.job.account, held.job.cost, spent);
        }
        self.abort(key, spent);
    }

    /// A request is over before its end: its charge is settled, nothing is learnt.
    pub fn abort(&mut self, key: JobKey, spent: Micros) {
        let Some(held) = self.jobs.remove(&key) else {
            return;
        };
        let account = held.job.account;
        if held.expected > LONG {
            self.forget_long(account);
        }
        if held.waiting {
            self.unqueue(account, key);
            return;
        }
        if spent >= held.charged {
            self.share.debit(account, spent - held.charged);
        } else {
            self.share.credit(account, held.charged - spent);
        }
    }

    /// A second copy of an idempotent request that runs late on a slowed target. It takes a parked
    /// offer that no waiting request wants, so it costs no account its turn, and is not charged.
    pub fn hedge(
        &mut self,
        now: Micros,
        key: JobKey,
        budget: &mut RetryBudget,
    ) -> Option<Assignment> {
        let held = self.jobs.get(&key).filter(|h| !h.waiting && !h.hedged)?;
        let slow = held.agent?;
        let late = held.charged.0 > held.expected.0.saturating_mul(HEDGE_FACTOR);
        if self.waiting > 0 || !late || !self.pace.slow(now, slow) {
            return None;
        }
        let pace = &self.pace;
        let at = self
            .parked
            .iter()
            .take(PARKED_SCAN)
            .position(|p| p.0 != slow && !pace.slow(now, p.0))?;
        if !budget.try_withdraw() {
            return None;
        }
        let (agent, offer) = self.parked.remove(at).expect("the offer was found");
        let held = self.jobs.get_mut(&key).expect("the request is held");
        held.hedged = true;
        Some(Assignment {
            job: key,
            agent,
            offer,
        })
    }

    /// The second copy was not begun, or its agent is lost.
    pub fn clear_hedge(&mut self, key: JobKey) {
        if let Some(held) = self.jobs.get_mut(&key) {
            held.hedged = false;
        }
    }

    /// The second copy stands in for the first, whose agent is lost.
    pub fn promote_hedge(&mut self, key: JobKey, agent: AgentKey) {
        if let Some(held) = self.jobs.get_mut(&key).filter(|h| !h.waiting) {
            held.hedged = false;
            held.agent = Some(agent);
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

    /// Time after which a refused caller of the account does well to come back: the expected wait
    /// times one half to three halves, by `salt`, so that callers do not come back together.
    pub fn retry_after(&self, account: AccountKey, salt: u64) -> Micros {
        /// Shortest time that is told.
        const LEAST: Micros = Micros::from_secs(1);
        let wait = self.wait(account).max(LEAST);
        Micros(wait.0 / 2 + salt % wait.0)
    }

    /// Time for which a request of the account would wait if it arrived now.
    pub fn wait(&self, account: AccountKey) -> Micros {
        let len = self.queues.get(&account).map_or(0, Queue::len);
        let gap = self.turns.get(&account).and_then(|t| t.gap);
        Micros((len as f64 * gap.unwrap_or_default()) as u64)
    }

    /// What was charged here since the last call, and who waits, for the exchange.
    pub fn collect(&mut self) -> Vec<Report> {
        self.share.collect()
    }

    /// Takes over the fleet's level of an account from the exchange.
    pub fn apply(&mut self, account: AccountKey, usage: FleetUsage) {
        self.share.apply(account, usage);
    }

    /// Entries of the fleet, this one included (see [`Share::set_members`]).
    pub fn set_members(&mut self, members: usize) {
        self.share.set_members(members);
    }

    /// Whether the request would wait past its deadline. One at the head of its queue is tried.
    fn too_late(&self, now: Micros, job: &Job, expected: Micros) -> bool {
        let wait = self.wait(job.account);
        let Some(deadline) = job.deadline else {
            return false;
        };
        wait > Micros::ZERO && now + wait + expected > deadline
    }

    fn match_parked(&mut self, now: Micros) -> Option<Assignment> {
        if self.parked.is_empty() {
            return None;
        }
        let turn = self.share.turn()?;
        let (Turn::Any(account) | Turn::Short(account)) = turn;
        let queue = self
            .queues
            .get_mut(&account)
            .expect("a backlogged account has a queue");
        let job = match turn {
            Turn::Any(_) => queue.pop(),
            Turn::Short(_) => queue.pop_short(),
        };
        let job = job.expect("an account whose turn it is has a waiting request");
        self.show(account);
        self.waiting -= 1;
        self.turns.entry(account).or_default().pass(now);
        let (agent, offer) = self.choose(now, job);
        self.charge(job, agent);
        Some(Assignment { job, agent, offer })
    }

    /// Takes the parked offer that suits the request best: of the target that served its prefix,
    /// else the oldest of a target that is not slowed, else the oldest.
    fn choose(&mut self, now: Micros, key: JobKey) -> (AgentKey, OfferId) {
        let job = &self.jobs[&key].job;
        let known = job.prefix.and_then(|p| self.affinity.agent(job.account, p));
        let rank = |agent: AgentKey| (self.pace.slow(now, agent), Some(agent) != known);
        let scan = self.parked.iter().take(PARKED_SCAN).enumerate();
        let best = scan.min_by_key(|(at, p)| (rank(p.0), *at));
        let at = best.map(|(at, _)| at).expect("an offer is parked");
        self.parked.remove(at).expect("the offer was found")
    }

    fn charge(&mut self, key: JobKey, agent: AgentKey) {
        let held = self.jobs.get_mut(&key).expect("a waiting request is held");
        held.waiting = false;
        held.agent = Some(agent);
        held.charged = held.expected.min(UPFRONT);
        let (job, charged) = (held.job, held.charged);
        self.share.debit(job.account, charged);
        if let Some(prefix) = job.prefix {
            self.affinity.record(job.account, prefix, agent);
        }
    }

    fn unqueue(&mut self, account: AccountKey, key: JobKey) {
        let Some(queue) = self.queues.get_mut(&account) else {
            return;
        };
        if queue.remove(key) {
            self.waiting -= 1;
        }
        self.show(account);
    }

    fn forget_long(&mut self, account: AccountKey) {
        if let Some(count) = self.longs.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                self.longs.remove(&account);
                self.show(account);
            }
        }
    }

    /// Tells the share what waits in the account's queue after a change. Short work leads only where
    /// the account's own long work stands before it.
    fn show(&mut self, account: AccountKey) {
        let queue = &self.queues[&account];
        let behind = self.longs.contains_key(&account);
        self.share.set_short(account, queue.has_short() && behind);
        if queue.is_empty() {
            self.share.idle(account);
        }
    }
}

impl Turns {
    /// The account has its turn.
    fn pass(&mut self, now: Micros) {
        let span = (now - self.last).0 as f64;
        let gap = self.gap.unwrap_or(span);
        self.gap = Some(gap + TURN_WEIGHT * (span - gap));
        self.last = now;
    }
}
