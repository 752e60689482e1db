//! What an event means to an [`Attempt`](crate::attempt::Attempt), and what of it goes on to the
//! caller.

use bytes::Bytes;

use super::ResponseHead;
use crate::attempt::Event as AttemptEvent;
use crate::entry::routes::Event;
use crate::problem::Reason;

/// The part of an event that goes on to the caller.
pub(super) enum ResponsePart {
    /// Status and headers.
    Head(ResponseHead),
    /// A chunk of the body.
    Data(Bytes),
}

/// What happened to the attempt; `None` for what concerns its second copy only.
pub(super) fn translate(event: Event) -> Option<(AttemptEvent, Option<ResponsePart>)> {
    let attempt_event = match event {
        Event::Hedged { .. } => return None,
        Event::Head {
            dispatch,
            status,
            headers,
        } => {
            let part = ResponsePart::Head(ResponseHead { status, headers });
            return Some((AttemptEvent::Head(dispatch), Some(part)));
        }
        Event::Chunk {
            dispatch,
            seq,
            data,
        } => {
            let len = data.len();
            let part = ResponsePart::Data(data);
            return Some((AttemptEvent::Chunk { dispatch, seq, len }, Some(part)));
        }
        Event::Sent {
            dispatch,
            agent,
            boot,
            ..
        } => AttemptEvent::Dispatched {
            agent,
            boot,
            dispatch,
        },
        Event::Expired => AttemptEvent::GiveUp(Reason::LogUnavailable),
        Event::Lost { agent } => AttemptEvent::Lost(agent),
        Event::Back { agent, boot, .. } => AttemptEvent::Back(agent, boot),
        Event::Declined { dispatch } => AttemptEvent::Declined(dispatch),
        Event::End {
            dispatch,
            finish,
            chunks,
            bytes,
            ..
        } => AttemptEvent::End {
            dispatch,
            finish,
            chunks,
            bytes,
        },
        Event::State { dispatch, known } => AttemptEvent::State(dispatch, known),
    };
    Some((attempt_event, None))
}
