//! Checks of configurations in the platform's format.

use serde_json::{Value, json};

use crate::gateway::config::Config;
use crate::gateway::config_check::check;
use crate::gateway::config_check::draft::{Draft, Field};
use crate::gateway::config_check::finding::{Fault, Finding, Severity};
use crate::platform::wire::WireConfig;
use crate::platform::wire::draft::decode;

const SOUND: &str = r#"{"version":7,"routes":[
  {"name":"r1","authority":"A.example","pathPrefix":"/m/","routeClass":"streaming",
   "streamResume":true,"timeoutMs":8000,"targetLatencyMs":600,"gapAimMs":45,"maxAttempts":2,
   "weightedBackends":[{"backend":"x","weight":90},{"backend":"y","weight":10}],
   "allowedRegions":["visayas","luzon"]},
  {"name":"r2","authority":"A.example","pathPrefix":"/n/","routeClass":"non_idempotent",
   "timeoutMs":800,"backend":"y","maxAttempts":1,"anonymousAccess":false}],
 "services":[{"name":"x","maxConnections":630,"engine":{"slots":128,"kvCapacity":789097,
   "kvBytes":18432,"linkMbps":180000},"coldS":3.5,"coldPerS":5.9,"healthPath":"/health"},
  {"name":"y"}],
 "limits":{"headerBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":9000,"tokensPerS":1100000},
 "tenants":[{"name":"t1","apiKeys":["secret-1","secret-2"],"allowedRegions":["luzon"]},
  {"name":"t2","apiKeys":["secret-3"]}]}"#;

fn draft(text: &str) -> Draft {
    decode(text.as_bytes()).expect("the text is a JSON object")
}

/// Replaces a part of the sound configuration.
fn edited(part: &str, replacement: &str) -> String {
    assert!(SOUND.contains(part), "{part} is not in the example");
    SOUND.replacen(part, replacement, 1)
}

/// Lines of the report. A report without errors must be of a configuration that a gateway accepts,
/// and no report may show an API key.
fn findings(text: &str) -> Vec<String> {
    let report = check(&draft(text), None);
    let accepted = serde_json::from_str::<WireConfig>(text).map(Config::from);
    assert!(report.count(Severity::Error) > 0 || accepted.is_ok());
    assert!(!format!("{report}{report:?}{:?}", draft(text)).contains("secret"));
    report.findings.iter().map(ToString::to_string).collect()
}

/// Guards against a fault that is missed, reported with another severity, or reported for a sound
/// configuration: the part of the example that is replaced, by what, by what without a finding, and
/// the finding.
macro_rules! faults {
    ($($name:ident: $part:literal, $bad:literal, $good:literal => $line:literal;)+) => {$(
        #[test]
        fn $name() {
            assert_eq!(findings(&edited($part, $bad)), [$line]);
            assert_eq!(findings(&edited($part, $good)), [""; 0]);
        }
    )+};
}

