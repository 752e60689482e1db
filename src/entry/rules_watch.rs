//! Logs changes of the current rules and of the reachability of the platform's rules log, and
//! counts failed reads of the rules log.

use crate::rules::service::{Handle, RulesState};
use crate::telemetry::{Event, Telemetry};

/// The state whose changes are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoggedState {
    version: u64,
    confirmed: bool,
    reachable: bool,
}

impl From<&RulesState> for LoggedState {
    fn from(state: &RulesState) -> Self {
        LoggedState {
            version: state.table.version(),
            confirmed: state.confirmed,
            reachable: state.reachable,
        }
    }
}

/// Logs changes and counts failures until the rules service stops.
pub async fn follow(rules: Handle, telemetry: Telemetry) {
    let mut state = rules.state();
    let mut previous = LoggedState::default();
    let mut counted = 0;
    loop {
        let (current, failures) = {
            let state = state.borrow_and_update();
            (LoggedState::from(&*state), state.failures)
        };
        for _ in counted..failures {
            telemetry.metrics().event(Event::LogFailure);
        }
        counted = failures;
        log_changes(previous, current);
        previous = current;
        if state.changed().await.is_err() {
            return;
        }
    }
}

fn log_changes(previous: LoggedState, current: LoggedState) {
    let (version, confirmed) = (current.version, current.confirmed);
    if (previous.version, previous.confirmed) != (version, confirmed) {
        spdlog::info!("rules in force", kv: { version, confirmed });
    }
    match (previous.reachable, current.reachable) {
        (true, false) => spdlog::warn!("log out"),
        (false, true) => spdlog::info!("log back"),
        _ => {}
    }
}
