//! Messages between gateways, encoded with postcard.
//!
//! Postcard is positional: the order and the types of fields are part of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::cold_limit::{ColdPeriod, ColdReport};
use crate::gateway::fair_share::{AccountTag, Usage};
use crate::gateway::notices::RunTag;
use crate::gateway::peers::member::{CopyStatus, Member, Scope, ZoneTag};
use crate::gateway::peers::totals::{TargetLoad, Totals};
use crate::gateway::peers::wire_crashes::{self, Suspicions, WireCrash};
use crate::gateway::peers::wire_position::WirePosition;
use crate::gateway::restrictions::evacuations::{self, Evacuations};
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::target_limit::{LimitedUse, Observation};
use crate::gateway::targets::TargetTag;
use crate::units::Micros;

/// Version of the gossip messages; messages of other versions are dropped.
pub const VERSION: u8 = 8;
/// Maximum size of a gossip datagram.
pub const MAX_DATAGRAM_BYTES: usize = 56 * 1024;
/// Maximum number of targets in a message.
const MAX_LOADS: usize = 1_024;
/// Maximum number of client accounts in a message.
const MAX_USAGE: usize = 512;
/// Maximum number of targets with a limit in a message.
const MAX_LIMITED: usize = 512;
/// Maximum number of services in a message.
const MAX_SERVICES: usize = 64;
/// Maximum number of runs of targets in a message that are leaving. If more are, a few messages carry
/// them all.
const MAX_LEAVING: usize = 256;
/// Limits are sent in units of this many requests a second.
const LIMIT_UNIT: f64 = 0.01;
/// Maximum number of gateways that a message introduces.
const MAX_INTRODUCTIONS: usize = 32;
/// Token counts are sent in units of this many tokens, rounded up.
const TOKEN_UNIT: u64 = 64;

/// A gossip message.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Protocol version, [`VERSION`].
    pub protocol: u8,
    /// Random id of the sender's process, new after each restart.
    pub boot: u64,
    zone: u32,
    capacity: u32,
    status: WireStatus,
    evacuations: WireEvacuations,
    scope: WireScope,
    load: Vec<WireLoad>,
    limited: Vec<WireLimited>,
    demand: Vec<WireDemand>,
    /// Usage of client accounts; absent in messages that carry load only.
    usage: Option<Vec<WireUsage>>,
    crashes: Vec<WireCrash>,
    /// Tags of the runs of targets that are leaving.
    leaving: Vec<[u8; 8]>,
    introductions: Vec<WireMember>,
}

/// Ages are in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct WireStatus {
    version: u64,
    config_age: Option<u32>,
    list_age: Option<u32>,
    list_since: Option<u32>,
    list_next: WirePosition,
    list_change: u64,
}

/// The sender's version of the set of evacuated zones.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct WireEvacuations {
    as_of: WirePosition,
    zones: Vec<u32>,
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
enum WireScope {
    #[default]
    Nothing,
    Sender,
    Zone,
    Others,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireLoad {
    target: u32,
    active: u32,
    prefill: u64,
}

/// What the sender knows of a target with a limit.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireLimited {
    target: u32,
    sent: u32,
    answer: Option<WireAnswer>,
    cold: Option<WireCold>,
}

/// How long a target is cold. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireCold {
    remaining: u32,
    /// Time since the statement was made, at most.
    age: u32,
}