faults! {
    version_missing: r#""version":7,"#, "", r#""version":1,"#
        => "error: configuration: has no version";
    version_negative: r#""version":7"#, r#""version":-7"#, r#""version":18446744073709551615"#
        => "error: configuration: version is not a whole number from 0 to 18446744073709551615";
    version_zero: r#""version":7"#, r#""version":0"#, r#""version":1"#
        => "error: configuration: version 0 counts as no configuration, so all requests are rejected";
    field_twice: r#""version":7"#, r#""version":7,"version":8"#, r#""version":7,"other":8"#
        => "error: configuration: could not be decoded, for example because a field is given twice, see line 1, column 22";
    services_are_null: r#""services":["#, r#""services":null,"new":["#, r#""new":null,"services":["#
        => "error: configuration: services is not a list";
    routes_are_null: r#""routes":["#, r#""routes":null,"new":["#, r#""new":null,"routes":["#
        => "error: configuration: routes is not a list";
    limits_are_a_list: r#""limits":{"#, r#""limits":[1],"others":{"#, r#""limits":{"new":[1],"#
        => "error: limits: is not an object";
    route_is_no_object: r#"{"name":"r2","authority":"A.example","pathPrefix":"/n/","routeClass":"non_idempotent",
   "timeoutMs":800,"backend":"y","maxAttempts":1,"anonymousAccess":false}"#, "null", r#"{"name":"r2","authority":"b","pathPrefix":"/","routeClass":"idempotent","timeoutMs":1,"backend":"y"}"#
        => "error: route #2: is not an object";
    entry_is_no_object: r#"{"name":"y"}"#, r#"{"name":"y"},7"#, r#"{"name":"y","new":7}"#
        => "error: service #3: is not an object";
    authority_missing: r#""name":"r2","authority":"A.example","#, r#""name":"r2","#, r#""name":"r2","authority":"b","#
        => "error: route r2: has no authority";
    authority_with_scheme: "A.example", "https://a", "[::1]:8080"
        => r#"warning: route r1: authority "https://a" is not a host"#;
    authority_with_huge_port: "A.example", "a:99999", "a:443"
        => r#"warning: route r1: authority "a:99999" is not a host"#;
    authority_empty: "A.example", "", "10.0.0.1"
        => r#"warning: route r1: authority "" is not a host"#;
    prefix_without_first_slash: r#""/m/""#, r#""m/""#, r#""/""#
        => r#"warning: route r1: pathPrefix "m/" does not begin and end with a slash"#;
    prefix_without_last_slash: r#""/n/""#, r#""/n""#, r#""/n/o/""#
        => r#"warning: route r2: pathPrefix "/n" does not begin and end with a slash"#;
    hidden: r#""r2","authority":"A.example","pathPrefix":"/n/""#, r#""r2","authority":"a.EXAMPLE","pathPrefix":"/m/""#,
        r#""r2","authority":"b.example","pathPrefix":"/m/""#
        => "warning: route r2: is never reached: route r1 has the same authority and path prefix";
    route_without_name: r#"{"name":"r1","#, "{", r#"{"name":"r3","#
        => "warning: route #1: has no name, so logs do not tell it from others";
    route_name_twice: r#""r2""#, r#""r1""#, r#""R1""#
        => "error: route r1: has the same name as #1 of its kind";
    service_name_twice: r#"{"name":"y"}"#, r#"{"name":"y"},{"name":"y"}"#, r#"{"name":"y"}"#
        => "error: service y: has the same name as #2 of its kind";
    account_name_twice: r#""t2""#, r#""t1""#, r#""t3""#
        => "error: account t1: has the same name as #1 of its kind";
    no_service: r#""backend":"y","max"#, r#""max"#, r#""backend":"x","max"#
        => "error: route r2: has no service";
    service_as_number: r#""backend":"y","max"#, r#""backend":7,"max"#, r#""backend":null,"weightedBackends":[{"backend":"y","weight":1}],"max"#
        => "error: route r2: backend is not a string";
    undefined_service: r#""backend":"y","max"#, r#""backend":"z\u001b","max"#, r#""backend":"x","max"#
        => r#"error: route r2: service "z\u{1b}" is not defined"#;
    unused_service: r#"{"name":"y"}"#, r#"{"name":"y"},{"name":"z"}"#, r#"{"name":"y"}"#
        => "warning: service z: is not used by any route";
    zero_weight: "10}", "0}", "1}"
        => r#"warning: route r1: service "y" has a weight of 0, so it gets no requests"#;
    weight_negative: "10}", "-10}", "1}"
        => "error: route r1: weightedBackends is not a list of names and weights from 0 to 4294967295";
    sum_of_weights: "10}", "4294967206}", "4294967205}"
        => "error: route r1: the sum of the weights is above 4294967295";
    unknown_class: "non_idempotent", "careful", "idempotent"
        => r#"warning: route r2: routeClass "careful" is not known, so requests run at most once"#;
    timeout_as_text: ":800,", r#":"800","#, ":8e2,"
        => "error: route r2: timeoutMs is not a number";
    timeout_negative: ":800,", ":-1,", ":0.5,"
        => "error: route r2: timeoutMs is not above 0, or too large, so no request can be served";
    timeout_huge: ":800,", ":1e300,", ":1e9,"
        => "error: route r2: timeoutMs is not above 0, or too large, so no request can be served";
    timeout_beyond_f64: ":800,", ":1e999,", ":1e9,"
        => "error: route r2: timeoutMs is not a number";
    objective_above_timeout: ":600,", ":8001,", ":8000,"
        => "warning: route r1: targetLatencyMs is above timeoutMs";
    objective_negative: ":600,", ":-1,", ":null,"
        => "warning: route r1: targetLatencyMs is not above 0";
    gap_above_timeout: ":45,", ":8001,", ":8000,"
        => "warning: route r1: gapAimMs is above timeoutMs";
    gap_malformed: ":45,", r#":"x","#, ":null,"
        => "warning: route r1: gapAimMs is not a number of 0 or more, so it is ignored";
    no_attempts: r#""maxAttempts":2"#, r#""maxAttempts":0"#, r#""maxAttempts":4294967295"#
        => "warning: route r1: maxAttempts is not above 0";
    attempts_huge: r#""maxAttempts":2"#, r#""maxAttempts":4294967296"#, r#""maxAttempts":3"#
        => "error: route r1: maxAttempts is not a whole number from 0 to 4294967295";
    attempts_unused: r#""maxAttempts":1"#, r#""maxAttempts":2"#, r#""maxAttempts":1"#
        => "warning: route r2: maxAttempts is 2, but requests run at most once";
    flag_as_number: ":false", ":0", ":true"
        => "error: route r2: anonymousAccess is not true or false";
    regions_are_no_list: r#"["visayas","luzon"]"#, r#""luzon""#, "null"
        => "error: route r1: allowedRegions is not a list of strings";
    regions_empty: r#"["luzon"]"#, "[]", "null"
        => "warning: account t1: allowedRegions is empty, which restricts nothing";
    regions_disjoint: r#"["luzon"]"#, r#"["mindanao"]"#, r#"["visayas"]"#
        => "warning: account t1: shares no region with route r1 (0 more), so its requests are rejected there";
    engine_is_a_list: r#"{"name":"y"}"#, r#"{"name":"y","engine":[]}"#, r#"{"name":"y","engine":{}}"#
        => "error: service y: engine is not an object";
    no_slots: r#""slots":128"#, r#""slots":0"#, r#""slots":1"#
        => "warning: service x: slots is not above 0";
    token_bytes_malformed: "18432", "1e999", "1e300"
        => "warning: service x: kvBytes is not a number of 0 or more, so it is ignored";
    cold_rate_without_time: r#""coldS":3.5,"#, "", r#""coldS":1,"#
        => "warning: service x: coldPerS is given without coldS";
    cold_rate_of_zero: "5.9", "0", "0.1"
        => "warning: service x: coldPerS is not a number above 0, so it is ignored";
    health_path_relative: r#""/health""#, r#""health""#, "null"
        => "warning: service x: healthPath is not a path that begins with a slash, so it is ignored";
    no_body: ":4194304", ":0", ":1"
        => "warning: limits: maxBodyBytes is not above 0";
    head_timeout_above_idle: ":3000", ":9001", ":9000"
        => "warning: limits: headerTimeoutMs is above idleTimeoutMs";
    head_timeout_above_default_idle: r#""idleTimeoutMs":9000,"#, r#""idleTimeoutMs":2999,"#, ""
        => "warning: limits: headerTimeoutMs is above idleTimeoutMs";
    token_rate_negative: "1100000", "-1", "0.5"
        => "warning: limits: tokensPerS is not above 0";
    shared_key: "secret-3", "secret-2", "secret-4"
        => "error: account t2: API key #1 is also one of account t1";
    repeated_key: r#"["secret-3"]"#, r#"["secret-3","secret-3"]"#, r#"["secret-3","secret-4"]"#
        => "warning: account t2: API key #2 is given twice";
    no_key: r#","apiKeys":["secret-3"]"#, "", r#","apiKeys":["secret-4"]"#
        => "warning: account t2: has no API key, so no request belongs to it";
    keys_are_no_list: r#"["secret-3"]"#, r#"{"secret-3":1}"#, r#"["secret-4"]"#
        => "error: account t2: apiKeys is not a list of strings";
}

