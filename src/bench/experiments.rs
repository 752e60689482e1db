//! The experiments: what is asked of the policy, and which figures are taken.

use crate::exchange::measure::control_cost;
use crate::exchange::node::MIN_PERIOD;
use crate::ids::{AccountKey, AgentKey, EntryKey};
use crate::units::Micros;

use super::capacity;
use super::demand::{Crest, Demand, Flow, Mix, Via};
use super::meter::percentile;
use super::naive::Naive;
use super::ours::Ours;
use super::policy::{Node, Policy, Refusal, TICK};
use super::report::Report;
use super::world::{Fate, Fault, Layout, Request, World};

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Gap of service between backlogged client accounts.
    Fairness,
    /// Share of slots that are busy while work waits.
    Utilisation,
    /// Service at the crest of a swing of demand.
    Crest,
    /// Wait of short work behind long work.
    Blocking,
    /// Tail latency while some targets are slowed.
    Slowed,
    /// Control traffic.
    Control,
    /// Runs of non-idempotent work under faults.
    Once,
    /// Time until work flows again after a loss.
    Failover,
    /// What one more request, account, connection or record costs.
    Capacity,
}

impl Experiment {
    /// The experiments of `all`, in order.
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

    /// Experiments that `all` leaves out, as they take long.
    pub const EXTRA: [Experiment; 1] = [Experiment::Capacity];

    /// Its name on the command line.
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

/// Whose decisions are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The fleet's.
    Fleet,
    /// Round robin, first come first served.
    Naive,
}

/// Runs an experiment. One report for each of its cases.
pub fn run(experiment: Experiment, seed: u64, variant: Variant) -> Vec<Report> {
    match variant {
        Variant::Fleet => measure(experiment, seed, Ours::new),
        Variant::Naive => measure(experiment, seed, |l: &Layout| {
            Naive::new(l.entries, l.agents, l.slots)
        }),
    }
}

fn measure<P: Policy>(e: Experiment, seed: u64, make: impl Fn(&Layout) -> P) -> Vec<Report> {
    match e {
        Experiment::Fairness => vec![fairness(seed, false, &make), fairness(seed, true, &make)],
        Experiment::Utilisation => SITES
            .iter()
            .map(|site| utilisation(seed, site, &make))
            .collect(),
        Experiment::Crest => vec![crest(seed, &make)],
        Experiment::Blocking => [0.9, 1.1]
            .iter()
            .map(|&load| blocking(seed, load, &make))
            .collect(),
        Experiment::Slowed => vec![slowed(seed, &make)],
        Experiment::Control => vec![control(seed, &make), exchange_cost(seed, P::NAME)],
        Experiment::Once => vec![once(seed, &make)],
        Experiment::Failover => [Loss::Agent, Loss::Entry, Loss::Zone]
            .iter()
            .map(|&loss| failover(seed, loss, &make))
            .collect(),
        Experiment::Capacity => capacity::run(seed),
    }
}

/// A deployment that is measured.
struct SiteCase {
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
const SITES: [SiteCase; 2] = [
    SiteCase {
        name: "tovolea",
        layout: TOVOLEA,
    },
    SiteCase {
        name: "kettering",
        layout: KETTERING,
    },
];

/// Mean slot time of a short model request.
const MODEL_COST: Micros = Micros::from_ms(200);
/// Mean slot time of an order.
const ORDER_COST: Micros = Micros::from_ms(100);
/// How many times the mean the largest request of a class costs.
const LARGEST_FACTOR: u64 = 8;
/// Client accounts that send much.
const LARGE_ACCOUNTS: u32 = 3;
/// How many times more a large account sends.
const LARGE_FACTOR: f64 = 4.0;

/// Flows at `load` times the capacity; the first accounts are large.
fn flows(layout: &Layout, mix: Mix, load: f64) -> Vec<Flow> {
    let capacity = (layout.agents * layout.slots as usize) as f64 / mix.mean_s();
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
            via: Via::All,
            mix,
        })
        .collect()
}

