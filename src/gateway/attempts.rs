//! Attempts of a request: their outcomes so far, and the choice of the next target.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::gateway::crash_tracker::BrokenRequest;
use crate::gateway::pool::Connection;
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::retry::{AttemptCounts, Failure};
use crate::gateway::selection::Choice;
use crate::gateway::send;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::gateway::versions::VersionRule;
use crate::telemetry::{Event, Outcome};
use crate::units::Micros;

/// How far an attempt got.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time at which the request was sent, or a little earlier.
    pub sent: Micros,
    /// Whether the target had begun to answer: the first event of a stream, or the whole of another
    /// answer, had arrived.
    pub began: bool,
}

impl Progress {
    /// Of a request that was sent at `sent` and whose answer had not begun.
    pub const fn not_begun(sent: Micros) -> Self {
        Progress { sent, began: false }
    }
}

/// A request and the outcomes of its attempts so far.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// Shared gateway state.
    pub gateway: Arc<GatewayState>,
    /// The client's request.
    pub request: Arc<ClientRequest>,
    /// Outcomes of its attempts.
    pub counts: AttemptCounts,
    /// Which versions of the targets' software may get it.
    pub versions: VersionRule,
    tried: SmallVec<[TargetKey; 4]>,
}

impl Attempts {
    /// Wraps a request that has not been sent yet.
    pub fn new(gateway: Arc<GatewayState>, request: ClientRequest) -> Self {
        Attempts {
            gateway,
            request: Arc::new(request),
            counts: AttemptCounts::default(),
            versions: VersionRule::Any,
            tried: SmallVec::new(),
        }
    }

    /// Records an attempt that ended without a usable answer. If the connection broke off, checks
    /// in the background whether the target has crashed.
    pub fn record_failure(&mut self, target: TargetKey, failure: Failure, progress: Progress) {
        self.counts.record(failure);
        self.tried.push(target);
        if failure == Failure::Broken {
            let now = self.gateway.clock.now();
            let broken = BrokenRequest {
                digest: self.request.digest(),
                parts: self.request.shared_parts(),
                sent: progress.sent,
                broken: now,
                began: progress.began,
            };
            self.gateway.record_broken(target, broken);
            tokio::spawn(send::check_connection(self.gateway.clone(), target));
        }
        request_log::failed(&self.request, &self.gateway, target, failure);
    }

    /// Records a complete answer and returns its connection to the pool. `idle` is the idle timeout
    /// that the target announced, if any.
    pub fn record_success(
        &self,
        target: TargetKey,
        connection: Connection,
        idle: Option<Duration>,
    ) {
        let gateway = &self.gateway;
        gateway.pool.put(target, connection, idle);
        let took = gateway.clock.now().saturating_sub(self.request.arrived);
        gateway.record_success(&self.request, took);
        gateway.metrics().record_outcome(Outcome::Whole);
        gateway.metrics().record_total(took);
    }

    /// Chooses a target that has not been tried; `None` if none is left.
    pub fn choose(&self) -> Option<Choice> {
        self.gateway
            .choose_target(&self.request, &self.tried, self.versions)
    }

    /// Chooses anew after a wait for which the retry of `choice` has already been taken.
    pub fn choose_again(&self, choice: Choice) -> Choice {
        let anew = self.choose();
        anew.unwrap_or(choice)
    }

    /// Chooses the next target and takes one retry from the budget, unless the last one was cold;
    /// `None` if the request may not be retried or no target is left.
    pub fn next_target(&self) -> Option<Choice> {
        let (gateway, request) = (&self.gateway, &self.request);
        let retryable = self
            .counts
            .may_retry(request.route.class, request.route.max_attempts);
        let expired = gateway.clock.now() >= request.deadline() || !gateway.ends_in_grace(request);
        let allowed = request.is_allowed_by(&gateway.config());
        if !retryable || expired || !allowed || gateway.remaining_quarantine(request).is_some() {
            return None;
        }
        let choice = self.choose()?;
        // The request never reached the cold target, and when a zone starts again many requests meet
        // cold targets at once.
        if !self.counts.was_cold && !gateway.take_retry(&request.service) {
            return None;
        }
        gateway.metrics().event(Event::Retry);
        Some(choice)
    }
}
