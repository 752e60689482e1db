//! Slopes of an entry's scheduler: accounts, queues, parked offers, running requests.

use super::slope::{held, line, nanos, once};
use crate::bench::report::Report;
use crate::ids::{AccountKey, AgentKey, JobKey, OfferId};
use crate::scheduler::{Job, Scheduler};
use crate::share::{Demand, FleetUsage};
use crate::units::Micros;

const ROLE: &str = "entry";
/// Steps of a measurement of time.
const STEPS: usize = 2_000;
/// Accounts of the measurements that do not vary them.
const ACCOUNTS: usize = 350;
const NOW: Micros = Micros::from_secs(1);
const COST: Micros = Micros::from_ms(100);

/// All slopes of the scheduler.
pub fn lines(seed: u64) -> Vec<Report> {
    let mut lines = Vec::new();
    lines.extend([1_000, 4_000, 16_000].map(|n| waiting(seed, n)));
    lines.extend([1_000, 4_000, 16_000].map(|n| running(seed, n)));
    lines.extend([35, 350, 3_500].map(|n| backlogged(seed, n)));
    lines.extend([35, 350, 3_500].map(|n| levels(seed, n)));
    lines.extend([100, 1_000, 10_000].map(|n| queue(seed, n)));
    lines.extend([64, 1_024, 16_384].map(|n| parked(seed, n)));
    lines
}

fn job(account: usize) -> Job {
    Job {
        account: AccountKey::from(account),
        cost: COST,
        limit: u32::MAX,
        prefix: None,
        deadline: None,
    }
}

fn filled(jobs: usize, accounts: usize) -> Scheduler {
    let mut scheduler = Scheduler::new();
    for at in 0..jobs {
        scheduler.submit(NOW, JobKey::from(at), job(at % accounts));
    }
    scheduler
}

/// One request more through the scheduler: it arrives, an offer comes, it ends.
fn cycle(scheduler: &mut Scheduler, jobs: usize, accounts: usize, at: usize) {
    let arriving = JobKey::from(jobs + at);
    scheduler.submit(NOW, arriving, job(at % accounts));
    let offer = OfferId(at as u64);
    if let Some(taken) = scheduler.offer(NOW, AgentKey::from(at % 7), offer) {
        scheduler.complete(NOW, taken.job, COST);
    }
}

fn cycle_nanos(scheduler: &mut Scheduler, jobs: usize, accounts: usize) -> f64 {
    let mut next = 0;
    nanos(STEPS, |_| {
        cycle(scheduler, jobs, accounts, next);
        next += 1;
    })
}

fn waiting(seed: u64, jobs: usize) -> Report {
    let (mut scheduler, bytes) = held(|| filled(jobs, ACCOUNTS));
    let cycle = cycle_nanos(&mut scheduler, jobs, ACCOUNTS);
    line(seed, ROLE, "scheduler: waiting request", jobs)
        .figure("bytes_each", bytes / jobs as f64)
        .figure("arrive_offer_end_ns", cycle)
}

fn running(seed: u64, jobs: usize) -> Report {
    let (mut scheduler, bytes) = held(|| {
        let mut scheduler = filled(jobs, ACCOUNTS);
        for at in 0..jobs {
            let agent = AgentKey::from(at % 2_600);
            scheduler.offer(NOW, agent, OfferId(at as u64));
        }
        scheduler
    });
    let progress = nanos(STEPS, |at| {
        scheduler.progress(JobKey::from(at % jobs), Micros::from_secs(1));
    });
    line(seed, ROLE, "scheduler: running request", jobs)
        .figure("bytes_each", bytes / jobs as f64)
        .figure("progress_ns", progress)
}

fn backlogged(seed: u64, accounts: usize) -> Report {
    let (mut scheduler, bytes) = held(|| filled(accounts, accounts));
    let cycle = cycle_nanos(&mut scheduler, accounts, accounts);
    let collect = once(1, |_| drop(scheduler.collect()));
    line(seed, ROLE, "scheduler: backlogged account", accounts)
        .figure("bytes_each", bytes / accounts as f64)
        .figure("arrive_offer_end_ns", cycle)
        .figure("collect_us", collect / 1e3)
}

fn levels(seed: u64, accounts: usize) -> Report {
    let apply = |scheduler: &mut Scheduler, at: usize| {
        let level = Micros::from_ms(at as u64 + 1);
        let usage = FleetUsage {
            total: level,
            unconfirmed: 0,
            demand: Demand::Steady,
        };
        scheduler.apply(AccountKey::from(at % accounts), usage);
    };
    let (mut scheduler, bytes) = held(|| {
        let mut scheduler = Scheduler::new();
        (0..accounts).for_each(|at| apply(&mut scheduler, at));
        scheduler
    });
    let step = nanos(STEPS, |at| apply(&mut scheduler, at));
    line(
        seed,
        ROLE,
        "share: level of an account backlogged elsewhere",
        accounts,
    )
    .figure("bytes_each", bytes / accounts as f64)
    .figure("apply_ns", step)
}

/// One account's queue. A caller that goes away takes its request from the middle.
fn queue(seed: u64, jobs: usize) -> Report {
    let mut scheduler = filled(jobs, 1);
    let cycle = cycle_nanos(&mut scheduler, jobs, 1);
    let mut scheduler = filled(jobs, 1);
    let gone = (jobs / 4).min(STEPS);
    let abort = once(gone, |at| {
        scheduler.abort(JobKey::from(jobs / 2 + at), Micros::ZERO);
    });
    line(seed, ROLE, "scheduler: queue of one account", jobs)
        .figure("arrive_offer_end_ns", cycle)
        .figure("abort_waiting_ns", abort)
}

/// Parked offers of one service. Each arrival takes one, each dispatch elsewhere voids one.
fn parked(seed: u64, offers: usize) -> Report {
    let (mut scheduler, bytes) = held(|| parked_offers(offers));
    let steps = (offers / 4).min(STEPS);
    let take = once(steps, |at| {
        scheduler.submit(NOW, JobKey::from(at), job(at % ACCOUNTS));
    });
    let mut scheduler = parked_offers(offers);
    let void = once(steps, |at| {
        let at = offers / 2 + at;
        scheduler.withdraw(AgentKey::from(at % 153), OfferId(at as u64));
    });
    let mut scheduler = parked_offers(offers);
    let lost = once(16, |at| scheduler.remove_agent(AgentKey::from(at)));
    line(seed, ROLE, "scheduler: parked offer", offers)
        .figure("bytes_each", bytes / offers as f64)
        .figure("arrive_takes_ns", take)
        .figure("void_ns", void)
        .figure("lost_agent_ns", lost)
}

fn parked_offers(offers: usize) -> Scheduler {
    let mut scheduler = Scheduler::new();
    for at in 0..offers {
        scheduler.offer(NOW, AgentKey::from(at % 153), OfferId(at as u64));
    }
    scheduler
}
