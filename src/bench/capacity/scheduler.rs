//! Costs of an entry's scheduler: accounts, queues, parked offers and running requests.

use super::measure::{heap_growth, min_step_ns, report, step_ns};
use crate::bench::report::Report;
use crate::ids::{AccountKey, AgentKey, JobKey, OfferId};
use crate::scheduler::{Job, Scheduler};
use crate::share::{Demand, FleetUsage};
use crate::units::Micros;

const ROLE: &str = "entry";
/// Steps per run of a time measurement.
const STEPS: usize = 2_000;
/// Number of accounts in measurements that do not vary it.
const ACCOUNTS: usize = 350;
const NOW: Micros = Micros::from_secs(1);
const COST: Micros = Micros::from_ms(100);

/// Measures all costs of the scheduler.
pub fn reports(seed: u64) -> Vec<Report> {
    let mut reports = Vec::new();
    reports.extend([1_000, 4_000, 16_000].map(|n| waiting(seed, n)));
    reports.extend([1_000, 4_000, 16_000].map(|n| running(seed, n)));
    reports.extend([35, 350, 3_500].map(|n| backlogged(seed, n)));
    reports.extend([35, 350, 3_500].map(|n| levels(seed, n)));
    reports.extend([100, 1_000, 10_000].map(|n| queue(seed, n)));
    reports.extend([64, 1_024, 16_384].map(|n| parked(seed, n)));
    reports
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

fn scheduler_with(jobs: usize, accounts: usize) -> Scheduler {
    let mut scheduler = Scheduler::new();
    for at in 0..jobs {
        scheduler.submit(NOW, JobKey::from(at), job(at % accounts));
    }
    scheduler
}

/// Submits one request, offers one slot and completes the request that is assigned to it.
fn cycle(scheduler: &mut Scheduler, jobs: usize, accounts: usize, at: usize) {
    let key = JobKey::from(jobs + at);
    scheduler.submit(NOW, key, job(at % accounts));
    let offer = OfferId(at as u64);
    if let Some(assignment) = scheduler.offer(NOW, AgentKey::from(at % 7), offer) {
        scheduler.complete(NOW, assignment.job, COST);
    }
}

fn cycle_ns(scheduler: &mut Scheduler, jobs: usize, accounts: usize) -> f64 {
    let mut next = 0;
    min_step_ns(STEPS, |_| {
        cycle(scheduler, jobs, accounts, next);
        next += 1;
    })
}

fn waiting(seed: u64, jobs: usize) -> Report {
    let (mut scheduler, bytes) = heap_growth(|| scheduler_with(jobs, ACCOUNTS));
    let cycle = cycle_ns(&mut scheduler, jobs, ACCOUNTS);
    report(seed, ROLE, "scheduler: waiting request", jobs)
        .figure("bytes_each", bytes / jobs as f64)
        .figure("arrive_offer_end_ns", cycle)
}

fn running(seed: u64, jobs: usize) -> Report {
    let (mut scheduler, bytes) = heap_growth(|| {
        let mut scheduler = scheduler_with(jobs, ACCOUNTS);
        for at in 0..jobs {
            let agent = AgentKey::from(at % 2_600);
            scheduler.offer(NOW, agent, OfferId(at as u64));
        }
        scheduler
    });
    let progress = min_step_ns(STEPS, |at| {
        scheduler.progress(JobKey::from(at % jobs), Micros::from_secs(1));
    });
    report(seed, ROLE, "scheduler: running request", jobs)
        .figure("bytes_each", bytes / jobs as f64)
        .figure("progress_ns", progress)
}

fn backlogged(seed: u64, accounts: usize) -> Report {
    let (mut scheduler, bytes) = heap_growth(|| scheduler_with(accounts, accounts));
    let cycle = cycle_ns(&mut scheduler, accounts, accounts);
    let collect = step_ns(1, |_| drop(scheduler.collect()));
    report(seed, ROLE, "scheduler: backlogged account", accounts)
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
    let (mut scheduler, bytes) = heap_growth(|| {
        let mut scheduler = Scheduler::new();
        (0..accounts).for_each(|at| apply(&mut scheduler, at));
        scheduler
    });
    let step = min_step_ns(STEPS, |at| apply(&mut scheduler, at));
    report(
        seed,
        ROLE,
        "share: level of an account backlogged elsewhere",
        accounts,
    )
    .figure("bytes_each", bytes / accounts as f64)
    .figure("apply_ns", step)
}

/// Measures the queue of one account. Aborts remove requests from the middle, as when a caller
/// disconnects.
fn queue(seed: u64, jobs: usize) -> Report {
    let mut scheduler = scheduler_with(jobs, 1);
    let cycle = cycle_ns(&mut scheduler, jobs, 1);
    let mut scheduler = scheduler_with(jobs, 1);
    let aborted = (jobs / 4).min(STEPS);
    let abort = step_ns(aborted, |at| {
        scheduler.abort(JobKey::from(jobs / 2 + at), Micros::ZERO);
    });
    report(seed, ROLE, "scheduler: queue of one account", jobs)
        .figure("arrive_offer_end_ns", cycle)
        .figure("abort_waiting_ns", abort)
}

/// Measures the parked offers of one service. A new request takes an offer. An agent withdraws an
/// offer when another entry dispatches a request for it.
fn parked(seed: u64, offers: usize) -> Report {
    let (mut scheduler, bytes) = heap_growth(|| scheduler_with_offers(offers));
    let steps = (offers / 4).min(STEPS);
    let submit = step_ns(steps, |at| {
        scheduler.submit(NOW, JobKey::from(at), job(at % ACCOUNTS));
    });
    let mut scheduler = scheduler_with_offers(offers);
    let withdraw = step_ns(steps, |at| {
        let at = offers / 2 + at;
        scheduler.withdraw(AgentKey::from(at % 153), OfferId(at as u64));
    });
    let mut scheduler = scheduler_with_offers(offers);
    let remove = step_ns(16, |at| scheduler.remove_agent(AgentKey::from(at)));
    report(seed, ROLE, "scheduler: parked offer", offers)
        .figure("bytes_each", bytes / offers as f64)
        .figure("arrive_takes_ns", submit)
        .figure("void_ns", withdraw)
        .figure("lost_agent_ns", remove)
}

fn scheduler_with_offers(offers: usize) -> Scheduler {
    let mut scheduler = Scheduler::new();
    for at in 0..offers {
        scheduler.offer(NOW, AgentKey::from(at % 153), OfferId(at as u64));
    }
    scheduler
}
