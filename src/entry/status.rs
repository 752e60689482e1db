//! The entry's pages on the admin address.

use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;
use xtra::Address;

use crate::admin::Status;
use crate::entry::dispatcher::Dispatcher;
use crate::entry::dispatcher::status::DispatcherStatus;
use crate::entry::history::RequestHistory;
use crate::entry::history::explain::ExplainPage;
use crate::entry::messages::GetStatus;
use crate::entry::quarantine::SharedQuarantine;
use crate::exchange::driver::ExchangeStatus;
use crate::ids::BootId;
use crate::rules::history::Counts;
use crate::rules::service::Handle;
use crate::telemetry::Telemetry;
use crate::telemetry::metrics::Snapshot;

/// Path prefix of the page about a request; its id follows.
const EXPLAIN_PATH: &str = "/explain/";

/// The state that the admin pages show.
#[derive(Clone)]
pub struct EntryAdmin {
    /// Source of the figures on agents and queues.
    pub dispatcher: Address<Dispatcher>,
    /// The current rules.
    pub rules: Handle,
    /// Metrics.
    pub telemetry: Telemetry,
    /// Identifies this process instance of the entry.
    pub boot: BootId,
    /// Quarantine of requests that crash their targets.
    pub quarantine: SharedQuarantine,
    /// Steps of recent requests.
    pub history: RequestHistory,
    /// Status of the exchange between entries.
    pub exchange: watch::Receiver<ExchangeStatus>,
}

/// The response to `/status`.
#[derive(Debug, Serialize)]
struct EntryStatus {
    role: &'static str,
    boot: String,
    rules: RulesStatus,
    exchange: ExchangeStatus,
    #[serde(rename = "sightings")]
    quarantine_events: usize,
    #[serde(rename = "desk")]
    dispatcher: Option<DispatcherStatus>,
    metrics: Snapshot,
}

/// The current rules.
#[derive(Debug, Serialize)]
struct RulesStatus {
    version: u64,
    confirmed: bool,
    reachable: bool,
    records: Counts,
}

impl EntryAdmin {
    fn rules(&self) -> RulesStatus {
        let state = self.rules.state().borrow().clone();
        RulesStatus {
            version: state.table.version(),
            confirmed: state.confirmed,
            reachable: state.reachable,
            records: state.counts,
        }
    }
}

impl EntryAdmin {
    /// Returns the page for the request whose id is in the path, or `None` if there is no record of
    /// the request.
    fn explain(&self, path: &str) -> Option<Value> {
        let id = path.strip_prefix(EXPLAIN_PATH)?;
        let record = self.history.find(id.parse().ok()?)?;
        let rules = self.rules.table().borrow().clone();
        let page = ExplainPage::new(&record, &rules, self.history.now());
        serde_json::to_value(page).ok()
    }
}

impl Status for EntryAdmin {
    async fn status(&self) -> Value {
        let exchange = *self.exchange.borrow();
        let status = EntryStatus {
            role: "entry",
            boot: self.boot.to_string(),
            rules: self.rules(),
            exchange,
            quarantine_events: self.quarantine.active_events().len(),
            dispatcher: self.dispatcher.send(GetStatus).await.ok(),
            metrics: self.telemetry.metrics().snapshot(),
        };
        serde_json::to_value(status).unwrap_or_default()
    }

    async fn extra(&self, path: &str) -> Option<Value> {
        match path {
            "/shares" => {
                let dispatcher = self.dispatcher.send(GetStatus).await.ok()?;
                serde_json::to_value(dispatcher.services).ok()
            }
            path => self.explain(path),
        }
    }
}
