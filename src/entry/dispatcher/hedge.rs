//! Hedges (second dispatches of slow requests), and the progress reports by which slow requests are
//! detected.

use std::sync::atomic::Ordering;

use xtra::{Context, Handler};

use super::{DispatchKind, Dispatcher};
use crate::entry::messages::{HedgeDropped, HedgePromoted, ProgressReport};
use crate::ids::JobKey;

impl Dispatcher {
    /// Sends a hedge for an idempotent request without a response, if the scheduler allows it.
    pub(super) fn try_hedge(&mut self, key: JobKey) {
        let job = &self.jobs[key.index()];
        let request = job.request.clone();
        if !request.idempotent
            || job.hedge.is_some()
            || job.response_started.load(Ordering::Relaxed)
        {
            return;
        }
        let (now, service) = (self.clock.now(), request.service);
        let schedulers = self.schedulers.clone();
        let budget = &mut self.budgets(service).hedge;
        if let Some(assigned) = schedulers.with(service, |s| s.hedge(now, key, budget)) {
            self.send_dispatch(service, assigned, &request, None, DispatchKind::Hedge);
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
        let replaced = job.primary.replace((id, agent));
        let service = job.request.service;
        if let Some((id, agent)) = replaced {
            self.detach(key, id, agent);
        }
        self.with_scheduler(service, |s| s.promote_hedge(key, agent));
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
            self.detach(key, id, agent);
        }
        self.with_scheduler(service, |s| s.clear_hedge(key));
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
        if job.primary.is_some_and(|(id, _)| id == dispatch) {
            let service = job.request.service;
            self.with_scheduler(service, |s| s.progress(key, spent));
            self.try_hedge(key);
        }
    }
}
