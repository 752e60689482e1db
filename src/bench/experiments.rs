//! Defines the experiments: the load and faults that each simulates, and the figures it reports.

use crate::exchange::measure::control_cost;
use crate::exchange::node::MIN_PERIOD;
use crate::ids::{AccountKey, AgentKey, EntryKey};
use crate::units::Micros;

use super::capacity;
use super::demand::{Demand, EntryChoice, Flow, LoadSpike, Workload};
use super::fleet::FleetPolicy;
use super::meter::percentile;
use super::naive::Naive;
use super::policy::{Node, Policy, Refusal, TICK_INTERVAL};
use super::report::Report;
use super::simulation::{Fault, Layout, Outcome, Request, Simulation};

/// An experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Difference in service between backlogged client accounts.
    Fairness,
    /// Fraction of the slots in use while requests wait.
    Utilisation,
    /// Fairness and utilisation during a load spike.
    Crest,
    /// Waiting time of short requests queued behind long ones.
    Blocking,
    /// Tail latency while some targets run slowly.
    Slowed,
    /// Volume of the control traffic.
    Control,
    /// How often non-idempotent requests are run under faults.
    Once,
    /// Time until requests succeed again after a failure.
    Failover,
    /// Marginal cost of a request, client account, connection or record.
    Capacity,
}

impl Experiment {
    /// The experiments that `all` runs, in order.
    pub const ALL: [Experiment; 8] = [
        Experiment::Fairness,
        Experiment::Utilisation,
        Experiment::Crest,
        Experiment::Blocking,
        Experiment::Slowed,
        Experiment::Control,
        Experiment::Once,
        Experiment::Failover,
    ];

    /// Experiments that `all` skips because they take long.
    pub const EXTRA: [Experiment; 1] = [Experiment::Capacity];

    /// Name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Experiment::Fairness => "fairness",
            Experiment::Utilisation => "utilisation",
            Experiment::Crest => "crest",
            Experiment::Blocking => "blocking",
            Experiment::Slowed => "slowed",
            Experiment::Control => "control",
            Experiment::Once => "once",
            Experiment::Failover => "failover",
            Experiment::Capacity => "capacity",
        }
    }
}

/// Which routing policy is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The real fleet's policy.
    Fleet,
    /// Round robin with FIFO queues.
    Naive,
}

/// Runs an experiment. Returns one report per case.
pub fn run(experiment: Experiment, seed: u64, variant: Variant) -> Vec<Report> {
    match variant {
        Variant::Fleet => run_cases(experiment, seed, FleetPolicy::new),
        Variant::Naive => run_cases(experiment, seed, |l: &Layout| {
            Naive::new(l.entries, l.agents, l.slots)
        }),
    }
}

fn run_cases<P: Policy>(
    e: Experiment,
    seed: u64,
    new_policy: impl Fn(&Layout) -> P,
) -> Vec<Report> {
    match e {
        Experiment::Fairness => vec![
            fairness(seed, false, &new_policy),
            fairness(seed, true, &new_policy),
        ],
        Experiment::Utilisation => DEPLOYMENTS
            .iter()
            .map(|deployment| utilisation(seed, deployment, &new_policy))
            .collect(),
        Experiment::Crest => vec![crest(seed, &new_policy)],
        Experiment::Blocking => [0.9, 1.1]
            .iter()
            .map(|&load| blocking(seed, load, &new_policy))
            .collect(),
        Experiment::Slowed => vec![slowed(seed, &new_policy)],
        Experiment::Control => vec![
            control_traffic(seed, &new_policy),
            exchange_cost(seed, P::NAME),
        ],
        Experiment::Once => vec![once(seed, &new_policy)],
        Experiment::Failover => [FailureScope::Agent, FailureScope::Entry, FailureScope::Zone]
            .iter()
            .map(|&scope| failover(seed, scope, &new_policy))
            .collect(),
        Experiment::Capacity => capacity::run(seed),
    }
}

/// A deployment whose utilisation is measured.
struct Deployment {
    name: &'static str,
    layout: Layout,
}

