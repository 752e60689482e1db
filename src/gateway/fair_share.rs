//! How much each client account asks for and gets, and what its fair share is.
//!
//! Answers accounts that ask for many times their usual within seconds: while targets are busy,
//! what an account asks beyond its fair share is refused, so that nobody else waits for it. Shares
//! are max-min: an account that asks for less than an even share gets all of it, and what it leaves
//! is divided evenly among the others.
//!
//! Pure. Amounts are tokens: each read counts once, each generated twice.

use std::collections::{HashMap, VecDeque};

use rustc_hash::FxBuildHasher;

use crate::units::Micros;

/// Amounts are counted in steps of this length.
const STEP: Micros = Micros::from_ms(250);
/// Steps over which an account's share is owed.
const STEPS: u64 = 12;
/// Length of [`STEPS`], in seconds.
const WINDOW_S: f64 = 3.0;
/// What a peer told is forgotten after this time.
const NEWS_LIFE: Micros = Micros::from_ms(1_500);
/// How long computed shares are used.
const SHARES_LIFE: Micros = Micros::from_ms(50);

/// Names a client account alike in all processes and versions of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountTag(pub u32);

impl AccountTag {
    /// The tag of a client account's name.
    pub fn of(name: &str) -> Self {
        AccountTag(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// What an account asked for and got in the window, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Tokens of all requests.
    pub requested: f64,
    /// Tokens of requests that were sent to a target.
    pub served: f64,
}

/// Where an account stands beside the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareStatus {
    /// It has not got its fair share yet.
    #[default]
    Owed,
    /// It has got its fair share.
    Sated,
}

type Uses = HashMap<AccountTag, Usage, FxBuildHasher>;

/// One process's uses by account, with the time they were told.
#[derive(Debug, Default)]
struct News {
    at: Micros,
    uses: Uses,
}

/// What accounts ask for and get, here and elsewhere.
#[derive(Debug, Default)]
pub struct FairShare {
    steps: VecDeque<(u64, Uses)>,
    own: Uses,
    news: HashMap<u64, News, FxBuildHasher>,
    total: Uses,
    level: f64,
    computed: Option<Micros>,
}

impl FairShare {
    /// An account asks for so many tokens.
    pub fn record_request(&mut self, now: Micros, account: AccountTag, tokens: f64) {
        self.count(now, account, |uses| uses.requested += tokens);
    }

    /// What an account asked for is sent to a target.
    pub fn record_sent(&mut self, now: Micros, account: AccountTag, tokens: f64) {
        self.count(now, account, |uses| uses.served += tokens);
    }

    /// What accounts asked for and got here in the window.
    pub fn local_usage(&mut self, now: Micros) -> impl Iterator<Item = (AccountTag, Usage)> + '_ {
        self.expire(now);
        self.own.iter().map(|(&account, &uses)| (account, uses))
    }

    /// The process `boot` tells what accounts asked for and got there.
    pub fn merge_peer(
        &mut self,
        now: Micros,
        boot: u64,
        rows: impl Iterator<Item = (AccountTag, Usage)>,
    ) {
        let news = self.news.entry(boot).or_default();
        news.at = now;
        news.uses.clear();
        news.uses.extend(rows);
    }

    /// Where an account stands, when all targets together make `pace` tokens a second.
    pub fn status(&mut self, now: Micros, account: AccountTag, pace: f64) -> ShareStatus {
        self.compute(now, pace);
        let got = self.total.get(&account).map_or(0.0, |uses| uses.served);
        match got >= self.level {
            true => ShareStatus::Sated,
            false => ShareStatus::Owed,
        }
    }

    fn count(&mut self, now: Micros, account: AccountTag, add: impl Fn(&mut Usage)) {
        self.expire(now);
        let step = now.0 / STEP.0;
        if self.steps.back().is_none_or(|(at, _)| *at != step) {
            self.steps.push_back((step, Uses::default()));
        }
        let (_, uses) = self.steps.back_mut().expect("a step was just pushed");
        add(uses.entry(account).or_default());
        add(self.own.entry(account).or_default());
        add(self.total.entry(account).or_default());
    }

    /// Drops the steps that have left the window.
    fn expire(&mut self, now: Micros) {
        let step = now.0 / STEP.0;
        while self.steps.front().is_some_and(|(at, _)| at + STEPS <= step) {
            let Some((_, uses)) = self.steps.pop_front() else {
                return;
            };
            for (account, old) in uses {
                let Some(own) = self.own.get_mut(&account) else {
                    continue;
                };
                own.requested -= old.requested;
                own.served -= old.served;
                if own.requested < 1.0 && own.served < 1.0 {
                    self.own.remove(&account);
                }
            }
        }
    }

    fn compute(&mut self, now: Micros, pace: f64) {
        let fresh = self
            .computed
            .is_some_and(|at| now.saturating_sub(at) < SHARES_LIFE);
        if fresh {
            return;
        }
        self.expire(now);
        self.news
            .retain(|_, news| now.saturating_sub(news.at) < NEWS_LIFE);
        self.total.clone_from(&self.own);
        for (&account, uses) in self.news.values().flat_map(|news| &news.uses) {
            let total = self.total.entry(account).or_default();
            total.requested += uses.requested;
            total.served += uses.served;
        }
        let mut asked: Vec<f64> = self.total.values().map(|uses| uses.requested).collect();
        let served: f64 = self.total.values().map(|uses| uses.served).sum();
        // What is served beyond the pace, since parts are kept, is divided in the same way.
        self.level = level(&mut asked, served.max(pace * WINDOW_S));
        self.computed = Some(now);
    }
}

/// The most that one account gets when `room` is divided max-min among what is `asked`; infinite
/// when all of it fits.
pub fn level(asked: &mut [f64], room: f64) -> f64 {
    asked.sort_by(f64::total_cmp);
    let mut rest = room;
    for (index, &amount) in asked.iter().enumerate() {
        let even = rest / (asked.len() - index) as f64;
        if amount > even {
            return even;
        }
        rest -= amount;
    }
    f64::INFINITY
}

#[cfg(test)]
mod tests;
