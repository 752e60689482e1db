//! Scheduler of an entry (router process) for one service: selects the next waiting request, and
//! the parked offer that it is assigned to.
//!
//! Agents, the processes beside the targets, offer their free slots to entries. An offer for which
//! no request waits is parked until a request arrives or the agent withdraws it.
//!
//! Does no I/O: the caller passes in time and events, and acts on the results.

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

/// The properties of a request that scheduling depends on.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The client account that is charged for it.
    pub account: AccountKey,
    /// The caller's hint of the slot time of the request, that is, the time for which it will
    /// occupy a slot. The [`CostEstimator`] corrects the hint, and the actual slot time corrects
    /// the charge at the end.
    pub cost: Micros,
    /// Maximum number of requests of the account that may wait at this entry.
    pub limit: u32,
    /// Hash of the prompt's prefix; `None` if there is none.
    pub prefix: Option<u64>,
    /// Time after which the caller no longer needs a response; `None` if there is no limit.
    pub deadline: Option<Micros>,
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request was assigned to a parked offer at once.
    Assigned(Assignment),
    /// The request was queued.
    Queued,
    /// Rejected: the account's queue is full.
    Full,
    /// Rejected: the request is not expected to finish before its deadline.
    TooLate,
}

/// Assignment of a request to an offered slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub job: JobKey,
    /// The agent that made the offer.
    pub agent: AgentKey,
    /// The agent's offer.
    pub offer: OfferId,
}

/// Maximum slot time that is charged in advance. Slot time beyond it is charged as the request
/// runs.
const MAX_ADVANCE: Micros = Micros::from_ms(500);
/// Expected slot time above which a request is long.
const LONG: Micros = Micros::from_secs(4);
/// Number of parked offers that are searched for the best one.
const MAX_SCAN: usize = 64;
/// EWMA weight of the latest interval between an account's assignments.
const INTERVAL_WEIGHT: f64 = 0.125;
/// Multiple of its expected slot time that a request must have used before it may be hedged.
const HEDGE_FACTOR: u64 = 3;

#[derive(Debug)]
struct JobState {
    job: Job,
    /// Slot time as estimated on arrival.
    expected: Micros,
    /// Slot time charged so far.
    charged: Micros,
    waiting: bool,
    /// The agent that the request, or its promoted hedge, was assigned to; `None` while it waits.
    agent: Option<AgentKey>,
    /// Whether a hedge is running.
    hedged: bool,
}

/// Moving average of the time between an account's assignments while it is backlogged.
#[derive(Clone, Copy, Debug, Default)]
struct AssignmentRate {
    last: Micros,
    interval: Option<f64>,
}

/// Queues, account levels (see [`crate::share`]) and parked offers of one service at one entry.
#[derive(Debug, Default)]
pub struct Scheduler {
    share: Share,
    queues: BTreeMap<AccountKey, Queue>,
    rates: BTreeMap<AccountKey, AssignmentRate>,
    jobs: HashMap<JobKey, JobState>,
    /// Number of each account's long requests that wait or run.
    long_counts: BTreeMap<AccountKey, u32>,
    parked: VecDeque<(AgentKey, OfferId)>,
    waiting: u32,
    estimator: CostEstimator,
    slowdown: SlowdownTracker,
    affinity: Affinity,
    /// Latest time passed in by the caller.
    last_seen: Micros,
}

impl Scheduler {
    /// Creates a scheduler without requests or offers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Submits a new request.
    pub fn submit(&mut self, now: Micros, key: JobKey, job: Job) -> Arrival {
        self.last_seen = now;
        let expected = self.estimator.estimate(job.account, job.cost);
        let queue = self.queues.entry(job.account).or_default();
        if queue.len() >= job.limit as usize {
            return Arrival::Full;
        }
        if self.misses_deadline(now, &job, expected) {
            return Arrival::TooLate;
        }
        let held = JobState {
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
            self.rates.entry(job.account).or_default().last = now;
        }
        queue.push(key, expected);
        self.waiting += 1;
        if expected > LONG {
            *self.long_counts.entry(job.account).or_default() += 1;
        }
        self.share.set_backlogged(job.account);
        self.update_share(job.account);
        match self.match_parked(now) {
            Some(assignment) => Arrival::Assigned(assignment),
            None => Arrival::Queued,
        }
    }

