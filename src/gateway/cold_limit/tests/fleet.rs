//! Model of a fleet before targets that come back cold, on simulated time: what a target gets in any
//! second of its cold time, while gateways learn late, or never, that it was away.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{ColdLimit, ColdPeriod, ColdReport, ColdRule, ENTRY_DELAY, GrantInput, RULE, at};
use crate::gateway::peers::member::{Member, ZoneTag};
use crate::gateway::peers::roster::{Roster, key_of};
use crate::gateway::prompts::mix;
use crate::units::Micros;

/// Pause between two steps, and between two rounds of gossip, in milliseconds.
const STEP_MS: u64 = 5;
const ROUND_MS: u64 = 100;
/// Time at which the targets are lost, and the one at which they come back, in milliseconds. Short,
/// so that most gateways do not notice.
const LOST_MS: u64 = 2_000;
const BACK_MS: u64 = 2_300;
/// Time at which links between gateways break, and the end of a play, in milliseconds.
const CUT_MS: u64 = 1_000;
const END_MS: u64 = 7_000;
/// Time between two entries of a target, and the longest one until an entry arrives, in milliseconds.
const ENTRY_MS: u64 = 1_200;
const ARRIVAL_MS: u64 = 1_700;
/// Idle time after which a gateway closes its connection to a target, in milliseconds.
const IDLE_MS: u64 = 1_500;
/// Time after the return of a target that cannot be asked in which gateways hear from others that it
/// was away, in milliseconds. Until then, those that have no connection to it send as before.
const GOSSIP_MS: u64 = 700;
/// Number of seeds that each load is played with.
const SEEDS: u64 = 3;

/// Which gateways hear each other from [`CUT_MS`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Links {
    All,
    WithinZones,
    NotTheFirst,
    None,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    gateways: usize,
    zones: usize,
    targets: usize,
    rule: ColdRule,
    /// Requests a second that all gateways would send to each target before and after the restart.
    before: f64,
    after: f64,
    links: Links,
    /// Number of rounds after which a gateway hears of the others.
    delay: u64,
    /// Largest difference of two wall clocks, in milliseconds.
    skew: u64,
    /// Part of the other gateways that a gateway knows.
    known: f64,
}

struct Gateway {
    member: Member,
    roster: Roster,
    skew: u64,
    targets: Vec<View>,
}

/// One gateway's view of one target.
#[derive(Clone, Default)]
struct View {
    limit: ColdLimit,
    /// Time of the last request; `None` if there was none in this run of the target.
    last: Option<u64>,
    /// Entries on their way: times of arrival, and what they say.
    entries: Vec<(u64, ColdReport)>,
    /// Whether the entry of the new run has arrived.
    is_listed: bool,
    /// What it sent to others in the last rounds, newest first.
    sent: Vec<Option<ColdPeriod>>,
}

impl View {
    /// Applies the entries that have arrived. The first one of a run replaces the target.
    fn read_entries(&mut self, ms: u64) {
        for (_, report) in self.entries.extract_if(.., |(due, _)| *due <= ms) {
            if !std::mem::replace(&mut self.is_listed, true) {
                let before = std::mem::take(&mut self.limit);
                self.limit.inherit(&before);
                self.last = None;
            }
            let period = ColdPeriod::from_report(at(ms), report);
            self.limit.merge(at(ms), period);
        }
    }
}

struct Model {
    load: Load,
    random: StdRng,
    gateways: Vec<Gateway>,
    /// Times at which each target got a request.
    arrivals: Vec<Vec<u64>>,
}

impl Model {
    fn new(load: Load, seed: u64) -> Model {
        let mut random = StdRng::seed_from_u64(seed);
        let gateway = |index: usize| Gateway {
            member: Member {
                addr: ([10, 0, (index / 250) as u8, (index % 250) as u8], 7).into(),
                zone: ZoneTag((index % load.zones) as u32),
                capacity: 400,
            },
            roster: Roster::default(),
            skew: random.random_range(0..=load.skew),
            targets: vec![View::default(); load.targets],
        };
        let mut gateways: Vec<Gateway> = (0..load.gateways).map(gateway).collect();
        let members: Vec<Member> = gateways.iter().map(|gateway| gateway.member).collect();
        for gateway in &mut gateways {
            let known = |member: &&Member| {
                member.addr != gateway.member.addr && random.random_bool(load.known)
            };
            let known: Vec<_> = members.iter().filter(known).map(|&m| (m, at(0))).collect();
            gateway.roster.update(at(0), known.into_iter(), &[]);
        }
        Model {
            load,
            random,
            gateways,
            arrivals: vec![Vec::new(); load.targets],
        }
    }