/// Every account is backlogged; one sends half of all requests through one entry.
fn fairness<P: Policy>(seed: u64, parted: bool, make: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 3.0;
    const END: Micros = Micros::from_secs(60);
    const CUT: (Micros, Micros) = (Micros::from_secs(15), Micros::from_secs(45));
    let layout = TOVOLEA;
    let mut flows = flows(&layout, Mix::short(MODEL_COST), LOAD);
    let total: f64 = flows.iter().map(|f| f.rate).sum();
    for flow in &mut flows {
        flow.rate = total / 2.0 / (layout.accounts - 1) as f64;
    }
    flows[0].rate = total / 2.0;
    flows[0].via = Via::One(EntryKey(0));
    let demand = Demand::new(seed, layout.entries, flows);
    let mut world = World::new(&layout, demand, make(&layout));
    let mut stale = MIN_PERIOD + TICK;
    if parted {
        stale += CUT.1 - CUT.0;
        for (a, b) in pairs(layout.entries) {
            world.fault(CUT.0, Fault::Cut(a, b));
            world.fault(CUT.1, Fault::Heal(a, b));
        }
    }
    world.run(END);
    Report::new("fairness", seed, P::NAME)
        .text(
            "case",
            if parted {
                "entries cut off for 30 s"
            } else {
                "one entry flooded"
            },
        )
        .figure("gap_ms", ms(world.meter.gap()))
        .figure("bound_ms", ms(gap_bound(&layout, stale, MODEL_COST)))
        .figure("utilisation_percent", world.meter.utilisation() * 100.0)
}

/// Bound on the gap between two backlogged accounts: while an entry's view is `stale`, one account
/// may take all slots and then the other, and what runs is known by its estimate only.
fn gap_bound(layout: &Layout, stale: Micros, mean: Micros) -> Micros {
    let slots = (layout.agents * layout.slots as usize) as u64;
    let largest = mean.0 * LARGEST_FACTOR;
    Micros(slots * (2 * stale.0 + largest))
}

fn utilisation<P: Policy>(seed: u64, site: &SiteCase, make: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 1.2;
    const END: Micros = Micros::from_secs(30);
    let flows = flows(&site.layout, Mix::short(MODEL_COST), LOAD);
    let demand = Demand::new(seed, site.layout.entries, flows);
    let mut world = World::new(&site.layout, demand, make(&site.layout));
    world.run(END);
    Report::new("utilisation", seed, P::NAME)
        .text("case", site.name)
        .figure("utilisation_percent", world.meter.utilisation() * 100.0)
}

/// Demand rises tenfold within two seconds and falls after ten.
fn crest<P: Policy>(seed: u64, make: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 0.5;
    const CREST: Crest = Crest {
        start: Micros::from_secs(10),
        ramp: Micros::from_secs(2),
        end: Micros::from_secs(22),
        factor: 10.0,
    };
    let layout = TOVOLEA;
    let flows = flows(&layout, Mix::short(MODEL_COST), LOAD);
    let demand = Demand::new(seed, layout.entries, flows).with_crest(CREST);
    let mut world = World::new(&layout, demand, make(&layout));
    world.meter.between(CREST.start, CREST.end);
    world.run(Micros::from_secs(40));
    Report::new("crest", seed, P::NAME)
        .figure("least_share_percent", world.meter.least_share() * 100.0)
        .figure("utilisation_percent", world.meter.utilisation() * 100.0)
        .figure("gap_ms", ms(world.meter.gap()))
}

/// A fifth of the requests runs fifty times longer than the rest.
fn blocking<P: Policy>(seed: u64, load: f64, make: &impl Fn(&Layout) -> P) -> Report {
    const END: Micros = Micros::from_secs(120);
    let layout = KETTERING;
    let mix = Mix {
        longs: 0.2,
        factor: 50,
        ..Mix::short(MODEL_COST)
    };
    let demand = Demand::new(seed, layout.entries, flows(&layout, mix, load));
    let mut world = World::new(&layout, demand, make(&layout));
    world.run(END);
    let waits = |long: bool| -> Vec<Micros> {
        let of = world.requests.iter().filter(|r| r.long == long);
        of.filter_map(|r| Some(r.started? - r.arrived)).collect()
    };
    Report::new("blocking", seed, P::NAME)
        .figure("load_percent", load * 100.0)
        .figure("short_p50_ms", ms(percentile(waits(false), 50)))
        .figure("short_p99_ms", ms(percentile(waits(false), 99)))
        .figure("long_p99_ms", ms(percentile(waits(true), 99)))
        .figure("utilisation_percent", world.meter.utilisation() * 100.0)
}

