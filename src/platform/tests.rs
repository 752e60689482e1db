mod config_check;
mod fuzz;

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use proptest::prelude::*;

use super::headers::{self, AddedHeaders};
use super::prompt::parse_prompt;
use super::records::{self, KeyedRecord, TruncatedPage};
use super::report;
use super::reservation;
use super::wire::{WireConfig, WireTarget};
use crate::gateway::config::{Config, RouteClass};
use crate::gateway::prompts::Part;
use crate::gateway::targets::Entry;

fn header_map(rows: &[(&'static str, &'static str)]) -> HeaderMap {
    rows.iter()
        .map(|&(name, value)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

const CONFIG: &str = r#"{"version":7,"routes":[
  {"name":"r1","authority":"A.example","pathPrefix":"/m/","routeClass":"streaming","timeoutMs":8000,
   "targetLatencyMs":600,"priority":1,"maxAttempts":1,"anonymousAccess":false,"sessionAffinity":true,
   "streamResume":true,"weightedBackends":[{"backend":"x","weight":90},{"backend":"y","weight":10}]},
  {"name":"r2","authority":"A.example","pathPrefix":"/m/n/","routeClass":"non_idempotent",
   "timeoutMs":800,"backend":"y","anonymousAccess":true,"newField":[1]},
  {"name":"r3","authority":"b.example","pathPrefix":"/","routeClass":"idempotent","timeoutMs":800,
   "backend":"y","maxAttempts":2}],
 "services":[{"name":"x","maxConnections":630,"engine":{"slots":128,"kvCapacity":789097}},{"name":"y"}],
 "limits":{"headerBytes":16384,"idleTimeoutMs":9000,"tokensPerS":1100000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"]},{"name":"t2","apiKeys":[]}]}"#;

fn config() -> Config {
    let wire: WireConfig = serde_json::from_str(CONFIG).expect("the example is valid");
    wire.into()
}

macro_rules! routes {
    ($($name:ident: $host:expr, $path:expr => $route:expr, $kind:expr;)*) => {$(
        #[test]
        fn $name() {
            let config = config();
            let route = config.route($host, $path).map(|r| (r.name.as_ref(), r.class));
            let expected: Option<&str> = $route;
            assert_eq!(route, expected.zip($kind));
        }
    )*};
}

routes! {
    a_prefix: "a.example", "/m/1" => Some("r1"), Some(RouteClass::ResumableStream);
    the_longest_prefix: "a.example", "/m/n/1" => Some("r2"), Some(RouteClass::Once);
    any_case_of_the_host: "A.EXAMPLE", "/m/1" => Some("r1"), Some(RouteClass::ResumableStream);
    another_host: "b.example", "/m/1" => Some("r3"), Some(RouteClass::Idempotent);
    no_prefix: "a.example", "/x" => None, None;
    no_host: "c.example", "/m/1" => None, None;
}

#[test]
fn a_configuration_is_decoded() {
    let config = config();
    assert_eq!((config.version, config.len()), (7, 3));
    assert_eq!(config.limits.idle_timeout, Duration::from_secs(9));
    assert_eq!(config.limits.token_rate, Some(1_100_000.0));
    let account = config.account_by_key("k2").expect("the key is configured");
    assert_eq!(config.account(account).name.as_ref(), "t1");
    assert_eq!(config.account_by_key("k3"), None);
    let route = config.route("a.example", "/m/1").expect("there is a route");
    assert_eq!(
        route.services.iter().map(|(_, weight)| weight).sum::<u32>(),
        100
    );
    let memory = config
        .service("x")
        .and_then(|service| service.engine)
        .map(|engine| engine.kv_capacity);
    assert_eq!(memory, Some(789_097));
}

macro_rules! targets {
    ($($name:ident: $text:expr => $draining:expr;)*) => {$(
        #[test]
        fn $name() {
            let wire = serde_json::from_str::<WireTarget>($text);
            let draining = wire.ok().map(|wire| Entry::from(wire).draining);
            assert_eq!(draining, $draining);
        }
    )*};
}

targets! {
    a_ready_target: r#"{"backend":"x","address":"10.0.0.9:80","zone":"a","slots":4,"state":"ready","callSeq":4,"born":17}"# => Some(false);
    a_draining_target: r#"{"backend":"x","address":"10.0.0.9:80","zone":"a","slots":4,"state":"draining"}"# => Some(true);
    an_unknown_state: r#"{"backend":"x","address":"10.0.0.9:80","zone":"a","slots":4,"state":"odd"}"# => None;
    no_address: r#"{"backend":"x","zone":"a","slots":4,"state":"ready"}"# => None;
    slots_of_another_type: r#"{"backend":"x","address":"10.0.0.9:80","zone":"a","slots":"4","state":"ready"}"# => None;
    no_json: "\u{1}x" => None;
}

/// Guards against an odd figure that makes an entry or a configuration unusable, or limits a target
/// for long: the remaining cold time of an entry, and the limit of a service, in milliseconds and
/// requests a second.
macro_rules! cold_figures {
    ($($name:ident: $figure:expr => $remaining:expr, $rate:expr, $span:expr;)*) => {$(
        #[test]
        fn $name() {
            let figure = $figure;
            let entry = format!(
                r#"{{"backend":"x","address":"10.0.0.9:80","zone":"a","slots":4,"state":"ready","coldRemainingMs":{figure}}}"#
            );
            let entry: WireTarget = serde_json::from_str(&entry).expect("the rest is sound");
            let remaining = Entry::from(entry).cold.map(|cold| cold.remaining.as_ms());
            assert_eq!(remaining, $remaining);
            let read = |text: String| -> Config {
                let wire: WireConfig = serde_json::from_str(&text).expect("the rest is sound");
                wire.into()
            };
            let config = read(format!(
                r#"{{"version":1,"services":[{{"name":"x","coldS":3.0,"coldPerS":{figure},"healthPath":{figure}}}]}}"#
            ));
            let cold = config.service("x").and_then(|service| service.cold);
            assert_eq!(cold.map(|cold| cold.rate), $rate);
            let config = read(format!(
                r#"{{"version":1,"services":[{{"name":"x","coldS":{figure},"coldPerS":5.9}}]}}"#
            ));
            let cold = config.service("x").and_then(|service| service.cold);
            assert_eq!(cold.map(|cold| cold.span.as_ms()), Some($span));
        }
    )*};
}

cold_figures! {
    a_cold_figure: "2.5" => Some(2), Some(2.5), 2_500;
    a_cold_figure_of_zero: "0" => Some(0), None, 3_000;
    a_negative_cold_figure: "-5" => None, None, 3_000;
    a_huge_cold_figure: "1e300" => Some(60_000), Some(1e6), 60_000;
    a_tiny_cold_figure: "1e-300" => Some(0), Some(0.01), 0;
    an_infinite_cold_figure: "1e999" => None, None, 3_000;
    a_cold_figure_that_is_text: "\"NaN\"" => None, None, 3_000;
    a_cold_figure_that_is_null: "null" => None, None, 3_000;
    a_cold_figure_that_is_a_list: "[1]" => None, None, 3_000;
}

macro_rules! cold_headers {
    ($($name:ident: $text:expr => $remaining:expr;)*) => {$(
        #[test]
        fn $name() {
            let read = headers::parse_cold(&header_map(&[("cold-remaining", $text)]));
            assert_eq!(read.map(|cold| cold.as_ms()), $remaining);
        }
    )*};
}

cold_headers! {
    a_cold_header: " 2400 " => Some(2_400);
    a_cold_header_of_zero: "0" => Some(0);
    a_negative_cold_header: "-1" => None;
    a_huge_cold_header: "1e30" => Some(60_000);
    a_cold_header_that_is_no_number: "NaN" => None;
    a_cold_header_that_is_infinite: "inf" => None;
}

/// Encodes a page of records as the store does.
fn page(end: u64, records: &[(&str, &[u8])]) -> Bytes {
    let mut out = BytesMut::new();
    out.put_u64(end);
    out.put_u64(0);
    for (key, value) in records {
        out.put_u32(u32::try_from(1 + key.len() + value.len()).expect("records are short"));
        out.put_u8(u8::try_from(key.len()).expect("keys are short"));
        out.put_slice(key.as_bytes());
        out.put_slice(value);
    }
    out.freeze()
}

#[test]
fn a_page_of_records_is_decoded() {
    let read = records::decode_page(page(9, &[("a", b"one"), ("b", b"")]), 7);
    let read = read.expect("the page is complete");
    let keyed = |offset, key: &str, value: &'static [u8]| KeyedRecord {
        offset,
        key: key.into(),
        value: Bytes::from_static(value),
    };
    assert_eq!((read.end, read.count), (9, 2));
    assert_eq!(read.records, [keyed(7, "a", b"one"), keyed(8, "b", b"")]);
}

#[test]
fn a_record_without_a_key_is_counted_and_left_out() {
    let mut body = BytesMut::from(page(1, &[]).as_ref());
    body.put_u32(1);
    body.put_u8(9);
    let read = records::decode_page(body.freeze(), 0).expect("the page is complete");
    assert_eq!((read.count, read.records.len()), (1, 0));
}

proptest! {
    /// A truncated page decodes to an error or a shorter page, never a panic.
    #[test]
    fn decoding_a_truncated_page_does_not_panic(cut in 0_usize..60) {
        let whole = page(2, &[("key", b"some value"), ("other", b"x")]);
        let part = whole.slice(..cut.min(whole.len()));
        if let Ok(read) = records::decode_page(part, 0) {
            prop_assert!(read.count <= 2);
        }
    }

    /// Decoding never panics, whatever the bytes.
    #[test]
    fn decoding_any_bytes_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let short = body.len() < 16;
        let read = records::decode_page(body.into(), u64::MAX);
        if short {
            prop_assert_eq!(read, Err(TruncatedPage));
        }
    }
}

