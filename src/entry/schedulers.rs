//! One scheduler per service, shared by the dispatcher and the exchange between entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

use crate::entry::quarantine_sync::QuarantineSync;
use crate::exchange::driver::ExchangeDelegate;
use crate::exchange::gossip::GossipError;
use crate::exchange::node::LevelUpdate;
use crate::exchange::numbering::Numbering;
use crate::ids::ServiceKey;
use crate::rules::Table;
use crate::scheduler::Scheduler;
use crate::share::Report;

/// The schedulers, by service key. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct SchedulerMap {
    schedulers: Arc<Mutex<Vec<Scheduler>>>,
}

impl SchedulerMap {
    /// Creates a map without schedulers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls `act` with the service's scheduler, which is created on first use. All schedulers are
    /// locked during the call.
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

/// Connects the schedulers and the quarantine to the exchange.
#[derive(Debug)]
pub struct ExchangeAdapter {
    schedulers: SchedulerMap,
    rules: watch::Receiver<Arc<Table>>,
    members: Option<Vec<SocketAddr>>,
    sync: QuarantineSync,
    count: usize,
}

impl ExchangeAdapter {
    /// Creates an adapter for an entry of the fleet that consists of `entries`.
    pub fn new(
        schedulers: SchedulerMap,
        mut rules: watch::Receiver<Arc<Table>>,
        entries: Vec<SocketAddr>,
        sync: QuarantineSync,
    ) -> Self {
        rules.mark_changed();
        ExchangeAdapter {
            schedulers,
            rules,
            count: entries.len(),
            members: Some(entries),
            sync,
        }
    }
}

impl ExchangeDelegate for ExchangeAdapter {
    fn collect(&mut self) -> Vec<(ServiceKey, Vec<Report>)> {
        let mut schedulers = self.schedulers.lock();
        let all = schedulers.iter_mut().enumerate();
        all.map(|(at, s)| (ServiceKey::from(at), s.collect()))
            .collect()
    }

    fn apply(&mut self, updates: &[LevelUpdate]) {
        let count = self.count;
        for update in updates {
            let key = update.key;
            self.schedulers.with(key.service, |s| {
                s.set_members(count);
                s.apply(key.account, update.usage);
            });
        }
    }

    fn members(&mut self) -> Option<Vec<SocketAddr>> {
        self.members.take()
    }

    fn numbering(&mut self) -> Option<Numbering> {
        if !self.rules.has_changed().unwrap_or(false) {
            return None;
        }
        Some(Numbering::from_table(&self.rules.borrow_and_update()))
    }

    fn outgoing_opaque(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.sync.take_due()
    }

    fn receive_opaque(&mut self, from: SocketAddr, payload: &[u8]) -> Result<(), GossipError> {
        self.sync.receive(from, payload)
    }

    async fn opaque_ready(&mut self) {
        self.sync.wait().await;
    }
}
