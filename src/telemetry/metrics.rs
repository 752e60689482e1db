//! Counters, up-down counters and latencies of a process.
//!
//! A count is one atomic addition; the exporter reads the same counts when it collects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter};
use serde::Serialize;

use super::latency::{BOUNDS_MS, Buckets, Latency};
use crate::problem::Reason;
use crate::units::Micros;

macro_rules! labels {
    ($(#[$doc:meta])* $name:ident { $($(#[$item_doc:meta])* $item:ident => $label:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$item_doc])* $item,)+
        }

        impl $name {
            /// All of them, in order.
            pub const ALL: [$name; [$($label),+].len()] = [$($name::$item),+];

            /// Name in telemetry.
            pub const fn label(self) -> &'static str {
                match self {
                    $($name::$item => $label,)+
                }
            }
        }
    };
}

labels!(
    /// How a request ended at an entry.
    Outcome {
        /// The caller got the whole answer.
        Whole => "whole",
        /// It was refused without a run.
        Refused => "refused",
        /// Its answer broke off, and the caller was told so.
        Cut => "cut",
        /// Whether it ran is unknown, and the caller was told so.
        Unknown => "unknown",
        /// The caller went away first.
        Abandoned => "abandoned",
    }
);

labels!(
    /// Something that is counted.
    Event {
        /// A request was sent to an agent.
        Dispatch => "dispatches",
        /// An agent declined a request that it had not begun.
        Decline => "declines",
        /// A request was sent again.
        Retry => "retries",
        /// A second copy of an idempotent request was sent.
        Hedge => "hedges",
        /// An answer was resumed on a new connection.
        Resume => "resumes",
        /// A connection to another process was opened.
        Connect => "connects",
        /// A connection went silent.
        ReceiveTimeout => "silences",
        /// A connection from or to another process did not get past its handshake.
        RefusedConnection => "refused_connections",
        /// A frame from another process was malformed.
        MalformedFrame => "malformed_frames",
        /// A datagram from another process was malformed.
        MalformedDatagram => "malformed_datagrams",
        /// An append to the platform's log, or a read of it, failed.
        LogFailure => "log_failures",
        /// A read of the host list failed.
        HostsFailure => "hosts_failures",
    }
);

labels!(
    /// Something of which there are now more, now fewer.
    Gauge {
        /// Requests that wait for a target.
        Waiting => "waiting",
        /// Requests that targets run.
        Busy => "busy",
        /// Connections from callers.
        Callers => "callers",
        /// Connections between the system's processes.
        Peers => "peers",
    }
);

/// All reasons of refusals, in order.
const REASONS: [Reason; 14] = [
    Reason::BadKey,
    Reason::BadRequest,
    Reason::NoService,
    Reason::BodyTooLarge,
    Reason::KeyReused,
    Reason::ClaimedElsewhere,
    Reason::QueueFull,
    Reason::NoCapacity,
    Reason::DeadlinePassed,
    Reason::Draining,
    Reason::LogUnavailable,
    Reason::Quarantined,
    Reason::TargetFailed,
    Reason::OutcomeUnknown,
];

const fn reason_label(reason: Reason) -> &'static str {
    match reason {
        Reason::BadKey => "bad_key",
        Reason::BadRequest => "bad_request",
        Reason::NoService => "no_service",
        Reason::BodyTooLarge => "body_too_large",
        Reason::KeyReused => "key_reused",
        Reason::ClaimedElsewhere => "claimed_elsewhere",
        Reason::QueueFull => "queue_full",
        Reason::NoCapacity => "no_capacity",
        Reason::DeadlinePassed => "deadline_passed",
        Reason::Draining => "draining",
        Reason::LogUnavailable => "log_unavailable",
        Reason::Quarantined => "quarantined",
        Reason::TargetFailed => "target_failed",
        Reason::OutcomeUnknown => "outcome_unknown",
    }
}

#[derive(Debug, Default)]
struct Counts {
    outcomes: [AtomicU64; Outcome::ALL.len()],
    refusals: [AtomicU64; REASONS.len()],
    events: [AtomicU64; Event::ALL.len()],
    gauges: [AtomicI64; Gauge::ALL.len()],
    wait: Buckets,
    total: Buckets,
}

/// Histograms that are exported.
#[derive(Debug)]
struct Histograms {
    wait: Histogram<f64>,
    total: Histogram<f64>,
}

/// The metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    counts: Arc<Counts>,
    exported: Option<Histograms>,
}

/// All counts as they stood at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Requests by outcome.
    pub requests: BTreeMap<&'static str, u64>,
    /// Refusals by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Events.
    pub events: BTreeMap<&'static str, u64>,
    /// What goes up and down.
    pub gauges: BTreeMap<&'static str, i64>,
    /// Waits for a target.
    pub wait: Latency,
    /// Times from a request's arrival to the end of its answer.
    pub total: Latency,
}

