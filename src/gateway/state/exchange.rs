//! What a gateway reports to others, and how it applies what they report.

use std::net::SocketAddr;

use crate::gateway::evidence::Selection;
use crate::gateway::peers::member::Scope;
use crate::gateway::peers::rounds::{self, Outgoing, RoundInput};
use crate::gateway::peers::totals::{TargetLoad, Totals};
use crate::gateway::peers::wire::GossipMessage;
use crate::gateway::peers::wire_crashes::{MAX_SUSPICIONS, Suspicions};
use crate::gateway::peers::{AGGREGATORS, Peers};
use crate::gateway::request_log::{self, NoticeSource};
use crate::gateway::restrictions;
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::state::{GatewayState, State};
use crate::gateway::target_limit::LimitedUse;
use crate::gateway::targets::Target;
use crate::units::Micros;

impl GatewayState {
    /// Composes the gossip messages of a round, and applies what other gateways have reported.
    pub fn gossip_round(&self, round: u64) -> Vec<Outgoing> {
        let now = self.clock.now();
        let version = self.config.load().version;
        let mut state = self.lock();
        let state = &mut *state;
        self.end_carried_evacuations(state, now);
        state.observe_versions(now);
        let own = own_totals(state, now);
        let change = state.targets.journal().last();
        let status = state.copies.status(version, self.boot, change);
        let mut base =
            GossipMessage::new(now, state.peers.me(), &status).with_evacuations(&state.evacuations);
        if rounds::is_full(round) {
            base = base.with_leaving(round / rounds::FULL_EVERY, state.targets.leaving_runs());
            base = with_suspicions(state, now, base);
        }
        let input = RoundInput {
            round,
            own: &own,
            base,
        };
        let outgoing = rounds::compose(&mut state.peers, now, &input);
        apply_others(state, now, &own);
        refill_limits(state, now);
        refresh_availability(state, now);
        let changes = self.plan_cold_grants(state, now);
        changes.log();
        outgoing
    }

    /// Processes a message from another gateway.
    pub fn receive_gossip(&self, from: SocketAddr, message: &GossipMessage) {
        let now = self.clock.now();
        self.merge_evacuations(message.evacuations());
        let mut state = self.lock();
        let state = &mut *state;
        let sender = message.sender(from);
        state.peers.record_message(now, sender, message.status(now));
        let (totals, with_usage) = (message.totals(now), message.has_usage());
        let scope = message.scope();
        state
            .peers
            .record_report(now, from, scope, totals, with_usage);
        for (member, heard_at) in message.introductions(now) {
            state.peers.record_heard_elsewhere(member, heard_at);
        }
        merge_leaving(state, now, message);
        let suspicions = message.suspicions(now);
        state.parts.merge(now, suspicions.parts.into_iter());
        state.requests.merge(now, suspicions.requests.into_iter());
        if scope == Scope::Others || state.peers.is_small_fleet() {
            let own = own_totals(state, now);
            apply_others(state, now, &own);
        }
    }
}

/// Takes over which targets another gateway knows to be leaving, and logs the new ones.
fn merge_leaving(state: &mut State, now: Micros, message: &GossipMessage) {
    for id in state.targets.merge_leaving(now, message.leaving()) {
        request_log::target_leaving(&id, NoticeSource::Gateway);
    }
}

/// Adds to a message what this gateway knows of crashes.
fn with_suspicions(state: &mut State, now: Micros, message: GossipMessage) -> GossipMessage {
    let peers = &state.peers;
    if !peers.any_alive(now) {
        // What nobody hears must not count as told.
        return message;
    }
    let selection = Selection {
        count: MAX_SUSPICIONS,
        relays: peers.is_small_fleet() || peers.rank(now) < AGGREGATORS,
    };
    let requests = state.requests.to_send(now, selection);
    let parts = state.parts.to_send(now, selection);
    let left_out = requests.left_out + parts.left_out;
    if left_out > 0 && state.log_limiter.try_log(now).is_some() {
        request_log::suspicions_left_out(left_out);
    }
    let suspicions = Suspicions {
        parts: parts.suspicions,
        requests: requests.suspicions,
    };
    message.with_suspicions(now, &suspicions)
}

/// What this gateway causes and knows.
fn own_totals(state: &mut State, now: Micros) -> Totals {
    let busy = state.targets.iter().filter(|target| target.load.active > 0);
    let loads = busy.map(|target| {
        let (active, prefill_tokens) = (target.load.active, target.load.prefill_tokens);
        let load = TargetLoad {
            active,
            prefill_tokens,
        };
        (target.tag, load)
    });
    let loads = loads.collect();
    let limited = state.targets.iter_mut();
    let limited = limited.filter_map(|target| Some((target.tag, limited_use(target, now)?)));
    Totals {
        loads,
        limited: limited.collect(),
        usage: state.shares.local_usage(now).collect(),
        demand: state.demand.own(now),
    }
}

/// What this gateway tells others of a target with a limit; `None` if that is nothing.
fn limited_use(target: &mut Target, now: Micros) -> Option<LimitedUse> {
    let (named, cold_period) = (target.limit.report(now), target.cold.period_to_send(now));
    if named.is_none() && cold_period.is_none() {
        return None;
    }
    Some(LimitedUse {
        cold_period,
        ..named.unwrap_or_default()
    })
}

/// Applies what all other gateways cause to the targets' load and the accounts' usage. `own` is
/// what this gateway causes.
fn apply_others(state: &mut State, now: Micros, own: &Totals) {
    let others = match state.peers.rank(now) {
        _ if state.peers.is_small_fleet() && state.peers.any_alive(now) => {
            Some(state.peers.direct_totals(now))
        }
        0 if state.peers.any_alive(now) => Some(others_of_active(&state.peers, now, own)),
        0 => None,
        _ => state.peers.others(now).cloned(),
    };
    for target in state.targets.iter_mut() {
        let load = others.as_ref().map(|others| others.loads.get(&target.tag));
        target.load.peer_load = load.map(|load| load.copied().unwrap_or_default());
        let used = others
            .as_ref()
            .map(|others| others.limited.get(&target.tag));
        let used = used.flatten().copied().unwrap_or_default();
        if let Some(period) = used.cold_period {
            target.cold.merge(now, period);
        }
        target.limit.set_others(used);
    }
    let known = state.peers.addresses().count();
    let demand = others.as_ref().map(|others| others.demand.clone());
    state.demand.set_others(demand, known);
    if let Some(others) = others {
        state.shares.set_peer_usage(now, others.usage);
    }
}

/// Gives this gateway its part of the limits that targets name.
fn refill_limits(state: &mut State, now: Micros) {
    for target in state.targets.iter_mut() {
        let service = ServiceTag::of(&target.entry.service);
        let part = match target.limit.rate(now) {
            Some(_) => state.demand.part(now, service),
            None => 0.0,
        };
        target.limit.refill(now, part, rand::random());
    }
}

/// Looks at which targets can be used, for the assignment of prefixes.
fn refresh_availability(state: &mut State, now: Micros) {
    let evacuations = &state.evacuations;
    state.targets.refresh_availability(now, |target| {
        restrictions::check(target, evacuations, now).is_none() && target.load.paused_until <= now
    });
}

/// What all other gateways cause, as the active aggregator of a zone has summed it up.
fn others_of_active(peers: &Peers, now: Micros, own: &Totals) -> Totals {
    let mut others = peers.zone_totals(now, own);
    others.subtract(own);
    others.add(&peers.remote_totals(now));
    others
}
