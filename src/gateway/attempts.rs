//! A request's tries so far, and which target may be tried next.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::gateway::pool::Connection;
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::retry::{AttemptCounts, Failure};
use crate::gateway::selection::Choice;
use crate::gateway::send;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::telemetry::{Event, Outcome};

/// A request and its tries so far.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// What the gateway's parts share.
    pub gateway: Arc<GatewayState>,
    /// The request.
    pub request: Arc<ClientRequest>,
    /// How its tries ended.
    pub counts: AttemptCounts,
    tried: SmallVec<[TargetKey; 4]>,
}

impl Attempts {
    /// A request that was not sent yet.
    pub fn new(gateway: Arc<GatewayState>, request: ClientRequest) -> Self {
        Attempts {
            gateway,
            request: Arc::new(request),
            counts: AttemptCounts::default(),
            tried: SmallVec::new(),
        }
    }

    /// A try ended without a usable answer.
    pub fn record_failure(&mut self, target: TargetKey, failure: Failure) {
        self.counts.record(failure);
        self.tried.push(target);
        if failure == Failure::Broken {
            let (now, digest) = (self.gateway.clock.now(), self.request.digest());
            self.gateway
                .with_crashes(|crashes| crashes.record_broken(now, target, digest));
            tokio::spawn(send::check_connection(self.gateway.clone(), target));
        }
        request_log::failed(&self.request, &self.gateway, target, failure);
    }

    /// The target's whole answer has come; its connection, which may be idle for `idle`, is kept.
    pub fn record_success(&self, target: TargetKey, link: Connection, idle: Option<Duration>) {
        let gateway = &self.gateway;
        gateway.pool.put(target, link, idle);
        gateway.record_success(&self.request);
        let took = gateway.clock.now().saturating_sub(self.request.arrived);
        gateway.metrics().request(Outcome::Whole);
        gateway.metrics().total(took);
    }

    /// Another target, if one may be tried; takes from the budget of repeats.
    pub fn next_target(&self) -> Option<Choice> {
        let (gateway, request) = (&self.gateway, &self.request);
        let may = self
            .counts
            .may_retry(request.route.class, request.route.max_attempts);
        let over = gateway.clock.now() >= request.deadline();
        if !may || over || gateway.quarantined_until(request).is_some() {
            return None;
        }
        let choice = gateway.choose_target(request, &self.tried)?;
        if !gateway.take_retry(&request.service) {
            return None;
        }
        gateway.metrics().event(Event::Retry);
        Some(choice)
    }
}