    /// Handles an agent's offer of a slot. Returns an assignment, or `None` if no request waits;
    /// the offer is then parked.
    pub fn offer(&mut self, now: Micros, agent: AgentKey, offer: OfferId) -> Option<Assignment> {
        self.last_seen = now;
        self.parked.push_back((agent, offer));
        self.match_parked(now)
    }

    /// Removes a withdrawn offer.
    pub fn withdraw(&mut self, agent: AgentKey, offer: OfferId) {
        self.parked.retain(|&p| p != (agent, offer));
    }

    /// Removes the parked offers and the recorded slowdown of a lost agent.
    pub fn remove_agent(&mut self, agent: AgentKey) {
        self.parked.retain(|p| p.0 != agent);
        self.slowdown.remove(agent);
    }

    /// Puts a dispatched request that was not started back at the head of its queue, and refunds
    /// its charge. Returns an assignment if an offer is parked, else `None`.
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
        self.share.set_backlogged(account);
        self.match_parked(now)
    }

    /// Records the slot time that a running request has used so far, and charges the part of it
    /// that has not been charged yet.
    pub fn progress(&mut self, key: JobKey, spent: Micros) {
        let now = self.last_seen;
        let Some(held) = self.jobs.get_mut(&key).filter(|h| !h.waiting) else {
            return;
        };
        if let Some(agent) = held.agent {
            self.slowdown
                .record_progress(now, agent, held.expected, spent);
        }
        if spent > held.charged {
            let (account, more) = (held.job.account, spent - held.charged);
            held.charged = spent;
            self.share.debit(account, more);
        }
    }

    /// Completes a request: charges its actual slot time, and updates the cost estimate and the
    /// agent's slowdown with it.
    pub fn complete(&mut self, now: Micros, key: JobKey, spent: Micros) {
        self.last_seen = now;
        if let Some(held) = self.jobs.get(&key)
            && let Some(agent) = held.agent
            && spent > Micros::ZERO
        {
            self.slowdown.record(now, agent, held.expected, spent);
            self.estimator
                .record(held.job.account, held.job.cost, spent);
        }
        self.abort(key, spent);
    }

    /// Removes a request that did not complete: charges the slot time it used, without updating any
    /// estimate.
    pub fn abort(&mut self, key: JobKey, spent: Micros) {
        let Some(held) = self.jobs.remove(&key) else {
            return;
        };
        let account = held.job.account;
        if held.expected > LONG {
            self.remove_long(account);
        }
        if held.waiting {
            self.remove_waiting(account, key);
            return;
        }
        if spent >= held.charged {
            self.share.debit(account, spent - held.charged);
        } else {
            self.share.credit(account, held.charged - spent);
        }
    }

    /// Hedges an idempotent request that is overdue on a slow target, by assigning a second attempt
    /// to a parked offer. Returns `None` if no hedge is made. Hedges are made only while no
    /// request waits, so they delay no account, and they are not charged.
    pub fn hedge(
        &mut self,
        now: Micros,
        key: JobKey,
        budget: &mut RetryBudget,
    ) -> Option<Assignment> {
        let held = self.jobs.get(&key).filter(|h| !h.waiting && !h.hedged)?;
        let slow = held.agent?;
        let overdue = held.charged.0 > held.expected.0.saturating_mul(HEDGE_FACTOR);
        if self.waiting > 0 || !overdue || !self.slowdown.is_slow(now, slow) {
            return None;
        }
        let slowdown = &self.slowdown;
        let at = self
            .parked
            .iter()
            .take(MAX_SCAN)
            .position(|p| p.0 != slow && !slowdown.is_slow(now, p.0))?;
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

    /// Handles a hedge that was not started or whose agent is lost.
    pub fn clear_hedge(&mut self, key: JobKey) {
        if let Some(held) = self.jobs.get_mut(&key) {
            held.hedged = false;
        }
    }

    /// Makes the hedge the primary attempt, after the agent of the original attempt is lost.
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

    /// The backlog by which agents choose between entries.
    pub fn backlog(&self) -> Backlog {
        Backlog {
            waiting: self.waiting,
            least: self.share.least_level().unwrap_or_default(),
        }
    }

    /// The account's level, see [`Share::level`].
    pub fn level(&self, account: AccountKey) -> Micros {
        self.share.level(account)
    }

    /// Suggested delay before a rejected caller of the account retries: the expected wait, jittered
    /// by `salt` to between one half and three halves, so that callers do not retry simultaneously.
    pub fn retry_after(&self, account: AccountKey, salt: u64) -> Micros {
        /// Minimum of the expected wait, before jitter.
        const MIN_WAIT: Micros = Micros::from_secs(1);
        let wait = self.expected_wait(account).max(MIN_WAIT);
        Micros(wait.0 / 2 + salt % wait.0)
    }

    /// Expected waiting time of a request that the account submits now: the length of its queue
    /// times the mean interval between its assignments.
    pub fn expected_wait(&self, account: AccountKey) -> Micros {
        let len = self.queues.get(&account).map_or(0, Queue::len);
        let interval = self.rates.get(&account).and_then(|r| r.interval);
        Micros((len as f64 * interval.unwrap_or_default()) as u64)
    }

    /// Reports each account's charges since the last call and its current demand, for the exchange
    /// with the other entries.
    pub fn collect(&mut self) -> Vec<Report> {
        self.share.collect()
    }

    /// Applies the fleet-wide usage of an account, which the exchange has determined.
    pub fn apply(&mut self, account: AccountKey, usage: FleetUsage) {
        self.share.apply(account, usage);
    }

    /// Sets the number of entries in the fleet, including this one (see [`Share::set_members`]).
    pub fn set_members(&mut self, members: usize) {
        self.share.set_members(members);
    }

    /// Whether the request is expected to finish after its deadline. Always false if no wait is
    /// expected.
    fn misses_deadline(&self, now: Micros, job: &Job, expected: Micros) -> bool {
        let wait = self.expected_wait(job.account);
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
        let job = job.expect("the account to be served has a waiting request");
        self.update_share(account);
        self.waiting -= 1;
        self.rates.entry(account).or_default().record(now);
        let (agent, offer) = self.take_offer(now, job);
        self.charge(job, agent);
        Some(Assignment { job, agent, offer })
    }

    /// Takes the best parked offer for the request. Prefers agents that are not slow, then the
    /// agent that was last assigned the request's prefix, then the oldest offer.
    fn take_offer(&mut self, now: Micros, key: JobKey) -> (AgentKey, OfferId) {
        let job = &self.jobs[&key].job;
        let known = job.prefix.and_then(|p| self.affinity.get(job.account, p));
        let rank = |agent: AgentKey| (self.slowdown.is_slow(now, agent), Some(agent) != known);
        let scan = self.parked.iter().take(MAX_SCAN).enumerate();
        let best = scan.min_by_key(|(at, p)| (rank(p.0), *at));
        let at = best.map(|(at, _)| at).expect("an offer is parked");
        self.parked.remove(at).expect("the offer was found")
    }

    fn charge(&mut self, key: JobKey, agent: AgentKey) {
        let held = self.jobs.get_mut(&key).expect("a waiting request is held");
        held.waiting = false;
        held.agent = Some(agent);
        held.charged = held.expected.min(MAX_ADVANCE);
        let (job, charged) = (held.job, held.charged);
        self.share.debit(job.account, charged);
        if let Some(prefix) = job.prefix {
            self.affinity.record(job.account, prefix, agent);
        }
    }

    fn remove_waiting(&mut self, account: AccountKey, key: JobKey) {
        let Some(queue) = self.queues.get_mut(&account) else {
            return;
        };
        if queue.remove(key) {
            self.waiting -= 1;
        }
        self.update_share(account);
    }

    fn remove_long(&mut self, account: AccountKey) {
        if let Some(count) = self.long_counts.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                self.long_counts.remove(&account);
                self.update_share(account);
            }
        }
    }

    /// Updates the account's state in the share after a change of its queue. Short requests go
    /// first only if the account also has long requests, waiting or running.
    fn update_share(&mut self, account: AccountKey) {
        let queue = &self.queues[&account];
        let has_long = self.long_counts.contains_key(&account);
        self.share.set_short(account, queue.has_short() && has_long);
        if queue.is_empty() {
            self.share.set_idle(account);
        }
    }
}

impl AssignmentRate {
    /// Records an assignment.
    fn record(&mut self, now: Micros) {
        let span = (now - self.last).0 as f64;
        let interval = self.interval.unwrap_or(span);
        self.interval = Some(interval + INTERVAL_WEIGHT * (span - interval));
        self.last = now;
    }
}