const TOVOLEA: Layout = Layout {
    zones: 3,
    entries: 6,
    agents: 20,
    slots: 8,
    accounts: 15,
};
const KETTERING: Layout = Layout {
    zones: 4,
    entries: 4,
    agents: 20,
    slots: 8,
    accounts: 15,
};
const ORDERS: Layout = Layout {
    zones: 3,
    entries: 6,
    agents: 3,
    slots: 4,
    accounts: 15,
};
const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "tovolea",
        layout: TOVOLEA,
    },
    Deployment {
        name: "kettering",
        layout: KETTERING,
    },
];

/// Mean slot time of a short model-inference request.
const MODEL_COST: Micros = Micros::from_ms(200);
/// Mean slot time of a request to the orders service.
const ORDER_COST: Micros = Micros::from_ms(100);
/// Ratio of the largest cost in a request class to the mean.
const MAX_COST_FACTOR: u64 = 8;
/// Number of client accounts with a high request rate.
const LARGE_ACCOUNTS: u32 = 3;
/// Ratio of a large account's request rate to that of the others.
const LARGE_FACTOR: f64 = 4.0;

/// Flows whose total load is `load` times the capacity. The first [`LARGE_ACCOUNTS`] accounts send
/// more than the others.
fn flows(layout: &Layout, workload: Workload, load: f64) -> Vec<Flow> {
    let capacity = (layout.agents * layout.slots as usize) as f64 / workload.mean_s();
    let weight = |i: u32| {
        if i < LARGE_ACCOUNTS {
            LARGE_FACTOR
        } else {
            1.0
        }
    };
    let n = layout.accounts as u32;
    let total: f64 = (0..n).map(weight).sum();
    (0..n)
        .map(|i| Flow {
            account: AccountKey(i),
            rate: capacity * load * weight(i) / total,
            entry: EntryChoice::All,
            workload,
        })
        .collect()
}

/// All accounts are backlogged, and one sends half of all requests, all through one entry. If
/// `partitioned`, the links between the entries are cut for 30 s.
fn fairness<P: Policy>(seed: u64, partitioned: bool, new_policy: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 3.0;
    const END: Micros = Micros::from_secs(60);
    const PARTITION: (Micros, Micros) = (Micros::from_secs(15), Micros::from_secs(45));
    let layout = TOVOLEA;
    let mut flows = flows(&layout, Workload::short(MODEL_COST), LOAD);
    let total: f64 = flows.iter().map(|f| f.rate).sum();
    for flow in &mut flows {
        flow.rate = total / 2.0 / (layout.accounts - 1) as f64;
    }
    flows[0].rate = total / 2.0;
    flows[0].entry = EntryChoice::One(EntryKey(0));
    let demand = Demand::new(seed, layout.entries, flows);
    let mut sim = Simulation::new(&layout, demand, new_policy(&layout));
    let mut staleness = MIN_PERIOD + TICK_INTERVAL;
    if partitioned {
        staleness += PARTITION.1 - PARTITION.0;
        for (a, b) in entry_pairs(layout.entries) {
            sim.schedule_fault(PARTITION.0, Fault::Cut(a, b));
            sim.schedule_fault(PARTITION.1, Fault::Heal(a, b));
        }
    }
    sim.run_until(END);
    Report::new("fairness", seed, P::NAME)
        .label(
            "case",
            if partitioned {
                "entries cut off for 30 s"
            } else {
                "one entry flooded"
            },
        )
        .figure("gap_ms", ms(sim.meter.max_gap()))
        .figure("bound_ms", ms(gap_bound(&layout, staleness, MODEL_COST)))
        .figure("utilisation_percent", sim.meter.utilisation() * 100.0)
}

/// Upper bound on the service gap between two backlogged accounts. An entry's view of usage is up
/// to `staleness` old; for that long, one account may use all slots, and then the other account.
/// In addition, requests that still run are charged only their estimated cost.
fn gap_bound(layout: &Layout, staleness: Micros, mean: Micros) -> Micros {
    let slots = (layout.agents * layout.slots as usize) as u64;
    let largest = mean.0 * MAX_COST_FACTOR;
    Micros(slots * (2 * staleness.0 + largest))
}