/// The slow end of a run's latencies.
struct Tail {
    p99: Micros,
    p999: Micros,
}

/// Three targets are slowed tenfold for five seconds at a time.
fn slowed<P: Policy>(seed: u64, make: &impl Fn(&Layout) -> P) -> Report {
    let calm = slowed_run(seed, false, make);
    let rough = slowed_run(seed, true, make);
    Report::new("slowed", seed, P::NAME)
        .figure("calm_p99_ms", ms(calm.p99))
        .figure("p99_ms", ms(rough.p99))
        .figure("p99_ratio", rough.p99.0 as f64 / calm.p99.0.max(1) as f64)
        .figure("calm_p999_ms", ms(calm.p999))
        .figure("p999_ms", ms(rough.p999))
}

/// Percentiles 99 and 99.9 of the time from arrival to answer.
fn slowed_run<P: Policy>(seed: u64, rough: bool, make: &impl Fn(&Layout) -> P) -> Tail {
    const LOAD: f64 = 0.6;
    const END: Micros = Micros::from_secs(60);
    const SLOW_PERCENT: u32 = 10;
    let layout = TOVOLEA;
    let flows = flows(&layout, Mix::short(MODEL_COST), LOAD);
    let demand = Demand::new(seed, layout.entries, flows);
    let mut world = World::new(&layout, demand, make(&layout));
    for (turn, start) in (5..55).step_by(10).enumerate().filter(|_| rough) {
        for i in 0..3 {
            let agent = AgentKey::from((turn * 3 + i) % layout.agents);
            let at = Micros::from_secs(start);
            world.fault(at, Fault::Rate(agent, SLOW_PERCENT));
            world.fault(at + Micros::from_secs(5), Fault::Rate(agent, 100));
        }
    }
    world.run(END);
    let mut all = latencies(&world);
    all.sort_unstable();
    let slowest = all.split_off(all.len() - all.len() / 100);
    Tail {
        p99: slowest.first().copied().unwrap_or_default(),
        p999: percentile(slowest, 90),
    }
}

/// Control traffic at full load.
fn control<P: Policy>(seed: u64, make: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 1.2;
    const END: Micros = Micros::from_secs(20);
    let layout = TOVOLEA;
    let demand = Demand::new(
        seed,
        layout.entries,
        flows(&layout, Mix::short(MODEL_COST), LOAD),
    );
    let mut world = World::new(&layout, demand, make(&layout));
    world.run(END);
    let nodes = (layout.entries + layout.agents) as f64;
    let (messages, bytes) = world.meter.control();
    let per_node = |n: u64| n as f64 / END.as_secs_f64() / nodes;
    Report::new("control", seed, P::NAME)
        .text("case", "tovolea")
        .figure("control_bytes_per_s", per_node(bytes))
        .figure("control_messages_per_s", per_node(messages))
        .figure(
            "requests_per_s",
            world.requests.len() as f64 / END.as_secs_f64(),
        )
}

