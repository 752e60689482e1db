//! Measures fairness, slot utilisation and control traffic of a simulation run.
//!
//! The service of a client account is the slot time that its requests have used so far.

use std::collections::VecDeque;

use crate::ids::AccountKey;
use crate::units::Micros;

use super::policy::{Message, Node};

/// Length of the sliding window for [`Meter::least_share`], in samples.
const WINDOW_SAMPLES: usize = 40;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    waiting: u32,
    running: u32,
    service: Micros,
    /// Whether its queue was empty at any time since the last sample.
    was_idle: bool,
}

/// Range of the difference between two accounts' service since both became backlogged, in µs.
#[derive(Clone, Copy, Debug)]
struct GapRange {
    min: i64,
    max: i64,
}

/// Measurements of one run.
#[derive(Debug)]
pub struct Meter {
    now: Micros,
    start: Micros,
    end: Micros,
    slots: usize,
    accounts: Vec<Account>,
    gap_ranges: Vec<Option<GapRange>>,
    max_gap: i64,
    samples: VecDeque<Vec<(Micros, bool)>>,
    least_share: f64,
    busy_time: u64,
    available_time: u64,
    messages: u64,
    bytes: u64,
}

impl Meter {
    /// Creates a meter for this many client accounts and slots.
    pub fn new(accounts: usize, slots: usize) -> Self {
        Meter {
            now: Micros::ZERO,
            start: Micros::ZERO,
            end: Micros::MAX,
            slots,
            accounts: vec![Account::default(); accounts],
            gap_ranges: vec![None; accounts * accounts],
            max_gap: 0,
            samples: VecDeque::new(),
            least_share: 1.0,
            busy_time: 0,
            available_time: 0,
            messages: 0,
            bytes: 0,
        }
    }

    /// Restricts the fairness and utilisation measurements to this time interval.
    pub fn set_interval(&mut self, start: Micros, end: Micros) {
        self.start = start;
        self.end = end;
    }

    /// Advances the time to `now` and adds the slot time used since the last call.
    pub fn advance(&mut self, now: Micros) {
        let span = (now - self.now).0;
        if span > 0 {
            let running: u32 = self.accounts.iter().map(|a| a.running).sum();
            let waiting = self.accounts.iter().any(|a| a.waiting > 0);
            if waiting && self.in_interval() {
                self.busy_time += span * u64::from(running);
                self.available_time += span * self.slots as u64;
            }
            for account in &mut self.accounts {
                account.service += Micros(span * u64::from(account.running));
            }
        }
        self.now = now;
    }

    /// Records that a request of the account started to wait.
    pub fn request_queued(&mut self, account: AccountKey) {
        self.accounts[account.index()].waiting += 1;
    }

    /// Records that a request of the account stopped waiting.
    pub fn request_dequeued(&mut self, account: AccountKey) {
        let account = &mut self.accounts[account.index()];
        account.waiting -= 1;
        account.was_idle |= account.waiting == 0;
    }

    /// Records that a request of the account started on a target.
    pub fn run_started(&mut self, account: AccountKey) {
        self.accounts[account.index()].running += 1;
    }

    /// Records that a request of the account stopped running on a target.
    pub fn run_stopped(&mut self, account: AccountKey) {
        self.accounts[account.index()].running -= 1;
    }

    /// Counts a message if it is control traffic.
    pub fn record_message(&mut self, _from: Node, _to: Node, message: &Message) {
        if let Some(bytes) = message.control_bytes() {
            self.messages += 1;
            self.bytes += bytes;
        }
    }

    /// Takes a sample: updates the service gaps and the sliding window.
    pub fn sample(&mut self) {
        if self.in_interval() {
            self.update_gaps();
            self.update_least_share();
        }
        for account in &mut self.accounts {
            account.was_idle = account.waiting == 0;
        }
    }

    /// Largest difference in service that two accounts received over any period in which both were
    /// backlogged throughout.
    pub fn max_gap(&self) -> Micros {
        Micros(self.max_gap.unsigned_abs())
    }

    /// Least service that an account received in any window, as a fraction of the mean. Only
    /// accounts that were backlogged throughout the window count, and only windows with at least
    /// two of them; 1 if there was no such window.
    pub fn least_share(&self) -> f64 {
        self.least_share
    }

    /// Fraction of the slot time that was used while any request waited, from 0 to 1; 1 if no
    /// request waited.
    pub fn utilisation(&self) -> f64 {
        if self.available_time == 0 {
            return 1.0;
        }
        self.busy_time as f64 / self.available_time as f64
    }

    /// Number and total bytes of the control messages so far.
    pub fn control_traffic(&self) -> (u64, u64) {
        (self.messages, self.bytes)
    }

    fn in_interval(&self) -> bool {
        self.now >= self.start && self.now < self.end
    }

    fn update_gaps(&mut self) {
        let n = self.accounts.len();
        for i in 0..n {
            for j in 0..i {
                let (a, b) = (self.accounts[i], self.accounts[j]);
                let pair = &mut self.gap_ranges[i * n + j];
                if a.was_idle || b.was_idle {
                    *pair = None;
                    continue;
                }
                let gap = a.service.0 as i64 - b.service.0 as i64;
                let range = pair.get_or_insert(GapRange { min: gap, max: gap });
                range.min = range.min.min(gap);
                range.max = range.max.max(gap);
                self.max_gap = self.max_gap.max(range.max - range.min);
            }
        }
    }

    fn update_least_share(&mut self) {
        let now: Vec<_> = self
            .accounts
            .iter()
            .map(|a| (a.service, a.was_idle))
            .collect();
        self.samples.push_back(now);
        if self.samples.len() <= WINDOW_SAMPLES {
            return;
        }
        let first = self.samples.pop_front().expect("a window has samples");
        let last = self.samples.back().expect("a window has samples");
        let is_backlogged = |i: usize| self.samples.iter().all(|s| !s[i].1);
        let served: Vec<f64> = (0..first.len())
            .filter(|&i| is_backlogged(i))
            .map(|i| (last[i].0 - first[i].0).as_secs_f64())
            .collect();
        let mean = served.iter().sum::<f64>() / served.len().max(1) as f64;
        if served.len() >= 2 && mean > 0.0 {
            let least = served.iter().copied().fold(f64::MAX, f64::min);
            self.least_share = self.least_share.min(least / mean);
        }
    }
}

/// The `percent`-th percentile of the values, or zero if there are none.
pub fn percentile(mut values: Vec<Micros>, percent: usize) -> Micros {
    values.sort_unstable();
    let at = values.len() * percent / 100;
    values
        .get(at.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