#[test]
fn reserved_headers_of_the_client_do_not_reach_a_target() {
    let client = header_map(&[
        ("host", "a.example"),
        ("attempt-id", "9c41"),
        ("authorization", "Bearer k1"),
        ("tenant", "someone-else"),
        ("expect-instance", "i-other"),
        ("deadline-remaining", "9000"),
        ("hold", "1"),
        ("pin-duration", "4000"),
        ("kv-from", "10.0.0.1:1/2"),
        ("kv-backup", "10.0.0.1:1"),
        ("connection", "x-own, keep-alive"),
        ("x-own", "1"),
        ("x-kept", "yes"),
        ("prompt-prefix", "1:2"),
    ]);
    let added = AddedHeaders {
        target: "i-1",
        account: None,
        remaining: Duration::from_millis(700),
        last_event: None,
        fetch_from: None,
        reservation: None,
    };
    let sent = headers::forward_request(&client, &added);
    let expected = header_map(&[
        ("attempt-id", "9c41"),
        ("x-kept", "yes"),
        ("prompt-prefix", "1:2"),
        ("host", "a.example"),
        ("expect-instance", "i-1"),
        ("deadline-remaining", "700"),
    ]);
    assert_eq!(sent, expected);
    let room = HeaderValue::from_static("7");
    let added = AddedHeaders {
        account: Some("t1"),
        last_event: Some("12"),
        fetch_from: Some(([10, 0, 0, 1], 80).into()),
        reservation: Some(&room),
        ..added
    };
    let sent = headers::forward_request(&client, &added);
    assert_eq!(sent.get("tenant"), Some(&HeaderValue::from_static("t1")));
    assert_eq!(
        sent.get("last-event-id"),
        Some(&HeaderValue::from_static("12"))
    );
    let source = HeaderValue::from_static("10.0.0.1:80");
    assert_eq!(sent.get("kv-fetch"), Some(&source));
    assert_eq!(sent.get("hold"), Some(&room));
}

