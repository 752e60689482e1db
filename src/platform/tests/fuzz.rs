//! Documents of other writers: whatever they hold, reading one never panics, and what is taken from
//! it can be used.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use proptest::prelude::*;
use tokio::time::Instant;

use super::{CONFIG, page};
use crate::gateway::config::Config;
use crate::gateway::targets::Entry;
use crate::platform::headers;
use crate::platform::records;
use crate::platform::wire::{WireConfig, WireTarget};

/// Longest time that anything read may ask to wait.
const LONGEST: Duration = Duration::from_secs(24 * 3_600);
const TARGET: [(&str, &str); 9] = [
    ("backend", r#""x""#),
    ("address", r#""10.0.0.9:80""#),
    ("zone", r#""a""#),
    ("slots", "4"),
    ("state", r#""ready""#),
    ("callSeq", "4"),
    ("born", "17"),
    ("coldRemainingMs", "1200"),
    ("version", r#""v1""#),
];

/// A JSON value of any type, size and depth.
fn odd_value() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("null".to_owned()),
        Just("{}".to_owned()),
        any::<bool>().prop_map(|value| value.to_string()),
        any::<i128>().prop_map(|value| value.to_string()),
        (any::<i64>(), -400_i32..400).prop_map(|(value, power)| format!("{value}e{power}")),
        any::<String>().prop_map(|text| serde_json::json!(text).to_string()),
        (any::<[u8; 4]>(), any::<u32>())
            .prop_map(|([a, b, c, d], port)| { format!("\"{a}.{b}.{c}.{d}:{port}\"") }),
        (1_usize..3_000).prop_map(|depth| "[".repeat(depth) + &"]".repeat(depth)),
        (1_usize..3_000).prop_map(|depth| r#"{"a":"#.repeat(depth) + "1" + &"}".repeat(depth)),
    ]
}

/// A target's entry in which some fields are missing, come twice or have an odd value.
fn odd_entry() -> impl Strategy<Value = String> {
    let changes = proptest::collection::vec((0..TARGET.len(), 0..3, odd_value()), 0..4);
    changes.prop_map(|changes| {
        let mut fields: Vec<(String, String)> = TARGET
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
        for (at, how, value) in changes {
            let at = at % fields.len();
            match how {
                0 => fields[at].1 = value,
                1 if fields.len() > 1 => drop(fields.remove(at)),
                _ => fields.push((fields[at].0.clone(), value)),
            }
        }
        let fields: Vec<String> = fields.iter().map(|(n, v)| format!("\"{n}\":{v}")).collect();
        format!("{{{}}}", fields.join(","))
    })
}

proptest! {
    #[test]
    fn any_entry_is_a_usable_target_or_none(text in odd_entry()) {
        let wire = serde_json::from_str::<WireTarget>(&text).ok();
        if let Some(wire) = wire.filter(WireTarget::is_usable) {
            let entry = Entry::from(wire);
            prop_assert!(entry.addr.port() != 0 && !entry.addr.ip().is_unspecified());
        }
    }

    /// One value of a configuration is replaced by another.
    #[test]
    fn any_configuration_sets_bounded_times(at in any::<prop::sample::Index>(), value in odd_value()) {
        let numbers: Vec<(usize, &str)> = CONFIG.match_indices(|c: char| c.is_ascii_digit()).collect();
        let start = numbers[at.index(numbers.len())].0;
        let text = format!("{}{value}{}", &CONFIG[..start], &CONFIG[start + 1..]);
        if let Ok(wire) = serde_json::from_str::<WireConfig>(&text) {
            let config = Config::from(wire);
            prop_assert!(config.limits.idle_timeout <= LONGEST);
            prop_assert!(config.limits.head_timeout <= LONGEST);
            for path in ["/m/1", "/m/n/1"] {
                if let Some(route) = config.route("a.example", path) {
                    prop_assert!(route.timeout <= LONGEST && route.latency_objective <= LONGEST);
                }
            }
        }
    }

    #[test]
    fn any_idle_timeout_of_a_target_can_be_waited_for(text in "timeout=[0-9]{1,25}") {
        let mut rows = HeaderMap::new();
        rows.insert("keep-alive", HeaderValue::from_str(&text).expect("it is text"));
        let idle = headers::parse_response(&rows, None).idle_timeout;
        prop_assert!(idle.is_none_or(|idle| Instant::now().checked_add(idle).is_some()));
    }

    /// A record whose key is no text is left out, and the others hold.
    #[test]
    fn any_record_leaves_the_others_readable(record in proptest::collection::vec(any::<u8>(), 0..300)) {
        let whole = page(3, &[("a", b"one"), ("b", b"two")]);
        let mut body = whole.to_vec();
        body.extend(u32::try_from(record.len()).expect("it is short").to_be_bytes());
        body.extend(&record);
        let read = records::decode_page(body.into(), 0).expect("the page is complete");
        prop_assert_eq!(read.count, 3);
        prop_assert_eq!(read.unreadable + read.records.len() as u64, 3);
        prop_assert_eq!(&*read.records[0].key, "a");
    }

    #[test]
    fn an_id_that_no_header_can_hold_names_no_target(id in any::<String>()) {
        let usable = headers::is_target_id(&id);
        prop_assert_eq!(usable, !id.is_empty() && HeaderValue::from_str(&id).is_ok());
    }
}
