//! What an event means to an [`Attempt`](crate::attempt::Attempt), and what of it goes on to the
//! caller.

use bytes::Bytes;

use super::Head;
use crate::attempt::Event as Happening;
use crate::entry::routes::Event;
use crate::problem::Reason;

/// The part of an event that goes on to the caller.
pub(super) enum Passed {
    /// Status and headers.
    Head(Head),
    /// A chunk of the body.
    Data(Bytes),
}

/// What happened to the attempt; `None` for what concerns its second copy only.
pub(super) fn happening(event: Event) -> Option<(Happening, Option<Passed>)> {
    let happening = match event {
        Event::Hedged { .. } => return None,
        Event::Head {
            dispatch,
            status,
            headers,
        } => {
            let passed = Passed::Head(Head { status, headers });
            return Some((Happening::Head(dispatch), Some(passed)));
        }
        Event::Chunk {
            dispatch,
            seq,
            data,
        } => {
            let len = data.len();
            let passed = Passed::Data(data);
            return Some((Happening::Chunk { dispatch, seq, len }, Some(passed)));
        }
        Event::Sent {
            dispatch,
            agent,
            boot,
            ..
        } => Happening::Dispatched {
            agent,
            boot,
            dispatch,
        },
        Event::Expired => Happening::GiveUp(Reason::LogUnavailable),
        Event::Lost { agent } => Happening::Disconnected(agent),
        Event::Back { agent, boot, .. } => Happening::Reconnected(agent, boot),
        Event::Declined { dispatch } => Happening::Declined(dispatch),
        Event::End {
            dispatch,
            finish,
            chunks,
            bytes,
            ..
        } => Happening::End {
            dispatch,
            finish,
            chunks,
            bytes,
        },
        Event::State { dispatch, known } => Happening::State(dispatch, known),
    };
    Some((happening, None))
}
