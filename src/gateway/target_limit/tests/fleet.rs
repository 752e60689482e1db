//! Model of a fleet before one target with a limit, on simulated time: what the target gets in any
//! 4 s, while the gateways hear of each other late.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{LimitedUse, TargetLimit, at};
use crate::gateway::service_demand::{DemandMap, ServiceDemand, ServiceTag};

const SERVICE: ServiceTag = ServiceTag(1);
/// Time between two rounds of gossip, in milliseconds.
const ROUND_MS: u64 = 100;
/// Time after the first answer with a limit from which the platform's rule counts, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Length of the rule's window, in milliseconds.
const RULE_MS: u64 = 4_000;
/// Seeds that each load is played with, and the length of a play in seconds.
const SEEDS: u64 = 10;
const SECONDS: u64 = 30;

/// A load on one target.
#[derive(Clone, Copy, Debug)]
struct Load {
    gateways: usize,
    /// Requests a second that the target takes.
    limit: f64,
    /// Requests a second that all gateways would send to it.
    demand: f64,
    /// Requests a second for the service at each gateway, on average.
    service: f64,
    /// Number of rounds after which a gateway hears of the others.
    delay: usize,
    /// How the demand is spread: the first gateway has this many times that of another.
    skew: f64,
    /// Time in seconds from which there is demand.
    from_s: u64,
    /// Whether one gateway hears nothing, and is heard by none, from 10 s on.
    cut: bool,
}

/// One gateway's view.
#[derive(Default)]
struct Gateway {
    limit: TargetLimit,
    demand: ServiceDemand,
}

/// What a gateway reports in a round.
#[derive(Clone, Default)]
struct Report {
    used: LimitedUse,
    demand: DemandMap,
}

/// Times in milliseconds at which the target got a request, and the gateway that sent it.
type Arrivals = Vec<(u64, usize)>;

struct Model {
    load: Load,
    random: StdRng,
    gateways: Vec<Gateway>,
    /// Reports of the last rounds, newest last.
    rounds: VecDeque<Vec<Report>>,
    arrivals: Arrivals,
}

impl Model {
    fn new(load: Load, seed: u64) -> Model {
        Model {
            load,
            random: StdRng::seed_from_u64(seed),
            gateways: (0..load.gateways).map(|_| Gateway::default()).collect(),
            rounds: VecDeque::new(),
            arrivals: Vec::new(),
        }
    }

    fn run(mut self) -> Arrivals {
        for ms in (0..SECONDS * 1_000).step_by(ROUND_MS as usize) {
            self.gossip(ms);
            if ms >= self.load.from_s * 1_000 {
                self.arrive(ms);
            }
        }
        self.arrivals
    }

    fn is_cut(&self, gateway: usize, ms: u64) -> bool {
        self.load.cut && gateway == 0 && ms >= 10_000
    }

    /// Each gateway reports, hears what the others reported some rounds ago, and gets its tokens.
    fn gossip(&mut self, ms: u64) {
        let reports = self.gateways.iter_mut().map(|gateway| Report {
            used: gateway.limit.report(at(ms)).unwrap_or_default(),
            demand: gateway.demand.own(at(ms)),
        });
        self.rounds.push_back(reports.collect());
        if self.rounds.len() > self.load.delay {
            self.rounds.pop_front();
        }
        let heard = self.rounds.front().cloned().unwrap_or_default();
        for index in 0..self.gateways.len() {
            let others = (0..heard.len()).filter(|&other| other != index);
            let others = others.filter(|&other| !self.is_cut(other, ms));
            let mut sum = Report::default();
            for other in others {
                sum.used.add(&heard[other].used);
                for (&service, count) in &heard[other].demand {
                    *sum.demand.entry(service).or_default() += count;
                }
            }
            let cut = self.is_cut(index, ms);
            let known = self.gateways.len() - 1;
            let random = self.random.random();
            let gateway = &mut self.gateways[index];
            gateway
                .limit
                .set_others(if cut { LimitedUse::default() } else { sum.used });
            gateway
                .demand
                .set_others((!cut).then_some(sum.demand), known);
            let part = gateway.demand.part(at(ms), SERVICE);
            gateway.limit.refill(at(ms), part, random);
        }
    }

