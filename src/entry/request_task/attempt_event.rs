//! Translates request events into events of the [`Attempt`](crate::attempt::Attempt) and response
//! data for the caller.

use bytes::Bytes;

use super::ResponseHead;
use crate::attempt::Event as AttemptEvent;
use crate::entry::routes::RequestEvent;
use crate::problem::Reason;

/// Response data that an event carries.
pub(super) enum ResponsePart {
    /// Status and headers.
    Head(ResponseHead),
    /// A chunk of the body.
    Data(Bytes),
}

/// Returns the event for the attempt and the response data, if any. Returns `None` for an event
/// that only concerns the hedge.
pub(super) fn translate(event: RequestEvent) -> Option<(AttemptEvent, Option<ResponsePart>)> {
    let attempt_event = match event {
        RequestEvent::Hedged { .. } => return None,
        RequestEvent::Head {
            dispatch,
            status,
            headers,
        } => {
            let part = ResponsePart::Head(ResponseHead { status, headers });
            return Some((AttemptEvent::Head(dispatch), Some(part)));
        }
        RequestEvent::Chunk {
            dispatch,
            seq,
            data,
        } => {
            let len = data.len();
            let part = ResponsePart::Data(data);
            return Some((AttemptEvent::Chunk { dispatch, seq, len }, Some(part)));
        }
        RequestEvent::Dispatched {
            dispatch,
            agent,
            boot,
            ..
        } => AttemptEvent::Dispatched {
            agent,
            boot,
            dispatch,
        },
        RequestEvent::ClaimExpired => AttemptEvent::GiveUp(Reason::LogUnavailable),
        RequestEvent::Disconnected { agent } => AttemptEvent::Disconnected(agent),
        RequestEvent::Reconnected { agent, boot, .. } => AttemptEvent::Reconnected(agent, boot),
        RequestEvent::Declined { dispatch } => AttemptEvent::Declined(dispatch),
        RequestEvent::End {
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
        RequestEvent::State { dispatch, state } => AttemptEvent::State(dispatch, state),
    };
    Some((attempt_event, None))
}
