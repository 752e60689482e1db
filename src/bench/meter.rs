//! Service, use and control traffic of a run.

use std::collections::VecDeque;

use crate::ids::AccountKey;
use crate::units::Micros;

use super::policy::{Message, Node};

/// Samples of a window over which service is compared.
const WINDOW_SAMPLES: usize = 40;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    waiting: u32,
    running: u32,
    served: Micros,
    /// Whether it had nothing waiting at some moment since the last sample.
    idled: bool,
}

/// Difference of two accounts' service while both are backlogged.
#[derive(Clone, Copy, Debug)]
struct Pair {
    low: i64,
    high: i64,
}

/// Counts what happens in a run.
#[derive(Debug)]
pub struct Meter {
    now: Micros,
    from: Micros,
    until: Micros,
    slots: usize,
    accounts: Vec<Account>,
    pairs: Vec<Option<Pair>>,
    widest: i64,
    windows: VecDeque<Vec<(Micros, bool)>>,
    least: f64,
    busy: u64,
    full: u64,
    messages: u64,
    bytes: u64,
}

impl Meter {
    /// A meter for this many accounts and slots.
    pub fn new(accounts: usize, slots: usize) -> Self {
        Meter {
            now: Micros::ZERO,
            from: Micros::ZERO,
            until: Micros::MAX,
            slots,
            accounts: vec![Account::default(); accounts],
            pairs: vec![None; accounts * accounts],
            widest: 0,
            windows: VecDeque::new(),
            least: 1.0,
            busy: 0,
            full: 0,
            messages: 0,
            bytes: 0,
        }
    }

    /// Measures service and use between these moments only.
    pub fn between(&mut self, from: Micros, until: Micros) {
        self.from = from;
        self.until = until;
    }

    /// Time passes until `now`.
    pub fn pass(&mut self, now: Micros) {
        let span = (now - self.now).0;
        if span > 0 {
            let running: u32 = self.accounts.iter().map(|a| a.running).sum();
            let waiting = self.accounts.iter().any(|a| a.waiting > 0);
            if waiting && self.counts() {
                self.busy += span * u64::from(running);
                self.full += span * self.slots as u64;
            }
            for account in &mut self.accounts {
                account.served += Micros(span * u64::from(account.running));
            }
        }
        self.now = now;
    }

    /// A request of the account waits.
    pub fn waits(&mut self, account: AccountKey) {
        self.accounts[account.index()].waiting += 1;
    }

    /// A request of the account waits no longer.
    pub fn unwaits(&mut self, account: AccountKey) {
        let account = &mut self.accounts[account.index()];
        account.waiting -= 1;
        account.idled |= account.waiting == 0;
    }

    /// A request of the account begins on a target.
    pub fn starts(&mut self, account: AccountKey) {
        self.accounts[account.index()].running += 1;
    }

    /// A request of the account no longer runs on a target.
    pub fn stops(&mut self, account: AccountKey) {
        self.accounts[account.index()].running -= 1;
    }

    /// A message is sent between processes.
    pub fn message(&mut self, _from: Node, _to: Node, message: &Message) {
        if let Some(bytes) = message.control_bytes() {
            self.messages += 1;
            self.bytes += bytes;
        }
    }

    /// Compares the accounts' service so far.
    pub fn sample(&mut self) {
        if self.counts() {
            self.compare();
            self.window();
        }
        for account in &mut self.accounts {
            account.idled = account.waiting == 0;
        }
    }

    /// Widest gap of service between two accounts over any time in which both were backlogged.
    pub fn gap(&self) -> Micros {
        Micros(self.widest.unsigned_abs())
    }

    /// Least service of a backlogged account over any window, as a share of the mean.
    pub fn least_share(&self) -> f64 {
        self.least
    }

    /// Share of slots that were busy while work waited anywhere, from 0 to 1.
    pub fn utilisation(&self) -> f64 {
        if self.full == 0 {
            return 1.0;
        }
        self.busy as f64 / self.full as f64
    }

    /// Control messages and bytes so far.
    pub fn control(&self) -> (u64, u64) {
        (self.messages, self.bytes)
    }

    fn counts(&self) -> bool {
        self.now >= self.from && self.now < self.until
    }

    fn compare(&mut self) {
        let n = self.accounts.len();
        for i in 0..n {
            for j in 0..i {
                let (a, b) = (self.accounts[i], self.accounts[j]);
                let pair = &mut self.pairs[i * n + j];
                if a.idled || b.idled {
                    *pair = None;
                    continue;
                }
                let gap = a.served.0 as i64 - b.served.0 as i64;
                let held = pair.get_or_insert(Pair {
                    low: gap,
                    high: gap,
                });
                held.low = held.low.min(gap);
                held.high = held.high.max(gap);
                self.widest = self.widest.max(held.high - held.low);
            }
        }
    }

    fn window(&mut self) {
        let now: Vec<_> = self.accounts.iter().map(|a| (a.served, a.idled)).collect();
        self.windows.push_back(now);
        if self.windows.len() <= WINDOW_SAMPLES {
            return;
        }
        let first = self.windows.pop_front().expect("a window has samples");
        let last = self.windows.back().expect("a window has samples");
        let steady = |i: usize| self.windows.iter().all(|s| !s[i].1);
        let gains: Vec<f64> = (0..first.len())
            .filter(|&i| steady(i))
            .map(|i| (last[i].0 - first[i].0).as_secs_f64())
            .collect();
        let mean = gains.iter().sum::<f64>() / gains.len().max(1) as f64;
        if gains.len() >= 2 && mean > 0.0 {
            let least = gains.iter().copied().fold(f64::MAX, f64::min);
            self.least = self.least.min(least / mean);
        }
    }
}

/// The value below which `percent` of the values lie; zero without any.
pub fn percentile(mut values: Vec<Micros>, percent: usize) -> Micros {
    values.sort_unstable();
    let at = values.len() * percent / 100;
    values
        .get(at.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