/// What a target's newest answer said.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireAnswer {
    /// In units of [`LIMIT_UNIT`].
    limit: Option<u32>,
    /// Time since the answer, in milliseconds.
    age: u32,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireDemand {
    service: u32,
    requests: u32,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireUsage {
    account: u32,
    requested: u32,
    served: u32,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireMember {
    addr: SocketAddr,
    zone: u32,
    capacity: u32,
    /// Time since the sender heard it, in milliseconds.
    age: u32,
}

/// Error for a datagram that is not a gossip message of this version, or that exceeds a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid gossip message")]
pub struct InvalidMessage;

impl GossipMessage {
    /// A message of `sender` that reports nothing but the status of its copies.
    pub fn new(now: Micros, sender: Member, status: &CopyStatus) -> Self {
        GossipMessage {
            protocol: VERSION,
            boot: status.boot,
            zone: sender.zone.0,
            capacity: sender.capacity,
            status: WireStatus {
                version: status.version,
                config_age: status.config_at.map(|at| age_ms(now, at)),
                list_age: status.list_at.map(|at| age_ms(now, at)),
                list_since: status.list_since.map(|at| age_ms(now, at)),
                list_next: status.list_next.into(),
                list_change: status.list_change,
            },
            ..GossipMessage::default()
        }
    }

    /// Adds the sender's version of the set of evacuated zones.
    pub fn with_evacuations(mut self, evacuations: &Evacuations) -> Self {
        self.evacuations = WireEvacuations {
            as_of: evacuations.as_of.into(),
            zones: evacuations.listed_zones().map(|zone| zone.0).collect(),
        };
        self
    }

    /// Adds load, limits, demand and, if `with_usage`, usage of client accounts, up to the bounds.
    /// If there are too many, the busiest targets and the accounts that request most are included.
    pub fn with_totals(
        mut self,
        now: Micros,
        scope: Scope,
        totals: &Totals,
        with_usage: bool,
    ) -> Self {
        self.scope = scope.into();
        let limited = totals.limited.iter();
        let limited = limited.map(|(&tag, used)| WireLimited::new(now, tag, used));
        self.limited = limited.collect();
        if self.limited.len() > MAX_LIMITED {
            // Gateways learn of cold targets in other ways, too.
            self.limited.sort_by_key(|row| row.answer.is_none());
            self.limited.truncate(MAX_LIMITED);
        }
        let demand = totals.demand.iter().take(MAX_SERVICES);
        let demand = demand.map(|(service, &requests)| WireDemand {
            service: service.0,
            requests,
        });
        self.demand = demand.collect();
        let busy = totals.loads.iter();
        let busy = busy.filter(|(_, load)| **load != TargetLoad::default());
        self.load = busy.map(|(&tag, &load)| (tag, load).into()).collect();
        if self.load.len() > MAX_LOADS {
            self.load.sort_by_key(|row| std::cmp::Reverse(row.active));
            self.load.truncate(MAX_LOADS);
        }
        self.usage = with_usage.then(|| {
            let rows = totals.usage.iter();
            let mut rows: Vec<WireUsage> = rows.map(|(&tag, &usage)| (tag, usage).into()).collect();
            if rows.len() > MAX_USAGE {
                rows.sort_by_key(|row| std::cmp::Reverse(row.requested));
                rows.truncate(MAX_USAGE);
            }
            rows
        });
        self
    }

    /// Adds suspicions, up to the bounds.
    pub fn with_suspicions(mut self, now: Micros, suspicions: &Suspicions) -> Self {
        self.crashes = wire_crashes::encode(now, suspicions);
        self
    }

    /// Adds the runs of targets that are leaving. If there are too many, the messages of successive
    /// rounds carry them in turn.
    pub fn with_leaving(mut self, round: u64, runs: impl Iterator<Item = RunTag>) -> Self {
        let mut runs: Vec<_> = runs.map(|run| run.0.to_le_bytes()).collect();
        if runs.len() > MAX_LEAVING {
            runs.sort_unstable();
            let turn = round.wrapping_mul(MAX_LEAVING as u64) % runs.len() as u64;
            runs.rotate_left(turn as usize);
            runs.truncate(MAX_LEAVING);
        }
        self.leaving = runs;
        self
    }

    /// Adds gateways that the receiver may not know, with the times at which they were heard.
    pub fn with_introductions(mut self, now: Micros, members: Vec<(Member, Micros)>) -> Self {
        let members = members.into_iter().take(MAX_INTRODUCTIONS);
        self.introductions = members
            .map(|(member, heard_at)| WireMember {
                addr: member.addr,
                zone: member.zone.0,
                capacity: member.capacity,
                age: age_ms(now, heard_at),
            })
            .collect();
        self
    }

    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a message encodes")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns [`InvalidMessage`] if it is not a message of this version or exceeds a bound.
    pub fn decode(data: &[u8]) -> Result<Self, InvalidMessage> {
        let message: GossipMessage = postcard::from_bytes(data).map_err(|_| InvalidMessage)?;
        let accounts = message.usage.as_ref().map_or(0, Vec::len);
        let fits = message.load.len() <= MAX_LOADS
            && accounts <= MAX_USAGE
            && message.limited.len() <= MAX_LIMITED
            && message.demand.len() <= MAX_SERVICES
            && message.evacuations.zones.len() <= evacuations::MAX_ZONES
            && wire_crashes::fit(&message.crashes)
            && message.leaving.len() <= MAX_LEAVING
            && message.introductions.len() <= MAX_INTRODUCTIONS;
        (message.protocol == VERSION && fits)
            .then_some(message)
            .ok_or(InvalidMessage)
    }

    /// The sender, which has the address `addr`.
    pub fn sender(&self, addr: SocketAddr) -> Member {
        Member {
            addr,
            zone: ZoneTag(self.zone),
            capacity: self.capacity,
        }
    }

    /// The status of the sender's copies, for a message that was received at `now`.
    pub fn status(&self, now: Micros) -> CopyStatus {
        CopyStatus {
            version: self.status.version,
            config_at: self.status.config_age.map(|age| time_of(now, age)),
            list_at: self.status.list_age.map(|age| time_of(now, age)),
            list_since: self.status.list_since.map(|age| time_of(now, age)),
            list_next: self.status.list_next.into(),
            boot: self.boot,
            list_change: self.status.list_change,
        }
    }

    /// The sender's version of the set of evacuated zones.
    pub fn evacuations(&self) -> Evacuations {
        let zones = self.evacuations.zones.iter();
        Evacuations::new(
            self.evacuations.as_of.into(),
            zones.map(|&zone| ZoneTag(zone)),
        )
    }

    /// What the message reports on.
    pub fn scope(&self) -> Scope {
        self.scope.into()
    }

    /// Whether the message carries the usage of client accounts.
    pub fn has_usage(&self) -> bool {
        self.usage.is_some()
    }

    /// What is reported, in a message that was received at `now`.
    pub fn totals(&self, now: Micros) -> Totals {
        let usage = self.usage.iter().flatten();
        let limited = self.limited.iter();
        let demand = self.demand.iter();
        Totals {
            limited: limited.map(|row| row.decode(now)).collect(),
            demand: demand
                .map(|row| (ServiceTag(row.service), row.requests))
                .collect(),
            loads: self.load.iter().map(|&row| row.into()).collect(),
            usage: usage.map(|&row| row.into()).collect(),
        }
    }

    /// The suspicions of a message that was received at `now`.
    pub fn suspicions(&self, now: Micros) -> Suspicions {
        wire_crashes::decode(now, &self.crashes)
    }

    /// The runs of targets that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = RunTag> + '_ {
        let runs = self.leaving.iter();
        runs.map(|&run| RunTag(u64::from_le_bytes(run)))
    }

    /// The introduced gateways, with the times at which the sender heard them.
    pub fn introductions(&self, now: Micros) -> impl Iterator<Item = (Member, Micros)> + '_ {
        self.introductions.iter().map(move |row| {
            let member = Member {
                addr: row.addr,
                zone: ZoneTag(row.zone),
                capacity: row.capacity,
            };
            (member, time_of(now, row.age))
        })
    }
}