/// Guards against a file that is not an object and makes the check panic, or counts as sound.
#[test]
fn what_is_not_an_object_is_a_fault() {
    for length in (0..SOUND.len()).filter(|&length| SOUND.is_char_boundary(length)) {
        let fault = decode(&SOUND.as_bytes()[..length]).expect_err("the file is cut off");
        assert!(matches!(fault, Fault::NotJson { .. }), "{length}: {fault}");
    }
    assert!(matches!(
        decode(b"\xff{}"),
        Err(Fault::NotJson { line: 1, .. })
    ));
    assert_eq!(decode(b"[7]").map(|_| ()), Err(Fault::NotObject));
}

/// Replaces each value below `value` in turn, and calls `visit` after each replacement.
fn replace_each(
    whole: &mut Value,
    pointer: &str,
    replacement: &Value,
    visit: &mut impl FnMut(&Value),
) {
    let value = whole.pointer_mut(pointer).expect("the value is there");
    let names: Vec<String> = match value {
        Value::Object(fields) => fields.keys().cloned().collect(),
        Value::Array(items) => (0..items.len()).map(|index| index.to_string()).collect(),
        _ => Vec::new(),
    };
    let original = std::mem::replace(value, replacement.clone());
    visit(whole);
    *whole.pointer_mut(pointer).expect("the value is there") = original;
    for name in names {
        replace_each(whole, &format!("{pointer}/{name}"), replacement, visit);
    }
}

