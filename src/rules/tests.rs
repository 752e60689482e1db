use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::parse::{MAX_FILE_BYTES, MAX_LINE_BYTES, MAX_RULES};
use super::*;
use crate::units::Micros;

const KEY: &str = "8ce6e72ad2f01961456e1a40773deed9bdc7c2546fa0d10a1a882cd849623ec1";
const OTHER: &str = "c1a42ae32c96b7706688bf70dab950fa51a567e6e69bf8235b07a9175c1f9ec1";

macro_rules! rejected {
    ($($name:ident: $text:expr => [$($error:expr),+ $(,)?];)+) => {$(
        #[test]
        fn $name() {
            let text = $text.replace("KEY", KEY).replace("OTHER", OTHER);
            let errors = parse(&text).expect_err("the text has errors");
            let shown: Vec<String> = errors.iter().map(ToString::to_string).collect();
            let expected = [$($error),+];
            assert_eq!(shown.len(), expected.len(), "{shown:#?}");
            for (shown, expected) in shown.iter().zip(expected) {
                assert!(shown.starts_with(expected), "{shown}\n{expected}");
            }
        }
    )+};
}

rejected! {
    no_comment: "service a" => ["line 1, column 10: no comment, expected `# `"];
    comment_without_a_name: "service a # --" => ["line 1, column 15: no comment"];
    unknown_kind: "target a # x" =>
        ["line 1, column 1: unknown rule kind \"target\", expected `account` or `service`"];
    no_name: "service # x" => ["line 1, column 8: \"\" is not a name"];
    bad_name: "service a/b # x" => ["line 1, column 9: \"a/b\" is not a name"];
    dotted_name: "service .. # x" => ["line 1, column 9: \"..\" is not a name"];
    not_a_field: "service a slots # x" => ["line 1, column 11: \"slots\" is not a field"];
    unknown_field: "service a weight=2 # x" =>
        ["line 1, column 11: unknown field \"weight\", expected one of slots, repeatable"];
    field_of_other_kind: "account a key-sha256=KEY slots=2 # x" =>
        ["line 1, column 87: unknown field \"slots\", expected one of key-sha256, queue, body"];
    repeated_field: "service a slots=1 slots=2 # x" =>
        ["line 1, column 19: field `slots` is given twice"];
    account_without_key: "account a queue=1 # x" => ["line 1, column 18: missing required field `key-sha256`"];
    short_key: "account a key-sha256=12ab # x" =>
        ["line 1, column 11: field `key-sha256` is \"12ab\", expected 1 to 8 SHA-256"];
    zero_slots: "service a slots=0 # x" =>
        ["line 1, column 11: field `slots` is \"0\", expected a whole number from 1 to 4096"];
    signed_slots: "service a slots=+3 # x" => ["line 1, column 11: field `slots` is \"+3\""];
    zero_queue: "account a key-sha256=KEY queue=0 # x" =>
        ["line 1, column 87: field `queue` is \"0\", expected a whole number from 1 to 100000"];
    zero_body: "account a key-sha256=KEY body=0B # x" => ["line 1, column 87: field `body`"];
    body_without_unit: "account a key-sha256=KEY body=10 # x" =>
        ["line 1, column 87: field `body` is \"10\", expected a size from 1B to 64MiB"];
    body_overflow: "account a key-sha256=KEY body=18446744073709551615GiB # x" =>
        ["line 1, column 87: field `body`"];
    zero_deadline: "service a deadline=0s # x" =>
        ["line 1, column 11: field `deadline` is \"0s\", expected a time from 1ms to 86400s"];
    deadline_without_unit: "service a deadline=30 # x" => ["line 1, column 11: field `deadline`"];
    percent_over_hundred: "service a hedge=101% # x" =>
        ["line 1, column 11: field `hedge` is \"101%\", expected a percentage"];
    percent_without_sign: "service a retry=5 # x" => ["line 1, column 11: field `retry`"];
    neither_yes_nor_no: "service a fenced=true # x" =>
        ["line 1, column 11: field `fenced` is \"true\", expected `yes` or `no`"];
    duplicate_name: "service a # x\n\nservice a # x" =>
        ["line 3, column 1: service `a` already has a rule on line 1"];
    key_of_two_accounts:
        "account a key-sha256=KEY # x\naccount b key-sha256=OTHER,KEY # x" =>
        ["line 2, column 1: key 8ce6e72a.. is already on line 1"];
    key_twice: "account a key-sha256=KEY,KEY # x" =>
        ["line 1, column 1: key 8ce6e72a.. is already on line 1"];
    control_character: "service a # \u{1b}[2J" => ["line 1, column 13: control character"];
    every_error_of_every_line: "service a slots=0 hedge=x\ntarget b # x\naccount c # x" => [
        "line 1, column 11: field `slots`",
        "line 1, column 19: field `hedge`",
        "line 1, column 26: no comment",
        "line 2, column 1: unknown rule kind \"target\"",
        "line 3, column 10: missing required field `key-sha256`",
    ];
    line_too_long: format!("service a # {}", "x".repeat(MAX_LINE_BYTES)) =>
        ["line 1, column 1: the line is 1036 bytes long, expected at most 1024"];
    file_too_large: " ".repeat(MAX_FILE_BYTES + 1) => ["line 1, column 1: the file is"];
    too_many_rules: (0..MAX_RULES + 3).map(|i| format!("service s{i} # x\n")).collect::<String>() =>
        ["line 8193, column 1: expected at most 8192 rules"];
}

