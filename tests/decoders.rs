//! Property test: no input makes a decoder panic, and every decoded message survives a round trip
//! through the encoder.

use balsampitch::auth::{Challenge, Hello, Proof, Secret};
use balsampitch::claim;
use balsampitch::entry::peer_rules::frames::{RulesChunk, RulesHead, RulesReply, RulesRequest};
use balsampitch::ids::{BootId, DispatchId, OfferId, RequestId};
use balsampitch::rules::record::RulesVersion;
use balsampitch::settings::{self, AgentSettings, EntrySettings};
use balsampitch::telemetry::TraceContext;
use balsampitch::units::Micros;
use balsampitch::wire::{
    self, AgentInfo, Backlog, Dispatch, DispatchState, Finish, Header, Opener, ToAgent, ToEntry,
};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

/// A change to validly encoded bytes.
#[derive(Clone, Debug)]
enum Corruption {
    Truncate(Index),
    FlipBit(Index, u8),
    Extend(Vec<u8>),
}

fn corruption() -> impl Strategy<Value = Corruption> {
    prop_oneof![
        any::<Index>().prop_map(Corruption::Truncate),
        (any::<Index>(), 0..8u8).prop_map(|(at, bit)| Corruption::FlipBit(at, bit)),
        prop::collection::vec(any::<u8>(), 1..9).prop_map(Corruption::Extend),
    ]
}

fn corrupt(mut bytes: Vec<u8>, corruption: &Corruption) -> Vec<u8> {
    match corruption {
        Corruption::Truncate(at) => bytes.truncate(at.index(bytes.len())),
        Corruption::FlipBit(at, bit) => {
            let at = at.index(bytes.len());
            bytes[at] ^= 1 << bit;
        }
        Corruption::Extend(more) => bytes.extend(more),
    }
    bytes
}

/// Checks that the bytes are rejected, or decode to a message that survives a round trip.
fn check_round_trip<T>(bytes: &[u8]) -> Result<(), TestCaseError>
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let Ok(message) = wire::decode::<T>(bytes) else {
        return Ok(());
    };
    let again = wire::encode(&message).expect("what fitted in a frame fits again");
    prop_assert_eq!(wire::decode::<T>(&again[4..]).ok(), Some(message));
    Ok(())
}

fn dispatch_id() -> DispatchId {
    DispatchId {
        boot: BootId(7),
        seq: 300,
    }
}

fn dispatch() -> Dispatch {
    Dispatch {
        dispatch: dispatch_id(),
        offer: OfferId(4),
        request: RequestId::random(),
        account: "school".to_owned(),
        method: "POST".to_owned(),
        path: "/run?ms=1".to_owned(),
        headers: vec![header(); 3],
        body_bytes: 70_000,
        idempotent: true,
        fence: Some(8),
        deadline: Some(Micros::from_secs(3)),
        trace: Some("00-1-1-00".to_owned()),
    }
}

fn header() -> Header {
    Header {
        name: "accept".to_owned(),
        value: "text/plain".into(),
    }
}

fn to_agent() -> Vec<ToAgent> {
    let (dispatch, id) = (Box::new(dispatch()), dispatch_id());
    let backlog = Backlog::default();
    vec![
        ToAgent::Dispatch { dispatch, backlog },
        ToAgent::Body {
            dispatch: id,
            data: vec![1; 40].into(),
        },
        ToAgent::Query {
            dispatch: id,
            next: 900,
            floor: 3,
        },
        ToAgent::Heartbeat { backlog },
        ToAgent::Limits {
            version: 300,
            slots: 4,
        },
    ]
}

fn to_entry() -> Vec<ToEntry> {
    let dispatch = dispatch_id();
    vec![
        ToEntry::Head {
            dispatch,
            status: 200,
            headers: vec![header(); 2],
        },
        ToEntry::Chunk {
            dispatch,
            seq: 5,
            data: vec![2; 40].into(),
        },
        ToEntry::End {
            dispatch,
            finish: Finish::Whole,
            chunks: 5,
            bytes: 200,
            spent: Micros::from_ms(9),
        },
        ToEntry::State {
            dispatch,
            state: DispatchState::Running,
        },
    ]
}

fn hello() -> Hello {
    Hello::new(Opener::Agent(AgentInfo {
        host: "127.0.0.1:9".parse().expect("an address"),
        boot: BootId(1),
        zone: "a".to_owned(),
        service: "model".to_owned(),
        slots: 1,
    }))
}

fn encoded<T: Serialize>(message: &T) -> Vec<u8> {
    wire::encode(message).expect("the message fits")[4..].to_vec()
}