    fn run(mut self) -> Vec<Vec<u64>> {
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            if ms % ROUND_MS == 0 {
                self.gossip(ms);
            }
            if ms >= BACK_MS && (ms - BACK_MS).is_multiple_of(ENTRY_MS) {
                self.write_entries(ms);
            }
            self.arrive(ms);
        }
        self.arrivals
    }

    fn hears(&self, one: usize, other: usize, ms: u64) -> bool {
        let same_zone = one % self.load.zones == other % self.load.zones;
        one != other
            && match self.load.links {
                Links::All => true,
                _ if ms < CUT_MS => true,
                Links::WithinZones => same_zone,
                Links::NotTheFirst => one != 0 && other != 0,
                Links::None => false,
            }
    }

    /// Each gateway receives what others sent some rounds ago, and plans its grants.
    fn gossip(&mut self, ms: u64) {
        let delay = self.load.delay as usize;
        for index in 0..self.gateways.len() {
            for target in 0..self.load.targets {
                let others = (0..self.gateways.len()).filter(|&other| self.hears(index, other, ms));
                let received = others
                    .filter_map(|other| *self.gateways[other].targets[target].sent.get(delay)?);
                let newest = received.fold(None, |a, b| ColdPeriod::newer(a, Some(b)));
                let gateway = &mut self.gateways[index];
                let input = GrantInput {
                    knows_fleet: true,
                    wall: at(1_771_000_000_000 + ms + gateway.skew),
                    me: key_of(&gateway.member.addr),
                    others: gateway.roster.keys(),
                    target: mix(target as u64),
                };
                let view = &mut gateway.targets[target];
                view.read_entries(ms);
                if let Some(period) = newest {
                    view.limit.merge(at(ms), period);
                }
                view.limit.plan(at(ms), Some(&self.load.rule), &input);
            }
        }
        for gateway in &mut self.gateways {
            for view in &mut gateway.targets {
                view.sent.insert(0, view.limit.period_to_send(at(ms)));
                view.sent.truncate(delay + 1);
            }
        }
    }

    /// A target's entry reaches each gateway at another time; what it says then is already late.
    fn write_entries(&mut self, ms: u64) {
        let remaining = (BACK_MS + self.load.rule.span.as_ms()).saturating_sub(ms);
        let report = ColdReport {
            remaining: at(remaining),
            age: ENTRY_DELAY,
        };
        for gateway in &mut self.gateways {
            let late = self.random.random_range(0..=ARRIVAL_MS);
            for view in &mut gateway.targets {
                view.entries.push((ms + late, report));
            }
        }
    }

    fn arrive(&mut self, ms: u64) {
        let rate = if ms < BACK_MS {
            self.load.before
        } else {
            self.load.after
        };
        let step = STEP_MS as f64 / 1_000.0 / self.load.gateways as f64;
        for index in 0..self.gateways.len() {
            for target in 0..self.load.targets {
                let wanted = rate * step;
                let requests = wanted as u64 + u64::from(self.random.random_bool(wanted.fract()));
                for _ in 0..requests {
                    self.send(ms, index, target);
                }
            }
        }
    }

    fn send(&mut self, ms: u64, index: usize, target: usize) {
        let (rule, now) = (self.load.rule, at(ms));
        let view = &mut self.gateways[index].targets[target];
        if !view.limit.has_room(now) {
            return;
        }
        if (LOST_MS..BACK_MS).contains(&ms) {
            view.limit.lost(now);
            view.last = None;
            return;
        }
        let idle = view.last.is_none_or(|last| ms - last >= IDLE_MS);
        let run_ended = view.last.is_some_and(|last| last < BACK_MS) && ms >= BACK_MS;
        if idle || run_ended {
            let remaining = (BACK_MS + rule.span.as_ms()).saturating_sub(ms);
            match rule.asks {
                true if ms >= BACK_MS => view.limit.reported(now, at(remaining)),
                true => view.limit.reported(now, Micros::ZERO),
                false => {
                    if run_ended && !idle {
                        view.limit.lost(now);
                    }
                    view.limit.reached(now, rule.span);
                }
            }
        }
        view.last = Some(ms);
        if view.limit.take(now) {
            self.arrivals[target].push(ms);
        }
    }
}

