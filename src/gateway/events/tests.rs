use bytes::Bytes;
use proptest::prelude::*;

use super::{EventError, MAX_EVENT_BYTES, Splitter};
use crate::gateway::byte_budget::ByteBudget;

/// Feeds these pieces to a splitter and returns the events that it emits.
fn split(pieces: &[&[u8]]) -> (Vec<u8>, Splitter) {
    let mut splitter = Splitter::new(&ByteBudget::default());
    let mut out = Vec::new();
    for piece in pieces {
        let complete = splitter.push(Bytes::copy_from_slice(piece));
        out.extend_from_slice(&complete.expect("the events are short"));
    }
    (out, splitter)
}

macro_rules! streams {
    ($($name:ident: $pieces:expr => $emitted:expr, $partial:expr, $last:expr;)*) => {$(
        #[test]
        fn $name() {
            let (out, splitter) = split(&$pieces);
            assert_eq!(out, $emitted.to_vec());
            assert_eq!(splitter.has_partial(), $partial);
            assert_eq!(splitter.last_id(), $last);
        }
    )*};
}

streams! {
    a_whole_event: [b"id: 1\ndata: a\n\n"] => b"id: 1\ndata: a\n\n", false, Some("1");
    a_part_is_held: [b"id: 1\ndata: a\n\nid: 2\nda"] => b"id: 1\ndata: a\n\n", true, Some("1");
    a_part_is_completed: [b"id: 7\nda", b"ta: a\n", b"\n"] => b"id: 7\ndata: a\n\n", false, Some("7");
    two_events: [b"id: 1\n\nid: 2\n\n"] => b"id: 1\n\nid: 2\n\n", false, Some("2");
    carriage_returns: [b"id: 3\r\n\r\nid"] => b"id: 3\r\n\r\n", true, Some("3");
    an_event_without_id: [b"id: 1\n\n", b"data: x\n\n"] => b"id: 1\n\ndata: x\n\n", false, Some("1");
    nothing: [] => b"", false, None;
}

/// Whether events are passed on that follow a resume after the event with id 4.
macro_rules! resumed_streams {
    ($($name:ident: $events:expr => $continued:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut splitter = split(&[b"id: 4\ndata: a\n\nid: 5\nda"]).1;
            splitter.resume();
            let pushed = splitter.push(Bytes::from_static($events));
            assert_eq!(pushed.is_ok(), $continued, "{pushed:?}");
        }
    )*};
}

resumed_streams! {
    the_next_events_continue: b"id: 5\ndata: b\n\nid: 6\ndata: c\n\n" => true;
    the_next_event_with_carriage_returns_continues: b"id: 5\r\ndata: b\r\n\r\n" => true;
    a_first_line_with_another_field_does_no_harm: b"weight-versions: 3\nid: 5\ndata: b\n\n" => true;
    a_comment_is_no_event: b": alive\n\nid: 5\ndata: b\n\n" => true;
    an_id_that_is_no_number_is_not_compared: b"id: x\ndata: b\n\n" => true;
    the_same_event_again_does_not_continue: b"id: 4\ndata: a\n\n" => false;
    a_stream_from_its_beginning_does_not_continue: b"id: 1\ndata: a\n\n" => false;
    an_event_twice_does_not_continue: b"id: 5\ndata: b\n\nid: 5\ndata: b\n\n" => false;
    another_text_does_not_continue: b"HTTP/1.1 500 Oh No\nContent-Length: 4\n\n" => false;
    an_event_without_id_does_not_continue: b"id: 5\ndata: b\n\ndata: oops\n\n" => false;
}

/// Guards against an event without end, in pieces of few bytes, that takes all processor time.
#[test]
fn an_event_without_end_in_small_pieces_is_given_up_soon() {
    let mut splitter = Splitter::new(&ByteBudget::default());
    let pieces = MAX_EVENT_BYTES / 4;
    for _ in 0..pieces {
        let complete = splitter.push(Bytes::from_static(b"data"));
        assert_eq!(complete, Ok(Bytes::new()));
    }
    assert_eq!(
        splitter.push(Bytes::from_static(b"data")),
        Err(EventError::TooLong)
    );
}

#[test]
fn an_event_that_finds_no_memory_is_given_up() {
    let mut splitter = Splitter::new(&ByteBudget::new(40_000));
    let piece = Bytes::from_static(&[b'd'; 8_000]);
    let results: Vec<_> = (0..4).map(|_| splitter.push(piece.clone())).collect();
    assert_eq!(results.last(), Some(&Err(EventError::NoRoom)));
}

proptest! {
    /// However a stream is cut into pieces, all of it comes out as complete events.
    #[test]
    fn cuts_do_not_matter(cuts in proptest::collection::vec(1_usize..9, 0..40)) {
        let text: Vec<u8> = (0..12).flat_map(|n| format!("id: {n}\ndata: {n}\n\n").into_bytes()).collect();
        let mut pieces = Vec::new();
        let mut rest = text.as_slice();
        for cut in cuts {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        let (out, splitter) = split(&pieces);
        prop_assert_eq!(out, text);
        prop_assert!(!splitter.has_partial());
    }
}
