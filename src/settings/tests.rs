use serde_json::{Value, json};

use super::*;

fn entry() -> Value {
    json!({
        "listen": "0.0.0.0:8000",
        "peer": "10.0.0.1:8001",
        "admin": "127.0.0.1:8002",
        "zone": "a",
        "entries": ["10.0.0.1:8001", "10.0.0.2:8001"],
        "platform": "10.0.0.9:9000",
        "secret": "0123456789abcdef",
    })
}

fn agent() -> Value {
    json!({
        "target": "127.0.0.1:7000",
        "service": "model",
        "slots": 4,
        "zone": "a",
        "admin": "127.0.0.1:8002",
        "entries": ["10.0.0.1:8001"],
        "platform": "10.0.0.9:9000",
        "secret": "0123456789abcdef",
    })
}

fn ctl() -> Value {
    json!({"platform": "10.0.0.9:9000", "admin": ["10.0.0.1:8002"]})
}

fn error<T: Validate + std::fmt::Debug>(settings: &Value) -> String {
    let result = parse::<T>(&settings.to_string());
    format!("{:#}", result.expect_err("the settings have an error"))
}

macro_rules! invalid {
    ($($name:ident: $kind:ident $base:ident { $field:literal: $value:tt } => $message:literal;)+) => {$(
        #[test]
        fn $name() {
            let mut settings = $base();
            settings[$field] = json!($value);
            let shown = error::<$kind>(&settings);
            assert!(shown.starts_with($message), "{shown}");
            assert!(!shown.contains("; "), "more than one error: {shown}");
        }
    )+};
}

invalid! {
    unknown_field: EntrySettings entry { "weight": 3 } => "unknown field `weight`";
    listen_on_port_zero: EntrySettings entry { "listen": "0.0.0.0:0" } =>
        "listen: 0.0.0.0:0 has port 0, expected 1 to 65535";
    listen_on_a_name: EntrySettings entry { "listen": "localhost:80" } =>
        "listen: invalid socket address syntax";
    admin_is_listen: EntrySettings entry { "admin": "0.0.0.0:8000" } =>
        "admin: 0.0.0.0:8000 is also `listen`, expected another address";
    platform_unspecified: EntrySettings entry { "platform": "0.0.0.0:9000" } =>
        "platform: 0.0.0.0:9000 is not a host's address";
    own_peer_missing: EntrySettings entry { "entries": ["10.0.0.2:8001"] } =>
        "entries: expected this entry's own peer address 10.0.0.1:8001";
    entry_twice: EntrySettings entry { "entries": ["10.0.0.1:8001", "10.0.0.1:8001"] } =>
        "entries: 10.0.0.1:8001 is given twice";
    entry_unspecified: EntrySettings entry { "entries": ["10.0.0.1:8001", "[::]:1"] } =>
        "entries[1]: [::]:1 is not a host's address";
    entry_without_zone: EntrySettings entry { "zone": "" } => "zone: \"\" is not a name";
    short_secret: EntrySettings entry { "secret": "0123456789abcde" } =>
        "secret: is 15 bytes long, expected at least 16";
    bad_endpoint: EntrySettings entry { "telemetry": {"otlp": "collector:4318"} } =>
        "telemetry.otlp: \"collector:4318\" is not an endpoint, expected http://ip:port";
    unknown_log_format: EntrySettings entry { "telemetry": {"logs": "xml"} } =>
        "logs: unknown variant `xml`, expected `text` or `json`";
    zero_slots: AgentSettings agent { "slots": 0 } => "slots: is 0, expected at least 1";
    negative_slots: AgentSettings agent { "slots": (-1) } => "slots: invalid value: integer `-1`";
    service_is_a_path: AgentSettings agent { "service": "a/b" } => "service: \"a/b\" is not a name";
    no_entries: AgentSettings agent { "entries": [] } => "entries: is empty, expected at least one";
    target_on_port_zero: AgentSettings agent { "target": "127.0.0.1:0" } =>
        "target: 127.0.0.1:0 has port 0";
    admin_is_target: AgentSettings agent { "admin": "127.0.0.1:7000" } =>
        "admin: 127.0.0.1:7000 is also `target`";
    admin_twice: CtlSettings ctl { "admin": ["10.0.0.1:1", "10.0.0.1:1"] } =>
        "admin: 10.0.0.1:1 is given twice";
    ctl_platform_on_port_zero: CtlSettings ctl { "platform": "10.0.0.9:0" } =>
        "platform: 10.0.0.9:0 has port 0";
}

macro_rules! valid {
    ($($name:ident: $kind:ident $base:ident;)+) => {$(
        #[test]
        fn $name() {
            assert!(parse::<$kind>(&$base().to_string()).is_ok());
        }
    )+};
}

valid! {
    valid_entry: EntrySettings entry;
    valid_agent: AgentSettings agent;
    valid_ctl: CtlSettings ctl;
}

#[test]
fn every_error_names_its_field() {
    let mut settings = agent();
    settings["slots"] = json!(0);
    settings["secret"] = json!("x");
    settings["zone"] = json!("");
    let shown = error::<AgentSettings>(&settings);
    assert_eq!(shown.matches("expected").count(), 3, "{shown}");
}

#[test]
fn duplicate_field_is_rejected() {
    let text = ctl().to_string().replacen('{', r#"{"admin":[],"#, 1);
    let shown = format!(
        "{:#}",
        parse::<CtlSettings>(&text).expect_err("given twice")
    );
    assert!(shown.contains("duplicate field `admin`"), "{shown}");
}
