//! The dispatcher's state for `/status` and `/shares`.

use xtra::{Context, Handler};

use super::Dispatcher;
use crate::entry::dispatcher::status::{AgentStatus, DispatcherStatus, LevelStatus, ServiceStatus};
use crate::entry::messages::GetStatus;

impl Handler<GetStatus> for Dispatcher {
    type Return = DispatcherStatus;

    async fn handle(&mut self, _message: GetStatus, _ctx: &mut Context<Self>) -> DispatcherStatus {
        let rules = self.rules.borrow().clone();
        let agents = self.agents.iter().map(|(_, a)| AgentStatus {
            host: a.info.host,
            service: a.info.service.clone(),
            zone: a.info.zone.clone(),
            up: a.outbox.is_some(),
            leaving: a.leaving || a.host_leaving,
            running: a.jobs.len(),
        });
        let agents = agents.collect();
        let services = rules
            .services()
            .map(|(key, service)| {
                let levels = rules.accounts().map(|(k, a)| LevelStatus {
                    account: a.name.clone(),
                    level_ms: self.with_scheduler(key, |s| s.level(k)).as_ms(),
                });
                ServiceStatus {
                    service: service.name.clone(),
                    waiting: self.with_scheduler(key, |s| s.backlog()).waiting,
                    levels: levels.collect(),
                }
            })
            .collect();
        DispatcherStatus {
            agents,
            services,
            jobs: self.jobs.len(),
        }
    }
}