impl Metrics {
    /// Counts that only this process reads.
    pub fn unexported() -> Self {
        Metrics {
            counts: Arc::default(),
            exported: None,
        }
    }

    /// Counts that the meter's provider exports too.
    pub fn exported(meter: &Meter) -> Self {
        let counts = Arc::<Counts>::default();
        observe_outcomes(meter, counts.clone());
        observe_refusals(meter, counts.clone());
        observe_events(meter, &counts);
        observe_gauges(meter, &counts);
        Metrics {
            counts,
            exported: Some(Histograms {
                wait: histogram(meter, "balsampitch.wait"),
                total: histogram(meter, "balsampitch.latency"),
            }),
        }
    }

    /// Counts a request by how it ended.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.counts.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refusal by its reason.
    pub fn record_refusal(&self, reason: Reason) {
        self.counts.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an event.
    pub fn event(&self, event: Event) {
        self.counts.events[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Moves a gauge up, or down by a negative amount.
    pub fn add_to_gauge(&self, gauge: Gauge, by: i64) {
        self.counts.gauges[gauge as usize].fetch_add(by, Ordering::Relaxed);
    }

    /// Records how long a request waited for a target.
    pub fn record_wait(&self, span: Micros) {
        self.counts.wait.record(span);
        if let Some(exported) = &self.exported {
            exported.wait.record(span.as_secs_f64(), &[]);
        }
    }

    /// Records the time from a request's arrival to the end of its answer.
    pub fn record_total(&self, span: Micros) {
        self.counts.total.record(span);
        if let Some(exported) = &self.exported {
            exported.total.record(span.as_secs_f64(), &[]);
        }
    }

    /// All counts as they stand now.
    pub fn snapshot(&self) -> Snapshot {
        let counts = &self.counts;
        Snapshot {
            requests: read(Outcome::ALL.map(Outcome::label), &counts.outcomes),
            refusals: read(REASONS.map(reason_label), &counts.refusals),
            events: read(Event::ALL.map(Event::label), &counts.events),
            gauges: Gauge::ALL
                .iter()
                .zip(&counts.gauges)
                .map(|(gauge, count)| (gauge.label(), count.load(Ordering::Relaxed)))
                .collect(),
            wait: counts.wait.snapshot(),
            total: counts.total.snapshot(),
        }
    }
}

fn read<const N: usize>(
    labels: [&'static str; N],
    counts: &[AtomicU64; N],
) -> BTreeMap<&'static str, u64> {
    labels
        .into_iter()
        .zip(counts)
        .map(|(label, count)| (label, count.load(Ordering::Relaxed)))
        .collect()
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let bounds = BOUNDS_MS.map(|bound| bound as f64 / 1e3);
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(bounds.to_vec())
        .build()
}

fn observe_outcomes(meter: &Meter, counts: Arc<Counts>) {
    let labels = Outcome::ALL.map(|outcome| KeyValue::new("outcome", outcome.label()));
    meter
        .u64_observable_counter("balsampitch.requests")
        .with_callback(move |observer| {
            for (label, count) in labels.iter().zip(&counts.outcomes) {
                observer.observe(count.load(Ordering::Relaxed), std::slice::from_ref(label));
            }
        })
        .build();
}

fn observe_refusals(meter: &Meter, counts: Arc<Counts>) {
    let labels = REASONS.map(|reason| KeyValue::new("reason", reason_label(reason)));
    meter
        .u64_observable_counter("balsampitch.refusals")
        .with_callback(move |observer| {
            for (label, count) in labels.iter().zip(&counts.refusals) {
                observer.observe(count.load(Ordering::Relaxed), std::slice::from_ref(label));
            }
        })
        .build();
}

fn observe_events(meter: &Meter, counts: &Arc<Counts>) {
    for event in Event::ALL {
        let counts = counts.clone();
        meter
            .u64_observable_counter(format!("balsampitch.{}", event.label()))
            .with_callback(move |observer| {
                let count = &counts.events[event as usize];
                observer.observe(count.load(Ordering::Relaxed), &[]);
            })
            .build();
    }
}

fn observe_gauges(meter: &Meter, counts: &Arc<Counts>) {
    for gauge in Gauge::ALL {
        let counts = counts.clone();
        meter
            .i64_observable_up_down_counter(format!("balsampitch.{}", gauge.label()))
            .with_callback(move |observer| {
                let count = &counts.gauges[gauge as usize];
                observer.observe(count.load(Ordering::Relaxed), &[]);
            })
            .build();
    }
}