macro_rules! responses {
    ($($name:ident: $rows:expr => $id_matches:expr, $declined:expr, $idle:expr;)*) => {$(
        #[test]
        fn $name() {
            let id = HeaderValue::from_static("9c41");
            let meta = headers::parse_response(&header_map(&$rows), Some(&id));
            assert_eq!((meta.id_matches, meta.declined, meta.idle_timeout), ($id_matches, $declined, $idle));
        }
    )*};
}

responses! {
    a_response: [("attempt-id", "9c41"), ("server-stamp", "s")] => true, false, None;
    a_response_to_another_request: [("attempt-id", "9c42")] => false, false, None;
    a_response_without_an_id: [("server-stamp", "s")] => false, false, None;
    it_did_not_run: [("attempt-id", "9c41"), ("not-executed", "1")] => true, true, None;
    it_closes: [("attempt-id", "9c41"), ("connection", "close")] => true, false, Some(Duration::ZERO);
    it_keeps_for_a_time: [("attempt-id", "9c41"), ("keep-alive", "timeout=5")] => true, false, Some(Duration::from_secs(5));
}

#[test]
fn a_load_report_is_parsed() {
    let meta = headers::parse_response(&header_map(&[("server-load", "3,1,8,250")]), None);
    let report = meta.load.expect("the report is valid");
    assert_eq!(
        (report.running, report.waiting, report.slowness),
        (3, 1, 250)
    );
    let malformed = headers::parse_response(&header_map(&[("server-load", "3,x,8")]), None);
    assert_eq!(malformed.load, None);
}

