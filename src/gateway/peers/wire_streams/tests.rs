use proptest::prelude::*;

use super::{MAX_STREAMS, StreamMessage, StreamQuestion};
use crate::gateway::peers::wire::GossipMessage;
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::stream_book::{BegunStream, StreamTag};
use crate::gateway::versions::VersionTag;
use crate::units::Micros;

fn begun(stream: u64) -> BegunStream {
    BegunStream {
        stream: StreamTag(stream),
        version: VersionTag(stream as u32 + 1),
    }
}

#[test]
fn messages_survive_the_transfer() {
    let question = StreamQuestion {
        stream: StreamTag(9),
        service: ServiceTag(3),
        span: Micros::from_ms(12_000),
    };
    let asked = StreamMessage::ask(&[question]);
    let asked = StreamMessage::decode(&asked.encode()).expect("it decodes");
    assert!(asked.questions().eq([question]));
    let unknown = [StreamTag(4)];
    let told = StreamMessage::tell(&[begun(8)]).with_unknown(unknown.into_iter());
    let told = StreamMessage::decode(&told.encode()).expect("it decodes");
    assert!(told.begun().eq([begun(8)]));
    assert!(told.unknown().eq(unknown));
}

#[test]
fn messages_are_bounded() {
    let streams: Vec<BegunStream> = (0..2 * MAX_STREAMS as u64).map(begun).collect();
    let message = StreamMessage::tell(&streams);
    assert_eq!(message.begun().count(), MAX_STREAMS);
    let message = message.with_unknown((0..MAX_STREAMS as u64 + 1).map(StreamTag));
    assert!(StreamMessage::decode(&message.encode()).is_err());
}

/// Both kinds of messages arrive at one socket.
#[test]
fn messages_on_streams_are_no_gossip() {
    let message = StreamMessage::tell(&[begun(8)]).encode();
    assert!(GossipMessage::decode(&message).is_err());
    let mut gossip = GossipMessage::default();
    gossip.protocol = crate::gateway::peers::wire::VERSION;
    assert!(StreamMessage::decode(&gossip.encode()).is_err());
}

proptest! {
    #[test]
    fn decoding_any_datagram_does_not_panic(data in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = StreamMessage::decode(&data) {
            prop_assert!(message.begun().count() <= MAX_STREAMS);
        }
    }
}
