//! A target's report of the requests that it runs.

use serde::Deserialize;
use serde_json::Value;

/// Path of the report.
pub const REPORT_PATH: &str = "/v1/report";

#[derive(Debug, Deserialize)]
struct WireReport {
    /// Rows of request id, tokens in memory, events made and priority.
    runs: Vec<Vec<Value>>,
}

/// Whether a report lists the request `id`. `None` if it has no readable list of requests.
pub fn lists_run(body: &[u8], id: &str) -> Option<bool> {
    let report: WireReport = serde_json::from_slice(body).ok()?;
    let mut is_listed = false;
    for row in &report.runs {
        is_listed |= row.first()?.as_str()? == id;
    }
    Some(is_listed)
}