#[test]
fn omitted_fields_take_their_defaults() {
    let text = format!("account a key-sha256={KEY} # x\n\n# a heading\nservice s # y\r\n");
    let rules = parse(&text).expect("the text is well-formed");
    let account = rules.accounts().next().expect("one account");
    assert_eq!(account.queue_limit, fields::DEFAULT_QUEUE);
    assert_eq!(account.body_limit, fields::DEFAULT_BODY_BYTES);
    let service = rules.services().next().expect("one service");
    assert_eq!(service.slots, fields::DEFAULT_SLOTS);
    assert!(!service.repeatable && !service.fenced);
    assert_eq!(service.deadline, fields::DEFAULT_DEADLINE);
    assert_eq!(service.hedge_percent, fields::DEFAULT_HEDGE_PERCENT);
    assert_eq!(service.retry_percent, fields::DEFAULT_RETRY_PERCENT);
}

#[test]
fn an_account_and_a_service_may_share_a_name() {
    let text = format!("account a key-sha256={KEY} # x\nservice a # x");
    assert!(parse(&text).is_ok());
}

macro_rules! examples {
    ($($name:ident: $file:literal, $accounts:literal accounts, services $services:expr;)+) => {$(
        #[test]
        fn $name() {
            let rules = parse(include_str!(concat!("../../examples/", $file))).expect($file);
            assert_eq!(rules.accounts().count(), $accounts);
            assert!(rules.services().map(|s| s.name.as_str()).eq($services));
        }
    )+};
}

examples! {
    local_example: "local.rules", 2 accounts, services ["model", "orders"];
    tovolea_example: "tovolea.rules", 15 accounts, services ["model", "orders"];
    kettering_example: "kettering.rules", 15 accounts, services ["reports", "bookings"];
}

#[test]
fn local_example_holds_the_sample_keys() {
    let rules = parse(include_str!("../../examples/local.rules")).expect("local.rules");
    let table = rules.table(&Table::default(), 1);
    assert_eq!(table.account_by_key(b"school-key"), table.account("school"));
    assert_eq!(table.account_by_key(b"club-key"), table.account("club"));
    assert_ne!(table.account_by_key(b"school-key"), None);
}

#[test]
fn keys_survive_a_new_version() {
    let first = parse("service a # x\nservice b # x").expect("well-formed");
    let second = parse("service c # x\nservice b # x").expect("well-formed");
    let before = first.table(&Table::default(), 1);
    let after = second.table(&before, 2);
    assert_eq!(before.service("b"), after.service("b"));
    assert_eq!(after.service("a"), None);
    assert_ne!(after.service("c"), before.service("a"));
    assert_eq!(after.version(), 2);
}

