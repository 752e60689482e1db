//! Result record of an experiment, printed as one JSON object.

use serde::Serialize;
use serde_json::{Map, Value};

/// Results of one run. The name of each numeric figure ends in its unit.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    experiment: &'static str,
    seed: u64,
    variant: &'static str,
    #[serde(flatten)]
    figures: Map<String, Value>,
}

impl Report {
    /// Creates a report without figures.
    pub fn new(experiment: &'static str, seed: u64, variant: &'static str) -> Self {
        Report {
            experiment,
            seed,
            variant,
            figures: Map::new(),
        }
    }

    /// Adds a figure, rounded to three decimals.
    pub fn figure(mut self, name: &str, value: f64) -> Self {
        let rounded = (value * 1e3).round() / 1e3;
        self.figures.insert(name.to_owned(), Value::from(rounded));
        self
    }

    /// Adds a text field, such as the name of the case.
    pub fn label(mut self, name: &str, value: &str) -> Self {
        self.figures.insert(name.to_owned(), Value::from(value));
        self
    }

    /// Returns the numeric figure with this name, or `None` if there is none.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.get(name)?.as_f64()
    }
}