/// Number of requests in the window from `from` to `to`.
fn count(times: &[u64], from: u64, to: u64) -> usize {
    times.iter().filter(|&&ms| (from..to).contains(&ms)).count()
}

/// The most requests in any second between two times.
fn most_in_second(times: &[u64], from: u64, end: u64) -> usize {
    let cold = times.iter().filter(|&&ms| (from..end).contains(&ms));
    let in_second = cold.map(|&ms| count(times, ms, (ms + 1_000).min(end)));
    in_second.max().unwrap_or_default()
}

const ASKING: ColdRule = ColdRule { asks: true, ..RULE };
const SLOW: ColdRule = ColdRule {
    rate: 5.9,
    ..ASKING
};

const BURST: Load = Load {
    gateways: 23,
    zones: 3,
    targets: 1,
    rule: ASKING,
    before: 40.0,
    after: 300.0,
    links: Links::All,
    delay: 1,
    skew: 2,
    known: 1.0,
};
const HUNDRED: Load = Load {
    gateways: 100,
    delay: 3,
    known: 0.95,
    ..BURST
};
const HUNDREDS: Load = Load {
    gateways: 370,
    delay: 4,
    known: 0.9,
    ..BURST
};

/// Plays a load with several seeds. The platform allows one and a half times the rate in a second,
/// and five requests, from `from` milliseconds after the return on. Of the rate, at least `used` is
/// to be used while the targets are cold. Of the demand, at least half is to be served in the second
/// after targets that tell are warm.
macro_rules! fleets {
    ($($name:ident: $load:expr, from $from:expr, $used:expr;)*) => {$(
        #[test]
        fn $name() {
            let load: Load = $load;
            let allowed = load.rule.rate * 1.5 + 5.0;
            let end = BACK_MS + load.rule.span.as_ms();
            for seed in 0..SEEDS {
                for times in Model::new(load, seed).run() {
                    let most = most_in_second(&times, BACK_MS + $from, end);
                    let used = count(&times, BACK_MS, end) as f64;
                    let used = used / (load.rule.rate * load.rule.span.as_secs_f64());
                    let served = count(&times, end + 100, end + 1_100) as f64 / load.after;
                    assert!(most as f64 <= allowed, "seed {seed}: {most} of {allowed}");
                    assert!(used >= $used, "seed {seed}: used {used}");
                    assert!(!load.rule.asks || served >= 0.5, "seed {seed}: served {served}");
                }
            }
        }
    )*};
}

fleets! {
    a_target_under_a_burst: BURST, from 0, 0.8;
    a_slow_target_under_a_burst: Load { rule: SLOW, ..BURST }, from 0, 0.8;
    a_target_under_a_flood: Load { after: 2_000.0, ..BURST }, from 0, 0.9;
    a_target_without_a_burst: Load { after: 40.0, ..BURST }, from 0, 0.1;
    a_zone_of_targets: Load { targets: 20, after: 60.0, ..BURST }, from 0, 0.2;
    gateways_that_hear_only_their_zone: Load { links: Links::WithinZones, ..BURST }, from 0, 0.8;
    a_gateway_that_hears_nobody: Load { links: Links::NotTheFirst, ..BURST }, from 0, 0.8;
    gateways_that_all_hear_nobody: Load { links: Links::None, ..BURST }, from 0, 0.8;
    wall_clocks_that_differ: Load { skew: 400, ..BURST }, from 0, 0.7;
    a_hundred_gateways: HUNDRED, from 0, 0.4;
    a_hundred_gateways_that_hear_only_their_zone: Load { links: Links::WithinZones, ..HUNDRED }, from 0, 0.4;
    a_hundred_gateways_and_a_slow_target: Load { rule: SLOW, ..HUNDRED }, from 0, 0.5;
    hundreds_of_gateways: HUNDREDS, from 0, 0.05;
    hundreds_of_gateways_with_a_flood: Load { after: 2_000.0, ..HUNDREDS }, from 0, 0.6;
    hundreds_of_gateways_that_hear_nobody: Load { links: Links::None, after: 2_000.0, ..HUNDREDS }, from 0, 0.6;
    hundreds_of_gateways_and_clocks_that_differ: Load { skew: 400, rule: SLOW, after: 2_000.0, ..HUNDREDS }, from 0, 0.7;
    a_target_that_does_not_tell: Load { rule: RULE, ..BURST }, from GOSSIP_MS, 0.0;
    a_target_that_does_not_tell_hundreds: Load { rule: RULE, ..HUNDREDS }, from GOSSIP_MS, 0.0;
}
