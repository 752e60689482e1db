//! Questions to other gateways for the versions that began streams.
//!
//! Performs no I/O.

use std::collections::HashMap;
use std::net::SocketAddr;

use rustc_hash::FxBuildHasher;

use crate::gateway::peers::wire_streams::StreamQuestion;
use crate::gateway::stream_book::StreamTag;

/// The open questions of one gateway.
#[derive(Clone, Debug, Default)]
pub struct StreamQuestions {
    /// How many gateways have not answered yet, by stream.
    open: HashMap<StreamTag, usize, FxBuildHasher>,
    outbox: Vec<(SocketAddr, StreamQuestion)>,
}

impl StreamQuestions {
    /// Opens a question to these gateways, anew if it is open already.
    pub fn ask(&mut self, question: StreamQuestion, gateways: &[SocketAddr]) {
        self.open.insert(question.stream, gateways.len());
        let messages = gateways.iter().map(|&gateway| (gateway, question));
        self.outbox.extend(messages);
    }

    /// Records that a gateway does not know a stream.
    pub fn record_unknown(&mut self, stream: StreamTag) {
        if let Some(left) = self.open.get_mut(&stream) {
            *left = left.saturating_sub(1);
        }
    }

    /// Whether some gateways have not answered yet.
    pub fn is_open(&self, stream: StreamTag) -> bool {
        self.open.get(&stream).is_some_and(|&left| left > 0)
    }

    /// Ends a question: it is answered, or it is too late.
    pub fn close(&mut self, stream: StreamTag) {
        self.open.remove(&stream);
    }

    /// Takes the questions that have not been sent yet, by gateway.
    pub fn take_outbox(&mut self) -> HashMap<SocketAddr, Vec<StreamQuestion>> {
        let mut messages: HashMap<SocketAddr, Vec<StreamQuestion>> = HashMap::new();
        for (gateway, question) in self.outbox.drain(..) {
            messages.entry(gateway).or_default().push(question);
        }
        messages
    }
}

#[cfg(test)]
mod tests;
