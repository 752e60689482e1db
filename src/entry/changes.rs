//! Log lines for what changes about the rules and the platform's log.

use crate::rules::service::{Handle, View};

/// What lines tell of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Seen {
    version: u64,
    confirmed: bool,
    reachable: bool,
}

impl From<&View> for Seen {
    fn from(view: &View) -> Self {
        Seen {
            version: view.table.version(),
            confirmed: view.confirmed,
            reachable: view.reachable,
        }
    }
}

/// Logs changes until the rules service ends.
pub async fn log_rules(rules: Handle) {
    let mut view = rules.view();
    let mut last = Seen::default();
    loop {
        let seen = Seen::from(&*view.borrow_and_update());
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