/// Guards against forms that the check and the gateway read differently: a configuration that the
/// gateway reads must have no field that is missing or odd. Lists in place of objects, which the
/// gateway reads by position, are not of the platform's format.
#[test]
fn what_a_gateway_reads_has_no_odd_field() {
    let replacements = json!([
        null,
        -1,
        0,
        1.5,
        4_294_967_296_u64,
        1e300,
        "x",
        "/",
        true,
        ["x"],
        {}
    ]);
    let mut whole: Value = serde_json::from_str(SOUND).expect("the example is JSON");
    for replacement in replacements.as_array().expect("a list") {
        replace_each(&mut whole, "", replacement, &mut |edited| {
            let text = edited.to_string();
            let accepted = serde_json::from_str::<WireConfig>(&text).is_ok();
            let Ok(draft) = decode(text.as_bytes()) else {
                return assert!(!accepted, "{text}");
            };
            let report = check(&draft, None);
            let is_odd = |finding: &Finding| match finding.fault {
                Fault::Odd(field, _) => field != Field::Regions,
                Fault::Missing(_) | Fault::Undecodable { .. } => true,
                _ => false,
            };
            assert!(
                !(accepted && report.findings.iter().any(is_odd)),
                "{text}: {report}"
            );
            assert!(accepted || report.count(Severity::Error) > 0, "{text}");
        });
    }
}

/// Lines of the differences from one configuration to another, with the findings.
fn compared(before: &str, after: &str) -> Vec<String> {
    let text = check(&draft(after), Some(&draft(before))).to_string();
    assert!(!text.contains("secret"), "{text}");
    text.lines().map(str::to_owned).collect()
}

/// Guards against a difference that is missed, or that shows an API key: the part of the example
/// that is replaced, by what, and the differences.
macro_rules! differences {
    ($($name:ident: $part:literal, $new:literal => $lines:expr;)+) => {$(
        #[test]
        fn $name() {
            let after = edited($part, $new).replacen(r#""version":7"#, r#""version":8"#, 1);
            let lines = compared(SOUND, &after);
            assert_eq!(lines[0], "changed: configuration: version: 7 -> 8");
            let expected: &[&str] = &$lines;
            assert_eq!(lines[1..], *expected);
        }
    )+};
}

differences! {
    only_the_version: "y", "y" => [];
    unknown_field: r#"{"name":"y"}"#, r#"{"name":"y","new":7}"# => [];
    account_replaced: r#""t2""#, r#""t3""# => ["removed: account t2", "added: account t3"];
    keys_changed: r#""secret-1","secret-2""#, r#""secret-2","secret-4","secret-5""#
        => ["changed: account t1: apiKeys: 2 added, 1 removed"];
    keys_in_another_order: r#""secret-1","secret-2""#, r#""secret-2","secret-1""# => [];
    limit_removed: r#""idleTimeoutMs":9000,"#, ""
        => ["changed: limits: idleTimeoutMs: 9000 -> not given"];
    engine_changed: "789097", "800000" => ["changed: service x: kvCapacity: 789097 -> 800000"];
    route_changed: r#"90},{"backend":"y","weight":10}]"#, r#"80},{"backend":"y","weight":20}],"anonymousAccess":true"#
        => [
            r#"changed: route r1: weightedBackends: {"x": 90, "y": 10} -> {"x": 80, "y": 20}"#,
            "changed: route r1: anonymousAccess: not given -> true",
        ];
}

/// Guards against a version that gateways would ignore, and against an old file without a version
/// that makes any version pass.
#[test]
fn same_file_has_no_difference_but_an_old_version() {
    let old = "error: configuration: version 7 is not greater than 7, the version in force";
    assert_eq!(compared(SOUND, SOUND), [old]);
    let without = edited(r#""version":7,"#, "");
    let lines = compared(&without, SOUND);
    assert!(lines[0].starts_with("error: configuration: could not compare the version"));
}
