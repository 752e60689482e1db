//! What targets announce in their answers: that they are leaving, or that they want no requests for a
//! while.
//!
//! The load pattern: targets are drained or overloaded while gateways send to them at full rate, and
//! the list of targets lags behind, or comes from another gateway's older copy. A notice therefore
//! belongs to a run of a target, not to its list entry: it holds while the entry changes, and after
//! the entry was removed and put back. Another run (start time, id or address) starts without
//! notices.
//!
//! An entry whose start time is earlier than that of the run with the notice is either an older view
//! of the list, to which the notice applies too, or a new run on a host whose clock was set back. The
//! notice holds for it only for `OLDER_ENTRY_TIME`.
//!
//! Performs no I/O.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxBuildHasher;
use smallvec::SmallVec;

use crate::gateway::targets::Entry;
use crate::units::Micros;

/// Longest pause that a target is taken to ask for.
pub const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Time for which a notice applies to a list entry with an earlier start time. Copies of the list
/// are at most a few seconds old.
const OLDER_ENTRY_TIME: Micros = Micros::from_secs(60);
/// Maximum number of ids with addresses whose notices are kept; more than a fleet has targets.
const MAX_PLACES: usize = 4_096;
/// Maximum number of runs with notices for one id and address. Late answers of earlier runs, which
/// may come after those of the present one, must not displace its notices.
const MAX_RUNS: usize = 4;

/// Identifies a run of a target in all processes: a hash of its id, address and start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunTag(pub u64);

impl RunTag {
    /// The run of the target `id` that an entry describes.
    pub fn of(id: &str, entry: &Entry) -> Self {
        let run = (id, entry.addr, entry.started_at);
        let bytes = postcard::to_stdvec(&run).expect("a run encodes");
        RunTag(xxhash_rust::xxh3::xxh3_64(&bytes))
    }
}

/// What an answer announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The target is leaving.
    Leaving,
    /// It wants no requests from this gateway for this long.
    Pause(Duration),
}

/// The notices that apply to a listed target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    leaving_until: Micros,
    paused_until: Micros,
}

impl Notices {
    /// Whether the target is leaving.
    pub fn is_leaving(&self, now: Micros) -> bool {
        now < self.leaving_until
    }

    /// Whether the listed run itself is leaving, not a later run under the same id and address.
    pub fn is_leaving_for_good(&self) -> bool {
        self.leaving_until == Micros::MAX
    }

    /// Time until the end of the pause that the target asked for; `None` if it asked for none.
    pub fn remaining_pause(&self, now: Micros) -> Option<Micros> {
        (now < self.paused_until).then(|| self.paused_until - now)
    }

    fn add(&mut self, other: Notices) {
        self.leaving_until = self.leaving_until.max(other.leaving_until);
        self.paused_until = self.paused_until.max(other.paused_until);
    }
}

/// The notices of one run.
#[derive(Clone, Copy, Debug)]
struct RunNotices {
    started_at: Option<u64>,
    /// Time of the newest notice.
    noted: Micros,
    notices: Notices,
}

impl RunNotices {
    /// The notices that apply to a list entry with this start time.
    fn applied_to(&self, started_at: Option<u64>) -> Notices {
        if self.started_at == started_at {
            return self.notices;
        }
        if self.started_at < started_at {
            return Notices::default();
        }
        let end = self.noted + OLDER_ENTRY_TIME;
        Notices {
            leaving_until: self.notices.leaving_until.min(end),
            paused_until: self.notices.paused_until.min(end),
        }
    }
}

type Runs = SmallVec<[RunNotices; 1]>;

/// The notices of all runs, listed or not.
#[derive(Debug, Default)]
pub struct NoticeBook {
    places: HashMap<(Arc<str>, SocketAddr), Runs, FxBuildHasher>,
}

impl NoticeBook {
    /// Records a notice of the run that `entry` describes. Of two pauses, the one that ends later
    /// counts. Returns whether the run begins to leave, or to pause.
    pub fn record(&mut self, now: Micros, id: &Arc<str>, entry: &Entry, notice: Notice) -> bool {
        let place = (id.clone(), entry.addr);
        if self.places.len() >= MAX_PLACES && !self.places.contains_key(&place) {
            self.evict(now);
        }
        let runs = self.places.entry(place).or_default();
        let run = run_mut(runs, now, entry.started_at);
        run.noted = now;
        let before = run.notices;
        match notice {
            Notice::Leaving => {
                run.notices.leaving_until = Micros::MAX;
                !before.is_leaving(now)
            }
            Notice::Pause(length) => {
                let end = now + length.min(MAX_PAUSE).into();
                run.notices.paused_until = before.paused_until.max(end);
                before.remaining_pause(now).is_none()
            }
        }
    }

    /// The notices that apply to a list entry.
    pub fn of(&self, id: &Arc<str>, entry: &Entry) -> Notices {
        let runs = self.places.get(&(id.clone(), entry.addr));
        let mut all = Notices::default();
        for run in runs.into_iter().flatten() {
            all.add(run.applied_to(entry.started_at));
        }
        all
    }

    /// Makes room: drops the notices that no longer hold, or else those noted the longest ago.
    fn evict(&mut self, now: Micros) {
        let holds = |run: &RunNotices| {
            run.notices.is_leaving(now) || run.notices.remaining_pause(now).is_some()
        };
        self.places.retain(|_, runs| runs.iter().any(holds));
        if self.places.len() < MAX_PLACES {
            return;
        }
        let noted = |runs: &Runs| runs.iter().map(|run| run.noted).max();
        let oldest = self.places.iter().min_by_key(|(_, runs)| noted(runs));
        if let Some(oldest) = oldest.map(|(place, _)| place.clone()) {
            self.places.remove(&oldest);
        }
    }
}

/// Returns the run with this start time. A new one replaces the one noted the longest ago if there
/// are too many.
fn run_mut(runs: &mut Runs, now: Micros, started_at: Option<u64>) -> &mut RunNotices {
    let known = runs.iter().position(|run| run.started_at == started_at);
    let index = known.unwrap_or_else(|| {
        runs.sort_by_key(|run| run.noted);
        if runs.len() >= MAX_RUNS {
            runs.remove(0);
        }
        runs.push(RunNotices {
            started_at,
            noted: now,
            notices: Notices::default(),
        });
        runs.len() - 1
    });
    &mut runs[index]
}

#[cfg(test)]
mod tests;