#[test]
fn a_prompt_is_parsed_in_its_parts() {
    let read = parse_prompt("1460,80", Some("5c1e07a2:800,91bd3f06:410,e4402b7d:250"))
        .expect("the counts are valid");
    assert_eq!((read.tokens, read.output), (1_460, 80));
    let first = Part {
        id: 0x5c1e_07a2,
        tokens: 800,
    };
    assert_eq!(read.parts.len(), 3);
    assert_eq!(read.parts[0], first);
    assert_eq!(parse_prompt("many", None), None);
    assert_eq!(
        parse_prompt("12,3", Some("zz:1")).map(|p| p.parts.len()),
        Some(0)
    );
}

#[test]
fn the_latency_objective_defaults_to_the_timeout() {
    let config = config();
    let route = config.route("b.example", "/1").expect("there is a route");
    assert_eq!(
        (route.timeout, route.latency_objective),
        (Duration::from_millis(800), route.timeout)
    );
    let route = config.route("a.example", "/m/1").expect("there is a route");
    assert_eq!(route.latency_objective, Duration::from_millis(600));
}

macro_rules! limits {
    ($($name:ident: $rows:expr => $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let meta = headers::parse_response(&header_map(&$rows), None);
            assert_eq!(meta.limit, $limit);
        }
    )*};
}

limits! {
    a_target_without_a_limit: [("server-load", "3,1,8")] => None;
    a_limit_is_a_decimal_number: [("server-limit", " 5.25 ")] => Some(5.25);
    a_limit_of_zero: [("server-limit", "0")] => Some(0.0);
    a_negative_limit_is_none: [("server-limit", "-1")] => None;
    a_limit_that_is_no_number_is_none: [("server-limit", "NaN")] => None;
    an_infinite_limit_is_none: [("server-limit", "inf")] => None;
    a_malformed_limit_is_none: [("server-limit", "5 a second")] => None;
}

macro_rules! notices {
    ($($name:ident: $rows:expr => $leaving:expr, $retry_after_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let meta = headers::parse_response(&header_map(&$rows), None);
            let retry_after: Option<u64> = $retry_after_ms;
            assert_eq!(meta.leaving, $leaving);
            assert_eq!(meta.retry_after, retry_after.map(Duration::from_millis));
        }
    )*};
}

notices! {
    a_target_without_notices: [("server-load", "3,1,8")] => false, None;
    a_target_that_is_leaving: [("server-leaving", " 1 ")] => true, None;
    a_target_that_is_not_leaving: [("server-leaving", "0")] => false, None;
    an_unknown_value_does_not_mean_leaving: [("server-leaving", "perhaps")] => false, None;
    a_pause_in_seconds: [("retry-after", "7")] => false, Some(7_000);
    a_pause_with_a_fraction: [("retry-after", " 0.75 ")] => false, Some(750);
    a_pause_of_more_than_an_hour: [("retry-after", "1e300")] => false, Some(3_600_000);
    a_pause_of_zero_is_none: [("retry-after", "0")] => false, None;
    a_negative_pause_is_none: [("retry-after", "-3")] => false, None;
    a_pause_that_is_no_number_is_none: [("retry-after", "NaN")] => false, None;
    an_infinite_pause_is_none: [("retry-after", "inf")] => false, None;
    a_pause_with_a_unit_is_none: [("retry-after", "5 s")] => false, None;
    an_empty_pause_is_none: [("retry-after", "")] => false, None;
    a_date_is_none: [("retry-after", "Sun, 06 Dec 2026 10:00:00 GMT")] => false, None;
}

