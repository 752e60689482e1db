//! Second copies of late requests, and the reports that show which are late.

use std::sync::atomic::Ordering;

use xtra::{Context, Handler};

use super::{Copy, Dispatcher};
use crate::entry::messages::{HedgeDropped, HedgePromoted, ProgressReport};
use crate::ids::JobKey;

impl Dispatcher {
    /// Sends a second copy of a request that is late, if the scheduler finds it worth while.
    pub(super) fn hedge(&mut self, key: JobKey) {
        let job = &self.jobs[key.index()];
        let request = job.request.clone();
        if !request.idempotent || job.hedge.is_some() || job.answering.load(Ordering::Relaxed) {
            return;
        }
        let (now, service) = (self.clock.now(), request.service);
        let schedulers = self.schedulers.clone();
        let budget = &mut self.budgets(service).hedge;
        if let Some(second) = schedulers.with(service, |s| s.hedge(now, key, budget)) {
            self.dispatch(service, second, &request, None, Copy::Second);
        }
    }
}

impl Handler<HedgePromoted> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: HedgePromoted, _ctx: &mut Context<Self>) {
        let key = message.0;
        let Some(job) = self.jobs.get_mut(key.index()) else {
            return;
        };
        let Some((id, agent)) = job.hedge.take() else {
            return;
        };
        let first = job.sent.replace((id, agent));
        let service = job.request.service;
        if let Some((id, agent)) = first {
            self.unpair(key, id, agent);
        }
        self.with(service, |s| s.promote_hedge(key, agent));
    }
}

impl Handler<HedgeDropped> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: HedgeDropped, _ctx: &mut Context<Self>) {
        let key = message.0;
        let Some(job) = self.jobs.get_mut(key.index()) else {
            return;
        };
        let service = job.request.service;
        if let Some((id, agent)) = job.hedge.take() {
            self.unpair(key, id, agent);
        }
        self.with(service, |s| s.clear_hedge(key));
    }
}

impl Handler<ProgressReport> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: ProgressReport, _ctx: &mut Context<Self>) {
        let ProgressReport {
            job: key,
            dispatch,
            spent,
        } = message;
        let Some(job) = self.jobs.get(key.index()) else {
            return;
        };
        if job.sent.is_some_and(|(id, _)| id == dispatch) {
            let service = job.request.service;
            self.with(service, |s| s.progress(key, spent));
            self.hedge(key);
        }
    }
}