    /// Requests of one round: some of those for the service would go to the target.
    fn arrive(&mut self, ms: u64) {
        let round = ROUND_MS as f64 / 1_000.0;
        let total = self.load.skew + (self.load.gateways - 1) as f64;
        let wants = self.load.demand / (self.load.service * self.load.gateways as f64);
        for index in 0..self.load.gateways {
            let weight = if index == 0 { self.load.skew } else { 1.0 };
            let rate = self.load.service * self.load.gateways as f64 * weight / total * round;
            let requests = rate as u64 + u64::from(self.random.random_bool(rate.fract()));
            for _ in 0..requests {
                self.gateways[index].demand.record(at(ms), SERVICE);
                if self.random.random_bool(wants.min(1.0)) {
                    self.send(ms, index);
                }
            }
        }
    }

    fn send(&mut self, ms: u64, index: usize) {
        let limit = &mut self.gateways[index].limit;
        if limit.take(at(ms)) {
            self.arrivals.push((ms, index));
            limit.observe(at(ms), Some(self.load.limit));
        }
    }
}

/// The most requests in any window of the platform's rule, from when it counts. A gateway that is
/// cut off is excused.
fn most_in_window(arrivals: &Arrivals, load: &Load) -> usize {
    let counted = arrivals
        .iter()
        .filter(|(_, gateway)| !(load.cut && *gateway == 0));
    let times: Vec<u64> = counted.map(|(ms, _)| *ms).collect();
    let first = times.first().map_or(0, |first| first + CONTACT_MS);
    let counted = times.iter().filter(|&&ms| ms >= first);
    let counted: Vec<u64> = counted.copied().collect();
    let in_window = |from: &u64| {
        let inside = counted
            .iter()
            .filter(|&&ms| ms >= *from && ms < from + RULE_MS);
        inside.count()
    };
    counted.iter().map(in_window).max().unwrap_or_default()
}

const FOUR: Load = Load {
    gateways: 4,
    limit: 5.5,
    demand: 40.0,
    service: 30.0,
    delay: 1,
    skew: 1.0,
    from_s: 0,
    cut: false,
};

/// As the large fleets: less than a request a minute for each gateway.
const HUNDRED: Load = Load {
    gateways: 103,
    limit: 2.0,
    demand: 30.0,
    service: 11.0,
    delay: 4,
    ..FOUR
};

/// Plays a load with several seeds. The platform's rule allows one and a half times the limit in
/// 4 s, and five requests. Of the room that is named, at least `used` is to be used.
macro_rules! fleets {
    ($($name:ident: $load:expr, $used:expr;)*) => {$(
        #[test]
        fn $name() {
            let load: Load = $load;
            let allowed = load.limit * 4.0 * 1.5 + 5.0;
            for seed in 0..SEEDS {
                let arrivals = Model::new(load, seed).run();
                let most = most_in_window(&arrivals, &load);
                assert!(most as f64 <= allowed, "seed {seed}: {most} of {allowed}");
                let named = load.limit * (SECONDS - load.from_s) as f64;
                let used = arrivals.len() as f64 / named;
                assert!(used >= $used, "seed {seed}: {used}");
            }
        }
    )*};
}

fleets! {
    four_gateways: FOUR, 0.8;
    one_gateway: Load { gateways: 1, service: 120.0, ..FOUR }, 0.8;
    four_gateways_and_a_limit_below_one_a_second: Load { limit: 0.3, ..FOUR }, 0.5;
    four_gateways_and_a_high_limit: Load { limit: 40.0, demand: 110.0, ..FOUR }, 0.8;
    one_gateway_of_four_has_most_of_the_demand: Load { skew: 10.0, ..FOUR }, 0.8;
    twenty_five_gateways: Load { gateways: 25, limit: 7.0, delay: 3, ..FOUR }, 0.7;
    a_hundred_gateways: HUNDRED, 0.6;
    a_hundred_gateways_that_hear_each_other_very_late: Load { delay: 7, ..HUNDRED }, 0.6;
    a_hundred_gateways_and_one_busy_one: Load { skew: 30.0, ..HUNDRED }, 0.6;
    a_hundred_gateways_after_an_idle_time: Load { from_s: 15, ..HUNDRED }, 0.5;
    a_hundred_gateways_with_a_flood: Load { demand: 300.0, ..HUNDRED }, 0.6;
    more_gateways_than_a_minute_has_requests: Load { gateways: 370, limit: 1.0, ..HUNDRED }, 0.4;
    one_of_four_is_cut_off: Load { cut: true, ..FOUR }, 0.7;
}
