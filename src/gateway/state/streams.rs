//! What gateways know and tell of the versions that began streams.

use std::collections::HashMap;
use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::gateway::list_view::availability::MAX_GAP;
use crate::gateway::peers::wire_streams::{MAX_STREAMS, StreamMessage, StreamQuestion};
use crate::gateway::request::ClientRequest;
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::state::{GatewayState, State};
use crate::gateway::stream_book::{ASKED, BegunStream, HOLDERS, StreamTag, holders};
use crate::gateway::targets::TargetRun;
use crate::gateway::versions::VersionTag;
use crate::units::Micros;

impl GatewayState {
    /// Records that a run of a target has brought the first event of a request's stream.
    pub fn record_stream(&self, request: &ClientRequest, run: &TargetRun) {
        let Some(version) = run.version_tag() else {
            return;
        };
        let begun = BegunStream {
            stream: StreamTag::of(&request.id),
            version,
        };
        let now = self.clock.now();
        let service = ServiceTag::of(&request.service);
        self.lock().streams.begin(now, begun, service);
    }

    /// The only version of a service that has served within `span`; `None` if there were several, or
    /// if that is not certain.
    pub fn sole_version(&self, service: ServiceTag, span: Micros) -> Option<VersionTag> {
        let now = self.clock.now();
        self.lock().versions.sole_version(now, service, span)
    }

    /// The version that began a stream; `None` if this gateway does not know it.
    pub fn stream_version(&self, question: StreamQuestion) -> Option<VersionTag> {
        let now = self.clock.now();
        self.lock().stream_version(now, question)
    }

    /// Asks other gateways for the version that began a stream. Returns `false` if none is known.
    pub fn ask_for_stream(&self, question: StreamQuestion) -> bool {
        let mut state = self.lock();
        let known = state.peers.addresses();
        let asked = holders(question.stream, known, ASKED);
        state.questions.ask(question, &asked);
        self.stream_sends.notify_one();
        !asked.is_empty()
    }

    /// Whether a gateway that was asked for a stream may still tell its version.
    pub fn awaits_answers(&self, stream: StreamTag) -> bool {
        let state = self.lock();
        state.streams.version(stream).is_none() && state.questions.is_open(stream)
    }

    /// Ends a question to other gateways.
    pub fn close_question(&self, stream: StreamTag) {
        self.lock().questions.close(stream);
    }

    /// Takes the messages on streams that are due, with their receivers.
    pub fn take_stream_messages(&self) -> Vec<(SocketAddr, StreamMessage)> {
        let mut state = self.lock();
        let state = &mut *state;
        let versions = &state.versions;
        let due = state
            .streams
            .take_untold(|service| versions.is_mixed(service));
        let mut told: HashMap<SocketAddr, Vec<BegunStream>> = HashMap::new();
        for begun in due {
            for holder in holders(begun.stream, state.peers.addresses(), HOLDERS) {
                told.entry(holder).or_default().push(begun);
            }
        }
        let asked = state.questions.take_outbox();
        let told = told.into_iter();
        let told = told.flat_map(|(to, rows)| in_parts(to, &rows, StreamMessage::tell));
        let asked = asked.into_iter();
        let asked = asked.flat_map(|(to, rows)| in_parts(to, &rows, StreamMessage::ask));
        told.chain(asked).collect()
    }

    /// Processes a message on streams. Returns the answer if it asks for any.
    pub fn receive_streams(&self, message: &StreamMessage) -> Option<StreamMessage> {
        let now = self.clock.now();
        let mut state = self.lock();
        for begun in message.begun() {
            state.streams.learn(now, begun);
        }
        for stream in message.unknown() {
            state.questions.record_unknown(stream);
        }
        self.stream_answers.notify_waiters();
        let (mut known, mut unknown) = (Vec::new(), Vec::new());
        for question in message.questions() {
            let stream = question.stream;
            match state.stream_version(now, question) {
                Some(version) => known.push(BegunStream { stream, version }),
                None => unknown.push(stream),
            }
        }
        let asks = !known.is_empty() || !unknown.is_empty();
        asks.then(|| StreamMessage::tell(&known).with_unknown(unknown.into_iter()))
    }
}

impl State {
    fn stream_version(&self, now: Micros, question: StreamQuestion) -> Option<VersionTag> {
        let StreamQuestion {
            stream,
            service,
            span,
        } = question;
        let begun = self.streams.version(stream);
        begun.or_else(|| self.versions.sole_version(now, service, span))
    }

    /// Looks at which versions serve, and forgets streams that have ended for long.
    pub(super) fn observe_versions(&mut self, now: Micros) {
        let is_current = self.has_current_list(now);
        let listed = self.targets.iter();
        let listed = listed.map(|t| (ServiceTag::of(&t.entry.service), t.version));
        self.versions.observe(now, is_current, listed);
        self.streams.expire(now);
    }

    /// Whether no other gateway can know a newer list of targets for long: the platform has confirmed
    /// this one, or it answers none of the gateways that are heard. A gateway that hears nobody cannot
    /// tell, unless it is the only one.
    fn has_current_list(&self, now: Micros) -> bool {
        if self.targets.view().is_current(now) {
            return true;
        }
        let is_alone = self.peers.addresses().next().is_none() && self.peers.seeds().is_empty();
        let is_recent = |at: Micros| now.saturating_sub(at) <= MAX_GAP;
        let mut others = self.peers.copies(now).map(|(_, status, _)| status.list_at);
        let hears_any = self.peers.copies(now).next().is_some();
        let is_platform_away = hears_any && !others.any(|at| at.is_some_and(is_recent));
        !self.targets.is_empty() && (is_alone || is_platform_away)
    }
}

/// Messages with these rows to one gateway, as many as are needed.
fn in_parts<T>(
    to: SocketAddr,
    rows: &[T],
    message: fn(&[T]) -> StreamMessage,
) -> SmallVec<[(SocketAddr, StreamMessage); 1]> {
    let parts = rows.chunks(MAX_STREAMS);
    parts.map(|part| (to, message(part))).collect()
}