fn age_ms(now: Micros, at: Micros) -> u32 {
    u32::try_from(now.saturating_sub(at).as_ms()).unwrap_or(u32::MAX)
}

fn time_of(now: Micros, age: u32) -> Micros {
    now.saturating_sub(Micros::from_ms(age.into()))
}

impl From<Scope> for WireScope {
    fn from(scope: Scope) -> Self {
        match scope {
            Scope::Nothing => WireScope::Nothing,
            Scope::Sender => WireScope::Sender,
            Scope::Zone => WireScope::Zone,
            Scope::Others => WireScope::Others,
        }
    }
}

impl From<WireScope> for Scope {
    fn from(scope: WireScope) -> Self {
        match scope {
            WireScope::Nothing => Scope::Nothing,
            WireScope::Sender => Scope::Sender,
            WireScope::Zone => Scope::Zone,
            WireScope::Others => Scope::Others,
        }
    }
}

impl WireLimited {
    fn new(now: Micros, target: TargetTag, used: &LimitedUse) -> Self {
        let answer = used.answer.map(|answer| WireAnswer {
            limit: answer.limit.map(|limit| (limit / LIMIT_UNIT) as u32),
            age: age_ms(now, answer.at),
        });
        WireLimited {
            target: target.0,
            sent: used.sent,
            answer,
            cold: used.cold_period.map(|cold| cold.to_report(now).into()),
        }
    }

    fn decode(&self, now: Micros) -> (TargetTag, LimitedUse) {
        let answer = self.answer.map(|answer| Observation {
            limit: answer.limit.map(|limit| f64::from(limit) * LIMIT_UNIT),
            at: time_of(now, answer.age),
        });
        let used = LimitedUse {
            sent: self.sent,
            answer,
            cold_period: self
                .cold
                .map(|cold| ColdPeriod::from_report(now, cold.into())),
        };
        (TargetTag(self.target), used)
    }
}

impl From<ColdReport> for WireCold {
    fn from(report: ColdReport) -> Self {
        let ms = |span: Micros| u32::try_from(span.0.div_ceil(1_000)).unwrap_or(u32::MAX);
        WireCold {
            remaining: ms(report.remaining),
            age: ms(report.age),
        }
    }
}

impl From<WireCold> for ColdReport {
    fn from(wire: WireCold) -> Self {
        ColdReport {
            remaining: Micros::from_ms(wire.remaining.into()),
            age: Micros::from_ms(wire.age.into()),
        }
    }
}

impl From<(TargetTag, TargetLoad)> for WireLoad {
    fn from((tag, load): (TargetTag, TargetLoad)) -> Self {
        WireLoad {
            target: tag.0,
            active: load.active,
            prefill: load.prefill_tokens.div_ceil(TOKEN_UNIT),
        }
    }
}

impl From<WireLoad> for (TargetTag, TargetLoad) {
    fn from(row: WireLoad) -> Self {
        let load = TargetLoad {
            active: row.active,
            prefill_tokens: row.prefill.saturating_mul(TOKEN_UNIT),
        };
        (TargetTag(row.target), load)
    }
}

impl From<(AccountTag, Usage)> for WireUsage {
    fn from((tag, usage): (AccountTag, Usage)) -> Self {
        WireUsage {
            account: tag.0,
            requested: (usage.requested / TOKEN_UNIT as f64).ceil() as u32,
            served: (usage.served / TOKEN_UNIT as f64).ceil() as u32,
        }
    }
}

impl From<WireUsage> for (AccountTag, Usage) {
    fn from(row: WireUsage) -> Self {
        let usage = Usage {
            requested: f64::from(row.requested) * TOKEN_UNIT as f64,
            served: f64::from(row.served) * TOKEN_UNIT as f64,
        };
        (AccountTag(row.account), usage)
    }
}
