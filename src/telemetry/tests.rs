use opentelemetry_sdk::metrics::{InMemoryMetricExporter, PeriodicReader, SdkMeterProvider};
use opentelemetry_sdk::trace::{InMemorySpanExporter, SdkTracerProvider};

use super::*;
use crate::problem::Reason;
use crate::units::Micros;

macro_rules! traceparents {
    ($($name:ident: $text:expr => $expected:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let parsed = $text.parse::<TraceContext>().ok().map(|context| context.to_string());
                assert_eq!(parsed.as_deref(), $expected);
            }
        )+
    };
}

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

traceparents! {
    version_00: PARENT => Some(PARENT),
    not_sampled: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"
        => Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"),
    unknown_flags_are_cleared: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-ff"
        => Some(PARENT),
    later_version_with_extra_field: "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-what"
        => Some(PARENT),
    version_00_with_extra_field: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-what" => None,
    later_version_without_separator: "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01what" => None,
    version_ff: "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" => None,
    upper_case: "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01" => None,
    signed_number: "00-+af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" => None,
    zero_trace: "00-00000000000000000000000000000000-b7ad6b7169203331-01" => None,
    zero_span: "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01" => None,
    dashes_shifted: "00-0af7651916cd43dd8448eb211c80319-cb7ad6b7169203331-01" => None,
    short: "00-0af7651916cd43dd8448eb211c80319c" => None,
    empty: "" => None,
    split_utf8_character: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0é" => None,
}

#[test]
fn spans_of_a_request_share_its_trace_id() {
    let exporter = InMemorySpanExporter::default();
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter.clone())
        .build();
    let telemetry = Telemetry::exporting(provider, SdkMeterProvider::default());
    let caller: TraceContext = PARENT.parse().expect("the constant is a traceparent");

    let mut entry = telemetry.span("entry", Some(&caller));
    entry.set_attribute("account", "school");
    let queue = telemetry.span("queue", Some(&entry.context()));
    drop(queue);
    // The context is sent to other processes as text.
    let encoded = entry.context().to_string();
    let decoded = encoded.parse().expect("an encoded context parses");
    assert_eq!(entry.context(), decoded);
    let agent = telemetry.span("agent", Some(&decoded));
    let target = telemetry.span("target", Some(&agent.context()));
    drop((target, agent, entry));

    let spans = exporter
        .get_finished_spans()
        .expect("exporter holds the spans");
    let names: Vec<&str> = spans.iter().map(|span| span.name.as_ref()).collect();
    assert_eq!(names, ["queue", "target", "agent", "entry"]);
    let span = |name: &str| spans.iter().find(|span| span.name == name).expect(name);
    for span in &spans {
        assert_eq!(
            u128::from_be_bytes(span.span_context.trace_id().to_bytes()),
            caller.trace
        );
    }
    for (child, parent) in [("queue", "entry"), ("agent", "entry"), ("target", "agent")] {
        assert_eq!(
            span(child).parent_span_id,
            span(parent).span_context.span_id()
        );
    }
    let entry_parent = u64::from_be_bytes(span("entry").parent_span_id.to_bytes());
    assert_eq!(entry_parent, caller.span);
    assert_eq!(span("entry").attributes[0].value.as_str(), "school");
}

#[test]
fn disabled_spans_propagate_the_callers_context() {
    let telemetry = Telemetry::disabled();
    let caller = PARENT.parse().expect("the constant is a traceparent");
    assert_eq!(telemetry.span("entry", Some(&caller)).context(), caller);
    let first = telemetry.span("entry", None).context();
    assert_eq!(first.to_string().parse(), Ok(first));
    assert_ne!(telemetry.span("entry", None).context(), first);
}

#[test]
fn snapshot_contains_all_metrics() {
    let metrics = Metrics::unexported();
    metrics.record_outcome(Outcome::Whole);
    metrics.record_outcome(Outcome::Whole);
    metrics.record_refusal(Reason::OutcomeUnknown);
    metrics.event(Event::HostsFailure);
    metrics.add_to_gauge(Gauge::Busy, 3);
    metrics.add_to_gauge(Gauge::Busy, -1);
    for ms in 1..=100 {
        metrics.record_wait(Micros::from_ms(ms));
    }
    metrics.record_total(Micros::from_secs(3_600));

    let snapshot = metrics.snapshot();
    assert_eq!(snapshot.requests["whole"], 2);
    assert_eq!(snapshot.requests["refused"], 0);
    assert_eq!(snapshot.refusals["outcome_unknown"], 1);
    assert_eq!(snapshot.refusals.values().sum::<u64>(), 1);
    assert_eq!(snapshot.events["hosts_failures"], 1);
    assert_eq!(snapshot.gauges["busy"], 2);
    let wait = snapshot.wait;
    assert_eq!(
        (wait.count, wait.sum_ms, wait.p50_ms, wait.p99_ms),
        (100, 5_050, 50, 100)
    );
    assert_eq!(snapshot.total.p99_ms, 60_000);
    assert_eq!(Metrics::unexported().snapshot().wait.p99_ms, 0);
}

#[test]
fn metrics_are_exported() {
    let exporter = InMemoryMetricExporter::default();
    let reader = PeriodicReader::builder(exporter.clone()).build();
    let meters = SdkMeterProvider::builder().with_reader(reader).build();
    let telemetry = Telemetry::exporting(SdkTracerProvider::default(), meters.clone());
    telemetry.metrics().record_outcome(Outcome::Whole);
    telemetry.metrics().event(Event::Dispatch);
    telemetry.metrics().record_wait(Micros::from_ms(7));

    meters
        .force_flush()
        .expect("the in-memory exporter accepts the export");
    let exported = exporter
        .get_finished_metrics()
        .expect("exporter holds the metrics");
    let text = format!("{exported:?}");
    let names = [
        "balsampitch.requests",
        "balsampitch.refusals",
        "balsampitch.dispatches",
        "balsampitch.log_failures",
        "balsampitch.waiting",
        "balsampitch.wait",
    ];
    for name in names {
        assert!(
            text.contains(&format!("\"{name}\"")),
            "{name} is not in {text}"
        );
    }
    assert!(text.contains("sum: 0.007"), "{text}");
}

#[test]
fn log_lines_are_json_objects() {
    let sink = spdlog::sink::WriteSink::builder()
        .target(Vec::new())
        .formatter(logs::JsonLines)
        .build_arc()
        .expect("the sink builds");
    let logger = spdlog::Logger::builder()
        .name("balsampitch-test")
        .sink(sink.clone())
        .build()
        .expect("the logger builds");
    spdlog::warn!(logger: logger, "peer \"b\"\nwent silent", kv: { age_ms = 7 });
    spdlog::info!(logger: logger, "back");

    let written = String::from_utf8(sink.clone_target()).expect("log lines are UTF-8");
    let lines: Vec<serde_json::Value> = written
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is JSON"))
        .collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["level"], "warn");
    assert_eq!(lines[0]["process"], "balsampitch-test");
    assert_eq!(lines[0]["message"], "peer \"b\"\nwent silent");
    assert_eq!(lines[0]["fields"]["age_ms"], "7");
    assert!(lines[1]["time_ms"].as_u64() > Some(0));
}