fn utilisation<P: Policy>(
    seed: u64,
    deployment: &Deployment,
    new_policy: &impl Fn(&Layout) -> P,
) -> Report {
    const LOAD: f64 = 1.2;
    const END: Micros = Micros::from_secs(30);
    let flows = flows(&deployment.layout, Workload::short(MODEL_COST), LOAD);
    let demand = Demand::new(seed, deployment.layout.entries, flows);
    let mut sim = Simulation::new(&deployment.layout, demand, new_policy(&deployment.layout));
    sim.run_until(END);
    Report::new("utilisation", seed, P::NAME)
        .label("case", deployment.name)
        .figure("utilisation_percent", sim.meter.utilisation() * 100.0)
}

/// The request rate rises tenfold within two seconds and falls back after ten more.
fn crest<P: Policy>(seed: u64, new_policy: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 0.5;
    const SPIKE: LoadSpike = LoadSpike {
        start: Micros::from_secs(10),
        ramp: Micros::from_secs(2),
        end: Micros::from_secs(22),
        factor: 10.0,
    };
    let layout = TOVOLEA;
    let flows = flows(&layout, Workload::short(MODEL_COST), LOAD);
    let demand = Demand::new(seed, layout.entries, flows).with_spike(SPIKE);
    let mut sim = Simulation::new(&layout, demand, new_policy(&layout));
    sim.meter.set_interval(SPIKE.start, SPIKE.end);
    sim.run_until(Micros::from_secs(40));
    Report::new("crest", seed, P::NAME)
        .figure("least_share_percent", sim.meter.least_share() * 100.0)
        .figure("utilisation_percent", sim.meter.utilisation() * 100.0)
        .figure("gap_ms", ms(sim.meter.max_gap()))
}

/// A fifth of the requests take fifty times the slot time of the rest.
fn blocking<P: Policy>(seed: u64, load: f64, new_policy: &impl Fn(&Layout) -> P) -> Report {
    const END: Micros = Micros::from_secs(120);
    let layout = KETTERING;
    let workload = Workload {
        long_share: 0.2,
        factor: 50,
        ..Workload::short(MODEL_COST)
    };
    let demand = Demand::new(seed, layout.entries, flows(&layout, workload, load));
    let mut sim = Simulation::new(&layout, demand, new_policy(&layout));
    sim.run_until(END);
    let waits = |long: bool| -> Vec<Micros> {
        let requests = sim.requests.iter().filter(|r| r.long == long);
        requests
            .filter_map(|r| Some(r.started_at? - r.arrived_at))
            .collect()
    };
    Report::new("blocking", seed, P::NAME)
        .figure("load_percent", load * 100.0)
        .figure("short_p50_ms", ms(percentile(waits(false), 50)))
        .figure("short_p99_ms", ms(percentile(waits(false), 99)))
        .figure("long_p99_ms", ms(percentile(waits(true), 99)))
        .figure("utilisation_percent", sim.meter.utilisation() * 100.0)
}

/// Tail latencies of a run.
struct Tail {
    p99: Micros,
    p999: Micros,
}

/// Every ten seconds, three targets run ten times slower for five seconds.
fn slowed<P: Policy>(seed: u64, new_policy: &impl Fn(&Layout) -> P) -> Report {
    let baseline = slowed_tail(seed, false, new_policy);
    let degraded = slowed_tail(seed, true, new_policy);
    Report::new("slowed", seed, P::NAME)
        .figure("calm_p99_ms", ms(baseline.p99))
        .figure("p99_ms", ms(degraded.p99))
        .figure(
            "p99_ratio",
            degraded.p99.0 as f64 / baseline.p99.0.max(1) as f64,
        )
        .figure("calm_p999_ms", ms(baseline.p999))
        .figure("p999_ms", ms(degraded.p999))
}