/// The exchange alone at the size to design for, measured in process.
fn exchange_cost(seed: u64, variant: &'static str) -> Report {
    const MEMBERS: usize = 370;
    const ACCOUNTS: usize = 3_500;
    const BACKLOGGED: usize = 350;
    const SERVICES: usize = 17;
    const ROUNDS: usize = 20;
    let report = Report::new("control", seed, variant).text("case", "exchange of 370 entries");
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

/// Orders while agents are cut off, killed and restarted.
fn once<P: Policy>(seed: u64, make: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 0.7;
    let layout = ORDERS;
    let mix = Mix {
        idempotent: false,
        ..Mix::short(ORDER_COST)
    };
    let demand = Demand::new(seed, layout.entries, flows(&layout, mix, LOAD));
    let mut world = World::new(&layout, demand, make(&layout));
    for turn in 0..6 {
        let agent = Node::Agent(AgentKey::from(turn % layout.agents));
        let at = Micros::from_secs(5 + 8 * turn as u64);
        let back = at + Micros::from_secs(3);
        if turn % 2 == 0 {
            for e in 0..layout.entries {
                let entry = Node::Entry(EntryKey::from(e));
                world.fault(at, Fault::Cut(entry, agent));
                world.fault(back, Fault::Heal(entry, agent));
            }
        } else {
            world.fault(at, Fault::Kill(agent));
            world.fault(back, Fault::Start(agent));
        }
    }
    world.run(Micros::from_secs(60));
    let count =
        |f: &dyn Fn(&Request) -> bool| world.requests.iter().filter(|r| f(r)).count() as f64;
    let refused = |r: &Request| r.fate == Fate::Refused(Refusal::NotRun);
    Report::new("once", seed, P::NAME)
        .figure("tried_count", count(&|_| true))
        .figure(
            "answered_count",
            count(&|r| matches!(r.fate, Fate::Answered(_))),
        )
        .figure("doubled_count", count(&|r| r.runs > 1))
        .figure("refused_count", count(&|r| refused(r)))
        .figure(
            "refused_but_run_count",
            count(&|r| refused(r) && r.runs > 0),
        )
        .figure(
            "unknown_count",
            count(&|r| r.fate == Fate::Refused(Refusal::Unknown)),
        )
        .figure("open_count", count(&|r| r.fate == Fate::Open))
}

#[derive(Clone, Copy, Debug)]
enum Loss {
    Agent,
    Entry,
    Zone,
}

/// A process or a zone is lost for good.
fn failover<P: Policy>(seed: u64, loss: Loss, make: &impl Fn(&Layout) -> P) -> Report {
    const LOAD: f64 = 0.5;
    const AT: Micros = Micros::from_secs(10);
    let layout = TOVOLEA;
    let flows = flows(&layout, Mix::short(MODEL_COST), LOAD);
    let demand = Demand::new(seed, layout.entries, flows);
    let mut world = World::new(&layout, demand, make(&layout));
    let agents = (0..layout.agents).map(|i| Node::Agent(AgentKey::from(i)));
    let entries = (0..layout.entries).map(|i| Node::Entry(EntryKey::from(i)));
    let (name, dead): (_, Vec<Node>) = match loss {
        Loss::Agent => ("agent", agents.take(1).collect()),
        Loss::Entry => ("entry", entries.take(1).collect()),
        Loss::Zone => (
            "zone",
            agents
                .step_by(layout.zones)
                .chain(entries.step_by(layout.zones))
                .collect(),
        ),
    };
    for node in dead {
        world.fault(AT, Fault::Kill(node));
    }
    world.run(Micros::from_secs(25));
    let failed = |r: &&Request| matches!(r.fate, Fate::Refused(_) | Fate::Lost) && r.arrived >= AT;
    let last = world.requests.iter().filter(failed).map(|r| r.arrived);
    let until = last.max().map_or(Micros::ZERO, |at| at - AT);
    let after = world.requests.iter().filter(|r| r.arrived >= AT);
    let slowest = after.filter_map(latency).max().unwrap_or_default();
    Report::new("failover", seed, P::NAME)
        .text("case", name)
        .figure("flows_again_ms", ms(until))
        .figure(
            "failed_count",
            world
                .requests
                .iter()
                .filter(|r| matches!(r.fate, Fate::Refused(_) | Fate::Lost))
                .count() as f64,
        )
        .figure("slowest_ms", ms(slowest))
}

fn latency(request: &Request) -> Option<Micros> {
    match request.fate {
        Fate::Answered(at) => Some(at - request.arrived),
        _ => None,
    }
}

fn latencies<P>(world: &World<P>) -> Vec<Micros> {
    world.requests.iter().filter_map(latency).collect()
}

fn pairs(entries: usize) -> Vec<(Node, Node)> {
    let node = |i| Node::Entry(EntryKey::from(i));
    (0..entries)
        .flat_map(|i| (0..i).map(move |j| (node(j), node(i))))
        .collect()
}

fn ms(span: Micros) -> f64 {
    span.0 as f64 / 1e3
}
