//! Size and CPU time of each type of frame between entries and agents.

use std::hint::black_box;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::measure::{min_step_ns, report};
use crate::bench::report::Report;
use crate::ids::{BootId, DispatchId, OfferId, RequestId};
use crate::units::Micros;
use crate::wire::{Backlog, Dispatch, Finish, Header, ToAgent, ToEntry, decode, encode};

const STEPS: usize = 20_000;
/// Size of the length prefix of a frame.
const PREFIX_BYTES: usize = 4;
/// Size of one token in a stream, including its share of the event's text.
const TOKEN_BYTES: usize = 64;
/// ID of a dispatch with a sequence number as large as that of a long-running entry.
const DISPATCH_ID: DispatchId = DispatchId {
    boot: BootId(0x9e37_79b9_7f4a_7c15),
    seq: 1_000_000,
};
const BACKLOG: Backlog = Backlog {
    waiting: 1_000,
    least: Micros::from_secs(86_400),
};
const OFFER: OfferId = OfferId(1_000_000);

/// Measures all frame types, and chunks of several sizes.
pub fn reports(seed: u64) -> Vec<Report> {
    let mut reports = to_agent(seed);
    reports.extend(to_entry(seed));
    reports.extend([1, 4, 16, 64].map(|tokens| chunk(seed, tokens)));
    reports
}

fn to_agent(seed: u64) -> Vec<Report> {
    let (dispatch, floor) = (DISPATCH_ID, DISPATCH_ID.seq - 1_000);
    let parked = ToAgent::Parked {
        offer: OFFER,
        backlog: BACKLOG,
    };
    let dispatch_message = ToAgent::Dispatch {
        dispatch: Box::new(dispatch_frame()),
        backlog: BACKLOG,
    };
    let body = ToAgent::Body {
        dispatch,
        data: vec![0; 1_024].into(),
    };
    let ack = ToAgent::Ack { dispatch, next: 33 };
    let settled = ToAgent::Settled { dispatch, floor };
    let heartbeat = ToAgent::Heartbeat { backlog: BACKLOG };
    vec![
        frame(seed, "frame: parked", &parked),
        frame(seed, "frame: dispatch with 4 headers", &dispatch_message),
        frame(seed, "frame: body of 1 KiB", &body),
        frame(seed, "frame: ack", &ack),
        frame(seed, "frame: settled", &settled),
        frame(seed, "frame: heartbeat to agent", &heartbeat),
    ]
}

fn to_entry(seed: u64) -> Vec<Report> {
    let dispatch = DISPATCH_ID;
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
        dispatch: DISPATCH_ID,
        seq: 150,
        data: vec![0; tokens * TOKEN_BYTES].into(),
    };
    let (bytes, encode_ns, decode_ns) = cost(&chunk);
    report(seed, "tokens", "chunk: tokens of 64 bytes", tokens)
        .figure("bytes_each", bytes / tokens as f64)
        .figure("encode_ns_per_token", encode_ns / tokens as f64)
        .figure("decode_ns_per_token", decode_ns / tokens as f64)
}

fn frame<T: Serialize + DeserializeOwned>(seed: u64, what: &str, message: &T) -> Report {
    let (bytes, encode_ns, decode_ns) = cost(message);
    report(seed, "wire", what, 1)
        .figure("bytes_each", bytes)
        .figure("encode_ns", encode_ns)
        .figure("decode_ns", decode_ns)
}

/// Size including the length prefix, and nanoseconds to encode and to decode.
fn cost<T: Serialize + DeserializeOwned>(message: &T) -> (f64, f64, f64) {
    let encoded_frame = encode(message).expect("the message fits a frame");
    let encode_ns = min_step_ns(STEPS, |_| drop(black_box(encode(black_box(message)))));
    let decode_ns = min_step_ns(STEPS, |_| {
        drop(black_box(decode::<T>(black_box(
            &encoded_frame[PREFIX_BYTES..],
        ))));
    });
    (encoded_frame.len() as f64, encode_ns, decode_ns)
}

fn dispatch_frame() -> Dispatch {
    Dispatch {
        dispatch: DISPATCH_ID,
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