#[test]
fn what_targets_tell_gateways_is_not_forwarded_to_the_client() {
    let rows = header_map(&[
        ("server-limit", "5"),
        ("server-leaving", "1"),
        ("server-stamp", "s"),
    ]);
    let forwarded = headers::forward_response(&rows);
    assert!(!forwarded.contains_key("server-limit"));
    assert!(!forwarded.contains_key("server-leaving"));
    assert!(forwarded.contains_key("server-stamp"));
}

/// Guards against an odd report that is taken as proof that a request has stopped.
macro_rules! reports {
    ($($name:ident: $body:expr => $listed:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(report::lists_run($body.as_bytes(), "c3"), $listed);
        }
    )*};
}

reports! {
    a_report_lists_a_run: r#"{"runs":[["b1",9,2,0],["c3",90,1,0]],"x":1}"# => Some(true);
    a_report_lists_only_others: r#"{"runs":[["b1",9,2,0]]}"# => Some(false);
    a_report_lists_no_runs: r#"{"runs":[]}"# => Some(false);
    a_report_of_an_older_engine_has_no_list: r#"{"slots":4}"# => None;
    a_report_has_a_row_without_id: r#"{"runs":[["c3",90,1,0],[]]}"# => None;
    a_report_has_ids_that_are_numbers: r#"{"runs":[[195,90,1,0]]}"# => None;
    an_answer_is_no_report: "body" => None;
}

/// Guards against an odd figure of an engine that turns off more than the ability it belongs to, or
/// leads to transfers that take no time.
macro_rules! engine_abilities {
    ($($name:ident: $engine:expr => $transfers:expr, $reserves:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = format!(r#"{{"version":1,"services":[{{"name":"x","engine":{}}}]}}"#, $engine);
            let wire: WireConfig = serde_json::from_str(&text).expect("it is readable");
            let config = Config::from(wire);
            let engine = config.service("x").and_then(|service| service.engine);
            let engine = engine.expect("it is an engine");
            assert_eq!(engine.transfer.is_some(), $transfers);
            assert_eq!(engine.max_reservation.is_some(), $reserves);
        }
    )*};
}

engine_abilities! {
    all_abilities: r#"{"kvBytes":35136,"linkMbps":740000.0,"holdMs":2000.0}"# => true, true;
    no_abilities: "{}" => false, false;
    no_rate: r#"{"kvBytes":35136}"# => false, false;
    a_rate_of_zero: r#"{"kvBytes":35136,"linkMbps":0,"holdMs":0}"# => false, false;
    no_size: r#"{"kvBytes":0,"linkMbps":740000.0,"holdMs":-1}"# => false, false;
    figures_of_another_type: r#"{"kvBytes":"35136","linkMbps":[],"holdMs":null}"# => false, false;
    a_huge_rate: r#"{"kvBytes":1e-300,"linkMbps":1e300,"holdMs":1e300}"# => false, true;
}

/// Guards against an id that makes a request unsendable, and one that is a number.
macro_rules! reservation_ids {
    ($($name:ident: $body:expr => $id:expr;)*) => {$(
        #[test]
        fn $name() {
            let id = reservation::decode($body.as_bytes());
            assert_eq!(id.as_ref().and_then(|id| id.to_str().ok()), $id);
        }
    )*};
}

reservation_ids! {
    an_id_that_is_text: r#"{"hold":"a-7"}"# => Some("a-7");
    an_id_that_is_a_number: r#"{"hold":7}"# => Some("7");
    an_empty_id: r#"{"hold":""}"# => None;
    an_id_with_a_line_break: r#"{"hold":"a\nb"}"# => None;
    an_id_of_another_type: r#"{"hold":{}}"# => None;
    no_id: "{}" => None;
    no_object: "503" => None;
}
