//! Bytes and processor time of each frame between entries and agents.

use std::hint::black_box;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::slope::{line, nanos};
use crate::bench::report::Report;
use crate::ids::{BootId, DispatchId, OfferId, RequestId};
use crate::units::Micros;
use crate::wire::{Backlog, Dispatch, Finish, Header, ToAgent, ToEntry, decode, encode};

const STEPS: usize = 20_000;
/// Bytes of the length before each frame.
const PREFIX_BYTES: usize = 4;
/// Bytes of one token in a stream, with its share of the event's text.
const TOKEN_BYTES: usize = 64;
/// A run that has been up for a while.
const ID: DispatchId = DispatchId {
    boot: BootId(0x9e37_79b9_7f4a_7c15),
    seq: 1_000_000,
};
const BACKLOG: Backlog = Backlog {
    waiting: 1_000,
    least: Micros::from_secs(86_400),
};
const OFFER: OfferId = OfferId(1_000_000);

/// All frames, and chunks of several sizes.
pub fn lines(seed: u64) -> Vec<Report> {
    let mut lines = to_agent(seed);
    lines.extend(to_entry(seed));
    lines.extend([1, 4, 16, 64].map(|tokens| chunk(seed, tokens)));
    lines
}

fn to_agent(seed: u64) -> Vec<Report> {
    let (dispatch, floor) = (ID, ID.seq - 1_000);
    let parked = ToAgent::Parked {
        offer: OFFER,
        backlog: BACKLOG,
    };
    let sent = ToAgent::Dispatch {
        dispatch: Box::new(sent()),
        backlog: BACKLOG,
    };
    let body = ToAgent::Body {
        dispatch,
        data: vec![0; 1_024].into(),
    };
    let ack = ToAgent::Ack { dispatch, next: 33 };
    let settled = ToAgent::Settled { dispatch, floor };
    let beat = ToAgent::Heartbeat { backlog: BACKLOG };
    vec![
        frame(seed, "frame: parked", &parked),
        frame(seed, "frame: dispatch with 4 headers", &sent),
        frame(seed, "frame: body of 1 KiB", &body),
        frame(seed, "frame: ack", &ack),
        frame(seed, "frame: settled", &settled),
        frame(seed, "frame: heartbeat to agent", &beat),
    ]
}

fn to_entry(seed: u64) -> Vec<Report> {
    let dispatch = ID;
    let spent = Micros::from_secs(15);
    let head = ToEntry::Head {
        dispatch,
        status: 200,
        headers: headers(),
    };
    let end = ToEntry::End {
        dispatch,
        finish: Finish::Whole,
        chunks: 300,
        bytes: 19_200,
        spent,
    };
    vec![
        frame(seed, "frame: offer", &ToEntry::Offer { offer: OFFER }),
        frame(seed, "frame: void", &ToEntry::Withdraw { offer: OFFER }),
        frame(seed, "frame: head with 4 headers", &head),
        frame(
            seed,
            "frame: progress",
            &ToEntry::Progress { dispatch, spent },
        ),
        frame(seed, "frame: end", &end),
        frame(seed, "frame: heartbeat to entry", &ToEntry::Heartbeat),
    ]
}

fn chunk(seed: u64, tokens: usize) -> Report {
    let chunk = ToEntry::Chunk {
        dispatch: ID,
        seq: 150,
        data: vec![0; tokens * TOKEN_BYTES].into(),
    };
    let (bytes, encoded, decoded) = cost(&chunk);
    line(seed, "tokens", "chunk: tokens of 64 bytes", tokens)
        .figure("bytes_each", bytes / tokens as f64)
        .figure("encode_ns_per_token", encoded / tokens as f64)
        .figure("decode_ns_per_token", decoded / tokens as f64)
}

fn frame<T: Serialize + DeserializeOwned>(seed: u64, what: &str, message: &T) -> Report {
    let (bytes, encoded, decoded) = cost(message);
    line(seed, "wire", what, 1)
        .figure("bytes_each", bytes)
        .figure("encode_ns", encoded)
        .figure("decode_ns", decoded)
}

/// Bytes with the length prefix, and nanoseconds to encode and decode.
fn cost<T: Serialize + DeserializeOwned>(message: &T) -> (f64, f64, f64) {
    let frame = encode(message).expect("the message fits a frame");
    let encoded = nanos(STEPS, |_| drop(black_box(encode(black_box(message)))));
    let decoded = nanos(STEPS, |_| {
        drop(black_box(decode::<T>(black_box(&frame[PREFIX_BYTES..]))));
    });
    (frame.len() as f64, encoded, decoded)
}

fn sent() -> Dispatch {
    Dispatch {
        dispatch: ID,
        offer: OFFER,
        request: RequestId(u128::MAX / 3),
        account: "account-01234".to_owned(),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: headers(),
        body_bytes: 1_024,
        idempotent: true,
        fence: None,
        deadline: Some(Micros::from_secs(60)),
        trace: Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".to_owned()),
    }
}

fn headers() -> Vec<Header> {
    let fields = [
        ("content-type", "application/json"),
        ("accept", "text/event-stream"),
        ("user-agent", "client/1.0"),
        ("date", "Fri, 04 Dec 2026 06:00:00 GMT"),
    ];
    let header = |(name, value): (&str, &'static str)| Header {
        name: name.to_owned(),
        value: Bytes::from_static(value.as_bytes()),
    };
    fields.map(header).to_vec()
}
