//! A request's tries so far, and which target may be tried next.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::gateway::gate::Gate;
use crate::gateway::order::Order;
use crate::gateway::place::Choice;
use crate::gateway::pool::Connection;
use crate::gateway::repeat::{Failure, Tries};
use crate::gateway::request_log;
use crate::gateway::send;
use crate::gateway::targets::TargetKey;
use crate::telemetry::{Event, Outcome};

/// A request and its tries so far.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// What the gateway's parts share.
    pub gate: Arc<Gate>,
    /// The request.
    pub order: Arc<Order>,
    /// How its tries ended.
    pub tries: Tries,
    tried: SmallVec<[TargetKey; 4]>,
}

impl Attempts {
    /// A request that was not sent yet.
    pub fn new(gate: Arc<Gate>, order: Order) -> Self {
        Attempts {
            gate,
            order: Arc::new(order),
            tries: Tries::default(),
            tried: SmallVec::new(),
        }
    }

    /// A try ended without a usable answer.
    pub fn failed(&mut self, target: TargetKey, failure: Failure) {
        self.tries.add(failure);
        self.tried.push(target);
        if failure == Failure::Broken {
            let (now, digest) = (self.gate.clock.now(), self.order.digest());
            self.gate
                .with_suspects(|suspects| suspects.broke(now, target, digest));
            tokio::spawn(send::check_connection(self.gate.clone(), target));
        }
        request_log::failed(&self.order, &self.gate, target, failure);
    }

    /// The target's whole answer has come; its connection, which may be idle for `idle`, is kept.
    pub fn answered(&self, target: TargetKey, link: Connection, idle: Option<Duration>) {
        let gate = &self.gate;
        gate.pool.put(target, link, idle);
        gate.answered(&self.order);
        let took = gate.clock.now().saturating_sub(self.order.arrived);
        gate.metrics().request(Outcome::Whole);
        gate.metrics().total(took);
    }

    /// Another target, if one may be tried; takes from the budget of repeats.
    pub fn next(&self) -> Option<Choice> {
        let (gate, order) = (&self.gate, &self.order);
        let may = self
            .tries
            .may_repeat(order.route.class, order.route.max_attempts);
        let over = gate.clock.now() >= order.until();
        if !may || over || gate.held(order).is_some() {
            return None;
        }
        let choice = gate.choose(order, &self.tried)?;
        if !gate.may_repeat(&order.service) {
            return None;
        }
        gate.metrics().event(Event::Retry);
        Some(choice)
    }
}