fn subjects() -> impl Strategy<Value = Rules> {
    let account = (
        prop::collection::vec(any::<[u8; 32]>(), 1..3),
        1..=fields::MAX_QUEUE,
        1..=fields::MAX_BODY_BYTES,
    );
    let flags = (any::<bool>(), any::<bool>());
    let percents = (0..=100u8, 0..=100u8);
    let deadline = 1..=fields::MAX_DEADLINE.as_ms();
    let service = (1..=fields::MAX_SLOTS, flags, deadline, percents);
    let comment = "[a-z][a-z #=,]{0,20}[a-z]";
    let accounts = prop::collection::btree_map("[a-z][a-z0-9._-]{0,9}", (account, comment), 0..5);
    let services = prop::collection::btree_map("[A-Z][a-z0-9._-]{0,9}", (service, comment), 0..5);
    (accounts, services).prop_map(|(accounts, services)| {
        let accounts = accounts
            .into_iter()
            .map(|(name, ((keys, queue, body), by))| {
                let keys = keys.into_iter().map(KeyDigest).collect();
                let account = Account {
                    name,
                    keys,
                    queue_limit: queue,
                    body_limit: body,
                    live: true,
                };
                (Definition::Account(account), by)
            });
        let services = services.into_iter().map(|(name, (fields, by))| {
            let (slots, (repeatable, fenced), deadline, (hedge, retry)) = fields;
            let service = Service {
                name,
                slots,
                repeatable,
                fenced,
                deadline: Micros::from_ms(deadline),
                hedge_percent: hedge,
                retry_percent: retry,
                live: true,
            };
            (Definition::Service(service), by)
        });
        let rules = accounts
            .chain(services)
            .map(|(definition, comment)| Rule {
                definition,
                comment,
            })
            .collect();
        Rules { rules }
    })
}

#[test]
fn rules_of_the_design_size_parse() {
    let accounts = (0..3_500).map(|i| {
        let keys = hex::encode(KeyDigest::of(format!("key {i}").as_bytes()).0);
        format!("account account-{i} key-sha256={keys} queue=200 body=1MiB  # asked by {i}\n")
    });
    let services = (0..17).map(|i| format!("service model-{i} slots=4  # asked by {i}\n"));
    let text: String = accounts.chain(services).collect();
    let rules = parse(&text).expect("well-formed");
    let table = rules.table(&Table::default(), 1);
    assert_eq!(
        table.account_by_key(b"key 3499"),
        table.account("account-3499")
    );
    let longer = text.replacen("queue=200", "queue=201", 1);
    let change = change::Change::between(&text, &longer);
    assert_eq!(change.middle, "1");
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn rules_round_trip(rules in subjects()) {
        let text = rules.to_string();
        let again = parse(&text).map_err(|e| TestCaseError::fail(format!("{e:?}")))?;
        prop_assert_eq!(again.to_string(), text);
        prop_assert_eq!(again, rules);
    }

    #[test]
    fn any_text_parses_or_is_rejected(text in "\\PC{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn almost_valid_text_round_trips_or_is_rejected(
        lines in prop::collection::vec(
            "(account|service|x)? ?[a-z.é/]{0,3}( (slots|queue|body|hedge|deadline|key-sha256)=[0-9a-fé,]{0,4}(s|%|MiB|GiB|min|B)?){0,3} ?(# ?[a-zé#]{0,3})?[\r\t\u{7f}]?",
            0..6,
        )
    ) {
        if let Ok(rules) = parse(&lines.join("\n")) {
            prop_assert_eq!(parse(&rules.to_string()), Ok(rules));
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn change_between_two_texts_yields_the_second(
        before in "[aé€\n]{0,12}",
        after in "[aé€\n]{0,12}",
    ) {
        let change = change::Change::between(&before, &after);
        prop_assert_eq!(change.apply(&before), Some(after));
    }

    #[test]
    fn any_change_applies_or_is_rejected(
        before in "[aé€]{0,6}",
        head in 0..20u32,
        tail in 0..20u32,
    ) {
        let _ = change::Change { head, tail, middle: String::new() }.apply(&before);
    }

    #[test]
    fn any_bytes_decode_or_are_rejected(data in prop::collection::vec(any::<u8>(), 0..80)) {
        let framed: Vec<u8> = std::iter::once(record::RECORD_FORMAT).chain(data).collect();
        if let Ok(record) = Record::decode(&framed) {
            prop_assert_eq!(Record::decode(&record.encode()), Ok(record));
        }
    }
}