/// The 99th and 99.9th percentile of the time from arrival to response.
fn slowed_tail<P: Policy>(seed: u64, degraded: bool, new_policy: &impl Fn(&Layout) -> P) -> Tail {
    const LOAD: f64 = 0.6;
    const END: Micros = Micros::from_secs(60);
    const SLOW_PERCENT: u32 = 10;
    let layout = TOVOLEA;
    let flows = flows(&layout, Workload::short(MODEL_COST), LOAD);
    let demand = Demand::new(seed, layout.entries, flows);
    let mut sim = Simulation::new(&layout, demand, new_policy(&layout));
    for (round, start) in (5..55).step_by(10).enumerate().filter(|_| degraded) {
        for i in 0..3 {
            let agent = AgentKey::from((round * 3 + i) % layout.agents);
            let at = Micros::from_secs(start);
            sim.schedule_fault(at, Fault::Rate(agent, SLOW_PERCENT));
            sim.schedule_fault(at + Micros::from_secs(5), Fault::Rate(agent, 100));
        }
    }
    sim.run_until(END);
    let mut all = latencies(&sim);
    all.sort_unstable();
    let slowest = all.split_off(all.len() - all.len() / 100);
    Tail {
        p99: slowest.first().copied().unwrap_or_default(),
        p999: percentile(slowest, 90),
    }
}

/// Measures the control traffic under overload.
fn control_traffic<P: Policy>(seed: u64, new_policy: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 1.2;
    const END: Micros = Micros::from_secs(20);
    let layout = TOVOLEA;
    let demand = Demand::new(
        seed,
        layout.entries,
        flows(&layout, Workload::short(MODEL_COST), LOAD),
    );
    let mut sim = Simulation::new(&layout, demand, new_policy(&layout));
    sim.run_until(END);
    let nodes = (layout.entries + layout.agents) as f64;
    let (messages, bytes) = sim.meter.control_traffic();
    let per_node = |n: u64| n as f64 / END.as_secs_f64() / nodes;
    Report::new("control", seed, P::NAME)
        .label("case", "tovolea")
        .figure("control_bytes_per_s", per_node(bytes))
        .figure("control_messages_per_s", per_node(messages))
        .figure(
            "requests_per_s",
            sim.requests.len() as f64 / END.as_secs_f64(),
        )
}

/// Measures the cost of the exchange alone, in process, at the fleet size that the exchange is
/// designed for.
fn exchange_cost(seed: u64, variant: &'static str) -> Report {
    const MEMBERS: usize = 370;
    const ACCOUNTS: usize = 3_500;
    const BACKLOGGED: usize = 350;
    const SERVICES: usize = 17;
    const ROUNDS: usize = 20;
    let report = Report::new("control", seed, variant).label("case", "exchange of 370 entries");
    if variant == Naive::NAME {
        return report.figure("control_bytes_per_s", 0.0);
    }
    let cost = control_cost(MEMBERS, ACCOUNTS, BACKLOGGED, SERVICES, ROUNDS);
    let period = cost.period_ms.max(1) as f64;
    report
        .figure("control_bytes_per_s", cost.max_bytes)
        .figure("mean_bytes_per_s", cost.mean_bytes)
        .figure("control_messages_per_s", cost.max_messages)
        .figure("core_percent", cost.round_micros / period / 10.0)
        .figure("period_ms", period)
        .figure("state_bytes", cost.state_bytes as f64)
}

