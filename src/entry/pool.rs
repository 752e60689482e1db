//! The schedulers of all services, shared by the dispatcher and the exchange.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

use crate::entry::sightings::Sightings;
use crate::exchange::gossip::GossipError;
use crate::exchange::names::Names;
use crate::exchange::node::Update;
use crate::exchange::service::Schedulers;
use crate::ids::ServiceKey;
use crate::rules::Table;
use crate::scheduler::Scheduler;
use crate::share::Report;

/// One scheduler for each service, by its key. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    schedulers: Arc<Mutex<Vec<Scheduler>>>,
}

impl Pool {
    /// No services yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets `act` use the service's scheduler. The lock is held for that long.
    pub fn with<T>(&self, service: ServiceKey, act: impl FnOnce(&mut Scheduler) -> T) -> T {
        let mut schedulers = self.lock();
        while schedulers.len() <= service.index() {
            schedulers.push(Scheduler::new());
        }
        act(&mut schedulers[service.index()])
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Scheduler>> {
        self.schedulers
            .lock()
            .expect("no holder of the schedulers panics")
    }
}

/// Connects the schedulers and the quarantine to the exchange between entries.
#[derive(Debug)]
pub struct Bridge {
    pool: Pool,
    rules: watch::Receiver<Arc<Table>>,
    members: Option<Vec<SocketAddr>>,
    sightings: Sightings,
    count: usize,
}

impl Bridge {
    /// A bridge for an entry whose fellow members are `entries`.
    pub fn new(
        pool: Pool,
        mut rules: watch::Receiver<Arc<Table>>,
        entries: Vec<SocketAddr>,
        sightings: Sightings,
    ) -> Self {
        rules.mark_changed();
        Bridge {
            pool,
            rules,
            count: entries.len(),
            members: Some(entries),
            sightings,
        }
    }
}

impl Schedulers for Bridge {
    fn collect(&mut self) -> Vec<(ServiceKey, Vec<Report>)> {
        let mut schedulers = self.pool.lock();
        let all = schedulers.iter_mut().enumerate();
        all.map(|(at, s)| (ServiceKey::from(at), s.collect()))
            .collect()
    }

    fn apply(&mut self, updates: &[Update]) {
        let count = self.count;
        for update in updates {
            let pair = update.pair;
            self.pool.with(pair.service, |s| {
                s.set_members(count);
                s.apply(pair.account, update.news);
            });
        }
    }

    fn members(&mut self) -> Option<Vec<SocketAddr>> {
        self.members.take()
    }

    fn names(&mut self) -> Option<Names> {
        if !self.rules.has_changed().unwrap_or(false) {
            return None;
        }
        Some(Names::of(&self.rules.borrow_and_update()))
    }

    fn extra_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.sightings.due()
    }

    fn extra_in(&mut self, from: SocketAddr, payload: &[u8]) -> Result<(), GossipError> {
        self.sightings.receive(from, payload)
    }

    async fn extra_wait(&mut self) {
        self.sightings.wait().await;
    }
}