fn claim() -> claim::Record {
    claim::Record::Claim(claim::Claim {
        id: claim::ClaimId(9),
        account: "school".to_owned(),
        key: claim::Digest::of_key("school", b"order 1"),
        request: claim::Digest::of(&[b"POST"]),
        entry: "127.0.0.1:9".parse().expect("an address"),
        boot: BootId(2),
    })
}

fn entry_settings() -> Value {
    json!({
        "listen": "0.0.0.0:8000",
        "peer": "10.0.0.1:8001",
        "admin": "127.0.0.1:8002",
        "zone": "a",
        "entries": ["10.0.0.1:8001"],
        "platform": "10.0.0.9:9000",
        "secret": "0123456789abcdef",
        "telemetry": {"logs": "text"},
    })
}

fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[ -~é]{0,12}".prop_map(Value::from),
        "[0-9.:\\[\\]]{0,16}".prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 8, 3, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            prop::collection::hash_map("[a-z]{1,4}", inner, 0..3)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        check_round_trip::<ToAgent>(&bytes)?;
        check_round_trip::<ToEntry>(&bytes)?;
        check_round_trip::<Hello>(&bytes)?;
        check_round_trip::<Challenge>(&bytes)?;
        check_round_trip::<Proof>(&bytes)?;
        check_round_trip::<RulesRequest>(&bytes)?;
        check_round_trip::<RulesReply>(&bytes)?;
        check_round_trip::<RulesChunk>(&bytes)?;
        let _ = claim::Record::try_from(&bytes[..]);
    }

    #[test]
    fn corrupt_frames(corruption in corruption()) {
        for message in to_agent() {
            check_round_trip::<ToAgent>(&corrupt(encoded(&message), &corruption))?;
        }
        for message in to_entry() {
            check_round_trip::<ToEntry>(&corrupt(encoded(&message), &corruption))?;
        }
        let head = RulesHead::from(&RulesVersion::new(300, "tests", "service a slots=1  # x"));
        check_round_trip::<RulesReply>(&corrupt(encoded(&RulesReply::Rules(head)), &corruption))?;
        check_round_trip::<RulesRequest>(&corrupt(encoded(&RulesRequest::NewerThan { version: 300 }), &corruption))?;
    }

    #[test]
    fn corrupt_handshakes_are_rejected(corruption in corruption()) {
        let secret = Secret::new("a key for tests only");
        let hello = encoded(&hello());
        let challenge = Challenge::new(&secret, &hello, BootId(3));
        let proof = Proof::new(&secret, &hello, &challenge);
        let other = corrupt(hello.clone(), &corruption);
        prop_assert!(challenge.check(&secret, &other).is_err());
        prop_assert!(proof.check(&secret, &other, &challenge).is_err());
        if let Ok(other) = wire::decode::<Challenge>(&corrupt(encoded(&challenge), &corruption)) {
            prop_assert!(other.check(&secret, &hello).is_err());
        }
        if let Ok(other) = wire::decode::<Proof>(&corrupt(encoded(&proof), &corruption)) {
            prop_assert!(other.check(&secret, &hello, &challenge).is_err());
        }
    }

    #[test]
    fn corrupt_claims(corruption in corruption()) {
        let bytes = claim().encode().expect("a claim fits");
        let _ = claim::Record::try_from(&corrupt(bytes, &corruption)[..]);
    }

    #[test]
    fn any_settings_text(text in "[\\[\\]{}\",:a-z0-9 é\n]{0,80}") {
        let _ = settings::parse::<EntrySettings>(&text);
        let _ = settings::parse::<AgentSettings>(&text);
    }

    #[test]
    fn corrupt_settings(corruption in corruption()) {
        let bytes = corrupt(entry_settings().to_string().into_bytes(), &corruption);
        let _ = settings::parse::<EntrySettings>(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn errors_name_the_field(at in any::<Index>(), value in value(), pretty: bool) {
        let mut settings = entry_settings();
        let fields: Vec<String> = settings.as_object().expect("an object").keys().cloned().collect();
        let field = at.get(&fields);
        settings[field] = value;
        let text = if pretty { format!("{settings:#}") } else { settings.to_string() };
        if let Err(error) = settings::parse::<EntrySettings>(&text) {
            let shown = format!("{error:#}");
            // An unknown nested field is reported under its own name.
            let named = shown.contains(field.as_str()) || shown.contains("unknown field");
            prop_assert!(named, "{}: {}", field, shown);
        }
    }

    #[test]
    fn any_traceparent(text in "(00|01|ff|é)-?[0-9a-f]{30,32}[é0-9a-f]{0,2}-[0-9a-f]{15,17}-[0-9a-f]{1,3}(-x)?") {
        if let Ok(context) = text.parse::<TraceContext>() {
            prop_assert_eq!(context.to_string().parse::<TraceContext>(), Ok(context));
        }
    }
}
