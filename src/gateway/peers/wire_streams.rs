//! Messages between gateways on the versions that began streams, encoded with postcard.
//!
//! Postcard is positional: the order and the types of fields are part of the protocol.

use serde::{Deserialize, Serialize};

use crate::gateway::service_demand::ServiceTag;
use crate::gateway::stream_book::{BegunStream, StreamTag};
use crate::gateway::versions::VersionTag;
use crate::units::Micros;

/// Version of these messages. It differs from that of gossip messages, which arrive at the same
/// socket, and messages of other versions are dropped.
const VERSION: u8 = 0x81;
/// Maximum number of streams of one kind in a message.
pub const MAX_STREAMS: usize = 256;

/// A message on streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamMessage {
    protocol: u8,
    begun: Vec<WireBegun>,
    questions: Vec<WireQuestion>,
    /// Streams that were asked for and are not known.
    unknown: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireBegun {
    stream: u64,
    version: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireQuestion {
    stream: u64,
    service: u32,
    /// In milliseconds.
    span: u32,
}

/// A question for the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamQuestion {
    /// The stream.
    pub stream: StreamTag,
    /// Its service.
    pub service: ServiceTag,
    /// Longest time since the stream's first event.
    pub span: Micros,
}

/// Error for a datagram that is not a message on streams of this version, or that exceeds a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid message on streams")]
pub struct InvalidStreamMessage;

impl StreamMessage {
    /// A message that tells of streams, at most [`MAX_STREAMS`].
    pub fn tell(begun: &[BegunStream]) -> Self {
        let begun = begun.iter().take(MAX_STREAMS).map(|&row| row.into());
        StreamMessage {
            protocol: VERSION,
            begun: begun.collect(),
            ..StreamMessage::default()
        }
    }

    /// A message that asks for streams, at most [`MAX_STREAMS`].
    pub fn ask(questions: &[StreamQuestion]) -> Self {
        let questions = questions.iter().take(MAX_STREAMS).map(|&row| row.into());
        StreamMessage {
            protocol: VERSION,
            questions: questions.collect(),
            ..StreamMessage::default()
        }
    }

    /// Adds the streams that were asked for and are not known.
    pub fn with_unknown(mut self, streams: impl Iterator<Item = StreamTag>) -> Self {
        self.unknown = streams.map(|stream| stream.0).collect();
        self
    }

    /// The streams that the sender knows.
    pub fn begun(&self) -> impl Iterator<Item = BegunStream> + '_ {
        self.begun.iter().map(|&row| row.into())
    }

    /// The streams that the sender asks for.
    pub fn questions(&self) -> impl Iterator<Item = StreamQuestion> + '_ {
        self.questions.iter().map(|&row| row.into())
    }

    /// The streams that the sender was asked for and does not know.
    pub fn unknown(&self) -> impl Iterator<Item = StreamTag> + '_ {
        self.unknown.iter().map(|&stream| StreamTag(stream))
    }

    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a message encodes")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns [`InvalidStreamMessage`] if it is not a message of this version or exceeds a bound.
    pub fn decode(data: &[u8]) -> Result<Self, InvalidStreamMessage> {
        let message: StreamMessage =
            postcard::from_bytes(data).map_err(|_| InvalidStreamMessage)?;
        let counts = [
            message.begun.len(),
            message.questions.len(),
            message.unknown.len(),
        ];
        let fits = counts.iter().all(|&count| count <= MAX_STREAMS);
        (message.protocol == VERSION && fits)
            .then_some(message)
            .ok_or(InvalidStreamMessage)
    }
}

impl From<BegunStream> for WireBegun {
    fn from(begun: BegunStream) -> Self {
        WireBegun {
            stream: begun.stream.0,
            version: begun.version.0,
        }
    }
}

impl From<WireBegun> for BegunStream {
    fn from(wire: WireBegun) -> Self {
        BegunStream {
            stream: StreamTag(wire.stream),
            version: VersionTag(wire.version),
        }
    }
}

impl From<StreamQuestion> for WireQuestion {
    fn from(question: StreamQuestion) -> Self {
        WireQuestion {
            stream: question.stream.0,
            service: question.service.0,
            span: u32::try_from(question.span.as_ms()).unwrap_or(u32::MAX),
        }
    }
}

impl From<WireQuestion> for StreamQuestion {
    fn from(wire: WireQuestion) -> Self {
        StreamQuestion {
            stream: StreamTag(wire.stream),
            service: ServiceTag(wire.service),
            span: Micros::from_ms(wire.span.into()),
        }
    }
}

#[cfg(test)]
mod tests;