/// Sends non-idempotent requests while agents are disconnected, killed and restarted.
fn once<P: Policy>(seed: u64, new_policy: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 0.7;
    let layout = ORDERS;
    let workload = Workload {
        idempotent: false,
        ..Workload::short(ORDER_COST)
    };
    let demand = Demand::new(seed, layout.entries, flows(&layout, workload, LOAD));
    let mut sim = Simulation::new(&layout, demand, new_policy(&layout));
    for round in 0..6 {
        let agent = Node::Agent(AgentKey::from(round % layout.agents));
        let at = Micros::from_secs(5 + 8 * round as u64);
        let recovery = at + Micros::from_secs(3);
        if round % 2 == 0 {
            for e in 0..layout.entries {
                let entry = Node::Entry(EntryKey::from(e));
                sim.schedule_fault(at, Fault::Cut(entry, agent));
                sim.schedule_fault(recovery, Fault::Heal(entry, agent));
            }
        } else {
            sim.schedule_fault(at, Fault::Kill(agent));
            sim.schedule_fault(recovery, Fault::Start(agent));
        }
    }
    sim.run_until(Micros::from_secs(60));
    let count = |f: &dyn Fn(&Request) -> bool| sim.requests.iter().filter(|r| f(r)).count() as f64;
    let refused = |r: &Request| r.outcome == Outcome::Refused(Refusal::NotRun);
    Report::new("once", seed, P::NAME)
        .figure("tried_count", count(&|_| true))
        .figure(
            "answered_count",
            count(&|r| matches!(r.outcome, Outcome::Answered(_))),
        )
        .figure("doubled_count", count(&|r| r.start_count > 1))
        .figure("refused_count", count(&|r| refused(r)))
        .figure(
            "refused_but_run_count",
            count(&|r| refused(r) && r.start_count > 0),
        )
        .figure(
            "unknown_count",
            count(&|r| r.outcome == Outcome::Refused(Refusal::Unknown)),
        )
        .figure("open_count", count(&|r| r.outcome == Outcome::Pending))
}

#[derive(Clone, Copy, Debug)]
enum FailureScope {
    Agent,
    Entry,
    Zone,
}

/// Kills a node, or all nodes of a zone, and does not restart them.
fn failover<P: Policy>(
    seed: u64,
    scope: FailureScope,
    new_policy: &impl Fn(&Layout) -> P,
) -> Report {
    const LOAD: f64 = 0.5;
    const FAILURE_TIME: Micros = Micros::from_secs(10);
    let layout = TOVOLEA;
    let flows = flows(&layout, Workload::short(MODEL_COST), LOAD);
    let demand = Demand::new(seed, layout.entries, flows);
    let mut sim = Simulation::new(&layout, demand, new_policy(&layout));
    let agents = (0..layout.agents).map(|i| Node::Agent(AgentKey::from(i)));
    let entries = (0..layout.entries).map(|i| Node::Entry(EntryKey::from(i)));
    let (name, failed_nodes): (_, Vec<Node>) = match scope {
        FailureScope::Agent => ("agent", agents.take(1).collect()),
        FailureScope::Entry => ("entry", entries.take(1).collect()),
        FailureScope::Zone => (
            "zone",
            agents
                .step_by(layout.zones)
                .chain(entries.step_by(layout.zones))
                .collect(),
        ),
    };
    for node in failed_nodes {
        sim.schedule_fault(FAILURE_TIME, Fault::Kill(node));
    }
    sim.run_until(Micros::from_secs(25));
    let failed = |r: &&Request| {
        matches!(r.outcome, Outcome::Refused(_) | Outcome::EntryLost)
            && r.arrived_at >= FAILURE_TIME
    };
    let last = sim.requests.iter().filter(failed).map(|r| r.arrived_at);
    let until = last.max().map_or(Micros::ZERO, |at| at - FAILURE_TIME);
    let after = sim.requests.iter().filter(|r| r.arrived_at >= FAILURE_TIME);
    let slowest = after.filter_map(latency).max().unwrap_or_default();
    Report::new("failover", seed, P::NAME)
        .label("case", name)
        .figure("flows_again_ms", ms(until))
        .figure(
            "failed_count",
            sim.requests
                .iter()
                .filter(|r| matches!(r.outcome, Outcome::Refused(_) | Outcome::EntryLost))
                .count() as f64,
        )
        .figure("slowest_ms", ms(slowest))
}

fn latency(request: &Request) -> Option<Micros> {
    match request.outcome {
        Outcome::Answered(at) => Some(at - request.arrived_at),
        _ => None,
    }
}

fn latencies<P>(sim: &Simulation<P>) -> Vec<Micros> {
    sim.requests.iter().filter_map(latency).collect()
}

fn entry_pairs(entries: usize) -> Vec<(Node, Node)> {
    let node = |i| Node::Entry(EntryKey::from(i));
    (0..entries)
        .flat_map(|i| (0..i).map(move |j| (node(j), node(i))))
        .collect()
}

fn ms(span: Micros) -> f64 {
    span.0 as f64 / 1e3
}
