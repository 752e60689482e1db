//! Counters, gauges and latency histograms of a process.
//!
//! Recording costs one atomic addition. The exporter reads the same counters when it collects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter};
use serde::Serialize;

use super::latency::{BUCKET_BOUNDS_MS, LatencyHistogram, LatencySummary};
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
            /// All variants, in declaration order.
            pub const ALL: [$name; [$($label),+].len()] = [$($name::$item),+];

            /// Name of the variant in exported metrics.
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
        /// The caller received the complete response.
        Whole => "whole",
        /// The request was rejected without being run.
        Refused => "refused",
        /// The response was truncated, and the caller was told so.
        Cut => "cut",
        /// It is unknown whether the request ran, and the caller was told so.
        Unknown => "unknown",
        /// The caller disconnected before the response ended.
        Abandoned => "abandoned",
    }
);

labels!(
    /// Event that is counted.
    Event {
        /// A request was sent to an agent.
        Dispatch => "dispatches",
        /// An agent declined a request that it had not started.
        Decline => "declines",
        /// A request was retried.
        Retry => "retries",
        /// A hedge, a second copy of an idempotent request, was sent.
        Hedge => "hedges",
        /// A target was asked to fetch a cached prompt prefix from another one.
        PrefixFetch => "prefix_fetches",
        /// A target reserved room for a short prompt.
        Reservation => "reservations",
        /// A target did not reserve room, or did not answer in time.
        FailedReservation => "failed_reservations",
        /// A response was resumed on a new connection.
        Resume => "resumes",
        /// A connection to another process was opened.
        Connect => "connects",
        /// A connection received nothing within the receive timeout.
        ReceiveTimeout => "silences",
        /// The handshake of a connection from or to another process failed.
        RefusedConnection => "refused_connections",
        /// A frame from another process was malformed.
        MalformedFrame => "malformed_frames",
        /// A datagram from another process was malformed.
        MalformedDatagram => "malformed_datagrams",
        /// An append to the platform's log or a read from it failed.
        LogFailure => "log_failures",
        /// A read of the host list failed.
        HostsFailure => "hosts_failures",
        /// A request that is restricted to some regions found no target there.
        RegionRefusal => "region_refusals",
    }
);

labels!(
    /// Quantity that goes up and down.
    Gauge {
        /// Requests waiting for a target.
        Waiting => "waiting",
        /// Requests running on targets.
        Busy => "busy",
        /// Connections from callers.
        Callers => "callers",
        /// Connections from and to other processes of the fleet.
        Peers => "peers",
        /// Bytes of bodies and answers that are held for requests.
        HeldBytes => "held_bytes",
        /// Availability zones that the operator has evacuated.
        EvacuatedZones => "evacuated_zones",
        /// Targets that count as cold, to which requests are limited.
        ColdTargets => "cold_targets",
    }
);

/// All rejection reasons, in declaration order.
const REASONS: [Reason; 17] = [
    Reason::BadKey,
    Reason::BadRequest,
    Reason::NoService,
    Reason::BodyTooLarge,
    Reason::KeyReused,
    Reason::ClaimedElsewhere,
    Reason::QueueFull,
    Reason::ShareReached,
    Reason::NoCapacity,
    Reason::UnknownVersion,
    Reason::Overloaded,
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
        Reason::ShareReached => "share_reached",
        Reason::NoCapacity => "no_capacity",
        Reason::UnknownVersion => "unknown_version",
        Reason::Overloaded => "overloaded",
        Reason::DeadlinePassed => "deadline_passed",
        Reason::Draining => "draining",
        Reason::LogUnavailable => "log_unavailable",
        Reason::Quarantined => "quarantined",
        Reason::TargetFailed => "target_failed",
        Reason::OutcomeUnknown => "outcome_unknown",
    }
}

#[derive(Debug, Default)]
struct Counters {
    outcomes: [AtomicU64; Outcome::ALL.len()],
    refusals: [AtomicU64; REASONS.len()],
    events: [AtomicU64; Event::ALL.len()],
    gauges: [AtomicI64; Gauge::ALL.len()],
    wait: LatencyHistogram,
    total: LatencyHistogram,
}

/// Exported histograms.
#[derive(Debug)]
struct Histograms {
    wait: Histogram<f64>,
    total: Histogram<f64>,
}

/// The metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    counts: Arc<Counters>,
    histograms: Option<Histograms>,
}

/// Values of all metrics at one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Number of requests by outcome.
    pub requests: BTreeMap<&'static str, u64>,
    /// Number of rejections by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Number of events by name.
    pub events: BTreeMap<&'static str, u64>,
    /// Gauges by name.
    pub gauges: BTreeMap<&'static str, i64>,
    /// Time that requests waited for a target.
    pub wait: LatencySummary,
    /// Time from a request's arrival to the end of its response.
    pub total: LatencySummary,
}

impl Metrics {
    /// Creates metrics that can only be read through [`Metrics::snapshot`].
    pub fn unexported() -> Self {
        Metrics {
            counts: Arc::default(),
            histograms: None,
        }
    }

    /// Creates metrics that are also registered with `meter`.
    pub fn exported(meter: &Meter) -> Self {
        let counts = Arc::<Counters>::default();
        register_outcomes(meter, counts.clone());
        register_refusals(meter, counts.clone());
        register_events(meter, &counts);
        register_gauges(meter, &counts);
        Metrics {
            counts,
            histograms: Some(Histograms {
                wait: histogram(meter, "balsampitch.wait"),
                total: histogram(meter, "balsampitch.latency"),
            }),
        }
    }

    /// Counts a finished request by its outcome.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.counts.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a rejected request by its reason.
    pub fn record_refusal(&self, reason: Reason) {
        self.counts.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an event.
    pub fn event(&self, event: Event) {
        self.counts.events[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Adds `by` to a gauge; a negative amount lowers it.
    pub fn add_to_gauge(&self, gauge: Gauge, by: i64) {
        self.counts.gauges[gauge as usize].fetch_add(by, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, gauge: Gauge, value: i64) {
        self.counts.gauges[gauge as usize].store(value, Ordering::Relaxed);
    }

    /// Records how long a request waited for a target.
    pub fn record_wait(&self, duration: Micros) {
        self.counts.wait.record(duration);
        if let Some(histograms) = &self.histograms {
            histograms.wait.record(duration.as_secs_f64(), &[]);
        }
    }

    /// Records the time from a request's arrival to the end of its response.
    pub fn record_total(&self, duration: Micros) {
        self.counts.total.record(duration);
        if let Some(histograms) = &self.histograms {
            histograms.total.record(duration.as_secs_f64(), &[]);
        }
    }

    /// Reads the current values of all metrics.
    pub fn snapshot(&self) -> Snapshot {
        let counts = &self.counts;
        Snapshot {
            requests: by_label(Outcome::ALL.map(Outcome::label), &counts.outcomes),
            refusals: by_label(REASONS.map(reason_label), &counts.refusals),
            events: by_label(Event::ALL.map(Event::label), &counts.events),
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

fn by_label<const N: usize>(
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
    let bounds = BUCKET_BOUNDS_MS.map(|bound| bound as f64 / 1e3);
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(bounds.to_vec())
        .build()
}

fn register_outcomes(meter: &Meter, counts: Arc<Counters>) {
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

fn register_refusals(meter: &Meter, counts: Arc<Counters>) {
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

fn register_events(meter: &Meter, counts: &Arc<Counters>) {
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

fn register_gauges(meter: &Meter, counts: &Arc<Counters>) {
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
