//! Log lines for what changes about the rules and the platform's log, and a count of its failures.

use crate::rules::service::{Handle, RulesState};
use crate::telemetry::{Event, Telemetry};

/// What lines tell of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Seen {
    version: u64,
    confirmed: bool,
    reachable: bool,
}

impl From<&RulesState> for Seen {
    fn from(view: &RulesState) -> Self {
        Seen {
            version: view.table.version(),
            confirmed: view.confirmed,
            reachable: view.reachable,
        }
    }
}

/// Logs and counts until the rules service ends.
pub async fn follow(rules: Handle, telemetry: Telemetry) {
    let mut view = rules.state();
    let mut last = Seen::default();
    let mut counted = 0;
    loop {
        let (seen, failures) = {
            let view = view.borrow_and_update();
            (Seen::from(&*view), view.failures)
        };
        for _ in counted..failures {
            telemetry.metrics().event(Event::LogFailure);
        }
        counted = failures;
        log(last, seen);
        last = seen;
        if view.changed().await.is_err() {
            return;
        }
    }
}

fn log(last: Seen, seen: Seen) {
    let (version, confirmed) = (seen.version, seen.confirmed);
    if (last.version, last.confirmed) != (version, confirmed) {
        spdlog::info!("rules in force", kv: { version, confirmed });
    }
    match (last.reachable, seen.reachable) {
        (true, false) => spdlog::warn!("log out"),
        (false, true) => spdlog::info!("log back"),
        _ => {}
    }
}
