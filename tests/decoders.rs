//! No input makes a decoder panic, and what is decoded is what would be encoded.

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

/// What happens to valid bytes on the way.
#[derive(Clone, Debug)]
enum Damage {
    Cut(Index),
    Flip(Index, u8),
    Grow(Vec<u8>),
}

fn damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        any::<Index>().prop_map(Damage::Cut),
        (any::<Index>(), 0..8u8).prop_map(|(at, bit)| Damage::Flip(at, bit)),
        prop::collection::vec(any::<u8>(), 1..9).prop_map(Damage::Grow),
    ]
}

fn damaged(mut bytes: Vec<u8>, damage: &Damage) -> Vec<u8> {
    match damage {
        Damage::Cut(at) => bytes.truncate(at.index(bytes.len())),
        Damage::Flip(at, bit) => {
            let at = at.index(bytes.len());
            bytes[at] ^= 1 << bit;
        }
        Damage::Grow(more) => bytes.extend(more),
    }
    bytes
}

/// Bytes are refused, or are what their message encodes to and from.
fn sound<T>(bytes: &[u8]) -> Result<(), TestCaseError>
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
        sound::<ToAgent>(&bytes)?;
        sound::<ToEntry>(&bytes)?;
        sound::<Hello>(&bytes)?;
        sound::<Challenge>(&bytes)?;
        sound::<Proof>(&bytes)?;
        sound::<RulesRequest>(&bytes)?;
        sound::<RulesReply>(&bytes)?;
        sound::<RulesChunk>(&bytes)?;
        let _ = claim::Record::try_from(&bytes[..]);
    }

    #[test]
    fn damaged_frames(damage in damage()) {
        for message in to_agent() {
            sound::<ToAgent>(&damaged(encoded(&message), &damage))?;
        }
        for message in to_entry() {
            sound::<ToEntry>(&damaged(encoded(&message), &damage))?;
        }
        let head = RulesHead::from(&RulesVersion::new(300, "tests", "service a slots=1  # x"));
        sound::<RulesReply>(&damaged(encoded(&RulesReply::Rules(head)), &damage))?;
        sound::<RulesRequest>(&damaged(encoded(&RulesRequest::RulesAbove { version: 300 }), &damage))?;
    }

    #[test]
    fn damaged_handshakes_prove_nothing(damage in damage()) {
        let secret = Secret::new("a key for tests only");
        let hello = encoded(&hello());
        let challenge = Challenge::new(&secret, &hello, BootId(3));
        let proof = Proof::new(&secret, &hello, &challenge);
        let other = damaged(hello.clone(), &damage);
        prop_assert!(challenge.check(&secret, &other).is_err());
        prop_assert!(proof.check(&secret, &other, &challenge).is_err());
        if let Ok(other) = wire::decode::<Challenge>(&damaged(encoded(&challenge), &damage)) {
            prop_assert!(other.check(&secret, &hello).is_err());
        }
        if let Ok(other) = wire::decode::<Proof>(&damaged(encoded(&proof), &damage)) {
            prop_assert!(other.check(&secret, &hello, &challenge).is_err());
        }
    }

    #[test]
    fn damaged_claims(damage in damage()) {
        let bytes = claim().encode().expect("a claim fits");
        let _ = claim::Record::try_from(&damaged(bytes, &damage)[..]);
    }

    #[test]
    fn any_settings_text(text in "[\\[\\]{}\",:a-z0-9 é\n]{0,80}") {
        let _ = settings::parse::<EntrySettings>(&text);
        let _ = settings::parse::<AgentSettings>(&text);
    }

    #[test]
    fn damaged_settings(damage in damage()) {
        let bytes = damaged(entry_settings().to_string().into_bytes(), &damage);
        let _ = settings::parse::<EntrySettings>(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_fault_names_its_field(at in any::<Index>(), value in value(), pretty: bool) {
        let mut settings = entry_settings();
        let fields: Vec<String> = settings.as_object().expect("an object").keys().cloned().collect();
        let field = at.get(&fields);
        settings[field] = value;
        let text = if pretty { format!("{settings:#}") } else { settings.to_string() };
        if let Err(error) = settings::parse::<EntrySettings>(&text) {
            let shown = format!("{error:#}");
            // A field within a field names itself.
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
