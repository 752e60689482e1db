use serde_json::json;

use super::apply::{ApplyError, MAX_ATTEMPTS, apply};
use super::args::{Command, parse};
use super::log::Reader;
use super::*;
use crate::log::fake::FakeLog;
use crate::rules;

const ONE: &str = "service a slots=1  # x\n";
const TWO: &str = "service a slots=2  # x\n";

fn words(line: &str) -> impl Iterator<Item = OsString> {
    line.split_whitespace()
        .map(OsString::from)
        .collect::<Vec<_>>()
        .into_iter()
}

macro_rules! misuses {
    ($($name:ident: $line:literal => $message:literal;)+) => {$(
        #[tokio::test]
        async fn $name() {
            let failure = run(words($line)).await.expect_err("misuse");
            assert!(matches!(failure, Failure::Usage(_)), "{failure}");
            assert!(failure.to_string().contains($message), "{failure}");
        }
    )+};
}

misuses! {
    no_command: "" => "no command, see balsampitch-ctl --help";
    unknown_command: "rules burn" => "no command `rules burn`";
    too_many_words: "status now" => "no command `status now`";
    no_file: "rules check" => "rules check: no FILE";
    no_config: "config check" => "config check: no FILE";
    two_configs: "config check a b" => "no command `config check a b`";
    against_without_value: "config check f --against" => "--against";
    against_of_another_command: "rules check f --against g" => "--against is only for config check";
    no_request: "explain" => "explain: no REQUEST-ID";
    bad_request: "explain xyz --admin 127.0.0.1:1" => "is not a request id";
    unknown_option: "status --loud" => "--loud";
    option_without_value: "status --admin" => "--admin";
    bad_address: "status --admin localhost" => "is not an address, expected ip:port";
    no_admin: "status" => "no --admin ADDR";
    no_platform: "rules show" => "no --platform ADDR";
    bad_version: "rules apply f --based-on x" => "\"x\" is not a version, expected a whole number";
    author_too_long: "rules apply f --author \
        aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\
        aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
        => "--author NAME must have 1 to 128 bytes and no control characters";
    missing_settings: "status --settings /nowhere/at-all.json" => "could not read settings";
}

#[test]
fn options_may_follow_operands() {
    let line = "--author mere rules apply f --based-on 7 --admin 127.0.0.1:1,127.0.0.1:2";
    let Ok(Command::Run(args)) = parse(words(line)) else {
        panic!("the line is well-formed");
    };
    assert_eq!(args.words, ["rules", "apply", "f"]);
    assert_eq!(args.author.as_deref(), Some("mere"));
    assert_eq!(args.based_on, Some(7));
    assert_eq!(args.admin().expect("two addresses").len(), 2);
}

async fn applied(log: &FakeLog, base: u64, author: &str, text: &str) -> Result<u64, ApplyError> {
    let result = apply(&mut Reader::new(log.clone()), base, author, text).await;
    result.map_err(|error| error.downcast().expect("an apply error"))
}

async fn current(log: &FakeLog) -> (u64, String) {
    let current = Reader::new(log.clone()).current().await.expect("a version");
    (current.version, current.text.to_string())
}

#[tokio::test(start_paused = true)]
async fn conflicting_edit_reports_the_winner() {
    let log = FakeLog::new();
    assert_eq!(applied(&log, 0, "mere", ONE).await, Ok(1));
    let error = applied(&log, 0, "anita", TWO).await.expect_err("lost");
    let expected = "version 1 came first, applied by mere";
    assert!(error.to_string().starts_with(expected), "{error}");
    assert_eq!(current(&log).await, (1, ONE.to_owned()));
}

#[tokio::test(start_paused = true)]
async fn concurrent_edits_are_decided_by_offset() {
    let log = FakeLog::new();
    let mut slow = Reader::new(log.clone());
    slow.current().await.expect("an empty log has version 0");
    let race = log.clone();
    log.with(|state| state.lost_appends = 1);
    let (slow, fast) = tokio::join!(apply(&mut slow, 0, "anita", TWO), async {
        tokio::time::sleep(apply::RETRY_DELAY / 2).await;
        applied(&race, 0, "mere", ONE).await
    });
    assert_eq!(fast, Ok(1));
    let error: ApplyError = slow.expect_err("lost").downcast().expect("an apply error");
    assert!(
        matches!(error, ApplyError::Conflict(winner) if winner.author.as_deref() == Some("mere"))
    );
}

#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_by_reading() {
    let log = FakeLog::new();
    log.with(|state| state.lost_responses = 1);
    assert_eq!(applied(&log, 0, "mere", ONE).await, Ok(1));
    assert_eq!(log.with(|state| state.records.len()), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_append_is_retried() {
    let log = FakeLog::new();
    log.with(|state| state.lost_appends = 2);
    assert_eq!(applied(&log, 0, "mere", ONE).await, Ok(1));
}

#[tokio::test(start_paused = true)]
async fn append_without_response_has_unknown_outcome() {
    let log = FakeLog::new();
    log.with(|state| state.lost_appends = MAX_ATTEMPTS as usize);
    let error = applied(&log, 0, "mere", ONE).await;
    assert!(
        matches!(error, Err(ApplyError::UnknownOutcome(_))),
        "{error:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn future_version_is_rejected_as_base() {
    let error = applied(&FakeLog::new(), 3, "mere", ONE).await;
    let expected = ApplyError::FutureVersion {
        based_on: 3,
        current: 0,
    };
    assert_eq!(error, Err(expected));
}

#[tokio::test(start_paused = true)]
async fn unavailable_log_is_reported() {
    let log = FakeLog::new();
    log.with(|state| state.unavailable = true);
    let error = Reader::new(log)
        .current()
        .await
        .expect_err("the log is out");
    assert_eq!(
        format!("{error:#}"),
        "could not read the rules log: the service responded with status 503"
    );
}

#[test]
fn diff_lists_changed_rules() {
    let before = rules::parse("service a # x\nservice b slots=2 # x").expect("well-formed");
    let after = rules::parse("service b slots=3 # x\n\nservice c # x\n").expect("well-formed");
    let lines = diff::diff(&before, &after);
    let starts: Vec<&str> = lines.lines().map(|line| &line[..19]).collect();
    let expected = [
        "- service a slots=1",
        "- service b slots=2",
        "+ service b slots=3",
        "+ service c slots=1",
    ];
    assert_eq!(starts, expected);
    assert_eq!(diff::diff(&before, &before), "");
}

#[test]
fn tables_accept_missing_and_unknown_fields() {
    let value = json!({
        "version": 3,
        "log": {"reachable": true},
        "accounts": [{"name": "a", "share_ms": 10}, {"name": "b\u{1b}[2J", "new": [1, null]}],
    });
    let text = view::value_to_text(&value, "");
    let expected = "  version  3\n\
                    \x20 accounts:\n\
                    \x20 name        share_ms  new\n\
                    \x20 a           10        -\n\
                    \x20 b\\u{1b}[2J  -         1, -\n\
                    \x20 log.reachable  true\n";
    assert_eq!(text, expected, "{text}");
}
