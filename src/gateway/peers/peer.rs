//! What a gateway knows of another one.

use crate::gateway::peers::member::{CopyStatus, Member};
use crate::gateway::peers::totals::Totals;
use crate::units::Micros;

/// Time without a sign of life after which a gateway is assumed to be gone.
pub const ALIVE_TTL: Micros = Micros::from_ms(600);
/// How long the reports of a gateway are used.
const REPORT_TTL: Micros = Micros::from_ms(700);

/// A report, and when it was received.
#[derive(Clone, Debug)]
pub struct Report {
    /// Time at which it was received.
    pub received: Micros,
    /// Reported load and usage.
    pub totals: Totals,
}

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The gateway, as it introduced itself.
    pub member: Member,
    /// Time of the last message from it.
    pub heard_at: Option<Micros>,
    /// Latest time at which another gateway had heard it.
    pub heard_elsewhere: Micros,
    /// Time of the first message to it that it has not answered yet.
    pub unanswered: Option<Micros>,
    /// Time until which it is left out.
    pub excluded_until: Micros,
    /// Whether its last message expects an answer.
    pub reports: bool,
    /// How recent its copies of the platform's lists are.
    pub status: CopyStatus,
    /// Its last report on itself.
    pub own: Option<Report>,
    /// Its last report on its zone.
    pub zone: Option<Report>,
    /// Its last report on all gateways but this one.
    pub others: Option<Report>,
}

impl Peer {
    /// A gateway that has not been heard yet.
    pub fn new(member: Member) -> Self {
        Peer {
            member,
            heard_at: None,
            heard_elsewhere: Micros::ZERO,
            unanswered: None,
            excluded_until: Micros::ZERO,
            reports: false,
            status: CopyStatus::default(),
            own: None,
            zone: None,
            others: None,
        }
    }

    /// Whether it has sent a message of late.
    pub fn is_heard(&self, now: Micros) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_sub(at) < ALIVE_TTL)
    }

    /// Time of the last sign of life; zero if there was none.
    pub fn last_sign(&self) -> Micros {
        self.heard_at.unwrap_or_default().max(self.heard_elsewhere)
    }

    /// Whether this gateway hears it, or another one does and it is not left out.
    pub fn is_alive(&self, now: Micros) -> bool {
        let heard_by_others = self.heard_elsewhere > Micros::ZERO
            && now.saturating_sub(self.heard_elsewhere) < ALIVE_TTL
            && now >= self.excluded_until;
        self.is_heard(now) || heard_by_others
    }
}

/// Returns a report unless it is too old.
pub fn fresh(report: Option<&Report>, now: Micros) -> Option<&Report> {
    report.filter(|report| now.saturating_sub(report.received) < REPORT_TTL)
}
